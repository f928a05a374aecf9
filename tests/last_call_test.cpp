// The last call: before it declares an accused router dead, a router pings it or others once more. Guards
// against verdicts without a last call where piggybacked payload uses up the byte budget, and where the
// second accuser is heard of only after the shortest suspicion time has passed. The datagrams are
// hand-made, the clock is the test's.
#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>

#include "peers/membership.hpp"

using namespace quillgrade::peers;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms, noon_at = 1'764'576'000 * second;
constexpr Micros between_ticks = 10 * ms;
constexpr RouterIndex first_accuser = 1, second_accuser = 2, accused = 3;
constexpr int routers = 200;
constexpr MemberState accused_state{400, Phase::Present, 0, Liveness::Suspected, false};

// Fills all the room it is offered, as shared facts do in a burst of purges.
class GreedyPiggyback : public Piggyback {
public:
    std::string load(RouterIndex /*to*/, std::size_t room, Micros /*now*/) override {
        return std::string(room, 'x');
    }
    void unload(RouterIndex /*from*/, Generation /*generation*/, std::string_view /*bytes*/,
                Micros /*now*/) override {}
};

std::string accusation_by(RouterIndex accuser, Micros age) {
    Message message;
    message.from = accuser;
    message.sender_state = {500, Phase::Present, 0, Liveness::Alive, false};
    message.type = MessageType::Gossip;
    message.records = {{accused, accused_state}};
    message.suspicions = {{accused, accuser, age}};
    return encode(message);
}

// Router 0 of many, which receives accusations until it declares the accused dead.
class SuspectingRouter {
public:
    SuspectingRouter() : membership(config()) {}

    void receive_accusation_by(RouterIndex accuser, Micros age) {
        membership.receive(accuser, accusation_by(accuser, age), now);
        collect();
    }
    void set_piggyback(Piggyback& source) { sends_piggyback = true, membership.set_piggyback(&source); }
    // False where it declared the accused dead meanwhile.
    bool run_until(Micros until) {
        while (now < until && !verdict_at) {
            now += between_ticks;
            membership.tick(now);
            if (sends_piggyback) membership.send_piggyback(routers - 1, -1, true, now);
            collect();
        }
        return !verdict_at;
    }
    bool made_last_call() const { return last_call_at.has_value(); }
    // From the first last-call ping about the accused to the verdict.
    Micros time_for_answer() const { return *verdict_at - *last_call_at; }

    Micros now = noon_at;

private:
    static MembershipConfig config() {
        MembershipConfig made;
        made.routers = routers;
        made.generation = 1000;
        made.now = noon_at;
        return made;
    }
    // A ping of a probe has a number; one of a last call has number 0.
    void collect() {
        for (auto& datagram : membership.take_outgoing()) {
            auto read = decode(datagram.bytes, routers, now);
            REQUIRE(read.message);
            auto& records = read.message->records;
            bool about = std::any_of(records.begin(), records.end(),
                                     [](auto& record) { return record.member == accused; });
            if (read.message->type == MessageType::Ping && read.message->probe_id == 0 && about &&
                !last_call_at)
                last_call_at = now;
        }
        if (membership.state(accused) == State::Dead && !verdict_at) verdict_at = now;
    }

    Membership membership;
    bool sends_piggyback = false;
    std::optional<Micros> last_call_at, verdict_at;
};

constexpr Micros probe_period = MembershipSettings{}.probe_period,
                 shortest_suspicion = MembershipSettings{}.shortest_suspicion,
                 longest_suspicion = MembershipSettings{}.longest_suspicion;

}  // namespace

TEST_CASE("a last call precedes the verdict and does not delay it") {
    SuspectingRouter router;
    router.receive_accusation_by(first_accuser, 0);
    router.receive_accusation_by(second_accuser, 0);
    CHECK(router.run_until(noon_at + shortest_suspicion - between_ticks));
    CHECK(router.made_last_call());
    CHECK(!router.run_until(noon_at + shortest_suspicion + between_ticks));
    CHECK(router.time_for_answer() >= probe_period);
}

TEST_CASE("a second accuser that is heard of late leaves time for the answer to the last call") {
    SuspectingRouter router;
    router.receive_accusation_by(first_accuser, 0);
    REQUIRE(router.run_until(noon_at + 2 * shortest_suspicion));
    router.receive_accusation_by(second_accuser, 2 * shortest_suspicion);
    CHECK(!router.run_until(noon_at + longest_suspicion));
    REQUIRE(router.made_last_call());
    CHECK(router.time_for_answer() >= probe_period);
}

TEST_CASE("piggybacked payload leaves the bytes for a last call") {
    SuspectingRouter router;
    GreedyPiggyback source;
    router.set_piggyback(source);
    REQUIRE(router.run_until(noon_at + 5 * second));
    auto accused_at = router.now;
    router.receive_accusation_by(first_accuser, 0);
    router.receive_accusation_by(second_accuser, 0);
    CHECK(!router.run_until(accused_at + longest_suspicion + probe_period));
    REQUIRE(router.made_last_call());
    CHECK(router.time_for_answer() >= probe_period);
}
