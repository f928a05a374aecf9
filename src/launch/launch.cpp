#include "launch/launch.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "peers/member_state.hpp"
#include "startup/progress.hpp"

namespace quillgrade::launch {

namespace {

using nlohmann::json;
using site::Unusable;

constexpr std::size_t most_neighbours = peers::max_routers;
constexpr int other_descriptors = 24;  // log, listener, loop, signals, coordinator, and some to spare

// Guards against amounts that no deployment has; only a kind that the site lacks is told as -1.
void check_amounts(const json& told) {
    if (told.is_number() && !(told.get<double>() >= -1 && told.get<double>() <= 1e15))
        throw Unusable("settings: " + told.dump() + " is out of range");
    if (told.is_structured())
        for (auto& inner : told) check_amounts(inner);
}

}  // namespace

// Clients hold a third of the descriptors at most; four tenths are theirs, and what is left serves the
// caches. Half of the memory holds what passes through; the other half is for the program, its lists, and
// what the system's allocator loses.
Room divide(double memory_mb, int sockets) {
    if (!(memory_mb >= 16 && memory_mb <= 1e7)) throw Unusable("limits: under 16 MB or beyond measure");
    if (sockets < 64 || sockets > 10'000'000)
        throw Unusable("limits: under 64 descriptors or beyond measure");
    Room room;
    room.clients = sockets * 2 / 5;
    room.caches = sockets - room.clients - other_descriptors;
    room.memory = static_cast<std::size_t>(memory_mb * 1024 * 1024);
    room.answers = room.memory / 4;
    room.requests = room.memory / 4;
    return room;
}

Launch read_launch(const std::string& text, const char* name, const char* listen, int most_descriptors) {
    try {
        auto told = json::parse(text);
        Launch launch;
        launch.name = name ? name : told.at("name").get<std::string>();
        launch.listen = feed::read_address(listen ? listen : told.at("listen").get<std::string>());
        launch.coordinator = feed::read_address(told.at("coordinator").get<std::string>());
        auto seed = bytes::read_hex(told.at("seed").get<std::string>(), 16);
        if (!seed) throw Unusable("the seed is not 16 hex digits");
        launch.seed = *seed;
        auto& limits = told.at("limits");
        launch.room = divide(limits.at("memory_mb").get<double>(),
                             std::min(limits.at("sockets").get<int>(), most_descriptors));
        check_amounts(told.at("settings"));
        launch.facts = site::read_facts(told.at("settings"));
        launch.terms = site::read_terms(told.at("settings"));
        launch.known = feed::read_known(told.at("known"), launch.terms);
        for (auto& [member, value] : told.items()) launch.stated[member] = value.dump();
        return launch;
    } catch (const json::exception& error) {
        throw Unusable(error.what());
    }
}

Neighbourhood read_neighbourhood(const Launch& launch) {
    auto stated = [&](const char* member) {
        auto found = launch.stated.find(member);
        if (found == launch.stated.end()) throw Unusable(std::string("peers: '") + member + "' is not told");
        return json::parse(found->second);
    };
    try {
        auto settings = stated("settings");
        if (!settings.at("limits").value("peers", false))
            throw Unusable("peers: the settings do not allow that routers talk with one another");
        Neighbourhood all;
        all.listen = feed::read_address(stated("peer_listen").get<std::string>());
        for (auto& one : stated("peers")) all.all.push_back(feed::read_address(one.get<std::string>()));
        all.self = settings.at("index").get<int>();
        all.zone = settings.at("zone").get<int>();
        if (all.all.size() > most_neighbours || all.self < 0 || all.self >= static_cast<int>(all.all.size()))
            throw Unusable("peers: the list does not hold this router's number, or is over " +
                           std::to_string(most_neighbours) + " long");
        return all;
    } catch (const json::exception& error) {
        throw Unusable(std::string("peers: ") + error.what());
    }
}

route::Site Launch::rule_site() const {
    return {terms.traffic, terms.zones, terms.kinds, facts.traffic, facts.max_attempts};
}

// Guards against clients that are let in by the limit that is told, while the system grants less: none would
// be left for the coordinator and the caches.
int granted_descriptors() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) return any_number;
    if (rlimit more{limit.rlim_max, limit.rlim_max}; setrlimit(RLIMIT_NOFILE, &more) == 0) limit = more;
    return static_cast<int>(std::min<rlim_t>(limit.rlim_cur, any_number));
}

Launch from_environment() {
    const char* path = std::getenv("PROXY_CONFIG");
    if (!path) throw Unusable("PROXY_CONFIG is not set");
    startup::CallMark mark(startup::Call::ReadFile);
    std::ifstream file(path, std::ios::binary);
    if (!file) throw Unusable(std::string(path) + " can't be read");
    std::string text{std::istreambuf_iterator<char>(file), {}};
    try {
        return read_launch(text, std::getenv("PROXY_NAME"), std::getenv("PROXY_LISTEN"),
                           granted_descriptors());
    } catch (const Unusable& error) {
        throw Unusable(std::string(path) + ": " + error.what());
    }
}

std::vector<std::string> wants_restart(const Launch& before, const Launch& after) {
    std::vector<std::string> differ;
    auto compare = [&](auto& one, auto& other, bool both) {
        for (auto& [member, value] : one) {
            if (member == "coordinator" || member == "known") continue;
            auto found = other.find(member);
            if (found == other.end() || (both && found->second != value)) differ.push_back(member);
        }
    };
    compare(before.stated, after.stated, true);
    compare(after.stated, before.stated, false);
    return differ;
}

}  // namespace quillgrade::launch
