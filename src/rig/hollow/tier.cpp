#include "rig/hollow/tier.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "rig/world.hpp"

namespace quillgrade::rig::hollow {

namespace {

using nlohmann::json;

constexpr int most_zones = 27, routers_a_zone = 10;

}  // namespace

int Tier::zones() const { return std::clamp(hollow / routers_a_zone, 1, most_zones); }

int Tier::zone_of(int router) const {
    bool is_real = router >= hollow;
    return 1 + (is_real ? (router - hollow) % zones() : router * zones() / hollow);
}

std::string Tier::configuration(int router, int coordinator_port) const {
    auto config = json::parse(config_of(0, coordinator_port, cache_ports, zones() + 1));
    auto zone = zone_of(router);
    auto& settings = config["settings"];
    settings["balancers"] = routers();
    settings["index"] = router;
    settings["zone"] = zone;
    settings["limits"]["peers"] = true;
    std::vector<int> count_by_zone(static_cast<std::size_t>(zones()) + 1);
    for (int i = 0; i < routers(); i++) count_by_zone[static_cast<std::size_t>(zone_of(i))]++;
    settings["family_info"]["count_by_zone"] = count_by_zone;
    for (auto& server : config["known"]["updates"][0]["endpoints"]["servers"])
        server["zone"] = "z" + std::to_string(zone);
    return config.dump();
}

std::string Tier::configuration_of_process(int router, int coordinator_port) const {
    auto config = json::parse(configuration(router, coordinator_port));
    auto here = text_of(unpack(listen.at(static_cast<std::size_t>(router))));
    config["name"] = "n" + std::to_string(router);
    config["listen"] = here;
    config["peer_listen"] = here;
    config["peers"] = json::array();
    for (auto address : listen) config["peers"].push_back(text_of(unpack(address)));
    return config.dump();
}

}  // namespace quillgrade::rig::hollow
