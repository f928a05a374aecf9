#include "rig/hollow/supervisor.hpp"

#include <fmt/format.h>
#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <map>

#include "peers/message.hpp"

namespace quillgrade::rig::hollow {

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;
constexpr int most_hollow_a_worker = 125, hollow_a_small_worker = 15, workers_of_a_small_run = 8;
constexpr int turn_wait_ms = 5;
constexpr Micros publish_every = 50 * ms, check_every = 500 * ms, report_every = 2 * second;
constexpr Micros longest_wait = 30 * second;  // for answers of children
// Purges have to be everywhere within 8 s, configuration within 12 s.
constexpr double purge_deadline_ms = 8000;
constexpr Micros arrival_deadline = 12 * second;
constexpr double look_at_arrivals_every_s = 0.2;
// After a killed worker is back, others may still hold its routers for dead.
constexpr Micros settle_time = 30 * second;

// The steps of a run as shares of its length.
constexpr double load_at = 0.1, measure_at = 0.15, burst_at = 0.45, storm_at = 0.57, restart_at = 0.62,
                 lose_machine_at = 0.67, kill_worker_at = 0.72, worker_back_at = 0.82;
constexpr double burst_factor = 10, burst_s = 2, storm_s = 1;
constexpr int storm_changes = 20;
// 9,600 a day are one in 9 s; ten times as many, so that a short run has some.
constexpr double configurations_per_s = 10 * 9600 / 86'400.0;
constexpr int one_in_is_restarted = 20, most_restarted = 50;

// Each run has a network of its own within 127.0.0.0/8, apart from those of rig::Fleet (127.64 to 127.191).
constexpr std::uint32_t first_network = 192, networks = 60;

std::uint32_t first_host() {
    auto mixed = static_cast<std::uint32_t>(getpid()) * 2654435761U;
    return 0x7f000001U + ((first_network + (mixed >> 8) % networks) << 16);
}

int workers_for(int hollow) {
    int needed = (hollow + most_hollow_a_worker - 1) / most_hollow_a_worker;
    int wanted = std::clamp(hollow / hollow_a_small_worker, 2, workers_of_a_small_run);
    return std::min(hollow, std::max(needed, wanted));
}

EventNumber capacity_for(const RunOptions& options) {
    constexpr double spare_s = 20, other_events = 1000;
    auto seconds = options.seconds + burst_factor * burst_s + spare_s;
    return static_cast<EventNumber>(seconds * options.purges_per_s + other_events);
}

int coordinator_port_of(PackedAddress machine) { return unpack(machine).port; }

}  // namespace

RunFolder::RunFolder() : name("/tmp/quillgrade_hollow_XXXXXX") {
    if (!mkdtemp(name.data())) throw std::runtime_error("no folder for the run");
}

RunFolder::~RunFolder() {
    std::error_code ignored;
    std::filesystem::remove_all(name, ignored);
}

Supervisor::Supervisor(const RunOptions& run_options, const std::atomic<bool>& interrupted)
    : options(run_options),
      interrupted(interrupted),
      run_start(unix_now()),
      event_capacity(capacity_for(run_options)),
      tier{run_options.hollow, run_options.real, {}, {}},
      arrivals(folder.path(), tier.routers(), event_capacity, run_start),
      members(folder.path(), tier.routers()),
      children(run_options.own_program, folder.path() + "/children.log",
               static_cast<std::size_t>(workers_for(run_options.hollow)),
               static_cast<std::size_t>(run_options.control_machines)) {
    result.hollow = options.hollow;
    result.real = options.real;
    result.control_machines = options.control_machines;
    result.processes = 1 + workers_for(options.hollow) + options.control_machines + options.real;
    result.seconds = options.seconds;
    if (result.processes > options.process_limit)
        throw LimitExceeded(fmt::format("the run needs {} processes, {} are allowed", result.processes,
                                        options.process_limit));
}

RunResult Supervisor::run() {
    real.emplace(RealRouterTerms{options.router_program, folder.path(), options.bytes_per_s,
                                 options.state_transfer, options.shared_facts});
    tier.cache_ports = real->cache_ports();
    start_control_machines();
    bind_workers();
    start_routers();
    play_steps();
    real->ask(0);
    wait_for_arrivals();
    real->finish_requests();
    collect_reports();
    judge();
    return result;
}

// ---- the steps of a run

void Supervisor::start_control_machines() {
    auto& machines = children.machines();
    for (auto& machine : machines) children.start(machine);
    wait_for("the control machines to listen", [&] {
        return std::all_of(machines.begin(), machines.end(), [](auto& one) { return one.address != 0; });
    });
    for (auto& machine : machines) control_machines.push_back(machine.address);
}

WorkerSetup Supervisor::setup_of(int worker) const {
    auto count = static_cast<int>(children.workers().size());
    WorkerSetup setup;
    setup.folder = folder.path();
    setup.configuration = tier.configuration(0, coordinator_port_of(control_machines.front()));
    setup.first_router = options.hollow * worker / count;
    setup.hollow_routers = options.hollow * (worker + 1) / count - setup.first_router;
    setup.total_routers = tier.routers();
    for (int i = 0; i < setup.hollow_routers; i++)
        setup.zones.push_back(tier.zone_of(setup.first_router + i));
    setup.first_host = first_host() + static_cast<std::uint32_t>(setup.first_router);
    setup.event_capacity = event_capacity;
    setup.run_start = run_start;
    setup.bytes_per_s = options.bytes_per_s;
    setup.state_transfer = options.state_transfer;
    setup.shared_facts = options.shared_facts;
    setup.seed = options.seed;
    return setup;
}

void Supervisor::bind_workers() {
    auto& workers = children.workers();
    for (std::size_t i = 0; i < workers.size(); i++) {
        workers[i].setup = setup_of(static_cast<int>(i));
        children.start(workers[i]);
    }
    wait_for("the workers to bind", [&] {
        return std::all_of(workers.begin(), workers.end(), [](auto& one) { return one.bound.has_value(); });
    });
    for (auto& worker : workers) {
        worker.setup.listen = worker.bound->listen;
        tier.listen.insert(tier.listen.end(), worker.bound->listen.begin(), worker.bound->listen.end());
    }
    auto first_of_real = first_host() + static_cast<std::uint32_t>(options.hollow);
    for (auto address : RealRouters::choose_addresses(first_of_real, options.real))
        tier.listen.push_back(address);
}

void Supervisor::start_routers() {
    auto cache_port = static_cast<std::uint16_t>(tier.cache_ports.front());
    publisher.emplace(known_events, pack({INADDR_LOOPBACK, cache_port}));
    StartRouters start{tier.listen, control_machines, known_events, StartReason::Together};
    for (auto& worker : children.workers()) Children::send(worker, start);
    real->start(tier, coordinator_port_of(control_machines.front()));
}

void Supervisor::play_steps() {
    auto begin = unix_now();
    auto until = [&](double share) {
        run_until(begin + static_cast<Micros>(share * options.seconds * static_cast<double>(second)));
    };
    auto steady = [&] { publisher->set_rates(options.purges_per_s, configurations_per_s); };
    until(load_at);
    steady();
    real->ask(options.requests_per_s);
    until(measure_at);
    begin_measuring();
    until(burst_at);
    end_measuring();
    publisher->set_rates(burst_factor * options.purges_per_s, configurations_per_s);
    run_for(burst_s);
    steady();
    until(storm_at);
    publisher->set_rates(options.purges_per_s, storm_changes / storm_s);
    run_for(storm_s);
    steady();
    until(restart_at);
    restart_some();
    until(lose_machine_at);
    lose_control_machine();
    until(kill_worker_at);
    kill_worker();
    until(worker_back_at);
    bring_worker_back();
    until(1);
    publisher->set_rates(0, 0);
    publish();
}

void Supervisor::begin_measuring() {
    collect_reports();
    costs_before = sample_costs(children, *real);
}

void Supervisor::end_measuring() {
    collect_reports();
    add_costs(costs_before, sample_costs(children, *real), children, result);
}

// Spread over the workers but the last, which will be killed.
void Supervisor::restart_some() {
    auto candidates = children.workers().back().setup.first_router;
    restarted = std::clamp(candidates / one_in_is_restarted, 1, most_restarted);
    for (auto& worker : children.workers()) {
        RestartRouters restart{{}, publisher->last_event()};
        for (int i = 0; i < restarted; i++) {
            auto number = candidates * i / restarted;
            if (worker.has(number)) restart.routers.push_back(number);
        }
        if (!restart.routers.empty()) Children::send(worker, restart);
    }
}

// Never the first, which the real routers' configuration names.
void Supervisor::lose_control_machine() {
    if (children.machines().size() > 1) children.machines().back().child.reset();
}

void Supervisor::kill_worker() {
    auto& worker = children.workers().back();
    worker.child.reset();
    killed_at = unix_now();
    for (int i = 0; i < worker.setup.hollow_routers; i++) {
        members.not_running(worker.setup.first_router + i);
        // What is published until it is back is no miss of a router that does not run.
        arrivals.begin_life(worker.setup.first_router + i, event_capacity);
    }
}

void Supervisor::bring_worker_back() {
    auto& worker = children.workers().back();
    children.start(worker);
    wait_for("the killed worker to bind again", [&] { return worker.bound.has_value(); });
    StartRouters start{tier.listen, control_machines, publisher->last_event(), StartReason::AfterLoss};
    Children::send(worker, start);
    settled_at = unix_now() + settle_time;
}

void Supervisor::wait_for_arrivals() {
    ArrivalFigures figures(arrivals, *publisher, options.hollow);
    auto limit = unix_now() + arrival_deadline;
    while (unix_now() < limit && !figures.all_arrived()) run_for(look_at_arrivals_every_s);
}

// ---- while it goes on

void Supervisor::run_for(double seconds) {
    run_until(unix_now() + static_cast<Micros>(seconds * static_cast<double>(second)));
}

void Supervisor::run_until(Micros when) {
    while (unix_now() < when) turn();
}

template <class Condition>
void Supervisor::wait_for(const char* what, Condition condition) {
    auto limit = unix_now() + longest_wait;
    while (!condition()) {
        if (unix_now() > limit) throw ChildFailed(fmt::format("waited too long for {}", what));
        turn();
    }
}

void Supervisor::turn() {
    if (interrupted) throw Interrupted("interrupted");
    children.read(turn_wait_ms);
    publish();
    auto now = unix_now();
    if (now >= next_check) {
        next_check = now + check_every;
        children.check();
        if (real->any_ended()) throw ChildFailed("a real router has ended");
        check_limits();
    }
    if (publisher && now >= next_report) {
        next_report = now + report_every;
        children.request_reports();
    }
}

void Supervisor::publish() {
    auto now = unix_now();
    if (!publisher || now < next_publication) return;
    next_publication = now + publish_every;
    auto made = publisher->publish(now);
    if (!made.purges.empty() || !made.configurations.empty()) children.publish(made);
}

void Supervisor::check_limits() {
    auto all = children.processes();
    for (int i = 0; i < real->running(); i++) all.push_back(real->id(i));
    all.push_back(getpid());
    auto count = static_cast<int>(all.size());
    if (count > options.process_limit)
        throw LimitExceeded(fmt::format("{} processes, {} are allowed", count, options.process_limit));
    double resident = 0;
    for (auto process : all) resident += usage_of(process).resident_mb;
    result.most_resident_mb = std::max(result.most_resident_mb, resident);
    if (resident > options.resident_mb_limit)
        throw LimitExceeded(
            fmt::format("{:.0f} MB resident, {:.0f} are allowed", resident, options.resident_mb_limit));
}

// Asks all, and waits until all have answered.
void Supervisor::collect_reports() {
    children.forget_reports();
    children.request_reports();
    next_report = unix_now() + report_every;
    wait_for("the children's reports", [this] { return children.all_reported(); });
}

// ---- figures

void Supervisor::judge() {
    ArrivalFigures figures(arrivals, *publisher, options.hollow);
    result.purges = figures.of(EventKind::Purge);
    result.configurations = figures.of(EventKind::Configuration);
    auto published_seconds = (1 - load_at) * options.seconds;
    result.purges_per_s = static_cast<double>(result.purges.published) / published_seconds;
    judge_deaths();
    judge_starts();
    judge_requests();
    for (auto& worker : children.workers()) {
        for (auto count : worker.report->away) result.times_away += count;
        result.longest_datagram = std::max(result.longest_datagram, worker.report->longest_datagram);
    }
    judge_promises();
}

void Supervisor::judge_deaths() {
    auto& killed = children.workers().back().setup;
    FalseDeaths deaths;
    deaths.excuse({killed.first_router, killed.hollow_routers, killed_at, settled_at});
    deaths.note(children.take_deaths());
    deaths.note(real->deaths());
    result.false_dead = deaths.routers();
    result.false_dead_declarations = deaths.declarations();
    for (auto& worker : children.workers())
        for (int i = 0; i < worker.setup.hollow_routers; i++)
            if (deaths.has(worker.setup.first_router + i) &&
                worker.report->away.at(static_cast<std::size_t>(i)) > 0)
                result.false_dead_held_up++;
}

void Supervisor::judge_starts() {
    std::map<StartReason, std::vector<double>> waits_ms;
    for (auto& one : children.take_known())
        waits_ms[one.reason].push_back(static_cast<double>(one.milliseconds));
    auto figures = [&](StartReason reason, int started) {
        auto& waits = waits_ms[reason];
        return StartFigures{started, static_cast<int>(waits.size()), distribution_of(waits)};
    };
    auto& killed = children.workers().back().setup;
    result.together = figures(StartReason::Together, options.hollow);
    result.restarted = figures(StartReason::Restart, restarted);
    result.after_loss = figures(StartReason::AfterLoss, killed.hollow_routers);
    for (int i = 0; i < killed.hollow_routers; i++)
        if (arrivals.arrival(killed.first_router + i, publisher->last_event())) result.killed_and_back++;
}

void Supervisor::judge_requests() {
    auto totals = real->totals();
    result.requests = totals.asked;
    result.requests_served = totals.handled;
    result.requests_without_one_response = totals.without_one_final;
    result.client_gap_ms = totals.longest_gap / 1000;
    auto lost = real->take_lost();
    auto late = [](auto& one) { return one.how == LostRequest::How::LateAnswer; };
    result.requests_answered_late = static_cast<std::uint64_t>(std::count_if(lost.begin(), lost.end(), late));
}

void Supervisor::judge_promises() {
    auto promise = [&](bool kept, std::string what) {
        if (!kept) result.broken.push_back(std::move(what));
    };
    promise(result.purges.missed == 0, fmt::format("{} purges missed for good", result.purges.missed));
    auto& everywhere = result.purges.everywhere_ms;
    promise(!everywhere || everywhere->max <= purge_deadline_ms,
            fmt::format("a purge was everywhere after {:.0f} ms", everywhere ? everywhere->max : 0));
    promise(result.configurations.missed == 0,
            fmt::format("{} changes of configuration missed for good", result.configurations.missed));
    promise(result.requests_without_one_response == 0,
            fmt::format("{} requests without exactly one response", result.requests_without_one_response));
    promise(result.false_dead == 0, fmt::format("{} living routers declared dead", result.false_dead));
    promise(result.killed_and_back == result.after_loss.started,
            fmt::format("{} of {} routers of the killed worker are back", result.killed_and_back,
                        result.after_loss.started));
    promise(result.longest_datagram <= peers::max_datagram_bytes,
            fmt::format("a datagram of {} bytes", result.longest_datagram));
}

}  // namespace quillgrade::rig::hollow
