#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "feed/event.hpp"
#include "helpers.hpp"

using namespace quillgrade;
using namespace quillgrade::feed;

static std::string frame(std::uint64_t number, int kind, const std::string& payload = "") {
    std::string out;
    bytes::put_number(out, 8, number);
    bytes::put_number(out, 1, kind);
    return out + payload;
}

static std::string record(int state = 1, int zone = 1, int kind = 0) {
    std::string out;
    for (auto [width, value] : {std::pair<int, std::uint64_t>{4, 0x00c41f7a},
                                {4, 0x7f000009},
                                {2, 5050},
                                {1, state},
                                {1, zone},
                                {1, kind},
                                {2, 2},
                                {4, 4500},
                                {8, 1764576000123}})
        bytes::put_number(out, width, value);
    return out;
}

TEST_CASE("a record of the list is read in its own units") {
    auto event = decode(frame(41, 2, record()), terms());
    CHECK(event.number == 41);
    auto& listing = std::get<Listing>(event.what);
    CHECK_FALSE(listing.complete);
    REQUIRE(listing.caches.size() == 1);
    auto& entry = listing.caches[0].entry;
    CHECK(entry.id == 0x00c41f7a);
    CHECK(entry.state == EndpointState::Draining);
    CHECK(entry.zone == 1);
    CHECK(entry.cell == 2);
    CHECK(entry.weight == 4.5);
    CHECK(entry.started_at == 1764576000123000);
    CHECK(listing.caches[0].address == 0x7f000009);
    CHECK(listing.caches[0].port == 5050);
}

// Guards against a copy of the purge's own millisecond, which may be older than the purge.
TEST_CASE("a purge counts from the end of its millisecond") {
    std::string time;
    bytes::put_number(time, 8, 1764576000123);
    auto object = decode(frame(1, 3, std::string("\0\0\0\0\0\0\0\7", 8) + time), terms());
    CHECK(std::get<PurgeNotice>(object.what).object == 7);
    CHECK(std::get<PurgeNotice>(object.what).at == 1764576000123999);
    auto group = decode(frame(2, 4, std::string("\0\x11", 2) + time), terms());
    CHECK(std::get<PurgeNotice>(group.what).object == 0);
    CHECK(std::get<PurgeNotice>(group.what).group == 17);
}

TEST_CASE("a frame that can't be read is told") {
    CHECK(std::holds_alternative<Nothing>(decode(frame(9, 0), terms()).what));
    auto whole = frame(41, 1, record());
    for (std::size_t length = 0; length < whole.size(); length++)
        if (length != 9) CHECK_THROWS_AS(decode(whole.substr(0, length), terms()), bytes::Malformed);
    CHECK_THROWS_AS(decode(frame(1, 5), terms()), bytes::Malformed);
    CHECK_THROWS_AS(decode(frame(1, 0, "x"), terms()), bytes::Malformed);
    CHECK_THROWS_AS(decode(frame(1, 1, record(3)), terms()), bytes::Malformed);
    CHECK_THROWS_AS(decode(frame(1, 1, record(0, 9)), terms()), bytes::Malformed);
    CHECK_THROWS_AS(decode(frame(1, 1, record(0, 0, 9)), terms()), bytes::Malformed);
}

TEST_CASE("what is known at the start means the same as in the stream") {
    auto told = nlohmann::json::parse(R"({"index": 42, "updates": [
        {"index": 41, "endpoints": {"version": 7, "full": true, "servers": [{"id": "s-00c41f7a",
         "addr": "127.0.0.9:5050", "zone": "east", "kind": "std", "cell": 2, "state": "terminating",
         "weight": 4.5, "started_ms": 1764576000123}]}},
        {"index": 42, "evict": {"shard": 17, "unix_ms": 1764576000123}}]})");
    auto known = read_known(told, terms());
    CHECK(known.last == 42);
    REQUIRE(known.events.size() == 2);
    auto& here = std::get<Listing>(known.events[0].what);
    auto streamed = decode(frame(41, 1, record()), terms());
    auto& there = std::get<Listing>(streamed.what);
    CHECK(here.complete);
    CHECK(here.caches[0].address == there.caches[0].address);
    CHECK(here.caches[0].entry.id == there.caches[0].entry.id);
    CHECK(here.caches[0].entry.state == there.caches[0].entry.state);
    CHECK(here.caches[0].entry.zone == there.caches[0].entry.zone);
    CHECK(here.caches[0].entry.weight == there.caches[0].entry.weight);
    CHECK(here.caches[0].entry.started_at == there.caches[0].entry.started_at);
    CHECK(std::get<PurgeNotice>(known.events[1].what).group == 17);
    CHECK(std::get<PurgeNotice>(known.events[1].what).at == 1764576000123999);
    told["updates"][0]["endpoints"]["servers"][0]["zone"] = "nowhere";
    CHECK_THROWS_AS(read_known(told, terms()), site::Unusable);
}

TEST_CASE("an address is four numbers and a port") {
    CHECK(read_address("127.1.2.3:80").host == 0x7f010203);
    CHECK(read_address("127.1.2.3:80").port == 80);
    for (auto* bad : {"", "127.0.0.1", "127.0.0:80", "127.0.0.256:80", "127.0.0.1:66000", "127.0.0.1:80x"})
        CHECK_THROWS_AS(read_address(bad), site::Unusable);
}
