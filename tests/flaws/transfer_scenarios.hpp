// State transfer in simulated time: each scenario is true where what must hold holds. state_transfer_test.cpp
// plays them on the shipped modules, peers_flaws.cpp with guards taken out.
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

inline MembershipSettings rates_with_transfer() {
    MembershipSettings rates;
    rates.bytes_per_s = 2000;
    rates.state_transfer = true;
    return rates;
}

// The most bytes in any two seconds.
class TwoSeconds {
public:
    void add(Micros at, std::size_t bytes) {
        seen.emplace_back(at, static_cast<int>(bytes));
        sum += static_cast<int>(bytes);
        while (seen.front().first <= at - 2 * second) {
            sum -= seen.front().second;
            seen.pop_front();
        }
        most = std::max(most, sum);
    }
    int most = 0;

private:
    std::deque<std::pair<Micros, int>> seen;
    int sum = 0;
};

// A tier whose routers were started over the last three days, and what an onlooker counts of it.
class Tier {
public:
    explicit Tier(int count, std::uint64_t seed, MembershipSettings rates = rates_with_transfer(),
                  LinkConditions conditions = {0.01, 3 * ms, 24 * ms, 0.001, 0.001}, int zones = 10)
        : sim(count, zones, seed, rates, conditions),
          in(static_cast<std::size_t>(count)),
          out(static_cast<std::size_t>(count)),
          chance(static_cast<std::uint32_t>(seed)) {
        boost::random::uniform_int_distribution<Micros> back(0, 3 * day);
        sim.running_for = [this, back](int) mutable { return back(chance); };
        sim.on_send = [this](int from, int to, const std::string& bytes) {
            out[static_cast<std::size_t>(from)].add(sim.now(), bytes.size());
            auto read = decode(bytes, sim.count(), sim.clock(from));
            if (!read.message) return;
            if (is_state_transfer(read.message->type)) transfer_datagrams++;
            if (read.message->type == MessageType::RangeRequest) asked.push_back({from, to, sim.now()});
            if (read.message->type == MessageType::RangePage && read.message->page)
                pages.push_back({from, to, bytes});
        };
        sim.on_deliver = [this](int, int to, const std::string& bytes) {
            in[static_cast<std::size_t>(to)].add(sim.now(), bytes.size());
        };
    }
    void settle(Micros time = 20 * second) {
        sim.start_all();
        run(time);
        forget();
    }
    void run(Micros time) { sim.run_until(sim.now() + time); }
    void forget() {
        std::fill(in.begin(), in.end(), TwoSeconds());
        std::fill(out.begin(), out.end(), TwoSeconds());
        asked.clear();
        pages.clear();
    }
    bool exact(int observer, int who) {
        return sim.protocol(observer)->view(who, sim.clock(observer)).member_state ==
               sim.protocol(who)->self();
    }
    // Of the members that run, the share whose accounts `observer` has exactly.
    double known_share(int observer) {
        int right = 0, running = 0;
        for (int who = 0; who < sim.count(); who++) {
            if (who == observer || !sim.runs(who)) continue;
            running++;
            right += exact(observer, who);
        }
        return running == 0 ? 1 : static_cast<double>(right) / running;
    }
    bool knows_within(int observer, double share, Micros limit) {
        for (auto until = sim.now() + limit; sim.now() < until; run(100 * ms))
            if (known_share(observer) >= share) return true;
        return known_share(observer) >= share;
    }
    bool all_know_within(const std::vector<int>& observers, double share, Micros limit) {
        auto until = sim.now() + limit;
        return std::all_of(observers.begin(), observers.end(), [&](int one) {
            return knows_within(one, share, std::max<Micros>(0, until - sim.now()));
        });
    }
    int most_in() const { return most(in); }
    int most_out() const { return most(out); }
    bool within_bytes() const {
        return most_in() <= bytes_in_two_seconds && most_out() <= bytes_in_two_seconds;
    }
    void restart(int who) {
        sim.kill(who);
        run(500 * ms);
        sim.start(who);
    }
    // Until so many requests of it are on their way.
    void run_until_asked(int requester, std::size_t requests) {
        for (auto until = sim.now() + second; sim.now() < until && helpers_of(requester).size() < requests;)
            run(ms);
    }
    std::vector<int> helpers_of(int requester) const {
        std::vector<int> helpers;
        for (auto& one : asked)
            if (one.from == requester) helpers.push_back(one.to);
        return helpers;
    }

    struct Asked {
        int from, to;
        Micros at;
    };
    struct Sent {
        int from, to;
        std::string bytes;
    };
    Simulated<> sim;
    std::vector<TwoSeconds> in, out;
    std::vector<Asked> asked;
    std::vector<Sent> pages;
    int transfer_datagrams = 0;

private:
    static int most(const std::vector<TwoSeconds>& all) {
        int most = 0;
        for (auto& one : all) most = std::max(most, one.most);
        return most;
    }
    boost::random::mt19937 chance;
};

inline std::vector<int> every(int step, int count, int first = 0) {
    std::vector<int> numbers;
    for (int who = first; who < count; who += step) numbers.push_back(who);
    return numbers;
}

// A router by itself, and its helpers played by the test.
class Alone {
public:
    explicit Alone(int routers, bool on = true) : rates(rates_with_transfer()) {
        rates.state_transfer = on;
        MembershipConfig start;
        start.routers = routers;
        start.life = static_cast<Generation>(now / 1000);
        start.now = now;
        start.settings = rates;
        membership = std::make_unique<Membership>(start);
    }
    static Message from(RouterIndex helper, MessageType type) {
        Message message;
        message.from = helper;
        message.sender_state = {life_of(helper), Phase::Present, 0, Liveness::Alive, false};
        message.type = type;
        return message;
    }
    static Message page(RouterIndex helper, SnapshotPage page, bool complete) {
        auto message = from(helper, MessageType::RangePage);
        message.page = std::move(page);
        message.complete = complete;
        return message;
    }
    void hear(const Message& message) { membership->receive(message.from, encode(message), now); }
    // Runs on until the next request is sent, or the time is up.
    std::optional<std::pair<RouterIndex, Message>> next_request(Micros limit = second) {
        for (auto until = now + limit; now < until; now += 5 * ms) {
            membership->tick(now);
            for (auto& one : membership->take_outgoing()) {
                auto read = decode(one.bytes, membership->routers(), now);
                if (read.message && read.message->type == MessageType::RangeRequest)
                    waiting.emplace_back(one.to, *read.message);
            }
            if (waiting.empty()) continue;
            auto first = waiting.front();
            waiting.pop_front();
            return first;
        }
        return {};
    }
    static Generation life_of(RouterIndex who) { return 1'764'000'000'000 + static_cast<Generation>(who); }
    static MemberRecord account_of(RouterIndex who) {
        return {who, {life_of(who), Phase::Present, 0, Liveness::Alive, false}};
    }
    MemberState known(RouterIndex who) { return membership->view(who, now).member_state; }

    MembershipSettings rates;
    Micros now = 1'764'576'000 * second;
    std::unique_ptr<Membership> membership;
    std::deque<std::pair<RouterIndex, Message>> waiting;
};

// ---- scenarios

inline bool restarted_knows_all() {
    Tier tier(300, 31);
    tier.settle();
    for (int who : {5, 77, 150, 299}) {
        tier.restart(who);
        if (!tier.knows_within(who, 0.99, 3 * second)) return false;
        tier.run(2 * second);
    }
    return tier.within_bytes();
}

inline bool paced_at_a_thousand() {
    Tier tier(1000, 33);
    tier.settle(25 * second);
    tier.restart(400);
    return tier.knows_within(400, 0.99, 6 * second) && tier.within_bytes();
}

inline bool helper_killed() {
    Tier tier(300, 35);
    tier.settle();
    tier.restart(9);
    tier.run_until_asked(9, 2);
    auto helpers = tier.helpers_of(9);
    for (int one : helpers) tier.sim.kill(one);
    if (helpers.empty() || !tier.knows_within(9, 0.98, 8 * second)) return false;
    for (int one : helpers) tier.sim.start(one);
    return tier.knows_within(9, 0.99, 10 * second);
}

// Its pages come when others have restarted since.
inline bool helper_paused() {
    Tier tier(300, 37);
    tier.settle();
    tier.restart(9);
    tier.run_until_asked(9, 2);
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
    bool exact = std::all_of(restarted.begin(), restarted.end(), [&](int one) { return tier.exact(9, one); });
    return !helpers.empty() && exact && tier.known_share(9) >= 0.99;
}

inline bool pause_makes_ask_again() {
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

inline bool one_sided_cuts() {
    Tier tier(300, 41);
    tier.settle();
    for (int who = 0; who < 150; who++) tier.sim.cut(who, 9, true);
    tier.restart(9);
    bool knows = tier.knows_within(9, 0.97, 10 * second);
    for (int who = 0; who < 150; who++) tier.sim.cut(who, 9, false);
    return knows && tier.knows_within(9, 0.99, 10 * second);
}

inline bool late_and_doubled() {
    Tier tier(300, 43, rates_with_transfer(), {0.05, 3 * ms, 60 * ms, 0.2, 0.3});
    tier.settle();
    tier.restart(9);
    return tier.knows_within(9, 0.99, 8 * second);
}

// Pages of the last transfer come once more, a minute late, when members and the router itself have new
// lives.
inline bool pages_of_earlier_lives() {
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
    return unused && tier.known_share(9) == 1;
}

inline bool older_life_stays_older() {
    Alone one(20);
    auto newer = Alone::account_of(7);
    newer.member_state.generation += 5000;
    auto news = Alone::from(3, MessageType::Gossip);
    news.records = {newer};
    one.hear(news);
    auto asked = one.next_request();
    if (!asked) return false;
    SnapshotPage page{1, 19, {Alone::account_of(6), Alone::account_of(7)}};
    one.hear(Alone::page(asked->first, page, true));
    return one.known(6) == Alone::account_of(6).member_state && one.known(7) == newer.member_state;
}

// One helper has no account of a member and has not finished itself, another has one.
inline bool helpers_that_differ() {
    Alone one(20);
    std::vector<MemberRecord> known;
    known.reserve(19);
    for (RouterIndex who = 1; who < 20; who++) known.push_back(Alone::account_of(who));
    auto less = known;
    std::erase_if(less, [](auto& account) { return account.member > 10; });
    auto first = one.next_request();
    if (!first) return false;
    one.hear(Alone::page(first->first, {1, 19, less}, false));
    auto second_asked = one.next_request(5 * second);
    if (!second_asked || !one.membership->transferring()) return false;
    if (second_asked->second.first_member != 11 || second_asked->second.range_members != 9) return false;
    one.hear(Alone::page(second_asked->first, {11, 9, {known.begin() + 10, known.end()}}, false));
    return !one.membership->transferring() && one.known(19) == known.back().member_state;
}

// What it answers when it is asked by router 3.
inline std::optional<Message> answer_of(Alone& one) {
    auto request = Alone::from(3, MessageType::RangeRequest);
    request.range_members = 20;
    request.pages = 1;
    one.hear(request);
    for (auto& sent : one.membership->take_outgoing()) {
        auto read = decode(sent.bytes, 20, one.now);
        if (read.message && read.message->type == MessageType::RangePage && sent.to == 3) return read.message;
    }
    return {};
}

inline bool new_helper_admits_it() {
    Alone one(20);
    auto answer = answer_of(one);
    return answer && answer->page && !answer->complete;
}

// What it knew is old when it was stopped for long.
inline bool stopped_helper_admits_it() {
    Alone one(20);
    auto asked = one.next_request();
    if (!asked) return false;
    std::vector<MemberRecord> all;
    all.reserve(19);
    for (RouterIndex who = 1; who < 20; who++) all.push_back(Alone::account_of(who));
    one.hear(Alone::page(asked->first, {1, 19, all}, true));
    auto before = answer_of(one);
    if (one.membership->transferring() || !before || !before->complete) return false;
    one.now += 20 * second;
    auto after = answer_of(one);
    return after && after->page && !after->complete && one.membership->transferring();
}

inline bool page_gives_nobody_up() {
    Alone one(20);
    auto alive = Alone::from(7, MessageType::Ping);
    one.hear(alive);
    auto asked = one.next_request();
    if (!asked) return false;
    auto dead = Alone::account_of(7), unheard = Alone::account_of(8);
    dead.member_state.liveness = unheard.member_state.liveness = Liveness::Dead;
    one.hear(Alone::page(asked->first, {1, 19, {dead, unheard}}, true));
    return one.membership->state(7) == State::Alive && one.membership->state(8) == State::Dead;
}

inline bool zone_back_at_once() {
    Tier tier(300, 47);
    tier.settle();
    auto zone = every(10, 300, 3);
    for (int who : zone) tier.sim.kill(who);
    tier.run(20 * second);
    tier.forget();
    for (int who : zone) tier.sim.start(who);
    return tier.all_know_within(zone, 0.99, 10 * second) && tier.within_bytes();
}

inline bool site_restarted_together() {
    Tier tier(300, 49);
    tier.settle();
    auto site = every(1, 140, 100);
    for (int who : site) tier.sim.kill(who);
    tier.run(500 * ms);
    for (int who : site) tier.sim.start(who);
    return tier.all_know_within(site, 0.99, 10 * second) && tier.within_bytes();
}

inline bool all_started_at_once() {
    Tier tier(300, 51);
    tier.sim.start_all();
    bool know = tier.all_know_within(every(1, 300), 0.99, 15 * second);
    tier.run(15 * second);
    bool ended = true;
    for (int who = 0; who < 300; who++) ended &= !tier.sim.protocol(who)->transferring();
    return know && ended && tier.within_bytes();
}

// Two halves give each other up, restart some of their own meanwhile, and meet again.
inline bool regions_apart_and_healed() {
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
    for (int who : every(10, 200)) tier.restart(who);
    tier.run(20 * second);
    if (tier.sim.protocol(0)->state(1) != State::Dead) return false;
    tier.forget();
    // Nobody gives up those of its own half because the other half has.
    int own_given_up = 0;
    tier.sim.on_change = [&](int observer, const StateChange& change) {
        own_given_up += change.after == State::Dead && (observer - change.who) % 2 == 0;
    };
    cut(false);
    bool know = tier.all_know_within(every(1, 200), 0.99, 60 * second);
    tier.sim.on_change = nullptr;
    return know && tier.within_bytes() && own_given_up < 200;
}

// Nothing reaches it, though all hear it.
inline bool lagging_gives_up() {
    Tier tier(100, 55);
    tier.settle();
    for (int who = 0; who < 100; who++) tier.sim.cut(who, 9, true);
    tier.restart(9);
    tier.run(300 * second);
    bool given_up = !tier.sim.protocol(9)->transferring();
    auto requests = tier.sim.protocol(9)->counters().range_requests;
    for (int who = 0; who < 100; who++) tier.sim.cut(who, 9, false);
    return given_up && requests < 60 && tier.knows_within(9, 0.99, 15 * second);
}

inline bool helper_sheds() {
    Tier tier(100, 57);
    tier.settle();
    Message request;
    request.type = MessageType::RangeRequest;
    request.range_members = 100;
    request.pages = max_pages_per_request;
    tier.forget();
    auto shed_before = tier.sim.figures(9).requests_shed;
    for (int i = 0; i < 2000; i++) {
        request.from = 10 + i % 50;
        request.sender_state = tier.sim.protocol(request.from)->self();
        tier.sim.visit(9,
                       [&](Membership& p) { p.receive(request.from, encode(request), tier.sim.clock(9)); });
        tier.run(5 * ms);
    }
    bool shed = tier.sim.figures(9).requests_shed > shed_before;
    // It goes on with its probes all the same.
    bool answers = tier.sim.protocol(50)->state(9) == State::Alive;
    return shed && answers && tier.out[9].most <= bytes_in_two_seconds;
}

inline HelperRank all_fit(RouterIndex /*helper*/) { return HelperRank::Usable; }

// Whatever it is that comes in, gossip for instance.
inline bool requests_follow_bytes() {
    constexpr Micros start = 1'764'576'000 * second;
    StateTransfer transfer(0, 5000, 1, start);
    transfer.record_traffic(7'000, start);
    if (transfer.next_request(all_fit, start + second)) return false;
    return transfer.next_request(all_fit, start + 3 * second).has_value();
}

// Asks for what nobody tells; how often until it gives up.
inline bool requests_in_vain_slow_down() {
    constexpr Micros start = 1'764'576'000 * second;
    StateTransfer transfer(0, 5000, 1, start);
    int requests = 0;
    auto now = start;
    while (transfer.phase() == StateTransfer::Phase::Running && now < start + 60 * second) {
        now = std::max(now + ms, transfer.next_check());
        transfer.expire(now);
        while (transfer.next_request(all_fit, now)) requests++;
    }
    return transfer.phase() == StateTransfer::Phase::Failed && now - start <= 11 * second && requests < 25;
}

inline bool unasked_pages_unused() {
    Alone one(20);
    one.hear(Alone::page(5, {1, 19, {Alone::account_of(8)}}, true));
    return one.known(8).generation == 0 && one.membership->counters().pages_unsolicited == 1 &&
           one.membership->transferring();
}

inline bool off_means_off() {
    auto rates = rates_with_transfer();
    rates.state_transfer = false;
    Tier tier(30, 59, rates);
    tier.settle();
    tier.restart(9);
    tier.run(10 * second);
    Alone one(20, false);
    one.hear(Alone::page(5, {1, 19, {Alone::account_of(8)}}, true));
    bool dropped =
        one.membership->counters().dropped[static_cast<std::size_t>(DropReason::StateTransferDisabled)] == 1;
    return tier.transfer_datagrams == 0 && dropped && one.known(8).generation == 0 &&
           one.known(5).generation == 0;
}

struct Scenario {
    const char* name;
    bool (*holds)();
};
inline const auto scenarios = std::to_array<Scenario>({
    {"a restarted router knows all within seconds", restarted_knows_all},
    {"at 1,000 routers within 6 s and two seconds' worth of bytes", paced_at_a_thousand},
    {"helpers killed in the midst", helper_killed},
    {"helpers stopped past the request's time and continued", helper_paused},
    {"a router that was stopped for long asks anew", pause_makes_ask_again},
    {"half of the others can't reach it", one_sided_cuts},
    {"pages late, doubled and reordered", late_and_doubled},
    {"pages a minute late, of earlier lives", pages_of_earlier_lives},
    {"a page never brings back an earlier life", older_life_stays_older},
    {"two helpers that know different members", helpers_that_differ},
    {"a new helper says that it does not know all", new_helper_admits_it},
    {"a helper that was stopped for long says so", stopped_helper_admits_it},
    {"a page gives nobody up who is alive here", page_gives_nobody_up},
    {"a zone gone and back at once", zone_back_at_once},
    {"a site restarted together", site_restarted_together},
    {"all started at once", all_started_at_once},
    {"regions apart and healed", regions_apart_and_healed},
    {"a router that hears nothing gives up, and starts over when it hears again", lagging_gives_up},
    {"a helper sheds what is beyond its bytes", helper_sheds},
    {"requests follow the bytes that come", requests_follow_bytes},
    {"requests in vain slow down, and end", requests_in_vain_slow_down},
    {"pages that nobody asked for are not used", unasked_pages_unused},
    {"off means off", off_means_off},
});

}  // namespace quillgrade::transfer_scenarios
