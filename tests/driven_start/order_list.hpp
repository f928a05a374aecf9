// Which orders are played: all, a sample, pairs.
#pragma once

#include <string_view>

#include "order.hpp"

namespace quillgrade::driven_start {

inline constexpr std::size_t quick_orders = 80;

// In both, the places of an undisturbed start.
std::vector<Order> all_orders(const std::vector<Place>& places);
std::vector<Order> some_orders(const std::vector<Place>& places, std::size_t count, std::uint64_t seed);
std::vector<Order> some_pairs(const std::vector<Place>& places, std::size_t count, std::uint64_t seed);
Order read_order(const std::string& text);  // EVENT@PLACE,...; throws std::runtime_error

}  // namespace quillgrade::driven_start
