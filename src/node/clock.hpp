// The system's Unix clock in whole microseconds. Where it is set back, time stands until it has caught up.
#pragma once

#include <algorithm>
#include <chrono>

#include "control.hpp"

namespace quillgrade::node {

// By the protocol: what crosses the end of a connection, or of an answer, comes within this.
constexpr Micros crossing = 50'000;

class Clock {
public:
    Micros now() {
        auto since = std::chrono::system_clock::now().time_since_epoch();
        return last = later(last, std::chrono::duration_cast<std::chrono::microseconds>(since).count());
    }
    // For lengths of time alone: it neither jumps nor stands still. Rights of this router end by it.
    static Micros steady() {
        auto since = std::chrono::steady_clock::now().time_since_epoch();
        return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
    }
    static Micros later(Micros last, Micros read) { return std::max(last, read); }

private:
    Micros last = 0;
};

}  // namespace quillgrade::node
