#include "rig/hollow/worker.hpp"

#include <algorithm>
#include <map>
#include <memory>
#include <optional>

#include "rig/hollow/hollow_router.hpp"
#include "rig/hollow/line_channel.hpp"
#include "rig/hollow/message_lines.hpp"

namespace quillgrade::rig::hollow {

namespace {

constexpr double share_to_know = 0.99;
constexpr std::size_t most_looks_at_once = 16;
constexpr Micros ms = 1000;
constexpr Micros look_every = 100 * ms, look_after_restart = 200 * ms, look_after_common_start = 2'000 * ms;

// Between two looks at what a router knows. Where many learn at once they are looked at seldom.
Micros look_wait(StartReason reason) {
    return reason == StartReason::Restart ? look_after_restart : look_after_common_start;
}

class Worker {
public:
    explicit Worker(int control_socket);
    void run();

private:
    // A router that does not know the members yet.
    struct Learning {
        StartReason reason = StartReason::Together;
        Micros next_look = 0;
    };

    void take_messages();
    void take(const WorkerSetup& setup);
    void take(const StartRouters& told);
    void take(const RestartRouters& told);
    void take(const WorkerReportRequest& request);
    void start(HollowRouter& router, EventNumber last_event, StartReason reason);
    void look_who_knows();
    void look_whether_knows(int number, Micros now);
    void collect_deaths();
    HollowRouter& router_of(int number) { return *routers.at(static_cast<std::size_t>(number - first)); }

    node::Owned<event_base> base{event_base_new()};
    LineChannel supervisor;
    node::Owned<event> control;
    node::Timer look;
    bool look_due = false;
    int first = 0;
    std::uint64_t seed = 1;
    bool shared_facts = true;
    peers::MembershipSettings rates;
    launch::Launch launch;
    std::unique_ptr<ArrivalLog> arrivals;
    std::unique_ptr<MemberTable> members;
    std::unique_ptr<AddressBook> addresses;
    std::vector<DatagramBytes> far_bytes;
    std::vector<feed::Address> control_machines;
    std::vector<std::unique_ptr<HollowRouter>> routers;
    std::map<int, Learning> learning;         // by number
    std::map<int, DeathDeclarations> deaths;  // by subject
    std::vector<StartKnown> known;
};

Worker::Worker(int control_socket)
    : supervisor(control_socket), look(base.get(), [this] { look_due = true; }) {
    control.reset(event_new(
        base.get(), control_socket, EV_READ | EV_PERSIST, [](evutil_socket_t, short, void*) {}, nullptr));
    event_add(control.get(), nullptr);
    look.set(look_every);
}

void Worker::run() {
    while (!supervisor.closed()) {
        event_base_loop(base.get(), EVLOOP_ONCE);
        take_messages();
        for (auto& router : routers) router->pass();
        if (std::exchange(look_due, false)) {
            look_who_knows();
            collect_deaths();
            look.set(look_every);
        }
    }
}

void Worker::take_messages() {
    for (auto& line : supervisor.read())
        std::visit([this](const auto& message) { take(message); }, decode_line<ToWorker>(line));
}

void Worker::take(const WorkerSetup& setup) {
    first = setup.first_router;
    seed = setup.seed;
    rates.bytes_per_s = setup.bytes_per_s;
    rates.state_transfer = setup.state_transfer;
    shared_facts = setup.shared_facts;
    launch = launch::read_launch(setup.configuration, nullptr, nullptr);
    arrivals = std::make_unique<ArrivalLog>(setup.folder, setup.total_routers, setup.event_capacity,
                                            setup.run_start);
    members = std::make_unique<MemberTable>(setup.folder, setup.total_routers);
    far_bytes.resize(static_cast<std::size_t>(setup.total_routers));
    Bound bound;
    for (int i = 0; i < setup.hollow_routers; i++) {
        auto place = static_cast<std::size_t>(i);
        feed::Address listen{setup.first_host + static_cast<std::uint32_t>(i), 0};
        if (!setup.listen.empty()) listen = unpack(setup.listen.at(place));
        routers.push_back(
            std::make_unique<HollowRouter>(base.get(), first + i, setup.zones.at(place), listen));
        bound.listen.push_back(pack(routers.back()->address()));
    }
    supervisor.send(encode_line<FromWorker>(bound));
    supervisor.flush_all();
}

void Worker::take(const StartRouters& told) {
    addresses = std::make_unique<AddressBook>(told.routers);
    for (auto packed : told.control_machines) control_machines.push_back(unpack(packed));
    for (auto& router : routers) start(*router, told.last_event, told.reason);
}

void Worker::take(const RestartRouters& told) {
    for (int number : told.routers) start(router_of(number), told.last_event, StartReason::Restart);
}

void Worker::start(HollowRouter& router, EventNumber last_event, StartReason reason) {
    HollowTerms terms;
    terms.launch = &launch;
    terms.addresses = addresses.get();
    terms.arrivals = arrivals.get();
    terms.members = members.get();
    terms.far_bytes = &far_bytes;
    terms.control_machines = control_machines;
    terms.rates = rates;
    terms.shared_facts = shared_facts;
    terms.seed = seed;
    auto machine = static_cast<std::size_t>(router.number()) % control_machines.size();
    router.start(terms, last_event, machine);
    auto& state = learning[router.number()];
    state.reason = reason;
    auto groups = static_cast<int>(look_wait(reason) / look_every);
    // Spread, so that not all look in the same pass.
    state.next_look = router.started_at() + look_wait(reason) + router.number() % groups * look_every;
}

// A few at a time, those that have waited longest first: the routers share the loop with these looks.
void Worker::look_who_knows() {
    auto now = node::Clock().now();
    std::vector<std::pair<Micros, int>> due;
    for (auto& [number, state] : learning)
        if (now >= state.next_look) due.emplace_back(state.next_look, number);
    std::sort(due.begin(), due.end());
    if (due.size() > most_looks_at_once) due.resize(most_looks_at_once);
    for (auto& [planned, number] : due) look_whether_knows(number, now);
}

void Worker::look_whether_knows(int number, Micros now) {
    auto& state = learning.at(number);
    state.next_look = now + look_wait(state.reason);
    auto& router = router_of(number);
    if (!router.knows(share_to_know)) return;
    known.push_back({number, (now - router.started_at()) / ms, state.reason});
    learning.erase(number);
}

void Worker::collect_deaths() {
    for (auto& router : routers)
        for (auto& [who, at] : router->take_deaths()) {
            auto& declared = deaths[who];
            if (declared.count++ == 0) declared.first = at;
            declared.subject = who;
            declared.last = at;
        }
}

void Worker::take(const WorkerReportRequest& /*request*/) {
    collect_deaths();
    WorkerReport report;
    for (auto& router : routers) {
        report.of_own.push_back(router->bytes());
        report.longest_datagram = std::max(report.longest_datagram, router->longest_datagram());
        report.away.push_back(router->away());
    }
    report.of_far = far_bytes;
    for (auto& [who, declared] : std::exchange(deaths, {})) report.deaths.push_back(declared);
    report.known = std::exchange(known, {});
    supervisor.send(encode_line<FromWorker>(report));
    supervisor.flush_all();
}

}  // namespace

int run_worker(int control_socket) {
    Worker worker(control_socket);
    worker.run();
    return 0;
}

}  // namespace quillgrade::rig::hollow
