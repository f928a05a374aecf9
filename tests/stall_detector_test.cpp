// Event loop stalls: when they are told and counted, what of them is wall and what processor time, and the
// program's own line about one.
#include "node/stall_detector.hpp"

#include <sys/stat.h>

#include <chrono>
#include <filesystem>

#include "program.hpp"

using namespace quillgrade;
using node::Stall;
using node::StallDetector;

namespace {

constexpr Micros ms = 1000, second = 1'000'000;

// A loop whose clocks the test moves.
struct Loop {
    Micros now = 1000 * second, processor = 0;
    StallDetector detector{[this] { return processor; }, now};
    // Work of so long, then a look for events that takes `wait`, without waiting where that is 0.
    std::optional<Stall> iterate(Micros work, Micros used, Micros wait) {
        now += work;
        processor += used;
        auto stall = detector.before_events(now);
        now += wait;
        detector.after_events(now, wait > 0);
        return stall;
    }
};

}  // namespace

TEST_CASE("a loop that waits between short iterations is never stalled, however long it waits") {
    Loop loop;
    for (Micros wait : {1 * ms, 5 * second, 3600 * second})
        for (int i = 0; i < 100; i++) CHECK(!loop.iterate(StallDetector::shortest_stall - 1, ms, wait));
    CHECK(loop.detector.stalls() == 0);
}

TEST_CASE("an iteration of full length is a stall; wall and processor time are told apart") {
    for (Micros used : {Micros{0}, StallDetector::shortest_stall}) {
        Loop loop;
        loop.iterate(ms, ms, second);
        auto stall = loop.iterate(StallDetector::shortest_stall, used, ms);
        REQUIRE(stall);
        CHECK(stall->wall == StallDetector::shortest_stall);
        CHECK(stall->processor == used);
        CHECK(stall->iterations == 0);
        CHECK(stall->so_far == 1);
    }
}

// Guards against a loop that spins: each iteration is short, and none waits.
TEST_CASE("a loop that never waits is told of while it goes on, at most once in ten seconds") {
    Loop loop;
    loop.iterate(ms, ms, second);
    int reports = 0;
    std::uint64_t iterations = 0;
    for (auto end = loop.now + 25 * second; loop.now < end;)
        if (auto stall = loop.iterate(ms, ms, 0)) {
            reports++;
            CHECK(stall->iterations > iterations);
            CHECK(stall->so_far == 1);
            CHECK(stall->wall == stall->processor);
            iterations = stall->iterations;
        }
    CHECK(reports == 3);
    CHECK(loop.detector.stalls() == 1);
}

TEST_CASE("stalls between two reports are counted in the later one") {
    Loop loop;
    CHECK(loop.iterate(second, 0, ms));
    for (int i = 0; i < 3; i++) CHECK(!loop.iterate(second, 0, ms));
    loop.iterate(ms, 0, StallDetector::report_every);
    auto stall = loop.iterate(second, 0, ms);
    REQUIRE(stall);
    CHECK(stall->so_far == 5);
}

TEST_CASE("processor time is counted from at most a checkpoint before the stall") {
    Loop loop;
    for (int i = 0; i < 1000; i++) loop.iterate(ms, ms, ms);
    auto stall = loop.iterate(second, second, ms);
    REQUIRE(stall);
    CHECK(stall->processor >= second);
    CHECK(stall->processor <= second + StallDetector::checkpoint_every);
}

// SIGHUP makes the router read its configuration from a pipe that nobody writes to for a while: it stands
// still in a call of the system and uses no processor time meanwhile.
TEST_CASE("the program logs a stall while it reads its configuration again") {
    Serving one;
    std::string text = config(one.port, one.coordinator.port, one.cache.port);
    std::filesystem::remove(one.file.path);
    REQUIRE(mkfifo(one.file.path.c_str(), 0600) == 0);
    kill(one.program.pid, SIGHUP);
    {
        std::ofstream held(one.file.path);  // opened once the router reads
        auto stalled_until =
            std::chrono::steady_clock::now() + 2 * std::chrono::microseconds(StallDetector::shortest_stall);
        while (std::chrono::steady_clock::now() < stalled_until) poll(nullptr, 0, 10);
        held << text;
    }
    auto log = line(one.program.log, "event loop stall: ");
    CHECK(log.find("ms without a wait") != std::string::npos);
    kill(one.program.pid, SIGTERM);
    CHECK(one.program.exit_code() == 0);
}
