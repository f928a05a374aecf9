// Whom a router probes when: an probe_schedule that is shuffled, complete, and the same for all without talk.
// Time is cut into slots of one period by the Unix clock; in each slot all routers probe the one that stands
// the same distance ahead of them in the ring of numbers. So everybody is probed exactly once a slot, by
// another router each time, and after one round of N-1 slots everybody has probed everybody. Routers whose
// clocks are apart still probe completely, only less evenly: then it is as in SWIM, section 4.3.
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
    RouterIndex target(std::int64_t slot);  // never `self`; needs two routers at least

private:
    RouterIndex self;
    int routers;
    Micros period;
    std::int64_t round = -1;
    std::vector<std::uint16_t> distances;  // of the slots of `round`
};

}  // namespace quillgrade::peers
