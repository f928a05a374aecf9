#include "members/book.hpp"

#include <algorithm>
#include <set>
#include <tuple>

namespace quillgrade::members {

namespace {

constexpr std::size_t max_gone = 4096;  // beyond it, ids of servers that are gone are forgotten after a time
constexpr Micros gone_retention = 600'000'000;

int severity(EndpointState listed) {
    return listed == EndpointState::Gone ? 2 : listed == EndpointState::Draining ? 1 : 0;
}

bool equal(const feed::Endpoint& a, const feed::Endpoint& b) {
    return std::tie(a.address, a.port, a.entry.state, a.entry.weight, a.entry.kind, a.entry.cell,
                    a.entry.zone, a.entry.started_at) == std::tie(b.address, b.port, b.entry.state,
                                                                  b.entry.weight, b.entry.kind, b.entry.cell,
                                                                  b.entry.zone, b.entry.started_at);
}

}  // namespace

MergedEndpoints::MergedEndpoints(const SiteSettings& facts, const std::vector<std::string>& zones,
                                 operate::EndpointListMode endpoint_list_mode)
    : zone(facts.zone),
      parent_kind(facts.parent_kind),
      origin_kind(facts.origin_kind),
      zones(zones),
      endpoint_list_mode(endpoint_list_mode) {}

// Caches of other zones get no requests from this router, so it is not told of them.
bool MergedEndpoints::is_relevant(const feed::Endpoint& endpoint) const {
    return endpoint.entry.zone == zone || endpoint.entry.kind == parent_kind ||
           endpoint.entry.kind == origin_kind;
}

const feed::Endpoint* MergedEndpoints::find_streamed(CacheId id) const {
    if (!streamed_endpoints) return nullptr;
    auto found = std::lower_bound(streamed_endpoints->begin(), streamed_endpoints->end(), id,
                                  [](auto& endpoint, CacheId wanted) { return endpoint.entry.id < wanted; });
    return found != streamed_endpoints->end() && found->entry.id == id ? &*found : nullptr;
}

// The merged entry of one id; empty: it is not in the merged list.
std::optional<feed::Endpoint> MergedEndpoints::merge(CacheId id, const feed::Endpoint* streamed) const {
    auto by_coordinator = listed.find(id);
    bool is_listed = by_coordinator != listed.end();
    bool only_streamed = streamed_endpoints && endpoint_list_mode == operate::EndpointListMode::Streamed;
    if (gone.contains(id) || (streamed && streamed->entry.state == EndpointState::Gone)) return {};
    if (!streamed) return is_listed && !only_streamed ? std::optional(by_coordinator->second) : std::nullopt;
    auto by_stream = *streamed;
    if (auto assumed = assumed_starts.find(id);
        by_stream.entry.started_at == 0 && assumed != assumed_starts.end())
        by_stream.entry.started_at = assumed->second;
    if (!is_listed) return by_stream;
    auto merged = only_streamed ? by_stream : by_coordinator->second;
    merged.entry.started_at = std::max(by_stream.entry.started_at, by_coordinator->second.entry.started_at);
    if (severity(by_stream.entry.state) > severity(merged.entry.state))
        merged.entry.state = by_stream.entry.state;
    if (severity(by_coordinator->second.entry.state) > severity(merged.entry.state))
        merged.entry.state = by_coordinator->second.entry.state;
    return merged;
}

void MergedEndpoints::announce_changes(CacheId id, const feed::Endpoint* streamed, feed::Listing& changes,
                                       feed::Listing& removals) {
    auto merged = merge(id, streamed);
    if (merged && !is_relevant(*merged)) merged.reset();
    auto known = announced.find(id);
    if (merged) {
        if (known != announced.end() && equal(known->second, *merged)) return;
        changes.caches.push_back(*merged);
        announced[id] = *merged;
    } else if (known != announced.end()) {
        known->second.entry.state = EndpointState::Gone;
        removals.caches.push_back(known->second);
        announced.erase(known);
    }
}

feed::Listing MergedEndpoints::joined(feed::Listing changes, feed::Listing removals) {
    auto by_id = [](auto& a, auto& b) { return a.entry.id < b.entry.id; };
    std::sort(changes.caches.begin(), changes.caches.end(), by_id);
    changes.caches.insert(changes.caches.end(), removals.caches.begin(), removals.caches.end());
    return changes;
}

feed::Listing MergedEndpoints::update_from_coordinator(const feed::Listing& update, Micros now) {
    std::set<CacheId> touched;
    if (update.complete) {  // a server that is missing from a complete list is gone
        for (auto& [id, endpoint] : listed) {
            gone[id] = now;
            touched.insert(id);
        }
        listed.clear();
    }
    for (auto& endpoint : update.caches) {
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
    feed::Listing changes, removals;
    for (auto id : touched) announce_changes(id, find_streamed(id), changes, removals);
    forget_old(now);
    return joined(std::move(changes), std::move(removals));
}

feed::Listing MergedEndpoints::update_from_stream(std::shared_ptr<const Endpoints> next, Micros now) {
    auto previous = std::exchange(streamed_endpoints, std::move(next));
    static const Endpoints none;
    auto &old = previous ? *previous : none, &current = streamed_endpoints ? *streamed_endpoints : none;
    // EndpointListMode::Streamed applies only while a version is active, so its beginning and end affect
    // every entry.
    bool affects_all =
        endpoint_list_mode == operate::EndpointListMode::Streamed && !previous != !streamed_endpoints;
    feed::Listing changes, removals;
    auto old_endpoint = old.begin();
    for (auto endpoint = current.begin();; ++endpoint) {
        for (; old_endpoint != old.end() &&
               (endpoint == current.end() || old_endpoint->entry.id < endpoint->entry.id);
             ++old_endpoint) {
            assumed_starts.erase(old_endpoint->entry.id);
            announce_changes(old_endpoint->entry.id, nullptr, changes, removals);
        }
        if (endpoint == current.end()) break;
        auto id = endpoint->entry.id;
        bool known = old_endpoint != old.end() && old_endpoint->entry.id == id;
        bool moved =
            known && (old_endpoint->address != endpoint->address || old_endpoint->port != endpoint->port);
        bool is_listed = listed.contains(id);
        if (endpoint->entry.started_at == 0 && (moved || (previous && !known && !is_listed)))
            assumed_starts[id] = now;
        if (!known || moved || !equal(*old_endpoint, *endpoint) || affects_all)
            announce_changes(id, &*endpoint, changes, removals);
        if (known) ++old_endpoint;
    }
    if (affects_all) {
        std::vector<CacheId> ids;
        for (auto& [id, endpoint] : listed) ids.push_back(id);
        for (auto id : ids) announce_changes(id, find_streamed(id), changes, removals);
    }
    forget_old(now);
    return joined(std::move(changes), std::move(removals));
}

StartTimes MergedEndpoints::start_times_since(Micros now, Micros span) const {
    StartTimes recent;
    for (auto& [id, at] : assumed_starts)
        if (now - at < span) recent.emplace_back(id, at);
    return recent;
}

void MergedEndpoints::restore_start_times(const StartTimes& start_times) {
    for (auto& [id, at] : start_times) assumed_starts[id] = at;
}

// Bounds the memory as caches come and go under ever new ids. An id that the active version still lists is
// never forgotten: the server would come back as ready.
void MergedEndpoints::forget_old(Micros now) {
    if (gone.size() <= max_gone) return;
    std::erase_if(gone,
                  [&](auto& one) { return now - one.second > gone_retention && !find_streamed(one.first); });
    while (gone.size() > 2 * max_gone) {
        auto oldest = gone.end();
        for (auto one = gone.begin(); one != gone.end(); ++one)
            if (!find_streamed(one->first) && (oldest == gone.end() || one->second < oldest->second))
                oldest = one;
        if (oldest == gone.end()) return;  // all are listed by the version, whose length bounds them
        gone.erase(oldest);
    }
}

// The zone, or -1 for parents and -2 for the origin, which serve all zones.
int MergedEndpoints::role(const feed::Endpoint& endpoint) const {
    if (endpoint.entry.kind == origin_kind) return -2;
    return endpoint.entry.kind == parent_kind ? -1 : endpoint.entry.zone;
}

std::optional<std::string> MergedEndpoints::describe_unserved(const Endpoints& next,
                                                              const std::vector<int>& emptied_zones) const {
    bool only_streamed = endpoint_list_mode == operate::EndpointListMode::Streamed;
    std::map<int, int> before, after;  // number of ready servers, by role()
    auto count = [&](std::map<int, int>& ready_servers, const feed::Endpoint& endpoint) {
        bool ready = endpoint.entry.state == EndpointState::Ready && !gone.contains(endpoint.entry.id);
        auto by_coordinator = listed.find(endpoint.entry.id);
        if (by_coordinator != listed.end() && by_coordinator->second.entry.state != EndpointState::Ready)
            ready = false;
        if (ready) ready_servers[role(endpoint)]++;
    };
    auto contains = [](const Endpoints& endpoints, CacheId id) {
        auto found =
            std::lower_bound(endpoints.begin(), endpoints.end(), id,
                             [](auto& endpoint, CacheId wanted) { return endpoint.entry.id < wanted; });
        return found != endpoints.end() && found->entry.id == id;
    };
    if (streamed_endpoints)
        for (auto& endpoint : *streamed_endpoints) count(before, endpoint);
    for (auto& endpoint : next) count(after, endpoint);
    for (auto& [id, endpoint] : listed) {
        if (!find_streamed(id) && !(only_streamed && streamed_endpoints)) count(before, endpoint);
        if (!contains(next, id) && !only_streamed) count(after, endpoint);
    }
    std::string unserved;
    for (auto& [server_role, ready] : before) {
        if (after[server_role] > 0) continue;
        if (server_role >= 0 &&
            std::find(emptied_zones.begin(), emptied_zones.end(), server_role) != emptied_zones.end())
            continue;
        auto name = server_role == -2   ? std::string("the origin")
                    : server_role == -1 ? std::string("the parents")
                                        : "zone '" + zones[static_cast<std::size_t>(server_role)] + "'";
        unserved += (unserved.empty() ? "" : ", ") + name;
        if (unserved.size() > 200) break;
    }
    if (unserved.empty()) return {};
    return "it would leave " + unserved +
           " without a ready server; list a zone in 'emptied' if that is intended";
}

}  // namespace quillgrade::members
