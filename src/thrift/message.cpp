#include "thrift/message.hpp"

#include <algorithm>
#include <map>

namespace quillgrade::thrift {

namespace {

using bytes::Cursor;
using bytes::Malformed;
using bytes::put_number;

constexpr std::uint32_t version = 0x80010000, version_mask = 0xffff0000;
constexpr int call = 1, reply = 2, exception = 3, oneway = 4;
constexpr int type_stop = 0, type_bool = 2, type_byte = 3, type_double = 4, type_i16 = 6, type_i32 = 8,
              type_i64 = 10, type_string = 11, type_struct = 12, type_map = 13, type_set = 14, type_list = 15;
constexpr int unknown_method = 1;
constexpr int deepest = 16;
constexpr std::size_t longest_in_header = 1024;
constexpr Micros ms = 1000;
constexpr std::int64_t longest_wait_ms = 86'400'000;  // a day

using Fields = std::map<std::string_view, std::string_view>;

std::string_view read_text(Cursor& in) { return in.piece(in.number(4)); }

void skip(Cursor& in, int type, int depth = 0) {
    if (depth > deepest) throw Malformed("a value is nested too deep");
    switch (type) {
        case type_bool:
        case type_byte:
            in.piece(1);
            break;
        case type_i16:
            in.piece(2);
            break;
        case type_i32:
            in.piece(4);
            break;
        case type_i64:
        case type_double:
            in.piece(8);
            break;
        case type_string:
            read_text(in);
            break;
        case type_struct:
            while (int inner = static_cast<int>(in.number(1))) {
                in.piece(2);
                skip(in, inner, depth + 1);
            }
            break;
        case type_map: {
            int key = static_cast<int>(in.number(1)), value = static_cast<int>(in.number(1));
            for (auto count = in.number(4); count > 0; count--) {
                skip(in, key, depth + 1);
                skip(in, value, depth + 1);
            }
            break;
        }
        case type_set:
        case type_list: {
            auto element = static_cast<int>(in.number(1));
            for (auto count = in.number(4); count > 0; count--) skip(in, element, depth + 1);
            break;
        }
        default:
            throw Malformed("a value of an unknown type");
    }
}

Fields read_fields(Cursor& in) {
    Fields fields;
    auto key = in.number(1), value = in.number(1), count = in.number(4);
    if (count > 0 && (key != type_string || value != type_string)) throw Malformed("fields are not text");
    for (; count > 0; count--) {
        auto name = read_text(in);
        fields[name] = read_text(in);
    }
    return fields;
}

// The members of a struct, each handed to `take`, which reads it or leaves it to be skipped.
template <class Take>
void read_struct(Cursor& in, Take take) {
    while (int type = static_cast<int>(in.number(1))) {
        auto id = static_cast<int>(in.number(2));
        if (!take(id, type)) skip(in, type);
    }
    if (!in.at_end()) throw Malformed("bytes are left after a message");
}

Message read_lookup(std::int32_t seq, const Fields& fields, std::string_view body,
                    const std::vector<std::string>& traffic, const std::vector<Wanted>& wanted) {
    auto field = [&](std::string_view name) {
        auto found = fields.find(name);
        return found == fields.end() ? std::string_view{} : found->second;
    };
    Lookup lookup;
    lookup.seq = seq;
    auto id = bytes::read_hex(field("i"), 16);
    if (!id) return BadLookup{seq, "id"};
    auto object = bytes::read_hex(field("o"), 16);
    if (!object) return BadLookup{seq, "object"};
    auto type = std::find(traffic.begin(), traffic.end(), field("c"));
    if (type == traffic.end()) return BadLookup{seq, "traffic type"};
    auto wait = bytes::read_whole(field("d"), longest_wait_ms);
    if (!wait) return BadLookup{seq, "time limit"};
    auto part = fields.contains("part") ? bytes::read_whole(field("part"), 1'000'000) : 0;
    if (!part) return BadLookup{seq, "part"};
    auto group = fields.contains("group") ? bytes::read_whole(field("group"), 255) : 0;
    if (!group) return BadLookup{seq, "group"};
    auto kbytes = fields.contains("m") ? bytes::read_amount(field("m")) : 0;
    if (!kbytes) return BadLookup{seq, "size"};
    // They go on in a header each.
    auto goes_on = [](std::string_view text) {
        return text.size() <= longest_in_header &&
               std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c <= '~'; });
    };
    lookup.have = field("have");
    if (!goes_on(lookup.have)) return BadLookup{seq, "tag"};
    lookup.ticket = field("k");
    if (!goes_on(lookup.ticket)) return BadLookup{seq, "ticket"};
    lookup.facts = {.id = *id,
                    .traffic = static_cast<int>(type - traffic.begin()),
                    .object = *object,
                    .deadline = 0,
                    .kbytes = *kbytes,
                    .group = static_cast<int>(*group),
                    .part = static_cast<int>(*part),
                    .retry = field("r") == "1",
                    .write = false};
    lookup.wait = *wait * ms;
    lookup.body = body;
    for (auto& one : wanted)
        if (auto found = fields.find(one.name); found != fields.end() && found->second.size() <= one.longest)
            lookup.named.emplace_back(one.name, found->second);
    return lookup;
}

void put_text(std::string& out, std::string_view text) {
    put_number(out, 4, text.size());
    out += text;
}

void put_field(std::string& out, int type, int id) {
    put_number(out, 1, type);
    put_number(out, 2, id);
}

void put_fields(std::string& out, int id, std::string_view name, std::string_view value) {
    put_field(out, type_map, id);
    put_number(out, 1, type_string);
    put_number(out, 1, type_string);
    put_number(out, 4, name.empty() ? 0 : 1);
    if (name.empty()) return;
    put_text(out, name);
    put_text(out, value);
}

std::string begin(int kind, std::string_view name, std::int32_t seq) {
    std::string out;
    out.reserve(128);
    put_number(out, 4, 0);
    put_number(out, 4, version | kind);
    put_text(out, name);
    put_number(out, 4, static_cast<std::uint32_t>(seq));
    return out;
}

// `elsewhere`: bytes of the frame that are not in `out`.
std::string finish(std::string out, std::size_t elsewhere = 0) {
    std::string length;
    put_number(length, 4, out.size() - 4 + elsewhere);
    return out.replace(0, 4, length);
}

Envelope answer_around(std::string_view method, std::int32_t seq, std::size_t body, bool same, bool good) {
    Envelope made{.before = begin(reply, method, seq), .after = {}};
    put_field(made.before, type_struct, 0);
    put_field(made.before, type_string, 1);
    put_number(made.before, 4, body);
    put_fields(made.after, 2, same ? "same" : "", "1");
    put_field(made.after, type_bool, 3);
    put_number(made.after, 1, good);
    put_number(made.after, 1, type_stop);
    put_number(made.after, 1, type_stop);
    made.before = finish(std::move(made.before), body + made.after.size());
    return made;
}

std::string refusal(std::int32_t seq, int id, std::string_view name, std::string_view value) {
    auto out = begin(reply, "invoke", seq);
    put_field(out, type_struct, id);
    put_fields(out, 1, name, value);
    put_number(out, 1, type_stop);
    put_number(out, 1, type_stop);
    return finish(std::move(out));
}

// What every message begins with.
struct Call {
    std::string_view name;
    std::int32_t seq;
};

Call read_call(Cursor& in) {
    auto head = static_cast<std::uint32_t>(in.number(4));
    auto kind = static_cast<int>(head & 0xff);
    if ((head & version_mask) != version || (kind != call && kind != oneway))
        throw Malformed("not a call in the strict binary protocol");
    auto name = read_text(in);
    return {name, static_cast<std::int32_t>(in.number(4))};
}

constexpr std::string_view lookup_name = "invoke";

}  // namespace

Message decode(std::string_view frame, const std::vector<std::string>& traffic,
               const std::vector<Wanted>& wanted) {
    Cursor in(frame);
    auto [name, seq] = read_call(in);
    if (name == lookup_name) {
        Fields fields;
        std::string_view body;
        read_struct(in, [&](int id, int type) {
            if (id == 1 && type == type_map)
                fields = read_fields(in);
            else if (id == 2 && type == type_string)
                body = read_text(in);
            else
                return false;
            return true;
        });
        return read_lookup(seq, fields, body, traffic, wanted);
    }
    if (name == "abort") {
        Abort abort{0};
        read_struct(in, [&](int id, int type) {
            if (id != 1 || type != type_i32) return false;
            abort.of = static_cast<std::int32_t>(in.number(4));
            return true;
        });
        return abort;
    }
    read_struct(in, [](int, int) { return false; });
    if (name == "ping") return Ping{seq};
    return UnknownCall{seq, std::string(name)};
}

CutLookup decode_cut(std::string_view first_bytes) {
    Cursor in(first_bytes);
    auto [name, seq] = read_call(in);
    if (name != lookup_name) throw Malformed("a long message that is no lookup");
    return {seq};
}

std::optional<std::int32_t> seq_of(const Message& message) {
    return std::visit(
        [](auto& call) -> std::optional<std::int32_t> {
            if constexpr (requires { call.seq; }) return call.seq;
            return std::nullopt;
        },
        message);
}

Envelope handled_around(std::int32_t seq, std::size_t body, bool same) {
    return answer_around("invoke", seq, body, same, true);
}

std::string handled(std::int32_t seq, std::string_view body, bool same) {
    auto around = handled_around(seq, body.size(), same);
    return around.before.append(body) + around.after;
}

std::string rejected(std::int32_t seq, Micros come_back) {
    return refusal(seq, 1, come_back > 0 ? "w" : "", std::to_string((come_back + ms - 1) / ms));
}

std::string broken_off(std::int32_t seq) { return refusal(seq, 2, "", ""); }

std::string pong(std::int32_t seq, bool good) {
    auto around = answer_around("ping", seq, 0, false, good);
    return around.before + around.after;
}

std::string unknown_call(std::int32_t seq, std::string_view name) {
    auto out = begin(exception, name, seq);
    put_field(out, type_string, 1);
    put_text(out, "unknown method");
    put_field(out, type_i32, 2);
    put_number(out, 4, unknown_method);
    put_number(out, 1, type_stop);
    return finish(std::move(out));
}

}  // namespace quillgrade::thrift
