// One router's side of the state that the routers of a tier share: replicated facts (drains and purges),
// quotas of cold servers, peer health reports, and request counts. It is carried by the datagrams of a
// peers::Membership, is told the time, and returns values. It has no clock, socket or thread of its own, and
// is not thread-safe.
//
//     Exchange exchange(membership, options);
//     exchange.set_time(now);                          // before the membership reads its datagrams
//     listing = exchange.apply_listing(listing, now);  // lists and purges of this router's own coordinator,
//     exchange.record_purge(notice, now);              //   before the routing module gets them
//     auto changes = exchange.tick(live_since, now);   // what else the routing module has to be told
//
//     // At the start of an event batch, for each of cold_servers():
//     auto quota = exchange.available_quota(id, now);
//     // At its end, for what is to be sent:
//     auto write_until = exchange.consume(id, work, tag, now);
//
// Contract:
//   - A router that receives nothing decides as it would without an Exchange, except for cold budgets (see
//     quotas.hpp). What is received closes servers, bounds ages, adds to own samples where these are too few,
//     and raises request counts by lookups that other routers truly had.
//   - The bounds of facts.hpp, quotas.hpp, health_reports.hpp and request_counts.hpp hold, also on memory.
//   - It sends only through the membership, so within the membership's budget of bytes per second.
//   - A payload that can't be decoded is dropped whole and counted.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "peers/membership.hpp"
#include "shared/payload.hpp"

namespace quillgrade::shared {

// One moment by two clocks, in microseconds.
struct ClockReadings {
    Micros unix = 0;    // for what is compared between machines: purges, starts, epochs
    Micros steady = 0;  // for the durations of leases
};

// What is shared. A feature that is off is neither sent nor received.
struct Features {
    bool facts = true, quotas = true, health_reports = true, request_counts = true;
    bool operator==(const Features&) const = default;
};

struct ExchangeOptions {
    Features features{};
    RoutingSettings settings{};
    int grantors = 4;  // see QuotaOptions
    Micros lease_duration = 3'000'000;
    std::uint32_t seed = 1;
    ClockReadings now{};
};

class Exchange : public peers::Piggyback {
public:
    // Registers itself with `membership`, which has to outlive it, until it is destroyed.
    Exchange(peers::Membership& membership, const ExchangeOptions& options);
    ~Exchange() override;
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;
    Exchange(Exchange&&) = delete;
    Exchange& operator=(Exchange&&) = delete;

    void set_time(const ClockReadings& now) { current_time = now; }
    // Learns from a list of this router's own coordinator, and returns it with the servers closed that other
    // routers report as draining or gone.
    feed::Listing apply_listing(feed::Listing listing, const ClockReadings& now);
    void record_purge(const feed::PurgeNotice& notice, const ClockReadings& now);
    // Sends what is due. `live_since`: since when this router hears its own coordinator without a break, 0:
    // it does not.
    ReplicatedFacts::Changes tick(Micros live_since, const ClockReadings& now);

    // How long after its start, by this machine's clock, a parent counts as cold. Where budgets are shared
    // this is longer than in the settings by as much as this machine's clock may be ahead.
    Micros parent_cold() const;
    // The servers whose cold budget is shared now.
    std::vector<CacheId> cold_servers() const;
    // What this router may send to the server now, as sending time in microseconds; negative where the
    // server's budget is not shared.
    double available_quota(CacheId server, const ClockReadings& now);
    // These three are as in Quotas.
    Micros consume(CacheId server, double work, Micros tag, const ClockReadings& now);
    void refund(CacheId server, double work, Micros tag, const ClockReadings& now);
    void record_unmet_demand(CacheId server, double work, double lookup_work, const ClockReadings& now);

    // Replaces the complaints that this router has about servers. `measured`: how many servers it has
    // measured lately.
    void report_health(const std::vector<HealthReport>& own_complaints, int measured,
                       const ClockReadings& now);
    // What other routers report of the process of the server that started at `started`.
    PeerHealthReport peer_health(CacheId server, Micros started, const ClockReadings& now) const;
    std::vector<CacheId> reported_servers() const { return health_reports.reported_servers(); }

    // Counts a lookup of the first part of an object. Returns how many other routers of the zone are
    // known to have been asked for it.
    int count_lookup(ObjectId object, const ClockReadings& now);
    // The routers of the zone that are alive, this one included; 1 where request counts are not shared.
    int alive_routers_in_zone() const;

    std::string load(RouterIndex to, std::size_t room, Micros now) override;
    void unload(RouterIndex from, Generation generation, std::string_view bytes, Micros now) override;

    struct Counters {
        std::uint64_t malformed = 0, configuration_mismatches = 0, facts_received = 0, counts_received = 0,
                      complaints_received = 0, payload_bytes = 0;
    };
    const Counters& counters() const { return totals; }
    const Quotas::Counters& quota_counters() const { return quotas.counters(); }
    Quotas::Usage quota_usage(CacheId server, const ClockReadings& now) {
        return quotas.usage(server, now.steady);
    }
    const ReplicatedFacts& known_facts() const { return facts; }
    const RequestCounts& known_counts() const { return request_counts; }
    // Whether a router with other settings for cold budgets was heard lately.
    bool configuration_mismatch_seen(const ClockReadings& now) const;

private:
    // Asks and grants for one router that have not been sent yet.
    struct OutgoingMessages {
        std::vector<Ask> asks;
        std::vector<Grant> grants;
        Micros queued_at = 0;
    };
    void apply_payload(RouterIndex from, Generation generation, const Payload& payload,
                       const ClockReadings& now);
    void send_facts(const ClockReadings& now);
    bool is_parent(const EndpointEntry& entry) const { return entry.kind == options.settings.parent_kind; }

    peers::Membership& membership;
    ExchangeOptions options;
    std::uint32_t configuration_hash;
    ReplicatedFacts facts;
    Quotas quotas;
    HealthReports health_reports;
    RequestCounts request_counts;
    std::map<CacheId, EndpointEntry> cold_parents;
    std::map<CacheId, int> zones;  // of the servers complained of
    std::vector<Complaint> complaints;
    Breadth breadth;
    Micros complaints_updated_at = 0, next_counts_datagram_at = 0, next_repair_at = 0, next_expiry_at = 0,
           mismatch_seen_at = 0;
    std::size_t complaint_cursor = 0;
    std::map<RouterIndex, OutgoingMessages> outbox;
    std::vector<bool> digest_differs;  // by router: its facts differ from this router's
    bool facts_await_bytes = false;    // facts are to be sent, and bytes are being saved up for them
    ClockReadings current_time{};
    Counters totals;
};

}  // namespace quillgrade::shared
