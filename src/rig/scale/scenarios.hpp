// What happens to a large fleet on ordinary and on bad days, run in simulated time at one size, and the
// figures that come of it.
#pragma once

#include <functional>
#include <vector>

#include "rig/scale/simulated_fleet.hpp"
#include "rig/scale/statistics.hpp"

namespace quillgrade::rig::scale {

// MembershipSettings::bytes_per_s, what a router may send. With as much coming in, and a second's worth at
// once, two seconds stay within 4,000 bytes a second.
inline constexpr double allowed_bytes_per_s = 1'000;
inline constexpr double complete_view = 0.99;  // share of the live members whose account is exact

struct MembershipFigures;

struct ScenarioOptions {
    int routers = 100;
    std::uint64_t seed = 1;
    bool state_transfer = false;
    double bytes_per_s = allowed_bytes_per_s;
    Micros quiet = 20 * second;
    Micros region_cut = 60 * second;
    Micros start_limit = 30 * second;  // how long a start is watched
    Micros all_at_once_limit = 60 * second;
    Micros heal_limit = 120 * second;
    Micros detection_limit = 30 * second;
    // Without the loss of a rack and the rolling restart, whose figures are taken at the smaller sizes.
    bool brief = false;
    // Told after each part, with the figures so far; null: nobody.
    std::function<void(const MembershipFigures&)> on_progress;
};

// Starts of routers, and when each held a complete view.
struct StartFigures {
    int watched = 0, complete = 0;
    Summary milliseconds;  // -1 where fewer than that share were complete within the limit
    double busiest_bytes_per_s = 0;
};

// Routers that died together, and when each of the others declared each of them dead.
struct DetectionFigures {
    int dead = 0;
    double share = 0;  // of pairs of observer and dead router
    Summary milliseconds;
    double busiest_bytes_per_s = 0;
};

struct HealFigures {
    double cut_seconds = 0;
    double milliseconds = -1;  // until 99% of the watched see 99% of those as alive that they saw before the
                               // cut; -1: not in the limit
    double busiest_bytes_per_s = 0;      // after the cut
    double cut_busiest_bytes_per_s = 0;  // while it lasted
};

// Declarations of death about routers that lived, as pairs of observer and router, by what happened
// meanwhile.
struct FalseDeaths {
    int quiet = 0, single_starts = 0, losses = 0, group_starts = 0, region_cut = 0;
    int all() const { return quiet + single_starts + losses + group_starts + region_cut; }
};

struct MembershipFigures {
    int routers = 0;
    bool state_transfer = false;
    std::uint64_t seed = 0;
    double bytes_per_s = 0;     // MembershipSettings::bytes_per_s
    Summary quiet_bytes_per_s;  // sent and received, payload of UDP
    Summary quiet_bytes_sent_per_s;
    Summary quiet_busiest_bytes_per_s;
    Summary quiet_datagrams_per_s;
    Summary cpu_percent;  // of one core, inside the modules
    Summary memory_mb;    // as the modules count their own
    StartFigures single_starts, zone_back, rolling, all_at_once;
    DetectionFigures rack, zone;
    HealFigures regions;
    FalseDeaths false_deaths;
    double wall_seconds = 0;
};
MembershipFigures run_membership(const ScenarioOptions& options);

struct PurgeOptions {
    int routers = 100;
    std::uint64_t seed = 1;
    double purges_per_s = 120;
    bool burst = false;          // ten times as many for two seconds
    double bytes_per_s = 2'000;  // MembershipSettings::bytes_per_s: facts take all that there is
    Micros length = 20 * second;
    Micros wait = 8 * second;  // the promise, after the last purge
};
// Purges by each router's own stream, and as facts to the largest region, whose streams are cut.
struct PurgeFigures {
    int routers = 0, cut_routers = 0;
    double purges_per_s = 0;
    bool burst = false;
    int purges = 0;
    Summary stream_milliseconds;  // from publishing until all with a stream had it
    std::uint64_t stream_missed = 0;
    Summary facts_milliseconds;     // of those that came, by pairs of purge and router without a stream
    double facts_missed_share = 0;  // of these pairs, `wait` after the last purge
    double facts_late_share = 0;    // came, but after `wait`
    std::uint64_t facts_refused = 0;
    Summary bytes_per_s, busiest_bytes_per_s, cpu_percent;
    int false_dead = 0;
    double wall_seconds = 0;
};
PurgeFigures run_purges(const PurgeOptions& options);

}  // namespace quillgrade::rig::scale
