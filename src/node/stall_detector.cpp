#include "node/stall_detector.hpp"

#include <ctime>
#include <utility>

namespace quillgrade::node {

StallDetector::StallDetector(ProcessorClock clock, Micros now)
    : processor_clock(std::move(clock)),
      busy_since(now),
      checkpoint_at(now),
      checkpoint_processor(processor_clock()) {}

std::optional<Stall> StallDetector::before_events(Micros now) {
    auto wall = now - busy_since;
    if (wall < shortest_stall) return std::nullopt;
    if (!std::exchange(counted, true)) count++;
    if (reported_at > 0 && now - reported_at < report_every) return std::nullopt;
    reported_at = now;
    return Stall{wall, processor_clock() - checkpoint_processor, iterations, count};
}

void StallDetector::after_events(Micros now, bool waited) {
    if (!waited) {
        iterations++;
        return;
    }
    busy_since = now;
    iterations = 0;
    counted = false;
    if (now - checkpoint_at < checkpoint_every) return;
    checkpoint_at = now;
    checkpoint_processor = processor_clock();
}

Micros processor_time() {
    timespec used{};
    if (clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used) != 0) return 0;
    return static_cast<Micros>(used.tv_sec) * 1'000'000 + used.tv_nsec / 1000;
}

}  // namespace quillgrade::node
