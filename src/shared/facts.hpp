// What the coordinator told any router of the tier: drains and ends of servers, and purges. Each is a fact
// that only ever narrows, and that is joined without order, so it may come late, twice, and by many ways.
//
//   of            known by            newer is                            over
//   a server      its id              the later start; of one start,    when this router's own list has said
//                                     gone after draining               otherwise for `contradicted`, see
//                                     below
//   a purge       object or group     the later time                    when no older copy can be left
//
// The numbers of events differ between routers, so none is passed on. The join is the maximum by an order
// that is total (tests/shared_test.cpp tries every triple of a small domain).
//
// What it promises:
//   - A fact closes a server, or bounds the age of a copy. It never adds a server, nor opens one.
//   - What was heard of a server's process does not touch its next one, told by a later start.
//   - A router that hears its own coordinator goes by its own list again after `contradicted`: a drain that
//   was
//     taken back, or a lie, costs that long. One that does not hear it keeps what it was told.
//   - At most `most` facts; past that what was heard from others is refused, and counted.
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

enum class FactSubject : std::uint8_t { Server, Object, Group };

struct Fact {
    FactSubject subject = FactSubject::Server;
    std::uint64_t key = 0;          // the server's id, the object, the group
    std::uint64_t time = 0;         // Unix milliseconds: the server's start, 0 long past; when the purge was
    bool gone = false;              // of a server: it has gone; else it is draining
    std::uint64_t first_heard = 0;  // Unix milliseconds at which a router first heard it
    bool operator==(const Fact&) const = default;
};
// Whether `one` says more than `other`, which is about the same.
bool supersedes(const Fact& one, const Fact& other);
inline const Fact& join(const Fact& held, const Fact& told) { return supersedes(told, held) ? told : held; }

class ReplicatedFacts {
public:
    // How long a purge matters after its time, and how often each fact is told: as for news of the
    // membership.
    ReplicatedFacts(Micros purge_done, int routers);

    static constexpr std::size_t max_facts = 2048;
    static constexpr RouterIndex no_router = -1;
    static constexpr Micros contradiction_timeout =
        8'000'000;  // what is told counts after 7 s whether it came or not
    static constexpr Micros gossip_lifetime = 60'000'000;  // from birth
    static constexpr Micros max_clock_skew = 5'000'000;    // later purges than that are no purges

    // A list as this router's own sources have it: what it says of drains and ends is learned, and it is
    // narrowed by what was heard.
    feed::Listing apply_listing(feed::Listing told, Micros now);
    void record_purge(const feed::PurgeNotice& notice, Micros now);
    // From another router, `from`. True where it is news.
    bool receive(const Fact& fact, Micros now, RouterIndex from = no_router);
    // `live`: since when this router hears its own coordinator without a break, 0: it does not. What has
    // changed for the router since the last call: servers that are closed or open again, and purges.
    struct Changes {
        feed::Listing listing;
        std::vector<feed::PurgeNotice> purges;
        int closed = 0, opened = 0;     // servers, by what others have heard
        std::vector<CacheId> reopened;  // by a list: it tells of another process than what was heard
    };
    Changes tick(Micros live, Micros now);

    bool has_unsent() const;  // some that fewer than three were told yet
    // To tell router `to`; they count as told. What `to` itself told first is left out, and doesn't count.
    std::vector<Fact> next_to_send(std::size_t max_count, Micros now, RouterIndex to = no_router);
    void restore_unsent(const Fact& fact);  // there was no room for it after all
    // A hash of all that should be known everywhere by now, and facts in turn for one who knows otherwise.
    std::uint32_t digest(Micros now) const;
    std::vector<Fact> next_in_rotation(std::size_t max_count, Micros now);

    const Fact* find(FactSubject about, std::uint64_t key) const;
    std::size_t size() const { return facts.size(); }
    std::uint64_t refused() const { return seen_refused; }

private:
    using Key = std::pair<FactSubject, std::uint64_t>;
    struct Known {
        Fact fact;
        bool own = false;                // this router's own coordinator says so too
        bool lapsed = false;             // its own list says otherwise, and has the word
        bool to_do = false;              // to be told to the router
        RouterIndex teller = no_router;  // who was heard saying it first; no_router: the own coordinator
        int passed_over = 0;             // datagrams to the teller that left it out
        Micros heard = 0;                // when it became what it is, here
        int left = 0;                    // times to tell; above 0 it stands in `waiting`
        std::uint64_t order = 0;         // later ones became what they are later
    };
    // To tell: the last one first, which was told least often and, of those told as often, is the newest.
    struct Waiting {
        int left;
        std::uint64_t order;
        Key key;
        bool operator<(const Waiting& other) const {
            return std::tie(left, order, key) < std::tie(other.left, other.order, other.key);
        }
    };
    using Place = std::map<Key, Known>::iterator;
    struct Entry {
        feed::Endpoint told;  // as the own list has it
        EndpointState shown;  // as the router was told
    };
    Known* enter(const Fact& told, bool own, Micros now);
    void set_left(const Key& key, Known& known, int left);  // keeps `waiting` in step
    // The indexes by age and by end, before a fact changes or goes, and after it has changed.
    void take_out(const Key& key, Known& known);
    void put_in(const Key& key, Known& known);
    Place forget(Place place);
    void forget_what_is_over(Micros now);
    std::uint64_t end_of(const Fact& purge) const;  // Unix milliseconds past which it matters no more
    void own(CacheId id, std::uint64_t start, EndpointState listed, Micros now);
    EndpointState narrowed(const Entry& entry, Micros live, Micros now);
    bool last_of_its_role(const Entry& entry) const;
    static bool current(const Known& known, Micros now);

    Micros purge_done;
    int times;
    std::map<Key, Known> facts;
    std::map<CacheId, Entry> servers;
    std::set<Waiting> waiting;
    std::map<std::uint64_t, Key> by_order;               // the one heard first at the beginning
    std::set<std::pair<std::uint64_t, Key>> purge_ends;  // by their end
    std::vector<Key> untold_purges;                      // heard from others, for the router
    std::uint64_t last_order = 0;
    Key turn{};
    std::uint64_t seen_refused = 0;
    std::vector<CacheId> reopened;
    Micros heard_live = 0;
};

}  // namespace quillgrade::shared
