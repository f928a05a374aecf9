// What is known of one router, and how two accounts of it are joined. The join is the only way in which an
// account ever changes, and its order is the whole of the protocol's safety: it is commutative, associative
// and idempotent (tests/peers_test.cpp tries every triple of a small domain), so lost, doubled, late and
// reordered datagrams can't make two routers that have heard the same accounts differ.
//
//   life         a router's boot number, new at each start and growing. A higher one replaces all of a lower.
//   phase        told by the router itself; within a life it only goes forward, so a router that has left is
//                never there again in the same life.
//   incarnation  raised by the router itself, and by nobody else: to answer an accusation, or to change
//   `ill`. verdict      of others, and about one incarnation: at the same incarnation suspected beats alive
//   and dead
//                beats suspected; a higher incarnation beats them all (SWIM, Das, Gupta, Motivala, DSN 2002,
//                section 4.2; unlike there, dead can be answered, since a cut looks like death to both
//                sides).
#pragma once

#include <algorithm>
#include <cstdint>
#include <tuple>

namespace quillgrade::peers {

using Micros = std::int64_t;
using RouterIndex = int;  // a router's place in the list of `peers`, from 0
using Generation =
    std::uint64_t;  // Unix milliseconds of the start, or one above an earlier life; 0: never heard of

// Routers of a tier that the protocol is built and measured for; a longer list is refused at the start. A
// hash of a digest has 16 bits for a number, a page of a state transfer 13.
inline constexpr int max_routers = 8192;

enum class Phase : std::uint8_t { Present, Leaving, Gone };
enum class Liveness : std::uint8_t { Alive, Suspected, Dead };

struct MemberState {
    Generation generation = 0;
    Phase phase = Phase::Present;
    std::uint32_t incarnation = 0;
    Liveness liveness = Liveness::Alive;
    bool unhealthy = false;  // it says that it answers, but does not get its lookups handled
    bool operator==(const MemberState&) const = default;
};

// What both accounts together say.
inline MemberState merge(const MemberState& one, const MemberState& other) {
    if (one.generation != other.generation) return one.generation > other.generation ? one : other;
    auto rank = [](const MemberState& s) { return std::tuple(s.incarnation, s.liveness, s.unhealthy); };
    auto joined = rank(one) >= rank(other) ? one : other;
    joined.generation = std::max(one.generation, other.generation);
    // The two halves come from different speakers, so each is joined by itself.
    joined.phase = std::max(one.phase, other.phase);
    return joined;
}

}  // namespace quillgrade::peers
