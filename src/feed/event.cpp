#include "feed/event.hpp"

#include <array>

namespace quillgrade::feed {

namespace {

using bytes::Cursor;
using bytes::Malformed;

constexpr Micros ms = 1000;
constexpr std::uint64_t latest_ms = 1ULL << 50;

Micros read_ms(Cursor& in) {
    auto value = in.number(8);
    if (value > latest_ms) throw Malformed("a time is beyond measure");
    return static_cast<Micros>(value) * ms;
}

// A purge happens somewhere within the millisecond that is told; no copy of that millisecond is trusted.
Micros end_of_ms(Micros at) { return at + ms - 1; }

Endpoint read_record(Cursor& in, const site::Terms& terms) {
    Endpoint endpoint;
    auto& entry = endpoint.entry;
    entry.id = in.number(4);
    endpoint.address = static_cast<std::uint32_t>(in.number(4));
    endpoint.port = static_cast<std::uint16_t>(in.number(2));
    static constexpr std::array states = {EndpointState::Ready, EndpointState::Draining, EndpointState::Gone};
    auto state = in.number(1), zone = in.number(1), kind = in.number(1);
    if (state > 2 || zone >= terms.zones.size() || kind >= terms.kinds.size())
        throw Malformed("a record of the list names what the settings do not hold");
    entry.state = states[state];
    entry.zone = static_cast<int>(zone);
    entry.kind = static_cast<int>(kind);
    entry.cell = static_cast<int>(in.number(2));
    entry.weight = static_cast<double>(in.number(4)) / 1000;
    entry.started_at = read_ms(in);
    return endpoint;
}

}  // namespace

Event decode(std::string_view frame, const site::Terms& terms) {
    Cursor in(frame);
    Event event;
    event.number = in.number(8);
    auto kind = in.number(1);
    if (kind == 1 || kind == 2) {
        Listing listing{.complete = kind == 1, .caches = {}};
        while (!in.at_end()) listing.caches.push_back(read_record(in, terms));
        event.what = std::move(listing);
    } else if (kind == 3) {
        auto object = in.number(8);
        event.what = PurgeNotice{.object = object, .group = 0, .at = end_of_ms(read_ms(in))};
    } else if (kind == 4) {
        auto group = static_cast<int>(in.number(2));
        event.what = PurgeNotice{.object = 0, .group = group, .at = end_of_ms(read_ms(in))};
    } else if (kind != 0) {
        throw Malformed("a frame of an unknown kind");
    }
    if (!in.at_end()) throw Malformed("bytes are left after a frame");
    return event;
}

std::string ask_from(std::uint64_t last) {
    std::string out;
    bytes::put_number(out, 8, last);
    return out;
}

}  // namespace quillgrade::feed
