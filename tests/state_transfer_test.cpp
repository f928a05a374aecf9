// State transfer: the scenarios of flaws/transfer_scenarios.hpp, and the requester by itself.
// flaws/peers_flaws.cpp shows which guard each scenario tests.
#include <doctest/doctest.h>

#include "flaws/transfer_scenarios.hpp"
#include "rig/scale/simulated_fleet.hpp"

using namespace quillgrade;
using namespace quillgrade::peers;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms, noon_at = 1'764'576'000 * second;

using transfer_scenarios::all_usable;
using transfer_scenarios::SingleRouter;

}  // namespace

TEST_CASE("state transfer meets the expectation of each scenario") {
    for (auto& one : transfer_scenarios::scenarios) {
        SUBCASE(one.name) { CHECK(one.holds()); }
    }
}

TEST_CASE("a page from an unexpected sender, out of range or truncated changes nothing") {
    SingleRouter router(20);
    auto asked = router.next_request();
    REQUIRE(asked);
    auto page = SingleRouter::page_message(asked->first, {1, 19, {SingleRouter::record_of(8)}}, true);
    auto other = asked->first == 4 ? 5 : 4;
    router.membership->receive(other, encode(page), router.now);
    router.membership->receive(-1, encode(page), router.now);
    auto& dropped = router.membership->counters().dropped;
    CHECK(dropped[static_cast<std::size_t>(DropReason::UnexpectedSender)] == 2);
    page.page = SnapshotPage{10, 20, {}};
    router.receive(page);
    auto bytes = encode(SingleRouter::page_message(asked->first, {1, 19, {}}, true));
    router.membership->receive(asked->first, bytes.substr(0, bytes.size() - 4), router.now);
    CHECK(dropped[static_cast<std::size_t>(DropReason::OutOfRange)] +
              dropped[static_cast<std::size_t>(DropReason::Malformed)] ==
          2);
    CHECK(router.known_state(8).generation == 0);
    CHECK(router.membership->transferring());
}

TEST_CASE("requests are open at several helpers at a time, for ranges that do not overlap") {
    StateTransfer transfer(0, 5000, 1, noon_at);
    std::vector<RangeRequest> asked;
    for (auto now = noon_at; now < noon_at + 500 * ms; now += 10 * ms)
        if (auto one = transfer.next_request(all_usable, now)) asked.push_back(*one);
    REQUIRE(asked.size() >= 2);
    CHECK(asked.size() <= 4);
    for (std::size_t i = 1; i < asked.size(); i++) {
        CHECK(asked[i].helper != asked[i - 1].helper);
        CHECK(asked[i].first_member >= asked[i - 1].first_member + asked[i - 1].member_count);
    }
}

TEST_CASE("the range of a busy helper is requested again") {
    StateTransfer transfer(0, 60, 1, noon_at);
    auto first = transfer.next_request(all_usable, noon_at + 100 * ms);
    REQUIRE(first);
    transfer.accept_busy(first->helper, noon_at + 120 * ms);
    auto next = transfer.next_request(all_usable, noon_at + 400 * ms);
    REQUIRE(next);
    CHECK(next->first_member == first->first_member);
}

TEST_CASE("a differing range is fetched from the router whose records differ, and not again at once") {
    StateTransfer transfer(0, 100, 1, noon_at);
    for (auto now = noon_at; transfer.phase() == StateTransfer::Phase::Running; now += 50 * ms)
        if (auto one = transfer.next_request(all_usable, now))
            transfer.accept_page(one->helper, {one->first_member, one->member_count, {}}, true, now);
    auto now = noon_at + 10 * second;
    transfer.refresh(32, 16, 77, now);
    transfer.refresh(64, 16, 77, now);
    CHECK(transfer.missing_members() == 32);
    auto one = transfer.next_request(all_usable, now);
    REQUIRE(one);
    CHECK(one->helper == 77);
    CHECK(one->first_member == 32);
    CHECK(one->member_count == 16);
    transfer.accept_page(77, {32, 16, {}}, true, now);
    transfer.refresh(32, 16, 77, now + second);
    CHECK(transfer.missing_members() == 16);
    CHECK(transfer.phase() == StateTransfer::Phase::Complete);
}

TEST_CASE("state transfer takes under 16 KB at 8,192 routers, and memory does not grow with pages received") {
    transfer_scenarios::Tier tier(200, 61);
    tier.settle();
    auto before = tier.sim.protocol(9)->bytes_held();
    MembershipConfig start;
    start.routers = 8192;
    start.now = noon_at;
    start.settings = transfer_scenarios::settings_with_transfer();
    Membership on(start);
    start.settings.state_transfer = false;
    Membership off(start);
    CHECK(on.bytes_held() - off.bytes_held() < 16'384);
    for (auto& page : tier.pages) tier.sim.protocol(9)->receive(page.from, page.bytes, tier.sim.clock(9));
    tier.run(5 * second);
    CHECK(tier.sim.protocol(9)->bytes_held() < before + 4096);
}

// The limit of 4,000 bytes a second applies to received and sent bytes together.
TEST_CASE("bytes that a router sends delay its requests for pages") {
    constexpr Micros refill_time = 300 * ms;
    SingleRouter router(500);
    router.receive(SingleRouter::message_from(3, MessageType::Gossip));
    int sent = 0;
    while (router.membership->send_piggyback(3, true, router.now)) sent++;
    REQUIRE(sent >= 10);
    auto from = router.now;
    REQUIRE(router.next_request());
    CHECK(router.now - from >= refill_time);
}

namespace {

// The number of records in the answer to a ping.
std::size_t records_in_answer(SingleRouter& router) {
    router.membership->take_outgoing();
    router.receive(SingleRouter::message_from(5, MessageType::Ping));
    std::size_t records = 0;
    for (auto& sent : router.membership->take_outgoing()) {
        auto read = decode(sent.bytes, router.membership->routers(), router.now);
        REQUIRE(read.message.has_value());
        if (read.message->type == MessageType::Ack) records += read.message->records.size();
    }
    return records;
}

// The number of records that a router with an open transfer passes on, after the first page of a helper whose
// own transfer has finished or not.
std::size_t gossip_after_page_from(bool complete_helper) {
    SingleRouter router(500);
    auto news = SingleRouter::message_from(3, MessageType::Gossip);
    for (RouterIndex who = 10; who < 14; who++) news.records.push_back(SingleRouter::record_of(who));
    auto asked = router.next_request();
    REQUIRE(asked);
    auto first = asked->second.first_member;
    router.receive(SingleRouter::page_message(
        asked->first, {first, first + 16, {SingleRouter::record_of(first + 1)}}, complete_helper));
    REQUIRE(router.membership->transferring());
    router.receive(news);
    router.now += second;
    router.membership->tick(router.now);
    return records_in_answer(router);
}

}  // namespace

TEST_CASE("a router that fetches from a complete helper leaves gossip to the others") {
    CHECK(gossip_after_page_from(true) == 0);
}

TEST_CASE("a router that fetches from an incomplete helper gossips, as all routers may be starting") {
    CHECK(gossip_after_page_from(false) > 0);
}

TEST_CASE("a starting router receives and sends at most 4,000 bytes a second over any two seconds") {
    constexpr int routers = 600, starting_routers = 6;
    constexpr double max_bytes_per_s = 4'000;
    rig::scale::Topology topology(routers);
    rig::scale::FleetOptions options;
    options.seed = 36;
    options.rates.bytes_per_s = 1'000;
    options.rates.state_transfer = true;
    rig::scale::SimulatedFleet fleet(topology, options);
    fleet.start_in_steady_state();
    fleet.run_for(12 * second);
    fleet.reset_traffic();
    for (RouterIndex who = 0; who < starting_routers; who++) {
        fleet.start(who * (routers / starting_routers));
        fleet.run_for(second);
    }
    fleet.run_for(5 * second);
    for (RouterIndex who = 0; who < starting_routers; who++) {
        auto starter = who * (routers / starting_routers);
        CHECK(fleet.share_known(starter) >= 0.99);
        CHECK(fleet.traffic(starter).busiest_window <= max_bytes_per_s);
    }
}
