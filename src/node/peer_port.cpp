#include "node/peer_port.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstring>
#include <numeric>

#include "log/log.hpp"

namespace quillgrade::node {

namespace {

// A pass of the loop takes in so many at most, so that a storm of datagrams leaves lookups their turn; the
// rest waits in the socket, or is lost there.
constexpr int most_a_pass = 64;
constexpr Micros say_every = 10'000'000;

std::uint64_t key_of(std::uint32_t host, std::uint16_t port) {
    return static_cast<std::uint64_t>(host) << 16 | port;
}

sockaddr_in to_system(const feed::Address& address) {
    sockaddr_in out{};
    out.sin_family = AF_INET;
    out.sin_addr.s_addr = htonl(address.host);
    out.sin_port = htons(address.port);
    return out;
}

peers::MembershipConfig start_of(const launch::Neighbourhood& all, const operate::PeersConfig& plan,
                                 std::uint64_t seed, Micros now) {
    peers::MembershipConfig start;
    start.self = all.self;
    start.routers = static_cast<int>(all.all.size());
    start.zone = all.zone;
    start.generation = static_cast<peers::Generation>(now / 1000);
    start.seed = seed;
    start.now = now;
    start.settings.probe_period = plan.probe_period;
    start.settings.bytes_per_s = plan.bytes_per_s;
    start.settings.shortest_suspicion = plan.shortest_suspicion;
    start.settings.longest_suspicion = plan.longest_suspicion;
    start.settings.longest_pause = plan.longest_pause;
    start.settings.state_transfer = plan.state_transfer;
    return start;
}

}  // namespace

PeerPort::PeerPort(event_base* base, const launch::Neighbourhood& all, const operate::PeersConfig& plan,
                   std::uint64_t seed, Micros now)
    : addresses(all.all), view(start_of(all, plan, seed, now)), wake(base, [] {}) {
    for (std::size_t i = 0; i < addresses.size(); i++)
        numbers[key_of(addresses[i].host, addresses[i].port)] = static_cast<int>(i);
    fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    auto here = to_system(all.listen);
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&here), sizeof here) != 0) {
        std::string why = std::strerror(errno);
        if (fd >= 0) close(fd);
        throw site::Unusable("peers: 'peer_listen' can't be used: " + why);
    }
    reading.reset(event_new(
        base, fd, EV_READ | EV_PERSIST,
        [](evutil_socket_t, short, void* self) { static_cast<PeerPort*>(self)->readable(); }, this));
    if (!reading || event_add(reading.get(), nullptr) != 0) {
        close(fd);
        throw std::bad_alloc();
    }
    wake.set(0);
    log::info("peers: number {} of {}, life {}", all.self, addresses.size(), view.self().generation);
}

PeerPort::~PeerPort() {
    reading.reset();
    close(fd);
}

void PeerPort::readable() {
    for (int i = 0; i < most_a_pass; i++) {
        // One byte more than a datagram may have tells those that are too long.
        std::array<char, peers::max_datagram_bytes + 1> bytes;
        sockaddr_in from{};
        socklen_t size = sizeof from;
        auto got = recvfrom(fd, bytes.data(), bytes.size(), 0, reinterpret_cast<sockaddr*>(&from), &size);
        if (got < 0) return;
        auto found = numbers.find(key_of(ntohl(from.sin_addr.s_addr), ntohs(from.sin_port)));
        came.emplace_back(found == numbers.end() ? -1 : found->second,
                          std::string(bytes.data(), static_cast<std::size_t>(got)));
    }
}

void PeerPort::hear(Micros now) {
    for (auto& [from, bytes] : came) view.receive(from, bytes, now);
    came.clear();
}

void PeerPort::pass(const version::LookupCounts& counts, Micros now) {
    view.set_unhealthy(request_health.update(counts.completed, counts.unsuccessful, now));
    if (now >= view.next_tick()) view.tick(now);
    send_and_say(now);
    wake.set(view.next_tick() - now);
}

void PeerPort::leave(Micros now) {
    view.leave(now);
    send_and_say(now);
}

void PeerPort::gone(Micros now) {
    view.announce_exit(now);
    send_and_say(now);
    auto& seen = view.counters();
    log::info("peers: {} datagrams of {} bytes sent, {} heard, {} held back, {} times away, {} times accused",
              seen.sent, seen.bytes_sent, seen.received, seen.withheld, seen.pauses, seen.refutations);
}

void PeerPort::send_and_say(Micros now) {
    for (auto& one : view.take_outgoing()) {
        auto to = to_system(addresses[static_cast<std::size_t>(one.to)]);
        // What the system has no room for is lost, as on the way.
        sendto(fd, one.bytes.data(), one.bytes.size(), 0, reinterpret_cast<sockaddr*>(&to), sizeof to);
    }
    for (auto& one : view.take_state_changes())
        log::info("peers: {} {} -> {} (life {}, incarnation {}, by {})", one.who, name_of(one.before),
                  name_of(one.after), one.member_state.generation, one.member_state.incarnation, one.by);
    for (auto& one : view.take_link_reports())
        log::info("peers: {} {} {}", one.receiver, one.down ? "does not hear" : "hears again", one.sender);
    for (auto& one : view.take_health_changes())
        log::info("peers: {} is {}", one.who, one.unhealthy ? "ill" : "well");
    say_transferred(now);
    say_dropped(now);
}

void PeerPort::say_transferred(Micros now) {
    bool transfers = view.transferring();
    if (transfers == transferring) return;
    transferring = transfers;
    auto& seen = view.counters();
    if (transfers) {
        transfer_began = now;
        pages_before = seen.pages_accepted;
        return;
    }
    log::info("peers: state transfer ended after {:.1f} s, {} pages",
              static_cast<double>(now - transfer_began) / 1e6, seen.pages_accepted - pages_before);
}

void PeerPort::say_dropped(Micros now) {
    if (now < say_at) return;
    say_at = now + say_every;
    auto& dropped = view.counters().dropped;
    auto sum = std::accumulate(dropped.begin(), dropped.end(), std::uint64_t{0});
    if (sum == said_dropped) return;
    said_dropped = sum;
    log::warning(
        "peers: datagrams dropped so far: {} too long, {} malformed, {} of another format, {} from "
        "elsewhere, "
        "{} out of range, {} of a state transfer that is off here",
        dropped[0], dropped[1], dropped[2], dropped[3], dropped[4], dropped[5]);
}

}  // namespace quillgrade::node
