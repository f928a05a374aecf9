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

inline constexpr std::size_t longest = 256;          // bytes of a datagram, by the platform's protocol
inline constexpr int most_pages = 4;                 // that one request may ask for
inline constexpr int block = 16;                     // routers a hash of a digest covers
inline constexpr std::size_t most_link_reports = 6;  // that one datagram brings along

enum class Kind { Ping = 1, Heard, Ask, No, Digest, News, RangeRequest, RangePage };

// Kinds that only a tier with MembershipSettings::state_transfer knows.
inline bool of_state_transfer(Kind kind) { return kind == Kind::RangeRequest || kind == Kind::RangePage; }

struct Accusation {
    Number accused = 0, accuser = 0;
    Micros age = 0;  // since the first accusation, at the time of sending
    bool operator==(const Accusation&) const = default;
};
// What the listener says of a pair: whether it hears the speaker.
struct LinkReport {
    Number speaker = 0, listener = 0;
    std::uint32_t said = 0;  // grows with each statement of this listener in one life
    bool cut = false;
    bool operator==(const LinkReport&) const = default;
};

struct Message {
    Number from = 0;
    MemberState self;  // of the sender; its verdict is always alive
    int zone = -1;     // -1: not told
    Kind kind = Kind::News;
    std::uint32_t probe = 0;
    Number about = -1;  // Ask, No: the router probed; Ping, Heard: for whom, -1: for the sender of the ping
    bool direct = false;
    std::vector<Account> accounts;
    std::vector<Accusation> accusations;
    std::vector<LinkReport> link_reports;  // Digest: cuts that the sender holds, to be put right; else news
    Number first = 0;
    std::vector<std::uint32_t> hashes;
    std::string payload;  // of the piggyback, not looked into here
    // RangeRequest: up to `pages` pages of the members from `first` on, `range_members` of them.
    int range_members = 0, pages = 0;
    // RangePage. Without a page: the sender has no bytes to spare for one.
    std::optional<SnapshotPage> page;
    bool complete = false;  // the sender's own transfer has finished: it knows nothing of members left out
};

// Why a datagram was dropped; counted by place.
enum class Dropped { TooLong, Malformed, Format, Source, OutOfRange, TransferOff, Last };

struct Decoded {
    std::optional<Message> message;
    Dropped why = Dropped::Malformed;
};
// `routers`: how many there are; whatever names another is dropped whole. `now`: a life from more than a day
// ahead is dropped too, so that no datagram can claim a number for good.
Decoded decode(std::string_view datagram, int routers, Micros now);
// May be longer than `longest`: the caller adds accounts while there is room.
std::string encode(const Message& message);

}  // namespace quillgrade::peers
