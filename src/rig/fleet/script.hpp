// A script of faults: a JSON file with comments that says how many routers there are, what happens to them,
// and what must hold. Steps run one after the other; a step that waits ends on what is seen, with a limit.
// All that is drawn by chance (whom a fault hits, what the relay loses) comes from the script's seed.
// docs/membership.md lists every member.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "rig/fleet/budget.hpp"
#include "rig/fleet/fleet.hpp"

namespace quillgrade::rig {

struct Outcome {
    bool passed = true;
    std::vector<std::string> faults;  // what did not hold, with the step
    double seconds = 0;
    int processes = 0;              // started in all
    std::vector<double> detect_ms;  // from a kill to each running router's verdict
    int false_dead = 0;             // verdicts on routers that ran, unpaused and uncut, and for ten seconds
    int verdicts_by_paused = 0;     // accusations of a router within a second of its own pause's end
    Datagrams::Seen datagrams;
    Totals lookups;
    std::vector<Logged> logged;
    std::vector<std::pair<Micros, std::string>> said;  // the time line: when which step began
    Micros begun = 0;
    std::vector<std::string> logs;     // of the routers' last lives
    std::vector<ColdVerdict> budgets;  // of the servers watched, in order
    std::vector<double> fact_ms;       // from a drain or purge to each router's log line of it
};

struct Programs {
    std::string router, clock;
    std::vector<std::pair<std::string, std::string>> environment{};
};

// Throws std::runtime_error where the script can't be read. `seed` 0: the script's own. `say` hears of each
// step.
Outcome run_script(const std::string& text, const Programs& programs, std::uint64_t seed = 0,
                   const std::function<void(const std::string&)>& say = nullptr);

// The time line as a picture, drawn by gnuplot: for each router how many others see it in which state. False
// where there is no gnuplot.
bool draw(const Outcome& outcome, int routers, const std::string& file);

}  // namespace quillgrade::rig
