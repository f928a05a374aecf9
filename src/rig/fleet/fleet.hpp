// Several processes of the real program on loopback, with what they need: boxes, a coordinator, clients, a
// relay of datagrams between them, a clock that can be moved. It observes from outside: by the datagrams that
// pass, by what boxes and clients see, and by the view that each router logs.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "rig/fleet/datagrams.hpp"
#include "rig/relay.hpp"
#include "rig/world.hpp"

namespace quillgrade::rig {

// What one router logged of another.
struct Logged {
    Micros at;  // when the observer read it
    int observer, subject;
    std::string before, after;
    int by;  // -1: a time ran out
};

class Fleet {
public:
    struct Wanted {
        std::string program;  // the router
        std::string clock;    // the library that moves its clock, empty: none
        int routers = 3, zones = 1;
        std::uint64_t seed = 1;
        std::string operate;  // the operators' file, its text
        int parents = 0;      // ids 101, 102, …, and an origin with the id 201
        Micros cold = 0;      // how long parents and boxes are cold; 0: 3 s
        std::vector<std::pair<std::string, std::string>> environment{};
    };
    explicit Fleet(const Wanted& wanted);
    ~Fleet();
    Fleet(const Fleet&) = delete;
    Fleet& operator=(const Fleet&) = delete;

    int routers() const { return static_cast<int>(all.size()); }
    void start(int router);
    void kill(int router);           // SIGKILL
    void term(int router);           // SIGTERM; it goes on until it ends by itself
    void stop(int router);           // SIGSTOP
    void go_on(int router);          // SIGCONT
    bool runs(int router) const;     // started, not ended and not stopped
    bool started(int router) const;  // started and not ended
    int exit_code(int router) const { return all[static_cast<std::size_t>(router)].exit_code; }
    Micros changed_at(int router) const;  // when it was last started, ended, stopped or continued
    // Its clock from now on: that much off the true one, standing still or not.
    void clock(int router, Micros off, bool stands);
    void disturbed(int router) { all[static_cast<std::size_t>(router)].changed = unix_now(); }
    void boxes(int router, bool cut);        // whether it reaches its boxes
    void coordinator(int router, bool cut);  // and the coordinator
    // Clients' lookups a second to this router; 0: none any more.
    void lookups(int router, double per_s);
    World& outside() { return world; }
    // The coordinator tells all routers that hear it, now: a server's state (0 ready, 1 draining, 2 gone) and
    // start, Unix milliseconds; a purge.
    struct Told {
        std::uint64_t id;
        int state = 0;
        std::int64_t started_ms = 0;
        double rating = 4;
    };
    void tell(const Told& server);
    std::int64_t started_ms(std::uint64_t id) const;     // as told last, 0: never
    Micros tell_purge(std::uint64_t object, int group);  // gives its time
    static constexpr std::uint64_t first_parent = 101, origin = 201;
    // Stops itself right before its next request that needs a right is written (a router built with flaws
    // only).
    void stop_before_write(int router);
    bool stopped_itself(int router) const;
    void call_off_stop(int router);
    void has_stopped(int router);  // by itself, as is seen: from now on it counts as stopped
    Totals totals();
    std::vector<Micros> lookup_times() { return world.take_times(); }
    void finish_lookups() { world.finish(); }

    Datagrams& datagrams() { return *relay; }
    // Reads what the routers have logged; to be called often. What is new is kept in `logged`.
    void read();
    std::vector<Logged> logged;
    // By observer and subject: the last state logged, "unknown" before.
    const std::string& view(int observer, int subject) const;
    bool told_cut(int observer, int speaker, int listener) const;
    bool told_ill(int observer, int subject) const;
    std::string log(int router) const { return all[static_cast<std::size_t>(router)].log; }
    double rss_mb(int router) const;
    double cpu_seconds(int router) const;

private:
    struct One {
        std::unique_ptr<Router> process;
        std::unique_ptr<Relay> to_coordinator;
        std::vector<std::unique_ptr<Relay>> to_boxes;
        std::string config, log;
        std::size_t read = 0;
        int starts = 0, exit_code = -2;
        bool stopped = false;
        Micros changed = 0;
        std::map<int, std::string> view;
        std::map<std::pair<int, int>, bool> cuts;
        std::map<int, bool> ill;
        void* clock = nullptr;  // shared with the process
        std::string clock_file;
    };
    void line(int observer, const std::string& text);
    std::string config_of_router(int router);

    Wanted wanted;
    std::string folder;
    std::uint64_t told = 1;  // events of the coordinator so far
    std::map<std::uint64_t, std::int64_t> starts;
    World world;
    std::unique_ptr<Datagrams> relay;
    std::vector<One> all;
};

}  // namespace quillgrade::rig
