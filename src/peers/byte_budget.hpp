// A token bucket of bytes: it fills at a fixed rate up to a burst, and sending or
// requesting data spends from it.
#pragma once

#include <algorithm>
#include <cstddef>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

class ByteBudget {
public:
    // Saves up two seconds' worth at most, and starts with one second's worth.
    ByteBudget(double bytes_per_s, Micros now)
        : rate(bytes_per_s), capacity(2 * bytes_per_s), updated_at(now), saved(bytes_per_s) {}
    // Saves up `burst` bytes at most, and starts with them.
    ByteBudget(double bytes_per_s, Micros now, double burst)
        : rate(bytes_per_s), capacity(burst), updated_at(now), saved(burst) {}
    // Bytes that may be spent now. Negative by up to one datagram after the budget was overdrawn; later
    // income pays that back first.
    double available(Micros now) {
        saved = std::min(capacity,
                         saved + rate * static_cast<double>(std::max<Micros>(0, now - updated_at)) / 1e6);
        updated_at = std::max(updated_at, now);
        return saved;
    }
    void spend(std::size_t bytes) { saved -= static_cast<double>(bytes); }
    // When `bytes` will be available if none are spent before.
    Micros available_at(double bytes) const {
        return updated_at + static_cast<Micros>(std::max(0.0, bytes - saved) / rate * 1e6);
    }
    void refund(std::size_t bytes) { saved = std::min(capacity, saved + static_cast<double>(bytes)); }

private:
    double rate, capacity;  // bytes per second; bytes
    Micros updated_at;
    double saved;  // bytes
};

}  // namespace quillgrade::peers
