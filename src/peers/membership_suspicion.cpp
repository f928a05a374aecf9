// The part of a Membership that judges: accusations, verdicts, and the state of each member as the router
// sees it, with the changes of it that are told.
#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <utility>

#include "peers/membership.hpp"

namespace quillgrade::peers {

namespace {

// How many routers ping an accused one shortly before the verdict, on average: each draws for itself. Two
// seconds of the default byte budget leave 75 bytes for each of eight answers, and the chance that nobody
// pings is below 1 / e^8, one verdict in some 3,000.
constexpr int expected_last_pings = 8;
// How many others are told what is held against an accused router before the verdict, where it is pinged too
// and where it is not: three datagrams either way.
constexpr std::size_t witnesses_beside_accused = 2, witnesses_alone = 3;

}  // namespace

void Membership::accuse(RouterIndex who, RouterIndex accuser, Micros age, Micros now) {
    auto& member = at(who);
    auto& member_state = member.member_state;
    if (who == number || member_state.generation == 0 || member_state.phase == Phase::Gone ||
        member_state.liveness == Liveness::Dead)
        return;
    member_state.liveness = Liveness::Suspected;
    // Who is known to be cut off from it on one way is no second witness.
    if (accuser >= 0 && (reachability.is_down(accuser, who) || reachability.is_down(who, accuser)))
        accuser = -1;
    if (suspicions.accuse(who, accuser, age, now)) spread(who, true);
    note(who, accuser, now);
}

void Membership::judge(Micros now) {
    std::vector<RouterIndex> due, last_calls;
    for (auto& [who, one] : suspicions.all()) {
        if (!one.ask_first && now >= suspicions.verdict_at(one, at(who).heard)) due.push_back(who);
        if (suspicions.wants_last_call(one, at(who).heard, now)) last_calls.push_back(who);
    }
    // One that can't be made yet for want of bytes is tried again at the next pass.
    for (auto who : last_calls)
        if (make_last_call(who, now)) suspicions.called(who, now);
    for (auto who : due) {
        suspicions.acquit(who);
        if (at(who).member_state.liveness != Liveness::Suspected) continue;
        at(who).member_state.liveness = Liveness::Dead;
        spread(who, true);
        note(who, -1, now);
    }
}

// Guards against a verdict by a router that alone has missed the answer to the accusation: it asks the
// accused once more, or one more of the others, and tells them what it holds, who put it right if they know
// better. False where nothing could be sent.
bool Membership::make_last_call(RouterIndex who, Micros now) {
    if (bytes_left(now) <= settings.bytes_per_s * kept_back(SendPriority::Answer)) return false;
    Message ping;
    ping.type = MessageType::Ping;
    bool asks = asks_accused();
    bool sent = asks && send(who, ping, SendPriority::Answer, now);
    for (auto other : pick(asks ? witnesses_beside_accused : witnesses_alone, who))
        sent |= send(other, ping, SendPriority::Answer, now, {{who, at(who).member_state}});
    return sent;
}

// Guards against an accused router that all others ping at the same moment: it can answer a small part of
// them. Those that don't ping it ask one more witness. With few routers all ping it, as there are no more.
bool Membership::asks_accused() {
    if (routers() <= expected_last_pings) return true;
    boost::random::uniform_int_distribution<int> draw(0, routers() - 1);
    return draw(chance) < expected_last_pings;
}

State Membership::worked_out(RouterIndex who) const {
    auto& s = at(who).member_state;
    if (s.generation == 0) return State::Unknown;
    if (s.phase == Phase::Gone) return State::Gone;
    if (s.liveness == Liveness::Dead) return State::Dead;
    if (s.phase == Phase::Leaving) return State::Leaving;
    if (s.liveness == Liveness::Suspected) return State::Suspected;
    return reachability.is_down(who, number) ? State::Silent : State::Alive;
}

void Membership::note(RouterIndex who, RouterIndex by, Micros now) {
    auto& member = at(who);
    auto after = worked_out(who);
    if (after == member.state || who == number) return;
    auto before = std::exchange(member.state, after);
    member.since = now;
    // Nobody who does not fetch the changes makes this grow.
    if (changed.size() < most_changes) changed.push_back({who, before, after, now, member.member_state, by});
}

void Membership::note_cut(RouterIndex speaker, RouterIndex listener, bool cut, RouterIndex by, Micros now) {
    if (cut_news.size() < most_changes) cut_news.push_back({speaker, listener, 0, cut});
    note(speaker, by, now);
}

// A cut that ends without a datagram leaves the same trace as one that a datagram ends.
void Membership::note_ended_cuts(const std::vector<LinkReport>& ended_cuts, RouterIndex by, Micros now) {
    for (auto& report : ended_cuts) note_cut(report.sender, report.receiver, false, by, now);
}

}  // namespace quillgrade::peers
