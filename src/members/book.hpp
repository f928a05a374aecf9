// The merged endpoint list: combines the coordinator's list with the servers of streamed configuration into
// the one list that the router and the pool work with. No I/O.
//
// Of each server, by its id:
//   coordinator   stream      result
//   ready         -           the coordinator's entry (EndpointListMode::Merged), or gone (Streamed)
//   -             any         the stream's entry
//   any           any         address, zone, kind and weight of the coordinator (Merged) or of the stream
//                             (Streamed); the later start; the worse state: gone, else draining, else ready
//   gone          any         gone, until the coordinator itself lists it again
// So a drain holds until the side that ordered it withdraws it. Purges come from the coordinator alone.
//
// If a version adds a server while another version was active, or moves one to another address, and states no
// start time, the server counts as started when that version became active. It is then taken for cold, so
// that it is not overloaded.
//
//   feed::Listing changes = endpoints.update_from_coordinator(listing, now);
//   router.apply(changes);
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "control.hpp"
#include "feed/event.hpp"
#include "operate/plan.hpp"

namespace quillgrade::members {

using Endpoints = std::vector<feed::Endpoint>;  // in ascending order of id, each id once
// When each server that states no start time became active, Unix microseconds.
using StartTimes = std::vector<std::pair<CacheId, Micros>>;

class MergedEndpoints {
public:
    MergedEndpoints(const SiteSettings& facts, const std::vector<std::string>& zones,
                    operate::EndpointListMode endpoint_list_mode);

    // Both return what changes for the router: first new and changed servers, then those that are gone
    // (make before break).
    feed::Listing update_from_coordinator(const feed::Listing& update, Micros now);
    // `next` is held until the next call; null: no version is active.
    feed::Listing update_from_stream(std::shared_ptr<const Endpoints> next, Micros now);

    // The start times less than `span` before now, which a restarted router still needs.
    StartTimes start_times_since(Micros now, Micros span) const;
    void restore_start_times(const StartTimes& start_times);  // before the first version

    // Why `next` may not become active: which zones or roles it would leave without a ready server, in words;
    // empty: none. The zones in `emptied_zones` are left so on purpose.
    std::optional<std::string> describe_unserved(const Endpoints& next,
                                                 const std::vector<int>& emptied_zones) const;

    std::size_t announced_count() const { return announced.size(); }
    std::size_t gone_count() const { return gone.size(); }

private:
    bool is_relevant(const feed::Endpoint& endpoint) const;
    int role(const feed::Endpoint& endpoint) const;
    const feed::Endpoint* find_streamed(CacheId id) const;
    std::optional<feed::Endpoint> merge(CacheId id, const feed::Endpoint* streamed) const;
    void announce_changes(CacheId id, const feed::Endpoint* streamed, feed::Listing& changes,
                          feed::Listing& removals);
    void forget_old(Micros now);
    static feed::Listing joined(feed::Listing changes, feed::Listing removals);

    int zone, parent_kind, origin_kind;
    std::vector<std::string> zones;
    operate::EndpointListMode endpoint_list_mode;
    std::unordered_map<CacheId, feed::Endpoint> listed;  // by the coordinator, ready or draining
    std::unordered_map<CacheId, Micros> gone;            // according to the coordinator, and since when
    std::shared_ptr<const Endpoints> streamed_endpoints;
    std::unordered_map<CacheId, Micros> assumed_starts;     // of streamed servers that state no start time
    std::unordered_map<CacheId, feed::Endpoint> announced;  // to the router, as of the last call
};

}  // namespace quillgrade::members
