#include "shared/facts.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <tuple>

namespace quillgrade::shared {

namespace {

constexpr Micros ms = 1000, second = 1000 * ms, digest_delay = 150 * ms;
constexpr int urgent_sends = 3;

std::uint64_t to_ms(Micros time) { return time > 0 ? static_cast<std::uint64_t>(time / ms) : 0; }

}  // namespace

bool supersedes(const Fact& one, const Fact& other) {
    // Of two facts that are otherwise the same, the one first heard earlier wins, so that all routers hold
    // it.
    return std::tuple(one.time, one.gone, other.first_heard) >
           std::tuple(other.time, other.gone, one.first_heard);
}

ReplicatedFacts::ReplicatedFacts(Micros purge_done, int routers)
    : purge_done(purge_done), sends_per_fact(3 + static_cast<int>(std::ceil(std::log(routers + 1.0)))) {}

// ---- from this router's own coordinator

feed::Listing ReplicatedFacts::apply_listing(feed::Listing listing, Micros now) {
    std::set<CacheId> listed_ids;
    for (auto& endpoint : listing.caches) {
        auto& entry = endpoint.entry;
        listed_ids.insert(entry.id);
        learn(entry.id, to_ms(entry.started_at), entry.state, now);
        if (entry.state == EndpointState::Gone) {
            servers.erase(entry.id);
            continue;
        }
        auto previous = servers.find(entry.id);
        bool closed = previous != servers.end() &&
                      previous->second.endpoint.entry.state == EndpointState::Ready &&
                      previous->second.reported != EndpointState::Ready;
        auto& server = servers[entry.id];
        server.endpoint = endpoint;
        entry.state = server.reported = effective_state(server, coordinator_live_since, now);
        if (closed && entry.state == EndpointState::Ready && reopened.size() < max_facts)
            reopened.push_back(entry.id);
    }
    if (!listing.complete) return listing;
    for (auto server = servers.begin(); server != servers.end();) {
        if (listed_ids.contains(server->first)) {
            server++;
            continue;
        }
        learn(server->first, to_ms(server->second.endpoint.entry.started_at), EndpointState::Gone, now);
        server = servers.erase(server);
    }
    return listing;
}

void ReplicatedFacts::learn(CacheId id, std::uint64_t start, EndpointState listed, Micros now) {
    auto found = records.find({FactSubject::Server, id});
    if (listed == EndpointState::Ready) {
        // The coordinator has taken back what it said, so the fact lapses on this router.
        if (found != records.end() && found->second.own && found->second.fact.time <= start) {
            found->second.own = false;
            found->second.lapsed = true;
            set_sends_left(found->first, found->second, 0);
        }
        return;
    }
    // The first list after a start may hold drains and ends from long ago, which other routers hold already.
    insert_or_update({FactSubject::Server, id, start, listed == EndpointState::Gone, to_ms(now)}, true, now);
}

void ReplicatedFacts::record_purge(const feed::PurgeNotice& notice, Micros now) {
    auto key = notice.object ? Key{FactSubject::Object, notice.object}
                             : Key{FactSubject::Group, static_cast<std::uint64_t>(notice.group)};
    insert_or_update({key.first, key.second, to_ms(notice.at), false, to_ms(now)}, true, now);
}

// ---- from other routers

bool ReplicatedFacts::receive(const Fact& fact, Micros now, RouterIndex from) {
    if (fact.subject != FactSubject::Server && fact.time > to_ms(now + max_clock_skew)) return false;
    auto* record = insert_or_update(fact, false, now);
    if (!record) return false;
    record->first_sender = from;
    if (fact.subject != FactSubject::Server && !std::exchange(record->purge_pending, true))
        pending_purges.emplace_back(fact.subject, fact.key);
    return true;
}

ReplicatedFacts::Record* ReplicatedFacts::insert_or_update(const Fact& received, bool own, Micros now) {
    auto fact = received;
    // A clock that is ahead stamps facts in the future; such a fact counts as first heard now.
    fact.first_heard = std::min(fact.first_heard, to_ms(now));
    Key key{fact.subject, fact.key};
    auto found = records.find(key);
    if (found == records.end()) {
        if (records.size() >= max_facts && !own) {
            refused_count++;
            return nullptr;
        }
        // Guards against growing memory: a fact of this router's own coordinator replaces the oldest one.
        if (records.size() >= max_facts) erase(records.find(by_sequence.begin()->second));
        found = records.emplace(key, Record{fact}).first;
    } else {
        auto& record = found->second;
        if (own && record.fact.time == fact.time && record.fact.gone == fact.gone) record.own = true;
        if (!supersedes(fact, record.fact)) return nullptr;
        bool changed = record.fact.time != fact.time || record.fact.gone != fact.gone;
        if (!changed) {  // only first heard earlier
            record.fact = fact;
            return nullptr;
        }
        remove_from_indexes(key, record);
        record.fact = fact;
        record.lapsed = false;
    }
    auto& record = found->second;
    record.own = own;
    record.first_sender = no_router;
    record.times_withheld = 0;
    record.updated_at = now;
    record.sequence = ++last_sequence;
    add_to_indexes(key, record);
    return &record;
}

void ReplicatedFacts::remove_from_indexes(const Key& key, Record& record) {
    set_sends_left(key, record, 0);
    by_sequence.erase(record.sequence);
    if (key.first != FactSubject::Server) purge_expiries.erase({expiry_ms(record.fact), key});
}

void ReplicatedFacts::add_to_indexes(const Key& key, Record& record) {
    set_sends_left(key, record, sends_per_fact);
    by_sequence.emplace(record.sequence, key);
    if (key.first != FactSubject::Server) purge_expiries.emplace(expiry_ms(record.fact), key);
}

void ReplicatedFacts::set_sends_left(const Key& key, Record& record, int sends_left) {
    if (record.sends_left > 0) send_queue.erase({record.sends_left, record.sequence, key});
    record.sends_left = sends_left;
    if (sends_left > 0) send_queue.insert({sends_left, record.sequence, key});
}

ReplicatedFacts::Iterator ReplicatedFacts::erase(Iterator position) {
    remove_from_indexes(position->first, position->second);
    return records.erase(position);
}

std::uint64_t ReplicatedFacts::expiry_ms(const Fact& purge) const {
    return purge.time + to_ms(purge_done + 2 * second);
}

void ReplicatedFacts::erase_expired(Micros now) {
    while (!purge_expiries.empty() && to_ms(now) > purge_expiries.begin()->first)
        erase(records.find(purge_expiries.begin()->second));
    // Facts about servers sort before all purges. One is kept as long as it closes a listed server here.
    static_assert(FactSubject::Server < FactSubject::Object && FactSubject::Server < FactSubject::Group);
    for (auto record = records.begin();
         record != records.end() && record->first.first == FactSubject::Server;) {
        bool over = !is_current(record->second, now) && !servers.contains(record->first.second);
        record = over ? erase(record) : std::next(record);
    }
}

// ---- effect on the routing module

// Whether no other server of the same kind and zone is open.
bool ReplicatedFacts::is_last_of_its_role(const ListedServer& server) const {
    for (auto& [id, other] : servers)
        if (id != server.endpoint.entry.id && other.reported == EndpointState::Ready &&
            other.endpoint.entry.kind == server.endpoint.entry.kind &&
            other.endpoint.entry.zone == server.endpoint.entry.zone)
            return false;
    return true;
}

EndpointState ReplicatedFacts::effective_state(const ListedServer& server, Micros live_since, Micros now) {
    auto& entry = server.endpoint.entry;
    if (entry.state != EndpointState::Ready) return entry.state;
    auto found = records.find({FactSubject::Server, entry.id});
    if (found == records.end()) return entry.state;
    auto& record = found->second;
    // A fact about an earlier process of the server does not apply to this one.
    if (record.fact.time < to_ms(entry.started_at)) return entry.state;
    if (record.own) return entry.state;  // the list that says ready is the newer one
    if (!record.lapsed) {
        Micros contradicted_since = std::max(record.updated_at, live_since);
        bool disconnected = live_since == 0;
        if (!disconnected && now - contradicted_since >= contradiction_timeout) record.lapsed = true;
    }
    if (record.lapsed) return entry.state;
    // The last open server of a zone is closed by other routers' reports only while this router does not
    // hear its own coordinator.
    if (live_since > 0 && server.reported == EndpointState::Ready && is_last_of_its_role(server))
        return entry.state;
    return EndpointState::Draining;
}

ReplicatedFacts::Changes ReplicatedFacts::tick(Micros live_since, Micros now) {
    Changes changes;
    changes.reopened = std::exchange(reopened, {});
    coordinator_live_since = live_since;
    for (auto& [id, server] : servers) {
        auto state = effective_state(server, live_since, now);
        if (state == server.reported) continue;
        (state == EndpointState::Ready ? changes.opened : changes.closed)++;
        server.reported = state;
        changes.listing.caches.push_back(server.endpoint);
        changes.listing.caches.back().entry.state = state;
    }
    for (auto& key : std::exchange(pending_purges, {})) {
        auto found = records.find(key);
        if (found == records.end() || !std::exchange(found->second.purge_pending, false)) continue;
        auto& fact = found->second.fact;
        changes.purges.push_back({fact.subject == FactSubject::Object ? fact.key : 0,
                                  fact.subject == FactSubject::Group ? static_cast<int>(fact.key) : 0,
                                  static_cast<Micros>(fact.time) * ms});
    }
    erase_expired(now);
    return changes;
}

// ---- sending

bool ReplicatedFacts::is_current(const Record& record, Micros now) {
    return !record.lapsed && to_ms(now) <= record.fact.first_heard + to_ms(gossip_lifetime);
}

bool ReplicatedFacts::has_unsent() const {
    return !send_queue.empty() && send_queue.rbegin()->sends_left > sends_per_fact - urgent_sends;
}

// Runs for each datagram. The ordered queue guards against a cost that grows with the number of queued facts,
// as a burst of purges fills the queue.
std::vector<Fact> ReplicatedFacts::next_to_send(std::size_t max_count, Micros now, RouterIndex to) {
    std::vector<Fact> facts;
    std::vector<Key> taken;
    while (taken.size() < max_count && !send_queue.empty()) {
        auto key = send_queue.rbegin()->key;
        auto& record = records.at(key);
        auto sends_left = record.sends_left;
        set_sends_left(key, record, 0);
        if (!is_current(record, now)) continue;
        taken.push_back(key);
        // Guards against using up the sends on the router that sent the fact, which may be cut off. In a tier
        // of two there is no other router, so it is withheld a bounded number of times.
        bool withheld = to != no_router && record.first_sender == to && record.times_withheld < urgent_sends;
        if (withheld)
            record.times_withheld++;
        else
            facts.push_back(record.fact);
        // Queued again only below, so that one datagram does not hold the fact twice.
        record.sends_left = withheld ? sends_left : sends_left - 1;
    }
    for (auto& key : taken) {
        auto& record = records.at(key);
        set_sends_left(key, record, std::exchange(record.sends_left, 0));
    }
    return facts;
}

void ReplicatedFacts::restore_unsent(const Fact& fact) {
    auto found = records.find({fact.subject, fact.key});
    if (found == records.end() || found->second.sends_left >= sends_per_fact) return;
    set_sends_left(found->first, found->second, found->second.sends_left + 1);
}

std::uint32_t ReplicatedFacts::digest(Micros now) const {
    std::uint32_t sum = 0;
    for (auto& [key, record] : records) {
        auto& fact = record.fact;
        if (!is_current(record, now) || to_ms(now) < fact.first_heard + to_ms(digest_delay)) continue;
        const std::array<std::uint64_t, 3> words = {
            fact.key, fact.time, static_cast<std::uint64_t>(fact.subject) * 2 + (fact.gone ? 1 : 0)};
        sum += XXH32(words.data(), sizeof words, 0);
    }
    return sum;
}

std::vector<Fact> ReplicatedFacts::next_in_rotation(std::size_t max_count, Micros now) {
    std::vector<Fact> facts;
    auto at = records.upper_bound(rotation_cursor);
    for (std::size_t i = 0; i < records.size() && facts.size() < max_count; i++) {
        if (at == records.end()) at = records.begin();
        if (is_current(at->second, now)) facts.push_back(at->second.fact);
        rotation_cursor = at->first;
        at++;
    }
    return facts;
}

const Fact* ReplicatedFacts::find(FactSubject subject, std::uint64_t key) const {
    auto found = records.find({subject, key});
    return found == records.end() ? nullptr : &found->second.fact;
}

}  // namespace quillgrade::shared
