// The accounts of a contiguous range of members, packed by bits into one datagram of a state transfer. A page
// stands by itself: it needs no other page to be read. No I/O.
//
// Layout, in bits: 13 the first member, 10 the count of members less 1, 48 the latest life among them, 6 the
// Rice parameter; then for each member
//     0                    there, with incarnation 0, alive, not ill
//     10  gamma(incarnation)     the same with another incarnation
//     110 gamma(status word + 1) anything else
//     111 gamma(run)             so many members from here on that the sender has no account of
// each but the last followed by the life, as Rice code of its distance to the latest one. Lives that began
// independently of one another over three days take some 29 bits, near their entropy; those of routers
// started together take less. Zero bits fill up the last byte. There is one encoding of a page only.
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
    std::vector<MemberRecord>
        records;  // of members of the range, in order; the others are not known to the sender
    RouterIndex end() const { return first_member + member_count; }
    bool operator==(const SnapshotPage&) const = default;
};

std::string encode_page(const SnapshotPage& page);

// Nothing where the bytes are no page, in its one encoding, of members under `routers` with lives up to
// `latest`.
std::optional<SnapshotPage> decode_page(std::string_view bytes, int routers, Generation latest);

// The page from `first` on that holds the most members of `states` within `room` bytes. `states` are those
// from `first` on, life 0: no account. Nothing where there are no states, or not even one fits.
std::optional<SnapshotPage> largest_page(RouterIndex first, const std::vector<MemberState>& states,
                                         std::size_t room);

}  // namespace quillgrade::peers
