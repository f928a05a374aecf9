// The parts of the membership, each by itself. Scenarios with many routers are in flaws/peers_flaws.cpp.
#include <doctest/doctest.h>

#include <set>

#include "launch/launch.hpp"
#include "operate/plan.hpp"
#include "peers/membership.hpp"
#include "peers/request_health.hpp"
#include "rig/world.hpp"

using namespace quillgrade;
using namespace quillgrade::peers;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms, noon_at = 1'764'576'000 * second;

std::vector<MemberState> all_member_states() {
    std::vector<MemberState> all;
    for (Generation generation : {1, 2})
        for (auto phase : {Phase::Present, Phase::Leaving, Phase::Gone})
            for (std::uint32_t incarnation : {0U, 1U})
                for (auto verdict : {Liveness::Alive, Liveness::Suspected, Liveness::Dead})
                    for (bool ill : {false, true})
                        all.push_back({generation, phase, incarnation, verdict, ill});
    return all;
}

Message sample_message() {
    Message message;
    message.from = 3;
    message.sender_state = {1'764'576'000'000, Phase::Leaving, 5, Liveness::Alive, true};
    message.zone = 2;
    message.type = MessageType::PingRequest;
    message.probe_id = 77;
    message.target = 9;
    message.records = {{1, {1'764'575'000'000, Phase::Present, 1, Liveness::Suspected, false}},
                       {4, {1'764'576'100'000, Phase::Gone, 200, Liveness::Dead, true}}};
    message.suspicions = {{1, 8, 300 * ms}};
    message.link_reports = {{2, 3, 6, true}};
    message.first_member = 4;
    message.hashes = {0xdeadbeef};
    return message;
}

Membership make_membership(RouterIndex self = 0, int routers = 4) {
    MembershipConfig config;
    config.self = self;
    config.routers = routers;
    config.generation = 1000;
    config.now = noon_at;
    return Membership(config);
}

// A datagram of router `from` that carries one record.
std::string news_with(RouterIndex from, MemberRecord record, std::vector<SuspicionReport> accusations = {}) {
    Message message;
    message.from = from;
    message.sender_state = {500, Phase::Present, 0, Liveness::Alive, false};
    message.type = MessageType::Gossip;
    message.records = {record};
    message.suspicions = std::move(accusations);
    return encode(message);
}

}  // namespace

TEST_CASE("joining records is commutative, associative and idempotent") {
    auto all = all_member_states();
    for (auto& a : all) {
        CHECK(merge(a, a) == a);
        for (auto& b : all) {
            REQUIRE(merge(a, b) == merge(b, a));
            for (auto& c : all) REQUIRE(merge(merge(a, b), c) == merge(a, merge(b, c)));
        }
    }
}

TEST_CASE("joining a record never lowers the generation, nor the phase or incarnation within a generation") {
    for (auto& a : all_member_states())
        for (auto& b : all_member_states()) {
            auto joined = merge(a, b);
            REQUIRE(joined.generation >= a.generation);
            if (joined.generation == a.generation) {
                REQUIRE(joined.phase >= a.phase);
                REQUIRE(joined.incarnation >= a.incarnation);
            }
        }
}

TEST_CASE("a datagram decodes to the message that was encoded") {
    auto message = sample_message();
    auto read = decode(encode(message), 10, noon_at);
    REQUIRE(read.message);
    auto& got = *read.message;
    CHECK(got.from == 3);
    CHECK(got.sender_state == message.sender_state);
    CHECK(got.zone == 2);
    CHECK(got.type == MessageType::PingRequest);
    CHECK(got.target == 9);
    CHECK(got.records == message.records);
    CHECK(got.suspicions == message.suspicions);
    CHECK(got.link_reports == message.link_reports);
    CHECK(got.hashes == message.hashes);
    CHECK(got.first_member == 4);
}

TEST_CASE("a datagram that can't be used is dropped with the reason") {
    auto why = [](const Message& message, int routers = 10) {
        auto read = decode(encode(message), routers, noon_at);
        CHECK(!read.message);
        return read.drop_reason;
    };
    CHECK(decode(std::string(257, 'x'), 10, noon_at).drop_reason == DropReason::TooLong);
    CHECK(decode("\xff\xff\xff", 10, noon_at).drop_reason == DropReason::Malformed);
    CHECK(decode("", 10, noon_at).drop_reason == DropReason::UnsupportedFormat);
    CHECK(decode("\x08\x02\x10\x01\x18\x01", 10, noon_at).drop_reason == DropReason::UnsupportedFormat);
    CHECK(why(sample_message(), 9) ==
          DropReason::OutOfRange);  // it is about router 9, but there are only nine
    auto future = sample_message();
    future.records[0].member_state.generation += 3 * Generation{86'400'000};
    CHECK(why(future) == DropReason::OutOfRange);
    auto dead = sample_message();
    dead.sender_state.liveness = Liveness::Dead;  // no router reports itself dead
    CHECK(why(dead) == DropReason::OutOfRange);
    auto many = sample_message();
    many.hashes.assign(30, 1);  // more blocks than ten routers have
    CHECK(why(many) == DropReason::OutOfRange);
    // Truncated anywhere, or with any bit flipped, it is decoded or dropped without a fault.
    auto whole = encode(sample_message());
    for (std::size_t i = 0; i < whole.size(); i++) {
        decode(whole.substr(0, i), 10, noon_at);
        for (int bit = 0; bit < 8; bit++) {
            auto changed = whole;
            changed[i] = static_cast<char>(changed[i] ^ (1 << bit));
            decode(changed, 10, noon_at);
        }
    }
}

TEST_CASE("the schedule probes each router once a slot, and by all others in a round") {
    for (int routers : {2, 3, 7, 50}) {
        std::vector<ProbeSchedule> schedules;
        schedules.reserve(static_cast<std::size_t>(routers));
        for (RouterIndex who = 0; who < routers; who++) schedules.emplace_back(who, routers, 333 * ms);
        std::vector<std::set<RouterIndex>> probed(static_cast<std::size_t>(routers));
        std::int64_t first = std::int64_t{1000} * (routers - 1);
        for (auto slot = first; slot < first + routers - 1; slot++) {
            std::set<RouterIndex> targets;
            for (RouterIndex who = 0; who < routers; who++) {
                auto target = schedules[static_cast<std::size_t>(who)].target(slot);
                CHECK(target != who);
                targets.insert(target);
                probed[static_cast<std::size_t>(who)].insert(target);
            }
            CHECK(static_cast<int>(targets.size()) == routers);
        }
        for (auto& one : probed) CHECK(static_cast<int>(one.size()) == routers - 1);
    }
}

TEST_CASE("a second accuser shortens the time to refute, the same one twice does not") {
    Suspicions suspicions({2 * second, 8 * second, second});
    suspicions.accuse(5, 1, 0, noon_at);
    suspicions.accuse(5, 1, 0, noon_at + second);
    CHECK(suspicions.deadline(*suspicions.find(5), 0) == noon_at + 8 * second);
    suspicions.accuse(5, 2, 0, noon_at + second);
    CHECK(suspicions.deadline(*suspicions.find(5), 0) == noon_at + 2 * second);
    SUBCASE("a suspected router that was heard since has the time from then") {
        CHECK(suspicions.deadline(*suspicions.find(5), noon_at + second) == noon_at + 3 * second);
    }
    SUBCASE("a reported age shortens the time by half at most") {
        suspicions.accuse(6, 1, 500 * second, noon_at);
        suspicions.accuse(6, 2, 500 * second, noon_at);
        CHECK(suspicions.deadline(*suspicions.find(6), 0) == noon_at + second);
    }
}

TEST_CASE("four misses in a row make a cut, and one datagram ends it") {
    Reachability reachability(0);
    for (int i = 0; i < 3; i++) CHECK(!reachability.record_missed(4, noon_at));
    CHECK(reachability.needs_another_probe(4));
    CHECK(reachability.record_missed(4, noon_at));
    CHECK(reachability.is_down(4, 0));
    CHECK(!reachability.is_down(0, 4));
    CHECK(reachability.record_received(4, noon_at));
    CHECK(!reachability.is_down(4, 0));
    SUBCASE("reports of another listener are ordered by its generation and sequence number") {
        CHECK(reachability.merge_report({1, 2, 5, true}, 10, noon_at));
        CHECK(!reachability.merge_report({1, 2, 5, false}, 10, noon_at));
        CHECK(!reachability.merge_report({1, 2, 9, false}, 9, noon_at));
        CHECK(reachability.merge_report({1, 2, 6, false}, 10, noon_at));
        CHECK(!reachability.is_down(1, 2));
    }
    SUBCASE("at most 64 cuts are kept") {
        for (int i = 0; i < 200; i++) reachability.merge_report({i, i + 1, 1, true}, 1, noon_at);
        CHECK(reachability.down_links().size() <= 64);
    }
}

TEST_CASE(
    "an update is gossiped a bounded number of times, urgent ones first, and fewer if others gossip it") {
    GossipQueue gossip(10);
    gossip.enqueue(1, false);
    gossip.enqueue(2, true);
    CHECK(gossip.take_next(1) == std::vector<RouterIndex>{2});
    int told = 1;
    while (gossip.size() > 0) told += static_cast<int>(gossip.take_next(5).size());
    CHECK(told == 2 * gossip.repeat_limit());
    gossip.enqueue(3, true);
    for (int i = 0; i < gossip.repeat_limit(); i++) gossip.note_duplicate(3);
    CHECK(gossip.size() == 0);
}

TEST_CASE("an accused router refutes with a higher incarnation") {
    auto membership = make_membership();
    membership.receive(1, news_with(1, {0, {1000, Phase::Present, 0, Liveness::Suspected, false}}), noon_at);
    CHECK(membership.self().incarnation == 1);
    membership.receive(1, news_with(1, {0, {1000, Phase::Present, 0, Liveness::Dead, false}}), noon_at);
    CHECK(membership.self().incarnation == 1);  // a higher incarnation has refuted that already
    membership.receive(1, news_with(1, {0, {1000, Phase::Present, 7, Liveness::Alive, false}}), noon_at);
    CHECK(membership.self().incarnation == 8);  // raised by an earlier process of the same millisecond
    membership.receive(1, news_with(1, {0, {1000, Phase::Gone, 9, Liveness::Alive, false}}), noon_at);
    CHECK(membership.self().generation == 1001);  // it has not announced that, so it begins a new one
    membership.receive(1, news_with(1, {0, {5000, Phase::Present, 0, Liveness::Alive, false}}), noon_at);
    CHECK(membership.self().generation == 5001);
}

TEST_CASE(
    "datagrams under the number of another router or of this one, or from an unknown address, are dropped") {
    auto membership = make_membership();
    auto gone = news_with(2, {3, {400, Phase::Gone, 0, Liveness::Alive, false}});
    membership.receive(1, gone, noon_at);
    membership.receive(-1, gone, noon_at);
    CHECK(membership.state(3) == State::Unknown);
    membership.receive(2, gone, noon_at);
    CHECK(membership.state(3) == State::Gone);
    CHECK(membership.counters().dropped[static_cast<std::size_t>(DropReason::UnexpectedSender)] == 2);
    auto own = news_with(0, {3, {400, Phase::Present, 0, Liveness::Alive, false}});
    membership.receive(0, own, noon_at);
    CHECK(membership.counters().dropped[static_cast<std::size_t>(DropReason::UnexpectedSender)] == 3);
}

TEST_CASE("counts are bounds, and only a router's own announcement is certain") {
    auto membership = make_membership();
    CHECK(membership.counts().at_least == 1);
    CHECK(membership.counts().at_most == 4);
    membership.receive(1, news_with(1, {2, {400, Phase::Present, 0, Liveness::Dead, false}}), noon_at);
    membership.receive(1, news_with(1, {3, {400, Phase::Gone, 0, Liveness::Alive, false}}), noon_at);
    CHECK(membership.counts().at_least == 2);
    CHECK(membership.counts().at_most == 3);  // the dead one may only be partitioned
    CHECK(membership.view(3, noon_at).confidence == 1);
    CHECK(membership.view(2, noon_at).confidence < 1);
    CHECK(membership.view(1, noon_at + 60 * second).confidence < membership.view(1, noon_at).confidence);
}

TEST_CASE("a router that serves too few lookups is unhealthy, and healthy again only with a margin") {
    RequestHealth request_health;
    std::uint64_t ended = 0, bad = 0;
    auto run = [&](double share, int seconds, Micros& now) {
        bool ill = false;
        for (int s = 0; s < seconds; s++) {
            now += second;
            ended += 20;
            bad += static_cast<std::uint64_t>(20 * share);
            ill = request_health.update(ended, bad, now);
        }
        return ill;
    };
    Micros now = noon_at;
    CHECK(!run(0.1, 10, now));
    CHECK(run(0.8, 10, now));
    CHECK(run(0.3, 10, now));  // better, but not below the margin
    CHECK(!run(0.1, 10, now));
}

TEST_CASE("the operators' file turns membership on, and its faults are reported") {
    CHECK(!operate::parse("{}").config.peers);
    auto read = operate::parse(R"({"peers": {"period_ms": 500, "bytes_per_s": 400, "gap_ms": 300}})");
    CHECK(read.errors.empty());
    REQUIRE(read.config.peers);
    CHECK(read.config.peers->probe_period == 500 * ms);
    CHECK(read.config.peers->bytes_per_s == 400);
    CHECK(!read.config.peers->state_transfer);
    CHECK(operate::parse(R"({"peers": {"state_transfer": true}})").config.peers->state_transfer);
    auto no_flag = operate::parse(R"({"peers": {"state_transfer": "yes"}})");
    REQUIRE(no_flag.errors.size() == 1);
    CHECK(no_flag.errors[0].where == "peers.state_transfer");
    CHECK(no_flag.errors[0].what == "true or false is expected, not \"yes\"");
    auto bad = operate::parse(R"({"peers": {"period_ms": 5, "longest_ms": 300, "gap_ms": 900, "bites": 1}})");
    CHECK(bad.errors.size() == 4);
}

TEST_CASE(
    "a router takes part in the membership only if the settings allow it and it has an index in the list") {
    auto told = rig::config_of(1, 2, {3});
    auto with = [&](const std::string& settings, const std::string& members) {
        auto text = told;
        text.replace(text.find("\"second_copies\""), 0, settings);
        text.replace(1, 0, members);
        return launch::read_neighbourhood(launch::read_launch(text, nullptr, nullptr));
    };
    std::string list = R"("peer_listen":"127.0.0.1:9","peers":["127.0.0.1:7","127.0.0.1:8"],)";
    CHECK_THROWS_AS(with("", list), site::Unusable);
    CHECK_THROWS_AS(with("\"peers\":true,", ""), site::Unusable);
    CHECK_THROWS_AS(with("\"peers\":true,", list), site::Unusable);  // no index of its own
    auto of_size = [](int count) {
        std::string members = R"("peer_listen":"127.0.0.1:9","peers":[)";
        for (int i = 0; i < count; i++)
            members += (i ? ",\"127.0.0.1:" : "\"127.0.0.1:") + std::to_string(i + 1) + "\"";
        return members + "],";
    };
    told.replace(told.find("\"balancers\""), 0, "\"index\":0,");
    CHECK(max_routers == 8192);
    CHECK_NOTHROW(with("\"peers\":true,", of_size(max_routers)));
    CHECK_THROWS_AS(with("\"peers\":true,", of_size(max_routers + 1)), site::Unusable);
}

TEST_CASE(
    "datagrams of a tier above the size limit are dropped, and the largest number within it is decoded") {
    auto message = sample_message();
    message.from = max_routers - 1;
    message.records[0].member = max_routers - 2;
    auto read = decode(encode(message), max_routers, noon_at);
    REQUIRE(read.message);
    CHECK(read.message->from == max_routers - 1);
    CHECK(read.message->records[0].member == max_routers - 2);
    CHECK(decode(encode(message), max_routers + 1, noon_at).drop_reason == DropReason::OutOfRange);
    CHECK(decode(encode(message), max_routers - 1, noon_at).drop_reason == DropReason::OutOfRange);
}

TEST_CASE("state transfer datagrams are dropped and counted while state transfer is off") {
    auto membership = make_membership();
    Message request;
    request.from = 1;
    request.sender_state = {500, Phase::Present, 0, Liveness::Alive, false};
    request.type = MessageType::RangeRequest;
    request.range_members = 4;
    request.pages = 1;
    membership.receive(1, encode(request), noon_at);
    request.range_members = request.pages = 0;
    request.type = MessageType::RangePage;
    membership.receive(1, encode(request), noon_at);
    CHECK(membership.counters().dropped[static_cast<std::size_t>(DropReason::StateTransferDisabled)] == 2);
    CHECK(membership.counters().received == 0);
    CHECK(membership.state(1) == State::Unknown);
    CHECK(membership.take_outgoing().empty());
}
