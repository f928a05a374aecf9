// What the cases of the second review share: the record, the router as a process, and small stand-ins for the
// caches, the coordinator and the clients. Everything is on 127.0.0.1 and on ports that the system gives.
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

#include <array>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace stand {

constexpr int held = 0, broken = 1, could_not_run = 2;  // exit codes

// Unix time in milliseconds.
inline std::int64_t now_ms() {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
               std::chrono::system_clock::now().time_since_epoch())
        .count();
}

inline void sleep_ms(std::int64_t ms) { std::this_thread::sleep_for(std::chrono::milliseconds(ms)); }

inline bool trouble() {
    const char* word = std::getenv("TROUBLE");
    return !word || std::string(word) != "0";
}

// Lines with the time since the start, in the file that the case names.
class Record {
public:
    explicit Record(const std::string& path) : file(std::fopen(path.c_str(), "w")), begun(now_ms()) {
        if (!file) {
            std::perror("record");
            std::exit(could_not_run);
        }
    }
    void line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
        std::lock_guard lock(mutex);
        std::fprintf(file, "%8.3f ", static_cast<double>(now_ms() - begun) / 1000);
        va_list values;
        va_start(values, format);
        std::vfprintf(file, format, values);
        va_end(values);
        std::fputc('\n', file);
        std::fflush(file);
    }
    std::int64_t start() const { return begun; }

private:
    std::mutex mutex;
    FILE* file;
    std::int64_t begun;
};

inline std::vector<pid_t> started;  // processes of the case

// Ends the case at once, and all processes that it started.
[[noreturn]] inline void finish(Record& record, int code, const std::string& why) {
    const char* word = code == held ? "held" : code == broken ? "broken" : "could not run";
    record.line("verdict: %s: %s", word, why.c_str());
    std::printf("%s: %s\n", word, why.c_str());
    std::fflush(stdout);
    for (auto process : started) {
        ::kill(process, SIGKILL);
        ::waitpid(process, nullptr, 0);
    }
    std::_Exit(code);
}

inline int listen_on_free_port(std::uint16_t& port, int backlog = 512) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof at;
    if (fd < 0 || ::bind(fd, reinterpret_cast<sockaddr*>(&at), size) != 0 || ::listen(fd, backlog) != 0 ||
        ::getsockname(fd, reinterpret_cast<sockaddr*>(&at), &size) != 0) {
        std::perror("listen");
        std::exit(could_not_run);
    }
    port = ntohs(at.sin_port);
    return fd;
}

inline int connect_to(std::uint16_t port) {
    int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in at{};
    at.sin_family = AF_INET;
    at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    at.sin_port = htons(port);
    if (::connect(fd, reinterpret_cast<sockaddr*>(&at), sizeof at) != 0) {
        ::close(fd);
        return -1;
    }
    int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return fd;
}

inline bool write_all(int fd, const std::string& bytes) {
    std::size_t done = 0;
    while (done < bytes.size()) {
        auto sent = ::send(fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL);
        if (sent <= 0) return false;
        done += static_cast<std::size_t>(sent);
    }
    return true;
}

inline void put(std::string& out, int width, std::uint64_t value) {
    for (int shift = 8 * (width - 1); shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(value >> shift));
}

inline std::uint64_t get(const std::string& in, std::size_t at, int width) {
    std::uint64_t value = 0;
    for (int i = 0; i < width; i++) value = value << 8 | static_cast<unsigned char>(in.at(at + i));
    return value;
}

inline std::string hex(std::uint64_t value, int digits) {
    char text[32];
    std::snprintf(text, sizeof text, "%0*llx", digits, static_cast<unsigned long long>(value));
    return text;
}

// ---- caches
// ------------------------------------------------------------------------------------------------

struct Request {
    std::string method, path;
    std::map<std::string, std::string> fields;
    std::string body;
    std::int64_t began = 0, whole = 0;  // Unix ms of its first and last byte
};

// A cache, parent or origin: one request at a time on a connection. `answer` may sleep; it is called on the
// connection's own thread and returns what is written, or nothing: the connection is closed.
class Cache {
public:
    using Answer = std::function<std::optional<std::string>(Cache&, const Request&, int fd)>;
    Cache(std::uint32_t id, Answer answer) : id(id), answer(std::move(answer)) {
        listener = listen_on_free_port(port);
        std::thread([this] { accept_all(); }).detach();
    }
    const std::uint32_t id;
    std::uint16_t port = 0;
    std::string name() const { return "s-" + hex(id, 8); }

private:
    void accept_all() {
        for (;;) {
            int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            std::thread([this, fd] {
                serve(fd);
                ::close(fd);
            }).detach();
        }
    }
    void serve(int fd) {
        std::string in;
        for (;;) {
            Request request;
            std::size_t end;
            while ((end = in.find("\r\n\r\n")) == std::string::npos)
                if (!more(fd, in, request.began)) return;
            if (request.began == 0) request.began = now_ms();
            read_head(in.substr(0, end), request);
            in.erase(0, end + 4);
            std::size_t length = 0;
            if (auto found = request.fields.find("content-length"); found != request.fields.end())
                length = std::strtoul(found->second.c_str(), nullptr, 10);
            while (in.size() < length)
                if (!more(fd, in, request.began)) return;
            request.body = in.substr(0, length);
            in.erase(0, length);
            request.whole = now_ms();
            auto out = answer(*this, request, fd);
            if (!out || !write_all(fd, *out)) return;
        }
    }
    static bool more(int fd, std::string& in, std::int64_t& began) {
        char piece[16384];
        auto got = ::recv(fd, piece, sizeof piece, 0);
        if (got <= 0) return false;
        if (began == 0) began = now_ms();
        in.append(piece, static_cast<std::size_t>(got));
        return true;
    }
    static void read_head(const std::string& head, Request& request) {
        auto line_end = head.find("\r\n");
        auto first = head.substr(0, line_end);
        auto space = first.find(' '), second = first.find(' ', space + 1);
        request.method = first.substr(0, space);
        request.path = first.substr(space + 1, second - space - 1);
        while (line_end != std::string::npos) {
            auto from = line_end + 2;
            line_end = head.find("\r\n", from);
            auto line = head.substr(from, line_end == std::string::npos ? line_end : line_end - from);
            auto colon = line.find(':');
            if (colon == std::string::npos) continue;
            auto field = line.substr(0, colon);
            for (auto& c : field) c = static_cast<char>(std::tolower(static_cast<unsigned char>(c)));
            auto value = line.find_first_not_of(' ', colon + 1);
            request.fields[field] = value == std::string::npos ? "" : line.substr(value);
        }
    }
    Answer answer;
    int listener = -1;
};

// A whole answer.
inline std::string reply(int status, const std::string& body, const std::string& fields = "") {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// What is written to a probe, nothing for a request that is no probe.
inline std::optional<std::string> probe_reply(const Request& request) {
    if (request.path == "/-/gauges") return reply(200, "", "X-Report: inflight:1;x1:0.1\r\n");
    if (request.path == "/ping") return reply(200, "");
    return std::nullopt;
}

// The fields of a good answer with a copy of this age.
inline std::string copy_fields(const std::string& note, std::int64_t age_ms = 0,
                               const std::string& tag = "4be0c1927d55a6f3") {
    return "X-Tag: " + tag + "\r\nX-Minted: " + std::to_string(now_ms() - age_ms) + "\r\nX-Tell: " + note +
           "\r\nX-Report: inflight:1;x1:0.1\r\n";
}

// ---- the coordinator
// ---------------------------------------------------------------------------------------

enum State { in_service = 0, terminating = 1, terminated = 2 };

struct Entry {
    std::uint32_t id;
    std::uint16_t port;
    int state, zone, kind, cell;
    std::uint32_t weight;  // thousandths
    std::int64_t started_ms = 0;
};

// Serves numbered events on each connection from the number that it is asked for, and an empty frame each
// second.
class Coordinator {
public:
    explicit Coordinator(Record& record, std::uint64_t last) : record(record), base(last) {
        listener = listen_on_free_port(port);
        std::thread([this] { accept_all(); }).detach();
    }
    // The next event; returns its number.
    std::uint64_t changes(const std::vector<Entry>& entries, bool whole = false) {
        std::string payload;
        for (auto& entry : entries) {
            put(payload, 4, entry.id);
            put(payload, 4, INADDR_LOOPBACK);
            put(payload, 2, entry.port);
            put(payload, 1, entry.state);
            put(payload, 1, entry.zone);
            put(payload, 1, entry.kind);
            put(payload, 2, entry.cell);
            put(payload, 4, entry.weight);
            put(payload, 8, static_cast<std::uint64_t>(entry.started_ms));
        }
        return add(whole ? 1 : 2, payload);
    }
    std::uint64_t purge_object(std::uint64_t object, std::int64_t unix_ms) {
        std::string payload;
        put(payload, 8, object);
        put(payload, 8, static_cast<std::uint64_t>(unix_ms));
        return add(3, payload);
    }
    std::uint64_t purge_group(int group, std::int64_t unix_ms) {
        std::string payload;
        put(payload, 2, static_cast<std::uint64_t>(group));
        put(payload, 8, static_cast<std::uint64_t>(unix_ms));
        return add(4, payload);
    }
    void break_off() { generation++; }  // all open connections are closed
    std::uint16_t port = 0;
    std::atomic<std::int64_t> slow_ms{0};  // from being asked on a new connection to the first word
    std::atomic<int> asked{0};             // connections that asked

private:
    std::uint64_t add(int kind, const std::string& payload) {
        std::lock_guard lock(mutex);
        std::string frame;
        put(frame, 4, 8 + 1 + payload.size());
        put(frame, 8, base + events.size() + 1);
        put(frame, 1, kind);
        events.push_back(frame + payload);
        return base + events.size();
    }
    void accept_all() {
        for (;;) {
            int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            std::thread([this, fd, mine = generation.load()] {
                serve(fd, mine);
                ::close(fd);
            }).detach();
        }
    }
    void serve(int fd, int mine) {
        std::string in;
        while (in.size() < 8) {
            char piece[64];
            auto got = ::recv(fd, piece, sizeof piece, 0);
            if (got <= 0) return;
            in.append(piece, static_cast<std::size_t>(got));
        }
        auto next = get(in, 0, 8);
        int number = ++asked;
        record.line("coordinator: connection %d asks for what follows event %llu", number,
                    static_cast<unsigned long long>(next));
        if (auto wait = slow_ms.load(); wait > 0) {
            pollfd far{fd, POLLIN, 0};
            if (::poll(&far, 1, static_cast<int>(wait)) > 0) {
                record.line("coordinator: connection %d was closed by the router before the first word",
                            number);
                return;
            }
        }
        std::int64_t empty_at = 0;
        while (generation == mine) {
            std::vector<std::string> due;
            std::uint64_t last;
            {
                std::lock_guard lock(mutex);
                last = base + events.size();
                for (auto i = next; i < last; i++) due.push_back(events.at(i - base));
            }
            for (auto& frame : due) {
                if (!write_all(fd, frame)) return;
                next++;
                record.line("coordinator: event %llu is told on connection %d",
                            static_cast<unsigned long long>(next), number);
            }
            if (now_ms() - empty_at >= 1000) {
                std::string frame;
                put(frame, 4, 9);
                put(frame, 8, last);
                put(frame, 1, 0);
                if (!write_all(fd, frame)) return;
                empty_at = now_ms();
            }
            sleep_ms(10);
        }
    }
    Record& record;
    const std::uint64_t base;
    std::mutex mutex;
    std::vector<std::string> events;
    std::atomic<int> generation{0};
    int listener = -1;
};

// ---- clients
// -----------------------------------------------------------------------------------------------

using Fields = std::map<std::string, std::string>;

inline void put_text(std::string& out, const std::string& text) {
    put(out, 4, text.size());
    out += text;
}

inline std::string framed(const std::string& message) {
    std::string out;
    put(out, 4, message.size());
    return out + message;
}

// One call of invoke, as a frame.
inline std::string invoke(std::int32_t seq, const Fields& fields, const std::string& body = "") {
    std::string out;
    put(out, 4, 0x80010001);
    put_text(out, "invoke");
    put(out, 4, static_cast<std::uint32_t>(seq));
    put(out, 1, 13);
    put(out, 2, 1);
    put(out, 1, 11);
    put(out, 1, 11);
    put(out, 4, fields.size());
    for (auto& [name, value] : fields) {
        put_text(out, name);
        put_text(out, value);
    }
    put(out, 1, 11);
    put(out, 2, 2);
    put_text(out, body);
    put(out, 1, 0);
    return framed(out);
}

inline std::string ping(std::int32_t seq) {
    std::string out;
    put(out, 4, 0x80010001);
    put_text(out, "ping");
    put(out, 4, static_cast<std::uint32_t>(seq));
    put(out, 1, 2);
    put(out, 2, 1);
    put(out, 1, 1);
    put(out, 1, 0);
    return framed(out);
}

struct Answered {
    enum class Kind { served, refused, failed, exception, pong } kind = Kind::exception;
    std::int32_t seq = 0;
    std::string body;
    Fields fields;
    bool good = false;
};

inline const char* word_of(Answered::Kind kind) {
    static const char* words[] = {"served", "refused", "failed", "exception", "pong"};
    return words[static_cast<int>(kind)];
}

class Client {
public:
    explicit Client(std::uint16_t port) : fd(connect_to(port)) {}
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    ~Client() {
        if (fd >= 0) ::close(fd);
    }
    bool connected() const { return fd >= 0; }
    bool write(const std::string& bytes) { return fd >= 0 && write_all(fd, bytes); }
    // The next answer within so long; nothing: none came, see ended().
    std::optional<Answered> read(std::int64_t within_ms) {
        auto until = now_ms() + within_ms;
        for (;;) {
            if (in.size() >= 4 && in.size() >= 4 + get(in, 0, 4)) {
                auto length = get(in, 0, 4);
                auto frame = in.substr(4, length);
                in.erase(0, 4 + length);
                return decode(frame);
            }
            auto left = until - now_ms();
            if (fd < 0 || over || left <= 0) return std::nullopt;
            pollfd far{fd, POLLIN, 0};
            if (::poll(&far, 1, static_cast<int>(left)) <= 0) continue;
            char piece[65536];
            auto got = ::recv(fd, piece, sizeof piece, 0);
            if (got <= 0)
                over = true;
            else
                in.append(piece, static_cast<std::size_t>(got));
        }
    }
    bool ended() const { return over || fd < 0; }     // the router has closed
    void stop() const { ::shutdown(fd, SHUT_RDWR); }  // a write that waits ends too

private:
    static Fields read_map(const std::string& in, std::size_t& at) {
        Fields fields;
        at += 2;
        auto count = get(in, at, 4);
        at += 4;
        for (; count > 0; count--) {
            auto name = text(in, at);
            fields[name] = text(in, at);
        }
        return fields;
    }
    static std::string text(const std::string& in, std::size_t& at) {
        auto length = get(in, at, 4);
        at += 4 + length;
        return in.substr(at - length, length);
    }
    static Answered decode(const std::string& in) {
        Answered answered;
        std::size_t at = 4;
        bool exception = (get(in, 0, 4) & 0xff) == 3;
        auto name = text(in, at);
        answered.seq = static_cast<std::int32_t>(get(in, at, 4));
        at += 4;
        if (exception) return answered;
        if (get(in, at, 1) == 0) return answered;
        auto id = get(in, at + 1, 2);
        at += 3;
        answered.kind = id == 1   ? Answered::Kind::refused
                        : id == 2 ? Answered::Kind::failed
                                  : (name == "ping" ? Answered::Kind::pong : Answered::Kind::served);
        while (auto type = get(in, at, 1)) {
            at += 3;
            if (type == 11)
                answered.body = text(in, at);
            else if (type == 13)
                answered.fields = read_map(in, at);
            else if (type == 2)
                answered.good = get(in, at++, 1) != 0;
        }
        return answered;
    }
    int fd;
    bool over = false;
    std::string in;
};

// ---- the router
// --------------------------------------------------------------------------------------------

// Settings like those of the smallest deployment of the first brief.
struct Site {
    // Of the classes: one with parts, one of pages, and one that runs at the origin and may not be repeated.
    std::string parts = "lesson-video", pages = "timetable-page", orders = "order-submit";
    std::int64_t drain_grace_ms = 2000, purge_grace_ms = 1000;
    std::string probes = "true", joins = "false";
    int memory_mb = 192, sockets = 1024;
    int routers = 1;
};

inline std::string entry_json(const Entry& entry) {
    static const char* zones[] = {"central", "school"};
    static const char* kinds[] = {"box", "parent", "origin"};
    static const char* states[] = {"in_service", "terminating", "terminated"};
    return "{\"id\":\"s-" + hex(entry.id, 8) + "\",\"addr\":\"127.0.0.1:" + std::to_string(entry.port) +
           "\",\"zone\":\"" + zones[entry.zone] + "\",\"kind\":\"" + kinds[entry.kind] +
           "\",\"cell\":" + std::to_string(entry.cell) + ",\"state\":\"" + states[entry.state] +
           "\",\"weight\":" + std::to_string(entry.weight / 1000) +
           ",\"started_ms\":" + std::to_string(entry.started_ms) + "}";
}

// Three classes: two that may be repeated, and one that may not and runs at the origin.
inline std::string configuration(const Site& site, const std::string& name, std::uint16_t listen,
                                 std::uint16_t coordinator, const std::vector<Entry>& entries) {
    std::string servers;
    for (auto& entry : entries) servers += (servers.empty() ? "" : ",\n ") + entry_json(entry);
    std::string text = R"({"name":"NAME","listen":"127.0.0.1:LISTEN","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":MEMORY,"sockets":SOCKETS},
"coordinator":"127.0.0.1:COORDINATOR","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
"known":{"index":1,"updates":[{"index":1,"endpoints":{"version":1,"full":true,"servers":[SERVERS]}}]},
"settings":{"balancers":ROUTERS,"index":0,"clients":{"marks_retry":true},"discovery":"push",
"domain_type":"edge",
"family_info":{"aged_worth":[0.7,0.7,0.7],"can_join":JOINS,"client_kb_per_s":7500.0,
"count_by_zone":[0,ROUTERS],
"direct":false,"fresh_for":[0,20000000,0],"grace_for":[0,0,0],"hub_of":[0,0],"in_parts":[true,false,false],
"link_in_kb_per_s":[0.0,62781.0],"master_kind":2,"notes_given":"hit","obey_after":OBEY,"origin_fall":3000000,
"origin_stops_at":0.0,"parent_cold":22000000,"parent_cold_from":0.073,"parent_limit_factor":2.0,
"pass_on":[false,false,true],"price_of_link":0.02,"purge_done":6000000,"shield_kind":1,"sideways":"off"},
"flavors":["box","parent","origin"],
"grades":[{"aim_stretch":1.6,"deadline":6000000,"dedup_scope":"all","effect":"retryable","importance":2.0,
"key_ttl":5000000,"late_value":0.15,"name":"PARTS","promise":500000,"stream":false},
{"aim_stretch":2.0,"deadline":3000000,"dedup_scope":"all","effect":"retryable","importance":1.0,
"key_ttl":5000000,"late_value":0.2,"name":"PAGES","promise":300000,"stream":false},
{"aim_stretch":2.0,"deadline":3000000,"dedup_scope":"all","effect":"fragile","importance":3.0,
"key_ttl":5000000,"late_value":0.2,"name":"ORDERS","promise":800000,"stream":false}],
"limits":{"attempts_cap":8,"cancel":true,"connect_timeout":400000,"cpu_us_per_request":0.0,
"cpu_us_per_s":500000,"keepalive":30000000,"max_open":20000,"max_retry_after":500000,"peers":false,
"probes":PROBES,"retry_after":true,"second_copies":true,"streams_per_conn":32},
"load_report":{"fields":["outstanding","x1"],"how":"inline"},"over_share_worth":0.1,"prices":{},
"safety":{"answer_slack":8000,"cold":18000000,"cold_from":0.22,"drain_grace":GRACE,"fall_multiple":3.0,
"must_ask_in":10000000,"overload_for":1000000},
"tenants":[],"tick":2000,"tier":0,"tiers":["boxes"],"weights":"nominal","worth_by":"request","zone":1,
"zones":["central","school"]}}
)";
    auto set = [&](const std::string& word, const std::string& value) {
        for (std::size_t at = 0; (at = text.find(word, at)) != std::string::npos; at += value.size())
            text.replace(at, word.size(), value);
    };
    set("NAME", name);
    set("LISTEN", std::to_string(listen));
    set("MEMORY", std::to_string(site.memory_mb));
    set("SOCKETS", std::to_string(site.sockets));
    set("COORDINATOR", std::to_string(coordinator));
    set("SERVERS", servers);
    set("ROUTERS", std::to_string(site.routers));
    set("OBEY", std::to_string(site.purge_grace_ms * 1000));
    set("GRACE", std::to_string(site.drain_grace_ms * 1000));
    set("PROBES", site.probes);
    set("JOINS", site.joins);
    set("PARTS", site.parts);
    set("PAGES", site.pages);
    set("ORDERS", site.orders);
    return text;
}

// The command `run` of the deploy file.
inline std::string run_line() {
    std::ifstream file("deploy/balancer.toml");
    std::string line;
    while (std::getline(file, line))
        if (line.rfind("run = \"", 0) == 0) return line.substr(7, line.rfind('"') - 7);
    std::fprintf(stderr, "deploy/balancer.toml has no line run\n");
    std::exit(could_not_run);
}

// One router, started from the root of the repository with the command of the deploy file.
class Router {
public:
    // `folder`: a temporary one, for its configuration and its log.
    Router(Record& record, const std::string& folder, const std::string& name)
        : record(record),
          name(name),
          config(folder + "/" + name + ".json"),
          log(folder + "/" + name + ".log") {
        ::close(listen_on_free_port(port));
    }
    void write(const std::string& text) const {
        std::ofstream(config + ".new") << text;
        std::rename((config + ".new").c_str(), config.c_str());
    }
    // Starts it and waits until it answers a ping with good.
    void start() {
        auto line = run_line() + options;
        pid = ::fork();
        if (pid > 0) started.push_back(pid);
        if (pid == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::setenv("PROXY_NAME", name.c_str(), 1);
            ::setenv("PROXY_LISTEN", ("127.0.0.1:" + std::to_string(port)).c_str(), 1);
            ::setenv("PROXY_CONFIG", config.c_str(), 1);
            if (!std::freopen(log.c_str(), "a", stderr)) std::_Exit(127);
            ::dup2(STDERR_FILENO, STDOUT_FILENO);
            ::execl("/bin/sh", "sh", "-c", line.c_str(), nullptr);
            std::_Exit(127);
        }
        record.line("router %s: started, process %d, at 127.0.0.1:%d", name.c_str(), pid, port);
        for (auto until = now_ms() + 10'000; now_ms() < until; sleep_ms(50)) {
            Client client(port);
            if (!client.write(ping(1))) continue;
            if (auto answer = client.read(500); answer && answer->good) {
                record.line("router %s: ready", name.c_str());
                return;
            }
        }
        finish(record, could_not_run, "the router is not ready after 10 s");
    }
    void signal(int number) const { ::kill(pid, number); }
    bool running() const { return ::waitpid(pid, nullptr, WNOHANG) == 0; }

    Record& record;
    std::string options;  // behind the command
    const std::string name, config, log;
    std::uint16_t port = 0;
    pid_t pid = -1;
};

}  // namespace stand
