// Numbers written and read bit by bit, the most significant bit of a byte first. Codes: unary, Rice (Rice and
// Plaunt, 1971) and Elias gamma (Elias, 1975). No I/O.
#pragma once

#include <bit>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace quillgrade::peers {

class BitWriter {
public:
    void put(std::uint64_t value, int width) {
        for (int bit = width - 1; bit >= 0; bit--) put_bit((value >> bit) & 1);
    }
    // So many ones, and a zero.
    void put_unary(std::uint64_t value) {
        for (; value > 0; value--) put_bit(true);
        put_bit(false);
    }
    void put_rice(std::uint64_t value, int low_bits) {
        put_unary(value >> low_bits);
        put(value, low_bits);
    }
    // From 1 on.
    void put_gamma(std::uint64_t value) {
        auto width = static_cast<int>(std::bit_width(value));
        put(0, width - 1);
        put(value, width);
    }
    const std::string& bytes() const { return written; }

private:
    void put_bit(bool bit) {
        if (used % 8 == 0) written.push_back('\0');
        if (bit) written.back() = static_cast<char>(written.back() | (0x80 >> (used % 8)));
        used++;
    }
    std::string written;
    std::size_t used = 0;
};

// Every read fails past the end.
class BitReader {
public:
    explicit BitReader(std::string_view from) : bytes(from) {}
    std::optional<std::uint64_t> take(int width) {
        if (static_cast<std::size_t>(width) > bytes.size() * 8 - used) return {};
        std::uint64_t value = 0;
        for (; width > 0; width--) value = value << 1 | (next() ? 1U : 0U);
        return value;
    }
    std::optional<std::uint64_t> take_unary() {
        for (std::uint64_t value = 0; used < bytes.size() * 8; value++)
            if (!next()) return value;
        return {};
    }
    std::optional<std::uint64_t> take_rice(int low_bits) {
        auto high = take_unary();
        auto low = take(low_bits);
        if (!high || !low) return {};
        return *high << low_bits | *low;
    }
    std::optional<std::uint64_t> take_gamma() {
        int zeros = 0;
        while (used < bytes.size() * 8 && !next()) zeros++;
        if (zeros >= most_gamma_bits) return {};
        auto low = take(zeros);
        if (!low) return {};
        return std::uint64_t{1} << zeros | *low;
    }

private:
    static constexpr int most_gamma_bits = 40;
    bool next() {
        auto byte = static_cast<unsigned char>(bytes[used / 8]);
        bool bit = byte & (0x80 >> (used % 8));
        used++;
        return bit;
    }
    std::string_view bytes;
    std::size_t used = 0;
};

}  // namespace quillgrade::peers
