// Validates a bundle in slices, so that a version with thousands of servers does not delay lookups. A
// resource that is unchanged since the active version is not parsed again. All errors are counted; the first
// few are reported in full.
//
//   Validator validator(std::move(bundle), active_version, limits);
//   while (!validator.step(256)) serve_lookups();
//   if (!validator.passed()) reject(validator.reason());
#pragma once

#include <unordered_map>
#include <unordered_set>

#include "version/bundle.hpp"

namespace quillgrade::version {

class Validator {
public:
    // `active`: the active version of that kind, or null. `limits` must outlive the validator.
    Validator(Bundle bundle, std::shared_ptr<const ValidatedBundle> active, const ConfiguredLimits& limits);
    // Processes about `boxes` more boxes; true once validation is complete.
    bool step(int boxes);
    bool passed() const { return error_count == 0; }
    std::string reason() const;  // why validation failed
    std::shared_ptr<const ValidatedBundle> result() { return validated; }
    const Bundle& bundle() const { return validated->bundle; }

private:
    void add_error(const std::string& where, const std::string& what);
    bool begin_item(const std::string& name, Item& item);  // false: the item needs no further steps
    void parse_box(const std::string& bytes);
    void add_endpoint(const feed::Endpoint& endpoint, const std::string& where);
    void finish_item();
    void parse_amounts(const std::string& name, const Item& item);
    void add_dependencies(const ParsedBoxes& parsed);
    bool add_dependencies(const std::string& name, const auto& message);
    bool step_rules(int statements);

    const ConfiguredLimits& limits;
    std::shared_ptr<const ValidatedBundle> active;
    std::shared_ptr<ValidatedBundle> validated;
    Items::iterator current_item;
    std::shared_ptr<ParsedBoxes> parsing;  // of `current_item`; null between items
    std::vector<std::string> raw_boxes;    // of `current_item`, parsed up to `next_box`
    std::size_t next_box = 0;
    std::optional<route::Loader> rules;  // of kind Rules: the concatenated texts of all items
    std::unordered_set<CacheId> ids;
    std::unordered_map<std::uint64_t, CacheId>
        addresses;  // address and port of each endpoint that is not gone
    std::vector<std::string> reported_errors;
    int error_count = 0;
    bool done = false;
};

}  // namespace quillgrade::version
