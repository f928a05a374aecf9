// Clients of the soak that misbehave: they rest, write byte by byte, or leave right after their request. They
// expect nothing. Nothing here waits.
#pragma once

#include <netinet/in.h>

#include <cstdint>
#include <string>
#include <vector>

#include "rig/soak/script.hpp"
#include "rig/world.hpp"

namespace quillgrade::rig::soak {

class Crowd {
public:
    // `leaving_allowance`: what is added to the time at which a client left, where routers are paused.
    Crowd(World& world, std::uint64_t seed, Micros leaving_allowance)
        : world(world), next_id(seed << 40 | 1), leaving_allowance(leaving_allowance) {}
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;
    ~Crowd();
    void come(const Event& event, const sockaddr_in& router, Micros now);
    void tick(Micros now);

private:
    struct Client {
        int descriptor;
        std::string id, unsent;
        std::size_t piece = 0;  // bytes at once
        Micros next = 0, every = 0, leaves = 0;
    };
    World& world;
    std::uint64_t next_id;
    Micros leaving_allowance;
    std::vector<Client> clients;
};

}  // namespace quillgrade::rig::soak
