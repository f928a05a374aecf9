// Plain values of streamed configuration: one version of one kind of resource as it was received (Bundle),
// the same after validation (ValidatedBundle), and the versions that are active together (VersionSet).
//
// Bundles that are shared through a VersionSet are never changed. Times are in microseconds.
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

// A resource that has to be active whenever the resource that names it is.
struct Dependency {
    Kind kind;
    std::string name;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 in a defaulted <=> for a pointer.
    auto operator<=>(const Dependency&) const = default;
};

// The parsed content of one resource of kind Boxes. Shared by all versions that contain it unchanged.
struct ParsedBoxes {
    std::vector<feed::Endpoint> endpoints;
    std::vector<int> emptied_zones;  // indices into the zones of the settings
    std::vector<Dependency> dependencies;
};

// One resource: the service's own version label of it, and the message as it was received.
struct Item {
    std::string label, bytes;
    std::shared_ptr<const ParsedBoxes> parsed;  // null until validated, and for kinds other than Boxes
};
using Items = std::map<std::string, std::shared_ptr<Item>>;  // by resource name

struct Bundle {
    Kind kind = Kind::Boxes;
    std::string identity, version_text;  // who assigned the number, and the version as it was received
    std::uint64_t number = 0;
    Items items;
    std::uint64_t digest = 0;  // of names and bytes: equal contents have equal digests
};
std::uint64_t digest_of(const Items& items);

// Limits and timeouts that a version narrows; empty: the value of the settings applies.
struct Amounts {
    std::optional<int> attempts;
    std::optional<bool> second_copies;
    std::optional<Micros> connect_timeout, idle_timeout, max_retry_after;
    bool operator==(const Amounts&) const = default;
};

struct ValidatedBundle {
    Bundle bundle;
    std::vector<feed::Endpoint> endpoints;  // of all items, in ascending order of id
    std::vector<int> emptied_zones;         // zones that the version leaves without a server on purpose
    Amounts amounts;
    std::shared_ptr<const route::RuleSet> rules;  // of kind Rules, else null
    std::vector<Dependency> dependencies;
};

// The versions that are active together, one per kind; null: no version of that kind.
using VersionSet = std::array<std::shared_ptr<const ValidatedBundle>, discovery::kinds>;
inline const std::shared_ptr<const ValidatedBundle>& version_of(const VersionSet& set, Kind kind) {
    return set[static_cast<std::size_t>(kind)];
}
std::string describe(const VersionSet& set);  // "Boxes 17 of 'ctl-a', Amounts 3 of 'ctl-a'", or "nothing"

// The settings' limits, which a version may narrow but never exceed.
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
