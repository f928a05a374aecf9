// A router without clients: the shipped modules for membership, shared state and the coordinator's stream on
// sockets of their own, many in one process on one loop. It decides nothing about requests; it records when
// each event reached it.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

#include "launch/launch.hpp"
#include "node/clock.hpp"
#include "node/coordinator.hpp"
#include "node/loop.hpp"
#include "peers/membership.hpp"
#include "rig/hollow/arrival_log.hpp"
#include "rig/hollow/member_table.hpp"
#include "shared/exchange.hpp"

namespace quillgrade::rig::hollow {

// Where all routers of the tier listen; one for all routers of a process.
class AddressBook {
public:
    explicit AddressBook(const std::vector<PackedAddress>& all);
    const feed::Address& address_of(peers::RouterIndex router) const {
        return addresses[static_cast<std::size_t>(router)];
    }
    peers::RouterIndex router_at(const feed::Address& address) const;  // -1: none
    int routers() const { return static_cast<int>(addresses.size()); }

private:
    std::vector<feed::Address> addresses;
    std::unordered_map<PackedAddress, peers::RouterIndex> numbers;
};

// What all routers of a process have in common. What it points to outlives them.
struct HollowTerms {
    const launch::Launch* launch = nullptr;
    const AddressBook* addresses = nullptr;
    ArrivalLog* arrivals = nullptr;
    MemberTable* members = nullptr;
    std::vector<DatagramBytes>* far_bytes = nullptr;  // by number of the far router
    std::vector<feed::Address> control_machines;
    peers::MembershipSettings rates;
    bool shared_facts = true;
    std::uint64_t seed = 1;
};

class HollowRouter {
public:
    // Binds a UDP socket to `address`, port 0: any free one. Throws std::runtime_error.
    HollowRouter(event_base* base, peers::RouterIndex number, int zone, const feed::Address& address);
    ~HollowRouter();
    HollowRouter(const HollowRouter&) = delete;
    HollowRouter& operator=(const HollowRouter&) = delete;

    // Begins a life that knows the events up to `last_event` from its configuration. `machine`: the place of
    // the control machine that is tried first.
    void start(const HollowTerms& common_terms, EventNumber last_event, std::size_t machine);
    // Between iterations of the loop: hears what came, does what is due, sends.
    void pass();

    bool started() const { return life != nullptr; }
    const feed::Address& address() const { return listen; }
    peers::RouterIndex number() const { return self; }
    const DatagramBytes& bytes() const { return own_bytes; }
    std::uint64_t longest_datagram() const { return longest; }
    std::uint64_t away() const { return life ? life->membership.counters().pauses : 0; }
    Micros started_at() const { return life ? life->started : 0; }
    // Whether it knows the exact accounts of that share of the routers that run.
    bool knows(double share) const;
    // Routers that it declared dead since the last call, with the time.
    std::vector<std::pair<peers::RouterIndex, Micros>> take_deaths() { return std::exchange(deaths, {}); }

private:
    // All that a restart loses.
    struct Life {
        Life(event_base* base, const HollowTerms& terms, const peers::MembershipConfig& start,
             const shared::ExchangeOptions& shared_terms, EventNumber last_event, std::size_t machine);
        node::Clock clock;
        peers::Membership membership;
        shared::Exchange exchange;
        node::Gathered gathered;
        node::Coordinator coordinator;
        std::size_t machine;
        Micros stream_seen;  // the last time the stream was up, or a control machine was tried
        Micros started;
    };

    void readable();
    void hear(const shared::ClockReadings& now);
    void take_events(const shared::ClockReadings& now);
    void share(const shared::ClockReadings& now);
    void look_for_a_control_machine(Micros now);
    void send();
    void note_changes();

    event_base* base;
    peers::RouterIndex self;
    int zone;
    feed::Address listen;
    int socket;
    HollowTerms terms;
    std::unique_ptr<Life> life;
    node::Owned<event> reading;
    node::Timer wake;
    bool woken = false;
    std::vector<std::pair<peers::RouterIndex, std::string>> received;
    std::vector<std::pair<peers::RouterIndex, Micros>> deaths;
    DatagramBytes own_bytes;
    std::uint64_t longest = 0;
};

}  // namespace quillgrade::rig::hollow
