// State transfer, as the one who asks: which accounts are still to be fetched, from whom, and how fast. A
// router that starts asks others for ranges of members and gets pages (snapshot_page.hpp) until it has them
// all; later the same fetches the ranges in which its digests differ from those of others. It is told the
// time and what came, and says what to ask for. No I/O.
//
//   - What it brings is paced here: pages are asked for only while `traffic`, which counts every datagram
//     that comes or is sent, has bytes for them.
//   - Any page may get lost, come twice, late, or from a helper that knows less than others: pages are joined
//     to what is known, and a helper that has not finished its own transfer completes only members that it
//     has accounts of.
//   - It ends: when all is fetched; or after `idle_limit` without anything new, or `time_limit` in all.
//   Helpers
//     that don't answer are followed by others, after pauses that double up to `longest_pause`.
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

// How well a member suits as a helper. One that is only listed is as good as one known to be alive: else all
// routers of a tier that starts would ask the few that all have heard of.
enum class HelperRank {
    Unusable,  // known to be gone, dead, or cut off
    Usable,
    SameZone  // alive, and of the own zone
};

class StateTransfer {
public:
    enum class Phase {
        Running,   // the first fetch
        Complete,  // it has ended; ranges may be fetched anew
        Failed     // nobody answered
    };
    using Ranking = std::function<HelperRank(RouterIndex)>;

    StateTransfer(RouterIndex own_number, int count, std::uint32_t seed, Micros now);

    // Fetches all anew, as at a start.
    void begin(Micros now);
    // The same after this router was stopped: what it hears at this time came before, and costs no bytes now.
    void begin_after_pause(Micros now);
    // Fetches a range in which the accounts of `from` differ, from it if it answers, unless that was done a
    // short time ago.
    void refresh(RouterIndex first, int members, RouterIndex from, Micros now);

    // Each datagram that comes or is sent, whatever it is.
    void record_traffic(std::size_t bytes, Micros now);
    // Whether `from` was asked for such a page a short time ago. Others are not to be used.
    bool is_expected(RouterIndex from, const SnapshotPage& page, Micros now) const;
    void accept_page(RouterIndex from, const SnapshotPage& page, bool complete, Micros now);
    // The helper says that it can't answer now.
    void accept_busy(RouterIndex from, Micros now);

    // What is to be asked now, if anything; it counts as asked.
    std::optional<RangeRequest> next_request(const Ranking& rank, Micros now);
    // Requests whose time is up end, and the whole by its limits.
    void expire(Micros now);
    // When `expire` or `next` has something to do at the latest.
    Micros next_check() const;

    Phase phase() const { return state; }
    // Since it began a helper has answered that had finished its own: the tier is not starting as a whole.
    bool complete_helper_answered() const { return answered_by_complete; }
    int missing_members() const { return members_missing; }
    std::size_t bytes_held() const;

private:
    struct Open {
        RangeRequest request;
        Micros deadline;
        int pages_left;
        bool news = false;  // some of its pages completed members
        RouterIndex end() const { return request.first_member + request.member_count; }
    };
    struct Closed {
        RouterIndex helper;
        RouterIndex first, end;
        Micros at;
    };
    struct Gap {
        RouterIndex first = 0;
        int members = 0;
    };

    bool wants_more() const { return members_missing > 0; }
    std::optional<Gap> first_gap();
    std::optional<RouterIndex> claimed_until(RouterIndex member) const;
    std::optional<RouterIndex> choose(const Ranking& rank);
    bool avoided(RouterIndex helper) const;
    int complete_members(const SnapshotPage& page, bool all);
    int pages_for(int members) const;
    void learn_density(const SnapshotPage& page);
    void close(std::size_t index, Micros now);
    void nothing_new(Micros now);
    void finish(Micros now);

    RouterIndex self;
    int routers;
    boost::random::taus88 chance;
    Phase state = Phase::Running;
    ByteBudget traffic;
    bool answered_by_complete = false;
    std::vector<bool> needed;       // by member
    std::vector<Micros> refreshed;  // by block of members: when it was fetched anew last
    int members_missing = 0;
    RouterIndex lowest_needed = 0;  // none below is needed
    bool all_claimed = false;       // open requests are about all that is needed
    double members_a_page;          // as pages showed so far
    std::vector<Open> open;
    std::deque<Closed> closed;           // the last few
    std::deque<RouterIndex> unanswered;  // helpers that let a request's time run out
    bool answered = false;               // somebody has, since the beginning
    std::optional<RouterIndex> source;   // of the ranges that are fetched anew
    bool prefer_near = true;
    int fruitless = 0;  // requests in a row that brought nothing new
    Micros ask_at = 0;
    Micros began = 0, news_at = 0, back_at = -1;
};

}  // namespace quillgrade::peers
