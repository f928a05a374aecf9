// How long answers take to come, measured by the probes: the longest round trip of the last one to two
// minutes. An indirect probe takes two round trips, to the helper and from there to the one probed, so who
// waits a shorter time for it accuses routers that live.
#pragma once

#include <algorithm>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

class RoundTripEstimator {
public:
    // `longest_believed`: longer ones are a lost datagram's doing, and are taken as this.
    RoundTripEstimator(Micros longest_believed, Micros now)
        : longest_believed(longest_believed), begun(now) {}

    void record(Micros length, Micros now) {
        begin_generation(now);
        current = std::max(current, std::clamp<Micros>(length, 0, longest_believed));
        count = std::min(count + 1, enough);
    }
    // The longest one believed while there are too few measured ones to go by.
    Micros max_round_trip(Micros now) {
        begin_generation(now);
        return count < enough ? longest_believed : std::max(current, previous);
    }

private:
    static constexpr Micros generation = 60'000'000;
    static constexpr int enough = 32;  // probes of some ten seconds: near and far ones are among them

    void begin_generation(Micros now) {
        if (now - begun < generation) return;
        previous = now - begun < 2 * generation ? current : 0;
        current = 0;
        if (previous == 0) count = 0;
        begun = now;
    }

    Micros longest_believed, begun;
    Micros current = 0, previous = 0;
    int count = 0;
};

}  // namespace quillgrade::peers
