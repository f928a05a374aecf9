// Starts of the real program, many at once and on busy cores: each has to serve within its time limit.
#include <sys/stat.h>

#include <array>
#include <chrono>
#include <filesystem>
#include <memory>
#include <vector>

#include "program.hpp"

using namespace quillgrade;

namespace {

using SteadyClock = std::chrono::steady_clock;

constexpr int busy_processes = 4, routers_at_once = 10, batches = 10;
constexpr unsigned longest_busy_s = 120;  // a busy process ends by itself then, whatever becomes of the test
constexpr auto ready_within = std::chrono::seconds(30);

// Child processes that use all processor time they get.
struct BusyProcesses {
    BusyProcesses() {
        for (int i = 0; i < busy_processes; i++) {
            auto child = fork();
            REQUIRE(child >= 0);
            if (child == 0) {
                alarm(longest_busy_s);
                volatile bool busy = true;
                while (busy) {
                }
            }
            children.push_back(child);
        }
    }
    BusyProcesses(const BusyProcesses&) = delete;
    BusyProcesses& operator=(const BusyProcesses&) = delete;
    ~BusyProcesses() {
        for (auto child : children) {
            kill(child, SIGKILL);
            waitpid(child, nullptr, 0);
        }
    }
    std::vector<pid_t> children;
};

// A port that nobody else is given meanwhile: bound without listening, which a router may do beside it.
struct ReservedPort : Socket {
    int port = 0;
    ReservedPort() {
        int on = 1;
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        auto address = local(0);
        socklen_t size = sizeof address;
        REQUIRE(bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0);
        REQUIRE(getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0);
        port = ntohs(address.sin_port);
    }
};

// One router that has just been started, with a coordinator and a cache of its own.
struct Start {
    explicit Start(const std::string& path) : path(path) {
        std::ofstream(path) << config(reserved.port, coordinator.port, cache.port);
        program = std::make_unique<Program>(path);
    }
    Start(const Start&) = delete;
    Start& operator=(const Start&) = delete;
    ~Start() { std::remove(path.c_str()); }
    // Whether it says that it serves, takes a connection and answers a ping on it, all before `limit`.
    bool serves(SteadyClock::time_point limit) {
        if (!hears(program->log, limit,
                   [](auto& got) { return got.find("serving as") != std::string::npos; }))
            return false;
        Socket client;
        if (!client.connect(reserved.port)) return false;
        client.send(framed(head(1, "ping", 1) + std::string(1, '\0')));
        auto wanted = thrift::pong(1, true);
        return hears(client, limit, [&](auto& got) { return got == wanted; });
    }
    // As read(), with one limit for all of it and no failure of its own.
    template <class Done>
    static bool hears(const Socket& from, SteadyClock::time_point limit, Done done) {
        std::string got;
        while (!done(got)) {
            auto left = std::chrono::duration_cast<std::chrono::milliseconds>(limit - SteadyClock::now());
            pollfd ready{from.fd, POLLIN, 0};
            if (left.count() <= 0 || poll(&ready, 1, static_cast<int>(left.count())) != 1) return false;
            std::array<char, 4096> piece;
            auto length = ::read(from.fd, piece.data(), piece.size());
            if (length <= 0) return false;
            got.append(piece.data(), static_cast<std::size_t>(length));
        }
        return true;
    }
    std::string path;
    ReservedPort reserved;
    Listener coordinator, cache;
    std::unique_ptr<Program> program;
};

std::size_t threads_of(pid_t pid) {
    auto tasks = std::filesystem::directory_iterator("/proc/" + std::to_string(pid) + "/task");
    return static_cast<std::size_t>(std::distance(begin(tasks), end(tasks)));
}

}  // namespace

// Guards against a router that waits, before it serves, for something that may never come.
TEST_CASE("a hundred routers started on busy cores, ten at once, all serve in time, on one thread each") {
    BusyProcesses busy;
    int serving = 0;
    for (int batch = 0; batch < batches; batch++) {
        auto limit = SteadyClock::now() + ready_within;
        std::vector<std::unique_ptr<Start>> starts;
        starts.reserve(routers_at_once);
        for (int i = 0; i < routers_at_once; i++)
            starts.push_back(std::make_unique<Start>("/tmp/quillgrade_start_" + std::to_string(getpid()) +
                                                     "_" + std::to_string(i)));
        for (auto& one : starts) {
            CAPTURE(batch);
            CHECK(one->serves(limit));
            CHECK(threads_of(one->program->pid) == 1);
            serving++;
        }
    }
    CHECK(serving == batches * routers_at_once);
}
