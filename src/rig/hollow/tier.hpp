// The tier of a run: which routers there are, hollow ones first, in which zone each is, and the configuration
// that a real one is started with.
#pragma once

#include <string>
#include <vector>

#include "rig/hollow/messages.hpp"

namespace quillgrade::rig::hollow {

struct Tier {
    int hollow = 0, real = 0;
    std::vector<int> cache_ports;       // on 127.0.0.1
    std::vector<PackedAddress> listen;  // by number

    int routers() const { return hollow + real; }
    int zones() const;
    int zone_of(int router) const;  // from 1; hollow routers of a worker are neighbours in one or two zones
    // The text of the file that PROXY_CONFIG names, without addresses of routers.
    std::string configuration(int router, int coordinator_port) const;
    // The same for a process: it listens at its place in `listen`, for datagrams and for clients.
    std::string configuration_of_process(int router, int coordinator_port) const;
};

// What the configuration's list of known events ends with.
inline constexpr EventNumber known_events = 1;

}  // namespace quillgrade::rig::hollow
