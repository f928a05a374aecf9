#include "rig/hollow/run_result.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <nlohmann/json.hpp>

namespace quillgrade::rig::hollow {

namespace {

using nlohmann::json;

json json_of(const std::optional<Distribution>& values) {
    if (!values) return nullptr;
    return {{"p50", values->p50}, {"p99", values->p99}, {"max", values->max}};
}

json json_of(const StartFigures& figures) {
    return {{"started", figures.started},
            {"know", figures.know},
            {"knows_all_ms", json_of(figures.knows_all_ms)}};
}

void print_row(const char* name, const std::optional<Distribution>& values) {
    if (values)
        fmt::print("{:<46} {:>11.2f} {:>11.2f} {:>11.2f}\n", name, values->p50, values->p99, values->max);
    else
        fmt::print("{:<46} {:>11}\n", name, "none");
}

double rounded(double value) { return std::round(value * 1000) / 1000; }

}  // namespace

std::optional<Distribution> distribution_of(std::vector<double> values) {
    if (values.empty()) return std::nullopt;
    std::sort(values.begin(), values.end());
    auto last = static_cast<double>(values.size() - 1);
    auto at = [&](double share) {
        return rounded(values[static_cast<std::size_t>(std::ceil(share * last))]);
    };
    return Distribution{at(0.5), at(0.99), at(1)};
}

void print_table(const RunResult& result) {
    fmt::print("{} hollow and {} real routers, {} control machines, {} processes, {:.0f} s\n\n",
               result.hollow, result.real, result.control_machines, result.processes, result.seconds);
    fmt::print("{:<46} {:>11} {:>11} {:>11}\n", "", "p50", "p99", "max");
    print_row("hollow router: processor, % of a core", result.cpu_percent);
    print_row("hollow router: memory, MB", result.memory_mb);
    print_row("real router, with requests: processor, %", result.real_cpu_percent);
    print_row("real router, with requests: memory, MB", result.real_memory_mb);
    print_row("control bytes/s a router, all", result.bytes_per_s.total);
    print_row("  in", result.bytes_per_s.in);
    print_row("  out", result.bytes_per_s.out);
    print_row("  of the membership", result.bytes_per_s.membership);
    print_row("  of the stream", result.bytes_per_s.stream);
    print_row("real router: membership bytes/s, at far ends", result.real_membership_bytes_per_s);
    print_row("control machine: bytes/s", result.machine_bytes_per_s);
    print_row("control machine: processor, %", result.machine_cpu_percent);
    print_row("control machine: memory, MB", result.machine_memory_mb);
    print_row("purge everywhere, ms", result.purges.everywhere_ms);
    print_row("configuration everywhere, ms", result.configurations.everywhere_ms);
    print_row("restarted router knows 99%, ms", result.restarted.knows_all_ms);
    print_row("router of a killed worker knows 99%, ms", result.after_loss.knows_all_ms);
    print_row("all started at once, knows 99%, ms", result.together.knows_all_ms);
    fmt::print("\npurges {} ({:.0f}/s), missed {}; configurations {}, missed {}\n", result.purges.published,
               result.purges_per_s, result.purges.missed, result.configurations.published,
               result.configurations.missed);
    fmt::print("know 99%: {} of {} restarted, {} of {} of a killed worker, {} of {} started at once\n",
               result.restarted.know, result.restarted.started, result.after_loss.know,
               result.after_loss.started, result.together.know, result.together.started);
    fmt::print(
        "requests {}, served {}, without one response {}, {} of them answered late; clients and caches did "
        "not "
        "run for {} ms at most\n",
        result.requests, result.requests_served, result.requests_without_one_response,
        result.requests_answered_late, result.client_gap_ms);
    fmt::print(
        "living routers declared dead: {} ({} of them held up, {} declarations); hollow routers held up: {} "
        "times, {} while "
        "measured\n",
        result.false_dead, result.false_dead_held_up, result.false_dead_declarations, result.times_away,
        result.times_away_measured);
    fmt::print("memory at most {:.0f} MB; longest datagram {} bytes\n", result.most_resident_mb,
               result.longest_datagram);
    fmt::print("not measured: cold budgets (no cold parent in this run)\n");
    for (auto& broken : result.broken) fmt::print("BROKEN: {}\n", broken);
    fmt::print("\n");
}

std::string json_of(const RunResult& result) {
    auto bytes = json_of(result.bytes_per_s.total);
    if (bytes.is_null()) bytes = json::object();
    bytes["in"] = json_of(result.bytes_per_s.in);
    bytes["out"] = json_of(result.bytes_per_s.out);
    bytes["membership"] = json_of(result.bytes_per_s.membership);
    bytes["stream"] = json_of(result.bytes_per_s.stream);
    json told = {{"hollow", result.hollow},
                 {"real", result.real},
                 {"processes", result.processes},
                 {"control_machines", result.control_machines},
                 {"seconds", result.seconds},
                 {"rss_mb_total", rounded(result.most_resident_mb)},
                 {"control_cpu_percent", json_of(result.cpu_percent)},
                 {"control_memory_mb", json_of(result.memory_mb)},
                 {"real_cpu_percent", json_of(result.real_cpu_percent)},
                 {"real_memory_mb", json_of(result.real_memory_mb)},
                 {"control_bytes_per_s", bytes},
                 {"real_membership_bytes_per_s", json_of(result.real_membership_bytes_per_s)},
                 {"control_machine_bytes_per_s", json_of(result.machine_bytes_per_s)},
                 {"control_machine_cpu_percent", json_of(result.machine_cpu_percent)},
                 {"control_machine_memory_mb", json_of(result.machine_memory_mb)},
                 {"purges_per_s", rounded(result.purges_per_s)},
                 {"purges_published", result.purges.published},
                 {"purge_everywhere_ms", json_of(result.purges.everywhere_ms)},
                 {"purges_missed", result.purges.missed},
                 {"configs_published", result.configurations.published},
                 {"config_everywhere_ms", json_of(result.configurations.everywhere_ms)},
                 {"configs_missed", result.configurations.missed},
                 {"start_knows_all_ms", json_of(result.restarted.knows_all_ms)},
                 {"restarted", json_of(result.restarted)},
                 {"killed_worker", json_of(result.after_loss)},
                 {"killed_and_back", result.killed_and_back},
                 {"started_together", json_of(result.together)},
                 {"cold_budget_exceeded", nullptr},
                 {"cold_budget_used", nullptr},
                 {"requests", result.requests},
                 {"requests_served", result.requests_served},
                 {"requests_without_one_response", result.requests_without_one_response},
                 {"requests_answered_late", result.requests_answered_late},
                 {"client_gap_ms", result.client_gap_ms},
                 {"false_dead", result.false_dead},
                 {"false_dead_held_up", result.false_dead_held_up},
                 {"false_dead_declarations", result.false_dead_declarations},
                 {"times_away", result.times_away},
                 {"times_away_measured", result.times_away_measured},
                 {"longest_datagram", result.longest_datagram},
                 {"not_measured", {"cold_budget_exceeded", "cold_budget_used"}},
                 {"broken", result.broken}};
    return told.dump();
}

}  // namespace quillgrade::rig::hollow
