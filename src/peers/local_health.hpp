// A router's doubt in itself, after Lifeguard (Dadgar, Phillips, Currey, 2018, section 3: local health
// multiplier): a router that misses what it should have heard accuses more slowly. And whether it was away:
// nothing that should have come while it was is held against anybody.
#pragma once

#include <algorithm>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

class LocalHealth {
public:
    LocalHealth(Micros longest_gap, Micros now) : longest_gap(longest_gap), promised(now) {}

    void better() { doubt = std::max(0, doubt - 1); }
    void worse(int by = 1) { doubt = std::min(most, doubt + by); }
    // How many times as long it waits for an answer, and as rarely it asks, as one that is well: 1 to 4.
    int stretch() const { return 1 + doubt; }

    // To be told at each call into the modules; how long the router was away, 0: it was not. A clock that
    // jumps ahead looks the same, and is as harmless so.
    Micros away(Micros now) {
        auto late = now - promised;
        promised = std::max(promised, now);
        return late > longest_gap ? late : 0;
    }
    // When the router means to be back at the latest.
    void promise(Micros at) { promised = at; }

private:
    static constexpr int most = 3;
    Micros longest_gap, promised;
    int doubt = 0;
};

}  // namespace quillgrade::peers
