// The decision module; see control.hpp for its interface and state.
//
// Nothing here reads a clock, a file or a configuration name: the time comes with each call, and randomness
// from the seed. The design is in docs/design.md.
#include "control.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace quillgrade {

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;

// CacheShield: the sum of p over the zone's routers, the range of p, and the steepness q of psi. These are
// the starting values of the design.
constexpr double total_p = 20, min_p = 0.5, max_p = 1, q = 0.5;
constexpr Micros halving_interval = 30 * second;
// An entry takes some 40 bytes, so the table stays under a megabyte.
constexpr std::size_t max_object_counts = 16384;
constexpr int keep_rank = 2;

// Samples: enough of them to tell a trend, few enough that a recovery shows within seconds.
constexpr std::size_t short_history = 16, long_history = 64, min_samples = 6;
constexpr Micros sample_lifetime = 5 * second, first_byte_lifetime = 20 * second,
                 load_report_lifetime = 2 * second;

// Outlier ejection. A silence is in mean response gaps: one in 3,000 exponentially distributed gaps is longer
// than the limit. The ratio to peers is of failure shares and of slowness, the speed-up one of first-byte
// times.
constexpr double max_silence = 8;
constexpr Micros min_mean_gap = 30 * ms, default_mean_gap = 200 * ms;
constexpr double max_failure_share = 0.3, max_ratio_to_peers = 2.5;
constexpr double lookups_per_half_open_probe = 20, clear_speedup = 1.5, min_in_flight_limit = 6;
// An attempt in flight for longer than its sending time and fill_wait waits for a fill.
constexpr Micros half_open_probe_interval = 500 * ms, peer_comparison_interval = 50 * ms, fill_wait = second;

// Overload protection. The margin allows for errors of other routers. The default link rate, in sending time
// per time, is for servers whose rate neither weights nor samples tell.
constexpr double cold_budget_margin = 0.6, default_link_rate = 2;
constexpr double retry_credit_per_answer = 0.15, max_retry_credit = 20, hedge_quantile = 0.95;
// Shares of the slack between sending time and latency goal: where shedding starts, and where nearly all
// large lookups are shed. For the link: transfers over those that it carries at full rate.
constexpr double cache_shed_start = 0.2, cache_shed_end = 1.0;
constexpr double fill_shed_start = 0.1, fill_shed_end = 0.8, usual_fill_slack = 0.7, failed_fill_slack = 1.5;
constexpr double link_shed_start = 1, link_shed_end = 4;
constexpr Micros check_interval = 100 * ms, maintenance_interval = 100 * ms, link_report_interval = 500 * ms;

void add_sample(Samples& samples, Micros at, double value, std::size_t max_samples = short_history,
                CacheId other_server = 0) {
    samples.push_back({at, value, other_server});
    if (samples.size() > max_samples) samples.pop_front();
}

std::vector<double> recent_values(const Samples& samples, Micros now, Micros life = sample_lifetime) {
    std::vector<double> values;
    for (auto& sample : samples)
        if (now - sample.at < life) values.push_back(sample.value);
    return values;
}

double mean(const std::vector<double>& values, double fallback) {
    if (values.empty()) return fallback;
    return std::accumulate(values.begin(), values.end(), 0.0) / values.size();
}

double median(std::vector<double> values, double fallback, double quantile = 0.5) {
    if (values.empty()) return fallback;
    auto position = values.begin() + static_cast<std::ptrdiff_t>(values.size() * quantile);
    std::nth_element(values.begin(), position, values.end());
    return *position;
}

std::vector<double> values_of(const Samples& samples) { return recent_values(samples, 0); }

// Hashes to a number between 0 and 1, both excluded.
double hash_to_unit(std::uint64_t x) {
    x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9U;
    x = (x ^ x >> 27) * 0x94d049bb133111ebU;
    return ((x ^ x >> 31) >> 11) * 0x1p-53 + 0x1p-54;
}

// Weighted rendezvous hashing: each object orders the servers in its own way, and each server gets a share of
// the objects in proportion to its weight.
double rendezvous_score(ObjectId object, const Server& server, bool weighted) {
    double unit = hash_to_unit(object * 0x9e3779b97f4a7c15U ^ server.id * 0xd6e8feb86659fd93U);
    return std::log(unit) / (weighted && server.weight > 0 ? server.weight : 1.0);
}

bool is_parent(const Router& router, const Server& server) { return server.kind == router.parent_kind; }
bool is_origin(const Router& router, const Server& server) { return server.kind == router.origin_kind; }
bool is_edge(const Router& router, const Server& server) {
    return !is_parent(router, server) && !is_origin(router, server) && server.zone == router.zone;
}
bool same_role(const Router& router, const Server& a, const Server& b) {
    return is_parent(router, a) == is_parent(router, b) && is_edge(router, a) == is_edge(router, b);
}

std::vector<Server*> rendezvous_order(Router& router, ObjectId object,
                                      bool (*role)(const Router&, const Server&)) {
    std::vector<std::pair<double, Server*>> scored;
    for (auto& server : router.servers)
        if (server.state == EndpointState::Ready && role(router, server))
            scored.emplace_back(rendezvous_score(object, server, router.weights_are_link_rates), &server);
    std::sort(scored.begin(), scored.end(), [](auto& a, auto& b) {
        return a.first != b.first ? a.first > b.first : a.second->id < b.second->id;
    });
    std::vector<Server*> order;
    order.reserve(scored.size());
    for (auto& entry : scored) order.push_back(entry.second);
    return order;
}

// Copies are held for each part, and at the edge each part has its own place in the hash order: otherwise the
// parts of a long object would all queue at one cache. The CacheShield count and the choice of a parent stay
// with the object.
ObjectId part_key(const LookupInfo& lookup) {
    return lookup.object + static_cast<ObjectId>(0x51ed2701U * lookup.part);
}

bool contains(const std::vector<CacheId>& ids, CacheId id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

double mean_sending_time(const TrafficType& traffic) {
    return mean(values_of(traffic.sending_times), traffic.latency_goal);
}

double served_rate(const Samples& answered, Micros now) {
    if (answered.size() < min_samples) return 0;
    return mean(values_of(answered), 0) * answered.size() /
           std::max<Micros>(now - answered.front().at, 100 * ms);
}

// Little's law: the measured rate of answers times a usual latency goal gives the number of lookups that the
// server can answer in time.
double in_flight_limit(const Router& router, const Server& server) {
    if (server.answered.size() < min_samples) return min_in_flight_limit;
    double span = std::max<Micros>(server.answered.back().at - server.answered.front().at, 100 * ms);
    double time = 0;
    for (auto& type : router.traffic_types)
        time += type.latency_goal + type.latency_goal_factor * mean_sending_time(type);
    return std::max(min_in_flight_limit, server.answered.size() / span * time / router.traffic_types.size());
}

// The share of a server's attempts that failed, leaving out those that `other` took part in.
double failure_share_without(const Server& server, const Server& other, Micros now) {
    std::vector<double> failures;
    for (auto& sample : server.failures)
        if (sample.other_server != other.id && now - sample.at < sample_lifetime)
            failures.push_back(sample.value);
    return mean(failures, 0);
}

Micros cold_since(const Server& server) { return std::max(server.started_at, server.reachable_since); }

bool is_cold(const Router& router, const Server& server, Micros now) {
    Micros since = cold_since(server);
    return since > 0 &&
           now - since < (is_parent(router, server) ? router.parent_cold_period : router.cold_period);
}

// When the earliest response of the attempts in flight is due, 0 if none is in flight.
Micros earliest_due(const Server& server) {
    Micros first = 0;
    for (auto& in_flight : server.in_flight)
        if (first == 0 || in_flight.sent_at + in_flight.expected_time < first)
            first = in_flight.sent_at + in_flight.expected_time;
    return first;
}

void record_response(Server& server, Micros now) {
    Micros due = earliest_due(server);
    if (due > 0 && now > std::max(due, server.last_response_at))
        add_sample(server.response_gaps, now, now - std::max(due, server.last_response_at));
    server.last_response_at = now;
}

void record_reachable(Server& server, Micros now) {
    record_response(server, now);
    if (server.unreachable_since > 0 && now - server.unreachable_since > second) server.reachable_since = now;
    server.unreachable_since = 0;
}

void record_load(const Router& router, Server& server, const LoadReport& load, Micros now) {
    if (router.link_utilization_index >= 0 && router.link_utilization_index < load.count)
        add_sample(server.link_utilization, now, load.values[router.link_utilization_index]);
}

void remove_in_flight(Server* server, LookupId lookup, int attempt) {
    if (!server) return;
    std::erase_if(server->in_flight, [&](auto& f) { return f.lookup == lookup && f.attempt == attempt; });
}

Server* origin_of(Router& router) {
    for (auto& server : router.servers)
        if (server.state == EndpointState::Ready && is_origin(router, server)) return &server;
    return nullptr;
}

// Whether one lookup may be sent to an ejected server as a half-open probe. The interval grows where few
// lookups come: otherwise the half-open probes of many routers would become most of what the server gets.
bool take_half_open_probe(const Router& router, Server& server, Micros now) {
    double gap = 0;
    if (router.recent_lookups.size() >= min_samples)
        gap = double(router.recent_lookups.back().at - router.recent_lookups.front().at) /
              router.recent_lookups.size();
    if (now - server.last_half_open_probe_at <
        std::max<double>(half_open_probe_interval, lookups_per_half_open_probe * gap))
        return false;
    server.last_half_open_probe_at = now;
    return true;
}

// The share of the slack between sending time and latency goal that an answer after `elapsed` has used.
double slack_used_by(const PendingLookup& lookup, Micros elapsed) {
    return (elapsed - lookup.sending_time) /
           std::max<double>(lookup.goal_at - lookup.received_at - lookup.sending_time, ms);
}

void charge(const Router& router, Server& server, double work, Micros now) {
    if (is_cold(router, server, now)) add_sample(server.cold_spending, now, work, 1024);
    if (server.quota > 0) server.quota -= std::min(work, server.quota);
}

Micros time_left(const PendingLookup& lookup, Micros now) { return lookup.info.deadline - now; }

RoutingDecision send_attempt(Router& router, PendingLookup& lookup, Server& cache, Micros now) {
    // An attempt that goes directly to a parent may name only that parent itself or the origin as its
    // upstream; parents do not fill from each other.
    Server* origin = origin_of(router);
    CacheId upstream_id = cache.id;
    if (is_edge(router, cache) && !lookup.no_upstream) upstream_id = pick_upstream(router, lookup, now);
    if (Server* upstream = find_server(router, upstream_id);
        lookup.only_if_cached && (!upstream || !is_parent(router, *upstream)))
        upstream_id = cache.id;
    if (is_parent(router, cache) && origin) upstream_id = origin->id;
    auto& type = router.traffic_types[lookup.info.traffic];
    double work = mean_sending_time(type);
    auto expected_time = lookup.sending_time + static_cast<Micros>(median(values_of(type.excess_times), 0));
    auto number = static_cast<int>(lookup.attempts.size());
    Server* upstream = find_server(router, upstream_id);
    AttemptState attempt{cache.id, upstream_id, now, static_cast<Micros>(work)};
    attempt.cache_cold_since = cold_since(cache);
    attempt.upstream_cold_since = upstream ? cold_since(*upstream) : 0;
    attempt.charged_at = now;
    lookup.attempts.push_back(attempt);
    InFlight in_flight{lookup.info.id, number, lookup.info.traffic, now, expected_time, lookup.sending_time};
    cache.in_flight.push_back(in_flight);
    charge(router, cache, work, now);
    if (upstream && upstream != &cache) {
        upstream->in_flight.push_back(in_flight);
        charge(router, *upstream, work, now);
    }
    RoutingDecision decision;
    decision.send = {.cache = cache.id,
                     .upstream = upstream_id,
                     .rank = lookup.keep ? keep_rank : 0,
                     .max_copy_age = max_copy_age(router, lookup.info, now),
                     .time_limit = 0,
                     .collapse = router.collapsing,
                     .refresh = lookup.keep && type.fresh_for > 0,
                     .only_if_cached = lookup.only_if_cached};
    decision.next_check =
        std::max<Micros>(1, std::min(time_left(lookup, now), std::max(check_interval, 2 * expected_time)));
    return decision;
}

void cancel_attempts(Router& router, PendingLookup& lookup, RoutingDecision& decision, int except = -1) {
    if (!router.cancellation) return;
    for (int i = 0; i < static_cast<int>(lookup.attempts.size()); i++)
        if (lookup.attempts[i].in_flight && i != except) decision.cancel.push_back(i);
}

void erase_if_finished(Router& router, PendingLookup& lookup) {
    bool any_in_flight = std::any_of(lookup.attempts.begin(), lookup.attempts.end(),
                                     [](auto& attempt) { return attempt.in_flight; });
    if (lookup.done && !any_in_flight) router.lookups.erase(lookup.info.id);
}

// Ends the lookup without an answer: rejects it where the client may safely ask again, else fails it.
RoutingDecision end_unserved(Router& router, PendingLookup& lookup, Micros now) {
    RoutingDecision decision;
    decision.final_result = may_reject(router, lookup) && time_left(lookup, now) > 0 ? FinalResult::Rejected
                                                                                     : FinalResult::Failed;
    if (decision.final_result == FinalResult::Rejected) decision.retry_after = router.max_retry_after;
    lookup.done = true;
    cancel_attempts(router, lookup, decision);
    erase_if_finished(router, lookup);
    return decision;
}

}  // namespace

std::uint32_t Random::next() {
    std::uint64_t old = state;
    state = old * 6364136223846793005U + 1442695040888963407U;
    auto shifted = static_cast<std::uint32_t>((old >> 18 ^ old) >> 27);
    auto turn = static_cast<unsigned>(old >> 59);
    return shifted >> turn | shifted << (-turn & 31);
}

double Random::unit() { return next() * 0x1p-32; }

double psi(double t, double p) { return 1 / (1 + std::exp((p - t) / q)); }

Router::Router(const SiteSettings& site, std::uint64_t seed)
    : RoutingSettings(static_cast<const RoutingSettings&>(site)),
      client_kb_per_us(site.client_kb_per_s / second),
      seed(seed) {
    for (auto& t : site.traffic)
        traffic_types.push_back({t.latency_goal,
                                 t.fresh_for,
                                 t.dedup_window,
                                 t.latency_goal_factor,
                                 t.idempotency,
                                 t.dedup_scope,
                                 t.write,
                                 {},
                                 {},
                                 {},
                                 {},
                                 {}});
    edge_routers = std::max(1, site.routers_by_zone.at(site.zone));
    parent_routers = std::max(1, site.routers);
    if (!site.retry_after) max_retry_after = 0;
    list_wanted = site.must_request_list;
    retry_credit = max_retry_credit / 2;
    random.state = seed;
    random.next();
}

// 20 over the routers of the zone, for those whose counts are known here. Where all counts are shared, each
// router decides by the lookups of the whole zone, and a part of the zone that is cut off decides as a zone
// of that part's size.
double Router::p() const { return std::clamp(total_p * counting_routers / edge_routers, min_p, max_p); }

Server* find_server(Router& router, CacheId id) {
    auto at = std::lower_bound(router.servers.begin(), router.servers.end(), id,
                               [](auto& server, CacheId wanted) { return server.id < wanted; });
    return at != router.servers.end() && at->id == id ? &*at : nullptr;
}

void Router::update_endpoints(const std::vector<EndpointEntry>& entries, bool complete, Micros now) {
    if (first_list_at == 0) first_list_at = now;
    if (complete)
        for (auto& server : servers) server.state = EndpointState::Gone;
    std::vector<CacheId> new_ids;  // sorted once, as thousands may come in one list
    for (auto& entry : entries)
        if ((entry.zone == zone || entry.kind == parent_kind || entry.kind == origin_kind) &&
            !find_server(*this, entry.id))
            new_ids.push_back(entry.id);
    std::sort(new_ids.begin(), new_ids.end());
    new_ids.erase(std::unique(new_ids.begin(), new_ids.end()), new_ids.end());
    auto known = static_cast<std::ptrdiff_t>(servers.size());
    for (auto id : new_ids) servers.emplace_back().id = id;
    std::inplace_merge(servers.begin(), servers.begin() + known, servers.end(),
                       [](auto& a, auto& b) { return a.id < b.id; });
    for (auto& entry : entries) {
        Server* server = find_server(*this, entry.id);
        if (!server) continue;                        // caches of other zones are never asked and not kept
        if (entry.started_at > server->started_at) {  // a new process: the samples are of the old one
            server->response_gaps = server->failures = server->slowness = server->first_byte_times = {};
            server->unreachable_since = server->reachable_since = 0;
        }
        server->state = entry.state;
        server->weight = entry.weight;
        server->kind = entry.kind;
        server->cell = entry.cell;
        server->zone = entry.zone;
        server->started_at = entry.started_at;
    }
    // Caches come and go under ever new ids: keeping them would use ever more memory.
    std::erase_if(servers, [](auto& server) { return server.state == EndpointState::Gone; });
}

void Router::endpoint_list_failed() { list_wanted = true; }

void Router::record_purge(ObjectId object, int group, Micros age, Micros now) {
    std::erase_if(purged_objects, [&](auto& known) { return known.second.until < now; });
    std::erase_if(purged_groups, [&](auto& known) { return known.second.until < now; });
    Purge purge{now - age, now - age + purge_retention};
    auto& known = object ? purged_objects[object] : purged_groups[group];
    if (purge.at > known.at) known = purge;
}

// A copy must be younger than the latest purge, until copies from before the purge can no longer exist. 0
// leaves the limit at the freshness time.
Micros max_copy_age(const Router& router, const LookupInfo& lookup, Micros now) {
    Micros fresh_for = router.traffic_types[lookup.traffic].fresh_for;
    Micros max_age = fresh_for;
    auto apply_purge = [&](auto& purges, auto key) {
        auto found = purges.find(key);
        if (found == purges.end() || found->second.until + second < now) return;
        Micros since = std::max<Micros>(1, now - found->second.at);
        max_age = max_age > 0 ? std::min(max_age, since) : since;
    };
    apply_purge(router.purged_objects, lookup.wire_object ? lookup.wire_object : lookup.object);
    apply_purge(router.purged_groups, lookup.group);
    return max_age == fresh_for ? 0 : max_age;
}

// CacheShield: the first part of an object increments its count and draws whether to keep it. A kept object
// stays kept while it has a count, and later parts follow the first one's decision. A later part of an object
// without a count (after a restart) counts as the first part.
bool keep_or_pass(Router& router, const LookupInfo& lookup, Micros now) {
    if (lookup.write || router.traffic_types[lookup.traffic].write) return false;
    auto known = router.object_counts.find(lookup.object);
    if (lookup.part > 0 && known != router.object_counts.end()) return known->second.keep;
    if (router.halved_at == 0) router.halved_at = now;
    while (now - router.halved_at >= halving_interval ||
           (known == router.object_counts.end() && router.object_counts.size() >= max_object_counts)) {
        for (auto& [object, count] : router.object_counts) count.lookups /= 2;
        std::erase_if(router.object_counts, [](auto& count) { return count.second.lookups == 0; });
        router.halved_at = now;
        known = router.object_counts.find(lookup.object);
    }
    auto& count = router.object_counts[lookup.object];
    count.lookups++;
    if (router.random.unit() < psi(count.lookups + lookup.lookups_elsewhere, router.p())) count.keep = true;
    return count.keep;
}

// The silence is counted from the time at which the server's next response was due.
double silence_in_gaps(const Server& server, Micros now) {
    Micros due = earliest_due(server), since = std::max(due, server.last_response_at);
    if (due == 0 || now <= since) return 0;
    double gap = server.response_gaps.size() < 4 ? default_mean_gap
                                                 : mean(values_of(server.response_gaps), default_mean_gap);
    return (now - since) / std::max<double>(gap, min_mean_gap);
}

const char* compare_with_peers(const Router& router, const Server& server, Micros now) {
    auto failures = recent_values(server.failures, now), slowness = recent_values(server.slowness, now);
    // A server with few own samples is not compared with its peers: doing so for every server would cost the
    // square of their number. Peer health reports decide there, where there are enough of them. Own samples
    // take precedence.
    if (failures.size() < min_samples && slowness.size() < min_samples) {
        if (server.peer_report.samples < min_samples) return nullptr;
        if (server.peer_report.failure_share > max_failure_share) return "failing, by hearsay";
        return server.peer_report.slowdown > max_ratio_to_peers ? "slow, by hearsay" : nullptr;
    }
    std::vector<double> peer_failure_shares, peer_slowness;
    bool own_failures_known =
        is_parent(router, server) && router.cache_status_reporting == CacheStatusReporting::All;
    for (auto& peer : router.servers) {
        if (peer.id == server.id || peer.state != EndpointState::Ready) continue;
        if (!(own_failures_known ? is_origin(router, peer) : same_role(router, peer, server))) continue;
        auto peer_failures = recent_values(peer.failures, now),
             peer_times = recent_values(peer.slowness, now);
        if (peer_failures.size() >= min_samples) peer_failure_shares.push_back(mean(peer_failures, 0));
        if (peer_times.size() >= min_samples) peer_slowness.push_back(median(peer_times, 1));
    }
    double outlier_share = max_ratio_to_peers * median(peer_failure_shares, 0);
    if (failures.size() >= min_samples && mean(failures, 0) > std::max(max_failure_share, outlier_share))
        return "failing";
    if (slowness.size() >= min_samples && !peer_slowness.empty() &&
        median(slowness, 1) > max_ratio_to_peers * std::max(1.0, median(peer_slowness, 1)))
        return "slow";
    return nullptr;
}

// Each sign is compared with the server's peers, so that trouble which all of them share does not eject one
// of them. Where the cache status tells a parent's own failures from the origin's, failing parents are not
// compared with each other but with the origin. The result is cached, as peers change slowly.
const char* ejection_reason(const Router& router, const Server& server, Micros now) {
    if (server.unreachable_since > 0) return "unreachable";
    if (silence_in_gaps(server, now) > max_silence) return "silent";
    if (now - server.evaluated_at >= peer_comparison_interval) {
        server.evaluated_at = now;
        server.evaluated_reason = compare_with_peers(router, server, now);
    }
    return server.evaluated_reason;
}

// The multiple of what a link of this rate carries within the window, at the share that the settings allow at
// this age of the server, as sending time.
double total_cold_budget(const RoutingSettings& site, bool parent, double link, Micros age) {
    double initial_share = parent ? site.parent_cold_initial_share : site.cold_initial_share;
    double time_past_window = std::max<double>(0, age - site.cold_budget_window);
    double share = initial_share + (1 - initial_share) * time_past_window /
                                       (parent ? site.parent_cold_period : site.cold_period);
    return (parent ? site.parent_cold_budget_multiple : site.cold_budget_multiple) *
           (share * link * site.cold_budget_window);
}

// A random number in (0, 1) for each server and window. Its windows begin at another time in each router.
double window_draw(const Router& router, const Server& server, Micros now) {
    std::uint64_t hash = router.seed ^ server.id * 0xd6e8feb86659fd93U;
    auto window = std::max<Micros>(router.cold_budget_window, ms);
    return hash_to_unit(hash ^ ((now + hash % window) / window) * 0x9e3779b97f4a7c15U);
}

// All routers together may send a cold server a multiple of what its link carries within any window. This
// router uses its share of that, less a margin. Where the share is less than one lookup, the router sends one
// lookup in as many windows as add up to it, drawn at random, so that all routers together keep to the
// budget except for random variation.
//
// Where the link rate is not known, the rate stands for it that this router has seen at the server's peers,
// or that the server itself has answered since its start. The ratio stays that of the settings: a larger one
// would let all routers that were answered overload the server together. Where the routers share the budget,
// this router's current quota replaces all of this.
bool within_cold_budget(const Router& router, const Server& server, double work, Micros now) {
    if (!is_cold(router, server, now)) return true;
    server.quota_demand += work;
    server.quota_demand_per_lookup = work;
    if (server.quota >= 0) return work <= server.quota;
    bool parent = is_parent(router, server);
    double routers = parent ? router.parent_routers : router.edge_routers;
    double link = (router.weights_are_link_rates ? server.weight : default_link_rate) / routers;
    if (!router.weights_are_link_rates) {
        std::vector<double> peer_rates;
        for (auto& peer : router.servers)
            if (same_role(router, peer, server) && peer.answered.size() >= min_samples)
                peer_rates.push_back(served_rate(peer.answered, peer.answered.back().at));
        double answered = 0;
        for (auto& sample : server.answered)
            if (sample.at > std::max(cold_since(server), now - router.cold_budget_window))
                answered += sample.value;
        link =
            std::max({link, mean(peer_rates, 0), answered / std::max<Micros>(router.cold_budget_window, ms)});
    }
    // A process does not know what the one before it sent within the window. Prevents restarted routers from
    // spending their share twice.
    double window_known = std::clamp(
        double(now - router.first_list_at) / std::max<Micros>(router.cold_budget_window, ms), 0.0, 1.0);
    double budget =
        cold_budget_margin * window_known * total_cold_budget(router, parent, link, now - cold_since(server));
    double spent = work;
    for (auto& sample : server.cold_spending)
        if (now - sample.at < router.cold_budget_window + 100 * ms) spent += sample.value;
    if (budget >= work) return spent <= budget;
    return spent <= work && window_draw(router, server, now) < budget / work;
}

// The mean first-byte time of an upstream. An attempt that has waited longer than the mean counts with its
// wait so far: otherwise a parent that answers few of its fills is judged by those few. Prevents slow, silent
// and cold parents from being chosen. Attempts that wait for a cache's own reasons raise the value too, but
// at all upstreams alike.
double first_byte_time(const Server& upstream, double average, Micros now) {
    auto times = recent_values(upstream.first_byte_times, now, first_byte_lifetime);
    double usual_time = mean(times, average);
    for (auto& in_flight : upstream.in_flight)
        if (double waited = now - in_flight.sent_at - in_flight.sending_time; waited > usual_time)
            times.push_back(waited);
    return mean(times, average);
}

// The first of the object's first two parents, unless the mean first-byte time of the second is clearly
// lower: otherwise random variation would move all objects to and fro, and both parents would keep a copy. A
// parent without recent samples counts as average.
CacheId pick_upstream(Router& router, const PendingLookup& lookup, Micros now) {
    Server* origin = origin_of(router);
    double work = mean_sending_time(router.traffic_types[lookup.info.traffic]);
    auto parents = rendezvous_order(router, lookup.info.object, is_parent);
    std::vector<double> known_times;
    for (auto* parent : parents)
        if (!recent_values(parent->first_byte_times, now, first_byte_lifetime).empty())
            known_times.push_back(mean(recent_values(parent->first_byte_times, now, first_byte_lifetime), 0));
    double average = mean(known_times, 0);
    if (parents.size() > 2) parents.resize(2);
    Server* best = nullptr;
    double best_time = 0;
    for (auto* parent : parents) {
        if (contains(lookup.failed_upstreams, parent->id) || !within_cold_budget(router, *parent, work, now))
            continue;
        if (ejection_reason(router, *parent, now)) {
            if (take_half_open_probe(router, *parent, now)) return parent->id;
            continue;
        }
        double time = first_byte_time(*parent, average, now);
        if (!best || clear_speedup * time < best_time) {
            best = parent;
            best_time = time;
        }
    }
    if (best || origin) return best ? best->id : origin->id;
    return parents.empty() ? 0 : parents.front()->id;
}

// The first healthy cache in the object's hash order that is not at its limit in flight. If all are, the
// least loaded one; if all are ejected, the first of them that can be reached, so that the last path stays
// open.
Server* pick_cache(Router& router, const PendingLookup& lookup, Micros now) {
    double work = mean_sending_time(router.traffic_types[lookup.info.traffic]);
    Server *least_loaded = nullptr, *last_resort = nullptr;
    double least_load = 0;
    for (auto* cache : rendezvous_order(router, part_key(lookup.info), is_edge)) {
        if (!may_attempt(router, lookup, *cache, now) || !within_cold_budget(router, *cache, work, now))
            continue;
        if (contains(lookup.failed_caches, cache->id)) continue;
        if (auto* allowed = lookup.info.allowed_caches.get();
            allowed && !allowed->empty() && !std::binary_search(allowed->begin(), allowed->end(), cache->id))
            continue;
        if (ejection_reason(router, *cache, now)) {
            if (lookup.attempts.empty() && take_half_open_probe(router, *cache, now)) return cache;
            if (!last_resort && cache->unreachable_since == 0) last_resort = cache;
            continue;
        }
        double active = 0;  // without fills that wait for their upstream, which take no capacity
        for (auto& in_flight : cache->in_flight)
            active += now - in_flight.sent_at < in_flight.sending_time + fill_wait;
        double load = active / in_flight_limit(router, *cache);
        if (load < 1) return cache;
        if (!least_loaded || load < least_load) {
            least_loaded = cache;
            least_load = load;
        }
    }
    return least_loaded ? least_loaded : last_resort;
}

bool may_hedge(const Router& router, const PendingLookup& lookup) {
    return router.hedging && !lookup.info.no_hedging;
}

bool compatible_with_other_attempts(Router& router, const PendingLookup& lookup, std::size_t number,
                                    const Server& to, Micros now);

// Rule 2: a lookup that a cache may have executed is not sent again, unless its traffic type allows that at
// this time and place. See compatible_with_other_attempts().
bool may_attempt(Router& router, const PendingLookup& lookup, const Server& to, Micros now) {
    int limit = router.max_attempts, lookup_limit = lookup.info.max_attempts;
    if (lookup.done || static_cast<int>(lookup.attempts.size()) >=
                           (lookup_limit > 0 ? std::min(lookup_limit, limit) : limit))
        return false;
    return compatible_with_other_attempts(router, lookup, lookup.attempts.size(), to, now);
}

// Whether the attempt with this number is allowed beside the lookup's other attempts, both when it is decided
// and when it is written.
bool compatible_with_other_attempts(Router& router, const PendingLookup& lookup, std::size_t number,
                                    const Server& to, Micros now) {
    auto& type = router.traffic_types[lookup.info.traffic];
    for (auto& attempt : lookup.attempts) {
        if (&attempt == lookup.attempts.data() + number) continue;
        if (attempt.in_flight && !may_hedge(router, lookup)) return false;
        if (!attempt.in_flight && !attempt.may_have_executed) continue;
        if (type.idempotency == Idempotency::Idempotent) continue;
        if (type.idempotency == Idempotency::NonIdempotent || now - attempt.sent_at >= type.dedup_window)
            return false;
        auto* at = find_server(router, attempt.cache);
        if (!at) return false;
        if (type.dedup_scope == DedupScope::Zone && at->zone != to.zone) return false;
        if (type.dedup_scope == DedupScope::Cell && at->cell != to.cell) return false;
    }
    return true;
}

bool may_reject(const Router& router, const PendingLookup& lookup) {
    auto& type = router.traffic_types[lookup.info.traffic];
    if (type.idempotency == Idempotency::Idempotent) return true;
    for (auto& attempt : lookup.attempts)
        if ((attempt.in_flight || attempt.may_have_executed) &&
            (type.idempotency == Idempotency::NonIdempotent || type.dedup_scope != DedupScope::All))
            return false;
    return true;
}

LookupHandle Router::add_lookup(const LookupInfo& info, Micros now) {
    auto& type = traffic_types[info.traffic];
    PendingLookup& lookup = lookups[info.id] = PendingLookup{.info = info, .received_at = now};
    add_sample(recent_lookups, now, 1);
    if (info.kbytes > 0) {
        lookup.sending_time = static_cast<Micros>(info.kbytes / client_kb_per_us);
        // A client may state a size that is made up: one that cannot be sent in time is no sample.
        if (lookup.sending_time <= info.deadline - now)
            add_sample(type.sending_times, now, lookup.sending_time, long_history);
    } else if (auto count = object_counts.find(info.object);
               count != object_counts.end() && count->second.sending_time > 0) {
        lookup.sending_time = count->second.sending_time;
    } else {
        // The size is unknown: that of a random recent lookup stands for it, so that shedding affects a share
        // of such lookups.
        lookup.sending_time =
            type.sending_times.empty()
                ? type.latency_goal
                : static_cast<Micros>(type.sending_times[random.next() % type.sending_times.size()].value);
    }
    lookup.goal_at =
        now + type.latency_goal + static_cast<Micros>(type.latency_goal_factor * lookup.sending_time);
    return {*this, lookup};
}

std::optional<LookupHandle> Router::find_lookup(LookupId id) {
    auto found = lookups.find(id);
    return found == lookups.end() ? std::nullopt : std::optional(LookupHandle{*this, found->second});
}

// The share of the slack between sending time and latency goal that an answer would use if it took `time` for
// the average of the work: 0 without any wait, 1 where the usual answer comes at its latency goal.
double mean_slack_used(const TrafficType& type, double time) {
    double sending = 0, goal = 0, total = 0;
    for (auto& size : type.sending_times) {
        sending += size.value * size.value;
        goal += size.value * (type.latency_goal + type.latency_goal_factor * size.value);
        total += size.value;
    }
    return goal > sending ? std::max(0.0, (time * total - sending) / (goal - sending)) : 0;
}

// The share of its slack that the usual hit used recently at the zone's caches. Leaves out fills, which wait
// for the link, and ejected caches, whose few half-open probes would look like congestion at all of them.
double cache_congestion(const Router& router, Micros now) {
    std::vector<double> used;
    for (auto& server : router.servers)
        if (is_edge(router, server) && !ejection_reason(router, server, now))
            for (double value : recent_values(server.slack_used, now)) used.push_back(value);
    return used.size() < min_samples ? 0 : mean(used, 0);
}

double in_flight_at_upstreams(const Router& router) {
    double in_flight = 0;
    for (auto& server : router.servers) in_flight += is_edge(router, server) ? 0 : server.in_flight.size();
    return in_flight;
}

// Utilization of the zone's link, as its caches report it. Responses repeat a report until the next one is
// made, so only the last one of each cache counts, scaled by what this router has in flight now over what it
// had in flight in the time of the report. Prevents an empty link from still counting as congested, and from
// being congested again by all lookups that were held back.
double link_congestion(const Router& router, Micros now) {
    std::vector<double> used;
    for (auto& server : router.servers)
        if (auto reports = recent_values(server.link_utilization, now, load_report_lifetime);
            is_edge(router, server) && !reports.empty())
            used.push_back(reports.back());
    double usual_in_flight = mean(recent_values(router.upstream_in_flight, now, load_report_lifetime), 0);
    return mean(used, 0) * std::min(1.0, (in_flight_at_upstreams(router) + 1) / (usual_in_flight + 1));
}

// Little's law for the fills of one traffic type over the zone's link: attempts that name an upstream and
// have been in flight for longer than a hit takes count in full, the others by the share of misses. Each type
// is measured by itself, since a slow origin makes small lookups late first. Leaves out ejected upstreams, as
// others serve in their place.
double fill_congestion(const Router& router, int traffic, Micros now) {
    auto& type = router.traffic_types[traffic];
    double fill_rate = served_rate(type.filled, now), answer_rate = served_rate(type.answered, now);
    std::vector<CacheId> ejected;
    for (auto& server : router.servers)
        if (!is_edge(router, server) && ejection_reason(router, server, now) &&
            silence_in_gaps(server, now) <= max_silence)
            ejected.push_back(server.id);
    std::vector<double> slack_used;
    for (auto& sample : type.fill_slack_used)
        if (now - sample.at < load_report_lifetime && !contains(ejected, sample.other_server))
            slack_used.push_back(sample.value);
    double ended_congestion = slack_used.size() < min_samples ? 0 : mean(slack_used, 0) - usual_fill_slack;
    if (fill_rate <= 0) return ended_congestion;
    double in_flight_work = 0, count = 0, miss_share = answer_rate > fill_rate ? fill_rate / answer_rate : 1;
    for (auto& server : router.servers)
        if (!is_edge(router, server) && !contains(ejected, server.id))
            for (auto& in_flight : server.in_flight) {
                if (in_flight.traffic != traffic) continue;
                double fill_likelihood =
                    now - in_flight.sent_at > 2 * in_flight.sending_time + 100 * ms ? 1 : miss_share;
                in_flight_work += in_flight.sending_time * fill_likelihood;
                count += fill_likelihood;
            }
    if (count <= 1) return ended_congestion;
    // A few large fills are random variation, not congestion.
    return std::max(ended_congestion,
                    mean_slack_used(type, (1 - 1 / std::sqrt(count)) * in_flight_work / fill_rate));
}

// Prevents congestion that feeds itself: late answers make clients ask again, and caches reject more. The
// largest lookups of each type are shed first, as one of them costs as much as many others and all are worth
// the same. For caches and the link a share of the work is freed, for fill slots a share of the lookups. The
// cost: lookups are shed needlessly where congestion would have ended by itself within a latency goal.
bool should_shed(const Router& router, const PendingLookup& lookup, double congestion, double from, double to,
                 bool by_work) {
    double share = std::clamp((to - congestion) / (to - from), 0.05, 1.0);
    auto sizes = values_of(router.traffic_types[lookup.info.traffic].sending_times);
    if (share == 1 || sizes.size() < min_samples) return false;
    std::sort(sizes.begin(), sizes.end());
    double capacity = share * (by_work ? mean(sizes, 0) * sizes.size() : sizes.size());
    auto largest_kept = sizes.begin();
    for (; capacity >= (by_work ? *largest_kept : 1) && largest_kept + 1 != sizes.end(); largest_kept++)
        capacity -= by_work ? *largest_kept : 1;
    return lookup.sending_time > *largest_kept;
}

// The ordinary path of a lookup. Congestion of the caches rejects large lookups, congestion of the link keeps
// them from filling, and congestion of fills leaves them to caches and parents that hold a copy.
RoutingDecision LookupHandle::first_attempt(Micros now) {
    lookup.keep = keep_or_pass(router, lookup.info, now);
    if (lookup.info.kbytes > 0 && lookup.sending_time > time_left(lookup, now))
        return end_unserved(router, lookup, now);
    if (should_shed(router, lookup, cache_congestion(router, now), cache_shed_start, cache_shed_end, true))
        return end_unserved(router, lookup, now);
    lookup.no_upstream =
        should_shed(router, lookup, link_congestion(router, now), link_shed_start, link_shed_end, true);
    lookup.only_if_cached =
        !lookup.no_upstream && should_shed(router, lookup, fill_congestion(router, lookup.info.traffic, now),
                                           fill_shed_start, fill_shed_end, false);
    Server* cache = pick_cache(router, lookup, now);
    // Directly to the upstream, unless the lookup is shed as a fill would be.
    if (!cache && router.direct && !lookup.no_upstream && !lookup.only_if_cached) {
        CacheId upstream = pick_upstream(router, lookup, now);
        cache = upstream ? find_server(router, upstream) : nullptr;
    }
    if (!cache) return end_unserved(router, lookup, now);
    return send_attempt(router, lookup, *cache, now);
}

RoutingDecision LookupHandle::attempt_ended(const AttemptResult& result, Micros now) {
    if (result.attempt < 0 || result.attempt >= static_cast<int>(lookup.attempts.size())) return {};
    auto& attempt = lookup.attempts[result.attempt];
    if (!attempt.in_flight) return {};
    attempt.in_flight = false;
    bool not_executed = result.outcome == Outcome::Overloaded || result.outcome == Outcome::ConnectFailed ||
                        result.outcome == Outcome::NotSent || result.outcome == Outcome::Miss;
    attempt.may_have_executed = !not_executed;

    auto& type = router.traffic_types[lookup.info.traffic];
    Server* cache = find_server(router, attempt.cache);
    Server* upstream = attempt.upstream == attempt.cache ? nullptr : find_server(router, attempt.upstream);
    bool ok = result.outcome == Outcome::Ok;
    bool hit = ok && (result.cache_status == CacheStatus::Hit || result.cache_status == CacheStatus::Stale);
    bool caused_here = result.outcome == Outcome::Cancelled || result.outcome == Outcome::NotSent;
    bool upstream_failed = result.cache_status >= CacheStatus::UpstreamBusy &&
                           result.cache_status != CacheStatus::NoFillSlot && result.outcome != Outcome::Miss,
         cache_failed = !upstream_failed;
    // Where no cache status tells which server failed, the failure counts for the one that fails more with
    // other servers, and for both if they are equal. Prevents healthy caches from being ejected when a parent
    // is down and its fills come back as their failures.
    if (upstream && cache && !ok && !caused_here &&
        router.cache_status_reporting != CacheStatusReporting::All &&
        (result.outcome == Outcome::Error || result.outcome == Outcome::Overloaded ||
         result.outcome == Outcome::Timeout)) {
        double cache_failures = failure_share_without(*cache, *upstream, now),
               upstream_failures = failure_share_without(*upstream, *cache, now);
        upstream_failed = upstream_failures >= cache_failures;
        cache_failed = cache_failures >= upstream_failures;
    }
    if (cache) record_load(router, *cache, result.load, now);
    router.load_in_responses |= result.load.count > 0;
    if (cache && !caused_here) {
        if (result.outcome != Outcome::Timeout && result.outcome != Outcome::ConnectFailed)
            record_reachable(*cache, now);
        if (result.outcome == Outcome::ConnectFailed && cache->unreachable_since == 0)
            cache->unreachable_since = now;
        if (cache_failed && result.outcome != Outcome::Miss)
            add_sample(cache->failures, now, ok ? 0 : 1, short_history, upstream && !hit ? upstream->id : 0);
        if (hit) {
            add_sample(cache->slowness, now, result.elapsed / std::max<double>(lookup.sending_time, 10 * ms));
            add_sample(cache->slack_used, now, slack_used_by(lookup, result.elapsed));
        }
        if (ok) add_sample(cache->answered, now, lookup.sending_time, long_history);
    }
    if (upstream && !hit && result.outcome != Outcome::NotSent) {
        if (ok || (upstream_failed && result.outcome != Outcome::Timeout)) record_response(*upstream, now);
        if (ok || upstream_failed)
            add_sample(upstream->failures, now, ok ? 0 : 1, short_history, attempt.cache);
        Micros first = result.first_byte_wait > 0 ? result.first_byte_wait
                                                  : std::max<Micros>(0, result.elapsed - lookup.sending_time);
        if (ok || (upstream_failed && router.cache_status_reporting == CacheStatusReporting::All) ||
            first > first_byte_time(*upstream, 0, now))
            add_sample(upstream->first_byte_times, now, first, long_history);
        if (ok) add_sample(upstream->answered, now, lookup.sending_time, long_history);
        if (ok) add_sample(type.filled, now, lookup.sending_time, long_history);
    }
    if (upstream && !hit && !lookup.only_if_cached && !caused_here && result.outcome != Outcome::Miss)
        add_sample(type.fill_slack_used, now, ok ? slack_used_by(lookup, result.elapsed) : failed_fill_slack,
                   short_history, upstream->id);
    if (upstream && hit) {  // the upstream was never asked, so its charge is returned
        std::erase_if(upstream->cold_spending,
                      [&](auto& s) { return s.at == attempt.charged_at && s.value == attempt.work; });
        if (upstream->quota >= 0)
            add_sample(upstream->returned_quota, attempt.charged_at, attempt.work, 1024);
    }
    remove_in_flight(cache, lookup.info.id, result.attempt);
    remove_in_flight(upstream, lookup.info.id, result.attempt);
    if (ok) {
        add_sample(type.answered, now, lookup.sending_time, long_history);
        add_sample(type.excess_times, now, result.elapsed - lookup.sending_time, long_history);
        // The parts of an object are alike, so its quickest answer tells the size that the client did not.
        if (lookup.info.kbytes <= 0) {
            auto count = router.object_counts.find(lookup.info.object);
            if (count != router.object_counts.end() &&
                (count->second.sending_time == 0 || result.elapsed < count->second.sending_time))
                count->second.sending_time = result.elapsed;
            if (hit)
                add_sample(type.sending_times, now,
                           count != router.object_counts.end() ? count->second.sending_time : result.elapsed,
                           long_history);
        }
        router.retry_credit = std::min(max_retry_credit, router.retry_credit + retry_credit_per_answer);
    }

    RoutingDecision decision;
    if (ok || result.lookup_closed || lookup.done) {
        if (!lookup.done) cancel_attempts(router, lookup, decision);
        lookup.done = true;
        erase_if_finished(router, lookup);
        return decision;
    }
    if (upstream_failed) lookup.failed_upstreams.push_back(attempt.upstream);
    if (cache_failed && !caused_here) lookup.failed_caches.push_back(attempt.cache);
    for (auto& other : lookup.attempts)
        if (other.in_flight) return decision;  // a hedged attempt is still in flight
    if (lookup.no_upstream || lookup.only_if_cached) return end_unserved(router, lookup, now);
    Server* next = time_left(lookup, now) > lookup.sending_time && router.retry_credit >= 1
                       ? pick_cache(router, lookup, now)
                       : nullptr;
    if (!next) return end_unserved(router, lookup, now);
    router.retry_credit -= 1;
    return send_attempt(router, lookup, *next, now);
}

RoutingDecision LookupHandle::streaming_started(int attempt, Micros /*elapsed*/, Micros /*now*/) {
    RoutingDecision decision;
    lookup.done = true;
    cancel_attempts(router, lookup, decision, attempt);
    return decision;
}

// Where hedging costs little, an answer that is later than nearly all of its type is taken for lost. Prevents
// a lookup whose answer stalls from waiting for its deadline and counting as congestion.
bool overdue(const Router& router, const PendingLookup& lookup, const AttemptState& attempt, Micros now) {
    auto& type = router.traffic_types[lookup.info.traffic];
    auto excess_times = recent_values(type.excess_times, now, load_report_lifetime);
    return may_hedge(router, lookup) && type.idempotency == Idempotency::Idempotent &&
           router.retry_credit >= max_retry_credit / 2 && excess_times.size() >= long_history / 2 &&
           now - attempt.sent_at >= lookup.sending_time + median(excess_times, 0, hedge_quantile) &&
           cache_congestion(router, now) < cache_shed_start &&
           link_congestion(router, now) < link_shed_start &&
           median(values_of(type.fill_slack_used), 0) < usual_fill_slack;
}

// When the lookup's cache has become unhealthy, the lookup goes to another cache: as a hedged attempt where
// that is allowed, else after the first attempt was cancelled.
RoutingDecision LookupHandle::check(Micros now) {
    if (lookup.done) return {};
    if (time_left(lookup, now) <= 0) return end_unserved(router, lookup, now);
    RoutingDecision decision;
    decision.next_check = std::max<Micros>(1, std::min(time_left(lookup, now), check_interval));
    if (lookup.moving_to_other_cache || router.retry_credit < 1 ||
        time_left(lookup, now) < lookup.sending_time)
        return decision;
    int in_flight_count = 0;
    for (auto& attempt : lookup.attempts)
        if (attempt.in_flight) {
            in_flight_count++;
            Server* cache = find_server(router, attempt.cache);
            bool healthy = cache && !ejection_reason(router, *cache, now);
            if (healthy && !overdue(router, lookup, attempt, now)) return decision;
            if (!healthy && !contains(lookup.failed_caches, attempt.cache))
                lookup.failed_caches.push_back(attempt.cache);
            if (healthy) lookup.failed_upstreams.push_back(attempt.upstream);
        }
    if (in_flight_count != 1) return decision;
    if (!may_hedge(router, lookup)) {
        if (router.cancellation &&
            router.traffic_types[lookup.info.traffic].idempotency == Idempotency::Idempotent) {
            lookup.moving_to_other_cache = true;
            cancel_attempts(router, lookup, decision);
        }
        return decision;
    }
    Server* next = pick_cache(router, lookup, now);
    if (!next || ejection_reason(router, *next, now)) return decision;
    router.retry_credit -= 1;
    return send_attempt(router, lookup, *next, now);
}

RoutingDecision LookupHandle::client_left() {
    RoutingDecision decision = streaming_started(-1, 0, 0);
    erase_if_finished(router, lookup);
    return decision;
}

// Prevents a connection that opens late from sending an attempt that is no longer right: to a server that
// drains by now or has started again, with a copy age from before a purge, or past the window of an
// idempotency key. The cold budget is charged from now on, as the work reaches the server now.
bool LookupHandle::confirm_send(int number, AttemptPlan& plan, Micros now) {
    if (lookup.done || number < 0 || number >= static_cast<int>(lookup.attempts.size())) return false;
    auto& attempt = lookup.attempts[number];
    Server* cache = find_server(router, attempt.cache);
    if (!attempt.in_flight || !cache || time_left(lookup, now) <= 0) return false;
    if (!compatible_with_other_attempts(router, lookup, number, *cache, now)) return false;
    Server* upstream = attempt.upstream == attempt.cache ? nullptr : find_server(router, attempt.upstream);
    auto unchanged = [](Server& server, Micros since) {
        return server.state == EndpointState::Ready && cold_since(server) == since;
    };
    if (!unchanged(*cache, attempt.cache_cold_since)) return false;
    if (upstream ? !unchanged(*upstream, attempt.upstream_cold_since)
                 : attempt.upstream != 0 && attempt.upstream != attempt.cache)
        return false;
    for (Server* server : {cache, upstream}) {
        if (!server) continue;
        auto charged = std::find_if(server->cold_spending.begin(), server->cold_spending.end(), [&](auto& s) {
            return s.at == attempt.charged_at && s.value == attempt.work;
        });
        if (charged != server->cold_spending.end()) charged->at = now;
    }
    attempt.charged_at = now;
    plan.max_copy_age = max_copy_age(router, lookup.info, now);
    return true;
}

void Router::probe_ended(CacheId id, Outcome outcome, Micros /*elapsed*/, const LoadReport& load,
                         Micros now) {
    Server* server = find_server(*this, id);
    if (!server) return;
    record_load(*this, *server, load, now);
    if (outcome == Outcome::Ok)
        record_reachable(*server, now);
    else if (outcome != Outcome::NotSent &&
             server->unreachable_since == 0)  // NotSent: the server was not asked
        server->unreachable_since = now;
}

// Two samples are enough for a report: other routers have their own, and weight them together.
std::vector<HealthReport> Router::health_reports(Micros now) const {
    std::vector<double> peer_failure_shares, peer_slowdowns;
    std::vector<HealthReport> measured, reports;
    std::vector<const Server*> measured_server;
    for (auto& server : servers) {
        auto failures = recent_values(server.failures, now), slowness = recent_values(server.slowness, now);
        double samples = std::max(failures.size(), slowness.size());
        if (server.state != EndpointState::Ready || is_origin(*this, server)) continue;
        if (server.unreachable_since > 0) failures.assign(2, 1), samples = std::max(samples, 2.0);
        if (samples < 2) continue;
        measured.push_back({server.id, server.started_at, samples, mean(failures, 0), median(slowness, 0)});
        measured_server.push_back(&server);
    }
    for (std::size_t i = 0; i < measured.size(); i++) {
        peer_failure_shares.clear(), peer_slowdowns.clear();
        for (std::size_t j = 0; j < measured.size(); j++) {
            if (j == i || !same_role(*this, *measured_server[i], *measured_server[j])) continue;
            peer_failure_shares.push_back(measured[j].failure_share);
            if (measured[j].slowdown > 0) peer_slowdowns.push_back(measured[j].slowdown);
        }
        HealthReport report = measured[i];
        report.slowdown =
            peer_slowdowns.empty() ? 0 : report.slowdown / std::max(1.0, median(peer_slowdowns, 1));
        if (report.failure_share >
                std::max(max_failure_share, max_ratio_to_peers * median(peer_failure_shares, 0)) ||
            report.slowdown > max_ratio_to_peers)
            reports.push_back(report);
    }
    return reports;
}

int Router::measured_servers(Micros now) const {
    return static_cast<int>(std::count_if(servers.begin(), servers.end(), [&](auto& server) {
        return server.unreachable_since > 0 || recent_values(server.failures, now).size() > 1;
    }));
}

// Probes silent and unreachable caches, and logs ejections and their end.
Maintenance Router::run_maintenance(Micros now) {
    Maintenance maintenance;
    maintenance.next_check = maintenance_interval;
    maintenance.subscribe = std::exchange(list_wanted, false);
    add_sample(upstream_in_flight, now, in_flight_at_upstreams(*this), long_history);
    // Without recent reports of the link's utilization, one cache at a time is probed for it.
    bool link_report_missing = probes && link_utilization_index >= 0 && !load_in_responses;
    // A probe is charged as a lookup of the smallest type.
    double least_work = mean_sending_time(traffic_types.front());
    for (auto& type : traffic_types) least_work = std::min(least_work, mean_sending_time(type));
    for (auto& server : servers)
        if (is_edge(*this, server) &&
            !recent_values(server.link_utilization, now, link_report_interval).empty())
            link_report_missing = false;
    for (auto& server : servers) {
        if (server.state != EndpointState::Ready || !is_edge(*this, server)) continue;
        const char* reason = ejection_reason(*this, server, now);
        bool silent = server.unreachable_since > 0 || silence_in_gaps(server, now) > max_silence;
        if ((link_report_missing || (silent && probes)) &&
            now - server.last_probe_at >= half_open_probe_interval &&
            within_cold_budget(*this, server, least_work, now)) {
            link_report_missing = false;
            server.last_probe_at = now;
            charge(*this, server, least_work, now);
            maintenance.probe.push_back(server.id);
        }
        if (server.ejected != (reason != nullptr))
            maintenance.log.push_back("cache " + std::to_string(server.id) +
                                      (reason ? ": " : " is no longer ejected") + (reason ? reason : ""));
        server.ejected = reason != nullptr;
    }
    return maintenance;
}

}  // namespace quillgrade
