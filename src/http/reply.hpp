// What a cache answers, read as it comes: status line, headers, body.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "bytes/bytes.hpp"
#include "control.hpp"

namespace quillgrade::http {

inline constexpr std::size_t longest_body = 260'000;  // objects hold 240,000 bytes at most

struct Reply {
    int status = 0;
    bool never_ran = false;  // the cache says so
    bool closes = false;     // the connection can't be used again
    CacheStatus note = CacheStatus::None;
    Micros waited = 0;  // how long a fill waited for its first byte, 0: not told
    LoadReport load;
    std::string tag;  // of the copy
    std::string body;
};

// How a transmission ended that was answered so; a probe is Ok or Error.
Outcome outcome_of(const Reply& reply);

class ReplyReader {
public:
    explicit ReplyReader(const std::vector<std::string>& reported) : reported(&reported) {}
    // Takes bytes in pieces of any size; true once the answer is whole. Throws bytes::Malformed.
    bool add(std::string_view more);
    Reply take();  // the whole answer; the reader is ready for the next
    std::size_t held_bytes() const { return held.size() + reply.body.size(); }
    // Bytes that the answer under way lacks; where it has not told its length, as many as it may have.
    std::size_t remaining() const;
    // Bytes allocated for what was read and not taken apart yet.
    std::size_t room() const { return held.capacity(); }
    bool fresh() const { return part == Part::Head && held.empty(); }  // nothing of an answer has come

private:
    enum class Part { Head, Sized, ChunkSize, Chunk, ChunkEnd, Trailer, Whole };
    bool step();
    bool take_line(std::string_view& line);
    void read_head(std::string_view head);
    void read_header(std::string_view name, std::string_view value);
    void read_load(std::string_view text);
    void add_body(std::size_t most);

    const std::vector<std::string>* reported;
    Part part = Part::Head;
    std::string held;
    std::size_t used = 0, due = 0;
    bool sized = false, chunked = false;
    Reply reply;
};

}  // namespace quillgrade::http
