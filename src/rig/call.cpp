#include "rig/call.hpp"

#include <array>
#include <cstdio>

#include "bytes/bytes.hpp"

namespace quillgrade::rig {

namespace {

using bytes::put_number;

void put_text(std::string& out, const std::string& text) {
    put_number(out, 4, text.size());
    out += text;
}

}  // namespace

std::string framed_call(std::int32_t sequence_number, const std::map<std::string, std::string>& fields,
                        const std::string& body) {
    std::string content;
    put_number(content, 4, 0x80010001);  // strict binary, a call
    put_text(content, "invoke");
    put_number(content, 4, static_cast<std::uint32_t>(sequence_number));
    content += std::string("\x0d\x00\x01\x0b\x0b", 5);
    put_number(content, 4, fields.size());
    for (auto& [name, value] : fields) {
        put_text(content, name);
        put_text(content, value);
    }
    content += std::string("\x0b\x00\x02", 3);
    put_text(content, body);
    content += '\0';
    std::string frame;
    put_text(frame, content);
    return frame;
}

std::string hex_of(std::uint64_t value) {
    std::array<char, 17> text;
    std::snprintf(text.data(), sizeof text, "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

}  // namespace quillgrade::rig
