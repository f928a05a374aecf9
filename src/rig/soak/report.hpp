// What the observer of the soak saw in one run, from outside the routers.
#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

#include "rig/world.hpp"

namespace quillgrade::rig::soak {

struct Report {
    std::uint64_t seed = 0;
    int lives = 0;            // starts of the program
    int measured_starts = 0;  // that were not told to end, or killed, before they were ready or 30 s old
    int not_ready_10s = 0, not_ready_30s = 0;
    int exits_not_zero = 0;  // after SIGTERM or SIGINT
    int crashes = 0;         // ends that nobody asked for
    int exits_by_hup = 0;
    int outlived_kill = 0;
    int limits_exceeded = 0;   // memory or descriptors beyond the configuration's
    int descriptors_lost = 0;  // lives with more open files than when they were ready, for good
    Totals totals;
    Micros slowest_start = 0, slowest_end = 0;
    Micros longest_gap = 0;             // of the observer itself: it looked at the routers no oftener
    std::vector<std::string> findings;  // what broke a rule; empty: the run passed
    std::vector<std::pair<Micros, std::string>> timeline;  // since the run began
    std::vector<std::string> logs;                         // the last lines of the routers concerned
};

}  // namespace quillgrade::rig::soak
