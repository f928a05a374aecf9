// What the routers share, against each of them alone: cold budgets in use and kept, how soon drains and
// purges reach those cut off from the coordinator, how soon a slow server is noticed, what the counts save at
// the origin, and what it costs. Simulated by the number of routers, then with real processes. The last line
// is JSON.
//
//   build/bench/shared_state [--quick]
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <chrono>
#include <cmath>
#include <future>
#include <list>
#include <nlohmann/json.hpp>
#include <set>
#include <unordered_map>

#include "rig/fleet/script.hpp"
#include "rig/partner.hpp"
#include "shared/flaw.hpp"

using namespace quillgrade;
using rig::SharedFleet;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;
constexpr CacheId parent = 101;
constexpr double work = 100'000;

double quantile_of(std::vector<double> values, double q) {
    if (values.empty()) return -1;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(q * static_cast<double>(values.size() - 1))];
}

SiteSettings module_site(int routers) {
    SiteSettings site{};
    static_cast<RoutingSettings&>(site) = rig::shared_site();
    site.traffic = {{400 * ms, 2, Idempotency::Idempotent, DedupScope::All, 4 * second, 0, false}};
    site.routers = routers;
    site.routers_by_zone = {routers};
    site.client_kb_per_s = 5000;
    return site;
}

// The simulation and the true time of what its routers call steady.
std::unique_ptr<SharedFleet> a_fleet(int routers, std::uint64_t seed, double bytes_per_s,
                                     double loss = 0.05) {
    auto& terms = rig::partner_terms();
    terms.exchange = {};
    terms.exchange.settings = rig::shared_site();
    terms.exchange.lease_duration = 3 * second;
    static SharedFleet* running;
    running = nullptr;
    terms.steady = [] { return running ? running->now() : 1'764'576'000 * second; };
    peers::MembershipSettings rates;
    rates.bytes_per_s = bytes_per_s;
    auto fleet = std::make_unique<SharedFleet>(routers, 1, seed, rates,
                                               rig::LinkConditions{loss, 3 * ms, 24 * ms, 0.001, 0.01});
    running = fleet.get();
    fleet->start_all();
    // A start of all is still being told among a thousand; who is there matters little here.
    fleet->run_until(fleet->now() + (routers > 500 ? 40 : 25) * second);
    return fleet;
}

// ---- A: cold budgets

struct Budget {
    rig::ColdVerdict shared, alone, divided;
    double bytes_per_s = 0;
};

// All routers together look for `times` of the budget's mean.
rig::ColdVerdict budget_shared(int routers, double per_s, bool cut, double* bytes = nullptr) {
    auto fleet = a_fleet(routers, 7, 600);
    auto started = fleet->now();
    std::uint64_t before = 0, after = 0;
    for (int i = 0; i < routers; i++) before += fleet->figures(i).bytes_sent;
    feed::Endpoint endpoint;
    endpoint.entry = {parent, EndpointState::Ready, 4, 1, 0, 0, started};
    for (int i = 0; i < routers; i++)
        fleet->visit(i, [&](rig::Partner& one) {
            one.exchange().apply_listing({false, {endpoint}}, one.times(fleet->clock(i)));
        });
    boost::random::mt19937 chance(3);
    boost::random::uniform_01<double> unit;
    std::vector<Micros> seen;
    auto end = started + rig::shared_site().parent_cold_period;
    for (Micros t = started; t < end; t += 2 * ms) {
        if (cut && t - started >= 2 * second && t - started < 2 * second + 2 * ms)
            for (int a = 0; a < routers; a++)
                for (int b = 0; b < routers; b++)
                    if (a % 3 != b % 3) fleet->cut(a, b, true);
        fleet->run_until(t);
        for (int i = 0; i < routers; i++)
            if (unit(chance) < per_s * 0.002)
                fleet->visit(i, [&](rig::Partner& one) {
                    if (one.want(parent, work, fleet->clock(i)) > 0) seen.push_back(fleet->now());
                });
    }
    for (int i = 0; i < routers; i++) after += fleet->figures(i).bytes_sent;
    if (bytes) *bytes = static_cast<double>(after - before) / routers / 10;
    rig::ColdTerms terms;
    terms.cold = rig::shared_site().parent_cold_period;
    return rig::judge(seen, started, end, terms, 0);
}

// The shipped module alone: each router's part of the whole, and what it has seen the server answer.
rig::ColdVerdict budget_alone(int routers, double per_s) {
    auto started = 1'764'576'000 * second;
    std::vector<Router> all;
    for (int i = 0; i < routers; i++) {
        all.emplace_back(module_site(routers), static_cast<std::uint64_t>(i + 1));
        all.back().update_endpoints({{parent, EndpointState::Ready, 4, 1, 0, 0, started}}, true, started);
    }
    boost::random::mt19937 chance(3);
    boost::random::uniform_01<double> unit;
    std::vector<Micros> seen;
    auto end = started + rig::shared_site().parent_cold_period;
    for (Micros now = started; now < end; now += 2 * ms)
        for (auto& router : all) {
            if (unit(chance) >= per_s * 0.002) continue;
            auto& server = *find_server(router, parent);
            if (!within_cold_budget(router, server, work, now)) continue;
            server.cold_spending.push_back({now, work});
            server.answered.push_back({now, work});  // answered as soon as can be
            if (server.answered.size() > 64) server.answered.pop_front();
            seen.push_back(now);
        }
    rig::ColdTerms terms;
    terms.cold = rig::shared_site().parent_cold_period;
    return rig::judge(seen, started, end, terms, 0);
}

// ---- B: facts

std::vector<double> fact_delays(int routers, int rounds) {
    std::vector<double> delays;
    for (int round = 0; round < rounds; round++) {
        auto fleet = a_fleet(routers, 11 + static_cast<std::uint64_t>(round), 300);
        auto tell = [&](int router, EndpointState listed) {
            feed::Endpoint one, other;
            one.entry = {2, listed, 4, 0, 0, 0, 0};
            other.entry = {3, EndpointState::Ready, 4, 0, 0, 0, 0};
            fleet->visit(router, [&](rig::Partner& p) {
                p.exchange().apply_listing({false, {one, other}}, p.times(fleet->clock(router)));
                p.share(fleet->clock(router));
            });
        };
        for (int i = 0; i < routers; i++) tell(i, EndpointState::Ready);
        fleet->run_until(fleet->now() + second + round * (77 * ms));
        auto told = fleet->now();
        std::set<int> deaf;
        for (int i = 0; i < routers; i++)
            if (i % 3 == 0) {
                deaf.insert(i);
                fleet->protocol(i)->live = 0;
            } else {
                tell(i, EndpointState::Draining);
            }
        for (Micros limit = told + 10 * second; !deaf.empty() && fleet->now() < limit;) {
            fleet->run_until(fleet->now() + ms);
            std::erase_if(deaf, [&](int i) {
                if (fleet->protocol(i)->closed == 0) return false;
                delays.push_back(static_cast<double>(fleet->now() - told) / 1000);
                return true;
            });
        }
        for (std::size_t i = 0; i < deaf.size(); i++) delays.push_back(10'000);
    }
    return delays;
}

// ---- C: a slow server

struct Noticed {
    std::vector<double> ms;                   // by router
    int false_condemned = 0, by_hearsay = 0;  // sound servers, by router
};
// Each router gets `per_s` lookups over ten servers, of which one answers in six times its time.
Noticed slow_server(int routers, double per_s, bool shared) {
    auto fleet = a_fleet(routers, 21, 300);
    std::vector<Router> all;
    std::vector<EndpointEntry> entries;
    constexpr CacheId servers = 10, slow = 4;
    for (CacheId id = 1; id <= servers; id++) entries.push_back({id, EndpointState::Ready, 4, 0, 0, 0, 0});
    for (int i = 0; i < routers; i++) {
        all.emplace_back(module_site(routers), static_cast<std::uint64_t>(i + 1));
        all.back().update_endpoints(entries, true, fleet->now());
    }
    boost::random::mt19937 chance(9);
    boost::random::uniform_01<double> unit;
    Noticed noticed;
    std::vector<bool> done(static_cast<std::size_t>(routers));
    std::set<std::pair<int, CacheId>> condemned;
    auto begin = fleet->now();
    for (Micros t = begin; t < begin + 40 * second; t += 10 * ms) {
        fleet->run_until(t);
        for (int i = 0; i < routers; i++) {
            auto place = static_cast<std::size_t>(i);
            auto& router = all[place];
            if (unit(chance) < per_s * 0.01) {
                auto id = 1 + static_cast<CacheId>(unit(chance) * servers);
                auto& server = *find_server(router, id);
                // Now and then one fails anywhere; times scatter by half.
                server.failures.push_back({t, unit(chance) < 0.02 ? 1.0 : 0.0});
                server.slowness.push_back({t, (id == slow ? 6.0 : 1.0) * (0.75 + 0.5 * unit(chance))});
                for (auto* samples : {&server.failures, &server.slowness})
                    if (samples->size() > 16) samples->pop_front();
            }
            if (shared && (t - begin) / (10 * ms) % 10 == i % 10) {
                fleet->visit(i, [&](rig::Partner& one) {
                    auto times = one.times(fleet->clock(i));
                    for (auto& server : router.servers)
                        server.peer_report = one.exchange().peer_health(server.id, 0, times);
                    if ((t - begin) / (100 * ms) % 3 == 0)
                        one.exchange().report_health(router.health_reports(t), router.measured_servers(t),
                                                     times);
                });
            }
            for (auto& server : router.servers) {
                auto* wrong = ejection_reason(router, server, t);
                if (!wrong) continue;
                if (server.id != slow) {
                    bool first = condemned.insert({i, server.id}).second;
                    noticed.false_condemned += first;
                    noticed.by_hearsay += first && std::string(wrong).find("hearsay") != std::string::npos;
                } else if (!done[place]) {
                    done[place] = true;
                    noticed.ms.push_back(static_cast<double>(t - begin) / 1000);
                }
            }
        }
    }
    for (auto one : done)
        if (!one) noticed.ms.push_back(40'000);
    return noticed;
}

// ---- D: counts

struct Kept {
    double origin_share = 0;
    int over_fleet = 0;
};
// A location's cache of 300 objects, asked for by all routers: half of the lookups for 2,000 objects by
// Zipf's law, half for names that come once.
Kept counts(int routers, bool shared) {
    auto fleet = a_fleet(routers, 31, 600);
    std::vector<Router> all;
    all.reserve(static_cast<std::size_t>(routers));
    for (int i = 0; i < routers; i++)
        all.emplace_back(module_site(routers), static_cast<std::uint64_t>(i + 1));
    boost::random::mt19937 chance(5);
    boost::random::uniform_01<double> unit;
    std::vector<double> weight;
    double sum = 0;
    for (int i = 1; i <= 2000; i++) weight.push_back(sum += 1.0 / i);
    std::list<ObjectId> order;
    std::unordered_map<ObjectId, std::list<ObjectId>::iterator> cache;
    std::unordered_map<ObjectId, std::set<int>> askers;
    std::uint64_t asked = 0, fetched = 0, next_name = 1'000'000;
    Kept kept;
    auto begin = fleet->now();
    // Within one epoch and the half of it before, so that who was asked is known to the onlooker too.
    for (Micros t = begin; t < begin + 25 * second; t += 5 * ms) {
        fleet->run_until(t);
        for (int i = 0; i < routers; i++) {
            if (unit(chance) >= 10 * 0.005) continue;
            auto at = std::lower_bound(weight.begin(), weight.end(), unit(chance) * sum) - weight.begin();
            LookupInfo lookup{};
            lookup.object = unit(chance) < 0.5 ? 1 + static_cast<ObjectId>(at) : next_name++;
            auto& router = all[static_cast<std::size_t>(i)];
            if (shared)
                fleet->visit(i, [&](rig::Partner& one) {
                    lookup.lookups_elsewhere =
                        one.exchange().count_lookup(lookup.object, one.times(fleet->clock(i)));
                    router.counting_routers = one.exchange().alive_routers_in_zone();
                });
            askers[lookup.object].insert(i);
            kept.over_fleet +=
                lookup.lookups_elsewhere > static_cast<double>(askers[lookup.object].size()) - 1;
            bool keep = keep_or_pass(router, lookup, t);
            bool counts = t - begin > 5 * second;
            asked += counts;
            auto found = cache.find(lookup.object);
            if (found != cache.end()) {
                order.splice(order.begin(), order, found->second);
                continue;
            }
            fetched += counts;
            if (!keep) continue;
            order.push_front(lookup.object);
            cache[lookup.object] = order.begin();
            if (order.size() > 300) {
                cache.erase(order.back());
                order.pop_back();
            }
        }
    }
    kept.origin_share = static_cast<double>(fetched) / static_cast<double>(asked);
    return kept;
}

// ---- E: real processes

const char* rights_script = R"({
  "routers": 12, "seed": 101, "parents": 2, "cold_s": 8, "peers": {"bytes_per_s": 600},
  "weather": {"loss": 0.05, "least_ms": 3, "most_ms": 24, "late": 0.002, "twice": 0.02},
  "steps": [
    {"note": "MISS", "say": {"field": "m", "values": ["750"]}},
    {"until": {"view": "alive"}, "within_s": 20},
    {"lookups": {"to": "all", "per_s": 20}, "for_s": 3},
    {"tell": {"id": 101, "started_s_ago": 0}, "watch": {"id": 101}, "for_s": 8}
  ]})";
const char* facts_script = R"({
  "routers": 9, "seed": 111, "peers": {},
  "weather": {"loss": 0.05, "least_ms": 3, "most_ms": 24, "late": 0.002, "twice": 0.02},
  "steps": [
    {"name": {"deaf": [0, 4, 8]}},
    {"until": {"view": "alive"}, "within_s": 20},
    {"lookups": {"to": "all", "per_s": 40}, "for_s": 1},
    {"coordinator": {"of": "deaf", "cut": true}, "for_s": 0.5},
    {"tell": {"id": 2, "state": "draining", "started_s_ago": 0, "grace_s": 3}, "for_s": 4},
    {"purge": {"object": 7920, "grace_s": 3}},
    {"purge": {"group": 1, "grace_s": 3}, "for_s": 6}
  ]})";

rig::Outcome played(const char* text, bool shared) {
    auto script = nlohmann::json::parse(text);
    if (shared) script["shared"] = nlohmann::json::object();
    return rig::run_script(script.dump(), {QUILLGRADE_PROGRAM, ""});
}

struct Cost {
    double us = 0, rss = 0;
};
// One router of a tier of two that asks nobody else; what it spends a lookup.
Cost cost_of(const std::string& operate, int seconds) {
    rig::Fleet fleet({QUILLGRADE_PROGRAM, "", 2, 1, 5, operate, 2});
    fleet.start(0);
    fleet.start(1);
    fleet.outside().objects(400);
    fleet.lookups(0, 800);
    auto wait = [](double s) { std::this_thread::sleep_for(std::chrono::duration<double>(s)); };
    wait(1.5);
    auto cpu = fleet.cpu_seconds(0);
    auto handled = fleet.totals().handled;
    wait(seconds);
    Cost cost;
    cost.us = (fleet.cpu_seconds(0) - cpu) * 1e6 / static_cast<double>(fleet.totals().handled - handled);
    cost.rss = fleet.rss_mb(0);
    return cost;
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an option that CLI11 refuses is a fault that ends the program.
int main(int count, char** words) {
    CLI::App app("what the routers share, against each alone", "shared_state");
    bool quick = false;
    app.add_flag("--quick", quick, "under 50 s");
    CLI11_PARSE(app, count, words);
    shared::planted() = shared::Flaw::None;
    nlohmann::json json;

    // Real processes beside the simulation, which is one thread.
    auto shared_run = std::async(std::launch::async, played, rights_script, true);
    auto alone_run = std::async(std::launch::async, played, rights_script, false);
    auto facts_run = std::async(std::launch::async, played, facts_script, true);
    auto unheard_run = std::async(std::launch::async, played, facts_script, false);

    std::vector<int> sizes = {12, 40, 300, 1000};
    json["routers"] = sizes;
    fmt::print(
        "a parent that starts cold, looked for by all with {} lookups a second in all; share of the budget "
        "in use\n",
        900);
    fmt::print("{:>8} {:>8} {:>8} {:>10} {:>10}   {:>24}\n", "routers", "alone", "shared", "over", "bytes/s",
               "divided by those seen: over");
    int windows = 0, exceeded = 0;
    for (auto routers : sizes) {
        double bytes = 0, per_s = 900.0 / routers;
        auto together = budget_shared(routers, per_s, false, &bytes);
        auto alone = budget_alone(routers, per_s);
        auto cut = routers <= 300 ? budget_shared(routers, per_s, true) : rig::ColdVerdict{};
        rig::ColdVerdict divided;
        if (routers <= 40) {
            shared::planted() = shared::Flaw::SeenAlive;
            divided = budget_shared(routers, per_s, true);
            shared::planted() = shared::Flaw::None;
        }
        windows += together.windows + cut.windows;
        exceeded += together.exceeded + cut.exceeded;
        fmt::print(
            "{:>8} {:>8.2f} {:>8.2f} {:>10} {:>10.0f}   {:>24}\n", routers, alone.used_share,
            together.used_share,
            fmt::format("{} of {}", together.exceeded + cut.exceeded, together.windows + cut.windows), bytes,
            routers <= 40
                ? fmt::format("{} of {}, {:.1f} times", divided.exceeded, divided.windows, divided.most_share)
                : "-");
        json["budget_used_share_alone_by_n"].push_back(alone.used_share);
        json["budget_used_share_shared_by_n"].push_back(together.used_share);
        json["budget_used_share_cut_in_thirds_by_n"].push_back(cut.used_share);
        json["bytes_per_s_router_by_n"].push_back(std::round(bytes));
        if (routers == 40) {
            json["budget_used_share_alone"] = alone.used_share;
            json["budget_used_share_shared"] = together.used_share;
            json["bytes_per_s_router"] = std::round(bytes);
            json["divided_by_seen_alive_exceeded"] = divided.exceeded;
        }
    }

    fmt::print("a drain heard by two thirds reaches the others, ms p50, p99:");
    for (auto routers : {12, 40, 300}) {
        auto delays = fact_delays(routers, routers > 100 ? (quick ? 2 : 10) : (quick ? 15 : 60));
        fmt::print("  {} routers {:.0f}, {:.0f}", routers, quantile_of(delays, 0.5),
                   quantile_of(delays, 0.99));
        json["fact_delay_ms_p99_by_n"].push_back(quantile_of(delays, 0.99));
        if (routers == 300) json["fact_delay_ms_p99"] = quantile_of(delays, 0.99);
    }
    fmt::print("\n");

    auto alone = slow_server(40, 3, false), together = slow_server(40, 3, true);
    fmt::print(
        "a server six times as slow, 40 routers of 3 lookups a second: noticed after {:.0f} ms alone, {:.0f} "
        "shared "
        "(median router); sound ones condemned {} alone, {} shared, of these {} by hearsay\n",
        quantile_of(alone.ms, 0.5), quantile_of(together.ms, 0.5), alone.false_condemned,
        together.false_condemned, together.by_hearsay);
    json["slow_server_noticed_ms_alone"] = quantile_of(alone.ms, 0.5);
    json["slow_server_noticed_ms_shared"] = quantile_of(together.ms, 0.5);
    json["false_condemned"] = together.by_hearsay;
    json["false_condemned_own_samples"] = together.false_condemned - together.by_hearsay;
    json["false_condemned_alone"] = alone.false_condemned;

    auto kept_alone = counts(40, false), kept = counts(40, true);
    fmt::print(
        "fetched from the origin: {:.3f} of lookups alone, {:.3f} shared; counts over the fleet's: {}\n",
        kept_alone.origin_share, kept.origin_share, kept.over_fleet);
    json["origin_share_alone"] = kept_alone.origin_share;
    json["origin_share_shared"] = kept.origin_share;
    json["count_over_fleet"] = kept.over_fleet;

    auto on = shared_run.get();
    auto off = alone_run.get();
    auto facts = facts_run.get();
    auto unheard = unheard_run.get();
    auto one_final = on.lookups.without_one_final + facts.lookups.without_one_final;
    for (auto* outcome : {&on, &facts})
        for (auto& fault : outcome->faults) fmt::print("  {}\n", fault);
    auto real = on.budgets.at(0), real_alone = off.budgets.at(0);
    fmt::print("12 processes: {:.2f} of the budget used, {} of {} windows over; alone {:.2f}, {} of {}\n",
               real.used_share, real.exceeded, real.windows, real_alone.used_share, real_alone.exceeded,
               real_alone.windows);
    fmt::print(
        "9 processes, three cut off from the coordinator: {} sends past a drain, {} of older copies; alone "
        "{}, {}\n",
        facts.lookups.late_named, facts.lookups.older, unheard.lookups.late_named, unheard.lookups.older);
    json["processes"] = on.processes + off.processes + facts.processes + unheard.processes;
    json["budget_windows"] = windows + real.windows;
    json["budget_exceeded"] = exceeded + real.exceeded;
    json["rights_doubled"] =
        exceeded + real.exceeded;  // a right used twice is a window over, to who stands outside
    json["real_budget_used_share_alone"] = real_alone.used_share;
    json["real_budget_used_share_shared"] = real.used_share;
    json["sends_past_drain_cut"] = facts.lookups.late_named;
    json["answers_older_than_purge_cut"] = facts.lookups.older;
    json["sends_past_drain_cut_alone"] = unheard.lookups.late_named;
    json["answers_older_than_purge_cut_alone"] = unheard.lookups.older;
    json["lookups_without_one_final"] = one_final;

    std::vector<double> with, without;
    Cost last_off, last_on;
    for (int round = 0; round < (quick ? 1 : 5); round++) {
        last_off = cost_of(R"({"peers": {}})", quick ? 2 : 4);
        last_on = cost_of(R"({"peers": {}, "shared": {}})", quick ? 2 : 4);
        without.push_back(last_off.us);
        with.push_back(last_on.us);
    }
    fmt::print("one process: {:.1f} us CPU a lookup off, {:.1f} on; {:.1f} and {:.1f} MB\n",
               quantile_of(without, 0.5), quantile_of(with, 0.5), last_off.rss, last_on.rss);
    json["ns_per_lookup_added"] = std::round((quantile_of(with, 0.5) - quantile_of(without, 0.5)) * 1000);
    json["rss_mb_off"] = last_off.rss;
    json["rss_mb_on"] = last_on.rss;
    fmt::print("{}\n", json.dump());
    // Only what must never be fails the run, whatever the times are.
    bool broken = exceeded + real.exceeded > 0 || facts.lookups.late_named > 0 || facts.lookups.older > 0 ||
                  one_final > 0 || kept.over_fleet > 0 || json["divided_by_seen_alive_exceeded"] == 0;
    return broken ? 1 : 0;
}
