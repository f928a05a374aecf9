#include "rig/scale/topology.hpp"

#include <algorithm>
#include <array>
#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>
#include <cstdlib>
#include <numeric>

namespace quillgrade::rig::scale {

namespace {

constexpr std::uint32_t layout_seed = 20'281'202;
constexpr double size_spread = 0.9;  // sigma of the lognormal sizes of sites
constexpr double load_spread = 0.7;  // sigma of the lognormal loads of routers
constexpr double heaviest_load = 6;
// Zones of each region: unlike on purpose.
constexpr std::array<int, planned_regions> zones_of_region = {5, 4, 3, 3, 2, 2, 2, 2, 1, 1, 1, 1};

// Sizes of sites that add up to `routers`, each between the bounds.
std::vector<int> site_sizes(int sites, int routers, boost::random::mt19937& chance) {
    boost::random::lognormal_distribution<double> draw(0, size_spread);
    std::vector<double> weights(static_cast<std::size_t>(sites));
    for (auto& weight : weights) weight = draw(chance);
    auto total = std::accumulate(weights.begin(), weights.end(), 0.0);
    std::vector<int> sizes;
    for (auto weight : weights) {
        auto size = static_cast<int>(std::lround(weight / total * routers));
        sizes.push_back(std::clamp(size, smallest_site, largest_site));
    }
    auto difference = routers - std::accumulate(sizes.begin(), sizes.end(), 0);
    boost::random::uniform_int_distribution<std::size_t> pick(0, sizes.size() - 1);
    while (difference != 0) {
        auto& size = sizes[pick(chance)];
        int step = difference > 0 ? 1 : -1;
        if (size + step < smallest_site || size + step > largest_site) continue;
        size += step;
        difference -= step;
    }
    return sizes;
}

}  // namespace

Topology::Topology(int routers) {
    boost::random::mt19937 chance(layout_seed);
    for (int region = 0; region < planned_regions; region++)
        for (int i = 0; i < zones_of_region.at(static_cast<std::size_t>(region)); i++)
            zone_regions.push_back(region);
    auto in_proportion = static_cast<int>(std::lround(1.0 * planned_sites * routers / planned_routers));
    site_count = std::min(std::max(in_proportion, planned_zones), std::max(1, routers / smallest_site));
    auto sizes = site_sizes(site_count, routers, chance);
    boost::random::lognormal_distribution<double> load(0, load_spread);
    for (int site = 0; site < site_count; site++)
        for (int i = 0; i < sizes[static_cast<std::size_t>(site)]; i++) {
            Placement placement;
            placement.site = site;
            placement.zone = site % planned_zones;
            placement.region = region_of_zone(placement.zone);
            placement.load = std::min(load(chance), heaviest_load);
            placements.push_back(placement);
        }
    // The numbers in the list of peers do not follow the sites.
    for (std::size_t left = placements.size(); left > 1; left--) {
        boost::random::uniform_int_distribution<std::size_t> pick(0, left - 1);
        std::swap(placements[left - 1], placements[pick(chance)]);
    }
    double total = 0;
    for (auto& one : placements) total += one.load;
    for (auto& one : placements) one.load *= routers / total;
}

std::vector<RouterIndex> Topology::in_site(int site) const {
    std::vector<RouterIndex> found;
    for (RouterIndex who = 0; who < routers(); who++)
        if (at(who).site == site) found.push_back(who);
    return found;
}

std::vector<RouterIndex> Topology::in_zone(int zone) const {
    std::vector<RouterIndex> found;
    for (RouterIndex who = 0; who < routers(); who++)
        if (at(who).zone == zone) found.push_back(who);
    return found;
}

std::vector<RouterIndex> Topology::in_region(int region) const {
    std::vector<RouterIndex> found;
    for (RouterIndex who = 0; who < routers(); who++)
        if (at(who).region == region) found.push_back(who);
    return found;
}

int Topology::typical_zone() const {
    auto wanted = routers() / planned_zones;
    int best = 0, best_difference = routers();
    for (int zone = 0; zone < planned_zones; zone++) {
        auto difference = std::abs(static_cast<int>(in_zone(zone).size()) - wanted);
        if (difference >= best_difference) continue;
        best = zone;
        best_difference = difference;
    }
    return best;
}

std::vector<int> Topology::regions_by_size() const {
    std::vector<int> order(planned_regions);
    std::iota(order.begin(), order.end(), 0);
    std::vector<std::size_t> sizes;
    sizes.reserve(order.size());
    for (auto region : order) sizes.push_back(in_region(region).size());
    std::stable_sort(order.begin(), order.end(), [&](int one, int other) {
        return sizes[static_cast<std::size_t>(one)] > sizes[static_cast<std::size_t>(other)];
    });
    return order;
}

int Topology::largest_site_index() const {
    std::vector<int> sizes(static_cast<std::size_t>(site_count));
    for (auto& one : placements) sizes[static_cast<std::size_t>(one.site)]++;
    return static_cast<int>(std::max_element(sizes.begin(), sizes.end()) - sizes.begin());
}

Micros Topology::delay(RouterIndex from, RouterIndex to) const {
    auto &one = at(from), &other = at(to);
    if (one.site == other.site) return within_site;
    if (one.zone == other.zone) return within_zone;
    if (one.region == other.region) return within_region;
    // Regions on a ring, so that none is more than half of it away.
    auto apart = std::abs(one.region - other.region);
    auto steps = std::min(apart, planned_regions - apart);
    return next_region + each_region_further * (steps - 1);
}

}  // namespace quillgrade::rig::scale
