// A router asks once more before it gives another up: also where it has hardly bytes left, since what rides
// along takes them, and where it hears of the second accuser only after the shortest time has passed. The
// datagrams are written by hand, the clock is the test's.
#include <doctest/doctest.h>

#include <algorithm>
#include <optional>
#include <string>

#include "peers/membership.hpp"

using namespace quillgrade::peers;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms, noon_at = 1'764'576'000 * second;
constexpr Micros between_passes = 10 * ms;
constexpr RouterIndex first_accuser = 1, second_accuser = 2, accused = 3;
constexpr int routers = 200;
constexpr MemberState accused_state{400, Phase::Present, 0, Liveness::Suspected, false};

// Has something to tell at any time, as shared facts in a burst of purges.
class Talkative : public Piggyback {
public:
    std::string load(RouterIndex /*to*/, std::size_t room, Micros /*now*/) override {
        return std::string(room, 'x');
    }
    void unload(RouterIndex /*from*/, Generation /*life*/, std::string_view /*bytes*/,
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

// Router 0 of many, told of accusations, until it gives the accused up.
class Judge {
public:
    Judge() : membership(start()) {}

    void hear_accusation_by(RouterIndex accuser, Micros age) {
        membership.receive(accuser, accusation_by(accuser, age), now);
        collect();
    }
    void carry(Piggyback& rider) { passenger_talks = true, membership.set_piggyback(&rider); }
    // False where it gave the accused up meanwhile.
    bool pass_until(Micros until) {
        while (now < until && !judged_at) {
            now += between_passes;
            membership.tick(now);
            if (passenger_talks) membership.send_piggyback(routers - 1, -1, true, now);
            collect();
        }
        return !judged_at;
    }
    bool asked() const { return asked_at.has_value(); }
    // From the first ping about the accused to the verdict.
    Micros time_to_answer() const { return *judged_at - *asked_at; }

    Micros now = noon_at;

private:
    static MembershipConfig start() {
        MembershipConfig made;
        made.routers = routers;
        made.life = 1000;
        made.now = noon_at;
        return made;
    }
    // Probes are numbered, last calls are not.
    void collect() {
        for (auto& datagram : membership.take_outgoing()) {
            auto read = decode(datagram.bytes, routers, now);
            REQUIRE(read.message);
            auto& accounts = read.message->records;
            bool about = std::any_of(accounts.begin(), accounts.end(),
                                     [](auto& account) { return account.member == accused; });
            if (read.message->type == MessageType::Ping && read.message->probe_id == 0 && about && !asked_at)
                asked_at = now;
        }
        if (membership.state(accused) == State::Dead && !judged_at) judged_at = now;
    }

    Membership membership;
    bool passenger_talks = false;
    std::optional<Micros> asked_at, judged_at;
};

constexpr Micros period = MembershipSettings{}.probe_period,
                 shortest = MembershipSettings{}.shortest_suspicion,
                 longest_time = MembershipSettings{}.longest_suspicion;

}  // namespace

TEST_CASE("a router asks once more before its verdict, which comes no later for it") {
    Judge judge;
    judge.hear_accusation_by(first_accuser, 0);
    judge.hear_accusation_by(second_accuser, 0);
    CHECK(judge.pass_until(noon_at + shortest - between_passes));
    CHECK(judge.asked());
    CHECK(!judge.pass_until(noon_at + shortest + between_passes));
    CHECK(judge.time_to_answer() >= period);
}

TEST_CASE("where the second accuser is heard of late, a router has asked before its verdict") {
    Judge judge;
    judge.hear_accusation_by(first_accuser, 0);
    REQUIRE(judge.pass_until(noon_at + 2 * shortest));
    judge.hear_accusation_by(second_accuser, 2 * shortest);
    CHECK(!judge.pass_until(noon_at + longest_time));
    REQUIRE(judge.asked());
    CHECK(judge.time_to_answer() >= period);
}

TEST_CASE("what rides along leaves the bytes to ask before a verdict") {
    Judge judge;
    Talkative rider;
    judge.carry(rider);
    REQUIRE(judge.pass_until(noon_at + 5 * second));
    auto accused_at = judge.now;
    judge.hear_accusation_by(first_accuser, 0);
    judge.hear_accusation_by(second_accuser, 0);
    CHECK(!judge.pass_until(accused_at + longest_time + period));
    REQUIRE(judge.asked());
    CHECK(judge.time_to_answer() >= period);
}
