// The UDP socket on which the routers of the tier talk, and this router's part in that talk. Exists only
// where the operators' file names `peers`. Decides nothing: who is there is peers::Circle's to work out.
#pragma once

#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "launch/launch.hpp"
#include "node/loop.hpp"
#include "operate/plan.hpp"
#include "peers/membership.hpp"
#include "peers/request_health.hpp"
#include "version/trial.hpp"

namespace quillgrade::node {

class PeerPort {
public:
    // Binds `peer_listen`; throws site::Unusable where that can't be done.
    PeerPort(event_base* base, const launch::Neighbourhood& all, const operate::PeersConfig& plan,
             std::uint64_t seed, Micros now);
    ~PeerPort();
    PeerPort(const PeerPort&) = delete;
    PeerPort& operator=(const PeerPort&) = delete;

    // Once a pass of the loop, before the turn: what came is heard. After it: what is due is done, and what
    // has changed is logged.
    void hear(Micros now);
    void pass(const version::LookupCounts& counts, Micros now);
    void leave(Micros now);  // SIGTERM has come
    void gone(Micros now);   // the last call
    peers::Membership& membership() { return view; }

private:
    void readable();
    void send_and_say(Micros now);
    void say_transferred(Micros now);
    void say_dropped(Micros now);

    std::vector<feed::Address> addresses;
    std::unordered_map<std::uint64_t, int> numbers;  // by address
    peers::Membership view;
    peers::RequestHealth request_health;
    std::vector<std::pair<int, std::string>> came;
    int fd = -1;
    Owned<event> reading;
    Timer wake;
    std::uint64_t said_dropped = 0;
    Micros say_at = 0;
    bool transferring = false;
    Micros transfer_began = 0;
    std::uint64_t pages_before = 0;
};

}  // namespace quillgrade::node
