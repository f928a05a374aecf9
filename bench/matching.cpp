// What rules cost a lookup: found by the index and compiled, compiled but tried in turn, and walked as trees
// (the baseline); how that grows with their number, whether any lookup costs more than the stated bound, and
// what a lookup through the whole router costs without rules, before this work and now.
//
//   matching [--quick] [--before PROGRAM]
#include <fmt/format.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <new>
#include <nlohmann/json.hpp>
#include <random>

#include "bench/tree_walk.hpp"
#include "rig/world.hpp"
#include "route/rules.hpp"

static std::uint64_t allocations = 0;  // one thread does all that is counted
void* operator new(std::size_t size) {
    allocations++;
    if (void* made = std::malloc(size)) return made;
    throw std::bad_alloc();
}
#pragma GCC diagnostic ignored "-Wmismatched-new-delete"  // both are replaced here, by the same
void operator delete(void* at) noexcept { std::free(at); }
void operator delete(void* at, std::size_t /*bytes*/) noexcept { std::free(at); }

using namespace quillgrade;
using Clock = std::chrono::steady_clock;

namespace {

route::Site site_here() {
    route::Site site;
    site.traffic = {"lesson-video", "timetable-page"};
    site.zones = {"central", "east"};
    site.kinds = {"small", "large"};
    site.types.resize(2);
    site.transmissions = 8;
    return site;
}

const route::Site here = site_here();

// All alike but for one literal.
std::string alike(int count) {
    std::string text = "field school max 40;\n";
    for (int i = 0; i < count; i++)
        text += fmt::format(
            "rule r{} when school == \"school-{}\" and class == \"lesson-video\": limit 2s;\n", i, i);
    return text;
}

// All unlike: literals, prefixes, ranges, networks, sets, sums, by turns.
std::string unlike(int count) {
    std::string text = "field school max 40; field agent max 64;\n";
    for (int i = 0; i < count; i++) {
        const std::array form = {
            "school == \"school-{0}\" and part < {1}",
            "starts_with(agent, \"app/{0}.\") and not retry",
            "group == {2} and part == {0}",
            "client in 10.{3}.{4}.0/24 and size > {1}kb",
            "object == \"{5}\"",
            "school in {{\"a{0}\", \"b{0}\"}} and remaining > {1}ms",
            "size in {{{0}b..{6}b}} and part * 2 + {2} == 7 and class == \"timetable-page\""};
        auto condition = fmt::format(fmt::runtime(form[i % 7]), i, 1 + i % 50, i % 256, i / 250 % 250,
                                     i % 250, fmt::format("{:016x}", i * 7919), i + 1);
        text += fmt::format("rule r{} when {}: limit {}ms;\n", i, condition, 100 + i);
    }
    return text;
}

// Regular expressions only, all unlike.
std::string patterns(int count) {
    std::string text = "field agent max 64;\n";
    for (int i = 0; i < count; i++)
        text += fmt::format("rule r{} when matches(agent, \"^tablet-{}[a-f]+\"): limit 2s;\n", i, i);
    return text;
}

struct Lookups {
    std::vector<route::Told> all;
    std::vector<std::string> texts;
};

Lookups lookups(int rules, bool longest) {
    Lookups made;
    std::mt19937 chance(3);
    made.texts.reserve(8192);
    for (int i = 0; i < 4000; i++) {
        auto n = static_cast<int>(chance() % static_cast<unsigned>(rules * 2));  // half of them match nothing
        route::Told told;
        told.traffic = static_cast<int>(chance() % 2);
        told.part = static_cast<int>(chance() % 60);
        told.group = n % 256;
        told.object = static_cast<ObjectId>(n) * 7919;
        told.bytes = n;
        told.remaining = static_cast<Micros>(chance() % 2'000'000);
        told.now = 1'764'576'000'000'000;
        told.client =
            10U << 24 | static_cast<unsigned>(n / 250 % 250) << 16 | static_cast<unsigned>(n % 250) << 8 | 7;
        made.texts.push_back(chance() % 3 ? "school-" + std::to_string(n) : "a" + std::to_string(n));
        if (longest) made.texts.back().resize(40, 'z');
        told.named.emplace_back("school", made.texts.back());
        made.texts.push_back(chance() % 2 ? fmt::format("app/{}.3", n) : fmt::format("tablet-{}abc", n));
        if (longest) made.texts.back().resize(64, 'f');
        told.named.emplace_back("agent", made.texts.back());
        made.all.push_back(std::move(told));
    }
    return made;
}

template <class Once>
double nanoseconds(const Lookups& lookups, double seconds, Once once) {
    std::uint64_t done = 0;
    auto start = Clock::now();
    do {
        for (std::size_t i = 0; i < 200; i++) once(lookups.all[done++ % lookups.all.size()]);
    } while (std::chrono::duration<double>(Clock::now() - start).count() < seconds);
    return std::chrono::duration<double, std::nano>(Clock::now() - start).count() / static_cast<double>(done);
}

struct Measured {
    double indexed, in_turn, walked, load_ms, worst, allocated;
    std::uint64_t bound;
};

Measured measure(const std::string& text, int rules, double seconds) {
    Measured made{};
    auto start = Clock::now();
    route::Loader loader(text, here, 1'000'000'000);
    while (!loader.step(1000)) {
    }
    made.load_ms = std::chrono::duration<double, std::milli>(Clock::now() - start).count();
    auto set = loader.result();
    if (!set) throw std::runtime_error(loader.report());
    made.bound = set->bound();
    route::RuleSet::Runner runner(*set), other(*set);
    auto usual = lookups(rules, false), longest = lookups(rules, true);
    for (auto* those : {&usual, &longest})
        for (auto& told : those->all) {
            auto found = set->decide(told, runner).rule;
            made.worst =
                std::max(made.worst, static_cast<double>(runner.units) / static_cast<double>(set->bound()));
            if (rules <= 1000 && set->decide_in_turn(told, other).rule != found)
                throw std::runtime_error("the index and the plain order differ");
        }
    auto before = allocations;
    for (auto& told : usual.all) set->decide(told, runner);
    made.allocated = static_cast<double>(allocations - before) / static_cast<double>(usual.all.size());
    made.indexed = nanoseconds(usual, seconds, [&](auto& told) { set->decide(told, runner); });
    made.in_turn = nanoseconds(usual, seconds, [&](auto& told) { set->decide_in_turn(told, other); });
    bench::TreeWalk walk;
    made.walked = nanoseconds(usual, seconds, [&](auto& told) {
        set->decide(told, runner);  // gathers the facts; its own time is taken off below
        for (auto& rule : set->all())
            if (!rule.condition || walk.condition(*rule.condition, runner.facts)) break;
    });
    made.walked -= made.indexed;
    return made;
}

// Microseconds of CPU a lookup through the whole router.
double cpu_a_lookup(const std::string& program, const std::string& rules, double seconds) {
    std::string name = "/tmp/quillgrade_matching_XXXXXX";
    std::string folder = mkdtemp(name.data());
    rig::World world;
    std::vector<int> ports;
    ports.reserve(2);
    for (int i = 0; i < 2; i++) ports.push_back(world.port_of_box(world.add_box()));
    int port = rig::free_port();
    std::ofstream(folder + "/config.json") << rig::config_of(port, world.coordinator_port(), ports);
    std::vector<std::string> words;
    if (!rules.empty()) {
        std::ofstream(folder + "/a.rules") << rules;
        std::ofstream(folder + "/operate.json") << R"({"rules": {"file": ")" << folder << R"(/a.rules"}})";
        words = {"--operate", folder + "/operate.json"};
    }
    double made = 0;
    {
        rig::Router router(program, folder + "/config.json", words);
        if (!router.says("serving")) throw std::runtime_error(router.log());
        world.say("school", {"school-3", "school-40"});
        world.ask(port, 1500, 16);
        usleep(500'000);
        auto asked = world.totals().asked;
        auto cpu = router.cpu_seconds();
        usleep(static_cast<useconds_t>(seconds * 1e6));
        made = (router.cpu_seconds() - cpu) * 1e6 / static_cast<double>(world.totals().asked - asked);
        world.finish();
        if (world.totals().without_one_final) throw std::runtime_error("a lookup without one final answer");
    }
    std::filesystem::remove_all(folder);
    return made;
}

}  // namespace

int main(int count, char** words) {
    bool quick = false;
    std::string before;
    for (int i = 1; i < count; i++) {
        std::string word = words[i];
        if (word == "--quick") quick = true;
        if (word == "--before" && i + 1 < count) before = words[++i];
    }
    try {
        double seconds = quick ? 0.2 : 1;
        nlohmann::json sizes = {10, 100, 1000, 10'000}, indexed, walked, in_turn, indexed_alike,
                       indexed_patterns, bounds;
        double worst = 0, allocated = 0, load = 0, load_patterns = 0;
        fmt::print("{:>10} {:>8} {:>12} {:>12} {:>12} {:>10} {:>10} {:>8}\n", "rules", "", "indexed ns",
                   "in turn ns", "tree walk ns", "load ms", "bound", "worst");
        auto row = [&](const char* what, const std::string& text, int size) {
            auto made = measure(text, size, seconds);
            fmt::print("{:>10} {:>8} {:>12.0f} {:>12.0f} {:>12.0f} {:>10.1f} {:>10} {:>8.2f}\n", what, size,
                       made.indexed, made.in_turn, made.walked, made.load_ms, made.bound, made.worst);
            std::fflush(stdout);
            worst = std::max(worst, made.worst);
            return made;
        };
        for (int size : {10, 100, 1000, 10'000}) {
            auto made = row("unlike", unlike(size), size);
            indexed.push_back(made.indexed);
            in_turn.push_back(made.in_turn);
            walked.push_back(made.walked);
            bounds.push_back(made.bound);
            allocated = std::max(allocated, made.allocated);
            load = made.load_ms;
        }
        for (int size : {10, 100, 1000, 10'000}) {
            auto made = row("alike", alike(size), size);
            indexed_alike.push_back(made.indexed);
            allocated = std::max(allocated, made.allocated);
        }
        double allocated_patterns = 0;
        for (int size : {10, 100, 1000, 10'000}) {
            if (quick && size > 1000) continue;
            auto made = row("patterns", patterns(size), size);
            indexed_patterns.push_back(made.indexed);
            allocated_patterns = std::max(allocated_patterns, made.allocated);
            load_patterns = made.load_ms;
        }
        fmt::print("\nCPU of the whole router, us a lookup at 1,500 a second\n");
        // In turn, several times, and the middle one: the system counts a process's time in hundredths.
        double span = quick ? 1.2 : 6;
        std::vector<double> befores, offs, ons;
        for (int round = 0; round < 3; round++) {
            if (!before.empty()) befores.push_back(cpu_a_lookup(before, "", span));
            offs.push_back(cpu_a_lookup(QUILLGRADE_PROGRAM, "", span));
            ons.push_back(cpu_a_lookup(QUILLGRADE_PROGRAM, alike(100), span));
        }
        for (auto* all : {&befores, &offs, &ons}) std::sort(all->begin(), all->end());
        double cpu_before = befores.empty() ? -1 : befores[1], cpu_off = offs[1], cpu_on = ons[1];
        fmt::print("  before {}   without rules {:.1f}   with 100 rules {:.1f}\n",
                   before.empty() ? "-" : fmt::format("{:.1f}", cpu_before), cpu_off, cpu_on);
        nlohmann::json out = {
            {"rules", sizes},
            {"ns_compiled", indexed},
            {"ns_interpreted", walked},
            {"ns_sequential", in_turn},
            {"ns_compiled_alike", indexed_alike},
            {"ns_compiled_patterns", indexed_patterns},
            {"growth", indexed[3].get<double>() / indexed[0].get<double>()},
            {"growth_alike", indexed_alike[3].get<double>() / indexed_alike[0].get<double>()},
            {"bound_units", bounds},
            {"worst_over_bound", worst},
            {"allocations_per_lookup", allocated},
            {"allocations_per_lookup_patterns", allocated_patterns},
            {"load_ms_10000", load},
            {"load_ms_patterns", load_patterns},
            {"cpu_us_per_lookup_before", before.empty() ? nlohmann::json() : nlohmann::json(cpu_before)},
            {"cpu_us_per_lookup_no_rules", cpu_off},
            {"cpu_us_per_lookup_100_rules", cpu_on}};
        fmt::print("{}\n", out.dump());
        return worst > 1 || allocated > 0 ? 1 : 0;
    } catch (const std::exception& error) {
        fmt::print(stderr, "matching: {}\n", error.what());
        return 1;
    }
}
