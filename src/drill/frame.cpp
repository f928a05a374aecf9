#include "drill/frame.hpp"

#include <bit>

namespace quillgrade::drill {

std::uint64_t read_number(std::string_view bytes, std::size_t at, int width) {
    if (at + width > bytes.size()) throw BadInput("a field lies outside its frame");
    std::uint64_t value = 0;
    for (int i = 0; i < width; i++) value = value << 8 | static_cast<unsigned char>(bytes[at + i]);
    return value;
}

float read_float(std::string_view bytes, std::size_t at) {
    return std::bit_cast<float>(static_cast<std::uint32_t>(read_number(bytes, at, 4)));
}

float read_amount(std::string_view bytes, std::size_t at) {
    float value = read_float(bytes, at);
    if (!(value >= 0 && value <= 1e9F)) throw BadInput("an amount is negative, no number or beyond measure");
    return value;
}

std::int64_t read_time(std::string_view bytes, std::size_t at) {
    auto value = read_number(bytes, at, 8);
    if (value >> 62) throw BadInput("a clock time is beyond measure");
    return static_cast<std::int64_t>(value);
}

void write_number(std::string& bytes, std::size_t at, int width, std::uint64_t value) {
    for (int i = width - 1; i >= 0; i--, value >>= 8) bytes.at(at + i) = static_cast<char>(value & 0xff);
}

std::string_view tail_piece(std::string_view tail, std::uint64_t offset, std::uint64_t length) {
    if (offset > tail.size() || length > tail.size() - offset)
        throw BadInput("an offset lies outside the tail");
    return tail.substr(offset, length);
}

}  // namespace quillgrade::drill
