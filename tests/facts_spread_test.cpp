// How what one router alone was told reaches the others while all are short of bytes. The script
// tests/fleet/shared/facts_one_way.json failed now and then: a drain that only router 0 had heard of was not
// known to one of the five others after 4 s. Three causes acted together: counts took the bytes that were
// being saved up to tell a router that was behind; the bounded tellings were used up on router 0, which had
// told the fact itself and heard nobody; and a router that knew of no fact did not say so, although it saw
// that others held some.
#include <doctest/doctest.h>

#include <array>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <memory>
#include <optional>
#include <vector>

#include "rig/partner.hpp"
#include "shared/facts.hpp"

using namespace quillgrade;
using namespace quillgrade::shared;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms, step = 10 * ms;
constexpr CacheId servers = 3;

feed::Endpoint server(CacheId id, EndpointState listed = EndpointState::Ready, Micros started = 0) {
    feed::Endpoint made;
    made.entry = {id, listed, 4, 0, 0, 1, started};
    return made;
}

// A small tier in simulated time, each router of which asks for objects of a few thousand.
class Tier {
public:
    Tier(int routers, std::uint64_t seed, double asked_per_s, rig::LinkConditions conditions,
         Features parts = {})
        : asked_per_s(asked_per_s), chance(static_cast<std::uint32_t>(seed)) {
        auto& terms = rig::partner_terms();
        terms.exchange = {};
        terms.exchange.features = parts;
        terms.exchange.settings = rig::shared_site();
        terms.steady = [this] { return fleet ? fleet->now() : 0; };
        fleet = std::make_unique<rig::SharedFleet>(routers, 1, seed, peers::MembershipSettings{}, conditions);
        fleet->start_all();
        feed::Listing all{true, {}};
        for (CacheId id = 1; id <= servers; id++) all.caches.push_back(server(id));
        for (RouterIndex who = 0; who < routers; who++) list(who, all);
    }
    void list(RouterIndex who, const feed::Listing& listing) {
        fleet->visit(who, [&](rig::Partner& one) {
            one.exchange().apply_listing(listing, one.times(fleet->clock(who)));
        });
    }
    void drain(RouterIndex who, CacheId id, Micros started) {
        list(who, {false, {server(id, EndpointState::Draining, started)}});
    }
    void go(Micros time) {
        boost::random::uniform_01<double> unit;
        boost::random::uniform_int_distribution<ObjectId> object(1, 2000);
        for (auto until = fleet->now() + time; fleet->now() < until;) {
            fleet->run_until(fleet->now() + step);
            for (RouterIndex who = 0; who < fleet->count(); who++)
                fleet->visit(who, [&](rig::Partner& one) {
                    auto times = one.times(fleet->clock(who));
                    bool asks =
                        unit(chance) * static_cast<double>(second) < asked_per_s * static_cast<double>(step);
                    if (asks) one.exchange().count_request(object(chance), times);
                    one.exchange().set_time(times);
                    one.share(times.unix);
                });
        }
    }
    void go_until_all_are_alive() {
        for (int i = 0; i < 400 && !all_alive(); i++) go(100 * ms);
        REQUIRE(all_alive());
    }
    bool all_alive() {
        for (RouterIndex who = 0; who < fleet->count(); who++)
            for (RouterIndex other = 0; other < fleet->count(); other++)
                if (fleet->protocol(who)->membership().state(other) != peers::State::Alive) return false;
        return true;
    }
    // Router `who` is shown a payload of `from` that tells of other facts than its own.
    void show_other_digest(RouterIndex from, RouterIndex who) {
        Payload other;
        other.digest = 0x5eed;
        fleet->visit(who, [&](rig::Partner& one) {
            auto now = fleet->clock(who);
            one.exchange().set_time(one.times(now));
            one.exchange().unload(from, 1, encode(other, 100, now).bytes, now);
            one.share(now);
        });
    }

    // Router `who` sends to another until an own datagram for the sharing has to wait.
    void use_up_bytes(RouterIndex who, RouterIndex to) {
        fleet->visit(who, [&](rig::Partner& one) {
            while (one.membership().send_piggyback(to, true, fleet->clock(who))) {
            }
        });
    }

    std::unique_ptr<rig::SharedFleet> fleet;

private:
    double asked_per_s;
    boost::random::mt19937 chance;
};

struct Sent {
    peers::Message message;
    Payload payload;
};
std::optional<Sent> decoded(const Tier& tier, const std::string& bytes) {
    auto datagram = peers::decode(bytes, tier.fleet->count(), tier.fleet->now());
    if (!datagram.message) return {};
    auto payload = decode(datagram.message->payload, tier.fleet->now());
    return Sent{*datagram.message, payload.value_or(Payload{})};
}

// As in the script. How many of the others don't know of the drain in time.
int behind_after(std::uint64_t seed, Micros time) {
    Tier tier(6, seed, 20, {0.05, 3 * ms, 24 * ms, 0, 0});
    tier.go_until_all_are_alive();
    tier.go(second);
    for (RouterIndex who = 1; who < tier.fleet->count(); who++) {
        tier.fleet->protocol(who)->live = 0;
        tier.fleet->cut(who, 0, true);
    }
    tier.go(second);
    tier.drain(0, 1, tier.fleet->now());
    tier.go(time);
    int behind = 0;
    for (RouterIndex who = 1; who < tier.fleet->count(); who++)
        behind += tier.fleet->protocol(who)->closed == 0;
    return behind;
}

}  // namespace

TEST_CASE("facts that one router alone was told, which hears nobody, reach all others within 4 s") {
    constexpr std::uint64_t seeds = 300;
    for (std::uint64_t seed = 1; seed <= seeds; seed++) {
        INFO("seed ", seed);
        CHECK(behind_after(seed, 4 * second) == 0);
    }
}

TEST_CASE("counts leave the bytes alone that are saved up for a router whose facts are behind") {
    int held_back = 0;
    for (std::uint64_t seed = 1; seed <= 60; seed++) {
        INFO("seed ", seed);
        Tier tier(8, seed, 50, {});
        tier.go_until_all_are_alive();
        for (RouterIndex who = 0; who < tier.fleet->count(); who++) tier.drain(who, 1, 0);
        tier.go(5 * second);
        bool told = false, shown = false;
        int datagrams = 0, with_counts = 0;
        tier.fleet->on_send = [&](int from, int to, const std::string& bytes) {
            auto sent = decoded(tier, bytes);
            if (from != 1 || told || !shown || !sent) return;
            told = to == 0 && !sent->payload.facts.empty();
            if (told) return;
            datagrams++;
            with_counts += !sent->payload.counts.empty();
        };
        tier.use_up_bytes(1, 2);
        shown = true;
        tier.show_other_digest(0, 1);
        tier.go(2 * second);
        CHECK(told);
        CHECK(with_counts == 0);
        held_back += datagrams > 0;
    }
    CHECK(held_back >= 3);  // else there were bytes at once, each time
}

TEST_CASE("a router that knows of no fact tells who holds some that it is behind") {
    Tier tier(3, 1, 0, {0, 3 * ms, 24 * ms, 0, 0});
    tier.go_until_all_are_alive();
    tier.go(5 * second);
    REQUIRE(tier.fleet->protocol(1)->exchange().known_facts().size() == 0);
    int told = 0;
    tier.fleet->on_send = [&](int from, int to, const std::string& bytes) {
        auto sent = decoded(tier, bytes);
        told += from == 1 && to == 0 && sent && sent->message.type == peers::MessageType::Gossip &&
                !sent->message.payload.empty();
    };
    tier.show_other_digest(0, 1);
    tier.go(second);
    CHECK(told == 1);
}

// Guards against a payload of a router without facts that is empty, and so is not heard, where quotas are
// off.
TEST_CASE("a router that knows of no fact is told by who it tells so, with facts alone shared") {
    Tier tier(3, 1, 0, {0, 3 * ms, 24 * ms, 0, 0}, {true, false, false, false});
    tier.go_until_all_are_alive();
    tier.go(5 * second);
    REQUIRE(tier.fleet->protocol(1)->exchange().known_facts().size() == 0);
    int told = 0;
    tier.fleet->on_send = [&](int from, int to, const std::string& bytes) {
        auto sent = decoded(tier, bytes);
        told += from == 1 && to == 0 && sent && !sent->message.payload.empty();
    };
    tier.show_other_digest(0, 1);
    tier.go(second);
    CHECK(told == 1);
}

TEST_CASE("tellings are not used up on the router that told the fact, yet end where there is no other") {
    constexpr RouterIndex teller = 3, other = 4;
    constexpr Micros now = 1'764'576'000 * second;
    ReplicatedFacts facts(6 * second, 10), in_a_tier_of_two(6 * second, 2);
    Fact drain{FactSubject::Server, 7, 0, false, now / ms};
    facts.receive(drain, now, teller);
    CHECK(facts.next_to_send(10, now, teller).empty());
    CHECK(facts.has_unsent());
    CHECK(facts.next_to_send(10, now, other) == std::vector<Fact>{drain});
    in_a_tier_of_two.receive(drain, now, teller);
    int datagrams = 0;
    while (in_a_tier_of_two.has_unsent() && datagrams < 100)
        datagrams += in_a_tier_of_two.next_to_send(10, now, teller).size() < 2;
    CHECK(datagrams == 6);
    CHECK(!in_a_tier_of_two.has_unsent());
}
