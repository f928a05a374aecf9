// The datagrams between routers as typed values. decode() checks all lengths and numbers of a received
// datagram; encode() writes one. No I/O.
//
//     auto decoded = decode(datagram, routers, now);
//     if (!decoded.message) {
//         count_drop(decoded.drop_reason);
//     } else {
//         process(*decoded.message);
//     }
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/account.hpp"
#include "peers/snapshot_page.hpp"

namespace quillgrade::peers {

inline constexpr std::size_t max_datagram_bytes = 256;  // given by the platform's protocol
inline constexpr int max_pages_per_request = 4;
inline constexpr int members_per_digest_hash = 16;
inline constexpr std::size_t max_link_reports = 6;  // per datagram

// Values are those of Kind in peers.proto. Ack answers a Ping; PingRequest asks for an indirect probe, and
// Nack says that the target of an indirect probe has not answered so far.
enum class MessageType { Ping = 1, Ack, PingRequest, Nack, Digest, Gossip, RangeRequest, RangePage };

// Types that are sent and accepted only with MembershipSettings::state_transfer.
inline bool is_state_transfer(MessageType type) {
    return type == MessageType::RangeRequest || type == MessageType::RangePage;
}

// `reporter` suspects that `suspect` has failed.
struct SuspicionReport {
    RouterIndex suspect = 0, reporter = 0;
    Micros age = 0;  // time from the first suspicion to the sending of this datagram
    bool operator==(const SuspicionReport&) const = default;
};
// The receiver's statement whether datagrams of the sender reach it directly.
struct LinkReport {
    RouterIndex sender = 0, receiver = 0;
    std::uint32_t sequence = 0;  // grows with each statement of this receiver in one generation
    bool down = false;
    bool operator==(const LinkReport&) const = default;
};

struct Message {
    RouterIndex from = 0;
    MemberState sender_state;  // its liveness is always Alive
    int zone = -1;             // of the sender; -1: not known
    MessageType type = MessageType::Gossip;
    std::uint32_t probe_id = 0;
    // PingRequest, Nack: the router to be probed. Ping, Ack: the router that asked for the probe, -1: the
    // sender of the ping itself.
    RouterIndex target = -1;
    // Ack passed on by a helper: the target has also received a ping directly from the router that asked.
    bool direct_ping_received = false;
    std::vector<MemberRecord> records;
    std::vector<SuspicionReport> suspicions;
    // Digest: failed links known to the sender, which a router that knows of a recovery corrects. Other
    // types: new reports.
    std::vector<LinkReport> link_reports;
    RouterIndex first_member = 0;  // Digest: where `hashes` begin. RangeRequest: the first member asked for.
    std::vector<std::uint32_t> hashes;
    std::string payload;  // of the piggyback; opaque here
    // RangeRequest: up to `pages` pages of the `range_members` members from `first_member` on.
    int range_members = 0, pages = 0;
    // RangePage. Without a page: the sender has no bytes to spare for one.
    std::optional<SnapshotPage> page;
    bool complete = false;  // the sender's own transfer has finished: no records exist of members left out
};

// Why a datagram was dropped; the index of its counter.
enum class DropReason {
    TooLong,
    Malformed,
    UnsupportedFormat,
    UnexpectedSender,
    OutOfRange,
    StateTransferDisabled,
    Count
};

struct DecodeResult {
    std::optional<Message> message;
    DropReason drop_reason = DropReason::Malformed;  // only without a message
};
// `routers`: the size of the tier. A datagram that names a router outside of it is dropped whole. A
// generation that lies more than a day ahead of `now` is dropped too, so that no datagram can occupy an index
// for good.
DecodeResult decode(std::string_view datagram, int routers, Micros now);
// May return more than max_datagram_bytes: the caller adds records only while there is room.
std::string encode(const Message& message);

}  // namespace quillgrade::peers
