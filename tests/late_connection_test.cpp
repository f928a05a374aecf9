// A connection that comes up late: what was decided before is looked at again when the first byte is written.
// Each case is told between the decision and the first byte, once before the loop knows that the connection
// is up and once after.
#include "crossing.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

namespace {

// Nothing may be written, and the client gets a final answer or needs none.
template <class Event>
void nothing_is_written(Event event) {
    for (bool up : {false, true}) {
        CAPTURE(up);
        Crossing one;
        up ? one.opened() : one.opening();
        event(one);
        one.act();  // with no pass of the loop since
        one.steps([&] { return one.turn.held() == 0; });
        auto link = accept(one.cache);
        for (int i = 0; i < 5; i++) one.step();
        CHECK(Crossing::asked_nothing(link));
    }
}

}  // namespace

TEST_CASE("a connection that nothing crosses carries the lookup") {
    Crossing one;
    one.opened();
    one.act();
    auto link = accept(one.cache);
    one.steps([&] { return Quiet::readable(link); });
    CHECK(request(link).find("X-Hop-Id: 9b1f03aa5c7e2d41") != std::string::npos);
}

TEST_CASE("nothing is written to a cache that drains by now, and the client is answered") {
    nothing_is_written([](Crossing& one) {
        one.told(Crossing::change(one.endpoint(Crossing::cache_id, EndpointState::Draining)));
    });
}

TEST_CASE("nothing is written to a cache that has gone, even where its place is taken already") {
    nothing_is_written([](Crossing& one) {
        one.told(Crossing::change(one.endpoint(Crossing::cache_id, EndpointState::Gone)));
    });
    // The same address under the same id is another process all the same.
    nothing_is_written([](Crossing& one) {
        auto again = one.endpoint(Crossing::cache_id);
        one.told(Crossing::change(one.endpoint(Crossing::cache_id, EndpointState::Gone)));
        again.entry.state = EndpointState::Draining;
        one.told(Crossing::change(again));
    });
}

// Guards against a lookup for a box that was taken out, over a connection to its address, as its id stands
// elsewhere.
TEST_CASE("nothing is written to the old address of a cache whose id was listed again at another") {
    Crossing one;
    one.opened();
    Listener elsewhere;
    auto again = one.endpoint(Crossing::cache_id);
    again.port = static_cast<std::uint16_t>(elsewhere.port);
    one.told(Crossing::change(again));  // without a word that it had gone
    auto link = accept(one.cache);
    one.steps([&] { return Quiet::readable(elsewhere) || one.turn.held() == 0; });
    for (int i = 0; i < 5; i++) one.step();
    CHECK(Crossing::asked_nothing(link));
}

TEST_CASE("nothing is written that names a source which drains by now") {
    nothing_is_written([](Crossing& one) {
        one.told(Crossing::change(one.endpoint(Crossing::parent_id, EndpointState::Draining)));
        one.told(Crossing::change(
            one.endpoint(Crossing::cache_id, EndpointState::Draining)));  // nor by a further try
    });
    Crossing one;
    one.opened();
    one.told(Crossing::change(one.endpoint(Crossing::parent_id, EndpointState::Draining)));
    one.steps([&] { return Quiet::readable(one.cache); });
    auto link = accept(one.cache);
    one.steps([&] { return Quiet::readable(link); });
    CHECK(request(link).find("X-Parent: s-00000014") != std::string::npos);  // the origin, decided anew
}

TEST_CASE("nothing is written on a connection to a process that has been started again since") {
    Crossing one;
    one.opened();
    one.told(Crossing::change(one.endpoint(Crossing::cache_id, EndpointState::Ready, one.clock.now())));
    auto link = accept(one.cache);
    for (int i = 0; i < 5; i++) one.step();
    CHECK(Crossing::asked_nothing(link));
}

// Probes are new work too.
TEST_CASE("no probe is written to a cache that drains by now") {
    for (bool drains : {false, true}) {
        CAPTURE(drains);
        Crossing one;
        one.turn.tend(one.clock.now());
        one.act();
        one.pump([&] { return one.pool.to_write() == 1; });
        if (drains) one.told(Crossing::change(one.endpoint(Crossing::cache_id, EndpointState::Draining)));
        auto link = accept(one.cache);
        for (int i = 0; i < 5; i++) one.step();
        CHECK(Crossing::asked_nothing(link) == drains);
    }
}

TEST_CASE("a purge that is told meanwhile bounds the age that is asked for") {
    Crossing one;
    one.opened();
    one.told({2, feed::PurgeNotice{.object = 0x7f3a9c21e0b4d655, .group = 0, .at = one.clock.now()}});
    auto link = accept(one.cache);
    one.steps([&] { return Quiet::readable(link); });
    CHECK(request(link).find("X-Fresh-Ms: ") != std::string::npos);
}

TEST_CASE("nothing is written for a client that has cancelled, told by the loop or not") {
    std::string seq;
    bytes::put_number(seq, 4, 1);
    auto abort = framed(head(4, "abort", 0) + std::string("\x08\0\1", 3) + seq + '\0');
    nothing_is_written([&](Crossing& one) {
        REQUIRE(one.client.send(abort));
        one.pump([&] { return !one.gathered_of<Left>().empty(); });
    });
    nothing_is_written([&](Crossing& one) { REQUIRE(one.client.send(abort)); });
}

// What lies unread is read first, and the lookup goes on if it was no word against it.
TEST_CASE("a lookup whose client says something else meanwhile is written a moment later") {
    Crossing one;
    one.opened();
    REQUIRE(one.client.send(framed(head(1, "ping", 2) + std::string(1, '\0'))));
    one.act();
    CHECK(one.pool.to_write() == 1);
    auto link = accept(one.cache);
    CHECK(Crossing::asked_nothing(link));
    one.steps([&] { return Quiet::readable(link); });
    CHECK(request(link).find("X-Hop-Id: 9b1f03aa5c7e2d41") != std::string::npos);
}

TEST_CASE("nothing is written for a client that has closed its connection, told by the loop or not") {
    nothing_is_written([](Crossing& one) { Socket gone(std::move(one.client)); });
}

TEST_CASE("nothing is written for a client that half-closes: it counts as gone") {
    nothing_is_written([](Crossing& one) { REQUIRE(shutdown(one.client.fd, SHUT_WR) == 0); });
}

// Guards against a retry for a client that left while its first transmission came to its end.
TEST_CASE("an attempt's end and its client's leaving in one turn, in either order, lead to no further one") {
    for (bool left_first : {false, true}) {
        CAPTURE(left_first);
        Crossing one;
        one.opened();
        one.act();
        {
            auto link = accept(one.cache);
            one.steps([&] { return Quiet::readable(link); });
            request(link);
            if (left_first) {
                { Socket gone(std::move(one.client)); }
                one.pump([&] { return !one.gathered_of<Left>().empty(); });
            }
        }
        one.pump([&] { return !one.gathered_of<Landed>().empty(); });
        if (!left_first) {
            { Socket gone(std::move(one.client)); }
            one.pump([&] { return !one.gathered_of<Left>().empty(); });
        }
        one.act();
        CHECK(one.turn.held() == 0);
        for (int i = 0; i < 5; i++) one.step();
        CHECK_FALSE(Quiet::readable(one.cache));  // no other connection is asked for
    }
}

// Guards against a transmission that goes out because its client's end is told a pass of the loop later.
TEST_CASE("a lookup and its client's end that lie in one socket lead to nothing at all") {
    Crossing one;
    one.ask();
    { Socket gone(std::move(one.client)); }
    one.steps([&] { return one.front.connected() == 0; });
    for (int i = 0; i < 5; i++) one.step();
    CHECK(one.turn.held() == 0);
    if (Quiet::readable(one.cache)) {
        auto link = accept(one.cache);
        CHECK(Crossing::asked_nothing(link));
    }
}
