// What rides on one datagram, as typed values: read with every number checked, written within the room there
// is. No I/O.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "shared/facts.hpp"
#include "shared/health_reports.hpp"
#include "shared/quotas.hpp"
#include "shared/request_counts.hpp"

namespace quillgrade::shared {

struct Payload {
    std::uint32_t configuration_hash = 0, digest = 0;
    std::vector<Fact> facts;
    std::vector<Ask> asks;
    std::vector<Grant> grants;
    Breadth breadth;
    std::vector<Complaint> complaints;
    std::vector<Count> counts;
    bool send_if_empty = false;  // written even where it tells of nothing: that, too, is to be heard
};

// Empty where it is malformed or a number is out of range; then all of it is dropped. `now`: Unix
// microseconds.
std::optional<Payload> decode(std::string_view bytes, Micros now);

// Writes what fits into `room` bytes, in this order: terms and digest, grants, asks, facts, complaints,
// counts. Each kind in its own order; `fitted` tells how many of each. One that tells of nothing has no
// bytes, unless it is `send_if_empty`.
struct EncodedPayload {
    std::string bytes;
    std::size_t facts = 0, asks = 0, grants = 0, complaints = 0, counts = 0;
};
EncodedPayload encode(const Payload& load, std::size_t room, Micros now);

}  // namespace quillgrade::shared
