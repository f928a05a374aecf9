// The decision module: which cache serves a lookup, which parent or origin it fills from, and when to retry,
// hedge, shed or reject a lookup, eject a server or probe it.
//
// A Router is the state of one router process. It does no input or output and reads no clock: the caller
// passes the time with each call and carries out the decision that is returned. The same calls with the same
// seed give the same decisions. It is not thread-safe.
//
//     Router router(settings, seed);
//     router.update_endpoints(entries, true, now);
//     RoutingDecision decision = router.add_lookup(info, now).first_attempt(now);
//     if (decision.send) send_to(decision.send->cache);
//
// All times are microseconds. A time stamp of 0 means "never". Work and quota are sending time: the time that
// the bytes of an answer need on the link at the client rate of the settings. A Router owns all its state; a
// LookupHandle refers to it and is invalid once its lookup has ended and no attempt is in flight.
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

// The order of Idempotency, DedupScope, Outcome, CacheStatus and EndpointState is part of wire formats.

// Whether a lookup may be executed more than once: always, within the window and scope of its idempotency
// key, or never.
enum class Idempotency { Idempotent, Keyed, NonIdempotent };

// The caches that recognize the same idempotency key.
enum class DedupScope { All, Zone, Cell };

// How an attempt or a probe ended. Overloaded, ConnectFailed, NotSent and Miss prove that nothing was
// executed.
enum class Outcome { Error, Ok, Overloaded, Timeout, ConnectFailed, Reset, Cancelled, NotSent, Miss };

// What a cache reports about how it served or failed a lookup.
enum class CacheStatus {
    None,
    Hit,
    Filled,
    FilledFromOrigin,
    Collapsed,  // joined a fill that another lookup had started
    Stale,
    UpstreamBusy,
    UpstreamDown,
    UpstreamMiss,
    NoFillSlot,
    OriginError
};

enum class FinalResult { None, Rejected, Failed };
enum class EndpointState { Ready, Gone, Draining };

// Which lookups a site's caches report their CacheStatus for.
enum class CacheStatusReporting { All, HitsOnly, None };

// Start-up settings of one traffic type. The latency goal of a lookup is latency_goal plus
// latency_goal_factor times its sending time.
struct TrafficTypeSettings {
    Micros latency_goal;
    double latency_goal_factor;
    Idempotency idempotency;
    DedupScope dedup_scope;
    Micros dedup_window, fresh_for;
    bool write;
};

// Limits and features that the site's settings give to the decisions. The cold_* settings limit what all
// routers together may send to a cache within cold_budget_window of its start and after, the parent_cold_*
// ones what they may send to a parent.
struct RoutingSettings {
    int zone = 0, parent_kind = -1, origin_kind = -1, max_attempts = 1;
    int link_utilization_index = -1;  // index in LoadReport::values of the zone's link utilization, -1: none
    bool hedging = false, cancellation = false, probes = false, collapsing = false, direct = false;
    bool weights_are_link_rates = false;
    CacheStatusReporting cache_status_reporting = CacheStatusReporting::None;
    double cold_initial_share = 0, cold_budget_multiple = 0, parent_cold_initial_share = 0,
           parent_cold_budget_multiple = 0;
    Micros cold_period = 0, cold_budget_window = 0, parent_cold_period = 0, purge_retention = 0,
           max_retry_after = 0;
};

// Start-up settings of the site; read once, by Router's constructor.
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
    Micros started_at;  // 0: unknown, long ago
};

struct LoadReport {
    int count = 0;
    std::array<float, 4> values{};
};

// A client's lookup, with the limits that routing rules have set to it.
struct LookupInfo {
    LookupId id;
    int traffic;
    ObjectId object;
    Micros deadline;
    double kbytes;  // 0: unknown
    int group, part;
    bool retry, write;
    ObjectId wire_object = 0;  // the id that purges name, where `object` is a key derived from it; else 0
    int max_attempts = 0;      // 0: the limit of the site
    bool no_hedging = false;
    std::shared_ptr<const std::vector<CacheId>> allowed_caches =
        nullptr;                   // sorted; null or empty: all caches
    double lookups_elsewhere = 0;  // routers of the zone known to have been asked for the object too
};

// How one attempt ended.
struct AttemptResult {
    Outcome outcome;
    Micros elapsed, first_byte_wait;  // first_byte_wait: as the cache reports it, 0 if it does not
    int attempt;
    CacheStatus cache_status;
    bool lookup_closed;  // the lookup has its final answer
    CacheId cache;
    LoadReport load;
};

// One attempt to send, with the instructions for a miss: cache == upstream tells the cache not to fill.
struct AttemptPlan {
    CacheId cache, upstream;
    int rank;
    Micros max_copy_age, time_limit;  // 0: no limit besides freshness and deadline
    bool collapse, refresh, only_if_cached;
};

// What a call on a handle returns: at most one attempt to send and at most one final result.
struct RoutingDecision {
    std::vector<int> cancel;  // numbers of the attempts to cancel
    std::optional<AttemptPlan> send;
    FinalResult final_result = FinalResult::None;
    Micros retry_after = 0;  // advice to a rejected client, 0: none
    Micros next_check = 0;   // call LookupHandle::check() in so long, 0: never
};

// What periodic maintenance, which is not about one lookup, asks for.
struct Maintenance {
    std::vector<CacheId> probe;
    std::vector<std::string> log;
    Micros next_check = 0;
    bool subscribe = false;
};

struct Sample {
    Micros at;
    double value;
    CacheId other_server = 0;  // the other server that took part, 0: none
};

// The latest samples of one figure, oldest first. A vector, since an empty one allocates nothing: a router
// knows thousands of caches and measures few of them.
struct Samples : std::vector<Sample> {
    using std::vector<Sample>::vector;
    void pop_front() { erase(begin()); }
};

struct InFlight {
    LookupId lookup;
    int attempt, traffic;
    Micros sent_at, expected_time, sending_time;
};

// What other routers report of a server, weighted: the number of samples, the share of them that failed, and
// the ratio of its response times to those of its peers.
struct PeerHealthReport {
    double samples = 0, failure_share = 0, slowdown = 0;
};

// What this router reports to others of a server that differs from its peers after few samples already.
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
    Micros last_response_at = 0;
    Micros last_half_open_probe_at = 0;  // the last lookup that was sent to it while it was ejected
    Micros last_probe_at = 0;
    Micros unreachable_since = 0;  // 0: it is reachable
    Micros reachable_since = 0;    // the first response after it had been unreachable, 0: it never was
    bool ejected = false;
    mutable Micros evaluated_at = 0;  // the last comparison with its peers
    mutable const char* evaluated_reason = nullptr;
    std::vector<InFlight> in_flight;
    Samples response_gaps;     // times between responses, while one was due
    Samples failures;          // 1: a failure, 0: a success
    Samples slowness;          // ratio of the time that a hit took to its sending time
    Samples link_utilization;  // of the zone's link, as reported; above 1: transfers share the link
    Samples slack_used;        // share of the time between sending time and latency goal that hits used
    Samples answered;          // sending times of successful attempts
    Samples first_byte_times;  // of an upstream
    Samples cold_spending;     // sending times of what was sent to it while cold
    PeerHealthReport peer_report;
    // The sending time that this router may still send to it while it is cold, where the routers share the
    // cold budget. Below 0: they do not, and each router uses a fixed share of the budget.
    double quota = -1;
    // Sending time that lookups wanted to use while it was cold, in total and for the last lookup.
    mutable double quota_demand = 0, quota_demand_per_lookup = 0;
    Samples returned_quota;  // quota that was charged for attempts which never reached the server
};

// The CacheShield state of one object.
struct ObjectCount {
    std::uint32_t lookups = 0;
    bool keep = false;
    Micros sending_time = 0;  // of one part, known or else the shortest seen; 0: unknown
};

struct AttemptState {
    CacheId cache, upstream;
    Micros sent_at, work;
    bool in_flight = true, may_have_executed = true;
    Micros cache_cold_since = 0, upstream_cold_since = 0;  // as of the decision, 0: it was warm
    Micros charged_at = 0;  // the time at which its work was charged to the cold budget
};

struct PendingLookup {
    LookupInfo info{};
    Micros received_at = 0, goal_at = 0, sending_time = 0;
    // keep: CacheShield's decision for the object. done: the final answer is given. moving_to_other_cache:
    // its only attempt is being cancelled, to be sent to another cache. no_upstream: the cache must not fill.
    // only_if_cached: the cache may ask a parent for a copy, but the parent must not fill.
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
    Samples sending_times;     // of lookups, known or else estimated
    Samples excess_times;      // time that answers took beyond their sending time
    Samples answered, filled;  // sending times of all answers, and of those that were fills
    Samples fill_slack_used;   // share of the slack that fills used, failed_fill_slack where they failed
};

struct Purge {
    Micros at, until;
};

// PCG random numbers; the same state gives the same sequence everywhere.
struct Random {
    std::uint64_t state = 0;
    std::uint32_t next();
    double unit();  // in [0, 1)
};

class Router;

// A lookup that a Router has accepted. All later events of the lookup are calls on its handle.
class LookupHandle {
public:
    LookupHandle(Router& router, PendingLookup& lookup) : router(router), lookup(lookup) {}
    RoutingDecision first_attempt(Micros now);
    RoutingDecision attempt_ended(const AttemptResult& result, Micros now);
    RoutingDecision streaming_started(int attempt, Micros elapsed, Micros now);
    RoutingDecision check(Micros now);  // to be called when RoutingDecision::next_check has passed
    RoutingDecision client_left();
    // To be called when the first byte of an attempt can be written, which may be long after the decision:
    // false if it must not be sent any more. Updates the plan's max_copy_age.
    bool confirm_send(int number, AttemptPlan& plan, Micros now);

    Router& router;
    PendingLookup& lookup;
};

class Router : public RoutingSettings {
public:
    Router(const SiteSettings& site, std::uint64_t seed);
    LookupHandle add_lookup(const LookupInfo& info, Micros now);
    std::optional<LookupHandle> find_lookup(LookupId id);  // empty once it is done and nothing is in flight
    // A complete list replaces all known endpoints, another one changes those that it names.
    void update_endpoints(const std::vector<EndpointEntry>& entries, bool complete, Micros now);
    void endpoint_list_failed();
    void record_purge(ObjectId object, int group, Micros age, Micros now);  // object 0: the whole group
    void probe_ended(CacheId id, Outcome outcome, Micros elapsed, const LoadReport& load, Micros now);
    std::vector<HealthReport> health_reports(Micros now) const;  // of servers that differ from their peers
    int measured_servers(Micros now) const;                      // servers that this router has samples of
    Maintenance run_maintenance(Micros now);  // to be called at start and whenever its next_check has passed

    // Derived from the settings and the fleet.
    std::vector<TrafficType> traffic_types;
    double client_kb_per_us = 0;
    double p() const;                             // of CacheShield
    double edge_routers = 1, parent_routers = 1;  // routers that share the zone's caches, and the parents
    double counting_routers = 1;  // routers of the zone whose lookup counts are known here, itself included

    // Observed.
    std::uint64_t seed = 0;
    Random random;
    std::unordered_map<ObjectId, ObjectCount> object_counts;
    Micros halved_at = 0;         // the last halving of the object counts
    Micros first_list_at = 0;     // when this process received its first endpoint list
    std::vector<Server> servers;  // sorted by id
    std::unordered_map<LookupId, PendingLookup> lookups;
    std::unordered_map<ObjectId, Purge> purged_objects;
    std::unordered_map<int, Purge> purged_groups;
    bool list_wanted = false;
    bool load_in_responses = false;  // load reports come with responses too, not only with probes
    Samples recent_lookups;
    Samples upstream_in_flight;  // attempts in flight at upstreams, sampled by run_maintenance()
    double retry_credit = 0;     // further attempts that successful answers have paid for
};

// The parts of a decision, for tests and for packages that share a budget or a rule with this one.

double psi(double t, double p);  // CacheShield's probability of keeping an object after t lookups
bool keep_or_pass(Router& router, const LookupInfo& lookup, Micros now);
CacheId pick_upstream(Router& router, const PendingLookup& lookup, Micros now);
Server* pick_cache(Router& router, const PendingLookup& lookup, Micros now);      // null: none may serve
Micros max_copy_age(const Router& router, const LookupInfo& lookup, Micros now);  // 0: freshness alone counts

// The sending time that all routers together may send to a server of this link rate and age within any
// window.
double total_cold_budget(const RoutingSettings& site, bool parent, double link, Micros age);
bool within_cold_budget(const Router& router, const Server& server, double work, Micros now);

// The server's current silence since its next response was due, in mean response gaps.
double silence_in_gaps(const Server& server, Micros now);

// Why the server is to be ejected now, null if it is healthy.
const char* ejection_reason(const Router& router, const Server& server, Micros now);

// 0: no congestion. The other end of each scale is where nearly all large lookups are shed.
double cache_congestion(const Router& router, Micros now);
double link_congestion(const Router& router, Micros now);
double fill_congestion(const Router& router, int traffic, Micros now);

// Whether the lookup is among the largest of its type, as many as are to be shed while congestion is between
// `from` and `to`: a share of the work, or of the lookups.
bool should_shed(const Router& router, const PendingLookup& lookup, double congestion, double from, double to,
                 bool by_work);
bool may_hedge(const Router& router, const PendingLookup& lookup);
bool may_attempt(Router& router, const PendingLookup& lookup, const Server& to, Micros now);
bool may_reject(const Router& router, const PendingLookup& lookup);
Server* find_server(Router& router, CacheId id);  // null: unknown

}  // namespace quillgrade
