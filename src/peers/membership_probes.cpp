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
    if (slot % local_health.stretch() == 0 && !awaits_account(target)) probe(target, now);
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

void Membership::probe(RouterIndex target, Micros now) {
    if (probes.size() >= most_probes) return;
    Message ping;
    ping.type = MessageType::Ping;
    ping.probe_id = next_probe;
    next_probe = next_probe % 0x3fff + 1;  // two bytes on the wire
    if (!send(target, ping, SendPriority::Probe, now)) return;
    auto wait = settings.probe_period * local_health.stretch();
    probes.push_back({ping.probe_id, target, now, now + settings.probe_period / 6, now + wait, now + wait});
    // Where one direction is known to be cut, helpers are asked at once, and the ping only tells whether it
    // still is.
    if (reachability.is_down(number, target) || reachability.is_down(target, number))
        step(probes.back(), now);
}

// While all accounts are fetched, those of whom there is none yet are not probed: the answers, full of news,
// would take the bytes of pages.
bool Membership::awaits_account(RouterIndex who) const {
    return transferring() && at(who).state == State::Unknown;
}

// Whether it is worth more than one ping, and an accusation: it is not given up, nor has it gone.
bool Membership::thought_there(RouterIndex who) const {
    auto state = at(who).state;
    return state == State::Alive || state == State::Suspected || state == State::Silent ||
           state == State::Leaving;
}

// No answer so far. A lost datagram is the likeliest cause, and a second ping costs less than helpers do;
// from then on it is asked straight and through others, other ones each time. All that is known of zones goes
// into the choice of helpers, since what cuts one off cuts off its neighbours.
void Membership::step(Probe& probe, Micros now) {
    auto step_after = [&](Micros wait) { probe.step_at = now + wait < probe.asks_end ? now + wait : never; };
    step_after(settings.probe_period / 6 * local_health.stretch());
    // Whom it has accused already, it only tells so.
    auto* suspicion = suspicions.find(probe.target);
    bool said = suspicion && !suspicion->ask_first &&
                std::count(suspicion->accusers.begin(), suspicion->accusers.end(), number);
    if (!thought_there(probe.target) || said) return;
    bool cut = reachability.is_down(number, probe.target) || reachability.is_down(probe.target, number);
    if (cut) {
        step_after(settings.probe_period / 3 * local_health.stretch());
        probe.steps++;
    } else {
        Message ping;
        ping.type = MessageType::Ping;
        ping.probe_id = probe.number;
        probe.starved |= !send(probe.target, ping, SendPriority::Insist, now);
    }
    if (probe.steps++ == 0) return;
    for (auto helper : pick(static_cast<std::size_t>(probe.steps < 4 ? 1 : settings.indirect_probe_helpers),
                            probe.target)) {
        Message ask;
        ask.type = MessageType::PingRequest;
        ask.probe_id = probe.number;
        ask.target = probe.target;
        // Those asked later have no time to say no.
        bool sent = send(helper, ask, SendPriority::Insist, now);
        probe.starved |= !sent;
        if (sent && probe.steps <= 3) probe.helpers++;
        if (sent) probe.end = std::max(probe.end, now + time_through_helper(now));
    }
}

// Guards against accusations of routers that only others can reach, in a tier whose routers are far apart:
// the answer to an indirect probe takes longer there than a period.
Micros Membership::time_through_helper(Micros now) { return 2 * round_trips.max_round_trip(now); }

// Up to `most` that are alive here, can be talked with both ways, and can talk with `but` as far as is known,
// drawn at random, of as many zones as can be.
std::vector<RouterIndex> Membership::pick(std::size_t most, RouterIndex but, int in_zone) {
    std::vector<RouterIndex> able;
    for (RouterIndex who = 0; who < routers(); who++)
        if (who != number && who != but && at(who).state == State::Alive &&
            !reachability.is_down(number, who) && (in_zone < 0 || at(who).zone == in_zone) &&
            (but < 0 || (!reachability.is_down(who, but) && !reachability.is_down(but, who))))
            able.push_back(who);
    std::vector<RouterIndex> picked;
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
    suspicions.asked(probe.target);
    if (target.heard >= probe.sent && !probe.passed_on) return;  // whatever came of it, it is there
    if (probe.passed_on) {
        // Others hear it. Which direction is cut it tells itself, or it is this one.
        if (target.heard < probe.sent && reachability.record_missed(probe.target, now))
            note_cut(probe.target, number, true, probe.helper, now);
        return;
    }
    // Its own want of bytes is nobody's silence.
    if (!thought_there(probe.target) || probe.starved) return;
    // Who is known to be cut off from it one way is no witness: others judge. The fact ends by itself after a
    // minute without a sign of it.
    if (reachability.is_down(number, probe.target) || reachability.is_down(probe.target, number)) return;
    // A helper that says no shows that this router is heard; those that say nothing put itself in doubt.
    if (probe.noes < probe.helpers || (probe.steps > 1 && probe.helpers == 0)) local_health.worse();
    seen.accusations++;
    accuse(probe.target, number, 0, now);
    // The accused hears it first, so that it can answer before many have to be told otherwise.
    Message news;
    news.type = MessageType::Gossip;
    send(probe.target, news, SendPriority::Answer, now);
}

// What is doubtful is asked again beside the probe_schedule: pairs that seem cut one way, whom this router
// may not judge before it has asked, and whom it has accused itself: each ping tells the accused what there
// is to answer.
void Membership::look_again(Micros now) {
    int asked = 0;
    auto again = [&](RouterIndex who) {
        bool under_way = std::any_of(probes.begin(), probes.end(), [&](auto& p) { return p.target == who; });
        if (asked >= most_again || under_way) return;
        asked++;
        probe(who, now);
    };
    for (auto& [who, one] : suspicions.all())
        if (one.ask_first || std::count(one.accusers.begin(), one.accusers.end(), number)) again(who);
    for (RouterIndex step = 0; step < routers() && asked < most_again; step++) {
        auto who = (number + 1 + step) % routers();
        if (who != number && reachability.needs_another_probe(who)) again(who);
    }
}

// What the asking one holds and is out of date.
std::vector<MemberRecord> Membership::corrections_to(const Message& ping) const {
    std::vector<MemberRecord> corrections;
    for (auto& account : ping.records) {
        auto& known = at(account.member).member_state;
        bool differs = account.member != number && !(known == account.member_state);
        if (differs && corrections.size() < most_corrections) corrections.push_back({account.member, known});
    }
    return corrections;
}

void Membership::answer_ping(const Message& ping, Micros now) {
    Message heard;
    heard.type = MessageType::Ack;
    heard.probe_id = ping.probe_id;
    if (ping.target < 0 || ping.target == number) {
        send(ping.from, heard, SendPriority::Answer, now, corrections_to(ping));
        return;
    }
    // For somebody whose own ping should have come as well. Back through the helper, and straight: so both
    // ends learn which directions are whole.
    heard.target = ping.target;
    heard.direct_ping_received = at(ping.target).heard > now - settings.probe_period * 4;
    send(ping.from, heard, SendPriority::Answer, now);
    if (!heard.direct_ping_received && reachability.record_missed(ping.target, now))
        note_cut(ping.target, number, true, ping.from, now);
    heard.target = -1;
    send(ping.target, heard, SendPriority::Answer, now);
}

void Membership::answered(const Message& heard, Micros now) {
    if (heard.target >= 0 && heard.target != number) return pass_answer_on(heard, now);
    for (std::size_t i = 0; i < probes.size(); i++) {
        auto& probe = probes[i];
        if (probe.number != heard.probe_id) continue;
        if (heard.from == probe.target) {
            round_trips.record(now - probe.sent, now);
            if (probe.steps == 0) local_health.better();
            if (probe.steps > 1 && probe.noes < probe.helpers) local_health.worse();
            suspicions.asked(probe.target);
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
        if (one.number != heard.probe_id || one.target != heard.from || one.asker != heard.target) continue;
        Message passed;
        passed.type = MessageType::Ack;
        passed.probe_id = heard.probe_id;
        passed.target = heard.target;
        passed.direct_ping_received = heard.direct_ping_received;
        send(one.asker, passed, SendPriority::IndirectProbe, now);
        one.end = now;
        one.said_no = true;
        return;
    }
}

void Membership::probe_for_another(const Message& ask, Micros now) {
    if (ask.target == number || ask.target == ask.from || indirect_probes.size() >= most_indirect_probes)
        return;
    Message ping;
    ping.type = MessageType::Ping;
    ping.probe_id = ask.probe_id;
    ping.target = ask.from;
    if (!send(ask.target, ping, SendPriority::IndirectProbe, now)) return;
    indirect_probes.push_back({ask.probe_id, ask.from, ask.target, now + settings.probe_period / 6,
                               now + settings.probe_period * 4});
}

void Membership::say_no_to_askers(Micros now) {
    for (auto& one : indirect_probes) {
        if (one.said_no || now < one.say_no_at) continue;
        Message no;
        no.type = MessageType::Nack;
        no.probe_id = one.number;
        no.target = one.target;
        send(one.asker, no, SendPriority::IndirectProbe, now);
        one.said_no = true;
    }
    std::erase_if(indirect_probes, [&](auto& one) { return now >= one.end; });
}

}  // namespace quillgrade::peers
