// What was published compared with what arrived, at the hollow routers.
#pragma once

#include "rig/hollow/arrival_log.hpp"
#include "rig/hollow/publisher.hpp"
#include "rig/hollow/run_result.hpp"

namespace quillgrade::rig::hollow {

class ArrivalFigures {
public:
    // What they refer to outlives them. `routers`: how many hollow ones, from number 0.
    ArrivalFigures(const ArrivalLog& arrivals, const Publisher& publisher, int routers)
        : arrivals(arrivals), publisher(publisher), routers(routers) {}

    // Routers that wait for the event and do not have it.
    std::uint64_t missing(EventNumber event) const;
    bool all_arrived() const;
    EventFigures of(EventKind kind) const;

private:
    Micros last_arrival(EventNumber event) const;

    const ArrivalLog& arrivals;
    const Publisher& publisher;
    int routers;
};

}  // namespace quillgrade::rig::hollow
