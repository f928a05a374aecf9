// The coordinator's stream when it falls silent, moves, repeats itself, or when no descriptor seems left for
// it.
#include "program.hpp"
#include "quiet.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

namespace {

std::string told_as(std::uint64_t number, int kind, const std::string& payload = "") {
    std::string out;
    bytes::put_number(out, 8, number);
    bytes::put_number(out, 1, static_cast<unsigned>(kind));
    return framed(out + payload);
}

std::string purge(std::uint64_t number) {
    return told_as(number, 4, std::string("\0\x11\0\0\0\0\0\0\0\1", 10));
}

struct Watched : Quiet {
    Socket connected(const Listener& at, std::uint64_t last) {
        pump([&] { return readable(at); });
        auto link = accept(at);
        pump([&] { return readable(link); });
        std::string asked;
        bytes::put_number(asked, 8, last);
        CHECK(read(link, [](auto& got) { return got.size() >= 8; }) == asked);
        return link;
    }
    static feed::Address address(const Listener& at) {
        return {0x7f000001, static_cast<std::uint16_t>(at.port)};
    }
    std::size_t events() { return gathered_of<feed::Event>().size(); }
    Listener first, second;
    Coordinator coordinator{base.get(), address(first), launch.terms, 4, clock, gathered};
};

}  // namespace

TEST_CASE("a list that says nothing from the start, its connection open, is asked for again") {
    Watched one;
    auto mute = one.connected(one.first, 4);
    auto start = one.clock.now();
    auto again = one.connected(one.first, 4);
    CHECK(one.clock.now() - start < 4 * test_second);
}

// Guards against what an old coordinator still says once the router was told to ask another.
TEST_CASE("the old address is not listened to after the move, whatever it says") {
    Watched one;
    auto old = one.connected(one.first, 4);
    REQUIRE(old.send(purge(5)));
    one.pump([&] { return one.events() == 1; });
    REQUIRE(old.send(purge(6)));  // not read yet
    one.coordinator.move_to(Watched::address(one.second));
    auto moved = one.connected(one.second, 5);
    REQUIRE(moved.send(purge(6)));
    one.pump([&] { return one.events() == 2; });
    CHECK(one.gathered_of<feed::Event>().back().number == 6);
}

TEST_CASE("a silent list is asked for at its new address at once") {
    Watched one;
    auto mute = one.connected(one.first, 4);
    auto start = one.clock.now();
    one.coordinator.move_to(Watched::address(one.second));
    one.connected(one.second, 4);
    CHECK(one.clock.now() - start < test_second);
}

// Guards against a list of the past that brings back caches which have gone.
TEST_CASE("events that are known, numbers that go back and old whole lists change nothing") {
    Watched one;
    auto link = one.connected(one.first, 4);
    REQUIRE(
        link.send(purge(6) + purge(6) + purge(5) + told_as(6, 1) + told_as(3, 1) + told_as(0, 0) + purge(7)));
    one.pump([&] { return one.events() >= 2; });
    CHECK(one.events() == 2);
    CHECK(one.gathered_of<feed::Event>().back().number == 7);
}

// Guards against a router that never comes back to its list, as idle clients hold all descriptors.
TEST_CASE("idle clients may take all they are let while the list is down, and the router comes back to it") {
    int port = free_port();
    Listener cache;
    auto coordinator = std::make_unique<Listener>();
    int there = coordinator->port;
    coordinator.reset();  // refused
    File file(config(port, there, cache.port));
    Program program(file.path, 64);  // fewer than it is told
    read(program.log, [](auto& got) {
        return got.find("serving as n1") != std::string::npos &&
               got.find("coordinator lost") != std::string::npos;
    });
    std::vector<Socket> idle(80);
    for (auto& one : idle) REQUIRE(one.connect(port));
    line(program.log, "no new client connections");
    Socket again;
    int on = 1;
    setsockopt(again.fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = Socket::local(there);
    REQUIRE(bind(again.fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    REQUIRE(::listen(again.fd, 16) == 0);
    pollfd ready{again.fd, POLLIN, 0};
    REQUIRE(poll(&ready, 1, patience_ms) == 1);
    Socket feed(::accept(again.fd, nullptr, nullptr));
    CHECK(read(feed, [](auto& got) { return got.size() >= 8; }) == std::string("\0\0\0\0\0\0\0\1", 8));
    // And a lookup finds a descriptor for its cache.
    Socket client;
    REQUIRE(client.connect(port));
    client.send(invoke(1, fields_of("00000000000000a1")));
    auto link = accept(cache);
    request(link);
    link.send(answer("200 OK", "an object"));
    CHECK(frame(client) == thrift::handled(1, "an object", false));
}
