// Checks a bundle a slice at a time, so that thousands of boxes hold up no lookup. What stands unchanged in
// the version in force is not read again. All faults are counted, the first few are told.
#pragma once

#include <unordered_map>
#include <unordered_set>

#include "version/bundle.hpp"

namespace quillgrade::version {

class Validator {
public:
    // `before`: what is in force of that kind, or null. Neither needs to outlive the check but `allowed`.
    Validator(Bundle bundle, std::shared_ptr<const ValidatedBundle> before, const ConfiguredLimits& limits);
    // Reads about `boxes` more boxes; true once all is done.
    bool step(int boxes);
    bool passed() const { return faults == 0; }
    std::string reason() const;  // where it has not passed
    std::shared_ptr<const ValidatedBundle> result() { return checked; }
    const Bundle& bundle() const { return checked->bundle; }

private:
    void fault(const std::string& where, const std::string& what);
    bool begin(const std::string& name, Item& item);  // false: done with it already
    void read_box(const std::string& bytes);
    void add(const feed::Endpoint& endpoint, const std::string& where);
    void finish_item();
    void read_amounts(const std::string& name, const Item& item);
    void add_dependencies(const ParsedBoxes& read);
    bool add_dependencies(const std::string& name, const auto& message);
    bool step_rules(int statements);

    const ConfiguredLimits& limits;
    std::shared_ptr<const ValidatedBundle> before;
    std::shared_ptr<ValidatedBundle> checked;
    Items::iterator at;
    std::shared_ptr<ParsedBoxes> reading;  // of the item at `at`
    std::vector<std::string> raw;          // its boxes, not read yet from `next` on
    std::size_t next = 0;
    std::optional<route::Loader> rules;  // of kind Rules: the texts of all items, one after another
    std::unordered_set<CacheId> ids;
    std::unordered_map<std::uint64_t, CacheId> places;  // address and port of what is not gone
    std::vector<std::string> told;
    int faults = 0;
    bool done = false;
};

}  // namespace quillgrade::version
