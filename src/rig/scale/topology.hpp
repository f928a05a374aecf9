// Where the routers of a large tier stand: regions, zones and sites of unlike sizes, the delay between two
// routers by their distance, and a skewed load. The same count gives the same topology. No I/O.
#pragma once

#include <cstdint>
#include <vector>

#include "peers/member_state.hpp"

namespace quillgrade::rig::scale {

using peers::Micros;
using peers::RouterIndex;

// The size that the capacity plan is made for.
inline constexpr int planned_routers = 5'900, planned_sites = 480, planned_zones = 27, planned_regions = 12;
inline constexpr int smallest_site = 2, largest_site = 60;

struct Placement {
    int site = 0, zone = 0, region = 0;
    double load = 1;  // share of the traffic, as a multiple of the mean
};

class Topology {
public:
    // Delays one way, without queues.
    static constexpr Micros within_site = 150, within_zone = 800, within_region = 3'000;
    static constexpr Micros next_region = 26'000, each_region_further = 14'000;

    // Fewer routers than planned stand at proportionally fewer sites; every zone keeps one site at least.
    explicit Topology(int routers);

    int routers() const { return static_cast<int>(placements.size()); }
    int sites() const { return site_count; }
    static int zones() { return planned_zones; }
    static int regions() { return planned_regions; }
    const Placement& at(RouterIndex who) const { return placements[static_cast<std::size_t>(who)]; }
    int region_of_zone(int zone) const { return zone_regions[static_cast<std::size_t>(zone)]; }

    std::vector<RouterIndex> in_site(int site) const;
    std::vector<RouterIndex> in_zone(int zone) const;
    std::vector<RouterIndex> in_region(int region) const;
    // The zone with the number of routers nearest to a planned_zones-th of all.
    int typical_zone() const;
    // The regions with the most routers, largest first.
    std::vector<int> regions_by_size() const;
    int largest_site_index() const;

    // One way, the shortest; what queues add comes on top.
    Micros delay(RouterIndex from, RouterIndex to) const;

private:
    std::vector<Placement> placements;
    std::vector<int> zone_regions;
    int site_count = 0;
};

}  // namespace quillgrade::rig::scale
