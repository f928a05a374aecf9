// Which rules of a set may match, in their order, found by one condition of each: literals by hash, prefixes
// in a trie, ranges in a segment tree, regular expressions in a tree of RE2::Set. What it finds may not match
// as a whole; what it leaves out does not. No rule is left out for lack of such a condition: it is always a
// candidate.
#pragma once

#include <re2/set.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "expression/program.hpp"
#include "expression/tree.hpp"

namespace quillgrade::route {

using RuleNumber = std::uint32_t;
using Rules = std::vector<RuleNumber>;  // rising

// The conditions that all have to hold, of an expression that is true only then.
std::vector<const expression::Node*> conjuncts(const expression::Node& condition);

// One way to look up: an expression, evaluated once a lookup, and what its value leads to.
class Index {
public:
    enum class How { Equal, Prefix, Within, Pattern };
    // By which conjunct a rule can be found, if by any; the better one first.
    static std::optional<How> how(const expression::Node& node);
    static std::string key_of(const expression::Node& conjunct);  // conjuncts of one key share an index

    Index(How how, const expression::Node& conjunct, expression::Program& program);
    // `exact`: the conjunct is all of the rule's condition. Rules come in their order.
    void add(const expression::Node& conjunct, RuleNumber rule, bool exact, std::uint64_t condition);
    // A slice of what is left to build; true once it is done.
    bool build();
    std::uint64_t bound() const;  // units of a look-up and of the conditions that it leads to, at most

    expression::Code key;

private:
    friend class Cursor;
    struct Entry {
        RuleNumber rule;
        bool exact;
        std::uint64_t cost;
    };
    // What a list of candidates can cost: each condition, until one that needs no more than the index.
    static std::uint64_t cost_of(const std::vector<Entry>& entries);

    struct TrieNode {
        std::vector<std::pair<unsigned char, std::uint32_t>> kids;  // sorted
        Rules rules;
        std::uint64_t cost = 0;
    };
    struct Span {
        std::int64_t from, to;
        RuleNumber rule;
        bool exact;
        std::uint64_t cost;
    };
    struct PatternNode {  // any of the rules below it, or one rule where it is a leaf
        std::unique_ptr<re2::RE2::Set> any;
        std::unique_ptr<re2::RE2> one;
        std::uint32_t first_kid = 0, kids = 0;
        RuleNumber rule = 0;
    };
    struct Pattern {
        std::string text;
        RuleNumber rule;
        bool exact;
        std::uint64_t cost;
    };
    void build_spans();
    bool build_patterns();
    std::uint64_t worst_path(std::uint32_t node) const;

    How kind;
    bool of_text;
    std::uint32_t longest;
    struct Hash {
        using is_transparent = void;
        std::size_t operator()(std::string_view text) const { return std::hash<std::string_view>{}(text); }
    };
    std::unordered_map<std::string, Rules, Hash, std::equal_to<>> texts;
    std::unordered_map<std::int64_t, Rules> numbers;
    std::unordered_map<std::string, std::vector<Entry>>
        text_entries;  // for the bound, dropped when it is built
    std::unordered_map<std::int64_t, std::vector<Entry>> number_entries;
    std::vector<TrieNode> trie;
    std::vector<std::vector<Entry>> trie_entries;
    std::vector<Span> spans;
    std::vector<std::int64_t> points;  // where the rules that hold change
    std::vector<Rules> tree;           // a segment tree over the stretches between points
    std::vector<Pattern> patterns;
    std::vector<PatternNode> pattern_nodes;
    std::vector<std::pair<std::uint32_t, std::uint32_t>> level;  // nodes of the level under construction
    std::size_t built = 0;
    std::uint32_t top_from = 0, top_to = 0;
    int levels = 0;
    std::uint64_t worst = 0;
    bool done = false;
};

// The candidates of one lookup, lowest rule first. Gives no memory once it has run for a while.
class Cursor {
public:
    void clear();
    void add(const Rules& rules);
    void add(const Index& index, const expression::Value& value, std::uint64_t& units);
    // The next candidate, each rule once; false: there is none.
    bool next(RuleNumber& rule, std::uint64_t& units);

private:
    struct List {
        const RuleNumber *at, *end;
    };
    struct Descent {  // into a tree of patterns: what is still to be looked at, the next at the end
        const Index* index;
        std::string_view text;
        std::vector<std::uint32_t> open;
        bool waiting = false;  // `rule` is a match that was not given yet
        RuleNumber rule = 0;
    };
    static void advance(Descent& descent, std::uint64_t& units);
    std::vector<List> lists;
    std::vector<Descent> descents;
    std::size_t used_descents = 0;
};

}  // namespace quillgrade::route
