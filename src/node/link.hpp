// One connection to a cache: one transmission or probe at a time.
#pragma once

#include <optional>

#include "http/reply.hpp"
#include "http/request.hpp"
#include "node/clock.hpp"
#include "node/loop.hpp"
#include "node/memory_account.hpp"

namespace quillgrade::node {

// What a link is out for.
struct Attempt {
    LookupId lookup = 0;
    int round = -1;  // -1: a probe
    Micros sent = 0, limit = 0;
    Micros good_until = 0;  // by the steady clock: not written after that; 0: whenever
};

class Link {
public:
    // How an attempt ended; the link is then idle, or dead.
    using Ended = std::function<void(Link&, Outcome, http::Reply)>;
    struct Shared {
        event_base* base;
        const site::Terms& terms;
        Clock& clock;
        MemoryAccount& answers;
        Ended ended;
        std::function<void(Link&)> ready;  // it is connected and waits for ask() or refuse()
        std::function<void()> pressed;     // answers are under pressure: set_reading() is due
    };
    // How much of an answer is read: all that comes; no more than its head needs, until it has begun;
    // nothing.
    enum class Reading { Freely, HeadOnly, Paused };
    static constexpr std::size_t head_read = 1'024;  // bytes at once
    Link(const Shared& shared, CacheId cache, const feed::Address& address, std::uint64_t process);

    void run(const Attempt& wanted);         // nothing is written yet
    void ask(const http::Request& request);  // what was decided still holds: writes it
    void refuse();                           // it doesn't: the attempt ends, and nothing ran
    void give_up();                          // the attempt is no longer wanted: the connection is closed
    void drop();  // the connection is closed; an attempt that is out ends as broken
    bool usable() const { return state == State::Idle && !stream.dropped(); }
    // Whether what may still have been on its way after the last answer has come by now.
    bool rested() const;
    bool ready() const { return state == State::Connected; }
    bool idle() const { return state == State::Idle; }
    bool dead() const { return state == State::Dead; }
    void set_reading(Reading wanted);  // while busy
    bool busy() const { return state == State::Busy; }
    bool begun() const { return busy() && !reader.fresh(); }  // a part of the answer has come
    std::size_t coming() const { return busy() ? reader.held_bytes() : 0; }
    std::size_t remaining() const { return reader.remaining(); }  // bytes of the answer
    // It has begun and brought nothing for a while; what lies unread while reading is paused counts as
    // brought.
    bool stalled(Micros now) const;
    Charge charge() const { return held; }  // for the answer under way, or the one that has just ended
    Micros held_back(Micros now) const;     // how long that answer was not read

    const CacheId cache;
    const std::uint64_t process;  // which of those that have stood behind the id
    Attempt attempt;

private:
    // Connected: nothing written before the turn has looked at the attempt again.
    enum class State { Opening, Connected, Busy, Idle, Dead };
    void opened();
    void come_up();
    void heard(std::string_view bytes);
    void closed();
    void timed_out();
    void finish(Outcome outcome, http::Reply reply = {}, bool untouched = false);

    const Shared& shared;
    feed::Address address;
    State state = State::Idle;
    bool connected = false;
    Micros opening_ends = 0, idle_since = 0;
    http::ReplyReader reader;
    Charge held;
    Reading reading = Reading::Freely;
    Micros progress_at = 0;  // when bytes came, or could come again
    Micros paused_since = 0, paused_so_far = 0;
    Timer timer;
    Stream stream;
};

}  // namespace quillgrade::node
