// Loads of requests with bodies.
#include <doctest/doctest.h>

#include "rig/uploads/load.hpp"

using namespace quillgrade::rig::uploads;

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
