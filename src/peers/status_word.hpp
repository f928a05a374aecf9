// A member's state without its generation, as one number on the wire:
// incarnation * 32 + unhealthy * 16 + liveness * 4 + phase.
#pragma once

#include <cstdint>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

inline std::uint32_t status_word(const MemberState& state) {
    return state.incarnation * 32 + (state.unhealthy ? 16 : 0) +
           static_cast<std::uint32_t>(state.liveness) * 4 + static_cast<std::uint32_t>(state.phase);
}

// Returns false where the word holds no valid phase or liveness. The generation of `into` stays as it is.
inline bool parse_status_word(std::uint32_t word, MemberState& into) {
    auto phase = word % 4, liveness = word / 4 % 4;
    into.unhealthy = word & 16;
    into.incarnation = word / 32;
    into.phase = static_cast<Phase>(phase);
    into.liveness = static_cast<Liveness>(liveness);
    return phase <= 2 && liveness <= 2;
}

}  // namespace quillgrade::peers
