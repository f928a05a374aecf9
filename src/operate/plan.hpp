// The operators' file: JSON with comments, read at the start and again on SIGHUP. A feature whose member is
// missing from the file, such as "control" or "store", is off. No I/O here.
//
//   auto result = operate::parse(text);
//   if (!result.errors.empty()) print(result.errors);  // all of them, each with its place
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "control.hpp"
#include "discovery/message.hpp"
#include "feed/event.hpp"

namespace quillgrade::operate {

// How the servers of streamed configuration combine with those that the coordinator lists.
enum class EndpointListMode {
    // The servers of the coordinator and of the stream together.
    Merged,
    // While a version of Boxes is active, only its servers. Drains ordered by the coordinator still hold.
    Streamed
};

// Streamed configuration from control services; the member "control".
struct ControlConfig {
    std::vector<feed::Address> services;  // in order of preference, 1 to 8
    discovery::Form form = discovery::Form::Whole;
    std::vector<discovery::Kind> kinds = {discovery::Kind::Boxes, discovery::Kind::Amounts};
    EndpointListMode endpoint_list_mode = EndpointListMode::Merged;
    std::string cluster;
    std::size_t max_version_bytes = 0;  // 0: a sixteenth of the memory limit, 8 MB at most
    bool canary = true;
    Micros canary_duration = 15'000'000;
    double canary_min_increase = 0.10;  // of the share of lookups rejected or failed
    bool operator==(const ControlConfig&) const = default;
};

// The snapshot store; the member "store".
struct StoreConfig {
    std::string path;  // a directory, created if it is missing
    std::size_t max_bytes = 64U << 20;
    bool sync = true;  // synced to the disk before a version is acknowledged
    bool operator==(const StoreConfig&) const = default;
};

// The member "rules".
struct RulesConfig {
    std::string file;               // used while no version of Rules is active; empty: none
    std::uint64_t budget = 20'000;  // cost units that a lookup may use, also under the rules of versions
    bool operator==(const RulesConfig&) const = default;
};

// Membership among the routers of a tier (docs/membership.md), where the settings allow it.
// The member "peers".
struct PeersConfig {
    Micros probe_period = 333'000;  // 100 ms to 10 s
    double bytes_per_s = 300;       // sent, without the headers of UDP and IP; 100 to 100,000
    // From a suspicion until the peer is declared dead: if others suspect it too, and if nobody else does.
    Micros shortest_suspicion = 2'100'000;
    Micros longest_suspicion = 8'000'000;
    // A pass of the event loop that is late by more means that this router was paused.
    Micros longest_pause = 250'000;
    // A new router asks its peers for the states of all members (docs/state-transfer.md).
    bool state_transfer = false;
    bool operator==(const PeersConfig&) const = default;
};

// What the routers of a tier share, on top of `peers` (docs/shared-state.md); the member "shared".
struct SharedStateConfig {
    bool facts = true, quotas = true, health_reports = true, request_counts = true;
    int grantors = 4;                   // per budget of a starting server, 1 to 64; the same in all routers
    Micros lease_duration = 3'000'000;  // 200 ms to 10 s; the same in all routers
    bool operator==(const SharedStateConfig&) const = default;
};

struct OperatorConfig {
    std::optional<ControlConfig> control;
    std::optional<StoreConfig> store;
    std::optional<RulesConfig> rules;
    std::optional<PeersConfig> peers;
    std::optional<SharedStateConfig> shared;  // only together with `peers`
};

struct ConfigError {
    std::string where;  // "line 3, column 7" or "control.services[1]"
    std::string what;   // what was found and what is expected
};

struct ParseResult {
    OperatorConfig config;
    std::vector<ConfigError> errors;  // all that were found; `config` is valid only if there is none
};
ParseResult parse(std::string_view text);

}  // namespace quillgrade::operate
