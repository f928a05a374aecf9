// What is told about one member of the tier.
#pragma once

#include "peers/member_state.hpp"

namespace quillgrade::peers {

struct MemberRecord {
    RouterIndex member = 0;
    MemberState member_state;
    bool operator==(const MemberRecord&) const = default;
};

}  // namespace quillgrade::peers
