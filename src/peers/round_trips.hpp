// The longest round trip that probes measured within the last one to two minutes. An indirect probe takes two
// round trips, to the helper and from there to the target; a prober that waits less for it suspects routers
// that are alive.
#pragma once

#include <algorithm>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

class RoundTripEstimator {
public:
    // `upper_bound`: a longer round trip comes from a lost datagram and is recorded as this.
    RoundTripEstimator(Micros upper_bound, Micros now) : upper_bound(upper_bound), window_start(now) {}

    void record(Micros round_trip, Micros now) {
        rotate_windows(now);
        current_max = std::max(current_max, std::clamp<Micros>(round_trip, 0, upper_bound));
        samples = std::min(samples + 1, min_samples);
    }
    // The upper bound while there are too few samples.
    Micros max_round_trip(Micros now) {
        rotate_windows(now);
        return samples < min_samples ? upper_bound : std::max(current_max, previous_max);
    }

private:
    static constexpr Micros window = 60'000'000;
    static constexpr int min_samples =
        32;  // probes of some ten seconds, so near and far routers are included

    void rotate_windows(Micros now) {
        if (now - window_start < window) return;
        previous_max = now - window_start < 2 * window ? current_max : 0;
        current_max = 0;
        if (previous_max == 0) samples = 0;
        window_start = now;
    }

    Micros upper_bound, window_start;
    Micros current_max = 0, previous_max = 0;
    int samples = 0;
};

}  // namespace quillgrade::peers
