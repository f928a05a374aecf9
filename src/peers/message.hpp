// Datagrams between routers as typed values: read with all lengths and numbers checked, written within
// `longest` bytes. No I/O.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/account.hpp"
#include "peers/snapshot_page.hpp"

namespace quillgrade::peers {

inline constexpr std::size_t max_datagram_bytes = 256;  // bytes of a datagram, by the platform's protocol
inline constexpr int max_pages_per_request = 4;         // that one request may ask for
inline constexpr int members_per_digest_hash = 16;      // routers a hash of a digest covers
inline constexpr std::size_t max_link_reports = 6;      // that one datagram brings along

enum class MessageType { Ping = 1, Ack, PingRequest, Nack, Digest, Gossip, RangeRequest, RangePage };

// Kinds that only a tier with MembershipSettings::state_transfer knows.
inline bool is_state_transfer(MessageType type) {
    return type == MessageType::RangeRequest || type == MessageType::RangePage;
}

struct SuspicionReport {
    RouterIndex suspect = 0, reporter = 0;
    Micros age = 0;  // since the first accusation, at the time of sending
    bool operator==(const SuspicionReport&) const = default;
};
// What the listener says of a pair: whether it hears the speaker.
struct LinkReport {
    RouterIndex sender = 0, receiver = 0;
    std::uint32_t sequence = 0;  // grows with each statement of this listener in one life
    bool down = false;
    bool operator==(const LinkReport&) const = default;
};

struct Message {
    RouterIndex from = 0;
    MemberState sender_state;  // of the sender; its verdict is always alive
    int zone = -1;             // -1: not told
    MessageType type = MessageType::Gossip;
    std::uint32_t probe_id = 0;
    RouterIndex target =
        -1;  // Ask, No: the router probed; Ping, Heard: for whom, -1: for the sender of the ping
    bool direct_ping_received = false;
    std::vector<MemberRecord> records;
    std::vector<SuspicionReport> suspicions;
    std::vector<LinkReport> link_reports;  // Digest: cuts that the sender holds, to be put right; else news
    RouterIndex first_member = 0;
    std::vector<std::uint32_t> hashes;
    std::string payload;  // of the piggyback, not looked into here
    // RangeRequest: up to `pages` pages of the members from `first` on, `range_members` of them.
    int range_members = 0, pages = 0;
    // RangePage. Without a page: the sender has no bytes to spare for one.
    std::optional<SnapshotPage> page;
    bool complete = false;  // the sender's own transfer has finished: it knows nothing of members left out
};

// Why a datagram was dropped; counted by place.
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
    DropReason drop_reason = DropReason::Malformed;
};
// `routers`: how many there are; whatever names another is dropped whole. `now`: a life from more than a day
// ahead is dropped too, so that no datagram can claim a number for good.
DecodeResult decode(std::string_view datagram, int routers, Micros now);
// May be longer than `longest`: the caller adds accounts while there is room.
std::string encode(const Message& message);

}  // namespace quillgrade::peers
