// Aggregates the complaints of other routers about a server, for servers of which this router has hardly any
// samples of its own. Only complaints are shared, each with its evidence, and no praise: what other routers
// report can lower the standing of a server, and never raises it.
//
//     HealthReports reports;
//     reports.receive(reporter, zone, trust, breadth, complaint, now);
//     auto health = reports.aggregate(id, start, now);
//     reports.expire(now);    // at intervals
//
// For each server that is worse than its peers, a router reports how many samples it has (`max_samples` count
// at most), the share of failures, and how many times slower than its peers the server is.
//
// A complaint is weighted
//   - by age: half after `half_life`, nothing after `report_lifetime`;
//   - by the trust in the reporter: a quarter where the reporter is suspected, degraded, or leaving;
//   - by zone: the newest complaint from a zone counts in full and each further one half as much as the one
//     before, down to a quarter, since routers of one zone share the causes of a failed link;
//   - not at all where the reporter complains of more than half of its servers, having measured at least
//     three, and fewer than two other routers complain of this server: its own link is the likelier cause;
//   - not at all where the server has been restarted since, by its start in the list;
//   - not at all while it is the only complaint.
//
// At most `max_reports` complaints are held; more are refused and counted. `now` is Unix time in
// microseconds; durations are microseconds. Not thread-safe. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "control.hpp"
#include "peers/member_state.hpp"

namespace quillgrade::shared {

using peers::Generation;
using peers::RouterIndex;

struct Complaint {
    CacheId server = 0;
    std::uint32_t start = 0;  // the lower 32 bits of the server's start in Unix milliseconds
    double samples = 0,       // how many the reporter has
        failure_share = 0,    // of the samples, 0 to 1
        slowdown = 0;         // how many times slower than its peers, 0: not slow
    // From when the reporter last looked at its samples to the sending. Samples are 5 s old at most.
    Micros age = 0;
    bool operator==(const Complaint&) const = default;
};
// How many servers the reporter has measured lately, and of how many of these it complains.
struct Breadth {
    int measured = 0, complains = 0;
};

class HealthReports {
public:
    static constexpr Micros report_lifetime = 5'000'000, half_life = 2'500'000;
    static constexpr double max_samples = 4;  // per complaint
    static constexpr std::size_t max_reports = 1024;

    // Replaces the reporter's complaint about the same server. `trust`: the weight of the reporter, 0 to 1.
    void receive(RouterIndex reporter, int zone, double trust, const Breadth& breadth,
                 const Complaint& complaint, Micros now);
    // The combined report on the server's process with this start; no samples where it is not conclusive.
    PeerHealthReport aggregate(CacheId server, std::uint64_t start, Micros now) const;
    // The servers with any complaint.
    std::vector<CacheId> reported_servers() const;
    void expire(Micros now);
    std::size_t size() const;
    std::uint64_t refused() const { return refused_count; }

private:
    struct StoredReport {
        Complaint complaint;
        Micros sampled_at;  // by this router's clock
        int zone;
        double trust;
        bool doubted;  // the reporter complains of most of its servers
    };
    std::map<CacheId, std::map<RouterIndex, StoredReport>> reports;
    std::size_t report_count = 0;
    std::uint64_t refused_count = 0;
};

}  // namespace quillgrade::shared
