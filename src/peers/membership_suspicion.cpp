// The part of a Membership that handles accusations and verdicts, and derives the state of each member from
// what is known of it, with the changes that are reported to the caller.
#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

#include "peers/membership.hpp"

namespace quillgrade::peers {

namespace {

// How many routers, on average, ping an accused router shortly before the verdict; each draws at random
// whether it does. Two seconds of the default byte budget give the accused 75 bytes for each of eight
// answers. The probability that no router pings it is below 1 / e^8, one verdict in some 3,000.
constexpr int expected_last_pings = 8;
// How many other routers a last call pings about the accused: with the accused itself, and without it.
// Three datagrams either way.
constexpr std::size_t witnesses_with_accused = 2, witnesses_without_accused = 3;

}  // namespace

void Membership::accuse(RouterIndex who, RouterIndex accuser, Micros age, Micros now) {
    auto& member = at(who);
    auto& member_state = member.member_state;
    if (who == self_number || member_state.generation == 0 || member_state.phase == Phase::Gone ||
        member_state.liveness == Liveness::Dead)
        return;
    member_state.liveness = Liveness::Suspected;
    // A router whose link to the accused is known to be cut in one direction does not count as an accuser.
    if (accuser >= 0 && (reachability.is_down(accuser, who) || reachability.is_down(who, accuser)))
        accuser = -1;
    if (suspicions.accuse(who, accuser, age, now)) enqueue_gossip(who, true);
    update_state(who, accuser, now);
}

void Membership::check_suspicions(Micros now) {
    std::vector<RouterIndex> due, last_calls;
    for (auto& [who, one] : suspicions.all()) {
        if (!one.probe_before_verdict && now >= suspicions.verdict_at(one, at(who).last_heard))
            due.push_back(who);
        if (suspicions.wants_last_call(one, at(who).last_heard, now)) last_calls.push_back(who);
    }
    // A last call that lacks bytes is tried again at the next tick.
    for (auto who : last_calls)
        if (send_last_call(who, now)) suspicions.note_last_call(who, now);
    for (auto who : due) {
        suspicions.remove(who);
        if (at(who).member_state.liveness != Liveness::Suspected) continue;
        at(who).member_state.liveness = Liveness::Dead;
        enqueue_gossip(who, true);
        update_state(who, -1, now);
    }
}

// Pings the accused once more, or another router in its place, and some other routers with the accusation,
// which they correct if they know of a refutation. Guards against a false verdict by a router that alone has
// missed the refutation. Returns false where nothing could be sent.
bool Membership::send_last_call(RouterIndex who, Micros now) {
    if (available_bytes(now) <= settings.bytes_per_s * reserve_seconds(SendPriority::Answer)) return false;
    Message ping;
    ping.type = MessageType::Ping;
    bool pings_accused = chosen_to_ping_accused();
    bool sent = pings_accused && send(who, ping, SendPriority::Answer, now);
    for (auto other : pick_peers(pings_accused ? witnesses_with_accused : witnesses_without_accused, who))
        sent |= send(other, ping, SendPriority::Answer, now, {{who, at(who).member_state}});
    return sent;
}

// Guards against all others pinging the accused at the same moment, when its byte budget lets it answer only
// a few. With few routers, all of them ping it.
bool Membership::chosen_to_ping_accused() {
    if (routers() <= expected_last_pings) return true;
    boost::random::uniform_int_distribution<int> draw(0, routers() - 1);
    return draw(generator) < expected_last_pings;
}

State Membership::derived_state(RouterIndex who) const {
    auto& s = at(who).member_state;
    if (s.generation == 0) return State::Unknown;
    if (s.phase == Phase::Gone) return State::Gone;
    if (s.liveness == Liveness::Dead) return State::Dead;
    if (s.phase == Phase::Leaving) return State::Leaving;
    if (s.liveness == Liveness::Suspected) return State::Suspected;
    return reachability.is_down(who, self_number) ? State::Silent : State::Alive;
}

void Membership::update_state(RouterIndex who, RouterIndex by, Micros now) {
    auto& member = at(who);
    auto after = derived_state(who);
    if (after == member.state || who == self_number) return;
    auto before = std::exchange(member.state, after);
    member.since = now;
    // Bounded, as the caller may never take the changes.
    if (state_changes.size() < max_kept_changes)
        state_changes.push_back({who, before, after, now, member.member_state, by});
}

void Membership::report_link(RouterIndex speaker, RouterIndex listener, bool cut, RouterIndex by,
                             Micros now) {
    if (new_link_reports.size() < max_kept_changes) new_link_reports.push_back({speaker, listener, 0, cut});
    update_state(speaker, by, now);
}

// Reports cuts that ended without a datagram of the speaker in the same way as those that a datagram ended.
void Membership::report_ended_cuts(const std::vector<LinkReport>& ended_cuts, RouterIndex by, Micros now) {
    for (auto& report : ended_cuts) report_link(report.sender, report.receiver, false, by, now);
}

}  // namespace quillgrade::peers
