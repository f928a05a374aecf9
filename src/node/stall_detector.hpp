// Finds event loop stalls: times in which the loop has not waited for events for long, whether it computed,
// got no core, or stood in a call of the system. Wall and processor time tell these apart: close together,
// the router computed; far apart, it had no core or was blocked.
//
// Called around each look for events; it reads no wall clock itself, and the processor clock at most once in
// `checkpoint_every`, and once a report.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>

#include "control.hpp"

namespace quillgrade::node {

struct Stall {
    Micros wall;               // since the loop last waited
    Micros processor;          // used since then, or since up to checkpoint_every before
    std::uint64_t iterations;  // of the loop since then that did not wait
    std::uint64_t so_far;      // stalls since the start, this one included
};

class StallDetector {
public:
    // A router that does not run for so long counts as away among its peers
    // (peers::MembershipSettings::longest_pause).
    static constexpr Micros shortest_stall = 250'000;
    static constexpr Micros report_every = 10'000'000;  // at most; stalls between reports are counted
    static constexpr Micros checkpoint_every = 50'000;

    // Processor time that the process has used so far, microseconds.
    using ProcessorClock = std::function<Micros()>;
    StallDetector(ProcessorClock processor_clock, Micros now);

    // The loop is about to look for events, and has done all that the ones before asked for. A stall that is
    // to be reported, or nothing.
    std::optional<Stall> before_events(Micros now);
    // It has looked, and `waited` for them, or did not.
    void after_events(Micros now, bool waited);
    std::uint64_t stalls() const { return count; }

private:
    ProcessorClock processor_clock;
    Micros busy_since;  // end of the last wait
    Micros checkpoint_at, checkpoint_processor;
    Micros reported_at = 0;
    std::uint64_t iterations = 0, count = 0;
    bool counted = false;  // the stall under way
};

// Of this process, as the system accounts it.
Micros processor_time();

}  // namespace quillgrade::node
