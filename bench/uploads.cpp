// Requests with bodies of many sizes and paces, drawn from seeds, against the real program; with --baseline
// another build of it gets the same load in the same run, in turn. The last line is JSON.
//
//   build/bench/uploads [--seeds A..B] [--quick] [--router PROGRAM] [--baseline PROGRAM]
//
// Exit code 0 where the program held what docs/soak.md asks, 1 where it did not. The baseline has no say.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "rig/uploads/player.hpp"

using namespace quillgrade::rig::uploads;
using nlohmann::json;

namespace {

constexpr std::uint64_t quick_seeds = 5, full_seeds = 20;

struct Options {
    std::string router = QUILLGRADE_PROGRAM, baseline;
    std::uint64_t first = 1, last = full_seeds;
};

// All runs of one build.
struct Side {
    std::string name, program;
    Report sum;
    int over_memory = 0, ended = 0;
    double most_share_of_memory = 0;
    std::vector<std::uint64_t> failed_seeds;
};

bool holds(const Load& load, const Report& report) {
    return !report.ended && report.most_kb <= load.memory_mb * 1024L && report.effects_twice == 0 &&
           report.all().unanswered == 0 && report.small.unanswered == 0;
}

void print_row(const Side& side, const Load& load, const Report& report) {
    auto all = report.all();
    fmt::print(
        "{:>5} {:9} {:4} MB {:4} fds {:4} writers | {:5} served {:5} refused {:4} failed {:4} unanswered "
        "{:4} cut off | small {:5} served {:3} refused {:3} failed {:3} unanswered | {:6} kB{}{}\n",
        load.seed, side.name, load.memory_mb, load.sockets, load.writers.size(), all.served, all.refused,
        all.failed, all.unanswered, all.cut_off, report.small.served, report.small.refused,
        report.small.failed, report.small.unanswered, report.most_kb,
        report.most_kb > load.memory_mb * 1024L ? " OVER MEMORY" : "", report.ended ? " ENDED" : "");
    std::fflush(stdout);
}

void add(Side& side, const Load& load, const Report& report) {
    for (std::size_t pace = 0; pace < side.sum.counts.size(); pace++)
        for (std::size_t size = 0; size < side.sum.counts[pace].size(); size++)
            side.sum.counts[pace][size].add(report.counts[pace][size]);
    side.sum.small.add(report.small);
    side.sum.effects_twice += report.effects_twice;
    side.sum.most_kb = std::max(side.sum.most_kb, report.most_kb);
    side.over_memory += report.most_kb > load.memory_mb * 1024L;
    side.ended += report.ended;
    side.most_share_of_memory =
        std::max(side.most_share_of_memory, static_cast<double>(report.most_kb) / 1024 / load.memory_mb);
    if (!holds(load, report)) side.failed_seeds.push_back(load.seed);
}

json json_of(const Counts& counts) {
    return {{"served", counts.served},
            {"refused", counts.refused},
            {"failed", counts.failed},
            {"unanswered", counts.unanswered},
            {"cut_off", counts.cut_off}};
}

json json_of(const Side& side) {
    json sizes = json::object();
    for (int size = 0; size < size_classes; size++)
        sizes[name_of_size(size)] = json_of(side.sum.of_size(size));
    json paces = json::object();
    for (int pace = 0; pace < pace_count; pace++) {
        Counts sum;
        for (auto& counts : side.sum.counts.at(static_cast<std::size_t>(pace))) sum.add(counts);
        paces[name_of(static_cast<Pace>(pace))] = json_of(sum);
    }
    return {{"by_size", sizes},
            {"by_pace", paces},
            {"without_body", json_of(side.sum.small)},
            {"effects_twice", side.sum.effects_twice},
            {"runs_over_memory", side.over_memory},
            {"runs_ended", side.ended},
            {"most_share_of_memory", side.most_share_of_memory},
            {"most_kb", side.sum.most_kb},
            {"failed_seeds", side.failed_seeds}};
}

void print_by_size(const Side& side) {
    for (int size = 0; size < size_classes; size++) {
        auto counts = side.sum.of_size(size);
        fmt::print(
            "  {:9} {:13} written {:6} served {:6} refused {:6} failed {:5} unanswered {:5}; cut off {:5}\n",
            side.name, name_of_size(size), counts.written(), counts.served, counts.refused, counts.failed,
            counts.unanswered, counts.cut_off);
    }
}

Options read_options(int argc, char** argv) {
    Options options;
    std::string seeds;
    bool quick = false;
    CLI::App app("loads of requests with bodies, drawn from seeds");
    app.add_option("--seeds", seeds, "A..B, or one seed");
    app.add_flag("--quick", quick, "few seeds");
    app.add_option("--router", options.router, "the program");
    app.add_option("--baseline", options.baseline, "another build of it, for comparison");
    try {
        app.parse(argc, argv);
    } catch (const CLI::ParseError& error) {
        std::exit(app.exit(error));  // NOLINT(concurrency-mt-unsafe): nothing else runs yet
    }
    if (quick) options.last = quick_seeds;
    if (!seeds.empty()) {
        auto dots = seeds.find("..");
        options.first = std::stoull(seeds);
        options.last = dots == std::string::npos ? options.first : std::stoull(seeds.substr(dots + 2));
    }
    return options;
}

}  // namespace

int main(int argc, char** argv) {
    try {
        auto options = read_options(argc, argv);
        std::vector<Side> sides{{"router", options.router, {}, 0, 0, 0, {}}};
        if (!options.baseline.empty()) sides.push_back({"baseline", options.baseline, {}, 0, 0, 0, {}});
        for (auto seed = options.first; seed <= options.last; seed++) {
            auto load = draw(seed);
            for (auto& side : sides) {
                auto report = play(load, side.program);
                print_row(side, load, report);
                add(side, load, report);
            }
        }
        json result = json::object();
        for (auto& side : sides) {
            print_by_size(side);
            result[side.name] = json_of(side);
        }
        fmt::print("{}\n", result.dump());
        return sides.front().failed_seeds.empty() ? 0 : 1;
    } catch (const std::exception& error) {
        fmt::print(stderr, "uploads: {}\n", error.what());
        return 2;
    }
}
