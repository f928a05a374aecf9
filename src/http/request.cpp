#include "http/request.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>

namespace quillgrade::http {

namespace {

constexpr Micros ms = 1000;

}  // namespace

std::string cache_name(CacheId id) { return fmt::format("s-{:08x}", id); }

std::string Request::head_text(Micros budget) const {
    // Rounded down, so that a budget never passes the client's time.
    return head + (has_budget ? fmt::format("X-Budget: {}\r\n\r\n", budget / ms) : "\r\n");
}

std::string Request::text(Micros budget) const { return head_text(budget) + (body ? *body : ""); }

Request transmission(const LookupInfo& lookup, const AttemptPlan& order, std::string_view traffic,
                     const Carried& carried) {
    Request request{.head = {}, .body = carried.body, .has_budget = true};
    request.head.reserve(512);
    auto put = std::back_inserter(request.head);
    fmt::format_to(put, "GET /data/{}/{:016x}/{} HTTP/1.1\r\nHost: {}\r\nX-Hop-Id: {:016x}\r\n", traffic,
                   lookup.wire_object ? lookup.wire_object : lookup.object, lookup.part,
                   cache_name(order.cache), lookup.id);
    if (lookup.wire_object) fmt::format_to(put, "X-Key: {:016x}\r\n", lookup.object);
    if (order.upstream != 0 && order.upstream != order.cache)
        fmt::format_to(put, "X-Parent: {}\r\n", cache_name(order.upstream));
    if (order.rank > 0) fmt::format_to(put, "X-Rank: {}\r\n", order.rank);
    // Rounded down, so that no copy is older than allowed; 0 would ask for the fresh time of the traffic
    // type, so the youngest that can be asked for is 1 ms.
    if (order.max_copy_age > 0)
        fmt::format_to(put, "X-Fresh-Ms: {}\r\n", std::max<Micros>(1, order.max_copy_age / ms));
    std::string options;
    auto option = [&](bool wanted, const char* word) {
        if (!wanted) return;
        if (!options.empty()) options += '+';
        options += word;
    };
    option(order.collapse, "ride");
    option(order.only_if_cached, "have-only");
    option(order.refresh, "update");
    if (!options.empty()) fmt::format_to(put, "X-Opts: {}\r\n", options);
    if (!carried.have.empty()) fmt::format_to(put, "X-Have: {}\r\n", carried.have);
    if (!carried.ticket.empty()) fmt::format_to(put, "X-Replay-Key: {}\r\n", carried.ticket);
    if (carried.body) fmt::format_to(put, "Content-Length: {}\r\n", carried.body->size());
    return request;
}

Request probe() {
    return {.head = "GET /-/gauges HTTP/1.1\r\nHost: cache\r\n", .body = {}, .has_budget = false};
}

}  // namespace quillgrade::http
