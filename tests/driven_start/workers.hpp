// Many orders, several at a time, each in a worker process of its own.
#pragma once

#include "order.hpp"

namespace quillgrade::driven_start {

struct Tally {
    int orders = 0, served = 0, ended_as_told = 0, ended_by_error = 0, ended_before_mask = 0, failed = 0,
        not_reached = 0, highest_calls = 0;
    double highest_processor_ms = 0;
    std::size_t first_ended_place = 0, last_ended_place = 0;  // where ended_before_mask is not 0
};

// Prints a line for each order that fails or ends with an error.
Tally run_together(const std::string& program, const std::vector<Order>& orders,
                   const std::vector<Place>& places, int together);

}  // namespace quillgrade::driven_start
