// Follows processes from outside, by what /proc tells of them at regular intervals, and writes a report of
// each once it has ended: whether it ran, waited for a core, slept in a call, stood still in the kernel or
// was stopped. It costs the processes nothing. Samples are of a process's first thread.
// Where a process is pinned to one core, a wait for it says nothing of the other cores: the core, how many
// are allowed and how many processes were ready there beside it are told, too.
//
// Call round() every 20 to 50 ms and finish() at the end. Bounded: a ring of samples a process, so many
// processes at once; those beyond are counted.
#pragma once

#include <cstdint>
#include <map>
#include <ostream>
#include <string>
#include <string_view>

#include "rig/sampler/clock_watch.hpp"
#include "rig/sampler/process_history.hpp"

namespace quillgrade::rig::sampler {

inline constexpr std::size_t most_processes = 1024;

struct Options {
    // Where both are given, both have to hold; where none is, nothing is followed.
    std::string program;     // processes of this name; empty: of any
    int parent = 0;          // the children of this process; 0: of any
    std::size_t ring = 256;  // samples kept a process, at least 1
    bool write_samples = false;
    // Only processes are reported that waited longer for a core, whose processor time grew by more than this
    // between their first and last sample, or whose last state was neither asleep nor ready. Below 0: all.
    Nanoseconds only_worse_than{-1};
};

class Sampler {
public:
    // `report` has to outlive it.
    Sampler(const Options& options, std::ostream& report);

    // Samples all processes that are followed; reports those that have ended since the last round.
    void round();
    // Reports those that still live and, in the end, one line on all of them and one on the clocks.
    void finish();

    std::size_t followed() const { return processes.size(); }
    // The samples of a process that is followed now, else nullptr.
    const ProcessHistory* history_of(int pid) const;

private:
    struct Followed {
        std::uint64_t start_ticks = 0;
        std::string program;
        Nanoseconds first_seen{};  // CLOCK_REALTIME
        ProcessHistory history;
        std::uint64_t last_round = 0;
    };
    // What is known of one core.
    struct Core {
        int ready = 0;  // processes that were ready or running there in this round, by their first threads
        std::uint64_t stolen_ticks = 0;
        std::uint64_t most_stolen_ticks = 0;  // between two rounds
        bool known = false;
    };
    bool wanted(const ProcessStat& stat) const;
    void read_cores();
    void sample(const ProcessStat& stat);
    void report_ended(int pid, const Followed& followed, std::string_view end);

    Options options;
    std::ostream& report;
    std::map<int, Followed> processes;  // by pid
    std::map<int, Core> cores;
    ClockWatch clocks;
    std::uint64_t rounds = 0, reported = 0, not_followed = 0, left_out = 0;
    Nanoseconds longest_run_queue{}, longest_ready_without_core{}, most_processor{};
};

}  // namespace quillgrade::rig::sampler
