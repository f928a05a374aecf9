#include "rig/hollow/publisher.hpp"

#include <algorithm>

namespace quillgrade::rig::hollow {

namespace {

// An id that no cache of the routers' configuration has.
constexpr std::uint32_t changed_cache = 900;
constexpr std::uint32_t least_weight = 1000, weights = 3000;
constexpr Micros ms = 1000;
// A supervisor that was held up does not make up for it with a burst.
constexpr double longest_step_s = 0.2;

}  // namespace

void Publisher::set_rates(double purges_per_s, double configurations_per_s) {
    purge_rate = purges_per_s;
    configuration_rate = configurations_per_s;
}

Publish Publisher::publish(Micros now) {
    auto step = last_call == 0 ? 0 : std::min(longest_step_s, static_cast<double>(now - last_call) / 1e6);
    last_call = now;
    purges_due += purge_rate * step;
    configurations_due += configuration_rate * step;
    Publish made;
    for (; purges_due >= 1; purges_due--) {
        events.push_back({EventKind::Purge, now});
        made.purges.push_back({last_event(), now / ms});
    }
    for (; configurations_due >= 1; configurations_due--) {
        events.push_back({EventKind::Configuration, now});
        auto weight = least_weight + static_cast<std::uint32_t>(last_event() % weights);
        made.configurations.push_back({last_event(), changed_cache, cache, weight});
    }
    return made;
}

}  // namespace quillgrade::rig::hollow
