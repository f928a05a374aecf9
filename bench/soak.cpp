// The soak: ends, restarts, reloads, crowds and trouble around the real program, drawn from seeds, with an
// observer outside the routers. docs/soak.md tells how to read it. The last line is JSON.
//
//   build/bench/soak [--seeds A..B] [--seconds S] [--quick] [--together N] [--plant NAME]
//
// Exit code 0 where every seed passed, 1 where one failed, 2 where it can't be played. With --plant the
// planted fault has to be found: 0 where a seed failed.
#include <fmt/format.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "rig/soak/player.hpp"

using namespace quillgrade;
using nlohmann::json;
using rig::soak::Report;
using rig::soak::Script;

namespace {

constexpr int quick_seconds = 8, quick_seeds = 24, quick_together = 4;
constexpr std::size_t last_of_timeline = 60;

struct Options {
    std::uint64_t first = 1, last = 50;
    int seconds = 0;  // 0: drawn
    int together = 1;
    std::string plant;
    bool everything = false;  // the whole timeline, also of a seed that passed
};

Script script_of(std::uint64_t seed, const Options& options) {
    rig::soak::Limits limits;
    if (options.seconds > 0) limits.shortest = limits.longest = options.seconds * rig::soak::second;
    return rig::soak::draw(seed, limits);
}

json json_of(const Report& report) {
    auto& totals = report.totals;
    return {{"seed", report.seed},
            {"lives", report.lives},
            {"measured_starts", report.measured_starts},
            {"not_ready_10s", report.not_ready_10s},
            {"not_ready_30s", report.not_ready_30s},
            {"requests", totals.asked},
            {"served", totals.handled},
            {"requests_without_one_response", totals.without_one_final},
            {"late_answers", totals.late},
            {"excused", totals.excused},
            {"effects_twice", totals.effects_twice},
            {"sends_past_drain", totals.late_named},
            {"attempts_after_client_left", totals.after_client_left},
            {"exits_not_zero", report.exits_not_zero},
            {"crashes", report.crashes},
            {"exits_by_hup", report.exits_by_hup},
            {"outlived_kill", report.outlived_kill},
            {"limits_exceeded", report.limits_exceeded},
            {"descriptors_lost", report.descriptors_lost},
            {"slowest_start_ms", report.slowest_start / rig::soak::millisecond},
            {"slowest_end_ms", report.slowest_end / rig::soak::millisecond},
            {"observer_gap_ms", report.longest_gap / rig::soak::millisecond},
            {"failed", !report.findings.empty()}};
}

void print_timeline(const Report& report, bool everything) {
    std::size_t first = 0;
    if (!everything && report.timeline.size() > last_of_timeline) {
        // From shortly before the first finding.
        while (first < report.timeline.size() &&
               report.timeline[first].second.find("FOUND") == std::string::npos)
            first++;
        first -= std::min(first, last_of_timeline / 2);
        if (first + last_of_timeline > report.timeline.size())
            first = report.timeline.size() - last_of_timeline;
    }
    auto last =
        everything ? report.timeline.size() : std::min(report.timeline.size(), first + last_of_timeline);
    for (auto i = first; i < last; i++)
        fmt::print("  {:8.3f}  {}\n", static_cast<double>(report.timeline[i].first) / rig::soak::second,
                   report.timeline[i].second);
}

std::string command_of(std::uint64_t seed, const Options& options) {
    auto command = fmt::format("build/bench/soak --seeds {}..{}", seed, seed);
    if (options.seconds > 0) command += fmt::format(" --seconds {}", options.seconds);
    if (!options.plant.empty()) command += " --plant " + options.plant;
    return command + " --timeline";
}

void print_failure(const Report& report, const Options& options) {
    fmt::print("seed {} FAILED; again: {}\n", report.seed, command_of(report.seed, options));
    for (auto& finding : report.findings) fmt::print("  {}\n", finding);
    fmt::print(" timeline, s:\n");
    print_timeline(report, options.everything);
    for (auto& log : report.logs) fmt::print(" {}\n", log);
}

int play_one(std::uint64_t seed, const Options& options) {
    rig::soak::Setup setup{QUILLGRADE_PROGRAM, {}};
    if (!options.plant.empty())
        setup.environment = {{"LD_PRELOAD", QUILLGRADE_PLANT_LIBRARY}, {"QUILLGRADE_PLANT", options.plant}};
    auto script = script_of(seed, options);
    auto report = play(script, setup);
    if (!report.findings.empty())
        print_failure(report, options);
    else if (options.everything)
        print_timeline(report, true);
    fmt::print("{}\n", json_of(report).dump());
    return report.findings.empty() ? 0 : 1;
}

// One seed in a process of its own, so that seeds share nothing.
struct Played {
    std::uint64_t seed;
    FILE* output;
};

Played start(const char* self, std::uint64_t seed, const Options& options) {
    auto command = fmt::format("'{}' --one {}", self, seed);
    if (options.seconds > 0) command += fmt::format(" --seconds {}", options.seconds);
    if (!options.plant.empty()) command += " --plant " + options.plant;
    if (options.everything) command += " --timeline";
    auto* output = popen(command.c_str(), "re");  // NOLINT(cert-env33-c): the words are this program's own
    if (!output) throw std::runtime_error("no process for a seed");
    return {seed, output};
}

// All that it said but the last line, which is its figures.
std::optional<json> finish(const Played& played) {
    std::string said;
    std::array<char, 4096> piece;
    for (std::size_t got = 0; (got = fread(piece.data(), 1, piece.size(), played.output)) > 0;)
        said.append(piece.data(), got);
    pclose(played.output);
    while (!said.empty() && said.back() == '\n') said.pop_back();
    auto line = said.rfind('\n');
    auto begins = line == std::string::npos ? 0 : line + 1;
    auto figures = json::parse(said.substr(begins), nullptr, false);
    if (begins > 0) fmt::print("{}", said.substr(0, begins));
    if (!figures.is_object()) {
        fmt::print("seed {} can't be played: {}\n", played.seed, said);
        return std::nullopt;
    }
    return figures;
}

const std::vector<const char*> summed = {
    "lives",          "measured_starts",  "not_ready_10s",
    "not_ready_30s",  "requests",         "served",
    "excused",        "late_answers",     "requests_without_one_response",
    "effects_twice",  "sends_past_drain", "attempts_after_client_left",
    "exits_not_zero", "crashes",          "exits_by_hup",
    "outlived_kill",  "limits_exceeded",  "descriptors_lost"};
const std::vector<const char*> largest = {"slowest_start_ms", "slowest_end_ms", "observer_gap_ms"};

void print_row(const json& figures) {
    fmt::print("{:>5} {:>6} {:>9} {:>8} {:>8} {:>5} {:>8} {:>9} {:>9} {:>7}  {}\n", figures["seed"].dump(),
               figures["lives"].dump(), figures["requests"].dump(), figures["served"].dump(),
               figures["excused"].dump(), figures["late_answers"].dump(),
               figures["requests_without_one_response"].dump(), figures["slowest_start_ms"].dump(),
               figures["slowest_end_ms"].dump(), figures["observer_gap_ms"].dump(),
               figures["failed"].get<bool>() ? "FAILED" : "passed");
    std::fflush(stdout);
}

int play_all(const char* self, const Options& options) {
    fmt::print("{:>5} {:>6} {:>9} {:>8} {:>8} {:>5} {:>8} {:>9} {:>9} {:>7}\n", "seed", "lives", "requests",
               "served", "excused", "late", "lost", "start ms", "end ms", "gap ms");
    json sum = {{"seeds", 0}, {"failed_seeds", json::array()}, {"not_played", json::array()}};
    for (auto* key : summed) sum[key] = 0;
    for (auto* key : largest) sum[key] = 0;
    auto take = [&](const Played& played) {
        auto figures = finish(played);
        if (!figures) {
            sum["not_played"].push_back(played.seed);
            return;
        }
        print_row(*figures);
        sum["seeds"] = sum["seeds"].get<int>() + 1;
        for (auto* key : summed)
            sum[key] = sum[key].get<std::int64_t>() + (*figures)[key].get<std::int64_t>();
        for (auto* key : largest)
            sum[key] = std::max(sum[key].get<std::int64_t>(), (*figures)[key].get<std::int64_t>());
        if ((*figures)["failed"].get<bool>()) sum["failed_seeds"].push_back(played.seed);
    };
    std::vector<Played> under_way;
    for (auto seed = options.first; seed <= options.last; seed++) {
        if (under_way.size() >= static_cast<std::size_t>(options.together)) {
            take(under_way.front());
            under_way.erase(under_way.begin());
        }
        under_way.push_back(start(self, seed, options));
    }
    for (auto& played : under_way) take(played);
    auto measured = sum["measured_starts"].get<double>();
    auto slow_share = measured > 0 ? sum["not_ready_10s"].get<double>() / measured : 0;
    sum["not_ready_10s_share"] = slow_share;
    bool failed = !sum["failed_seeds"].empty() || slow_share > 0.1;
    if (!options.plant.empty()) {
        sum["planted"] = options.plant;
        sum["planted_found"] = failed;
    }
    fmt::print("{}\n", sum.dump());
    if (!sum["not_played"].empty()) return 2;
    return failed == options.plant.empty() ? 1 : 0;
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an option that CLI11 refuses is a fault that ends the program.
int main(int count, char** words) {
    CLI::App app("ends, restarts, reloads and crowds around the real program, drawn from seeds", "soak");
    Options options;
    std::string seeds;
    bool quick = false;
    std::uint64_t one = 0;
    app.add_option("--seeds", seeds, "A..B or one; 1..50 unless told")->check([](const std::string& text) {
        return text.find_first_not_of("0123456789.") == std::string::npos ? "" : "A..B is wanted";
    });
    app.add_option("--seconds", options.seconds, "the length of a run, drawn between 10 and 30 unless told");
    app.add_flag("--quick", quick, "24 seeds of 8 s, four side by side");
    app.add_option("--together", options.together, "so many seeds side by side")->check(CLI::Range(1, 8));
    app.add_option("--plant", options.plant,
                   "a fault to plant, which has to be found; docs/soak.md lists them")
        ->check([](const std::string& text) {
            return text.find_first_not_of("abcdefghijklmnopqrstuvwxyz-") == std::string::npos ? ""
                                                                                              : "unknown";
        });
    app.add_flag("--timeline", options.everything, "the whole timeline of each seed");
    app.add_option("--one", one, "a seed in this process, for the program's own use");
    CLI11_PARSE(app, count, words);
    if (quick) {
        options.seconds = quick_seconds;
        options.together = quick_together;
        options.last = quick_seeds;
    }
    if (!seeds.empty()) {
        options.first = std::stoull(seeds);
        auto dots = seeds.find("..");
        options.last = dots == std::string::npos ? options.first : std::stoull(seeds.substr(dots + 2));
    }
    try {
        return one > 0 ? play_one(one, options) : play_all(words[0], options);
    } catch (const std::exception& error) {
        fmt::print(stderr, "soak: {}\n", error.what());
        return 2;
    }
}
