// What a router's account says beside its life, as one number on the wire:
// incarnation * 32 + ill * 16 + verdict * 4 + phase.
#pragma once

#include <cstdint>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

inline std::uint32_t status_word(const MemberState& state) {
    return state.incarnation * 32 + (state.unhealthy ? 16 : 0) +
           static_cast<std::uint32_t>(state.liveness) * 4 + static_cast<std::uint32_t>(state.phase);
}

// False where the word names no phase or verdict; the life of `into` stays as it is.
inline bool parse_status_word(std::uint32_t word, MemberState& into) {
    auto phase = word % 4, verdict = word / 4 % 4;
    into.unhealthy = word & 16;
    into.incarnation = word / 32;
    into.phase = static_cast<Phase>(phase);
    into.liveness = static_cast<Liveness>(verdict);
    return phase <= 2 && verdict <= 2;
}

}  // namespace quillgrade::peers
