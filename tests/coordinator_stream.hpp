// The coordinator's side of the discovery stream, written by hand: frames, and records of the list.
#pragma once

#include <cstdint>
#include <string>

#include "helpers.hpp"

namespace quillgrade {

enum class EventKind { Heartbeat = 0, WholeList = 1, ListChange = 2, ObjectPurge = 3, GroupPurge = 4 };

inline std::string event_frame(std::uint64_t number, EventKind kind, const std::string& payload = "") {
    std::string out;
    bytes::put_number(out, 8, number);
    bytes::put_number(out, 1, static_cast<unsigned>(kind));
    return framed(out + payload);
}

inline std::string heartbeat() { return event_frame(0, EventKind::Heartbeat); }

// A cache of kind "std" in zone "east" of config(), on 127.0.0.1.
inline std::string cache_record(unsigned id, int port, EndpointState listed) {
    constexpr std::uint64_t east = 1, standard_kind = 0, cell = 0, weight_thousandths = 4000, started_ms = 0;
    std::string out;
    bytes::put_number(out, 4, id);
    bytes::put_number(out, 4, INADDR_LOOPBACK);
    bytes::put_number(out, 2, static_cast<unsigned>(port));
    bytes::put_number(out, 1, listed == EndpointState::Ready ? 0 : listed == EndpointState::Draining ? 1 : 2);
    bytes::put_number(out, 1, east);
    bytes::put_number(out, 1, standard_kind);
    bytes::put_number(out, 2, cell);
    bytes::put_number(out, 4, weight_thousandths);
    bytes::put_number(out, 8, started_ms);
    return out;
}

// Takes the router's next connection; it has to ask for all events after number `last`.
inline Socket accept_watch(const Listener& coordinator, std::uint64_t last) {
    auto watch = accept(coordinator);
    std::string asked;
    bytes::put_number(asked, 8, last);
    CHECK(read(watch, [](auto& got) { return got.size() >= 8; }) == asked);
    return watch;
}

}  // namespace quillgrade
