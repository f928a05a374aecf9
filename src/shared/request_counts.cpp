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
    : own_bit(bit_of(self)), sends_per_change(1 + static_cast<int>(std::ceil(std::log2(routers + 1.0)))) {}

void RequestCounts::advance_epoch(Micros now) {
    auto current = epoch_of(now);
    if (current <= epoch) return;  // a clock that was set back stays in the epoch
    bool is_next = current == epoch + 1;
    epoch = current;
    for (auto& [name, entry] : entries) entry = {0, is_next ? entry.current : 0, 0};
    std::erase_if(entries, [](auto& entry) { return entry.second.previous == 0; });
    send_queue.clear();
}

// When full, evicts the names that only this router was asked for, as they change no decision. If that frees
// nothing, the name is not counted.
RequestCounts::Entry* RequestCounts::find_or_insert(std::uint64_t name) {
    auto found = entries.find(name);
    if (found != entries.end()) return &found->second;
    if (entries.size() >= max_names)
        std::erase_if(entries, [&](auto& entry) {
            return ((entry.second.current | entry.second.previous) & ~own_bit) == 0;
        });
    if (entries.size() >= max_names) {
        dropped_count++;
        return nullptr;
    }
    return &entries[name];
}

void RequestCounts::enqueue(std::uint64_t name, Entry& entry) {
    if (std::popcount(entry.current) > saturation_count) return;
    if (entry.sends_left <= 0) send_queue.push_back(name);
    entry.sends_left = static_cast<std::int8_t>(sends_per_change);
    // A name that has waited this long is sent by other routers.
    while (send_queue.size() > 2 * max_names) send_queue.pop_front();
}

int RequestCounts::count_lookup(std::uint64_t name, Micros now) {
    advance_epoch(now);
    auto* entry = find_or_insert(name);
    if (!entry) return 0;
    if (!(entry->current & own_bit)) {
        entry->current |= own_bit;
        enqueue(name, *entry);
    }
    return other_routers_asked(name, now);
}

int RequestCounts::other_routers_asked(std::uint64_t name, Micros /*now*/) const {
    auto found = entries.find(name);
    if (found == entries.end()) return 0;
    auto& entry = found->second;
    return std::max(std::popcount(entry.current & ~own_bit), std::popcount(entry.previous & ~own_bit) / 2);
}

bool RequestCounts::receive(const Count& count, Micros now) {
    advance_epoch(now);
    bool is_previous = count.epoch + 1 == epoch;
    if (count.epoch != epoch && !is_previous) {
        dropped_count++;
        return false;
    }
    auto* entry = find_or_insert(count.name);
    if (!entry) return false;
    auto& askers = is_previous ? entry->previous : entry->current;
    if ((askers | count.askers) == askers) return false;
    askers |= count.askers;
    if (!is_previous) enqueue(count.name, *entry);
    return true;
}

std::vector<Count> RequestCounts::next_to_send(std::size_t max_count, Micros now) {
    advance_epoch(now);
    std::vector<Count> counts;
    // The newest first, as it is the likeliest to be looked up elsewhere next.
    std::deque<std::uint64_t> requeued;
    while (counts.size() < max_count && !send_queue.empty()) {
        auto name = send_queue.back();
        send_queue.pop_back();
        auto found = entries.find(name);
        if (found == entries.end() || found->second.sends_left <= 0) continue;
        counts.push_back({name, epoch, found->second.current});
        if (--found->second.sends_left > 0) requeued.push_back(name);
    }
    // Sent again after the others.
    for (auto name : requeued) send_queue.push_front(name);
    return counts;
}

void RequestCounts::restore_unsent(std::uint64_t name) {
    auto found = entries.find(name);
    if (found == entries.end()) return;
    if (found->second.sends_left++ <= 0) send_queue.push_back(name);
}

}  // namespace quillgrade::shared
