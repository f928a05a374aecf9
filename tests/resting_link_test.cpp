// Connections to caches between two attempts: what comes unasked is never the answer of the next lookup.
#include "quiet.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

TEST_CASE("two answers in one read: the first counts, and the connection is not used again") {
    Quiet quiet;
    Listener cache;
    quiet.send(cache.port, 0);
    auto link = quiet.asked(cache);
    REQUIRE(link.send(answer_of("first") + answer_of("second")));
    CHECK(quiet.landed().reply.body == "first");
    CHECK(quiet.pool.links() == 0);
}

TEST_CASE("a second answer that comes while the connection rests ends it") {
    Answered quiet;
    REQUIRE(quiet.link.send(answer_of("second")));
    quiet.pump([&] {
        quiet.pool.sweep();
        return quiet.pool.links() == 0;
    });
}

// Guards against a second answer that comes some milliseconds late, when the next lookup is on the
// connection.
TEST_CASE("a connection that was answered a moment ago is not given the next lookup") {
    Answered quiet;
    quiet.send(1);
    auto other = quiet.asked(quiet.cache);  // a connection of its own
    REQUIRE(quiet.link.send(answer_of("late")));
    quiet.pump([&] {
        quiet.pool.sweep();
        return quiet.pool.links() == 1;
    });
    REQUIRE(other.send(answer_of("second")));
    CHECK(quiet.landed().reply.body == "second");
}

TEST_CASE("an unasked answer that lies in the socket is seen before the next lookup is written") {
    Answered quiet;
    quiet.rest();
    REQUIRE(quiet.link.send(answer_of("late")));  // the loop has not read it
    quiet.send(1);
    auto other = quiet.asked(quiet.cache);
    REQUIRE(other.send(answer_of("second")));
    CHECK(quiet.landed().reply.body == "second");
}

TEST_CASE("a cache that answers before it was asked is not asked: nothing ran") {
    Quiet quiet;
    quiet.writing = false;
    Listener cache;
    quiet.send(cache.port, 0);
    quiet.pump([&] { return Quiet::readable(cache); });
    auto link = accept(cache);
    REQUIRE(link.send(answer_of("unasked")));
    quiet.pump([&] { return !quiet.gathered_of<Landed>().empty(); });
    CHECK(quiet.gathered_of<Landed>()[0].outcome == Outcome::NotSent);
    quiet.write();
    quiet.pool.sweep();
    CHECK(quiet.pool.links() == 0);
}

TEST_CASE("a connection that ends before anything was written proves that nothing ran") {
    Quiet quiet;
    quiet.writing = false;
    Listener cache;
    quiet.send(cache.port, 0);
    quiet.pump([&] { return quiet.pool.to_write() == 1; });
    { auto link = accept(cache); }
    quiet.pump([&] { return !quiet.gathered_of<Landed>().empty(); });
    CHECK(quiet.gathered_of<Landed>()[0].outcome == Outcome::ConnectFailed);
}

TEST_CASE("a connection whose attempt was refused at the last moment stays for the next") {
    Quiet quiet;
    quiet.writing = false;
    Listener cache;
    quiet.send(cache.port, 0);
    quiet.pump([&] { return quiet.pool.to_write() == 1; });
    quiet.pool.write([](CacheId, const Attempt&) { return Pool::Word{}; });
    CHECK(quiet.landed().outcome == Outcome::NotSent);
    CHECK(quiet.pool.links() == 1);
    auto link = accept(cache);
    quiet.rest();
    quiet.send(1);
    quiet.pump([&] { return Quiet::readable(link); });
    CHECK(request(link).starts_with("GET "));
}

TEST_CASE("a reset in the middle of a body may have run, and its bytes are no answer") {
    Quiet quiet;
    Listener cache;
    quiet.send(cache.port, 0);
    {
        auto link = quiet.asked(cache);
        REQUIRE(link.send(answer_of("the whole object").substr(0, 50)));
        quiet.pass();
        linger hard{1, 0};
        REQUIRE(setsockopt(link.fd, SOL_SOCKET, SO_LINGER, &hard, sizeof hard) == 0);
    }
    CHECK(quiet.landed().outcome == Outcome::Reset);
}

TEST_CASE("an answer that never ends is over with its lookup's time, and may have run") {
    Quiet quiet;
    Listener cache;
    quiet.send(cache.port, 0, 80 * test_ms);
    auto link = quiet.asked(cache);
    REQUIRE(link.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n"));
    CHECK(quiet.landed().outcome == Outcome::Timeout);
    CHECK(quiet.pool.links() == 0);
}
