// State for the tests, built directly.
#pragma once

#include <arpa/inet.h>
#include <doctest/doctest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <map>
#include <utility>

#include "control.hpp"
#include "http/reply.hpp"
#include "site/site.hpp"
#include "thrift/message.hpp"

namespace quillgrade {

constexpr Micros test_ms = 1000, test_second = 1000 * test_ms;
constexpr Micros noon = 1000 * test_second;

inline TrafficTypeSettings pages() {
    return {400 * test_ms, 2, Idempotency::Idempotent, DedupScope::All, 4 * test_second, 0, false};
}

inline SiteSettings a_site() {
    SiteSettings facts{};
    facts.traffic = {pages()};
    facts.routers = 4;
    facts.zone = 1;
    facts.parent_kind = 1;
    facts.origin_kind = 2;
    facts.max_attempts = 6;
    facts.routers_by_zone = {0, 2, 2};
    facts.hedging = facts.cancellation = facts.probes = facts.retry_after = facts.collapsing = true;
    facts.cache_status_reporting = CacheStatusReporting::All;
    facts.client_kb_per_s = 5000;
    facts.max_retry_after = test_second;
    facts.purge_retention = 6 * test_second;
    facts.cold_initial_share = 0.2;
    facts.cold_budget_multiple = 2;
    facts.parent_cold_initial_share = 0.1;
    facts.parent_cold_budget_multiple = 2;
    facts.cold_period = facts.parent_cold_period = 10 * test_second;
    facts.cold_budget_window = test_second;
    facts.link_utilization_index = 1;
    return facts;
}

inline EndpointEntry entry(CacheId id, int kind = 0, int zone = 1) {
    return {id, EndpointState::Ready, 6, kind, 7, zone, 0};
}

// Three caches (1 to 3), two parents (11, 12) and the origin (20), known for a minute.
inline Router router(const SiteSettings& facts = a_site()) {
    Router made(facts, 42);
    made.update_endpoints({entry(1), entry(2), entry(3), entry(11, 1, 0), entry(12, 1, 0), entry(20, 2, 0)},
                          true, noon - 60 * test_second);
    return made;
}

inline LookupInfo lookup(LookupId id, ObjectId object = 77, int part = 0) {
    return {id, 0, object, noon + 4 * test_second, 500, 3, part, false, false};
}

inline AttemptResult end(Outcome outcome, CacheId cache, CacheStatus note = CacheStatus::None,
                         int round = 0) {
    return {outcome, 100 * test_ms, 0, round, note, outcome == Outcome::Ok, cache, {}};
}

inline site::Terms terms() {
    return {{"page", "order"},     {"central", "east"}, {"std", "parent", "origin"},
            {"outstanding", "x1"}, 400 * test_ms,       30 * test_second,
            6 * test_second};
}

inline http::Reply reply(int status, const std::string& body = "", bool never_ran = false) {
    http::Reply made;
    made.status = status;
    made.body = body;
    made.never_ran = never_ran;
    return made;
}

// What clients send, written here by hand.
inline std::string framed(const std::string& content) {
    std::string out;
    bytes::put_number(out, 4, content.size());
    return out + content;
}

inline std::string text(const std::string& value) { return framed(value); }

inline std::string head(int kind, const std::string& name, int seq) {
    std::string out;
    bytes::put_number(out, 4, 0x80010000U | static_cast<unsigned>(kind));
    out += text(name);
    bytes::put_number(out, 4, static_cast<unsigned>(seq));
    return out;
}

inline std::map<std::string, std::string> call_fields() {
    return {{"c", "page"}, {"i", "9b1f03aa5c7e2d41"}, {"d", "1500"}, {"o", "7f3a9c21e0b4d655"},
            {"part", "3"}, {"group", "17"},           {"m", "412.5"}};
}

inline std::string arguments(const std::map<std::string, std::string>& fields, const std::string& body) {
    std::string out("\x0d\0\1\x0b\x0b", 5);
    bytes::put_number(out, 4, fields.size());
    for (auto& [name, value] : fields) out += text(name) + text(value);
    return out + std::string("\x0b\0\2", 3) + text(body) + '\0';
}

inline std::string invoke(int seq, const std::map<std::string, std::string>& fields,
                          const std::string& body = "") {
    return framed(head(1, "invoke", seq) + arguments(fields, body));
}

// Sockets of 127.0.0.1 for stand-ins.
struct Socket {
    int fd = -1;
    explicit Socket(int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) : fd(fd) {}
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    Socket& operator=(Socket&&) = delete;
    Socket(Socket&& other) noexcept : fd(std::exchange(other.fd, -1)) {}
    ~Socket() {
        if (fd >= 0) close(fd);
    }
    bool send(const std::string& bytes) const { return write(fd, bytes.data(), bytes.size()) > 0; }
    bool connect(int port) const {
        auto address = local(port);
        return ::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    }
    static sockaddr_in local(int port) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        return address;
    }
};

struct Listener : Socket {
    int port = 0;
    Listener() {
        auto address = local(0);
        socklen_t size = sizeof address;
        if (bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 && listen(fd, 16) == 0 &&
            getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0)
            port = ntohs(address.sin_port);
    }
};

constexpr int patience_ms = 10'000;

// Reads until `done` says that it is enough, or the far side has closed.
template <class Done>
std::string read(const Socket& from, Done done) {
    std::string got;
    while (!done(got)) {
        pollfd ready{from.fd, POLLIN, 0};
        REQUIRE(poll(&ready, 1, patience_ms) == 1);
        std::array<char, 4096> piece;
        auto length = ::read(from.fd, piece.data(), piece.size());
        if (length <= 0) break;
        got.append(piece.data(), static_cast<std::size_t>(length));
    }
    return got;
}

inline std::string frame(const Socket& from) {
    return read(from,
                [](auto& got) { return got.size() >= 4 && got.size() >= 4 + bytes::Cursor(got).number(4); });
}

inline std::string request(const Socket& from) {
    return read(from, [](auto& got) { return got.ends_with("\r\n\r\n"); });
}

inline std::string line(const Socket& from, const std::string& wanted) {
    return read(from, [&](auto& got) { return got.find(wanted) != std::string::npos; });
}

inline Socket accept(const Listener& at) {
    pollfd ready{at.fd, POLLIN, 0};
    REQUIRE(poll(&ready, 1, patience_ms) == 1);
    return Socket(::accept(at.fd, nullptr, nullptr));
}

inline int free_port() { return Listener().port; }

}  // namespace quillgrade
