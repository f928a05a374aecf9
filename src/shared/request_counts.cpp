#include "shared/request_counts.hpp"

#include <xxhash.h>

#include <algorithm>
#include <bit>
#include <cmath>

namespace quillgrade::shared {

std::uint32_t RequestCounts::bit_of(RouterIndex router) {
    auto number = static_cast<std::uint32_t>(router);
    return 1U << (XXH32(&number, sizeof number, 0) % 32);
}

RequestCounts::RequestCounts(RouterIndex self, int routers)
    : mine(bit_of(self)), times(1 + static_cast<int>(std::ceil(std::log2(routers + 1.0)))) {}

void RequestCounts::turn(Micros now) {
    auto current = epoch_of(now);
    if (current <= epoch) return;  // a clock that was set back waits here
    bool next = current == epoch + 1;
    epoch = current;
    for (auto& [name, one] : names) one = {0, next ? one.now : 0, 0};
    std::erase_if(names, [](auto& one) { return one.second.before == 0; });
    waiting.clear();
}

// Full: names that nobody else has been asked for make room, as they change no draw. Else it is not counted.
RequestCounts::Name* RequestCounts::enter(std::uint64_t name) {
    auto found = names.find(name);
    if (found != names.end()) return &found->second;
    if (names.size() >= max_names)
        std::erase_if(names, [&](auto& one) { return ((one.second.now | one.second.before) & ~mine) == 0; });
    if (names.size() >= max_names) {
        seen_dropped++;
        return nullptr;
    }
    return &names[name];
}

void RequestCounts::spread(std::uint64_t name, Name& one) {
    if (std::popcount(one.now) > saturation_count) return;
    if (one.left <= 0) waiting.push_back(name);
    one.left = static_cast<std::int8_t>(times);
    // What was not told for long is told by others.
    while (waiting.size() > 2 * max_names) waiting.pop_front();
}

int RequestCounts::count_request(std::uint64_t name, Micros now) {
    turn(now);
    auto* one = enter(name);
    if (!one) return 0;
    if (!(one->now & mine)) {
        one->now |= mine;
        spread(name, *one);
    }
    return other_routers_asked(name, now);
}

int RequestCounts::other_routers_asked(std::uint64_t name, Micros /*now*/) const {
    auto found = names.find(name);
    if (found == names.end()) return 0;
    auto& one = found->second;
    return std::max(std::popcount(one.now & ~mine), std::popcount(one.before & ~mine) / 2);
}

bool RequestCounts::receive(const Count& count, Micros now) {
    turn(now);
    bool old = count.epoch + 1 == epoch;
    if (count.epoch != epoch && !old) {
        seen_dropped++;
        return false;
    }
    auto* one = enter(count.name);
    if (!one) return false;
    auto& into = old ? one->before : one->now;
    if ((into | count.askers) == into) return false;
    into |= count.askers;
    if (!old) spread(count.name, *one);
    return true;
}

std::vector<Count> RequestCounts::next_to_send(std::size_t max_count, Micros now) {
    turn(now);
    std::vector<Count> told;
    // The newest first: it is the likeliest to be asked for elsewhere next.
    std::deque<std::uint64_t> again;
    while (told.size() < max_count && !waiting.empty()) {
        auto name = waiting.back();
        waiting.pop_back();
        auto found = names.find(name);
        if (found == names.end() || found->second.left <= 0) continue;
        told.push_back({name, epoch, found->second.now});
        if (--found->second.left > 0) again.push_back(name);
    }
    // Told again after the others.
    for (auto name : again) waiting.push_front(name);
    return told;
}

void RequestCounts::restore_unsent(std::uint64_t name) {
    auto found = names.find(name);
    if (found == names.end()) return;
    if (found->second.left++ <= 0) waiting.push_back(name);
}

}  // namespace quillgrade::shared
