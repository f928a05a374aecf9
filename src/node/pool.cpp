#include "node/pool.hpp"

#include <algorithm>
#include <iterator>
#include <unordered_set>

#include "log/log.hpp"
#include "node/read_admission.hpp"

namespace quillgrade::node {

namespace {

constexpr Micros tell_again_after = 1'000'000;

}  // namespace

Pool::Pool(event_base* base, const site::Terms& terms, Clock& clock, Gathered& gathered, int most_links,
           MemoryAccount& answers)
    : gathered(gathered),
      most_links(static_cast<std::size_t>(most_links)),
      shared{
          base,
          terms,
          clock,
          answers,
          [this](Link& link, Outcome outcome, http::Reply reply) { ended(link, outcome, std::move(reply)); },
          [this](Link& link) { ready.push_back(&link); },
          [this] {
              if (!limited) limit_reads();
          }} {}

void Pool::list(const feed::Listing& listing) {
    std::unordered_set<CacheId> listed;
    if (listing.complete)
        for (auto& endpoint : listing.caches) listed.insert(endpoint.entry.id);
    for (auto& endpoint : listing.caches) {
        auto& place = places[endpoint.entry.id];
        feed::Address address{endpoint.address, endpoint.port};
        place.gone = endpoint.entry.state == EndpointState::Gone;
        // Connections to a process that has gone, or to another address, are of no more use.
        if (endpoint.entry.started_at > place.started || address != place.address) {
            forget(place);
            place.process = ++last_process;
        }
        place.address = address;
        place.entry = endpoint.entry;
        place.started = endpoint.entry.started_at;
    }
    // Guards against memory that grows as caches come and go under ever new ids.
    for (auto place = places.begin(); place != places.end();) {
        if (place->second.gone || (listing.complete && !listed.contains(place->first))) {
            forget(place->second);
            place = places.erase(place);
        } else {
            place++;
        }
    }
}

std::vector<feed::Endpoint> Pool::listed() const {
    std::vector<feed::Endpoint> all;
    for (auto& [cache, place] : places) all.push_back({place.entry, place.address.host, place.address.port});
    return all;
}

void Pool::forget(Place& place) {
    for (auto* link : place.idle) link->drop();
    place.idle.clear();
}

void Pool::send(CacheId cache, const Attempt& attempt) {
    auto found = places.find(cache);
    Link* link = found == places.end() ? nullptr : idle_link(found->second);
    if (!link && found != places.end() && make_room()) {
        all.push_back(std::make_unique<Link>(shared, cache, found->second.address, found->second.process));
        link = all.back().get();
    }
    if (!link) {  // nothing was sent, and it is not the cache's doing
        land(cache, attempt, Outcome::NotSent);
        return;
    }
    if (attempt.round >= 0) out[{attempt.lookup, attempt.round}] = link;
    link->run(attempt);
}

// A connection may have come up long after its attempt was decided: to a process that has gone or moved
// since, or for what must not be sent any more.
void Pool::write(const Writer& word_on) {
    for (auto* link : std::exchange(ready, {})) {
        if (!link->ready()) continue;
        auto place = places.find(link->cache);
        bool there = place != places.end() && place->second.process == link->process;
        auto word = there ? word_on(link->cache, link->attempt) : Word{};
        if (auto* request = std::get_if<http::Request>(&word))
            link->ask(*request);
        else if (std::holds_alternative<Later>(word))
            ready.push_back(link);
        else
            link->refuse();
    }
}

// A connection that the far side has dropped meanwhile is passed over: that says nothing of the lookup. So is
// one that was answered a moment ago. Guards against a second answer on its way, which would be taken for
// that of the next lookup.
Link* Pool::idle_link(Place& place) {
    std::erase_if(place.idle, [](auto* link) {
        if (!link->usable()) link->drop();
        return link->dead();
    });
    auto rested =
        std::find_if(place.idle.rbegin(), place.idle.rend(), [](auto* link) { return link->rested(); });
    if (rested == place.idle.rend()) return nullptr;
    auto* link = *rested;
    place.idle.erase(std::next(rested).base());
    return link;
}

// Descriptors are bounded: an idle connection makes way for one that is needed.
bool Pool::make_room() {
    if (all.size() < most_links) return true;
    sweep();
    if (all.size() < most_links) return true;
    for (auto& [cache, place] : places)
        if (!place.idle.empty()) {
            place.idle.front()->drop();
            place.idle.erase(place.idle.begin());
            sweep();
            return true;
        }
    return false;
}

void Pool::give_up(LookupId lookup, int round) {
    auto found = out.find({lookup, round});
    if (found != out.end()) found->second->give_up();
}

void Pool::ended(Link& link, Outcome outcome, http::Reply reply) {
    out.erase({link.attempt.lookup, link.attempt.round});
    auto place = places.find(link.cache);
    // Guards against lookups that go to a box that was taken out, over a connection that was at work while
    // its id was listed again at another address.
    if (link.idle() && place != places.end() && place->second.process == link.process)
        place->second.idle.push_back(&link);
    else
        link.drop();  // its cache has gone or moved meanwhile, or it is dead already
    auto& attempt = link.attempt;
    if (attempt.round < 0)
        gathered.emplace_back(Probed{link.cache, outcome, attempt.sent, reply.load});
    else
        gathered.emplace_back(Landed{attempt.lookup, attempt.round, link.cache, outcome, attempt.sent,
                                     std::move(reply), link.charge(), link.held_back(shared.clock.now())});
}

void Pool::land(CacheId cache, const Attempt& attempt, Outcome outcome) {
    if (attempt.round < 0)
        gathered.emplace_back(Probed{cache, outcome, attempt.sent, {}});
    else
        gathered.emplace_back(Landed{attempt.lookup, attempt.round, cache, outcome, attempt.sent, {}});
}

// Under pressure only those answers are read that can come whole within the account. The others wait at their
// caches, which the system's windows tell. Probes are read: their answers are short, and waiting says
// nothing.
bool Pool::limit_reads() {
    auto now = shared.clock.now();
    if (!std::exchange(limited, true) && now - told_limited >= tell_again_after) {
        told_limited = now;
        log::warning("reading less from caches: answers hold {} of {} bytes, {} at most so far",
                     shared.answers.held(), shared.answers.limit(), shared.answers.peak());
    }
    auto available = shared.answers.available();
    std::vector<Link*> begun;
    std::vector<Reader> readers;
    for (auto& link : all) {
        if (!link->busy() || link->attempt.round < 0) continue;
        if (link->begun()) {
            begun.push_back(link.get());
            readers.push_back({link->remaining(), link->attempt.sent, link->stalled(now)});
        } else {
            link->set_reading(Link::Reading::HeadOnly);
            available -= std::min(available, Link::head_read);
        }
    }
    admit_readers(readers, available);
    for (std::size_t i = 0; i < begun.size(); i++)
        begun[i]->set_reading(readers[i].admitted ? Link::Reading::Freely : Link::Reading::Paused);
    return !readers.empty() && std::ranges::none_of(readers, &Reader::admitted);
}

void Pool::read_all() {
    limited = false;
    for (auto& link : all)
        if (link->busy()) link->set_reading(Link::Reading::Freely);
}

// Guards against memory that stays full of beginnings: the longest answer of those whose caches have stopped
// in the middle is given up, and where clients have nothing to read, so that no room will come, the longest
// of all. That says nothing against its cache.
void Pool::give_up_longest() {
    auto now = shared.clock.now();
    std::size_t coming = 0;
    for (auto& link : all) coming += link->coming();
    bool no_room_will_come = coming >= shared.answers.held();
    Link* longest = nullptr;
    for (auto& link : all) {
        if (!link->begun() || !(no_room_will_come || link->stalled(now))) continue;
        if (!longest || link->coming() > longest->coming()) longest = link.get();
    }
    if (!longest) return;
    log::warning("answer given up: {} bytes of it have come, and memory for answers is full",
                 longest->coming());
    longest->give_up();
}

void Pool::sweep() {
    if (!shared.answers.under_pressure()) {
        if (limited) read_all();
    } else if (limit_reads()) {
        give_up_longest();
    }
    if (std::none_of(all.begin(), all.end(), [](auto& link) { return link->dead(); })) return;
    for (auto& [cache, place] : places) std::erase_if(place.idle, [](auto* link) { return !link->idle(); });
    std::erase_if(ready, [](auto* link) { return link->dead(); });
    std::erase_if(all, [](auto& link) { return link->dead(); });
}

}  // namespace quillgrade::node
