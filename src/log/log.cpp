#include "log/log.hpp"

#include <poll.h>
#include <unistd.h>

#include <chrono>
#include <string>
#include <utility>

namespace quillgrade::log {

namespace {

constexpr int most_lines_a_second = 200;

std::string_view name_of(Level level) {
    return level == Level::Info ? "info" : level == Level::Warning ? "warning" : "error";
}

void put(std::string_view line) {
    // A log that nobody reads is no reason to stop or to wait: what it has no room for is lost.
    pollfd room{STDERR_FILENO, POLLOUT, 0};
    if (poll(&room, 1, 0) != 1 || !(room.revents & POLLOUT)) return;
    [[maybe_unused]] auto written = ::write(STDERR_FILENO, line.data(), line.size());
}

}  // namespace

void write(Level level, std::string_view text) {
    static long long second = 0;
    static int lines = 0, dropped = 0;
    auto since = std::chrono::system_clock::now().time_since_epoch();
    auto millis = std::chrono::duration_cast<std::chrono::milliseconds>(since).count();
    if (millis / 1000 != second) {
        second = millis / 1000;
        lines = 0;
        if (int left_out = std::exchange(dropped, 0))
            put(fmt::format("{}.{:03} warning {} lines left out\n", second, millis % 1000, left_out));
    }
    if (++lines > most_lines_a_second) {
        dropped++;
        return;
    }
    put(fmt::format("{}.{:03} {} {}\n", second, millis % 1000, name_of(level), text));
}

}  // namespace quillgrade::log
