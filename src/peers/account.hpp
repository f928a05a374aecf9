// What is told about one member of the tier.
#pragma once

#include "peers/member_state.hpp"

namespace quillgrade::peers {

struct Account {
    Number who = 0;
    MemberState member_state;
    bool operator==(const Account&) const = default;
};

}  // namespace quillgrade::peers
