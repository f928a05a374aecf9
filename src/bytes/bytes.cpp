#include "bytes/bytes.hpp"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace quillgrade::bytes {

std::uint64_t Cursor::number(int width) {
    std::uint64_t value = 0;
    for (unsigned char byte : piece(width)) value = value << 8 | byte;
    return value;
}

std::string_view Cursor::piece(std::uint64_t length) {
    if (length > rest.size()) throw Malformed("a field lies outside its message");
    auto taken = rest.substr(0, length);
    rest.remove_prefix(length);
    return taken;
}

void put_number(std::string& out, int width, std::uint64_t value) {
    for (int shift = 8 * (width - 1); shift >= 0; shift -= 8)
        out.push_back(static_cast<char>(value >> shift));
}

namespace {

constexpr std::size_t length_bytes = 4;

}  // namespace

const std::size_t Frames::in_place = std::string().capacity();

std::optional<Frames::Frame> Frames::take(std::string_view& more) {
    if (handed_out) reset();
    if (received == 0) {
        if (auto frame = take_whole(more)) return frame;
    }
    if (received < length_bytes) store(more, length_bytes - received);
    if (received < length_bytes) return std::nullopt;
    auto size = checked_whole(held);
    store(more, size - received);
    if (received < size) return std::nullopt;
    handed_out = true;
    return Frame{std::string_view(held).substr(length_bytes), cut};
}

// One that lies whole in what has just come need not be copied.
std::optional<Frames::Frame> Frames::take_whole(std::string_view& more) const {
    if (more.size() < length_bytes) return std::nullopt;
    auto size = checked_whole(more);
    if (more.size() < size) return std::nullopt;
    Frame frame{more.substr(length_bytes, size - length_bytes)};
    more.remove_prefix(size);
    return frame;
}

std::size_t Frames::checked_whole(std::string_view bytes) const {
    auto length = Cursor(bytes).number(length_bytes);
    if (length > longest) throw Malformed("a frame is too long");
    return length_bytes + length;
}

void Frames::store(std::string_view& more, std::size_t count) {
    auto taken = more.substr(0, count);
    more.remove_prefix(taken.size());
    received += taken.size();
    if (cut) taken = taken.substr(0, kept_when_cut - std::min(kept_when_cut, held.size()));
    if (held.size() + taken.size() > held.capacity()) set_room(held.size() + taken.size());
    held.append(taken);
}

// A string that is told to reserve may take twice what it had, and its room is charged.
void Frames::set_room(std::size_t bytes) {
    std::string other;
    other.reserve(bytes);
    other.append(held);
    held.swap(other);
}

void Frames::reset() {
    std::string().swap(held);
    received = 0;
    cut = handed_out = false;
}

std::size_t Frames::whole() const {
    if (!under_way() || received < length_bytes) return 0;
    return length_bytes + Cursor(held).number(length_bytes);
}

std::size_t Frames::remaining() const {
    if (!under_way()) return 0;
    return (received < length_bytes ? length_bytes : whole()) - received;
}

void Frames::reserve(std::size_t bytes) {
    bytes = std::min(bytes, whole());
    if (!cut && held.capacity() < bytes) set_room(bytes);
}

void Frames::shrink(std::size_t bytes) {
    bytes = std::max(bytes, held.size());
    if (room() > bytes) set_room(bytes);
}

void Frames::discard() {
    if (!under_way() || received < length_bytes) return;
    cut = true;
    std::string kept(held, 0, kept_when_cut);
    held.swap(kept);
}

std::optional<std::uint64_t> read_hex(std::string_view text, std::size_t digits) {
    if (text.size() != digits) return std::nullopt;
    std::uint64_t value = 0;
    for (char c : text) {
        if (c >= '0' && c <= '9')
            value = value << 4 | static_cast<unsigned>(c - '0');
        else if (c >= 'a' && c <= 'f')
            value = value << 4 | static_cast<unsigned>(c - 'a' + 10);
        else
            return std::nullopt;
    }
    return value;
}

std::optional<double> read_amount(std::string_view text) {
    double value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size()) return std::nullopt;
    if (!std::isfinite(value) || value < 0 || std::signbit(value) || value > 1e9) return std::nullopt;
    return value;
}

std::optional<std::int64_t> read_whole(std::string_view text, std::int64_t most) {
    std::int64_t value = 0;
    auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{} || end != text.data() + text.size() || value < 0 || value > most)
        return std::nullopt;
    return value;
}

}  // namespace quillgrade::bytes
