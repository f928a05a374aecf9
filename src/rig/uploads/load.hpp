// Clients that write requests with bodies to one router, drawn from a seed within what the protocol and the
// platform allow: how long the requests are, how many are open at once, how fast they are written. Pure: the
// same seed gives the same load.
#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "rig/world.hpp"

namespace quillgrade::rig::uploads {

inline constexpr Micros millisecond = 1000, second = 1000 * millisecond;
inline constexpr std::size_t longest_body = 240'000;  // bytes, by the protocol

enum class Pace {
    Quick,    // as fast as the system takes it
    Slow,     // in pieces, at so many bytes a second
    Pausing,  // quick, with one pause in the middle
    Stopped   // the first half of a request, and nothing more
};
inline constexpr int pace_count = 4;
const char* name_of(Pace pace);

// One connection.
struct Writer {
    Micros starts = 0;     // since the load began
    std::size_t body = 0;  // bytes, of each request
    int requests = 1;      // in one go, one behind the other
    Pace pace = Pace::Quick;
    std::size_t bytes_per_s = 0;  // of one that is slow
    Micros pause = 0;             // of one that pauses
    bool operator==(const Writer&) const = default;
};

struct Load {
    std::uint64_t seed = 0;
    int memory_mb = 32, sockets = 256;  // limits of the router
    Micros cache_delay = 0;             // until a cache answers
    std::vector<Writer> writers = {};
    bool operator==(const Load&) const = default;
};

Load draw(std::uint64_t seed);

}  // namespace quillgrade::rig::uploads
