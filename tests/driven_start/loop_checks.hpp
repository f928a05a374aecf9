// What holds of every event loop, whatever happens to it, seen from its system calls: it waits between pieces
// of work, each wait ends by itself, and a connect that has failed is not made again at once.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>

#include "traced_process.hpp"

namespace quillgrade::driven_start {

using Time = std::chrono::steady_clock::time_point;

// The names of the findings, for planted faults.
inline constexpr const char* too_many_calls = "too many system calls without a wait";
inline constexpr const char* too_much_processor_time = "too much processor time without a wait";
inline constexpr const char* wait_without_end = "a wait without a timeout";
inline constexpr const char* call_that_waits = "a call that is no wait has not ended";
inline constexpr const char* connects_at_once = "too many connects in a short time";

class LoopChecks {
public:
    // An undisturbed start makes 110 calls up to its first wait, an iteration of the loop some 20.
    static constexpr int most_calls = 400;
    static constexpr auto most_processor_time = std::chrono::milliseconds(300);
    // A wait that ends sooner without its timeout is none: the loop may turn round on one descriptor.
    static constexpr auto shortest_wait = std::chrono::milliseconds(1);
    // The router connects again after 50 ms at the soonest, then after 100 ms.
    static constexpr std::size_t most_connects = 4;
    static constexpr auto connect_window = std::chrono::milliseconds(200);
    // A call on this machine's memory and loopback, beside any load that the test is run with.
    static constexpr auto longest_call = std::chrono::seconds(3);

    void call_begins(const Stop& stop, Time now);
    void call_ends(const Stop& stop, Time now, std::chrono::nanoseconds processor_time);
    void at(Time now, std::chrono::nanoseconds processor_time);  // between stops
    void held(Time until) { call_began = std::max(call_began, until); }

    const std::string& finding() const { return found; }  // the first one, empty: none
    const std::string& detail() const { return told; }
    int waits() const { return waits_ended; }
    int highest_calls() const { return highest; }
    std::chrono::nanoseconds highest_processor_time() const { return highest_used; }

private:
    void find(const char* what, std::string detail);
    std::string found, told;
    int calls = 0, highest = 0, waits_ended = 0;
    std::chrono::nanoseconds used_before{}, highest_used{};
    bool in_call = false, waiting = false;
    long current = -1;
    Time call_began{};
    std::deque<Time> connects;
};

}  // namespace quillgrade::driven_start
