// Plays one hollow run: starts control machines, workers with hollow routers, and real routers; publishes;
// restarts and kills; compares what was published with what arrived. It judges from outside: no router is
// asked whether it kept a promise.
#pragma once

#include <atomic>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "rig/hollow/arrival_figures.hpp"
#include "rig/hollow/children.hpp"
#include "rig/hollow/control_cost.hpp"
#include "rig/hollow/false_deaths.hpp"
#include "rig/hollow/member_table.hpp"
#include "rig/hollow/real_routers.hpp"
#include "rig/hollow/run_options.hpp"
#include "rig/hollow/tier.hpp"

namespace quillgrade::rig::hollow {

// A folder of its own, removed with all that is in it.
class RunFolder {
public:
    RunFolder();  // throws std::runtime_error
    ~RunFolder();
    RunFolder(const RunFolder&) = delete;
    RunFolder& operator=(const RunFolder&) = delete;
    const std::string& path() const { return name; }

private:
    std::string name;
};

class Supervisor {
public:
    // `interrupted`: the run stops soon after it is set, as by a signal. Throws LimitExceeded where the run
    // would need too many processes.
    Supervisor(const RunOptions& run_options, const std::atomic<bool>& interrupted);
    // Throws RunStopped. All children have ended once the supervisor is gone.
    RunResult run();

private:
    // ---- the steps of a run
    void start_control_machines();
    void bind_workers();
    WorkerSetup setup_of(int worker) const;
    void start_routers();
    void play_steps();
    void begin_measuring();
    void end_measuring();
    void restart_some();
    void lose_control_machine();
    void kill_worker();
    void bring_worker_back();
    void wait_for_arrivals();

    // ---- while it goes on
    void run_for(double seconds);
    void run_until(Micros when);
    template <class Condition>
    void wait_for(const char* what, Condition condition);
    void turn();
    void publish();
    void check_limits();
    void collect_reports();

    // ---- figures
    void judge();
    void judge_deaths();
    void judge_starts();
    void judge_requests();
    void judge_promises();

    RunOptions options;
    const std::atomic<bool>& interrupted;
    Micros run_start;
    EventNumber event_capacity;
    RunResult result;
    RunFolder folder;
    Tier tier;
    ArrivalLog arrivals;
    MemberTable members;
    std::optional<Publisher> publisher;  // once the routers start
    std::optional<RealRouters> real;
    Children children;
    std::vector<PackedAddress> control_machines;
    Micros next_publication = 0, next_check = 0, next_report = 0;
    CostSample costs_before;
    Micros killed_at = 0, settled_at = 0;  // between them a router of the killed worker may be held for dead
    int restarted = 0;
};

}  // namespace quillgrade::rig::hollow
