// The supervisor's workers and control machines: started, spoken with, watched.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rig/hollow/child_process.hpp"
#include "rig/hollow/messages.hpp"
#include "rig/hollow/run_options.hpp"

namespace quillgrade::rig::hollow {

struct Worker {
    std::unique_ptr<ChildProcess> child;  // none while it is killed
    WorkerSetup setup;
    std::optional<Bound> bound;
    std::optional<WorkerReport> report;  // the last one

    bool has(int router) const {
        return router >= setup.first_router && router < setup.first_router + setup.hollow_routers;
    }
};

struct Machine {
    std::unique_ptr<ChildProcess> child;  // none once it is lost
    PackedAddress address = 0;            // 0: it does not listen yet
    std::optional<MachineReport> report;
};

class Children {
public:
    Children(std::string program, std::string log_file, std::size_t workers, std::size_t machines);

    std::vector<Worker>& workers() { return all_workers; }
    const std::vector<Worker>& workers() const { return all_workers; }
    std::vector<Machine>& machines() { return all_machines; }
    const std::vector<Machine>& machines() const { return all_machines; }

    void start(Worker& worker);  // by its setup
    void start(Machine& machine);
    static void send(Worker& worker, const ToWorker& message);
    void publish(const Publish& events);  // to all machines that run

    // Takes in what the children have sent, after at most that wait.
    void read(int wait_ms);
    // Throws ChildFailed where one has ended that was not killed.
    void check() const;
    void request_reports();
    void forget_reports();  // of those that run
    bool all_reported() const;
    std::vector<DeathDeclarations> take_deaths() { return std::exchange(deaths, {}); }
    std::vector<StartKnown> take_known() { return std::exchange(known, {}); }
    std::vector<pid_t> processes() const;

private:
    std::unique_ptr<ChildProcess> start_role(const char* role) const;
    void take(Worker& worker, FromWorker message);
    static void take(Machine& machine, FromMachine message);

    std::string program, log_file;
    std::vector<Worker> all_workers;
    std::vector<Machine> all_machines;
    std::vector<DeathDeclarations> deaths;
    std::vector<StartKnown> known;
};

}  // namespace quillgrade::rig::hollow
