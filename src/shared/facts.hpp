// Facts that any router of the tier heard from its coordinator, replicated to all of them: servers that drain
// or have gone, and purges. Each fact only ever narrows what a router may use, and facts are joined in any
// order, so that one may arrive late, twice, and by several routes.
//
//     a fact about    identified by       a newer fact has               it is dropped when
//     a server        its id              a later start of the server;   this router's own list has
//                                         of one start, gone is newer    contradicted it for
//                                         than draining                  `contradiction_timeout`
//     a purge         object or group     a later time                   no older copy can be left
//
// Event numbers differ between routers, so they are not replicated. The join is the maximum by a total order
// (tests/shared_test.cpp checks every triple of a small domain).
//
//     ReplicatedFacts facts(purge_done, routers);
//     listing = facts.apply_listing(listing, now);     // a list of this router's own coordinator
//     facts.receive(fact, now, from);                  // from another router
//     auto changes = facts.tick(live_since, now);      // what follows for the routing module
//     for (auto& fact : facts.next_to_send(10, now, to)) send(to, fact);
//
// Contract:
//   - A fact closes a server, or bounds the age of a copy. It never adds a server, and never opens one.
//   - What was received about a server's process does not affect its next process, which has a later start.
//   - A router that hears its own coordinator follows its own list again after `contradiction_timeout`, so a
//     drain that was taken back, or a false fact, has effect for that long. A router that does not hear its
//     coordinator keeps what it received.
//   - At most `max_facts` are held. Beyond that, facts from other routers are refused and counted.
//
// `now` is Unix time in microseconds; durations are microseconds. Not thread-safe. No I/O.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <utility>
#include <vector>

#include "control.hpp"
#include "feed/event.hpp"
#include "peers/member_state.hpp"

namespace quillgrade::shared {

using peers::RouterIndex;

// The values are part of digest(), which routers compare. Servers sort before purges.
enum class FactSubject : std::uint8_t { Server, Object, Group };

struct Fact {
    FactSubject subject = FactSubject::Server;
    std::uint64_t key = 0;          // the id of the server, the object, or the group
    std::uint64_t time = 0;         // Unix milliseconds: the purge, or the server's start, 0 for long past
    bool gone = false;              // of a server: true if it has gone, false if it is draining
    std::uint64_t first_heard = 0;  // Unix milliseconds at which any router first heard it
    bool operator==(const Fact&) const = default;
};
// Whether `one` is newer than `other`, a fact about the same subject and key.
bool supersedes(const Fact& one, const Fact& other);
inline const Fact& join(const Fact& held, const Fact& received) {
    return supersedes(received, held) ? received : held;
}

class ReplicatedFacts {
public:
    // `purge_done`: how long after its time a purge can matter. The number of times that each fact is sent
    // grows with the logarithm of `routers`, as for changes of the membership.
    ReplicatedFacts(Micros purge_done, int routers);

    static constexpr std::size_t max_facts = 2048;
    static constexpr RouterIndex no_router = -1;
    // Longer than the 7 s after which an announcement is in force, whether it has arrived or not.
    static constexpr Micros contradiction_timeout = 8'000'000;
    static constexpr Micros gossip_lifetime = 60'000'000;  // since the fact was first heard
    static constexpr Micros max_clock_skew = 5'000'000;    // purges further in the future are ignored

    // Learns the drains and ends in a list of this router's own coordinator, and returns the list with the
    // servers closed that other routers report as draining or gone.
    feed::Listing apply_listing(feed::Listing listing, Micros now);
    void record_purge(const feed::PurgeNotice& notice, Micros now);
    // Takes a fact from another router, `from`. Returns true where it is new.
    bool receive(const Fact& fact, Micros now, RouterIndex from = no_router);
    // What has changed for the routing module since the last call.
    struct Changes {
        feed::Listing listing;  // servers that are closed, or open again
        std::vector<feed::PurgeNotice> purges;
        int closed = 0, opened = 0;     // servers, because of what other routers reported
        std::vector<CacheId> reopened;  // opened by a list with another process than the reported one
    };
    // `live_since`: since when this router hears its own coordinator without a break, 0: it does not.
    Changes tick(Micros live_since, Micros now);

    // Whether there are facts that were sent fewer than three times.
    bool has_unsent() const;
    // The facts to send to router `to`, which count as sent. A fact that was first received from `to` is left
    // out up to three times, which does not count.
    std::vector<Fact> next_to_send(std::size_t max_count, Micros now, RouterIndex to = no_router);
    // Takes back that a fact was sent, as there was no room for it.
    void restore_unsent(const Fact& fact);
    // A hash of all facts that every router should hold by now, for anti-entropy.
    std::uint32_t digest(Micros now) const;
    // Facts in rotation, for a router whose digest differs.
    std::vector<Fact> next_in_rotation(std::size_t max_count, Micros now);

    const Fact* find(FactSubject subject, std::uint64_t key) const;
    std::size_t size() const { return records.size(); }
    std::uint64_t refused() const { return refused_count; }

private:
    using Key = std::pair<FactSubject, std::uint64_t>;
    struct Record {
        Fact fact;
        bool own = false;            // this router's own coordinator says so too
        bool lapsed = false;         // contradicted by this router's own list, which takes precedence
        bool purge_pending = false;  // a purge that the routing module has not been told yet
        RouterIndex first_sender = no_router;  // from whom it was first received; no_router: own coordinator
        int times_withheld = 0;                // datagrams to `first_sender` that left it out
        Micros updated_at = 0;
        int sends_left = 0;          // above 0 it is in `send_queue`
        std::uint64_t sequence = 0;  // grows with each update of any record
    };
    // The last entry is sent next: the fact that was sent least often and, among those, the newest.
    struct QueueEntry {
        int sends_left;
        std::uint64_t sequence;
        Key key;
        bool operator<(const QueueEntry& other) const {
            return std::tie(sends_left, sequence, key) <
                   std::tie(other.sends_left, other.sequence, other.key);
        }
    };
    using Iterator = std::map<Key, Record>::iterator;
    struct ListedServer {
        feed::Endpoint endpoint;  // as in this router's own list
        EndpointState reported;   // as the routing module was told last
    };
    Record* insert_or_update(const Fact& received, bool own, Micros now);
    void set_sends_left(const Key& key, Record& record, int sends_left);  // updates `send_queue` too
    // Update the indexes by sequence and by expiry, before a record changes or is erased, and after a change.
    void remove_from_indexes(const Key& key, Record& record);
    void add_to_indexes(const Key& key, Record& record);
    Iterator erase(Iterator position);
    void erase_expired(Micros now);
    std::uint64_t expiry_ms(const Fact& purge) const;  // Unix milliseconds
    void learn(CacheId id, std::uint64_t start, EndpointState listed, Micros now);
    EndpointState effective_state(const ListedServer& server, Micros live_since, Micros now);
    bool is_last_of_its_role(const ListedServer& server) const;
    static bool is_current(const Record& record, Micros now);

    Micros purge_done;
    int sends_per_fact;
    std::map<Key, Record> records;
    std::map<CacheId, ListedServer> servers;
    std::set<QueueEntry> send_queue;
    std::map<std::uint64_t, Key> by_sequence;                // the least recently updated first
    std::set<std::pair<std::uint64_t, Key>> purge_expiries;  // the earliest first
    std::vector<Key> pending_purges;  // from other routers, to be told to the routing module
    std::uint64_t last_sequence = 0;
    Key rotation_cursor{};
    std::uint64_t refused_count = 0;
    std::vector<CacheId> reopened;
    Micros coordinator_live_since = 0;
};

}  // namespace quillgrade::shared
