#include "rig/hollow/arrival_figures.hpp"

#include <algorithm>
#include <utility>

namespace quillgrade::rig::hollow {

namespace {

constexpr double micros_a_ms = 1000;

}  // namespace

std::uint64_t ArrivalFigures::missing(EventNumber event) const {
    std::uint64_t count = 0;
    for (int router = 0; router < routers; router++)
        if (event > arrivals.known_at_start(router) && !arrivals.arrival(router, event)) count++;
    return count;
}

bool ArrivalFigures::all_arrived() const {
    for (auto event = publisher.first_event(); event <= publisher.last_event(); event++)
        if (missing(event) > 0) return false;
    return true;
}

// Of the lives that waited for it: what a new life knew at its start says nothing about how long it took.
Micros ArrivalFigures::last_arrival(EventNumber event) const {
    auto last = publisher.event(event).at;
    for (int router = 0; router < routers; router++) {
        if (event <= arrivals.known_at_start(router)) continue;
        if (auto arrival = arrivals.arrival(router, event)) last = std::max(last, *arrival);
    }
    return last;
}

EventFigures ArrivalFigures::of(EventKind kind) const {
    EventFigures figures;
    std::vector<double> everywhere_ms;
    for (auto event = publisher.first_event(); event <= publisher.last_event(); event++) {
        auto& published = publisher.event(event);
        if (published.kind != kind) continue;
        figures.published++;
        auto missed = missing(event);
        figures.missed += missed;
        if (missed == 0)
            everywhere_ms.push_back(static_cast<double>(last_arrival(event) - published.at) / micros_a_ms);
    }
    figures.everywhere_ms = distribution_of(std::move(everywhere_ms));
    return figures;
}

}  // namespace quillgrade::rig::hollow
