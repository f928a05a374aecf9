// Unit tests of src/shared, one component at a time. Related tests: flaws/shared_flaws.cpp removes one guard
// after the other, model/loans.cpp explores the leases in every order, and fleet/shared/ runs several
// processes.
#include <doctest/doctest.h>

#include <bit>
#include <random>
#include <set>

#include "helpers.hpp"
#include "operate/plan.hpp"
#include "rig/fleet/budget.hpp"
#include "rig/partner.hpp"
#include "shared/exchange.hpp"

using namespace quillgrade;
using namespace quillgrade::shared;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms, noon_us = 1'764'576'000 * second;
constexpr std::uint64_t noon_ms = noon_us / ms;

feed::Endpoint endpoint(CacheId id, EndpointState listed = EndpointState::Ready, Micros started = 0) {
    feed::Endpoint made;
    made.entry = {id, listed, 4, 0, 0, 1, started};
    return made;
}
feed::Listing listing(std::vector<feed::Endpoint> endpoints, bool complete = false) {
    return {complete, std::move(endpoints)};
}
ReplicatedFacts make_facts() { return ReplicatedFacts(6 * second, 10); }

std::vector<Fact> all_facts(FactSubject about) {
    std::vector<Fact> all;
    for (std::uint64_t time : {1, 2})
        for (bool gone : {false, true})
            for (std::uint64_t born : {10, 11}) all.push_back({about, 7, time, gone, born});
    return all;
}

QuotaOptions options_for(RouterIndex self, int routers = 4, int grantors = 1) {
    QuotaOptions options;
    options.self = self;
    options.routers = routers;
    options.grantors = grantors;
    options.now = -1000 * second;
    return options;
}
// A server of which router `grantor` is the only grantor.
CacheId server_granted_by(RouterIndex grantor, int routers = 4) {
    Quotas quotas(options_for(0, routers));
    CacheId id = 1;
    while (quotas.grantors_of(id, 5)[0] != grantor) id++;
    return id;
}
struct GrantorAndBorrower {  // router 0 grants, router 1 borrows
    CacheId server = server_granted_by(0);
    Quotas grantor{options_for(0)}, borrower{options_for(1)};
    explicit GrantorAndBorrower(double budget = 400'000) {
        grantor.set_cold_servers({{server, 5, budget}}, 0);
        borrower.set_cold_servers({{server, 5, budget}}, 0);
    }
    std::vector<Addressed<Ask>> asks(Micros now) {
        return borrower.due_asks([](RouterIndex) { return true; }, now);
    }
    // Asks for a lease of one lookup and delivers the grant at once. Returns whether there was one.
    bool borrow_one_lookup(Micros now, double work = 100'000) {
        borrower.record_unmet_demand(server, work, work, now);
        auto sent = asks(now);
        if (sent.empty()) return false;
        grantor.handle_ask(1, 9, sent[0].body, now);
        auto grants = grantor.issue_grants(now);
        for (auto& grant : grants) borrower.handle_grant(0, grant.body, now);
        return !grants.empty();
    }
};

}  // namespace

// ---- facts

TEST_CASE("the join of facts is idempotent, commutative and associative") {
    for (auto about : {FactSubject::Server, FactSubject::Object}) {
        auto all = all_facts(about);
        for (auto& a : all) {
            CHECK(join(a, a) == a);
            for (auto& b : all) {
                REQUIRE(join(a, b) == join(b, a));
                REQUIRE(join(a, b).time >= a.time);
                for (auto& c : all) REQUIRE(join(join(a, b), c) == join(a, join(b, c)));
            }
        }
    }
}

TEST_CASE("a drain received from another router closes that server and no other") {
    auto facts = make_facts();
    facts.apply_listing(listing({endpoint(1), endpoint(2)}, true), noon_us);
    CHECK(facts.receive({FactSubject::Server, 1, 0, false, noon_ms}, noon_us));
    auto changes = facts.tick(0, noon_us);
    REQUIRE(changes.listing.caches.size() == 1);
    CHECK(changes.listing.caches[0].entry.id == 1);
    CHECK(changes.listing.caches[0].entry.state == EndpointState::Draining);
    CHECK(!changes.listing.complete);
    CHECK(facts.tick(0, noon_us).listing.caches.empty());  // reported once
    // A later list that still has the server ready is narrowed too.
    CHECK(facts.apply_listing(listing({endpoint(1)}), noon_us + second).caches[0].entry.state ==
          EndpointState::Draining);
}

TEST_CASE("a fact about an unlisted server adds no server, and applies once it is listed") {
    auto facts = make_facts();
    facts.apply_listing(listing({endpoint(1)}, true), noon_us);
    facts.receive({FactSubject::Server, 9, 0, true, noon_ms}, noon_us);
    CHECK(facts.tick(0, noon_us).listing.caches.empty());
    // The fact arrived before the list, and applies once the list names the server.
    CHECK(facts.apply_listing(listing({endpoint(9)}), noon_us + second).caches[0].entry.state ==
          EndpointState::Draining);
}

TEST_CASE("a received drain lapses after the contradiction timeout only if the own coordinator is heard") {
    for (bool live : {true, false}) {
        auto facts = make_facts();
        facts.apply_listing(listing({endpoint(1), endpoint(2)}, true), noon_us);
        facts.receive({FactSubject::Server, 1, 0, false, noon_ms}, noon_us);
        CHECK(facts.tick(live ? noon_us : 0, noon_us).closed == 1);
        auto later = noon_us + ReplicatedFacts::contradiction_timeout;
        CHECK(facts.tick(live ? noon_us : 0, later - 1).opened == 0);
        CHECK(facts.tick(live ? noon_us : 0, later).opened == (live ? 1 : 0));
        CHECK(facts.tick(live ? noon_us : 0, noon_us + 3600 * second).opened == 0);
    }
}

TEST_CASE("the contradiction timeout starts when the coordinator is heard again") {
    auto facts = make_facts();
    facts.apply_listing(listing({endpoint(1), endpoint(2)}, true), noon_us);
    facts.receive({FactSubject::Server, 1, 0, false, noon_ms}, noon_us);
    facts.tick(0, noon_us);
    auto back = noon_us + 60 * second;
    CHECK(facts.tick(back, back + ReplicatedFacts::contradiction_timeout - 1).opened == 0);
    CHECK(facts.tick(back, back + ReplicatedFacts::contradiction_timeout).opened == 1);
}

TEST_CASE("a fact about a server's process does not close its next process") {
    auto facts = make_facts();
    facts.apply_listing(listing({endpoint(1, EndpointState::Ready, noon_us), endpoint(2)}, true), noon_us);
    facts.receive({FactSubject::Server, 1, noon_ms, true, noon_ms}, noon_us);
    CHECK(facts.tick(0, noon_us).closed == 1);
    auto next =
        facts.apply_listing(listing({endpoint(1, EndpointState::Ready, noon_us + second), endpoint(2)}, true),
                            noon_us + 2 * second);
    CHECK(next.caches[0].entry.state == EndpointState::Ready);
    CHECK(facts.tick(0, noon_us + 2 * second).reopened == std::vector<CacheId>{1});
}

TEST_CASE("a server opens at once when the own coordinator takes back its drain") {
    auto facts = make_facts();
    facts.apply_listing(listing({endpoint(1, EndpointState::Draining), endpoint(2)}, true), noon_us);
    CHECK(facts.apply_listing(listing({endpoint(1)}), noon_us + second).caches[0].entry.state ==
          EndpointState::Ready);
    CHECK(facts.tick(noon_us, noon_us + second).listing.caches.empty());
}

TEST_CASE("a zone's last server is closed by a received fact only while the coordinator is not heard") {
    for (bool live : {true, false}) {
        auto facts = make_facts();
        facts.apply_listing(listing({endpoint(1)}, true), noon_us);
        facts.receive({FactSubject::Server, 1, 0, true, noon_ms}, noon_us);
        CHECK(facts.tick(live ? noon_us - 60 * second : 0, noon_us).closed == (live ? 0 : 1));
    }
}

TEST_CASE("a complete list without a server yields a fact that the server has gone") {
    auto facts = make_facts();
    facts.apply_listing(listing({endpoint(1), endpoint(2)}, true), noon_us);
    facts.apply_listing(listing({endpoint(2)}, true), noon_us + second);
    auto* fact = facts.find(FactSubject::Server, 1);
    REQUIRE(fact);
    CHECK(fact->gone);
    auto sent = facts.next_to_send(10, noon_us + second);
    REQUIRE(sent.size() == 1);
    CHECK(sent[0].key == 1);
}

TEST_CASE("received purges are reported once, the latest only, and not from a clock far ahead") {
    auto facts = make_facts();
    CHECK(facts.receive({FactSubject::Object, 7, noon_ms - 500, false, noon_ms}, noon_us));
    CHECK(facts.receive({FactSubject::Object, 7, noon_ms - 100, false, noon_ms}, noon_us));
    CHECK(!facts.receive({FactSubject::Object, 7, noon_ms - 300, false, noon_ms}, noon_us));
    CHECK(!facts.receive({FactSubject::Group, 3, noon_ms + 6000, false, noon_ms}, noon_us));
    auto changes = facts.tick(noon_us, noon_us);
    REQUIRE(changes.purges.size() == 1);
    CHECK(changes.purges[0].object == 7);
    CHECK(changes.purges[0].at == noon_us - 100 * ms);
    CHECK(facts.tick(noon_us, noon_us).purges.empty());
    CHECK(facts.size() == 1);
    facts.tick(noon_us, noon_us + 9 * second);
    CHECK(facts.size() == 0);  // no older copy can be left
}

TEST_CASE("a full store refuses received facts and accepts those of the own coordinator") {
    auto facts = make_facts();
    for (std::uint64_t i = 1; i <= ReplicatedFacts::max_facts + 50; i++)
        facts.receive({FactSubject::Object, i, noon_ms, false, noon_ms}, noon_us);
    CHECK(facts.size() == ReplicatedFacts::max_facts);
    CHECK(facts.refused() == 50);
    facts.record_purge({1'000'000, 0, noon_us}, noon_us);
    CHECK(facts.size() == ReplicatedFacts::max_facts);
    CHECK(facts.find(FactSubject::Object, 1'000'000));
}

TEST_CASE("the same facts give the same digest, in whatever order they were received") {
    auto one = make_facts(), other = make_facts();
    std::vector<Fact> all;
    for (std::uint64_t i = 1; i <= 20; i++)
        all.push_back({FactSubject::Object, i, noon_ms - i, false, noon_ms - 1000});
    for (auto& fact : all) one.receive(fact, noon_us);
    for (auto fact = all.rbegin(); fact != all.rend(); fact++) other.receive(*fact, noon_us + ms);
    CHECK(one.digest(noon_us) == other.digest(noon_us));
    other.receive({FactSubject::Object, 21, noon_ms, false, noon_ms - 1000}, noon_us);
    CHECK(one.digest(noon_us) != other.digest(noon_us));
    // The rotation covers all facts.
    std::set<std::uint64_t> seen;
    for (int i = 0; i < 3; i++)
        for (auto& fact : other.next_in_rotation(7, noon_us)) seen.insert(fact.key);
    CHECK(seen.size() == 21);
}

// ---- quotas

TEST_CASE("all routers draw the same distinct grantors, which are all routers in a small tier") {
    Quotas one(options_for(0, 300, 4)), other(options_for(7, 300, 4)), few(options_for(2, 3, 4));
    for (CacheId id = 1; id < 50; id++) {
        auto grantors = one.grantors_of(id, 5);
        CHECK(grantors == other.grantors_of(id, 5));
        CHECK(std::set<RouterIndex>(grantors.begin(), grantors.end()).size() == 4);
        auto all = few.grantors_of(id, 5);
        CHECK(std::set<RouterIndex>(all.begin(), all.end()).size() == 3);
    }
}

TEST_CASE("a grantor uses its own share without asking, and no more within a window") {
    GrantorAndBorrower pair;
    CHECK(pair.grantor.available(pair.server, 0) == 400'000);
    pair.grantor.consume(pair.server, 300'000, 1, 0);
    CHECK(pair.grantor.available(pair.server, 0) == 100'000);
    CHECK(pair.grantor.available(pair.server, second) == 100'000);
    CHECK(pair.grantor.available(pair.server, pair.grantor.use_lifetime()) == 400'000);
    CHECK(pair.borrower.available(pair.server, 0) == 0);
    CHECK(pair.borrower.available(777, 0) == 0);
}

TEST_CASE("a lent amount is blocked until one window after the end of its lease") {
    GrantorAndBorrower pair;
    REQUIRE(pair.borrow_one_lookup(0));
    CHECK(pair.borrower.available(pair.server, 0) == 100'000);
    CHECK(pair.grantor.available(pair.server, 0) == 300'000);
    auto end = options_for(0).lease_duration;
    CHECK(pair.borrower.available(pair.server, end - 60 * ms) == 100'000);
    CHECK(pair.borrower.available(pair.server, end) == 0);
    CHECK(pair.grantor.available(pair.server, end + pair.grantor.use_lifetime()) == 300'000);
    CHECK(pair.grantor.available(pair.server, end + pair.grantor.use_lifetime() + 50 * ms) == 400'000);
}

TEST_CASE("a use expires after use_validity, and not later than its lease") {
    GrantorAndBorrower pair;
    REQUIRE(pair.borrow_one_lookup(0));
    CHECK(pair.borrower.consume(pair.server, 100'000, 1, second) == second + Quotas::use_validity);
    auto late = options_for(0).lease_duration - 70 * ms;
    auto until = pair.borrower.consume(pair.server, 1, 2, late);
    CHECK(until <= options_for(0).lease_duration - 50 * ms);
}

TEST_CASE("a grant is accepted once, only by the asking generation, from the asked router, in time") {
    GrantorAndBorrower pair;
    pair.borrower.record_unmet_demand(pair.server, 100'000, 100'000, 0);
    auto ask = pair.asks(0).at(0).body;
    pair.grantor.handle_ask(1, 9, ask, 0);
    auto grant = pair.grantor.issue_grants(0).at(0).body;
    auto copy = pair.borrower;
    copy.handle_grant(0, grant, options_for(0).lease_duration);  // the lease has expired
    CHECK(copy.available(pair.server, options_for(0).lease_duration) == 0);
    pair.borrower.handle_grant(2, grant, 0);  // not from the router that was asked
    CHECK(pair.borrower.available(pair.server, 0) == 0);
    auto other = grant;
    other.number++;
    pair.borrower.handle_grant(0, other, 0);
    CHECK(pair.borrower.available(pair.server, 0) == 0);
    pair.borrower.handle_grant(0, grant, 0);
    pair.borrower.handle_grant(0, grant, 0);
    CHECK(pair.borrower.available(pair.server, 0) == 100'000);
    Quotas restarted(options_for(1));
    restarted.set_cold_servers({{pair.server, 5, 400'000}}, 0);
    restarted.handle_grant(0, grant, 0);
    CHECK(restarted.available(pair.server, 0) == 0);
}

TEST_CASE("granted amounts are capped at what was asked for, and asked amounts at half of a share") {
    GrantorAndBorrower pair;
    pair.borrower.record_unmet_demand(pair.server, 100'000, 100'000, 0);
    auto ask = pair.asks(0).at(0).body;
    pair.borrower.handle_grant(0, {pair.server, ask.number, 1e12}, 0);
    CHECK(pair.borrower.available(pair.server, 0) == 100'000);
    CHECK(pair.borrower.counters().amounts_capped == 1);
    // An ask for more than everything gets at most half of the grantor's share.
    pair.grantor.handle_ask(2, 9, {pair.server, 5, 1, 1e12, 100'000, 0}, 0);
    auto grants = pair.grantor.issue_grants(0);
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].body.amount == 200'000);
    pair.grantor.handle_ask(2, 9, {pair.server, 5, 2, -1, 100'000, 0}, 0);
    pair.grantor.handle_ask(2, 9, {pair.server, 5, 3, 1, 0, 0}, 0);
    CHECK(pair.grantor.issue_grants(0).empty());
}

TEST_CASE("a restarted grantor neither uses nor grants until its earlier leases have ended") {
    auto options = options_for(0);
    options.now = 0;
    Quotas grantor(options);
    auto server = server_granted_by(0);
    grantor.set_cold_servers({{server, 5, 400'000}}, 0);
    auto wait = grantor.restart_wait();
    CHECK(wait >= options.lease_duration + grantor.use_lifetime());
    CHECK(grantor.available(server, wait - 1) == 0);
    grantor.handle_ask(1, 9, {server, 5, 1, 100'000, 100'000, 0}, wait - 10);
    CHECK(grantor.issue_grants(wait - 10).empty());
    CHECK(grantor.available(server, wait) == 400'000);
    CHECK(grantor.issue_grants(wait).size() == 1);  // the ask was queued until then
}

TEST_CASE("a lease in use is renewed, raised where more is wanted, and stays blocked") {
    GrantorAndBorrower pair;
    REQUIRE(pair.borrow_one_lookup(0));
    auto lease = options_for(0).lease_duration;
    for (Micros now = 0; now < 4 * lease; now += 100 * ms) {
        if (pair.borrower.available(pair.server, now) >= 100'000)
            pair.borrower.consume(pair.server, 100'000, now, now);
        pair.borrow_one_lookup(now);
        REQUIRE(pair.borrower.available(pair.server, now) >= 0);
    }
    CHECK(pair.grantor.counters().leases_renewed > 2);
    auto usage = pair.borrower.usage(pair.server, 4 * lease - 100 * ms);
    CHECK(usage.borrowed >= 200'000);
    CHECK(pair.grantor.usage(pair.server, 4 * lease - 100 * ms).lent >= usage.borrowed);
}

TEST_CASE("a refund goes to the use with the same tag") {
    GrantorAndBorrower pair;
    pair.grantor.consume(pair.server, 300'000, 11, 0);
    pair.grantor.consume(pair.server, 100'000, 12, 500 * ms);
    pair.grantor.refund(pair.server, 100'000, 12, 600 * ms);
    CHECK(pair.grantor.available(pair.server, 600 * ms) == 100'000);
    pair.grantor.refund(pair.server, 100'000, 99, 600 * ms);
    CHECK(pair.grantor.available(pair.server, 600 * ms) == 100'000);
}

TEST_CASE("a server that leaves the list and returns with the same start keeps its uses") {
    GrantorAndBorrower pair;
    pair.grantor.consume(pair.server, 400'000, 1, 0);
    pair.grantor.set_cold_servers({}, 100 * ms);
    pair.grantor.set_cold_servers({{pair.server, 5, 400'000}}, 200 * ms);
    CHECK(pair.grantor.available(pair.server, 200 * ms) == 0);
}

// Random runs with 3 to 8 routers and 1 to 4 grantors. The network loses, delays and duplicates messages;
// routers restart, and stop between the check of a quota and the sending.
TEST_CASE("all routers together never exceed the budget in any window") {
    for (unsigned seed = 1; seed <= 40; seed++) {
        std::mt19937 chance(seed);
        auto draw = [&](int most) { return static_cast<int>(chance() % static_cast<unsigned>(most)); };
        int routers = 3 + draw(6), grantors = 1 + draw(4);
        CacheId server = 1 + static_cast<CacheId>(draw(1000));
        double budget = 400'000;
        std::vector<Quotas> all;
        std::vector<Generation> generations(static_cast<std::size_t>(routers), 1);
        std::vector<Micros> skew;  // steady clocks start at arbitrary times
        for (RouterIndex i = 0; i < routers; i++) {
            auto options = options_for(i, routers, grantors);
            options.seed = chance();
            all.emplace_back(options);
            skew.push_back(draw(1000) * second);
            all.back().set_cold_servers({{server, 5, budget}}, skew.back());
        }
        struct Message {
            Micros at;
            RouterIndex from, to;
            Generation generation;
            std::optional<Ask> ask;
            std::optional<Grant> grant;
        };
        std::vector<Message> in_flight;
        std::vector<std::pair<Micros, double>> sent;
        struct Pending {
            Micros at, until;
            std::size_t router;
        };
        std::vector<Pending> pending;
        for (Micros now = 0; now < 30 * second; now += 10 * ms) {
            for (std::size_t i = 0; i < all.size(); i++) {
                auto clock = now + skew[i];
                auto& quotas = all[i];
                quotas.set_cold_servers({{server, 5, budget}}, clock);
                if (draw(4) == 0) {
                    if (quotas.available(server, clock) >= 100'000) {
                        auto until = quotas.consume(server, 100'000, clock, clock);
                        // Mostly written at once, sometimes after the process was stopped.
                        pending.push_back({now + (draw(10) ? draw(60) * ms : draw(6000) * ms), until, i});
                    } else {
                        quotas.record_unmet_demand(server, 100'000, 100'000, clock);
                    }
                }
                auto post = [&](Message outgoing) {
                    if (draw(5) == 0) return;
                    for (int copies = draw(5) ? 1 : 2; copies > 0; copies--) {
                        outgoing.at = now + (draw(20) ? draw(40) * ms : draw(3000) * ms);
                        in_flight.push_back(outgoing);
                    }
                };
                auto self = static_cast<RouterIndex>(i);
                for (auto& [to, ask] : quotas.due_asks([](RouterIndex) { return true; }, clock))
                    post({0, self, to, generations[i], ask, {}});
                for (auto& [to, grant] : quotas.issue_grants(clock))
                    post({0, self, to, generations[i], {}, grant});
                if (draw(2000) == 0) {
                    generations[i]++;
                    auto options = options_for(self, routers, grantors);
                    options.now = clock;
                    options.seed = chance();
                    quotas = Quotas(options);
                    quotas.set_cold_servers({{server, 5, budget}}, clock);
                    std::erase_if(pending, [&](auto& one) { return one.router == i; });
                }
            }
            std::erase_if(in_flight, [&](auto& one) {
                if (one.at > now) return false;
                auto to = static_cast<std::size_t>(one.to);
                if (one.ask) all[to].handle_ask(one.from, one.generation, *one.ask, now + skew[to]);
                if (one.grant) all[to].handle_grant(one.from, *one.grant, now + skew[to]);
                return true;
            });
            std::erase_if(pending, [&](auto& one) {
                if (one.at > now) return false;
                if (now + skew[one.router] <= one.until) sent.emplace_back(now, 100'000);
                return true;
            });
        }
        REQUIRE(sent.size() > 20);
        std::size_t first = 0;
        double sum = 0;
        for (std::size_t last = 0; last < sent.size(); last++) {
            sum += sent[last].second;
            while (sent[last].first - sent[first].first >= second) sum -= sent[first++].second;
            INFO("seed ", seed, " at ", sent[last].first);
            REQUIRE(sum <= budget + 1);
        }
    }
}

// ---- peer health reports

TEST_CASE("two reporters are conclusive, one is not, and reports lose weight with age") {
    HealthReports health_reports;
    Complaint slow{5, 0, 3, 0, 6.0, 0};
    health_reports.receive(1, 0, 1, {4, 1}, slow, noon_us);
    CHECK(health_reports.aggregate(5, 0, noon_us).samples == 0);
    health_reports.receive(2, 1, 1, {4, 1}, slow, noon_us);
    auto fresh = health_reports.aggregate(5, 0, noon_us);
    CHECK(fresh.samples == 6);
    CHECK(fresh.slowdown == 6.0);
    auto later = health_reports.aggregate(5, 0, noon_us + HealthReports::half_life);
    CHECK(later.samples == doctest::Approx(3));
    CHECK(health_reports.aggregate(5, 0, noon_us + HealthReports::report_lifetime).samples == 0);
    CHECK(health_reports.aggregate(5, 1, noon_us).samples == 0);  // the server has restarted since
    health_reports.expire(noon_us + HealthReports::report_lifetime);
    CHECK(health_reports.size() == 0);
}

TEST_CASE("reporters in different zones weigh more than as many in one zone") {
    HealthReports one_zone, many;
    Complaint bad{5, 0, 4, 1, 0, 0};
    for (RouterIndex i = 0; i < 4; i++) {
        one_zone.receive(i, 0, 1, {4, 1}, bad, noon_us);
        many.receive(i, i, 1, {4, 1}, bad, noon_us);
    }
    CHECK(many.aggregate(5, 0, noon_us).samples == 16);
    CHECK(one_zone.aggregate(5, 0, noon_us).samples == 8);
}

TEST_CASE("a reporter that complains of most servers counts only beside two others") {
    HealthReports health_reports;
    Complaint bad{5, 0, 4, 1, 0, 0};
    health_reports.receive(1, 0, 1, {5, 5}, bad, noon_us);
    health_reports.receive(2, 1, 1, {5, 1}, bad, noon_us);
    CHECK(health_reports.aggregate(5, 0, noon_us).samples == 0);
    health_reports.receive(3, 2, 1, {5, 1}, bad, noon_us);
    CHECK(health_reports.aggregate(5, 0, noon_us).samples == 12);  // counts beside two other reporters
}

TEST_CASE("a single reporter does not determine the combined slowdown") {
    HealthReports health_reports;
    health_reports.receive(1, 0, 1, {5, 1}, {5, 0, 4, 0, 3, 0}, noon_us);
    health_reports.receive(2, 1, 1, {5, 1}, {5, 0, 4, 0, 3.2, 0}, noon_us);
    health_reports.receive(3, 2, 1, {5, 1}, {5, 0, 4, 0, 1e5, 0}, noon_us);
    CHECK(health_reports.aggregate(5, 0, noon_us).slowdown == 3.2);
}

TEST_CASE("peer reports are used only where own samples are few, and own samples take precedence") {
    auto module = router();
    auto* server = find_server(module, 1);
    server->peer_report = {8, 0.9, 0};
    CHECK(std::string(ejection_reason(module, *server, noon)) == "failing, by hearsay");
    server->evaluated_at = 0;
    server->peer_report = {8, 0, 4};
    CHECK(std::string(ejection_reason(module, *server, noon)) == "slow, by hearsay");
    server->evaluated_at = 0;
    for (int i = 0; i < 8; i++) server->failures.push_back({noon, 0});
    CHECK(ejection_reason(module, *server, noon) == nullptr);
    server->evaluated_at = 0;
    server->failures.clear();
    server->peer_report = {5, 1, 9};  // too few samples
    CHECK(ejection_reason(module, *server, noon) == nullptr);
}

TEST_CASE("a zone's servers stay usable if peer reports condemn all of them") {
    auto module = router();
    for (CacheId id : {1, 2, 3}) find_server(module, id)->peer_report = {20, 1, 20};
    for (auto& server : module.servers) server.last_half_open_probe_at = noon;
    auto handle = module.add_lookup(lookup(1), noon);
    auto answer = handle.first_attempt(noon + 1);
    CHECK(answer.final_result == FinalResult::None);
    CHECK(answer.send);
}

TEST_CASE("a router complains of a server that two samples show to be worse than its peers") {
    auto module = router();
    for (CacheId id : {1, 2, 3})
        for (int i = 0; i < 2; i++) {
            find_server(module, id)->slowness.push_back({noon, id == 2 ? 9.0 : 1.2});
            find_server(module, id)->failures.push_back({noon, 0});
        }
    auto complaints = module.health_reports(noon);
    REQUIRE(complaints.size() == 1);
    CHECK(complaints[0].server == 2);
    CHECK(complaints[0].slowdown == doctest::Approx(7.5));
    CHECK(module.measured_servers(noon) == 3);
    // No complaint where all servers are equally slow.
    for (CacheId id : {1, 3})
        for (auto& sample : find_server(module, id)->slowness) sample.value = 9;
    CHECK(module.health_reports(noon).empty());
}

// ---- request counts

TEST_CASE("request counts never exceed the number of routers that were asked") {
    constexpr int routers = 40;
    std::vector<RequestCounts> all;
    all.reserve(routers);
    for (RouterIndex i = 0; i < routers; i++) all.emplace_back(i, routers);
    std::mt19937 chance(5);
    std::map<std::uint64_t, std::set<RouterIndex>> asked_routers;
    for (int step = 0; step < 4000; step++) {
        auto who = static_cast<RouterIndex>(chance() % routers);
        std::uint64_t name = 1 + chance() % 50;
        all[static_cast<std::size_t>(who)].count_lookup(name, noon_us);
        asked_routers[name].insert(who);
        auto& from = all[chance() % routers];
        auto& to = all[chance() % routers];
        for (auto& count : from.next_to_send(5, noon_us)) {
            to.receive(count, noon_us);
            to.receive(count, noon_us);
        }
        for (std::uint64_t probe = 1; probe <= 50; probe += 7) {
            auto elsewhere = to.other_routers_asked(probe, noon_us);
            REQUIRE(elsewhere >= 0);
            REQUIRE(elsewhere <= static_cast<int>(asked_routers[probe].size()));
        }
    }
    int known = 0;
    for (std::uint64_t name = 1; name <= 50; name++) known += all[0].other_routers_asked(name, noon_us) >= 4;
    CHECK(known > 25);
}

TEST_CASE("an epoch counts half in the next and then nothing, and older counts are dropped") {
    RequestCounts request_counts(0, 40);
    std::uint32_t six = 0;
    for (RouterIndex i = 1; std::popcount(six) < 6; i++)
        if (RequestCounts::bit_of(i) != RequestCounts::bit_of(0)) six |= RequestCounts::bit_of(i);
    auto epoch = RequestCounts::epoch_of(noon_us);
    CHECK(request_counts.receive({7, epoch, six}, noon_us));
    CHECK(!request_counts.receive({7, epoch, six}, noon_us));
    CHECK(request_counts.other_routers_asked(7, noon_us) == 6);
    CHECK(request_counts.count_lookup(8, noon_us + RequestCounts::epoch_duration) == 0);
    CHECK(request_counts.other_routers_asked(7, noon_us + RequestCounts::epoch_duration) == 3);
    CHECK(!request_counts.receive({9, epoch - 1, six}, noon_us + RequestCounts::epoch_duration));
    CHECK(request_counts.other_routers_asked(9, noon_us + RequestCounts::epoch_duration) == 0);
    request_counts.count_lookup(8, noon_us + 2 * RequestCounts::epoch_duration);
    CHECK(request_counts.other_routers_asked(7, noon_us + 2 * RequestCounts::epoch_duration) == 0);
}

TEST_CASE("when full, names that other routers were asked for are kept") {
    RequestCounts request_counts(0, 40);
    auto epoch = RequestCounts::epoch_of(noon_us);
    auto other = RequestCounts::bit_of(1) == RequestCounts::bit_of(0) ? RequestCounts::bit_of(2)
                                                                      : RequestCounts::bit_of(1);
    for (std::uint64_t i = 1; i <= 100; i++) request_counts.receive({i, epoch, other}, noon_us);
    for (std::uint64_t i = 1000; i < 1000 + 3 * RequestCounts::max_names; i++)
        request_counts.count_lookup(i, noon_us);
    CHECK(request_counts.size() <= RequestCounts::max_names);
    for (std::uint64_t i = 1; i <= 100; i++) REQUIRE(request_counts.other_routers_asked(i, noon_us) == 1);
}

TEST_CASE("p grows in small steps with the share of the zone that is alive") {
    auto facts = a_site();
    facts.routers_by_zone = {0, 40, 2};
    Router module(facts, 1);
    double last = module.p();
    CHECK(last == 0.5);
    for (int heard = 2; heard <= 40; heard++) {
        module.counting_routers = heard;
        CHECK(module.p() >= last);
        CHECK(module.p() - last <= 0.5);
        last = module.p();
    }
    CHECK(last == 1);
}

// ---- payload

TEST_CASE("a payload decodes as it was encoded, and never exceeds its room") {
    Payload payload;
    payload.configuration_hash = 77;
    payload.digest = 88;
    payload.facts = {{FactSubject::Server, 5, 0, true, noon_ms - 300},
                     {FactSubject::Server, 6, noon_ms - 12'345, false, noon_ms},
                     {FactSubject::Object, ~0ULL, noon_ms - 50, false, noon_ms - 100},
                     {FactSubject::Group, 0, noon_ms + 20, false, noon_ms}};
    payload.asks = {{9, 10, 11, 100'000, 50'000, 12}};
    payload.grants = {{9, 11, 100'000}};
    payload.breadth = {20, 2};
    payload.complaints = {{5, 3, 4, 0.25, 3.5, 700 * ms}};
    payload.counts = {{123, 40, 0xf0}, {124, 39, 3}};
    auto written = encode(payload, 250, noon_us);
    CHECK(written.bytes.size() <= 250);
    CHECK(written.facts == 4);
    CHECK(written.counts == 2);
    auto read = decode(written.bytes, noon_us);
    REQUIRE(read);
    CHECK(read->facts == payload.facts);
    CHECK(read->asks == payload.asks);
    CHECK(read->grants == payload.grants);
    CHECK(read->complaints == payload.complaints);
    CHECK(read->counts == payload.counts);
    CHECK(read->breadth.measured == 20);
    for (std::size_t room = 0; room < 250; room++) {
        auto less = encode(payload, room, noon_us);
        REQUIRE(less.bytes.size() <= room);
        REQUIRE((less.bytes.empty() || decode(less.bytes, noon_us)));
    }
}

TEST_CASE("corrupt payloads are rejected or decode to values in range") {
    std::mt19937 chance(3);
    Payload payload;
    payload.facts = {{FactSubject::Object, 7, noon_ms, false, noon_ms}};
    payload.asks = {{9, 10, 11, 100'000, 50'000, 12}};
    auto good = encode(payload, 250, noon_us).bytes;
    for (int i = 0; i < 20'000; i++) {
        auto bytes = good;
        for (int flips = 1 + static_cast<int>(chance() % 4); flips > 0; flips--)
            bytes[chance() % bytes.size()] = static_cast<char>(chance());
        if (auto read = decode(bytes, noon_us))
            for (auto& fact : read->facts) REQUIRE(fact.time < 1ULL << 53);
    }
    CHECK(!decode("\xff\xff", noon_us));
}

// ---- operators' file

TEST_CASE("the operators' file names what is shared, only beside peers, and its faults are reported") {
    auto good = operate::parse(
        R"({"peers": {}, "shared": {"rights": {"owners": 6, "loan_ms": 900}, "counts": false}})");
    CHECK(good.errors.empty());
    REQUIRE(good.config.shared);
    CHECK(good.config.shared->grantors == 6);
    CHECK(good.config.shared->lease_duration == 900 * ms);
    CHECK(!good.config.shared->request_counts);
    CHECK(good.config.shared->facts);
    CHECK(!operate::parse(R"({"peers": {}, "shared": {"rights": false}})").config.shared->quotas);
    CHECK(operate::parse(R"({"shared": {}})").errors.size() == 1);
    CHECK(operate::parse(R"({"peers": {}, "shared": {"rights": {"owners": 0}}})").errors.size() == 1);
    CHECK(operate::parse(R"({"peers": {}, "shared": {"rights": {"owners": 2.5}}})").errors.size() == 1);
    CHECK(operate::parse(R"({"peers": {}, "shared": {"budgets": {}}})").errors.size() == 1);
    CHECK(!operate::parse("{}").config.shared);
}

TEST_CASE("the judge of budgets counts the lookups within a window") {
    rig::ColdTerms terms;  // 8 lookups per window at the start, 80 at the end
    std::vector<std::int64_t> seen(8, 1000);
    CHECK(rig::judge(seen, 0, 5'000'000, terms).exceeded == 0);
    seen.push_back(1000);
    CHECK(rig::judge(seen, 0, 5'000'000, terms).exceeded == 1);
    seen.back() = 2'000'000;
    CHECK(rig::judge(seen, 0, 5'000'000, terms).exceeded == 0);
}

// Guards against a router with a fast clock, by which the cold time of a server ends early, so that nothing
// bounds what the router sends in the last moments of the true cold time.
TEST_CASE("a cold budget is shared until the cold time ends by the slowest clock that is allowed") {
    constexpr Micros ahead = 250 * ms;
    peers::MembershipConfig start;
    start.self = 0;
    start.routers = 12;
    start.now = noon_us;
    peers::Membership membership(start);
    ExchangeOptions options;
    options.settings = rig::shared_site();
    options.now = {noon_us, 1000 * second};
    Exchange exchange(membership, options);
    feed::Endpoint parent;
    parent.entry = {101, EndpointState::Ready, 4, options.settings.parent_kind, 0, 0, noon_us};
    auto at = [&](Micros age) { return ClockReadings{noon_us + age, 1000 * second + age}; };
    auto is_shared = [&](Micros age) {
        exchange.tick(1, at(age));
        return exchange.available_quota(101, at(age)) >= 0;
    };
    exchange.apply_listing(listing({parent}), at(0));
    const auto cold = options.settings.parent_cold_period;
    CHECK(exchange.parent_cold() == cold + ahead);
    CHECK(is_shared(cold - ms));
    CHECK(is_shared(cold + ahead - ms));
    CHECK(!is_shared(cold + ahead));
    // A list that names the server again at that moment changes nothing.
    exchange.apply_listing(listing({parent}), at(cold + ahead - ms));
    CHECK(is_shared(cold + ahead - ms));
    exchange.apply_listing(listing({parent}), at(cold + ahead));
    CHECK(!is_shared(cold + ahead));
}

TEST_CASE("where no budget is shared, the cold time is that of the settings") {
    peers::MembershipConfig start;
    start.self = 0;
    start.routers = 12;
    start.now = noon_us;
    for (bool links : {false, true}) {
        peers::Membership membership(start);
        ExchangeOptions options;
        options.settings = rig::shared_site();
        options.settings.weights_are_link_rates = links;
        options.features.quotas = !links;
        options.now = {noon_us, 1000 * second};
        Exchange exchange(membership, options);
        CHECK(exchange.parent_cold() == options.settings.parent_cold_period);
    }
}

// ---- routing module

TEST_CASE("a cold server gets at most what the quota allows") {
    auto module = router();
    auto entry_of = entry(11, 1, 0);
    entry_of.started_at = noon;
    module.update_endpoints({entry_of}, false, noon);
    auto* parent = find_server(module, 11);
    parent->quota = 250 * test_ms;
    double work = 100 * test_ms;
    CHECK(within_cold_budget(module, *parent, work, noon + 1));
    CHECK(parent->quota_demand == work);
    parent->quota = 99 * test_ms;
    CHECK(!within_cold_budget(module, *parent, work, noon + 1));
    parent->quota = -1;  // not shared: this router's own share of the budget
    CHECK(!within_cold_budget(module, *parent, 1000 * work, noon + 1));
}
