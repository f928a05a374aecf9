// The connection to the coordinator: events in order, and a new connection whenever it has fallen silent.
#pragma once

#include <memory>

#include "bytes/bytes.hpp"
#include "node/clock.hpp"
#include "node/gathered.hpp"
#include "node/loop.hpp"

namespace quillgrade::node {

class Coordinator {
public:
    Coordinator(event_base* base, const feed::Address& address, const site::Terms& terms, std::uint64_t last,
                Clock& clock, Gathered& gathered);
    // By the Unix clock: since when events come without a break, 0: they don't.
    Micros live_since() const { return up ? since : 0; }
    void move_to(const feed::Address& elsewhere);  // between passes of the loop; the numbers go on

private:
    void connect();
    void heard(std::string_view bytes);
    void lost(std::string_view why);
    void take(feed::Event event);

    event_base* base;
    feed::Address address;
    const site::Terms& terms;
    std::uint64_t last;
    Clock& clock;
    Gathered& gathered;
    bool up = false, waiting = false;
    Micros delay, since = 0;
    bytes::Frames frames{feed::longest_frame};
    Timer silence, again;
    std::unique_ptr<Stream> stream;
};

}  // namespace quillgrade::node
