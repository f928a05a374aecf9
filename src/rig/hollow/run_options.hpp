// What a hollow run is asked for, and why it may stop without figures.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>

namespace quillgrade::rig::hollow {

inline constexpr double most_resident_mb = 12 * 1024;
inline constexpr int most_processes = 200;

struct RunOptions {
    std::string own_program;     // quillgrade_hollow, for the children
    std::string router_program;  // quillgrade
    int hollow = 200, real = 4;
    double seconds = 60;
    int control_machines = 7;
    double bytes_per_s = 2000;  // budget of the membership
    bool state_transfer = false;
    bool shared_facts = true;  // routers tell one another of purges and drains
    std::uint64_t seed = 1;
    double purges_per_s = 120;
    double requests_per_s = 20;  // to each real router
    // The run stops where it is over one of these.
    double resident_mb_limit = most_resident_mb;
    int process_limit = most_processes;
};

// The run was stopped, and there are no figures.
struct RunStopped : std::runtime_error {
    using std::runtime_error::runtime_error;
};
struct LimitExceeded : RunStopped {
    using RunStopped::RunStopped;
};
struct ChildFailed : RunStopped {
    using RunStopped::RunStopped;
};
struct Interrupted : RunStopped {
    using RunStopped::RunStopped;
};

}  // namespace quillgrade::rig::hollow
