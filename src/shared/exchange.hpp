// What the routers of a tier share, as one party of it: facts, quotas, health_reports, counts. It rides on
// the datagrams of a peers::Membership, is told the time, and gives back values. No clock, socket or thread.
//
//     Exchange exchange(membership, terms);
//     exchange.at(times);                                // before the membership hears what came
//     listing = exchange.listed(listing, times);         // the own coordinator's lists and purges, before
//     the module auto changes = exchange.tick(live_since, times);   // what else the module has to be told
//     server.right = exchange.right(id, times);          // at the start of a turn, for all of cold_servers()
//     auto until = exchange.use(id, work, now, times);   // at its end, for what was decided to be sent
//
// What it promises:
//   - Alone, a router decides as without it, but for cold budgets, see quotas.hpp. What is heard closes
//   servers,
//     bounds ages, speaks where own samples are too few, and raises counts by what others were truly asked.
//   - The bounds of facts.hpp, quotas.hpp, health_reports.hpp and request_counts.hpp, all in memory set by
//   their `most`.
//   - It sends nothing by itself but through the membership, so within the circle's bytes a second.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "peers/membership.hpp"
#include "shared/payload.hpp"

namespace quillgrade::shared {

struct ClockReadings {
    Micros unix = 0;    // for what is compared between machines: purges, starts, epochs
    Micros steady = 0;  // for the lengths of leases
};

struct Features {
    bool facts = true, quotas = true, health_reports = true, request_counts = true;
    bool operator==(const Features&) const = default;
};

struct ExchangeOptions {
    Features features{};
    RoutingSettings settings{};  // of the settings
    int grantors = 4;
    Micros lease_duration = 3'000'000;
    std::uint32_t seed = 1;
    ClockReadings now{};
};

class Exchange : public peers::Piggyback {
public:
    // `membership` outlives this; it carries it from now on.
    Exchange(peers::Membership& membership, const ExchangeOptions& terms);
    ~Exchange() override;
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;
    Exchange(Exchange&&) = delete;
    Exchange& operator=(Exchange&&) = delete;

    void set_time(const ClockReadings& now) { last = now; }
    feed::Listing apply_listing(feed::Listing told, const ClockReadings& now);
    void record_purge(const feed::PurgeNotice& notice, const ClockReadings& now);
    ReplicatedFacts::Changes tick(Micros live, const ClockReadings& now);

    // How long after its start, by this machine's clock, a parent is to be taken for cold: where budgets are
    // shared, longer than the settings say by as much as the clock may be ahead.
    Micros parent_cold() const;
    // Servers whose cold budget is shared now.
    std::vector<CacheId> cold_servers() const;
    double available_quota(CacheId server, const ClockReadings& now);  // below 0: its budget is not shared
    Micros consume(CacheId server, double work, Micros tag, const ClockReadings& now);
    void refund(CacheId server, double work, Micros tag, const ClockReadings& now);
    void record_unmet_demand(CacheId server, double work, double usual, const ClockReadings& now);

    // What this router holds against servers, as it stands now.
    void report_health(const std::vector<HealthReport>& told, int measured, const ClockReadings& now);
    PeerHealthReport peer_health(CacheId server, Micros started, const ClockReadings& now) const;
    std::vector<CacheId> reported_servers() const { return health_reports.reported_servers(); }

    // A first part is asked for: how many other routers of the location were asked for it too.
    int count_request(ObjectId object, const ClockReadings& now);
    int alive_routers_in_zone() const;  // of the location, this one included

    std::string load(RouterIndex to, std::size_t room, Micros now) override;
    void unload(RouterIndex from, Generation life, std::string_view bytes, Micros now) override;

    struct Counters {
        std::uint64_t malformed = 0, configuration_mismatches = 0, facts_received = 0, counts_received = 0,
                      complaints_received = 0, payload_bytes = 0;
    };
    const Counters& counters() const { return seen; }
    const Quotas::Counters& quota_counters() const { return quotas.counters(); }
    Quotas::Usage quota_usage(CacheId server, const ClockReadings& now) {
        return quotas.usage(server, now.steady);
    }
    const ReplicatedFacts& known_facts() const { return facts; }
    const RequestCounts& known_counts() const { return request_counts; }
    bool configuration_mismatch_seen(
        const ClockReadings& now) const;  // routers whose amounts are not the same were heard lately

private:
    struct Out {
        std::vector<Ask> asks;
        std::vector<Grant> grants;
        Micros at = 0;
    };
    void take(RouterIndex from, Generation life, const Payload& load, const ClockReadings& now);
    void tell_facts(const ClockReadings& now);
    bool is_parent(const EndpointEntry& entry) const { return entry.kind == terms.settings.parent_kind; }

    peers::Membership& membership;
    ExchangeOptions terms;
    std::uint32_t hash;
    ReplicatedFacts facts;
    Quotas quotas;
    HealthReports health_reports;
    RequestCounts request_counts;
    std::map<CacheId, EndpointEntry> cold;
    std::map<CacheId, int> zones;  // of the servers complained of
    std::vector<Complaint> complaints;
    Breadth breadth;
    Micros complaints_at = 0, spare_at = 0, mend_at = 0, expire_at = 0, differed_at = 0;
    std::size_t complaint_turn = 0;
    std::map<RouterIndex, Out> out;
    std::vector<bool> unlike;  // by router: its facts differ from mine
    bool facts_wait = false;   // some are to be told, and the bytes for it are being saved up
    ClockReadings last{};
    Counters seen;
};

}  // namespace quillgrade::shared
