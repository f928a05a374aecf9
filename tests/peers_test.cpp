// Who of the routers is there: the pieces, each by itself. What they do together is in flaws/peers_flaws.cpp.
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

std::vector<MemberState> all_standings() {
    std::vector<MemberState> all;
    for (Generation life : {1, 2})
        for (auto phase : {Phase::Present, Phase::Leaving, Phase::Gone})
            for (std::uint32_t incarnation : {0U, 1U})
                for (auto verdict : {Liveness::Alive, Liveness::Suspected, Liveness::Dead})
                    for (bool ill : {false, true}) all.push_back({life, phase, incarnation, verdict, ill});
    return all;
}

Message a_message() {
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

Membership a_circle(RouterIndex self = 0, int routers = 4) {
    MembershipConfig start;
    start.self = self;
    start.routers = routers;
    start.life = 1000;
    start.now = noon_at;
    return Membership(start);
}

// A datagram of another router that tells one account.
std::string telling(RouterIndex from, MemberRecord account, std::vector<SuspicionReport> accusations = {}) {
    Message message;
    message.from = from;
    message.sender_state = {500, Phase::Present, 0, Liveness::Alive, false};
    message.type = MessageType::Gossip;
    message.records = {account};
    message.suspicions = std::move(accusations);
    return encode(message);
}

}  // namespace

TEST_CASE("accounts join the same in any order, any number of times") {
    auto all = all_standings();
    for (auto& a : all) {
        CHECK(merge(a, a) == a);
        for (auto& b : all) {
            REQUIRE(merge(a, b) == merge(b, a));
            for (auto& c : all) REQUIRE(merge(merge(a, b), c) == merge(a, merge(b, c)));
        }
    }
}

TEST_CASE("no account takes a router back: to an earlier life, phase or incarnation") {
    for (auto& a : all_standings())
        for (auto& b : all_standings()) {
            auto joined = merge(a, b);
            REQUIRE(joined.generation >= a.generation);
            if (joined.generation == a.generation) {
                REQUIRE(joined.phase >= a.phase);
                REQUIRE(joined.incarnation >= a.incarnation);
            }
        }
}

TEST_CASE("a datagram is read as it was written") {
    auto message = a_message();
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

TEST_CASE("what can't be used is dropped, and why is told") {
    auto why = [](const Message& message, int routers = 10) {
        auto read = decode(encode(message), routers, noon_at);
        CHECK(!read.message);
        return read.drop_reason;
    };
    CHECK(decode(std::string(257, 'x'), 10, noon_at).drop_reason == DropReason::TooLong);
    CHECK(decode("\xff\xff\xff", 10, noon_at).drop_reason == DropReason::Malformed);
    CHECK(decode("", 10, noon_at).drop_reason == DropReason::UnsupportedFormat);
    CHECK(decode("\x08\x02\x10\x01\x18\x01", 10, noon_at).drop_reason == DropReason::UnsupportedFormat);
    CHECK(why(a_message(), 9) == DropReason::OutOfRange);  // about number 9, of nine
    auto future = a_message();
    future.records[0].member_state.generation += 3 * Generation{86'400'000};
    CHECK(why(future) == DropReason::OutOfRange);
    auto dead = a_message();
    dead.sender_state.liveness = Liveness::Dead;  // nobody says that of itself
    CHECK(why(dead) == DropReason::OutOfRange);
    auto many = a_message();
    many.hashes.assign(30, 1);  // more blocks than ten routers have
    CHECK(why(many) == DropReason::OutOfRange);
    // Cut anywhere, and with any byte changed, it is read as something or dropped, never more.
    auto whole = encode(a_message());
    for (std::size_t i = 0; i < whole.size(); i++) {
        decode(whole.substr(0, i), 10, noon_at);
        for (int bit = 0; bit < 8; bit++) {
            auto changed = whole;
            changed[i] = static_cast<char>(changed[i] ^ (1 << bit));
            decode(changed, 10, noon_at);
        }
    }
}

TEST_CASE("the order probes everybody once a slot and all in a round") {
    for (int routers : {2, 3, 7, 50}) {
        std::vector<ProbeSchedule> orders;
        orders.reserve(static_cast<std::size_t>(routers));
        for (RouterIndex who = 0; who < routers; who++) orders.emplace_back(who, routers, 333 * ms);
        std::vector<std::set<RouterIndex>> probed(static_cast<std::size_t>(routers));
        std::int64_t first = std::int64_t{1000} * (routers - 1);
        for (auto slot = first; slot < first + routers - 1; slot++) {
            std::set<RouterIndex> targets;
            for (RouterIndex who = 0; who < routers; who++) {
                auto target = orders[static_cast<std::size_t>(who)].target(slot);
                CHECK(target != who);
                targets.insert(target);
                probed[static_cast<std::size_t>(who)].insert(target);
            }
            CHECK(static_cast<int>(targets.size()) == routers);
        }
        for (auto& one : probed) CHECK(static_cast<int>(one.size()) == routers - 1);
    }
}

TEST_CASE("a second accuser shortens the time to answer, the same one twice does not") {
    Suspicions suspicions({2 * second, 8 * second, second});
    suspicions.accuse(5, 1, 0, noon_at);
    suspicions.accuse(5, 1, 0, noon_at + second);
    CHECK(suspicions.due(*suspicions.find(5), 0) == noon_at + 8 * second);
    suspicions.accuse(5, 2, 0, noon_at + second);
    CHECK(suspicions.due(*suspicions.find(5), 0) == noon_at + 2 * second);
    SUBCASE("one that was heard meanwhile has the time from then") {
        CHECK(suspicions.due(*suspicions.find(5), noon_at + second) == noon_at + 3 * second);
    }
    SUBCASE("an age that is told takes off half of the time at most") {
        suspicions.accuse(6, 1, 500 * second, noon_at);
        suspicions.accuse(6, 2, 500 * second, noon_at);
        CHECK(suspicions.due(*suspicions.find(6), 0) == noon_at + second);
    }
}

TEST_CASE("four misses in a row make a cut, one datagram ends it") {
    Reachability reachability(0);
    for (int i = 0; i < 3; i++) CHECK(!reachability.record_missed(4, noon_at));
    CHECK(reachability.needs_another_probe(4));
    CHECK(reachability.record_missed(4, noon_at));
    CHECK(reachability.is_down(4, 0));
    CHECK(!reachability.is_down(0, 4));
    CHECK(reachability.record_received(4, noon_at));
    CHECK(!reachability.is_down(4, 0));
    SUBCASE("what another listener says goes by its life and count") {
        CHECK(reachability.merge_report({1, 2, 5, true}, 10, noon_at));
        CHECK(!reachability.merge_report({1, 2, 5, false}, 10, noon_at));
        CHECK(!reachability.merge_report({1, 2, 9, false}, 9, noon_at));
        CHECK(reachability.merge_report({1, 2, 6, false}, 10, noon_at));
        CHECK(!reachability.is_down(1, 2));
    }
    SUBCASE("no more than 64 are kept") {
        for (int i = 0; i < 200; i++) reachability.merge_report({i, i + 1, 1, true}, 1, noon_at);
        CHECK(reachability.down_links().size() <= 64);
    }
}

TEST_CASE("news is told a bounded number of times, urgent first, less where others tell it") {
    GossipQueue gossip(10);
    gossip.news(1, false);
    gossip.news(2, true);
    CHECK(gossip.next(1) == std::vector<RouterIndex>{2});
    int told = 1;
    while (gossip.size() > 0) told += static_cast<int>(gossip.next(5).size());
    CHECK(told == 2 * gossip.most());
    gossip.news(3, true);
    for (int i = 0; i < gossip.most(); i++) gossip.heard_again(3);
    CHECK(gossip.size() == 0);
}

TEST_CASE("a router that was accused answers with a higher incarnation") {
    auto membership = a_circle();
    membership.receive(1, telling(1, {0, {1000, Phase::Present, 0, Liveness::Suspected, false}}), noon_at);
    CHECK(membership.self().incarnation == 1);
    membership.receive(1, telling(1, {0, {1000, Phase::Present, 0, Liveness::Dead, false}}), noon_at);
    CHECK(membership.self().incarnation == 1);  // that one was answered already
    membership.receive(1, telling(1, {0, {1000, Phase::Present, 7, Liveness::Alive, false}}), noon_at);
    CHECK(membership.self().incarnation == 8);  // of its last run, within the same millisecond
    membership.receive(1, telling(1, {0, {1000, Phase::Gone, 9, Liveness::Alive, false}}), noon_at);
    CHECK(membership.self().generation == 1001);  // which it did not say in this life
    membership.receive(1, telling(1, {0, {5000, Phase::Present, 0, Liveness::Alive, false}}), noon_at);
    CHECK(membership.self().generation == 5001);
}

TEST_CASE("nobody speaks under another's number, from elsewhere, or in my name") {
    auto membership = a_circle();
    auto gone = telling(2, {3, {400, Phase::Gone, 0, Liveness::Alive, false}});
    membership.receive(1, gone, noon_at);
    membership.receive(-1, gone, noon_at);
    CHECK(membership.state(3) == State::Unknown);
    membership.receive(2, gone, noon_at);
    CHECK(membership.state(3) == State::Gone);
    CHECK(membership.counters().dropped[static_cast<std::size_t>(DropReason::UnexpectedSender)] == 2);
    auto mine = telling(0, {3, {400, Phase::Present, 0, Liveness::Alive, false}});
    membership.receive(0, mine, noon_at);
    CHECK(membership.counters().dropped[static_cast<std::size_t>(DropReason::UnexpectedSender)] == 3);
}

TEST_CASE("counts are an interval, and only a router's own word makes it certain") {
    auto membership = a_circle();
    CHECK(membership.counts().at_least == 1);
    CHECK(membership.counts().at_most == 4);
    membership.receive(1, telling(1, {2, {400, Phase::Present, 0, Liveness::Dead, false}}), noon_at);
    membership.receive(1, telling(1, {3, {400, Phase::Gone, 0, Liveness::Alive, false}}), noon_at);
    CHECK(membership.counts().at_least == 2);
    CHECK(membership.counts().at_most == 3);  // the dead one may be behind a cut
    CHECK(membership.view(3, noon_at).confidence == 1);
    CHECK(membership.view(2, noon_at).confidence < 1);
    CHECK(membership.view(1, noon_at + 60 * second).confidence < membership.view(1, noon_at).confidence);
}

TEST_CASE("a router that handles too few of its lookups is ill, and well again with a margin") {
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
    CHECK(run(0.3, 10, now));  // not yet
    CHECK(!run(0.1, 10, now));
}

TEST_CASE("the operators' file turns the talk with peers on, and its faults are told") {
    CHECK(!operate::parse("{}").config.peers);
    auto read = operate::parse(R"({"peers": {"period_ms": 500, "bytes_per_s": 400, "gap_ms": 300}})");
    CHECK(read.errors.empty());
    REQUIRE(read.config.peers);
    CHECK(read.config.peers->probe_interval == 500 * ms);
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

TEST_CASE("a router talks with its peers only where the settings allow it and its number is in the list") {
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
    CHECK_THROWS_AS(with("\"peers\":true,", list), site::Unusable);  // no number of its own
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

TEST_CASE("datagrams of a tier longer than the bound are dropped, and the largest number within it is read") {
    auto message = a_message();
    message.from = max_routers - 1;
    message.records[0].member = max_routers - 2;
    auto read = decode(encode(message), max_routers, noon_at);
    REQUIRE(read.message);
    CHECK(read.message->from == max_routers - 1);
    CHECK(read.message->records[0].member == max_routers - 2);
    CHECK(decode(encode(message), max_routers + 1, noon_at).drop_reason == DropReason::OutOfRange);
    CHECK(decode(encode(message), max_routers - 1, noon_at).drop_reason == DropReason::OutOfRange);
}

TEST_CASE("kinds of a state transfer are dropped and counted where it is off") {
    auto membership = a_circle();
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
