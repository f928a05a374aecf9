// Rules: what a lookup is (traffic type), under which key it is cached, which pool of boxes serves it, and
// how much it may cost. A set is loaded once, a slice at a time, and never changes after; lookups under way
// keep the set that they were taken with. No I/O, no clock.
//
// The first rule whose condition holds decides. Rules may only narrow what the settings allow: a traffic type
// with a looser effect than the wire's is not taken, limits and transmissions only shrink, copies only go
// off, and a pool is a part of the boxes that the decision module would choose from anyway.
#pragma once

#include <array>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "control.hpp"
#include "expression/parse.hpp"
#include "expression/program.hpp"
#include "expression/resolve.hpp"
#include "feed/event.hpp"
#include "route/dispatch.hpp"

namespace quillgrade::route {

// What the settings say that rules have to know.
struct Site {
    std::vector<std::string> traffic, zones, kinds;
    std::vector<TrafficTypeSettings> types;
    int transmissions = 1;
};

inline constexpr std::uint64_t usual_budget = 20'000;  // units a lookup
inline constexpr std::size_t most_named = 16, longest_named = 8192;

// A lookup as rules see it. Views stand as long as the call.
struct Told {
    int traffic = 0;
    ObjectId object = 0;
    int part = 0, group = 0;
    std::int64_t bytes = 0;         // of the part, 0: not told
    Micros remaining = 0, now = 0;  // Unix time
    bool retry = false;
    std::uint32_t client = 0;                                          // IPv4
    std::vector<std::pair<std::string_view, std::string_view>> named;  // in any order
};

struct Decision {
    int rule = -1;                // its number in the set, -1: none matched
    int traffic = -1;             // -1: as the wire has it
    std::optional<ObjectId> key;  // in place of the object, in the module and at the boxes
    int pool = -1;                // -1: all boxes
    Micros limit = 0;             // 0: the client's own
    int transmissions = 0;        // 0: the settings'
    bool no_copies = false;
    bool looser = false;  // its traffic type was not taken, as its effect is looser than the wire's
};

struct Rule {
    std::string name;
    expression::Place place;
    expression::Tree condition;  // null: always
    expression::Code code;
    bool exact = false;  // the index that finds it is all of its condition
    int traffic = -1;
    std::optional<expression::Code> key;
    std::vector<std::pair<int, std::int64_t>> pools;  // with their weights
    Micros limit = 0;
    int transmissions = 0;
    bool no_copies = false;
};

struct Pool {
    std::string name;
    expression::Code members;  // of the boxes' program
    int otherwise = -1;        // where it has no box that is ready, -1: all
};

class RuleSet {
public:
    // Gives no memory beyond what its runner holds. `runner` is this set's own.
    struct Runner {
        explicit Runner(const RuleSet& set);
        expression::Machine machine;
        expression::Facts facts;
        Cursor cursor;
        std::string key;
        std::array<char, 16> object;
        std::uint64_t units = 0;  // of the last decision, as counted
        bool failed = false;      // an amount overflowed somewhere
    };
    Decision decide(const Told& told, Runner& runner) const;
    Decision decide_in_turn(const Told& told, Runner& runner) const;  // without the index, the same answer

    // The first of a rule's conditions that does not hold of a lookup, in words.
    std::string why_not(RuleNumber number, const Told& told, Runner& runner) const;

    const std::vector<Rule>& all() const { return rules; }
    const std::vector<Pool>& pools() const { return pools_; }
    std::vector<expression::FieldFacts> named()
        const;                                      // the named fields that conditions and keys may ask for
    std::uint64_t bound() const { return bound_; }  // units of a decision at most
    // Of the boxes, those in each pool, by the pools' numbers; sorted ids. Falls back where a pool has none
    // that is ready: to its `else`, and in the end to none at all, which stands for every box.
    std::vector<std::vector<CacheId>> members(const std::vector<feed::Endpoint>& boxes,
                                              const Site& site) const;

private:
    friend class Loader;
    RuleSet() = default;
    void gather(const Told& told, Runner& runner) const;
    Decision make(RuleNumber number, const Told& told, Runner& runner) const;
    int pool_for(const Rule& rule, std::uint64_t key) const;

    std::vector<expression::FieldFacts> fields;  // of the lookup, the named ones from `first_named` on
    std::vector<TrafficTypeSettings> types;
    std::vector<std::string> traffic;
    expression::Program program;  // conditions, keys and what is looked up
    expression::Program box_program;
    std::vector<Rule> rules;
    std::vector<Pool> pools_;
    std::vector<Index> indexes;
    Rules always;
    std::uint64_t bound_ = 0;
};

struct Warning {
    expression::Place place;
    std::string what;
};

// Reads a file of rules a slice at a time.
class Loader {
public:
    // `site` outlives it. `budget`: units a lookup may cost.
    Loader(std::string told, const Site& site, std::uint64_t budget = usual_budget);
    bool step(int statements);  // true once all is done
    const std::vector<expression::Fault>& faults() const { return found; }
    const std::vector<Warning>& warnings() const { return warned; }  // rules that never match
    std::shared_ptr<const RuleSet> result() const;                   // null where there are faults
    std::string report(std::size_t most = 20) const;  // the faults with their lines and a caret under each

private:
    void take(expression::Statement statement);
    void take_rule(expression::Statement statement);
    void take_pool(expression::Statement statement);
    void index(RuleNumber number);
    // What a lookup pays on average for a rule that is found by this conjunct, units.
    double price(const expression::Node& part, std::uint64_t condition) const;
    void find_covered(RuleNumber number);
    void finish();
    void fault(expression::Place place, std::string what) { found.push_back({place, std::move(what)}); }

    std::string text;
    const Site& site;
    std::uint64_t budget;
    std::vector<expression::Fault> found;
    std::vector<Warning> warned;
    std::shared_ptr<RuleSet> set;
    expression::Names names, box_names;
    std::vector<expression::Piece> pieces;
    std::size_t next_piece = 0, next_rule = 0, next_index = 0, next_cover = 0;
    std::unordered_map<std::string, std::size_t> literals,
        keys;  // of conjuncts, and how many rules have each
    std::unordered_map<std::string, std::size_t> index_by_key;
    std::unordered_map<std::string, RuleNumber>
        conditions;  // sets of conjuncts, as text, to their first rule
    std::unordered_map<std::string, std::vector<std::pair<std::string, std::string>>> prefixes;  // by key
    std::unordered_map<std::string, std::vector<std::string>> in_sets;  // key and literal to conjuncts
    std::optional<RuleNumber> always_first;
    bool done = false;
};

std::string costliest(const expression::Node& node);  // the part that costs most, with its units

// The fields that every lookup has.
std::vector<expression::FieldFacts> lookup_fields(const Site& site);

}  // namespace quillgrade::route
