#include "rig/scale/simulated_fleet.hpp"

#include <algorithm>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <ctime>
#include <utility>

namespace quillgrade::rig::scale {

namespace {

constexpr Micros first_moment = 1'764'576'000 * second;
constexpr Micros most_skew = 20 * millisecond, start_spread = 50 * millisecond;
constexpr double queueing = 0.3;  // most that queues add, as a share of the delay
constexpr int accounts_a_page = 40;
constexpr int tellings = 9;  // of one page: the first, and enough more to lose all interest in it
constexpr Micros retransmission = 200 * millisecond;  // the shortest timeout of Linux
constexpr std::uint64_t seed_step = 1'000'003;

std::size_t cut_index(int from_zone, int to_zone) {
    return static_cast<std::size_t>(from_zone) * planned_zones + static_cast<std::size_t>(to_zone);
}

// Of this thread.
double processor_seconds() {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return static_cast<double>(used.tv_sec) + static_cast<double>(used.tv_nsec) / 1e9;
}

// The settings that the purges of an exchange want.
shared::ExchangeOptions exchange_terms(std::uint32_t seed, const shared::ClockReadings& now) {
    shared::ExchangeOptions terms;
    terms.features = {.facts = true, .quotas = false, .health_reports = false, .request_counts = false};
    terms.settings.purge_retention = 6 * second;
    terms.seed = seed;
    terms.now = now;
    return terms;
}

}  // namespace

SimulatedFleet::SimulatedFleet(const Topology& topology, const FleetOptions& options)
    : topology(topology),
      options(options),
      chance(static_cast<std::uint32_t>(options.seed)),
      time(first_moment),
      window_end(first_moment + byte_window),
      members(static_cast<std::size_t>(topology.routers())),
      cuts(static_cast<std::size_t>(planned_zones * planned_zones)) {
    boost::random::uniform_int_distribution<int> skew(-most_skew, most_skew);
    for (auto& router : members) router.skew = skew(chance);
}

SimulatedFleet::~SimulatedFleet() {
    for (auto& router : members) router.exchange.reset();  // before the membership that it rides on
}

// ---- lives

peers::MembershipConfig SimulatedFleet::start_of(RouterIndex who) {
    auto& router = at(who);
    router.starts++;
    peers::MembershipConfig start;
    start.self = who;
    start.routers = routers();
    start.zone = topology.at(who).zone;
    start.life = static_cast<peers::Generation>(clock(router) / millisecond);
    start.seed = options.seed * seed_step + static_cast<std::uint64_t>(who) * 1'000 +
                 static_cast<std::uint64_t>(router.starts);
    start.now = clock(router);
    start.settings = options.rates;
    return start;
}

void SimulatedFleet::start(RouterIndex who) {
    kill(who);
    auto& router = at(who);
    auto start = start_of(who);
    router.membership = std::make_unique<peers::Membership>(start);
    if (options.with_exchange)
        router.exchange = std::make_unique<shared::Exchange>(
            *router.membership, exchange_terms(static_cast<std::uint32_t>(start.seed), times(router)));
    boost::random::uniform_int_distribution<int> spread(0, start_spread);
    router.next_wake = time + spread(chance);
    push(router.next_wake, EventKind::Wake, who, who, 0);
}

void SimulatedFleet::kill(RouterIndex who) {
    auto& router = at(who);
    router.exchange.reset();
    router.membership.reset();
    router.next_wake = 0;
}

// A datagram of `teller` with the accounts of the routers from `first` on.
std::string SimulatedFleet::page_of(RouterIndex teller, RouterIndex first) const {
    peers::Message page;
    page.type = peers::MessageType::Gossip;
    page.from = teller;
    page.sender_state = at(teller).membership->self();
    page.zone = topology.at(teller).zone;
    for (RouterIndex who = first; who < std::min(first + accounts_a_page, routers()); who++)
        if (who != teller) page.records.push_back({who, at(who).membership->self()});
    return peers::encode(page);
}

// Each is told of all accounts, a page at a time and by others than itself, until it has no interest left in
// telling them on; then it hears a datagram of each router, as over the rounds of a long run.
void SimulatedFleet::start_in_steady_state() {
    for (RouterIndex who = 0; who < routers(); who++) start(who);
    std::vector<Page> pages;
    std::vector<std::string> greetings;
    greetings.reserve(members.size());
    for (RouterIndex first = 0; first < routers(); first += accounts_a_page) {
        auto other = (first + accounts_a_page) % routers();
        if (other == first) other = (first + 1) % routers();
        pages.push_back({{first, page_of(first, first)}, {other, page_of(other, first)}});
    }
    for (RouterIndex who = 0; who < routers(); who++) greetings.push_back(page_of(who, routers()));
    for (RouterIndex who = 0; who < routers(); who++) introduce(who, pages, greetings);
    reset_traffic();
}

void SimulatedFleet::introduce(RouterIndex who, const std::vector<Page>& pages,
                               const std::vector<std::string>& greetings) {
    auto& router = at(who);
    if (router.exchange) router.exchange->set_time(times(router));
    for (auto& page : pages) {
        auto& told = page.by_first.teller == who ? page.by_other : page.by_first;
        for (int i = 0; i < tellings; i++) router.membership->receive(told.teller, told.bytes, clock(router));
    }
    for (RouterIndex other = 0; other < routers(); other++)
        if (other != who)
            router.membership->receive(other, greetings[static_cast<std::size_t>(other)], clock(router));
    router.membership->take_outgoing();
    router.membership->take_state_changes();
}

// ---- what happens

void SimulatedFleet::cut_zones(int from, int to, bool cut) { cuts[cut_index(from, to)] = cut; }

void SimulatedFleet::cut_regions(int one, int other, bool cut) {
    for (int from = 0; from < planned_zones; from++)
        for (int to = 0; to < planned_zones; to++) {
            auto first = topology.region_of_zone(from), second = topology.region_of_zone(to);
            bool between = (first == one && second == other) || (first == other && second == one);
            if (between) cut_zones(from, to, cut);
        }
}

void SimulatedFleet::publish(const feed::PurgeNotice& notice) {
    purges.push_back(notice);
    auto slot = static_cast<std::uint32_t>(purges.size() - 1);
    for (RouterIndex who = 0; who < routers(); who++) {
        auto& router = at(who);
        if (!runs(who) || router.stream_live_since == 0) continue;
        auto arrival = time + control_delay(who);
        // What TCP sends again comes later, and holds back what comes after it.
        if (chance_below_one() < options.loss) arrival += retransmission;
        router.stream_until = std::max(router.stream_until, arrival);
        push(router.stream_until, EventKind::Purge, who, who, slot);
    }
}

// From the nearest of the control machines, which stand in every second region.
Micros SimulatedFleet::control_delay(RouterIndex who) const {
    bool same_region = topology.at(who).region % 2 == 0;
    return same_region ? Topology::within_region : Topology::next_region;
}

void SimulatedFleet::receive_purge(RouterIndex who, const feed::PurgeNotice& notice) {
    if (!runs(who)) return;
    auto& router = at(who);
    if (router.exchange) router.exchange->record_purge(notice, times(router));
    if (on_purge) on_purge(who, notice);
    if (router.exchange) act(who, [](auto&) {});
}

void SimulatedFleet::schedule(Micros when, std::function<void()> what) {
    actions.push_back(std::move(what));
    push(when, EventKind::Action, 0, 0, static_cast<std::uint32_t>(actions.size() - 1));
}

void SimulatedFleet::run_until(Micros until) {
    while (!events.empty() && events.top().at <= until) {
        auto event = events.top();
        events.pop();
        time = std::max(time, event.at);
        while (time >= window_end) close_window();
        switch (event.kind) {
            case EventKind::Datagram:
                deliver(event);
                break;
            case EventKind::Wake:
                if (at(event.to).next_wake == event.at) {
                    at(event.to).next_wake = 0;
                    act(event.to, [](auto&) {});
                }
                break;
            case EventKind::Purge:
                receive_purge(event.to, purges[event.slot]);
                break;
            case EventKind::Action:
                std::exchange(actions[event.slot], nullptr)();
                break;
        }
    }
    time = until;
    while (time >= window_end) close_window();
}

void SimulatedFleet::push(Micros when, EventKind kind, RouterIndex from, RouterIndex to, std::uint32_t slot) {
    events.push({std::max(when, time), next_order++, slot, static_cast<std::int16_t>(from),
                 static_cast<std::int16_t>(to), kind});
}

void SimulatedFleet::deliver(const Event& event) {
    auto bytes = std::move(datagrams[event.slot]);
    free_datagrams.push_back(event.slot);
    auto& router = at(event.to);
    if (!router.membership) return;
    router.traffic.bytes_in += bytes.size();
    router.traffic.datagrams_in++;
    router.window_bytes += static_cast<double>(bytes.size());
    act(event.to,
        [&](peers::Membership& membership) { membership.receive(event.from, bytes, clock(router)); });
}

// One iteration of the router's loop: what came is heard, then what is due is done.
template <class What>
void SimulatedFleet::act(RouterIndex who, What what) {
    auto& router = at(who);
    if (!router.membership) return;
    auto begun = processor_seconds();
    auto& membership = *router.membership;
    if (router.exchange) router.exchange->set_time(times(router));
    what(membership);
    if (clock(router) >= membership.next_tick()) membership.tick(clock(router));
    shared::ReplicatedFacts::Changes told;
    if (router.exchange) told = router.exchange->tick(router.stream_live_since, times(router));
    auto outgoing = membership.take_outgoing();
    auto changes = membership.take_state_changes();
    membership.take_link_reports();
    membership.take_health_changes();
    auto due = membership.next_tick() - router.skew;
    router.traffic.busy_seconds += processor_seconds() - begun;

    for (auto& datagram : outgoing) send(who, datagram);
    if (on_change)
        for (auto& change : changes) on_change(who, change);
    if (on_purge)
        for (auto& notice : told.purges) on_purge(who, notice);
    due = std::max(time + millisecond, due);
    if (router.next_wake != 0 && router.next_wake <= due) return;
    router.next_wake = due;
    push(due, EventKind::Wake, who, who, 0);
}

void SimulatedFleet::send(RouterIndex from, peers::Outgoing& datagram) {
    auto& router = at(from);
    router.traffic.bytes_out += datagram.bytes.size();
    router.traffic.datagrams_out++;
    router.window_bytes += static_cast<double>(datagram.bytes.size());
    if (is_cut(from, datagram.to) || chance_below_one() < options.loss) return;
    auto shortest = static_cast<double>(topology.delay(from, datagram.to));
    auto delay = static_cast<Micros>(shortest * (1 + queueing * chance_below_one()));
    if (free_datagrams.empty()) {
        free_datagrams.push_back(static_cast<std::uint32_t>(datagrams.size()));
        datagrams.emplace_back();
    }
    auto slot = free_datagrams.back();
    free_datagrams.pop_back();
    datagrams[slot] = std::move(datagram.bytes);
    push(time + delay, EventKind::Datagram, from, datagram.to, slot);
}

bool SimulatedFleet::is_cut(RouterIndex from, RouterIndex to) const {
    return cuts[cut_index(topology.at(from).zone, topology.at(to).zone)];
}

double SimulatedFleet::chance_below_one() { return boost::random::uniform_01<double>()(chance); }

// ---- what the observer counts

void SimulatedFleet::close_window() {
    constexpr double length = static_cast<double>(byte_window) / second;
    for (auto& router : members) {
        router.traffic.busiest_window = std::max(router.traffic.busiest_window, router.window_bytes / length);
        router.window_bytes = 0;
    }
    window_end += byte_window;
}

void SimulatedFleet::reset_traffic() {
    for (auto& router : members) {
        router.traffic = {};
        router.window_bytes = 0;
    }
    window_end = time + byte_window;
}

template <class Holds>
double SimulatedFleet::share_of_live(Holds holds) const {
    int live = 0, held = 0;
    for (RouterIndex other = 0; other < routers(); other++) {
        if (!runs(other)) continue;
        live++;
        held += holds(other);
    }
    return live == 0 ? 1 : static_cast<double>(held) / live;
}

double SimulatedFleet::share_known(RouterIndex who) const {
    if (!runs(who)) return 0;
    auto& view = *at(who).membership;
    return share_of_live([&](RouterIndex other) {
        return view.view(other, time).member_state == at(other).membership->self();
    });
}

}  // namespace quillgrade::rig::scale
