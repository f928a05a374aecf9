// Requests with bodies against the real program: its memory, and the final answers that clients get, seen
// from outside.
#include <doctest/doctest.h>

#include "helpers.hpp"
#include "rig/uploads/player.hpp"

using namespace quillgrade::rig::uploads;

namespace {

Report played(const Load& load) {
    auto report = play(load, QUILLGRADE_PROGRAM);
    auto all = report.all();
    MESSAGE("held at most " << report.most_kb << " kB of " << load.memory_mb * 1024 << "; of "
                            << all.written() << " requests " << all.served << " served, " << all.refused
                            << " refused, " << all.failed << " failed");
    CAPTURE(report.log);
    CHECK(all.unanswered == 0);
    CHECK(report.small.unanswered == 0);
    CHECK(report.effects_twice == 0);
    CHECK_FALSE(report.ended);
    return report;
}

}  // namespace

#if !defined(__SANITIZE_ADDRESS__)  // it keeps what is freed for a while

// Guards against a router that is killed for memory while clients write large requests one behind the other:
// their buffers kept the room of the longest request, and the account of memory counted what lay in them.
TEST_CASE("a router stays within its memory while many clients write large requests one behind the other") {
    constexpr int clients = 340, each = 3;
    Load load{.memory_mb = 32, .sockets = 1024};
    for (int i = 0; i < clients; i++)
        load.writers.push_back({.starts = second, .body = 239'000, .requests = each, .pace = Pace::Quick});
    auto report = played(load);
    CHECK(report.most_kb <= load.memory_mb * 1024L);
    CHECK(report.all().written() == clients * each);
}

#endif

// Guards against requests that wait unread for slow clients beside them, until they are closed on with no
// answer or run after their time.
TEST_CASE("requests that are written at once are answered in time beside clients that write slowly") {
    constexpr int slow = 32, quick = 16;
    Load load{.memory_mb = 32, .sockets = 256};
    for (int i = 0; i < slow; i++)
        load.writers.push_back({.starts = 20 * millisecond * i,
                                .body = 235'000,
                                .requests = 1,
                                .pace = Pace::Slow,
                                .bytes_per_s = 25'000});
    for (int i = 0; i < quick; i++)
        load.writers.push_back({.starts = second + 500 * millisecond * i, .body = 60'000, .requests = 1});
    auto report = played(load);
    auto quick_ones = report.counts[static_cast<std::size_t>(Pace::Quick)][1];
    CHECK(quick_ones.served == quick);
    CHECK(report.all().written() == slow + quick);
}

TEST_CASE("the same seed draws the same load, within what the protocol allows") {
    for (std::uint64_t seed = 1; seed <= 200; seed++) {
        auto load = draw(seed);
        CAPTURE(seed);
        CHECK(load == draw(seed));
        CHECK(load.memory_mb >= 32);
        CHECK(load.memory_mb <= 192);
        CHECK(load.writers.size() <= static_cast<std::size_t>(load.sockets) / 3);
        for (auto& writer : load.writers) {
            CHECK(writer.body <= longest_body);
            CHECK(writer.requests <= 32);
        }
    }
}
