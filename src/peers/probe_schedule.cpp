#include "peers/probe_schedule.hpp"

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <numeric>
#include <utility>

namespace quillgrade::peers {

RouterIndex ProbeSchedule::target(std::int64_t slot) {
    auto others = routers - 1;
    if (slot / others != round) {
        round = slot / others;
        distances.resize(static_cast<std::size_t>(others));
        std::iota(distances.begin(), distances.end(), static_cast<std::uint16_t>(1));
        // Seeded by the round alone, and drawn by a generator whose results its documentation fixes.
        boost::random::mt19937 chance(static_cast<std::uint32_t>(round));
        for (std::size_t left = distances.size(); left > 1; left--) {
            boost::random::uniform_int_distribution<std::size_t> draw(0, left - 1);
            std::swap(distances[left - 1], distances[draw(chance)]);
        }
    }
    return (self + distances[static_cast<std::size_t>(slot % others)]) % routers;
}

}  // namespace quillgrade::peers
