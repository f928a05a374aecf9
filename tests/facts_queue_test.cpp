// The queue of facts (drains, purges) that a router has to tell others. `quillgrade_hollow run --hollow 300
// --real 12
// --seconds 20` beside 12 busy processes on 8 cores declared 3 and 2 living routers dead, and purges took up
// to 9.2 s to be everywhere: all declared ones had been held up, and none of the 2,398 holds was before the
// burst of purges. Samples of the processes' stacks showed why: 75% of their processor time went into sorting
// this queue, which was done for each datagram, with two look-ups in a map for each comparison. A burst fills
// the queue with 2,048 facts.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <ctime>

#include "shared/facts.hpp"

using namespace quillgrade;
using namespace quillgrade::shared;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms, now = 1'764'576'000 * second;
constexpr std::uint64_t now_ms = now / ms;
constexpr int routers = 300;
constexpr std::size_t a_datagram = 10;

Fact purge(std::uint64_t object, std::uint64_t time = now_ms) {
    return {FactSubject::Object, object, time, false, now_ms};
}

ReplicatedFacts with_waiting(std::uint64_t count) {
    ReplicatedFacts facts(6 * second, routers);
    for (std::uint64_t object = 1; object <= count; object++) facts.receive(purge(object), now);
    return facts;
}

double thread_cpu_seconds() {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

// Processor time of filling datagrams, the least of several tries, since other work only adds to it.
double cost_of_telling(std::uint64_t waiting) {
    constexpr int tries = 9, datagrams = 20;
    double least = 1e9;
    for (int i = 0; i < tries; i++) {
        auto facts = with_waiting(waiting);
        auto start = thread_cpu_seconds();
        for (int k = 0; k < datagrams; k++) facts.next_to_send(a_datagram, now);
        least = std::min(least, thread_cpu_seconds() - start);
    }
    return least;
}

}  // namespace

TEST_CASE("what a datagram costs grows by less than what waits to be told") {
    constexpr std::uint64_t few = 256, many = ReplicatedFacts::max_facts;
    // Eight times as many: a cost in proportion is 8, that of sorting more.
    CHECK(cost_of_telling(many) < static_cast<double>(many) / few * cost_of_telling(few));
    CHECK(cost_of_telling(many) < 4 * cost_of_telling(few));
}

TEST_CASE("facts told least often come first, the newest of them before others, none twice in a datagram") {
    auto facts = with_waiting(3);
    auto keys = [&](std::size_t most) {
        std::vector<std::uint64_t> all;
        for (auto& fact : facts.next_to_send(most, now)) all.push_back(fact.key);
        return all;
    };
    CHECK(keys(2) == std::vector<std::uint64_t>{3, 2});
    CHECK(keys(2) == std::vector<std::uint64_t>{1, 3});
    facts.receive(purge(4), now);
    CHECK(keys(10) == std::vector<std::uint64_t>{4, 2, 1, 3});
}

TEST_CASE("each fact is told a bounded number of times, one that had no room once more") {
    auto facts = with_waiting(1);
    facts.restore_unsent(facts.next_to_send(1, now).at(0));
    int told = 0;
    while (!facts.next_to_send(1, now).empty()) told++;
    auto another = with_waiting(1);
    int without = 0;
    while (!another.next_to_send(1, now).empty()) without++;
    CHECK(told == without);
    CHECK(told > 3);
}

// A fact that had grown too old to be told left the queue, and stayed out of it when it became news again.
TEST_CASE("a fact that left the queue unsaid is told when it becomes news again") {
    auto facts = with_waiting(1);
    auto later = now + ReplicatedFacts::gossip_lifetime + second;
    CHECK(facts.next_to_send(a_datagram, later).empty());
    facts.receive({FactSubject::Object, 1, static_cast<std::uint64_t>(later / ms), false,
                   static_cast<std::uint64_t>(later / ms)},
                  later);
    CHECK(facts.next_to_send(a_datagram, later).size() == 1);
}

TEST_CASE("facts that make room for others, or are over, are told no more") {
    auto facts = with_waiting(ReplicatedFacts::max_facts);
    facts.record_purge({1'000'000, 0, now + ms}, now + ms);
    CHECK(facts.next_to_send(1, now + ms).at(0).key == 1'000'000);
    facts.tick(now, now + 20 * second);
    CHECK(facts.size() == 0);
    CHECK(facts.next_to_send(a_datagram, now + 20 * second).empty());
}

// Found by the same samples once the queue was mended: with 2,048 facts held, each purge of the router's own
// coordinator looked at all of them for the oldest, and each loop iteration for those that are over (63% of
// the time).
TEST_CASE("what a purge of the own coordinator and a pass cost does not grow with the facts held") {
    auto cost_once = [](std::uint64_t held) {
        constexpr int purges = 200;
        auto facts = with_waiting(held);
        auto start = thread_cpu_seconds();
        for (std::uint64_t k = 0; k < purges; k++) {
            facts.record_purge({1'000'000 + k, 0, now}, now);
            facts.tick(now, now);
        }
        return thread_cpu_seconds() - start;
    };
    // In turn, so that what other work does to the caches of the processor meets both alike; the least of
    // each, since it only adds.
    constexpr int tries = 40;
    double many = 1e9, few = 1e9;
    for (int i = 0; i < tries; i++) {
        many = std::min(many, cost_once(ReplicatedFacts::max_facts));
        few = std::min(few, cost_once(ReplicatedFacts::max_facts / 8));
    }
    // The queue grows by 200 on either side.
    CHECK(many < 4 * few);
}

TEST_CASE("a purge heard twice before a pass is told to the router once, the later one") {
    auto facts = with_waiting(1);
    facts.receive(purge(1, now_ms + 5), now);
    auto changes = facts.tick(now, now);
    REQUIRE(changes.purges.size() == 1);
    CHECK(changes.purges[0].at == now + 5 * ms);
    CHECK(facts.tick(now, now).purges.empty());
}

TEST_CASE("the oldest fact makes room for the own coordinator's, one that was renewed counts as new") {
    auto facts = with_waiting(ReplicatedFacts::max_facts);
    facts.receive(purge(1, now_ms + 5), now + ms);
    facts.record_purge({1'000'000, 0, now}, now + ms);
    CHECK(facts.find(FactSubject::Object, 1));
    CHECK(!facts.find(FactSubject::Object, 2));
}
