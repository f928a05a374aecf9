#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cmath>
#include <set>

#include "helpers.hpp"

using namespace quillgrade;

TEST_CASE("psi is one half at p and increases with the count") {
    CHECK(psi(2, 2) == doctest::Approx(0.5));
    CHECK(psi(1, 2) == doctest::Approx(1 / (1 + std::exp(2.0))));
    CHECK(psi(5, 2) > 0.99);
}

TEST_CASE("p is 20 over the zone's routers, clamped between one half and 1") {
    auto facts = a_site();
    CHECK(Router(facts, 1).p() == 1);
    facts.routers_by_zone[1] = 25;
    CHECK(Router(facts, 1).p() == 0.8);
    facts.routers_by_zone[1] = 90;
    CHECK(Router(facts, 1).p() == 0.5);
}

TEST_CASE("a kept object stays kept, and its later parts follow without counting") {
    auto r = router();
    r.object_counts[77] = {3, true};
    CHECK(keep_or_pass(r, lookup(1, 77, 4), noon));
    CHECK(r.object_counts[77].lookups == 3);
    CHECK(keep_or_pass(r, lookup(1, 77, 0), noon));
    CHECK(r.object_counts[77].lookups == 4);
    r.object_counts[78] = {3, false};
    CHECK_FALSE(keep_or_pass(r, lookup(1, 78, 4), noon));
}

TEST_CASE("a later part of an unknown object counts as the first part") {
    auto r = router();
    keep_or_pass(r, lookup(1, 77, 4), noon);
    CHECK(r.object_counts[77].lookups == 1);
}

TEST_CASE("object counts halve every 30 s, and an object whose count reaches 0 is removed") {
    auto r = router();
    r.halved_at = noon;
    r.object_counts[1] = {1, true};
    r.object_counts[2] = {9, true};
    keep_or_pass(r, lookup(1, 77), noon + 30 * test_second);
    CHECK_FALSE(r.object_counts.contains(1));
    CHECK(r.object_counts[2].lookups == 4);
}

TEST_CASE("the table of object counts is bounded") {
    auto r = router();
    for (ObjectId object = 0; object < 40000; object++) keep_or_pass(r, lookup(1, object + 1), noon);
    CHECK(r.object_counts.size() <= 16384);
}

TEST_CASE("writes are never kept and not counted") {
    auto r = router();
    auto write = lookup(1);
    write.write = true;
    CHECK_FALSE(keep_or_pass(r, write, noon));
    CHECK(r.object_counts.empty());
}

TEST_CASE("of two parents the one with the lower first-byte time is the upstream") {
    auto r = router();
    PendingLookup pending;
    pending.info = lookup(1);
    find_server(r, 11)->first_byte_times = {{noon, 100e3}};
    find_server(r, 12)->first_byte_times = {{noon, 30e3}};
    CHECK(pick_upstream(r, pending, noon) == 12);
}

// Guards against a slow parent that stays the upstream because it is judged by its few answers only. Seen in:
// calcul-rate-later, big-1.
TEST_CASE("attempts that still wait for a parent count in its first-byte time") {
    auto r = router();
    PendingLookup pending;
    pending.info = lookup(1);
    find_server(r, 11)->first_byte_times = {{noon, 20e3}};
    find_server(r, 12)->first_byte_times = {{noon, 30e3}};
    CHECK(pick_upstream(r, pending, noon) == 11);
    find_server(r, 11)->in_flight = {{9, 0, 0, noon - test_second, 0, 100 * test_ms}};
    CHECK(pick_upstream(r, pending, noon) == 12);
}

// Guards against upstreams that change with the size of the last answers, where caches report no first-byte
// wait.
TEST_CASE(
    "without a reported first-byte wait, the first-byte time is the elapsed time less the sending time") {
    auto r = router();
    auto handle = r.add_lookup(lookup(1), noon);
    auto sent = handle.first_attempt(noon);
    handle.attempt_ended(end(Outcome::Ok, sent.send->cache, CacheStatus::Filled), noon);
    CHECK(find_server(r, sent.send->upstream)->first_byte_times.back().value == 0);
    auto other = r.add_lookup(lookup(2), noon);
    sent = other.first_attempt(noon);
    auto late = end(Outcome::Ok, sent.send->cache, CacheStatus::Filled);
    late.elapsed = 140 * test_ms;
    other.attempt_ended(late, noon);
    CHECK(find_server(r, sent.send->upstream)->first_byte_times.back().value == 40e3);
}

// Guards against parents that are not ejected because their peers fail too: one parent was down and the other
// failed fast. Seen in: depot-media, big-1.
TEST_CASE("two failing parents are both ejected while the origin answers") {
    auto r = router();
    PendingLookup pending;
    pending.info = lookup(1);
    for (CacheId id : {11, 12}) {
        find_server(r, id)->failures = Samples(8, {noon, 1});
        find_server(r, id)->last_half_open_probe_at = noon;
    }
    CHECK(pick_upstream(r, pending, noon) == 20);
    find_server(r, 20)->failures = Samples(8, {noon, 1});
    CHECK(pick_upstream(r, pending, noon + 60 * test_ms) != 20);
}

// Guards against ejecting the caches that report a failure when the parent behind them is down. Seen in:
// partner-schools-later, big-2.
TEST_CASE(
    "a failure without cache status counts for whichever of cache and upstream fails more with other "
    "servers") {
    auto facts = a_site();
    facts.cache_status_reporting = CacheStatusReporting::HitsOnly;
    auto r = router(facts);
    auto handle = r.add_lookup(lookup(1), noon);
    auto sent = handle.first_attempt(noon);
    auto* cache = find_server(r, sent.send->cache);
    auto* upstream = find_server(r, sent.send->upstream);
    cache->failures = Samples(4, {noon, 0});
    upstream->failures = Samples(3, {noon, 1, 99});
    auto next = handle.attempt_ended(end(Outcome::Overloaded, cache->id), noon);
    CHECK(cache->failures.back().value == 0);
    CHECK(upstream->failures.back().value == 1);
    REQUIRE(next.send);
    CHECK(next.send->cache == cache->id);
    CHECK(next.send->upstream != upstream->id);
}

// Guards against a router whose caches have all died and that goes on connecting to each of them. Seen in:
// incident i8d9138.
TEST_CASE("unreachable caches get half-open probes and nothing else") {
    auto r = router();
    PendingLookup pending;
    pending.info = lookup(1);
    for (CacheId id : {1, 2, 3})
        find_server(r, id)->unreachable_since = find_server(r, id)->last_half_open_probe_at = noon;
    CHECK_FALSE(pick_cache(r, pending, noon + 100 * test_ms));
    CHECK(pick_cache(r, pending, noon + test_second));
}

// Guards against half-open probes that become most of what a router with few lookups sends.
TEST_CASE("a router with few lookups sends half-open probes less often") {
    auto r = router();
    PendingLookup pending;
    pending.info = lookup(1);
    for (CacheId id : {1, 2, 3})
        find_server(r, id)->unreachable_since = find_server(r, id)->last_half_open_probe_at = noon;
    for (int i = 0; i < 10; i++) r.recent_lookups.push_back({noon + (i - 8) * (500 * test_ms), 1});
    CHECK_FALSE(pick_cache(r, pending, noon + test_second));
    CHECK(pick_cache(r, pending, noon + 15 * test_second));
}

// Guards against hot objects that overload one cache while its neighbours have capacity, and against fills
// that wait for a slow origin and look like such an overload.
TEST_CASE("a cache at its limit in flight is passed over; attempts that wait for a fill do not count") {
    auto r = router();
    PendingLookup pending;
    pending.info = lookup(1);
    auto* first = pick_cache(r, pending, noon);
    first->in_flight = std::vector<InFlight>(8, {9, 0, 0, noon, 0, 100 * test_ms});
    CHECK(pick_cache(r, pending, noon) != first);
    first->in_flight =
        std::vector<InFlight>(8, {9, 0, 0, noon - 2 * test_second, 9 * test_second, 100 * test_ms});
    CHECK(pick_cache(r, pending, noon) == first);
}

// Guards against long objects whose parts all queue at one cache while others have capacity. Seen in:
// partner-schools-later, big-2.
TEST_CASE("the parts of an object are spread over the caches, each part always on the same one") {
    auto r = router();
    std::set<CacheId> met;
    for (int part = 0; part < 20; part++) {
        PendingLookup pending;
        pending.info = lookup(1, 77, part);
        auto* cache = pick_cache(r, pending, noon);
        met.insert(cache->id);
        CHECK(pick_cache(r, pending, noon) == cache);
    }
    CHECK(met.size() == 3);
}

// Guards against half-open probes at slow caches that look like congestion: half of the lookups were
// rejected. Seen in: depot-media-later, big-1.
TEST_CASE("half-open probes at an ejected cache do not count as congestion") {
    auto r = router();
    for (CacheId id : {1, 2, 3}) find_server(r, id)->slack_used = Samples(4, {noon, 0.1});
    find_server(r, 3)->slack_used = Samples(8, {noon, 9});
    CHECK(cache_congestion(r, noon) > 1);
    find_server(r, 3)->unreachable_since = noon;
    CHECK(cache_congestion(r, noon) == doctest::Approx(0.1));
}

// Guards against confusing a congested link with a slow origin: both make fills slow, and they need different
// responses. Link utilization tells them apart. Seen in: partner-schools-later, overload; calcul-rate-later,
// big-1.
TEST_CASE("a congested link keeps large lookups from filling") {
    auto r = router();
    r.traffic_types[0].sending_times = Samples(8, {noon, 10e3});
    for (int i = 0; i < 8; i++) find_server(r, 1)->link_utilization.push_back({noon, 6});
    auto sent = r.add_lookup(lookup(1), noon).first_attempt(noon);
    REQUIRE(sent.send);
    CHECK(sent.send->upstream == sent.send->cache);
}

// Guards against shedding a fifth of the lookups to free a fifth of the work. Seen in: partner-schools,
// big-2.
TEST_CASE("freeing a share of the work sheds fewer lookups than the same share of the lookups") {
    auto r = router();
    for (int i = 0; i < 9; i++) r.traffic_types[0].sending_times.push_back({noon, 10e3});
    r.traffic_types[0].sending_times.push_back({noon, 910e3});
    PendingLookup pending;
    pending.sending_time = 20 * test_ms;
    CHECK_FALSE(should_shed(r, pending, 0.5, 0, 1, true));
    pending.sending_time = 920 * test_ms;
    CHECK(should_shed(r, pending, 0.5, 0, 1, true));
    pending.sending_time = 20 * test_ms;
    CHECK(should_shed(r, pending, 0.5, 0, 1, false));
}

// Guards against fill congestion that goes unseen: with the origin unreachable, fills fail at once and hold
// all fill slots, and a router with few lookups has too few of them in flight to tell. Seen in: incident
// i6108ec.
TEST_CASE("failed and late fills show fill congestion although few fills are in flight") {
    auto r = router();
    r.traffic_types[0].fill_slack_used = Samples(8, {noon, 0.2});
    CHECK(fill_congestion(r, 0, noon) < 0.1);
    r.traffic_types[0].fill_slack_used = Samples(8, {noon, 1.5});
    CHECK(fill_congestion(r, 0, noon) > 0.5);
}

// Guards against parents that fail fast and thereby keep large lookups from a healthy origin. Seen in:
// incident i56a22c.
TEST_CASE("fills at an ejected upstream do not count as fill congestion") {
    auto r = router();
    r.traffic_types[0].fill_slack_used = Samples(8, {noon, 1.5, 11});
    CHECK(fill_congestion(r, 0, noon) > 0.5);
    find_server(r, 11)->unreachable_since = noon;
    CHECK(fill_congestion(r, 0, noon) == 0);
}

// Guards against work per lookup that grows with the whole fleet.
TEST_CASE("endpoints of other zones are not kept, parents and the origin are") {
    auto r = router();
    r.update_endpoints({entry(31, 0, 2), entry(32, 1, 0)}, false, noon);
    CHECK_FALSE(find_server(r, 31));
    CHECK(find_server(r, 32));
}

// Guards against parents that count as failing when they are asked for a held copy only and have none: all
// fills went to the origin. Seen in: depot-media-later, big-1 twin.
TEST_CASE("a parent that does not hold an object has not failed") {
    auto r = router();
    auto handle = r.add_lookup(lookup(1), noon);
    auto sent = handle.first_attempt(noon);
    handle.lookup.only_if_cached = true;
    handle.attempt_ended(end(Outcome::Miss, sent.send->cache, CacheStatus::UpstreamMiss), noon);
    CHECK(find_server(r, sent.send->upstream)->failures.empty());
}

// Guards against too many probes (0.4 per lookup) where many routers share a zone and each gets few
// responses.
TEST_CASE("link utilization is probed for only where responses do not report it") {
    auto r = router();
    CHECK(r.run_maintenance(noon).probe.size() == 1);
    r.load_in_responses = true;
    CHECK(r.run_maintenance(noon + test_second).probe.empty());
}

TEST_CASE("link utilization is read from load reports, and expires") {
    auto r = router();
    r.probe_ended(1, Outcome::Ok, 0, {2, {5, 3}}, noon);
    CHECK(link_congestion(r, noon) == doctest::Approx(3.0));
    CHECK(link_congestion(r, noon + 9 * test_second) == 0);
}

// Guards against a link that stays unused while old reports still call it congested.
TEST_CASE("a report of the link is scaled by the change of what is in flight") {
    auto r = router();
    for (int i = 0; i < 3; i++) find_server(r, 1)->link_utilization.push_back({noon, 12});
    for (int i = 0; i < 4; i++) r.upstream_in_flight.push_back({noon, 23});
    CHECK(link_congestion(r, noon) == doctest::Approx(0.5));
    find_server(r, 11)->in_flight.resize(11);
    CHECK(link_congestion(r, noon) == doctest::Approx(6.0));
    find_server(r, 11)->in_flight.resize(90);
    CHECK(link_congestion(r, noon) == doctest::Approx(12.0));
}

TEST_CASE("only a cache's last report of the link counts") {
    auto r = router();
    for (double use : {8.0, 8.0, 8.0, 2.0}) find_server(r, 1)->link_utilization.push_back({noon, use});
    CHECK(link_congestion(r, noon) == doctest::Approx(2.0));
}

// Guards against memory that grows as caches come and go under ever new ids.
TEST_CASE("a removed server is erased, and a lookup in flight there is sent to another cache") {
    auto r = router();
    auto handle = r.add_lookup(lookup(1), noon);
    auto first = handle.first_attempt(noon).send->cache;
    auto gone = entry(first);
    gone.state = EndpointState::Gone;
    r.update_endpoints({gone, entry(20, 2, 0)}, false, noon);
    CHECK(r.servers.size() == 5);
    auto moved = handle.check(noon + test_second);
    REQUIRE(moved.send);
    CHECK(moved.send->cache != first);
}

// Guards against objects that random variation moves between two healthy parents, both of which then keep a
// copy.
TEST_CASE("an object stays with its first parent until the second is clearly faster") {
    auto r = router();
    PendingLookup pending;
    pending.info = lookup(1);
    auto first = pick_upstream(r, pending, noon);
    CacheId second = first == 11 ? 12 : 11;
    find_server(r, first)->first_byte_times = {{noon, 60e3}};
    find_server(r, second)->first_byte_times = {{noon, 45e3}};
    CHECK(pick_upstream(r, pending, noon) == first);
    find_server(r, second)->first_byte_times = {{noon, 30e3}};
    CHECK(pick_upstream(r, pending, noon) == second);
}

// Guards against a client whose made-up sizes change what counts as large, and as much work, for all others.
TEST_CASE("a size that cannot be sent before the deadline is rejected and not recorded") {
    auto r = router();
    auto huge = lookup(1);
    huge.kbytes = 1e9;
    CHECK(r.add_lookup(huge, noon).first_attempt(noon).final_result == FinalResult::Rejected);
    CHECK(r.traffic_types[0].sending_times.empty());
}

// Guards against a cache that looks unreachable because this router had no connection left for a probe.
TEST_CASE("a probe that was never sent does not make its cache unreachable") {
    auto r = router();
    r.probe_ended(1, Outcome::NotSent, 0, {}, noon);
    CHECK_FALSE(ejection_reason(r, *find_server(r, 1), noon));
    r.probe_ended(1, Outcome::Timeout, 0, {}, noon);
    CHECK(ejection_reason(r, *find_server(r, 1), noon));
}

// Guards against answers that stall: the lookup waited until its deadline.
TEST_CASE("a lookup later than nearly all of its type is hedged, but not under congestion or slow fills") {
    auto r = router();
    for (int i = 0; i < 64; i++) r.traffic_types[0].excess_times.push_back({noon, i < 60 ? 50e3 : 300e3});
    auto handle = r.add_lookup(lookup(1), noon);
    REQUIRE(handle.first_attempt(noon).send);
    CHECK_FALSE(handle.check(noon + 390 * test_ms).send);  // 100 ms of it are sending time
    find_server(r, 1)->link_utilization.push_back({noon, 3});
    CHECK_FALSE(handle.check(noon + 410 * test_ms).send);
    find_server(r, 1)->link_utilization.clear();
    r.traffic_types[0].fill_slack_used = Samples(8, {noon, 0.9});  // fills are slow, not lost
    CHECK_FALSE(handle.check(noon + 410 * test_ms).send);
    r.traffic_types[0].fill_slack_used.clear();
    auto upstream = r.lookups.at(1).attempts[0].upstream;
    auto hedged = handle.check(noon + 410 * test_ms).send;
    REQUIRE(hedged);
    CHECK(hedged->upstream != upstream);
    CHECK_FALSE(handle.check(noon + 900 * test_ms).send);  // one hedged attempt is enough
    r.traffic_types[0].idempotency = Idempotency::NonIdempotent;
    auto non_idempotent = r.add_lookup(lookup(2), noon);
    REQUIRE(non_idempotent.first_attempt(noon).send);
    CHECK_FALSE(non_idempotent.check(noon + 410 * test_ms).send);
}

// Guards against a silent parent that counts as responding with every fill that times out.
TEST_CASE("a fill that timed out is a failure of its upstream, not a response") {
    auto facts = a_site();
    facts.cache_status_reporting = CacheStatusReporting::HitsOnly;
    auto r = router(facts);
    auto handle = r.add_lookup(lookup(1), noon);
    auto sent = handle.first_attempt(noon).send;
    REQUIRE(sent);
    find_server(r, sent->upstream)->failures = Samples(8, {noon, 1});
    handle.attempt_ended(end(Outcome::Timeout, sent->cache), noon + test_second);
    CHECK(find_server(r, sent->upstream)->failures.size() == 9);
    CHECK(find_server(r, sent->upstream)->last_response_at == 0);
}

TEST_CASE("without the other parent one serves alone, and without any the origin") {
    auto r = router();
    PendingLookup pending;
    pending.info = lookup(1);
    find_server(r, 12)->state = EndpointState::Gone;
    CHECK(pick_upstream(r, pending, noon) == 11);
    find_server(r, 11)->state = EndpointState::Draining;
    CHECK(pick_upstream(r, pending, noon) == 20);
}

// Guards against a parent that is told to fill from another parent, which parents treat as an error. Seen in:
// partner-schools, first incident.
TEST_CASE("a lookup sent directly to a parent names the origin as its upstream, not another parent") {
    auto facts = a_site();
    facts.direct = true;
    auto r = router(facts);
    for (CacheId id : {1, 2, 3}) find_server(r, id)->state = EndpointState::Gone;
    find_server(r, 11)->first_byte_times = find_server(r, 12)->first_byte_times = {{noon, 1}};
    for (int i = 0; i < 8; i++) find_server(r, 11)->failures.push_back({noon, 1});
    auto decision = r.add_lookup(lookup(1), noon).first_attempt(noon);
    REQUIRE(decision.send);
    CHECK(decision.send->upstream == 20);
}

TEST_CASE("rule 1: a lookup whose caches are all gone is rejected at once, with a retry-after") {
    auto r = router();
    for (CacheId id : {1, 2, 3}) find_server(r, id)->state = EndpointState::Gone;
    auto decision = r.add_lookup(lookup(1), noon).first_attempt(noon);
    CHECK(decision.final_result == FinalResult::Rejected);
    CHECK(decision.retry_after > 0);
    CHECK_FALSE(r.find_lookup(1));
}

TEST_CASE("rule 1: a time-out at the lookup's deadline fails it and sends nothing") {
    auto r = router();
    auto handle = r.add_lookup(lookup(1), noon);
    auto sent = handle.first_attempt(noon);
    auto decision = handle.attempt_ended(end(Outcome::Timeout, sent.send->cache), noon + 4 * test_second);
    CHECK(decision.final_result == FinalResult::Failed);
    CHECK_FALSE(decision.send);
}

TEST_CASE("rule 1: without any outcome, the check at the deadline fails the lookup") {
    auto r = router();
    auto handle = r.add_lookup(lookup(1), noon);
    handle.first_attempt(noon);
    CHECK(handle.check(noon + 4 * test_second).final_result == FinalResult::Failed);
}

TEST_CASE("rule 2: a non-idempotent lookup that may have been executed is neither sent again nor rejected") {
    auto facts = a_site();
    facts.traffic[0].idempotency = Idempotency::NonIdempotent;
    auto r = router(facts);
    PendingLookup pending;
    pending.info = lookup(1);
    pending.attempts = {{1, 11, noon, 0, false, true}};
    CHECK_FALSE(may_attempt(r, pending, *find_server(r, 2), noon));
    CHECK_FALSE(may_reject(r, pending));
    pending.attempts[0].may_have_executed = false;
    CHECK(may_attempt(r, pending, *find_server(r, 2), noon));
    CHECK(may_reject(r, pending));
}

TEST_CASE("rule 2: a keyed lookup is sent again only within its deduplication scope and window") {
    auto facts = a_site();
    facts.traffic[0].idempotency = Idempotency::Keyed;
    facts.traffic[0].dedup_scope = DedupScope::Cell;
    auto r = router(facts);
    PendingLookup pending;
    pending.info = lookup(1);
    pending.attempts = {{1, 11, noon, 0, false, true}};
    CHECK(may_attempt(r, pending, *find_server(r, 2), noon + test_second));
    CHECK_FALSE(may_attempt(r, pending, *find_server(r, 2), noon + 4 * test_second));
    find_server(r, 2)->cell = 8;
    CHECK_FALSE(may_attempt(r, pending, *find_server(r, 2), noon + test_second));
    CHECK_FALSE(may_reject(r, pending));
}

TEST_CASE("rule 2: no second attempt beside the first where hedging is off") {
    auto facts = a_site();
    facts.hedging = false;
    auto r = router(facts);
    PendingLookup pending;
    pending.info = lookup(1);
    pending.attempts = {{1, 11, noon, 0, true, true}};
    CHECK_FALSE(may_attempt(r, pending, *find_server(r, 2), noon));
}

TEST_CASE("rule 3: a draining cache gets no new lookups") {
    auto r = router();
    PendingLookup pending;
    pending.info = lookup(1);
    auto* first = pick_cache(r, pending, noon);
    first->state = EndpointState::Draining;
    auto* second = pick_cache(r, pending, noon);
    REQUIRE(second);
    CHECK(second->id != first->id);
}

TEST_CASE("rule 4: a cold server's budget holds over any window, for caches and for parents") {
    auto facts = a_site();
    facts.weights_are_link_rates = true;
    auto r = router(facts);
    auto& cold = *find_server(r, 1);
    cold.started_at = noon;
    CHECK(within_cold_budget(r, cold, 100e3, noon));
    cold.cold_spending = {{noon, 700e3}};
    CHECK_FALSE(within_cold_budget(r, cold, 100e3, noon));
    CHECK(within_cold_budget(r, cold, 100e3, noon + 2 * test_second));
    CHECK(within_cold_budget(r, cold, 9e6, noon + 10 * test_second));
    auto& parent = *find_server(r, 11);
    parent.started_at = noon;
    parent.cold_spending = {{noon, 150e3}};
    CHECK_FALSE(within_cold_budget(r, parent, 100e3, noon));
}

// Guards against a restarted router that knows no rates and never sends to cold caches again; and against all
// routers together overloading a server because each was answered. The ratio at which the settings let a
// server start is what limits them. Seen in: calcul-rate, big-2.
TEST_CASE(
    "a restarted router that knows no rates raises its share at cold caches by what they answer, at the "
    "settings' ratio") {
    auto r = router();
    r.traffic_types[0].sending_times = Samples(9, {noon, 100e3});
    auto& cold = *find_server(r, 1);
    cold.started_at = noon;
    CHECK(within_cold_budget(r, cold, 100e3, noon));
    cold.cold_spending = {{noon, 300e3}};
    CHECK_FALSE(within_cold_budget(r, cold, 100e3, noon + 900 * test_ms));
    cold.answered = {{noon + 100 * test_ms, 1'600e3}};
    CHECK_FALSE(within_cold_budget(r, cold, 100e3, noon + 900 * test_ms));  // 0.6 x 2 x 0.2 x 1.6 s
    cold.answered = {{noon + 100 * test_ms, 1'700e3}};
    CHECK(within_cold_budget(r, cold, 100e3, noon + 900 * test_ms));
}

// Guards against a cold server that gets more from all routers together than the settings allow, whatever
// each router's part of the traffic is and whatever the server answers. Beyond N lookups within any window,
// only 2 * sqrt(N) + 2 are random variation. The sum is counted here, outside the routers. Each router asks
// whenever its traffic comes, and an answer comes at once, as far as the server's link carries it.
TEST_CASE("rule 4: the cold budget holds for the sum over all routers with unequal traffic") {
    constexpr Micros work = 100 * test_ms, warm = 12 * test_second, window = test_second;
    constexpr double weight = 40;  // lookups per 100 ms that its link carries when warm
    for (bool weights_known : {true, false})
        for (int routers : {1, 4, 20, 30, 300}) {
            CAPTURE(weights_known);
            CAPTURE(routers);
            auto facts = a_site();
            facts.weights_are_link_rates = weights_known;
            facts.routers = routers;
            facts.parent_cold_period = warm;
            facts.probes = false;
            std::vector<Router> fleet;
            for (int i = 0; i < routers; i++) {
                fleet.emplace_back(facts, 7919U * static_cast<unsigned>(i) + 1);
                auto parent = entry(11, 1, 0), peer = entry(12, 1, 0);
                parent.weight = peer.weight = weight;
                fleet.back().update_endpoints({parent, peer}, true, noon - 60 * test_second);
                auto& peer_server =
                    *find_server(fleet.back(), 12);  // this router's share of what a warm server carries
                for (int k = 0; k < 12; k++)
                    peer_server.answered.push_back({noon - (12 - k) * test_second / 4 * routers / 100, work});
                find_server(fleet.back(), 11)->started_at = noon;
            }
            Random generator{77};
            std::vector<Micros> sent;
            double max_excess = -1e9;
            for (Micros now = noon; now < noon + warm; now += 2 * test_ms)
                for (int i = 0; i < routers; i++) {
                    // One router in ten has half of the traffic. In total it is ten times what the server can
                    // do when warm.
                    bool heavy = i % 10 == 0;
                    int heavy_ones = (routers + 9) / 10;
                    double share_of_traffic = 0.5 / (heavy ? heavy_ones : routers);
                    if (generator.unit() >= share_of_traffic * 10 * weight * 10 * 2e-3) continue;
                    auto& r = fleet[static_cast<std::size_t>(i)];
                    auto& server = *find_server(r, 11);
                    if (!within_cold_budget(r, server, work, now)) continue;
                    server.cold_spending.push_back({now, static_cast<double>(work)});
                    sent.push_back(now);
                    auto count =
                        std::count_if(sent.begin(), sent.end(), [&](Micros at) { return now - at < window; });
                    double share = 0.1 + 0.9 * static_cast<double>(now - noon) / static_cast<double>(warm);
                    double n = 2 * share * weight * static_cast<double>(window) / static_cast<double>(work);
                    max_excess =
                        std::max(max_excess, static_cast<double>(count) - (n + 2 * std::sqrt(n) + 2));
                    if (2 * static_cast<double>(count) > n)
                        continue;  // its link carries no more: the budget is twice what it can answer
                    server.answered.push_back({now, static_cast<double>(work)});
                    if (server.answered.size() > 64) server.answered.pop_front();
                }
            CHECK(max_excess <= 0);
            CHECK(sent.size() > 20);  // the server is used before it is warm,
            if (weights_known)
                CHECK(sent.front() < noon + warm / 4);  // even where a router's share is less than one lookup
        }
}

// Guards against routers that are killed and restarted and would each spend their share of a window twice.
TEST_CASE("rule 4: a restarted router counts as spent what its last process may have spent") {
    auto facts = a_site();
    facts.weights_are_link_rates = true;
    auto r = router(facts);
    auto& cold = *find_server(r, 1);
    cold.started_at = noon - 300 * test_ms;
    CHECK(within_cold_budget(r, cold, 100e3, noon));
    r.first_list_at = noon;
    CHECK_FALSE(within_cold_budget(r, cold, 100e3, noon));
    cold.cold_spending = {{noon, 300e3}};
    CHECK_FALSE(within_cold_budget(r, cold, 100e3, noon + 500 * test_ms));
    CHECK(within_cold_budget(r, cold, 100e3, noon + test_second));
}

// Guards against probes by many routers, which alone would overload a server that has just started.
TEST_CASE("rule 4: a probe of a cold server is charged to its budget") {
    auto facts = a_site();
    facts.weights_are_link_rates = true;
    auto r = router(facts);
    r.traffic_types[0].sending_times = Samples(9, {noon, 100e3});
    auto& cold = *find_server(r, 1);
    r.load_in_responses = true;
    cold.started_at = noon - 300 * test_ms;
    cold.unreachable_since = noon - test_ms;
    CHECK(r.run_maintenance(noon).probe == std::vector<CacheId>{1});
    CHECK(cold.cold_spending.size() == 1);
    cold.cold_spending = {{noon, 700e3}};
    cold.last_probe_at = 0;
    CHECK(r.run_maintenance(noon + 600 * test_ms).probe.empty());
}

// An attempt that was decided before its connection opened. In each case something changes between the
// decision and the write.
struct DecidedAttempt {
    Router r = router();
    LookupHandle handle = r.add_lookup(lookup(9), noon);
    AttemptPlan plan = *handle.first_attempt(noon).send;
    bool confirmed(Micros at = noon + 300 * test_ms) { return handle.confirm_send(0, plan, at); }
    Server& cache() { return *find_server(r, plan.cache); }
    Server& upstream() { return *find_server(r, plan.upstream); }
    void update(Server& server, EndpointState state, Micros started_at = 0) {
        auto changed = entry(server.id, server.kind, server.zone);
        changed.state = state;
        changed.started_at = started_at;
        r.update_endpoints({changed}, false, noon);
    }
};

TEST_CASE("an attempt is confirmed as it was decided if nothing has changed") {
    DecidedAttempt attempt;
    CHECK(attempt.confirmed());
    CHECK(attempt.plan.max_copy_age == 0);
}

TEST_CASE("rule 1: no attempt is confirmed for a lookup that is done or past its deadline") {
    DecidedAttempt abandoned, late;
    abandoned.handle.client_left();
    CHECK_FALSE(abandoned.confirmed());
    CHECK_FALSE(late.confirmed(noon + 4 * test_second));
}

TEST_CASE("rule 3: no attempt is confirmed whose cache or upstream drains or has gone") {
    for (auto state : {EndpointState::Draining, EndpointState::Gone}) {
        DecidedAttempt to, filled_from;
        REQUIRE(to.plan.upstream != to.plan.cache);
        to.update(to.cache(), state);
        CHECK_FALSE(to.confirmed());
        filled_from.update(filled_from.upstream(), state);
        CHECK_FALSE(filled_from.confirmed());
    }
}

TEST_CASE("rule 4: no attempt is confirmed whose cache or upstream has started since the decision") {
    DecidedAttempt to, filled_from;
    to.update(to.cache(), EndpointState::Ready, noon);
    CHECK_FALSE(to.confirmed());
    filled_from.update(filled_from.upstream(), EndpointState::Ready, noon);
    CHECK_FALSE(filled_from.confirmed());
}

TEST_CASE("rule 4: an attempt that is written late is charged from when it is written") {
    auto r = router();
    r.traffic_types[0].sending_times = Samples(9, {noon, 100e3});
    for (auto& server : r.servers) server.started_at = noon - 5 * test_second;
    for (auto& server : r.servers) server.answered = Samples(9, {noon - test_ms, 100e3});
    auto handle = r.add_lookup(lookup(9), noon);
    auto plan = *handle.first_attempt(noon).send;
    REQUIRE(find_server(r, plan.cache)->cold_spending.size() == 1);
    CHECK(handle.confirm_send(0, plan, noon + 300 * test_ms));
    CHECK(find_server(r, plan.cache)->cold_spending[0].at == noon + 300 * test_ms);
    CHECK(find_server(r, plan.upstream)->cold_spending[0].at == noon + 300 * test_ms);
}

TEST_CASE("rule 5: a purge while the connection opens limits the copy age of the attempt") {
    DecidedAttempt attempt;
    attempt.r.record_purge(77, 3, 0, noon + 100 * test_ms);
    CHECK(attempt.confirmed(noon + 300 * test_ms));
    CHECK(attempt.plan.max_copy_age == 200 * test_ms);
}

TEST_CASE("rule 2: the deduplication window is checked when the next attempt is written") {
    auto facts = a_site();
    facts.traffic[0].idempotency = Idempotency::Keyed;
    facts.traffic[0].dedup_window = 200 * test_ms;
    auto r = router(facts);
    auto handle = r.add_lookup(lookup(9), noon);
    auto first = *handle.first_attempt(noon).send;
    auto next = handle.attempt_ended(end(Outcome::Reset, first.cache), noon + 100 * test_ms);
    REQUIRE(next.send);
    auto plan = *next.send;
    CHECK(handle.confirm_send(1, plan, noon + 199 * test_ms));
    CHECK_FALSE(handle.confirm_send(1, plan, noon + 200 * test_ms));
}

TEST_CASE("rule 5: a purge of the object or its group limits the copy age") {
    auto r = router();
    r.record_purge(0, 3, 40 * test_ms, noon);
    CHECK(max_copy_age(r, lookup(1), noon + test_second) == 1040 * test_ms);
    r.record_purge(77, 3, 0, noon + test_second);
    CHECK(max_copy_age(r, lookup(1), noon + 3 * test_second) == 2 * test_second);
    CHECK(max_copy_age(r, lookup(1), noon + 60 * test_second) == 0);
}

TEST_CASE("silence is counted in mean gaps from when a response was due") {
    Server server;
    server.response_gaps = {{0, 100e3}, {0, 100e3}, {0, 100e3}, {0, 100e3}};
    CHECK(silence_in_gaps(server, noon) == 0);
    server.in_flight = {{1, 0, 0, noon, 200 * test_ms, 0}};
    CHECK(silence_in_gaps(server, noon + 100 * test_ms) == 0);
    CHECK(silence_in_gaps(server, noon + 700 * test_ms) == doctest::Approx(5));
}

TEST_CASE("a cache that fails far more than its peers is ejected, and probed again later") {
    auto r = router();
    PendingLookup pending;
    pending.info = lookup(1);
    auto* first = pick_cache(r, pending, noon);
    for (int i = 0; i < 8; i++) first->failures.push_back({noon, 1});
    first->last_half_open_probe_at = noon;
    CHECK(pick_cache(r, pending, noon + 60 * test_ms) != first);  // peers are compared every 50 ms
    CHECK(pick_cache(r, pending, noon + 600 * test_ms) == first);
}

// Guards against congested caches that go on accepting the largest lookups. Seen in: first incidents.
TEST_CASE("under congestion the largest lookups are shed and the small ones are not") {
    auto r = router();
    for (int i = 0; i < 20; i++) r.traffic_types[0].sending_times.push_back({noon, 100e3 + i * 50e3});
    PendingLookup large, small;
    large.sending_time = 1000 * test_ms;
    small.sending_time = 100 * test_ms;
    CHECK_FALSE(should_shed(r, large, cache_congestion(r, noon), 0.5, 1.0, true));
    find_server(r, 1)->slack_used = Samples(8, {noon, 0.8});
    CHECK(should_shed(r, large, cache_congestion(r, noon), 0.5, 1.0, true));
    CHECK_FALSE(should_shed(r, small, cache_congestion(r, noon), 0.5, 1.0, true));
}

// Guards against fills that take seconds at a congested link while hits are fast, so that the caches do not
// look congested. Seen in: depot days.
TEST_CASE("under fill congestion a large lookup asks for a held copy only and is rejected on a miss") {
    auto r = router();
    for (int i = 0; i < 20; i++) r.traffic_types[0].sending_times.push_back({noon, 100e3 + i * 50e3});
    r.traffic_types[0].answered = r.traffic_types[0].filled = Samples(10, {noon - test_second, 100e3});
    CHECK(fill_congestion(r, 0, noon) == 0);
    find_server(r, 11)->in_flight =
        std::vector<InFlight>(8, {9, 0, 0, noon - 2 * test_second, 0, 500 * test_ms});
    CHECK(fill_congestion(r, 0, noon) > 1);
    auto in_flight = find_server(r, 11)->in_flight;
    for (auto& flight : find_server(r, 11)->in_flight)
        flight.traffic = 1;  // each traffic type is measured by itself
    CHECK(fill_congestion(r, 0, noon) == 0);
    find_server(r, 11)->in_flight = in_flight;
    auto large = lookup(1);
    large.kbytes = 5000;
    auto decision = r.add_lookup(large, noon).first_attempt(noon);
    REQUIRE(decision.send);
    CHECK(decision.send->only_if_cached);
    CHECK(find_server(r, decision.send->upstream)->kind == 1);
    CHECK(r.find_lookup(1)->attempt_ended(end(Outcome::Miss, decision.send->cache), noon).final_result ==
          FinalResult::Rejected);
}

TEST_CASE("an unknown object size is learned from the object's quickest answer") {
    auto r = router();
    r.object_counts[77] = {2, true, 300 * test_ms};
    auto unsized = lookup(1);
    unsized.kbytes = 0;
    auto handle = r.add_lookup(unsized, noon);
    CHECK(handle.lookup.sending_time == 300 * test_ms);
    handle.first_attempt(noon);
    handle.attempt_ended(end(Outcome::Ok, handle.lookup.attempts[0].cache, CacheStatus::Hit), noon);
    CHECK(r.object_counts[77].sending_time == 100 * test_ms);
}

TEST_CASE("random numbers are determined by their seed") {
    Random a{7}, b{7}, c{8};
    for (int i = 0; i < 9; i++) CHECK(a.next() == b.next());
    c.next();
    CHECK(a.next() != c.next());
}
