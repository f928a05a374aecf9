// One member's number together with its state, as gossip, corrections and snapshot pages carry it.
#pragma once

#include "peers/member_state.hpp"

namespace quillgrade::peers {

struct MemberRecord {
    RouterIndex member = 0;
    MemberState member_state;
    bool operator==(const MemberRecord&) const = default;
};

}  // namespace quillgrade::peers
