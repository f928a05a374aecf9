#include "peers/suspicion.hpp"

#include <algorithm>

namespace quillgrade::peers {

const Suspicion* Suspicions::find(RouterIndex who) const {
    auto found = open.find(who);
    return found == open.end() ? nullptr : &found->second;
}

bool Suspicions::accuse(RouterIndex who, RouterIndex accuser, Micros age, Micros now) {
    // Guards against an age that somebody invents, or that a clock makes: half of the shortest time is always
    // left to answer.
    auto since = now - std::clamp<Micros>(age, 0, times.shortest / 2);
    auto [place, fresh] = open.try_emplace(who);
    auto& one = place->second;
    if (fresh) one.since = since;
    one.since = std::min(one.since, std::max(since, one.since - times.shortest / 2));
    if (accuser < 0) return fresh;
    if (std::count(one.accusers.begin(), one.accusers.end(), accuser)) return false;
    if (one.accusers.size() >= most_accusers) return false;
    one.accusers.push_back(accuser);
    return true;
}

Micros Suspicions::due(const Suspicion& suspicion, Micros heard) const {
    auto wait = suspicion.accusers.size() > 1 ? times.shortest : times.longest;
    return std::max(suspicion.since, heard) + wait;
}

Micros Suspicions::verdict_at(const Suspicion& suspicion, Micros heard) const {
    auto when = due(suspicion, heard);
    if (suspicion.called_at == 0) return when + times.to_answer;
    bool in_time = suspicion.called_at <= when - times.to_answer / 2;
    return in_time ? when : suspicion.called_at + times.to_answer;
}

bool Suspicions::wants_last_call(const Suspicion& suspicion, Micros heard, Micros now) const {
    auto shortest_due = std::max(suspicion.since, heard) + times.shortest;
    if (suspicion.called_at == 0) return now >= shortest_due - times.to_answer;
    auto from = due(suspicion, heard) - times.to_answer;
    return now >= from && suspicion.called_at < from - times.to_answer;
}

void Suspicions::set_back(Micros away) {
    for (auto& [who, one] : open) {
        one.since += away;
        one.ask_first = true;
    }
}

void Suspicions::asked(RouterIndex who) {
    auto found = open.find(who);
    if (found != open.end()) found->second.ask_first = false;
}

}  // namespace quillgrade::peers
