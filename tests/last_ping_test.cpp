// What one router is sent at most when all others are about to judge it: a seeded run in simulated time.
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "rig/simulated.hpp"

using namespace quillgrade;
using namespace quillgrade::peers;

namespace {

constexpr Micros second = 1'000'000, slice = second / 10;
constexpr int routers = 600, zones = 6, stopped = 5;
constexpr std::size_t slices_of_window = 20;  // two seconds

std::size_t most_in_a_window(const std::vector<std::size_t>& bytes_by_slice) {
    std::size_t in_window = 0, most = 0;
    for (std::size_t i = 0; i < bytes_by_slice.size(); i++) {
        in_window += bytes_by_slice[i];
        if (i >= slices_of_window) in_window -= bytes_by_slice[i - slices_of_window];
        most = std::max(most, in_window);
    }
    return most;
}

}  // namespace

TEST_CASE("a membership of 600 does not ping the accused all at once, also without state transfer") {
    constexpr Micros settled_after = 80 * second, watched_for = 18 * second;
    constexpr std::size_t most_bytes = 5'000;
    rig::Simulated<> fleet(routers, zones, 1);
    fleet.running_for = [](int who) { return Micros{who} * 60 * second; };
    fleet.start_all();
    fleet.run_until(fleet.now() + settled_after);

    auto from = fleet.now();
    std::vector<std::size_t> bytes_by_slice(watched_for / slice + 1);
    int verdicts = 0, wrong_verdicts = 0;
    fleet.on_send = [&](int, int to, const std::string& datagram) {
        if (to == stopped)
            bytes_by_slice[static_cast<std::size_t>((fleet.now() - from) / slice)] += datagram.size();
    };
    fleet.on_change = [&](int, const StateChange& change) {
        if (change.after != State::Dead) return;
        (change.who == stopped ? verdicts : wrong_verdicts)++;
    };
    fleet.stop(stopped);
    fleet.run_until(from + watched_for);

    CHECK(verdicts == routers - 1);
    CHECK(wrong_verdicts == 0);
    CHECK(most_in_a_window(bytes_by_slice) <= most_bytes);
}
