// The bytes on the wire, pinned: routers of different builds talk with each other, so a renamed field or a
// tidied encoder must not change them. A test that fails here means a new format number, not new bytes in the
// table.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <string>
#include <vector>

#include "peers/message.hpp"
#include "shared/payload.hpp"

using namespace quillgrade;

namespace {

constexpr peers::Micros millisecond = 1000;
constexpr std::uint64_t sent_ms = 1'764'576'000'000;  // 2025-12-01 08:00 UTC
constexpr peers::Micros sent_at = static_cast<peers::Micros>(sent_ms) * millisecond;
constexpr int routers = 64;

std::string hex(std::string_view bytes) {
    std::string text;
    for (unsigned char byte : bytes) text += fmt::format("{:02x}", byte);
    return text;
}

std::string bytes_of(std::string_view hex) {
    std::string bytes;
    for (std::size_t at = 0; at < hex.size(); at += 2)
        bytes += static_cast<char>(std::stoi(std::string(hex.substr(at, 2)), nullptr, 16));
    return bytes;
}

// A datagram with something in every column.
peers::Message filled(peers::MessageType kind) {
    peers::Message message;
    message.from = 3;
    message.sender_state = {sent_ms, peers::Phase::Leaving, 5, peers::Liveness::Alive, true};
    message.zone = 2;
    message.type = kind;
    message.probe_id = 77'000;
    message.target = 9;
    message.direct_ping_received = true;
    message.records = {
        {1, {sent_ms - 1'000'000, peers::Phase::Present, 1, peers::Liveness::Suspected, false}},
        {4, {sent_ms + 100'000, peers::Phase::Gone, 200, peers::Liveness::Dead, true}}};
    message.suspicions = {{1, 8, 300 * millisecond}, {63, 0, 0}};
    message.link_reports = {{2, 3, 6, true}, {5, 7, 300, false}};
    message.first_member = 16;
    message.hashes = {0x01020304, 0xfffefdfc};
    message.payload = "payload";
    return message;
}

void check_same(const peers::Message& read, const peers::Message& written) {
    CHECK(read.from == written.from);
    CHECK(read.sender_state == written.sender_state);
    CHECK(read.zone == written.zone);
    CHECK(read.type == written.type);
    CHECK(read.probe_id == written.probe_id);
    CHECK(read.target == written.target);
    CHECK(read.direct_ping_received == written.direct_ping_received);
    CHECK(read.records == written.records);
    CHECK(read.suspicions == written.suspicions);
    CHECK(read.link_reports == written.link_reports);
    CHECK(read.first_member == written.first_member);
    CHECK(read.hashes == written.hashes);
    CHECK(read.payload == written.payload);
}

struct PinnedDatagram {
    const char* name;
    peers::MessageType kind;
    std::string bytes;
};

const std::vector<PinnedDatagram> pinned_datagrams = {
    {"Ping", peers::MessageType::Ping,
     "080110031880f0b3c7ad3320b1012803300138c8d904400a4801520201045a06ff887ac09a0c6203"
     "249a326a02013f720208007a02030082010202058a010203079201030dd804980110a20108040302"
     "01fcfdfeffaa01077061796c6f6164"},
    {"Heard", peers::MessageType::Ack,
     "080110031880f0b3c7ad3320b1012803300238c8d904400a4801520201045a06ff887ac09a0c6203"
     "249a326a02013f720208007a02030082010202058a010203079201030dd804980110a20108040302"
     "01fcfdfeffaa01077061796c6f6164"},
    {"Ask", peers::MessageType::PingRequest,
     "080110031880f0b3c7ad3320b1012803300338c8d90440094801520201045a06ff887ac09a0c6203"
     "249a326a02013f720208007a02030082010202058a010203079201030dd804980110a20108040302"
     "01fcfdfeffaa01077061796c6f6164"},
    {"No", peers::MessageType::Nack,
     "080110031880f0b3c7ad3320b1012803300438c8d90440094801520201045a06ff887ac09a0c6203"
     "249a326a02013f720208007a02030082010202058a010203079201030dd804980110a20108040302"
     "01fcfdfeffaa01077061796c6f6164"},
    {"Digest", peers::MessageType::Digest,
     "080110031880f0b3c7ad3320b1012803300538c8d904400a4801520201045a06ff887ac09a0c6203"
     "249a326a02013f720208007a02030082010202058a010203079201030dd804980110a20108040302"
     "01fcfdfeffaa01077061796c6f6164"},
    {"News", peers::MessageType::Gossip,
     "080110031880f0b3c7ad3320b1012803300638c8d904400a4801520201045a06ff887ac09a0c6203"
     "249a326a02013f720208007a02030082010202058a010203079201030dd804980110a20108040302"
     "01fcfdfeffaa01077061796c6f6164"},
};

// A payload with something in every field.
shared::Payload filled_payload() {
    shared::Payload payload;
    payload.configuration_hash = 0x11223344;
    payload.digest = 0xa1b2c3d4;
    payload.facts = {{shared::FactSubject::Server, 5, 0, true, sent_ms - 300},
                     {shared::FactSubject::Server, 6, sent_ms - 12'345, false, sent_ms},
                     {shared::FactSubject::Object, ~0ULL, sent_ms - 50, false, sent_ms - 100},
                     {shared::FactSubject::Group, 17, sent_ms + 20, false, sent_ms}};
    payload.asks = {{9, 10, 11, 100'000, 50'000, 12}};
    payload.grants = {{9, 11, 100'000}};
    payload.breadth = {20, 2};
    payload.complaints = {{5, 3, 4, 0.25, 3.5, 700 * millisecond}};
    payload.counts = {{123, 40, 0xf0}, {124, 39, 3}};
    return payload;
}

const std::string pinned_payload =
    "0d4433221115d4c3b2a11880f0b3c7ad3322060801100520032206100618e681032211080210ffff"
    "ffffffffffffff011864200122060803101118272a170809150a0000001d0b00000020e80728f403"
    "350c000000320a0809150b00000018e807388228420f080515030000001804201928233007482852"
    "0e097b0000000000000015f00000005210097c0000000000000015030000001801";

constexpr std::size_t payload_room = 250;

}  // namespace

TEST_CASE("the bytes of each kind of datagram stay as they are") {
    for (auto& pinned : pinned_datagrams) {
        INFO(std::string(pinned.name));
        CHECK(hex(peers::encode(filled(pinned.kind))) == pinned.bytes);
    }
}

TEST_CASE("the pinned datagrams are read as what they were written from") {
    for (auto& pinned : pinned_datagrams) {
        INFO(std::string(pinned.name));
        auto decoded = peers::decode(bytes_of(pinned.bytes), routers, sent_at);
        REQUIRE(decoded.message);
        check_same(*decoded.message, filled(pinned.kind));
    }
}

TEST_CASE("the bytes of a payload stay as they are") {
    auto written = shared::encode(filled_payload(), payload_room, sent_at);
    CHECK(hex(written.bytes) == pinned_payload);
    CHECK(written.grants == 1);
    CHECK(written.asks == 1);
    CHECK(written.facts == 4);
    CHECK(written.complaints == 1);
    CHECK(written.counts == 2);
}

TEST_CASE("the pinned payload is read as what it was written from") {
    auto read = shared::decode(bytes_of(pinned_payload), sent_at);
    REQUIRE(read);
    auto written = filled_payload();
    CHECK(read->configuration_hash == written.configuration_hash);
    CHECK(read->digest == written.digest);
    CHECK(read->facts == written.facts);
    CHECK(read->asks == written.asks);
    CHECK(read->grants == written.grants);
    CHECK(read->breadth.measured == written.breadth.measured);
    CHECK(read->breadth.complains == written.breadth.complains);
    CHECK(read->complaints == written.complaints);
    CHECK(read->counts == written.counts);
}
