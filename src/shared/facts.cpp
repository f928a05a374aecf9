#include "shared/facts.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <tuple>

namespace quillgrade::shared {

namespace {

constexpr Micros ms = 1000, second = 1000 * ms, settled = 150 * ms;
constexpr int told_at_once = 3;

std::uint64_t in_ms(Micros time) { return time > 0 ? static_cast<std::uint64_t>(time / ms) : 0; }

}  // namespace

bool supersedes(const Fact& one, const Fact& other) {
    // The earlier birth of two that are else the same, so that all hold the same one.
    return std::tuple(one.time, one.gone, other.first_heard) >
           std::tuple(other.time, other.gone, one.first_heard);
}

ReplicatedFacts::ReplicatedFacts(Micros purge_done, int routers)
    : purge_done(purge_done), times(3 + static_cast<int>(std::ceil(std::log(routers + 1.0)))) {}

// ---- what this router's own sources say

feed::Listing ReplicatedFacts::apply_listing(feed::Listing told, Micros now) {
    std::set<CacheId> named;
    for (auto& endpoint : told.caches) {
        auto& entry = endpoint.entry;
        named.insert(entry.id);
        own(entry.id, in_ms(entry.started_at), entry.state, now);
        if (entry.state == EndpointState::Gone) {
            servers.erase(entry.id);
            continue;
        }
        auto known = servers.find(entry.id);
        bool closed = known != servers.end() && known->second.told.entry.state == EndpointState::Ready &&
                      known->second.shown != EndpointState::Ready;
        auto& kept = servers[entry.id];
        kept.told = endpoint;
        entry.state = kept.shown = narrowed(kept, heard_live, now);
        if (closed && entry.state == EndpointState::Ready && reopened.size() < max_facts)
            reopened.push_back(entry.id);
    }
    if (!told.complete) return told;
    for (auto server = servers.begin(); server != servers.end();) {
        if (named.contains(server->first)) {
            server++;
            continue;
        }
        own(server->first, in_ms(server->second.told.entry.started_at), EndpointState::Gone, now);
        server = servers.erase(server);
    }
    return told;
}

void ReplicatedFacts::own(CacheId id, std::uint64_t start, EndpointState listed, Micros now) {
    auto found = facts.find({FactSubject::Server, id});
    if (listed == EndpointState::Ready) {
        // Taken back by those who said it: it is no fact any more, here.
        if (found != facts.end() && found->second.own && found->second.fact.time <= start) {
            found->second.own = false;
            found->second.lapsed = true;
            set_left(found->first, found->second, 0);
        }
        return;
    }
    // What is long over where the router starts is known to all.
    enter({FactSubject::Server, id, start, listed == EndpointState::Gone, in_ms(now)}, true, now);
}

void ReplicatedFacts::record_purge(const feed::PurgeNotice& notice, Micros now) {
    auto key = notice.object ? Key{FactSubject::Object, notice.object}
                             : Key{FactSubject::Group, static_cast<std::uint64_t>(notice.group)};
    enter({key.first, key.second, in_ms(notice.at), false, in_ms(now)}, true, now);
}

// ---- what others say

bool ReplicatedFacts::receive(const Fact& fact, Micros now, RouterIndex from) {
    if (fact.subject != FactSubject::Server && fact.time > in_ms(now + max_clock_skew)) return false;
    auto* known = enter(fact, false, now);
    if (!known) return false;
    known->teller = from;
    if (fact.subject != FactSubject::Server && !std::exchange(known->to_do, true))
        untold_purges.emplace_back(fact.subject, fact.key);
    return true;
}

ReplicatedFacts::Known* ReplicatedFacts::enter(const Fact& told, bool own, Micros now) {
    auto fact = told;
    // One born in the future, as a clock ahead has it, is as old as can be said here.
    fact.first_heard = std::min(fact.first_heard, in_ms(now));
    Key key{fact.subject, fact.key};
    auto found = facts.find(key);
    if (found == facts.end()) {
        if (facts.size() >= max_facts && !own) {
            seen_refused++;
            return nullptr;
        }
        // Guards against memory that grows: what this router was told itself takes the place of the oldest.
        if (facts.size() >= max_facts) forget(facts.find(by_order.begin()->second));
        found = facts.emplace(key, Known{fact}).first;
    } else {
        auto& known = found->second;
        if (own && known.fact.time == fact.time && known.fact.gone == fact.gone) known.own = true;
        if (!supersedes(fact, known.fact)) return nullptr;
        bool more = known.fact.time != fact.time || known.fact.gone != fact.gone;
        if (!more) {  // only its birth
            known.fact = fact;
            return nullptr;
        }
        take_out(key, known);
        known.fact = fact;
        known.lapsed = false;
    }
    auto& known = found->second;
    known.own = own;
    known.teller = no_router;
    known.passed_over = 0;
    known.heard = now;
    known.order = ++last_order;
    put_in(key, known);
    return &known;
}

void ReplicatedFacts::take_out(const Key& key, Known& known) {
    set_left(key, known, 0);
    by_order.erase(known.order);
    if (key.first != FactSubject::Server) purge_ends.erase({end_of(known.fact), key});
}

void ReplicatedFacts::put_in(const Key& key, Known& known) {
    set_left(key, known, times);
    by_order.emplace(known.order, key);
    if (key.first != FactSubject::Server) purge_ends.emplace(end_of(known.fact), key);
}

void ReplicatedFacts::set_left(const Key& key, Known& known, int left) {
    if (known.left > 0) waiting.erase({known.left, known.order, key});
    known.left = left;
    if (left > 0) waiting.insert({left, known.order, key});
}

ReplicatedFacts::Place ReplicatedFacts::forget(Place place) {
    take_out(place->first, place->second);
    return facts.erase(place);
}

std::uint64_t ReplicatedFacts::end_of(const Fact& purge) const {
    return purge.time + in_ms(purge_done + 2 * second);
}

void ReplicatedFacts::forget_what_is_over(Micros now) {
    while (!purge_ends.empty() && in_ms(now) > purge_ends.begin()->first)
        forget(facts.find(purge_ends.begin()->second));
    // Servers stand before all purges. A server's fact is kept as long as it closes the server here.
    static_assert(FactSubject::Server < FactSubject::Object && FactSubject::Server < FactSubject::Group);
    for (auto known = facts.begin(); known != facts.end() && known->first.first == FactSubject::Server;) {
        bool over = !current(known->second, now) && !servers.contains(known->first.second);
        known = over ? forget(known) : std::next(known);
    }
}

// ---- what follows for the router

// Whether no other server of its role and location is open here.
bool ReplicatedFacts::last_of_its_role(const Entry& entry) const {
    for (auto& [id, other] : servers)
        if (id != entry.told.entry.id && other.shown == EndpointState::Ready &&
            other.told.entry.kind == entry.told.entry.kind && other.told.entry.zone == entry.told.entry.zone)
            return false;
    return true;
}

EndpointState ReplicatedFacts::narrowed(const Entry& entry, Micros live, Micros now) {
    auto& told = entry.told.entry;
    if (told.state != EndpointState::Ready) return told.state;
    auto found = facts.find({FactSubject::Server, told.id});
    if (found == facts.end()) return told.state;
    auto& known = found->second;
    // What was said of an earlier process is nothing against this one.
    if (known.fact.time < in_ms(told.started_at)) return told.state;
    if (known.own) return told.state;  // and the list was right after it
    if (!known.lapsed) {
        Micros since = std::max(known.heard, live);
        bool deaf = live == 0;
        if (!deaf && now - since >= contradiction_timeout) known.lapsed = true;
    }
    if (known.lapsed) return told.state;
    // A location's last path is shut by hearsay only where nothing better can be heard.
    if (live > 0 && entry.shown == EndpointState::Ready && last_of_its_role(entry)) return told.state;
    return EndpointState::Draining;
}

ReplicatedFacts::Changes ReplicatedFacts::tick(Micros live, Micros now) {
    Changes changes;
    changes.reopened = std::exchange(reopened, {});
    heard_live = live;
    for (auto& [id, entry] : servers) {
        auto shown = narrowed(entry, live, now);
        if (shown == entry.shown) continue;
        (shown == EndpointState::Ready ? changes.opened : changes.closed)++;
        entry.shown = shown;
        changes.listing.caches.push_back(entry.told);
        changes.listing.caches.back().entry.state = shown;
    }
    for (auto& key : std::exchange(untold_purges, {})) {
        auto found = facts.find(key);
        if (found == facts.end() || !std::exchange(found->second.to_do, false)) continue;
        auto& fact = found->second.fact;
        changes.purges.push_back({fact.subject == FactSubject::Object ? fact.key : 0,
                                  fact.subject == FactSubject::Group ? static_cast<int>(fact.key) : 0,
                                  static_cast<Micros>(fact.time) * ms});
    }
    forget_what_is_over(now);
    return changes;
}

// ---- telling

bool ReplicatedFacts::current(const Known& known, Micros now) {
    return !known.lapsed && in_ms(now) <= known.fact.first_heard + in_ms(gossip_lifetime);
}

bool ReplicatedFacts::has_unsent() const {
    return !waiting.empty() && waiting.rbegin()->left > times - told_at_once;
}

// Guards against a cost that grows with what waits: a burst of purges fills the queue, and this is asked for
// each datagram.
std::vector<Fact> ReplicatedFacts::next_to_send(std::size_t max_count, Micros now, RouterIndex to) {
    std::vector<Fact> told;
    std::vector<Key> taken;
    while (taken.size() < max_count && !waiting.empty()) {
        auto key = waiting.rbegin()->key;
        auto& known = facts.at(key);
        auto left = known.left;
        set_left(key, known, 0);
        if (!current(known, now)) continue;
        taken.push_back(key);
        // Guards against tellings used up on who knows it, and may be cut off. In a tier of two there is
        // nobody else, so it is passed over a bounded number of times.
        bool knows_it = to != no_router && known.teller == to && known.passed_over < told_at_once;
        if (knows_it)
            known.passed_over++;
        else
            told.push_back(known.fact);
        known.left = knows_it ? left : left - 1;  // in the queue again below, lest it is told twice at once
    }
    for (auto& key : taken) {
        auto& known = facts.at(key);
        set_left(key, known, std::exchange(known.left, 0));
    }
    return told;
}

void ReplicatedFacts::restore_unsent(const Fact& fact) {
    auto found = facts.find({fact.subject, fact.key});
    if (found == facts.end() || found->second.left >= times) return;
    set_left(found->first, found->second, found->second.left + 1);
}

std::uint32_t ReplicatedFacts::digest(Micros now) const {
    std::uint32_t sum = 0;
    for (auto& [key, known] : facts) {
        auto& fact = known.fact;
        if (!current(known, now) || in_ms(now) < fact.first_heard + in_ms(settled)) continue;
        const std::array<std::uint64_t, 3> words = {
            fact.key, fact.time, static_cast<std::uint64_t>(fact.subject) * 2 + (fact.gone ? 1 : 0)};
        sum += XXH32(words.data(), sizeof words, 0);
    }
    return sum;
}

std::vector<Fact> ReplicatedFacts::next_in_rotation(std::size_t max_count, Micros now) {
    std::vector<Fact> told;
    auto at = facts.upper_bound(turn);
    for (std::size_t i = 0; i < facts.size() && told.size() < max_count; i++) {
        if (at == facts.end()) at = facts.begin();
        if (current(at->second, now)) told.push_back(at->second.fact);
        turn = at->first;
        at++;
    }
    return told;
}

const Fact* ReplicatedFacts::find(FactSubject about, std::uint64_t key) const {
    auto found = facts.find({about, key});
    return found == facts.end() ? nullptr : &found->second.fact;
}

}  // namespace quillgrade::shared
