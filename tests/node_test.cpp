#include "node/node.hpp"

#include <doctest/doctest.h>
#include <sys/resource.h>

#include "helpers.hpp"
#include "launch/launch.hpp"
#include "program.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

TEST_CASE("time never runs backwards") {
    CHECK(Clock::later(5, 3) == 5);
    CHECK(Clock::later(5, 8) == 8);
}

TEST_CASE("the limits leave room for every use, and never more than there is") {
    for (auto [memory, sockets] : {std::pair{192.0, 1024}, {64.0, 256}, {2048.0, 4096}, {16.0, 64}}) {
        auto room = launch::divide(memory, sockets);
        CHECK(room.clients >= sockets / 3);
        CHECK(room.caches > 0);
        CHECK(room.clients + room.caches < sockets);
        CHECK(room.answers + room.requests <= memory * 1024 * 1024 / 2);
    }
    CHECK_THROWS_AS(launch::divide(1, 1024), site::Unusable);
    CHECK_THROWS_AS(launch::divide(192, 10), site::Unusable);
}

// Guards against few transmissions at a time where memory is small: answers are far shorter than the longest.
TEST_CASE("a small memory leaves the caches all descriptors that are not the clients'") {
    CHECK(launch::divide(32, 256).caches > 120);
}

// Guards against clients that are let in by the limit that is told, while the system grants less.
TEST_CASE("the descriptors that are told count as far as the system grants them") {
    auto told = config(1, 2, 3, 1024);
    auto room = launch::read_launch(told, nullptr, nullptr, 100).room;
    CHECK(room.clients == 40);
    CHECK(room.clients + room.caches < 100);
    CHECK(launch::read_launch(told, nullptr, nullptr).room.clients == 409);
    rlimit before{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    rlimit few{200, before.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &few) == 0);
    CHECK(launch::granted_descriptors() > 200);  // raised as far as it may be
    REQUIRE(setrlimit(RLIMIT_NOFILE, &before) == 0);
}

TEST_CASE("what can't be used at the start is told") {
    for (auto* bad : {"", "[]", "{}", "{\"name\": 3}", "{\"name\": \"n\", \"listen\": \"here\"}"})
        CHECK_THROWS_AS(launch::read_launch(bad, nullptr, nullptr), site::Unusable);
}

TEST_CASE("a configuration read again says what only a restart takes in") {
    launch::Launch before, after;
    before.stated = {{"coordinator", "1"}, {"known", "1"}, {"name", "1"}, {"limits", "1"}};
    after.stated = {{"coordinator", "2"}, {"known", "2"}, {"name", "1"}, {"limits", "2"}, {"peers", "1"}};
    CHECK(launch::wants_restart(before, before).empty());
    CHECK(launch::wants_restart(before, after) == std::vector<std::string>{"limits", "peers"});
}

TEST_CASE("the phases follow each other") {
    Node::Seen seen{.now = noon,
                    .told_to_leave = 0,
                    .last_arrival = noon,
                    .longest_stay = 3 * test_second,
                    .nothing_held = false};
    CHECK(Node::next(Phase::Starting, seen) == Phase::Serving);
    CHECK(Node::next(Phase::Serving, seen) == Phase::Serving);
    seen.told_to_leave = noon;
    CHECK(Node::next(Phase::Serving, seen) == Phase::Leaving);
    seen.now = noon + 600 * test_ms;  // clients may still come
    CHECK(Node::next(Phase::Leaving, seen) == Phase::Leaving);
    seen.now = noon + 900 * test_ms;
    CHECK(Node::next(Phase::Leaving, seen) == Phase::Finishing);
    seen.last_arrival = seen.now - 100 * test_ms;  // and some do
    CHECK(Node::next(Phase::Leaving, seen) == Phase::Leaving);
    seen.now = seen.last_arrival = noon + 2900 * test_ms;  // without end
    CHECK(Node::next(Phase::Leaving, seen) == Phase::Finishing);
    seen.now = noon + 900 * test_ms;
    CHECK(Node::next(Phase::Finishing, seen) == Phase::Finishing);
    seen.nothing_held = true;
    CHECK(Node::next(Phase::Finishing, seen) == Phase::Over);
    seen.nothing_held = false;
    seen.now = noon + 4 * test_second;
    CHECK(Node::next(Phase::Finishing, seen) == Phase::Over);
}

// Guards against SIGKILL finding a lookup that is still held.
TEST_CASE("a router that leaves is gone before it is killed") {
    for (Micros wait : {1 * test_second, 3 * test_second, 6 * test_second})
        CHECK(Node::longest_stay(wait) + 200 * test_ms < std::min(wait, 3 * test_second) + 700 * test_ms);
}
