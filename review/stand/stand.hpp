// Stand-ins for the review's cases, on loopback and the real clock: caches that answer over HTTP/1.1, a
// coordinator, a proxy that delays, clients over framed Thrift, and the router's processes. Each follows
// PROTOCOL.md; what a case disrupts, it asks for by name. Plain sockets and threads, no library.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <set>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace stand {

using Micros = std::int64_t;
constexpr Micros ms = 1000, second = 1000 * ms;

inline Micros now() {
    auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}
inline void sleep_until(Micros at) {
    if (auto left = at - now(); left > 0) std::this_thread::sleep_for(std::chrono::microseconds(left));
}

// What was sent, answered and run: one line each, with seconds since the start.
class Record {
public:
    explicit Record(const std::string& path) : file(std::fopen(path.c_str(), "w")), start(now()) {
        if (!file) throw std::runtime_error("can't write " + path);
    }
    Record(const Record&) = delete;
    Record& operator=(const Record&) = delete;
    ~Record() { std::fclose(file); }
    __attribute__((format(printf, 2, 3))) void line(const char* form, ...) {
        std::lock_guard lock(mutex);
        std::fprintf(file, "%9.3f ", static_cast<double>(now() - start) / second);
        va_list values;
        va_start(values, form);
        std::vfprintf(file, form, values);
        va_end(values);
        std::fputc('\n', file);
        std::fflush(file);
    }
    double at(Micros time) const { return static_cast<double>(time - start) / second; }

private:
    std::mutex mutex;
    std::FILE* file;
    Micros start;
};

inline std::string text(const char* form, ...) __attribute__((format(printf, 1, 2)));
inline std::string text(const char* form, ...) {
    char piece[4096];
    va_list values;
    va_start(values, form);
    std::vsnprintf(piece, sizeof piece, form, values);
    va_end(values);
    return piece;
}
inline std::string hex(std::uint64_t value) {
    return text("%016llx", static_cast<unsigned long long>(value));
}
inline std::string cache_name(std::uint32_t id) { return text("s-%08x", id); }

// ---- sockets

inline sockaddr_in loopback(int port) {
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    to.sin_port = htons(static_cast<std::uint16_t>(port));
    return to;
}
// Listens on a free port of 127.0.0.1, or on the one that is named.
inline int listen_on(int& port) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto at = loopback(port);
    socklen_t size = sizeof at;
    if (bind(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) || ::listen(fd, 512) ||
        getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size))
        throw std::runtime_error("no free port");
    port = ntohs(at.sin_port);
    return fd;
}
inline int free_port() {
    int port = 0;
    ::close(listen_on(port));
    return port;
}
inline int connect_to(int port) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0), on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    auto to = loopback(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&to), sizeof to) == 0) return fd;
    ::close(fd);
    return -1;
}
inline bool send_all(int fd, std::string_view bytes) {
    while (!bytes.empty()) {
        auto sent = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (sent < 0 && errno == EINTR) continue;
        if (sent <= 0) return false;
        bytes.remove_prefix(static_cast<std::size_t>(sent));
    }
    return true;
}
inline void put(std::string& out, int width, std::uint64_t value) {
    for (int shift = 8 * (width - 1); shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(value >> shift));
}
inline std::uint64_t number(std::string_view from, int width) {
    std::uint64_t value = 0;
    for (int i = 0; i < width; i++)
        value = value << 8 | static_cast<unsigned char>(from[static_cast<std::size_t>(i)]);
    return value;
}

// One thread for each connection that a listener takes; all end with it.
class Listener {
public:
    using Serve = std::function<void(int fd, int number)>;
    explicit Listener(Serve serve, int wanted_port = 0) : serve(std::move(serve)), port_(wanted_port) {
        fd = listen_on(port_);
        taker = std::thread([this] { take(); });
    }
    Listener(const Listener&) = delete;
    Listener& operator=(const Listener&) = delete;
    ~Listener() { stop(); }
    int port() const { return port_; }
    void stop() {
        if (stopping.exchange(true)) return;
        ::shutdown(fd, SHUT_RDWR);
        taker.join();
        ::close(fd);
        break_all();
        for (auto& one : threads) one.join();
    }
    // Ends the connections that are open.
    void break_all() {
        std::lock_guard lock(mutex);
        for (int one : open) ::shutdown(one, SHUT_RDWR);
    }

private:
    void take() {
        for (int count = 0; !stopping; count++) {
            int one = ::accept4(fd, nullptr, nullptr, SOCK_CLOEXEC), on = 1;
            if (one < 0 && stopping) return;
            if (one < 0) continue;
            setsockopt(one, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::lock_guard lock(mutex);
            open.insert(one);
            threads.emplace_back([this, one, count] {
                serve(one, count);
                std::lock_guard inner(mutex);
                open.erase(one);
                ::close(one);
            });
        }
    }
    Serve serve;
    int fd = -1, port_;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::set<int> open;
    std::list<std::thread> threads;
    std::thread taker;
};

// ---- caches, parents and the origin

struct Asked {  // a request as it has come whole to a cache
    Micros first_byte, whole;
    std::uint32_t cache;
    std::string id, kind, object, parent, options, have, host;
    int part = 0;
    Micros fresh = 0;
};

class Cache {
public:
    struct Reply {
        Micros after = 0;        // from when the request came whole
        std::string head, body;  // as they go over the socket
        bool closes = false, silent = false;
    };
    using Answer = std::function<Reply(const Asked&)>;
    Cache(std::uint32_t id, Answer answer, int wanted_port = 0)
        : id(id), answer(std::move(answer)), listener([this](int fd, int) { serve(fd); }, wanted_port) {}
    int port() const { return listener.port(); }
    void stop() { listener.stop(); }
    const std::uint32_t id;

    static std::string field(const std::string& head, const std::string& name) {
        auto at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos) return {};
        at += name.size() + 4;
        return head.substr(at, head.find("\r\n", at) - at);
    }
    static Reply whole(std::string_view status, const std::string& fields, const std::string& body,
                       Micros after) {
        return {after,
                "HTTP/1.1 " + std::string(status) + "\r\n" + fields +
                    text("Content-Length: %zu\r\n\r\n", body.size()),
                body};
    }

private:
    void serve(int fd) {
        std::string held;
        char piece[16'384];
        Micros first_byte = 0;
        for (;;) {
            auto end = held.find("\r\n\r\n");
            if (end == std::string::npos) {
                auto got = ::recv(fd, piece, sizeof piece, 0);
                if (got <= 0) return;
                if (held.empty()) first_byte = now();
                held.append(piece, static_cast<std::size_t>(got));
                continue;
            }
            auto head = held.substr(0, end + 2);
            auto length = static_cast<std::size_t>(std::atol(field(head, "Content-Length").c_str()));
            if (held.size() < end + 4 + length) {
                auto got = ::recv(fd, piece, sizeof piece, 0);
                if (got <= 0) return;
                held.append(piece, static_cast<std::size_t>(got));
                continue;
            }
            held.erase(0, end + 4 + length);
            if (head.starts_with("GET /ping") || head.starts_with("GET /-/gauges")) {
                auto reply = whole("200 OK", "X-Report: inflight:1;x1:0.1\r\n", "", 0);
                if (!send_all(fd, reply.head)) return;
                continue;
            }
            Asked asked;
            asked.first_byte = first_byte;
            asked.whole = now();
            asked.cache = id;
            char kind[64] = "", object[64] = "";
            if (std::sscanf(head.c_str(), "GET /data/%63[^/]/%63[^/]/%d", kind, object, &asked.part) != 3)
                return;
            asked.kind = kind;
            asked.object = object;
            asked.id = field(head, "X-Hop-Id");
            asked.parent = field(head, "X-Parent");
            asked.host = field(head, "Host");
            asked.options = field(head, "X-Opts");
            asked.have = field(head, "X-Have");
            asked.fresh = std::atoll(field(head, "X-Fresh-Ms").c_str()) * ms;
            auto reply = answer(asked);
            sleep_until(asked.whole + reply.after);
            if (reply.silent) {  // until the router closes
                while (::recv(fd, piece, sizeof piece, 0) > 0) {
                }
                return;
            }
            if (!send_all(fd, reply.head + reply.body) || reply.closes) return;
        }
    }
    Answer answer;
    Listener listener;
};

// ---- the coordinator

struct Entry {  // of the list
    std::uint32_t id;
    int port, state, zone, kind, cell;
    double weight;
    Micros started;
};

class Coordinator {
public:
    explicit Coordinator(std::uint64_t last, int wanted_port = 0)
        : last(last), listener([this](int fd, int) { serve(fd); }, wanted_port) {}
    ~Coordinator() {
        stopping = true;
        listener.stop();
    }
    int port() const { return listener.port(); }
    // The event is in the coordinator from now on. Returns its time.
    Micros tell(int kind, const std::string& payload) {
        std::lock_guard lock(mutex);
        last++;
        events.emplace_back(last, frame(last, kind, payload));
        return now();
    }
    Micros tell(const Entry& changed) { return tell(2, record(changed)); }
    static std::string record(const Entry& entry) {
        std::string out;
        put(out, 4, entry.id);
        put(out, 4, INADDR_LOOPBACK);
        put(out, 2, static_cast<std::uint64_t>(entry.port));
        put(out, 1, static_cast<std::uint64_t>(entry.state));
        put(out, 1, static_cast<std::uint64_t>(entry.zone));
        put(out, 1, static_cast<std::uint64_t>(entry.kind));
        put(out, 2, static_cast<std::uint64_t>(entry.cell));
        put(out, 4, static_cast<std::uint64_t>(entry.weight * 1000));
        put(out, 8, static_cast<std::uint64_t>(entry.started / ms));
        return out;
    }

private:
    static std::string frame(std::uint64_t number, int kind, const std::string& payload) {
        std::string out;
        put(out, 4, 9 + payload.size());
        put(out, 8, number);
        put(out, 1, static_cast<std::uint64_t>(kind));
        return out + payload;
    }
    void serve(int fd) {
        std::string asked;
        char piece[64];
        while (asked.size() < 8) {
            auto got = ::recv(fd, piece, sizeof piece, 0);
            if (got <= 0) return;
            asked.append(piece, static_cast<std::size_t>(got));
        }
        auto told = number(asked, 8);
        Micros empty_at = now();
        while (!stopping) {
            std::string out;
            {
                std::lock_guard lock(mutex);
                for (auto& [number, bytes] : events)
                    if (number > told) {
                        out += bytes;
                        told = number;
                    }
            }
            if (now() >= empty_at) {
                out += frame(told, 0, "");
                empty_at += second;
            }
            if (!out.empty() && !send_all(fd, out)) return;
            pollfd gone{fd, POLLIN, 0};
            if (poll(&gone, 1, 5) > 0 && ::recv(fd, piece, sizeof piece, MSG_DONTWAIT) == 0) return;
        }
    }
    std::uint64_t last;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    std::vector<std::pair<std::uint64_t, std::string>> events;
    Listener listener;
};

// Stands before another port; what comes from there is passed on `delay` later, in order.
class Proxy {
public:
    explicit Proxy(int to, int wanted_port = 0)
        : to(to), listener([this](int fd, int) { serve(fd); }, wanted_port) {}
    ~Proxy() {
        stopping = true;
        listener.stop();
    }
    int port() const { return listener.port(); }
    std::atomic<Micros> delay = 0;
    std::atomic<int> connections = 0;

private:
    void serve(int fd) {
        connections++;
        int far = connect_to(to);
        if (far < 0) return;
        std::deque<std::pair<Micros, std::string>> waiting;
        char piece[16'384];
        bool up = true;
        while (up && !stopping) {
            std::array<pollfd, 2> ends{pollfd{fd, POLLIN, 0}, pollfd{far, POLLIN, 0}};
            int wait = 50;
            if (!waiting.empty())
                wait = static_cast<int>(std::clamp<Micros>((waiting.front().first - now()) / ms, 0, 50));
            poll(ends.data(), ends.size(), wait);
            if (ends[0].revents) {
                auto got = ::recv(fd, piece, sizeof piece, MSG_DONTWAIT);
                up = up && (got > 0 || (got < 0 && errno == EAGAIN));
                if (got > 0) up = up && send_all(far, {piece, static_cast<std::size_t>(got)});
            }
            if (ends[1].revents) {
                auto got = ::recv(far, piece, sizeof piece, MSG_DONTWAIT);
                up = up && (got > 0 || (got < 0 && errno == EAGAIN));
                // In order: nothing overtakes what came before it.
                Micros due = now() + delay;
                if (!waiting.empty()) due = std::max(due, waiting.back().first);
                if (got > 0) waiting.emplace_back(due, std::string(piece, static_cast<std::size_t>(got)));
            }
            while (up && !waiting.empty() && waiting.front().first <= now()) {
                up = send_all(fd, waiting.front().second);
                waiting.pop_front();
            }
        }
        ::close(far);
    }
    int to;
    std::atomic<bool> stopping = false;
    Listener listener;
};

// ---- clients

using Fields = std::map<std::string, std::string>;

inline std::string call(std::string_view method, int kind, std::int32_t seq, const std::string& arguments) {
    std::string out;
    put(out, 4, 0x80010000U | static_cast<unsigned>(kind));
    put(out, 4, method.size());
    out += method;
    put(out, 4, static_cast<std::uint32_t>(seq));
    out += arguments;
    std::string framed;
    put(framed, 4, out.size());
    return framed + out;
}
inline std::string invoke(std::int32_t seq, const Fields& fields, std::string_view body = "") {
    std::string out;
    put(out, 1, 13);
    put(out, 2, 1);
    put(out, 1, 11);
    put(out, 1, 11);
    put(out, 4, fields.size());
    for (auto& [name, value] : fields) {
        put(out, 4, name.size());
        out += name;
        put(out, 4, value.size());
        out += value;
    }
    put(out, 1, 11);
    put(out, 2, 2);
    put(out, 4, body.size());
    out += body;
    put(out, 1, 0);
    return call("invoke", 1, seq, out);
}
inline std::string abort_call(std::int32_t seq, std::int32_t of) {
    std::string out;
    put(out, 1, 8);
    put(out, 2, 1);
    put(out, 4, static_cast<std::uint32_t>(of));
    put(out, 1, 0);
    return call("abort", 4, seq, out);
}

enum class End { Served, Same, Refused, Failed, Unreadable };
inline const char* name_of(End end) {
    static const char* names[] = {"served", "same", "refused", "failed", "unreadable"};
    return names[static_cast<int>(end)];
}
struct Answered {
    std::int32_t seq = 0;
    End end = End::Unreadable;
    std::string body;
};
// A reply's frame, without its length.
inline Answered read_answer(std::string_view frame) {
    Answered answer;
    std::size_t at = 0;
    auto take = [&](std::size_t length) {
        if (frame.size() - at < length) throw std::runtime_error("cut short");
        at += length;
        return frame.substr(at - length, length);
    };
    auto value = [&](int width) { return number(take(static_cast<std::size_t>(width)), width); };
    try {
        auto head = value(4);
        take(value(4));
        answer.seq = static_cast<std::int32_t>(value(4));
        if ((head & 0xff) == 3) {
            answer.end = End::Failed;
            return answer;
        }
        if (head != 0x80010002U || value(1) != 12) return answer;
        auto id = value(2);
        if (id == 1 || id == 2) {
            answer.end = id == 1 ? End::Refused : End::Failed;
            return answer;
        }
        bool same = false, good = false;
        while (auto type = value(1)) {
            auto field = value(2);
            if (field == 1 && type == 11) {
                answer.body = take(value(4));
            } else if (field == 2 && type == 13) {
                take(2);
                for (auto count = value(4); count > 0; count--) {
                    auto name = take(value(4));
                    same |= take(value(4)) == "1" && name == "same";
                }
            } else if (field == 3 && type == 2) {
                good = value(1) == 1;
            } else {
                return answer;
            }
        }
        answer.end = !good ? End::Failed : same ? End::Same : End::Served;
    } catch (const std::runtime_error&) {
        answer.end = End::Unreadable;
    }
    return answer;
}

struct Request {
    std::string id, kind, object;
    int part = 0;
    Micros asked = 0, due = 0, answered = 0;
    int finals = 0;
    End end = End::Failed;
    std::string body;
};

// Clients of one router: so many connections, requests at a steady rate, each with one final answer.
class Clients {
public:
    using Make = std::function<Fields(std::mt19937_64&)>;  // all fields but `i`
    Clients(int port, int connections, Record& record, std::string name)
        : port(port), record(record), name(std::move(name)) {
        links.resize(static_cast<std::size_t>(connections));
    }
    ~Clients() { close(); }
    void close() {
        if (closing.exchange(true)) return;
        if (asker.joinable()) asker.join();
        for (auto& link : links) {
            if (link.fd >= 0) ::shutdown(link.fd, SHUT_RDWR);
            if (link.reader.joinable()) link.reader.join();
            if (link.fd >= 0) ::close(link.fd);
        }
    }
    // True once a ping is answered with `good`.
    static bool ready(int port, double seconds) {
        for (Micros until = now() + static_cast<Micros>(seconds * second); now() < until; usleep(20'000)) {
            int fd = connect_to(port);
            if (fd < 0) continue;
            std::string ping;
            put(ping, 1, 0);
            std::string held;
            char piece[512];
            bool good = false;
            timeval wait{1, 0};
            setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
            if (send_all(fd, call("ping", 1, 1, ping)))
                for (;;) {
                    auto got = ::recv(fd, piece, sizeof piece, 0);
                    if (got <= 0) break;
                    held.append(piece, static_cast<std::size_t>(got));
                    if (held.size() < 4 || held.size() < 4 + number(held, 4)) continue;
                    good = read_answer(std::string_view(held).substr(4)).end == End::Served;
                    break;
                }
            ::close(fd);
            if (good) return true;
        }
        return false;
    }
    void ask(double per_s, Make make, std::uint64_t seed) {
        asker = std::thread([this, per_s, make = std::move(make), seed] {
            std::mt19937_64 chance(seed);
            std::exponential_distribution<double> gap(per_s);
            Micros at = now();
            while (!closing && !ended) {
                at += static_cast<Micros>(gap(chance) * second);
                sleep_until(at);
                if (closing || ended) return;
                one(make(chance), chance());
            }
        });
    }
    void end() {
        ended = true;
        if (asker.joinable()) asker.join();
    }
    void one(Fields fields, std::uint64_t id) {
        Request request;
        request.id = hex(id);
        request.kind = fields["c"];
        request.object = fields["o"];
        request.part = std::atoi(fields["part"].c_str());
        fields["i"] = request.id;
        for (int tries = 0; tries < 3; tries++) {
            auto& link = links[next++ % links.size()];
            std::lock_guard lock(mutex);
            if (link.open.size() >= 32) continue;
            if (link.fd < 0 && !open(link)) continue;
            auto seq = ++link.seq;
            if (!send_all(link.fd, invoke(seq, fields))) continue;
            request.asked = now();
            request.due = request.asked + std::atoll(fields["d"].c_str()) * ms;
            link.open[seq] = requests.size();
            requests.push_back(request);
            return;
        }
        untold++;
    }
    std::vector<Request> all() {
        std::lock_guard lock(mutex);
        return requests;
    }
    // What was sent and answered, a line each.
    void write_down() {
        for (auto& request : all())
            record.line("%s: %s %s/%s/%d sent at %.3f: %s after %.3f s, %d final answers", name.c_str(),
                        request.id.c_str(), request.kind.c_str(), request.object.c_str(), request.part,
                        record.at(request.asked), request.finals ? name_of(request.end) : "no answer",
                        request.finals ? static_cast<double>(request.answered - request.asked) / second : 0,
                        request.finals);
    }
    std::atomic<int> untold = 0;  // no connection took them

private:
    struct Link {
        int fd = -1;
        std::int32_t seq = 0;
        std::map<std::int32_t, std::size_t> open;
        std::thread reader;
        bool dead = false;
    };
    bool open(Link& link) {
        if (link.reader.joinable()) return false;
        link.fd = connect_to(port);
        if (link.fd < 0) return false;
        link.reader = std::thread([this, &link] { read(link); });
        return true;
    }
    void read(Link& link) {
        std::string held;
        char piece[65'536];
        for (;;) {
            auto got = ::recv(link.fd, piece, sizeof piece, 0);
            if (got <= 0) return;
            held.append(piece, static_cast<std::size_t>(got));
            while (held.size() >= 4 && held.size() >= 4 + number(held, 4)) {
                auto length = number(held, 4);
                auto answer = read_answer(std::string_view(held).substr(4, length));
                held.erase(0, 4 + length);
                std::lock_guard lock(mutex);
                auto found = link.open.find(answer.seq);
                if (found == link.open.end()) {
                    record.line("%s: an answer that nobody asked for, number %d", name.c_str(), answer.seq);
                    stray++;
                    continue;
                }
                auto& request = requests[found->second];
                request.finals++;
                request.answered = now();
                request.end = answer.end;
                request.body = std::move(answer.body);
                link.open.erase(found);
            }
        }
    }
    int port;
    Record& record;
    std::string name;
    std::mutex mutex;
    std::deque<Link> links;
    std::size_t next = 0;
    std::vector<Request> requests;
    std::atomic<bool> closing = false, ended = false;
    std::thread asker;

public:
    std::atomic<int> stray = 0;
};

// ---- routers

// One process of the router, started with the line `run` of the deploy file from the repository's root.
class Router {
public:
    Router(const std::string& run, const std::string& name, int port, const std::string& config,
           const std::string& log)
        : name(name), port(port) {
        process = fork();
        if (process < 0) throw std::runtime_error("no process");
        if (process == 0) {
            prctl(PR_SET_PDEATHSIG, SIGKILL);  // it ends with the test, however that ends
            setenv("PROXY_NAME", name.c_str(), 1);
            setenv("PROXY_LISTEN", text("127.0.0.1:%d", port).c_str(), 1);
            setenv("PROXY_CONFIG", config.c_str(), 1);
            if (!std::freopen(log.c_str(), "a", stderr) || !std::freopen("/dev/null", "r", stdin)) _exit(127);
            execl("/bin/sh", "sh", "-c", run.c_str(), nullptr);
            _exit(127);
        }
    }
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;
    ~Router() {
        if (ended()) return;
        ::kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    bool ended() {
        if (over) return true;
        over = waitpid(process, &status, WNOHANG) == process;
        return over;
    }
    void signal(int number) {
        if (!ended()) ::kill(process, number);
    }
    pid_t pid() const { return process; }
    const std::string name;
    const int port;
    int status = 0;

private:
    pid_t process = -1;
    bool over = false;
};

inline void write_file(const std::string& path, const std::string& contents) {
    std::ofstream file(path, std::ios::binary | std::ios::trunc);
    file << contents;
    if (!file.flush()) throw std::runtime_error("can't write " + path);
}

inline std::string environment(const char* name, const std::string& otherwise) {
    const char* value = std::getenv(name);
    return value ? value : otherwise;
}

}  // namespace stand
