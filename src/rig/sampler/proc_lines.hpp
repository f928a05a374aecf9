// Parsers of what the kernel tells of a process in /proc/PID (proc(5)). Pure functions: text in, values out;
// a line that is malformed or cut short gives nothing.
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quillgrade::rig::sampler {

using Nanoseconds = std::chrono::nanoseconds;

// /proc/PID/schedstat, of the process's first thread.
struct SchedulerTimes {
    Nanoseconds processor{};  // it ran
    // It was ready and waited for a core. The kernel adds a wait once it is over: a thread that waits since
    // long and has not had its turn shows none of it.
    Nanoseconds run_queue{};
    std::uint64_t timeslices = 0;
};
std::optional<SchedulerTimes> parse_schedstat(std::string_view line);

// /proc/PID/stat, as far as it is wanted here.
struct ProcessStat {
    int pid = 0;
    std::string program;  // at most 15 bytes, whatever they are
    char state =
        '?';  // R ready or running, S asleep, D asleep in the kernel, T stopped, Z ended and not waited for
    int parent = 0;
    std::uint64_t minor_faults = 0;
    std::uint64_t major_faults = 0;  // pages that had to be read from a disk
    std::uint64_t start_ticks = 0;   // after the machine's start; tells lives of one pid apart
    int core = 0;                    // where it runs, or ran last
};
std::optional<ProcessStat> parse_stat(std::string_view line);

// A line of /proc/stat on one core, 'cpu3 ...'; that on all cores together gives nothing. In ticks.
struct CoreTimes {
    int core = 0;
    std::uint64_t idle = 0;    // without the wait for disks
    std::uint64_t stolen = 0;  // it was ready to run and the machine's host ran something else
};
std::optional<CoreTimes> parse_core_times(std::string_view line);

// /proc/PID/syscall, of the process's first thread.
struct SystemCall {
    enum class Kind { Unknown, Running, OutsideOfCalls, InCall };
    static constexpr std::size_t argument_count = 6;

    Kind kind = Kind::Unknown;
    int number = 0;                                         // InCall
    std::array<std::uint64_t, argument_count> arguments{};  // InCall
    std::uint64_t stack_pointer = 0, instruction = 0;       // InCall, OutsideOfCalls
    bool operator==(const SystemCall&) const = default;
};
std::optional<SystemCall> parse_syscall(std::string_view line);
// As the kernel writes it; 'running' and 'unknown' for those kinds.
std::string text_of(const SystemCall& call);

}  // namespace quillgrade::rig::sampler
