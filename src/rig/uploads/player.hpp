// Plays a load of requests with bodies against the real program on 127.0.0.1, beside a few clients that ask
// for little, and observes from outside: what each request was answered, and the memory that the router
// holds.
#pragma once

#include <array>
#include <cstdint>
#include <string>

#include "rig/uploads/load.hpp"

namespace quillgrade::rig::uploads {

// A request has to have its final answer half a second after its time, and 50 ms for sockets, at the latest.
inline constexpr Micros patience = 3 * second, lateness = 550 * millisecond;

struct Counts {
    int served = 0, refused = 0, failed = 0;  // in time
    int unanswered = 0;  // written whole, and no answer in time: the connection has ended, or it was late
    int cut_off = 0;     // the connection ended before the request was written whole
    int written() const { return served + refused + failed + unanswered; }
    void add(const Counts& other);
};

inline constexpr int size_classes = 3;  // bodies of up to 16 KB, up to 100 KB, longer ones
int size_class_of(std::size_t body);
const char* name_of_size(int size_class);

struct Report {
    // By the writer's pace and the length of its bodies.
    std::array<std::array<Counts, size_classes>, pace_count> counts{};
    Counts small;  // requests without a body, sent all the time
    std::uint64_t effects_twice = 0;
    long most_kb = 0;    // that were the router's own, no page of a file
    bool ended = false;  // the router has, unasked
    std::string log;
    Counts of_size(int size_class) const;
    Counts all() const;
};

// Throws std::runtime_error where the router does not start.
Report play(const Load& load, const std::string& program);

}  // namespace quillgrade::rig::uploads
