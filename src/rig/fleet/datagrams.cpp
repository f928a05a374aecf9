#include "rig/fleet/datagrams.hpp"

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <chrono>
#include <stdexcept>

namespace quillgrade::rig {

namespace {

std::int64_t now_us() {
    auto since = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

std::uint64_t key(const sockaddr_in& address) {
    return static_cast<std::uint64_t>(ntohl(address.sin_addr.s_addr)) << 16 | ntohs(address.sin_port);
}

std::string text(const sockaddr_in& address) {
    std::array<char, INET_ADDRSTRLEN> host;
    inet_ntop(AF_INET, &address.sin_addr, host.data(), sizeof host);
    return std::string(host.data()) + ":" + std::to_string(ntohs(address.sin_port));
}

// A bound socket, and where.
int bound(std::uint32_t host, sockaddr_in& at) {
    int fd = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    at = {};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(host);
    socklen_t size = sizeof at;
    if (fd < 0 || bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0)
        throw std::runtime_error("the relay of datagrams can't bind");
    return fd;
}

}  // namespace

Datagrams::Datagrams(int routers, std::uint32_t network, std::uint64_t seed)
    : chance(static_cast<std::uint32_t>(seed)),
      by_router(static_cast<std::size_t>(routers)),
      by_second(static_cast<std::size_t>(routers)),
      begun(now_us()) {
    for (int i = 0; i < routers; i++) {
        sockaddr_in door{}, listen{};
        doors.push_back(bound(network + 1, door));
        door_at.push_back(door);
        // The router binds this itself; its address is no other's, so the port that was free stays so.
        close(bound(network + 2 + static_cast<std::uint32_t>(i), listen));
        listen_at.push_back(listen);
        by_source[key(listen)] = i;
    }
    sockaddr_in anywhere{};
    stranger = bound(network + 1, anywhere);
    thread = std::thread([this] { run(); });
}

Datagrams::~Datagrams() {
    over = true;
    thread.join();
    for (int fd : doors) close(fd);
    close(stranger);
}

std::string Datagrams::door(int router) const { return text(door_at[static_cast<std::size_t>(router)]); }
std::string Datagrams::listen(int router) const { return text(listen_at[static_cast<std::size_t>(router)]); }

void Datagrams::set_all(const Passage& all) {
    std::lock_guard hold(lock);
    passage = all;
}

void Datagrams::cut(int from, int to, bool yes) {
    std::lock_guard hold(lock);
    if (yes)
        cuts[{from, to}] = true;
    else
        cuts.erase({from, to});
}

void Datagrams::throw_in(int router, const std::string& bytes, int as) {
    auto& to = listen_at[static_cast<std::size_t>(router)];
    sendto(as < 0 ? stranger : doors[static_cast<std::size_t>(as)], bytes.data(), bytes.size(), 0,
           reinterpret_cast<const sockaddr*>(&to), sizeof to);
}

Datagrams::Seen Datagrams::seen() const {
    std::lock_guard hold(lock);
    auto all = counts;
    for (auto& seconds : by_second)
        for (std::size_t i = 0; i + 10 <= seconds.size(); i++) {
            double sum = 0;
            for (std::size_t j = i; j < i + 10; j++) sum += seconds[j];
            all.most_bytes_per_s = std::max(all.most_bytes_per_s, sum / 10);
        }
    return all;
}

std::uint64_t Datagrams::sent_by(int router) const {
    std::lock_guard hold(lock);
    return by_router[static_cast<std::size_t>(router)];
}

void Datagrams::arrived(int door, const sockaddr_in& source, const std::string& bytes, std::int64_t now) {
    std::lock_guard hold(lock);
    auto from = by_source.find(key(source));
    if (from == by_source.end()) return;
    counts.datagrams++;
    counts.bytes += bytes.size();
    counts.longest = std::max<std::uint64_t>(counts.longest, bytes.size());
    auto sender = static_cast<std::size_t>(from->second);
    by_router[sender] += bytes.size();
    auto second = static_cast<std::size_t>((now - begun) / 1'000'000);
    if (by_second[sender].size() <= second) by_second[sender].resize(second + 1);
    by_second[sender][second] += static_cast<std::uint32_t>(bytes.size());
    boost::random::uniform_01<double> unit;
    if (cuts.contains({from->second, door}) || unit(chance) < passage.loss) {
        counts.lost++;
        return;
    }
    for (int copies = unit(chance) < passage.twice ? 2 : 1; copies > 0; copies--) {
        boost::random::uniform_int_distribution<int> delay(
            passage.least_ms * 1000, std::max(passage.least_ms, passage.most_ms) * 1000);
        auto at = now + delay(chance) + (unit(chance) < passage.late ? 1'000'000 : 0);
        queue.push({at, order++, from->second, door, bytes});
    }
}

void Datagrams::run() {
    std::vector<pollfd> ready;
    for (int fd : doors) ready.push_back({fd, POLLIN, 0});
    while (!over) {
        int wait = 20;
        {
            std::lock_guard hold(lock);
            if (!queue.empty())
                wait = static_cast<int>(std::clamp<std::int64_t>((queue.top().at - now_us()) / 1000, 0, 20));
        }
        poll(ready.data(), ready.size(), wait);
        auto now = now_us();
        for (std::size_t i = 0; i < ready.size(); i++) {
            if (!(ready[i].revents & POLLIN)) continue;
            std::array<char, 2048> bytes;
            sockaddr_in source{};
            socklen_t size = sizeof source;
            for (ssize_t got; (got = recvfrom(ready[i].fd, bytes.data(), bytes.size(), 0,
                                              reinterpret_cast<sockaddr*>(&source), &size)) >= 0;)
                arrived(static_cast<int>(i), source, {bytes.data(), static_cast<std::size_t>(got)}, now);
        }
        std::lock_guard hold(lock);
        for (now = now_us(); !queue.empty() && queue.top().at <= now; queue.pop()) {
            auto& one = queue.top();
            auto& to = listen_at[static_cast<std::size_t>(one.to)];
            sendto(doors[static_cast<std::size_t>(one.from)], one.bytes.data(), one.bytes.size(), 0,
                   reinterpret_cast<const sockaddr*>(&to), sizeof to);
        }
    }
}

}  // namespace quillgrade::rig
