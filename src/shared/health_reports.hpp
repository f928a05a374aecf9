// What other routers say of servers, weighed into one hearsay for each: for servers that this router has
// hardly measured itself. Only complaints are told, each with its evidence; praise is not, so nothing here
// lifts one.
//
// A witness tells, for each server that stands out beside its peers, how many samples it has (they count as
// `max_samples` at most), the share of failures, and how many times as slow as the peers the server is. They
// weigh
//   - by age: half after `half_life`, nothing after `life`;
//   - by the witness's own trust: a quarter where it is accused, ill, or leaving;
//   - by its neighbours: the first witness of a zone counts whole, each further one half as much as the one
//   before,
//     down to a quarter, since what cuts off one cuts off its neighbours;
//   - nothing, where the witness complains of more than half of three servers or more that it measured, and
//   fewer
//     than two others complain of that server: then its own link is the likelier cause;
//   - nothing, where the server was started again since (by its start in the list);
//   - nothing, as long as there is only one witness.
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
    std::uint32_t start = 0;  // the lower half of the server's start in Unix milliseconds
    double samples = 0, failure_share = 0, slowdown = 0;
    Micros age =
        0;  // since the witness last looked at its samples, when it was told; they are 5 s old at most
    bool operator==(const Complaint&) const = default;
};
// How many servers the witness has measured lately, and how many of these it complains of.
struct Breadth {
    int measured = 0, complains = 0;
};

class HealthReports {
public:
    static constexpr Micros report_lifetime = 5'000'000, half_life = 2'500'000;
    static constexpr double max_samples = 4;
    static constexpr std::size_t max_reports = 1024;  // complaints kept

    void receive(RouterIndex witness, int zone, double trust, const Breadth& breadth,
                 const Complaint& complaint, Micros now);
    // `start`: in the list that this router has.
    PeerHealthReport aggregate(CacheId server, std::uint64_t start, Micros now) const;
    // Servers of which anything is held.
    std::vector<CacheId> reported_servers() const;
    void expire(Micros now);
    std::size_t size() const;
    std::uint64_t refused() const { return seen_refused; }

private:
    struct Held {
        Complaint what;
        Micros at;  // of the newest sample, by this router's clock
        int zone;
        double trust;
        bool doubted;
    };
    std::map<CacheId, std::map<RouterIndex, Held>> held;
    std::size_t count = 0;
    std::uint64_t seen_refused = 0;
};

}  // namespace quillgrade::shared
