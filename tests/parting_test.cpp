// Connections to clients when they end: every answer arrives, nothing that was taken is lost, and what
// crosses the end is left for the client to send again.
#include <array>

#include "quiet.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

namespace {

std::string ping() { return framed(head(1, "ping", 1) + std::string(1, '\0')); }

struct Parting : OneClient {
    void sweep() {
        pass();
        front.sweep();
    }
    template <class Done>
    void sweeps(Done done) {
        pump([&] {
            front.sweep();
            return done();
        });
    }
    // The client rests: it has spoken, and was answered.
    void resting() {
        REQUIRE(client.send(ping()));
        pump([&] { return readable(client); });
        frame(client);
        rest();
    }
    // What has come until the far side's end; a reset is told as such.
    std::string until_end() {
        std::string got;
        std::array<char, 4096> piece;
        for (;;) {
            pump([&] {
                front.sweep();
                return readable(client);
            });
            auto length = ::read(client.fd, piece.data(), sizeof piece);
            if (length < 0) return got + "RESET";
            if (length == 0) return got;
            got.append(piece.data(), static_cast<std::size_t>(length));
        }
    }
};

}  // namespace

// Guards against a close that falls on unread bytes: the reset takes the answer with it.
TEST_CASE("a client that sent nonsense, and goes on sending, still gets what was open, and then the end") {
    Parting one;
    REQUIRE(one.client.send(invoke(1, call_fields()) + "GET / HTTP/1.1\r\n\r\n"));
    one.pump([&] { return !one.gathered.empty(); });
    REQUIRE(one.client.send(std::string(100'000, 'x')));
    one.sweep();
    one.front.answer({1, 1}, thrift::handled(1, "whole", false));
    REQUIRE(one.client.send("more"));
    CHECK(one.until_end() == thrift::handled(1, "whole", false));
    CHECK(one.gathered_of<Left>().empty());
}

// Guards against lookups that run on for a client that has left after nonsense.
TEST_CASE("the leaving of a client that sent nonsense is seen") {
    Parting one;
    REQUIRE(one.client.send(invoke(1, call_fields()) + "GET / HTTP/1.1\r\n\r\n"));
    one.pump([&] { return !one.gathered.empty(); });
    { Socket gone(std::move(one.client)); }
    one.sweeps([&] { return one.front.connected() == 0; });
    CHECK(one.gathered_of<Left>().size() == 1);
}

TEST_CASE("a client that sends nonsense without end is hung up on") {
    Parting one;
    REQUIRE(one.client.send(invoke(1, call_fields()) + "GET / HTTP/1.1\r\n\r\n"));
    one.pump([&] { return !one.gathered.empty(); });
    std::string much(100'000, 'x');
    one.pump([&] {
        [[maybe_unused]] auto sent =
            ::send(one.client.fd, much.data(), much.size(), MSG_DONTWAIT | MSG_NOSIGNAL);
        one.front.sweep();
        return one.front.connected() == 0;
    });
    CHECK(one.gathered_of<Left>().size() == 1);
}

// Guards against a lookup that is read after the client was told of the end, and sent on all the same.
TEST_CASE("a resting connection is half-closed, and what crosses that is not taken") {
    Parting one;
    one.resting();
    one.front.half_close_resting(one.clock.now());
    REQUIRE(one.client.send(invoke(2, call_fields())));  // the client has not looked yet
    CHECK(one.until_end().empty());
    for (int i = 0; i < 20; i++) one.pass();  // it is read
    CHECK(one.gathered_of<Arrived>().empty());
    CHECK(one.front.connected() == 1);
    { Socket gone(std::move(one.client)); }
    one.sweeps([&] { return one.front.connected() == 0; });
}

TEST_CASE("a client that never closes its half is let go of after a moment") {
    Parting one;
    one.resting();
    auto start = one.clock.now();
    one.front.half_close_resting(start);
    one.sweeps([&] { return one.front.connected() == 0; });
    CHECK(one.clock.now() - start >= 4 * crossing);
}

// Guards against a close on a lookup that lies unread for longer than a client would send it again.
TEST_CASE("a connection on which a lookup lies unread is not ended for having rested") {
    Parting one;
    one.resting();
    REQUIRE(one.client.send(invoke(2, call_fields())));  // nobody has read it
    one.front.half_close_resting(one.clock.now() + 4 * test_second);
    one.front.drop_overdue(one.clock.now() + 6 * test_second);
    one.pump([&] { return !one.gathered_of<Arrived>().empty(); });
    one.front.answer({1, 2}, thrift::broken_off(2));
    one.pump([&] { return Quiet::readable(one.client); });
    CHECK(frame(one.client) == thrift::broken_off(2));
}

// Guards against a client that keeps its connection by never ending what it sends.
TEST_CASE("a client that always has bytes on the way, and never a whole message, is let go in the end") {
    Parting one;
    REQUIRE(one.client.send(invoke(1, call_fields()).substr(0, 30)));
    one.pump([&] { return one.front.connected() == 1; });
    one.rest();
    REQUIRE(one.client.send("x"));  // nobody has read it
    one.front.drop_overdue(one.clock.now() + 3 * test_second);
    CHECK(one.front.connected() == 1);
    one.front.drop_overdue(one.clock.now() + 5 * test_second);
    CHECK(one.front.connected() == 0);
    CHECK(one.gathered_of<Left>().empty());
}

// Guards against hanging up on a client that may come back while one that was told of its end holds room.
TEST_CASE("where room is needed a half-closed connection makes way before those that were silent longer") {
    Parting one;
    std::vector<Socket> others(7);
    for (auto& socket : others) REQUIRE(socket.connect(one.port));
    one.pump([&] { return one.front.connected() == 8; });
    one.resting();                                                           // the client was active last
    for (auto& socket : others) REQUIRE(socket.send(std::string(1, '\0')));  // so these don't rest now
    one.front.half_close_resting(one.clock.now());
    one.rest();
    one.front.sweep();
    CHECK(one.front.connected() == 7);
    one.pass();  // only then the socket is closed
    for (auto& socket : others) CHECK_FALSE(Quiet::readable(socket));
}

// Guards against connections that wait in the system's queue: closing the listener would reset them.
TEST_CASE("whoever has connected before the listener closes is let in") {
    Parting one;
    one.pump([&] { return one.front.connected() == 1; });
    Socket late, too_late;
    REQUIRE(late.connect(one.port));
    REQUIRE(late.send(invoke(1, call_fields())));
    one.front.stop_listening();  // no pass of the loop since
    CHECK(one.front.connected() == 2);
    one.front.half_close_resting(one.clock.now());
    one.pump([&] { return !one.gathered_of<Arrived>().empty(); });
    CHECK_FALSE(too_late.connect(one.port));
}

TEST_CASE("where no room is left the listener stays until whoever waits has been let in") {
    Parting one;
    std::vector<Socket> waiting(8);
    for (auto& socket : waiting) REQUIRE(socket.connect(one.port));
    one.pump([&] { return one.front.connected() == 8; });
    one.front.stop_listening();
    CHECK_FALSE(one.front.all_closed());
    one.rest();
    one.front.stop_listening();
    one.front.half_close_resting(one.clock.now());
    one.pump([&] {
        one.front.stop_listening();
        one.front.half_close_resting(one.clock.now());
        one.front.sweep();
        return one.front.all_closed();
    });
    for (auto& socket : waiting) CHECK(read(socket, [](auto&) { return false; }).empty());
}

// Guards against descriptors that run out in one pass: the caches' and the coordinator's are kept.
TEST_CASE("a flood of connections in one pass stays within what is the clients'") {
    Quiet quiet;
    int port = quiet.listen();
    std::vector<Socket> flood(60);
    for (auto& one : flood) REQUIRE(one.connect(port));
    std::size_t most = 0;
    auto until = quiet.clock.now() + 300 * test_ms;
    quiet.pump([&] {
        most = std::max(most, quiet.front.connected());
        quiet.front.sweep();
        return quiet.clock.now() > until;
    });
    CHECK(most == 8);
}
