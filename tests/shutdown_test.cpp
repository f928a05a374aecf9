// Planned restarts of the program itself: SIGTERM at every moment, with clients and caches that stay or hang.
#include <fmt/format.h>
#include <sys/stat.h>

#include <array>
#include <chrono>

#include "program.hpp"

using namespace quillgrade;

namespace {

using Clock = std::chrono::steady_clock;
double seconds_since(Clock::time_point start) {
    return std::chrono::duration<double>(Clock::now() - start).count();
}

}  // namespace

// Guards against a signal that ends a router which has not come to hear it: that is a crash.
TEST_CASE("SIGTERM while the configuration is read ends the program with 0, before it listens") {
    for (int signal : {SIGTERM, SIGINT}) {
        std::string path = "/tmp/quillgrade_test_pipe_" + std::to_string(getpid());
        REQUIRE(mkfifo(path.c_str(), 0600) == 0);
        {
            int port = free_port();
            Listener coordinator, cache;
            Program program(path);
            std::ofstream into(path);  // opens once the program does
            kill(program.pid, signal);
            into << config(port, coordinator.port, cache.port);
            into.close();
            CHECK(line(program.log, "over before it listened").find("over before it listened") !=
                  std::string::npos);
            CHECK(program.exit_code() == 0);
        }
        unlink(path.c_str());
    }
}

TEST_CASE("SIGHUP while the configuration is read is heeded once it serves, and ends nothing") {
    std::string path = "/tmp/quillgrade_test_pipe_" + std::to_string(getpid());
    REQUIRE(mkfifo(path.c_str(), 0600) == 0);
    Listener first, second, cache;
    int port = free_port();
    Program program(path);
    {
        std::ofstream into(path);  // opens once the program does
        std::ofstream(path + "_next") << config(port, second.port, cache.port);
        REQUIRE(std::rename((path + "_next").c_str(), path.c_str()) == 0);
        kill(program.pid, SIGHUP);
        into << config(port, first.port, cache.port);
    }
    accept(second);
    unlink(path.c_str());
    kill(program.pid, SIGTERM);
    CHECK(program.exit_code() == 0);
}

TEST_CASE("SIGTERM twice, with SIGHUP between, is one planned restart") {
    Serving one;
    one.client.send(invoke(1, fields_of("00000000000000a1")));
    auto link = accept(one.cache);
    request(link);
    for (int signal : {SIGTERM, SIGHUP, SIGTERM}) kill(one.program.pid, signal);
    line(one.program.log, "leaving");
    link.send(answer("200 OK", "held"));
    CHECK(frame(one.client) == thrift::handled(1, "held", false));
    CHECK(one.program.exit_code() == 0);
}

// Guards against a reset under clients that rest until they are hung up on, and against waiting for them.
TEST_CASE("a resting client is told of the end, and the program does not wait for more") {
    Serving one;
    one.client.send(framed(head(1, "ping", 1) + std::string(1, '\0')));
    CHECK(frame(one.client) == thrift::pong(1, true));
    auto start = Clock::now();
    kill(one.program.pid, SIGTERM);
    CHECK(read(one.client, [](auto&) { return false; }).empty());  // the end, and the client stays
    CHECK(one.program.exit_code() == 0);
    CHECK(seconds_since(start) < 3);
}

// Guards against a router that waits for a moment without lookups until SIGKILL finds it.
TEST_CASE("a client that never stops asking does not keep the program from ending in time") {
    Serving one;
    auto start = Clock::now();
    kill(one.program.pid, SIGTERM);
    for (int seq = 1;; seq++) {
        auto bytes = invoke(seq, fields_of(fmt::format("{:016x}", seq).c_str()));
        if (::send(one.client.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL) < 0) break;
        pollfd ready{one.client.fd, POLLIN, 0};
        std::array<char, 4096> piece;
        if (poll(&ready, 1, 20) == 1 && ::read(one.client.fd, piece.data(), sizeof piece) <= 0) break;
        REQUIRE(seconds_since(start) < 10);
    }
    CHECK(one.program.exit_code() == 0);
    CHECK(seconds_since(start) < 3.7);
}

// Guards against SIGKILL finding a lookup that its cache never answers.
TEST_CASE("a lookup that hangs with its cache is broken off before the program is killed") {
    Serving one;
    auto fields = fields_of("00000000000000a1", "order");
    fields["d"] = "6000";
    auto start = Clock::now();
    kill(one.program.pid, SIGTERM);
    line(one.program.log, "leaving");
    one.client.send(invoke(1, fields));
    auto link = accept(one.cache);
    request(link);
    CHECK(frame(one.client) == thrift::broken_off(1));
    CHECK(one.program.exit_code() == 0);
    CHECK(seconds_since(start) < 3.7);
}
