// What is known of one router, and how two such states of the same router are merged.
//
// A state changes only by merge(), and the protocol's safety rests on that function alone: it is commutative,
// associative and idempotent (tests/peers_test.cpp checks every triple of a small domain). Datagrams that are
// lost, duplicated, late or reordered therefore can't make two routers differ that have received the same
// states.
//
//   generation   Identifies one run of the router's process: new at each start, and growing. A higher
//                generation replaces all of a lower one.
//   phase        Set by the router itself. Within a generation it only moves forward, so a router that has
//                left never returns in the same generation.
//   incarnation  Raised by the router itself and by nobody else, to refute a suspicion or to change
//                `unhealthy`.
//   liveness     What others say of the router, for one incarnation. At the same incarnation Suspected
//                overrides Alive, and Dead overrides Suspected; a higher incarnation overrides them all
//                (SWIM, Das, Gupta, Motivala, DSN 2002, section 4.2). Unlike in SWIM, Dead can be refuted,
//                since a network partition looks like death to both of its sides.
#pragma once

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace quillgrade::peers {

using Micros = std::int64_t;
using RouterIndex = int;  // a router's position in the configured list of `peers`, from 0
// Unix time in milliseconds at which the router started, or one above its previous generation; 0: not known.
using Generation = std::uint64_t;

// The most routers that a tier may have; a longer list of peers is rejected at the start. The protocol is
// tested up to this size, a digest's hashes use 16 bits for a router's index, and a page of a state
// transfer 13.
inline constexpr int max_routers = 8192;

enum class Phase : std::uint8_t { Present, Leaving, Gone };
enum class Liveness : std::uint8_t { Alive, Suspected, Dead };

struct MemberState {
    Generation generation = 0;
    Phase phase = Phase::Present;
    std::uint32_t incarnation = 0;
    Liveness liveness = Liveness::Alive;
    bool unhealthy = false;  // reported by the router itself: it responds, but its lookups are not served
    bool operator==(const MemberState&) const = default;
};

// The least state that is not older than either of the two (their least upper bound).
inline MemberState merge(const MemberState& one, const MemberState& other) {
    if (one.generation != other.generation) return one.generation > other.generation ? one : other;
    auto precedence = [](const MemberState& state) {
        return std::tuple(state.incarnation, state.liveness, state.unhealthy);
    };
    auto merged = precedence(one) >= precedence(other) ? one : other;
    merged.generation = std::max(one.generation, other.generation);
    // The phase is set by the router itself and the liveness by others, so each is merged on its own.
    merged.phase = std::max(one.phase, other.phase);
    return merged;
}

}  // namespace quillgrade::peers
