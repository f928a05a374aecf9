// Open suspicions: accusations that have not led to a verdict yet. As in Lifeguard (section 3), independent
// accusers shorten the time that the accused has to refute. One accuser alone leaves the longest time, two
// leave the shortest; in simulation a third only added the time until it is heard of (docs/membership.md).
// The age of an accusation travels with it, so that all routers reach the verdict at about the same time,
// whenever they heard of it.
#pragma once

#include <map>
#include <vector>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

struct Suspicion {
    Micros since = 0;                   // of the first accusation, as far as known
    std::vector<RouterIndex> accusers;  // distinct, at most two
    bool probe_before_verdict = false;  // this router was paused, and has to probe the accused itself first
    Micros last_call_at = 0;            // of the last pings before the verdict; 0: not sent yet
};

class Suspicions {
public:
    struct Times {
        Micros shortest, longest;  // from the accusation to the verdict
        Micros last_call_lead;     // how long before the verdict the last call is made
    };
    explicit Suspicions(Times times) : times(times) {}

    // `age`: time since the first accusation, as reported. `accuser`: -1 where it was not reported. True
    // where the accusation is new and worth gossiping.
    bool accuse(RouterIndex who, RouterIndex accuser, Micros age, Micros now);
    void remove(RouterIndex who) { open.erase(who); }
    const Suspicion* find(RouterIndex who) const;
    // When the time to refute ends, if a last call is made in time. Where the accused itself was heard from
    // at `last_heard`, after the accusation, the time runs from then.
    Micros deadline(const Suspicion& suspicion, Micros last_heard) const;
    // The same, put off where the last call was late or has not been made yet: until its answers can have
    // come, and no longer than that where none can be made.
    Micros verdict_at(const Suspicion& suspicion, Micros last_heard) const;
    // A first last call is due before the shortest time ends, so that it has been made when a second accuser
    // is heard of later. Without a second accuser, one more is due before the longest time ends.
    bool wants_last_call(const Suspicion& suspicion, Micros last_heard, Micros now) const;
    // This router was paused for that long: no verdict may rest on what fell into that time.
    void postpone_all(Micros pause);
    void note_last_call(RouterIndex who, Micros now) { open.at(who).last_call_at = now; }
    void note_probed(RouterIndex who);  // a probe of it has ended, with or without an answer
    const std::map<RouterIndex, Suspicion>& all() const { return open; }

private:
    static constexpr std::size_t max_accusers = 2;
    Times times;
    std::map<RouterIndex, Suspicion> open;
};

}  // namespace quillgrade::peers
