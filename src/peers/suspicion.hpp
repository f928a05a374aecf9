// Accusations that have not become a verdict yet, after Lifeguard (section 3: suspicion time that falls as
// independent accusers come). One accuser alone leaves the longest time to answer, two different ones the
// shortest: by simulation a third adds nothing but the time until it is heard of (docs/membership.md). How
// old an accusation is goes along with it, so that all routers judge at about the same time, whenever they
// heard of it.
#pragma once

#include <map>
#include <vector>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

struct Suspicion {
    Micros since = 0;                   // of the first accusation, as far as known
    std::vector<RouterIndex> accusers;  // different ones, two at most
    bool ask_first = false;             // I was away: probe it myself before judging
    Micros called_at = 0;               // when it was asked about once more, before the verdict; 0: not yet
};

class Suspicions {
public:
    struct Times {
        Micros shortest, longest;
        Micros to_answer;  // a last call is made so long before the verdict
    };
    explicit Suspicions(Times times) : times(times) {}

    // `age`: how long ago the first accusation was, as told. `accuser` -1: not told. True where it is news.
    bool accuse(RouterIndex who, RouterIndex accuser, Micros age, Micros now);
    void acquit(RouterIndex who) { open.erase(who); }
    const Suspicion* find(RouterIndex who) const;
    // When it becomes a verdict, where a last call has been made in time. A router that was heard at `heard`
    // itself has the time from then.
    Micros due(const Suspicion& suspicion, Micros heard) const;
    // The same, put off where the last call came late or has not been made yet: until its answers could come,
    // and no longer than that where none can be made.
    Micros verdict_at(const Suspicion& suspicion, Micros heard) const;
    // A first one is due before the shortest time has passed, so that a second accuser who is heard of later
    // finds it made; where none is, one more before the longest.
    bool wants_last_call(const Suspicion& suspicion, Micros heard, Micros now) const;
    // The router was away for so long: nobody is judged by what fell into that time.
    void set_back(Micros away);
    void called(RouterIndex who, Micros now) { open.at(who).called_at = now; }
    void asked(RouterIndex who);  // it has been, and has not answered
    const std::map<RouterIndex, Suspicion>& all() const { return open; }

private:
    static constexpr std::size_t most_accusers = 2;
    Times times;
    std::map<RouterIndex, Suspicion> open;
};

}  // namespace quillgrade::peers
