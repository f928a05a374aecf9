// Many routers' memberships in simulated time, in one process: a network that loses, delays, doubles and
// reorders datagrams and cuts ordered pairs, and routers that are killed, started again, stopped and
// continued. The same seed gives the same run. `Protocol` is peers::Membership, or a baseline with the same
// calls.
#pragma once

#include <algorithm>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <functional>
#include <memory>
#include <queue>
#include <set>
#include <string>
#include <vector>

#include "peers/membership.hpp"

namespace quillgrade::rig {

struct LinkConditions {
    double loss = 0;                                               // share of datagrams
    peers::Micros shortest_delay = 3'000, longest_delay = 24'000;  // one way
    double late = 0;                                               // share that takes a second more
    double duplicated = 0;                                         // share that comes twice
};

template <class Protocol = peers::Membership>
class Simulated {
public:
    using Micros = peers::Micros;
    struct Router {
        std::unique_ptr<Protocol> protocol;
        bool stopped = false;
        int starts = 0;
        Micros skew = 0;                                   // its clock less the true one
        std::vector<std::pair<int, std::string>> waiting;  // datagrams that came while it was stopped
        std::int64_t wakes = 0;                            // the number of the wake-up that counts
        peers::MembershipCounters before;                  // of earlier lives
    };

    Simulated(int count, int zones, std::uint64_t seed, const peers::MembershipSettings& rates = {},
              LinkConditions conditions = {})
        : conditions(conditions),
          rates(rates),
          zones(zones),
          chance(static_cast<std::uint32_t>(seed)),
          seed(seed) {
        routers.resize(static_cast<std::size_t>(count));
        // Clocks up to 20 ms apart.
        for (auto& one : routers)
            one.skew = boost::random::uniform_int_distribution<int>(-20'000, 20'000)(chance);
    }

    int count() const { return static_cast<int>(routers.size()); }
    Micros now() const { return time; }
    Protocol* protocol(int who) { return router(who).protocol.get(); }
    bool runs(int who) { return router(who).protocol && !router(who).stopped; }
    Micros clock(int who) { return time + router(who).skew; }

    void start(int who) {
        auto& one = router(who);
        one.starts++;
        one.stopped = false;
        one.waiting.clear();
        peers::MembershipConfig start;
        start.self = who;
        start.routers = count();
        start.zone = who % zones;
        auto ran = one.starts == 1 && running_for ? running_for(who) : 0;
        start.life = static_cast<peers::Generation>((clock(who) - ran) / 1000);
        start.seed = seed * 1'000'003 + static_cast<std::uint64_t>(who * 1000 + one.starts);
        start.now = clock(who);
        start.settings = rates;
        one.protocol = std::make_unique<Protocol>(start);
        // Routers of one start do not act in the same microsecond.
        wake(who, time + boost::random::uniform_int_distribution<int>(0, 50'000)(chance));
    }
    void start_all() {
        for (int who = 0; who < count(); who++) start(who);
    }
    void kill(int who) {
        auto& one = router(who);
        if (one.protocol) add(one.before, one.protocol->counters());
        one.protocol.reset();
        one.wakes++;
    }
    void router_clock(int who, Micros skew) { router(who).skew = skew; }
    void stop(int who) { router(who).stopped = true; }
    void go_on(int who) {
        router(who).stopped = false;
        wake(who, time);
    }
    void leave(int who) {  // SIGTERM: says so, and ends a second later
        act(who, [&](Protocol& p) { p.leave(clock(who)); });
        at(time + 1'000'000, [this, who] {
            if (!router(who).protocol) return;
            act(who, [&](Protocol& p) { p.announce_exit(clock(who)); });
            kill(who);
        });
    }
    void cut(int from, int to, bool yes) {
        if (yes)
            cuts.insert({from, to});
        else
            cuts.erase({from, to});
    }
    void at(Micros when, std::function<void()> what) { push(when, {}, std::move(what)); }
    void run_until(Micros until) {
        while (!events.empty() && events.top().at <= until) {
            auto event = events.top();
            events.pop();
            time = std::max(time, event.at);
            if (event.what)
                event.what();
            else if (event.datagram)
                deliver(event.from, event.to, *event.datagram);
            else if (router(event.to).wakes == event.wake)
                run(event.to, true);
        }
        time = until;
    }
    peers::MembershipCounters figures(int who) {
        auto sum = router(who).before;
        if (router(who).protocol) add(sum, router(who).protocol->counters());
        return sum;
    }
    // Something else that happens to a router in its own loop; what it sends then is sent.
    template <class What>
    void visit(int who, What what) {
        if (runs(who)) act(who, what);
    }
    std::uint64_t delivered = 0;

    std::function<void(int observer, const peers::StateChange&)> on_change;
    std::function<void(int from, int to, const std::string&)> on_send;
    std::function<void(int from, int to, const std::string&)> on_deliver;
    // How long a router is taken to have been running at its first start here: lives are apart so, as they
    // are in a tier that was not started at once.
    std::function<Micros(int who)> running_for;
    LinkConditions conditions;

private:
    struct Event {
        Micros at;
        std::int64_t order;
        int from = 0, to = 0;
        std::int64_t wake = 0;
        std::shared_ptr<std::string> datagram;
        std::function<void()> what;
        bool operator<(const Event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    static void add(peers::MembershipCounters& to, const peers::MembershipCounters& from) {
        to.sent += from.sent;
        to.bytes_sent += from.bytes_sent;
        to.received += from.received;
        to.withheld += from.withheld;
        to.pauses += from.pauses;
        to.refutations += from.refutations;
        to.accusations += from.accusations;
        to.range_requests += from.range_requests;
        to.pages_accepted += from.pages_accepted;
        to.pages_unsolicited += from.pages_unsolicited;
        to.pages_sent += from.pages_sent;
        to.requests_shed += from.requests_shed;
    }
    Router& router(int who) { return routers[static_cast<std::size_t>(who)]; }
    double unit() { return boost::random::uniform_01<double>()(chance); }
    void push(Micros when, std::shared_ptr<std::string> datagram, std::function<void()> what, int from = 0,
              int to = 0, std::int64_t wake = 0) {
        events.push({std::max(when, time), order++, from, to, wake, std::move(datagram), std::move(what)});
    }
    void wake(int who, Micros when) { push(when, nullptr, nullptr, 0, who, ++router(who).wakes); }

    void deliver(int from, int to, const std::string& datagram) {
        auto& one = router(to);
        if (!one.protocol) return;
        delivered++;
        if (on_deliver) on_deliver(from, to, datagram);
        one.waiting.emplace_back(from, datagram);
        if (!one.stopped) run(to, false);
    }
    // One pass of its loop: what came is heard first, then what is due is done.
    void run(int who, bool due) {
        auto& one = router(who);
        if (!one.protocol || one.stopped) return;
        act(who, [&](Protocol& p) {
            for (auto& [from, datagram] : std::exchange(one.waiting, {}))
                p.receive(from, datagram, clock(who));
            if (due || clock(who) >= p.next_tick()) p.tick(clock(who));
        });
    }
    template <class What>
    void act(int who, What what) {
        auto& one = router(who);
        if (!one.protocol) return;
        what(*one.protocol);
        for (auto& sent : one.protocol->take_outgoing()) send(who, sent.to, std::move(sent.bytes));
        for (auto& change : one.protocol->take_state_changes())
            if (on_change) on_change(who, change);
        if (one.protocol) wake(who, std::max(time + 1'000, one.protocol->next_tick() - one.skew));
    }
    void send(int from, int to, std::string bytes) {
        if (on_send) on_send(from, to, bytes);
        if (cuts.contains({from, to}) || unit() < conditions.loss) return;
        auto datagram = std::make_shared<std::string>(std::move(bytes));
        for (int copies = unit() < conditions.duplicated ? 2 : 1; copies > 0; copies--) {
            auto spread = static_cast<int>(conditions.longest_delay - conditions.shortest_delay);
            auto delay =
                conditions.shortest_delay + boost::random::uniform_int_distribution<int>(0, spread)(chance);
            if (unit() < conditions.late) delay += 1'000'000;
            push(time + delay, datagram, nullptr, from, to);
        }
    }

    peers::MembershipSettings rates;
    int zones;
    boost::random::mt19937 chance;
    std::uint64_t seed;
    Micros time = 1'764'576'000'000'000;
    std::int64_t order = 0;
    std::vector<Router> routers;
    std::set<std::pair<int, int>> cuts;
    std::priority_queue<Event> events;
};

}  // namespace quillgrade::rig
