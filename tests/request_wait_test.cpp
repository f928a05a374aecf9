// Requests that wait for room while lookups of the same client are under way, on one connection to a cache.
#include "crossing.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

namespace {

std::string request(int seq, std::size_t body) {
    auto fields = call_fields();
    fields["i"].back() = static_cast<char>('0' + seq);
    return invoke(seq, fields, std::string(body, 'x'));
}

// Room for one request of 200,000 bytes and not for two.
struct RoomForOne : Crossing {
    Charge others{requests, 800'000};
};

}  // namespace

// Guards against a cycle: a request waited for room that the lookup before it held, and that lookup was not
// sent on because something of its client lay unread.
TEST_CASE("a lookup is sent on while the next request of its client waits for room") {
    RoomForOne one;
    REQUIRE(one.client.send(request(1, 200'000) + request(2, 200'000)));
    // The front is not swept, so the wait has no end.
    auto turn_until = [&](auto done) {
        one.pump([&] {
            one.turn.take(std::exchange(one.gathered, {}), one.clock.now());
            one.pool.sweep();
            return done();
        });
    };
    turn_until([&] { return one.turn.held() == 1 && Quiet::readable(one.cache); });
    auto link = accept(one.cache);
    turn_until([&] { return Quiet::readable(link); });
    CHECK_FALSE(Crossing::asked_nothing(link));
    CHECK(one.turn.held() == 1);
}

// Guards against attempts that begin long after their client has cancelled, in what lies unread.
TEST_CASE("behind an open lookup a request waits for room for a moment only") {
    RoomForOne one;
    REQUIRE(one.client.send(request(1, 200'000) + request(2, 200'000)));
    one.steps([&] { return one.turn.held() == 1; });
    auto start = one.clock.now();
    one.steps([&] { return Quiet::readable(one.client); });
    CHECK(one.clock.now() - start < 300 * test_ms);
    CHECK(frame(one.client) == thrift::rejected(2, a_site().max_retry_after));
}

// Guards against requests that are lost for want of memory: each has its one answer, and the connection
// stays.
TEST_CASE("a request that was not kept is rejected once it has come whole, with a time to come back") {
    RoomForOne one;
    REQUIRE(one.client.send(request(1, 200'000) + request(2, 200'000).substr(0, 150'000)));
    one.steps([&] { return one.turn.held() == 1; });
    auto later = one.clock.now() + 200 * test_ms;
    one.steps([&] { return one.clock.now() > later; });
    CHECK_FALSE(Quiet::readable(one.client));
    REQUIRE(one.client.send(request(2, 200'000).substr(150'000)));
    one.steps([&] { return Quiet::readable(one.client); });
    CHECK(frame(one.client) == thrift::rejected(2, a_site().max_retry_after));
    CHECK(one.turn.held() == 1);
    CHECK(one.turn.counts().unsuccessful == 1);
    CHECK(one.front.connected() == 1);
}

TEST_CASE("a request that was not kept and is cancelled has no answer") {
    RoomForOne one;
    REQUIRE(one.client.send(request(1, 200'000) + request(2, 200'000).substr(0, 150'000)));
    one.steps([&] { return one.turn.held() == 1; });
    auto later = one.clock.now() + 200 * test_ms;
    one.steps([&] { return one.clock.now() > later; });
    auto abort = framed(head(4, "abort", 3) + std::string("\x08\0\1\0\0\0\2\0", 8));
    auto ping = framed(head(1, "ping", 4) + std::string(1, '\0'));
    REQUIRE(one.client.send(request(2, 200'000).substr(150'000) + abort + ping));
    one.steps([&] { return Quiet::readable(one.client); });
    CHECK(frame(one.client) == thrift::pong(4, false));
    CHECK(one.turn.held() == 1);
}
