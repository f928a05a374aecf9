// Whether a router that answers its peers also serves its lookups. It is unhealthy once more than
// half of the lookups that ended in the last five seconds, and at least ten did, were rejected or
// failed. It is healthy again only when less than a fifth were, or when none ended: the margin keeps
// the state from oscillating.
#pragma once

#include <array>
#include <cstdint>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

class RequestHealth {
public:
    // Takes the totals since the start: lookups that ended, and those of them that were rejected or failed.
    // Returns whether the router is unhealthy.
    bool update(std::uint64_t ended, std::uint64_t failed, Micros now) {
        if (now - sampled_at >= sample_interval) {
            sampled_at = now;
            samples[next++ % samples.size()] = {ended, failed};
        }
        auto& oldest = samples[next % samples.size()];
        auto recent = ended - oldest.ended, recent_failed = failed - oldest.failed;
        if (recent >= min_lookups && recent_failed * 2 > recent) unhealthy = true;
        if (recent >= min_lookups && recent_failed * 5 < recent) unhealthy = false;
        if (recent == 0) unhealthy = false;  // an idle router has shown no failures
        return unhealthy;
    }

private:
    static constexpr Micros sample_interval = 1'000'000;
    static constexpr std::uint64_t min_lookups = 10;
    struct Totals {
        std::uint64_t ended = 0, failed = 0;
    };
    std::array<Totals, 5> samples{};
    std::size_t next = 0;
    Micros sampled_at = 0;
    bool unhealthy = false;
};

}  // namespace quillgrade::peers
