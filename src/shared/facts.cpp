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

bool newer(const Fact& one, const Fact& other) {
    // The earlier birth of two that are else the same, so that all hold the same one.
    return std::tuple(one.time, one.gone, other.born) > std::tuple(other.time, other.gone, one.born);
}

Facts::Facts(Micros purge_done, int routers)
    : purge_done(purge_done), times(3 + static_cast<int>(std::ceil(std::log(routers + 1.0)))) {}

// ---- what this router's own sources say

feed::Listing Facts::listed(feed::Listing told, Micros now) {
    std::set<CacheId> named;
    for (auto& endpoint : told.caches) {
        auto& entry = endpoint.entry;
        named.insert(entry.id);
        own(entry.id, in_ms(entry.started), entry.listed, now);
        if (entry.listed == Listed::Gone) {
            servers.erase(entry.id);
            continue;
        }
        auto known = servers.find(entry.id);
        bool closed = known != servers.end() && known->second.told.entry.listed == Listed::Ready &&
                      known->second.shown != Listed::Ready;
        auto& kept = servers[entry.id];
        kept.told = endpoint;
        entry.listed = kept.shown = narrowed(kept, heard_live, now);
        if (closed && entry.listed == Listed::Ready && reopened.size() < most) reopened.push_back(entry.id);
    }
    if (!told.complete) return told;
    for (auto server = servers.begin(); server != servers.end();) {
        if (named.contains(server->first)) {
            server++;
            continue;
        }
        own(server->first, in_ms(server->second.told.entry.started), Listed::Gone, now);
        server = servers.erase(server);
    }
    return told;
}

void Facts::own(CacheId id, std::uint64_t start, Listed listed, Micros now) {
    auto found = facts.find({About::Server, id});
    if (listed == Listed::Ready) {
        // Taken back by those who said it: it is no fact any more, here.
        if (found != facts.end() && found->second.own && found->second.fact.time <= start) {
            found->second.own = false;
            found->second.lapsed = true;
            found->second.left = 0;
        }
        return;
    }
    // What is long over where the router starts is known to all.
    enter({About::Server, id, start, listed == Listed::Gone, in_ms(now)}, true, now);
}

void Facts::purged(const feed::PurgeNotice& notice, Micros now) {
    auto key = notice.object ? Key{About::Object, notice.object}
                             : Key{About::Group, static_cast<std::uint64_t>(notice.group)};
    enter({key.first, key.second, in_ms(notice.at), false, in_ms(now)}, true, now);
}

// ---- what others say

bool Facts::hear(const Fact& fact, Micros now) {
    if (fact.about != About::Server && fact.time > in_ms(now + clocks_apart)) return false;
    auto* known = enter(fact, false, now);
    if (known) known->to_do = true;
    return known != nullptr;
}

Facts::Known* Facts::enter(const Fact& told, bool own, Micros now) {
    auto fact = told;
    // One born in the future, as a clock ahead has it, is as old as can be said here.
    fact.born = std::min(fact.born, in_ms(now));
    Key key{fact.about, fact.key};
    auto found = facts.find(key);
    if (found == facts.end()) {
        if (facts.size() >= most && !own) {
            seen_refused++;
            return nullptr;
        }
        // Guards against memory that grows: what this router was told itself takes the place of the oldest.
        if (facts.size() >= most)
            facts.erase(std::min_element(facts.begin(), facts.end(),
                                         [](auto& a, auto& b) { return a.second.heard < b.second.heard; }));
        found = facts.emplace(key, Known{fact}).first;
    } else {
        auto& known = found->second;
        if (own && known.fact.time == fact.time && known.fact.gone == fact.gone) known.own = true;
        if (!newer(fact, known.fact)) return nullptr;
        bool more = known.fact.time != fact.time || known.fact.gone != fact.gone;
        known.fact = fact;
        if (!more) return nullptr;  // only its birth
        known.own = known.lapsed = false;
    }
    auto& known = found->second;
    known.own = own;
    known.heard = now;
    if (known.left == 0) waiting.push_back(key);
    known.left = times;
    return &known;
}

// ---- what follows for the router

// Whether no other server of its role and location is open here.
bool Facts::last_of_its_role(const Entry& entry) const {
    for (auto& [id, other] : servers)
        if (id != entry.told.entry.id && other.shown == Listed::Ready &&
            other.told.entry.kind == entry.told.entry.kind && other.told.entry.zone == entry.told.entry.zone)
            return false;
    return true;
}

Listed Facts::narrowed(const Entry& entry, Micros live, Micros now) {
    auto& told = entry.told.entry;
    if (told.listed != Listed::Ready) return told.listed;
    auto found = facts.find({About::Server, told.id});
    if (found == facts.end()) return told.listed;
    auto& known = found->second;
    // What was said of an earlier process is nothing against this one.
    if (known.fact.time < in_ms(told.started)) return told.listed;
    if (known.own) return told.listed;  // and the list was right after it
    if (!known.lapsed) {
        Micros since = std::max(known.heard, live);
        bool deaf = live == 0;
        if (!deaf && now - since >= contradicted) known.lapsed = true;
    }
    if (known.lapsed) return told.listed;
    // A location's last path is shut by hearsay only where nothing better can be heard.
    if (live > 0 && entry.shown == Listed::Ready && last_of_its_role(entry)) return told.listed;
    return Listed::Draining;
}

Facts::Changes Facts::pass(Micros live, Micros now) {
    Changes changes;
    changes.reopened = std::exchange(reopened, {});
    heard_live = live;
    for (auto& [id, entry] : servers) {
        auto shown = narrowed(entry, live, now);
        if (shown == entry.shown) continue;
        (shown == Listed::Ready ? changes.opened : changes.closed)++;
        entry.shown = shown;
        changes.listing.caches.push_back(entry.told);
        changes.listing.caches.back().entry.listed = shown;
    }
    for (auto known = facts.begin(); known != facts.end();) {
        auto& fact = known->second.fact;
        if (std::exchange(known->second.to_do, false) && fact.about != About::Server)
            changes.purges.push_back({fact.about == About::Object ? fact.key : 0,
                                      fact.about == About::Group ? static_cast<int>(fact.key) : 0,
                                      static_cast<Micros>(fact.time) * ms});
        // A server's is kept as long as it closes the server here.
        bool over = fact.about == About::Server ? !current(known->second, now) && !servers.contains(fact.key)
                                                : in_ms(now) > fact.time + in_ms(purge_done + 2 * second);
        known = over ? facts.erase(known) : std::next(known);
    }
    return changes;
}

// ---- telling

bool Facts::current(const Known& known, Micros now) {
    return !known.lapsed && in_ms(now) <= known.fact.born + in_ms(told_for);
}

bool Facts::news() const {
    return std::any_of(waiting.begin(), waiting.end(), [this](auto& key) {
        auto found = facts.find(key);
        return found != facts.end() && found->second.left > times - told_at_once;
    });
}

std::vector<Fact> Facts::next(std::size_t most_now, Micros now) {
    std::vector<Fact> told;
    std::vector<Key> rest;
    for (auto key = waiting.rbegin(); key != waiting.rend(); key++) {
        auto found = facts.find(*key);
        if (found == facts.end() || found->second.left <= 0 || !current(found->second, now)) continue;
        if (told.size() < most_now) {
            told.push_back(found->second.fact);
            found->second.left--;
        }
        if (found->second.left > 0) rest.push_back(*key);
    }
    // Those told least often first, the newest before others.
    std::stable_sort(rest.begin(), rest.end(),
                     [&](auto& a, auto& b) { return facts.at(a).left < facts.at(b).left; });
    waiting = std::move(rest);
    return told;
}

void Facts::untold(const Fact& fact) {
    auto found = facts.find({fact.about, fact.key});
    if (found == facts.end() || found->second.left >= times) return;
    if (found->second.left++ == 0) waiting.push_back(found->first);
}

std::uint32_t Facts::digest(Micros now) const {
    std::uint32_t sum = 0;
    for (auto& [key, known] : facts) {
        auto& fact = known.fact;
        if (!current(known, now) || in_ms(now) < fact.born + in_ms(settled)) continue;
        const std::array<std::uint64_t, 3> words = {
            fact.key, fact.time, static_cast<std::uint64_t>(fact.about) * 2 + (fact.gone ? 1 : 0)};
        sum += XXH32(words.data(), sizeof words, 0);
    }
    return sum;
}

std::vector<Fact> Facts::in_turn(std::size_t most_now, Micros now) {
    std::vector<Fact> told;
    auto at = facts.upper_bound(turn);
    for (std::size_t i = 0; i < facts.size() && told.size() < most_now; i++) {
        if (at == facts.end()) at = facts.begin();
        if (current(at->second, now)) told.push_back(at->second.fact);
        turn = at->first;
        at++;
    }
    return told;
}

const Fact* Facts::find(About about, std::uint64_t key) const {
    auto found = facts.find({about, key});
    return found == facts.end() ? nullptr : &found->second.fact;
}

}  // namespace quillgrade::shared
