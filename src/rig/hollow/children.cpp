#include "rig/hollow/children.hpp"

#include <poll.h>

#include <algorithm>

#include "rig/hollow/message_lines.hpp"

namespace quillgrade::rig::hollow {

Children::Children(std::string program, std::string log_file, std::size_t workers, std::size_t machines)
    : program(std::move(program)),
      log_file(std::move(log_file)),
      all_workers(workers),
      all_machines(machines) {}

std::unique_ptr<ChildProcess> Children::start_role(const char* role) const {
    Command command;
    command.program = program;
    command.arguments = {role};
    command.log_file = log_file;
    command.controlled = true;
    return std::make_unique<ChildProcess>(command);
}

void Children::start(Worker& worker) {
    worker.bound.reset();
    worker.report.reset();
    worker.child = start_role("worker");
    send(worker, worker.setup);
}

void Children::start(Machine& machine) { machine.child = start_role("control-machine"); }

void Children::send(Worker& worker, const ToWorker& message) {
    worker.child->channel().send(encode_line(message));
}

void Children::publish(const Publish& events) {
    auto line = encode_line<ToMachine>(events);
    for (auto& machine : all_machines)
        if (machine.child) machine.child->channel().send(line);
}

void Children::read(int wait_ms) {
    std::vector<pollfd> ready;
    auto prepare = [&](auto& one) {
        if (!one.child || one.child->channel().closed()) return;
        one.child->channel().flush();
        ready.push_back({one.child->channel().descriptor(), POLLIN, 0});
    };
    for (auto& worker : all_workers) prepare(worker);
    for (auto& machine : all_machines) prepare(machine);
    poll(ready.data(), ready.size(), wait_ms);
    for (auto& worker : all_workers) {
        if (!worker.child) continue;
        for (auto& line : worker.child->channel().read()) take(worker, decode_line<FromWorker>(line));
    }
    for (auto& machine : all_machines) {
        if (!machine.child) continue;
        for (auto& line : machine.child->channel().read()) take(machine, decode_line<FromMachine>(line));
    }
}

void Children::take(Worker& worker, FromWorker message) {
    if (auto* bound = std::get_if<Bound>(&message)) {
        worker.bound = std::move(*bound);
        return;
    }
    auto& report = std::get<WorkerReport>(message);
    deaths.insert(deaths.end(), report.deaths.begin(), report.deaths.end());
    known.insert(known.end(), report.known.begin(), report.known.end());
    worker.report = std::move(report);
}

void Children::take(Machine& machine, FromMachine message) {
    if (auto* listening = std::get_if<Listening>(&message))
        machine.address = listening->address;
    else
        machine.report = std::get<MachineReport>(std::move(message));
}

void Children::check() const {
    for (auto& worker : all_workers)
        if (worker.child && worker.child->ended()) throw ChildFailed("a worker has ended");
    for (auto& machine : all_machines)
        if (machine.child && machine.child->ended()) throw ChildFailed("a control machine has ended");
}

void Children::request_reports() {
    for (auto& worker : all_workers)
        if (worker.child) send(worker, WorkerReportRequest{});
    auto line = encode_line<ToMachine>(MachineReportRequest{});
    for (auto& machine : all_machines)
        if (machine.child) machine.child->channel().send(line);
}

void Children::forget_reports() {
    for (auto& worker : all_workers)
        if (worker.child) worker.report.reset();
    for (auto& machine : all_machines)
        if (machine.child) machine.report.reset();
}

bool Children::all_reported() const {
    auto reported = [](auto& one) { return one.report.has_value(); };
    return std::all_of(all_workers.begin(), all_workers.end(), reported) &&
           std::all_of(all_machines.begin(), all_machines.end(), reported);
}

std::vector<pid_t> Children::processes() const {
    std::vector<pid_t> all;
    for (auto& worker : all_workers)
        if (worker.child) all.push_back(worker.child->id());
    for (auto& machine : all_machines)
        if (machine.child) all.push_back(machine.child->id());
    return all;
}

}  // namespace quillgrade::rig::hollow
