// Writes and reads numbers bit by bit, most significant bit of a byte first, as fixed-width, unary, Rice
// (Rice and Plaunt, 1971) and Elias gamma (Elias, 1975) codes. No I/O.
#pragma once

#include <bit>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quillgrade::peers {

class BitWriter {
public:
    void write(std::uint64_t value, int width) {
        for (int bit = width - 1; bit >= 0; bit--) write_bit((value >> bit) & 1);
    }
    // `value` ones, followed by a zero.
    void write_unary(std::uint64_t value) {
        for (; value > 0; value--) write_bit(true);
        write_bit(false);
    }
    void write_rice(std::uint64_t value, int low_bits) {
        write_unary(value >> low_bits);
        write(value, low_bits);
    }
    // `value` is at least 1.
    void write_gamma(std::uint64_t value) {
        auto width = static_cast<int>(std::bit_width(value));
        write(0, width - 1);
        write(value, width);
    }
    const std::string& bytes() const { return buffer; }

private:
    void write_bit(bool bit) {
        if (bit_position % 8 == 0) buffer.push_back('\0');
        if (bit) buffer.back() = static_cast<char>(buffer.back() | (0x80 >> (bit_position % 8)));
        bit_position++;
    }
    std::string buffer;
    std::size_t bit_position = 0;
};

// Each read returns nothing where the code reaches past the end.
class BitReader {
public:
    explicit BitReader(std::string_view input) : bytes(input) {}
    std::optional<std::uint64_t> read(int width) {
        if (static_cast<std::size_t>(width) > bytes.size() * 8 - bit_position) return {};
        std::uint64_t value = 0;
        for (; width > 0; width--) value = value << 1 | (next_bit() ? 1U : 0U);
        return value;
    }
    std::optional<std::uint64_t> read_unary() {
        for (std::uint64_t value = 0; bit_position < bytes.size() * 8; value++)
            if (!next_bit()) return value;
        return {};
    }
    std::optional<std::uint64_t> read_rice(int low_bits) {
        auto high = read_unary();
        auto low = read(low_bits);
        if (!high || !low) return {};
        return *high << low_bits | *low;
    }
    std::optional<std::uint64_t> read_gamma() {
        int zeros = 0;
        while (bit_position < bytes.size() * 8 && !next_bit()) zeros++;
        if (zeros >= max_gamma_bits) return {};
        auto low = read(zeros);
        if (!low) return {};
        return std::uint64_t{1} << zeros | *low;
    }

private:
    static constexpr int max_gamma_bits = 40;
    bool next_bit() {
        auto byte = static_cast<unsigned char>(bytes[bit_position / 8]);
        bool bit = byte & (0x80 >> (bit_position % 8));
        bit_position++;
        return bit;
    }
    std::string_view bytes;
    std::size_t bit_position = 0;
};

}  // namespace quillgrade::peers
