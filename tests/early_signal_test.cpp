// Signals that come before main() has begun. A supervisor that restarts a router twice in a row, or reloads
// all routers while one is starting, hits a program that is still being loaded: of 300 starts signalled
// within 0.3 s on busy cores 25 were ended by SIGHUP and 43 by SIGTERM or SIGINT, exit by the signal, no line
// in the log. SIGHUP must never end a router, and SIGTERM is a planned restart, exit code 0. The time before
// main() was that of 14 shared libraries.
#include <array>
#include <chrono>
#include <functional>
#include <string>
#include <thread>

#include "program.hpp"

using namespace quillgrade;

namespace {

// The program, its child process prepared by `prepare` right before it executes it.
struct PreparedProgram {
    pid_t pid;
    Socket log{-1};
    PreparedProgram(const std::string& config_path, const std::function<void()>& prepare) {
        std::array<int, 2> ends;
        REQUIRE(pipe(ends.data()) == 0);
        pid = fork();
        REQUIRE(pid >= 0);
        if (pid == 0) {
            dup2(ends[1], STDERR_FILENO);
            setenv("PROXY_CONFIG", config_path.c_str(), 1);
            prepare();
            execl(QUILLGRADE_PROGRAM, "quillgrade", nullptr);
            _exit(127);
        }
        close(ends[1]);
        log.fd = ends[0];
    }
    PreparedProgram(const PreparedProgram&) = delete;
    PreparedProgram& operator=(const PreparedProgram&) = delete;
    ~PreparedProgram() {
        if (pid <= 0) return;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
    // As a shell tells it: 128 and the signal where one has ended it; -1 where it has not ended in time.
    int exit_code() {
        auto limit = std::chrono::steady_clock::now() + std::chrono::milliseconds(patience_ms);
        int status = 0;
        while (waitpid(pid, &status, WNOHANG) == 0) {
            if (std::chrono::steady_clock::now() > limit) return -1;
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        pid = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
    }
};

struct Site {
    int port = free_port();
    Listener coordinator, cache;
    File file{config(port, coordinator.port, cache.port)};
};

void signal_in_constructor(int signal) {
    setenv("LD_PRELOAD", QUILLGRADE_EARLY_SIGNAL_LIBRARY, 1);
    setenv("EARLY_SIGNAL", std::to_string(signal).c_str(), 1);
}

// The signal is blocked and pending when the program is executed, and both last over that.
void signal_before_execution(int signal) {
    sigset_t all;
    sigemptyset(&all);
    for (int one : {SIGHUP, SIGTERM, SIGINT}) sigaddset(&all, one);
    sigprocmask(SIG_BLOCK, &all, nullptr);
    raise(signal);
}

constexpr std::array ways = {signal_in_constructor, signal_before_execution};

}  // namespace

TEST_CASE("SIGTERM or SIGINT before main() is a planned restart: exit code 0, nobody could connect") {
    for (auto way : ways)
        for (int signal : {SIGTERM, SIGINT}) {
            Site site;
            PreparedProgram program(site.file.path, [&] { way(signal); });
            CHECK(line(program.log, "over before it listened").find("over before it listened") !=
                  std::string::npos);
            CHECK(program.exit_code() == 0);
        }
}

TEST_CASE(
    "SIGHUP before main() ends nothing: the router serves, reads its configuration again, and can be ended") {
    for (auto way : ways) {
        Site site;
        PreparedProgram program(site.file.path, [&] { way(SIGHUP); });
        auto log = line(program.log, "configuration read again");
        CHECK(log.find("configuration read again") != std::string::npos);
        kill(program.pid, SIGTERM);
        CHECK(program.exit_code() == 0);
    }
}

// A supervisor may block the signals while it starts a router, so that none is lost: the router takes them
// up.
TEST_CASE("signals that were blocked over the execution of the program are heard once it serves") {
    Site site;
    PreparedProgram program(site.file.path, [] {
        sigset_t all;
        sigfillset(&all);
        sigprocmask(SIG_BLOCK, &all, nullptr);
    });
    REQUIRE(line(program.log, "serving as n1").find("serving as n1") != std::string::npos);
    kill(program.pid, SIGTERM);
    CHECK(line(program.log, "leaving").find("leaving") != std::string::npos);
    CHECK(program.exit_code() == 0);
}
