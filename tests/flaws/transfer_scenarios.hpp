// Scenarios of state transfer in simulated time. Each returns whether its expectation is met.
// state_transfer_test.cpp runs them on the shipped modules, peers_flaws.cpp on mutants that lack one guard
// each.
#pragma once

#include <algorithm>
#include <array>
#include <deque>
#include <set>
#include <vector>

#include "rig/simulated.hpp"

namespace quillgrade::transfer_scenarios {

using namespace peers;
using rig::LinkConditions;
using rig::Simulated;

inline constexpr Micros ms = 1000, second = 1000 * ms, day = 86'400 * second;
inline constexpr int bytes_in_two_seconds = 2 * 4096;

inline MembershipSettings settings_with_transfer() {
    MembershipSettings settings;
    settings.bytes_per_s = 2000;
    settings.state_transfer = true;
    return settings;
}

// The most bytes in any window of two seconds.
class TwoSecondWindow {
public:
    void add(Micros at, std::size_t bytes) {
        datagrams.emplace_back(at, static_cast<int>(bytes));
        sum += static_cast<int>(bytes);
        while (datagrams.front().first <= at - 2 * second) {
            sum -= datagrams.front().second;
            datagrams.pop_front();
        }
        max_bytes = std::max(max_bytes, sum);
    }
    int max_bytes = 0;

private:
    std::deque<std::pair<Micros, int>> datagrams;
    int sum = 0;
};

// A simulated tier whose routers were started over the last three days. Records the traffic of each router.
class Tier {
public:
    explicit Tier(int count, std::uint64_t seed, MembershipSettings settings = settings_with_transfer(),
                  LinkConditions conditions = {0.01, 3 * ms, 24 * ms, 0.001, 0.001}, int zones = 10)
        : sim(count, zones, seed, settings, conditions),
          received(static_cast<std::size_t>(count)),
          sent(static_cast<std::size_t>(count)),
          rng(static_cast<std::uint32_t>(seed)) {
        boost::random::uniform_int_distribution<Micros> back(0, 3 * day);
        sim.running_for = [this, back](int) mutable { return back(rng); };
        sim.on_send = [this](int from, int to, const std::string& bytes) {
            sent[static_cast<std::size_t>(from)].add(sim.now(), bytes.size());
            auto read = decode(bytes, sim.count(), sim.clock(from));
            if (!read.message) return;
            if (is_state_transfer(read.message->type)) transfer_datagrams++;
            if (read.message->type == MessageType::RangeRequest) requests.push_back({from, to, sim.now()});
            if (read.message->type == MessageType::RangePage && read.message->page)
                pages.push_back({from, to, bytes});
        };
        sim.on_deliver = [this](int, int to, const std::string& bytes) {
            received[static_cast<std::size_t>(to)].add(sim.now(), bytes.size());
        };
    }
    void settle(Micros time = 20 * second) {
        sim.start_all();
        run(time);
        reset_records();
    }
    void run(Micros time) { sim.run_until(sim.now() + time); }
    void reset_records() {
        std::fill(received.begin(), received.end(), TwoSecondWindow());
        std::fill(sent.begin(), sent.end(), TwoSecondWindow());
        requests.clear();
        pages.clear();
    }
    bool knows_exactly(int observer, int who) {
        return sim.protocol(observer)->view(who, sim.clock(observer)).member_state ==
               sim.protocol(who)->self();
    }
    // The share of the running members whose state `observer` knows exactly.
    double share_known(int observer) {
        int right = 0, running = 0;
        for (int who = 0; who < sim.count(); who++) {
            if (who == observer || !sim.runs(who)) continue;
            running++;
            right += knows_exactly(observer, who);
        }
        return running == 0 ? 1 : static_cast<double>(right) / running;
    }
    bool knows_within(int observer, double share, Micros limit) {
        for (auto until = sim.now() + limit; sim.now() < until; run(100 * ms))
            if (share_known(observer) >= share) return true;
        return share_known(observer) >= share;
    }
    bool all_know_within(const std::vector<int>& observers, double share, Micros limit) {
        auto until = sim.now() + limit;
        return std::all_of(observers.begin(), observers.end(), [&](int one) {
            return knows_within(one, share, std::max<Micros>(0, until - sim.now()));
        });
    }
    int max_received() const { return max_of(received); }
    int max_sent() const { return max_of(sent); }
    bool within_bytes() const {
        return max_received() <= bytes_in_two_seconds && max_sent() <= bytes_in_two_seconds;
    }
    void restart(int who) {
        sim.kill(who);
        run(500 * ms);
        sim.start(who);
    }
    // Runs until `requester` has sent `count` requests, for a second at most.
    void run_until_requests(int requester, std::size_t count) {
        for (auto until = sim.now() + second; sim.now() < until && helpers_of(requester).size() < count;)
            run(ms);
    }
    std::vector<int> helpers_of(int requester) const {
        std::vector<int> helpers;
        for (auto& one : requests)
            if (one.from == requester) helpers.push_back(one.to);
        return helpers;
    }

    struct SentRequest {
        int from, to;
        Micros at;
    };
    struct SentPage {
        int from, to;
        std::string bytes;
    };
    Simulated<> sim;
    std::vector<TwoSecondWindow> received, sent;
    std::vector<SentRequest> requests;
    std::vector<SentPage> pages;
    int transfer_datagrams = 0;

private:
    static int max_of(const std::vector<TwoSecondWindow>& windows) {
        int most = 0;
        for (auto& window : windows) most = std::max(most, window.max_bytes);
        return most;
    }
    boost::random::mt19937 rng;
};

inline std::vector<int> every_nth(int step, int count, int first = 0) {
    std::vector<int> numbers;
    for (int who = first; who < count; who += step) numbers.push_back(who);
    return numbers;
}

// One real Membership; the test plays its helpers.
class SingleRouter {
public:
    explicit SingleRouter(int routers, bool state_transfer = true) : settings(settings_with_transfer()) {
        settings.state_transfer = state_transfer;
        MembershipConfig start;
        start.routers = routers;
        start.generation = static_cast<Generation>(now / 1000);
        start.now = now;
        start.settings = settings;
        membership = std::make_unique<Membership>(start);
    }
    static Message message_from(RouterIndex helper, MessageType type) {
        Message message;
        message.from = helper;
        message.sender_state = {generation_of(helper), Phase::Present, 0, Liveness::Alive, false};
        message.type = type;
        return message;
    }
    static Message page_message(RouterIndex helper, SnapshotPage page, bool complete) {
        auto message = message_from(helper, MessageType::RangePage);
        message.page = std::move(page);
        message.complete = complete;
        return message;
    }
    void receive(const Message& message) { membership->receive(message.from, encode(message), now); }
    // Runs until the router sends the next request, with the helper it is sent to; nothing after `limit`.
    std::optional<std::pair<RouterIndex, Message>> next_request(Micros limit = second) {
        for (auto until = now + limit; now < until; now += 5 * ms) {
            membership->tick(now);
            for (auto& one : membership->take_outgoing()) {
                auto read = decode(one.bytes, membership->routers(), now);
                if (read.message && read.message->type == MessageType::RangeRequest)
                    pending_requests.emplace_back(one.to, *read.message);
            }
            if (pending_requests.empty()) continue;
            auto first = pending_requests.front();
            pending_requests.pop_front();
            return first;
        }
        return {};
    }
    static Generation generation_of(RouterIndex who) {
        return 1'764'000'000'000 + static_cast<Generation>(who);
    }
    static MemberRecord record_of(RouterIndex who) {
        return {who, {generation_of(who), Phase::Present, 0, Liveness::Alive, false}};
    }
    MemberState known_state(RouterIndex who) { return membership->view(who, now).member_state; }

    MembershipSettings settings;
    Micros now = 1'764'576'000 * second;
    std::unique_ptr<Membership> membership;
    std::deque<std::pair<RouterIndex, Message>> pending_requests;
};

// ---- scenarios

inline bool restarted_router_learns_all() {
    Tier tier(300, 31);
    tier.settle();
    for (int who : {5, 77, 150, 299}) {
        tier.restart(who);
        if (!tier.knows_within(who, 0.99, 3 * second)) return false;
        tier.run(2 * second);
    }
    return tier.within_bytes();
}

inline bool thousand_routers_within_byte_limit() {
    Tier tier(1000, 33);
    tier.settle(25 * second);
    tier.restart(400);
    return tier.knows_within(400, 0.99, 6 * second) && tier.within_bytes();
}

inline bool helpers_killed() {
    Tier tier(300, 35);
    tier.settle();
    tier.restart(9);
    tier.run_until_requests(9, 2);
    auto helpers = tier.helpers_of(9);
    for (int one : helpers) tier.sim.kill(one);
    if (helpers.empty() || !tier.knows_within(9, 0.98, 8 * second)) return false;
    for (int one : helpers) tier.sim.start(one);
    return tier.knows_within(9, 0.99, 10 * second);
}

// The pages of paused helpers arrive after other members have restarted.
inline bool helpers_paused() {
    Tier tier(300, 37);
    tier.settle();
    tier.restart(9);
    tier.run_until_requests(9, 2);
    auto helpers = tier.helpers_of(9);
    for (int one : helpers) tier.sim.stop(one);
    tier.run(100 * ms);
    std::vector<int> restarted = {20, 120, 220};
    for (int one : restarted) tier.sim.kill(one);
    tier.run(second);
    for (int one : restarted) tier.sim.start(one);
    tier.run(3 * second);
    for (int one : helpers) tier.sim.go_on(one);
    tier.run(6 * second);
    bool all_exact =
        std::all_of(restarted.begin(), restarted.end(), [&](int one) { return tier.knows_exactly(9, one); });
    return !helpers.empty() && all_exact && tier.share_known(9) >= 0.99;
}

inline bool long_pause_restarts_transfer() {
    Tier tier(300, 39);
    tier.settle();
    tier.sim.stop(9);
    for (int batch = 0; batch < 5; batch++) {
        for (int who = 20 + batch; who < 300; who += 10) tier.sim.kill(who);
        tier.run(second);
        for (int who = 20 + batch; who < 300; who += 10) tier.sim.start(who);
        tier.run(5 * second);
    }
    tier.sim.go_on(9);
    return tier.knows_within(9, 0.99, 4 * second);
}

inline bool one_way_link_failures() {
    Tier tier(300, 41);
    tier.settle();
    for (int who = 0; who < 150; who++) tier.sim.cut(who, 9, true);
    tier.restart(9);
    bool knows = tier.knows_within(9, 0.97, 10 * second);
    for (int who = 0; who < 150; who++) tier.sim.cut(who, 9, false);
    return knows && tier.knows_within(9, 0.99, 10 * second);
}

inline bool late_and_duplicated_pages() {
    Tier tier(300, 43, settings_with_transfer(), {0.05, 3 * ms, 60 * ms, 0.2, 0.3});
    tier.settle();
    tier.restart(9);
    return tier.knows_within(9, 0.99, 8 * second);
}

// The pages of a transfer arrive a second time, a minute late, when some members have new generations.
inline bool pages_of_earlier_generations() {
    Tier tier(100, 45);
    tier.settle();
    tier.restart(9);
    if (!tier.knows_within(9, 0.99, 5 * second)) return false;
    auto old = tier.pages;
    for (int one : {30, 31, 60}) tier.restart(one);
    tier.run(60 * second);
    auto before = tier.sim.figures(9);
    for (auto& one : old)
        if (one.to == 9) tier.sim.protocol(9)->receive(one.from, one.bytes, tier.sim.clock(9));
    auto after = tier.sim.figures(9);
    bool unused =
        after.pages_accepted == before.pages_accepted && after.pages_unsolicited > before.pages_unsolicited;
    return unused && tier.share_known(9) == 1;
}

inline bool older_generation_ignored() {
    SingleRouter router(20);
    auto newer = SingleRouter::record_of(7);
    newer.member_state.generation += 5000;
    auto news = SingleRouter::message_from(3, MessageType::Gossip);
    news.records = {newer};
    router.receive(news);
    auto asked = router.next_request();
    if (!asked) return false;
    SnapshotPage page{1, 19, {SingleRouter::record_of(6), SingleRouter::record_of(7)}};
    router.receive(SingleRouter::page_message(asked->first, page, true));
    return router.known_state(6) == SingleRouter::record_of(6).member_state &&
           router.known_state(7) == newer.member_state;
}

// The first helper lacks records and has not finished its own transfer; a second one has them.
inline bool helpers_with_different_records() {
    SingleRouter router(20);
    std::vector<MemberRecord> known;
    known.reserve(19);
    for (RouterIndex who = 1; who < 20; who++) known.push_back(SingleRouter::record_of(who));
    auto less = known;
    std::erase_if(less, [](auto& record) { return record.member > 10; });
    auto first = router.next_request();
    if (!first) return false;
    router.receive(SingleRouter::page_message(first->first, {1, 19, less}, false));
    auto second_asked = router.next_request(5 * second);
    if (!second_asked || !router.membership->transferring()) return false;
    if (second_asked->second.first_member != 11 || second_asked->second.range_members != 9) return false;
    router.receive(
        SingleRouter::page_message(second_asked->first, {11, 9, {known.begin() + 10, known.end()}}, false));
    return !router.membership->transferring() && router.known_state(19) == known.back().member_state;
}

// The page that the router answers with when router 3 requests a range.
inline std::optional<Message> answer_to_request(SingleRouter& router) {
    auto request = SingleRouter::message_from(3, MessageType::RangeRequest);
    request.range_members = 20;
    request.pages = 1;
    router.receive(request);
    for (auto& sent : router.membership->take_outgoing()) {
        auto read = decode(sent.bytes, 20, router.now);
        if (read.message && read.message->type == MessageType::RangePage && sent.to == 3) return read.message;
    }
    return {};
}

inline bool new_helper_reports_incomplete() {
    SingleRouter router(20);
    auto answer = answer_to_request(router);
    return answer && answer->page && !answer->complete;
}

// What a helper knew before a long pause is out of date.
inline bool paused_helper_reports_incomplete() {
    SingleRouter router(20);
    auto asked = router.next_request();
    if (!asked) return false;
    std::vector<MemberRecord> all;
    all.reserve(19);
    for (RouterIndex who = 1; who < 20; who++) all.push_back(SingleRouter::record_of(who));
    router.receive(SingleRouter::page_message(asked->first, {1, 19, all}, true));
    auto before = answer_to_request(router);
    if (router.membership->transferring() || !before || !before->complete) return false;
    router.now += 20 * second;
    auto after = answer_to_request(router);
    return after && after->page && !after->complete && router.membership->transferring();
}

inline bool page_declares_no_live_member_dead() {
    SingleRouter router(20);
    auto alive = SingleRouter::message_from(7, MessageType::Ping);
    router.receive(alive);
    auto asked = router.next_request();
    if (!asked) return false;
    auto dead = SingleRouter::record_of(7), unknown = SingleRouter::record_of(8);
    dead.member_state.liveness = unknown.member_state.liveness = Liveness::Dead;
    router.receive(SingleRouter::page_message(asked->first, {1, 19, {dead, unknown}}, true));
    return router.membership->state(7) == State::Alive && router.membership->state(8) == State::Dead;
}

inline bool zone_restarted_at_once() {
    Tier tier(300, 47);
    tier.settle();
    auto zone = every_nth(10, 300, 3);
    for (int who : zone) tier.sim.kill(who);
    tier.run(20 * second);
    tier.reset_records();
    for (int who : zone) tier.sim.start(who);
    return tier.all_know_within(zone, 0.99, 10 * second) && tier.within_bytes();
}

inline bool site_restarted_together() {
    Tier tier(300, 49);
    tier.settle();
    auto site = every_nth(1, 140, 100);
    for (int who : site) tier.sim.kill(who);
    tier.run(500 * ms);
    for (int who : site) tier.sim.start(who);
    return tier.all_know_within(site, 0.99, 10 * second) && tier.within_bytes();
}

inline bool all_started_at_once() {
    Tier tier(300, 51);
    tier.sim.start_all();
    bool all_know = tier.all_know_within(every_nth(1, 300), 0.99, 15 * second);
    tier.run(15 * second);
    bool ended = true;
    for (int who = 0; who < 300; who++) ended &= !tier.sim.protocol(who)->transferring();
    return all_know && ended && tier.within_bytes();
}

// Two halves of a tier declare each other dead, some routers of both restart, and the partition heals.
inline bool regions_partitioned_and_healed() {
    Tier tier(200, 53);
    tier.settle();
    auto cut = [&](bool yes) {
        for (int a = 0; a < 200; a += 2)
            for (int b = 1; b < 200; b += 2) {
                tier.sim.cut(a, b, yes);
                tier.sim.cut(b, a, yes);
            }
    };
    cut(true);
    tier.run(60 * second);
    for (int who : every_nth(10, 200)) tier.restart(who);
    tier.run(20 * second);
    if (tier.sim.protocol(0)->state(1) != State::Dead) return false;
    tier.reset_records();
    // Members are not declared dead in their own half because the other half has declared them dead.
    int own_half_declared_dead = 0;
    tier.sim.on_change = [&](int observer, const StateChange& change) {
        own_half_declared_dead += change.after == State::Dead && (observer - change.who) % 2 == 0;
    };
    cut(false);
    bool all_know = tier.all_know_within(every_nth(1, 200), 0.99, 60 * second);
    tier.sim.on_change = nullptr;
    return all_know && tier.within_bytes() && own_half_declared_dead < 200;
}

// No datagram reaches the router, though its own reach all others.
inline bool unreachable_router_gives_up() {
    Tier tier(100, 55);
    tier.settle();
    for (int who = 0; who < 100; who++) tier.sim.cut(who, 9, true);
    tier.restart(9);
    tier.run(300 * second);
    bool gave_up = !tier.sim.protocol(9)->transferring();
    auto requests = tier.sim.protocol(9)->counters().range_requests;
    for (int who = 0; who < 100; who++) tier.sim.cut(who, 9, false);
    return gave_up && requests < 60 && tier.knows_within(9, 0.99, 15 * second);
}

inline bool helper_sheds_requests() {
    Tier tier(100, 57);
    tier.settle();
    Message request;
    request.type = MessageType::RangeRequest;
    request.range_members = 100;
    request.pages = max_pages_per_request;
    tier.reset_records();
    auto shed_before = tier.sim.figures(9).requests_shed;
    for (int i = 0; i < 2000; i++) {
        request.from = 10 + i % 50;
        request.sender_state = tier.sim.protocol(request.from)->self();
        tier.sim.visit(9,
                       [&](Membership& p) { p.receive(request.from, encode(request), tier.sim.clock(9)); });
        tier.run(5 * ms);
    }
    bool shed = tier.sim.figures(9).requests_shed > shed_before;
    // The helper still probes and answers probes.
    bool answers = tier.sim.protocol(50)->state(9) == State::Alive;
    return shed && answers && tier.sent[9].max_bytes <= bytes_in_two_seconds;
}

inline HelperRank all_usable(RouterIndex /*helper*/) { return HelperRank::Usable; }

// Any traffic received delays the requests, gossip for instance.
inline bool requests_paced_by_traffic() {
    constexpr Micros start = 1'764'576'000 * second;
    StateTransfer transfer(0, 5000, 1, start);
    transfer.record_traffic(7'000, start);
    if (transfer.next_request(all_usable, start + second)) return false;
    return transfer.next_request(all_usable, start + 3 * second).has_value();
}

// No helper answers: requests become rarer until the transfer fails.
inline bool fruitless_requests_back_off() {
    constexpr Micros start = 1'764'576'000 * second;
    StateTransfer transfer(0, 5000, 1, start);
    int requests = 0;
    auto now = start;
    while (transfer.phase() == StateTransfer::Phase::Running && now < start + 60 * second) {
        now = std::max(now + ms, transfer.next_check());
        transfer.expire(now);
        while (transfer.next_request(all_usable, now)) requests++;
    }
    return transfer.phase() == StateTransfer::Phase::Failed && now - start <= 11 * second && requests < 25;
}

inline bool unrequested_pages_dropped() {
    SingleRouter router(20);
    router.receive(SingleRouter::page_message(5, {1, 19, {SingleRouter::record_of(8)}}, true));
    return router.known_state(8).generation == 0 && router.membership->counters().pages_unsolicited == 1 &&
           router.membership->transferring();
}

inline bool disabled_transfer_sends_nothing() {
    auto settings = settings_with_transfer();
    settings.state_transfer = false;
    Tier tier(30, 59, settings);
    tier.settle();
    tier.restart(9);
    tier.run(10 * second);
    SingleRouter router(20, false);
    router.receive(SingleRouter::page_message(5, {1, 19, {SingleRouter::record_of(8)}}, true));
    bool dropped =
        router.membership->counters().dropped[static_cast<std::size_t>(DropReason::StateTransferDisabled)] ==
        1;
    return tier.transfer_datagrams == 0 && dropped && router.known_state(8).generation == 0 &&
           router.known_state(5).generation == 0;
}

struct Scenario {
    const char* name;
    bool (*holds)();
};
inline const auto scenarios = std::to_array<Scenario>({
    {"a restarted router knows all members within 3 s", restarted_router_learns_all},
    {"at 1,000 routers a transfer takes 6 s at most and stays within the byte limit",
     thousand_routers_within_byte_limit},
    {"a transfer completes when its helpers are killed", helpers_killed},
    {"pages of helpers that were paused past the request's deadline do no harm", helpers_paused},
    {"a router fetches all records anew after a long pause", long_pause_restarts_transfer},
    {"a transfer completes when half of the other routers can't reach the requester", one_way_link_failures},
    {"a transfer completes with pages late, duplicated and reordered", late_and_duplicated_pages},
    {"pages of earlier generations that arrive a minute late are dropped", pages_of_earlier_generations},
    {"a page does not replace a member's newer generation", older_generation_ignored},
    {"members that an incomplete helper left out are requested from another one",
     helpers_with_different_records},
    {"a helper that has just started reports itself incomplete", new_helper_reports_incomplete},
    {"a helper reports itself incomplete after a long pause", paused_helper_reports_incomplete},
    {"a page does not declare a member dead that is known to be alive", page_declares_no_live_member_dead},
    {"a zone that restarts at once knows all members within 10 s and the byte limit", zone_restarted_at_once},
    {"a site that restarts at once knows all members within 10 s and the byte limit",
     site_restarted_together},
    {"all routers of a tier started at once know all members within 15 s", all_started_at_once},
    {"a healed partition leaves no live member dead for long", regions_partitioned_and_healed},
    {"a router that receives nothing gives up, and catches up once the links recover",
     unreachable_router_gives_up},
    {"a helper sheds requests beyond its byte budget", helper_sheds_requests},
    {"requests wait until the traffic received leaves room for pages", requests_paced_by_traffic},
    {"requests without answers back off, and the transfer fails", fruitless_requests_back_off},
    {"pages that were not requested are dropped", unrequested_pages_dropped},
    {"with state transfer disabled nothing of it is sent or accepted", disabled_transfer_sends_nothing},
});

}  // namespace quillgrade::transfer_scenarios
