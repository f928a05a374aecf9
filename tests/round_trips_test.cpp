// The round-trip time that indirect probes wait for where routers are far apart: the estimator by itself, and
// a seeded run in which two regions are partitioned from each other.
#include "peers/round_trips.hpp"

#include <doctest/doctest.h>

#include "rig/scale/simulated_fleet.hpp"

using namespace quillgrade;
using namespace quillgrade::peers;
using namespace quillgrade::rig::scale;

namespace {

constexpr Micros noon_at = 1'764'576'000 * second, minute = 60 * second;
constexpr Micros upper_bound = 333 * millisecond;
constexpr int min_samples = 32;

RoundTripEstimator estimator_with(Micros round_trip, int samples) {
    RoundTripEstimator round_trips(upper_bound, noon_at);
    for (int i = 0; i < samples; i++) round_trips.record(round_trip, noon_at);
    return round_trips;
}

struct PartitionResult {
    int false_deaths = 0, detections = 0;
};

// Partitions two regions from each other, and kills one router of a third region after a while.
PartitionResult partition_regions(int routers, bool state_transfer) {
    Topology topology(routers);
    FleetOptions options;
    options.seed = 36;
    options.rates.bytes_per_s = 2'000;
    options.rates.state_transfer = state_transfer;
    SimulatedFleet fleet(topology, options);
    fleet.start_in_steady_state();
    fleet.run_for(5 * second);
    auto regions = topology.regions_by_size();
    auto killed = topology.in_region(regions[2]).front();
    PartitionResult result;
    fleet.on_change = [&](RouterIndex, const StateChange& change) {
        if (change.after != State::Dead) return;
        (change.who == killed && !fleet.runs(killed) ? result.detections : result.false_deaths)++;
    };
    fleet.cut_regions(regions[0], regions[1], true);
    fleet.run_for(15 * second);
    fleet.kill(killed);
    fleet.run_for(15 * second);
    return result;
}

}  // namespace

TEST_CASE("the estimate is the upper bound until there are enough samples") {
    CHECK(estimator_with(5 * millisecond, min_samples - 1).max_round_trip(noon_at) == upper_bound);
    CHECK(estimator_with(5 * millisecond, min_samples).max_round_trip(noon_at) == 5 * millisecond);
}

TEST_CASE("a round trip above the upper bound, or negative because a clock was set back, is clamped") {
    CHECK(estimator_with(10 * second, min_samples).max_round_trip(noon_at) == upper_bound);
    CHECK(estimator_with(-second, min_samples).max_round_trip(noon_at) == 0);
}

TEST_CASE("the longest round trip is kept for one to two minutes") {
    auto round_trips = estimator_with(250 * millisecond, min_samples);
    round_trips.record(5 * millisecond, noon_at + minute);
    CHECK(round_trips.max_round_trip(noon_at + minute) == 250 * millisecond);
    CHECK(round_trips.max_round_trip(noon_at + 2 * minute) == 5 * millisecond);
}

TEST_CASE("the estimate is the upper bound again after two minutes without samples") {
    auto round_trips = estimator_with(5 * millisecond, min_samples);
    CHECK(round_trips.max_round_trip(noon_at + 2 * minute) == upper_bound);
}

// Guards against indirect probes that end with their probe period, which is too short for two round trips
// between far regions: in this run they declared live routers dead, 5 pairs, and 499 with state transfer.
TEST_CASE("no live router is declared dead while two regions of a tier of 600 routers are partitioned") {
    constexpr int routers = 600, others = routers - 1;
    auto result = partition_regions(routers, false);
    CHECK(result.false_deaths == 0);
    CHECK(result.detections == others);
}

TEST_CASE("no live router is declared dead while two regions are partitioned, with state transfer") {
    constexpr int routers = 600, others = routers - 1;
    auto result = partition_regions(routers, true);
    CHECK(result.false_deaths == 0);
    CHECK(result.detections == others);
}
