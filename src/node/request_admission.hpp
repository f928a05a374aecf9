// Which of the requests that clients are sending get room in memory where there is not enough for all.
//
// A request that is longer than one read gets room for all of it or none, so that memory can't fill with
// beginnings. Those that lack room wait, unread, and get it in the order in which they began to. A wait ends
// after the time that the request allows, whatever other clients do: the request is refused then, that is
// read to its end, thrown away as it comes, and rejected, which takes no memory.
//
// Room is taken back for those that wait: from senders that have stopped in the middle, and from slow ones as
// far as these hold more than their share together. Who lacks most is refused first. No clock and no I/O.
#pragma once

#include <cstddef>
#include <span>

#include "control.hpp"

namespace quillgrade::node {

enum class Sender {
    Steady,
    Slow,    // its bytes come at less than the rate that is expected, though it is read from
    Stopped  // nothing has come for a while, though it is read from
};

// A request that has begun and is not whole.
struct IncomingRequest {
    enum class Decision { Keep, Grant, Refuse };
    std::size_t room = 0;       // bytes that are held for it
    std::size_t wanted = 0;     // bytes of room that it lacks; 0: it has all of it
    std::size_t remaining = 0;  // bytes that have not come
    Micros waits_since = 0;     // of one that lacks room
    Micros longest_wait = 0;    // of one that lacks room
    Sender sender = Sender::Steady;
    Decision decision = Decision::Keep;  // set by admit_requests()
};

// `available`: bytes that can be granted. `share_of_slow`: bytes that slow senders keep in any case.
void admit_requests(std::span<IncomingRequest> requests, std::size_t available, std::size_t share_of_slow,
                    Micros now);

}  // namespace quillgrade::node
