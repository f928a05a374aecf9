// The interface of the decision module (src/control.cpp) and the state it keeps, as plain types.
// Everything here only names things: each decision, table bound and tuned value is in control.cpp.
#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace quillgrade {

using Micros = std::int64_t;
using LookupId = std::uint64_t;
using ObjectId = std::uint64_t;
using CacheId = std::uint64_t;  // the six bytes of the wire, unaltered

enum class Effect { Rerunnable, Ticketed, Exclusive };
enum class Group { All, Zone, Cell };
enum class Outcome { Error, Ok, Full, Timeout, Unconnected, Reset, Cancelled, Moot, Miss };
enum class Note {
    None,
    Hit,
    Filled,
    FilledByOrigin,
    Joined,
    Old,
    SourceRefused,
    SourceLost,
    SourceLacks,
    NoPlace,
    OriginFailed
};
enum class Final { None, Rejected, BrokenOff };
enum class Listed { Ready, Gone, Draining };
enum class NotesTold { All, Hit, None };

// What the start-up message states of one traffic type.
struct TrafficFacts {
    Micros goal;
    double goal_stretch;
    Effect effect;
    Group group;
    Micros window, fresh;
    bool write;
};

// The bounds that the site sets to decisions, used as they are stated.
struct Bounds {
    int zone = 0, parent_kind = -1, origin_kind = -1, transmissions_cap = 1;
    int link_use_at = -1;  // where a cache's load report tells how full the location's link is, -1: nowhere
    bool second_copies = false, withdraw = false, probes = false, joins = false, direct = false;
    bool ratings_are_links = false;
    NotesTold notes = NotesTold::None;
    double cold_from = 0, cold_multiple = 0, parent_cold_from = 0, parent_multiple = 0;
    Micros cold = 0, cold_window = 0, parent_cold = 0, purge_done = 0, most_retry_after = 0;
};

// What the start-up message states of the site; read once, by Router's constructor.
struct SiteFacts : Bounds {
    std::vector<TrafficFacts> traffic;
    int routers;
    std::vector<int> routers_by_zone;
    bool retry_after, list_must_be_asked;
    double kb_per_s;
};

struct ListEntry {
    CacheId id;
    Listed listed;
    double rating;
    int kind, cell, zone;
    Micros started;  // 0: long past
};

struct LoadReport {
    int count = 0;
    std::array<float, 4> values{};
};

struct LookupFacts {
    LookupId id;
    int traffic;
    ObjectId object;
    Micros due;
    double kbytes;  // 0 where not told
    int group, part;
    bool repeat, write;
    // What rules have narrowed.
    ObjectId wire_object = 0;    // that purges name, where `object` is a key made of it; else 0
    int most_transmissions = 0;  // 0: as the site has it
    bool no_copies = false;
    std::shared_ptr<const std::vector<CacheId>> among = nullptr;  // sorted; null or empty: all caches
    double elsewhere = 0;  // routers of the location that have asked for it too, as far as is told
};

struct AttemptEnd {
    Outcome outcome;
    Micros lag, waited;
    int round;
    Note note;
    bool closed;
    CacheId cache;
    LoadReport load;
};

// One transmission, with the orders for a miss.
struct Transmission {
    CacheId cache, source;
    int rank;
    Micros oldest, limit;
    bool join, renew, held_only;
};

// What a call on a handle answers: at most one transmission and at most one final answer.
struct Answer {
    std::vector<int> withdraw;  // rounds to stop waiting for
    std::optional<Transmission> send;
    Final final = Final::None;
    Micros come_back = 0;  // advice to a rejected client, 0: none
    Micros look_in = 0;    // when to call look() next, from now, 0: never
};

// What a call that is not about one lookup answers.
struct Upkeep {
    std::vector<CacheId> probe;
    std::vector<std::string> log;
    Micros look_in = 0;
    bool subscribe = false;
};

// The last few samples of something, oldest first.
struct Sample {
    Micros at;
    double value;
    CacheId with = 0;  // the other server that took part, 0: none
};
// Nothing is set aside for one that is empty: a router that knows thousands of caches measures few of them.
struct Samples : std::vector<Sample> {
    using std::vector<Sample>::vector;
    void pop_front() { erase(begin()); }
};

struct InFlight {
    LookupId lookup;
    int round, traffic;
    Micros sent, expected, work;
};

// What other routers say of a server, weighed: samples, the share of them that failed, and how many times as
// slow as its peers it is.
struct Hearsay {
    double samples = 0, bad = 0, slow = 0;
};
// What this router says of a server that stands out by few samples already.
struct Testimony {
    CacheId server;
    Micros started;
    double samples, bad, slow;
};

struct Server {
    CacheId id = 0;
    Listed listed = Listed::Ready;
    double rating = 1;
    int kind = 0, cell = 0, zone = 0;
    Micros started = 0;
    Micros last_sound = 0;  // when it last answered anything
    Micros last_trial = 0;  // when it was last tried while out of favour
    Micros last_probe = 0;
    Micros unreached_at = 0;  // since when it could not be reached, 0: it can
    Micros back_since = 0;    // when it answered again after it could not be reached
    bool out_of_favour = false;
    mutable Micros judged_at = 0;  // when it was last compared with its peers
    mutable const char* judged = nullptr;
    std::vector<InFlight> in_flight;
    Samples gaps;        // between answers, while something was due
    Samples verdicts;    // 1 a failure, 0 a good answer
    Samples slowness;    // time taken by hits over their sending time
    Samples link_use;    // of the location's link, as reported: above 1 it is shared out
    Samples room;        // what hits used of the room between sending and goal time
    Samples finished;    // sending time answered
    Samples first_byte;  // of a source
    Samples spent;       // sending time sent while cold
    Hearsay hearsay;
    // Where the routers share the cold budget: the sending time that this one may send now, used up by what
    // it sends. Below 0: they don't, and each takes its part of the whole.
    double right = -1;
    mutable double wanted = 0,
                   wanted_once = 0;  // sending time that was looked for while cold, and of one lookup
    Samples returned;                // sent by a right, and the server was never asked
};

struct CountedName {
    std::uint32_t asked = 0;
    bool kept = false;
    Micros sending = 0;  // of one part, told or else the quickest seen; 0: not known
};

struct RoundOut {
    CacheId cache, source;
    Micros sent, work;
    bool out = true, may_have_run = true;
    Micros cache_since = 0,
           source_since = 0;  // since when each was cold when this was decided, 0: it was warm
    Micros spent_at = 0;      // the time that its work counts from
};

struct Held {
    LookupFacts facts{};
    Micros taken = 0, goal = 0, sending = 0;
    bool keep = false, done = false, moving = false, look_only = false, held_only = false;
    std::vector<RoundOut> rounds{};
    std::vector<CacheId> failed_at{}, failed_from{};
};

struct Traffic {
    Micros goal, fresh, window;
    double goal_stretch;
    Effect effect;
    Group group;
    bool write;
    Samples sizes;             // sending times, told or else seen
    Samples extra;             // time taken past the sending time
    Samples answered, filled;  // sending times
    Samples fill_room;         // what fills used of their room, 1 where they failed
};

struct Purge {
    Micros at, until;
};

struct Random {
    std::uint64_t state = 0;
    std::uint32_t next();
    double unit();
};

class Router;

// A lookup that was taken. All that happens to it later is a call on its handle.
class Handle {
public:
    Handle(Router& router, Held& held) : router(router), held(held) {}
    Answer place(Micros now);                            // the first transmission, or a final answer
    Answer ended(const AttemptEnd& end, Micros now);     // one transmission ended
    Answer accepted(int round, Micros lag, Micros now);  // a streamed answer has begun
    Answer look(Micros now);                             // the time asked for by look_in has come
    Answer left();                                       // the client went away
    // Asked when the first byte of a transmission can be written, which may be long after it was decided:
    // false if it must not go out any more. Brings the age that will do up to date.
    bool confirm(int number, Transmission& order, Micros now);

    Router& router;
    Held& held;
};

class Router : public Bounds {
public:
    Router(const SiteFacts& site, std::uint64_t seed);
    Handle take(const LookupFacts& facts, Micros now);
    std::optional<Handle> find(LookupId id);  // empty once nothing of it is left
    void list(const std::vector<ListEntry>& entries, bool complete, Micros now);
    void list_failed();
    void purged(ObjectId object, int group, Micros how_old, Micros now);
    void probed(CacheId id, Outcome outcome, Micros lag, const LoadReport& load, Micros now);
    std::vector<Testimony> witnessed(Micros now) const;  // servers that stand out beside their peers
    int measured(Micros now) const;                      // servers of which there are samples
    Upkeep tend(Micros now);  // to be called at start and then whenever its look_in has passed

    // Derived figures.
    std::vector<Traffic> traffic;
    double kb_per_us = 0;
    double p() const;  // of the shield
    double edge_sharers = 1, parent_sharers = 1;
    double heard = 1;  // routers of the location whose counts are told here, this one included

    // What has been observed.
    std::uint64_t seed = 0;
    Random chance;
    std::unordered_map<ObjectId, CountedName> names;
    Micros halved_at = 0;
    Micros born = 0;              // when this life was told its first list
    std::vector<Server> servers;  // sorted by id
    std::unordered_map<LookupId, Held> held;
    std::unordered_map<ObjectId, Purge> purged_objects;
    std::unordered_map<int, Purge> purged_groups;
    bool want_list = false;
    bool told_in_answers = false;  // load reports come with answers, not only with probes
    Samples taken;                 // lookups
    Samples out;                   // transmissions at sources, seen by tend()
    double credit = 0;             // further transmissions that good answers have paid for
};

// The parts of the decision that tests call by themselves.
double psi(double t, double p);
bool keep_or_pass(Router& router, const LookupFacts& lookup, Micros now);
CacheId pick_source(Router& router, const Held& held, Micros now);
Server* pick_cache(Router& router, const Held& held, Micros now);
Micros oldest_allowed(const Router& router, const LookupFacts& lookup, Micros now);
double whole_cold_budget(const Bounds& site, bool parent, double link, Micros age);
bool within_cold_budget(const Router& router, const Server& server, double work, Micros now);
double silence(const Server& server, Micros now);
const char* complaint(const Router& router, const Server& server, Micros now);
double crowd(const Router& router, Micros now);
double link_crowd(const Router& router, Micros now);
double fill_crowd(const Router& router, int traffic, Micros now);
bool too_large(const Router& router, const Held& held, double crowd, double from, double to, bool by_work);
bool may_copy(const Router& router, const Held& held);
bool may_send(Router& router, const Held& held, const Server& to, Micros now);
bool may_reject(const Router& router, const Held& held);
Server* find_server(Router& router, CacheId id);

}  // namespace quillgrade
