// What a hollow run measured, and how it is printed.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace quillgrade::rig::hollow {

struct Distribution {
    double p50 = 0, p99 = 0, max = 0;
};
std::optional<Distribution> distribution_of(std::vector<double> values);  // none of no values

struct EventFigures {
    std::uint64_t published = 0;
    std::optional<Distribution> everywhere_ms;  // from publication to the last router that has it
    std::uint64_t missed = 0;                   // event and router, for good
};

// Of routers started for one reason: until each knew 99% of the live members' exact accounts. Those that did
// not within the run are in `started` alone.
struct StartFigures {
    int started = 0, know = 0;
    std::optional<Distribution> knows_all_ms;
};

struct ControlBytes {  // a second, over routers
    std::optional<Distribution> total, in, out, membership, stream;
};

struct RunResult {
    int hollow = 0, real = 0, processes = 0, control_machines = 0;
    double seconds = 0;
    double most_resident_mb = 0;
    std::optional<Distribution> cpu_percent, memory_mb;            // hollow routers, their part of a worker
    std::optional<Distribution> real_cpu_percent, real_memory_mb;  // real ones with the requests they serve
    ControlBytes bytes_per_s;
    std::optional<Distribution> real_membership_bytes_per_s;
    std::optional<Distribution> machine_bytes_per_s, machine_cpu_percent, machine_memory_mb;
    double purges_per_s = 0;
    EventFigures purges, configurations;
    StartFigures together, restarted, after_loss;
    int killed_and_back = 0;  // routers of the killed worker that have the last event
    std::uint64_t requests = 0, requests_served = 0, requests_without_one_response = 0;
    std::uint64_t requests_answered_late = 0;  // of those without one response: it came, too late
    std::int64_t client_gap_ms = 0;  // the longest time in which clients and caches did not run themselves
    int false_dead = 0;              // living routers declared dead
    int false_dead_held_up = 0;      // of them, those that had not run for a while themselves
    std::uint64_t false_dead_declarations = 0;  // by router and subject
    // Times that a hollow router had not run for a while: in all, and while costs were measured.
    std::uint64_t times_away = 0, times_away_measured = 0;
    std::uint64_t longest_datagram = 0;
    std::vector<std::string> broken;  // promises that did not hold
};

void print_table(const RunResult& result);
std::string json_of(const RunResult& result);  // one line

}  // namespace quillgrade::rig::hollow
