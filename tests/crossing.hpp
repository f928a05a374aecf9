// A client, a cache, a parent and an origin around the parts of a node. Between two steps the loop stands
// still, so that a test decides what meets what.
#pragma once

#include "quiet.hpp"

namespace quillgrade::node {

struct Crossing : OneClient {
    Crossing() {
        writing = false;
        told(list());
    }
    static constexpr CacheId cache_id = 1, parent_id = 11, origin_id = 20;
    feed::Endpoint endpoint(CacheId id, EndpointState listed = EndpointState::Ready, Micros started = 0) {
        bool edge = id == cache_id;
        EndpointEntry one{id, listed, 6, edge ? 0 : id == parent_id ? 1 : 2, 7, edge ? 1 : 0, started};
        return {one, 0x7f000001, static_cast<std::uint16_t>(edge ? cache.port : 1)};
    }
    feed::Event list() {
        return {1, feed::Listing{true, {endpoint(cache_id), endpoint(parent_id), endpoint(origin_id)}}};
    }
    static feed::Event change(feed::Endpoint one) { return {2, feed::Listing{false, {one}}}; }
    void told(feed::Event event) { turn.take({std::move(event)}, clock.now()); }
    void ask(int seq = 1, const std::string& id = "9b1f03aa5c7e2d41") {
        auto fields = call_fields();
        fields["i"] = id;
        REQUIRE(client.send(invoke(seq, fields)));
    }
    // One pass of the loop and the turn after it, as the node makes them.
    void step() {
        pass();
        act();
    }
    void act() {
        turn.take(std::exchange(gathered, {}), clock.now());
        front.sweep();
        pool.sweep();
    }
    template <class Done>
    void steps(Done done) {
        auto until = clock.now() + 10 * test_second;
        while (!done()) {
            if (clock.now() > until) FAIL("what was waited for did not come");
            step();
        }
    }
    // The lookup is taken, and its connection has been asked for; whether it is up the loop does not know
    // yet.
    void opening() {
        ask();
        pump([&] { return !gathered_of<Arrived>().empty(); });
        act();
        REQUIRE(pool.links() == 1);
        pump([&] { return readable(cache); });
    }
    // The connection is up, and what was decided has not been written yet.
    void opened() {
        ask();
        pump([&] { return !gathered_of<Arrived>().empty(); });
        act();
        pump([&] { return pool.to_write() == 1; });
    }
    static bool asked_nothing(const Socket& link) {
        char byte;
        auto got = ::recv(link.fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return got <= 0;
    }
    Listener cache;
};

}  // namespace quillgrade::node
