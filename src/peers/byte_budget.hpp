// Bytes that may be sent or asked for: a token bucket of so many a second, with two seconds, or another
// amount, saved up at most.
#pragma once

#include <algorithm>
#include <cstddef>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

class ByteBudget {
public:
    ByteBudget(double bytes_per_s, Micros now)
        : rate(bytes_per_s), most(2 * bytes_per_s), at(now), saved(bytes_per_s) {}
    // `burst`: what can be saved up, and is there at the beginning.
    ByteBudget(double bytes_per_s, Micros now, double burst)
        : rate(bytes_per_s), most(burst), at(now), saved(burst) {}
    // Bytes there are. What is sent may go below 0 by one datagram, and has to be earned then.
    double available(Micros now) {
        saved = std::min(most, saved + rate * static_cast<double>(std::max<Micros>(0, now - at)) / 1e6);
        at = std::max(at, now);
        return saved;
    }
    void spend(std::size_t bytes) { saved -= static_cast<double>(bytes); }
    // When there will be so many, if none is spent before.
    Micros available_at(double bytes) const {
        return at + static_cast<Micros>(std::max(0.0, bytes - saved) / rate * 1e6);
    }
    void refund(std::size_t bytes) { saved = std::min(most, saved + static_cast<double>(bytes)); }

private:
    double rate, most;
    Micros at;
    double saved;
};

}  // namespace quillgrade::peers
