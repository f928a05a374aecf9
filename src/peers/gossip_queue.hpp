// The records that still have to be gossiped, and how often each has been sent. Memory is
// one entry a router. The queue holds router numbers only: the caller writes the newest
// record of a router when it sends.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

class GossipQueue {
public:
    explicit GossipQueue(int routers)
        : entries(static_cast<std::size_t>(routers)),
          limit(3 + static_cast<int>(std::ceil(std::log(routers + 1.0)))) {}

    // How often each update is sent. It grows with the logarithm of the group size, so that an update
    // reaches all routers with a margin (SWIM, section 4.1).
    int repeat_limit() const { return limit; }
    void enqueue(RouterIndex who, bool urgent) {
        auto& entry = entries[static_cast<std::size_t>(who)];
        if (entry.repeats_left == 0) queued.push_back(who);
        entry = {limit, urgent};
    }
    // Another router has sent the same update. Each duplicate takes two repeats off, as in rumour mongering
    // with counters (Demers and others, PODC 1987), so that updates which all know take no more room.
    void note_duplicate(RouterIndex who) {
        auto& entry = entries[static_cast<std::size_t>(who)];
        if (entry.repeats_left == 0) return;
        entry.repeats_left = std::max(0, entry.repeats_left - 2);
        if (entry.repeats_left == 0) std::erase(queued, who);
    }
    // At most `most` routers, and counts each as sent once: urgent ones first, then those sent least often.
    std::vector<RouterIndex> take_next(std::size_t most) {
        auto before = [this](RouterIndex a, RouterIndex b) {
            auto &x = entries[static_cast<std::size_t>(a)], &y = entries[static_cast<std::size_t>(b)];
            return x.urgent != y.urgent ? x.urgent : x.repeats_left > y.repeats_left;
        };
        auto count = std::min(most, queued.size());
        auto end = queued.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(queued.begin(), end, queued.end(), before);
        std::vector<RouterIndex> taken(queued.begin(), end);
        for (auto who : taken) entries[static_cast<std::size_t>(who)].repeats_left--;
        std::erase_if(queued, [&](RouterIndex who) {
            return entries[static_cast<std::size_t>(who)].repeats_left == 0;
        });
        return taken;
    }
    // Another router still sends an outdated record, so the newer one is sent a few times more.
    void enqueue_correction(RouterIndex who) {
        auto& entry = entries[static_cast<std::size_t>(who)];
        if (entry.repeats_left == 0) queued.push_back(who);
        entry = {std::max(entry.repeats_left, 3), true};
    }
    // Undoes one count of take_next() where the datagram had no room for the record.
    void put_back(RouterIndex who) {
        auto& entry = entries[static_cast<std::size_t>(who)];
        if (entry.repeats_left++ == 0) queued.push_back(who);
    }
    std::size_t size() const { return queued.size(); }

private:
    struct Entry {
        int repeats_left = 0;
        bool urgent = false;
    };
    std::vector<Entry> entries;       // by router
    std::vector<RouterIndex> queued;  // routers with repeats left
    int limit;
};

}  // namespace quillgrade::peers
