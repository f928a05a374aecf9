// The real processes of the router in a hollow run: members of the same tier as the hollow routers, with
// caches and clients of their own. Observed from outside: by what caches and clients see, by /proc, by the
// log.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "rig/hollow/child_process.hpp"
#include "rig/hollow/tier.hpp"
#include "rig/world.hpp"

namespace quillgrade::rig::hollow {

struct RealRouterTerms {
    std::string program;
    std::string folder;  // for configurations and logs
    double bytes_per_s = 0;
    bool state_transfer = false;
    bool shared_facts = true;
};

class RealRouters {
public:
    explicit RealRouters(const RealRouterTerms& terms);

    // Ports of caches, for the configurations.
    std::vector<int> cache_ports() const;
    // An address of its own for each; to be used at once.
    static std::vector<PackedAddress> choose_addresses(std::uint32_t first_host, int count);
    void start(const Tier& tier, int coordinator_port);
    // Clients ask each router so many requests a second.
    void ask(double requests_per_s);
    // No further requests; returns once the time of all that are out is up.
    void finish_requests() { world.finish(); }

    int running() const { return static_cast<int>(processes.size()); }
    bool any_ended();
    pid_t id(int place) const { return processes.at(static_cast<std::size_t>(place))->id(); }
    Usage usage(int place) const { return usage_of(id(place)); }
    Totals totals() const { return world.totals(); }
    std::vector<LostRequest> take_lost() { return world.take_lost(); }
    // What the routers logged of others that they declared dead.
    std::vector<DeathDeclarations> deaths() const;

private:
    std::string log_file(std::size_t place) const;

    RealRouterTerms terms;
    World world;
    std::vector<PackedAddress> listen;
    std::vector<std::unique_ptr<ChildProcess>> processes;
};

}  // namespace quillgrade::rig::hollow
