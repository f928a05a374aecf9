#include "node/client.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace quillgrade::node {

namespace {

constexpr std::size_t most_open = 32;  // calls on one connection, by the protocol
// For a client to read the last answer and the end after it, there and back.
constexpr Micros linger_time = 4 * crossing;
constexpr std::size_t most_read_at_once = 16'384;  // bytes; requests are short
// The same while requests wait for room: what is read before its room is known.
constexpr std::size_t least_read_at_once = 1'024;
// The limit of the account of requests, in times what is kept for short ones.
constexpr std::size_t limit_per_short_share = 8;
constexpr Micros longest_room_wait = 500'000;
// Where a lookup is open, which its client may cancel in what lies unread.
constexpr Micros longest_room_wait_if_open = crossing;
constexpr std::size_t most_unread_replies = 65'536;  // bytes of short answers, past which no more is read
const std::vector<thrift::Wanted> nothing;
constexpr LookupId no_lookup = 0;  // of a call whose lookup was not kept

}  // namespace

Client::Client(Shared& shared, int fd, ClientId id, std::uint32_t address)
    : shared(shared),
      id(id),
      address(address),
      reader(shared.requests, thrift::longest_frame),
      active(shared.clock.now()),
      stream(shared.base, fd,
             {.bytes = [this](std::string_view bytes) { heard(bytes); },
              .opened = [] {},
              .drained = [this] { pause({.memory = pauses.memory, .replies = false}); },
              .closed = [this] { hang_up(); }}) {
    choose_read_limit();
}

std::size_t Client::Shared::free_room() const {
    auto kept = requests.limit() / limit_per_short_share;
    return requests.available() - std::min(requests.available(), kept);
}

void Client::choose_read_limit() {
    bool little = shared.requests_wait && !reader.under_way();
    auto wanted = little ? least_read_at_once : most_read_at_once;
    if (std::exchange(read_limit, wanted) != wanted) stream.limit_read(wanted);
}

void Client::pause(Pauses wanted) {
    bool held = pauses.memory || pauses.replies, hold = wanted.memory || wanted.replies;
    pauses = wanted;
    if (held == hold) return;
    auto now = shared.clock.now();
    if (hold) {
        paused_at = now;
        stream.stop_reading();
    } else {
        active = std::min(now, active + now - paused_at);  // what is not read is not the client's silence
        reader.resumed(now);
        stream.go_on_reading();
    }
}

// Others that wait for room go first.
void Client::find_room() {
    auto wanted = reader.wanted();
    if (wanted == 0) return;
    if (!shared.requests_wait && wanted <= shared.free_room())
        reader.grant();
    else if (unread_from && shared.clock.now() - *unread_from >= longest_wait())
        refuse_request(Sender::Steady);
    else
        wait_for_room();
}

void Client::wait_for_room() {
    if (!unread_from) unread_from = shared.clock.now();
    pause({.memory = true, .replies = pauses.replies});
    if (!std::exchange(shared.requests_wait, true)) shared.room_wanted();
}

Micros Client::longest_wait() const { return open.empty() ? longest_room_wait : longest_room_wait_if_open; }

std::optional<IncomingRequest> Client::incoming_request(Micros now) {
    if (state != State::Open || !reader.is_long()) return std::nullopt;
    auto judged = sender(now);
    if (judged != Sender::Steady && !reader.found_slow()) reader.give_back_spare();
    return IncomingRequest{.room = reader.room(),
                           .wanted = pauses.memory ? reader.wanted() : 0,
                           .remaining = reader.remaining(),
                           .waits_since = unread_from.value_or(now),
                           .longest_wait = longest_wait(),
                           .sender = judged};
}

// What the router has not read is not the sender's doing.
Sender Client::sender(Micros now) const {
    auto before = reader.found_slow() ? Sender::Slow : Sender::Steady;
    if (pauses.memory || pauses.replies) return before;
    auto judged = reader.sender(now);
    return judged == Sender::Steady || stream.unread() ? before : judged;
}

void Client::grant_room() {
    reader.grant();
    pause({.memory = false, .replies = pauses.replies});
}

void Client::refuse_request(Sender sender) {
    auto& refused = shared.refused;
    (sender == Sender::Stopped ? refused.stopped : sender == Sender::Slow ? refused.slow : refused.waited)++;
    reader.discard();
    pause({.memory = false, .replies = pauses.replies});
}

std::optional<Micros> Client::unread_since(Micros now) {
    auto unsent = stream.unsent();
    if (written - unsent != taken || unsent == 0) taken_at = now;
    taken = written - unsent;
    return unsent > 0 ? std::optional(taken_at) : std::nullopt;
}

bool Client::over(Micros now) const {
    return state == State::Gone || (state == State::HalfClosed && now - half_closed_at >= linger_time);
}

bool Client::resting(Micros now) const {
    if (state != State::Open || !idle() || now - active < crossing) return false;
    return (!reader.under_way() || now - reader.last_heard() >= crossing) && !stream.unread();
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
    // What waits unread for room is never waited for: the room may be what this client's lookups hold. It has
    // waited for less time than a cancellation may take (longest_room_wait_if_open).
    if (pauses.memory) return Presence::Waiting;
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
    try {
        while (auto frame = reader.take(bytes, shared.clock.now())) {
            call(frame->cut ? thrift::decode_cut(frame->content)
                            : thrift::decode(frame->content, shared.terms.traffic,
                                             shared.wanted ? *shared.wanted : nothing));
            active = shared.clock.now();
            has_spoken = true;
        }
        find_room();
    } catch (const bytes::Malformed& error) {
        // This connection has lost step: what is open on it is still settled, then it is closed.
        log::warning("client connection closed: {}", error.what());
        state = State::Closing;
        reader.reset();
    }
    choose_read_limit();
    if (unread_from && !pauses.memory && !stream.unread()) unread_from.reset();
    if (stream.unsent_copies() > most_unread_replies) pause({.memory = pauses.memory, .replies = true});
}

void Client::call(thrift::Message message) {
    auto seq = thrift::seq_of(message);
    if (seq && open.contains(*seq)) throw bytes::Malformed("a sequence number is used twice");
    if (auto* wanted = std::get_if<thrift::Lookup>(&message)) {
        lookup(std::move(*wanted));
    } else if (auto* cut = std::get_if<thrift::CutLookup>(&message)) {
        cut_lookup(cut->seq);
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
    // Its last byte may have lain unread for as long as others had.
    auto at = unread_from.value_or(shared.clock.now());
    shared.gathered.emplace_back(Arrived{caller, std::move(lookup), at, address, std::move(charge), no_room});
}

void Client::cut_lookup(std::int32_t seq) {
    if (open.size() >= most_open) {
        write(thrift::broken_off(seq));
        return;
    }
    open[seq] = no_lookup;
    shared.gathered.emplace_back(Discarded{{id, seq}});
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
