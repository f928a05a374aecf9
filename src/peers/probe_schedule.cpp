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
        // All routers have to draw the same order, so the seed is the round alone, and the generator is one
        // whose results its documentation fixes.
        boost::random::mt19937 generator(static_cast<std::uint32_t>(round));
        for (std::size_t undrawn = distances.size(); undrawn > 1; undrawn--) {
            boost::random::uniform_int_distribution<std::size_t> draw(0, undrawn - 1);
            std::swap(distances[undrawn - 1], distances[draw(generator)]);
        }
    }
    return (self + distances[static_cast<std::size_t>(slot % others)]) % routers;
}

}  // namespace quillgrade::peers
