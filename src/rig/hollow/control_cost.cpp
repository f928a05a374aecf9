#include "rig/hollow/control_cost.hpp"

#include <map>
#include <numeric>

namespace quillgrade::rig::hollow {

namespace {

double seconds_between(const CostSample& before, const CostSample& after) {
    return static_cast<double>(after.at - before.at) / 1e6;
}

double per_second(std::uint64_t before, std::uint64_t after, double seconds) {
    return static_cast<double>(after - before) / seconds;
}

double percent(const Usage& before, const Usage& after, double seconds) {
    return 100 * (after.cpu_seconds - before.cpu_seconds) / seconds;
}

std::uint64_t sum_of(const std::vector<std::uint64_t>& counts) {
    return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

struct UsageFigures {
    std::vector<double> cpu_percent, memory_mb;
};

// Of processes of one kind, each by itself.
UsageFigures figures_of(const std::vector<Usage>& before, const std::vector<Usage>& after, double seconds) {
    UsageFigures figures;
    for (std::size_t i = 0; i < after.size(); i++) {
        figures.cpu_percent.push_back(percent(before[i], after[i], seconds));
        figures.memory_mb.push_back(after[i].resident_mb);
    }
    return figures;
}

// Of a worker, each of its routers' part.
UsageFigures parts_of_workers(const CostSample& before, const CostSample& after, const Children& children) {
    UsageFigures figures;
    auto seconds = seconds_between(before, after);
    for (std::size_t i = 0; i < after.workers.size(); i++) {
        auto routers = static_cast<std::size_t>(children.workers()[i].setup.hollow_routers);
        auto part = 1 / static_cast<double>(routers);
        auto cpu = percent(before.workers[i], after.workers[i], seconds) * part;
        auto memory = after.workers[i].resident_private_mb * part;
        figures.cpu_percent.insert(figures.cpu_percent.end(), routers, cpu);
        figures.memory_mb.insert(figures.memory_mb.end(), routers, memory);
    }
    return figures;
}

// Of the connections of one machine that were open all the time.
std::vector<double> stream_bytes_per_s(const MachineReport& before, const MachineReport& after,
                                       double seconds) {
    std::map<std::uint64_t, std::uint64_t> sent_before;
    for (auto& one : before.open) sent_before[one.connection] = one.sent;
    std::vector<double> rates;
    for (auto& one : after.open)
        if (auto found = sent_before.find(one.connection); found != sent_before.end())
            rates.push_back(per_second(found->second, one.sent, seconds));
    return rates;
}

void add_usage(const CostSample& before, const CostSample& after, const Children& children,
               RunResult& result) {
    auto seconds = seconds_between(before, after);
    auto hollow = parts_of_workers(before, after, children);
    auto real = figures_of(before.real, after.real, seconds);
    auto machines = figures_of(before.machines, after.machines, seconds);
    result.cpu_percent = distribution_of(hollow.cpu_percent);
    result.memory_mb = distribution_of(hollow.memory_mb);
    result.real_cpu_percent = distribution_of(real.cpu_percent);
    result.real_memory_mb = distribution_of(real.memory_mb);
    result.machine_cpu_percent = distribution_of(machines.cpu_percent);
    result.machine_memory_mb = distribution_of(machines.memory_mb);
}

// The stream of all machines; gives the mean over connections.
double add_streams(const CostSample& before, const CostSample& after, RunResult& result) {
    auto seconds = seconds_between(before, after);
    std::vector<double> streams, machines;
    for (std::size_t i = 0; i < after.machine_reports.size(); i++) {
        auto &first = before.machine_reports[i], &last = after.machine_reports[i];
        auto by_connection = stream_bytes_per_s(first, last, seconds);
        streams.insert(streams.end(), by_connection.begin(), by_connection.end());
        machines.push_back(per_second(first.bytes_sent, last.bytes_sent, seconds));
    }
    result.bytes_per_s.stream = distribution_of(streams);
    result.machine_bytes_per_s = distribution_of(machines);
    auto sum = std::accumulate(streams.begin(), streams.end(), 0.0);
    return streams.empty() ? 0 : sum / static_cast<double>(streams.size());
}

// Which connection is which router's is not known; all are told the same, so the mean stands for each.
void add_datagrams(const CostSample& before, const CostSample& after, double stream_in, RunResult& result) {
    auto seconds = seconds_between(before, after);
    std::vector<double> total, in, out, membership;
    for (std::size_t worker = 0; worker < after.worker_reports.size(); worker++) {
        auto &first = before.worker_reports[worker].of_own, &last = after.worker_reports[worker].of_own;
        for (std::size_t i = 0; i < last.size(); i++) {
            auto came = per_second(first[i].in, last[i].in, seconds);
            auto sent = per_second(first[i].out, last[i].out, seconds);
            in.push_back(came + stream_in);
            out.push_back(sent);
            membership.push_back(came + sent);
            total.push_back(came + sent + stream_in);
        }
    }
    result.bytes_per_s.total = distribution_of(total);
    result.bytes_per_s.in = distribution_of(in);
    result.bytes_per_s.out = distribution_of(out);
    result.bytes_per_s.membership = distribution_of(membership);
}

// Of each real router, both directions, as the hollow ones at the far ends have it.
void add_datagrams_of_real(const CostSample& before, const CostSample& after, RunResult& result) {
    auto seconds = seconds_between(before, after);
    std::vector<double> rates(static_cast<std::size_t>(result.real));
    for (std::size_t worker = 0; worker < after.worker_reports.size(); worker++) {
        auto &first = before.worker_reports[worker].of_far, &last = after.worker_reports[worker].of_far;
        for (std::size_t i = 0; i < rates.size(); i++) {
            auto number = static_cast<std::size_t>(result.hollow) + i;
            rates[i] +=
                per_second(first[number].in + first[number].out, last[number].in + last[number].out, seconds);
        }
    }
    result.real_membership_bytes_per_s = distribution_of(rates);
}

}  // namespace

CostSample sample_costs(const Children& children, const RealRouters& real) {
    CostSample sample;
    sample.at = unix_now();
    for (auto& worker : children.workers()) {
        sample.workers.push_back(usage_of(worker.child->id()));
        sample.worker_reports.push_back(*worker.report);
    }
    for (auto& machine : children.machines()) {
        sample.machines.push_back(usage_of(machine.child->id()));
        sample.machine_reports.push_back(*machine.report);
    }
    for (int i = 0; i < real.running(); i++) sample.real.push_back(real.usage(i));
    return sample;
}

void add_costs(const CostSample& before, const CostSample& after, const Children& children,
               RunResult& result) {
    add_usage(before, after, children, result);
    auto stream_in = add_streams(before, after, result);
    add_datagrams(before, after, stream_in, result);
    add_datagrams_of_real(before, after, result);
    for (std::size_t i = 0; i < after.worker_reports.size(); i++)
        result.times_away_measured +=
            sum_of(after.worker_reports[i].away) - sum_of(before.worker_reports[i].away);
}

}  // namespace quillgrade::rig::hollow
