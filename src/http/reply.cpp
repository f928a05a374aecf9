#include "http/reply.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <charconv>
#include <utility>

namespace quillgrade::http {

namespace {

using bytes::Malformed;

constexpr std::size_t longest_head = 16'384, longest_line = 1'024;

bool same_word(std::string_view a, std::string_view b) {
    return std::equal(a.begin(), a.end(), b.begin(), b.end(),
                      [](unsigned char x, unsigned char y) { return std::tolower(x) == std::tolower(y); });
}

std::string_view trimmed(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t')) text.remove_suffix(1);
    return text;
}

// The pieces of a text between separators, trimmed.
template <class Take>
void split(std::string_view text, char separator, Take take) {
    while (!text.empty()) {
        auto end = std::min(text.find(separator), text.size());
        take(trimmed(text.substr(0, end)));
        text.remove_prefix(std::min(end + 1, text.size()));
    }
}

CacheStatus read_note(std::string_view word) {
    static constexpr auto words = std::to_array<std::pair<std::string_view, CacheStatus>>(
        {{"HIT", CacheStatus::Hit},
         {"MISS", CacheStatus::Filled},
         {"MISS_ORIGIN", CacheStatus::FilledFromOrigin},
         {"COLLAPSED", CacheStatus::Collapsed},
         {"STALE", CacheStatus::Stale},
         {"UP_BUSY", CacheStatus::UpstreamBusy},
         {"UP_DOWN", CacheStatus::UpstreamDown},
         {"UP_MISS", CacheStatus::UpstreamMiss},
         {"NO_FILL", CacheStatus::NoFillSlot},
         {"ORIGIN_ERR", CacheStatus::OriginError}});
    auto found =
        std::find_if(std::begin(words), std::end(words), [&](auto& pair) { return pair.first == word; });
    return found == std::end(words) ? CacheStatus::None : found->second;
}

// Settings and reports use two sets of words for the same figures.
bool same_figure(std::string_view told, std::string_view reported) {
    static constexpr auto pairs =
        std::to_array<std::pair<std::string_view, std::string_view>>({{"inflight", "outstanding"},
                                                                      {"queue", "backlog"},
                                                                      {"util", "utilization"},
                                                                      {"latency_ms", "recent_ms"},
                                                                      {"qps", "throughput"},
                                                                      {"eps", "errors_per_s"}});
    return told == reported || std::any_of(std::begin(pairs), std::end(pairs), [&](auto& pair) {
               return pair.first == reported && pair.second == told;
           });
}

}  // namespace

Outcome outcome_of(const Reply& reply) {
    switch (reply.status) {
        case 200:
        case 304:
            return Outcome::Ok;
        case 404:
            return Outcome::Miss;
        case 503:
            return reply.never_ran ? Outcome::Overloaded : Outcome::Error;
        case 504:
            return reply.never_ran ? Outcome::NotSent : Outcome::Error;
        default:
            return Outcome::Error;
    }
}

bool ReplyReader::add(std::string_view more) {
    if (part == Part::Whole) {  // nothing was asked for: the connection has lost step
        reply.closes = true;
        return true;
    }
    held.append(more);
    while (part != Part::Whole && step()) {
    }
    if (used > 0) held.erase(0, std::exchange(used, 0));
    if (part == Part::Whole && !held.empty()) reply.closes = true;
    return part == Part::Whole;
}

Reply ReplyReader::take() {
    Reply taken = std::exchange(reply, {});
    part = Part::Head;
    std::string().swap(held);  // a link that rests keeps no room
    used = due = 0;
    sized = chunked = false;
    return taken;
}

std::size_t ReplyReader::remaining() const {
    if (part == Part::Whole) return 0;
    return part == Part::Sized ? due : longest_body - std::min(longest_body, reply.body.size());
}

// One step onwards; false when more bytes are needed for it.
bool ReplyReader::step() {
    auto rest = std::string_view(held).substr(used);
    std::string_view line;
    switch (part) {
        case Part::Head: {
            auto end = rest.find("\r\n\r\n");
            if (end == std::string_view::npos) {
                if (rest.size() > longest_head) throw Malformed("an answer's head is too long");
                return false;
            }
            if (end > longest_head) throw Malformed("an answer's head is too long");
            used += end + 4;
            read_head(rest.substr(0, end));
            return true;
        }
        case Part::Sized:
            add_body(due);
            if (due == 0) part = Part::Whole;
            return due == 0;
        case Part::ChunkSize: {
            if (!take_line(line)) return false;
            line = trimmed(line.substr(0, line.find(';')));
            auto [end, error] = std::from_chars(line.data(), line.data() + line.size(), due, 16);
            if (line.empty() || error != std::errc{} || end != line.data() + line.size() ||
                due > longest_body)
                throw Malformed("a chunk has no usable length");
            part = due > 0 ? Part::Chunk : Part::Trailer;
            return true;
        }
        case Part::Chunk:
            add_body(due);
            if (due == 0) part = Part::ChunkEnd;
            return due == 0;
        case Part::ChunkEnd:
            if (!take_line(line)) return false;
            if (!line.empty()) throw Malformed("a chunk is longer than it said");
            part = Part::ChunkSize;
            return true;
        case Part::Trailer:
            if (!take_line(line)) return false;
            if (line.empty()) part = Part::Whole;
            return true;
        case Part::Whole:
            break;
    }
    return false;
}

bool ReplyReader::take_line(std::string_view& line) {
    auto rest = std::string_view(held).substr(used);
    auto end = rest.find("\r\n");
    if (std::min(end, rest.size()) > longest_line) throw Malformed("a line is too long");
    if (end == std::string_view::npos) return false;
    line = rest.substr(0, end);
    used += end + 2;
    return true;
}

void ReplyReader::read_head(std::string_view head) {
    reply = {};
    sized = chunked = false;
    auto first = head.substr(0, head.find("\r\n"));
    if (first.size() < 12 || !first.starts_with("HTTP/1.") || (first[7] != '0' && first[7] != '1') ||
        first[8] != ' ' || (first.size() > 12 && first[12] != ' '))
        throw Malformed("not a status line");
    auto status = bytes::read_whole(first.substr(9, 3), 599);
    if (!status || *status < 100) throw Malformed("not a status");
    reply.status = static_cast<int>(*status);
    reply.closes = first[7] == '0';
    head.remove_prefix(std::min(first.size() + 2, head.size()));
    while (!head.empty()) {
        auto line = head.substr(0, head.find("\r\n"));
        auto colon = line.find(':');
        if (colon == 0 || colon == std::string_view::npos || line.find_first_of(" \t") < colon)
            throw Malformed("not a header");
        read_header(line.substr(0, colon), trimmed(line.substr(colon + 1)));
        head.remove_prefix(std::min(line.size() + 2, head.size()));
    }
    if (chunked && sized) throw Malformed("an answer has two lengths");
    if (reply.status == 101) throw Malformed("another protocol that nobody asked for");
    if (reply.status < 200) {  // only a word ahead of the answer
        part = Part::Head;
    } else if (reply.status == 304 || reply.status == 204) {
        part = Part::Whole;
    } else if (chunked) {
        part = Part::ChunkSize;
    } else if (sized) {
        part = Part::Sized;
        reply.body.reserve(due);
    } else if (reply.status == 200) {  // nothing would tell a whole object from one that was cut short
        throw Malformed("an object without a length");
    } else {
        part = Part::Whole;
        reply.closes = true;
    }
}

void ReplyReader::read_header(std::string_view name, std::string_view value) {
    if (same_word(name, "Content-Length")) {
        auto length = bytes::read_whole(value, longest_body);
        if (!length || (sized && static_cast<std::size_t>(*length) != due))
            throw Malformed("not a usable length");
        due = static_cast<std::size_t>(*length);
        sized = true;
    } else if (same_word(name, "Transfer-Encoding")) {
        if (!same_word(value, "chunked")) throw Malformed("an unknown transfer coding");
        chunked = true;
    } else if (same_word(name, "Connection")) {
        split(value, ',', [&](std::string_view word) { reply.closes |= same_word(word, "close"); });
    } else if (same_word(name, "X-No-Effect")) {
        reply.never_ran = value == "1";
    } else if (same_word(name, "X-Tell")) {
        reply.note = read_note(value);
    } else if (same_word(name, "X-Tag")) {
        reply.tag = value;
    } else if (same_word(name, "X-Ttfb")) {  // milliseconds
        reply.waited = static_cast<Micros>(bytes::read_amount(value).value_or(0) * 1000);
    } else if (same_word(name, "X-Report")) {
        read_load(value);
    }
}

// A report that does not hold all that the settings name, or holds what is no number, counts as none.
void ReplyReader::read_load(std::string_view text) {
    LoadReport load;
    std::size_t found = 0;
    split(text, ';', [&](std::string_view pair) {
        auto colon = pair.find(':');
        if (colon == std::string_view::npos) return;
        auto value = bytes::read_amount(trimmed(pair.substr(colon + 1)));
        for (std::size_t i = 0; i < reported->size() && value; i++)
            if (same_figure((*reported)[i], trimmed(pair.substr(0, colon)))) {
                load.values[i] = static_cast<float>(*value);
                found++;
            }
    });
    load.count = static_cast<int>(reported->size());
    if (found == reported->size()) reply.load = load;
}

void ReplyReader::add_body(std::size_t most) {
    auto taken = std::min(most, held.size() - used);
    if (reply.body.size() + taken > longest_body) throw Malformed("an answer's body is too long");
    reply.body.append(held, used, taken);
    used += taken;
    due -= taken;
}

}  // namespace quillgrade::http
