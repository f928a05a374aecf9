// quillgrade_fleet: plays a script of faults on several processes of the router.
//
//   quillgrade_fleet run SCRIPT [--seed N] [--times N] [--plot FILE.svg] [--router PROGRAM]
//   quillgrade_fleet suite SCRIPT… [--together N]      several scripts, so many at a time, a line each
//
// Exit code 0 where all that the script asks for held each time, 1 where it did not, 2 where it can't be
// played.
#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <fstream>
#include <iterator>

#include "rig/fleet/script.hpp"

using namespace quillgrade;

namespace {

// Each script in a process of its own, so that none shares anything with another.
int play_all(const char* program, const std::string& router, const std::vector<std::string>& scripts,
             int together) {
    int running = 0, failed = 0;
    auto one_ended = [&] {
        int status = 0;
        if (wait(&status) > 0) failed += !(WIFEXITED(status) && WEXITSTATUS(status) == 0);
        running--;
    };
    for (auto& script : scripts) {
        if (running >= together) one_ended();
        std::fflush(nullptr);
        auto child = fork();
        if (child == 0) {
            execl(program, program, "run", "--quiet", "--router", router.c_str(), script.c_str(), nullptr);
            _exit(127);
        }
        running++;
    }
    while (running > 0) one_ended();
    fmt::print("{} passed, {} failed\n", static_cast<int>(scripts.size()) - failed, failed);
    return failed ? 1 : 0;
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an option that CLI11 refuses is a fault that ends the program.
int main(int count, char** words) {
    CLI::App app("plays a script of faults on several processes of the router", "quillgrade_fleet");
    app.require_subcommand(1);
    auto* run = app.add_subcommand("run", "play one script");
    std::string file, plot;
    rig::Programs programs{QUILLGRADE_PROGRAM, QUILLGRADE_CLOCK_LIBRARY};
    std::uint64_t seed = 0;
    int times = 1;
    bool quiet = false;
    std::string logs;
    run->add_option("script", file, "a JSON file, see docs/membership.md")->required();
    run->add_option("--seed", seed, "instead of the script's own");
    run->add_option("--times", times, "how often, with the seed raised by one each time");
    run->add_option("--plot", plot, "draw the time line of views as an SVG");
    run->add_option("--router", programs.router, "the program, if not the one built beside this");
    run->add_flag("--quiet", quiet, "no line a step");
    run->add_option("--logs", logs, "where a script fails, the routers' logs go to this folder");
    auto* suite = app.add_subcommand("suite", "play several scripts side by side");
    std::vector<std::string> scripts;
    int together = 4;
    suite->add_option("scripts", scripts, "the files")->required();
    suite->add_option("--router", programs.router, "the program, if not the one built beside this");
    suite->add_option("--together", together, "how many at a time");
    CLI11_PARSE(app, count, words);
    if (suite->parsed()) return play_all(words[0], programs.router, scripts, together);
    try {
        std::ifstream in(file, std::ios::binary);
        if (!in) throw std::runtime_error(file + " can't be read");
        std::string text{std::istreambuf_iterator<char>(in), {}};
        int failed = 0;
        for (int i = 0; i < times; i++) {
            auto outcome = rig::run_script(text, programs, seed ? seed + static_cast<std::uint64_t>(i) : 0,
                                           [&](const std::string& step) {
                                               if (!quiet) fmt::print("  {}\n", step);
                                           });
            std::sort(outcome.detect_ms.begin(), outcome.detect_ms.end());
            fmt::print(
                "{}: {} in {:.1f} s; {} processes, {} datagrams, {} bytes, at most {:.0f} bytes a second, ",
                file, outcome.passed ? "passed" : "FAILED", outcome.seconds, outcome.processes,
                outcome.datagrams.datagrams, outcome.datagrams.bytes, outcome.datagrams.most_bytes_per_s);
            fmt::print("{} verdicts on routers that ran{}\n", outcome.false_dead,
                       outcome.detect_ms.empty()
                           ? ""
                           : fmt::format(", a death known to all after {:.0f} ms", outcome.detect_ms.back()));
            for (auto& budget : outcome.budgets)
                fmt::print(
                    "  budget: {} lookups in {} windows, {} over, {:.2f} of it in the fullest, {:.2f} used "
                    "(fullest after {} ms)\n",
                    budget.lookups, budget.windows, budget.exceeded, budget.most_share, budget.used_share,
                    budget.fullest_after / 1000);
            if (outcome.lookups.asked > 0)
                fmt::print("  lookups: {} asked, {} handled, {} rejected, {} broken off\n",
                           outcome.lookups.asked, outcome.lookups.handled, outcome.lookups.rejected,
                           outcome.lookups.broken_off);
            for (auto& fault : outcome.faults) fmt::print("  {}\n", fault);
            if (!plot.empty() && !rig::draw(outcome, outcome.processes, plot))
                fmt::print("  no gnuplot, no picture\n");
            failed += !outcome.passed;
            for (std::size_t r = 0; !logs.empty() && !outcome.passed && r < outcome.logs.size(); r++)
                std::ofstream(logs + "/" + std::to_string(r) + ".log") << outcome.logs[r];
        }
        return failed ? 1 : 0;
    } catch (const std::exception& error) {
        fmt::print(stderr, "quillgrade_fleet: {}\n", error.what());
        return 2;
    }
}
