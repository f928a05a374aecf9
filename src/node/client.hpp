// One client's connection: calls in, answers out, each call answered once.
#pragma once

#include <optional>
#include <unordered_map>

#include "node/clock.hpp"
#include "node/gathered.hpp"
#include "node/loop.hpp"
#include "node/request_reader.hpp"

namespace quillgrade::node {

class Client {
public:
    // What all connections of the front share.
    struct Shared {
        event_base* base;
        const site::Terms& terms;
        Clock& clock;
        Gathered& gathered;
        MemoryAccount& requests;  // from their first byte until their final answer
        bool ready = false;       // what a ping is told
        const std::vector<thrift::Wanted>* wanted = nullptr;  // named fields that rules ask for
        bool requests_wait = false;                 // some request waits for room: others have none before it
        std::function<void()> room_wanted = [] {};  // the first one has begun to wait
        // How many requests were not kept for want of memory.
        struct Refused {
            std::size_t waited = 0, slow = 0, stopped = 0;  // too long; whose sender was slow, or had stopped
        } refused = {};
        // Bytes that long requests may have room for.
        std::size_t free_room() const;
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
    // The request under way, if it is a long one that is kept. One that is found to come slowly gives its
    // spare room back here.
    std::optional<IncomingRequest> incoming_request(Micros now);
    bool waits_for_room() const { return pauses.memory; }
    void grant_room();  // what it wants, and it is read on
    // It is read to its end and not kept, and then rejected. `sender`: as it was judged.
    void refuse_request(Sender sender);
    void choose_read_limit();  // to be called when Shared::requests_wait has changed

private:
    // Why the client is not read from.
    struct Pauses {
        bool memory = false, replies = false;
    };
    void pause(Pauses wanted);
    void find_room();
    void wait_for_room();
    Micros longest_wait() const;
    Sender sender(Micros now) const;
    void heard(std::string_view bytes);
    void call(thrift::Message message);
    void write(std::string_view frame);
    void lookup(thrift::Lookup lookup);
    void cut_lookup(std::int32_t seq);
    bool settle(std::int32_t seq);  // nothing is owed for it any more; false if nothing was

    Shared& shared;
    ClientId id;
    std::uint32_t address;
    RequestReader reader;
    std::unordered_map<std::int32_t, LookupId> open;
    // Closing: its bytes make no sense any more, what is open is still answered. HalfClosed: no answer
    // follows. Gone: the client has closed.
    enum class State { Open, Closing, HalfClosed, Gone };
    State state = State::Open;
    bool has_spoken = false;
    std::size_t thrown_away = 0;  // bytes
    Micros active, half_closed_at = 0, paused_at = 0;
    // When it began to wait for room, as long as bytes that were written then may lie unread.
    std::optional<Micros> unread_from;
    std::size_t read_limit = 0;          // bytes at once
    std::size_t written = 0, taken = 0;  // bytes of answers, by the router and by the system
    Micros taken_at = 0;
    Pauses pauses;
    Stream stream;
};

}  // namespace quillgrade::node
