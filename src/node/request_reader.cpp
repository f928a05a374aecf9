#include "node/request_reader.hpp"

#include <algorithm>

namespace quillgrade::node {

namespace {

constexpr std::size_t longest_short = 16'384;  // bytes; requests without a body are far shorter
constexpr std::size_t room_step = 32'768;      // bytes, for one that comes slowly
// In the middle of a request. After a pause the far side's system may try again only when its timer is due,
// 200 ms.
constexpr Micros longest_stop = 300'000;
constexpr Micros judged_after = 300'000;         // of its time, by which its sender's rate shows
constexpr Micros slowest_steady_rate = 262'144;  // bytes a second

}  // namespace

RequestReader::RequestReader(MemoryAccount& account, std::size_t longest)
    : frames(longest), charge(account) {}

std::optional<bytes::Frames::Frame> RequestReader::take(std::string_view& more, Micros now) {
    heard_at = now;
    if (!frames.under_way()) resumed(now);
    auto frame = frames.take(more);
    if (frame) bit_by_bit = false;
    if (!frame && frames.whole() <= longest_short) frames.reserve(frames.whole());
    charge.resize(frame ? 0 : frames.room());
    return frame;
}

void RequestReader::reset() {
    frames.reset();
    bit_by_bit = false;
    charge.resize(0);
}

bool RequestReader::is_long() const { return frames.whole() > longest_short && !frames.discarding(); }

std::size_t RequestReader::wanted() const {
    if (!is_long() || frames.room() >= frames.whole()) return 0;
    auto missing = frames.whole() - frames.room();
    if (!bit_by_bit) return missing;
    bool enough = frames.received_bytes() + room_step / 2 <= frames.room();
    return enough ? 0 : std::min(missing, room_step);
}

void RequestReader::grant() {
    frames.reserve(frames.room() + wanted());
    charge.resize(frames.room());
}

void RequestReader::discard() {
    frames.discard();
    charge.resize(frames.room());
}

void RequestReader::give_back_spare() {
    bit_by_bit = true;
    frames.shrink(frames.received_bytes() + room_step);
    charge.resize(frames.room());
}

void RequestReader::resumed(Micros now) {
    read_since = now;
    received_before = frames.received_bytes();
}

// Slow is a rate and not an amount.
Sender RequestReader::sender(Micros now) const {
    if (now - std::max(heard_at, read_since) >= longest_stop) return Sender::Stopped;
    auto read_for = now - read_since;
    auto expected = slowest_steady_rate * read_for / 1'000'000;
    bool slow =
        read_for >= judged_after && static_cast<Micros>(frames.received_bytes() - received_before) < expected;
    return slow ? Sender::Slow : Sender::Steady;
}

}  // namespace quillgrade::node
