// The events of the start, as the configuration holds them.
#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "feed/event.hpp"

namespace quillgrade::feed {

namespace {

using nlohmann::json;
using site::Unusable;

constexpr Micros ms = 1000;

int place_of(const std::string& name, const std::vector<std::string>& names) {
    auto found = std::find(names.begin(), names.end(), name);
    if (found == names.end()) throw Unusable("known events: unknown word '" + name + "'");
    return static_cast<int>(found - names.begin());
}

std::uint64_t read_id(const std::string& text, std::string_view prefix, std::size_t digits) {
    auto id = text.starts_with(prefix) ? bytes::read_hex(std::string_view(text).substr(prefix.size()), digits)
                                       : std::nullopt;
    if (!id) throw Unusable("known events: '" + text + "' is no id");
    return *id;
}

Micros read_ms(const json& value) {
    auto stated = value.get<std::int64_t>();
    if (stated < 0 || stated > std::int64_t{1} << 50)
        throw Unusable("known events: a time is beyond measure");
    return stated * ms;
}

Endpoint read_endpoint(const json& told, const site::Terms& terms) {
    static const std::vector<std::string> states = {"in_service", "terminated", "terminating"};
    Endpoint endpoint;
    auto& entry = endpoint.entry;
    entry.id = read_id(told.at("id").get<std::string>(), "s-", 8);
    auto address = read_address(told.at("addr").get<std::string>());
    endpoint.address = address.host;
    endpoint.port = address.port;
    entry.zone = place_of(told.at("zone").get<std::string>(), terms.zones);
    entry.kind = place_of(told.at("kind").get<std::string>(), terms.kinds);
    entry.cell = told.value("cell", 0);
    entry.state = static_cast<EndpointState>(place_of(told.at("state").get<std::string>(), states));
    entry.weight = told.at("weight").get<double>();
    if (!(entry.weight >= 0 && entry.weight < 1e9)) throw Unusable("known events: a weight is out of range");
    entry.started_at = read_ms(told.at("started_ms"));
    return endpoint;
}

Event read_event(const json& told, const site::Terms& terms) {
    Event event;
    event.number = told.at("index").get<std::uint64_t>();
    if (told.contains("endpoints")) {
        auto& list = told.at("endpoints");
        Listing listing{.complete = list.at("full").get<bool>(), .caches = {}};
        for (auto& entry : list.at("servers")) listing.caches.push_back(read_endpoint(entry, terms));
        event.what = std::move(listing);
    } else if (told.contains("evict")) {
        auto& purge = told.at("evict");
        PurgeNotice notice;
        if (purge.contains("ref")) notice.object = read_id(purge.at("ref").get<std::string>(), "", 16);
        if (purge.contains("shard")) notice.group = purge.at("shard").get<int>();
        notice.at = read_ms(purge.at("unix_ms")) + ms - 1;  // as in the stream
        event.what = notice;
    }
    return event;
}

}  // namespace

Known read_known(const json& told, const site::Terms& terms) {
    try {
        Known known;
        known.last = told.at("index").get<std::uint64_t>();
        for (auto& event : told.at("updates")) known.events.push_back(read_event(event, terms));
        return known;
    } catch (const json::exception& error) {
        throw Unusable(std::string("known events: ") + error.what());
    }
}

Address read_address(std::string_view text) {
    Address address;
    auto rest = text;
    auto number = [&](char end, unsigned most) {
        unsigned value = 0;
        auto [stop, error] = std::from_chars(rest.data(), rest.data() + rest.size(), value);
        bool last = end == '\0';
        bool at_end = stop == rest.data() + rest.size();
        if (error != std::errc{} || value > most || (last ? !at_end : (at_end || *stop != end)))
            throw Unusable("'" + std::string(text) + "' is no address");
        rest.remove_prefix(stop - rest.data() + (last ? 0 : 1));
        return value;
    };
    for (char end : {'.', '.', '.', ':'}) address.host = address.host << 8 | number(end, 255);
    address.port = static_cast<std::uint16_t>(number('\0', 65535));
    return address;
}

}  // namespace quillgrade::feed
