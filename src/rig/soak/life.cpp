#include "rig/soak/life.hpp"

#include <fmt/format.h>
#include <sys/wait.h>

#include <algorithm>
#include <csignal>
#include <filesystem>
#include <utility>

namespace quillgrade::rig::soak {

namespace {

constexpr int connections_of_clients = 8;
// While clients go on coming to a router that ends: one more connection so often.
constexpr Micros further_connection_every = 40 * millisecond;
constexpr Micros look_every = 200 * millisecond;
constexpr std::size_t looks_kept = 8;  // an open file counts as lost after so many looks
constexpr std::size_t last_lines_kept = 2000;

bool ends_program(int signal) { return signal == SIGTERM || signal == SIGINT; }

struct Descriptors {
    int all = 0, files = 0;  // what is no socket
};

Descriptors descriptors_of(int process) {
    Descriptors found;
    std::error_code failed;
    for (std::filesystem::directory_iterator one(fmt::format("/proc/{}/fd", process), failed), end;
         !failed && one != end; one.increment(failed)) {
        std::error_code gone;
        auto to = std::filesystem::read_symlink(one->path(), gone).string();
        if (gone) continue;
        found.all++;
        if (to.rfind("socket:", 0) != 0) found.files++;
    }
    return found;
}

}  // namespace

Life::Life(Place place, World& world, Report& report, Micros begun)
    : place(std::move(place)), world(world), report(report), begun(begun) {}

void Life::note(const std::string& what) {
    report.timeline.emplace_back(unix_now() - begun, fmt::format("router {}: {}", place.number, what));
}

void Life::find(const std::string& what) {
    note("FOUND " + what);
    report.findings.push_back(fmt::format(
        "{:.3f} s, router {}: {}", static_cast<double>(unix_now() - begun) / second, place.number, what));
    if (report.logs.size() < 8)
        report.logs.push_back(fmt::format("router {}, process {}:\n{}", place.number,
                                          process ? process->pid() : 0, last_lines()));
}

std::string Life::last_lines() const {
    return log.size() > last_lines_kept ? log.substr(log.size() - last_lines_kept) : log;
}

void Life::start() {
    log.clear();
    files.clear();
    files_when_ready.reset();
    pending.clear();
    counted_slow = stays = descriptors_noted = false;
    term_at = 0;
    started = unix_now();
    state = State::Starting;
    report.lives++;
    place.before_start();
    process = std::make_unique<Router>(place.program, place.config_file, std::vector<std::string>{},
                                       place.environment);
    note(fmt::format("start, process {}", process->pid()));
}

void Life::signal_later(const std::vector<TimedSignal>& signals, Micros now) {
    for (auto& one : signals) pending.emplace_back(now + one.after, one.number);
    std::stable_sort(pending.begin(), pending.end(), [](auto& a, auto& b) { return a.first < b.first; });
}

void Life::end_as_planned(const Event& event, Micros now) {
    connections_last = event.connections_last;
    stays = event.clients_stay;
    at_start = event.at_start;
    signal_later(event.signals, now);
}

bool Life::kill(const Event& event, Micros now) {
    if (state == State::Leaving || state == State::Down) return false;
    at_start = event.at_start;
    if (state == State::Starting) {
        report.slowest_start = std::max(report.slowest_start, now - started);
    }
    world.let_connect(place.port, false);
    world.excuse_open(place.port);
    process->signal(SIGKILL);
    process->wait();
    note("SIGKILL");
    connects = asks = false;
    world.ask_also(place.port, 0, connections_of_clients, place.patience, place.host);
    state = State::Down;
    if (restarts) start();
    return true;
}

void Life::send(int signal, Micros now) {
    if (state == State::Down) return;
    note(fmt::format("SIG{}", sigabbrev_np(signal)));
    process->signal(signal);
    if (ends_program(signal) && state != State::Leaving) begin_to_leave(now);
}

void Life::begin_to_leave(Micros now) {
    term_at = now;
    state = State::Leaving;
}

// The clients' side of a planned restart.
void Life::tend_clients(Micros now) {
    if (state != State::Leaving) return;
    auto gone = now - term_at;
    if (connects && gone >= connections_last) {
        connects = false;
        world.let_connect(place.port, false);
    }
    auto wanted = connections_of_clients + static_cast<int>(gone / further_connection_every);
    if (connects && wanted > connections_wanted) {
        connections_wanted = wanted;
        world.ask_also(place.port, place.requests_per_s, wanted, place.patience, place.host);
    }
    if (asks && gone >= connections_last + requests_after_connections) {
        asks = false;
        // What clients ask beyond this time the pages do not promise to answer.
        world.excuse_from(place.port, now);
        if (!stays) world.ask_also(place.port, 0, connections_of_clients, place.patience, place.host);
    }
}

void Life::look(Micros now) {
    bool had_line = log.find("starting:") != std::string::npos;
    log += process->take_log();
    if (!had_line && log.find("starting:") != std::string::npos)
        signal_later(std::exchange(at_start, {}), now);
    if (state == State::Starting && log.find("serving as ") != std::string::npos) {
        state = State::Serving;
        auto took = now - started;
        report.measured_starts++;
        report.not_ready_10s += took > ready_soon && !counted_slow;
        report.slowest_start = std::max(report.slowest_start, took);
        note(fmt::format("serving after {} ms", took / millisecond));
        connects = asks = true;
        connections_wanted = connections_of_clients;
        connections_last = 300 * millisecond;
        world.let_connect(place.port, true);
        world.excuse_from(place.port, 0);
        world.ask_also(place.port, place.requests_per_s, connections_of_clients, place.patience, place.host);
    }
    if (state == State::Starting && now - started > ready_at_all && !counted_slow) {
        counted_slow = true;
        report.measured_starts++;
        report.not_ready_10s++;
        report.not_ready_30s++;
        find("not ready within 30 s");
    }
    if (state == State::Serving) look_at_descriptors(now);
}

void Life::look_at_descriptors(Micros now) {
    if (now - looked < look_every) return;
    looked = now;
    auto open = descriptors_of(process->pid());
    auto memory = process->rss_mb();
    if (!over_limit && (open.all > descriptor_limit || memory > memory_limit_mb)) {
        over_limit = true;
        report.limits_exceeded++;
        find(fmt::format("{} descriptors and {:.0f} MB, over the limits", open.all, memory));
    }
    if (!files_when_ready) {
        files_when_ready = open.files;
        return;
    }
    files.push_back(open.files);
    if (files.size() > looks_kept) files.pop_front();
    auto least = *std::min_element(files.begin(), files.end());
    if (files.size() == looks_kept && least > *files_when_ready && !descriptors_noted) {
        descriptors_noted = true;
        report.descriptors_lost++;
        find(fmt::format("{} open files, {} when it was ready", least, *files_when_ready));
    }
}

void Life::has_ended(Micros now) {
    siginfo_t info{};
    waitid(P_PID, static_cast<id_t>(process->pid()), &info, WEXITED | WNOHANG | WNOWAIT);
    log += process->take_log();
    bool by_signal = info.si_code != CLD_EXITED;
    auto how = by_signal ? fmt::format("signal SIG{}", sigabbrev_np(info.si_status))
                         : fmt::format("exit code {}", info.si_status);
    note("ended, " + how);
    if (by_signal && info.si_status == SIGHUP) report.exits_by_hup++;
    if (state == State::Leaving) {
        report.slowest_end = std::max(report.slowest_end, now - term_at);
        if (by_signal || info.si_status != 0) {
            report.exits_not_zero++;
            find(how + " after SIGTERM");
        }
    } else {
        report.crashes++;
        find(how + ", nobody asked for it");
    }
    process->wait();
    process.reset();
    connects = asks = false;
    pending.clear();
    world.let_connect(place.port, false);
    world.ask_also(place.port, 0, connections_of_clients, place.patience, place.host);
    state = State::Down;
    if (restarts) start();
}

void Life::tick(Micros now) {
    if (state == State::Down) return;
    look(now);
    while (state != State::Down && !pending.empty() && pending.front().first <= now) {
        auto signal = pending.front().second;
        pending.erase(pending.begin());
        send(signal, now);
    }
    tend_clients(now);
    if (process->ended()) return has_ended(now);
    if (state == State::Leaving && now - term_at >= kill_after_term) {
        report.outlived_kill++;
        find("still there when SIGKILL is due");
        process->signal(SIGKILL);
        process->wait();
        process.reset();
        connects = asks = false;
        pending.clear();
        world.let_connect(place.port, false);
        world.ask_also(place.port, 0, connections_of_clients, place.patience, place.host);
        state = State::Down;
        if (restarts) start();
    }
}

}  // namespace quillgrade::rig::soak
