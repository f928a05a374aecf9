// The part of a Membership that probes others and answers probes: pings, indirect probes through helpers,
// and what follows from a probe that ends without an answer.
#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <limits>

#include "peers/membership.hpp"

namespace quillgrade::peers {

namespace {

constexpr Micros never = std::numeric_limits<Micros>::max();
constexpr int max_indirect_probes = 32, max_probes = 8;
constexpr int max_reprobes = 2;             // routers that one reprobe_doubtful() probes
constexpr std::size_t max_corrections = 3;  // records in the answer to a ping

}  // namespace

void Membership::probe_scheduled_target(Micros now) {
    auto slot = probe_schedule.slot(now);
    if (routers() <= 1 || slot <= last_slot) return;
    // With poor local health a router probes more rarely.
    auto target = probe_schedule.target(slot);
    if (slot % local_health.multiplier() == 0 && !awaits_record(target)) start_probe(target, now);
    last_slot = slot;
}

void Membership::advance_probes(Micros now) {
    for (std::size_t i = 0; i < probes.size();) {
        auto& one = probes[i];
        if (now >= one.next_step_at && now < one.ends_at && !one.answered_via_helper) advance_probe(one, now);
        if (now < one.ends_at) {
            i++;
            continue;
        }
        auto ended = one;
        probes.erase(probes.begin() + static_cast<std::ptrdiff_t>(i));
        finish_probe(ended, now);
    }
}

void Membership::start_probe(RouterIndex target, Micros now) {
    if (probes.size() >= max_probes) return;
    Message ping;
    ping.type = MessageType::Ping;
    ping.probe_id = next_probe_id;
    next_probe_id = next_probe_id % 0x3fff + 1;  // two bytes on the wire
    if (!send(target, ping, SendPriority::Probe, now)) return;
    auto wait = settings.probe_period * local_health.multiplier();
    probes.push_back({ping.probe_id, target, now, now + settings.probe_period / 6, now + wait, now + wait});
    // Where one direction is known to be cut, helpers are asked at once, and the ping only finds out
    // whether the cut persists.
    if (reachability.is_down(self_number, target) || reachability.is_down(target, self_number))
        advance_probe(probes.back(), now);
}

// During state transfer, routers without a record here are not probed: the answers, which bring gossip,
// would take the bytes of pages.
bool Membership::awaits_record(RouterIndex who) const {
    return transferring() && at(who).state == State::Unknown;
}

// Whether the router is believed to run, so that a probe without an answer is worth
// more pings and an accusation.
bool Membership::believed_present(RouterIndex who) const {
    auto state = at(who).state;
    return state == State::Alive || state == State::Suspected || state == State::Silent ||
           state == State::Leaving;
}

// The next step of a probe without an answer so far. A lost datagram is the likeliest cause, and a second
// ping costs less than helpers do, so the first step only pings again. Each later step pings the target
// directly and asks other helpers to probe it. Helpers are drawn from different zones, since a fault that
// cuts off one router often cuts off the others of its zone.
void Membership::advance_probe(Probe& probe, Micros now) {
    auto schedule_step = [&](Micros wait) {
        probe.next_step_at = now + wait < probe.asking_until ? now + wait : never;
    };
    schedule_step(settings.probe_period / 6 * local_health.multiplier());
    // A target that this router has accused already gets one ping, which carries the
    // accusation, and no more steps.
    auto* suspicion = suspicions.find(probe.target);
    bool accused = suspicion && !suspicion->probe_before_verdict &&
                   std::count(suspicion->accusers.begin(), suspicion->accusers.end(), self_number);
    if (!believed_present(probe.target) || accused) return;
    bool cut =
        reachability.is_down(self_number, probe.target) || reachability.is_down(probe.target, self_number);
    if (cut) {
        schedule_step(settings.probe_period / 3 * local_health.multiplier());
        probe.steps++;
    } else {
        Message ping;
        ping.type = MessageType::Ping;
        ping.probe_id = probe.id;
        probe.lacked_bytes |= !send(probe.target, ping, SendPriority::ProbeRetry, now);
    }
    if (probe.steps++ == 0) return;
    for (auto helper : pick_peers(
             static_cast<std::size_t>(probe.steps < 4 ? 1 : settings.indirect_probe_helpers), probe.target)) {
        Message request;
        request.type = MessageType::PingRequest;
        request.probe_id = probe.id;
        request.target = probe.target;
        // Only helpers of the first steps are expected to send a NACK; those asked later have no time to.
        bool sent = send(helper, request, SendPriority::ProbeRetry, now);
        probe.lacked_bytes |= !sent;
        if (sent && probe.steps <= 3) probe.helpers_asked++;
        if (sent) probe.ends_at = std::max(probe.ends_at, now + indirect_answer_timeout(now));
    }
}

// Guards against false accusations of routers that only others can reach, where routers are far apart: the
// answer to an indirect probe can take longer there than a probe period.
Micros Membership::indirect_answer_timeout(Micros now) { return 2 * round_trips.max_round_trip(now); }

// Draws at most `most` routers at random, from as many zones as possible: those that are alive here, without
// a known cut in either direction between them and this router, or between them and `excluded`.
std::vector<RouterIndex> Membership::pick_peers(std::size_t most, RouterIndex excluded, int in_zone) {
    std::vector<RouterIndex> candidates;
    for (RouterIndex who = 0; who < routers(); who++)
        if (who != self_number && who != excluded && at(who).state == State::Alive &&
            !reachability.is_down(self_number, who) && (in_zone < 0 || at(who).zone == in_zone) &&
            (excluded < 0 || (!reachability.is_down(who, excluded) && !reachability.is_down(excluded, who))))
            candidates.push_back(who);
    std::vector<RouterIndex> picked;
    std::vector<int> zones;
    for (std::size_t i = 0; i < candidates.size() && picked.size() < most && i < 8 * most; i++) {
        boost::random::uniform_int_distribution<std::size_t> draw(i, candidates.size() - 1);
        std::swap(candidates[i], candidates[draw(generator)]);
        if (std::count(zones.begin(), zones.end(), at(candidates[i]).zone)) continue;
        zones.push_back(at(candidates[i]).zone);
        picked.push_back(candidates[i]);
    }
    for (auto who : candidates)
        if (picked.size() < most && !std::count(picked.begin(), picked.end(), who)) picked.push_back(who);
    return picked;
}

void Membership::finish_probe(const Probe& probe, Micros now) {
    auto& target = at(probe.target);
    suspicions.note_probed(probe.target);
    if (target.last_heard >= probe.sent_at && !probe.answered_via_helper)
        return;  // it was heard in the meantime, by whatever datagram
    if (probe.answered_via_helper) {
        // The target is alive, as a helper hears it. If none of its datagrams came here, its direction may
        // be cut; a cut of the other direction is reported by the target.
        if (target.last_heard < probe.sent_at && reachability.record_missed(probe.target, now))
            report_link(probe.target, self_number, true, probe.helper, now);
        return;
    }
    // A probe that lacked bytes proves nothing about its target.
    if (!believed_present(probe.target) || probe.lacked_bytes) return;
    // Where the link is known to be cut one way, this router can't accuse, and others do. The cut expires
    // after a minute without a new report of it.
    if (reachability.is_down(self_number, probe.target) || reachability.is_down(probe.target, self_number))
        return;
    // A NACK shows that this router is heard; helpers that do not answer lower its local health (Lifeguard).
    if (probe.nacks < probe.helpers_asked || (probe.steps > 1 && probe.helpers_asked == 0))
        local_health.degrade();
    totals.accusations++;
    accuse(probe.target, self_number, 0, now);
    // The accused is told first, so that it can refute before the accusation has spread to many.
    Message gossip_message;
    gossip_message.type = MessageType::Gossip;
    send(probe.target, gossip_message, SendPriority::Answer, now);
}

// Probes doubtful routers in addition to the schedule: those whose link seems cut one way, those that
// have to be probed before a verdict, and those that this router has accused, as each ping tells the
// accused what it has to refute.
void Membership::reprobe_doubtful(Micros now) {
    int probed = 0;
    auto reprobe = [&](RouterIndex who) {
        bool under_way = std::any_of(probes.begin(), probes.end(), [&](auto& p) { return p.target == who; });
        if (probed >= max_reprobes || under_way) return;
        probed++;
        start_probe(who, now);
    };
    for (auto& [who, one] : suspicions.all())
        if (one.probe_before_verdict || std::count(one.accusers.begin(), one.accusers.end(), self_number))
            reprobe(who);
    for (RouterIndex step = 0; step < routers() && probed < max_reprobes; step++) {
        auto who = (self_number + 1 + step) % routers();
        if (who != self_number && reachability.needs_another_probe(who)) reprobe(who);
    }
}

// The records in the ping that are out of date, as they are known here.
std::vector<MemberRecord> Membership::corrections_to(const Message& ping) const {
    std::vector<MemberRecord> corrections;
    for (auto& record : ping.records) {
        auto& known = at(record.member).member_state;
        bool differs = record.member != self_number && !(known == record.member_state);
        if (differs && corrections.size() < max_corrections) corrections.push_back({record.member, known});
    }
    return corrections;
}

void Membership::answer_ping(const Message& ping, Micros now) {
    Message answer;
    answer.type = MessageType::Ack;
    answer.probe_id = ping.probe_id;
    if (ping.target < 0 || ping.target == self_number) {
        send(ping.from, answer, SendPriority::Answer, now, corrections_to(ping));
        return;
    }
    // An indirect probe, whose requester has pinged this router directly as well. The answer goes back
    // through the helper and directly, so that both ends learn which directions of their link work.
    answer.target = ping.target;
    answer.direct_ping_received = at(ping.target).last_heard > now - settings.probe_period * 4;
    send(ping.from, answer, SendPriority::Answer, now);
    if (!answer.direct_ping_received && reachability.record_missed(ping.target, now))
        report_link(ping.target, self_number, true, ping.from, now);
    answer.target = -1;
    send(ping.target, answer, SendPriority::Answer, now);
}

void Membership::handle_answer(const Message& answer, Micros now) {
    if (answer.target >= 0 && answer.target != self_number) return relay_answer(answer, now);
    for (std::size_t i = 0; i < probes.size(); i++) {
        auto& probe = probes[i];
        if (probe.id != answer.probe_id) continue;
        if (answer.from == probe.target) {
            round_trips.record(now - probe.sent_at, now);
            if (probe.steps == 0) local_health.improve();
            if (probe.steps > 1 && probe.nacks < probe.helpers_asked) local_health.degrade();
            suspicions.note_probed(probe.target);
            probes.erase(probes.begin() + static_cast<std::ptrdiff_t>(i));
        } else {
            probe.answered_via_helper = true;
            probe.helper = answer.from;
        }
        return;
    }
}

void Membership::relay_answer(const Message& answer, Micros now) {
    for (auto& one : indirect_probes) {
        if (one.id != answer.probe_id || one.target != answer.from || one.requester != answer.target)
            continue;
        Message relayed;
        relayed.type = MessageType::Ack;
        relayed.probe_id = answer.probe_id;
        relayed.target = answer.target;
        relayed.direct_ping_received = answer.direct_ping_received;
        send(one.requester, relayed, SendPriority::IndirectProbe, now);
        one.ends_at = now;
        one.settled = true;
        return;
    }
}

void Membership::start_indirect_probe(const Message& request, Micros now) {
    if (request.target == self_number || request.target == request.from ||
        indirect_probes.size() >= max_indirect_probes)
        return;
    Message ping;
    ping.type = MessageType::Ping;
    ping.probe_id = request.probe_id;
    ping.target = request.from;
    if (!send(request.target, ping, SendPriority::IndirectProbe, now)) return;
    indirect_probes.push_back({request.probe_id, request.from, request.target,
                               now + settings.probe_period / 6, now + settings.probe_period * 4});
}

void Membership::send_due_nacks(Micros now) {
    for (auto& one : indirect_probes) {
        if (one.settled || now < one.nack_at) continue;
        Message nack;
        nack.type = MessageType::Nack;
        nack.probe_id = one.id;
        nack.target = one.target;
        send(one.requester, nack, SendPriority::IndirectProbe, now);
        one.settled = true;
    }
    std::erase_if(indirect_probes, [&](auto& one) { return now >= one.ends_at; });
}

}  // namespace quillgrade::peers
