// What happens in one run of the soak, drawn from a seed: who is ended how and when, which signals come in
// series, what the caches, the coordinator and other clients do meanwhile. Pure: the same seed and limits
// give the same script. docs/soak.md tells how to add an event.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "rig/world.hpp"

namespace quillgrade::rig::soak {

inline constexpr Micros millisecond = 1000, second = 1000 * millisecond;

enum class Action {
    PlannedEnd,    // a series of signals with SIGTERM or SIGINT in it, then a restart under the same name
    Kill,          // SIGKILL without a warning, then a restart
    Reload,        // SIGHUP several times, the file unchanged
    BrokenReload,  // the file is no JSON for a while, SIGHUP meanwhile and after
    HalfWrittenReload,  // the file ends in the middle for a while, SIGHUP meanwhile and after
    Pause,              // SIGSTOP, and SIGCONT later
    CacheHangs,         // a cache answers nothing for a while
    CacheResets,        // a cache resets the connection of each request for a while
    CacheDrains,        // the coordinator tells that a cache drains, for good
    CoordinatorSilent,  // the coordinator's connections stay open, nothing comes
    CoordinatorGone,    // the coordinator closes its connections and takes none
    Burst,              // many requests in one write
    IdleClients,        // connections on which nothing is asked
    SlowWriters,        // clients that write requests byte by byte
    LeavingClients,     // clients that close right after their request
};
inline constexpr int every_router = -1;  // as the target of an end
inline constexpr Micros longest_pause = 150 * millisecond;
inline constexpr int action_count = static_cast<int>(Action::LeavingClients) + 1;

const char* name_of(Action action);

struct TimedSignal {
    Micros after;  // the event's time, or the first line of a start
    int number;
    bool operator==(const TimedSignal&) const = default;
};

struct Event {
    Micros at = 0;  // since the run began
    Action action{};
    int target = 0;                    // a router, or a cache, or every_router
    int count = 0;                     // of clients
    Micros lasts = 0;                  // of what goes by
    std::vector<TimedSignal> signals;  // in the order of their times
    // Of ends alone: how long new connections go on coming after the first SIGTERM, whether clients go on
    // asking until the router closes, and what meets the start that follows, after its first line.
    Micros connections_last = 0;
    bool clients_stay = false;
    std::vector<TimedSignal> at_start;
    bool operator==(const Event&) const = default;
};

struct Script {
    std::uint64_t seed = 0;
    Micros length = 0;
    int routers = 0, caches = 0;
    double requests_per_s = 0;  // to each router
    Micros patience = 0;        // of clients
    Micros cache_delay = 0;     // of answers
    int busy_processes = 0;
    std::vector<Event> events;  // by time
    bool operator==(const Script&) const = default;
};

struct Limits {
    Micros shortest = 10 * second, longest = 30 * second;
};

Script draw(std::uint64_t seed, const Limits& limits);
std::string text_of(const Event& event);

}  // namespace quillgrade::rig::soak
