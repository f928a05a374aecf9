#include "log/log.hpp"

#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <climits>
#include <string>

#include "startup/progress.hpp"

namespace quillgrade::log {

namespace {

using startup::Call;
using startup::CallMark;

constexpr int most_lines_a_second = 200;
// A pipe that has room at all has room for so much; a write of more could wait for its reader.
constexpr std::size_t longest_line = PIPE_BUF;

// Lines since the last one that told of them.
struct LeftOut {
    int by_rate = 0, by_room = 0;
};

std::string_view name_of(Level level) {
    return level == Level::Info ? "info" : level == Level::Warning ? "warning" : "error";
}

// Guards against a line that is lost because a signal came at its call. None of the calls waits, so each new
// turn takes another signal.
template <class SystemCall>
auto until_not_interrupted(SystemCall call) {
    auto result = call();
    while (result < 0 && errno == EINTR) result = call();
    return result;
}

bool has_room() {
    CallMark mark(Call::PollLog);
    pollfd room{STDERR_FILENO, POLLOUT, 0};
    auto ready = until_not_interrupted([&] { return poll(&room, 1, 0); });
    return ready == 1 && (room.revents & POLLOUT) && !(room.revents & POLLERR);
}

// Without waiting: a socket may have room for a part of the line only.
ssize_t write_some(std::string_view line) {
    static bool is_socket = true;  // until the system says no
    CallMark mark(Call::WriteLog);
    if (is_socket) {
        auto sent = until_not_interrupted(
            [&] { return ::send(STDERR_FILENO, line.data(), line.size(), MSG_DONTWAIT | MSG_NOSIGNAL); });
        if (sent >= 0 || errno != ENOTSOCK) return sent;
        is_socket = false;
    }
    return until_not_interrupted([&] { return ::write(STDERR_FILENO, line.data(), line.size()); });
}

// A log that nobody reads is no reason to stop or to wait: what it has no room for is lost. Whether the line
// is written.
bool put(std::string line) {
    if (line.size() > longest_line) {
        line.resize(longest_line);
        line.back() = '\n';
    }
    return has_room() && write_some(line) == static_cast<ssize_t>(line.size());
}

bool tell(LeftOut& left_out, long long millis) {
    if (left_out.by_rate + left_out.by_room == 0) return true;
    auto told =
        put(fmt::format("{}.{:03} warning {} lines left out: {} past {} in a second, {} without room\n",
                        millis / 1000, millis % 1000, left_out.by_rate + left_out.by_room, left_out.by_rate,
                        most_lines_a_second, left_out.by_room));
    if (told) left_out = {};
    return told;
}

}  // namespace

void write(Level level, std::string_view text) {
    static long long second = 0;
    static int lines = 0;
    static LeftOut left_out;
    auto since = std::chrono::system_clock::now().time_since_epoch();
    auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    if (millis / 1000 != second) {
        second = millis / 1000;
        lines = 0;
    }
    if (lines == most_lines_a_second) {
        left_out.by_rate++;
        return;
    }
    lines++;
    bool written = tell(left_out, millis) &&
                   put(fmt::format("{}.{:03} {} {}\n", second, millis % 1000, name_of(level), text));
    if (!written) left_out.by_room++;
}

}  // namespace quillgrade::log
