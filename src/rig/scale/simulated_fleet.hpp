// Thousands of routers in simulated time: the shipped peers::Membership, and shared::Exchange where asked
// for, over a Topology with delays, loss and partitions between zones. An observer counts the bytes and
// processor time of each router. One seed gives one run; one fleet belongs to one thread.
#pragma once

#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <vector>

#include "peers/membership.hpp"
#include "rig/scale/topology.hpp"
#include "shared/exchange.hpp"

namespace quillgrade::rig::scale {

inline constexpr Micros millisecond = 1'000, second = 1'000'000;
inline constexpr Micros byte_window = 2 * second;  // over which the largest rate of bytes is taken

struct FleetOptions {
    std::uint64_t seed = 1;
    double loss = 0.01;
    peers::MembershipSettings rates{};
    bool with_exchange = false;
};

// What one router has sent and received, as the observer on the network counts it: payload of UDP.
struct Traffic {
    std::uint64_t bytes_out = 0, bytes_in = 0, datagrams_out = 0, datagrams_in = 0;
    double busiest_window = 0;  // bytes a second, out and in, over the largest byte_window
    double busy_seconds = 0;    // of a processor, inside the modules
};

class SimulatedFleet {
public:
    SimulatedFleet(const Topology& topology, const FleetOptions& options);
    ~SimulatedFleet();
    SimulatedFleet(const SimulatedFleet&) = delete;
    SimulatedFleet& operator=(const SimulatedFleet&) = delete;

    Micros now() const { return time; }
    int routers() const { return topology.routers(); }
    const Topology& layout() const { return topology; }
    const peers::Membership* membership(RouterIndex who) const { return at(who).membership.get(); }
    shared::Exchange* exchange(RouterIndex who) { return at(who).exchange.get(); }
    bool runs(RouterIndex who) const { return at(who).membership != nullptr; }

    void start(RouterIndex who);  // a new life that knows nothing
    void kill(RouterIndex who);
    // All routers run and know each other, as after days of quiet.
    void start_in_steady_state();
    // Datagrams from zone to zone, one direction.
    void cut_zones(int from, int to, bool cut);
    void cut_regions(int one, int other, bool cut);  // both directions
    // Whether the router's own stream from the control side is up.
    void set_stream(RouterIndex who, bool live) { at(who).stream_live_since = live ? time : 0; }
    // To each router whose stream is up, by that stream: in order, and nothing is lost.
    void publish(const feed::PurgeNotice& notice);

    void schedule(Micros when, std::function<void()> what);
    void run_until(Micros until);
    void run_for(Micros length) { run_until(time + length); }

    // Traffic is counted from here on.
    void reset_traffic();
    const Traffic& traffic(RouterIndex who) const { return at(who).traffic; }
    // Share of the live members whose exact account `who` holds.
    double share_known(RouterIndex who) const;

    std::function<void(RouterIndex observer, const peers::StateChange&)> on_change;
    // By its own stream, or as a fact that it had not heard yet.
    std::function<void(RouterIndex router, const feed::PurgeNotice&)> on_purge;

private:
    struct Router {
        std::unique_ptr<peers::Membership> membership;
        std::unique_ptr<shared::Exchange> exchange;
        int starts = 0;
        Micros skew = 0;
        Micros next_wake = 0;  // 0: none is queued
        Micros stream_live_since = 1, stream_until = 0;
        Traffic traffic;
        double window_bytes = 0;
    };
    struct Telling {
        RouterIndex teller;
        std::string bytes;
    };
    // The same accounts as told by two routers, since nobody hears itself.
    struct Page {
        Telling by_first, by_other;
    };
    enum class EventKind : std::uint8_t { Datagram, Wake, Purge, Action };
    struct Event {
        Micros at;
        std::uint32_t order;
        std::uint32_t slot;  // of the datagram or action
        std::int16_t from, to;
        EventKind kind;
        bool operator<(const Event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    Router& at(RouterIndex who) { return members[static_cast<std::size_t>(who)]; }
    const Router& at(RouterIndex who) const { return members[static_cast<std::size_t>(who)]; }
    Micros clock(const Router& router) const { return time + router.skew; }
    shared::ClockReadings times(const Router& router) const { return {clock(router), time}; }
    peers::MembershipConfig start_of(RouterIndex who);
    std::string page_of(RouterIndex teller, RouterIndex first) const;
    void introduce(RouterIndex who, const std::vector<Page>& pages,
                   const std::vector<std::string>& greetings);
    void push(Micros when, EventKind kind, RouterIndex from, RouterIndex to, std::uint32_t slot);
    void wake(RouterIndex who);
    void deliver(const Event& event);
    template <class What>
    void act(RouterIndex who, What what);
    void send(RouterIndex from, peers::Outgoing& datagram);
    void close_window();
    Micros control_delay(RouterIndex who) const;
    void receive_purge(RouterIndex who, const feed::PurgeNotice& notice);
    template <class Holds>
    double share_of_live(Holds holds) const;
    bool is_cut(RouterIndex from, RouterIndex to) const;
    double chance_below_one();

    Topology topology;
    FleetOptions options;
    boost::random::mt19937 chance;
    Micros time;
    Micros window_end;
    std::uint32_t next_order = 0;
    std::vector<Router> members;
    std::vector<bool> cuts;  // by zone and zone
    std::priority_queue<Event> events;
    std::vector<std::string> datagrams;
    std::vector<std::uint32_t> free_datagrams;
    std::vector<feed::PurgeNotice> purges;
    std::vector<std::function<void()>> actions;
};

}  // namespace quillgrade::rig::scale
