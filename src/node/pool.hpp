// All connections to caches, parents and the origin, kept by the id of the cache that they lead to.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "node/gathered.hpp"
#include "node/link.hpp"

namespace quillgrade::node {

class Pool {
public:
    // `answers`: what answers hold from their first byte at a cache until a client has them.
    Pool(event_base* base, const site::Terms& terms, Clock& clock, Gathered& gathered, int most_links,
         MemoryAccount& answers);
    void list(const feed::Listing& listing);
    // Looks for a connection to the cache; what is to be written is asked for once there is one.
    void send(CacheId cache, const Attempt& attempt);
    // For each attempt whose connection is there: what to write, or nothing if it must not go out any more;
    // Later if that will be known in a moment.
    struct Later {};
    using Word = std::variant<std::monostate, http::Request, Later>;
    using Writer = std::function<Word(CacheId, const Attempt&)>;
    void write(const Writer& word_on);
    std::size_t to_write() const { return ready.size(); }
    void give_up(LookupId lookup, int round);
    void sweep();  // between passes of the loop
    std::size_t links() const { return all.size(); }
    std::size_t caches() const { return places.size(); }
    std::vector<feed::Endpoint> listed() const;

private:
    struct Place {
        feed::Address address;
        EndpointEntry entry{};
        Micros started = 0;
        bool gone = false;
        std::uint64_t process = 0;  // new whenever another process or address stands behind the id
        std::vector<Link*> idle;    // the one used last at the end
    };
    void ended(Link& link, Outcome outcome, http::Reply reply);
    void land(CacheId cache, const Attempt& attempt, Outcome outcome);
    static void forget(Place& place);
    static Link* idle_link(Place& place);
    bool make_room();
    bool limit_reads();  // true where answers have begun and none of them may be read
    void read_all();
    void give_up_longest();

    Gathered& gathered;
    std::size_t most_links;
    std::uint64_t last_process = 0;
    Link::Shared shared;
    std::unordered_map<CacheId, Place> places;
    std::vector<std::unique_ptr<Link>> all;
    std::vector<Link*> ready;  // connected, and nothing written yet
    bool limited = false;      // not all links are read from as their bytes come
    Micros told_limited = 0;
    std::map<std::pair<LookupId, int>, Link*> out;
};

}  // namespace quillgrade::node
