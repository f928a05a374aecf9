// Big-endian reading and writing of the simulator's frames.
#pragma once

#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>

namespace quillgrade::drill {

// What is wrong with the input, in words for standard error.
struct BadInput : std::runtime_error {
    using std::runtime_error::runtime_error;
};

inline constexpr std::size_t event_bytes = 48, action_bytes = 32, entry_bytes = 24;
inline constexpr std::size_t batch_head = 12;           // count and clock, after the length
inline constexpr std::size_t longest_frame = 1U << 30;  // anything longer is taken for a broken length

std::uint64_t read_number(std::string_view bytes, std::size_t at, int width);
float read_float(std::string_view bytes, std::size_t at);
float read_amount(std::string_view bytes, std::size_t at);  // not negative, and no larger than any real one
std::int64_t read_time(std::string_view bytes, std::size_t at);  // a clock time in microseconds
void write_number(std::string& bytes, std::size_t at, int width, std::uint64_t value);

// A checked piece of the tail.
std::string_view tail_piece(std::string_view tail, std::uint64_t offset, std::uint64_t length);

}  // namespace quillgrade::drill
