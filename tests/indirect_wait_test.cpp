// How long a router waits for the answers to indirect probes before it accuses: according to the round trips
// that it has measured, not to the longest one that it considers plausible. A seeded run in simulated time.
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

TEST_CASE("with short round trips, a killed router is accused soon after the period of the probe") {
    rig::Simulated<> fleet(routers, zones, 1, {}, near_by);
    fleet.start_all();
    fleet.run_until(fleet.now() +
                    30 * second);  // long enough to have measured the round trips of enough probes
    std::optional<Micros> accused_at;
    fleet.on_change = [&](int, const StateChange& change) {
        if (change.who == killed && change.after == State::Suspected && !accused_at) accused_at = fleet.now();
    };
    auto killed_at = fleet.now();
    fleet.kill(killed);
    fleet.run_until(killed_at + 10 * second);
    // The router is probed within one period, and the probe takes one more. Waiting for twice the longest
    // plausible round trip after the last helper was asked would take 940 ms from the start of the probe.
    constexpr Micros clock_skew_and_steps = 80 * ms;
    REQUIRE(accused_at);
    CHECK(*accused_at - killed_at <= 2 * MembershipSettings{}.probe_period + clock_skew_and_steps);
}
