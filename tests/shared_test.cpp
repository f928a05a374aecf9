// What the routers share: the pieces, each by itself. With guards taken out: flaws/shared_flaws.cpp; in every
// order: model/leases.cpp; in several processes: fleet/shared/.
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

constexpr Micros ms = 1000, second = 1000 * ms, noon_at = 1'764'576'000 * second;
constexpr std::uint64_t noon_ms = noon_at / ms;

feed::Endpoint box(CacheId id, EndpointState listed = EndpointState::Ready, Micros started = 0) {
    feed::Endpoint made;
    made.entry = {id, listed, 4, 0, 0, 1, started};
    return made;
}
feed::Listing listing(std::vector<feed::Endpoint> boxes, bool complete = false) {
    return {complete, std::move(boxes)};
}
ReplicatedFacts some_facts() { return ReplicatedFacts(6 * second, 10); }

std::vector<Fact> all_facts(FactSubject about) {
    std::vector<Fact> all;
    for (std::uint64_t time : {1, 2})
        for (bool gone : {false, true})
            for (std::uint64_t born : {10, 11}) all.push_back({about, 7, time, gone, born});
    return all;
}

QuotaOptions terms_of(RouterIndex self, int routers = 4, int owners = 1) {
    QuotaOptions terms;
    terms.self = self;
    terms.routers = routers;
    terms.grantors = owners;
    terms.now = -1000 * second;
    return terms;
}
// A server that router `owner` alone owns.
CacheId owned_by(RouterIndex owner, int routers = 4) {
    Quotas quotas(terms_of(0, routers));
    CacheId id = 1;
    while (quotas.grantors_of(id, 5)[0] != owner) id++;
    return id;
}
struct Pair {  // router 0 owns, router 1 borrows
    CacheId server = owned_by(0);
    Quotas owner{terms_of(0)}, borrower{terms_of(1)};
    explicit Pair(double whole = 400'000) {
        owner.set_cold_servers({{server, 5, whole}}, 0);
        borrower.set_cold_servers({{server, 5, whole}}, 0);
    }
    std::vector<Addressed<Ask>> asks(Micros now) {
        return borrower.due_asks([](RouterIndex) { return true; }, now);
    }
    // A lease of one lookup, asked for and granted at once.
    bool lend(Micros now, double work = 100'000) {
        borrower.record_unmet_demand(server, work, work, now);
        auto sent = asks(now);
        if (sent.empty()) return false;
        owner.handle_ask(1, 9, sent[0].message, now);
        auto grants = owner.issue_grants(now);
        for (auto& grant : grants) borrower.handle_grant(0, grant.message, now);
        return !grants.empty();
    }
};

}  // namespace

// ---- facts

TEST_CASE("facts join the same in any order, any number of times") {
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

TEST_CASE("a drain heard from another router closes the server, and only that") {
    auto facts = some_facts();
    facts.apply_listing(listing({box(1), box(2)}, true), noon_at);
    CHECK(facts.receive({FactSubject::Server, 1, 0, false, noon_ms}, noon_at));
    auto changes = facts.tick(0, noon_at);
    REQUIRE(changes.listing.caches.size() == 1);
    CHECK(changes.listing.caches[0].entry.id == 1);
    CHECK(changes.listing.caches[0].entry.state == EndpointState::Draining);
    CHECK(!changes.listing.complete);
    CHECK(facts.tick(0, noon_at).listing.caches.empty());  // told once
    // A list that has it ready still is narrowed too.
    CHECK(facts.apply_listing(listing({box(1)}), noon_at + second).caches[0].entry.state ==
          EndpointState::Draining);
}

TEST_CASE("a fact about a server that no list names adds none") {
    auto facts = some_facts();
    facts.apply_listing(listing({box(1)}, true), noon_at);
    facts.receive({FactSubject::Server, 9, 0, true, noon_ms}, noon_at);
    CHECK(facts.tick(0, noon_at).listing.caches.empty());
    // It overtook the list: once the list has it, it counts.
    CHECK(facts.apply_listing(listing({box(9)}), noon_at + second).caches[0].entry.state ==
          EndpointState::Draining);
}

TEST_CASE("who hears its coordinator goes by its own list again after a while, who doesn't never") {
    for (bool live : {true, false}) {
        auto facts = some_facts();
        facts.apply_listing(listing({box(1), box(2)}, true), noon_at);
        facts.receive({FactSubject::Server, 1, 0, false, noon_ms}, noon_at);
        CHECK(facts.tick(live ? noon_at : 0, noon_at).closed == 1);
        auto later = noon_at + ReplicatedFacts::contradiction_timeout;
        CHECK(facts.tick(live ? noon_at : 0, later - 1).opened == 0);
        CHECK(facts.tick(live ? noon_at : 0, later).opened == (live ? 1 : 0));
        CHECK(facts.tick(live ? noon_at : 0, noon_at + 3600 * second).opened == 0);
    }
}

TEST_CASE("what counts is how long the coordinator is heard since, not how long it was before") {
    auto facts = some_facts();
    facts.apply_listing(listing({box(1), box(2)}, true), noon_at);
    facts.receive({FactSubject::Server, 1, 0, false, noon_ms}, noon_at);
    facts.tick(0, noon_at);
    auto back = noon_at + 60 * second;
    CHECK(facts.tick(back, back + ReplicatedFacts::contradiction_timeout - 1).opened == 0);
    CHECK(facts.tick(back, back + ReplicatedFacts::contradiction_timeout).opened == 1);
}

TEST_CASE("what was heard of a server's process is nothing against its next") {
    auto facts = some_facts();
    facts.apply_listing(listing({box(1, EndpointState::Ready, noon_at), box(2)}, true), noon_at);
    facts.receive({FactSubject::Server, 1, noon_ms, true, noon_ms}, noon_at);
    CHECK(facts.tick(0, noon_at).closed == 1);
    auto next = facts.apply_listing(listing({box(1, EndpointState::Ready, noon_at + second), box(2)}, true),
                                    noon_at + 2 * second);
    CHECK(next.caches[0].entry.state == EndpointState::Ready);
    CHECK(facts.tick(0, noon_at + 2 * second).reopened == std::vector<CacheId>{1});
}

TEST_CASE("a drain that the own coordinator takes back is open at once") {
    auto facts = some_facts();
    facts.apply_listing(listing({box(1, EndpointState::Draining), box(2)}, true), noon_at);
    CHECK(facts.apply_listing(listing({box(1)}), noon_at + second).caches[0].entry.state ==
          EndpointState::Ready);
    CHECK(facts.tick(noon_at, noon_at + second).listing.caches.empty());
}

TEST_CASE("a location's last server is closed by hearsay only where the coordinator is not heard") {
    for (bool live : {true, false}) {
        auto facts = some_facts();
        facts.apply_listing(listing({box(1)}, true), noon_at);
        facts.receive({FactSubject::Server, 1, 0, true, noon_ms}, noon_at);
        CHECK(facts.tick(live ? noon_at - 60 * second : 0, noon_at).closed == (live ? 0 : 1));
    }
}

TEST_CASE("a list without a server says that it has gone, and so it is told") {
    auto facts = some_facts();
    facts.apply_listing(listing({box(1), box(2)}, true), noon_at);
    facts.apply_listing(listing({box(2)}, true), noon_at + second);
    auto* fact = facts.find(FactSubject::Server, 1);
    REQUIRE(fact);
    CHECK(fact->gone);
    auto told = facts.next_to_send(10, noon_at + second);
    REQUIRE(told.size() == 1);
    CHECK(told[0].key == 1);
}

TEST_CASE("purges heard are told to the router once, the latest, and none from a clock far ahead") {
    auto facts = some_facts();
    CHECK(facts.receive({FactSubject::Object, 7, noon_ms - 500, false, noon_ms}, noon_at));
    CHECK(facts.receive({FactSubject::Object, 7, noon_ms - 100, false, noon_ms}, noon_at));
    CHECK(!facts.receive({FactSubject::Object, 7, noon_ms - 300, false, noon_ms}, noon_at));
    CHECK(!facts.receive({FactSubject::Group, 3, noon_ms + 6000, false, noon_ms}, noon_at));
    auto changes = facts.tick(noon_at, noon_at);
    REQUIRE(changes.purges.size() == 1);
    CHECK(changes.purges[0].object == 7);
    CHECK(changes.purges[0].at == noon_at - 100 * ms);
    CHECK(facts.tick(noon_at, noon_at).purges.empty());
    CHECK(facts.size() == 1);
    facts.tick(noon_at, noon_at + 9 * second);
    CHECK(facts.size() == 0);  // no older copy can be left
}

TEST_CASE("facts are bounded: what is heard beyond is refused, what the own coordinator says is not") {
    auto facts = some_facts();
    for (std::uint64_t i = 1; i <= ReplicatedFacts::max_facts + 50; i++)
        facts.receive({FactSubject::Object, i, noon_ms, false, noon_ms}, noon_at);
    CHECK(facts.size() == ReplicatedFacts::max_facts);
    CHECK(facts.refused() == 50);
    facts.record_purge({1'000'000, 0, noon_at}, noon_at);
    CHECK(facts.size() == ReplicatedFacts::max_facts);
    CHECK(facts.find(FactSubject::Object, 1'000'000));
}

TEST_CASE("routers that hold the same facts have the same digest, in whatever order they heard them") {
    auto one = some_facts(), other = some_facts();
    std::vector<Fact> told;
    for (std::uint64_t i = 1; i <= 20; i++)
        told.push_back({FactSubject::Object, i, noon_ms - i, false, noon_ms - 1000});
    for (auto& fact : told) one.receive(fact, noon_at);
    for (auto fact = told.rbegin(); fact != told.rend(); fact++) other.receive(*fact, noon_at + ms);
    CHECK(one.digest(noon_at) == other.digest(noon_at));
    other.receive({FactSubject::Object, 21, noon_ms, false, noon_ms - 1000}, noon_at);
    CHECK(one.digest(noon_at) != other.digest(noon_at));
    // Told in turn, all come by.
    std::set<std::uint64_t> seen;
    for (int i = 0; i < 3; i++)
        for (auto& fact : other.next_in_rotation(7, noon_at)) seen.insert(fact.key);
    CHECK(seen.size() == 21);
}

// ---- quotas

TEST_CASE("all routers draw the same owners, and as many owners as routers are all of them") {
    Quotas one(terms_of(0, 300, 4)), other(terms_of(7, 300, 4)), few(terms_of(2, 3, 4));
    for (CacheId id = 1; id < 50; id++) {
        auto owners = one.grantors_of(id, 5);
        CHECK(owners == other.grantors_of(id, 5));
        CHECK(std::set<RouterIndex>(owners.begin(), owners.end()).size() == 4);
        auto all = few.grantors_of(id, 5);
        CHECK(std::set<RouterIndex>(all.begin(), all.end()).size() == 3);
    }
}

TEST_CASE("an owner uses its part alone, and no more within a window") {
    Pair pair;
    CHECK(pair.owner.available(pair.server, 0) == 400'000);
    pair.owner.consume(pair.server, 300'000, 1, 0);
    CHECK(pair.owner.available(pair.server, 0) == 100'000);
    CHECK(pair.owner.available(pair.server, second) == 100'000);
    CHECK(pair.owner.available(pair.server, pair.owner.use_lifetime()) == 400'000);
    CHECK(pair.borrower.available(pair.server, 0) == 0);
    CHECK(pair.borrower.available(777, 0) == 0);
}

TEST_CASE("what is lent is blocked until one window after its end") {
    Pair pair;
    REQUIRE(pair.lend(0));
    CHECK(pair.borrower.available(pair.server, 0) == 100'000);
    CHECK(pair.owner.available(pair.server, 0) == 300'000);
    auto end = terms_of(0).lease_duration;
    CHECK(pair.borrower.available(pair.server, end - 60 * ms) == 100'000);
    CHECK(pair.borrower.available(pair.server, end) == 0);
    CHECK(pair.owner.available(pair.server, end + pair.owner.use_lifetime()) == 300'000);
    CHECK(pair.owner.available(pair.server, end + pair.owner.use_lifetime() + 50 * ms) == 400'000);
}

TEST_CASE("a right is good for a moment, and not past its loan") {
    Pair pair;
    REQUIRE(pair.lend(0));
    CHECK(pair.borrower.consume(pair.server, 100'000, 1, second) == second + Quotas::use_validity);
    auto late = terms_of(0).lease_duration - 70 * ms;
    auto until = pair.borrower.consume(pair.server, 1, 2, late);
    CHECK(until <= terms_of(0).lease_duration - 50 * ms);
}

TEST_CASE("a loan comes once, to who asked for it, and not too late") {
    Pair pair;
    pair.borrower.record_unmet_demand(pair.server, 100'000, 100'000, 0);
    auto ask = pair.asks(0).at(0).message;
    pair.owner.handle_ask(1, 9, ask, 0);
    auto grant = pair.owner.issue_grants(0).at(0).message;
    auto copy = pair.borrower;
    copy.handle_grant(0, grant, terms_of(0).lease_duration);  // its time is over
    CHECK(copy.available(pair.server, terms_of(0).lease_duration) == 0);
    pair.borrower.handle_grant(2, grant, 0);  // not from whom it was asked
    CHECK(pair.borrower.available(pair.server, 0) == 0);
    auto other = grant;
    other.number++;
    pair.borrower.handle_grant(0, other, 0);
    CHECK(pair.borrower.available(pair.server, 0) == 0);
    pair.borrower.handle_grant(0, grant, 0);
    pair.borrower.handle_grant(0, grant, 0);
    CHECK(pair.borrower.available(pair.server, 0) == 100'000);
    Quotas next_life(terms_of(1));
    next_life.set_cold_servers({{pair.server, 5, 400'000}}, 0);
    next_life.handle_grant(0, grant, 0);
    CHECK(next_life.available(pair.server, 0) == 0);
}

TEST_CASE("amounts that were not asked for are cut to what was") {
    Pair pair;
    pair.borrower.record_unmet_demand(pair.server, 100'000, 100'000, 0);
    auto ask = pair.asks(0).at(0).message;
    pair.borrower.handle_grant(0, {pair.server, ask.number, 1e12}, 0);
    CHECK(pair.borrower.available(pair.server, 0) == 100'000);
    CHECK(pair.borrower.counters().amounts_capped == 1);
    // And an ask for everything gets half of the part at most.
    pair.owner.handle_ask(2, 9, {pair.server, 5, 1, 1e12, 100'000, 0}, 0);
    auto grants = pair.owner.issue_grants(0);
    REQUIRE(grants.size() == 1);
    CHECK(grants[0].message.amount == 200'000);
    pair.owner.handle_ask(2, 9, {pair.server, 5, 2, -1, 100'000, 0}, 0);
    pair.owner.handle_ask(2, 9, {pair.server, 5, 3, 1, 0, 0}, 0);
    CHECK(pair.owner.issue_grants(0).empty());
}

TEST_CASE("a new life neither uses nor lends before what its last one promised is over") {
    auto terms = terms_of(0);
    terms.now = 0;
    Quotas owner(terms);
    auto server = owned_by(0);
    owner.set_cold_servers({{server, 5, 400'000}}, 0);
    auto waits = owner.restart_wait();
    CHECK(waits >= terms.lease_duration + owner.use_lifetime());
    CHECK(owner.available(server, waits - 1) == 0);
    owner.handle_ask(1, 9, {server, 5, 1, 100'000, 100'000, 0}, waits - 10);
    CHECK(owner.issue_grants(waits - 10).empty());
    CHECK(owner.available(server, waits) == 400'000);
    CHECK(owner.issue_grants(waits).size() == 1);  // it has waited here
}

TEST_CASE("a loan in use is renewed, raised where more is wanted, and the owner blocks it on") {
    Pair pair;
    REQUIRE(pair.lend(0));
    auto lease = terms_of(0).lease_duration;
    for (Micros now = 0; now < 4 * lease; now += 100 * ms) {
        if (pair.borrower.available(pair.server, now) >= 100'000)
            pair.borrower.consume(pair.server, 100'000, now, now);
        pair.lend(now);
        REQUIRE(pair.borrower.available(pair.server, now) >= 0);
    }
    CHECK(pair.owner.counters().leases_renewed > 2);
    auto shares = pair.borrower.usage(pair.server, 4 * lease - 100 * ms);
    CHECK(shares.borrowed >= 200'000);
    CHECK(pair.owner.usage(pair.server, 4 * lease - 100 * ms).lent >= shares.borrowed);
}

TEST_CASE("what never reached the server is given back, to the use it was told with") {
    Pair pair;
    pair.owner.consume(pair.server, 300'000, 11, 0);
    pair.owner.consume(pair.server, 100'000, 12, 500 * ms);
    pair.owner.refund(pair.server, 100'000, 12, 600 * ms);
    CHECK(pair.owner.available(pair.server, 600 * ms) == 100'000);
    pair.owner.refund(pair.server, 100'000, 99, 600 * ms);
    CHECK(pair.owner.available(pair.server, 600 * ms) == 100'000);
}

TEST_CASE("a server that leaves the list and is back with the same start has not been forgotten") {
    Pair pair;
    pair.owner.consume(pair.server, 400'000, 1, 0);
    pair.owner.set_cold_servers({}, 100 * ms);
    pair.owner.set_cold_servers({{pair.server, 5, 400'000}}, 200 * ms);
    CHECK(pair.owner.available(pair.server, 200 * ms) == 0);
}

// Any number of routers, any order: what all send within a window is at most the whole. The network loses,
// delays and doubles; routers are started again, and stop between the look and the sending.
TEST_CASE("over every window all together send at most the whole, whatever happens") {
    for (unsigned seed = 1; seed <= 40; seed++) {
        std::mt19937 chance(seed);
        auto draw = [&](int most) { return static_cast<int>(chance() % static_cast<unsigned>(most)); };
        int routers = 3 + draw(6), owners = 1 + draw(4);
        CacheId server = 1 + static_cast<CacheId>(draw(1000));
        double whole = 400'000;
        std::vector<Quotas> all;
        std::vector<Generation> lives(static_cast<std::size_t>(routers), 1);
        std::vector<Micros> skew;  // steady clocks start anywhere
        for (RouterIndex i = 0; i < routers; i++) {
            auto terms = terms_of(i, routers, owners);
            terms.seed = chance();
            all.emplace_back(terms);
            skew.push_back(draw(1000) * second);
            all.back().set_cold_servers({{server, 5, whole}}, skew.back());
        }
        struct Flying {
            Micros at;
            RouterIndex from, to;
            Generation life;
            std::optional<Ask> ask;
            std::optional<Grant> grant;
        };
        std::vector<Flying> flying;
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
                quotas.set_cold_servers({{server, 5, whole}}, clock);
                if (draw(4) == 0) {
                    if (quotas.available(server, clock) >= 100'000) {
                        auto until = quotas.consume(server, 100'000, clock, clock);
                        // Mostly written at once, now and then after a stop.
                        pending.push_back({now + (draw(10) ? draw(60) * ms : draw(6000) * ms), until, i});
                    } else {
                        quotas.record_unmet_demand(server, 100'000, 100'000, clock);
                    }
                }
                auto post = [&](Flying one) {
                    if (draw(5) == 0) return;
                    for (int copies = draw(5) ? 1 : 2; copies > 0; copies--) {
                        one.at = now + (draw(20) ? draw(40) * ms : draw(3000) * ms);
                        flying.push_back(one);
                    }
                };
                auto self = static_cast<RouterIndex>(i);
                for (auto& [to, ask] : quotas.due_asks([](RouterIndex) { return true; }, clock))
                    post({0, self, to, lives[i], ask, {}});
                for (auto& [to, grant] : quotas.issue_grants(clock)) post({0, self, to, lives[i], {}, grant});
                if (draw(2000) == 0) {
                    lives[i]++;
                    auto terms = terms_of(self, routers, owners);
                    terms.now = clock;
                    terms.seed = chance();
                    quotas = Quotas(terms);
                    quotas.set_cold_servers({{server, 5, whole}}, clock);
                    std::erase_if(pending, [&](auto& one) { return one.router == i; });
                }
            }
            std::erase_if(flying, [&](auto& one) {
                if (one.at > now) return false;
                auto to = static_cast<std::size_t>(one.to);
                if (one.ask) all[to].handle_ask(one.from, one.life, *one.ask, now + skew[to]);
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
            REQUIRE(sum <= whole + 1);
        }
    }
}

// ---- judgements

TEST_CASE("two witnesses make a judgement, one does not, and age makes it fade") {
    HealthReports health_reports;
    Complaint slow{5, 0, 3, 0, 6.0, 0};
    health_reports.receive(1, 0, 1, {4, 1}, slow, noon_at);
    CHECK(health_reports.aggregate(5, 0, noon_at).samples == 0);
    health_reports.receive(2, 1, 1, {4, 1}, slow, noon_at);
    auto fresh = health_reports.aggregate(5, 0, noon_at);
    CHECK(fresh.samples == 6);
    CHECK(fresh.slowdown == 6.0);
    auto later = health_reports.aggregate(5, 0, noon_at + HealthReports::half_life);
    CHECK(later.samples == doctest::Approx(3));
    CHECK(health_reports.aggregate(5, 0, noon_at + HealthReports::report_lifetime).samples == 0);
    CHECK(health_reports.aggregate(5, 1, noon_at).samples == 0);  // it was started again since
    health_reports.expire(noon_at + HealthReports::report_lifetime);
    CHECK(health_reports.size() == 0);
}

TEST_CASE("witnesses in different zones count more than as many in one") {
    HealthReports one_zone, many;
    Complaint bad{5, 0, 4, 1, 0, 0};
    for (RouterIndex i = 0; i < 4; i++) {
        one_zone.receive(i, 0, 1, {4, 1}, bad, noon_at);
        many.receive(i, i, 1, {4, 1}, bad, noon_at);
    }
    CHECK(many.aggregate(5, 0, noon_at).samples == 16);
    CHECK(one_zone.aggregate(5, 0, noon_at).samples == 8);
}

TEST_CASE("a witness that alone complains of most servers is itself doubted") {
    HealthReports health_reports;
    Complaint bad{5, 0, 4, 1, 0, 0};
    health_reports.receive(1, 0, 1, {5, 5}, bad, noon_at);
    health_reports.receive(2, 1, 1, {5, 1}, bad, noon_at);
    CHECK(health_reports.aggregate(5, 0, noon_at).samples == 0);
    health_reports.receive(3, 2, 1, {5, 1}, bad, noon_at);
    CHECK(health_reports.aggregate(5, 0, noon_at).samples == 12);  // beside two others it is heard
}

TEST_CASE("one witness can't make a server as slow as it likes") {
    HealthReports health_reports;
    health_reports.receive(1, 0, 1, {5, 1}, {5, 0, 4, 0, 3, 0}, noon_at);
    health_reports.receive(2, 1, 1, {5, 1}, {5, 0, 4, 0, 3.2, 0}, noon_at);
    health_reports.receive(3, 2, 1, {5, 1}, {5, 0, 4, 0, 1e5, 0}, noon_at);
    CHECK(health_reports.aggregate(5, 0, noon_at).slowdown == 3.2);
}

TEST_CASE("hearsay speaks only where own samples are few, and own samples beat it") {
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
    server->peer_report = {5, 1, 9};  // too few
    CHECK(ejection_reason(module, *server, noon) == nullptr);
}

TEST_CASE("a location's last path stays, whatever others say") {
    auto module = router();
    for (CacheId id : {1, 2, 3}) find_server(module, id)->peer_report = {20, 1, 20};
    for (auto& server : module.servers) server.last_half_open_probe_at = noon;
    auto handle = module.add_lookup(lookup(1), noon);
    auto answer = handle.first_attempt(noon + 1);
    CHECK(answer.final_result == FinalResult::None);
    CHECK(answer.send);
}

TEST_CASE("a witness tells of what stands out by two samples, beside its peers") {
    auto module = router();
    for (CacheId id : {1, 2, 3})
        for (int i = 0; i < 2; i++) {
            find_server(module, id)->slowness.push_back({noon, id == 2 ? 9.0 : 1.2});
            find_server(module, id)->failures.push_back({noon, 0});
        }
    auto told = module.health_reports(noon);
    REQUIRE(told.size() == 1);
    CHECK(told[0].server == 2);
    CHECK(told[0].slowdown == doctest::Approx(7.5));
    CHECK(module.measured_servers(noon) == 3);
    // What all share is no complaint.
    for (CacheId id : {1, 3})
        for (auto& sample : find_server(module, id)->slowness) sample.value = 9;
    CHECK(module.health_reports(noon).empty());
}

// ---- counts

TEST_CASE("counts never fall under the own ones and never rise over what all were asked") {
    constexpr int routers = 40;
    std::vector<RequestCounts> all;
    all.reserve(routers);
    for (RouterIndex i = 0; i < routers; i++) all.emplace_back(i, routers);
    std::mt19937 chance(5);
    std::map<std::uint64_t, std::set<RouterIndex>> truly;
    for (int step = 0; step < 4000; step++) {
        auto who = static_cast<RouterIndex>(chance() % routers);
        std::uint64_t name = 1 + chance() % 50;
        all[static_cast<std::size_t>(who)].count_request(name, noon_at);
        truly[name].insert(who);
        auto& from = all[chance() % routers];
        auto& to = all[chance() % routers];
        for (auto& count : from.next_to_send(5, noon_at)) {
            to.receive(count, noon_at);
            to.receive(count, noon_at);
        }
        for (std::uint64_t probe = 1; probe <= 50; probe += 7) {
            auto elsewhere = to.other_routers_asked(probe, noon_at);
            REQUIRE(elsewhere >= 0);
            REQUIRE(elsewhere <= static_cast<int>(truly[probe].size()));
        }
    }
    int told = 0;
    for (std::uint64_t name = 1; name <= 50; name++) told += all[0].other_routers_asked(name, noon_at) >= 4;
    CHECK(told > 25);
}

TEST_CASE("an epoch that is over counts half, then nothing, and counts of a life long over are dropped") {
    RequestCounts request_counts(0, 40);
    std::uint32_t six = 0;
    for (RouterIndex i = 1; std::popcount(six) < 6; i++)
        if (RequestCounts::bit_of(i) != RequestCounts::bit_of(0)) six |= RequestCounts::bit_of(i);
    auto epoch = RequestCounts::epoch_of(noon_at);
    CHECK(request_counts.receive({7, epoch, six}, noon_at));
    CHECK(!request_counts.receive({7, epoch, six}, noon_at));
    CHECK(request_counts.other_routers_asked(7, noon_at) == 6);
    CHECK(request_counts.count_request(8, noon_at + RequestCounts::epoch_duration) == 0);
    CHECK(request_counts.other_routers_asked(7, noon_at + RequestCounts::epoch_duration) == 3);
    CHECK(!request_counts.receive({9, epoch - 1, six}, noon_at + RequestCounts::epoch_duration));
    CHECK(request_counts.other_routers_asked(9, noon_at + RequestCounts::epoch_duration) == 0);
    request_counts.count_request(8, noon_at + 2 * RequestCounts::epoch_duration);
    CHECK(request_counts.other_routers_asked(7, noon_at + 2 * RequestCounts::epoch_duration) == 0);
}

TEST_CASE("names are bounded, and those that change a draw stay") {
    RequestCounts request_counts(0, 40);
    auto epoch = RequestCounts::epoch_of(noon_at);
    auto other = RequestCounts::bit_of(1) == RequestCounts::bit_of(0) ? RequestCounts::bit_of(2)
                                                                      : RequestCounts::bit_of(1);
    for (std::uint64_t i = 1; i <= 100; i++) request_counts.receive({i, epoch, other}, noon_at);
    for (std::uint64_t i = 1000; i < 1000 + 3 * RequestCounts::max_names; i++)
        request_counts.count_request(i, noon_at);
    CHECK(request_counts.size() <= RequestCounts::max_names);
    for (std::uint64_t i = 1; i <= 100; i++) REQUIRE(request_counts.other_routers_asked(i, noon_at) == 1);
}

TEST_CASE("p follows how much of the location is heard, without a jump") {
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

// ---- what rides on a datagram

TEST_CASE("a load is read as it was written, within its room") {
    Payload load;
    load.configuration_hash = 77;
    load.digest = 88;
    load.facts = {{FactSubject::Server, 5, 0, true, noon_ms - 300},
                  {FactSubject::Server, 6, noon_ms - 12'345, false, noon_ms},
                  {FactSubject::Object, ~0ULL, noon_ms - 50, false, noon_ms - 100},
                  {FactSubject::Group, 0, noon_ms + 20, false, noon_ms}};
    load.asks = {{9, 10, 11, 100'000, 50'000, 12}};
    load.grants = {{9, 11, 100'000}};
    load.breadth = {20, 2};
    load.complaints = {{5, 3, 4, 0.25, 3.5, 700 * ms}};
    load.counts = {{123, 40, 0xf0}, {124, 39, 3}};
    auto written = encode(load, 250, noon_at);
    CHECK(written.bytes.size() <= 250);
    CHECK(written.facts == 4);
    CHECK(written.counts == 2);
    auto read = decode(written.bytes, noon_at);
    REQUIRE(read);
    CHECK(read->facts == load.facts);
    CHECK(read->asks == load.asks);
    CHECK(read->grants == load.grants);
    CHECK(read->complaints == load.complaints);
    CHECK(read->counts == load.counts);
    CHECK(read->breadth.measured == 20);
    for (std::size_t room = 0; room < 250; room++) {
        auto less = encode(load, room, noon_at);
        REQUIRE(less.bytes.size() <= room);
        REQUIRE((less.bytes.empty() || decode(less.bytes, noon_at)));
    }
}

TEST_CASE("loads of any bytes cost only themselves") {
    std::mt19937 chance(3);
    Payload load;
    load.facts = {{FactSubject::Object, 7, noon_ms, false, noon_ms}};
    load.asks = {{9, 10, 11, 100'000, 50'000, 12}};
    auto good = encode(load, 250, noon_at).bytes;
    for (int i = 0; i < 20'000; i++) {
        auto bytes = good;
        for (int flips = 1 + static_cast<int>(chance() % 4); flips > 0; flips--)
            bytes[chance() % bytes.size()] = static_cast<char>(chance());
        if (auto read = decode(bytes, noon_at))
            for (auto& fact : read->facts) REQUIRE(fact.time < 1ULL << 53);
    }
    CHECK(!decode("\xff\xff", noon_at));
}

// ---- the operators' file

TEST_CASE("what is shared is named in the operators' file, with peers, and faults are told") {
    auto good = operate::parse(
        R"({"peers": {}, "shared": {"rights": {"owners": 6, "loan_ms": 900}, "counts": false}})");
    CHECK(good.errors.empty());
    REQUIRE(good.config.shared);
    CHECK(good.config.shared->lease_grantors == 6);
    CHECK(good.config.shared->lease_duration == 900 * ms);
    CHECK(!good.config.shared->counts);
    CHECK(good.config.shared->facts);
    CHECK(!operate::parse(R"({"peers": {}, "shared": {"rights": false}})").config.shared->quotas);
    CHECK(operate::parse(R"({"shared": {}})").errors.size() == 1);
    CHECK(operate::parse(R"({"peers": {}, "shared": {"rights": {"owners": 0}}})").errors.size() == 1);
    CHECK(operate::parse(R"({"peers": {}, "shared": {"rights": {"owners": 2.5}}})").errors.size() == 1);
    CHECK(operate::parse(R"({"peers": {}, "shared": {"budgets": {}}})").errors.size() == 1);
    CHECK(!operate::parse("{}").config.shared);
}

TEST_CASE("the onlooker's budget counts what came within a window") {
    rig::ColdTerms terms;  // 8 lookups a window at the start, 80 at the end
    std::vector<std::int64_t> seen(8, 1000);
    CHECK(rig::judge(seen, 0, 5'000'000, terms).exceeded == 0);
    seen.push_back(1000);
    CHECK(rig::judge(seen, 0, 5'000'000, terms).exceeded == 1);
    seen.back() = 2'000'000;
    CHECK(rig::judge(seen, 0, 5'000'000, terms).exceeded == 0);
}

// What a router with a fast clock sent in the last moments of a server's cold time was bounded by nothing: by
// its own clock that time was over.
TEST_CASE("a cold budget holds to the end of the cold time by the slowest clock that is allowed") {
    constexpr Micros ahead = 250 * ms;
    peers::MembershipConfig start;
    start.self = 0;
    start.routers = 12;
    start.now = noon_at;
    peers::Membership membership(start);
    ExchangeOptions terms;
    terms.settings = rig::shared_site();
    terms.now = {noon_at, 1000 * second};
    Exchange exchange(membership, terms);
    feed::Endpoint parent;
    parent.entry = {101, EndpointState::Ready, 4, terms.settings.parent_kind, 0, 0, noon_at};
    auto at = [&](Micros age) { return ClockReadings{noon_at + age, 1000 * second + age}; };
    auto is_shared = [&](Micros age) {
        exchange.tick(1, at(age));
        return exchange.available_quota(101, at(age)) >= 0;
    };
    exchange.apply_listing(listing({parent}), at(0));
    const auto cold = terms.settings.parent_cold_period;
    CHECK(exchange.parent_cold() == cold + ahead);
    CHECK(is_shared(cold - ms));
    CHECK(is_shared(cold + ahead - ms));
    CHECK(!is_shared(cold + ahead));
    // A list that tells the server anew, in that moment, changes nothing.
    exchange.apply_listing(listing({parent}), at(cold + ahead - ms));
    CHECK(is_shared(cold + ahead - ms));
    exchange.apply_listing(listing({parent}), at(cold + ahead));
    CHECK(!is_shared(cold + ahead));
}

TEST_CASE("where no budget is shared, a server's cold time is that of the settings") {
    peers::MembershipConfig start;
    start.self = 0;
    start.routers = 12;
    start.now = noon_at;
    for (bool links : {false, true}) {
        peers::Membership membership(start);
        ExchangeOptions terms;
        terms.settings = rig::shared_site();
        terms.settings.weights_are_link_rates = links;
        terms.features.quotas = !links;
        terms.now = {noon_at, 1000 * second};
        Exchange exchange(membership, terms);
        CHECK(exchange.parent_cold() == terms.settings.parent_cold_period);
    }
}

// ---- in the module

TEST_CASE("a cold server gets what the right allows, used up by what is sent") {
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
    parent->quota = -1;  // not shared: its own part of the whole
    CHECK(!within_cold_budget(module, *parent, 1000 * work, noon + 1));
}
