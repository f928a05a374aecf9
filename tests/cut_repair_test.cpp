// How all routers learn that a one-sided cut has ended: gossip repeats it a bounded number of times, and the
// answers to digests repair what gossip has missed.
#include <doctest/doctest.h>

#include <algorithm>

#include "rig/simulated.hpp"

using namespace quillgrade;
using namespace quillgrade::peers;

namespace {

constexpr Micros second = 1'000'000, noon_at = 1'764'576'000 * second;
constexpr RouterIndex speaker = 1, listener = 2, other = 3;
constexpr Generation generation = 500;

std::string datagram(RouterIndex from, MessageType type, const LinkReport& report) {
    Message message;
    message.from = from;
    message.sender_state = {generation, Phase::Present, 0, Liveness::Alive, false};
    message.type = type;
    message.link_reports = {report};
    return encode(message);
}

Membership membership_of_four() {
    MembershipConfig config;
    config.routers = 4;
    config.generation = 1000;
    config.now = noon_at;
    return Membership(config);
}

bool holds_cut(const Membership& membership, RouterIndex from, RouterIndex to) {
    auto cuts = membership.cuts();
    return std::any_of(cuts.begin(), cuts.end(),
                       [&](auto& cut) { return cut.sender == from && cut.receiver == to; });
}

// How many of the link reports that `membership` sends now report the end of the cut.
int ends_reported(Membership& membership) {
    int reported = 0;
    for (auto& sent : membership.take_outgoing()) {
        auto decoded = decode(sent.bytes, 4, noon_at);
        REQUIRE(decoded.message.has_value());
        for (auto& report : decoded.message->link_reports)
            reported += !report.down && report.sender == speaker && report.receiver == listener;
    }
    return reported;
}

// How long after its end a cut from 2 to 6 is held by any of eight routers, measured up to `limit`.
Micros time_until_forgotten(std::uint64_t seed, Micros limit) {
    constexpr int routers = 8, zones = 2, from = 2, to = 6;
    rig::LinkConditions conditions;
    conditions.loss = 0.05;
    conditions.late = 0.002;
    conditions.duplicated = 0.01;
    rig::Simulated<> fleet(routers, zones, seed, {}, conditions);
    auto holders = [&] {
        int count = 0;
        for (int who = 0; who < routers; who++) count += holds_cut(*fleet.protocol(who), from, to);
        return count;
    };
    fleet.start_all();
    fleet.run_until(fleet.now() + 10 * second);
    fleet.cut(from, to, true);
    fleet.run_until(fleet.now() + 25 * second);
    CHECK_MESSAGE(holders() == routers, "seed ", seed);
    fleet.cut(from, to, false);
    auto ended_at = fleet.now();
    while (holders() > 0 && fleet.now() < ended_at + limit) fleet.run_until(fleet.now() + second / 10);
    return fleet.now() - ended_at;
}

}  // namespace

// Without the repair by digests, 4 of these seeds leave a router that holds the cut until
// it expires after a minute.
TEST_CASE("all routers learn that a cut has ended, on each of 400 seeds") {
    constexpr int seeds = 400;
    constexpr Micros limit = 15 * second;
    for (std::uint64_t seed = 1; seed <= seeds; seed++)
        CHECK_MESSAGE(time_until_forgotten(seed, limit) < limit, "seed ", seed);
}

TEST_CASE("a digest with a cut that has ended is answered with its end, however often that was gossiped") {
    auto membership = membership_of_four();
    membership.receive(listener, datagram(listener, MessageType::Gossip, {speaker, listener, 1, true}),
                       noon_at);
    membership.receive(listener, datagram(listener, MessageType::Gossip, {speaker, listener, 2, false}),
                       noon_at);
    REQUIRE(!holds_cut(membership, speaker, listener));
    // Answers to pings gossip the end until it has been repeated often enough.
    int reported = 0;
    for (int i = 0; i < 20; i++) {
        auto now = noon_at + second * (i + 1);
        membership.receive(other, datagram(other, MessageType::Ping, {speaker, listener, 1, true}), now);
        reported = ends_reported(membership);
    }
    REQUIRE(reported == 0);
    membership.receive(other, datagram(other, MessageType::Digest, {speaker, listener, 1, true}),
                       noon_at + 21 * second);
    CHECK(ends_reported(membership) == 1);
}

TEST_CASE("a digest with a cut that began again since its end is not answered") {
    auto membership = membership_of_four();
    membership.receive(listener, datagram(listener, MessageType::Gossip, {speaker, listener, 2, false}),
                       noon_at);
    membership.receive(listener, datagram(listener, MessageType::Gossip, {speaker, listener, 3, true}),
                       noon_at);
    membership.take_outgoing();
    membership.receive(other, datagram(other, MessageType::Digest, {speaker, listener, 3, true}),
                       noon_at + second);
    CHECK(ends_reported(membership) == 0);
    CHECK(holds_cut(membership, speaker, listener));
}

// Otherwise two routers could keep a cut alive in each other for good after its listener has gone.
TEST_CASE("a cut is not adopted from a digest") {
    auto membership = membership_of_four();
    membership.receive(other, datagram(other, MessageType::Digest, {speaker, listener, 1, true}), noon_at);
    CHECK(!holds_cut(membership, speaker, listener));
    membership.receive(other, datagram(other, MessageType::Gossip, {speaker, listener, 1, true}), noon_at);
    CHECK(holds_cut(membership, speaker, listener));
}

TEST_CASE("successive digests report all cuts in turn") {
    constexpr RouterIndex cuts = 20;
    constexpr std::size_t reports_per_digest = 6;
    Reachability reachability(0);
    for (RouterIndex who = 1; who <= cuts; who++)
        reachability.merge_report({who, who + 1, 1, true}, generation, noon_at);
    std::vector<RouterIndex> reported;
    for (int i = 0; i < 4; i++)
        for (auto& report : reachability.next_down_links(reports_per_digest))
            reported.push_back(report.sender);
    std::sort(reported.begin(), reported.end());
    reported.erase(std::unique(reported.begin(), reported.end()), reported.end());
    CHECK(reported.size() == cuts);
}
