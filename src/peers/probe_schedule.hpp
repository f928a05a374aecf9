// Whom a router probes when: a shuffled round-robin order that all routers compute alike without exchanging
// anything. The Unix clock is cut into slots of one probe period. In each slot every router probes the one
// that is the same distance ahead of it in the ring of numbers, so each router is probed exactly once a
// slot, by another prober each time. After a round of N-1 slots every router has probed every other. Routers
// whose clocks differ still probe all others in a round, only less evenly spread, as in SWIM, section 4.3.
#pragma once

#include <cstdint>
#include <vector>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

class ProbeSchedule {
public:
    ProbeSchedule(RouterIndex self, int routers, Micros period)
        : self(self), routers(routers), period(period) {}
    std::int64_t slot(Micros now) const { return now / period; }
    Micros start(std::int64_t slot) const { return slot * period; }
    // The router to probe in `slot`, never `self`. Requires at least two routers.
    RouterIndex target(std::int64_t slot);

private:
    RouterIndex self;
    int routers;
    Micros period;
    std::int64_t round = -1;
    std::vector<std::uint16_t> distances;  // by slot of `round`
};

}  // namespace quillgrade::peers
