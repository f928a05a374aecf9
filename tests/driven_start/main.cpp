// quillgrade_driven_start: starts the router again and again, stopped at each system call of its start and of
// its first loop iterations, with one event (or two) at one place (or two) of it each time: the call begins
// late, is interrupted, finds nothing; a signal comes; the coordinator answers, closes, listens, accepts.
//
//   quillgrade_driven_start                       every event at every place
//   quillgrade_driven_start --quick               a sample of them
//   quillgrade_driven_start --pairs N --seed S    N pairs
//   quillgrade_driven_start --plant NAME          a fault put in from outside has to be found
//   quillgrade_driven_start --window N            N starts: how long signals end them before the first
//   instruction quillgrade_driven_start --order E@P[,E@P]     one order, with its log; E: number of the event
//
// Exit code 0 where all checks held (with --plant: where the check meant for it found it), 1 where not.
#define DOCTEST_CONFIG_IMPLEMENT  // of the tests' helpers; no test case of its own runs here
#include <doctest/doctest.h>
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <map>

#include "order_list.hpp"
#include "replay.hpp"
#include "start_window.hpp"
#include "system_calls.hpp"
#include "workers.hpp"

using namespace quillgrade::driven_start;

namespace {

struct PlantedFault {
    Plant plant;
    const char* finding;
};
const std::map<std::string, PlantedFault> planted_faults = {
    {"never-waits", {Plant::NeverWaits, too_many_calls}},
    {"waits-without-end", {Plant::WaitsWithoutEnd, wait_without_end}},
    {"connects-at-once", {Plant::ConnectsAtOnce, connects_at_once}},
};

int run_planted(const std::string& program, const std::string& name) {
    auto& planted = planted_faults.at(name);
    auto outcome = replay(program, {}, planted.plant);
    bool found = outcome.finding == planted.finding;
    fmt::print("{}: {}: {} ({})\n", name, found ? "found" : "NOT found", outcome.finding, outcome.detail);
    return found ? 0 : 1;
}

int run_one(const std::string& program, const std::string& text) {
    auto order = read_order(text);
    auto outcome = replay(program, order, Plant::None);
    for (std::size_t i = 0; i < outcome.places.size(); i++)
        fmt::print("{} {}\n", i, name_of_call(outcome.places[i].call));
    fmt::print("{}{}: {} ({})\n", outcome.log, text_of(order, outcome.places),
               outcome.finding.empty() ? "held" : outcome.finding, outcome.detail);
    return outcome.finding.empty() ? 0 : 1;
}

void print_distribution(const char* name, std::vector<double> all) {
    std::sort(all.begin(), all.end());
    auto at = [&](std::size_t percent) { return all[(all.size() - 1) * percent / 100]; };
    fmt::print("{}: median {:.0f}, 90 % {:.0f}, 99 % {:.0f}, most {:.0f} microseconds\n", name, at(50),
               at(90), at(99), at(100));
}

int measure_windows(const std::string& program, std::size_t starts) {
    std::vector<double> processor, queued, together;
    auto micros = [](auto time) { return std::chrono::duration<double, std::micro>(time).count(); };
    for (std::size_t i = 0; i < starts; i++) {
        auto window = measure_window(program);
        processor.push_back(micros(window.processor));
        queued.push_back(micros(window.queued));
        together.push_back(micros(window.processor + window.queued));
    }
    fmt::print("{} starts, from the return of execve to the call that holds signals back\n", starts);
    print_distribution("on a core", processor);
    print_distribution("ready, without a core", queued);
    print_distribution("both", together);
    return 0;
}

void print_of(const Tally& tally, const std::vector<Place>& places) {
    fmt::print(
        "{} orders: {} served, {} ended as told, {} ended with one line of an error, {} ended by a signal "
        "before"
        " the program's first instruction, {} failed; {} did not reach each of their places\n",
        tally.orders, tally.served, tally.ended_as_told, tally.ended_by_error, tally.ended_before_mask,
        tally.failed, tally.not_reached);
    fmt::print("between two waits at most {} system calls, {:.1f} ms of processor time\n",
               tally.highest_calls, tally.highest_processor_ms);
    if (tally.ended_before_mask > 0)
        fmt::print("ended before the first instruction by signals at calls {} ({}) to {} ({})\n",
                   tally.first_ended_place, name_of_call(places.at(tally.first_ended_place).call),
                   tally.last_ended_place, name_of_call(places.at(tally.last_ended_place).call));
}

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an option that CLI11 refuses is a fault that ends the program.
int main(int count, char** words) {
    CLI::App app("a start of the router driven call by call", "quillgrade_driven_start");
    std::string program = QUILLGRADE_PROGRAM, plant, order;
    bool quick = false;
    std::size_t pairs = 0, windows = 0;
    std::uint64_t seed = 1;
    int together = 4;
    app.add_option("--router", program, "the program, if not the one built beside this");
    app.add_flag("--quick", quick, "a sample of places");
    app.add_option("--pairs", pairs, "so many pairs of places");
    app.add_option("--seed", seed, "of the sample and of the pairs");
    app.add_option("--together", together, "how many starts at a time")->check(CLI::Range(1, 8));
    app.add_option("--plant", plant, "never-waits, waits-without-end or connects-at-once");
    app.add_option("--window", windows, "measure so many starts");
    app.add_option("--order", order, "one order, EVENT@PLACE, several with commas between");
    CLI11_PARSE(app, count, words);
    try {
        if (windows > 0) return measure_windows(program, windows);
        hear_of_stops();
        if (!plant.empty()) return run_planted(program, plant);
        if (!order.empty()) return run_one(program, order);
        auto undisturbed = replay(program, {}, Plant::None);
        if (!undisturbed.finding.empty()) {
            fmt::print("undisturbed: {} ({})\n{}", undisturbed.finding, undisturbed.detail, undisturbed.log);
            return 1;
        }
        auto& places = undisturbed.places;
        fmt::print("undisturbed: {} system calls, signals are held back from call {} on\n", places.size(),
                   undisturbed.mask_place);
        auto orders = pairs > 0 ? some_pairs(places, pairs, seed)
                      : quick   ? some_orders(places, quick_orders, seed)
                                : all_orders(places);
        fmt::print("seed {}\n", seed);
        std::fflush(nullptr);
        auto tally = run_together(program, orders, places, together);
        print_of(tally, places);
        return tally.failed == 0 ? 0 : 1;
    } catch (const std::exception& error) {
        fmt::print(stderr, "quillgrade_driven_start: {}\n", error.what());
        return 1;
    }
}
