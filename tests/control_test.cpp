#define DOCTEST_CONFIG_IMPLEMENT_WITH_MAIN
#include <doctest/doctest.h>

#include <cmath>
#include <set>

#include "helpers.hpp"

using namespace quillgrade;

TEST_CASE("psi is one half at p and rises with the count") {
    CHECK(psi(2, 2) == doctest::Approx(0.5));
    CHECK(psi(1, 2) == doctest::Approx(1 / (1 + std::exp(2.0))));
    CHECK(psi(5, 2) > 0.99);
}

TEST_CASE("p is 20 over the location's routers, held between one half and 1") {
    auto facts = a_site();
    CHECK(Router(facts, 1).p() == 1);
    facts.routers_by_zone[1] = 25;
    CHECK(Router(facts, 1).p() == 0.8);
    facts.routers_by_zone[1] = 90;
    CHECK(Router(facts, 1).p() == 0.5);
}

TEST_CASE("a kept name goes on asking keep, and later parts follow without counting") {
    auto r = router();
    r.object_counts[77] = {3, true};
    CHECK(keep_or_pass(r, lookup(1, 77, 4), noon));
    CHECK(r.object_counts[77].lookups == 3);
    CHECK(keep_or_pass(r, lookup(1, 77, 0), noon));
    CHECK(r.object_counts[77].lookups == 4);
    r.object_counts[78] = {3, false};
    CHECK_FALSE(keep_or_pass(r, lookup(1, 78, 4), noon));
}

TEST_CASE("a later part of a name that is not known counts as the first") {
    auto r = router();
    keep_or_pass(r, lookup(1, 77, 4), noon);
    CHECK(r.object_counts[77].lookups == 1);
}

TEST_CASE("counts halve every 30 s and a name that falls to nothing is forgotten") {
    auto r = router();
    r.halved_at = noon;
    r.object_counts[1] = {1, true};
    r.object_counts[2] = {9, true};
    keep_or_pass(r, lookup(1, 77), noon + 30 * test_second);
    CHECK_FALSE(r.object_counts.contains(1));
    CHECK(r.object_counts[2].lookups == 4);
}

TEST_CASE("the table of names is bounded") {
    auto r = router();
    for (ObjectId object = 0; object < 40000; object++) keep_or_pass(r, lookup(1, object + 1), noon);
    CHECK(r.object_counts.size() <= 16384);
}

TEST_CASE("uncacheable lookups pass untouched") {
    auto r = router();
    auto write = lookup(1);
    write.write = true;
    CHECK_FALSE(keep_or_pass(r, write, noon));
    CHECK(r.object_counts.empty());
}

TEST_CASE("of two parents the one with the lower first-byte time is the source") {
    auto r = router();
    PendingLookup held;
    held.info = lookup(1);
    find_server(r, 11)->first_byte_times = {{noon, 100e3}};
    find_server(r, 12)->first_byte_times = {{noon, 30e3}};
    CHECK(pick_upstream(r, held, noon) == 12);
}

// Guards against calcul-rate-later's big-1: a slow parent, judged by its few answers, went on being named.
TEST_CASE("what a parent has not yet answered counts in its first-byte time") {
    auto r = router();
    PendingLookup held;
    held.info = lookup(1);
    find_server(r, 11)->first_byte_times = {{noon, 20e3}};
    find_server(r, 12)->first_byte_times = {{noon, 30e3}};
    CHECK(pick_upstream(r, held, noon) == 11);
    find_server(r, 11)->in_flight = {{9, 0, 0, noon - test_second, 0, 100 * test_ms}};
    CHECK(pick_upstream(r, held, noon) == 12);
}

// Guards against sources that change with the size of the last answers: untold first-byte times are the lag
// less the sending time.
TEST_CASE("where the wait is not told, a source's first byte is the lag less the sending time") {
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

// Guards against depot-media's big-1: one parent lost and the other failing fast, each excused by the other.
TEST_CASE("two failing parents do not excuse each other while the origin answers") {
    auto r = router();
    PendingLookup held;
    held.info = lookup(1);
    for (CacheId id : {11, 12}) {
        find_server(r, id)->failures = Samples(8, {noon, 1});
        find_server(r, id)->last_half_open_probe_at = noon;
    }
    CHECK(pick_upstream(r, held, noon) == 20);
    find_server(r, 20)->failures = Samples(8, {noon, 1});
    CHECK(pick_upstream(r, held, noon + 60 * test_ms) != 20);
}

// Guards against partner-schools-later's big-2: a parent was down, and the caches that said so were passed
// by.
TEST_CASE("an untold failure is laid to whichever of cache and source fails more in other company") {
    auto facts = a_site();
    facts.cache_status_reporting = CacheStatusReporting::HitsOnly;
    auto r = router(facts);
    auto handle = r.add_lookup(lookup(1), noon);
    auto sent = handle.first_attempt(noon);
    auto* cache = find_server(r, sent.send->cache);
    auto* source = find_server(r, sent.send->upstream);
    cache->failures = Samples(4, {noon, 0});
    source->failures = Samples(3, {noon, 1, 99});
    auto next = handle.attempt_ended(end(Outcome::Overloaded, cache->id), noon);
    CHECK(cache->failures.back().value == 0);
    CHECK(source->failures.back().value == 1);
    REQUIRE(next.send);
    CHECK(next.send->cache == cache->id);
    CHECK(next.send->upstream != source->id);
}

// Guards against incident i8d9138: a school whose caches had died went on trying to reach each of them.
TEST_CASE("caches that cannot be reached get trials and nothing else") {
    auto r = router();
    PendingLookup held;
    held.info = lookup(1);
    for (CacheId id : {1, 2, 3})
        find_server(r, id)->unreachable_since = find_server(r, id)->last_half_open_probe_at = noon;
    CHECK_FALSE(pick_cache(r, held, noon + 100 * test_ms));
    CHECK(pick_cache(r, held, noon + test_second));
}

// Guards against trials that become most of what a router with few lookups sends.
TEST_CASE("a router that takes few lookups tries a cache out of favour less often") {
    auto r = router();
    PendingLookup held;
    held.info = lookup(1);
    for (CacheId id : {1, 2, 3})
        find_server(r, id)->unreachable_since = find_server(r, id)->last_half_open_probe_at = noon;
    for (int i = 0; i < 10; i++) r.recent_lookups.push_back({noon + (i - 8) * (500 * test_ms), 1});
    CHECK_FALSE(pick_cache(r, held, noon + test_second));
    CHECK(pick_cache(r, held, noon + 15 * test_second));
}

// Guards against hot objects that fill up one cache while its neighbours have room, and against a slow origin
// whose waiting fills would look like such a crowd.
TEST_CASE("a cache that holds rate times time gives way, but not for lookups that wait for a fill") {
    auto r = router();
    PendingLookup held;
    held.info = lookup(1);
    auto* first = pick_cache(r, held, noon);
    first->in_flight = std::vector<InFlight>(8, {9, 0, 0, noon, 0, 100 * test_ms});
    CHECK(pick_cache(r, held, noon) != first);
    first->in_flight =
        std::vector<InFlight>(8, {9, 0, 0, noon - 2 * test_second, 9 * test_second, 100 * test_ms});
    CHECK(pick_cache(r, held, noon) == first);
}

// Guards against partner-schools-later's big-2: long objects in convoy at one cache while others had room.
TEST_CASE("the parts of an object are spread over the caches, each part always at the same one") {
    auto r = router();
    std::set<CacheId> met;
    for (int part = 0; part < 20; part++) {
        PendingLookup held;
        held.info = lookup(1, 77, part);
        auto* cache = pick_cache(r, held, noon);
        met.insert(cache->id);
        CHECK(pick_cache(r, held, noon) == cache);
    }
    CHECK(met.size() == 3);
}

// Guards against depot-media-later's big-1: trials at ageing caches looked like a crowd, and half was
// rejected.
TEST_CASE("what trials meet at a cache under complaint is no crowd") {
    auto r = router();
    for (CacheId id : {1, 2, 3}) find_server(r, id)->slack_used = Samples(4, {noon, 0.1});
    find_server(r, 3)->slack_used = Samples(8, {noon, 9});
    CHECK(cache_congestion(r, noon) > 1);
    find_server(r, 3)->unreachable_since = noon;
    CHECK(cache_congestion(r, noon) == doctest::Approx(0.1));
}

// Guards against partner-schools-later's overload and calcul-rate-later's big-1: a jammed link in and a slow
// origin look alike from the time that fills take, and want different answers.
TEST_CASE("a jammed link keeps large lookups from filling") {
    auto r = router();
    r.traffic_types[0].sending_times = Samples(8, {noon, 10e3});
    for (int i = 0; i < 8; i++) find_server(r, 1)->link_utilization.push_back({noon, 6});
    auto sent = r.add_lookup(lookup(1), noon).first_attempt(noon);
    REQUIRE(sent.send);
    CHECK(sent.send->upstream == sent.send->cache);
}

// Guards against partner-schools' big-2: to free a fifth of the work a fifth of the lookups was rejected.
TEST_CASE("a share of the work is freed by fewer lookups than a share of the lookups") {
    auto r = router();
    for (int i = 0; i < 9; i++) r.traffic_types[0].sending_times.push_back({noon, 10e3});
    r.traffic_types[0].sending_times.push_back({noon, 910e3});
    PendingLookup held;
    held.sending_time = 20 * test_ms;
    CHECK_FALSE(should_shed(r, held, 0.5, 0, 1, true));
    held.sending_time = 920 * test_ms;
    CHECK(should_shed(r, held, 0.5, 0, 1, true));
    held.sending_time = 20 * test_ms;
    CHECK(should_shed(r, held, 0.5, 0, 1, false));
}

// Guards against incident i6108ec: with the origin out of reach, fills failed at once and held every place,
// and routers with few lookups each had too few of them out to see a crowd.
TEST_CASE("fills that failed or came late tell a crowd of fills though few are out") {
    auto r = router();
    r.traffic_types[0].fill_slack_used = Samples(8, {noon, 0.2});
    CHECK(fill_congestion(r, 0, noon) < 0.1);
    r.traffic_types[0].fill_slack_used = Samples(8, {noon, 1.5});
    CHECK(fill_congestion(r, 0, noon) > 0.5);
}

// Guards against incident i56a22c: parents failed fast, and for that large lookups were kept from a sound
// origin.
TEST_CASE("what fills meet at a source under complaint is no crowd of fills") {
    auto r = router();
    r.traffic_types[0].fill_slack_used = Samples(8, {noon, 1.5, 11});
    CHECK(fill_congestion(r, 0, noon) > 0.5);
    find_server(r, 11)->unreachable_since = noon;
    CHECK(fill_congestion(r, 0, noon) == 0);
}

// Guards against work for each lookup that grows with the whole fleet.
TEST_CASE("caches of other locations are not kept, parents and the origin are") {
    auto r = router();
    r.update_endpoints({entry(31, 0, 2), entry(32, 1, 0)}, false, noon);
    CHECK_FALSE(find_server(r, 31));
    CHECK(find_server(r, 32));
}

// Guards against depot-media-later's big-1 twin: parents asked for what they hold counted as failing when
// they lacked it, and the origin was asked for all.
TEST_CASE("a parent that lacks an object has not failed") {
    auto r = router();
    auto handle = r.add_lookup(lookup(1), noon);
    auto sent = handle.first_attempt(noon);
    handle.lookup.only_if_cached = true;
    handle.attempt_ended(end(Outcome::Miss, sent.send->cache, CacheStatus::UpstreamMiss), noon);
    CHECK(find_server(r, sent.send->upstream)->failures.empty());
}

// Guards against 0.4 probes a lookup where many routers share a location and each hears little.
TEST_CASE("the link's use is probed for only where answers do not bring it") {
    auto r = router();
    CHECK(r.run_maintenance(noon).probe.size() == 1);
    r.load_in_responses = true;
    CHECK(r.run_maintenance(noon + test_second).probe.empty());
}

TEST_CASE("the link's use is heard from load reports") {
    auto r = router();
    r.probe_ended(1, Outcome::Ok, 0, {2, {5, 3}}, noon);
    CHECK(link_congestion(r, noon) == doctest::Approx(3.0));
    CHECK(link_congestion(r, noon + 9 * test_second) == 0);
}

// Guards against a link that is left empty while reports still call it jammed.
TEST_CASE("a report of the link counts in proportion to what is out by now") {
    auto r = router();
    for (int i = 0; i < 3; i++) find_server(r, 1)->link_utilization.push_back({noon, 12});
    for (int i = 0; i < 4; i++) r.upstream_in_flight.push_back({noon, 23});
    CHECK(link_congestion(r, noon) == doctest::Approx(0.5));
    find_server(r, 11)->in_flight.resize(11);
    CHECK(link_congestion(r, noon) == doctest::Approx(6.0));
    find_server(r, 11)->in_flight.resize(90);
    CHECK(link_congestion(r, noon) == doctest::Approx(12.0));
}

TEST_CASE("a cache's last report of the link is the one that counts") {
    auto r = router();
    for (double use : {8.0, 8.0, 8.0, 2.0}) find_server(r, 1)->link_utilization.push_back({noon, use});
    CHECK(link_congestion(r, noon) == doctest::Approx(2.0));
}

// Guards against memory that grows as caches come and go under ever new ids.
TEST_CASE("nothing is kept of a server that has gone, and a lookup that waits there moves on") {
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

// Guards against objects that chance moves to and fro between two sound parents, each keeping a copy.
TEST_CASE("an object stays with its first parent until the second is clearly quicker") {
    auto r = router();
    PendingLookup held;
    held.info = lookup(1);
    auto first = pick_upstream(r, held, noon);
    CacheId second = first == 11 ? 12 : 11;
    find_server(r, first)->first_byte_times = {{noon, 60e3}};
    find_server(r, second)->first_byte_times = {{noon, 45e3}};
    CHECK(pick_upstream(r, held, noon) == first);
    find_server(r, second)->first_byte_times = {{noon, 30e3}};
    CHECK(pick_upstream(r, held, noon) == second);
}

// Guards against a client whose made-up sizes move what counts as large, and as much, for everybody else.
TEST_CASE("a size that could not be sent in time is no measure of others") {
    auto r = router();
    auto huge = lookup(1);
    huge.kbytes = 1e9;
    CHECK(r.add_lookup(huge, noon).first_attempt(noon).final_result == FinalResult::Rejected);
    CHECK(r.traffic_types[0].sending_times.empty());
}

// Guards against a cache that looks unreachable because this router had no connection left for a probe.
TEST_CASE("a probe that was never sent says nothing of its cache") {
    auto r = router();
    r.probe_ended(1, Outcome::NotSent, 0, {}, noon);
    CHECK_FALSE(ejection_reason(r, *find_server(r, 1), noon));
    r.probe_ended(1, Outcome::Timeout, 0, {}, noon);
    CHECK(ejection_reason(r, *find_server(r, 1), noon));
}

// Guards against answers that break off in silence: the lookup waited for its time limit.
TEST_CASE("a lookup later than nearly all of its type gets a copy, a slow one or a crowded site does not") {
    auto r = router();
    for (int i = 0; i < 64; i++) r.traffic_types[0].excess_times.push_back({noon, i < 60 ? 50e3 : 300e3});
    auto handle = r.add_lookup(lookup(1), noon);
    REQUIRE(handle.first_attempt(noon).send);
    CHECK_FALSE(handle.check(noon + 390 * test_ms).send);  // 100 ms of it are for sending
    find_server(r, 1)->link_utilization.push_back({noon, 3});
    CHECK_FALSE(handle.check(noon + 410 * test_ms).send);
    find_server(r, 1)->link_utilization.clear();
    r.traffic_types[0].fill_slack_used = Samples(8, {noon, 0.9});  // fills are slow, not lost
    CHECK_FALSE(handle.check(noon + 410 * test_ms).send);
    r.traffic_types[0].fill_slack_used.clear();
    auto source = r.lookups.at(1).attempts[0].upstream;
    auto copy = handle.check(noon + 410 * test_ms).send;
    REQUIRE(copy);
    CHECK(copy->upstream != source);
    CHECK_FALSE(handle.check(noon + 900 * test_ms).send);  // one copy is enough
    r.traffic_types[0].idempotency = Idempotency::NonIdempotent;
    auto exclusive = r.add_lookup(lookup(2), noon);
    REQUIRE(exclusive.first_attempt(noon).send);
    CHECK_FALSE(exclusive.check(noon + 410 * test_ms).send);
}

// Guards against a parent that has fallen silent and counts as heard with every fill that runs out of time.
TEST_CASE("a fill that ran out of time is no word from its source") {
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

TEST_CASE("one parent serves alone and none means the origin") {
    auto r = router();
    PendingLookup held;
    held.info = lookup(1);
    find_server(r, 12)->state = EndpointState::Gone;
    CHECK(pick_upstream(r, held, noon) == 11);
    find_server(r, 11)->state = EndpointState::Draining;
    CHECK(pick_upstream(r, held, noon) == 20);
}

// Guards against the fault of the first incident on partner-schools: a parent was told to fill from another.
TEST_CASE("a lookup sent straight at a parent names the origin and no other parent as its source") {
    auto facts = a_site();
    facts.direct = true;
    auto r = router(facts);
    for (CacheId id : {1, 2, 3}) find_server(r, id)->state = EndpointState::Gone;
    find_server(r, 11)->first_byte_times = find_server(r, 12)->first_byte_times = {{noon, 1}};
    for (int i = 0; i < 8; i++) find_server(r, 11)->failures.push_back({noon, 1});
    auto answer = r.add_lookup(lookup(1), noon).first_attempt(noon);
    REQUIRE(answer.send);
    CHECK(answer.send->upstream == 20);
}

TEST_CASE("rule 1: a lookup whose caches are all gone is rejected at once, with advice") {
    auto r = router();
    for (CacheId id : {1, 2, 3}) find_server(r, id)->state = EndpointState::Gone;
    auto answer = r.add_lookup(lookup(1), noon).first_attempt(noon);
    CHECK(answer.final_result == FinalResult::Rejected);
    CHECK(answer.retry_after > 0);
    CHECK_FALSE(r.find_lookup(1));
}

TEST_CASE("rule 1: a time-out at the client's limit is answered by a break-off and nothing is sent") {
    auto r = router();
    auto handle = r.add_lookup(lookup(1), noon);
    auto sent = handle.first_attempt(noon);
    auto answer = handle.attempt_ended(end(Outcome::Timeout, sent.send->cache), noon + 4 * test_second);
    CHECK(answer.final_result == FinalResult::Failed);
    CHECK_FALSE(answer.send);
}

TEST_CASE("rule 1: with no outcome at all, looking in at the limit ends the lookup") {
    auto r = router();
    auto handle = r.add_lookup(lookup(1), noon);
    handle.first_attempt(noon);
    CHECK(handle.check(noon + 4 * test_second).final_result == FinalResult::Failed);
}

TEST_CASE("rule 2: an exclusive lookup that may have run is neither sent again nor rejected") {
    auto facts = a_site();
    facts.traffic[0].idempotency = Idempotency::NonIdempotent;
    auto r = router(facts);
    PendingLookup held;
    held.info = lookup(1);
    held.attempts = {{1, 11, noon, 0, false, true}};
    CHECK_FALSE(may_attempt(r, held, *find_server(r, 2), noon));
    CHECK_FALSE(may_reject(r, held));
    held.attempts[0].may_have_executed = false;
    CHECK(may_attempt(r, held, *find_server(r, 2), noon));
    CHECK(may_reject(r, held));
}

TEST_CASE("rule 2: a ticketed lookup stays in its group and inside its window") {
    auto facts = a_site();
    facts.traffic[0].idempotency = Idempotency::Keyed;
    facts.traffic[0].dedup_scope = DedupScope::Cell;
    auto r = router(facts);
    PendingLookup held;
    held.info = lookup(1);
    held.attempts = {{1, 11, noon, 0, false, true}};
    CHECK(may_attempt(r, held, *find_server(r, 2), noon + test_second));
    CHECK_FALSE(may_attempt(r, held, *find_server(r, 2), noon + 4 * test_second));
    find_server(r, 2)->cell = 8;
    CHECK_FALSE(may_attempt(r, held, *find_server(r, 2), noon + test_second));
    CHECK_FALSE(may_reject(r, held));
}

TEST_CASE("rule 2: no second transmission beside the first where the site forbids it") {
    auto facts = a_site();
    facts.hedging = false;
    auto r = router(facts);
    PendingLookup held;
    held.info = lookup(1);
    held.attempts = {{1, 11, noon, 0, true, true}};
    CHECK_FALSE(may_attempt(r, held, *find_server(r, 2), noon));
}

TEST_CASE("rule 3: a draining cache gets nothing new") {
    auto r = router();
    PendingLookup held;
    held.info = lookup(1);
    auto* first = pick_cache(r, held, noon);
    first->state = EndpointState::Draining;
    auto* second = pick_cache(r, held, noon);
    REQUIRE(second);
    CHECK(second->id != first->id);
}

TEST_CASE("rule 4: a cold server has a budget over any window, fills included") {
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

// Guards against the lost office of calcul-rate's big-2: its restarted router knew no rate and sent nothing
// again. And against all routers together pushing a server over by what each was answered: what counts is the
// ratio at which the settings let it start.
TEST_CASE(
    "a restarted router that knows no rates finds its way up at cold caches, within the settings' ratio") {
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
// part of the traffic is whose, and whatever it answers: past N lookups within any window only 2 x root of N
// + 2 are chance. Counted here, outside the routers. Each asks whenever its traffic comes, and an answer
// comes at once, as far as the server's link carries it.
TEST_CASE("rule 4: the ramp of a cold server holds for the sum over all routers, with unequal traffic") {
    constexpr Micros work = 100 * test_ms, warm = 12 * test_second, window = test_second;
    constexpr double rating = 40;  // lookups a tenth of a second that its link carries when warm
    for (bool told : {true, false})
        for (int routers : {1, 4, 20, 30, 300}) {
            CAPTURE(told);
            CAPTURE(routers);
            auto facts = a_site();
            facts.weights_are_link_rates = told;
            facts.routers = routers;
            facts.parent_cold_period = warm;
            facts.probes = false;
            std::vector<Router> fleet;
            for (int i = 0; i < routers; i++) {
                fleet.emplace_back(facts, 7919U * static_cast<unsigned>(i) + 1);
                auto parent = entry(11, 1, 0), peer = entry(12, 1, 0);
                parent.weight = peer.weight = rating;
                fleet.back().update_endpoints({parent, peer}, true, noon - 60 * test_second);
                auto& seen = *find_server(fleet.back(), 12);  // its part of what a warm one carries
                for (int k = 0; k < 12; k++)
                    seen.answered.push_back({noon - (12 - k) * test_second / 4 * routers / 100, work});
                find_server(fleet.back(), 11)->started_at = noon;
            }
            Random chance{77};
            std::vector<Micros> sent;
            double most_over = -1e9;
            for (Micros now = noon; now < noon + warm; now += 2 * test_ms)
                for (int i = 0; i < routers; i++) {
                    // One in ten has half of the traffic: ten times what the server could do when warm.
                    bool heavy = i % 10 == 0;
                    int heavy_ones = (routers + 9) / 10;
                    double part = 0.5 / (heavy ? heavy_ones : routers);
                    if (chance.unit() >= part * 10 * rating * 10 * 2e-3) continue;
                    auto& r = fleet[static_cast<std::size_t>(i)];
                    auto& server = *find_server(r, 11);
                    if (!within_cold_budget(r, server, work, now)) continue;
                    server.cold_spending.push_back({now, static_cast<double>(work)});
                    sent.push_back(now);
                    auto count =
                        std::count_if(sent.begin(), sent.end(), [&](Micros at) { return now - at < window; });
                    double share = 0.1 + 0.9 * static_cast<double>(now - noon) / static_cast<double>(warm);
                    double n = 2 * share * rating * static_cast<double>(window) / static_cast<double>(work);
                    most_over = std::max(most_over, static_cast<double>(count) - (n + 2 * std::sqrt(n) + 2));
                    if (2 * static_cast<double>(count) > n)
                        continue;  // its link carries no more: a multiple of 2
                    server.answered.push_back({now, static_cast<double>(work)});
                    if (server.answered.size() > 64) server.answered.pop_front();
                }
            CHECK(most_over <= 0);
            CHECK(sent.size() > 20);  // it is used, and not left alone until it is warm:
            if (told)
                CHECK(sent.front() < noon + warm / 4);  // also where a router's part is under one lookup
        }
}

// Guards against routers that are killed and started again: each would spend its part of a window twice.
TEST_CASE("rule 4: a router that has just started takes what its last life may have spent for spent") {
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

// Guards against probes by many routers, which alone would push over a server that has just started.
TEST_CASE("rule 4: a probe of a cold server is paid for from its budget") {
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

// What is written when a connection comes up was decided before: each case is a crossing.
struct Decided {
    Router r = router();
    LookupHandle handle = r.add_lookup(lookup(9), noon);
    AttemptPlan order = *handle.first_attempt(noon).send;
    bool confirmed(Micros at = noon + 300 * test_ms) { return handle.confirm_send(0, order, at); }
    Server& cache() { return *find_server(r, order.cache); }
    Server& source() { return *find_server(r, order.upstream); }
    void told(Server& server, EndpointState listed, Micros started = 0) {
        auto changed = entry(server.id, server.kind, server.zone);
        changed.state = listed;
        changed.started_at = started;
        r.update_endpoints({changed}, false, noon);
    }
};

TEST_CASE("a transmission is confirmed as it was decided, once nothing has changed") {
    Decided one;
    CHECK(one.confirmed());
    CHECK(one.order.max_copy_age == 0);
}

TEST_CASE("rule 1: no transmission is confirmed for a lookup that is over, or out of time") {
    Decided left, late;
    left.handle.client_left();
    CHECK_FALSE(left.confirmed());
    CHECK_FALSE(late.confirmed(noon + 4 * test_second));
}

TEST_CASE(
    "rule 3: no transmission is confirmed to a server that drains or has gone, nor from such a source") {
    for (auto listed : {EndpointState::Draining, EndpointState::Gone}) {
        Decided at, from;
        REQUIRE(at.order.upstream != at.order.cache);
        at.told(at.cache(), listed);
        CHECK_FALSE(at.confirmed());
        from.told(from.source(), listed);
        CHECK_FALSE(from.confirmed());
    }
}

TEST_CASE("rule 4: no transmission is confirmed to a server that has started since it was decided") {
    Decided at, from;
    at.told(at.cache(), EndpointState::Ready, noon);
    CHECK_FALSE(at.confirmed());
    from.told(from.source(), EndpointState::Ready, noon);
    CHECK_FALSE(from.confirmed());
}

TEST_CASE("rule 4: what reaches a cold server late counts from when it does") {
    auto r = router();
    r.traffic_types[0].sending_times = Samples(9, {noon, 100e3});
    for (auto& server : r.servers) server.started_at = noon - 5 * test_second;
    for (auto& server : r.servers) server.answered = Samples(9, {noon - test_ms, 100e3});
    auto handle = r.add_lookup(lookup(9), noon);
    auto order = *handle.first_attempt(noon).send;
    REQUIRE(find_server(r, order.cache)->cold_spending.size() == 1);
    CHECK(handle.confirm_send(0, order, noon + 300 * test_ms));
    CHECK(find_server(r, order.cache)->cold_spending[0].at == noon + 300 * test_ms);
    CHECK(find_server(r, order.upstream)->cold_spending[0].at == noon + 300 * test_ms);
}

TEST_CASE("rule 5: a purge that is told while the connection comes up bounds the age that will do") {
    Decided one;
    one.r.record_purge(77, 3, 0, noon + 100 * test_ms);
    CHECK(one.confirmed(noon + 300 * test_ms));
    CHECK(one.order.max_copy_age == 200 * test_ms);
}

TEST_CASE("rule 2: a ticket's window is looked at when the next transmission is written") {
    auto facts = a_site();
    facts.traffic[0].idempotency = Idempotency::Keyed;
    facts.traffic[0].dedup_window = 200 * test_ms;
    auto r = router(facts);
    auto handle = r.add_lookup(lookup(9), noon);
    auto first = *handle.first_attempt(noon).send;
    auto next = handle.attempt_ended(end(Outcome::Reset, first.cache), noon + 100 * test_ms);
    REQUIRE(next.send);
    auto order = *next.send;
    CHECK(handle.confirm_send(1, order, noon + 199 * test_ms));
    CHECK_FALSE(handle.confirm_send(1, order, noon + 200 * test_ms));
}

TEST_CASE("rule 5: a purge of the object or its group bounds the age that will do") {
    auto r = router();
    r.record_purge(0, 3, 40 * test_ms, noon);
    CHECK(max_copy_age(r, lookup(1), noon + test_second) == 1040 * test_ms);
    r.record_purge(77, 3, 0, noon + test_second);
    CHECK(max_copy_age(r, lookup(1), noon + 3 * test_second) == 2 * test_second);
    CHECK(max_copy_age(r, lookup(1), noon + 60 * test_second) == 0);
}

TEST_CASE("silence counts mean gaps beyond the time an answer was due") {
    Server server;
    server.response_gaps = {{0, 100e3}, {0, 100e3}, {0, 100e3}, {0, 100e3}};
    CHECK(silence_in_gaps(server, noon) == 0);
    server.in_flight = {{1, 0, 0, noon, 200 * test_ms, 0}};
    CHECK(silence_in_gaps(server, noon + 100 * test_ms) == 0);
    CHECK(silence_in_gaps(server, noon + 700 * test_ms) == doctest::Approx(5));
}

TEST_CASE("a cache that fails far more than its peers is passed by, but not for good") {
    auto r = router();
    PendingLookup held;
    held.info = lookup(1);
    auto* first = pick_cache(r, held, noon);
    for (int i = 0; i < 8; i++) first->failures.push_back({noon, 1});
    first->last_half_open_probe_at = noon;
    CHECK(pick_cache(r, held, noon + 60 * test_ms) != first);  // peers are compared every 50 ms
    CHECK(pick_cache(r, held, noon + 600 * test_ms) == first);
}

// Guards against the jam of the first incidents: crowded caches kept on taking the largest lookups.
TEST_CASE("in a crowd the largest lookups are shed and the small ones are not") {
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

// Guards against the jam of depot days: fills took seconds at a full link in while hits were quick.
TEST_CASE("while fills crowd, a large lookup asks a parent for what it holds and is rejected on a miss") {
    auto r = router();
    for (int i = 0; i < 20; i++) r.traffic_types[0].sending_times.push_back({noon, 100e3 + i * 50e3});
    r.traffic_types[0].answered = r.traffic_types[0].filled = Samples(10, {noon - test_second, 100e3});
    CHECK(fill_congestion(r, 0, noon) == 0);
    find_server(r, 11)->in_flight =
        std::vector<InFlight>(8, {9, 0, 0, noon - 2 * test_second, 0, 500 * test_ms});
    CHECK(fill_congestion(r, 0, noon) > 1);
    auto out = find_server(r, 11)->in_flight;
    for (auto& flight : find_server(r, 11)->in_flight) flight.traffic = 1;  // each traffic type for itself
    CHECK(fill_congestion(r, 0, noon) == 0);
    find_server(r, 11)->in_flight = out;
    auto large = lookup(1);
    large.kbytes = 5000;
    auto answer = r.add_lookup(large, noon).first_attempt(noon);
    REQUIRE(answer.send);
    CHECK(answer.send->only_if_cached);
    CHECK(find_server(r, answer.send->upstream)->kind == 1);
    CHECK(r.find_lookup(1)->attempt_ended(end(Outcome::Miss, answer.send->cache), noon).final_result ==
          FinalResult::Rejected);
}

TEST_CASE("the size of an object that is not told is learned from its quickest answer") {
    auto r = router();
    r.object_counts[77] = {2, true, 300 * test_ms};
    auto told = lookup(1);
    told.kbytes = 0;
    auto handle = r.add_lookup(told, noon);
    CHECK(handle.lookup.sending_time == 300 * test_ms);
    handle.first_attempt(noon);
    handle.attempt_ended(end(Outcome::Ok, handle.lookup.attempts[0].cache, CacheStatus::Hit), noon);
    CHECK(r.object_counts[77].sending_time == 100 * test_ms);
}

TEST_CASE("one seed gives one result") {
    Random a{7}, b{7}, c{8};
    for (int i = 0; i < 9; i++) CHECK(a.next() == b.next());
    c.next();
    CHECK(a.next() != c.next());
}
