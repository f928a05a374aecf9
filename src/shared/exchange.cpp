#include "shared/exchange.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace quillgrade::shared {

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;
constexpr Micros posted_for = 400 * ms;  // an ask or a grant that found no datagram until then is dropped
constexpr Micros spare_every = 200 * ms, mend_every = 400 * ms, fresh_complaint = 1500 * ms,
                 differed_for = 10 * second;
constexpr std::size_t facts_a_datagram = 10, complaints_a_datagram = 4, counts_a_datagram = 12,
                      most_posted = 8;
// How far this machine's clock may be ahead of the one that told a server's start.
constexpr Micros clocks_apart = 250 * ms;
constexpr double spare_datagram = 120;  // bytes, about

QuotaOptions quota_terms(const peers::Membership& membership, const ExchangeOptions& terms,
                         RouterIndex self) {
    QuotaOptions made;
    made.self = self;
    made.routers = membership.routers();
    made.grantors = terms.grantors;
    made.window = terms.settings.cold_budget_window;
    made.lease_duration = terms.lease_duration;
    made.seed = terms.seed;
    made.now = terms.now.steady;
    return made;
}

// Of all that has to be alike for the bound on quotas to hold.
std::uint32_t hash_of(const peers::Membership& membership, const ExchangeOptions& terms) {
    auto& settings = terms.settings;
    const std::array words = {1.0,  // of this form
                              static_cast<double>(membership.routers()),
                              static_cast<double>(terms.grantors),
                              static_cast<double>(terms.lease_duration),
                              settings.cold_initial_share,
                              settings.cold_budget_multiple,
                              settings.parent_cold_initial_share,
                              settings.parent_cold_budget_multiple,
                              static_cast<double>(settings.cold_period),
                              static_cast<double>(settings.cold_budget_window),
                              static_cast<double>(settings.parent_cold_period)};
    return std::max(1U, XXH32(words.data(), sizeof words, 0));
}

}  // namespace

Exchange::Exchange(peers::Membership& membership, const ExchangeOptions& terms)
    : membership(membership),
      terms(terms),
      hash(hash_of(membership, terms)),
      facts(terms.settings.purge_retention, membership.routers()),
      quotas(quota_terms(membership, terms, membership.own_number())),
      request_counts(membership.own_number(), membership.routers()),
      unlike(static_cast<std::size_t>(membership.routers())),
      last(terms.now) {
    membership.set_piggyback(this);
}

Exchange::~Exchange() { membership.set_piggyback(nullptr); }

// ---- what comes

void Exchange::unload(RouterIndex from, Generation life, std::string_view bytes, Micros /*now*/) {
    auto load = decode(bytes, last.unix);
    if (load)
        take(from, life, *load, last);
    else
        seen.malformed++;
}

void Exchange::take(RouterIndex from, Generation life, const Payload& load, const ClockReadings& now) {
    if (terms.features.facts) {
        for (auto& fact : load.facts) seen.facts_received += facts.receive(fact, now.unix, from);
        if (load.digest != facts.digest(now.unix)) unlike[static_cast<std::size_t>(from)] = true;
    }
    if (terms.features.quotas) {
        // Guards against two sizes of the whole: who goes by other amounts is neither lent to nor borrowed
        // from.
        bool alike = load.configuration_hash == hash;
        if (!alike) {
            seen.configuration_mismatches++;
            differed_at = now.steady;
        }
        if (alike)
            for (auto& ask : load.asks) quotas.handle_ask(from, life, ask, now.steady);
        if (alike)
            for (auto& grant : load.grants) quotas.handle_grant(from, grant, now.steady);
    }
    if (terms.features.health_reports && !load.complaints.empty()) {
        auto view = membership.view(from, now.unix);
        double trust = view.state == peers::State::Alive && !view.unhealthy ? 1 : 0.25;
        for (auto& one : load.complaints) {
            health_reports.receive(from, view.zone, trust, load.breadth, one, now.unix);
            seen.complaints_received++;
        }
    }
    if (terms.features.request_counts)
        for (auto& one : load.counts) seen.counts_received += request_counts.receive(one, now.unix);
}

// ---- what this router's own sources say

feed::Listing Exchange::apply_listing(feed::Listing told, const ClockReadings& now) {
    last = now;
    if (terms.features.quotas && terms.settings.weights_are_link_rates) {
        // Parents only: all routers share them, so one's part is small. A location's caches have few routers,
        // whose parts are a lookup or more, and what they see answered raises them: pooled they were used
        // less (docs/results.md).
        if (told.complete) cold.clear();
        for (auto& endpoint : told.caches) {
            auto& entry = endpoint.entry;
            bool warm = entry.started_at <= 0 || now.unix >= entry.started_at + parent_cold();
            if (!is_parent(entry) || entry.state == EndpointState::Gone || warm)
                cold.erase(entry.id);
            else
                cold[entry.id] = entry;
        }
    }
    return terms.features.facts ? facts.apply_listing(std::move(told), now.unix) : told;
}

void Exchange::record_purge(const feed::PurgeNotice& notice, const ClockReadings& now) {
    if (terms.features.facts) facts.record_purge(notice, now.unix);
}

ReplicatedFacts::Changes Exchange::tick(Micros live, const ClockReadings& now) {
    last = now;
    if (!cold.empty()) {
        std::vector<ColdServer> told;
        std::erase_if(cold, [&](auto& known) {
            auto& entry = known.second;
            auto age = now.unix - entry.started_at;
            if (age >= parent_cold()) return true;
            // As it stands at the end of a window: what is used now is weighed against all of the window
            // before.
            auto grown = age + terms.settings.cold_budget_window - clocks_apart;
            told.push_back({entry.id, static_cast<std::uint64_t>(entry.started_at / ms),
                            total_cold_budget(terms.settings, true, entry.weight, grown)});
            return false;
        });
        quotas.set_cold_servers(told, now.steady);
        auto there = [&](RouterIndex who) {
            auto state = membership.state(who);
            return state == peers::State::Alive || state == peers::State::Suspected;
        };
        for (auto& [to, grant] : quotas.issue_grants(now.steady)) {
            auto& post = out[to];
            if (post.grants.size() < most_posted) post.grants.push_back(grant);
            post.at = now.steady;
        }
        for (auto& [to, ask] : quotas.due_asks(there, now.steady)) {
            auto& post = out[to];
            if (post.asks.size() < most_posted) post.asks.push_back(ask);
            post.at = now.steady;
        }
    }
    // Each that is written to has its datagram at once while there are bytes; else it rides on the next one.
    for (auto post = out.begin(); post != out.end();) {
        bool empty = post->second.asks.empty() && post->second.grants.empty();
        if (!empty) membership.send_piggyback(post->first, true, now.unix);
        empty = post->second.asks.empty() && post->second.grants.empty();
        bool old = now.steady - post->second.at >= posted_for;
        post = empty || old ? out.erase(post) : std::next(post);
    }
    tell_facts(now);
    if (terms.features.request_counts && !facts_wait && now.unix >= spare_at &&
        membership.spare_bytes(now.unix) > spare_datagram && request_counts.has_unsent()) {
        membership.send_piggyback(1, membership.own_zone(), false, now.unix);
        spare_at = now.unix + spare_every;
    }
    if (now.unix >= expire_at) {
        health_reports.expire(now.unix);
        expire_at = now.unix + second / 2;
    }
    return terms.features.facts ? facts.tick(live, now.unix) : ReplicatedFacts::Changes{};
}

// News of drains and purges does not wait for a probe: three others at once, and each that hears it for the
// first time does the same, as with news of the membership.
void Exchange::tell_facts(const ClockReadings& now) {
    facts_wait = false;
    if (!terms.features.facts) return;
    if (facts.has_unsent()) {
        facts_wait = !membership.send_piggyback(3, -1, true, now.unix);
        return;
    }
    // Guards against a router that is never told, as those who know use up their bytes on somebody who is cut
    // off. Who knows of no fact speaks up too: its next datagrams may have no room for its digest.
    if (now.unix < mend_at) return;
    auto behind = std::find(unlike.begin(), unlike.end(), true);
    if (behind == unlike.end()) return;
    auto who = static_cast<RouterIndex>(behind - unlike.begin());
    if (membership.state(who) != peers::State::Alive)
        *behind = false;  // a datagram of its own says so anew
    else if (membership.send_piggyback_or_reserve(who, now.unix))
        mend_at = now.unix + mend_every;
    else
        facts_wait = true;
}

// ---- quotas

// Guards against a router whose clock is ahead: by it the cold time would end early, and what it sends until
// the true end would be bounded by nothing.
Micros Exchange::parent_cold() const {
    bool shared = terms.features.quotas && terms.settings.weights_are_link_rates;
    return terms.settings.parent_cold_period + (shared ? clocks_apart : 0);
}

std::vector<CacheId> Exchange::cold_servers() const {
    std::vector<CacheId> all;
    for (auto& [id, entry] : cold) all.push_back(id);
    return all;
}

double Exchange::available_quota(CacheId server, const ClockReadings& now) {
    return cold.contains(server) ? quotas.available(server, now.steady) : -1;
}
Micros Exchange::consume(CacheId server, double work, Micros tag, const ClockReadings& now) {
    return quotas.consume(server, work, tag, now.steady);
}
void Exchange::refund(CacheId server, double work, Micros tag, const ClockReadings& now) {
    quotas.refund(server, work, tag, now.steady);
}
void Exchange::record_unmet_demand(CacheId server, double work, double usual, const ClockReadings& now) {
    quotas.record_unmet_demand(server, work, usual, now.steady);
}
bool Exchange::configuration_mismatch_seen(const ClockReadings& now) const {
    return differed_at > 0 && now.steady - differed_at < differed_for;
}

// ---- judgements

void Exchange::report_health(const std::vector<HealthReport>& told, int measured, const ClockReadings& now) {
    if (!terms.features.health_reports) return;
    bool news = false;
    for (auto& one : told)
        news |= std::none_of(complaints.begin(), complaints.end(),
                             [&](auto& known) { return known.server == one.server; });
    complaints.clear();
    for (auto& one : told)
        complaints.push_back({one.server, static_cast<std::uint32_t>(one.started_at / ms), one.samples,
                              one.failure_share, one.slowdown, 0});
    breadth = {measured, static_cast<int>(told.size())};
    complaints_at = now.unix;
    if (news) membership.send_piggyback(3, membership.own_zone(), true, now.unix);
}

PeerHealthReport Exchange::peer_health(CacheId server, Micros started, const ClockReadings& now) const {
    return health_reports.aggregate(server, static_cast<std::uint64_t>(started / ms), now.unix);
}

// ---- counts

int Exchange::count_request(ObjectId object, const ClockReadings& now) {
    return terms.features.request_counts ? request_counts.count_request(object, now.unix) : 0;
}

int Exchange::alive_routers_in_zone() const {
    if (!terms.features.request_counts) return 1;
    int count = 1;
    for (RouterIndex who = 0; who < membership.routers(); who++)
        if (who != membership.own_number() && membership.state(who) == peers::State::Alive &&
            membership.zone_of(who) == membership.own_zone())
            count++;
    return count;
}

// ---- what rides along

std::string Exchange::load(RouterIndex to, std::size_t room, Micros now) {
    Payload load;
    load.configuration_hash = terms.features.quotas ? hash : 0;
    load.digest = terms.features.facts ? facts.digest(now) : 0;
    auto post = out.find(to);
    if (post != out.end()) {
        load.grants = post->second.grants;
        load.asks = post->second.asks;
    }
    auto place = static_cast<std::size_t>(to);
    // Guards against a router without facts that nobody hears say so: without quotas its payload would be
    // empty, and an empty one is not heard.
    load.send_if_empty = terms.features.facts && unlike[place];
    std::size_t news = 0;
    if (terms.features.facts) {
        load.facts = facts.next_to_send(facts_a_datagram, now, to);
        news = load.facts.size();
        if (unlike[place])
            for (auto& fact : facts.next_in_rotation(facts_a_datagram - news, now))
                load.facts.push_back(fact);
    }
    bool neighbour = membership.zone_of(to) == membership.own_zone();
    if (terms.features.health_reports && now - complaints_at < fresh_complaint)
        for (std::size_t i = 0; i < std::min(complaints.size(), complaints_a_datagram); i++) {
            auto one = complaints[(complaint_turn + i) % complaints.size()];
            one.age = now - complaints_at;
            load.complaints.push_back(one);
        }
    complaint_turn += load.complaints.size();
    load.breadth = breadth;
    // Guards against counts that take the bytes saved up for facts: the membership gives all its room then.
    if (terms.features.request_counts && neighbour && !facts_wait)
        load.counts = request_counts.next_to_send(counts_a_datagram, now);
    auto fitted = encode(load, room, now);
    for (auto i = fitted.facts; i < news; i++) facts.restore_unsent(load.facts[i]);
    if (fitted.facts == load.facts.size()) unlike[place] = false;
    for (auto i = fitted.counts; i < load.counts.size(); i++)
        request_counts.restore_unsent(load.counts[i].name);
    if (post != out.end()) {
        auto& asks = post->second.asks;
        auto& grants = post->second.grants;
        asks.erase(asks.begin(), asks.begin() + static_cast<std::ptrdiff_t>(fitted.asks));
        grants.erase(grants.begin(), grants.begin() + static_cast<std::ptrdiff_t>(fitted.grants));
    }
    seen.payload_bytes += fitted.bytes.size();
    return fitted.bytes;
}

}  // namespace quillgrade::shared
