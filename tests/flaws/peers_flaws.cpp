// Mutation tests of the membership: scenarios with many routers in simulated time, run with all guards and
// once with each guard switched off. A scenario has to hold with the guards and to fail without its own, or
// else it would not show that the guard is needed. The modules are copies of the shipped sources with the
// switches of seam/hooks.patch.
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

// Counts the state changes that all routers of a fleet report.
struct ChangeRecorder {
    explicit ChangeRecorder(Simulated<>& sim) : sim(sim) {
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

// A datagram of router `from` that carries one record.
std::string news_with(Simulated<>& sim, RouterIndex from, MemberRecord record) {
    Message message;
    message.from = from;
    message.sender_state = sim.protocol(from)->self();
    message.type = MessageType::Gossip;
    message.records = {record};
    return encode(message);
}

// ---- scenarios; each returns whether its property holds

bool restarts_within_period() {
    Simulated<> sim(8, 2, 3, {}, {0.05, 3 * ms, 24 * ms, 0.02, 0.05});
    settle(sim);
    auto old = news_with(
        sim, 2, {4, {sim.protocol(4)->self().generation, Phase::Present, 90, Liveness::Dead, false}});
    sim.kill(4);
    sim.run_until(sim.now() + 100 * ms);
    sim.start(4);
    // A report of the previous generation is delivered late.
    for (int i = 0; i < 8; i++)
        if (i != 4 && i != 2) sim.protocol(i)->receive(2, old, sim.clock(i));
    if (!agree_within(sim, 10 * second)) return false;
    auto generation = sim.protocol(4)->self();
    for (int i = 0; i < 8; i++)
        if (sim.protocol(i)->view(4, sim.clock(i)).member_state.incarnation > generation.incarnation)
            return false;
    return generation.incarnation < 90;
}

bool departure_is_final() {
    Simulated<> sim(8, 2, 5);
    settle(sim);
    auto before = sim.protocol(5)->self();
    sim.leave(5);
    sim.run_until(sim.now() + 10 * second);
    ChangeRecorder recorder(sim);
    // A router with an outdated view reports it alive, with an incarnation above its last.
    for (int i = 0; i < 8; i++)
        if (i != 5 && i != 1)
            sim.protocol(i)->receive(1,
                                     news_with(sim, 1,
                                               {5,
                                                {before.generation, Phase::Present, before.incarnation + 50,
                                                 Liveness::Alive, false}}),
                                     sim.clock(i));
    sim.run_until(sim.now() + 5 * second);
    for (int i = 0; i < 8; i++)
        if (i != 5 && i != 1 && sim.protocol(i)->state(5) != State::Gone) return false;
    return true;
}

bool short_pause_refuted() {
    Simulated<> sim(12, 3, 7, {}, {0.05});
    settle(sim);
    ChangeRecorder recorder(sim);
    for (int round = 0; round < 5; round++) {
        sim.stop(3);
        sim.run_until(sim.now() + 1'500 * ms);
        sim.go_on(3);
        sim.run_until(sim.now() + 12 * second);
    }
    return recorder.count(State::Dead) == 0 && recorder.count(State::Suspected, 3) > 0 && all_agree(sim);
}

bool paused_accuse_nobody() {
    Simulated<> sim(12, 3, 9, {}, {0.05});
    settle(sim);
    int false_accusations = 0, changes_of_paused = 0;
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
                    false_accusations++;
                changes_of_paused += paused;
            };
            for (int who : {1, 4, 7, 10}) sim.go_on(who);
            sim.run_until(sim.now() + 10 * second);
            sim.on_change = nullptr;
        }
    return false_accusations == 0 && changes_of_paused > 0;
}

bool loss_is_tolerated() {
    Simulated<> sim(30, 3, 11, {}, {0.2, 3 * ms, 24 * ms, 0.01, 0.02});
    settle(sim);
    ChangeRecorder recorder(sim);
    sim.run_until(sim.now() + 120 * second);
    return recorder.false_dead == 0 && recorder.count(State::Suspected) < 400;
}

bool single_accuser_waits_longest() {
    Simulated<> sim(2, 1, 13);
    settle(sim);
    ChangeRecorder recorder(sim);
    sim.kill(1);
    sim.run_until(sim.now() + 7 * second);
    if (recorder.count(State::Dead, 1) > 0) return false;
    sim.run_until(sim.now() + 4 * second);
    return recorder.count(State::Dead, 1) == 1;
}

bool unknown_addresses_dropped() {
    Simulated<> sim(5, 1, 15);
    settle(sim);
    auto generation = sim.protocol(4)->self().generation;
    for (int i = 0; i < 4; i++)
        sim.protocol(i)->receive(
            -1, news_with(sim, 2, {4, {generation, Phase::Gone, 0, Liveness::Alive, false}}), sim.clock(i));
    return sim.protocol(0)->state(4) == State::Alive;
}

bool heals_after_partition() {
    Simulated<> sim(12, 3, 17);
    settle(sim);
    auto cut = [&](bool yes) {
        for (int i = 0; i < 12; i++)
            for (int j = 0; j < 12; j++)
                if ((i % 3 == 0) != (j % 3 == 0)) sim.cut(i, j, yes);
    };
    ChangeRecorder recorder(sim);
    cut(true);
    sim.run_until(sim.now() + 20 * second);
    if (recorder.count(State::Dead) < 40) return false;  // each side has declared the other dead
    cut(false);
    return agree_within(sim, 15 * second);
}

bool one_sided_cut_reported() {
    Simulated<> sim(8, 2, 19, {}, {0.05});
    settle(sim);
    ChangeRecorder recorder(sim);
    sim.cut(2, 6, true);
    sim.run_until(sim.now() + 30 * second);
    int aware = 0;
    for (int i = 0; i < 8; i++) {
        auto cuts = sim.protocol(i)->cuts();
        aware += cuts.size() == 1 && cuts[0].sender == 2 && cuts[0].receiver == 6;
    }
    bool held = aware == 8 && sim.protocol(6)->state(2) == State::Silent && recorder.false_dead == 0 &&
                recorder.count(State::Suspected) == 0 && recorder.seen.size() == 1;
    sim.cut(2, 6, false);
    return held && agree_within(sim, 30 * second);
}

bool quiet_fleet_sends_little() {
    Simulated<> sim(30, 3, 21);
    settle(sim);
    sim.run_until(sim.now() + 60 * second);
    auto before = sim.figures(7).bytes_sent;
    sim.run_until(sim.now() + 30 * second);
    return sim.figures(7).bytes_sent - before < std::uint64_t{30} * 170;
}

bool ping_flood_is_bounded() {
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
    // Ten seconds at 300 bytes/s, and a burst of two seconds.
    return sim.figures(0).bytes_sent - before <= std::uint64_t{300} * 12 + max_datagram_bytes;
}

bool probes_before_verdict() {
    MembershipConfig config;
    config.routers = 4;
    config.now = 1'764'576'000 * second;
    config.generation = 1000;
    Membership membership(config);
    auto now = config.now;
    auto tell = [&](RouterIndex from, MemberRecord record, std::vector<SuspicionReport> accusations) {
        Message message;
        message.from = from;
        message.sender_state = {500, Phase::Present, 0, Liveness::Alive, false};
        message.records = {record};
        message.suspicions = std::move(accusations);
        membership.receive(from, encode(message), now);
    };
    tell(1, {3, {400, Phase::Present, 0, Liveness::Suspected, false}}, {{3, 1, 0}, {3, 2, 0}});
    auto verdict_due = now + config.settings.shortest_suspicion;
    while (now < verdict_due - 20 * ms) membership.tick(now += 10 * ms);
    now += 5 * second;  // paused just before the verdict would be due
    membership.tick(now);
    for (int i = 0; i < 5; i++) membership.tick(now += 10 * ms);
    bool asked = membership.state(3) == State::Suspected;
    for (int i = 0; i < 300; i++) membership.tick(now += 10 * ms);
    return asked && membership.state(3) == State::Dead;  // the accused was probed, and did not answer
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
    {"a router that restarts within a probe period is alive, despite late datagrams of its previous "
     "generation",
     restarts_within_period,
     {Flaw::LifeIgnored}},
    {"a router that has left never returns in the same generation",
     departure_is_final,
     {Flaw::PhaseFallsBack}},
    {"a router paused for 1.5 s refutes the suspicion",
     short_pause_refuted,
     {Flaw::NoRefutation, Flaw::SuspicionAtOnce}},
    {"routers that were paused accuse nobody", paused_accuse_nobody, {Flaw::PauseUnnoticed}},
    {"with a fifth of all datagrams lost, nobody is declared dead", loss_is_tolerated, {Flaw::NoIndirect}},
    {"a single accuser leaves the longest time to refute",
     single_accuser_waits_longest,
     {Flaw::ConfirmedByOne}},
    {"datagrams from unknown addresses are dropped", unknown_addresses_dropped, {Flaw::AnySource}},
    {"a partitioned zone rejoins", heals_after_partition, {Flaw::DeadNotProbed}},
    {"a one-sided cut is reported and causes no suspicion", one_sided_cut_reported, {Flaw::CutsUnheard}},
    {"a quiet fleet sends little", quiet_fleet_sends_little, {Flaw::NewsForever}},
    {"a flood of pings does not raise the bytes sent", ping_flood_is_bounded, {Flaw::NoByteBudget}},
    {"a router that was paused probes before a verdict", probes_before_verdict, {Flaw::AskedNotBefore}},
    {"a router that restarts with its clock set back is alive", clock_set_back, {Flaw::LifeNotRaised}},
    // State transfer; state_transfer_test.cpp runs all of its scenarios on the shipped code.
    {"a page never restores an earlier generation",
     transfer_scenarios::older_generation_ignored,
     {Flaw::PageOverwrites}},
    {"a page declares no router dead that is alive here",
     transfer_scenarios::page_declares_no_live_member_dead,
     {Flaw::VerdictByPage}},
    {"members known to only one of two helpers are learned",
     transfer_scenarios::helpers_with_different_records,
     {Flaw::NewHelperTrusted}},
    {"a new helper reports that it is not complete",
     transfer_scenarios::new_helper_reports_incomplete,
     {Flaw::NewHelperClaimsAll}},
    {"requests are paced by the bytes received",
     transfer_scenarios::requests_paced_by_traffic,
     {Flaw::TransferUnpaced}},
    {"fruitless requests back off", transfer_scenarios::fruitless_requests_back_off, {Flaw::NoBackoff}},
    {"a helper sheds requests beyond its byte budget",
     transfer_scenarios::helper_sheds_requests,
     {Flaw::HelperNeverSheds}},
    {"a router that gets no answers ends its transfer",
     transfer_scenarios::unreachable_router_gives_up,
     {Flaw::TransferNeverEnds}},
    {"unsolicited pages are not used",
     transfer_scenarios::unrequested_pages_dropped,
     {Flaw::UnaskedPagesUsed}},
    {"pages a minute late are not used",
     transfer_scenarios::pages_of_earlier_generations,
     {Flaw::LatePagesUsed}},
    {"a helper that was paused for long reports that it is not complete",
     transfer_scenarios::paused_helper_reports_incomplete,
     {Flaw::PauseKeepsComplete}},
    {"no pages are used while state transfer is off",
     transfer_scenarios::disabled_transfer_sends_nothing,
     {Flaw::PagesWhileOff}},
});

}  // namespace

TEST_CASE("every scenario holds with all guards") {
    planted() = Flaw::None;
    for (auto& one : scenarios) {
        INFO(std::string(one.name));
        CHECK(one.holds());
    }
}

TEST_CASE("every scenario fails without its guard, and every guard has a scenario") {
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
