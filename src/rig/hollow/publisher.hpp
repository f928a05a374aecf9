// What the control side publishes during a run, and when. The supervisor hands the same events to every
// control machine; their times of publication are what arrivals are compared with.
#pragma once

#include <vector>

#include "rig/hollow/messages.hpp"

namespace quillgrade::rig::hollow {

enum class EventKind { Purge, Configuration };

struct PublishedEvent {
    EventKind kind = EventKind::Purge;
    Micros at = 0;
};

class Publisher {
public:
    // `known`: the last event of the routers' configuration. `cache`: where the cache is whose weight
    // changes.
    Publisher(EventNumber known, PackedAddress cache) : known(known), cache(cache) {}

    // From now on so many a second.
    void set_rates(double purges_per_s, double configurations_per_s);
    // What is due since the last call.
    Publish publish(Micros now);

    EventNumber last_event() const { return known + events.size(); }
    EventNumber first_event() const { return known + 1; }
    const PublishedEvent& event(EventNumber number) const { return events.at(number - known - 1); }

private:
    EventNumber known;
    PackedAddress cache;
    double purge_rate = 0, configuration_rate = 0;
    double purges_due = 0, configurations_due = 0;
    Micros last_call = 0;
    std::vector<PublishedEvent> events;  // by number
};

}  // namespace quillgrade::rig::hollow
