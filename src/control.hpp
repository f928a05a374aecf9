// The interface of the decision module (src/control.cpp) and the state it keeps, as plain types.
// Everything here only names things: each decision, table bound and tuned value is in control.cpp.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace quillgrade {

using Micros = std::int64_t;
using LookupId = std::uint64_t;
using ObjectId = std::uint64_t;
using CacheId = std::uint64_t;  // the six bytes of the wire, unaltered

enum class Idempotency { Idempotent, Keyed, NonIdempotent };
enum class DedupScope { All, Zone, Cell };
enum class Outcome { Error, Ok, Overloaded, Timeout, ConnectFailed, Reset, Cancelled, NotSent, Miss };
enum class CacheStatus {
    None,
    Hit,
    Filled,
    FilledFromOrigin,
    Collapsed,
    Stale,
    UpstreamBusy,
    UpstreamDown,
    UpstreamMiss,
    NoFillSlot,
    OriginError
};
enum class FinalResult { None, Rejected, Failed };
enum class EndpointState { Ready, Gone, Draining };
enum class CacheStatusReporting { All, HitsOnly, None };

// What the start-up message states of one traffic type.
struct TrafficTypeSettings {
    Micros latency_goal;
    double latency_goal_factor;
    Idempotency idempotency;
    DedupScope dedup_scope;
    Micros dedup_window, fresh_for;
    bool write;
};

// The bounds that the site sets to decisions, used as they are stated.
struct RoutingSettings {
    int zone = 0, parent_kind = -1, origin_kind = -1, max_attempts = 1;
    int link_utilization_index =
        -1;  // where a cache's load report tells how full the location's link is, -1: nowhere
    bool hedging = false, cancellation = false, probes = false, collapsing = false, direct = false;
    bool weights_are_link_rates = false;
    CacheStatusReporting cache_status_reporting = CacheStatusReporting::None;
    double cold_initial_share = 0, cold_budget_multiple = 0, parent_cold_initial_share = 0,
           parent_cold_budget_multiple = 0;
    Micros cold_period = 0, cold_budget_window = 0, parent_cold_period = 0, purge_retention = 0,
           max_retry_after = 0;
};

// What the start-up message states of the site; read once, by Router's constructor.
struct SiteSettings : RoutingSettings {
    std::vector<TrafficTypeSettings> traffic;
    int routers;
    std::vector<int> routers_by_zone;
    bool retry_after, must_request_list;
    double client_kb_per_s;
};

struct EndpointEntry {
    CacheId id;
    EndpointState state;
    double weight;
    int kind, cell, zone;
    Micros started_at;  // 0: long past
};

struct LoadReport {
    int count = 0;
    std::array<float, 4> values{};
};

struct LookupInfo {
    LookupId id;
    int traffic;
    ObjectId object;
    Micros deadline;
    double kbytes;  // 0 where not told
    int group, part;
    bool retry, write;
    // What rules have narrowed.
    ObjectId wire_object = 0;  // that purges name, where `object` is a key made of it; else 0
    int max_attempts = 0;      // 0: as the site has it
    bool no_hedging = false;
    std::shared_ptr<const std::vector<CacheId>> allowed_caches =
        nullptr;                   // sorted; null or empty: all caches
    double lookups_elsewhere = 0;  // routers of the location that have asked for it too, as far as is told
};

struct AttemptResult {
    Outcome outcome;
    Micros elapsed, first_byte_wait;
    int attempt;
    CacheStatus cache_status;
    bool lookup_closed;
    CacheId cache;
    LoadReport load;
};

// One transmission, with the orders for a miss.
struct AttemptPlan {
    CacheId cache, upstream;
    int rank;
    Micros max_copy_age, time_limit;
    bool collapse, refresh, only_if_cached;
};

// What a call on a handle answers: at most one transmission and at most one final answer.
struct RoutingDecision {
    std::vector<int> cancel;  // rounds to stop waiting for
    std::optional<AttemptPlan> send;
    FinalResult final_result = FinalResult::None;
    Micros retry_after = 0;  // advice to a rejected client, 0: none
    Micros next_check = 0;   // when to call look() next, from now, 0: never
};

// What a call that is not about one lookup answers.
struct Maintenance {
    std::vector<CacheId> probe;
    std::vector<std::string> log;
    Micros next_check = 0;
    bool subscribe = false;
};

// The last few samples of something, oldest first.
struct Sample {
    Micros at;
    double value;
    CacheId other_server = 0;  // the other server that took part, 0: none
};
// Nothing is set aside for one that is empty: a router that knows thousands of caches measures few of them.
struct Samples : std::vector<Sample> {
    using std::vector<Sample>::vector;
    void pop_front() { erase(begin()); }
};

struct InFlight {
    LookupId lookup;
    int attempt, traffic;
    Micros sent_at, expected_time, sending_time;
};

// What other routers say of a server, weighed: samples, the share of them that failed, and how many times as
// slow as its peers it is.
struct PeerHealthReport {
    double samples = 0, failure_share = 0, slowdown = 0;
};
// What this router says of a server that stands out by few samples already.
struct HealthReport {
    CacheId server;
    Micros started_at;
    double samples, failure_share, slowdown;
};

struct Server {
    CacheId id = 0;
    EndpointState state = EndpointState::Ready;
    double weight = 1;
    int kind = 0, cell = 0, zone = 0;
    Micros started_at = 0;
    Micros last_response_at = 0;         // when it last answered anything
    Micros last_half_open_probe_at = 0;  // when it was last tried while out of favour
    Micros last_probe_at = 0;
    Micros unreachable_since = 0;  // since when it could not be reached, 0: it can
    Micros reachable_since = 0;    // when it answered again after it could not be reached
    bool ejected = false;
    mutable Micros evaluated_at = 0;  // when it was last compared with its peers
    mutable const char* evaluated_reason = nullptr;
    std::vector<InFlight> in_flight;
    Samples response_gaps;     // between answers, while something was due
    Samples failures;          // 1 a failure, 0 a good answer
    Samples slowness;          // time taken by hits over their sending time
    Samples link_utilization;  // of the location's link, as reported: above 1 it is shared out
    Samples slack_used;        // what hits used of the room between sending and goal time
    Samples answered;          // sending time answered
    Samples first_byte_times;  // of a source
    Samples cold_spending;     // sending time sent while cold
    PeerHealthReport peer_report;
    // Where the routers share the cold budget: the sending time that this one may send now, used up by what
    // it sends. Below 0: they don't, and each takes its part of the whole.
    double quota = -1;
    mutable double quota_demand = 0,
                   quota_demand_per_lookup =
                       0;    // sending time that was looked for while cold, and of one lookup
    Samples returned_quota;  // sent by a right, and the server was never asked
};

struct ObjectCount {
    std::uint32_t lookups = 0;
    bool keep = false;
    Micros sending_time = 0;  // of one part, told or else the quickest seen; 0: not known
};

struct AttemptState {
    CacheId cache, upstream;
    Micros sent_at, work;
    bool in_flight = true, may_have_executed = true;
    Micros cache_cold_since = 0,
           upstream_cold_since = 0;  // since when each was cold when this was decided, 0: it was warm
    Micros charged_at = 0;           // the time that its work counts from
};

struct PendingLookup {
    LookupInfo info{};
    Micros received_at = 0, goal_at = 0, sending_time = 0;
    bool keep = false, done = false, moving_to_other_cache = false, no_upstream = false,
         only_if_cached = false;
    std::vector<AttemptState> attempts{};
    std::vector<CacheId> failed_caches{}, failed_upstreams{};
};

struct TrafficType {
    Micros latency_goal, fresh_for, dedup_window;
    double latency_goal_factor;
    Idempotency idempotency;
    DedupScope dedup_scope;
    bool write;
    Samples sending_times;     // sending times, told or else seen
    Samples excess_times;      // time taken past the sending time
    Samples answered, filled;  // sending times
    Samples fill_slack_used;   // what fills used of their room, 1 where they failed
};

struct Purge {
    Micros at, until;
};

struct Random {
    std::uint64_t state = 0;
    std::uint32_t next();
    double unit();
};

class Router;

// A lookup that was taken. All that happens to it later is a call on its handle.
class LookupHandle {
public:
    LookupHandle(Router& router, PendingLookup& lookup) : router(router), lookup(lookup) {}
    RoutingDecision first_attempt(Micros now);  // the first transmission, or a final answer
    RoutingDecision attempt_ended(const AttemptResult& end, Micros now);   // one transmission ended
    RoutingDecision streaming_started(int round, Micros lag, Micros now);  // a streamed answer has begun
    RoutingDecision check(Micros now);  // the time asked for by look_in has come
    RoutingDecision client_left();      // the client went away
    // Asked when the first byte of a transmission can be written, which may be long after it was decided:
    // false if it must not go out any more. Brings the age that will do up to date.
    bool confirm_send(int number, AttemptPlan& order, Micros now);

    Router& router;
    PendingLookup& lookup;
};

class Router : public RoutingSettings {
public:
    Router(const SiteSettings& site, std::uint64_t seed);
    LookupHandle add_lookup(const LookupInfo& facts, Micros now);
    std::optional<LookupHandle> find_lookup(LookupId id);  // empty once nothing of it is left
    void update_endpoints(const std::vector<EndpointEntry>& entries, bool complete, Micros now);
    void endpoint_list_failed();
    void record_purge(ObjectId object, int group, Micros how_old, Micros now);
    void probe_ended(CacheId id, Outcome outcome, Micros lag, const LoadReport& load, Micros now);
    std::vector<HealthReport> health_reports(Micros now) const;  // servers that stand out beside their peers
    int measured_servers(Micros now) const;                      // servers of which there are samples
    Maintenance run_maintenance(
        Micros now);  // to be called at start and then whenever its look_in has passed

    // Derived figures.
    std::vector<TrafficType> traffic_types;
    double client_kb_per_us = 0;
    double p() const;  // of the shield
    double edge_routers = 1, parent_routers = 1;
    double counting_routers = 1;  // routers of the location whose counts are told here, this one included

    // What has been observed.
    std::uint64_t seed = 0;
    Random random;
    std::unordered_map<ObjectId, ObjectCount> object_counts;
    Micros halved_at = 0;
    Micros first_list_at = 0;     // when this life was told its first list
    std::vector<Server> servers;  // sorted by id
    std::unordered_map<LookupId, PendingLookup> lookups;
    std::unordered_map<ObjectId, Purge> purged_objects;
    std::unordered_map<int, Purge> purged_groups;
    bool list_wanted = false;
    bool load_in_responses = false;  // load reports come with answers, not only with probes
    Samples recent_lookups;          // lookups
    Samples upstream_in_flight;      // transmissions at sources, seen by tend()
    double retry_credit = 0;         // further transmissions that good answers have paid for
};

// The parts of the decision that tests call by themselves.
double psi(double t, double p);
bool keep_or_pass(Router& router, const LookupInfo& lookup, Micros now);
CacheId pick_upstream(Router& router, const PendingLookup& held, Micros now);
Server* pick_cache(Router& router, const PendingLookup& held, Micros now);
Micros max_copy_age(const Router& router, const LookupInfo& lookup, Micros now);
double total_cold_budget(const RoutingSettings& site, bool parent, double link, Micros age);
bool within_cold_budget(const Router& router, const Server& server, double work, Micros now);
double silence_in_gaps(const Server& server, Micros now);
const char* ejection_reason(const Router& router, const Server& server, Micros now);
double cache_congestion(const Router& router, Micros now);
double link_congestion(const Router& router, Micros now);
double fill_congestion(const Router& router, int traffic, Micros now);
bool should_shed(const Router& router, const PendingLookup& held, double cache_congestion, double from,
                 double to, bool by_work);
bool may_hedge(const Router& router, const PendingLookup& held);
bool may_attempt(Router& router, const PendingLookup& held, const Server& to, Micros now);
bool may_reject(const Router& router, const PendingLookup& held);
Server* find_server(Router& router, CacheId id);

}  // namespace quillgrade
