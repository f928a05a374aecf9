// One client's connection: calls in, answers out, each call answered once.
#pragma once

#include <optional>
#include <unordered_map>

#include "bytes/bytes.hpp"
#include "node/clock.hpp"
#include "node/gathered.hpp"
#include "node/loop.hpp"

namespace quillgrade::node {

class Client {
public:
    // What all connections of the front share.
    struct Shared {
        event_base* base;
        const site::Terms& terms;
        Clock& clock;
        Gathered& gathered;
        MemoryAccount& frames;                                // requests that are under way
        MemoryAccount& requests;                              // bodies of those that were taken
        bool ready = false;                                   // what a ping is told
        const std::vector<thrift::Wanted>* wanted = nullptr;  // named fields that rules ask for
    };
    Client(Shared& shared, int fd, ClientId id, std::uint32_t address);

    void answer(std::int32_t seq, std::string_view frame);
    void answer(std::int32_t seq, const thrift::Envelope& around, const SharedBytes& body);
    // Nothing is open and nothing unsent, so the connection may be ended; what lies unread is seen to first.
    bool idle() const { return open.empty() && stream.unsent() == 0; }
    // The client rests, for some time now, and nothing of it is on its way as far as can be seen here.
    bool resting(Micros now) const;
    // No answer follows: the client sees the end, and what crosses it is read and thrown away, so that no
    // reset takes the last answer with it. Only when idle.
    void half_close();
    void hang_up();  // whatever is open, its client is gone
    // Whether it still waits for what it asked, as far as its socket tells now, heard by the loop or not.
    // Speaking: bytes lie unread, which may cancel it.
    enum class Presence { Waiting, Speaking, Gone };
    Presence presence();
    // To be let go of between passes of the loop: the far side has closed, or was given its time to.
    bool over(Micros now) const;
    bool wants_half_close() const { return state == State::Closing && idle(); }
    bool half_closed() const { return state == State::HalfClosed; }
    bool spoke() const { return has_spoken; }      // has sent a whole message
    Micros last_active() const { return active; }  // when it connected, sent a whole message or was answered
    std::size_t unsent() const { return stream.unsent(); }
    // Since when the system takes none of the bytes that it was offered, as far as this was called: at every
    // pass of the loop. Nothing: none are waiting.
    std::optional<Micros> unread_since(Micros now);
    // A request has begun and is not whole.
    bool unfinished() const { return state == State::Open && frames.under_way(); }
    // Bytes of room that this request lacks, without which it is not read on.
    std::size_t wanted_room() const;
    void grant_room();  // what is wanted
    Micros begun_at() const { return frame_began; }
    // It is read from and has stopped in the middle of a request for a while, nothing is open, and nothing of
    // it is on its way as far as can be seen here.
    bool stopped_in_request(Micros now) const;
    Micros last_heard() const { return last_byte; }
    void hold_reading(bool held);  // for want of memory

private:
    // Why the client is not read from.
    struct Pauses {
        bool memory = false, replies = false;
    };
    void pause(Pauses wanted);
    void heard(std::string_view bytes);
    void call(thrift::Message message);
    void write(std::string_view frame);
    void lookup(thrift::Lookup lookup);
    bool settle(std::int32_t seq);  // nothing is owed for it any more; false if nothing was

    Shared& shared;
    ClientId id;
    std::uint32_t address;
    bytes::Frames frames{thrift::longest_frame};
    Charge frames_held;  // the room of the request under way
    std::unordered_map<std::int32_t, LookupId> open;
    // Closing: its bytes make no sense any more, what is open is still answered. HalfClosed: no answer
    // follows. Gone: the client has closed.
    enum class State { Open, Closing, HalfClosed, Gone };
    State state = State::Open;
    bool has_spoken = false;
    std::size_t thrown_away = 0;  // bytes
    Micros active, last_byte = 0, half_closed_at = 0, frame_began = 0, read_since = 0;
    std::size_t written = 0, taken = 0;  // bytes of answers, by the router and by the system
    Micros taken_at = 0;
    Pauses pauses;
    Stream stream;
};

}  // namespace quillgrade::node
