#include "peers/membership.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <limits>
#include <utility>

namespace quillgrade::peers {

namespace {

constexpr Micros ms = 1000, never = std::numeric_limits<Micros>::max();
constexpr int most_indirect_probes = 32, most_again = 2, most_probes = 8;
constexpr std::size_t most_forced = 3;  // accounts that are told whatever they cost
constexpr std::uint32_t most_incarnation = (1U << 27) - 1;
constexpr std::size_t most_changes = 10'000;
constexpr std::size_t least_payload = 12, payload_tag = 4;  // bytes worth loading; field, length
// How many routers ping an accused one shortly before the verdict, on average: each draws for itself. Two
// seconds of the default byte budget leave 75 bytes for each of eight answers, and the chance that nobody
// pings is below 1 / e^8, one verdict in some 3,000.
constexpr int expected_last_pings = 8;
// How many others are told what is held against an accused router before the verdict, where it is pinged too
// and where it is not: three datagrams either way.
constexpr std::size_t witnesses_beside_accused = 2, witnesses_alone = 3;
constexpr double own_datagram = 110;  // bytes that one for the passenger's sake needs at least

// With state transfer on, what all send in one burst has to leave room for pages in what one of them takes
// in.
ByteBudget budget_of(const Rates& rates, Micros now) {
    constexpr double burst_seconds = 1;
    if (!rates.state_transfer) return {rates.bytes_per_s, now};
    return {rates.bytes_per_s, now, rates.bytes_per_s * burst_seconds};
}

}  // namespace

// What a kind of datagram leaves to more needful ones, in seconds of the byte_budget.
double Membership::kept_back(SendPriority need) {
    switch (need) {
        case SendPriority::Probe:
            return 0;
        case SendPriority::Answer:
        case SendPriority::Insist:
            return 0.1;
        case SendPriority::IndirectProbe:
            return 0.15;
        case SendPriority::News:
            return 0.25;
        case SendPriority::Spare:
            break;
    }
    return 0.7;
}

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

Membership::Membership(const Start& start)
    : number(start.self),
      zone(start.zone),
      rates(start.rates),
      me{start.life, Phase::Here, 0, Verdict::Alive, false},
      members(static_cast<std::size_t>(start.routers)),
      probe_schedule(start.self, start.routers, start.rates.period),
      suspicions({start.rates.shortest, start.rates.longest}),
      reachability(start.self),
      gossip(start.routers),
      local_health(start.rates.gap, start.now),
      round_trips(start.rates.period, start.now),
      byte_budget(budget_of(start.rates, start.now)),
      chance(static_cast<std::uint32_t>(start.seed ^ (start.seed >> 32) ^ start.life)),
      last_slot(probe_schedule.slot(start.now)),
      digest_at(start.now),
      unlike(8) {
    if (rates.state_transfer) {
        transfer.emplace(number, start.routers, static_cast<std::uint32_t>(start.seed ^ start.life),
                         start.now);
        page_server.emplace(rates.bytes_per_s, start.now);
        unlike = 0;
    }
    auto& mine = at(number);
    mine.member_state = me;
    mine.state = State::Alive;
    mine.since = start.now;
    mine.zone = static_cast<std::int16_t>(zone);
}

// ---- what comes

void Membership::hear(Number from, std::string_view datagram, Micros now) {
    arrive(now);
    if (transfer) transfer->received(datagram.size(), now);
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
    if (!rates.state_transfer && of_state_transfer(decoded.message->kind)) {
        seen.dropped[static_cast<std::size_t>(Dropped::TransferOff)]++;
        return;
    }
    seen.heard++;
    take(*decoded.message, now);
    pass_on(now);
    // An answer takes its probe off the list, so the next call may be due later than was said.
    local_health.promise(due());
}

// Each call begins here. Guards against a router that was stopped, or that had no processor, and then holds
// against others what it did not hear meanwhile: probes under way are void, nobody is judged before being
// asked again, and what was said of this router while it was away is answered before it is heard.
void Membership::arrive(Micros now) {
    auto away = local_health.away(now);
    if (away == 0) return;
    seen.away++;
    probes.clear();
    indirect_probes.clear();
    suspicions.set_back(away);
    local_health.worse();
    // Its own slowness is no miss of others either.
    last_slot = probe_schedule.slot(now);
    // What was told meanwhile has been told often enough for others.
    if (transfer && away >= rates.longest) transfer->begin_after_pause(now);
    say_anew(true);
    tell_some(3, now);
}

void Membership::spread(Number who, bool urgent) {
    gossip.news(who, urgent);
    fresh |= urgent;
}

// Urgent news do not wait for the next probe while there are bytes to spare: told to three at once by each
// that hears it for the first time, it reaches nine in ten within some delays of the network; the probes do
// the rest.
void Membership::pass_on(Micros now) {
    if (!std::exchange(fresh, false)) return;
    if (bytes_left(now) > rates.bytes_per_s * kept_back(SendPriority::Spare)) tell_some(3, now);
}

// Word to some at once that would else wait for the next probe.
void Membership::tell_some(std::size_t many, Micros now) {
    for (auto who : pick(many, -1)) {
        Message news;
        news.kind = Kind::News;
        send(who, news, SendPriority::Answer, now);
    }
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
    for (auto& one : message.accusations) {
        // It goes with an account in the same datagram, and about what is known here as the same.
        auto about = std::find_if(message.accounts.begin(), message.accounts.end(),
                                  [&](auto& account) { return account.who == one.accused; });
        if (one.accused == number || about == message.accounts.end()) continue;
        auto& known = at(one.accused).member_state;
        if (known == about->member_state && known.verdict == Verdict::Suspected)
            accuse(one.accused, one.accuser, one.age, now);
    }
    // Those of a digest are what its sender holds, no news: taken as news, a cut would never expire.
    if (message.kind != Kind::Digest) take_link_reports(message, now);

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
            gossip.heard_again(account.who);
        else
            gossip.put_right(account.who);  // the teller is behind, and most likely others are
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
        suspicions.acquit(account.who);
    // Who accuses follows in the same datagram; a teller alone is no accuser.
    if (joined.verdict == Verdict::Suspected && !suspicions.find(account.who))
        suspicions.accuse(account.who, -1, 0, now);
    if (spreading == Spread::Yes) spread(account.who, before.life != 0);
    note(account.who, by, now);
    note_ended_cuts(ended_cuts, by, now);
}

void Membership::take_link_reports(const Message& message, Micros now) {
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
    seen.refuted++;
    local_health.worse();
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

// ---- probes

void Membership::pass(Micros now) {
    arrive(now);
    auto slot = probe_schedule.slot(now);
    if (routers() > 1 && slot > last_slot) {
        // In doubt of itself a router asks more rarely.
        auto target = probe_schedule.target(slot);
        if (slot % local_health.stretch() == 0 && !awaits_account(target)) probe(target, now);
        last_slot = slot;
    }
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
    for (auto& one : indirect_probes)
        if (!one.said_no && now >= one.say_no_at) {
            Message no;
            no.kind = Kind::No;
            no.probe = one.number;
            no.about = one.target;
            send(one.asker, no, SendPriority::IndirectProbe, now);
            one.said_no = true;
        }
    std::erase_if(indirect_probes, [&](auto& one) { return now >= one.end; });
    if (now >= look_again_at) {
        look_again(now);
        look_again_at = now + rates.period * 3;
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
    local_health.promise(due());
}

Micros Membership::due() const {
    auto at = probe_schedule.start(last_slot + 1);
    for (auto& one : probes) at = std::min(at, one.passed_on ? one.end : std::min(one.step_at, one.end));
    for (auto& one : indirect_probes)
        if (!one.said_no) at = std::min(at, one.say_no_at);
    if (transfer) at = std::min(at, transfer->due());
    return at;
}

void Membership::probe(Number target, Micros now) {
    if (probes.size() >= most_probes) return;
    Message ping;
    ping.kind = Kind::Ping;
    ping.probe = next_probe;
    next_probe = next_probe % 0x3fff + 1;  // two bytes on the wire
    if (!send(target, ping, SendPriority::Probe, now)) return;
    auto wait = rates.period * local_health.stretch();
    probes.push_back({ping.probe, target, now, now + rates.period / 6, now + wait, now + wait});
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
    step_after(rates.period / 6 * local_health.stretch());
    // Whom it has accused already, it only tells so.
    auto* suspicion = suspicions.find(probe.target);
    bool said = suspicion && !suspicion->ask_first &&
                std::count(suspicion->accusers.begin(), suspicion->accusers.end(), number);
    if (!thought_there(probe.target) || said) return;
    bool cut = reachability.cut(number, probe.target) || reachability.cut(probe.target, number);
    if (cut) {
        step_after(rates.period / 3 * local_health.stretch());
        probe.steps++;
    } else {
        Message ping;
        ping.kind = Kind::Ping;
        ping.probe = probe.number;
        probe.starved |= !send(probe.target, ping, SendPriority::Insist, now);
    }
    if (probe.steps++ == 0) return;
    for (auto helper : pick(static_cast<std::size_t>(probe.steps < 4 ? 1 : rates.helpers), probe.target)) {
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
    suspicions.asked(probe.target);
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
    if (probe.noes < probe.helpers || (probe.steps > 1 && probe.helpers == 0)) local_health.worse();
    seen.accused++;
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
        if (one.ask_first || std::count(one.accusers.begin(), one.accusers.end(), number)) again(who);
    for (Number step = 0; step < routers() && asked < most_again; step++) {
        auto who = (number + 1 + step) % routers();
        if (who != number && reachability.doubtful(who)) again(who);
    }
}

void Membership::answer_ping(const Message& ping, Micros now) {
    Message heard;
    heard.kind = Kind::Heard;
    heard.probe = ping.probe;
    if (ping.about < 0 || ping.about == number) {
        // What the asking one holds and is out of date goes back at once.
        std::vector<Account> better;
        for (auto& account : ping.accounts) {
            auto& known = at(account.who).member_state;
            if (account.who != number && !(known == account.member_state) && better.size() < most_forced)
                better.push_back({account.who, known});
        }
        send(ping.from, heard, SendPriority::Answer, now, better);
        return;
    }
    // For somebody whose own ping should have come as well. Back through the helper, and straight: so both
    // ends learn which directions are whole.
    heard.about = ping.about;
    heard.direct = at(ping.about).heard > now - rates.period * 4;
    send(ping.from, heard, SendPriority::Answer, now);
    if (!heard.direct && reachability.missed(ping.about, now))
        note_cut(ping.about, number, true, ping.from, now);
    heard.about = -1;
    send(ping.about, heard, SendPriority::Answer, now);
}

void Membership::answered(const Message& heard, Micros now) {
    if (heard.about >= 0 && heard.about != number) {
        // An answer to an indirect_probe: pass it on.
        for (auto& indirect_probe : indirect_probes)
            if (indirect_probe.number == heard.probe && indirect_probe.target == heard.from &&
                indirect_probe.asker == heard.about) {
                Message passed;
                passed.kind = Kind::Heard;
                passed.probe = heard.probe;
                passed.about = heard.about;
                passed.direct = heard.direct;
                send(indirect_probe.asker, passed, SendPriority::IndirectProbe, now);
                indirect_probe.end = now;
                indirect_probe.said_no = true;
                return;
            }
        return;
    }
    for (std::size_t i = 0; i < probes.size(); i++) {
        auto& probe = probes[i];
        if (probe.number != heard.probe) continue;
        if (heard.from == probe.target) {
            round_trips.measured(now - probe.sent, now);
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

void Membership::probe_for_another(const Message& ask, Micros now) {
    if (ask.about == number || ask.about == ask.from || indirect_probes.size() >= most_indirect_probes)
        return;
    Message ping;
    ping.kind = Kind::Ping;
    ping.probe = ask.probe;
    ping.about = ask.from;
    if (!send(ask.about, ping, SendPriority::IndirectProbe, now)) return;
    indirect_probes.push_back(
        {ask.probe, ask.from, ask.about, now + rates.period / 6, now + rates.period * 4});
}

// ---- judging

void Membership::accuse(Number who, Number accuser, Micros age, Micros now) {
    auto& member = at(who);
    auto& member_state = member.member_state;
    if (who == number || member_state.life == 0 || member_state.phase == Phase::Gone ||
        member_state.verdict == Verdict::Dead)
        return;
    member_state.verdict = Verdict::Suspected;
    // Who is known to be cut off from it on one way is no second witness.
    if (accuser >= 0 && (reachability.cut(accuser, who) || reachability.cut(who, accuser))) accuser = -1;
    if (suspicions.accuse(who, accuser, age, now)) spread(who, true);
    note(who, accuser, now);
}

void Membership::judge(Micros now) {
    std::vector<Number> due, last_calls;
    for (auto& [who, one] : suspicions.all()) {
        auto when = suspicions.due(one, at(who).heard);
        if (!one.ask_first && now >= when) due.push_back(who);
        if (!one.last_call && now < when && now >= when - 2 * rates.period) last_calls.push_back(who);
    }
    // Guards against a verdict by a router that alone has missed the answer to the accusation: it asks the
    // accused once more, or one more of the others, and tells them what it holds, who put it right if they
    // know better.
    for (auto who : last_calls) {
        Message ping;
        ping.kind = Kind::Ping;
        suspicions.called(who);
        bool asks = asks_accused();
        if (asks) send(who, ping, SendPriority::News, now);
        for (auto other : pick(asks ? witnesses_beside_accused : witnesses_alone, who))
            send(other, ping, SendPriority::News, now, {{who, at(who).member_state}});
    }
    for (auto who : due) {
        suspicions.acquit(who);
        if (at(who).member_state.verdict != Verdict::Suspected) continue;
        at(who).member_state.verdict = Verdict::Dead;
        spread(who, true);
        note(who, -1, now);
    }
}

// Guards against an accused router that all others ping at the same moment: it can answer a small part of
// them. Those that don't ping it ask one more witness. With few routers all ping it, as there are no more.
bool Membership::asks_accused() {
    if (routers() <= expected_last_pings) return true;
    boost::random::uniform_int_distribution<int> draw(0, routers() - 1);
    return draw(chance) < expected_last_pings;
}

State Membership::worked_out(Number who) const {
    auto& s = at(who).member_state;
    if (s.life == 0) return State::Unknown;
    if (s.phase == Phase::Gone) return State::Gone;
    if (s.verdict == Verdict::Dead) return State::Dead;
    if (s.phase == Phase::Leaving) return State::Leaving;
    if (s.verdict == Verdict::Suspected) return State::Suspected;
    return reachability.cut(who, number) ? State::Silent : State::Alive;
}

void Membership::note(Number who, Number by, Micros now) {
    auto& member = at(who);
    auto after = worked_out(who);
    if (after == member.state || who == number) return;
    auto before = std::exchange(member.state, after);
    member.since = now;
    // Nobody who does not fetch the changes makes this grow.
    if (changed.size() < most_changes) changed.push_back({who, before, after, now, member.member_state, by});
}

void Membership::note_cut(Number speaker, Number listener, bool cut, Number by, Micros now) {
    if (cut_news.size() < most_changes) cut_news.push_back({speaker, listener, 0, cut});
    note(speaker, by, now);
}

// A cut that ends without a datagram leaves the same trace as one that a datagram ends.
void Membership::note_ended_cuts(const std::vector<LinkReport>& ended_cuts, Number by, Micros now) {
    for (auto& report : ended_cuts) note_cut(report.speaker, report.listener, false, by, now);
}

// ---- sending

// What is left of the datagram carries news: first what is held against the receiver, so that it can answer.
bool Membership::send(Number to, Message message, SendPriority priority, Micros now,
                      const std::vector<Account>& first, bool for_piggyback) {
    auto left = bytes_left(now) / rates.bytes_per_s;
    // Guards against probes that use up all bytes where nobody is heard, so that others never hear what this
    // router alone was told.
    auto saved_up = piggyback_waits && !for_piggyback && priority >= SendPriority::Insist
                        ? own_datagram / rates.bytes_per_s
                        : 0;
    if (to == number || left <= kept_back(priority) + saved_up) {
        seen.held_back++;
        return false;
    }
    message.from = number;
    message.self = me;
    message.zone = zone;
    auto base = encode(message).size();
    // Rough sizes, so that few are taken off again; a third of what is saved goes into one datagram.
    constexpr std::size_t account_bytes = 10, accuser_bytes = 6, link_report_bytes = 6, tags = 18;
    auto spare_bytes = std::max(0.0, (left - kept_back(SendPriority::News)) * rates.bytes_per_s / 3);
    auto room = std::min<double>(static_cast<double>(longest), static_cast<double>(base) + spare_bytes);
    auto add = [&](Number who) {
        auto& member_state = at(who).member_state;
        if (member_state.life == 0 || who == number) return;
        for (auto& one : message.accounts)
            if (one.who == who) return;
        auto need = base + tags + (message.accounts.size() + 1) * account_bytes +
                    message.accusations.size() * accuser_bytes +
                    message.link_reports.size() * link_report_bytes;
        if (static_cast<double>(need) > room && (first.empty() || first.size() > most_forced)) {
            if (first.empty()) gossip.untold(who);
            return;
        }
        message.accounts.push_back({who, member_state});
        auto* suspicion = suspicions.find(who);
        if (member_state.verdict != Verdict::Suspected || !suspicion) return;
        for (auto accuser : suspicion->accusers)
            message.accusations.push_back({who, accuser, now - suspicion->since});
    };
    // Guards against a router that never hears what it is accused of: this comes whatever it costs.
    if (at(to).member_state.life > 0 && at(to).member_state.verdict != Verdict::Alive &&
        base + 40 <= longest) {
        message.accounts.push_back({to, at(to).member_state});
        auto* suspicion = suspicions.find(to);
        if (suspicion && !suspicion->accusers.empty())
            message.accusations.push_back({to, suspicion->accusers.front(), now - suspicion->since});
    }
    for (auto& one : first) add(one.who);
    if (first.empty()) {
        auto spare = room - static_cast<double>(base) - tags;
        if (spare > link_report_bytes) {
            if (message.kind != Kind::Digest && message.link_reports.empty())
                message.link_reports = reachability.to_tell(
                    std::min(most_link_reports, static_cast<std::size_t>(spare / link_report_bytes)),
                    gossip.most());
            auto places = static_cast<std::size_t>(
                std::max(0.0, spare - static_cast<double>(message.link_reports.size() * link_report_bytes)) /
                account_bytes);
            for (auto who : gossip.next(places)) add(who);
        }
    }
    auto bytes = encode(message);
    while (bytes.size() > longest) {
        if (!message.accounts.empty())
            message.accounts.pop_back();
        else if (!message.link_reports.empty())
            message.link_reports.pop_back();
        else
            message.hashes.pop_back();
        std::erase_if(message.accusations, [&](auto& one) {
            return std::none_of(message.accounts.begin(), message.accounts.end(),
                                [&](auto& account) { return account.who == one.accused; });
        });
        bytes = encode(message);
    }
    if (piggyback && bytes.size() + payload_tag + least_payload <= longest) {
        auto keep = piggyback_waits ? 0 : kept_back(for_piggyback ? priority : SendPriority::News);
        auto spare = std::max(0.0, (left - keep) * rates.bytes_per_s - static_cast<double>(bytes.size()));
        auto free = std::min(longest - bytes.size() - payload_tag, static_cast<std::size_t>(spare));
        if (free >= least_payload) message.payload = piggyback->load(to, free, now);
        if (message.payload.size() > free) message.payload.clear();
        seen.payload_bytes += message.payload.size();
        if (!message.payload.empty()) bytes = encode(message);
    }
    spend(bytes.size());
    hand_out(to, std::move(bytes));
    return true;
}

void Membership::hand_out(Number to, std::string bytes) {
    seen.sent++;
    seen.bytes_sent += bytes.size();
    out.push_back({to, std::move(bytes)});
}

bool Membership::tell(Number to, bool urgent, Micros now) {
    Message news;
    news.kind = Kind::News;
    auto need = urgent ? SendPriority::IndirectProbe : SendPriority::Spare;
    // Guards against datagrams that have no room for what they are sent for.
    bool enough = bytes_left(now) - kept_back(need) * rates.bytes_per_s >= own_datagram;
    if (!enough) return false;
    return send(to, news, need, now, {}, true);
}

bool Membership::tell(std::size_t most, int in_zone, bool urgent, Micros now) {
    auto to = pick(most, -1, in_zone);
    // Who hears nobody may still be heard: it speaks to those that were there last.
    for (Number step = 1; to.empty() && step < routers(); step++) {
        auto who =
            (number + static_cast<Number>(chance() % static_cast<unsigned>(routers())) + step) % routers();
        auto state = at(who).state;
        if (who != number && (state == State::Silent || state == State::Suspected || state == State::Dead))
            to.push_back(who);
    }
    bool sent = false;
    for (auto who : to) sent |= tell(who, urgent, now);
    piggyback_waits = urgent && !sent;
    return sent;
}

double Membership::bytes_left(Micros now) {
    auto own = byte_budget.left(now);
    return page_server ? std::min(own, page_server->left(now)) : own;
}

void Membership::spend(std::size_t bytes) {
    byte_budget.spend(bytes);
    if (page_server) page_server->spend_own(bytes);
}

double Membership::spare(Micros now) {
    return std::max(0.0, bytes_left(now) - kept_back(SendPriority::Spare) * rates.bytes_per_s);
}

// ---- what the router says of itself

void Membership::leave(Micros now) {
    if (me.phase != Phase::Here) return;
    me.phase = Phase::Leaving;
    say_anew(true);
    tell_some(4, now);
}

void Membership::gone(Micros now) {
    me.phase = Phase::Gone;
    say_anew(true);
    // Its last chance to be heard, so more are told.
    tell_some(6, now);
}

void Membership::ill(bool yes) {
    if (me.ill == yes) return;
    me.ill = yes;
    say_anew(true);
}

// ---- what others ask

State Membership::state(Number who) const { return at(who).state; }

View Membership::view(Number who, Micros now) const {
    auto& member = at(who);
    View view;
    view.state = member.state;
    view.since = member.since;
    view.ill = member.member_state.ill;
    view.zone = member.zone;
    view.member_state = member.member_state;
    view.heard = member.heard;
    view.hears_me = !reachability.cut(number, who);
    view.is_heard = !reachability.cut(who, number);
    // As long as somebody is heard, no news of a router is news; alone, all that is known grows old.
    auto alone =
        static_cast<double>(now - std::max(heard_any, member.heard)) / static_cast<double>(rates.longest);
    auto fresh = who == number ? 1 : std::exp2(-std::max(0.0, alone));
    auto* suspicion = suspicions.find(who);
    switch (member.state) {
        case State::Unknown:
            break;
        case State::Alive:
        case State::Silent:
            view.sure = who == number ? 1 : 0.99 * fresh;
            break;
        case State::Suspected:
            view.sure = suspicion ? fresh * static_cast<double>(suspicion->accusers.size()) / 5 : 0;
            break;
        case State::Dead:
            view.sure = 0.9 * fresh;
            break;
        case State::Leaving:
        case State::Gone:
            view.sure = 1;
            break;
    }
    return view;
}

Counts Membership::counts() const {
    Counts counts;
    for (auto& member : members) {
        auto state = member.state;
        if (state == State::Alive || state == State::Silent || state == State::Leaving) counts.surely++;
        if (state != State::Gone) counts.possibly++;
    }
    return counts;
}

std::size_t Membership::bytes_held() const {
    auto one = sizeof(Member) + sizeof(std::uint16_t) + sizeof(Number) + 8;
    return sizeof *this + members.size() * one + suspicions.all().size() * (sizeof(Suspicion) + 64) +
           (transfer ? transfer->bytes_held() : 0);
}

}  // namespace quillgrade::peers
