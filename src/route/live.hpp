// The set of rules in force, and those that lookups under way were taken with. Follows the list of boxes, so
// that the pools of all of them are those of now. No I/O, no clock.
//
// A lookup keeps its set until its final answer, through the list of boxes that it was given; a set is freed
// with the last of them.
#pragma once

#include <map>
#include <memory>
#include <vector>

#include "route/rules.hpp"

namespace quillgrade::route {

class Live {
public:
    explicit Live(Site site) : site(std::move(site)) {}

    void put_in_force(std::shared_ptr<const RuleSet> set);  // null: no rules
    void list(const feed::Listing& listing);
    bool on() const { return current != nullptr; }
    std::vector<expression::FieldFacts> named() const;  // the fields whose values are to be told

    // The ordinary path: what the first rule that matches makes of a lookup. `taken`: when its time began.
    // Narrows `facts` and nothing else.
    void narrow(const Told& told, LookupInfo& facts, Micros taken);

    std::size_t sets() const;  // in force, or held by lookups
    struct Tally {
        std::uint64_t decided = 0, matched = 0, looser = 0, failed = 0;
    };
    const Tally& tally() const { return counted; }
    const Site site;

private:
    struct Running {
        explicit Running(std::shared_ptr<const RuleSet> told)
            : set(std::move(told)), runner(*set), members(set->pools().size()) {}
        std::shared_ptr<const RuleSet> set;
        RuleSet::Runner runner;
        std::vector<std::vector<CacheId>> members;  // by pool; never resized
    };
    void follow(Running& running) const;
    std::shared_ptr<Running> current;
    std::vector<std::weak_ptr<Running>> older;
    std::map<CacheId, feed::Endpoint> boxes;
    Tally counted;
};

}  // namespace quillgrade::route
