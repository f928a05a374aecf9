#include "rig/hollow/hollow_router.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace quillgrade::rig::hollow {

namespace {

constexpr int most_datagrams_a_pass = 64;  // as node::PeerPort
constexpr Micros try_next_machine_after = 500'000;

sockaddr_in to_system(const feed::Address& address) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(address.host);
    out.sin_port = htons(address.port);
    return out;
}

feed::Address from_system(const sockaddr_in& address) {
    return {ntohl(address.sin_addr.s_addr), ntohs(address.sin_port)};
}

// A bound socket; sets the port that the system chose.
int bind_to(feed::Address& listen) {
    int made = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto here = to_system(listen);
    socklen_t size = sizeof here;
    if (made < 0 || bind(made, reinterpret_cast<sockaddr*>(&here), size) != 0 ||
        getsockname(made, reinterpret_cast<sockaddr*>(&here), &size) != 0) {
        if (made >= 0) close(made);
        throw std::runtime_error("a hollow router can't bind " + text_of(listen));
    }
    listen = from_system(here);
    return made;
}

peers::MembershipConfig start_of(peers::RouterIndex self, int zone, const HollowTerms& terms, Micros now) {
    peers::MembershipConfig start;
    start.self = self;
    start.routers = terms.addresses->routers();
    start.zone = zone;
    start.life = static_cast<peers::Generation>(now / 1000);
    start.seed = terms.seed + static_cast<std::uint64_t>(self);
    start.now = now;
    start.settings = terms.rates;
    return start;
}

shared::ExchangeOptions shared_terms_of(peers::RouterIndex self, const HollowTerms& terms, Micros now) {
    shared::ExchangeOptions made;
    made.settings = static_cast<const RoutingSettings&>(terms.launch->facts);
    made.features.facts = terms.shared_facts;
    made.now = {now, node::Clock::steady()};
    made.seed = static_cast<std::uint32_t>(terms.seed + static_cast<std::uint64_t>(self) * 2654435761U) ^
                static_cast<std::uint32_t>(now);
    return made;
}

}  // namespace

AddressBook::AddressBook(const std::vector<PackedAddress>& all) {
    for (auto packed : all) {
        numbers[packed] = static_cast<peers::RouterIndex>(addresses.size());
        addresses.push_back(unpack(packed));
    }
}

peers::RouterIndex AddressBook::router_at(const feed::Address& address) const {
    auto found = numbers.find(pack(address));
    return found == numbers.end() ? -1 : found->second;
}

HollowRouter::Life::Life(event_base* base, const HollowTerms& terms, const peers::MembershipConfig& start,
                         const shared::ExchangeOptions& shared_terms, EventNumber last_event,
                         std::size_t machine)
    : membership(start),
      exchange(membership, shared_terms),
      coordinator(base, terms.control_machines.at(machine), terms.launch->terms, last_event, clock, gathered),
      machine(machine),
      stream_seen(start.now),
      started(start.now) {}

HollowRouter::HollowRouter(event_base* base, peers::RouterIndex number, int zone,
                           const feed::Address& address)
    : base(base), self(number), zone(zone), listen(address), socket(bind_to(listen)), wake(base, [this] {
          woken = true;
      }) {
    reading.reset(event_new(
        base, socket, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* router) { static_cast<HollowRouter*>(router)->readable(); }, this));
}

HollowRouter::~HollowRouter() {
    reading.reset();
    close(socket);
}

void HollowRouter::start(const HollowTerms& common_terms, EventNumber last_event, std::size_t machine) {
    terms = common_terms;
    received.clear();
    auto now = node::Clock().now();
    life.reset();
    life = std::make_unique<Life>(base, terms, start_of(self, zone, terms, now),
                                  shared_terms_of(self, terms, now), last_event,
                                  machine % terms.control_machines.size());
    terms.arrivals->begin_life(self, last_event);
    for (auto& event : terms.launch->known.events) life->gathered.emplace_back(event);
    event_add(reading.get(), nullptr);
    woken = true;
}

void HollowRouter::readable() {
    for (int i = 0; i < most_datagrams_a_pass; i++) {
        // One byte more than a datagram may have tells those that are too long.
        std::array<char, peers::max_datagram_bytes + 1> bytes;
        sockaddr_in source{};
        socklen_t size = sizeof source;
        auto got =
            recvfrom(socket, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&source), &size);
        if (got < 0) return;
        auto length = static_cast<std::size_t>(got);
        auto from = terms.addresses->router_at(from_system(source));
        own_bytes.in += length;
        if (from >= 0) (*terms.far_bytes)[static_cast<std::size_t>(from)].in += length;
        received.emplace_back(from, std::string(bytes.data(), length));
    }
}

// In the order of node::Node::step.
void HollowRouter::pass() {
    if (!life || !(woken || !received.empty() || !life->gathered.empty())) return;
    woken = false;
    auto now = life->clock.now();
    shared::ClockReadings times{now, node::Clock::steady()};
    hear(times);
    take_events(times);
    share(times);
    if (now >= life->membership.next_tick()) life->membership.tick(now);
    look_for_a_control_machine(now);
    send();
    note_changes();
    terms.members->running(self, life->membership.self());
    wake.set(life->membership.next_tick() - now);
}

void HollowRouter::hear(const shared::ClockReadings& now) {
    life->exchange.set_time(now);
    for (auto& [from, bytes] : received) life->membership.receive(from, bytes, now.unix);
    received.clear();
}

void HollowRouter::take_events(const shared::ClockReadings& now) {
    for (auto& value : life->gathered) {
        auto& event = std::get<feed::Event>(value);
        terms.arrivals->arrived(self, event.number, now.unix);
        if (auto* listing = std::get_if<feed::Listing>(&event.what))
            life->exchange.apply_listing(std::move(*listing), now);
        else if (auto* purge = std::get_if<feed::PurgeNotice>(&event.what))
            life->exchange.record_purge(*purge, now);
    }
    life->gathered.clear();
}

// A purge that another router told of has arrived too.
void HollowRouter::share(const shared::ClockReadings& now) {
    auto changes = life->exchange.tick(life->coordinator.live_since(), now);
    for (auto& purge : changes.purges)
        if (purge.object >= purged_object_base)
            terms.arrivals->arrived(self, event_of(purge.object), now.unix);
}

void HollowRouter::look_for_a_control_machine(Micros now) {
    if (life->coordinator.live_since() > 0) life->stream_seen = now;
    if (now - life->stream_seen < try_next_machine_after) return;
    life->stream_seen = now;
    life->machine = (life->machine + 1) % terms.control_machines.size();
    life->coordinator.move_to(terms.control_machines[life->machine]);
}

void HollowRouter::send() {
    for (auto& one : life->membership.take_outgoing()) {
        auto to = to_system(terms.addresses->address_of(one.to));
        // What the system has no room for is lost, as on the way.
        sendto(socket, one.bytes.data(), one.bytes.size(), 0, reinterpret_cast<sockaddr*>(&to), sizeof to);
        own_bytes.out += one.bytes.size();
        (*terms.far_bytes)[static_cast<std::size_t>(one.to)].out += one.bytes.size();
        longest = std::max<std::uint64_t>(longest, one.bytes.size());
    }
}

void HollowRouter::note_changes() {
    for (auto& change : life->membership.take_state_changes())
        if (change.after == peers::State::Dead) deaths.emplace_back(change.who, change.at);
    life->membership.take_link_reports();
    life->membership.take_health_changes();
}

// Ends as soon as too many are known to be missing, since it is asked often.
bool HollowRouter::knows(double share) const {
    auto now = node::Clock().now();
    int running = 0;
    for (peers::RouterIndex who = 0; who < terms.addresses->routers(); who++)
        if (who != self && terms.members->runs(who)) running++;
    int most_missing = static_cast<int>((1 - share) * running);
    int missing = 0;
    for (peers::RouterIndex who = 0; who < terms.addresses->routers(); who++) {
        if (who == self || !terms.members->runs(who)) continue;
        if (terms.members->is_exact(who, life->membership.view(who, now).member_state)) continue;
        if (++missing > most_missing) return false;
    }
    return true;
}

}  // namespace quillgrade::rig::hollow
