// What control costs a router and a control machine between two moments: processor and memory by /proc,
// datagrams at the hollow routers' sockets, the stream at the control machines.
#pragma once

#include <vector>

#include "rig/hollow/children.hpp"
#include "rig/hollow/real_routers.hpp"
#include "rig/hollow/run_result.hpp"

namespace quillgrade::rig::hollow {

// One moment. All workers and control machines run, and have reported just before.
struct CostSample {
    Micros at = 0;
    std::vector<Usage> workers, machines, real;
    std::vector<WorkerReport> worker_reports;
    std::vector<MachineReport> machine_reports;
};
CostSample sample_costs(const Children& children, const RealRouters& real);

// Enters what lies between both into the result.
void add_costs(const CostSample& before, const CostSample& after, const Children& children,
               RunResult& result);

}  // namespace quillgrade::rig::hollow
