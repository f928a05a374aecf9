#include "peers/reachability.hpp"

#include <algorithm>

namespace quillgrade::peers {

namespace {

constexpr std::size_t most_facts = 64, most_ears = 256;
constexpr int misses = 4;  // in a row: with two in five lost, one pair in forty would be called cut
constexpr Micros lasts = 60'000'000, again_after = 20'000'000;

}  // namespace

Reachability::Fact* Reachability::find(Number speaker, Number listener) {
    auto found = facts.find({speaker, listener});
    return found == facts.end() ? nullptr : &found->second;
}

const Reachability::Fact* Reachability::find(Number speaker, Number listener) const {
    auto found = facts.find({speaker, listener});
    return found == facts.end() ? nullptr : &found->second;
}

bool Reachability::say(Number speaker, bool cut, Micros now) {
    if (facts.size() >= most_facts && !find(speaker, self)) return false;
    facts[{speaker, self}] = {{speaker, self, ++statements, cut}, 0, now, 0};
    return true;
}

bool Reachability::heard(Number speaker, Micros now) {
    ears.erase(speaker);
    auto* fact = find(speaker, self);
    if (!fact || !fact->what.cut) return false;
    say(speaker, false, now);
    return true;
}

bool Reachability::missed(Number speaker, Micros now) {
    if (ears.size() >= most_ears && !ears.contains(speaker)) return false;
    auto& ear = ears[speaker];
    if (ear.missed++ == 0) ear.first = now;
    if (ear.missed < misses || cut(speaker, self)) {
        // What still holds is said again now and then, else the others would take it for over.
        auto* fact = find(speaker, self);
        if (fact && fact->what.cut && now - fact->at > again_after) say(speaker, true, now);
        return false;
    }
    return say(speaker, true, now);
}

bool Reachability::told(const LinkReport& fact, Life listener_life, Micros now) {
    if (fact.listener == self) return false;
    auto* known = find(fact.speaker, fact.listener);
    if (!known && (!fact.cut || facts.size() >= most_facts)) return false;
    if (known &&
        (known->life > listener_life || (known->life == listener_life && known->what.said >= fact.said)))
        return false;
    facts[{fact.speaker, fact.listener}] = {fact, listener_life, now, 0};
    return true;
}

// Returns the cuts among the facts that are dropped, as reports of their ends.
template <class Ended>
std::vector<LinkReport> Reachability::drop_facts(Ended ended) {
    std::vector<LinkReport> ended_cuts;
    std::erase_if(facts, [&](auto& entry) {
        const Fact& fact = entry.second;
        if (!ended(fact)) return false;
        if (fact.what.cut)
            ended_cuts.push_back({fact.what.speaker, fact.what.listener, fact.what.said, false});
        return true;
    });
    return ended_cuts;
}

std::vector<LinkReport> Reachability::forget(Number router) {
    ears.erase(router);
    return drop_facts(
        [&](const Fact& fact) { return fact.what.speaker == router || fact.what.listener == router; });
}

std::vector<LinkReport> Reachability::expire(Micros now) {
    return drop_facts([&](const Fact& fact) { return now - fact.at > lasts; });
}

bool Reachability::cut(Number speaker, Number listener) const {
    auto* fact = find(speaker, listener);
    return fact && fact->what.cut;
}

std::vector<LinkReport> Reachability::to_tell(std::size_t most, int times) {
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

std::vector<LinkReport> Reachability::cuts() const {
    std::vector<LinkReport> all;
    for (auto& [pair, fact] : facts)
        if (fact.what.cut) all.push_back(fact.what);
    return all;
}

std::vector<LinkReport> Reachability::next_cuts(std::size_t most) {
    auto all = cuts();
    if (all.size() <= most) return all;
    next_in_digest %= all.size();
    std::rotate(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(next_in_digest), all.end());
    all.resize(most);
    next_in_digest += most;
    return all;
}

std::vector<LinkReport> Reachability::ended_of(const std::vector<LinkReport>& held) const {
    std::vector<LinkReport> ended;
    for (auto& report : held) {
        auto* known = find(report.speaker, report.listener);
        if (report.cut && known && !known->what.cut && known->what.said > report.said)
            ended.push_back(known->what);
    }
    return ended;
}

bool Reachability::doubtful(Number speaker) const {
    // Guards against probes for facts that there is no room for, from all routers of two regions at once.
    if (facts.size() >= most_facts) return false;
    auto found = ears.find(speaker);
    return found != ears.end() && found->second.missed < misses && !cut(speaker, self);
}

}  // namespace quillgrade::peers
