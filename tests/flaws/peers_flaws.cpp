// Many routers in simulated time, once as they are and once with each guard taken out: a scenario that passes
// has to fail without its guard, else it proves nothing. The modules are built for this with
// QUILLGRADE_FLAWS.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>
#include <map>

#include "flaws/transfer_scenarios.hpp"
#include "rig/simulated.hpp"

using namespace quillgrade;
using namespace quillgrade::peers;
using rig::Simulated;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;

// What a run showed, counted by the one who stands outside.
struct Watch {
    explicit Watch(Simulated<>& sim) : sim(sim) {
        sim.on_change = [this](int observer, const StateChange& change) {
            seen.push_back({observer, change, this->sim.now()});
            if (change.after == State::Dead && this->sim.runs(change.who)) false_dead++;
        };
    }
    int count(State state, RouterIndex who = -1) const {
        int sum = 0;
        for (auto& one : seen) sum += one.change.after == state && (who < 0 || one.change.who == who);
        return sum;
    }
    struct Seen {
        int observer;
        StateChange change;
        Micros at;
    };
    Simulated<>& sim;
    std::vector<Seen> seen;
    int false_dead = 0;
};

bool all_agree(Simulated<>& sim) {
    for (int i = 0; i < sim.count(); i++)
        for (int j = 0; j < sim.count(); j++)
            if (sim.runs(i) && sim.runs(j) && sim.protocol(i)->state(j) != State::Alive) return false;
    return true;
}

bool agree_within(Simulated<>& sim, Micros limit) {
    auto until = sim.now() + limit;
    while (sim.now() < until) {
        sim.run_until(sim.now() + 100 * ms);
        if (all_agree(sim)) return true;
    }
    return false;
}

void settle(Simulated<>& sim) {
    sim.start_all();
    sim.run_until(sim.now() + 25 * second);
}

// A datagram as router `from` would send it.
std::string telling(Simulated<>& sim, RouterIndex from, MemberRecord account) {
    Message message;
    message.from = from;
    message.sender_state = sim.protocol(from)->self();
    message.type = MessageType::Gossip;
    message.records = {account};
    return encode(message);
}

// ---- scenarios: true where what must hold holds

bool restarted_at_once() {
    Simulated<> sim(8, 2, 3, {}, {0.05, 3 * ms, 24 * ms, 0.02, 0.05});
    settle(sim);
    auto old =
        telling(sim, 2, {4, {sim.protocol(4)->self().generation, Phase::Present, 90, Liveness::Dead, false}});
    sim.kill(4);
    sim.run_until(sim.now() + 100 * ms);
    sim.start(4);
    // What was said of the last life is still under way, and comes late.
    for (int i = 0; i < 8; i++)
        if (i != 4 && i != 2) sim.protocol(i)->receive(2, old, sim.clock(i));
    if (!agree_within(sim, 10 * second)) return false;
    auto life = sim.protocol(4)->self();
    for (int i = 0; i < 8; i++)
        if (sim.protocol(i)->view(4, sim.clock(i)).member_state.incarnation > life.incarnation) return false;
    return life.incarnation < 90;
}

bool gone_for_good() {
    Simulated<> sim(8, 2, 5);
    settle(sim);
    auto before = sim.protocol(5)->self();
    sim.leave(5);
    sim.run_until(sim.now() + 10 * second);
    Watch watch(sim);
    // Somebody who was behind tells of it as alive, with an incarnation beyond its last.
    for (int i = 0; i < 8; i++)
        if (i != 5 && i != 1)
            sim.protocol(i)->receive(1,
                                     telling(sim, 1,
                                             {5,
                                              {before.generation, Phase::Present, before.incarnation + 50,
                                               Liveness::Alive, false}}),
                                     sim.clock(i));
    sim.run_until(sim.now() + 5 * second);
    for (int i = 0; i < 8; i++)
        if (i != 5 && i != 1 && sim.protocol(i)->state(5) != State::Gone) return false;
    return true;
}

bool short_pause_answered() {
    Simulated<> sim(12, 3, 7, {}, {0.05});
    settle(sim);
    Watch watch(sim);
    for (int round = 0; round < 5; round++) {
        sim.stop(3);
        sim.run_until(sim.now() + 1'500 * ms);
        sim.go_on(3);
        sim.run_until(sim.now() + 12 * second);
    }
    return watch.count(State::Dead) == 0 && watch.count(State::Suspected, 3) > 0 && all_agree(sim);
}

bool paused_accuse_nobody() {
    Simulated<> sim(12, 3, 9, {}, {0.05});
    settle(sim);
    int wrong = 0, accused_by_others = 0;
    for (Micros pause : {300 * ms, 2 * second, 20 * second})
        for (int round = 0; round < 5; round++) {
            for (int who : {1, 4, 7, 10}) sim.stop(who);
            sim.run_until(sim.now() + pause);
            auto woke = sim.now();
            sim.on_change = [&](int observer, const StateChange& change) {
                bool paused = change.who % 3 == 1, by_paused = observer % 3 == 1;
                bool own = change.by == observer || change.by < 0;
                if (by_paused && own && (change.after == State::Suspected || change.after == State::Dead) &&
                    sim.now() - woke < second)
                    wrong++;
                accused_by_others += paused;
            };
            for (int who : {1, 4, 7, 10}) sim.go_on(who);
            sim.run_until(sim.now() + 10 * second);
            sim.on_change = nullptr;
        }
    return wrong == 0 && accused_by_others > 0;
}

bool lossy_but_there() {
    Simulated<> sim(30, 3, 11, {}, {0.2, 3 * ms, 24 * ms, 0.01, 0.02});
    settle(sim);
    Watch watch(sim);
    sim.run_until(sim.now() + 120 * second);
    return watch.false_dead == 0 && watch.count(State::Suspected) < 400;
}

bool one_accuser_is_slow() {
    Simulated<> sim(2, 1, 13);
    settle(sim);
    Watch watch(sim);
    sim.kill(1);
    sim.run_until(sim.now() + 7 * second);
    if (watch.count(State::Dead, 1) > 0) return false;
    sim.run_until(sim.now() + 4 * second);
    return watch.count(State::Dead, 1) == 1;
}

bool strangers_unheard() {
    Simulated<> sim(5, 1, 15);
    settle(sim);
    auto life = sim.protocol(4)->self().generation;
    for (int i = 0; i < 4; i++)
        sim.protocol(i)->receive(-1, telling(sim, 2, {4, {life, Phase::Gone, 0, Liveness::Alive, false}}),
                                 sim.clock(i));
    return sim.protocol(0)->state(4) == State::Alive;
}

bool heals_after_cut() {
    Simulated<> sim(12, 3, 17);
    settle(sim);
    auto cut = [&](bool yes) {
        for (int i = 0; i < 12; i++)
            for (int j = 0; j < 12; j++)
                if ((i % 3 == 0) != (j % 3 == 0)) sim.cut(i, j, yes);
    };
    Watch watch(sim);
    cut(true);
    sim.run_until(sim.now() + 20 * second);
    if (watch.count(State::Dead) < 40) return false;  // both sides think so
    cut(false);
    return agree_within(sim, 15 * second);
}

bool one_sided_named() {
    Simulated<> sim(8, 2, 19, {}, {0.05});
    settle(sim);
    Watch watch(sim);
    sim.cut(2, 6, true);
    sim.run_until(sim.now() + 30 * second);
    int know = 0;
    for (int i = 0; i < 8; i++) {
        auto cuts = sim.protocol(i)->cuts();
        know += cuts.size() == 1 && cuts[0].sender == 2 && cuts[0].receiver == 6;
    }
    bool held = know == 8 && sim.protocol(6)->state(2) == State::Silent && watch.false_dead == 0 &&
                watch.count(State::Suspected) == 0 && watch.seen.size() == 1;
    sim.cut(2, 6, false);
    return held && agree_within(sim, 30 * second);
}

bool quiet_is_cheap() {
    Simulated<> sim(30, 3, 21);
    settle(sim);
    sim.run_until(sim.now() + 60 * second);
    auto before = sim.figures(7).bytes_sent;
    sim.run_until(sim.now() + 30 * second);
    return sim.figures(7).bytes_sent - before < std::uint64_t{30} * 170;
}

bool storm_is_bounded() {
    Simulated<> sim(6, 2, 23);
    settle(sim);
    Message ping;
    ping.from = 1;
    ping.type = MessageType::Ping;
    ping.sender_state = sim.protocol(1)->self();
    auto before = sim.figures(0).bytes_sent;
    for (int i = 0; i < 10'000; i++) {
        sim.protocol(0)->receive(1, encode(ping), sim.clock(0));
        sim.run_until(sim.now() + ms);
    }
    // Ten seconds, and two seconds' worth at once.
    return sim.figures(0).bytes_sent - before <= std::uint64_t{300} * 12 + max_datagram_bytes;
}

bool asks_before_judging() {
    MembershipConfig start;
    start.routers = 4;
    start.now = 1'764'576'000 * second;
    start.life = 1000;
    Membership membership(start);
    auto now = start.now;
    auto tell = [&](RouterIndex from, MemberRecord account, std::vector<SuspicionReport> accusations) {
        Message message;
        message.from = from;
        message.sender_state = {500, Phase::Present, 0, Liveness::Alive, false};
        message.records = {account};
        message.suspicions = std::move(accusations);
        membership.receive(from, encode(message), now);
    };
    tell(1, {3, {400, Phase::Present, 0, Liveness::Suspected, false}}, {{3, 1, 0}, {3, 2, 0}});
    auto judged_at = now + start.settings.shortest_suspicion;
    while (now < judged_at - 20 * ms) membership.tick(now += 10 * ms);
    now += 5 * second;  // stopped just before it would have judged
    membership.tick(now);
    for (int i = 0; i < 5; i++) membership.tick(now += 10 * ms);
    bool asked = membership.state(3) == State::Suspected;
    for (int i = 0; i < 300; i++) membership.tick(now += 10 * ms);
    return asked && membership.state(3) == State::Dead;  // it was, and did not answer
}

bool clock_set_back() {
    Simulated<> sim(6, 2, 25);
    settle(sim);
    sim.kill(2);
    sim.run_until(sim.now() + second);
    sim.router_clock(2, -40 * second);
    sim.start(2);
    return agree_within(sim, 15 * second);
}

struct Scenario {
    const char* name;
    bool (*holds)();
    std::vector<Flaw> guards;
};
const auto scenarios = std::to_array<Scenario>({
    {"a router started again within a probe period, with old datagrams under way",
     restarted_at_once,
     {Flaw::LifeIgnored}},
    {"a router that has left is never there again in the same life", gone_for_good, {Flaw::PhaseFallsBack}},
    {"a pause of 1.5 s is answered", short_pause_answered, {Flaw::NoRefutation, Flaw::SuspicionAtOnce}},
    {"routers that were stopped accuse nobody", paused_accuse_nobody, {Flaw::PauseUnnoticed}},
    {"a fifth of all datagrams lost", lossy_but_there, {Flaw::NoIndirect}},
    {"one accuser leaves the longest time to answer", one_accuser_is_slow, {Flaw::ConfirmedByOne}},
    {"datagrams from elsewhere are not believed", strangers_unheard, {Flaw::AnySource}},
    {"a zone cut off wholly comes back", heals_after_cut, {Flaw::DeadNotProbed}},
    {"a one-sided cut is named, and makes nobody flap", one_sided_named, {Flaw::CutsUnheard}},
    {"nothing new costs little", quiet_is_cheap, {Flaw::NewsForever}},
    {"a storm of pings does not raise what is sent", storm_is_bounded, {Flaw::NoByteBudget}},
    {"a router that was stopped asks before it judges", asks_before_judging, {Flaw::AskedNotBefore}},
    {"a router whose clock was set back at its start is there", clock_set_back, {Flaw::LifeNotRaised}},
    // Of state transfer; state_transfer_test.cpp plays all of its scenarios on the shipped modules.
    {"a page never brings back an earlier life",
     transfer_scenarios::older_life_stays_older,
     {Flaw::PageOverwrites}},
    {"a page gives nobody up who is alive here",
     transfer_scenarios::page_gives_nobody_up,
     {Flaw::VerdictByPage}},
    {"two helpers that know different members",
     transfer_scenarios::helpers_that_differ,
     {Flaw::NewHelperTrusted}},
    {"a new helper says that it does not know all",
     transfer_scenarios::new_helper_admits_it,
     {Flaw::NewHelperClaimsAll}},
    {"requests follow the bytes that come",
     transfer_scenarios::requests_follow_bytes,
     {Flaw::TransferUnpaced}},
    {"requests in vain slow down", transfer_scenarios::requests_in_vain_slow_down, {Flaw::NoBackoff}},
    {"a helper sheds what is beyond its bytes", transfer_scenarios::helper_sheds, {Flaw::HelperNeverSheds}},
    {"a router that hears nothing gives up asking",
     transfer_scenarios::lagging_gives_up,
     {Flaw::TransferNeverEnds}},
    {"pages that nobody asked for are not used",
     transfer_scenarios::unasked_pages_unused,
     {Flaw::UnaskedPagesUsed}},
    {"pages a minute late are not used", transfer_scenarios::pages_of_earlier_lives, {Flaw::LatePagesUsed}},
    {"a helper that was stopped for long says so",
     transfer_scenarios::stopped_helper_admits_it,
     {Flaw::PauseKeepsComplete}},
    {"off means off", transfer_scenarios::off_means_off, {Flaw::PagesWhileOff}},
});

}  // namespace

TEST_CASE("each scenario holds") {
    planted() = Flaw::None;
    for (auto& one : scenarios) {
        INFO(std::string(one.name));
        CHECK(one.holds());
    }
}

TEST_CASE("each guard that is taken out makes its scenario fail, and none is without one") {
    std::map<Flaw, bool> covered;
    for (auto& one : scenarios)
        for (auto flaw : one.guards) {
            INFO(std::string(one.name) << ", without guard " << static_cast<int>(flaw));
            planted() = flaw;
            CHECK(!one.holds());
            covered[flaw] = true;
        }
    planted() = Flaw::None;
    for (int flaw = 1; flaw < static_cast<int>(Flaw::Last); flaw++) CHECK(covered[static_cast<Flaw>(flaw)]);
}
