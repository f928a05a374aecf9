#include "shared/exchange.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>

namespace quillgrade::shared {

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;
// Asks and grants that were not sent within this time are dropped.
constexpr Micros outbox_timeout = 400 * ms;
constexpr Micros counts_interval = 200 * ms, repair_interval = 400 * ms, max_complaint_age = 1500 * ms,
                 mismatch_memory = 10 * second;
constexpr std::size_t max_facts_per_datagram = 10, max_complaints_per_datagram = 4,
                      max_counts_per_datagram = 12, max_queued_per_router = 8;
// How far this machine's clock may be ahead of the clock that stamped a server's start.
constexpr Micros max_clock_lead = 250 * ms;
constexpr double counts_datagram_bytes = 120;  // approximately

QuotaOptions quota_options(const peers::Membership& membership, const ExchangeOptions& options,
                           RouterIndex self) {
    QuotaOptions made;
    made.self = self;
    made.routers = membership.routers();
    made.grantors = options.grantors;
    made.window = options.settings.cold_budget_window;
    made.lease_duration = options.lease_duration;
    made.seed = options.seed;
    made.now = options.now.steady;
    return made;
}

// A hash of all settings that have to be the same on all routers for the bound on quotas to hold.
std::uint32_t hash_configuration(const peers::Membership& membership, const ExchangeOptions& options) {
    auto& settings = options.settings;
    const std::array values = {1.0,  // version of this list
                               static_cast<double>(membership.routers()),
                               static_cast<double>(options.grantors),
                               static_cast<double>(options.lease_duration),
                               settings.cold_initial_share,
                               settings.cold_budget_multiple,
                               settings.parent_cold_initial_share,
                               settings.parent_cold_budget_multiple,
                               static_cast<double>(settings.cold_period),
                               static_cast<double>(settings.cold_budget_window),
                               static_cast<double>(settings.parent_cold_period)};
    return std::max(1U, XXH32(values.data(), sizeof values, 0));
}

}  // namespace

Exchange::Exchange(peers::Membership& membership, const ExchangeOptions& options)
    : membership(membership),
      options(options),
      configuration_hash(hash_configuration(membership, options)),
      facts(options.settings.purge_retention, membership.routers()),
      quotas(quota_options(membership, options, membership.own_number())),
      request_counts(membership.own_number(), membership.routers()),
      digest_differs(static_cast<std::size_t>(membership.routers())),
      current_time(options.now) {
    membership.set_piggyback(this);
}

Exchange::~Exchange() { membership.set_piggyback(nullptr); }

// ---- receiving

void Exchange::unload(RouterIndex from, Generation generation, std::string_view bytes, Micros /*now*/) {
    auto payload = decode(bytes, current_time.unix);
    if (payload)
        apply_payload(from, generation, *payload, current_time);
    else
        totals.malformed++;
}

void Exchange::apply_payload(RouterIndex from, Generation generation, const Payload& payload,
                             const ClockReadings& now) {
    if (options.features.facts) {
        for (auto& fact : payload.facts) totals.facts_received += facts.receive(fact, now.unix, from);
        if (payload.digest != facts.digest(now.unix)) digest_differs[static_cast<std::size_t>(from)] = true;
    }
    if (options.features.quotas) {
        // Guards against two sizes of one budget: a router with other settings neither lends to this one nor
        // borrows from it.
        bool matches = payload.configuration_hash == configuration_hash;
        if (!matches) {
            totals.configuration_mismatches++;
            mismatch_seen_at = now.steady;
        }
        if (matches)
            for (auto& ask : payload.asks) quotas.handle_ask(from, generation, ask, now.steady);
        if (matches)
            for (auto& grant : payload.grants) quotas.handle_grant(from, grant, now.steady);
    }
    if (options.features.health_reports && !payload.complaints.empty()) {
        auto view = membership.view(from, now.unix);
        double trust = view.state == peers::State::Alive && !view.unhealthy ? 1 : 0.25;
        for (auto& complaint : payload.complaints) {
            health_reports.receive(from, view.zone, trust, payload.breadth, complaint, now.unix);
            totals.complaints_received++;
        }
    }
    if (options.features.request_counts)
        for (auto& count : payload.counts) totals.counts_received += request_counts.receive(count, now.unix);
}

// ---- lists and purges of this router's own coordinator

feed::Listing Exchange::apply_listing(feed::Listing listing, const ClockReadings& now) {
    current_time = now;
    if (options.features.quotas && options.settings.weights_are_link_rates) {
        // Parents only: all routers share them, so the share of one router is small. The caches of a zone
        // are shared by few routers. Their shares are one lookup or more, and grow with the answers that a
        // router sees, so that pooled budgets were used less (docs/results.md).
        if (listing.complete) cold_parents.clear();
        for (auto& endpoint : listing.caches) {
            auto& entry = endpoint.entry;
            bool warm = entry.started_at <= 0 || now.unix >= entry.started_at + parent_cold();
            if (!is_parent(entry) || entry.state == EndpointState::Gone || warm)
                cold_parents.erase(entry.id);
            else
                cold_parents[entry.id] = entry;
        }
    }
    return options.features.facts ? facts.apply_listing(std::move(listing), now.unix) : listing;
}

void Exchange::record_purge(const feed::PurgeNotice& notice, const ClockReadings& now) {
    if (options.features.facts) facts.record_purge(notice, now.unix);
}

ReplicatedFacts::Changes Exchange::tick(Micros live_since, const ClockReadings& now) {
    current_time = now;
    if (!cold_parents.empty()) {
        std::vector<ColdServer> cold;
        std::erase_if(cold_parents, [&](auto& known) {
            auto& entry = known.second;
            auto age = now.unix - entry.started_at;
            if (age >= parent_cold()) return true;
            // The budget at the end of a window, as what is used now counts against all of the window
            // before that moment.
            auto age_at_window_end = age + options.settings.cold_budget_window - max_clock_lead;
            cold.push_back({entry.id, static_cast<std::uint64_t>(entry.started_at / ms),
                            total_cold_budget(options.settings, true, entry.weight, age_at_window_end)});
            return false;
        });
        quotas.set_cold_servers(cold, now.steady);
        auto is_reachable = [&](RouterIndex router) {
            auto state = membership.state(router);
            return state == peers::State::Alive || state == peers::State::Suspected;
        };
        for (auto& [to, grant] : quotas.issue_grants(now.steady)) {
            auto& queued = outbox[to];
            if (queued.grants.size() < max_queued_per_router) queued.grants.push_back(grant);
            queued.queued_at = now.steady;
        }
        for (auto& [to, ask] : quotas.due_asks(is_reachable, now.steady)) {
            auto& queued = outbox[to];
            if (queued.asks.size() < max_queued_per_router) queued.asks.push_back(ask);
            queued.queued_at = now.steady;
        }
    }
    // Each receiver gets its own datagram at once while there are bytes, else its messages go with the next
    // one.
    for (auto queued = outbox.begin(); queued != outbox.end();) {
        bool empty = queued->second.asks.empty() && queued->second.grants.empty();
        if (!empty) membership.send_piggyback(queued->first, true, now.unix);
        empty = queued->second.asks.empty() && queued->second.grants.empty();
        bool expired = now.steady - queued->second.queued_at >= outbox_timeout;
        queued = empty || expired ? outbox.erase(queued) : std::next(queued);
    }
    send_facts(now);
    if (options.features.request_counts && !facts_await_bytes && now.unix >= next_counts_datagram_at &&
        membership.spare_bytes(now.unix) > counts_datagram_bytes && request_counts.has_unsent()) {
        membership.send_piggyback(1, membership.own_zone(), false, now.unix);
        next_counts_datagram_at = now.unix + counts_interval;
    }
    if (now.unix >= next_expiry_at) {
        health_reports.expire(now.unix);
        next_expiry_at = now.unix + second / 2;
    }
    return options.features.facts ? facts.tick(live_since, now.unix) : ReplicatedFacts::Changes{};
}

// Sends new drains and purges at once, without waiting for a probe, to three routers. Each router that
// receives one for the first time does the same, as with changes of the membership.
void Exchange::send_facts(const ClockReadings& now) {
    facts_await_bytes = false;
    if (!options.features.facts) return;
    if (facts.has_unsent()) {
        facts_await_bytes = !membership.send_piggyback(3, -1, true, now.unix);
        return;
    }
    // Anti-entropy. Guards against a router that never receives a fact because those that hold it use up
    // their sends on a router that is cut off. A router without any facts sends its digest too, as its next
    // datagrams may have no room for it.
    if (now.unix < next_repair_at) return;
    auto differing = std::find(digest_differs.begin(), digest_differs.end(), true);
    if (differing == digest_differs.end()) return;
    auto router = static_cast<RouterIndex>(differing - digest_differs.begin());
    if (membership.state(router) != peers::State::Alive)
        *differing = false;  // its next datagram sets the flag again
    else if (membership.send_piggyback_or_reserve(router, now.unix))
        next_repair_at = now.unix + repair_interval;
    else
        facts_await_bytes = true;
}

// ---- quotas

// Guards against a router whose clock is ahead: its cold time would end early, and what it sends until the
// true end would not be bounded.
Micros Exchange::parent_cold() const {
    bool shared = options.features.quotas && options.settings.weights_are_link_rates;
    return options.settings.parent_cold_period + (shared ? max_clock_lead : 0);
}

std::vector<CacheId> Exchange::cold_servers() const {
    std::vector<CacheId> ids;
    for (auto& [id, entry] : cold_parents) ids.push_back(id);
    return ids;
}

double Exchange::available_quota(CacheId server, const ClockReadings& now) {
    return cold_parents.contains(server) ? quotas.available(server, now.steady) : -1;
}
Micros Exchange::consume(CacheId server, double work, Micros tag, const ClockReadings& now) {
    return quotas.consume(server, work, tag, now.steady);
}
void Exchange::refund(CacheId server, double work, Micros tag, const ClockReadings& now) {
    quotas.refund(server, work, tag, now.steady);
}
void Exchange::record_unmet_demand(CacheId server, double work, double lookup_work,
                                   const ClockReadings& now) {
    quotas.record_unmet_demand(server, work, lookup_work, now.steady);
}
bool Exchange::configuration_mismatch_seen(const ClockReadings& now) const {
    return mismatch_seen_at > 0 && now.steady - mismatch_seen_at < mismatch_memory;
}

// ---- peer health reports

void Exchange::report_health(const std::vector<HealthReport>& own_complaints, int measured,
                             const ClockReadings& now) {
    if (!options.features.health_reports) return;
    bool has_new = false;
    for (auto& own : own_complaints)
        has_new |= std::none_of(complaints.begin(), complaints.end(),
                                [&](auto& known) { return known.server == own.server; });
    complaints.clear();
    for (auto& own : own_complaints)
        complaints.push_back({own.server, static_cast<std::uint32_t>(own.started_at / ms), own.samples,
                              own.failure_share, own.slowdown, 0});
    breadth = {measured, static_cast<int>(own_complaints.size())};
    complaints_updated_at = now.unix;
    if (has_new) membership.send_piggyback(3, membership.own_zone(), true, now.unix);
}

PeerHealthReport Exchange::peer_health(CacheId server, Micros started, const ClockReadings& now) const {
    return health_reports.aggregate(server, static_cast<std::uint64_t>(started / ms), now.unix);
}

// ---- request counts

int Exchange::count_lookup(ObjectId object, const ClockReadings& now) {
    return options.features.request_counts ? request_counts.count_lookup(object, now.unix) : 0;
}

int Exchange::alive_routers_in_zone() const {
    if (!options.features.request_counts) return 1;
    int count = 1;
    for (RouterIndex router = 0; router < membership.routers(); router++)
        if (router != membership.own_number() && membership.state(router) == peers::State::Alive &&
            membership.zone_of(router) == membership.own_zone())
            count++;
    return count;
}

// ---- sending

std::string Exchange::load(RouterIndex to, std::size_t room, Micros now) {
    Payload payload;
    payload.configuration_hash = options.features.quotas ? configuration_hash : 0;
    payload.digest = options.features.facts ? facts.digest(now) : 0;
    auto queued = outbox.find(to);
    if (queued != outbox.end()) {
        payload.grants = queued->second.grants;
        payload.asks = queued->second.asks;
    }
    auto index = static_cast<std::size_t>(to);
    // Guards against a router without facts whose digest nobody receives: with quotas off its payload would
    // be empty, and an empty payload is not read.
    payload.send_if_empty = options.features.facts && digest_differs[index];
    std::size_t new_facts = 0;
    if (options.features.facts) {
        payload.facts = facts.next_to_send(max_facts_per_datagram, now, to);
        new_facts = payload.facts.size();
        if (digest_differs[index])
            for (auto& fact : facts.next_in_rotation(max_facts_per_datagram - new_facts, now))
                payload.facts.push_back(fact);
    }
    bool same_zone = membership.zone_of(to) == membership.own_zone();
    if (options.features.health_reports && now - complaints_updated_at < max_complaint_age)
        for (std::size_t i = 0; i < std::min(complaints.size(), max_complaints_per_datagram); i++) {
            auto complaint = complaints[(complaint_cursor + i) % complaints.size()];
            complaint.age = now - complaints_updated_at;
            payload.complaints.push_back(complaint);
        }
    complaint_cursor += payload.complaints.size();
    payload.breadth = breadth;
    // Guards against counts that use the bytes saved up for facts, as the membership then offers all its
    // room.
    if (options.features.request_counts && same_zone && !facts_await_bytes)
        payload.counts = request_counts.next_to_send(max_counts_per_datagram, now);
    auto encoded = encode(payload, room, now);
    for (auto i = encoded.facts; i < new_facts; i++) facts.restore_unsent(payload.facts[i]);
    if (encoded.facts == payload.facts.size()) digest_differs[index] = false;
    for (auto i = encoded.counts; i < payload.counts.size(); i++)
        request_counts.restore_unsent(payload.counts[i].name);
    if (queued != outbox.end()) {
        auto& asks = queued->second.asks;
        auto& grants = queued->second.grants;
        asks.erase(asks.begin(), asks.begin() + static_cast<std::ptrdiff_t>(encoded.asks));
        grants.erase(grants.begin(), grants.begin() + static_cast<std::ptrdiff_t>(encoded.grants));
    }
    totals.payload_bytes += encoded.bytes.size();
    return encoded.bytes;
}

}  // namespace quillgrade::shared
