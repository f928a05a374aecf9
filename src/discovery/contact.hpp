// Which control service is asked, and when again: several in order of preference, with exponential backoff,
// full jitter and fail-over. No I/O: it is told what happened and the time, and answers what to do next.
//
//   Resting --due--> Opening --first answer--> Serving
//      ^                |                         |
//      +---- lost ------+---------- lost ---------+
//
// At most two are open at once: while a less preferred one serves, the preferred ones are tried again from
// time to time, and the old one is let go only once the new one has answered (make before break).
#pragma once

#include <cstdint>
#include <vector>

#include "control.hpp"

namespace quillgrade::discovery {

class Contact {
public:
    enum class State { Resting, Opening, Serving };
    struct Step {
        std::vector<int> open, close;  // places of services, in the order in which it is to be done
        Micros look_in = 0;            // when to call next() again at the latest, from now
    };
    // `count` of services >= 1; `seed` gives the jitter.
    Contact(int count, std::uint64_t seed);

    Step next(Micros now);
    void answered(int service, Micros now);       // its first whole response has come
    void lost(int service, Micros now);           // closed, refused, silent or without sense: it was let go
    bool overdue(int service, Micros now) const;  // it was opened and has not answered in time
    State state(int service) const { return services[static_cast<std::size_t>(service)].state; }
    int serving() const;  // -1: none

private:
    struct Service {
        State state = State::Resting;
        Micros since = 0, not_before = 0;
        int failures = 0;
    };
    Micros backoff(int failures);
    std::vector<Service> services;
    Random chance;
};

}  // namespace quillgrade::discovery
