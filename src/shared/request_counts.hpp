// Which objects other routers of the location have been asked for, for the shield's count.
//
// An epoch is half a minute of Unix time. In it each name has a set of the routers that were asked for it,
// kept as 32 bits of which each router has one by hash: grow-only, joined by or, so it may be passed on by
// anybody, late, doubled and in any order. The bits that are set, this router's aside, are at most as many as
// the other routers that were asked, and so at most the lookups they had: the sum never falls under the
// router's own count, and never rises over what the location saw. A draw hardly changes from four on, so more
// need not be known. A linear count with few bits; the usual estimate of the true number (Whang,
// Vander-Zanden, Taylor, 1990) is left out on purpose, as it may lie above.
//
// A new life has its old bit; an epoch that is over counts half in the next, as the module halves its own
// counts, and then nothing.
#pragma once

#include <cstdint>
#include <deque>
#include <unordered_map>
#include <vector>

#include "control.hpp"
#include "peers/member_state.hpp"

namespace quillgrade::shared {

using peers::RouterIndex;

struct Count {
    std::uint64_t name = 0;
    std::uint32_t epoch = 0;
    std::uint32_t askers = 0;
    bool operator==(const Count&) const = default;
};

class RequestCounts {
public:
    static constexpr Micros epoch_duration = 30'000'000;
    static constexpr std::size_t max_names = 2048;  // names
    static constexpr int saturation_count = 6;      // askers from which on a name is no more news

    RequestCounts(RouterIndex self, int routers);
    // This router is asked for it; answers how many others of the location were, as far as is known.
    int count_request(std::uint64_t name, Micros now);
    int other_routers_asked(std::uint64_t name, Micros now) const;
    bool receive(const Count& count, Micros now);                        // true where it is news
    std::vector<Count> next_to_send(std::size_t max_count, Micros now);  // to tell; they count as told
    void restore_unsent(std::uint64_t name);                             // there was no room for it after all
    bool has_unsent() const { return !waiting.empty(); }
    std::size_t size() const { return names.size(); }
    std::uint64_t dropped() const { return seen_dropped; }

    static std::uint32_t bit_of(RouterIndex router);
    static std::uint32_t epoch_of(Micros now) { return static_cast<std::uint32_t>(now / epoch_duration); }

private:
    struct Name {
        std::uint32_t now = 0, before = 0;
        std::int8_t left = 0;  // times to tell
    };
    void turn(Micros now);
    Name* enter(std::uint64_t name);
    void spread(std::uint64_t name, Name& one);

    std::uint32_t mine;
    int times;
    std::uint32_t epoch = 0;
    std::unordered_map<std::uint64_t, Name> names;
    std::deque<std::uint64_t> waiting;
    std::uint64_t seen_dropped = 0;
};

}  // namespace quillgrade::shared
