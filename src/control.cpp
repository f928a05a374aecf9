// The decisions of quillgrade, all of them. The interface and the state are in control.hpp.
//
// One Router stands for one router process; all that happens to a lookup is a call on its handle. Nothing
// here knows a clock, a file or a name: the time comes with each call and chance from the seed. The design:
// docs/design.md.
#include "control.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace quillgrade {

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;

// The shield: the design's starting values.
constexpr double whole_p = 20, least_p = 0.5, most_p = 1, q = 0.5;
constexpr Micros halving = 30 * second;
constexpr std::size_t most_names = 16384;  // a name costs some 40 bytes, so this is under a megabyte
constexpr int kept_rank = 2;

// Measurements: enough samples to tell a trend, few enough that a recovery shows within seconds.
constexpr std::size_t few = 16, many = 64, enough = 6;
constexpr Micros sample_life = 5 * second, first_byte_life = 20 * second, report_life = 2 * second;

// Judging servers.
constexpr double unusual_silence = 8;  // mean gaps; an exponential gap is that long once in 3,000 times
constexpr Micros least_gap = 30 * ms, unknown_gap = 200 * ms;
constexpr double bad_share = 0.3, far_worse = 2.5;  // failing or slow beside its peers
constexpr double trial_gaps = 20, clearly = 1.5,
                 least_in_flight = 6;  // lookups for each trial; times as quick
constexpr Micros trial_every = 500 * ms, judge_every = 50 * ms, flight_wait = second;  // later: a fill's wait

// Guards.
constexpr double budget_margin = 0.6, least_link = 2;  // for what others get wrong; where no link is known
constexpr double credit_per_answer = 0.15, most_credit = 20, nearly_all = 0.95;
// Shares of the room between sending and goal time, from where shedding begins to where nearly all goes.
constexpr double crowded = 0.2, jammed = 1.0;
constexpr double fills_crowded = 0.1, fills_jammed = 0.8, usual_fill_room = 0.7, failed_fill_room = 1.5;
constexpr double link_crowded = 1, link_jammed = 4;  // transfers over those that fit at full pace
constexpr Micros look_every = 100 * ms, tend_every = 100 * ms, listen_every = 500 * ms;

void add(Samples& samples, Micros at, double value, std::size_t most = few, CacheId with = 0) {
    samples.push_back({at, value, with});
    if (samples.size() > most) samples.pop_front();
}

std::vector<double> recent(const Samples& samples, Micros now, Micros life = sample_life) {
    std::vector<double> values;
    for (auto& sample : samples)
        if (now - sample.at < life) values.push_back(sample.value);
    return values;
}

double mean(const std::vector<double>& values, double none) {
    if (values.empty()) return none;
    return std::accumulate(values.begin(), values.end(), 0.0) / values.size();
}

double median(std::vector<double> values, double none, double share = 0.5) {
    if (values.empty()) return none;
    auto wanted = values.begin() + static_cast<std::ptrdiff_t>(values.size() * share);
    std::nth_element(values.begin(), wanted, values.end());
    return *wanted;
}

std::vector<double> all(const Samples& samples) { return recent(samples, 0); }

// Between 0 and 1, and never either.
double unit_of(std::uint64_t x) {
    x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9U;
    x = (x ^ x >> 27) * 0x94d049bb133111ebU;
    return ((x ^ x >> 31) >> 11) * 0x1p-53 + 0x1p-54;
}

// Rendezvous hashing: each object orders all servers in its own way, in proportion to their ratings.
double draw_of(ObjectId object, const Server& server, bool rated) {
    double unit = unit_of(object * 0x9e3779b97f4a7c15U ^ server.id * 0xd6e8feb86659fd93U);
    return std::log(unit) / (rated && server.weight > 0 ? server.weight : 1.0);
}

bool is_parent(const Router& router, const Server& server) { return server.kind == router.parent_kind; }
bool is_origin(const Router& router, const Server& server) { return server.kind == router.origin_kind; }
bool is_edge(const Router& router, const Server& server) {
    return !is_parent(router, server) && !is_origin(router, server) && server.zone == router.zone;
}
bool same_role(const Router& router, const Server& a, const Server& b) {
    return is_parent(router, a) == is_parent(router, b) && is_edge(router, a) == is_edge(router, b);
}

std::vector<Server*> in_hash_order(Router& router, ObjectId object,
                                   bool (*role)(const Router&, const Server&)) {
    std::vector<std::pair<double, Server*>> drawn;
    for (auto& server : router.servers)
        if (server.state == EndpointState::Ready && role(router, server))
            drawn.emplace_back(draw_of(object, server, router.weights_are_link_rates), &server);
    std::sort(drawn.begin(), drawn.end(), [](auto& a, auto& b) {
        return a.first != b.first ? a.first > b.first : a.second->id < b.second->id;
    });
    std::vector<Server*> order;
    order.reserve(drawn.size());
    for (auto& entry : drawn) order.push_back(entry.second);
    return order;
}

// A copy is a copy of one part, and at the edge each part has a place of its own in the hash order: the parts
// of a long object would else ask one cache in a convoy. The count, the draw and the parents stay with the
// object.
ObjectId part_key(const LookupInfo& lookup) {
    return lookup.object + static_cast<ObjectId>(0x51ed2701U * lookup.part);
}

bool holds(const std::vector<CacheId>& ids, CacheId id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

double mean_sending(const TrafficType& traffic) {
    return mean(all(traffic.sending_times), traffic.latency_goal);
}

double rate(const Samples& finished, Micros now) {
    if (finished.size() < enough) return 0;
    return mean(all(finished), 0) * finished.size() / std::max<Micros>(now - finished.front().at, 100 * ms);
}

// Rate times time: as many lookups as the server answers, as measured, within a usual goal time.
double most_in_flight(const Router& router, const Server& server) {
    if (server.answered.size() < enough) return least_in_flight;
    double span = std::max<Micros>(server.answered.back().at - server.answered.front().at, 100 * ms);
    double time = 0;
    for (auto& type : router.traffic_types)
        time += type.latency_goal + type.latency_goal_factor * mean_sending(type);
    return std::max(least_in_flight, server.answered.size() / span * time / router.traffic_types.size());
}

// The share of a server's verdicts that are failures, leaving out those it shares with `other`.
double failing_without(const Server& server, const Server& other, Micros now) {
    std::vector<double> verdicts;
    for (auto& sample : server.failures)
        if (sample.other_server != other.id && now - sample.at < sample_life)
            verdicts.push_back(sample.value);
    return mean(verdicts, 0);
}

Micros cold_since(const Server& server) { return std::max(server.started_at, server.reachable_since); }

bool is_cold(const Router& router, const Server& server, Micros now) {
    Micros since = cold_since(server);
    return since > 0 &&
           now - since < (is_parent(router, server) ? router.parent_cold_period : router.cold_period);
}

// When the first answer of those in flight is due, 0 if none is.
Micros first_due(const Server& server) {
    Micros first = 0;
    for (auto& flight : server.in_flight)
        if (first == 0 || flight.sent_at + flight.expected_time < first)
            first = flight.sent_at + flight.expected_time;
    return first;
}

void sound(Server& server, Micros now) {
    Micros due = first_due(server);
    if (due > 0 && now > std::max(due, server.last_response_at))
        add(server.response_gaps, now, now - std::max(due, server.last_response_at));
    server.last_response_at = now;
}

void reached(Server& server, Micros now) {
    sound(server, now);
    if (server.unreachable_since > 0 && now - server.unreachable_since > second) server.reachable_since = now;
    server.unreachable_since = 0;
}

void hear(const Router& router, Server& server, const LoadReport& load, Micros now) {
    if (router.link_utilization_index >= 0 && router.link_utilization_index < load.count)
        add(server.link_utilization, now, load.values[router.link_utilization_index]);
}

void land(Server* server, LookupId lookup, int round) {
    if (!server) return;
    std::erase_if(server->in_flight, [&](auto& f) { return f.lookup == lookup && f.attempt == round; });
}

Server* origin_of(Router& router) {
    for (auto& server : router.servers)
        if (server.state == EndpointState::Ready && is_origin(router, server)) return &server;
    return nullptr;
}

// Every so often one lookup tries a server out of favour, less often where few come: trials by many routers
// would else become what is mostly sent to it.
bool on_trial(const Router& router, Server& server, Micros now) {
    double gap = 0;
    if (router.recent_lookups.size() >= enough)
        gap = double(router.recent_lookups.back().at - router.recent_lookups.front().at) /
              router.recent_lookups.size();
    if (now - server.last_half_open_probe_at < std::max<double>(trial_every, trial_gaps * gap)) return false;
    server.last_half_open_probe_at = now;
    return true;
}

// What an answer after `lag` has used of the room between sending and goal time.
double room_of(const PendingLookup& held, Micros lag) {
    return (lag - held.sending_time) /
           std::max<double>(held.goal_at - held.received_at - held.sending_time, ms);
}

void spend(const Router& router, Server& server, double work, Micros now) {
    if (is_cold(router, server, now)) add(server.cold_spending, now, work, 1024);
    if (server.quota > 0) server.quota -= std::min(work, server.quota);
}

Micros left_of(const PendingLookup& held, Micros now) { return held.info.deadline - now; }

RoutingDecision transmit(Router& router, PendingLookup& held, Server& cache, Micros now) {
    // Straight at a parent only that parent itself or the origin may be named; anything else is a fault.
    Server* origin = origin_of(router);
    CacheId source_id = cache.id;
    if (is_edge(router, cache) && !held.no_upstream) source_id = pick_upstream(router, held, now);
    if (Server* source = find_server(router, source_id);
        held.only_if_cached && (!source || !is_parent(router, *source)))
        source_id = cache.id;
    if (is_parent(router, cache) && origin) source_id = origin->id;
    auto& type = router.traffic_types[held.info.traffic];
    double work = mean_sending(type);
    auto expected = held.sending_time + static_cast<Micros>(median(all(type.excess_times), 0));
    auto round = static_cast<int>(held.attempts.size());
    Server* filled_from = find_server(router, source_id);
    AttemptState sent{cache.id, source_id, now, static_cast<Micros>(work)};
    sent.cache_cold_since = cold_since(cache);
    sent.upstream_cold_since = filled_from ? cold_since(*filled_from) : 0;
    sent.charged_at = now;
    held.attempts.push_back(sent);
    InFlight flight{held.info.id, round, held.info.traffic, now, expected, held.sending_time};
    cache.in_flight.push_back(flight);
    spend(router, cache, work, now);
    if (filled_from && filled_from != &cache) {
        filled_from->in_flight.push_back(flight);
        spend(router, *filled_from, work, now);
    }
    RoutingDecision answer;
    answer.send = {.cache = cache.id,
                   .upstream = source_id,
                   .rank = held.keep ? kept_rank : 0,
                   .max_copy_age = max_copy_age(router, held.info, now),
                   .time_limit = 0,
                   .collapse = router.collapsing,
                   .refresh = held.keep && type.fresh_for > 0,
                   .only_if_cached = held.only_if_cached};
    answer.next_check = std::max<Micros>(1, std::min(left_of(held, now), std::max(look_every, 2 * expected)));
    return answer;
}

void withdraw_rest(Router& router, PendingLookup& held, RoutingDecision& answer, int but = -1) {
    if (!router.cancellation) return;
    for (int i = 0; i < static_cast<int>(held.attempts.size()); i++)
        if (held.attempts[i].in_flight && i != but) answer.cancel.push_back(i);
}

void forget_if_over(Router& router, PendingLookup& held) {
    bool out =
        std::any_of(held.attempts.begin(), held.attempts.end(), [](auto& round) { return round.in_flight; });
    if (held.done && !out) router.lookups.erase(held.info.id);
}

// The final answer, given at once: a rejection where the rules let the client ask again, else a break-off.
RoutingDecision give_up(Router& router, PendingLookup& held, Micros now) {
    RoutingDecision answer;
    answer.final_result =
        may_reject(router, held) && left_of(held, now) > 0 ? FinalResult::Rejected : FinalResult::Failed;
    if (answer.final_result == FinalResult::Rejected) answer.retry_after = router.max_retry_after;
    held.done = true;
    withdraw_rest(router, held, answer);
    forget_if_over(router, held);
    return answer;
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
    retry_credit = most_credit / 2;
    random.state = seed;
    random.next();
}

// 20 over the location's routers, for those whose counts are known here: where all are heard, each decides by
// what the location was asked for, and a part that is cut off as a location of that part's size.
double Router::p() const { return std::clamp(whole_p * counting_routers / edge_routers, least_p, most_p); }

Server* find_server(Router& router, CacheId id) {
    auto at = std::lower_bound(router.servers.begin(), router.servers.end(), id,
                               [](auto& server, CacheId wanted) { return server.id < wanted; });
    return at != router.servers.end() && at->id == id ? &*at : nullptr;
}

void Router::update_endpoints(const std::vector<EndpointEntry>& entries, bool complete, Micros now) {
    if (first_list_at == 0) first_list_at = now;
    if (complete)
        for (auto& server : servers) server.state = EndpointState::Gone;
    std::vector<CacheId> fresh;  // thousands may come at once, so they are put in order together
    for (auto& entry : entries)
        if ((entry.zone == zone || entry.kind == parent_kind || entry.kind == origin_kind) &&
            !find_server(*this, entry.id))
            fresh.push_back(entry.id);
    std::sort(fresh.begin(), fresh.end());
    fresh.erase(std::unique(fresh.begin(), fresh.end()), fresh.end());
    auto known = static_cast<std::ptrdiff_t>(servers.size());
    for (auto id : fresh) servers.emplace_back().id = id;
    std::inplace_merge(servers.begin(), servers.begin() + known, servers.end(),
                       [](auto& a, auto& b) { return a.id < b.id; });
    for (auto& entry : entries) {
        Server* server = find_server(*this, entry.id);
        if (!server) continue;  // other locations' caches are never asked, so they cost nothing
        if (entry.started_at > server->started_at) {  // a new process: what was measured was of the old one
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
    std::erase_if(servers,
                  [](auto& server) { return server.state == EndpointState::Gone; });  // else memory grows
}

void Router::endpoint_list_failed() { list_wanted = true; }

void Router::record_purge(ObjectId object, int group, Micros how_old, Micros now) {
    std::erase_if(purged_objects, [&](auto& known) { return known.second.until < now; });
    std::erase_if(purged_groups, [&](auto& known) { return known.second.until < now; });
    Purge purge{now - how_old, now - how_old + purge_retention};
    auto& known = object ? purged_objects[object] : purged_groups[group];
    if (purge.at > known.at) known = purge;
}

// No copy older than the latest purge will do, until no such copy can be left; 0 leaves it at the fresh time.
Micros max_copy_age(const Router& router, const LookupInfo& lookup, Micros now) {
    Micros fresh = router.traffic_types[lookup.traffic].fresh_for;
    Micros oldest = fresh;
    auto heed = [&](auto& purges, auto key) {
        auto found = purges.find(key);
        if (found == purges.end() || found->second.until + second < now) return;
        Micros since = std::max<Micros>(1, now - found->second.at);
        oldest = oldest > 0 ? std::min(oldest, since) : since;
    };
    heed(router.purged_objects, lookup.wire_object ? lookup.wire_object : lookup.object);
    heed(router.purged_groups, lookup.group);
    return oldest == fresh ? 0 : oldest;
}

// CacheShield: a first part raises its object's count and draws; a kept name goes on asking keep while its
// count stays, and later parts follow. One whose name is not known (since a restart) counts as the first one
// seen.
bool keep_or_pass(Router& router, const LookupInfo& lookup, Micros now) {
    if (lookup.write || router.traffic_types[lookup.traffic].write) return false;
    auto known = router.object_counts.find(lookup.object);
    if (lookup.part > 0 && known != router.object_counts.end()) return known->second.keep;
    if (router.halved_at == 0) router.halved_at = now;
    while (now - router.halved_at >= halving ||
           (known == router.object_counts.end() && router.object_counts.size() >= most_names)) {
        for (auto& [object, name] : router.object_counts) name.lookups /= 2;
        std::erase_if(router.object_counts, [](auto& name) { return name.second.lookups == 0; });
        router.halved_at = now;
        known = router.object_counts.find(lookup.object);
    }
    auto& name = router.object_counts[lookup.object];
    name.lookups++;
    if (router.random.unit() < psi(name.lookups + lookup.lookups_elsewhere, router.p())) name.keep = true;
    return name.keep;
}

// How many mean gaps long the present silence of a server is, counted from when its next answer was due.
double silence_in_gaps(const Server& server, Micros now) {
    Micros due = first_due(server), since = std::max(due, server.last_response_at);
    if (due == 0 || now <= since) return 0;
    double gap = server.response_gaps.size() < 4 ? unknown_gap : mean(all(server.response_gaps), unknown_gap);
    return (now - since) / std::max<double>(gap, least_gap);
}

const char* beside_peers(const Router& router, const Server& server, Micros now) {
    auto verdicts = recent(server.failures, now), slowness = recent(server.slowness, now);
    // Nothing to say of what was hardly measured; going through all peers for each would cost their square.
    // There others have the word, as far as they agree. Own samples beat them.
    if (verdicts.size() < enough && slowness.size() < enough) {
        if (server.peer_report.samples < enough) return nullptr;
        if (server.peer_report.failure_share > bad_share) return "failing, by hearsay";
        return server.peer_report.slowdown > far_worse ? "slow, by hearsay" : nullptr;
    }
    std::vector<double> peers_bad, peers_slow;
    bool own_fault = is_parent(router, server) && router.cache_status_reporting == CacheStatusReporting::All;
    for (auto& peer : router.servers) {
        if (peer.id == server.id || peer.state != EndpointState::Ready) continue;
        if (!(own_fault ? is_origin(router, peer) : same_role(router, peer, server))) continue;
        auto bad = recent(peer.failures, now), slow = recent(peer.slowness, now);
        if (bad.size() >= enough) peers_bad.push_back(mean(bad, 0));
        if (slow.size() >= enough) peers_slow.push_back(median(slow, 1));
    }
    double usual = far_worse * median(peers_bad, 0);
    if (verdicts.size() >= enough && mean(verdicts, 0) > std::max(bad_share, usual)) return "failing";
    if (slowness.size() >= enough && !peers_slow.empty() &&
        median(slowness, 1) > far_worse * std::max(1.0, median(peers_slow, 1)))
        return "slow";
    return nullptr;
}

// What speaks against a server now, nullptr if nothing: each sign is measured against its peers, so that
// trouble which all of them share is not laid at the door of one. Only where the notes tell a parent's own
// failures from the origin's do parents not excuse each other. Peers change slowly, so the comparison holds
// for a moment.
const char* ejection_reason(const Router& router, const Server& server, Micros now) {
    if (server.unreachable_since > 0) return "unreachable";
    if (silence_in_gaps(server, now) > unusual_silence) return "silent";
    if (now - server.evaluated_at >= judge_every) {
        server.evaluated_at = now;
        server.evaluated_reason = beside_peers(router, server, now);
    }
    return server.evaluated_reason;
}

// What the settings allow a server of so wide a link within any window, that long after its start, as sending
// time.
double total_cold_budget(const RoutingSettings& site, bool parent, double link, Micros age) {
    double from = parent ? site.parent_cold_initial_share : site.cold_initial_share;
    double grown = std::max<double>(0, age - site.cold_budget_window);
    double share = from + (1 - from) * grown / (parent ? site.parent_cold_period : site.cold_period);
    return (parent ? site.parent_cold_budget_multiple : site.cold_budget_multiple) *
           (share * link * site.cold_budget_window);
}

// Chance that is drawn once for each server and window, at other times in each router.
double drawn_for(const Router& router, const Server& server, Micros now) {
    std::uint64_t x = router.seed ^ server.id * 0xd6e8feb86659fd93U;
    auto window = std::max<Micros>(router.cold_budget_window, ms);
    return unit_of(x ^ ((now + x % window) / window) * 0x9e3779b97f4a7c15U);
}

// A cold server may be asked, by all routers together and within any window, for a multiple of what it can
// do; this router takes its share, less a margin. Where that is less than one lookup, one is sent in as many
// windows as come up to it, drawn by chance, so that all routers together keep to the whole but for chance.
// Where the link is not told, what this router has seen the server's like carry stands for it, or what it has
// answered itself since its start, at the ratio at which the settings let a server start: more would be
// pushed by all who have been answered. Where the routers share the whole, what this one holds of it now
// stands for all that.
bool within_cold_budget(const Router& router, const Server& server, double work, Micros now) {
    if (!is_cold(router, server, now)) return true;
    server.quota_demand += work;
    server.quota_demand_per_lookup = work;
    if (server.quota >= 0) return work <= server.quota;
    bool parent = is_parent(router, server);
    double sharers = parent ? router.parent_routers : router.edge_routers;
    double link = (router.weights_are_link_rates ? server.weight : least_link) / sharers;
    if (!router.weights_are_link_rates) {
        std::vector<double> seen;
        for (auto& peer : router.servers)
            if (same_role(router, peer, server) && peer.answered.size() >= enough)
                seen.push_back(rate(peer.answered, peer.answered.back().at));
        double answered = 0;
        for (auto& sample : server.answered)
            if (sample.at > std::max(cold_since(server), now - router.cold_budget_window))
                answered += sample.value;
        link = std::max({link, mean(seen, 0), answered / std::max<Micros>(router.cold_budget_window, ms)});
    }
    // A life knows nothing of what the one before it has sent within the window. Guards against restarted
    // routers that spend their part twice.
    double since_start = std::clamp(
        double(now - router.first_list_at) / std::max<Micros>(router.cold_budget_window, ms), 0.0, 1.0);
    double mine =
        budget_margin * since_start * total_cold_budget(router, parent, link, now - cold_since(server));
    double spent = work;
    for (auto& sample : server.cold_spending)
        if (now - sample.at < router.cold_budget_window + 100 * ms) spent += sample.value;
    if (mine >= work) return spent <= mine;
    return spent <= work && drawn_for(router, server, now) < mine / work;
}

// The smoothed first-byte time of a source. What is out for longer than the usual answer counts with what it
// has waited so far: else a parent that answers few of its fills is judged by these few. Guards against slow,
// silent and cold parents alike; it hurts where lookups are out long for a cache's own reasons, but at all
// sources alike.
double first_byte_time(const Server& source, double average, Micros now) {
    auto times = recent(source.first_byte_times, now, first_byte_life);
    double usual = mean(times, average);
    for (auto& flight : source.in_flight)
        if (double waited = now - flight.sent_at - flight.sending_time; waited > usual)
            times.push_back(waited);
    return mean(times, average);
}

// Of the object's first two parents the first, unless the second's smoothed first-byte time is clearly lower:
// chance would else move all objects to and fro, each kept twice. A parent not heard from lately counts as
// average.
CacheId pick_upstream(Router& router, const PendingLookup& held, Micros now) {
    Server* origin = origin_of(router);
    double work = mean_sending(router.traffic_types[held.info.traffic]);
    auto parents = in_hash_order(router, held.info.object, is_parent);
    std::vector<double> heard;
    for (auto* parent : parents)
        if (!recent(parent->first_byte_times, now, first_byte_life).empty())
            heard.push_back(mean(recent(parent->first_byte_times, now, first_byte_life), 0));
    double average = mean(heard, 0);
    if (parents.size() > 2) parents.resize(2);
    Server* best = nullptr;
    double best_time = 0;
    for (auto* parent : parents) {
        if (holds(held.failed_upstreams, parent->id) || !within_cold_budget(router, *parent, work, now))
            continue;
        if (ejection_reason(router, *parent, now)) {
            if (on_trial(router, *parent, now)) return parent->id;
            continue;
        }
        double time = first_byte_time(*parent, average, now);
        if (!best || clearly * time < best_time) {
            best = parent;
            best_time = time;
        }
    }
    if (best || origin) return best ? best->id : origin->id;
    return parents.empty() ? 0 : parents.front()->id;
}

// The first cache in the object's hash order that nothing speaks against. If all are crowded the least
// crowded one serves, and if all are under complaint the first that the rules leave: the last path stays.
Server* pick_cache(Router& router, const PendingLookup& held, Micros now) {
    double work = mean_sending(router.traffic_types[held.info.traffic]);
    Server *least = nullptr, *last = nullptr;
    double least_crowd = 0;
    for (auto* cache : in_hash_order(router, part_key(held.info), is_edge)) {
        if (!may_attempt(router, held, *cache, now) || !within_cold_budget(router, *cache, work, now))
            continue;
        if (holds(held.failed_caches, cache->id)) continue;
        if (auto* among = held.info.allowed_caches.get();
            among && !among->empty() && !std::binary_search(among->begin(), among->end(), cache->id))
            continue;
        if (ejection_reason(router, *cache, now)) {
            if (held.attempts.empty() && on_trial(router, *cache, now)) return cache;
            if (!last && cache->unreachable_since == 0) last = cache;
            continue;
        }
        double young = 0;  // a fill that waits for its source holds no room at the cache
        for (auto& flight : cache->in_flight)
            young += now - flight.sent_at < flight.sending_time + flight_wait;
        double crowd = young / most_in_flight(router, *cache);
        if (crowd < 1) return cache;
        if (!least || crowd < least_crowd) {
            least = cache;
            least_crowd = crowd;
        }
    }
    return least ? least : last;
}

bool may_hedge(const Router& router, const PendingLookup& held) {
    return router.hedging && !held.info.no_hedging;
}

bool may_follow(Router& router, const PendingLookup& held, std::size_t number, const Server& to, Micros now);

// Rule 2: nothing is sent again that may have run, unless the traffic type allows it there and then.
bool may_attempt(Router& router, const PendingLookup& held, const Server& to, Micros now) {
    int cap = router.max_attempts, own = held.info.max_attempts;
    if (held.done || static_cast<int>(held.attempts.size()) >= (own > 0 ? std::min(own, cap) : cap))
        return false;
    return may_follow(router, held, held.attempts.size(), to, now);
}

// What the other rounds leave open to the one with this number, whether it is decided or written now.
bool may_follow(Router& router, const PendingLookup& held, std::size_t number, const Server& to, Micros now) {
    auto& type = router.traffic_types[held.info.traffic];
    for (auto& round : held.attempts) {
        if (&round == held.attempts.data() + number) continue;
        if (round.in_flight && !may_hedge(router, held)) return false;
        if (!round.in_flight && !round.may_have_executed) continue;
        if (type.idempotency == Idempotency::Idempotent) continue;
        if (type.idempotency == Idempotency::NonIdempotent || now - round.sent_at >= type.dedup_window)
            return false;
        auto* at = find_server(router, round.cache);
        if (!at) return false;
        if (type.dedup_scope == DedupScope::Zone && at->zone != to.zone) return false;
        if (type.dedup_scope == DedupScope::Cell && at->cell != to.cell) return false;
    }
    return true;
}

bool may_reject(const Router& router, const PendingLookup& held) {
    auto& type = router.traffic_types[held.info.traffic];
    if (type.idempotency == Idempotency::Idempotent) return true;
    for (auto& round : held.attempts)
        if ((round.in_flight || round.may_have_executed) &&
            (type.idempotency == Idempotency::NonIdempotent || type.dedup_scope != DedupScope::All))
            return false;
    return true;
}

LookupHandle Router::add_lookup(const LookupInfo& facts, Micros now) {
    auto& type = traffic_types[facts.traffic];
    PendingLookup& lookup = lookups[facts.id] = PendingLookup{.info = facts, .received_at = now};
    add(recent_lookups, now, 1);
    if (facts.kbytes > 0) {
        lookup.sending_time =
            static_cast<Micros>(facts.kbytes / client_kb_per_us);  // one too large may be made up
        if (lookup.sending_time <= facts.deadline - now)
            add(type.sending_times, now, lookup.sending_time, many);
    } else if (auto name = object_counts.find(facts.object);
               name != object_counts.end() && name->second.sending_time > 0) {
        lookup.sending_time = name->second.sending_time;
    } else {
        // Nothing is known: one of the last seen stands for it, so that shedding takes a share of such
        // lookups.
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

// What an answer that takes `time`, as the average of the work, has used of the room between the sending time
// and the goal time: 0 where nothing waits, 1 where the usual answer comes at its goal time.
double room_used(const TrafficType& type, double time) {
    double sending = 0, goal = 0, asked = 0;
    for (auto& size : type.sending_times) {
        sending += size.value * size.value;
        goal += size.value * (type.latency_goal + type.latency_goal_factor * size.value);
        asked += size.value;
    }
    return goal > sending ? std::max(0.0, (time * asked - sending) / (goal - sending)) : 0;
}

// How much of its room the usual hit used lately at the location's caches. Left out are fills, which wait for
// the link, and caches under complaint, where the few on trial would look like a crowd at all of them.
double cache_congestion(const Router& router, Micros now) {
    std::vector<double> used;
    for (auto& server : router.servers)
        if (is_edge(router, server) && !ejection_reason(router, server, now))
            for (double value : recent(server.slack_used, now)) used.push_back(value);
    return used.size() < enough ? 0 : mean(used, 0);
}

double out_at_sources(const Router& router) {
    double out = 0;
    for (auto& server : router.servers) out += is_edge(router, server) ? 0 : server.in_flight.size();
    return out;
}

// How full the location's link is, as its caches report. Answers repeat a report until the next is made, so
// each cache's last one counts, in proportion to what this router has out by now over what it had out
// meanwhile. Guards against a link that is left empty while it is still called jammed, and then jammed by all
// held back.
double link_congestion(const Router& router, Micros now) {
    std::vector<double> used;
    for (auto& server : router.servers)
        if (auto told = recent(server.link_utilization, now, report_life);
            is_edge(router, server) && !told.empty())
            used.push_back(told.back());
    double meanwhile = mean(recent(router.upstream_in_flight, now, report_life), 0);
    return mean(used, 0) * std::min(1.0, (out_at_sources(router) + 1) / (meanwhile + 1));
}

// Rate times time for what a traffic type fills through the location's link: lookups that name a source and
// are out for longer than a hit takes count whole, the others by the share of misses. Each type for itself,
// as a slow origin makes small lookups late first. Sources under complaint are left out, as others serve in
// their place.
double fill_congestion(const Router& router, int traffic, Micros now) {
    auto& type = router.traffic_types[traffic];
    double filled = rate(type.filled, now), answered = rate(type.answered, now);
    std::vector<CacheId> avoided;
    for (auto& server : router.servers)
        if (!is_edge(router, server) && ejection_reason(router, server, now) &&
            silence_in_gaps(server, now) <= unusual_silence)
            avoided.push_back(server.id);
    std::vector<double> ended;
    for (auto& sample : type.fill_slack_used)
        if (now - sample.at < report_life && !holds(avoided, sample.other_server))
            ended.push_back(sample.value);
    double ended_crowd = ended.size() < enough ? 0 : mean(ended, 0) - usual_fill_room;
    if (filled <= 0) return ended_crowd;
    double out = 0, count = 0, misses = answered > filled ? filled / answered : 1;
    for (auto& server : router.servers)
        if (!is_edge(router, server) && !holds(avoided, server.id))
            for (auto& flight : server.in_flight) {
                if (flight.traffic != traffic) continue;
                double likely = now - flight.sent_at > 2 * flight.sending_time + 100 * ms ? 1 : misses;
                out += flight.sending_time * likely;
                count += likely;
            }
    if (count <= 1) return ended_crowd;
    // A few large ones are chance, not a crowd.
    return std::max(ended_crowd, room_used(type, (1 - 1 / std::sqrt(count)) * out / filled));
}

// Guards against a jam that feeds itself (late answers, clients asking again, caches turning work away). Each
// type's largest lookup go first, as one of them costs as much as many others and all are worth the same: of
// caches and the link a share of the work is freed, of places for fills a share of the lookup. It hurts
// where the crowd would have passed by itself within a goal time.
bool should_shed(const Router& router, const PendingLookup& held, double crowd, double from, double to,
                 bool by_work) {
    double share = std::clamp((to - crowd) / (to - from), 0.05, 1.0);
    auto sizes = all(router.traffic_types[held.info.traffic].sending_times);
    if (share == 1 || sizes.size() < enough) return false;
    std::sort(sizes.begin(), sizes.end());
    double room = share * (by_work ? mean(sizes, 0) * sizes.size() : sizes.size());
    auto cut = sizes.begin();
    for (; room >= (by_work ? *cut : 1) && cut + 1 != sizes.end(); cut++) room -= by_work ? *cut : 1;
    return held.sending_time > *cut;
}

// The ordinary path of a lookup.
RoutingDecision LookupHandle::first_attempt(Micros now) {
    lookup.keep = keep_or_pass(router, lookup.info, now);
    if (lookup.info.kbytes > 0 && lookup.sending_time > left_of(lookup, now))
        return give_up(router, lookup, now);
    if (should_shed(router, lookup, cache_congestion(router, now), crowded, jammed, true))
        return give_up(router, lookup, now);
    lookup.no_upstream =
        should_shed(router, lookup, link_congestion(router, now), link_crowded, link_jammed, true);
    lookup.only_if_cached =
        !lookup.no_upstream && should_shed(router, lookup, fill_congestion(router, lookup.info.traffic, now),
                                           fills_crowded, fills_jammed, false);
    Server* cache = pick_cache(router, lookup, now);
    if (!cache && router.direct && !lookup.no_upstream &&
        !lookup.only_if_cached) {  // straight to the source, shed like a fill
        CacheId source = pick_upstream(router, lookup, now);
        cache = source ? find_server(router, source) : nullptr;
    }
    if (!cache) return give_up(router, lookup, now);
    return transmit(router, lookup, *cache, now);
}

RoutingDecision LookupHandle::attempt_ended(const AttemptResult& end, Micros now) {
    if (end.attempt < 0 || end.attempt >= static_cast<int>(lookup.attempts.size())) return {};
    auto& round = lookup.attempts[end.attempt];
    if (!round.in_flight) return {};
    round.in_flight = false;
    bool proven_idle = end.outcome == Outcome::Overloaded || end.outcome == Outcome::ConnectFailed ||
                       end.outcome == Outcome::NotSent || end.outcome == Outcome::Miss;
    round.may_have_executed = !proven_idle;

    auto& type = router.traffic_types[lookup.info.traffic];
    Server* cache = find_server(router, round.cache);
    Server* source = round.upstream == round.cache ? nullptr : find_server(router, round.upstream);
    bool ok = end.outcome == Outcome::Ok;
    bool hit = ok && (end.cache_status == CacheStatus::Hit || end.cache_status == CacheStatus::Stale);
    bool ours = end.outcome == Outcome::Cancelled || end.outcome == Outcome::NotSent;
    bool by_source = end.cache_status >= CacheStatus::UpstreamBusy &&
                     end.cache_status != CacheStatus::NoFillSlot && end.outcome != Outcome::Miss,
         by_cache = !by_source;
    // Where no note tells whose failure it was, it is laid to the one that fails more in other company, to
    // both if that is alike. Guards against a parent that is down, whose fills come back as refusals by sound
    // caches.
    if (source && cache && !ok && !ours && router.cache_status_reporting != CacheStatusReporting::All &&
        (end.outcome == Outcome::Error || end.outcome == Outcome::Overloaded ||
         end.outcome == Outcome::Timeout)) {
        double cache_bad = failing_without(*cache, *source, now),
               source_bad = failing_without(*source, *cache, now);
        by_source = source_bad >= cache_bad;
        by_cache = cache_bad >= source_bad;
    }
    if (cache) hear(router, *cache, end.load, now);
    router.load_in_responses |= end.load.count > 0;
    if (cache && !ours) {
        if (end.outcome != Outcome::Timeout && end.outcome != Outcome::ConnectFailed) reached(*cache, now);
        if (end.outcome == Outcome::ConnectFailed && cache->unreachable_since == 0)
            cache->unreachable_since = now;
        if (by_cache && end.outcome != Outcome::Miss)
            add(cache->failures, now, ok ? 0 : 1, few, source && !hit ? source->id : 0);
        if (hit) {
            add(cache->slowness, now, end.elapsed / std::max<double>(lookup.sending_time, 10 * ms));
            add(cache->slack_used, now, room_of(lookup, end.elapsed));
        }
        if (ok) add(cache->answered, now, lookup.sending_time, many);
    }
    if (source && !hit && end.outcome != Outcome::NotSent) {
        if (ok || (by_source && end.outcome != Outcome::Timeout)) sound(*source, now);
        if (ok || by_source) add(source->failures, now, ok ? 0 : 1, few, round.cache);
        Micros first = end.first_byte_wait > 0 ? end.first_byte_wait
                                               : std::max<Micros>(0, end.elapsed - lookup.sending_time);
        if (ok || (by_source && router.cache_status_reporting == CacheStatusReporting::All) ||
            first > first_byte_time(*source, 0, now))
            add(source->first_byte_times, now, first, many);
        if (ok) add(source->answered, now, lookup.sending_time, many);
        if (ok) add(type.filled, now, lookup.sending_time, many);
    }
    if (source && !hit && !lookup.only_if_cached && !ours && end.outcome != Outcome::Miss)
        add(type.fill_slack_used, now, ok ? room_of(lookup, end.elapsed) : failed_fill_room, few, source->id);
    if (source && hit) {  // the source was never asked
        std::erase_if(source->cold_spending,
                      [&](auto& s) { return s.at == round.charged_at && s.value == round.work; });
        if (source->quota >= 0) add(source->returned_quota, round.charged_at, round.work, 1024);
    }
    land(cache, lookup.info.id, end.attempt);
    land(source, lookup.info.id, end.attempt);
    if (ok) {
        add(type.answered, now, lookup.sending_time, many);
        add(type.excess_times, now, end.elapsed - lookup.sending_time, many);
        if (lookup.info.kbytes <= 0) {  // parts of an object are alike, so the quickest answer tells the size
            auto name = router.object_counts.find(lookup.info.object);
            if (name != router.object_counts.end() &&
                (name->second.sending_time == 0 || end.elapsed < name->second.sending_time))
                name->second.sending_time = end.elapsed;
            if (hit)
                add(type.sending_times, now,
                    name != router.object_counts.end() ? name->second.sending_time : end.elapsed, many);
        }
        router.retry_credit = std::min(most_credit, router.retry_credit + credit_per_answer);
    }

    RoutingDecision answer;
    if (ok || end.lookup_closed || lookup.done) {
        if (!lookup.done) withdraw_rest(router, lookup, answer);
        lookup.done = true;
        forget_if_over(router, lookup);
        return answer;
    }
    if (by_source) lookup.failed_upstreams.push_back(round.upstream);
    if (by_cache && !ours) lookup.failed_caches.push_back(round.cache);
    for (auto& other : lookup.attempts)
        if (other.in_flight) return answer;  // a second copy is still on its way
    if (lookup.no_upstream || lookup.only_if_cached) return give_up(router, lookup, now);
    Server* next = left_of(lookup, now) > lookup.sending_time && router.retry_credit >= 1
                       ? pick_cache(router, lookup, now)
                       : nullptr;
    if (!next) return give_up(router, lookup, now);
    router.retry_credit -= 1;
    return transmit(router, lookup, *next, now);
}

RoutingDecision LookupHandle::streaming_started(int round, Micros /*lag*/, Micros /*now*/) {
    RoutingDecision answer;
    lookup.done = true;
    withdraw_rest(router, lookup, answer, round);
    return answer;
}

// Where a copy costs little, an answer later than nearly all of its type is taken for lost. Guards against
// answers that break off in silence: the lookup would wait out its time limit and count as a crowd.
bool overdue(const Router& router, const PendingLookup& held, const AttemptState& round, Micros now) {
    auto& type = router.traffic_types[held.info.traffic];
    auto extra = recent(type.excess_times, now, report_life);
    return may_hedge(router, held) && type.idempotency == Idempotency::Idempotent &&
           router.retry_credit >= most_credit / 2 && extra.size() >= many / 2 &&
           now - round.sent_at >= held.sending_time + median(extra, 0, nearly_all) &&
           cache_congestion(router, now) < crowded && link_congestion(router, now) < link_crowded &&
           median(all(type.fill_slack_used), 0) < usual_fill_room;
}

// Called while a lookup is out. When its cache has fallen silent the lookup goes to another one: as a second
// copy where that is allowed, else after the first was withdrawn.
RoutingDecision LookupHandle::check(Micros now) {
    if (lookup.done) return {};
    if (left_of(lookup, now) <= 0) return give_up(router, lookup, now);
    RoutingDecision answer;
    answer.next_check = std::max<Micros>(1, std::min(left_of(lookup, now), look_every));
    if (lookup.moving_to_other_cache || router.retry_credit < 1 || left_of(lookup, now) < lookup.sending_time)
        return answer;
    int out = 0;
    for (auto& round : lookup.attempts)
        if (round.in_flight) {
            out++;
            Server* at = find_server(router, round.cache);
            bool sound = at && !ejection_reason(router, *at, now);
            if (sound && !overdue(router, lookup, round, now)) return answer;
            if (!sound && !holds(lookup.failed_caches, round.cache))
                lookup.failed_caches.push_back(round.cache);
            if (sound) lookup.failed_upstreams.push_back(round.upstream);
        }
    if (out != 1) return answer;
    if (!may_hedge(router, lookup)) {
        if (router.cancellation &&
            router.traffic_types[lookup.info.traffic].idempotency == Idempotency::Idempotent) {
            lookup.moving_to_other_cache = true;
            withdraw_rest(router, lookup, answer);
        }
        return answer;
    }
    Server* next = pick_cache(router, lookup, now);
    if (!next || ejection_reason(router, *next, now)) return answer;
    router.retry_credit -= 1;
    return transmit(router, lookup, *next, now);
}

RoutingDecision LookupHandle::client_left() {
    RoutingDecision answer = streaming_started(-1, 0, 0);
    forget_if_over(router, lookup);
    return answer;
}

// Guards against what a connection that came up late would still carry: to a server that drains by now, or
// that has started again since, after a purge, or past a ticket's window. What is spent counts from now on,
// as that is when it reaches the server.
bool LookupHandle::confirm_send(int number, AttemptPlan& order, Micros now) {
    if (lookup.done || number < 0 || number >= static_cast<int>(lookup.attempts.size())) return false;
    auto& round = lookup.attempts[number];
    Server* cache = find_server(router, round.cache);
    if (!round.in_flight || !cache || left_of(lookup, now) <= 0) return false;
    if (!may_follow(router, lookup, number, *cache, now)) return false;
    Server* source = round.upstream == round.cache ? nullptr : find_server(router, round.upstream);
    auto as_decided = [](Server& at, Micros since) {
        return at.state == EndpointState::Ready && cold_since(at) == since;
    };
    if (!as_decided(*cache, round.cache_cold_since)) return false;
    if (source ? !as_decided(*source, round.upstream_cold_since)
               : round.upstream != 0 && round.upstream != round.cache)
        return false;
    for (Server* at : {cache, source}) {
        if (!at) continue;
        auto spent = std::find_if(at->cold_spending.begin(), at->cold_spending.end(),
                                  [&](auto& s) { return s.at == round.charged_at && s.value == round.work; });
        if (spent != at->cold_spending.end()) spent->at = now;
    }
    round.charged_at = now;
    order.max_copy_age = max_copy_age(router, lookup.info, now);
    return true;
}

void Router::probe_ended(CacheId id, Outcome outcome, Micros /*lag*/, const LoadReport& load, Micros now) {
    Server* server = find_server(*this, id);
    if (!server) return;
    hear(*this, *server, load, now);
    if (outcome == Outcome::Ok)
        reached(*server, now);
    else if (outcome != Outcome::NotSent && server->unreachable_since == 0)  // else nothing was sent
        server->unreachable_since = now;
}

// What stands out is told by two samples: others have theirs, and weigh them together.
std::vector<HealthReport> Router::health_reports(Micros now) const {
    std::vector<double> bads, slows;
    std::vector<HealthReport> all, told;
    std::vector<const Server*> of;
    for (auto& server : servers) {
        auto verdicts = recent(server.failures, now), slowness = recent(server.slowness, now);
        double samples = std::max(verdicts.size(), slowness.size());
        if (server.state != EndpointState::Ready || is_origin(*this, server)) continue;
        if (server.unreachable_since > 0) verdicts.assign(2, 1), samples = std::max(samples, 2.0);
        if (samples < 2) continue;
        all.push_back({server.id, server.started_at, samples, mean(verdicts, 0), median(slowness, 0)});
        of.push_back(&server);
    }
    for (std::size_t i = 0; i < all.size(); i++) {
        bads.clear(), slows.clear();
        for (std::size_t j = 0; j < all.size(); j++) {
            if (j == i || !same_role(*this, *of[i], *of[j])) continue;
            bads.push_back(all[j].failure_share);
            if (all[j].slowdown > 0) slows.push_back(all[j].slowdown);
        }
        HealthReport one = all[i];
        one.slowdown = slows.empty() ? 0 : one.slowdown / std::max(1.0, median(slows, 1));
        if (one.failure_share > std::max(bad_share, far_worse * median(bads, 0)) || one.slowdown > far_worse)
            told.push_back(one);
    }
    return told;
}

int Router::measured_servers(Micros now) const {
    return static_cast<int>(std::count_if(servers.begin(), servers.end(), [&](auto& server) {
        return server.unreachable_since > 0 || recent(server.failures, now).size() > 1;
    }));
}

// Probes what has gone quiet and reports changes of favour.
Maintenance Router::run_maintenance(Micros now) {
    Maintenance upkeep;
    upkeep.next_check = tend_every;
    upkeep.subscribe = std::exchange(list_wanted, false);
    add(upstream_in_flight, now, out_at_sources(*this), many);
    bool deaf =
        probes && link_utilization_index >= 0 && !load_in_responses;  // then one cache is asked in turn
    double least_work =
        mean_sending(traffic_types.front());  // a probe counts as a lookup of the smallest type
    for (auto& type : traffic_types) least_work = std::min(least_work, mean_sending(type));
    for (auto& server : servers)
        if (is_edge(*this, server) && !recent(server.link_utilization, now, listen_every).empty())
            deaf = false;
    for (auto& server : servers) {
        if (server.state != EndpointState::Ready || !is_edge(*this, server)) continue;
        const char* wrong = ejection_reason(*this, server, now);
        bool quiet = server.unreachable_since > 0 || silence_in_gaps(server, now) > unusual_silence;
        if ((deaf || (quiet && probes)) && now - server.last_probe_at >= trial_every &&
            within_cold_budget(*this, server, least_work, now)) {
            deaf = false;
            server.last_probe_at = now;
            spend(*this, server, least_work, now);
            upkeep.probe.push_back(server.id);
        }
        if (server.ejected != (wrong != nullptr))
            upkeep.log.push_back("cache " + std::to_string(server.id) +
                                 (wrong ? ": " : " is back in favour") + (wrong ? wrong : ""));
        server.ejected = wrong != nullptr;
    }
    return upkeep;
}

}  // namespace quillgrade
