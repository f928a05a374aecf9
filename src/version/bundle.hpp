// A version of one kind of resource as it was told, and what it says once it is checked. Plain values.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "control.hpp"
#include "discovery/message.hpp"
#include "feed/event.hpp"
#include "route/rules.hpp"
#include "site/site.hpp"

namespace quillgrade::version {

using discovery::Kind;

// A resource that another one wants to be in force together with it.
struct Dependency {
    Kind kind;
    std::string name;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 in a defaulted <=> for a pointer.
    auto operator<=>(const Dependency&) const = default;
};

// What one resource of kind Boxes says. Shared by all versions that hold it unchanged.
struct ParsedBoxes {
    std::vector<feed::Endpoint> endpoints;
    std::vector<int> emptied_zones;  // zones, by their places in the settings
    std::vector<Dependency> dependencies;
};

struct Item {
    std::string label, bytes;
    std::shared_ptr<const ParsedBoxes> read;  // empty until it has passed its check
};
using Items = std::map<std::string, std::shared_ptr<Item>>;

struct Bundle {
    Kind kind = Kind::Boxes;
    std::string identity, text;  // who numbers, and the version as it stands on the wire
    std::uint64_t number = 0;
    Items items;
    std::uint64_t digest = 0;  // of names and bytes: equal contents have equal digests
};
std::uint64_t digest_of(const Items& items);

// Limits and times as a version narrows them; empty: as the settings have it.
struct Amounts {
    std::optional<int> attempts;
    std::optional<bool> second_copies;
    std::optional<Micros> connect_timeout, idle_timeout, max_retry_after;
    bool operator==(const Amounts&) const = default;
};

// A bundle that has passed its check.
struct ValidatedBundle {
    Bundle bundle;
    std::vector<feed::Endpoint> endpoints;  // of all items, by rising id
    std::vector<int> emptied_zones;
    Amounts amounts;
    std::shared_ptr<const route::RuleSet> rules;  // of kind Rules
    std::vector<Dependency> dependencies;
};

// What is in force together, a bundle a kind; empty: none of that kind.
using VersionSet = std::array<std::shared_ptr<const ValidatedBundle>, discovery::kinds>;
inline const std::shared_ptr<const ValidatedBundle>& version_of(const VersionSet& set, Kind kind) {
    return set[static_cast<std::size_t>(kind)];
}
std::string describe(const VersionSet& set);  // "Boxes 17 of 'ctl-a', Amounts 3 of 'ctl-a'", or "nothing"

// What the settings allow: a version may narrow it.
struct ConfiguredLimits {
    site::Terms terms;
    int max_attempts = 1;
    bool second_copies_allowed = false;
    Micros max_retry_after = 0;
    route::Site rule_site;
    std::uint64_t rule_budget = route::usual_budget;
};
ConfiguredLimits configured_limits(const SiteSettings& facts, const site::Terms& terms);

}  // namespace quillgrade::version
