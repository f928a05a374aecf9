// How long an indirect probe may take where routers are far apart: the measure alone, and regions that are
// cut from each other in a seeded run.
#include "peers/round_trips.hpp"

#include <doctest/doctest.h>

#include "rig/scale/simulated_fleet.hpp"

using namespace quillgrade;
using namespace quillgrade::peers;
using namespace quillgrade::rig::scale;

namespace {

constexpr Micros noon_at = 1'764'576'000 * second, minute = 60 * second;
constexpr Micros believed = 333 * millisecond;
constexpr int enough_samples = 32;

RoundTripEstimator measured(Micros length, int samples) {
    RoundTripEstimator round_trips(believed, noon_at);
    for (int i = 0; i < samples; i++) round_trips.record(length, noon_at);
    return round_trips;
}

struct RegionCut {
    int false_deaths = 0, noticed = 0;
};

// Two regions hear nothing of each other; after a while one router elsewhere is killed.
RegionCut part_regions(int routers, bool state_transfer) {
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
    RegionCut seen;
    fleet.on_change = [&](RouterIndex, const StateChange& change) {
        if (change.after != State::Dead) return;
        (change.who == killed && !fleet.runs(killed) ? seen.noticed : seen.false_deaths)++;
    };
    fleet.cut_regions(regions[0], regions[1], true);
    fleet.run_for(15 * second);
    fleet.kill(killed);
    fleet.run_for(15 * second);
    return seen;
}

}  // namespace

TEST_CASE("the longest round trip is believed at most until enough are measured") {
    CHECK(measured(5 * millisecond, enough_samples - 1).max_round_trip(noon_at) == believed);
    CHECK(measured(5 * millisecond, enough_samples).max_round_trip(noon_at) == 5 * millisecond);
}

TEST_CASE("a round trip longer than believed, or less than nothing by a clock set back, is bounded") {
    CHECK(measured(10 * second, enough_samples).max_round_trip(noon_at) == believed);
    CHECK(measured(-second, enough_samples).max_round_trip(noon_at) == 0);
}

TEST_CASE("a longest round trip is kept for one to two minutes") {
    auto round_trips = measured(250 * millisecond, enough_samples);
    round_trips.record(5 * millisecond, noon_at + minute);
    CHECK(round_trips.max_round_trip(noon_at + minute) == 250 * millisecond);
    CHECK(round_trips.max_round_trip(noon_at + 2 * minute) == 5 * millisecond);
}

TEST_CASE("who has measured none for two minutes goes by the longest believed again") {
    auto round_trips = measured(5 * millisecond, enough_samples);
    CHECK(round_trips.max_round_trip(noon_at + 2 * minute) == believed);
}

// Where an indirect probe has to end with its period, this run declares living routers dead: 5 pairs, 499
// with state transfer.
TEST_CASE("no living router is declared dead while two regions of 600 routers are cut from each other") {
    constexpr int routers = 600, others = routers - 1;
    auto seen = part_regions(routers, false);
    CHECK(seen.false_deaths == 0);
    CHECK(seen.noticed == others);
}

TEST_CASE("nor with state transfer") {
    constexpr int routers = 600, others = routers - 1;
    auto seen = part_regions(routers, true);
    CHECK(seen.false_deaths == 0);
    CHECK(seen.noticed == others);
}
