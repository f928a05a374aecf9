// Counts the other routers of the zone that were asked for an object, for the admission decision of the
// CacheShield algorithm.
//
// An epoch is half a minute of Unix time. Within an epoch each name has a set of the routers that were asked
// for it, stored as 32 bits of which each router owns one by hash. The set only grows and is joined by a
// bitwise or, so any router may forward it, late, more than once and in any order. The bits that are set,
// except the own one, are at most as many as the other routers that were asked, and so at most the lookups
// they had. The sum with the router's own count therefore never falls below the own count, and never rises
// above what the zone saw. From four on, a higher count hardly changes the decision, so more precision is
// not needed. This is a linear count with few bits. The usual estimate of the true number (Whang,
// Vander-Zanden, Taylor, 1990) is not used, as it may be too high.
//
//     RequestCounts counts(self, routers);
//     int others = counts.count_lookup(name, now);
//     for (auto& count : counts.next_to_send(12, now)) send(count);
//
// A restarted router keeps its bit. The sets of an epoch count half in the next epoch, as the routing module
// halves its own counts, and then no more.
//
// `now` is Unix time in microseconds. At most `max_names` names are held. Not thread-safe. No I/O.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "control.hpp"
#include "peers/member_state.hpp"

namespace quillgrade::shared {

using peers::RouterIndex;

// The routers that were asked for a name in an epoch.
struct Count {
    std::uint64_t name = 0;
    std::uint32_t epoch = 0;
    std::uint32_t askers = 0;  // a set of bits, see RequestCounts::bit_of
    bool operator==(const Count&) const = default;
};

class RequestCounts {
public:
    static constexpr Micros epoch_duration = 30'000'000;
    static constexpr std::size_t max_names = 2048;
    static constexpr int saturation_count = 6;  // a set with more bits than this is not sent any more

    RequestCounts(RouterIndex self, int routers);
    // Counts a lookup at this router. Returns how many other routers of the zone are known to have been
    // asked for the name.
    int count_lookup(std::uint64_t name, Micros now);
    int other_routers_asked(std::uint64_t name, Micros now) const;
    // Joins the set of another router. Returns true where that adds a bit.
    bool receive(const Count& count, Micros now);
    // The sets to send, which count as sent.
    std::vector<Count> next_to_send(std::size_t max_count, Micros now);
    // Takes back that a set was sent, as there was no room for it.
    void restore_unsent(std::uint64_t name);
    bool has_unsent() const { return !send_queue.empty(); }
    std::size_t size() const { return entries.size(); }
    std::uint64_t dropped() const { return dropped_count; }

    static std::uint32_t bit_of(RouterIndex router);
    static std::uint32_t epoch_of(Micros now) { return static_cast<std::uint32_t>(now / epoch_duration); }

private:
    struct Entry {
        std::uint32_t current = 0, previous = 0;  // sets of this epoch and of the one before
        std::int8_t sends_left = 0;
    };
    void advance_epoch(Micros now);
    Entry* find_or_insert(std::uint64_t name);
    void enqueue(std::uint64_t name, Entry& entry);

    std::uint32_t own_bit;
    int sends_per_change;
    std::uint32_t epoch = 0;
    std::unordered_map<std::uint64_t, Entry> entries;
    std::deque<std::uint64_t> send_queue;  // the last one is sent next
    std::uint64_t dropped_count = 0;
};

}  // namespace quillgrade::shared
