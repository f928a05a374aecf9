#include "node/loop.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <new>
#include <utility>

namespace quillgrade::node {

namespace {

constexpr std::size_t most_written = 65'536;  // bytes to one socket before the others have their turn

void send_at_once(int fd) {
    int on = 1;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

}  // namespace

Stream::Stream(event_base* base, int fd, Heard heard)
    : heard(std::move(heard)), buffer(bufferevent_socket_new(base, fd, BEV_OPT_CLOSE_ON_FREE)) {
    if (!buffer) throw std::bad_alloc();
    bufferevent_setcb(buffer.get(), on_read, on_write, on_event, this);
    bufferevent_set_max_single_read(buffer.get(), most_read);
    bufferevent_set_max_single_write(buffer.get(), most_written);
    if (fd >= 0) send_at_once(fd);
    bufferevent_enable(buffer.get(), EV_READ | EV_WRITE);
}

bool Stream::open(const feed::Address& to) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(to.host);
    address.sin_port = htons(to.port);
    if (bufferevent_socket_connect(buffer.get(), reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        return false;
    send_at_once(bufferevent_getfd(buffer.get()));
    return true;
}

void Stream::write(const std::shared_ptr<const std::string>& bytes) {
    if (!bytes || bytes->empty()) return;
    struct Reference {
        std::shared_ptr<const std::string> bytes;
        std::shared_ptr<std::size_t> referenced;
    };
    *referenced += bytes->size();
    auto reference = std::make_unique<Reference>(Reference{bytes, referenced});
    auto let_go = [](const void*, std::size_t, void* held) {
        std::unique_ptr<Reference> reference(static_cast<Reference*>(held));
        *reference->referenced -= reference->bytes->size();
    };
    auto* output = bufferevent_get_output(buffer.get());
    if (evbuffer_add_reference(output, bytes->data(), bytes->size(), let_go, reference.get()) != 0)
        throw std::bad_alloc();
    (void)reference.release();  // libevent's now
}

// One that the system has taken in part counts in full among those held by reference.
std::size_t Stream::unsent_copies() const { return unsent() > *referenced ? unsent() - *referenced : 0; }

namespace {

enum class Next { Nothing, Bytes, End };

Next next_of(int fd) {
    char byte;
    auto got = ::recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (got > 0) return Next::Bytes;
    if (got < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR)) return Next::Nothing;
    return Next::End;
}

}  // namespace

bool Stream::dropped() const { return next_of(bufferevent_getfd(buffer.get())) != Next::Nothing; }

bool Stream::unread() const { return next_of(bufferevent_getfd(buffer.get())) == Next::Bytes; }

bool Stream::ended() const { return next_of(bufferevent_getfd(buffer.get())) == Next::End; }

void Stream::shut_down_writing() { ::shutdown(bufferevent_getfd(buffer.get()), SHUT_WR); }

// The owner may let go of its stream only between passes of the loop, never in one of these calls.
void Stream::on_read(bufferevent* buffer, void* self) {
    auto* input = bufferevent_get_input(buffer);
    std::array<char, 16'384> piece;
    for (int got; (got = evbuffer_remove(input, piece.data(), piece.size())) > 0;)
        static_cast<Stream*>(self)->heard.bytes({piece.data(), static_cast<std::size_t>(got)});
}

void Stream::on_write(bufferevent* /*buffer*/, void* self) { static_cast<Stream*>(self)->heard.drained(); }

void Stream::on_event(bufferevent* /*buffer*/, short what, void* self) {
    auto& heard = static_cast<Stream*>(self)->heard;
    if (what & BEV_EVENT_CONNECTED)
        heard.opened();
    else if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
        heard.closed();
}

Timer::Timer(event_base* base, std::function<void()> called)
    : due(std::move(called)),
      timer(evtimer_new(
          base, [](evutil_socket_t, short, void* self) { static_cast<Timer*>(self)->due(); }, this)) {
    if (!timer) throw std::bad_alloc();
}

void Timer::set(Micros from_now) {
    from_now = std::max<Micros>(0, from_now);
    timeval wait{static_cast<time_t>(from_now / 1'000'000), static_cast<suseconds_t>(from_now % 1'000'000)};
    evtimer_add(timer.get(), &wait);
}

}  // namespace quillgrade::node
