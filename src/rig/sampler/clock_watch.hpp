// Whether the system's clocks go apart or one of them jumps, from readings of all four taken together. No I/O
// but in read_clocks().
#pragma once

#include <array>
#include <chrono>
#include <cstdint>

#include "rig/sampler/proc_lines.hpp"

namespace quillgrade::rig::sampler {

// CLOCK_REALTIME, CLOCK_MONOTONIC_RAW and CLOCK_BOOTTIME are told by how far they are ahead of
// CLOCK_MONOTONIC.
enum class OtherClock { Real, MonotonicRaw, Boot };
inline constexpr std::size_t other_clocks = 3;
const char* name_of(OtherClock clock);

struct ClockReading {
    Nanoseconds monotonic{};                         // before the others were read
    std::array<Nanoseconds, other_clocks> others{};  // by OtherClock
    Nanoseconds read_within{};  // from the first reading to the last, by the monotonic clock
};
ClockReading read_clocks();

class ClockWatch {
public:
    // What is told as a divergence: a distance between two clocks that has changed by more since the first
    // reading, or since the last divergence of the two.
    static constexpr Nanoseconds tolerance = std::chrono::milliseconds(50);
    // Readings that took longer don't tell how far clocks are apart, and are only counted.
    static constexpr Nanoseconds longest_reading = std::chrono::milliseconds(5);

    struct Divergence {
        std::uint64_t count = 0;
        Nanoseconds
            largest{};  // the largest change of the distance between two readings in a row, either way
    };

    void add(const ClockReading& reading);

    const Divergence& divergence(OtherClock clock) const {
        return divergences[static_cast<std::size_t>(clock)];
    }
    std::uint64_t readings() const { return taken; }
    std::uint64_t slow_readings() const { return slow; }
    // Between two readings in a row, slow ones included: how long whoever reads got no turn itself.
    Nanoseconds longest_gap() const { return gap; }

private:
    std::array<Nanoseconds, other_clocks> reference{}, previous{};
    std::array<Divergence, other_clocks> divergences;
    std::uint64_t taken = 0, slow = 0;
    bool any_reading = false;
    Nanoseconds last_reading{}, gap{};
};

}  // namespace quillgrade::rig::sampler
