// Whether a router that answers its peers also gets its lookups handled: it is called ill while more than
// half of those that ended in the last five seconds, and ten at least, were rejected or broken off; and well
// again only when less than a fifth were, so that it does not swing.
#pragma once

#include <array>
#include <cstdint>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

class RequestHealth {
public:
    // Sums since the start. Answers whether it is ill.
    bool update(std::uint64_t ended, std::uint64_t bad, Micros now) {
        if (now - at >= second) {
            at = now;
            seconds[next++ % seconds.size()] = {ended, bad};
        }
        auto& oldest = seconds[next % seconds.size()];
        auto lately = ended - oldest.ended, bad_lately = bad - oldest.bad;
        if (lately >= least && bad_lately * 2 > lately) ill = true;
        if (lately >= least && bad_lately * 5 < lately) ill = false;
        if (lately == 0) ill = false;  // nothing is known against it
        return ill;
    }

private:
    static constexpr Micros second = 1'000'000;
    static constexpr std::uint64_t least = 10;
    struct Sum {
        std::uint64_t ended = 0, bad = 0;
    };
    std::array<Sum, 5> seconds{};
    std::size_t next = 0;
    Micros at = 0;
    bool ill = false;
};

}  // namespace quillgrade::peers
