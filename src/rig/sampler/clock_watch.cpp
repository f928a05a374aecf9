#include "rig/sampler/clock_watch.hpp"

#include <algorithm>
#include <ctime>

namespace quillgrade::rig::sampler {

namespace {

Nanoseconds now(clockid_t clock) {
    timespec time{};
    clock_gettime(clock, &time);
    return std::chrono::seconds(time.tv_sec) + Nanoseconds(time.tv_nsec);
}

}  // namespace

const char* name_of(OtherClock clock) {
    switch (clock) {
        case OtherClock::Real:
            return "real";
        case OtherClock::MonotonicRaw:
            return "monotonic raw";
        case OtherClock::Boot:
            return "boot";
    }
    return "?";
}

ClockReading read_clocks() {
    ClockReading reading;
    reading.monotonic = now(CLOCK_MONOTONIC);
    reading.others = {now(CLOCK_REALTIME), now(CLOCK_MONOTONIC_RAW), now(CLOCK_BOOTTIME)};
    reading.read_within = now(CLOCK_MONOTONIC) - reading.monotonic;
    return reading;
}

void ClockWatch::add(const ClockReading& reading) {
    if (any_reading) gap = std::max(gap, reading.monotonic - last_reading);
    any_reading = true;
    last_reading = reading.monotonic;
    if (reading.read_within > longest_reading) {
        slow++;
        return;
    }
    for (std::size_t i = 0; i < other_clocks; i++) {
        auto ahead = reading.others[i] - reading.monotonic;
        if (taken == 0) {
            reference[i] = ahead;
        } else {
            auto& divergence = divergences[i];
            divergence.largest = std::max(divergence.largest, std::chrono::abs(ahead - previous[i]));
            if (std::chrono::abs(ahead - reference[i]) > tolerance) {
                divergence.count++;
                reference[i] = ahead;
            }
        }
        previous[i] = ahead;
    }
    taken++;
}

}  // namespace quillgrade::rig::sampler
