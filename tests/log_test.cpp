// The log on standard error that nobody reads. It must never make the router wait, and what it leaves out has
// to be told. A line longer than the room left in a pipe made the router wait for the pipe's reader, for ever
// where there is none; and lines left out for want of room were told by nobody, so that a router without a
// first line could not be told apart from one whose line had no room.
#include "log/log.hpp"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <functional>
#include <string>

using namespace quillgrade;

namespace {

constexpr std::size_t page = 4096, pages = 2, many_pages = 3 * page;
constexpr unsigned longest_s = 10;

// Runs `work` in a child process with `descriptor` as its standard error; true where it ends by itself in
// time.
bool ends_in_time(int descriptor, const std::function<void()>& work) {
    auto child = fork();
    REQUIRE(child >= 0);
    if (child == 0) {
        alarm(longest_s);
        dup2(descriptor, STDERR_FILENO);
        work();
        _exit(0);
    }
    int status = 0;
    waitpid(child, &status, 0);
    return WIFEXITED(status) && WEXITSTATUS(status) == 0;
}

std::string read_all(int descriptor) {
    fcntl(descriptor, F_SETFL, O_NONBLOCK);
    std::string all;
    std::array<char, page> piece;
    for (ssize_t got; (got = ::read(descriptor, piece.data(), piece.size())) > 0;)
        all.append(piece.data(), static_cast<std::size_t>(got));
    return all;
}

struct Pipe {
    std::array<int, 2> ends{};
    Pipe() {
        REQUIRE(pipe(ends.data()) == 0);
        constexpr auto size = static_cast<int>(pages * page);
        REQUIRE(fcntl(ends[1], F_SETPIPE_SZ, size) == size);
    }
    Pipe(const Pipe&) = delete;
    Pipe& operator=(const Pipe&) = delete;
    ~Pipe() {
        for (int end : ends) close(end);
    }
    void fill(std::size_t how_many) const {
        std::string text(page, '.');
        for (std::size_t i = 0; i < how_many; i++)
            REQUIRE(::write(ends[1], text.data(), text.size()) == static_cast<ssize_t>(text.size()));
    }
};

}  // namespace

TEST_CASE("a line longer than the room in a pipe without a reader is cut, and nothing waits") {
    Pipe log;
    log.fill(pages - 1);
    CHECK(ends_in_time(log.ends[1], [] { log::warning("{}", std::string(many_pages, 'x')); }));
    auto text = read_all(log.ends[0]);
    CHECK(text.size() <= pages * page);
    CHECK(text.back() == '\n');
}

TEST_CASE("a long line on a socket without a reader does not wait either") {
    std::array<int, 2> ends;
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    CHECK(ends_in_time(ends[1], [] {
        for (int i = 0; i < 150; i++) log::warning("{}", std::string(page, 'x'));
    }));
    for (int end : ends) close(end);
}

TEST_CASE("lines that had no room are counted and told with the next line that has") {
    Pipe log;
    log.fill(pages);
    CHECK(ends_in_time(log.ends[1], [&] {
        for (int i = 0; i < 3; i++) log::info("lost {}", i);
        read_all(log.ends[0]);
        log::info("has room");
    }));
    auto text = read_all(log.ends[0]);
    CHECK(text.find("lost") == std::string::npos);
    CHECK(text.find("warning 3 lines left out: 0 past 200 in a second, 3 without room") != std::string::npos);
    CHECK(text.find("info has room") != std::string::npos);
}
