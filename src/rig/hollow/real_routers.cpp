#include "rig/hollow/real_routers.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace quillgrade::rig::hollow {

namespace {

constexpr int caches = 3, connections_a_router = 8;
constexpr Micros client_patience = 2'000'000;
constexpr Micros ms = 1000;

// A port of `host` that is free. No other party of the machine uses this host, so it stays free.
std::uint16_t free_port_of(std::uint32_t host) {
    int made = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(host);
    socklen_t size = sizeof address;
    bool bound = made >= 0 && bind(made, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                 getsockname(made, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    if (made >= 0) close(made);
    if (!bound) throw std::runtime_error("no free port for a router");
    return ntohs(address.sin_port);
}

std::string operators_file(const RealRouterTerms& terms) {
    nlohmann::json peers = {{"bytes_per_s", terms.bytes_per_s}};
    if (terms.state_transfer) peers["state_transfer"] = true;
    return nlohmann::json{{"peers", peers}, {"shared", {{"facts", terms.shared_facts}}}}.dump();
}

}  // namespace

RealRouters::RealRouters(const RealRouterTerms& terms) : terms(terms) {
    for (int i = 0; i < caches; i++) world.add_box();
    std::ofstream(terms.folder + "/operate.json") << operators_file(terms);
}

std::vector<int> RealRouters::cache_ports() const {
    std::vector<int> ports;
    ports.reserve(caches);
    for (int i = 0; i < caches; i++) ports.push_back(world.port_of_box(i));
    return ports;
}

std::vector<PackedAddress> RealRouters::choose_addresses(std::uint32_t first_host, int count) {
    std::vector<PackedAddress> addresses;
    for (std::uint32_t i = 0; i < static_cast<std::uint32_t>(count); i++)
        addresses.push_back(pack({first_host + i, free_port_of(first_host + i)}));
    return addresses;
}

std::string RealRouters::log_file(std::size_t place) const {
    return terms.folder + "/real" + std::to_string(place) + ".log";
}

void RealRouters::start(const Tier& tier, int coordinator_port) {
    for (int i = 0; i < tier.real; i++) {
        auto number = tier.hollow + i;
        auto file = terms.folder + "/real" + std::to_string(i) + ".json";
        std::ofstream(file) << tier.configuration_of_process(number, coordinator_port);
        Command command;
        command.program = terms.program;
        command.arguments = {"--operate", terms.folder + "/operate.json"};
        command.environment = {{"PROXY_CONFIG", file}};
        command.log_file = log_file(static_cast<std::size_t>(i));
        processes.push_back(std::make_unique<ChildProcess>(command));
        listen.push_back(tier.listen.at(static_cast<std::size_t>(number)));
    }
}

void RealRouters::ask(double requests_per_s) {
    for (auto packed : listen) {
        auto address = unpack(packed);
        world.ask_also(address.port, requests_per_s, connections_a_router, client_patience, address.host);
    }
}

bool RealRouters::any_ended() {
    for (auto& process : processes)
        if (process->ended()) return true;
    return false;
}

std::vector<DeathDeclarations> RealRouters::deaths() const {
    std::vector<DeathDeclarations> all;
    for (std::size_t place = 0; place < processes.size(); place++) {
        std::ifstream log(log_file(place));
        for (std::string line; std::getline(log, line);) {
            long long seconds = 0, milliseconds = 0;
            int subject = 0;
            std::array<char, 32> after{};
            if (std::sscanf(line.c_str(), "%lld.%lld info peers: %d %*s -> %31s", &seconds, &milliseconds,
                            &subject, after.data()) != 4 ||
                std::strcmp(after.data(), "dead") != 0)
                continue;
            auto at = (seconds * 1000 + milliseconds) * ms;
            all.push_back({subject, 1, at, at});
        }
    }
    return all;
}

}  // namespace quillgrade::rig::hollow
