// The start-up settings of a deployment, read into the module's own words. The bench's adapter and the router
// both read them here.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <vector>

#include "control.hpp"

namespace quillgrade::site {

// What is wrong with the settings, in words for an operator.
struct Unusable : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// What only the sockets need: the names that stand on the wire, by their places in the settings, and times.
struct Terms {
    std::vector<std::string> traffic, zones, kinds, reported;
    Micros connect_time = 0, idle_time = 0, longest_wait = 0;
};

SiteSettings read_facts(const nlohmann::json& told);  // throws Unusable
Terms read_terms(const nlohmann::json& told);         // throws Unusable

}  // namespace quillgrade::site
