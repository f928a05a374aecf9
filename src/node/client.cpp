#include "node/client.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace quillgrade::node {

namespace {

constexpr std::size_t most_open = 32;  // calls on one connection, by the protocol
// For a client to read the last answer and the end after it, there and back.
constexpr Micros linger_time = 4 * crossing;
constexpr std::size_t most_read_at_once = 16'384;  // bytes; requests are short
constexpr std::size_t longest_short = 16'384;      // bytes of a request that has room in any case
// In the middle of a request. After a pause the far side's system may try again only when its timer is due,
// 200 ms.
constexpr Micros longest_stop = 300'000;
constexpr std::size_t most_unread_replies = 65'536;  // bytes of short answers, past which no more is read
const std::vector<thrift::Wanted> nothing;

}  // namespace

Client::Client(Shared& shared, int fd, ClientId id, std::uint32_t address)
    : shared(shared),
      id(id),
      address(address),
      frames_held(shared.frames),
      active(shared.clock.now()),
      stream(shared.base, fd,
             {.bytes = [this](std::string_view bytes) { heard(bytes); },
              .opened = [] {},
              .drained = [this] { pause({.memory = pauses.memory, .replies = false}); },
              .closed = [this] { hang_up(); }}) {
    stream.limit_read(most_read_at_once);
}

void Client::pause(Pauses wanted) {
    bool held = pauses.memory || pauses.replies, hold = wanted.memory || wanted.replies;
    pauses = wanted;
    if (held == hold) return;
    if (hold) {
        stream.stop_reading();
    } else {
        read_since = shared.clock.now();
        stream.go_on_reading();
    }
}

void Client::hold_reading(bool held) { pause({.memory = held, .replies = pauses.replies}); }

std::optional<Micros> Client::unread_since(Micros now) {
    auto unsent = stream.unsent();
    if (written - unsent != taken || unsent == 0) taken_at = now;
    taken = written - unsent;
    return unsent > 0 ? std::optional(taken_at) : std::nullopt;
}

bool Client::stopped_in_request(Micros now) const {
    if (!unfinished() || !idle() || pauses.memory || pauses.replies) return false;
    return now - std::max(last_byte, read_since) >= longest_stop && !stream.unread();
}

bool Client::over(Micros now) const {
    return state == State::Gone || (state == State::HalfClosed && now - half_closed_at >= linger_time);
}

bool Client::resting(Micros now) const {
    if (state != State::Open || !idle() || now - active < crossing) return false;
    return (!frames.under_way() || now - last_byte >= crossing) && !stream.unread();
}

void Client::half_close() {
    stream.shut_down_writing();
    state = State::HalfClosed;
    half_closed_at = shared.clock.now();
}

// Guards against a transmission for a client that has closed its connection or cancelled while others were
// heard: what lies in the socket is told some passes of the loop later. What comes after nonsense says
// nothing.
Client::Presence Client::presence() {
    if (state == State::Gone) return Presence::Gone;
    if (stream.unread()) return state == State::Open ? Presence::Speaking : Presence::Waiting;
    if (!stream.ended()) return Presence::Waiting;
    hang_up();
    return Presence::Gone;
}

void Client::heard(std::string_view bytes) {
    if (state == State::Gone) return;
    // Read on, so that the client's leaving is seen and no close falls on unread bytes; in bounds.
    if (state != State::Open) {
        thrown_away += bytes.size();
        if (thrown_away > thrift::longest_frame) hang_up();
        return;
    }
    last_byte = shared.clock.now();
    if (!frames.under_way()) frame_began = last_byte;
    try {
        while (auto frame = frames.take(bytes)) {
            frames_held.resize(0);  // what is kept of it is charged as the lookup's
            call(thrift::decode(frame->content, shared.terms.traffic,
                                shared.wanted ? *shared.wanted : nothing));
            active = frame_began = shared.clock.now();
            has_spoken = true;
        }
    } catch (const bytes::Malformed& error) {
        // This connection has lost step: what is open on it is still settled, then it is closed.
        log::warning("client connection closed: {}", error.what());
        state = State::Closing;
        frames.reset();
    }
    frames_held.resize(frames.room());
    if (frames.whole() <= longest_short || !shared.frames.under_pressure()) grant_room();
    if (stream.unsent_copies() > most_unread_replies) pause({.memory = pauses.memory, .replies = true});
    if (wanted_room() > 0) hold_reading(true);
}

std::size_t Client::wanted_room() const { return frames.whole() - std::min(frames.whole(), frames.room()); }

void Client::grant_room() {
    frames.reserve(frames.whole());
    frames_held.resize(frames.room());
}

void Client::call(thrift::Message message) {
    auto seq = thrift::seq_of(message);
    if (seq && open.contains(*seq)) throw bytes::Malformed("a sequence number is used twice");
    if (auto* wanted = std::get_if<thrift::Lookup>(&message)) {
        lookup(std::move(*wanted));
    } else if (auto* ping = std::get_if<thrift::Ping>(&message)) {
        write(thrift::pong(ping->seq, shared.ready));
    } else if (auto* abort = std::get_if<thrift::Abort>(&message)) {
        auto found = open.find(abort->of);  // an answer may have crossed it
        if (found == open.end()) return;
        shared.gathered.emplace_back(Left{{id, found->first}, found->second});
        settle(abort->of);
    } else if (auto* bad = std::get_if<thrift::BadLookup>(&message)) {
        log::warning("lookup broken off: its {} is missing or can't be used", bad->why);
        write(thrift::broken_off(bad->seq));
    } else if (auto* unknown = std::get_if<thrift::UnknownCall>(&message)) {
        write(thrift::unknown_call(unknown->seq, unknown->name));
    }
}

void Client::lookup(thrift::Lookup lookup) {
    if (open.size() >= most_open) {
        write(thrift::broken_off(lookup.seq));
        return;
    }
    // Guards against lookups that hold their room, and a connection to a cache, for as long as a client
    // likes.
    if (lookup.wait > 2 * shared.terms.longest_wait) {
        log::warning("lookup broken off: its time limit is far beyond the settings'");
        write(thrift::broken_off(lookup.seq));
        return;
    }
    open[lookup.seq] = lookup.facts.id;
    // What has no room is not kept, and the turn sheds the lookup once it has seen that its id is new.
    bool no_room = lookup.body.size() > shared.requests.available();
    if (no_room) std::string().swap(lookup.body);
    Charge charge(shared.requests, lookup.body.size());
    Caller caller{id, lookup.seq};
    shared.gathered.emplace_back(
        Arrived{caller, std::move(lookup), shared.clock.now(), address, std::move(charge), no_room});
}

void Client::write(std::string_view frame) {
    unread_since(shared.clock.now());
    stream.write(frame);
    written += frame.size();
}

void Client::answer(std::int32_t seq, std::string_view frame) {
    if (state == State::Gone || !settle(seq)) return;
    write(frame);
    active = shared.clock.now();
}

void Client::answer(std::int32_t seq, const thrift::Envelope& around, const SharedBytes& body) {
    if (state == State::Gone || !settle(seq)) return;
    write(around.before);
    written += body->size();
    stream.write(body);
    write(around.after);
    active = shared.clock.now();
}

bool Client::settle(std::int32_t seq) { return open.erase(seq) > 0; }

void Client::hang_up() {
    state = State::Gone;
    for (auto& [seq, lookup] : open) shared.gathered.emplace_back(Left{{id, seq}, lookup});
    open.clear();
}

}  // namespace quillgrade::node
