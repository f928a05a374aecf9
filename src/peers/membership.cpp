// The part of a Membership that processes received datagrams and keeps the members' states. Probes,
// suspicions and verdicts, sending, and anti-entropy are in membership_probes.cpp, membership_suspicion.cpp,
// membership_sending.cpp and membership_anti_entropy.cpp.
#include "peers/membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quillgrade::peers {

namespace {

constexpr Micros ms = 1000;
constexpr std::uint32_t max_incarnation = (1U << 27) - 1;

// With state transfer the burst is halved: when all routers send a burst at once, the bytes that one of them
// receives have to leave room for pages.
ByteBudget budget_of(const MembershipSettings& settings, Micros now) {
    constexpr double burst_seconds = 1;
    if (!settings.state_transfer) return {settings.bytes_per_s, now};
    return {settings.bytes_per_s, now, settings.bytes_per_s * burst_seconds};
}

}  // namespace

const char* name_of(State state) {
    switch (state) {
        case State::Unknown:
            return "unknown";
        case State::Alive:
            return "alive";
        case State::Suspected:
            return "suspected";
        case State::Silent:
            return "silent";
        case State::Dead:
            return "dead";
        case State::Leaving:
            return "leaving";
        case State::Gone:
            break;
    }
    return "gone";
}

Membership::Membership(const MembershipConfig& config)
    : self_number(config.self),
      zone(config.zone),
      settings(config.settings),
      self_state{config.generation, Phase::Present, 0, Liveness::Alive, false},
      members(static_cast<std::size_t>(config.routers)),
      probe_schedule(config.self, config.routers, config.settings.probe_period),
      suspicions({config.settings.shortest_suspicion, config.settings.longest_suspicion,
                  2 * config.settings.probe_period}),
      reachability(config.self),
      gossip(config.routers),
      local_health(config.settings.longest_pause, config.now),
      round_trips(config.settings.probe_period, config.now),
      byte_budget(budget_of(config.settings, config.now)),
      generator(static_cast<std::uint32_t>(config.seed ^ (config.seed >> 32) ^ config.generation)),
      last_slot(probe_schedule.slot(config.now)),
      next_digest_at(config.now),
      early_digests(8) {
    if (settings.state_transfer) {
        transfer.emplace(self_number, config.routers,
                         static_cast<std::uint32_t>(config.seed ^ config.generation), config.now);
        page_server.emplace(settings.bytes_per_s, config.now);
        early_digests = 0;
    }
    auto& own = at(self_number);
    own.member_state = self_state;
    own.state = State::Alive;
    own.since = config.now;
    own.zone = static_cast<std::int16_t>(zone);
}

// ---- received datagrams

void Membership::receive(RouterIndex from, std::string_view datagram, Micros now) {
    handle_pause(now);
    if (transfer) transfer->record_traffic(datagram.size(), now);
    if (from < 0) {
        totals.dropped[static_cast<std::size_t>(DropReason::UnexpectedSender)]++;
        return;
    }
    auto decoded = decode(datagram, routers(), now);
    if (!decoded.message) {
        totals.dropped[static_cast<std::size_t>(decoded.drop_reason)]++;
        return;
    }
    // Guards against a sender that uses the number of another router, or the number of this one.
    if (decoded.message->from != from || decoded.message->from == self_number) {
        totals.dropped[static_cast<std::size_t>(DropReason::UnexpectedSender)]++;
        return;
    }
    if (!settings.state_transfer && is_state_transfer(decoded.message->type)) {
        totals.dropped[static_cast<std::size_t>(DropReason::StateTransferDisabled)]++;
        return;
    }
    totals.received++;
    process(*decoded.message, now);
    send_urgent_gossip(now);
    // An answer removes its probe, so the next tick may be due later than was expected before.
    local_health.expect_call_by(next_tick());
}

// Called first at each entry point. Guards against a router that was paused, or got no processor
// time, and then accuses others because of datagrams that it missed meanwhile. It drops its open
// probes, probes each suspected router again before a verdict, and refutes in advance what may have
// been said of it during the pause.
void Membership::handle_pause(Micros now) {
    auto pause = local_health.detect_pause(now);
    if (pause == 0) return;
    totals.pauses++;
    probes.clear();
    indirect_probes.clear();
    suspicions.postpone_all(pause);
    local_health.degrade();
    // Slots that passed during the pause are not made up for.
    last_slot = probe_schedule.slot(now);
    // Gossip from the time of the pause may have reached its repeat limit, so that it never comes here.
    if (transfer && pause >= settings.longest_suspicion) transfer->begin_after_pause(now);
    raise_incarnation(true);
    send_gossip(3, now);
}

void Membership::process(const Message& message, Micros now) {
    auto& sender = at(message.from);
    if (message.sender_state.generation < sender.member_state.generation) {
        // Either a late datagram of an earlier generation, or a new generation whose clock was set back. The
        // latter has to learn of the generation that is known here, so that it can choose a higher one.
        Message answer;
        answer.type = MessageType::Ack;
        answer.probe_id = message.probe_id;
        if (message.type == MessageType::Ping)
            send(message.from, answer, SendPriority::Answer, now, {{message.from, sender.member_state}});
        return;
    }
    last_heard_any = now;
    sender.last_heard = now;
    if (message.zone >= 0) sender.zone = static_cast<std::int16_t>(message.zone);
    merge_record(MemberRecord{message.from, message.sender_state}, message.from, now);
    if (reachability.record_received(message.from, now))
        report_link(message.from, self_number, false, message.from, now);

    if (piggyback && !message.payload.empty())
        piggyback->unload(message.from, message.sender_state.generation, message.payload, now);
    for (auto& record : message.records) merge_record(record, message.from, now);
    apply_accusations(message, now);
    // The link reports of a digest are what its sender holds, not updates. Taken as updates, they would keep
    // a cut from ever expiring.
    if (message.type != MessageType::Digest) apply_link_reports(message, now);

    dispatch(message, now);
}

void Membership::dispatch(const Message& message, Micros now) {
    switch (message.type) {
        case MessageType::Ping:
            return answer_ping(message, now);
        case MessageType::Ack:
            return handle_answer(message, now);
        case MessageType::PingRequest:
            return start_indirect_probe(message, now);
        case MessageType::Nack:
            for (auto& probe : probes)
                if (probe.id == message.probe_id && probe.target == message.target) probe.nacks++;
            return;
        case MessageType::Digest:
            return compare_digest(message, now);
        case MessageType::Gossip:
            return;
        case MessageType::RangeRequest:
            return answer_range_request(message, now);
        case MessageType::RangePage:
            return handle_page(message, now);
    }
}

void Membership::merge_record(const MemberRecord& record, RouterIndex by, Micros now,
                              Disseminate disseminate) {
    if (record.member == self_number) return refute(record.member_state);
    auto& member = at(record.member);
    auto joined = merge(member.member_state, record.member_state);
    if (joined == member.member_state) {
        if (by == record.member || disseminate == Disseminate::No) return;
        if (record.member_state == joined)
            gossip.note_duplicate(record.member);
        else
            gossip.enqueue_correction(record.member);  // the sender is behind, and others probably are too
        return;
    }
    auto before = std::exchange(member.member_state, joined);
    member.changed_at = now;
    if (before.unhealthy != joined.unhealthy && health_changes.size() < max_kept_changes)
        health_changes.push_back({record.member, joined.unhealthy});
    std::vector<LinkReport> ended_cuts;
    if (before.generation != joined.generation) ended_cuts = reachability.forget(record.member);
    if (joined.liveness != Liveness::Suspected || before.generation != joined.generation ||
        before.incarnation != joined.incarnation)
        suspicions.remove(record.member);
    // The accusers follow in the same datagram. The sender of a record does not count as an accuser.
    if (joined.liveness == Liveness::Suspected && !suspicions.find(record.member))
        suspicions.accuse(record.member, -1, 0, now);
    if (disseminate == Disseminate::Yes) enqueue_gossip(record.member, before.generation != 0);
    update_state(record.member, by, now);
    report_ended_cuts(ended_cuts, by, now);
}

// An accusation refers to a record in the same datagram, and counts only if that
// record is the one known here.
void Membership::apply_accusations(const Message& message, Micros now) {
    for (auto& one : message.suspicions) {
        auto about = std::find_if(message.records.begin(), message.records.end(),
                                  [&](auto& record) { return record.member == one.suspect; });
        if (one.suspect == self_number || about == message.records.end()) continue;
        auto& known = at(one.suspect).member_state;
        if (known == about->member_state && known.liveness == Liveness::Suspected)
            accuse(one.suspect, one.reporter, one.age, now);
    }
}

void Membership::apply_link_reports(const Message& message, Micros now) {
    for (auto& report : message.link_reports)
        if (reachability.merge_report(report, at(report.receiver).member_state.generation, now))
            report_link(report.sender, report.receiver, report.down, message.from, now);
}

// Handles what others report of this router. It refutes an accusation with a higher incarnation. What
// this generation can't have announced (a later generation, a later phase, the highest incarnation) makes
// it begin a new generation.
void Membership::refute(const MemberState& reported) {
    if (reported.generation < self_state.generation) return;
    if (reported.generation > self_state.generation || (reported.phase > self_state.phase) ||
        reported.incarnation >= max_incarnation) {
        self_state.generation = std::max(self_state.generation, reported.generation);
        return begin_new_generation();
    }
    bool accused = reported.incarnation == self_state.incarnation && reported.liveness != Liveness::Alive;
    if (reported.incarnation <= self_state.incarnation && !accused) return;
    self_state.incarnation = reported.incarnation;
    totals.refutations++;
    local_health.degrade();
    raise_incarnation(true);
}

void Membership::begin_new_generation() {
    self_state.generation++;
    self_state.incarnation = 0;
    at(self_number).member_state = self_state;
    enqueue_gossip(self_number, true);
}

void Membership::raise_incarnation(bool urgent) {
    if (self_state.incarnation + 1 >= max_incarnation) return begin_new_generation();
    self_state.incarnation++;
    at(self_number).member_state = self_state;
    enqueue_gossip(self_number, urgent);
}

// ---- periodic work

void Membership::tick(Micros now) {
    handle_pause(now);
    probe_scheduled_target(now);
    advance_probes(now);
    send_due_nacks(now);
    if (now >= next_reprobe_at) {
        reprobe_doubtful(now);
        next_reprobe_at = now + settings.probe_period * 3;
    }
    check_suspicions(now);
    send_urgent_gossip(now);
    if (now >= next_digest_at && routers() > 1) send_digest(now);
    if (transfer) request_ranges(now);
    if (now >= next_expiry_at) {
        report_ended_cuts(reachability.expire(now), -1, now);
        next_expiry_at = now + 1000 * ms;
    }
    reserves_for_piggyback = false;  // the piggyback has to ask for it again before each tick
    local_health.expect_call_by(next_tick());
}

Micros Membership::next_tick() const {
    auto at = probe_schedule.start(last_slot + 1);
    for (auto& one : probes)
        at = std::min(at, one.answered_via_helper ? one.ends_at : std::min(one.next_step_at, one.ends_at));
    for (auto& one : indirect_probes)
        if (!one.settled) at = std::min(at, one.nack_at);
    if (transfer) at = std::min(at, transfer->next_check());
    return at;
}

// ---- announcements about this router

void Membership::leave(Micros now) {
    if (self_state.phase != Phase::Present) return;
    self_state.phase = Phase::Leaving;
    raise_incarnation(true);
    send_gossip(4, now);
}

void Membership::announce_exit(Micros now) {
    self_state.phase = Phase::Gone;
    raise_incarnation(true);
    // More receivers than in leave(), since this announcement is not repeated.
    send_gossip(6, now);
}

void Membership::set_unhealthy(bool yes) {
    if (self_state.unhealthy == yes) return;
    self_state.unhealthy = yes;
    raise_incarnation(true);
}

// ---- queries

State Membership::state(RouterIndex who) const { return at(who).state; }

MemberView Membership::view(RouterIndex who, Micros now) const {
    auto& member = at(who);
    MemberView view;
    view.state = member.state;
    view.since = member.since;
    view.unhealthy = member.member_state.unhealthy;
    view.zone = member.zone;
    view.member_state = member.member_state;
    view.last_heard = member.last_heard;
    view.hears_me = !reachability.is_down(self_number, who);
    view.is_heard = !reachability.is_down(who, self_number);
    // While any router is heard, the lack of updates about one means that nothing has changed. While none is
    // heard, all that is known becomes outdated.
    auto isolation = static_cast<double>(now - std::max(last_heard_any, member.last_heard)) /
                     static_cast<double>(settings.longest_suspicion);
    auto freshness = who == self_number ? 1 : std::exp2(-std::max(0.0, isolation));
    auto* suspicion = suspicions.find(who);
    switch (member.state) {
        case State::Unknown:
            break;
        case State::Alive:
        case State::Silent:
            view.confidence = who == self_number ? 1 : 0.99 * freshness;
            break;
        case State::Suspected:
            view.confidence = suspicion ? freshness * static_cast<double>(suspicion->accusers.size()) / 5 : 0;
            break;
        case State::Dead:
            view.confidence = 0.9 * freshness;
            break;
        case State::Leaving:
        case State::Gone:
            view.confidence = 1;
            break;
    }
    return view;
}

Counts Membership::counts() const {
    Counts counts;
    for (auto& member : members) {
        auto state = member.state;
        if (state == State::Alive || state == State::Silent || state == State::Leaving) counts.at_least++;
        if (state != State::Gone) counts.at_most++;
    }
    return counts;
}

std::size_t Membership::bytes_held() const {
    auto per_member = sizeof(Member) + sizeof(std::uint16_t) + sizeof(RouterIndex) + 8;
    return sizeof *this + members.size() * per_member + suspicions.all().size() * (sizeof(Suspicion) + 64) +
           (transfer ? transfer->bytes_held() : 0);
}

}  // namespace quillgrade::peers
