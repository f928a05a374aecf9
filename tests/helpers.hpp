// State for the tests, built directly.
#pragma once

#include "control.hpp"

namespace quillgrade {

constexpr Micros test_ms = 1000, test_second = 1000 * test_ms;
constexpr Micros noon = 1000 * test_second;

inline TrafficFacts pages() {
    return {400 * test_ms, 2, Effect::Rerunnable, Group::All, 4 * test_second, 0, false};
}

inline SiteFacts site() {
    SiteFacts facts{};
    facts.traffic = {pages()};
    facts.routers = 4;
    facts.zone = 1;
    facts.parent_kind = 1;
    facts.origin_kind = 2;
    facts.transmissions_cap = 6;
    facts.routers_by_zone = {0, 2, 2};
    facts.second_copies = facts.withdraw = facts.probes = facts.retry_after = facts.joins = true;
    facts.notes = NotesTold::All;
    facts.kb_per_s = 5000;
    facts.most_retry_after = test_second;
    facts.purge_done = 6 * test_second;
    facts.cold_from = 0.2;
    facts.cold_multiple = 2;
    facts.parent_cold_from = 0.1;
    facts.parent_multiple = 2;
    facts.cold = facts.parent_cold = 10 * test_second;
    facts.cold_window = test_second;
    facts.link_use_at = 1;
    return facts;
}

inline ListEntry entry(CacheId id, int kind = 0, int zone = 1) {
    return {id, Listed::Ready, 6, kind, 7, zone, 0};
}

// Three caches (1 to 3), two parents (11, 12) and the origin (20).
inline Router router(const SiteFacts& facts = site()) {
    Router made(facts, 42);
    made.list({entry(1), entry(2), entry(3), entry(11, 1, 0), entry(12, 1, 0), entry(20, 2, 0)}, true, noon);
    return made;
}

inline LookupFacts lookup(LookupId id, ObjectId object = 77, int part = 0) {
    return {id, 0, object, noon + 4 * test_second, 500, 3, part, false, false};
}

inline AttemptEnd end(Outcome outcome, CacheId cache, Note note = Note::None, int round = 0) {
    return {outcome, 100 * test_ms, 0, round, note, outcome == Outcome::Ok, cache, {}};
}

}  // namespace quillgrade
