#include "order_list.hpp"

#include <sys/syscall.h>

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <iterator>
#include <sstream>
#include <stdexcept>

namespace quillgrade::driven_start {

namespace {

using Random = boost::random::mt19937_64;

std::size_t pick(Random& random, std::size_t from, std::size_t below) {
    return boost::random::uniform_int_distribution<std::size_t>(from, below - 1)(random);
}

// What the coordinator does before the router has a socket for it is the same as before the start.
std::size_t first_of_coordinator(const std::vector<Place>& places) {
    auto found = std::find_if(places.begin(), places.end(), [](auto& one) { return one.call == SYS_socket; });
    return static_cast<std::size_t>(std::distance(places.begin(), found));
}

// The sample holds all of these: an interrupted call lost the line `serving` once.
bool writes_log(const Place& place) {
    return place.call == SYS_poll || place.call == SYS_write || place.call == SYS_sendto;
}

}  // namespace

std::vector<Order> all_orders(const std::vector<Place>& places) {
    std::vector<Order> orders;
    auto coordinator_from = first_of_coordinator(places);
    for (std::size_t place = 0; place < places.size(); place++)
        for (auto event : all_events)
            if (possible(places[place], event) && (!is_of_coordinator(event) || place >= coordinator_from))
                orders.push_back({{place, event}});
    // Silent, refusing and unreached all the time.
    for (auto event : {Event::CoordinatorAnswers, Event::CoordinatorListens, Event::CoordinatorAccepts})
        orders.push_back({{no_place, event}});
    return orders;
}

std::vector<Order> some_orders(const std::vector<Place>& places, std::size_t count, std::uint64_t seed) {
    auto orders = all_orders(places);
    Random random(seed);
    count = std::min(count, orders.size());
    for (std::size_t i = 0; i < count; i++) std::swap(orders[i], orders[pick(random, i, orders.size())]);
    orders.resize(count);
    for (std::size_t place = 0; place < places.size(); place++)
        if (writes_log(places[place])) orders.push_back({{place, Event::Interrupted}});
    return orders;
}

std::vector<Order> some_pairs(const std::vector<Place>& places, std::size_t count, std::uint64_t seed) {
    auto singles = all_orders(places);
    Random random(seed);
    std::vector<Order> orders;
    while (orders.size() < count) {
        auto one = singles[pick(random, 0, singles.size())].front(),
             other = singles[pick(random, 0, singles.size())].front();
        if (other.place < one.place) std::swap(one, other);
        // The coordinator begins in one way only, and a call fails in one way only.
        if (is_of_coordinator(one.event) && is_of_coordinator(other.event)) continue;
        if (one.place == other.place || other.place == no_place) continue;
        orders.push_back({one, other});
    }
    return orders;
}

Order read_order(const std::string& text) {
    Order order;
    std::istringstream words(text);
    std::size_t event = 0, place = 0;
    for (char sign = 0; words >> event >> sign >> place;) {
        if (sign != '@' || event >= all_events.size()) throw std::runtime_error("--order: " + text);
        order.push_back({place, all_events.at(event)});
        if (!(words >> sign)) break;
    }
    if (order.empty()) throw std::runtime_error("--order: " + text);
    return order;
}

}  // namespace quillgrade::driven_start
