// The records of a contiguous range of members, packed by bits into one datagram of a state transfer. A page
// is self-contained: no other page is needed to decode it. No I/O.
//
// Layout, in bits: 13 the first member, 10 the count of members less 1, 48 the latest generation among them,
// 6 the Rice parameter; then for each member
//
//     0                           Present, incarnation 0, Alive, not unhealthy
//     10  gamma(incarnation)      the same with another incarnation
//     110 gamma(status word + 1)  any other state
//     111 gamma(run)              the sender has no record of the next `run` members
//
// Each but the last is followed by the generation, as the Rice code of its distance to the latest one.
// Generations that began independently of one another over three days take some 29 bits each, near their
// entropy; those of routers started together take less. Zero bits fill up the last byte. A page has exactly
// one valid encoding.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/account.hpp"

namespace quillgrade::peers {

inline constexpr int max_members_per_page = 1024;  // 10 bits

struct SnapshotPage {
    RouterIndex first_member = 0;
    int member_count = 0;  // 1 to max_members_per_page
    // Of members of the range, in ascending order. The sender has no record of the others.
    std::vector<MemberRecord> records;
    RouterIndex end() const { return first_member + member_count; }
    bool operator==(const SnapshotPage&) const = default;
};

std::string encode_page(const SnapshotPage& page);

// Returns nothing unless `bytes` are the one valid encoding of a page whose members are below `routers` and
// whose generations are at most `latest`.
std::optional<SnapshotPage> decode_page(std::string_view bytes, int routers, Generation latest);

// Returns the page with the most members that starts at `first` and fits into `max_bytes`, or nothing where
// `states` is empty or not even one member fits. `states` are those of the members from `first` on;
// generation 0 means that there is no record.
std::optional<SnapshotPage> largest_page(RouterIndex first, const std::vector<MemberState>& states,
                                         std::size_t max_bytes);

}  // namespace quillgrade::peers
