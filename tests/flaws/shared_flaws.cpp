// What the routers share, in simulated time and by small scenes: once as it is, and once with each guard
// taken out. A scene that passes has to fail without its guard, else it proves nothing. Built with
// QUILLGRADE_FLAWS.
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

constexpr Micros ms = 1000, second = 1000 * ms, noon_at = 1'764'576'000 * second;
constexpr std::uint64_t noon_ms = noon_at / ms;
constexpr CacheId parent = 101;

// A fleet whose routers all want a parent that has just started; what it got is judged from outside.
class Scene {
public:
    Scene(int routers, std::uint64_t seed,
          rig::LinkConditions conditions = {0.05, 3 * ms, 24 * ms, 0.002, 0.02}, Micros lease = 2 * second,
          double per_s = 20)
        : per_s(per_s), chance(static_cast<std::uint32_t>(seed)) {
        auto& terms = rig::partner_terms();
        terms.exchange = {};
        terms.exchange.settings = rig::shared_site();
        terms.exchange.lease_duration = lease;
        terms.steady = [this] { return fleet ? fleet->now() : noon_at; };
        peers::MembershipSettings rates;
        rates.bytes_per_s = 600;
        fleet = std::make_unique<SharedFleet>(routers, 1, seed, rates, conditions);
        fleet->start_all();
        fleet->run_until(fleet->now() + 15 * second);
        started = fleet->now();
        for (int i = 0; i < routers; i++) tell(i);
    }
    void tell(int router) {
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
        tell(router);
    }
    // `late_share`: of what was decided, is written only after a stop of up to three seconds.
    void go(Micros time, double late_share = 0) {
        boost::random::uniform_01<double> unit;
        for (auto until = fleet->now() + time; fleet->now() < until;) {
            fleet->run_until(fleet->now() + 2 * ms);
            for (int i = 0; i < fleet->count(); i++) {
                if (unit(chance) >= per_s * 0.002 || !fleet->runs(i)) continue;
                Micros good = 0;
                fleet->visit(i, [&](rig::Partner& one) { good = one.want(parent, work, fleet->clock(i)); });
                if (good == 0) continue;
                auto delay = unit(chance) < late_share ? static_cast<Micros>(unit(chance) * 3e6) : 0;
                late.push_back({i, fleet->now() + delay, good});
            }
            std::erase_if(late, [&](auto& one) {
                if (one.at > fleet->now()) return false;
                if (fleet->now() <= one.good) seen.push_back(fleet->now());
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
    std::vector<RouterIndex> owners() const {
        QuotaOptions terms;
        terms.routers = fleet->count();
        return Quotas(terms).grantors_of(parent, static_cast<std::uint64_t>(started / ms));
    }

    static constexpr double work = 100'000;
    std::unique_ptr<SharedFleet> fleet;
    Micros started = 0;

private:
    struct Late {
        int router;
        Micros at, good;
    };
    double per_s;
    boost::random::mt19937 chance;
    std::vector<Late> late;
    std::vector<Micros> seen;
};

bool plain() {
    Scene scene(12, 3);
    scene.go(8 * second);
    return scene.holds();
}

bool cut_while_lent() {
    Scene scene(12, 5);
    scene.go(3 * second);
    for (int a = 0; a < 12; a++)
        for (int b = 0; b < 12; b++)
            if (a % 3 != b % 3) scene.fleet->cut(a, b, true);
    scene.go(6 * second);
    return scene.holds();
}

bool lenders_killed() {
    Scene scene(12, 7);
    scene.go(3 * second);
    for (auto owner : scene.owners()) scene.restart(owner);
    scene.go(1 * second);
    for (auto owner : scene.owners()) scene.restart(owner);
    scene.go(5 * second);
    return scene.holds();
}

// An owner and one who borrows from it, with nothing between them.
struct Two {
    explicit Two(double whole) {
        QuotaOptions terms;
        terms.routers = 4;
        terms.grantors = 1;
        terms.now = -1000 * second;
        while (Quotas(terms).grantors_of(server, 5)[0] != 0) server++;
        lease = terms.lease_duration;
        owner = std::make_unique<Quotas>(terms);
        terms.self = 1;
        terms.seed = 2;
        borrower = std::make_unique<Quotas>(terms);
        for (auto* one : {owner.get(), borrower.get()}) one->set_cold_servers({{server, 5, whole}}, 0);
    }
    Grant lend() {
        borrower->record_unmet_demand(server, 100'000, 100'000, 0);
        owner->handle_ask(1, 1, borrower->due_asks([](RouterIndex) { return true; }, 0).at(0).message, 0);
        return owner->issue_grants(0).at(0).message;
    }
    CacheId server = 1;
    Micros lease = 0;
    std::unique_ptr<Quotas> owner, borrower;
};

bool doubled() {
    Two two(400'000);
    auto grant = two.lend();
    two.borrower->handle_grant(0, grant, 0);
    two.borrower->handle_grant(0, grant, 0);
    return two.borrower->available(two.server, 0) + two.owner->available(two.server, 0) <= 400'000;
}

// The borrower looks, is stopped until long after its lease, and goes on; the owner uses what it has back.
bool stopped_before_sending() {
    Two two(100'000);
    two.borrower->handle_grant(0, two.lend(), 0);
    auto until = two.borrower->consume(two.server, 100'000, 1, second);
    auto later = two.lease + two.owner->use_lifetime() + second;
    bool owner_sends = two.owner->available(two.server, later) >= 100'000;
    bool borrower_sends = later + 10 * ms <= until;
    return owner_sends && !borrower_sends;
}

// The last moment of a lease is used, and its owner wants the same right after its end.
bool loans_that_move() {
    Two two(100'000);
    two.borrower->handle_grant(0, two.lend(), 0);
    auto last = two.lease - 60 * ms;
    bool used = two.borrower->available(two.server, last) >= 100'000;
    two.borrower->consume(two.server, 100'000, 1, last);
    return used && two.owner->available(two.server, two.lease + 10 * ms) < 100'000;
}

// A lease that is still under way reaches a new life of who asked.
bool loans_to_an_earlier_life() {
    QuotaOptions terms;
    terms.routers = 4;
    terms.grantors = 1;
    terms.now = -1000 * second;
    CacheId server = 1;
    while (Quotas(terms).grantors_of(server, 5)[0] != 0) server++;
    auto made = [&](RouterIndex self) {
        terms.self = self;
        terms.seed = static_cast<std::uint32_t>(self + 1);
        Quotas quotas(terms);
        quotas.set_cold_servers({{server, 5, 100'000}}, 0);
        return quotas;
    };
    auto owner = made(0), first = made(1);
    first.record_unmet_demand(server, 100'000, 100'000, 0);
    auto asks = first.due_asks([](RouterIndex) { return true; }, 0);
    owner.handle_ask(1, 1, asks.at(0).message, 0);
    auto grant = owner.issue_grants(0).at(0).message;
    // It comes when the owner has it back already.
    auto late = terms.lease_duration + owner.use_lifetime() + 60 * ms;
    terms.seed = 99;
    auto next = made(1);
    next.handle_grant(0, grant, late);
    return next.available(server, late) + owner.available(server, late) <= 100'000;
}

bool amounts_invented() {
    Two two(400'000);
    two.borrower->record_unmet_demand(two.server, 100'000, 100'000, 0);
    auto ask = two.borrower->due_asks([](RouterIndex) { return true; }, 0).at(0).message;
    two.borrower->handle_grant(0, {two.server, ask.number, 1e9}, 0);
    return two.borrower->available(two.server, 0) <= 100'000;
}

bool other_amounts() {
    // Half of the routers were told to have other owners.
    Scene scene(12, 15);
    auto& terms = rig::partner_terms().exchange;
    terms.grantors = 3;
    for (int i = 0; i < 12; i += 2) scene.restart(i);
    terms.grantors = 4;
    for (int i = 0; i < 12; i++) scene.tell(i);
    scene.go(8 * second);
    bool crossed = false;
    for (int i = 0; i < 12; i++) {
        auto& one = *scene.fleet->protocol(i);
        for (auto to : one.exchange().quota_usage(parent, one.times(scene.fleet->clock(i))).borrowers)
            crossed |= to % 2 != i % 2;
    }
    return scene.fleet->protocol(1)->exchange().counters().configuration_mismatches > 0 && !crossed;
}

bool deaf_keeps_closed() {
    ReplicatedFacts facts(6 * second, 10);
    feed::Endpoint one, other;
    one.entry = {1, EndpointState::Ready, 4, 0, 0, 1, 0};
    other.entry = {2, EndpointState::Ready, 4, 0, 0, 1, 0};
    facts.apply_listing({true, {one, other}}, noon_at);
    facts.receive({FactSubject::Server, 1, 0, true, noon_ms}, noon_at);
    facts.tick(0, noon_at);
    return facts.tick(0, noon_at + 60 * second).opened == 0;
}

bool next_process_is_open() {
    ReplicatedFacts facts(6 * second, 10);
    feed::Endpoint one, other;
    one.entry = {1, EndpointState::Ready, 4, 0, 0, 1, noon_at};
    other.entry = {2, EndpointState::Ready, 4, 0, 0, 1, 0};
    facts.apply_listing({true, {one, other}}, noon_at);
    facts.receive({FactSubject::Server, 1, noon_ms, true, noon_ms}, noon_at);
    facts.tick(0, noon_at);
    one.entry.started_at = noon_at + 3 * second;
    return facts.apply_listing({true, {one, other}}, noon_at + 4 * second).caches[0].entry.state ==
           EndpointState::Ready;
}

bool later_purge_stays() {
    ReplicatedFacts facts(6 * second, 10);
    facts.receive({FactSubject::Object, 7, noon_ms, false, noon_ms}, noon_at);
    facts.receive({FactSubject::Object, 7, noon_ms - 900, false, noon_ms}, noon_at);
    return facts.find(FactSubject::Object, 7)->time == noon_ms;
}

bool one_witness_is_none() {
    HealthReports health_reports;
    health_reports.receive(1, 0, 1, {5, 1}, {5, 0, 4, 1, 0, 0}, noon_at);
    return health_reports.aggregate(5, 0, noon_at).samples == 0;
}

bool liars_are_doubted() {
    // One whose own link is cut complains of all; one other has had bad luck with one server.
    HealthReports health_reports;
    for (CacheId server = 1; server <= 5; server++)
        health_reports.receive(1, 0, 1, {5, 5}, {server, 0, 4, 1, 0, 0}, noon_at);
    health_reports.receive(2, 0, 1, {5, 1}, {3, 0, 2, 1, 0, 0}, noon_at);
    return health_reports.aggregate(3, 0, noon_at).samples == 0;
}

bool old_counts_are_dropped() {
    RequestCounts request_counts(0, 40);
    request_counts.count_request(1, noon_at);
    request_counts.receive({7, RequestCounts::epoch_of(noon_at) - 5, 0xffffffff}, noon_at);
    return request_counts.other_routers_asked(7, noon_at) == 0;
}

struct Guard {
    Flaw flaw;
    const char* name;
    std::function<bool()> holds;
};
const auto guards = std::to_array<Guard>({
    {Flaw::LoanWithoutEnd, "a loan ends for the borrower", cut_while_lent},
    {Flaw::LenderKeepsUsing, "what is lent is held back", plain},
    {Flaw::NewLifeAtOnce, "a new life holds back", lenders_killed},
    {Flaw::LoanTwice, "a loan counts once", doubled},
    {Flaw::AnyGrant, "a loan is for who asked", loans_to_an_earlier_life},
    {Flaw::NotLookedAgain, "a right is looked at where it is used", stopped_before_sending},
    {Flaw::LentAgainAtOnce, "a loan's last use still counts after its end", loans_that_move},
    {Flaw::AmountsBelieved, "amounts are cut to what was asked for", amounts_invented},
    {Flaw::FactsLapseDeaf, "who hears no coordinator keeps what it was told", deaf_keeps_closed},
    {Flaw::StartIgnored, "a server's next process is open", next_process_is_open},
    {Flaw::LoneWitness, "one witness is none", one_witness_is_none},
    {Flaw::LiarBelieved, "who complains of all is doubted", liars_are_doubted},
    {Flaw::OldCounts, "old counts are dropped", old_counts_are_dropped},
    {Flaw::SeenAlive, "the whole is not divided by who seems alive", cut_while_lent},
    {Flaw::OthersTermsIgnored, "only those of like amounts lend to each other", other_amounts},
    {Flaw::PurgesBackwards, "the later purge stays", later_purge_stays},
});

}  // namespace

TEST_CASE("each guard holds, and is missed where it is taken out") {
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

TEST_CASE("a lone third of a fleet is let have its own part, and the whole is used where all are heard") {
    Scene scene(40, 17, {0.05, 3 * ms, 24 * ms, 0.002, 0.02}, 3 * second, 40);
    scene.go(9 * second);
    auto judged = scene.verdict();
    CHECK(judged.exceeded == 0);
    CHECK(judged.used_share > 0.6);
}
