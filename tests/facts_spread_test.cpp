// Tests of how facts that only one router received reach the others while bytes are short. They guard against
// three causes that together made tests/fleet/shared/facts_one_way.json fail sporadically, where one of the
// five other routers did not know after 4 s of a drain that only router 0 had heard: request counts used the
// bytes saved up for a router that was behind; the bounded number of sends was used up on router 0, which had
// sent the fact itself and heard nobody; and a router without facts did not report its digest, although it
// saw that others held some.
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

// A small tier in simulated time. Each router is asked for objects out of 2,000.
class Tier {
public:
    Tier(int routers, std::uint64_t seed, double requests_per_s, rig::LinkConditions conditions,
         Features parts = {})
        : requests_per_s(requests_per_s), chance(static_cast<std::uint32_t>(seed)) {
        auto& terms = rig::partner_terms();
        terms.exchange = {};
        terms.exchange.features = parts;
        terms.exchange.settings = rig::shared_site();
        terms.steady = [this] { return fleet ? fleet->now() : 0; };
        fleet = std::make_unique<rig::SharedFleet>(routers, 1, seed, peers::MembershipSettings{}, conditions);
        fleet->start_all();
        feed::Listing all{true, {}};
        for (CacheId id = 1; id <= servers; id++) all.caches.push_back(server(id));
        for (RouterIndex router = 0; router < routers; router++) list(router, all);
    }
    void list(RouterIndex router, const feed::Listing& listing) {
        fleet->visit(router, [&](rig::Partner& one) {
            one.exchange().apply_listing(listing, one.times(fleet->clock(router)));
        });
    }
    void drain(RouterIndex router, CacheId id, Micros started) {
        list(router, {false, {server(id, EndpointState::Draining, started)}});
    }
    void run(Micros time) {
        boost::random::uniform_01<double> unit;
        boost::random::uniform_int_distribution<ObjectId> object(1, 2000);
        for (auto until = fleet->now() + time; fleet->now() < until;) {
            fleet->run_until(fleet->now() + step);
            for (RouterIndex router = 0; router < fleet->count(); router++)
                fleet->visit(router, [&](rig::Partner& one) {
                    auto times = one.times(fleet->clock(router));
                    bool is_asked = unit(chance) * static_cast<double>(second) <
                                    requests_per_s * static_cast<double>(step);
                    if (is_asked) one.exchange().count_lookup(object(chance), times);
                    one.exchange().set_time(times);
                    one.share(times.unix);
                });
        }
    }
    void run_until_all_are_alive() {
        for (int i = 0; i < 400 && !all_alive(); i++) run(100 * ms);
        REQUIRE(all_alive());
    }
    bool all_alive() {
        for (RouterIndex router = 0; router < fleet->count(); router++)
            for (RouterIndex other = 0; other < fleet->count(); other++)
                if (fleet->protocol(router)->membership().state(other) != peers::State::Alive) return false;
        return true;
    }
    // Delivers to router `who` a payload of `from` with a digest that differs from its own.
    void deliver_differing_digest(RouterIndex from, RouterIndex router) {
        Payload other;
        other.digest = 0x5eed;
        fleet->visit(router, [&](rig::Partner& one) {
            auto now = fleet->clock(router);
            one.exchange().set_time(one.times(now));
            one.exchange().unload(from, 1, encode(other, 100, now).bytes, now);
            one.share(now);
        });
    }

    // Lets router `who` send until its next datagram of shared state has to wait for bytes.
    void use_up_bytes(RouterIndex router, RouterIndex to) {
        fleet->visit(router, [&](rig::Partner& one) {
            while (one.membership().send_piggyback(to, true, fleet->clock(router))) {
            }
        });
    }

    std::unique_ptr<rig::SharedFleet> fleet;

private:
    double requests_per_s;
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

// The scene of facts_one_way.json. Returns how many of the other routers do not know of the drain in time.
int routers_without_drain_after(std::uint64_t seed, Micros time) {
    Tier tier(6, seed, 20, {0.05, 3 * ms, 24 * ms, 0, 0});
    tier.run_until_all_are_alive();
    tier.run(second);
    for (RouterIndex router = 1; router < tier.fleet->count(); router++) {
        tier.fleet->protocol(router)->live = 0;
        tier.fleet->cut(router, 0, true);
    }
    tier.run(second);
    tier.drain(0, 1, tier.fleet->now());
    tier.run(time);
    int missing = 0;
    for (RouterIndex router = 1; router < tier.fleet->count(); router++)
        missing += tier.fleet->protocol(router)->closed == 0;
    return missing;
}

}  // namespace

TEST_CASE("facts from a router that receives nothing reach all others within 4 s") {
    constexpr std::uint64_t seeds = 300;
    for (std::uint64_t seed = 1; seed <= seeds; seed++) {
        INFO("seed ", seed);
        CHECK(routers_without_drain_after(seed, 4 * second) == 0);
    }
}

TEST_CASE("request counts do not use the bytes saved up for a router whose facts differ") {
    int runs_that_waited = 0;
    for (std::uint64_t seed = 1; seed <= 60; seed++) {
        INFO("seed ", seed);
        Tier tier(8, seed, 50, {});
        tier.run_until_all_are_alive();
        for (RouterIndex router = 0; router < tier.fleet->count(); router++) tier.drain(router, 1, 0);
        tier.run(5 * second);
        bool facts_sent = false, delivered = false;
        int datagrams = 0, with_counts = 0;
        tier.fleet->on_send = [&](int from, int to, const std::string& bytes) {
            auto sent = decoded(tier, bytes);
            if (from != 1 || facts_sent || !delivered || !sent) return;
            facts_sent = to == 0 && !sent->payload.facts.empty();
            if (facts_sent) return;
            datagrams++;
            with_counts += !sent->payload.counts.empty();
        };
        tier.use_up_bytes(1, 2);
        delivered = true;
        tier.deliver_differing_digest(0, 1);
        tier.run(2 * second);
        CHECK(facts_sent);
        CHECK(with_counts == 0);
        runs_that_waited += datagrams > 0;
    }
    CHECK(runs_that_waited >= 3);  // otherwise no run had to wait for bytes
}

TEST_CASE("a router without facts sends its digest to a router that holds some") {
    Tier tier(3, 1, 0, {0, 3 * ms, 24 * ms, 0, 0});
    tier.run_until_all_are_alive();
    tier.run(5 * second);
    REQUIRE(tier.fleet->protocol(1)->exchange().known_facts().size() == 0);
    int datagrams_sent = 0;
    tier.fleet->on_send = [&](int from, int to, const std::string& bytes) {
        auto sent = decoded(tier, bytes);
        datagrams_sent += from == 1 && to == 0 && sent && sent->message.type == peers::MessageType::Gossip &&
                          !sent->message.payload.empty();
    };
    tier.deliver_differing_digest(0, 1);
    tier.run(second);
    CHECK(datagrams_sent == 1);
}

// Guards against a router without facts whose payload is empty with quotas off, and therefore not read.
TEST_CASE("a router without facts sends its digest also where only facts are shared") {
    Tier tier(3, 1, 0, {0, 3 * ms, 24 * ms, 0, 0}, {true, false, false, false});
    tier.run_until_all_are_alive();
    tier.run(5 * second);
    REQUIRE(tier.fleet->protocol(1)->exchange().known_facts().size() == 0);
    int datagrams_sent = 0;
    tier.fleet->on_send = [&](int from, int to, const std::string& bytes) {
        auto sent = decoded(tier, bytes);
        datagrams_sent += from == 1 && to == 0 && sent && !sent->message.payload.empty();
    };
    tier.deliver_differing_digest(0, 1);
    tier.run(second);
    CHECK(datagrams_sent == 1);
}

TEST_CASE("sends are not used up on the router that sent the fact, and end where there is no other") {
    constexpr RouterIndex sender = 3, other = 4;
    constexpr Micros now = 1'764'576'000 * second;
    ReplicatedFacts facts(6 * second, 10), facts_of_two(6 * second, 2);
    Fact drain{FactSubject::Server, 7, 0, false, now / ms};
    facts.receive(drain, now, sender);
    CHECK(facts.next_to_send(10, now, sender).empty());
    CHECK(facts.has_unsent());
    CHECK(facts.next_to_send(10, now, other) == std::vector<Fact>{drain});
    facts_of_two.receive(drain, now, sender);
    int datagrams = 0;
    while (facts_of_two.has_unsent() && datagrams < 100)
        datagrams += facts_of_two.next_to_send(10, now, sender).size() < 2;
    CHECK(datagrams == 6);
    CHECK(!facts_of_two.has_unsent());
}
