#include "peers/suspicion.hpp"

#include <algorithm>

namespace quillgrade::peers {

const Suspicion* Suspicions::find(RouterIndex who) const {
    auto found = open.find(who);
    return found == open.end() ? nullptr : &found->second;
}

bool Suspicions::accuse(RouterIndex who, RouterIndex accuser, Micros age, Micros now) {
    // The reported age may be forged, or wrong because of a clock. Half of the shortest time
    // is always left to refute.
    auto since = now - std::clamp<Micros>(age, 0, times.shortest / 2);
    auto [place, is_new] = open.try_emplace(who);
    auto& one = place->second;
    if (is_new) one.since = since;
    one.since = std::min(one.since, std::max(since, one.since - times.shortest / 2));
    if (accuser < 0) return is_new;
    if (std::count(one.accusers.begin(), one.accusers.end(), accuser)) return false;
    if (one.accusers.size() >= max_accusers) return false;
    one.accusers.push_back(accuser);
    return true;
}

Micros Suspicions::deadline(const Suspicion& suspicion, Micros last_heard) const {
    auto wait = suspicion.accusers.size() > 1 ? times.shortest : times.longest;
    return std::max(suspicion.since, last_heard) + wait;
}

Micros Suspicions::verdict_at(const Suspicion& suspicion, Micros last_heard) const {
    auto refute_until = deadline(suspicion, last_heard);
    if (suspicion.last_call_at == 0) return refute_until + times.last_call_lead;
    bool in_time = suspicion.last_call_at <= refute_until - times.last_call_lead / 2;
    return in_time ? refute_until : suspicion.last_call_at + times.last_call_lead;
}

bool Suspicions::wants_last_call(const Suspicion& suspicion, Micros last_heard, Micros now) const {
    auto shortest_deadline = std::max(suspicion.since, last_heard) + times.shortest;
    if (suspicion.last_call_at == 0) return now >= shortest_deadline - times.last_call_lead;
    auto call_from = deadline(suspicion, last_heard) - times.last_call_lead;
    return now >= call_from && suspicion.last_call_at < call_from - times.last_call_lead;
}

void Suspicions::postpone_all(Micros pause) {
    for (auto& [who, one] : open) {
        one.since += pause;
        one.probe_before_verdict = true;
    }
}

void Suspicions::note_probed(RouterIndex who) {
    auto found = open.find(who);
    if (found != open.end()) found->second.probe_before_verdict = false;
}

}  // namespace quillgrade::peers
