#include "loop_checks.hpp"

#include <fmt/format.h>
#include <linux/futex.h>
#include <sys/syscall.h>

#include <algorithm>
#include <utility>

#include "system_calls.hpp"

namespace quillgrade::driven_start {

namespace {

struct Wait {
    bool waits = false;    // it may take time by its purpose
    bool endless = false;  // nothing but an event ends it
};

Wait by_timeout(int timeout_ms) { return {timeout_ms != 0, timeout_ms < 0}; }

Wait wait_of(const Stop& stop) {
    switch (stop.call) {
        case SYS_epoll_wait:
        case SYS_epoll_pwait:
            return by_timeout(static_cast<int>(stop.arguments[3]));
        case SYS_poll:
            return by_timeout(static_cast<int>(stop.arguments[2]));
        case SYS_epoll_pwait2:
            return {true, stop.arguments[3] == 0};
        case SYS_ppoll:
            return {true, stop.arguments[2] == 0};
        case SYS_futex: {
            auto operation = stop.arguments[1] & FUTEX_CMD_MASK;
            bool waits = operation == FUTEX_WAIT || operation == FUTEX_WAIT_BITSET;
            return {waits, waits && stop.arguments[3] == 0};
        }
        case SYS_pause:
        case SYS_rt_sigsuspend:
            return {true, true};
        default:
            return {};
    }
}

}  // namespace

void LoopChecks::find(const char* what, std::string detail) {
    if (!found.empty()) return;
    found = what;
    told = std::move(detail);
}

void LoopChecks::call_begins(const Stop& stop, Time now) {
    auto wait = wait_of(stop);
    in_call = true;
    waiting = wait.waits;
    current = stop.call;
    call_began = now;
    if (wait.endless) find(wait_without_end, name_of_call(stop.call));
    highest = std::max(highest, ++calls);
    if (calls > most_calls)
        find(too_many_calls, fmt::format("{}, the last one {}", calls, name_of_call(stop.call)));
    if (stop.call != SYS_connect) return;
    while (!connects.empty() && now - connects.front() > connect_window) connects.pop_front();
    connects.push_back(now);
    if (connects.size() > most_connects)
        find(connects_at_once, fmt::format("{} in {} ms", connects.size(), connect_window.count()));
}

void LoopChecks::call_ends(const Stop& stop, Time now, std::chrono::nanoseconds processor_time) {
    at(now, processor_time);
    in_call = false;
    bool in_time = stop.result == 0 || now - call_began >= shortest_wait;
    if (!std::exchange(waiting, false) || !in_time) return;
    waits_ended++;
    calls = 0;
    used_before = processor_time;
}

void LoopChecks::at(Time now, std::chrono::nanoseconds processor_time) {
    auto used = processor_time - used_before;
    highest_used = std::max(highest_used, used);
    if (used > most_processor_time)
        find(too_much_processor_time,
             fmt::format("{} ms", std::chrono::duration_cast<std::chrono::milliseconds>(used).count()));
    if (in_call && !waiting && now - call_began > longest_call) find(call_that_waits, name_of_call(current));
}

}  // namespace quillgrade::driven_start
