// The part of a Membership that probes others and answers probes: pings, indirect probes through helpers, and
// what the end of a probe without an answer says.
#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <limits>

#include "peers/membership.hpp"

namespace quillgrade::peers {

namespace {

constexpr Micros never = std::numeric_limits<Micros>::max();
constexpr int most_indirect_probes = 32, most_probes = 8;
constexpr int most_again = 2;                // probed once more at a time
constexpr std::size_t most_corrections = 3;  // that the answer to a ping brings along

}  // namespace

void Membership::probe_in_slot(Micros now) {
    auto slot = probe_schedule.slot(now);
    if (routers() <= 1 || slot <= last_slot) return;
    // In doubt of itself a router asks more rarely.
    auto target = probe_schedule.target(slot);
    if (slot % local_health.multiplier() == 0 && !awaits_account(target)) probe(target, now);
    last_slot = slot;
}

void Membership::step_probes(Micros now) {
    for (std::size_t i = 0; i < probes.size();) {
        auto& one = probes[i];
        if (now >= one.step_at && now < one.end && !one.passed_on) step(one, now);
        if (now < one.end) {
            i++;
            continue;
        }
        auto ended = one;
        probes.erase(probes.begin() + static_cast<std::ptrdiff_t>(i));
        end_probe(ended, now);
    }
}

void Membership::probe(Number target, Micros now) {
    if (probes.size() >= most_probes) return;
    Message ping;
    ping.kind = Kind::Ping;
    ping.probe = next_probe;
    next_probe = next_probe % 0x3fff + 1;  // two bytes on the wire
    if (!send(target, ping, SendPriority::Probe, now)) return;
    auto wait = settings.probe_period * local_health.multiplier();
    probes.push_back({ping.probe, target, now, now + settings.probe_period / 6, now + wait, now + wait});
    // Where one direction is known to be cut, helpers are asked at once, and the ping only tells whether it
    // still is.
    if (reachability.cut(number, target) || reachability.cut(target, number)) step(probes.back(), now);
}

// While all accounts are fetched, those of whom there is none yet are not probed: the answers, full of news,
// would take the bytes of pages.
bool Membership::awaits_account(Number who) const {
    return transferring() && at(who).state == State::Unknown;
}

// Whether it is worth more than one ping, and an accusation: it is not given up, nor has it gone.
bool Membership::thought_there(Number who) const {
    auto state = at(who).state;
    return state == State::Alive || state == State::Suspected || state == State::Silent ||
           state == State::Leaving;
}

// No answer so far. A lost datagram is the likeliest cause, and a second ping costs less than helpers do;
// from then on it is asked straight and through others, other ones each time. All that is known of zones goes
// into the choice of helpers, since what cuts one off cuts off its neighbours.
void Membership::step(Probe& probe, Micros now) {
    auto step_after = [&](Micros wait) { probe.step_at = now + wait < probe.asks_end ? now + wait : never; };
    step_after(settings.probe_period / 6 * local_health.multiplier());
    // Whom it has accused already, it only tells so.
    auto* suspicion = suspicions.find(probe.target);
    bool said = suspicion && !suspicion->probe_before_verdict &&
                std::count(suspicion->accusers.begin(), suspicion->accusers.end(), number);
    if (!thought_there(probe.target) || said) return;
    bool cut = reachability.cut(number, probe.target) || reachability.cut(probe.target, number);
    if (cut) {
        step_after(settings.probe_period / 3 * local_health.multiplier());
        probe.steps++;
    } else {
        Message ping;
        ping.kind = Kind::Ping;
        ping.probe = probe.number;
        probe.starved |= !send(probe.target, ping, SendPriority::Insist, now);
    }
    if (probe.steps++ == 0) return;
    for (auto helper : pick(static_cast<std::size_t>(probe.steps < 4 ? 1 : settings.indirect_probe_helpers),
                            probe.target)) {
        Message ask;
        ask.kind = Kind::Ask;
        ask.probe = probe.number;
        ask.about = probe.target;
        // Those asked later have no time to say no.
        bool sent = send(helper, ask, SendPriority::Insist, now);
        probe.starved |= !sent;
        if (sent && probe.steps <= 3) probe.helpers++;
        if (sent) probe.end = std::max(probe.end, now + time_through_helper(now));
    }
}

// Guards against accusations of routers that only others can reach, in a tier whose routers are far apart:
// the answer to an indirect probe takes longer there than a period.
Micros Membership::time_through_helper(Micros now) { return 2 * round_trips.longest(now); }

// Up to `most` that are alive here, can be talked with both ways, and can talk with `but` as far as is known,
// drawn at random, of as many zones as can be.
std::vector<Number> Membership::pick(std::size_t most, Number but, int in_zone) {
    std::vector<Number> able;
    for (Number who = 0; who < routers(); who++)
        if (who != number && who != but && at(who).state == State::Alive && !reachability.cut(number, who) &&
            (in_zone < 0 || at(who).zone == in_zone) &&
            (but < 0 || (!reachability.cut(who, but) && !reachability.cut(but, who))))
            able.push_back(who);
    std::vector<Number> picked;
    std::vector<int> zones;
    for (std::size_t i = 0; i < able.size() && picked.size() < most && i < 8 * most; i++) {
        boost::random::uniform_int_distribution<std::size_t> draw(i, able.size() - 1);
        std::swap(able[i], able[draw(chance)]);
        if (std::count(zones.begin(), zones.end(), at(able[i]).zone)) continue;
        zones.push_back(at(able[i]).zone);
        picked.push_back(able[i]);
    }
    for (auto who : able)
        if (picked.size() < most && !std::count(picked.begin(), picked.end(), who)) picked.push_back(who);
    return picked;
}

void Membership::end_probe(const Probe& probe, Micros now) {
    auto& target = at(probe.target);
    suspicions.note_probed(probe.target);
    if (target.heard >= probe.sent && !probe.passed_on) return;  // whatever came of it, it is there
    if (probe.passed_on) {
        // Others hear it. Which direction is cut it tells itself, or it is this one.
        if (target.heard < probe.sent && reachability.missed(probe.target, now))
            note_cut(probe.target, number, true, probe.helper, now);
        return;
    }
    // Its own want of bytes is nobody's silence.
    if (!thought_there(probe.target) || probe.starved) return;
    // Who is known to be cut off from it one way is no witness: others judge. The fact ends by itself after a
    // minute without a sign of it.
    if (reachability.cut(number, probe.target) || reachability.cut(probe.target, number)) return;
    // A helper that says no shows that this router is heard; those that say nothing put itself in doubt.
    if (probe.noes < probe.helpers || (probe.steps > 1 && probe.helpers == 0)) local_health.degrade();
    seen.accusations++;
    accuse(probe.target, number, 0, now);
    // The accused hears it first, so that it can answer before many have to be told otherwise.
    Message news;
    news.kind = Kind::News;
    send(probe.target, news, SendPriority::Answer, now);
}

// What is doubtful is asked again beside the probe_schedule: pairs that seem cut one way, whom this router
// may not judge before it has asked, and whom it has accused itself: each ping tells the accused what there
// is to answer.
void Membership::look_again(Micros now) {
    int asked = 0;
    auto again = [&](Number who) {
        bool under_way = std::any_of(probes.begin(), probes.end(), [&](auto& p) { return p.target == who; });
        if (asked >= most_again || under_way) return;
        asked++;
        probe(who, now);
    };
    for (auto& [who, one] : suspicions.all())
        if (one.probe_before_verdict || std::count(one.accusers.begin(), one.accusers.end(), number))
            again(who);
    for (Number step = 0; step < routers() && asked < most_again; step++) {
        auto who = (number + 1 + step) % routers();
        if (who != number && reachability.doubtful(who)) again(who);
    }
}

// What the asking one holds and is out of date.
std::vector<Account> Membership::corrections_to(const Message& ping) const {
    std::vector<Account> corrections;
    for (auto& account : ping.accounts) {
        auto& known = at(account.who).member_state;
        bool differs = account.who != number && !(known == account.member_state);
        if (differs && corrections.size() < most_corrections) corrections.push_back({account.who, known});
    }
    return corrections;
}

void Membership::answer_ping(const Message& ping, Micros now) {
    Message heard;
    heard.kind = Kind::Heard;
    heard.probe = ping.probe;
    if (ping.about < 0 || ping.about == number) {
        send(ping.from, heard, SendPriority::Answer, now, corrections_to(ping));
        return;
    }
    // For somebody whose own ping should have come as well. Back through the helper, and straight: so both
    // ends learn which directions are whole.
    heard.about = ping.about;
    heard.direct = at(ping.about).heard > now - settings.probe_period * 4;
    send(ping.from, heard, SendPriority::Answer, now);
    if (!heard.direct && reachability.missed(ping.about, now))
        note_cut(ping.about, number, true, ping.from, now);
    heard.about = -1;
    send(ping.about, heard, SendPriority::Answer, now);
}

void Membership::answered(const Message& heard, Micros now) {
    if (heard.about >= 0 && heard.about != number) return pass_answer_on(heard, now);
    for (std::size_t i = 0; i < probes.size(); i++) {
        auto& probe = probes[i];
        if (probe.number != heard.probe) continue;
        if (heard.from == probe.target) {
            round_trips.measured(now - probe.sent, now);
            if (probe.steps == 0) local_health.improve();
            if (probe.steps > 1 && probe.noes < probe.helpers) local_health.degrade();
            suspicions.note_probed(probe.target);
            probes.erase(probes.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            probe.passed_on = true;
            probe.helper = heard.from;
        }
        return;
    }
}

void Membership::pass_answer_on(const Message& heard, Micros now) {
    for (auto& one : indirect_probes) {
        if (one.number != heard.probe || one.target != heard.from || one.asker != heard.about) continue;
        Message passed;
        passed.kind = Kind::Heard;
        passed.probe = heard.probe;
        passed.about = heard.about;
        passed.direct = heard.direct;
        send(one.asker, passed, SendPriority::IndirectProbe, now);
        one.end = now;
        one.said_no = true;
        return;
    }
}

void Membership::probe_for_another(const Message& ask, Micros now) {
    if (ask.about == number || ask.about == ask.from || indirect_probes.size() >= most_indirect_probes)
        return;
    Message ping;
    ping.kind = Kind::Ping;
    ping.probe = ask.probe;
    ping.about = ask.from;
    if (!send(ask.about, ping, SendPriority::IndirectProbe, now)) return;
    indirect_probes.push_back(
        {ask.probe, ask.from, ask.about, now + settings.probe_period / 6, now + settings.probe_period * 4});
}

void Membership::say_no_to_askers(Micros now) {
    for (auto& one : indirect_probes) {
        if (one.said_no || now < one.say_no_at) continue;
        Message no;
        no.kind = Kind::No;
        no.probe = one.number;
        no.about = one.target;
        send(one.asker, no, SendPriority::IndirectProbe, now);
        one.said_no = true;
    }
    std::erase_if(indirect_probes, [&](auto& one) { return now >= one.end; });
}

}  // namespace quillgrade::peers
