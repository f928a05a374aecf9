// What was sampled of one process: the last samples in a bounded ring, and extremes over its whole life. No
// I/O.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "rig/sampler/proc_lines.hpp"

namespace quillgrade::rig::sampler {

using SteadyTime = std::chrono::steady_clock::time_point;

struct ProcessSample {
    SteadyTime at;
    char state = '?';
    SchedulerTimes times;
    std::uint64_t minor_faults = 0, major_faults = 0;
    SystemCall call;
    int core = 0;           // where it runs, or ran last
    int allowed_cores = 0;  // 1: it is pinned to that one; 0: not known
    int ready_beside_it =
        0;  // other processes that were ready or running on that core, by their first threads
};

class ProcessHistory {
public:
    // `ring`: samples kept, at least 1.
    explicit ProcessHistory(std::size_t ring) : capacity(ring) {}

    // Samples come in the order of their time.
    void add(const ProcessSample& sample);

    std::uint64_t samples() const { return added; }
    std::vector<ProcessSample> kept() const;  // the oldest first
    // Requires a sample.
    const ProcessSample& first() const { return oldest; }
    const ProcessSample& last() const { return newest; }
    // The most by which its time on the run queue grew between two samples.
    Nanoseconds longest_run_queue() const { return run_queue_growth; }
    // The longest time over which it was ready in all samples and its processor time did not grow: a wait for
    // a core that is not over shows here, and not in its time on the run queue.
    Nanoseconds longest_ready_without_core() const { return ready_without_core; }
    // The longest time over which it did not run, whatever its state: to be read with the state at the end.
    Nanoseconds longest_without_running() const { return without_running; }

private:
    std::size_t capacity;
    std::vector<ProcessSample> ring;  // once full, the oldest stands at `added` modulo its size
    std::uint64_t added = 0;
    ProcessSample oldest, newest;
    SteadyTime ready_since, idle_since;
    Nanoseconds run_queue_growth{}, ready_without_core{}, without_running{};
};

}  // namespace quillgrade::rig::sampler
