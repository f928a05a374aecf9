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
struct Need {
    Kind kind;
    std::string name;
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 in a defaulted <=> for a pointer.
    auto operator<=>(const Need&) const = default;
};

// What one resource of kind Boxes says. Shared by all versions that hold it unchanged.
struct BoxesRead {
    std::vector<feed::Endpoint> boxes;
    std::vector<int> emptied;  // zones, by their places in the settings
    std::vector<Need> needs;
};

struct Item {
    std::string label, bytes;
    std::shared_ptr<const BoxesRead> read;  // empty until it has passed its check
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
    std::optional<int> transmissions;
    std::optional<bool> second_copies;
    std::optional<Micros> connect_time, idle_time, come_back;
    bool operator==(const Amounts&) const = default;
};

// A bundle that has passed its check.
struct Checked {
    Bundle bundle;
    std::vector<feed::Endpoint> boxes;  // of all items, by rising id
    std::vector<int> emptied;
    Amounts amounts;
    std::shared_ptr<const route::RuleSet> rules;  // of kind Rules
    std::vector<Need> needs;
};

// What is in force together, a bundle a kind; empty: none of that kind.
using Set = std::array<std::shared_ptr<const Checked>, discovery::kinds>;
inline const std::shared_ptr<const Checked>& of(const Set& set, Kind kind) {
    return set[static_cast<std::size_t>(kind)];
}
std::string text_of(const Set& set);  // "Boxes 17 of 'ctl-a', Amounts 3 of 'ctl-a'", or "nothing"

// What the settings allow: a version may narrow it.
struct Allowed {
    site::Terms terms;
    int transmissions = 1;
    bool second_copies = false;
    Micros come_back = 0;
    route::Site rule_site;
    std::uint64_t rule_budget = route::usual_budget;
};
Allowed allowed_by(const SiteSettings& facts, const site::Terms& terms);

}  // namespace quillgrade::version
