// Who is a member: the coordinator's list and the streamed boxes, made into the one list that the decision
// module and the pool are told. No I/O.
//
// For each box, by its id:
//   coordinator   stream      told to the router
//   ready         -           as the coordinator has it (merged), or gone (streamed)
//   -             any         as the stream has it
//   any           any         the address, zone, kind and weight of the coordinator (merged) or of the stream
//                             (streamed); the later start; the worse state: gone, else draining, else ready
//   gone          any         gone, until the coordinator itself lists it again
// So a drain told by either holds until that one takes it back, and purges are the coordinator's alone.
//
// A box that a version adds while another was in force, or moves to another address, without stating its
// start, counts as started when that version came into force: it is taken for cold, never pushed over.
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

using Endpoints = std::vector<feed::Endpoint>;               // by rising id, ids once each
using StartTimes = std::vector<std::pair<CacheId, Micros>>;  // when boxes that state no start came into force

class MergedEndpoints {
public:
    MergedEndpoints(const SiteSettings& facts, const std::vector<std::string>& zones,
                    operate::Membership membership);

    // What changes for the router: new and changed boxes first, then those that have gone (make before
    // break).
    feed::Listing update_from_coordinator(const feed::Listing& news, Micros now);
    // `next` outlives the book or the next call; null: no version is in force.
    feed::Listing update_from_stream(std::shared_ptr<const Endpoints> next, Micros now);

    // StartTimes that still matter: those of less than `span` before now, for a restart of the router.
    StartTimes start_times_since(Micros now, Micros span) const;
    void restore_start_times(const StartTimes& starts);  // before the first version

    // Which locations or roles would be left without a server that is ready, in words; empty: none. Zones in
    // `emptied` are meant to be.
    std::optional<std::string> describe_unserved(const Endpoints& next,
                                                 const std::vector<int>& emptied) const;

    std::size_t announced_count() const { return told.size(); }
    std::size_t gone_count() const { return gone.size(); }

private:
    bool ours(const feed::Endpoint& endpoint) const;
    int role(const feed::Endpoint& endpoint) const;
    const feed::Endpoint* in_stream(CacheId id) const;
    std::optional<feed::Endpoint> member(CacheId id, const feed::Endpoint* streamed) const;
    void compare(CacheId id, const feed::Endpoint* streamed, feed::Listing& changes, feed::Listing& leaving);
    void forget_old(Micros now);
    static feed::Listing joined(feed::Listing changes, feed::Listing leaving);

    int zone, parent_kind, origin_kind;
    std::vector<std::string> zones;
    operate::Membership membership;
    std::unordered_map<CacheId, feed::Endpoint> listed;  // by the coordinator, ready or draining
    std::unordered_map<CacheId, Micros> gone;            // told so by the coordinator, and when
    std::shared_ptr<const Endpoints> boxes;
    std::unordered_map<CacheId, Micros> started;       // of streamed boxes that state none
    std::unordered_map<CacheId, feed::Endpoint> told;  // what the router was told last
};

}  // namespace quillgrade::members
