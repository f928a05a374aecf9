// Plays a script of the soak on processes of the real program in 127.0.0.0/8, and observes.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include "rig/soak/report.hpp"
#include "rig/soak/script.hpp"

namespace quillgrade::rig::soak {

struct Setup {
    std::string program;                                           // the router
    std::vector<std::pair<std::string, std::string>> environment;  // further variables of its processes
};

// Throws std::runtime_error where the run can't be set up.
Report play(const Script& script, const Setup& setup);

}  // namespace quillgrade::rig::soak
