// Which requests get room where there is not enough for all.
#include "node/request_admission.hpp"

#include <array>

#include "helpers.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

namespace {

using Decision = IncomingRequest::Decision;

constexpr Micros now = 10 * test_second, longest_wait = 500 * test_ms;

IncomingRequest waiting(std::size_t wanted, Micros waits_for) {
    return {.room = 10,
            .wanted = wanted,
            .remaining = wanted,
            .waits_since = now - waits_for,
            .longest_wait = longest_wait};
}

IncomingRequest holding(std::size_t room, Sender sender, std::size_t remaining = 100) {
    return {.room = room, .remaining = remaining, .sender = sender};
}

}  // namespace

TEST_CASE("requests that wait get room in the order in which they began, and none passes another") {
    std::array<IncomingRequest, 3> requests{waiting(50, 100 * test_ms), waiting(200, 300 * test_ms),
                                            waiting(300, 200 * test_ms)};
    admit_requests(requests, 400, 0, now);
    CHECK(requests[1].decision == Decision::Grant);
    CHECK(requests[2].decision == Decision::Keep);
    CHECK(requests[0].decision == Decision::Keep);
    admit_requests(requests, 550, 0, now);
    CHECK(requests[2].decision == Decision::Grant);
    CHECK(requests[0].decision == Decision::Grant);
}

TEST_CASE("a wait for room ends by itself, and makes way for the next") {
    std::array<IncomingRequest, 2> requests{waiting(300, longest_wait), waiting(100, 100 * test_ms)};
    admit_requests(requests, 100, 0, now);
    CHECK(requests[0].decision == Decision::Refuse);
    CHECK(requests[1].decision == Decision::Grant);
}

TEST_CASE("room is taken back from a sender that has stopped before a slow one, never from a steady one") {
    std::array<IncomingRequest, 4> requests{holding(300, Sender::Slow), holding(300, Sender::Stopped),
                                            holding(300, Sender::Steady), waiting(250, 0)};
    admit_requests(requests, 0, 0, now);
    CHECK(requests[0].decision == Decision::Keep);
    CHECK(requests[1].decision == Decision::Refuse);
    CHECK(requests[2].decision == Decision::Keep);
    CHECK(requests[3].decision == Decision::Grant);
}

TEST_CASE("slow senders keep their share together, and the one that lacks most gives way") {
    std::array<IncomingRequest, 4> requests{holding(300, Sender::Slow, 50), holding(300, Sender::Slow, 200),
                                            holding(300, Sender::Slow, 100), waiting(250, 0)};
    admit_requests(requests, 0, 900, now);
    for (auto& request : requests) CHECK(request.decision == Decision::Keep);
    admit_requests(requests, 0, 600, now);
    CHECK(requests[0].decision == Decision::Keep);
    CHECK(requests[1].decision == Decision::Refuse);
    CHECK(requests[2].decision == Decision::Keep);
    CHECK(requests[3].decision == Decision::Grant);
}

TEST_CASE("nobody gives way where there is room for all that wait") {
    std::array<IncomingRequest, 3> requests{holding(300, Sender::Slow), holding(300, Sender::Stopped),
                                            waiting(250, 0)};
    admit_requests(requests, 250, 0, now);
    CHECK(requests[0].decision == Decision::Keep);
    CHECK(requests[1].decision == Decision::Keep);
    CHECK(requests[2].decision == Decision::Grant);
}
