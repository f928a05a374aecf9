// Encodes and decodes what one datagram of the membership carries for the shared state. Decoding checks the
// range of every number; encoding writes what fits into the given room. Times are Unix time: `unix_now` in
// microseconds, in facts milliseconds. No I/O.
//
//     auto encoded = encode(payload, room, now);    // encoded.facts of payload.facts were written
//     if (auto payload = decode(bytes, now)) apply(*payload);
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
    // Of the settings for quotas and of the facts held; 0: not sent.
    std::uint32_t configuration_hash = 0, digest = 0;
    std::vector<Fact> facts;
    std::vector<Ask> asks;
    std::vector<Grant> grants;
    Breadth breadth;  // sent with the complaints
    std::vector<Complaint> complaints;
    std::vector<Count> counts;
    bool send_if_empty = false;  // encoded even where it holds nothing, so that the receiver sees its digest
};

// Returns nothing where the bytes are malformed or any number is out of range; the payload is then dropped
// whole.
std::optional<Payload> decode(std::string_view bytes, Micros unix_now);

struct EncodedPayload {
    std::string bytes;
    std::size_t facts = 0, asks = 0, grants = 0, complaints = 0, counts = 0;  // how many were written
};
// Writes what fits into `room` bytes, in this order: the hashes, grants, asks, facts, complaints, counts,
// each kind in its given order. A payload that holds nothing has no bytes, unless it is `send_if_empty`.
EncodedPayload encode(const Payload& payload, std::size_t room, Micros unix_now);

}  // namespace quillgrade::shared
