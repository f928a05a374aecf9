// The clients' messages: framed Thrift in the strict binary protocol. One frame is decoded into one small
// value, and each answer is encoded in one go, its frame's length included.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bytes/bytes.hpp"
#include "control.hpp"

namespace quillgrade::thrift {

inline constexpr std::size_t longest_frame = 300'000;  // an object of 240,000 bytes and its fields

// A lookup; facts.due is left open, as it runs from when the last byte came.
struct Lookup {
    std::int32_t seq = 0;
    LookupInfo facts{};
    Micros wait = 0;
    std::string have, ticket, body;  // they go on unchanged; ticket: by which caches know a repeat
    std::vector<std::pair<std::string, std::string>> named;  // of those that were wanted
};
// A field whose value is kept, if it is not longer.
struct Wanted {
    std::string name;
    std::size_t longest;
};
struct Ping {
    std::int32_t seq;
};
struct Abort {
    std::int32_t of;
};
struct BadLookup {  // well formed, but a field is missing or can't be used
    std::int32_t seq;
    std::string_view why;
};
struct UnknownCall {
    std::int32_t seq;
    std::string name;
};
struct CutLookup {  // a lookup of which only the first bytes were kept
    std::int32_t seq;
};
using Message = std::variant<Lookup, Ping, Abort, BadLookup, UnknownCall, CutLookup>;

// The traffic types' names stand in the order of the settings. Throws bytes::Malformed.
Message decode(std::string_view frame, const std::vector<std::string>& traffic,
               const std::vector<Wanted>& wanted = {});

// The same where no more than the first bytes of a frame was kept. Throws bytes::Malformed also where they
// begin no lookup: no other call is long.
CutLookup decode_cut(std::string_view first_bytes);

std::optional<std::int32_t> seq_of(const Message& message);  // of a call that is owed an answer

// What stands before and after the body in an answer's frame, so that a long body need not be copied into it.
struct Envelope {
    std::string before, after;
};
Envelope handled_around(std::int32_t seq, std::size_t body, bool same);
std::string handled(std::int32_t seq, std::string_view body, bool same);
std::string rejected(std::int32_t seq, Micros come_back);
std::string broken_off(std::int32_t seq);
std::string pong(std::int32_t seq, bool good);
std::string unknown_call(std::int32_t seq, std::string_view name);

}  // namespace quillgrade::thrift
