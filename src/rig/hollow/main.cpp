// quillgrade_hollow: a tier of hollow and real routers in real time, see docs/hollow-routers.md.
//
//   quillgrade_hollow run --hollow N --real M --seconds S [--state-transfer] [--bytes-per-s B] [--quick]
//                         [--seed K]
//
// A table, then one JSON object as the last line. Exit code 0 where all promises held, 1 where one was broken
// or the run was stopped. The other subcommands are the roles of its child processes.
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <atomic>
#include <csignal>
#include <filesystem>

#include "rig/hollow/control_machine.hpp"
#include "rig/hollow/supervisor.hpp"
#include "rig/hollow/worker.hpp"

using namespace quillgrade::rig::hollow;

namespace {

std::atomic<bool> interrupted{false};

// What --quick stands for where the options say nothing else.
constexpr int quick_hollow = 120, quick_real = 4, quick_machines = 3;
constexpr double quick_seconds = 20;
constexpr int default_hollow = 1000, default_real = 12, default_machines = 7;
constexpr double default_seconds = 90;

int play(const RunOptions& options) {
    for (int signal : {SIGINT, SIGTERM}) std::signal(signal, [](int) { interrupted = true; });
    try {
        Supervisor supervisor(options, interrupted);
        auto result = supervisor.run();
        print_table(result);
        fmt::print("{}\n", json_of(result));
        return result.broken.empty() ? 0 : 1;
    } catch (const std::exception& error) {
        fmt::print(stderr, "quillgrade_hollow: the run was stopped: {}\n", error.what());
        return 1;
    }
}

int play_role(int (*role)(int)) {
    // Guards against a far side that closes while it is written to: that ends its connection, not the
    // process.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return role(ChildProcess::control_descriptor);
    } catch (const std::exception& error) {
        fmt::print(stderr, "quillgrade_hollow: {}\n", error.what());
        return 1;
    }
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an option that CLI11 refuses is a fault that ends the program.
int main(int count, char** words) {
    CLI::App app("a tier of hollow and real routers in real time", "quillgrade_hollow");
    app.require_subcommand(1);
    RunOptions options;
    bool quick = false;
    auto* run = app.add_subcommand("run", "one run, measured from outside");
    auto* hollow =
        run->add_option("--hollow", options.hollow, "routers without clients")->check(CLI::Range(2, 8000));
    auto* real =
        run->add_option("--real", options.real, "processes of the router")->check(CLI::Range(0, 150));
    auto* seconds = run->add_option("--seconds", options.seconds, "length of the steps together")
                        ->check(CLI::Range(10.0, 3600.0));
    auto* machines =
        run->add_option("--control-machines", options.control_machines, "processes of the control side")
            ->check(CLI::Range(1, 7));
    run->add_flag("--state-transfer", options.state_transfer,
                  "routers take over the members' state at their start");
    run->add_option("--bytes-per-s", options.bytes_per_s, "budget of the membership a router")
        ->check(CLI::Range(100.0, 100'000.0));
    run->add_option("--purges-per-s", options.purges_per_s, "outside of the burst")
        ->check(CLI::Range(1.0, 1000.0));
    run->add_option("--requests-per-s", options.requests_per_s, "to each real router")
        ->check(CLI::Range(0.0, 1000.0));
    run->add_flag("!--without-facts", options.shared_facts,
                  "routers tell one another of no purges and drains");
    run->add_flag("--quick", quick, "a small run of about 20 s");
    run->add_option("--seed", options.seed, "of the routers' random numbers");
    run->add_option("--most-resident-mb", options.resident_mb_limit, "the run stops past it")
        ->check(CLI::Range(1.0, most_resident_mb));
    run->add_option("--most-processes", options.process_limit, "the run does not start past it")
        ->check(CLI::Range(1, most_processes));
    options.router_program = QUILLGRADE_PROGRAM;
    run->add_option("--router", options.router_program, "the program of the real ones");
    auto* worker = app.add_subcommand("worker", "a child process with hollow routers")->group("");
    auto* machine = app.add_subcommand("control-machine", "a child process of the control side")->group("");
    CLI11_PARSE(app, count, words);

    if (*worker) return play_role(run_worker);
    if (*machine) return play_role(run_control_machine);
    if (hollow->empty()) options.hollow = quick ? quick_hollow : default_hollow;
    if (real->empty()) options.real = quick ? quick_real : default_real;
    if (seconds->empty()) options.seconds = quick ? quick_seconds : default_seconds;
    if (machines->empty()) options.control_machines = quick ? quick_machines : default_machines;
    options.own_program = std::filesystem::read_symlink("/proc/self/exe");
    return play(options);
}
