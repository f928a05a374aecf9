// What the parsers share: bounded reading and writing of big-endian numbers, frames that begin with their
// length, and the text forms of ids.
#pragma once

#include <cstdint>
#include <optional>
#include <stdexcept>
#include <string>
#include <string_view>

namespace quillgrade::bytes {

// The far side sent what no valid message holds.
struct Malformed : std::runtime_error {
    using std::runtime_error::runtime_error;
};

// Reads from the front of a message, never past its end.
class Cursor {
public:
    explicit Cursor(std::string_view rest) : rest(rest) {}
    std::uint64_t number(int width);
    std::string_view piece(std::uint64_t length);
    bool at_end() const { return rest.empty(); }

private:
    std::string_view rest;
};

void put_number(std::string& out, int width, std::uint64_t value);

// Cuts a stream into frames of four bytes of length and as many bytes of content. Of a frame that comes in
// several pieces it holds what has come, in a buffer for this frame alone; between two frames it holds
// nothing.
class Frames {
public:
    struct Frame {
        std::string_view content;
        bool cut = false;  // no more of it was kept than its first bytes, see discard()
    };
    static constexpr std::size_t kept_when_cut = 256;  // bytes, the length included

    explicit Frames(std::size_t longest) : longest(longest) {}
    // The next whole frame, whose bytes are taken off the front of `more`; nothing once all of `more` is
    // taken and no frame is whole. Good until the next call, and as long as the bytes of `more`. Throws
    // Malformed.
    std::optional<Frame> take(std::string_view& more);
    bool under_way() const { return received > 0 && !handed_out; }  // a frame has begun and is not whole
    // Of the frame under way, its length included; 0 where none is, or its length has not come.
    std::size_t whole() const;
    std::size_t received_bytes() const { return under_way() ? received : 0; }
    std::size_t remaining() const;  // bytes that it lacks, or its length does; 0 where none is under way
    std::size_t room() const { return held.capacity() > in_place ? held.capacity() : 0; }  // bytes allocated
    // Room for so many bytes of the frame under way, once its length has come, all of it at most. Else the
    // buffer grows with each piece.
    void reserve(std::size_t bytes);
    void shrink(std::size_t bytes);  // no more room than for so many, and what has come
    // Gives the room of the frame under way back. The rest of it is read and thrown away, and at its last
    // byte it comes out cut.
    void discard();
    bool discarding() const { return cut && !handed_out; }
    void reset();  // the next bytes begin a frame

private:
    static const std::size_t in_place;  // bytes that a string holds without allocating
    std::optional<Frame> take_whole(std::string_view& more) const;
    void store(std::string_view& more, std::size_t count);
    void set_room(std::size_t bytes);
    std::size_t checked_whole(std::string_view bytes) const;

    std::size_t longest, received = 0;
    bool cut = false, handed_out = false;
    std::string held;
};

// Exactly so many lower-case hex digits, as ids are written; anything else would not go on unchanged.
std::optional<std::uint64_t> read_hex(std::string_view text, std::size_t digits);
std::optional<double> read_amount(std::string_view text);  // a finite decimal that is not negative
std::optional<std::int64_t> read_whole(std::string_view text, std::int64_t most);

}  // namespace quillgrade::bytes
