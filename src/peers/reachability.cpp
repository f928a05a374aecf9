#include "peers/reachability.hpp"

#include <algorithm>

namespace quillgrade::peers {

namespace {

constexpr std::size_t most_facts = 64, most_ears = 256;
constexpr int misses = 4;  // in a row: with two in five lost, one pair in forty would be called cut
constexpr Micros lasts = 60'000'000, again_after = 20'000'000;

}  // namespace

Reachability::Fact* Reachability::find(RouterIndex speaker, RouterIndex listener) {
    auto found = facts.find({speaker, listener});
    return found == facts.end() ? nullptr : &found->second;
}

const Reachability::Fact* Reachability::find(RouterIndex speaker, RouterIndex listener) const {
    auto found = facts.find({speaker, listener});
    return found == facts.end() ? nullptr : &found->second;
}

bool Reachability::say(RouterIndex speaker, bool cut, Micros now) {
    if (facts.size() >= most_facts && !find(speaker, self)) return false;
    facts[{speaker, self}] = {{speaker, self, ++statements, cut}, 0, now, 0};
    return true;
}

bool Reachability::record_received(RouterIndex speaker, Micros now) {
    ears.erase(speaker);
    auto* fact = find(speaker, self);
    if (!fact || !fact->what.down) return false;
    say(speaker, false, now);
    return true;
}

bool Reachability::record_missed(RouterIndex speaker, Micros now) {
    if (ears.size() >= most_ears && !ears.contains(speaker)) return false;
    auto& ear = ears[speaker];
    if (ear.missed++ == 0) ear.first = now;
    if (ear.missed < misses || is_down(speaker, self)) {
        // What still holds is said again now and then, else the others would take it for over.
        auto* fact = find(speaker, self);
        if (fact && fact->what.down && now - fact->at > again_after) say(speaker, true, now);
        return false;
    }
    return say(speaker, true, now);
}

bool Reachability::merge_report(const LinkReport& fact, Generation listener_life, Micros now) {
    if (fact.receiver == self) return false;
    auto* known = find(fact.sender, fact.receiver);
    if (!known && (!fact.down || facts.size() >= most_facts)) return false;
    if (known && (known->life > listener_life ||
                  (known->life == listener_life && known->what.sequence >= fact.sequence)))
        return false;
    facts[{fact.sender, fact.receiver}] = {fact, listener_life, now, 0};
    return true;
}

// Returns the cuts among the facts that are dropped, as reports of their ends.
template <class Ended>
std::vector<LinkReport> Reachability::drop_facts(Ended ended) {
    std::vector<LinkReport> ended_cuts;
    std::erase_if(facts, [&](auto& entry) {
        const Fact& fact = entry.second;
        if (!ended(fact)) return false;
        if (fact.what.down)
            ended_cuts.push_back({fact.what.sender, fact.what.receiver, fact.what.sequence, false});
        return true;
    });
    return ended_cuts;
}

std::vector<LinkReport> Reachability::forget(RouterIndex router) {
    ears.erase(router);
    return drop_facts(
        [&](const Fact& fact) { return fact.what.sender == router || fact.what.receiver == router; });
}

std::vector<LinkReport> Reachability::expire(Micros now) {
    return drop_facts([&](const Fact& fact) { return now - fact.at > lasts; });
}

bool Reachability::is_down(RouterIndex speaker, RouterIndex listener) const {
    auto* fact = find(speaker, listener);
    return fact && fact->what.down;
}

std::vector<LinkReport> Reachability::next_reports(std::size_t most, int times) {
    std::vector<Fact*> due;
    for (auto& [pair, fact] : facts)
        if (fact.told < times) due.push_back(&fact);
    std::stable_sort(due.begin(), due.end(), [](auto* a, auto* b) { return a->told < b->told; });
    if (due.size() > most) due.resize(most);
    std::vector<LinkReport> all;
    for (auto* fact : due) {
        fact->told++;
        all.push_back(fact->what);
    }
    return all;
}

std::vector<LinkReport> Reachability::down_links() const {
    std::vector<LinkReport> all;
    for (auto& [pair, fact] : facts)
        if (fact.what.down) all.push_back(fact.what);
    return all;
}

std::vector<LinkReport> Reachability::next_down_links(std::size_t most) {
    auto all = down_links();
    if (all.size() <= most) return all;
    next_in_digest %= all.size();
    std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(next_in_digest), all.end());
    all.resize(most);
    next_in_digest += most;
    return all;
}

std::vector<LinkReport> Reachability::recovered_among(const std::vector<LinkReport>& held) const {
    std::vector<LinkReport> ended;
    for (auto& report : held) {
        auto* known = find(report.sender, report.receiver);
        if (report.down && known && !known->what.down && known->what.sequence > report.sequence)
            ended.push_back(known->what);
    }
    return ended;
}

bool Reachability::needs_another_probe(RouterIndex speaker) const {
    // Guards against probes for facts that there is no room for, from all routers of two regions at once.
    if (facts.size() >= most_facts) return false;
    auto found = ears.find(speaker);
    return found != ears.end() && found->second.missed < misses && !is_down(speaker, self);
}

}  // namespace quillgrade::peers
