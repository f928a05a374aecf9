// A small world round one real router, on loopback: boxes that answer over HTTP, a coordinator, and clients
// that ask at a steady rate over framed Thrift and count their final answers. It observes from outside: what
// it counts, the router has no part in. One thread of its own; every call may come from any thread.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace quillgrade::rig {

using Micros = std::int64_t;
Micros unix_now();

struct Totals {
    std::uint64_t asked = 0, handled = 0, rejected = 0, broken_off = 0;
    std::uint64_t without_one_final =
        0;                         // none in time, or more than one; counted once a lookup's time is up
    std::uint64_t late_sends = 0;  // requests at a box past its grace
    std::uint64_t sends = 0;       // requests at boxes, in all
    std::uint64_t late_named = 0;  // requests that went to, or named as their source, a server past its grace
    std::uint64_t older = 0;       // requests that would take a copy from before a purge past its grace
    std::uint64_t excused = 0;     // without one final too, but excused: see excuse_open() and excuse_from()
    std::uint64_t late = 0;        // final answers over 50 ms late that allow_lateness() lets count
    std::uint64_t effects_twice = 0;      // non-idempotent requests that came whole to a box a second time
    std::uint64_t after_client_left = 0;  // requests at boxes, too long after their client had gone
    Micros longest_gap = 0;               // in which the observer itself, clients and boxes, did not run
};

// A request that was not excused and did not get exactly one final answer in time.
struct LostRequest {
    enum class How { NoAnswer, LateAnswer, SecondAnswer };
    How how;
    int router_port;
    Micros asked, due;
};

class World {
public:
    World();
    World(const World&) = delete;
    World& operator=(const World&) = delete;
    ~World();

    // A box at 127.0.0.1 that answers after so long; gives its place. `bytes`: of each answer.
    int add_box(Micros delay = 2000, std::size_t bytes = 100);
    int port_of_box(int box) const;
    void set_delay(int box, Micros delay);
    // From `at` on nothing may be sent to it: later requests are counted. 0: allowed again.
    void forbid(int box, Micros at);
    std::uint64_t sends_to(int box) const;
    // From now on each request that goes to the server of this id, or names it as its source, is noted with
    // its time. Boxes have the ids 1, 2, …
    void watch(std::uint64_t id);
    std::vector<Micros> seen_at(std::uint64_t id) const;
    // Nothing may go to it or name it after `at`; 0: allowed again.
    void forbid_server(std::uint64_t id, Micros at);
    // What was purged at `at`: between `from` and `until` no request may take a copy from before. 0: the
    // group.
    void forbid_older(std::uint64_t object, Micros at, Micros from, Micros until);
    // What boxes say in X-Tell: HIT, or MISS as where the source was asked.
    void note(const std::string& word);
    std::vector<std::string> take_heads(int box);  // the last thousand requests since it was called last

    // The coordinator: events are JSON-free frames, as its protocol has them.
    int coordinator_port() const;
    void tell(std::uint64_t number, int kind, const std::string& payload);

    // Clients that ask the router `per_s` lookups a second over `connections` connections, from now on.
    // `wait`: a client's patience. 0 per second: none any more.
    void ask(int router_port, double per_s, int connections = 8, Micros wait = 2'000'000,
             std::uint32_t host = 0x7f000001);
    // The same beside the others that are asked already; 0 per second: that one no more.
    void ask_also(int router_port, double per_s, int connections, Micros wait, std::uint32_t host);
    // Whether clients of this router make new connections; they go on using those that are open.
    void let_connect(int router_port, bool allowed);
    // What is or will be asked on the connections that are open now counts as excused where it is lost: the
    // router is about to be killed without a warning.
    void excuse_open(int router_port);
    // The same for what is asked of this router from that time on; 0: nothing.
    void excuse_from(int router_port, Micros from);
    // Answers may come so long after the client's time and count as one final answer all the same; those that
    // come over 50 ms late are counted as late. 50 ms at first.
    void allow_lateness(Micros lateness);
    // From now on a request that has come to a box was taken by its router: a connection that ends under it
    // is no crossing, however young the request is.
    void hold_forwarded_as_taken();
    // So many requests at once, as many as clients' connections take; no more than a second's.
    void ask_now(int router_port, int count);
    // Lost requests since the last call.
    std::vector<LostRequest> take_lost();
    // The client of this request (its 16 hex digits) has gone: no attempt may come to a box much later.
    void client_left(const std::string& id, Micros at);
    // Whether a box resets the connection of each request instead of answering.
    void set_resetting(int box, bool resets);
    // Whether the coordinator sends anything, and whether it takes connections.
    void coordinator_silent(bool silent);
    void coordinator_gone(bool gone);
    // A field that clients tell, its values in turn; none: it is not told.
    void say(const std::string& field, const std::vector<std::string>& values);
    // Objects are asked for in turn from so many; 997 at first.
    void objects(std::uint64_t count);
    // No new lookups; returns once the time of all that are out is up.
    void finish();
    Totals totals() const;
    // How long each handled lookup took since the last call, microseconds.
    std::vector<Micros> take_times();

private:
    struct Inner;
    std::unique_ptr<Inner> inner;
};

// What memory may grow by chance, MB. The address sanitizer keeps what is freed for a while.
#if defined(__SANITIZE_ADDRESS__)
inline constexpr double growth_by_chance_mb = 150;
#else
inline constexpr double growth_by_chance_mb = 2;
#endif

// The q-th quantile, 0 where there is nothing.
double quantile(std::vector<Micros> values, double q);

// A router as a child process, its log read through a pipe into memory.
class Router {
public:
    // `words`: the command line after the program. `config`: the file that PROXY_CONFIG names.
    // `environment`: further variables.
    Router(const std::string& program, const std::string& config, const std::vector<std::string>& words = {},
           const std::vector<std::pair<std::string, std::string>>& environment = {});
    Router(const Router&) = delete;
    Router& operator=(const Router&) = delete;
    ~Router();
    int pid() const { return process; }
    // True once the log holds `wanted`; false after `seconds`, or when the program has ended without it.
    bool says(const std::string& wanted, double seconds = 10);
    std::string log();
    std::string take_log();  // what came since the last call; what was taken is not in log() any more
    bool ended();            // it has, and wait() will not wait
    void signal(int number);
    int wait();             // its exit code, -1 where it was killed
    double rss_mb() const;  // resident memory now
    double cpu_seconds() const;

private:
    void read(int ms);
    int process = -1, from = -1;
    std::string text;
};

// The configuration of a router that stands between a World's parts, with `zones` zones of which it serves
// the second; `boxes`: ports that the coordinator's first list names, as ids 1, 2, …
std::string config_of(int listen_port, int coordinator_port, const std::vector<int>& boxes, int zones = 2,
                      int memory_mb = 192, int sockets = 1024);
int free_port();

}  // namespace quillgrade::rig
