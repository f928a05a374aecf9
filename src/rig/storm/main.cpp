// quillgrade_start_storm: starts many routers at once, at seeded moments, and counts how long each takes to
// serve and how long it waited for a core meanwhile. For crashes in a start that come only on a busy machine.
//
//   quillgrade_start_storm --batches 10 --together 32 --seed 1 [--busy 4] [--pin] --out FILE
//
// Each batch is a coordinator, three caches and so many routers, all on 127.0.0.1; a router is ended by
// SIGKILL or SIGTERM once all serve, and the next batch begins at once. With --pin each router may use one
// core only, as in testbeds that give each a core of its own. One line a batch, a table and one JSON object
// as the last line; the sampler's report of each router (rig/sampler/sampler.hpp) goes to FILE. Exit code 0
// where all served in time.
#include <fmt/format.h>
#include <sched.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "rig/local.hpp"
#include "rig/sampler/sampler.hpp"
#include "rig/world.hpp"

using namespace quillgrade::rig;

namespace {

using SteadyClock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

constexpr int caches = 3;
constexpr auto ready_within = std::chrono::seconds(30);
constexpr auto sampled_every = Milliseconds(10);
constexpr int latest_begin_ms = 500;  // after the begin of its batch
constexpr int most_busy_processes = 4;
constexpr unsigned longest_busy_s = 60;  // a busy process ends by itself then

struct StormOptions {
    int batches = 10, together = 32, busy = 0;
    unsigned seed = 1;
    bool pin = false;
    std::string program = QUILLGRADE_PROGRAM, out;
};

// A port that nobody else is given meanwhile: bound without listening, which a router may do beside it.
class ReservedPort {
public:
    ReservedPort() : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        int on = 1;
        setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = here(0);
        socklen_t size = sizeof address;
        if (bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) != 0 ||
            getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0)
            throw std::runtime_error("no free port");
        port = ntohs(address.sin_port);
    }
    ReservedPort(const ReservedPort&) = delete;
    ReservedPort& operator=(const ReservedPort&) = delete;
    ~ReservedPort() { close(descriptor); }
    int number() const { return port; }

private:
    int descriptor, port = 0;
};

// Child processes that use all processor time they get; they end with this process.
class BusyProcesses {
public:
    explicit BusyProcesses(int count) {
        for (int i = 0; i < count; i++) {
            auto child = fork();
            if (child == 0) {
                prctl(PR_SET_PDEATHSIG, SIGKILL);
                alarm(longest_busy_s);
                volatile bool busy = true;
                while (busy) {
                }
            }
            if (child > 0) children.push_back(child);
        }
    }
    BusyProcesses(const BusyProcesses&) = delete;
    BusyProcesses& operator=(const BusyProcesses&) = delete;
    ~BusyProcesses() {
        for (auto child : children) {
            kill(child, SIGKILL);
            waitpid(child, nullptr, 0);
        }
    }

private:
    std::vector<pid_t> children;
};

// Only one of the cores that this process may use, by turns.
void pin(pid_t pid, int turn) {
    cpu_set_t own, one;
    if (sched_getaffinity(0, sizeof own, &own) != 0) return;
    int skip = turn % CPU_COUNT(&own), core = 0;
    while (!CPU_ISSET(core, &own) || skip-- > 0) core++;
    CPU_ZERO(&one);
    CPU_SET(core, &one);
    sched_setaffinity(pid, sizeof one, &one);
}

struct Start {
    ReservedPort port;
    std::string config;
    Milliseconds begin_after{};
    SteadyClock::time_point begun;
    std::unique_ptr<Router> router;
    bool serves = false;
};

struct Totals {
    int starts = 0, served = 0, ended_early = 0;
    Milliseconds longest_to_serving{};
};

class Storm {
public:
    Storm(const StormOptions& options, std::ostream& report)
        : options(options),
          random(options.seed),
          sampler({.program = "quillgrade", .parent = getpid(), .ring = 512, .write_samples = false},
                  report) {
        boxes.reserve(caches);
        for (int i = 0; i < caches; i++) boxes.push_back(world.port_of_box(world.add_box()));
    }
    void batch() {
        auto starts = prepare();
        auto limit = SteadyClock::now() + Milliseconds(latest_begin_ms) + ready_within;
        auto batch_begun = SteadyClock::now();
        auto waiting = [](auto& start) { return !start->serves; };
        while (std::any_of(starts.begin(), starts.end(), waiting) && SteadyClock::now() < limit) {
            for (auto& start : starts) advance(*start, batch_begun);
            sampler.round();
            std::this_thread::sleep_for(sampled_every);
        }
        for (auto& start : starts) signal_end(*start);
        auto living = [](auto& start) { return start->router && !start->router->ended(); };
        while (std::any_of(starts.begin(), starts.end(), living)) {
            sampler.round();
            std::this_thread::sleep_for(sampled_every);
        }
    }
    const Totals& finish() {
        sampler.finish();
        return totals;
    }

private:
    int drawn(int most) { return boost::random::uniform_int_distribution<int>(0, most)(random); }
    std::vector<std::unique_ptr<Start>> prepare() {
        std::vector<std::unique_ptr<Start>> starts;
        for (int i = 0; i < options.together; i++) {
            auto start = std::make_unique<Start>();
            start->config = fmt::format("/tmp/quillgrade_storm_{}_{}", getpid(), i);
            std::ofstream(start->config) << config_of(start->port.number(), world.coordinator_port(), boxes);
            start->begin_after = Milliseconds(drawn(latest_begin_ms));
            starts.push_back(std::move(start));
        }
        return starts;
    }
    void advance(Start& start, SteadyClock::time_point batch_begun) {
        if (start.serves) return;
        auto now = SteadyClock::now();
        if (!start.router) {
            if (now < batch_begun + start.begin_after) return;
            start.begun = now;
            start.router = std::make_unique<Router>(options.program, start.config);
            if (options.pin) pin(start.router->pid(), totals.starts);
            totals.starts++;
        }
        if (start.router->log().find("serving as") == std::string::npos) return;
        start.serves = true;
        totals.served++;
        auto took = std::chrono::duration_cast<Milliseconds>(SteadyClock::now() - start.begun);
        totals.longest_to_serving = std::max(totals.longest_to_serving, took);
    }
    void signal_end(Start& start) {
        std::remove(start.config.c_str());
        if (!start.router) return;
        if (!start.serves) {
            if (start.router->ended()) totals.ended_early++;
            fmt::print(stderr, "process {} does not serve:\n{}\n", start.router->pid(), start.router->log());
        }
        start.router->signal(start.serves && drawn(1) == 0 ? SIGTERM : SIGKILL);
    }

    StormOptions options;
    boost::random::mt19937 random;
    World world;
    std::vector<int> boxes;
    sampler::Sampler sampler;
    Totals totals;
};

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an option that CLI11 refuses is a fault that ends the program.
int main(int count, char** words) {
    CLI::App app("starts many routers at once, at seeded moments", "quillgrade_start_storm");
    StormOptions options;
    app.add_option("--batches", options.batches, "one after another")->check(CLI::Range(1, 1000));
    app.add_option("--together", options.together, "routers a batch")->check(CLI::Range(1, 64));
    app.add_option("--busy", options.busy, "busy processes beside them")
        ->check(CLI::Range(0, most_busy_processes));
    app.add_option("--seed", options.seed, "of the moments");
    app.add_flag("--pin", options.pin, "each router may use one core only, by turns");
    app.add_option("--router", options.program, "the program that is started");
    app.add_option("--out", options.out, "the sampler's report; none where no file is named");
    CLI11_PARSE(app, count, words);

    std::signal(SIGPIPE, SIG_IGN);
    std::ofstream report(options.out);
    BusyProcesses busy(options.busy);
    Storm storm(options, report);
    for (int i = 0; i < options.batches; i++) storm.batch();
    auto totals = storm.finish();
    fmt::print("starts {}, served {}, ended before they served {}, longest to serving {} ms\n", totals.starts,
               totals.served, totals.ended_early, totals.longest_to_serving.count());
    nlohmann::json result = {{"starts", totals.starts},
                             {"served", totals.served},
                             {"ended_early", totals.ended_early},
                             {"longest_to_serving_ms", totals.longest_to_serving.count()}};
    fmt::print("{}\n", result.dump());
    return totals.served == options.batches * options.together ? 0 : 1;
}
