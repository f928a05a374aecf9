// Cuts that end without a datagram of the speaker: by time, or by the new life of one of the pair.
#include <doctest/doctest.h>

#include "peers/membership.hpp"

using namespace quillgrade::peers;

namespace {

constexpr Micros second = 1'000'000, noon_at = 1'764'576'000 * second;
constexpr Micros past_expiry = noon_at + 62 * second;
constexpr RouterIndex helper = 2, silent = 1;
constexpr int misses_of_a_cut = 4;

std::string datagram_of_helper(MessageType type, RouterIndex about, Generation life_of_silent) {
    Message message;
    message.from = helper;
    message.sender_state = {500, Phase::Present, 0, Liveness::Alive, false};
    message.type = type;
    message.target = about;
    message.probe_id = type == MessageType::Ping ? 7 : 0;
    message.records = {{silent, {life_of_silent, Phase::Present, 0, Liveness::Alive, false}}};
    return encode(message);
}

// Router 0, which has missed what `silent` sent it, as the helper's pings on its behalf show.
Membership with_a_silent_router() {
    MembershipConfig start;
    start.routers = 4;
    start.life = 1000;
    start.now = noon_at;
    Membership membership(start);
    for (int i = 0; i < misses_of_a_cut; i++)
        membership.receive(helper, datagram_of_helper(MessageType::Ping, silent, 500), noon_at);
    return membership;
}

}  // namespace

TEST_CASE("a member is silent no longer when its cut expires") {
    auto membership = with_a_silent_router();
    REQUIRE(membership.state(silent) == State::Silent);
    membership.take_link_reports();
    membership.take_state_changes();
    membership.tick(past_expiry);
    CHECK(membership.cuts().empty());
    CHECK(membership.state(silent) == State::Alive);
    auto changes = membership.take_state_changes();
    REQUIRE(changes.size() == 1);
    CHECK(changes[0].who == silent);
    CHECK(changes[0].after == State::Alive);
    CHECK(changes[0].by == -1);
    auto reports = membership.take_link_reports();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].sender == silent);
    CHECK(reports[0].receiver == 0);
    CHECK(!reports[0].down);
}

TEST_CASE("the end of a cut is told when a new life of the speaker ends it") {
    auto membership = with_a_silent_router();
    REQUIRE(membership.state(silent) == State::Silent);
    membership.take_link_reports();
    membership.receive(helper, datagram_of_helper(MessageType::Gossip, -1, 600), noon_at + second / 10);
    CHECK(membership.state(silent) == State::Alive);
    auto reports = membership.take_link_reports();
    REQUIRE(reports.size() == 1);
    CHECK(reports[0].sender == silent);
    CHECK(!reports[0].down);
}

TEST_CASE("a cut that there is no room for is not told as one") {
    constexpr RouterIndex most_cuts = 64;
    Reachability reachability(0);
    for (RouterIndex speaker = 1; speaker <= most_cuts; speaker++)
        CHECK(reachability.merge_report({speaker, speaker + 1, 1, true}, 1, noon_at));
    for (int i = 0; i < 2 * misses_of_a_cut; i++) CHECK(!reachability.record_missed(200, noon_at));
    CHECK(!reachability.is_down(200, 0));
}

TEST_CASE("who misses something is asked again only while there is room to say so") {
    constexpr RouterIndex most_cuts = 64, missing = 200;
    Reachability reachability(0);
    for (RouterIndex speaker = 1; speaker < most_cuts; speaker++)
        reachability.merge_report({speaker, speaker + 1, 1, true}, 1, noon_at);
    reachability.record_missed(missing, noon_at);
    CHECK(reachability.needs_another_probe(missing));
    reachability.merge_report({most_cuts, most_cuts + 1, 1, true}, 1, noon_at);
    CHECK(!reachability.needs_another_probe(missing));
}
