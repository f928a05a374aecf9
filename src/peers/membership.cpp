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
      me{start.life, Phase::Here, 0, Verdict::Alive, false},
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

void Membership::receive(Number from, std::string_view datagram, Micros now) {
    arrive(now);
    if (transfer) transfer->count(datagram.size(), now);
    if (from < 0) {
        seen.dropped[static_cast<std::size_t>(Dropped::Source)]++;
        return;
    }
    auto decoded = decode(datagram, routers(), now);
    if (!decoded.message) {
        seen.dropped[static_cast<std::size_t>(decoded.why)]++;
        return;
    }
    // Nobody may speak under another's number, nor under mine.
    if (decoded.message->from != from || decoded.message->from == number) {
        seen.dropped[static_cast<std::size_t>(Dropped::Source)]++;
        return;
    }
    if (!settings.state_transfer && of_state_transfer(decoded.message->kind)) {
        seen.dropped[static_cast<std::size_t>(Dropped::TransferOff)]++;
        return;
    }
    seen.received++;
    take(*decoded.message, now);
    pass_on(now);
    // An answer takes its probe off the list, so the next call may be due later than was said.
    local_health.expect_call_by(next_tick());
}

// Each call begins here. Guards against a router that was stopped, or that had no processor, and then holds
// against others what it did not hear meanwhile: probes under way are void, nobody is judged before being
// asked again, and what was said of this router while it was away is answered before it is heard.
void Membership::arrive(Micros now) {
    auto away = local_health.detect_pause(now);
    if (away == 0) return;
    seen.pauses++;
    probes.clear();
    indirect_probes.clear();
    suspicions.postpone_all(away);
    local_health.degrade();
    // Its own slowness is no miss of others either.
    last_slot = probe_schedule.slot(now);
    // What was told meanwhile has been told often enough for others.
    if (transfer && away >= settings.longest_suspicion) transfer->begin_after_pause(now);
    say_anew(true);
    tell_some(3, now);
}

void Membership::take(const Message& message, Micros now) {
    auto& sender = at(message.from);
    if (message.self.life < sender.member_state.life) {
        // An old life's datagram, still under way; or a new life whose clock was set back, which has to hear
        // it.
        Message heard;
        heard.kind = Kind::Heard;
        heard.probe = message.probe;
        if (message.kind == Kind::Ping)
            send(message.from, heard, SendPriority::Answer, now, {{message.from, sender.member_state}});
        return;
    }
    heard_any = now;
    sender.heard = now;
    if (message.zone >= 0) sender.zone = static_cast<std::int16_t>(message.zone);
    take(Account{message.from, message.self}, message.from, now);
    if (reachability.heard(message.from, now)) note_cut(message.from, number, false, message.from, now);

    if (piggyback && !message.payload.empty())
        piggyback->unload(message.from, message.self.life, message.payload, now);
    for (auto& account : message.accounts) take(account, message.from, now);
    take_accusations(message, now);
    // Those of a digest are what its sender holds, no news: taken as news, a cut would never expire.
    if (message.kind != Kind::Digest) apply_link_reports(message, now);

    take_by_kind(message, now);
}

void Membership::take_by_kind(const Message& message, Micros now) {
    switch (message.kind) {
        case Kind::Ping:
            return answer_ping(message, now);
        case Kind::Heard:
            return answered(message, now);
        case Kind::Ask:
            return probe_for_another(message, now);
        case Kind::No:
            for (auto& probe : probes)
                if (probe.number == message.probe && probe.target == message.about) probe.noes++;
            return;
        case Kind::Digest:
            return compare(message, now);
        case Kind::News:
            return;
        case Kind::RangeRequest:
            return answer_range_request(message, now);
        case Kind::RangePage:
            return take_page(message, now);
    }
}

void Membership::take(const Account& account, Number by, Micros now, Spread spreading) {
    if (account.who == number) return about_me(account.member_state);
    auto& member = at(account.who);
    auto joined = join(member.member_state, account.member_state);
    if (joined == member.member_state) {
        if (by == account.who || spreading == Spread::No) return;
        if (account.member_state == joined)
            gossip.note_duplicate(account.who);
        else
            gossip.enqueue_correction(account.who);  // the teller is behind, and most likely others are
        return;
    }
    auto before = std::exchange(member.member_state, joined);
    member.changed = now;
    if (before.ill != joined.ill && health_news.size() < most_changes)
        health_news.push_back({account.who, joined.ill});
    std::vector<LinkReport> ended_cuts;
    if (before.life != joined.life) ended_cuts = reachability.forget(account.who);
    if (joined.verdict != Verdict::Suspected || before.life != joined.life ||
        before.incarnation != joined.incarnation)
        suspicions.remove(account.who);
    // Who accuses follows in the same datagram; a teller alone is no accuser.
    if (joined.verdict == Verdict::Suspected && !suspicions.find(account.who))
        suspicions.accuse(account.who, -1, 0, now);
    if (spreading == Spread::Yes) spread(account.who, before.life != 0);
    note(account.who, by, now);
    note_ended_cuts(ended_cuts, by, now);
}

// An accusation goes with an account in the same datagram, and counts where that is what is known here too.
void Membership::take_accusations(const Message& message, Micros now) {
    for (auto& one : message.accusations) {
        auto about = std::find_if(message.accounts.begin(), message.accounts.end(),
                                  [&](auto& account) { return account.who == one.accused; });
        if (one.accused == number || about == message.accounts.end()) continue;
        auto& known = at(one.accused).member_state;
        if (known == about->member_state && known.verdict == Verdict::Suspected)
            accuse(one.accused, one.accuser, one.age, now);
    }
}

void Membership::apply_link_reports(const Message& message, Micros now) {
    for (auto& report : message.link_reports)
        if (reachability.told(report, at(report.listener).member_state.life, now))
            note_cut(report.speaker, report.listener, report.cut, message.from, now);
}

// What others say of this router. A new word of its own answers an accusation; a new life whatever this life
// can't have said: another life, an end, an incarnation beyond all.
void Membership::about_me(const MemberState& told) {
    if (told.life < me.life) return;
    if (told.life > me.life || (told.phase > me.phase) || told.incarnation >= most_incarnation) {
        me.life = std::max(me.life, told.life);
        return new_life();
    }
    bool accused = told.incarnation == me.incarnation && told.verdict != Verdict::Alive;
    if (told.incarnation <= me.incarnation && !accused) return;
    me.incarnation = told.incarnation;
    seen.refutations++;
    local_health.degrade();
    say_anew(true);
}

void Membership::new_life() {
    me.life++;
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
    local_health.expect_call_by(next_tick());
}

Micros Membership::next_tick() const {
    auto at = probe_schedule.start(last_slot + 1);
    for (auto& one : probes) at = std::min(at, one.passed_on ? one.end : std::min(one.step_at, one.end));
    for (auto& one : indirect_probes)
        if (!one.said_no) at = std::min(at, one.say_no_at);
    if (transfer) at = std::min(at, transfer->due());
    return at;
}

// ---- what the router says of itself

void Membership::leave(Micros now) {
    if (me.phase != Phase::Here) return;
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
    if (me.ill == yes) return;
    me.ill = yes;
    say_anew(true);
}

// ---- what others ask

State Membership::state(Number who) const { return at(who).state; }

MemberView Membership::view(Number who, Micros now) const {
    auto& member = at(who);
    MemberView view;
    view.state = member.state;
    view.since = member.since;
    view.unhealthy = member.member_state.ill;
    view.zone = member.zone;
    view.member_state = member.member_state;
    view.last_heard = member.heard;
    view.hears_me = !reachability.cut(number, who);
    view.is_heard = !reachability.cut(who, number);
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
    auto one = sizeof(Member) + sizeof(std::uint16_t) + sizeof(Number) + 8;
    return sizeof *this + members.size() * one + suspicions.all().size() * (sizeof(Suspicion) + 64) +
           (transfer ? transfer->bytes_held() : 0);
}

}  // namespace quillgrade::peers
