// The script of a seed of the soak: the same each time, within its limits, with each kind of event in some
// seeds. What the soak finds is checked by its planted faults (docs/soak.md).
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <csignal>

#include "rig/soak/script.hpp"

using namespace quillgrade::rig;
using namespace quillgrade::rig::soak;

namespace {

constexpr std::uint64_t seeds = 50;

bool ends_program(const TimedSignal& signal) { return signal.number == SIGTERM || signal.number == SIGINT; }

bool in_order(const std::vector<TimedSignal>& signals) {
    return std::is_sorted(signals.begin(), signals.end(), [](auto& a, auto& b) { return a.after < b.after; });
}

}  // namespace

TEST_CASE("soak: two draws of a seed are the same script, and seeds differ") {
    for (std::uint64_t seed = 1; seed <= seeds; seed++) {
        CHECK(draw(seed, {}) == draw(seed, {}));
        CHECK_FALSE(draw(seed, {}).events == draw(seed + 1, {}).events);
    }
}

TEST_CASE("soak: scripts keep their limits, and events come in order") {
    for (std::uint64_t seed = 1; seed <= seeds; seed++) {
        auto script = draw(seed, {});
        CHECK(script.length >= 10 * second);
        CHECK(script.length <= 30 * second);
        CHECK((script.routers >= 1 && script.routers <= 4));
        CHECK(std::is_sorted(script.events.begin(), script.events.end(),
                             [](auto& a, auto& b) { return a.at < b.at; }));
        CHECK(script.events.back().at < script.length);
        for (auto& event : script.events) {
            CHECK((in_order(event.signals) && in_order(event.at_start)));
            CHECK((event.target >= every_router && event.target < std::max(script.routers, script.caches)));
        }
    }
}

TEST_CASE("soak: half of the ends come without SIGTERM, and every stop is followed by SIGCONT") {
    int planned = 0, kills = 0;
    for (std::uint64_t seed = 1; seed <= seeds; seed++)
        for (auto& event : draw(seed, {}).events) {
            kills += event.action == Action::Kill;
            if (event.action != Action::PlannedEnd) continue;
            planned++;
            CHECK(std::any_of(event.signals.begin(), event.signals.end(), ends_program));
            // The first 0.2 to 0.4 s after SIGTERM bring new connections: PROTOCOL.md, 'Figures'.
            CHECK(
                (event.connections_last >= 200 * millisecond && event.connections_last <= 400 * millisecond));
            bool stopped = false;
            for (auto& signal : event.signals) {
                if (signal.number == SIGSTOP) stopped = true;
                if (signal.number == SIGCONT) stopped = false;
            }
            CHECK_FALSE(stopped);
        }
    CHECK(kills > planned * 3 / 4);
    CHECK(planned > kills * 3 / 4);
}

TEST_CASE("soak: fifty seeds hold every kind of event") {
    std::array<int, action_count> seen{};
    for (std::uint64_t seed = 1; seed <= seeds; seed++)
        for (auto& event : draw(seed, {}).events) seen[static_cast<std::size_t>(event.action)]++;
    for (int action = 0; action < action_count; action++) {
        CAPTURE(name_of(static_cast<Action>(action)));
        CHECK(seen[static_cast<std::size_t>(action)] > 0);
    }
}
