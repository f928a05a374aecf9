#include "rig/hollow/line_channel.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>

namespace quillgrade::rig::hollow {

namespace {

constexpr std::size_t read_at_once = 65'536;
constexpr int wait_ms = 100;

bool would_block() { return errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR; }

}  // namespace

LineChannel::LineChannel(int socket) : socket(socket) {
    fcntl(socket, F_SETFL, fcntl(socket, F_GETFL) | O_NONBLOCK);
}

LineChannel::~LineChannel() { close(socket); }

void LineChannel::send(std::string_view line) {
    unsent += line;
    flush();
}

void LineChannel::flush() {
    while (!unsent.empty() && !ended) {
        auto sent = ::send(socket, unsent.data(), unsent.size(), MSG_NOSIGNAL);
        if (sent < 0) {
            if (!would_block()) ended = true;
            return;
        }
        unsent.erase(0, static_cast<std::size_t>(sent));
    }
}

void LineChannel::flush_all() {
    for (flush(); !unsent.empty() && !ended; flush()) {
        pollfd room{socket, POLLOUT, 0};
        poll(&room, 1, wait_ms);
    }
}

std::vector<std::string> LineChannel::read() {
    std::array<char, read_at_once> piece;
    for (;;) {
        auto got = ::recv(socket, piece.data(), piece.size(), 0);
        if (got > 0) {
            incomplete.append(piece.data(), static_cast<std::size_t>(got));
            continue;
        }
        if (got == 0 || !would_block()) ended = true;
        break;
    }
    std::vector<std::string> lines;
    std::size_t begin = 0;
    for (auto end = incomplete.find('\n'); end != std::string::npos; end = incomplete.find('\n', begin)) {
        lines.push_back(incomplete.substr(begin, end - begin));
        begin = end + 1;
    }
    incomplete.erase(0, begin);
    return lines;
}

}  // namespace quillgrade::rig::hollow
