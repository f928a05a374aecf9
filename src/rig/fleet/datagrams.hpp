// A relay for datagrams between routers on loopback. Every router reaches router j at door(j); what comes
// there is passed on to where j listens, from door(sender), so that each sees the addresses its own list
// names. Between, each ordered pair has its own loss, delay, doubling and cut; datagrams overtake one another
// as delays have it. One thread of its own; every call may come from any thread.
#pragma once

#include <netinet/in.h>

#include <atomic>
#include <boost/random/mersenne_twister.hpp>
#include <cstdint>
#include <map>
#include <mutex>
#include <queue>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace quillgrade::rig {

struct Passage {
    double loss = 0;                // share of datagrams
    int least_ms = 0, most_ms = 0;  // delay
    double late = 0;                // share that takes a second more
    double twice = 0;               // share that comes twice
};

class Datagrams {
public:
    // `network`: the third byte group of 127.x.y.0, of its own for each fleet on a machine.
    Datagrams(int routers, std::uint32_t network, std::uint64_t seed);
    ~Datagrams();
    Datagrams(const Datagrams&) = delete;
    Datagrams& operator=(const Datagrams&) = delete;

    std::string door(int router) const;    // what other routers call it
    std::string listen(int router) const;  // where it listens itself, an address that no other has
    const sockaddr_in& address(int router) const { return listen_at[static_cast<std::size_t>(router)]; }
    void set_all(const Passage& all);  // of all pairs; cuts stay
    void cut(int from, int to, bool yes);
    // Sends straight to where the router listens, from an address that no list names; or, `as` not -1, from
    // the door of that router.
    void throw_in(int router, const std::string& bytes, int as = -1);

    struct Seen {
        std::uint64_t datagrams = 0, bytes = 0, longest = 0, lost = 0;
        double most_bytes_per_s = 0;  // of one router over any ten seconds
    };
    Seen seen() const;
    std::uint64_t sent_by(int router) const;  // bytes

private:
    struct Due {
        std::int64_t at;
        std::uint64_t order;
        int from, to;
        std::string bytes;
        bool operator<(const Due& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };
    void run();
    void arrived(int door, const sockaddr_in& source, const std::string& bytes, std::int64_t now);

    std::vector<int> doors;
    std::vector<sockaddr_in> door_at, listen_at;
    std::map<std::uint64_t, int> by_source;
    mutable std::mutex lock;
    Passage passage;
    std::map<std::pair<int, int>, bool> cuts;
    boost::random::mt19937 chance;
    std::priority_queue<Due> queue;
    std::uint64_t order = 0;
    Seen counts;
    std::vector<std::uint64_t> by_router;
    std::vector<std::vector<std::uint32_t>> by_second;  // bytes, by router and second since the start
    std::int64_t begun;
    int stranger = -1;
    std::atomic<bool> over{false};
    std::thread thread;
};

}  // namespace quillgrade::rig
