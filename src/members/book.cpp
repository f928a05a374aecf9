#include "members/book.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace quillgrade::members {

namespace {

constexpr std::size_t many_gone = 4096;
constexpr Micros remembered = 600'000'000;

int badness(EndpointState listed) {
    return listed == EndpointState::Gone ? 2 : listed == EndpointState::Draining ? 1 : 0;
}

bool alike(const feed::Endpoint& a, const feed::Endpoint& b) {
    return std::tie(a.address, a.port, a.entry.state, a.entry.weight, a.entry.kind, a.entry.cell,
                    a.entry.zone, a.entry.started_at) == std::tie(b.address, b.port, b.entry.state,
                                                                  b.entry.weight, b.entry.kind, b.entry.cell,
                                                                  b.entry.zone, b.entry.started_at);
}

}  // namespace

MergedEndpoints::MergedEndpoints(const SiteSettings& facts, const std::vector<std::string>& zones,
                                 operate::Membership membership)
    : zone(facts.zone),
      parent_kind(facts.parent_kind),
      origin_kind(facts.origin_kind),
      zones(zones),
      membership(membership) {}

// Endpoints of other locations are never asked, so the router is not told of them.
bool MergedEndpoints::ours(const feed::Endpoint& endpoint) const {
    return endpoint.entry.zone == zone || endpoint.entry.kind == parent_kind ||
           endpoint.entry.kind == origin_kind;
}

const feed::Endpoint* MergedEndpoints::in_stream(CacheId id) const {
    if (!boxes) return nullptr;
    auto at = std::lower_bound(boxes->begin(), boxes->end(), id,
                               [](auto& box, CacheId wanted) { return box.entry.id < wanted; });
    return at != boxes->end() && at->entry.id == id ? &*at : nullptr;
}

// What the router is to be told of one id; empty: it is no member.
std::optional<feed::Endpoint> MergedEndpoints::member(CacheId id, const feed::Endpoint* streamed) const {
    auto platform = listed.find(id);
    bool has = platform != listed.end();
    bool only_streamed = boxes && membership == operate::Membership::Streamed;
    if (gone.contains(id) || (streamed && streamed->entry.state == EndpointState::Gone)) return {};
    if (!streamed) return has && !only_streamed ? std::optional(platform->second) : std::nullopt;
    auto own = *streamed;
    if (auto since = started.find(id); own.entry.started_at == 0 && since != started.end())
        own.entry.started_at = since->second;
    if (!has) return own;
    auto made = only_streamed ? own : platform->second;
    made.entry.started_at = std::max(own.entry.started_at, platform->second.entry.started_at);
    if (badness(own.entry.state) > badness(made.entry.state)) made.entry.state = own.entry.state;
    if (badness(platform->second.entry.state) > badness(made.entry.state))
        made.entry.state = platform->second.entry.state;
    return made;
}

void MergedEndpoints::compare(CacheId id, const feed::Endpoint* streamed, feed::Listing& changes,
                              feed::Listing& leaving) {
    auto now = member(id, streamed);
    if (now && !ours(*now)) now.reset();
    auto known = told.find(id);
    if (now) {
        if (known != told.end() && alike(known->second, *now)) return;
        changes.caches.push_back(*now);
        told[id] = *now;
    } else if (known != told.end()) {
        known->second.entry.state = EndpointState::Gone;
        leaving.caches.push_back(known->second);
        told.erase(known);
    }
}

feed::Listing MergedEndpoints::joined(feed::Listing changes, feed::Listing leaving) {
    auto by_id = [](auto& a, auto& b) { return a.entry.id < b.entry.id; };
    std::sort(changes.caches.begin(), changes.caches.end(), by_id);
    changes.caches.insert(changes.caches.end(), leaving.caches.begin(), leaving.caches.end());
    return changes;
}

feed::Listing MergedEndpoints::update_from_coordinator(const feed::Listing& news, Micros now) {
    std::set<CacheId> touched;
    if (news.complete) {  // whoever is missing from it has gone
        for (auto& [id, endpoint] : listed) {
            gone[id] = now;
            touched.insert(id);
        }
        listed.clear();
    }
    for (auto& endpoint : news.caches) {
        auto id = endpoint.entry.id;
        touched.insert(id);
        if (endpoint.entry.state == EndpointState::Gone) {
            listed.erase(id);
            gone[id] = now;
        } else {
            listed[id] = endpoint;
            gone.erase(id);
        }
    }
    feed::Listing changes, leaving;
    for (auto id : touched) compare(id, in_stream(id), changes, leaving);
    forget_old(now);
    return joined(std::move(changes), std::move(leaving));
}

feed::Listing MergedEndpoints::update_from_stream(std::shared_ptr<const Endpoints> next, Micros now) {
    auto before = std::exchange(boxes, std::move(next));
    static const Endpoints none;
    auto &old = before ? *before : none, &fresh = boxes ? *boxes : none;
    // The kind of membership begins and ends with a version in force, and then touches every box.
    bool all = membership == operate::Membership::Streamed && !before != !boxes;
    feed::Listing changes, leaving;
    auto was = old.begin();
    for (auto box = fresh.begin();; ++box) {
        for (; was != old.end() && (box == fresh.end() || was->entry.id < box->entry.id); ++was) {
            started.erase(was->entry.id);
            compare(was->entry.id, nullptr, changes, leaving);
        }
        if (box == fresh.end()) break;
        auto id = box->entry.id;
        bool known = was != old.end() && was->entry.id == id;
        bool moved = known && (was->address != box->address || was->port != box->port);
        bool listed_so = listed.contains(id);
        if (box->entry.started_at == 0 && (moved || (before && !known && !listed_so))) started[id] = now;
        if (!known || moved || !alike(*was, *box) || all) compare(id, &*box, changes, leaving);
        if (known) ++was;
    }
    if (all) {
        std::vector<CacheId> ids;
        for (auto& [id, endpoint] : listed) ids.push_back(id);
        for (auto id : ids) compare(id, in_stream(id), changes, leaving);
    }
    forget_old(now);
    return joined(std::move(changes), std::move(leaving));
}

StartTimes MergedEndpoints::start_times_since(Micros now, Micros span) const {
    StartTimes late;
    for (auto& [id, at] : started)
        if (now - at < span) late.emplace_back(id, at);
    return late;
}

void MergedEndpoints::restore_start_times(const StartTimes& starts) {
    for (auto& [id, at] : starts) started[id] = at;
}

// Guards against memory that grows as caches come and go under ever new ids. What a version in force still
// names is never forgotten: it would come back as ready.
void MergedEndpoints::forget_old(Micros now) {
    if (gone.size() <= many_gone) return;
    std::erase_if(gone, [&](auto& one) { return now - one.second > remembered && !in_stream(one.first); });
    while (gone.size() > 2 * many_gone) {
        auto oldest = gone.end();
        for (auto one = gone.begin(); one != gone.end(); ++one)
            if (!in_stream(one->first) && (oldest == gone.end() || one->second < oldest->second))
                oldest = one;
        if (oldest == gone.end()) return;  // all are named by the version, which bounds them
        gone.erase(oldest);
    }
}

int MergedEndpoints::role(const feed::Endpoint& endpoint) const {
    if (endpoint.entry.kind == origin_kind) return -2;
    return endpoint.entry.kind == parent_kind ? -1 : endpoint.entry.zone;
}

std::optional<std::string> MergedEndpoints::describe_unserved(const Endpoints& next,
                                                              const std::vector<int>& emptied) const {
    bool streamed_only = membership == operate::Membership::Streamed;
    std::map<int, int> before, after;  // ready servers: by zone, of parents (-1), of the origin (-2)
    auto count = [&](std::map<int, int>& into, const feed::Endpoint& box) {
        bool ready = box.entry.state == EndpointState::Ready && !gone.contains(box.entry.id);
        auto platform = listed.find(box.entry.id);
        if (platform != listed.end() && platform->second.entry.state != EndpointState::Ready) ready = false;
        if (ready) into[role(box)]++;
    };
    auto named = [](const Endpoints& list, CacheId id) {
        auto at = std::lower_bound(list.begin(), list.end(), id,
                                   [](auto& box, CacheId wanted) { return box.entry.id < wanted; });
        return at != list.end() && at->entry.id == id;
    };
    if (boxes)
        for (auto& box : *boxes) count(before, box);
    for (auto& box : next) count(after, box);
    for (auto& [id, box] : listed) {
        if (!in_stream(id) && !(streamed_only && boxes)) count(before, box);
        if (!named(next, id) && !streamed_only) count(after, box);
    }
    std::string all;
    for (auto& [where, ready] : before) {
        if (after[where] > 0) continue;
        if (where >= 0 && std::find(emptied.begin(), emptied.end(), where) != emptied.end()) continue;
        auto name = where == -2   ? std::string("the origin")
                    : where == -1 ? std::string("the parents")
                                  : "zone '" + zones[static_cast<std::size_t>(where)] + "'";
        all += (all.empty() ? "" : ", ") + name;
        if (all.size() > 200) break;
    }
    if (all.empty()) return {};
    return "it would leave " + all +
           " without a server that is ready; name a zone in 'emptied' if that is meant";
}

}  // namespace quillgrade::members
