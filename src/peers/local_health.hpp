// The local health multiplier of Lifeguard (Dadgar, Phillips, Currey, 2018, section 3): a router that misses
// answers it should have received probes more rarely and accuses more slowly. Also detects that this router
// was paused, so that datagrams which should have come during the pause are held against nobody.
#pragma once

#include <algorithm>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

class LocalHealth {
public:
    LocalHealth(Micros longest_pause, Micros now) : longest_pause(longest_pause), next_call_by(now) {}

    void improve() { score = std::max(0, score - 1); }
    void degrade(int by = 1) { score = std::min(max_score, score + by); }
    // Factor on the time to wait for an answer and on the interval between probes: 1 when healthy, 4 at most.
    int multiplier() const { return 1 + score; }

    // Called at each entry into the module. Returns how late the call is where that is longer
    // than the longest pause, else 0. A clock that jumps ahead looks like a pause, and
    // treating it as one is harmless.
    Micros detect_pause(Micros now) {
        auto late = now - next_call_by;
        next_call_by = std::max(next_call_by, now);
        return late > longest_pause ? late : 0;
    }
    // Sets the time by which the next call is expected.
    void expect_call_by(Micros at) { next_call_by = at; }

private:
    static constexpr int max_score = 3;
    Micros longest_pause, next_call_by;
    int score = 0;
};

}  // namespace quillgrade::peers
