// How long a router waits for the answers to indirect probes before it accuses: by the round trips that it
// has measured, not by the longest one believed. A seeded run in simulated time.
#include <doctest/doctest.h>

#include <optional>

#include "rig/simulated.hpp"

using namespace quillgrade;
using namespace quillgrade::peers;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;
constexpr int routers = 12, zones = 3, killed = 5;
constexpr rig::LinkConditions near_by{0, 1 * ms, 2 * ms, 0, 0};

}  // namespace

TEST_CASE("where round trips are short, a router that was killed is accused soon after its probe's period") {
    rig::Simulated<> fleet(routers, zones, 1, {}, near_by);
    fleet.start_all();
    fleet.run_until(fleet.now() + 30 * second);  // more probes than it takes to go by their round trips
    std::optional<Micros> accused_at;
    fleet.on_change = [&](int, const StateChange& change) {
        if (change.who == killed && change.after == State::Suspected && !accused_at) accused_at = fleet.now();
    };
    auto killed_at = fleet.now();
    fleet.kill(killed);
    fleet.run_until(killed_at + 10 * second);
    // It is probed within a period, and the probe takes one more. The longest believed round trip, twice
    // after the last helper was asked, would take 940 ms from the probe on.
    constexpr Micros clocks_apart_and_steps = 80 * ms;
    REQUIRE(accused_at);
    CHECK(*accused_at - killed_at <= 2 * MembershipSettings{}.probe_period + clocks_apart_and_steps);
}
