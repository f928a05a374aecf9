// Which accounts are still news, and how often each has been told. One place a router, so bounded by their
// count; what is told is always the newest account, looked up when it is written.
#pragma once

#include <algorithm>
#include <cmath>
#include <vector>

#include "peers/member_state.hpp"

namespace quillgrade::peers {

class GossipQueue {
public:
    explicit GossipQueue(int routers)
        : left(static_cast<std::size_t>(routers)),
          times(3 + static_cast<int>(std::ceil(std::log(routers + 1.0)))) {}

    // How often each is told: it reaches all with a margin when that grows with the logarithm of their count
    // (SWIM, section 4.1).
    int most() const { return times; }
    void news(RouterIndex who, bool urgent) {
        auto& one = left[static_cast<std::size_t>(who)];
        if (one.left == 0) waiting.push_back(who);
        one = {times, urgent};
    }
    // Somebody else has told the same: who is told twice loses interest, as in rumour mongering with counters
    // (Demers and others, PODC 1987), so what all know by now takes no more room.
    void heard_again(RouterIndex who) {
        auto& one = left[static_cast<std::size_t>(who)];
        if (one.left == 0) return;
        one.left = std::max(0, one.left - 2);
        if (one.left == 0) std::erase(waiting, who);
    }
    // At most `most` numbers: urgent before others, then those told least often. They count as told.
    std::vector<RouterIndex> next(std::size_t most) {
        auto before = [this](RouterIndex a, RouterIndex b) {
            auto &x = left[static_cast<std::size_t>(a)], &y = left[static_cast<std::size_t>(b)];
            return x.urgent != y.urgent ? x.urgent : x.left > y.left;
        };
        auto count = std::min(most, waiting.size());
        auto end = waiting.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(waiting.begin(), end, waiting.end(), before);
        std::vector<RouterIndex> told(waiting.begin(), end);
        for (auto who : told) left[static_cast<std::size_t>(who)].left--;
        std::erase_if(waiting,
                      [&](RouterIndex who) { return left[static_cast<std::size_t>(who)].left == 0; });
        return told;
    }
    // Somebody still tells what is out of date: the newer account is worth telling a few times more.
    void put_right(RouterIndex who) {
        auto& one = left[static_cast<std::size_t>(who)];
        if (one.left == 0) waiting.push_back(who);
        one = {std::max(one.left, 3), true};
    }
    // There was no room for it after all.
    void untold(RouterIndex who) {
        auto& one = left[static_cast<std::size_t>(who)];
        if (one.left++ == 0) waiting.push_back(who);
    }
    std::size_t size() const { return waiting.size(); }

private:
    struct One {
        int left = 0;
        bool urgent = false;
    };
    std::vector<One> left;
    std::vector<RouterIndex> waiting;
    int times;
};

}  // namespace quillgrade::peers
