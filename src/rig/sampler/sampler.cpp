#include "rig/sampler/sampler.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sched.h>
#include <unistd.h>

#include <algorithm>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <vector>

namespace quillgrade::rig::sampler {

namespace {

constexpr std::size_t longest_program_name = 15;  // as the kernel keeps it
constexpr std::size_t longest_proc_line = 1024;

// Empty where the process has gone, or must not be read by this user.
std::string read_line(int pid, std::string_view name) {
    int file = open(fmt::format("/proc/{}/{}", pid, name).c_str(), O_RDONLY | O_CLOEXEC);
    if (file < 0) return {};
    std::string line(longest_proc_line, '\0');
    auto length = read(file, line.data(), line.size());
    close(file);
    line.resize(length > 0 ? static_cast<std::size_t>(length) : 0);
    return line;
}

std::vector<int> all_pids() {
    std::vector<int> pids;
    std::error_code error;
    for (auto& entry : std::filesystem::directory_iterator("/proc", error)) {
        auto name = entry.path().filename().string();
        int pid = 0;
        auto* end = name.data() + name.size();
        if (std::from_chars(name.data(), end, pid).ptr == end) pids.push_back(pid);
    }
    return pids;
}

// 0 where it is not known.
int allowed_cores(int pid) {
    cpu_set_t set;
    CPU_ZERO(&set);
    return sched_getaffinity(pid, sizeof set, &set) == 0 ? CPU_COUNT(&set) : 0;
}

double seconds(Nanoseconds time) { return std::chrono::duration<double>(time).count(); }

bool has_ended(const ProcessStat& stat) { return stat.state == 'Z' || stat.state == 'X'; }

}  // namespace

Sampler::Sampler(const Options& options, std::ostream& report) : options(options), report(report) {
    this->options.program.resize(std::min(options.program.size(), longest_program_name));
}

bool Sampler::wanted(const ProcessStat& stat) const {
    if (has_ended(stat) || stat.pid == getpid()) return false;
    if (options.program.empty() && options.parent == 0) return false;
    return (options.program.empty() || stat.program == options.program) &&
           (options.parent == 0 || stat.parent == options.parent);
}

void Sampler::round() {
    rounds++;
    clocks.add(read_clocks());
    read_cores();
    std::vector<ProcessStat> followed;
    for (int pid : all_pids()) {
        auto stat = parse_stat(read_line(pid, "stat"));
        if (!stat) continue;
        if (stat->state == 'R') cores[stat->core].ready++;
        if (wanted(*stat)) followed.push_back(*stat);
    }
    for (auto& stat : followed) sample(stat);
    for (auto one = processes.begin(); one != processes.end();) {
        if (one->second.last_round == rounds) {
            ++one;
            continue;
        }
        report_ended(one->first, one->second, "ended");
        one = processes.erase(one);
    }
    report.flush();
}

void Sampler::read_cores() {
    std::ifstream file("/proc/stat");
    std::string line;
    while (std::getline(file, line) && line.starts_with("cpu")) {
        auto times = parse_core_times(line);
        if (!times) continue;
        auto& core = cores[times->core];
        if (core.known)
            core.most_stolen_ticks = std::max(core.most_stolen_ticks, times->stolen - core.stolen_ticks);
        core.known = true;
        core.stolen_ticks = times->stolen;
        core.ready = 0;
    }
}

void Sampler::sample(const ProcessStat& stat) {
    auto times = parse_schedstat(read_line(stat.pid, "schedstat"));
    if (!times) return;
    auto known = processes.find(stat.pid);
    // A new process has been given the number of one that has ended.
    if (known != processes.end() && known->second.start_ticks != stat.start_ticks) {
        report_ended(known->first, known->second, "ended");
        processes.erase(known);
        known = processes.end();
    }
    if (known == processes.end()) {
        if (processes.size() >= most_processes) {
            not_followed++;
            return;
        }
        auto real = std::chrono::system_clock::now().time_since_epoch();
        known = processes
                    .emplace(stat.pid, Followed{stat.start_ticks, stat.program, real,
                                                ProcessHistory(options.ring), rounds})
                    .first;
    }
    auto call = parse_syscall(read_line(stat.pid, "syscall"));
    known->second.last_round = rounds;
    known->second.history.add({.at = std::chrono::steady_clock::now(),
                               .state = stat.state,
                               .times = *times,
                               .minor_faults = stat.minor_faults,
                               .major_faults = stat.major_faults,
                               .call = call.value_or(SystemCall{}),
                               .core = stat.core,
                               .allowed_cores = allowed_cores(stat.pid),
                               .ready_beside_it = cores[stat.core].ready - (stat.state == 'R' ? 1 : 0)});
}

void Sampler::report_ended(int pid, const Followed& followed, std::string_view end) {
    auto& history = followed.history;
    auto& last = history.last();
    auto ran = last.times.processor - history.first().times.processor;
    auto waited = std::max(history.longest_run_queue(), history.longest_ready_without_core());
    reported++;
    longest_run_queue = std::max(longest_run_queue, history.longest_run_queue());
    longest_ready_without_core = std::max(longest_ready_without_core, history.longest_ready_without_core());
    most_processor = std::max(most_processor, last.times.processor);
    bool asleep_or_ready = last.state == 'S' || last.state == 'R';
    if (asleep_or_ready && std::max(waited, ran) <= options.only_worse_than) {
        left_out++;
        return;
    }
    report << fmt::format(
        "process {} {} {}: seen from {:.3f} for {:.3f} s, processor {:.4f} s, run queue {:.4f} s, "
        "longest run queue {:.4f} s, longest ready without a core {:.3f} s, longest without running {:.3f} "
        "s, "
        "state {}, core {} of {} allowed, {} ready beside it, {} major faults, {} samples, call {}\n",
        pid, followed.program, end, seconds(followed.first_seen), seconds(last.at - history.first().at),
        seconds(last.times.processor), seconds(last.times.run_queue), seconds(history.longest_run_queue()),
        seconds(history.longest_ready_without_core()), seconds(history.longest_without_running()), last.state,
        last.core, last.allowed_cores, last.ready_beside_it, last.major_faults, history.samples(),
        text_of(last.call));
    if (!options.write_samples) return;
    for (auto& sample : history.kept())
        report << fmt::format(
            "  {:.3f} {} processor {:.4f} run queue {:.4f} core {} of {}, {} beside it, minor faults {} "
            "major faults {} call {}\n",
            seconds(sample.at - history.first().at), sample.state, seconds(sample.times.processor),
            seconds(sample.times.run_queue), sample.core, sample.allowed_cores, sample.ready_beside_it,
            sample.minor_faults, sample.major_faults, text_of(sample.call));
}

void Sampler::finish() {
    for (auto& [pid, followed] : processes) report_ended(pid, followed, "still there");
    processes.clear();
    report << fmt::format(
        "all: {} processes, {} of them not reported, {} samples of processes beyond {} left out, {} rounds; "
        "longest run queue {:.4f} s, longest ready without a core {:.3f} s, most processor time {:.4f} s\n",
        reported, left_out, not_followed, most_processes, rounds, seconds(longest_run_queue),
        seconds(longest_ready_without_core), seconds(most_processor));
    report << fmt::format("clocks: {} readings, {} slow, longest gap {:.3f} s", clocks.readings(),
                          clocks.slow_readings(), seconds(clocks.longest_gap()));
    for (auto clock : {OtherClock::Real, OtherClock::MonotonicRaw, OtherClock::Boot})
        report << fmt::format("; {} against monotonic: {} divergences over {:.3f} s, largest step {:.6f} s",
                              name_of(clock), clocks.divergence(clock).count, seconds(ClockWatch::tolerance),
                              seconds(clocks.divergence(clock).largest));
    report << "\ncores: most stolen between two rounds";
    for (auto& [number, core] : cores)
        report << fmt::format(
            ", core {} {:.2f} s", number,
            static_cast<double>(core.most_stolen_ticks) / static_cast<double>(sysconf(_SC_CLK_TCK)));
    report << "\n" << std::flush;
}

const ProcessHistory* Sampler::history_of(int pid) const {
    auto found = processes.find(pid);
    return found == processes.end() ? nullptr : &found->second.history;
}

}  // namespace quillgrade::rig::sampler
