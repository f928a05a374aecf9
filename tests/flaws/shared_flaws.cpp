// Runs a small scene of the shared state for each guard, in simulated time: it has to pass with the guard and
// to fail without it, otherwise it proves nothing. The guards are removed by tests/flaws/seam/hooks.patch.
#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <array>
#include <boost/random/uniform_01.hpp>
#include <functional>

#include "rig/fleet/budget.hpp"
#include "rig/partner.hpp"
#include "shared/flaw.hpp"

using namespace quillgrade;
using namespace quillgrade::shared;
using rig::SharedFleet;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms, noon_us = 1'764'576'000 * second;
constexpr std::uint64_t noon_ms = noon_us / ms;
constexpr CacheId parent = 101;

// A fleet whose routers all have lookups for a parent that has just started. Records what reaches the parent.
class Scene {
public:
    Scene(int routers, std::uint64_t seed,
          rig::LinkConditions conditions = {0.05, 3 * ms, 24 * ms, 0.002, 0.02}, Micros lease = 2 * second,
          double lookups_per_s = 20)
        : lookups_per_s(lookups_per_s), chance(static_cast<std::uint32_t>(seed)) {
        auto& terms = rig::partner_terms();
        terms.exchange = {};
        terms.exchange.settings = rig::shared_site();
        terms.exchange.lease_duration = lease;
        terms.steady = [this] { return fleet ? fleet->now() : noon_us; };
        peers::MembershipSettings rates;
        rates.bytes_per_s = 600;
        fleet = std::make_unique<SharedFleet>(routers, 1, seed, rates, conditions);
        fleet->start_all();
        fleet->run_until(fleet->now() + 15 * second);
        started = fleet->now();
        for (int i = 0; i < routers; i++) list_parent(i);
    }
    void list_parent(int router) {
        feed::Endpoint endpoint;
        endpoint.entry = {parent, EndpointState::Ready, 4, 1, 0, 0, started};
        fleet->visit(router, [&](rig::Partner& one) {
            one.exchange().apply_listing({false, {endpoint}}, one.times(fleet->clock(router)));
        });
    }
    void restart(int router) {
        fleet->kill(router);
        std::erase_if(late, [&](auto& one) { return one.router == router; });
        fleet->start(router);
        list_parent(router);
    }
    // `late_share`: the share of sends that are written only after a stop of up to three seconds.
    void run(Micros time, double late_share = 0) {
        boost::random::uniform_01<double> unit;
        for (auto until = fleet->now() + time; fleet->now() < until;) {
            fleet->run_until(fleet->now() + 2 * ms);
            for (int i = 0; i < fleet->count(); i++) {
                if (unit(chance) >= lookups_per_s * 0.002 || !fleet->runs(i)) continue;
                Micros write_until = 0;
                fleet->visit(
                    i, [&](rig::Partner& one) { write_until = one.want(parent, work, fleet->clock(i)); });
                if (write_until == 0) continue;
                auto delay = unit(chance) < late_share ? static_cast<Micros>(unit(chance) * 3e6) : 0;
                late.push_back({i, fleet->now() + delay, write_until});
            }
            std::erase_if(late, [&](auto& one) {
                if (one.at > fleet->now()) return false;
                if (fleet->now() <= one.write_until) seen.push_back(fleet->now());
                return true;
            });
        }
    }
    rig::ColdVerdict verdict() const {
        rig::ColdTerms terms;
        terms.cold = rig::shared_site().parent_cold_period;
        return rig::judge(seen, started, fleet->now(), terms, 0);
    }
    bool holds() const {
        auto judged = verdict();
        MESSAGE(judged.lookups, " lookups, ", judged.most_share, " of the budget in the fullest window, ",
                judged.used_share, " used");
        return judged.exceeded == 0 && judged.lookups > 20;
    }
    std::vector<RouterIndex> grantors() const {
        QuotaOptions options;
        options.routers = fleet->count();
        return Quotas(options).grantors_of(parent, static_cast<std::uint64_t>(started / ms));
    }

    static constexpr double work = 100'000;
    std::unique_ptr<SharedFleet> fleet;
    Micros started = 0;

private:
    struct Late {
        int router;
        Micros at, write_until;
    };
    double lookups_per_s;
    boost::random::mt19937 chance;
    std::vector<Late> late;
    std::vector<Micros> seen;
};

bool undisturbed() {
    Scene scene(12, 3);
    scene.run(8 * second);
    return scene.holds();
}

bool zones_cut_while_lent() {
    Scene scene(12, 5);
    scene.run(3 * second);
    for (int a = 0; a < 12; a++)
        for (int b = 0; b < 12; b++)
            if (a % 3 != b % 3) scene.fleet->cut(a, b, true);
    scene.run(6 * second);
    return scene.holds();
}

bool grantors_restarted() {
    Scene scene(12, 7);
    scene.run(3 * second);
    for (auto grantor : scene.grantors()) scene.restart(grantor);
    scene.run(1 * second);
    for (auto grantor : scene.grantors()) scene.restart(grantor);
    scene.run(5 * second);
    return scene.holds();
}

// A grantor and a borrower that exchange messages directly.
struct GrantorAndBorrower {
    explicit GrantorAndBorrower(double budget) {
        QuotaOptions options;
        options.routers = 4;
        options.grantors = 1;
        options.now = -1000 * second;
        while (Quotas(options).grantors_of(server, 5)[0] != 0) server++;
        lease = options.lease_duration;
        grantor = std::make_unique<Quotas>(options);
        options.self = 1;
        options.seed = 2;
        borrower = std::make_unique<Quotas>(options);
        for (auto* quotas : {grantor.get(), borrower.get()})
            quotas->set_cold_servers({{server, 5, budget}}, 0);
    }
    Grant borrow_one_lookup() {
        borrower->record_unmet_demand(server, 100'000, 100'000, 0);
        grantor->handle_ask(1, 1, borrower->due_asks([](RouterIndex) { return true; }, 0).at(0).body, 0);
        return grantor->issue_grants(0).at(0).body;
    }
    CacheId server = 1;
    Micros lease = 0;
    std::unique_ptr<Quotas> grantor, borrower;
};

bool grant_delivered_twice() {
    GrantorAndBorrower pair(400'000);
    auto grant = pair.borrow_one_lookup();
    pair.borrower->handle_grant(0, grant, 0);
    pair.borrower->handle_grant(0, grant, 0);
    return pair.borrower->available(pair.server, 0) + pair.grantor->available(pair.server, 0) <= 400'000;
}

// The borrower checks its quota, is stopped until long after its lease has ended, and continues, while the
// grantor uses the amount again.
bool stopped_before_sending() {
    GrantorAndBorrower pair(100'000);
    pair.borrower->handle_grant(0, pair.borrow_one_lookup(), 0);
    auto until = pair.borrower->consume(pair.server, 100'000, 1, second);
    auto later = pair.lease + pair.grantor->use_lifetime() + second;
    bool grantor_sends = pair.grantor->available(pair.server, later) >= 100'000;
    bool borrower_sends = later + 10 * ms <= until;
    return grantor_sends && !borrower_sends;
}

// The borrower uses the last moment of a lease, and the grantor wants the amount right after its end.
bool last_use_of_lease() {
    GrantorAndBorrower pair(100'000);
    pair.borrower->handle_grant(0, pair.borrow_one_lookup(), 0);
    auto last = pair.lease - 60 * ms;
    bool used = pair.borrower->available(pair.server, last) >= 100'000;
    pair.borrower->consume(pair.server, 100'000, 1, last);
    return used && pair.grantor->available(pair.server, pair.lease + 10 * ms) < 100'000;
}

// A grant that is still in flight reaches the next generation of the borrower.
bool grant_to_earlier_generation() {
    QuotaOptions options;
    options.routers = 4;
    options.grantors = 1;
    options.now = -1000 * second;
    CacheId server = 1;
    while (Quotas(options).grantors_of(server, 5)[0] != 0) server++;
    auto made = [&](RouterIndex self) {
        options.self = self;
        options.seed = static_cast<std::uint32_t>(self + 1);
        Quotas quotas(options);
        quotas.set_cold_servers({{server, 5, 100'000}}, 0);
        return quotas;
    };
    auto grantor = made(0), first = made(1);
    first.record_unmet_demand(server, 100'000, 100'000, 0);
    auto asks = first.due_asks([](RouterIndex) { return true; }, 0);
    grantor.handle_ask(1, 1, asks.at(0).body, 0);
    auto grant = grantor.issue_grants(0).at(0).body;
    // The grant arrives when the grantor has the amount back already.
    auto late = options.lease_duration + grantor.use_lifetime() + 60 * ms;
    options.seed = 99;
    auto restarted = made(1);
    restarted.handle_grant(0, grant, late);
    return restarted.available(server, late) + grantor.available(server, late) <= 100'000;
}

bool excessive_grant() {
    GrantorAndBorrower pair(400'000);
    pair.borrower->record_unmet_demand(pair.server, 100'000, 100'000, 0);
    auto ask = pair.borrower->due_asks([](RouterIndex) { return true; }, 0).at(0).body;
    pair.borrower->handle_grant(0, {pair.server, ask.number, 1e9}, 0);
    return pair.borrower->available(pair.server, 0) <= 100'000;
}

bool other_settings() {
    // Half of the routers are configured with another number of grantors.
    Scene scene(12, 15);
    auto& terms = rig::partner_terms().exchange;
    terms.grantors = 3;
    for (int i = 0; i < 12; i += 2) scene.restart(i);
    terms.grantors = 4;
    for (int i = 0; i < 12; i++) scene.list_parent(i);
    scene.run(8 * second);
    bool crossed = false;
    for (int i = 0; i < 12; i++) {
        auto& one = *scene.fleet->protocol(i);
        for (auto to : one.exchange().quota_usage(parent, one.times(scene.fleet->clock(i))).borrowers)
            crossed |= to % 2 != i % 2;
    }
    return scene.fleet->protocol(1)->exchange().counters().configuration_mismatches > 0 && !crossed;
}

bool disconnected_router_keeps_closed() {
    ReplicatedFacts facts(6 * second, 10);
    feed::Endpoint one, other;
    one.entry = {1, EndpointState::Ready, 4, 0, 0, 1, 0};
    other.entry = {2, EndpointState::Ready, 4, 0, 0, 1, 0};
    facts.apply_listing({true, {one, other}}, noon_us);
    facts.receive({FactSubject::Server, 1, 0, true, noon_ms}, noon_us);
    facts.tick(0, noon_us);
    return facts.tick(0, noon_us + 60 * second).opened == 0;
}

bool next_process_is_open() {
    ReplicatedFacts facts(6 * second, 10);
    feed::Endpoint one, other;
    one.entry = {1, EndpointState::Ready, 4, 0, 0, 1, noon_us};
    other.entry = {2, EndpointState::Ready, 4, 0, 0, 1, 0};
    facts.apply_listing({true, {one, other}}, noon_us);
    facts.receive({FactSubject::Server, 1, noon_ms, true, noon_ms}, noon_us);
    facts.tick(0, noon_us);
    one.entry.started_at = noon_us + 3 * second;
    return facts.apply_listing({true, {one, other}}, noon_us + 4 * second).caches[0].entry.state ==
           EndpointState::Ready;
}

bool later_purge_stays() {
    ReplicatedFacts facts(6 * second, 10);
    facts.receive({FactSubject::Object, 7, noon_ms, false, noon_ms}, noon_us);
    facts.receive({FactSubject::Object, 7, noon_ms - 900, false, noon_ms}, noon_us);
    return facts.find(FactSubject::Object, 7)->time == noon_ms;
}

bool single_reporter_is_not_conclusive() {
    HealthReports health_reports;
    health_reports.receive(1, 0, 1, {5, 1}, {5, 0, 4, 1, 0, 0}, noon_us);
    return health_reports.aggregate(5, 0, noon_us).samples == 0;
}

bool reporter_of_all_is_doubted() {
    // A reporter whose own link is cut complains of all servers, and another one of a single server.
    HealthReports health_reports;
    for (CacheId server = 1; server <= 5; server++)
        health_reports.receive(1, 0, 1, {5, 5}, {server, 0, 4, 1, 0, 0}, noon_us);
    health_reports.receive(2, 0, 1, {5, 1}, {3, 0, 2, 1, 0, 0}, noon_us);
    return health_reports.aggregate(3, 0, noon_us).samples == 0;
}

bool old_counts_are_dropped() {
    RequestCounts request_counts(0, 40);
    request_counts.count_lookup(1, noon_us);
    request_counts.receive({7, RequestCounts::epoch_of(noon_us) - 5, 0xffffffff}, noon_us);
    return request_counts.other_routers_asked(7, noon_us) == 0;
}

struct Guard {
    Flaw flaw;
    const char* name;
    std::function<bool()> holds;
};
const auto guards = std::to_array<Guard>({
    {Flaw::LoanWithoutEnd, "a lease ends for the borrower", zones_cut_while_lent},
    {Flaw::LenderKeepsUsing, "a lent amount is blocked for the grantor", undisturbed},
    {Flaw::NewLifeAtOnce, "a restarted router waits", grantors_restarted},
    {Flaw::LoanTwice, "a duplicated grant counts once", grant_delivered_twice},
    {Flaw::AnyGrant, "a grant is for the generation that asked", grant_to_earlier_generation},
    {Flaw::NotLookedAgain, "the quota is checked again where it is used", stopped_before_sending},
    {Flaw::LentAgainAtOnce, "a lease's last use still counts after its end", last_use_of_lease},
    {Flaw::AmountsBelieved, "granted amounts are capped at what was asked for", excessive_grant},
    {Flaw::FactsLapseDeaf, "a router without its coordinator keeps the facts that it received",
     disconnected_router_keeps_closed},
    {Flaw::StartIgnored, "a server's next process is open", next_process_is_open},
    {Flaw::LoneWitness, "a single reporter is not conclusive", single_reporter_is_not_conclusive},
    {Flaw::LiarBelieved, "a reporter that complains of all servers is doubted", reporter_of_all_is_doubted},
    {Flaw::OldCounts, "old counts are dropped", old_counts_are_dropped},
    {Flaw::SeenAlive, "the budget is not divided by the routers that seem alive", zones_cut_while_lent},
    {Flaw::OthersTermsIgnored, "only routers with the same settings lend to each other", other_settings},
    {Flaw::PurgesBackwards, "the later purge stays", later_purge_stays},
});

}  // namespace

TEST_CASE("each scene passes with its guard and fails without it") {
    CHECK(std::size(guards) == static_cast<std::size_t>(Flaw::Last) - 1);
    for (auto& guard : guards) {
        INFO(guard.name);
        planted() = Flaw::None;
        CHECK(guard.holds());
        planted() = guard.flaw;
        CHECK(!guard.holds());
        planted() = Flaw::None;
    }
}

TEST_CASE("most of the budget is used, and never exceeded, where all routers hear each other") {
    Scene scene(40, 17, {0.05, 3 * ms, 24 * ms, 0.002, 0.02}, 3 * second, 40);
    scene.run(9 * second);
    auto judged = scene.verdict();
    CHECK(judged.exceeded == 0);
    CHECK(judged.used_share > 0.6);
}
