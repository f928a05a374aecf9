// State transfer: the scenarios, and the requester by itself. Which guards they need is in
// flaws/peers_flaws.cpp.
#include <doctest/doctest.h>

#include "flaws/transfer_scenarios.hpp"
#include "rig/scale/simulated_fleet.hpp"

using namespace quillgrade;
using namespace quillgrade::peers;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms, noon_at = 1'764'576'000 * second;

using transfer_scenarios::all_fit;
using transfer_scenarios::Alone;

}  // namespace

TEST_CASE("state transfer holds in each scenario") {
    for (auto& one : transfer_scenarios::scenarios) {
        SUBCASE(one.name) { CHECK(one.holds()); }
    }
}

TEST_CASE("a page in another's name, or out of range, changes nothing") {
    Alone one(20);
    auto asked = one.next_request();
    REQUIRE(asked);
    auto page = Alone::page(asked->first, {1, 19, {Alone::account_of(8)}}, true);
    auto other = asked->first == 4 ? 5 : 4;
    one.membership->receive(other, encode(page), one.now);
    one.membership->receive(-1, encode(page), one.now);
    auto& dropped = one.membership->counters().dropped;
    CHECK(dropped[static_cast<std::size_t>(DropReason::UnexpectedSender)] == 2);
    page.page = SnapshotPage{10, 20, {}};
    one.hear(page);
    auto bytes = encode(Alone::page(asked->first, {1, 19, {}}, true));
    one.membership->receive(asked->first, bytes.substr(0, bytes.size() - 4), one.now);
    CHECK(dropped[static_cast<std::size_t>(DropReason::OutOfRange)] +
              dropped[static_cast<std::size_t>(DropReason::Malformed)] ==
          2);
    CHECK(one.known(8).generation == 0);
    CHECK(one.membership->transferring());
}

TEST_CASE("several helpers are asked at a time, for different ranges, none of them twice") {
    StateTransfer transfer(0, 5000, 1, noon_at);
    std::vector<RangeRequest> asked;
    for (auto now = noon_at; now < noon_at + 500 * ms; now += 10 * ms)
        if (auto one = transfer.next_request(all_fit, now)) asked.push_back(*one);
    REQUIRE(asked.size() >= 2);
    CHECK(asked.size() <= 4);
    for (std::size_t i = 1; i < asked.size(); i++) {
        CHECK(asked[i].helper != asked[i - 1].helper);
        CHECK(asked[i].first_member >= asked[i - 1].first_member + asked[i - 1].member_count);
    }
}

TEST_CASE("a busy helper is followed by another one") {
    StateTransfer transfer(0, 60, 1, noon_at);
    auto first = transfer.next_request(all_fit, noon_at + 100 * ms);
    REQUIRE(first);
    transfer.accept_busy(first->helper, noon_at + 120 * ms);
    auto next = transfer.next_request(all_fit, noon_at + 400 * ms);
    REQUIRE(next);
    CHECK(next->first_member == first->first_member);
}

TEST_CASE("ranges that differ are fetched from whom they differ, not again at once") {
    StateTransfer transfer(0, 100, 1, noon_at);
    for (auto now = noon_at; transfer.phase() == StateTransfer::Phase::Running; now += 50 * ms)
        if (auto one = transfer.next_request(all_fit, now))
            transfer.accept_page(one->helper, {one->first_member, one->member_count, {}}, true, now);
    auto now = noon_at + 10 * second;
    transfer.refresh(32, 16, 77, now);
    transfer.refresh(64, 16, 77, now);
    CHECK(transfer.missing_members() == 32);
    auto one = transfer.next_request(all_fit, now);
    REQUIRE(one);
    CHECK(one->helper == 77);
    CHECK(one->first_member == 32);
    CHECK(one->member_count == 16);
    transfer.accept_page(77, {32, 16, {}}, true, now);
    transfer.refresh(32, 16, 77, now + second);
    CHECK(transfer.missing_members() == 16);
    CHECK(transfer.phase() == StateTransfer::Phase::Complete);
}

TEST_CASE("memory stays within 64 bytes a router and some KB, and grows with nothing that comes") {
    transfer_scenarios::Tier tier(200, 61);
    tier.settle();
    auto before = tier.sim.protocol(9)->bytes_held();
    MembershipConfig start;
    start.routers = 8192;
    start.now = noon_at;
    start.settings = transfer_scenarios::rates_with_transfer();
    Membership on(start);
    start.settings.state_transfer = false;
    Membership off(start);
    CHECK(on.bytes_held() - off.bytes_held() < 16'384);
    for (auto& page : tier.pages) tier.sim.protocol(9)->receive(page.from, page.bytes, tier.sim.clock(9));
    tier.run(5 * second);
    CHECK(tier.sim.protocol(9)->bytes_held() < before + 4096);
}

// Four kilobytes a second are meant for what comes and what goes together.
TEST_CASE("what a router sends itself delays its requests for pages") {
    constexpr Micros burst_takes = 300 * ms;
    Alone one(500);
    one.hear(Alone::from(3, MessageType::Gossip));
    int sent = 0;
    while (one.membership->send_piggyback(3, true, one.now)) sent++;
    REQUIRE(sent >= 10);
    auto from = one.now;
    REQUIRE(one.next_request());
    CHECK(one.now - from >= burst_takes);
}

namespace {

// How many accounts the answer to a ping brings along.
std::size_t accounts_in_answer(Alone& one) {
    one.membership->take_outgoing();
    one.hear(Alone::from(5, MessageType::Ping));
    std::size_t accounts = 0;
    for (auto& sent : one.membership->take_outgoing()) {
        auto read = decode(sent.bytes, one.membership->routers(), one.now);
        REQUIRE(read.message.has_value());
        if (read.message->type == MessageType::Ack) accounts += read.message->records.size();
    }
    return accounts;
}

// A router that fetches and has heard news, after the first page of a helper that is complete or not.
std::size_t gossip_after_a_page_of(bool complete_helper) {
    Alone one(500);
    auto news = Alone::from(3, MessageType::Gossip);
    for (RouterIndex who = 10; who < 14; who++) news.records.push_back(Alone::account_of(who));
    auto asked = one.next_request();
    REQUIRE(asked);
    auto first = asked->second.first_member;
    one.hear(Alone::page(asked->first, {first, first + 16, {Alone::account_of(first + 1)}}, complete_helper));
    REQUIRE(one.membership->transferring());
    one.hear(news);
    one.now += second;
    one.membership->tick(one.now);
    return accounts_in_answer(one);
}

}  // namespace

TEST_CASE("while it fetches from a tier that is complete, a router leaves gossip to the others") {
    CHECK(gossip_after_a_page_of(true) == 0);
}

TEST_CASE("where all start at once, routers gossip while they fetch") {
    CHECK(gossip_after_a_page_of(false) > 0);
}

TEST_CASE("a router that starts takes in and sends at most 4,000 bytes a second over any two seconds") {
    constexpr int routers = 600, starters = 6;
    constexpr double most_bytes_per_s = 4'000;
    rig::scale::Topology topology(routers);
    rig::scale::FleetOptions options;
    options.seed = 36;
    options.rates.bytes_per_s = 1'000;
    options.rates.state_transfer = true;
    rig::scale::SimulatedFleet fleet(topology, options);
    fleet.start_in_steady_state();
    fleet.run_for(12 * second);
    fleet.reset_traffic();
    for (RouterIndex who = 0; who < starters; who++) {
        fleet.start(who * (routers / starters));
        fleet.run_for(second);
    }
    fleet.run_for(5 * second);
    for (RouterIndex who = 0; who < starters; who++) {
        auto starter = who * (routers / starters);
        CHECK(fleet.share_known(starter) >= 0.99);
        CHECK(fleet.traffic(starter).busiest_window <= most_bytes_per_s);
    }
}
