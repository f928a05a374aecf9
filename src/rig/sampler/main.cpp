// quillgrade_sampler: what processes did in the moments before they ended, seen from outside.
//
//   quillgrade_sampler --program quillgrade --out FILE [--samples] [--only-worse-than-ms N]
//                      [--children-of PID] [--interval-ms 30] [--ring 256]
//
// Start it before the processes, beside whatever is traced, and end it by SIGTERM or SIGINT: it then writes
// of those that still live, too. Each process that has ended gives one line:
//
//   process P NAME ended: seen from REALTIME for S s, processor, run queue, ..., state X, call NUMBER
//   ARGUMENTS SP PC
//
// with --samples followed by the last samples of it, --ring of them. The last three lines tell the extremes
// of all processes, whether the real, raw monotonic and boot clocks went apart from the monotonic one or
// jumped, and the most time between two rounds that the machine's host took from a core. How the lines are
// read: processor time that grows with the wall clock is a loop without a wait; ready without a core is a
// full machine, or one full core where one is allowed; S is a wait in the call that is named; D and major
// faults are the disk; T is a process that was stopped. Exit code 0, or 1 where the file can't be written.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <csignal>
#include <fstream>
#include <iostream>
#include <thread>

#include "rig/sampler/sampler.hpp"

using namespace quillgrade::rig::sampler;

namespace {

volatile std::sig_atomic_t interrupted = 0;

constexpr int default_interval_ms = 30, longest_interval_ms = 1000;
constexpr int largest_ring = 4096;

void follow(const Options& options, std::ostream& report, std::chrono::milliseconds interval) {
    Sampler sampler(options, report);
    auto next = std::chrono::steady_clock::now();
    while (interrupted == 0) {
        sampler.round();
        // A round that took longer than the interval is not made up for.
        next = std::max(next + interval, std::chrono::steady_clock::now());
        std::this_thread::sleep_until(next);
    }
    sampler.round();
    sampler.finish();
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an option that CLI11 refuses is a fault that ends the program.
int main(int count, char** words) {
    CLI::App app("samples processes from outside and reports each once it has ended", "quillgrade_sampler");
    Options options;
    int interval_ms = default_interval_ms, only_worse_than_ms = -1;
    std::string out;
    auto* followed =
        app.add_option_group("followed", "which processes; where both are given, both have to hold");
    followed->add_option("--program", options.program, "those of this name");
    followed->add_option("--children-of", options.parent, "the children of this process")
        ->check(CLI::PositiveNumber);
    followed->require_option(1, 2);
    app.add_option("--interval-ms", interval_ms, "between two rounds")
        ->check(CLI::Range(1, longest_interval_ms));
    app.add_option("--ring", options.ring, "samples kept a process")->check(CLI::Range(1, largest_ring));
    app.add_option("--out", out, "the file of the report; standard output where none is named");
    app.add_flag("--samples", options.write_samples, "with the samples that were kept");
    app.add_option(
           "--only-worse-than-ms", only_worse_than_ms,
           "only those that waited longer for a core, ran for longer, or ended in a state such as D or T")
        ->check(CLI::NonNegativeNumber);
    CLI11_PARSE(app, count, words);
    if (only_worse_than_ms >= 0) options.only_worse_than = std::chrono::milliseconds(only_worse_than_ms);

    for (int signal : {SIGINT, SIGTERM}) std::signal(signal, [](int) { interrupted = 1; });
    std::ofstream file;
    if (!out.empty()) {
        file.open(out);
        if (!file) {
            fmt::print(stderr, "quillgrade_sampler: {} can't be written\n", out);
            return 1;
        }
    }
    std::ostream& report = out.empty() ? std::cout : file;
    follow(options, report, std::chrono::milliseconds(interval_ms));
    return report ? 0 : 1;
}
