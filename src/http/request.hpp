// What is written to a cache: a lookup's transmission, or a probe.
#pragma once

#include <string>
#include <string_view>

#include "control.hpp"

namespace quillgrade::http {

std::string cache_name(CacheId id);  // as the wire writes it

// One transmission; budget is how long the answer is waited for.
std::string transmission(const LookupFacts& lookup, const Transmission& order, Micros budget,
                         std::string_view traffic, std::string_view have, std::string_view body);
std::string probe();

}  // namespace quillgrade::http
