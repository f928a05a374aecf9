// The operators' own file: JSON with comments, read once at the start (and again on SIGHUP). Without it, or
// without a member of it, the front or store that the member names does not exist. No I/O here.
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

enum class Membership {
    Merged,   // boxes of the coordinator and of the stream together
    Streamed  // once a version of Boxes is in force, only its boxes; drains told by the coordinator hold
};

struct ControlConfig {
    std::vector<feed::Address> services;  // in order of preference, 1 to 8
    discovery::Form form = discovery::Form::Whole;
    std::vector<discovery::Kind> kinds = {discovery::Kind::Boxes, discovery::Kind::Amounts};
    Membership membership = Membership::Merged;
    std::string cluster;
    std::size_t max_version_bytes = 0;  // bytes; 0: a sixteenth of the memory limit, 8 MB at most
    bool canary = true;
    Micros canary_duration = 15'000'000;
    double canary_min_increase = 0.10;  // of the share of lookups rejected or broken off
    bool operator==(const ControlConfig&) const = default;
};

struct StoreConfig {
    std::string path;  // a folder, made where it is missing
    std::size_t max_bytes = 64U << 20;
    bool sync = true;  // written to the disk before a version is acknowledged
    bool operator==(const StoreConfig&) const = default;
};

struct RulesConfig {
    std::string file;               // in force while no version of Rules is; empty: none
    std::uint64_t budget = 20'000;  // units a lookup may cost, also for versions
    bool operator==(const RulesConfig&) const = default;
};

// The routers of the tier tell one another who is there (docs/membership.md). Only where the settings allow
// it.
struct PeersConfig {
    Micros probe_interval = 333'000;   // between probes, 100 ms to 10 s
    double bytes_per_s = 300;          // sent, without the headers of UDP and IP; 100 to 100,000
    Micros min_suspicion = 2'100'000;  // from an accusation to a verdict, where another accuses too
    Micros max_suspicion = 8'000'000;  // where nobody else does
    Micros pause_threshold =
        250'000;                  // a pass of the loop that is later by more means that the router was away
    bool state_transfer = false;  // a new router asks the others for all accounts (docs/state-transfer.md)
    bool operator==(const PeersConfig&) const = default;
};

// What the routers of the tier share, on top of `peers` (docs/shared-state.md).
struct SharedStateConfig {
    bool facts = true, quotas = true, health_reports = true, counts = true;
    int lease_grantors = 4;             // of a starting server's budget, 1 to 64; all routers need the same
    Micros lease_duration = 3'000'000;  // 200 ms to 10 s; all routers need the same
    bool operator==(const SharedStateConfig&) const = default;
};

struct OperatorConfig {
    std::optional<ControlConfig> control;
    std::optional<StoreConfig> store;
    std::optional<RulesConfig> rules;
    std::optional<PeersConfig> peers;
    std::optional<SharedStateConfig> shared;  // only with peers
};

struct ConfigError {
    std::string where;  // "line 3, column 7" or "control.services[1]"
    std::string what;   // what was found, what was expected, in words for an operator
};

struct ParseResult {
    OperatorConfig config;
    std::vector<ConfigError> errors;  // all that were found; the plan is good only if there is none
};
ParseResult parse(std::string_view text);

}  // namespace quillgrade::operate
