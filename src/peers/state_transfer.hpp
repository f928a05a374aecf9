// The requesting side of state transfer: which records are still to be fetched, from which helpers, and at
// what rate. A router that starts requests ranges of members from other routers and receives pages
// (snapshot_page.hpp) until it has them all. After that it fetches the ranges in which its digests differ
// from those of others. The caller passes in the time and what was received, and sends what is returned. No
// I/O.
//
//     StateTransfer transfer(own_index, routers, seed, now);
//     transfer.record_traffic(datagram.size(), now);  // for each datagram received or sent
//     if (transfer.is_expected(from, page, now)) transfer.accept_page(from, page, complete, now);
//     transfer.expire(now);  // at the latest at transfer.next_check()
//     while (auto request = transfer.next_request(rank, now)) send(*request);
//
// - Pacing: pages are requested only while the byte budget, which counts every datagram received or sent, has
//   room for them.
// - Any page may be lost, duplicated, late, or come from a helper that knows less than others. The caller
//   merges pages into what it knows, and a page of a helper that has not finished its own transfer completes
//   only the members that it has records of.
// - A transfer ends when all is fetched, after `idle_limit` without progress, or after `time_limit` in all.
//   Helpers that don't answer are replaced by others, after pauses that double up to `max_backoff`.
#pragma once

#include <boost/random/taus88.hpp>
#include <deque>
#include <functional>
#include <optional>
#include <vector>

#include "peers/byte_budget.hpp"
#include "peers/snapshot_page.hpp"

namespace quillgrade::peers {

struct RangeRequest {
    RouterIndex helper = 0;
    RouterIndex first_member = 0;
    int member_count = 0;
    int max_pages = 0;
};

// How suitable a member is as a helper. A member that is only listed ranks as high as one known to be alive:
// otherwise all routers of a tier that starts would ask the few that all have heard of.
enum class HelperRank {
    Unusable,  // known to be gone, dead or unreachable
    Usable,
    SameZone  // alive, and in this router's zone
};

class StateTransfer {
public:
    enum class Phase {
        Running,   // the first transfer
        Complete,  // it has ended; ranges may be refreshed
        Failed     // it has ended without any answer
    };
    using Ranking = std::function<HelperRank(RouterIndex)>;

    StateTransfer(RouterIndex own_index, int router_count, std::uint32_t seed, Micros now);

    // Fetches all records anew, as at a start.
    void begin(Micros now);
    // The same after this process was stopped. Datagrams that are read at `now` arrived during the stop and
    // are not counted against the byte budget.
    void begin_after_pause(Micros now);
    // Fetches a range in which the records of `from` differ, from that router if it answers. Does nothing for
    // members that were refreshed a short time ago, or before the first transfer has completed.
    void refresh(RouterIndex first, int members, RouterIndex from, Micros now);

    // To be called for each datagram received or sent, of any type.
    void record_traffic(std::size_t bytes, Micros now);
    // Whether the page lies in a range that `from` was asked for a short time ago. Other pages must be
    // dropped.
    bool is_expected(RouterIndex from, const SnapshotPage& page, Micros now) const;
    // `complete`: the helper says that its own transfer has finished.
    void accept_page(RouterIndex from, const SnapshotPage& page, bool complete, Micros now);
    // The helper says that it can't answer now.
    void accept_busy(RouterIndex from, Micros now);

    // The next request to be sent, if any; it counts as sent.
    std::optional<RangeRequest> next_request(const Ranking& rank, Micros now);
    // Ends requests that have timed out, and the transfer when it reaches its limits.
    void expire(Micros now);
    // When `expire` or `next_request` has to be called at the latest.
    Micros next_check() const;

    Phase phase() const { return state; }
    // Whether a helper that has finished its own transfer has answered since this one began, which shows that
    // the tier is not starting as a whole.
    bool complete_helper_answered() const { return answered_by_complete; }
    int missing_members() const { return members_missing; }
    std::size_t bytes_held() const;

private:
    struct OpenRequest {
        RangeRequest request;
        Micros deadline;
        int pages_left;
        bool made_progress = false;  // some of its pages completed members
        RouterIndex end() const { return request.first_member + request.member_count; }
    };
    struct ClosedRequest {
        RouterIndex helper;
        RouterIndex first, end;
        Micros closed_at;
    };
    struct Gap {
        RouterIndex first = 0;
        int members = 0;
    };

    bool wants_more() const { return members_missing > 0; }
    std::optional<Gap> first_gap();
    std::optional<RouterIndex> requested_until(RouterIndex member) const;
    std::optional<RouterIndex> choose_helper(const Ranking& rank);
    bool avoided(RouterIndex helper) const;
    int complete_members(const SnapshotPage& page, bool all);
    int pages_for(int members) const;
    void update_density(const SnapshotPage& page);
    void close(std::size_t index, Micros now);
    void back_off(Micros now);
    void finish(Micros now);

    RouterIndex self;
    int routers;
    boost::random::taus88 rng;
    Phase state = Phase::Running;
    ByteBudget traffic;
    bool answered_by_complete = false;
    std::vector<bool> needed;          // by member
    std::vector<Micros> refreshed_at;  // by block of members that a digest hash covers
    int members_missing = 0;
    RouterIndex lowest_needed = 0;  // no member below is needed
    bool all_requested = false;     // open requests cover all that is needed
    double members_per_page;        // moving average over the pages received
    std::vector<OpenRequest> open;
    std::deque<ClosedRequest> closed;           // the latest
    std::deque<RouterIndex> unanswered;         // helpers whose requests timed out, the latest
    bool answered = false;                      // a helper has answered since the beginning
    std::optional<RouterIndex> refresh_helper;  // the router whose records differed
    bool prefer_same_zone = true;
    int fruitless_requests = 0;  // in a row, without progress
    Micros next_request_at = 0;
    Micros began_at = 0, progress_at = 0, resumed_at = -1;
};

}  // namespace quillgrade::peers
