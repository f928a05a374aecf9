#include "coordinator.hpp"

#include <fcntl.h>

#include <cerrno>
#include <stdexcept>

#include "coordinator_stream.hpp"

namespace quillgrade::driven_start {

namespace {

constexpr int backlog_of_any = 16, shortest_backlog = 0, connects_that_fill_it = 4;

void bind_to(const Socket& socket, int port) {
    int on = 1;
    setsockopt(socket.fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = Socket::local(port);
    if (bind(socket.fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
        throw std::runtime_error("driven start: the coordinator's port can't be bound");
}

// A watch that has not asked yet may be answered too: the coordinator tells all the same.
void answer(const Socket& watch) { watch.send(heartbeat()); }

int port_of(const Socket& socket) {
    auto address = Socket::local(0);
    socklen_t size = sizeof address;
    getsockname(socket.fd, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

}  // namespace

Coordinator::Coordinator(Mode mode) : mode(mode) {
    bind_to(reserved, 0);
    reserved_port = port_of(reserved);
    if (mode == Mode::Unreached) {
        open(shortest_backlog);
        for (int i = 0; i < connects_that_fill_it; i++) {
            auto& filler = fillers.emplace_back();
            fcntl(filler.fd, F_SETFL, O_NONBLOCK);
            filler.connect(reserved_port);
        }
    } else if (mode != Mode::Refuses) {
        open(backlog_of_any);
    }
}

void Coordinator::open(int backlog) {
    listener.emplace();
    fcntl(listener->fd, F_SETFL, O_NONBLOCK);
    bind_to(*listener, reserved_port);
    if (listen(listener->fd, backlog) != 0) throw std::runtime_error("driven start: listen failed");
}

void Coordinator::take_watches() {
    if (!listener || mode == Mode::Unreached) return;
    for (int fd; (fd = ::accept4(listener->fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK)) >= 0;) {
        auto& watch = watches.emplace_back(fd);
        if (mode == Mode::Answers) answer(watch);
    }
}

void Coordinator::close_connections() {
    for (auto& watch : watches) {
        linger reset{1, 0};
        setsockopt(watch.fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
    }
    watches.clear();
}

void Coordinator::turn(Mode to) {
    take_watches();
    auto before = std::exchange(mode, to);
    fillers.clear();
    if (to == Mode::Refuses) {
        close_connections();
        listener.reset();
        return;
    }
    if (before == Mode::Refuses) open(backlog_of_any);
    if (before == Mode::Unreached) listen(listener->fd, backlog_of_any);
    if (to == Mode::Answers)
        for (auto& watch : watches) answer(watch);
    take_watches();
}

}  // namespace quillgrade::driven_start
