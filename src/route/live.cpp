#include "route/live.hpp"

#include <algorithm>

namespace quillgrade::route {

void Live::put_in_force(std::shared_ptr<const RuleSet> set) {
    std::erase_if(older, [](auto& one) { return one.expired(); });
    if (current) older.push_back(current);
    current = set ? std::make_shared<Running>(std::move(set)) : nullptr;
    if (current) follow(*current);
}

void Live::list(const feed::Listing& listing) {
    if (listing.complete) boxes.clear();
    for (auto& box : listing.caches) {
        if (box.entry.state == EndpointState::Gone)
            boxes.erase(box.entry.id);
        else
            boxes[box.entry.id] = box;
    }
    if (current) follow(*current);
    std::erase_if(older, [](auto& one) { return one.expired(); });
    for (auto& one : older) follow(*one.lock());
}

void Live::follow(Running& running) const {
    std::vector<feed::Endpoint> all;
    all.reserve(boxes.size());
    for (auto& [id, box] : boxes) all.push_back(box);
    if (running.set->pools().empty()) return;
    // In place: lookups under way look at these very lists.
    auto now = running.set->members(all, site);
    for (std::size_t pool = 0; pool < now.size(); pool++) running.members[pool] = std::move(now[pool]);
}

std::vector<expression::FieldFacts> Live::named() const {
    return current ? current->set->named() : std::vector<expression::FieldFacts>{};
}

void Live::narrow(const Told& told, LookupInfo& facts, Micros taken) {
    if (!current) return;
    auto decision = current->set->decide(told, current->runner);
    counted.decided++;
    counted.failed += current->runner.failed;
    counted.looser += decision.looser;
    if (decision.rule < 0) return;
    counted.matched++;
    if (decision.traffic >= 0) facts.traffic = decision.traffic;
    if (decision.key) {
        facts.wire_object = facts.object;
        facts.object = *decision.key;
    }
    if (decision.limit > 0) facts.deadline = std::min(facts.deadline, taken + decision.limit);
    facts.max_attempts = decision.transmissions;
    facts.no_hedging = decision.no_copies;
    if (decision.pool >= 0)
        facts.allowed_caches = std::shared_ptr<const std::vector<CacheId>>(
            current, &current->members[static_cast<std::size_t>(decision.pool)]);
}

std::size_t Live::sets() const {
    return (current ? 1 : 0) + static_cast<std::size_t>(std::count_if(
                                   older.begin(), older.end(), [](auto& one) { return !one.expired(); }));
}

}  // namespace quillgrade::route
