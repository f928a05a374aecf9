// The part of a Membership that takes what comes and keeps the members' states. Probing, judging, sending,
// and finding differences in bulk are in membership_probes.cpp, membership_suspicion.cpp,
// membership_sending.cpp and membership_anti_entropy.cpp.
#include "peers/membership.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quillgrade::peers {

namespace {

constexpr Micros ms = 1000;
constexpr std::uint32_t most_incarnation = (1U << 27) - 1;

// With state transfer on, what all send in one burst has to leave room for pages in what one of them takes
// in.
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

Membership::Membership(const MembershipConfig& start)
    : number(start.self),
      zone(start.zone),
      settings(start.settings),
      me{start.life, Phase::Present, 0, Liveness::Alive, false},
      members(static_cast<std::size_t>(start.routers)),
      probe_schedule(start.self, start.routers, start.settings.probe_period),
      suspicions({start.settings.shortest_suspicion, start.settings.longest_suspicion,
                  2 * start.settings.probe_period}),
      reachability(start.self),
      gossip(start.routers),
      local_health(start.settings.longest_pause, start.now),
      round_trips(start.settings.probe_period, start.now),
      byte_budget(budget_of(start.settings, start.now)),
      chance(static_cast<std::uint32_t>(start.seed ^ (start.seed >> 32) ^ start.life)),
      last_slot(probe_schedule.slot(start.now)),
      digest_at(start.now),
      unlike(8) {
    if (settings.state_transfer) {
        transfer.emplace(number, start.routers, static_cast<std::uint32_t>(start.seed ^ start.life),
                         start.now);
        page_server.emplace(settings.bytes_per_s, start.now);
        unlike = 0;
    }
    auto& mine = at(number);
    mine.member_state = me;
    mine.state = State::Alive;
    mine.since = start.now;
    mine.zone = static_cast<std::int16_t>(zone);
}

// ---- what comes

void Membership::receive(RouterIndex from, std::string_view datagram, Micros now) {
    arrive(now);
    if (transfer) transfer->record_traffic(datagram.size(), now);
    if (from < 0) {
        seen.dropped[static_cast<std::size_t>(DropReason::UnexpectedSender)]++;
        return;
    }
    auto decoded = decode(datagram, routers(), now);
    if (!decoded.message) {
        seen.dropped[static_cast<std::size_t>(decoded.drop_reason)]++;
        return;
    }
    // Nobody may speak under another's number, nor under mine.
    if (decoded.message->from != from || decoded.message->from == number) {
        seen.dropped[static_cast<std::size_t>(DropReason::UnexpectedSender)]++;
        return;
    }
    if (!settings.state_transfer && is_state_transfer(decoded.message->type)) {
        seen.dropped[static_cast<std::size_t>(DropReason::StateTransferDisabled)]++;
        return;
    }
    seen.received++;
    take(*decoded.message, now);
    pass_on(now);
    // An answer takes its probe off the list, so the next call may be due later than was said.
    local_health.promise(next_tick());
}

// Each call begins here. Guards against a router that was stopped, or that had no processor, and then holds
// against others what it did not hear meanwhile: probes under way are void, nobody is judged before being
// asked again, and what was said of this router while it was away is answered before it is heard.
void Membership::arrive(Micros now) {
    auto away = local_health.away(now);
    if (away == 0) return;
    seen.pauses++;
    probes.clear();
    indirect_probes.clear();
    suspicions.set_back(away);
    local_health.worse();
    // Its own slowness is no miss of others either.
    last_slot = probe_schedule.slot(now);
    // What was told meanwhile has been told often enough for others.
    if (transfer && away >= settings.longest_suspicion) transfer->begin_after_pause(now);
    say_anew(true);
    tell_some(3, now);
}

void Membership::take(const Message& message, Micros now) {
    auto& sender = at(message.from);
    if (message.sender_state.generation < sender.member_state.generation) {
        // An old life's datagram, still under way; or a new life whose clock was set back, which has to hear
        // it.
        Message heard;
        heard.type = MessageType::Ack;
        heard.probe_id = message.probe_id;
        if (message.type == MessageType::Ping)
            send(message.from, heard, SendPriority::Answer, now, {{message.from, sender.member_state}});
        return;
    }
    heard_any = now;
    sender.heard = now;
    if (message.zone >= 0) sender.zone = static_cast<std::int16_t>(message.zone);
    take(MemberRecord{message.from, message.sender_state}, message.from, now);
    if (reachability.record_received(message.from, now))
        note_cut(message.from, number, false, message.from, now);

    if (piggyback && !message.payload.empty())
        piggyback->unload(message.from, message.sender_state.generation, message.payload, now);
    for (auto& account : message.records) take(account, message.from, now);
    take_accusations(message, now);
    // Those of a digest are what its sender holds, no news: taken as news, a cut would never expire.
    if (message.type != MessageType::Digest) apply_link_reports(message, now);

    take_by_kind(message, now);
}

void Membership::take_by_kind(const Message& message, Micros now) {
    switch (message.type) {
        case MessageType::Ping:
            return answer_ping(message, now);
        case MessageType::Ack:
            return answered(message, now);
        case MessageType::PingRequest:
            return probe_for_another(message, now);
        case MessageType::Nack:
            for (auto& probe : probes)
                if (probe.number == message.probe_id && probe.target == message.target) probe.noes++;
            return;
        case MessageType::Digest:
            return compare(message, now);
        case MessageType::Gossip:
            return;
        case MessageType::RangeRequest:
            return answer_range_request(message, now);
        case MessageType::RangePage:
            return take_page(message, now);
    }
}

void Membership::take(const MemberRecord& account, RouterIndex by, Micros now, Spread spreading) {
    if (account.member == number) return about_me(account.member_state);
    auto& member = at(account.member);
    auto joined = merge(member.member_state, account.member_state);
    if (joined == member.member_state) {
        if (by == account.member || spreading == Spread::No) return;
        if (account.member_state == joined)
            gossip.heard_again(account.member);
        else
            gossip.put_right(account.member);  // the teller is behind, and most likely others are
        return;
    }
    auto before = std::exchange(member.member_state, joined);
    member.changed = now;
    if (before.unhealthy != joined.unhealthy && health_news.size() < most_changes)
        health_news.push_back({account.member, joined.unhealthy});
    std::vector<LinkReport> ended_cuts;
    if (before.generation != joined.generation) ended_cuts = reachability.forget(account.member);
    if (joined.liveness != Liveness::Suspected || before.generation != joined.generation ||
        before.incarnation != joined.incarnation)
        suspicions.acquit(account.member);
    // Who accuses follows in the same datagram; a teller alone is no accuser.
    if (joined.liveness == Liveness::Suspected && !suspicions.find(account.member))
        suspicions.accuse(account.member, -1, 0, now);
    if (spreading == Spread::Yes) spread(account.member, before.generation != 0);
    note(account.member, by, now);
    note_ended_cuts(ended_cuts, by, now);
}

// An accusation goes with an account in the same datagram, and counts where that is what is known here too.
void Membership::take_accusations(const Message& message, Micros now) {
    for (auto& one : message.suspicions) {
        auto about = std::find_if(message.records.begin(), message.records.end(),
                                  [&](auto& account) { return account.member == one.suspect; });
        if (one.suspect == number || about == message.records.end()) continue;
        auto& known = at(one.suspect).member_state;
        if (known == about->member_state && known.liveness == Liveness::Suspected)
            accuse(one.suspect, one.reporter, one.age, now);
    }
}

void Membership::apply_link_reports(const Message& message, Micros now) {
    for (auto& report : message.link_reports)
        if (reachability.merge_report(report, at(report.receiver).member_state.generation, now))
            note_cut(report.sender, report.receiver, report.down, message.from, now);
}

// What others say of this router. A new word of its own answers an accusation; a new life whatever this life
// can't have said: another life, an end, an incarnation beyond all.
void Membership::about_me(const MemberState& told) {
    if (told.generation < me.generation) return;
    if (told.generation > me.generation || (told.phase > me.phase) || told.incarnation >= most_incarnation) {
        me.generation = std::max(me.generation, told.generation);
        return new_life();
    }
    bool accused = told.incarnation == me.incarnation && told.liveness != Liveness::Alive;
    if (told.incarnation <= me.incarnation && !accused) return;
    me.incarnation = told.incarnation;
    seen.refutations++;
    local_health.worse();
    say_anew(true);
}

void Membership::new_life() {
    me.generation++;
    me.incarnation = 0;
    at(number).member_state = me;
    spread(number, true);
}

void Membership::say_anew(bool urgent) {
    if (me.incarnation + 1 >= most_incarnation) return new_life();
    me.incarnation++;
    at(number).member_state = me;
    spread(number, urgent);
}

// ---- what is due

void Membership::tick(Micros now) {
    arrive(now);
    probe_in_slot(now);
    step_probes(now);
    say_no_to_askers(now);
    if (now >= look_again_at) {
        look_again(now);
        look_again_at = now + settings.probe_period * 3;
    }
    judge(now);
    pass_on(now);
    if (now >= digest_at && routers() > 1) send_digest(now);
    if (transfer) ask_for_ranges(now);
    if (now >= expire_at) {
        note_ended_cuts(reachability.expire(now), -1, now);
        expire_at = now + 1000 * ms;
    }
    piggyback_waits = false;  // it says so again, each time before this
    local_health.promise(next_tick());
}

Micros Membership::next_tick() const {
    auto at = probe_schedule.start(last_slot + 1);
    for (auto& one : probes) at = std::min(at, one.passed_on ? one.end : std::min(one.step_at, one.end));
    for (auto& one : indirect_probes)
        if (!one.said_no) at = std::min(at, one.say_no_at);
    if (transfer) at = std::min(at, transfer->next_check());
    return at;
}

// ---- what the router says of itself

void Membership::leave(Micros now) {
    if (me.phase != Phase::Present) return;
    me.phase = Phase::Leaving;
    say_anew(true);
    tell_some(4, now);
}

void Membership::announce_exit(Micros now) {
    me.phase = Phase::Gone;
    say_anew(true);
    // Its last chance to be heard, so more are told.
    tell_some(6, now);
}

void Membership::set_unhealthy(bool yes) {
    if (me.unhealthy == yes) return;
    me.unhealthy = yes;
    say_anew(true);
}

// ---- what others ask

State Membership::state(RouterIndex who) const { return at(who).state; }

MemberView Membership::view(RouterIndex who, Micros now) const {
    auto& member = at(who);
    MemberView view;
    view.state = member.state;
    view.since = member.since;
    view.unhealthy = member.member_state.unhealthy;
    view.zone = member.zone;
    view.member_state = member.member_state;
    view.last_heard = member.heard;
    view.hears_me = !reachability.is_down(number, who);
    view.is_heard = !reachability.is_down(who, number);
    // As long as somebody is heard, no news of a router is news; alone, all that is known grows old.
    auto alone = static_cast<double>(now - std::max(heard_any, member.heard)) /
                 static_cast<double>(settings.longest_suspicion);
    auto fresh = who == number ? 1 : std::exp2(-std::max(0.0, alone));
    auto* suspicion = suspicions.find(who);
    switch (member.state) {
        case State::Unknown:
            break;
        case State::Alive:
        case State::Silent:
            view.confidence = who == number ? 1 : 0.99 * fresh;
            break;
        case State::Suspected:
            view.confidence = suspicion ? fresh * static_cast<double>(suspicion->accusers.size()) / 5 : 0;
            break;
        case State::Dead:
            view.confidence = 0.9 * fresh;
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
    auto one = sizeof(Member) + sizeof(std::uint16_t) + sizeof(RouterIndex) + 8;
    return sizeof *this + members.size() * one + suspicions.all().size() * (sizeof(Suspicion) + 64) +
           (transfer ? transfer->bytes_held() : 0);
}

}  // namespace quillgrade::peers
