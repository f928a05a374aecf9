// What a server that has just started got, against what the settings allow all routers together: worked out
// here from the settings' own words, by none of the router's code.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <vector>

namespace quillgrade::rig {

// Amounts as the settings have them, times in microseconds.
struct ColdTerms {
    double from = 0.1, multiple = 2, rating = 4;
    std::int64_t cold = 3'000'000, window = 1'000'000;
    std::int64_t work = 100'000;  // sending time of one lookup
    // What the lookups that the settings allow within one window come to, that long after the start.
    double whole(std::int64_t age) const {
        auto grown = static_cast<double>(std::clamp<std::int64_t>(age, 0, cold)) / static_cast<double>(cold);
        return multiple * (from + (1 - from) * grown) * rating * static_cast<double>(window) /
               static_cast<double>(work);
    }
};

struct ColdVerdict {
    int windows = 0, exceeded = 0;
    double most_share = 0;           // of the budget, in the fullest window
    std::int64_t fullest_after = 0;  // the start
    double used_share = 0;           // of all that the settings allowed over the time watched
    std::size_t lookups = 0;
};

// `seen`: when each lookup came, sorted or not. `slack`: by how much the onlooker's times may be off, taken
// off the window. A window ends at each lookup. `until`: up to when it was watched.
// `told`: how long after the start all routers had been told of it at the latest; what came before is not
// counted, as who does not know can't keep to it. `chance`: routers that don't talk draw who may send, so
// past N lookups 2 x root of N + 2 are put down to that.
inline ColdVerdict judge(std::vector<std::int64_t> seen, std::int64_t started, std::int64_t until,
                         const ColdTerms& terms, std::int64_t slack = 100'000, std::int64_t told = 0,
                         bool chance = false) {
    ColdVerdict verdict;
    std::sort(seen.begin(), seen.end());
    std::erase_if(
        seen, [&](auto at) { return at < started + told || at >= std::min(until, started + terms.cold); });
    verdict.lookups = seen.size();
    std::size_t first = 0;
    for (std::size_t last = 0; last < seen.size(); last++) {
        while (seen[last] - seen[first] >= terms.window - slack) first++;
        auto count = static_cast<double>(last - first + 1);
        auto whole = terms.whole(seen[last] - started);
        if (chance) whole += 2 * std::sqrt(whole) + 2;
        verdict.windows++;
        verdict.exceeded += count > whole + 1e-6;
        if (count / whole > verdict.most_share) {
            verdict.most_share = count / whole;
            verdict.fullest_after = seen[last] - started;
        }
    }
    double allowed = 0;
    constexpr std::int64_t step = 10'000;
    for (auto at = started; at < std::min(until, started + terms.cold); at += step)
        allowed += terms.whole(at - started) * step / static_cast<double>(terms.window);
    verdict.used_share = allowed > 0 ? static_cast<double>(seen.size()) / allowed : 0;
    return verdict;
}

}  // namespace quillgrade::rig
