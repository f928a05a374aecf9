// One start of the router in a given order of events, and what is wrong with it.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "loop_checks.hpp"
#include "order.hpp"

namespace quillgrade::driven_start {

// Faults put into the router from outside, to show that the checks find them.
enum class Plant {
    None,
    NeverWaits,       // no poll of the loop has a timeout
    WaitsWithoutEnd,  // the first poll of the loop, before `serving`, waits without a timeout
    ConnectsAtOnce,   // a connect that has not succeeded is made again at once
};

struct Outcome {
    std::string finding, detail;  // empty: all checks held
    std::vector<Place> places;    // the calls it made
    std::size_t reached = 0;      // how many injections of the order took place
    bool served = false;          // wrote `serving`, answered a ping with good
    bool ended_by_error = false;  // after a call that was made to fail, with one line that says so
    bool ended_as_told = false;   // after SIGTERM or SIGINT, with 0
    std::optional<std::size_t> ended_before_mask;  // by the signal that came at this place, before the
                                                   // program's first instruction held it back
    std::size_t mask_place = 0;                    // the call that holds signals back, the program's first
    int waits = 0, highest_calls = 0;
    std::chrono::nanoseconds highest_processor_time{};
    std::string log;
};

Outcome replay(const std::string& program, const Order& order, Plant plant);

// Blocks SIGCHLD in this process, which replay() then reads from a descriptor. Once a process, before it.
void hear_of_stops();

}  // namespace quillgrade::driven_start
