// Bytes that may be sent: a token bucket of so many a second, with two seconds saved up at most.
#pragma once

#include <algorithm>
#include <cstddef>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

class ByteBudget {
public:
    ByteBudget(double bytes_per_s, Micros now) : rate(bytes_per_s), at(now), saved(bytes_per_s) {}
    // Bytes there are. What is sent may go below 0 by one datagram, and has to be earned then.
    double left(Micros now) {
        saved = std::min(2 * rate, saved + rate * static_cast<double>(std::max<Micros>(0, now - at)) / 1e6);
        at = std::max(at, now);
        return saved;
    }
    void spend(std::size_t bytes) { saved -= static_cast<double>(bytes); }

private:
    double rate;
    Micros at;
    double saved;
};

}  // namespace quillgrade::peers
