// libevent's handles, owned: the loop, buffered sockets, timers.
#pragma once

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>

#include <functional>
#include <memory>
#include <string_view>

#include "control.hpp"
#include "feed/event.hpp"

namespace quillgrade::node {

struct Free {
    void operator()(event_base* base) const { event_base_free(base); }
    void operator()(bufferevent* buffer) const { bufferevent_free(buffer); }
    void operator()(event* timer) const { event_free(timer); }
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
};
template <class T>
using Owned = std::unique_ptr<T, Free>;

// Bytes that are read from one socket at most before the others have their turn, unless told otherwise. With
// what libevent adds it fills one of its blocks of 64 KB.
inline constexpr std::size_t most_read = 65'472;

// A buffered socket, also one that is not open yet (fd -1). Its owner hears of it by three calls.
class Stream {
public:
    struct Heard {
        std::function<void(std::string_view)> bytes;
        std::function<void()> opened, drained, closed;  // closed: by the far side, or never opened
    };
    Stream(event_base* base, int fd, Heard heard);
    bool open(const feed::Address& to);
    void write(std::string_view bytes) { bufferevent_write(buffer.get(), bytes.data(), bytes.size()); }
    // The bytes are not copied, and held until all of them are with the system.
    void write(const std::shared_ptr<const std::string>& bytes);
    void stop_reading() { bufferevent_disable(buffer.get(), EV_READ); }
    void go_on_reading() { bufferevent_enable(buffer.get(), EV_READ); }
    void limit_read(std::size_t bytes) { bufferevent_set_max_single_read(buffer.get(), bytes); }  // at once
    std::size_t unsent() const { return evbuffer_get_length(bufferevent_get_output(buffer.get())); }
    std::size_t unsent_copies() const;  // of that, what is not held by reference
    bool dropped() const;               // the far side has closed or spoken while nothing was asked
    bool unread() const;                // bytes lie in the system's buffer that were not read yet
    bool ended() const;                 // the far side has closed, and nothing lies before that
    void shut_down_writing();           // no byte follows; what comes is still read

private:
    static void on_read(bufferevent* buffer, void* self);
    static void on_write(bufferevent* /*buffer*/, void* self);
    static void on_event(bufferevent* /*buffer*/, short what, void* self);
    Heard heard;
    std::shared_ptr<std::size_t> referenced = std::make_shared<std::size_t>(0);  // bytes held by reference
    Owned<bufferevent> buffer;
};

class Timer {
public:
    Timer(event_base* base, std::function<void()> called);
    void set(Micros from_now);
    void stop() { evtimer_del(timer.get()); }
    bool pending() const { return evtimer_pending(timer.get(), nullptr); }

private:
    std::function<void()> due;
    Owned<event> timer;
};

}  // namespace quillgrade::node
