// One-way link failures: which router's datagrams do not reach which other router directly. Only the receiver
// can notice that nothing arrives, so only the receiver reports it. What is reported is a failure and its
// recovery, never that a link works. Keeps the reports of 64 links at most. No I/O.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "peers/message.hpp"

namespace quillgrade::peers {

class Reachability {
public:
    explicit Reachability(RouterIndex self) : self(self) {}

    // A datagram of `sender` arrived directly, without a helper. Returns true where the link from it to this
    // router has recovered by that.
    bool record_received(RouterIndex sender, Micros now);
    // `sender` has sent a datagram to this router that did not arrive. Returns true where the link counts as
    // down from now on.
    bool record_missed(RouterIndex sender, Micros now);
    // A report by another receiver, in its generation `receiver_generation`. Returns true where it is newer
    // than what is known.
    bool merge_report(const LinkReport& report, Generation receiver_generation, Micros now);
    // A new generation of `router` begins: drops all that it reported and all that was reported of it.
    // Returns the links that count as recovered by that.
    std::vector<LinkReport> forget(RouterIndex router);
    // Drops the reports that their receivers have not repeated for a minute. Returns the links that count as
    // recovered by that.
    std::vector<LinkReport> expire(Micros now);

    bool is_down(RouterIndex sender, RouterIndex receiver) const;
    // Up to `max_reports` reports that were sent fewer than `max_sends` times, least often sent first; counts
    // them as sent once more.
    std::vector<LinkReport> next_reports(std::size_t max_reports, int max_sends);
    std::vector<LinkReport> down_links() const;
    // At most `max_links` of down_links() for a digest; each call goes on where the last one ended, in a
    // cycle.
    std::vector<LinkReport> next_down_links(std::size_t max_links);
    // Of the failures that another router still holds, the recoveries that are known here.
    std::vector<LinkReport> recovered_among(const std::vector<LinkReport>& held) const;
    // Datagrams of `sender` were missed, but too few to report the link, and there is room for a report.
    bool needs_another_probe(RouterIndex sender) const;

private:
    struct Entry {
        LinkReport report;
        Generation generation = 0;  // of the receiver; 0 for reports of this router
        Micros updated_at = 0;
        int times_sent = 0;
    };
    struct Misses {
        int in_a_row = 0;
        Micros first_at = 0;
    };
    Entry* find(RouterIndex sender, RouterIndex receiver);
    const Entry* find(RouterIndex sender, RouterIndex receiver) const;
    // Records this router's own report. Returns false where there is no room for one more entry.
    bool report_own_link(RouterIndex sender, bool down, Micros now);
    template <class Predicate>
    std::vector<LinkReport> drop_entries(Predicate is_obsolete);
    RouterIndex self;
    std::map<std::pair<RouterIndex, RouterIndex>, Entry> entries;  // by sender and receiver
    std::map<RouterIndex, Misses> misses;                          // by sender
    std::uint32_t last_sequence = 0;
    std::size_t next_in_digest = 0;
};

}  // namespace quillgrade::peers
