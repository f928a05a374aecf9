// How far a start has come, read from outside while the process stands still: with marks in memory a router
// that sleeps before its first line can be told apart from one that is still being loaded or reads its
// configuration.
#include <sys/stat.h>

#include <chrono>
#include <cstring>
#include <filesystem>
#include <thread>

#include "program.hpp"
#include "startup/progress.hpp"

using namespace quillgrade;
using startup::Call;
using startup::Record;
using startup::Stage;

namespace {

struct Folder {
    std::string path = "/tmp/quillgrade_progress_XXXXXX";
    Folder() {
        REQUIRE(mkdtemp(path.data()));
        setenv("QUILLGRADE_START_PROGRESS", path.c_str(), 1);
    }
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    ~Folder() {
        unsetenv("QUILLGRADE_START_PROGRESS");
        std::filesystem::remove_all(path);
    }
    // Waits until the process has come to this stage and call, or the patience is over.
    bool shows(pid_t pid, Stage stage, Call call) const {
        auto limit = std::chrono::steady_clock::now() + std::chrono::milliseconds(patience_ms);
        while (std::chrono::steady_clock::now() < limit) {
            std::ifstream file(path + "/start-" + std::to_string(pid), std::ios::binary);
            std::array<char, sizeof(Record)> bytes{};
            file.read(bytes.data(), bytes.size());
            Record record;
            if (file.gcount() == static_cast<std::streamsize>(bytes.size())) {
                std::memcpy(static_cast<void*>(&record), bytes.data(), bytes.size());
                if (record.process == pid && record.stage == static_cast<std::uint32_t>(stage) &&
                    record.call == static_cast<std::uint32_t>(call))
                    return true;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
        }
        return false;
    }
};

}  // namespace

TEST_CASE(
    "the progress of a start is seen from outside: waiting for its configuration, then serving at rest") {
    Folder folder;
    std::string path = folder.path + "/config";
    REQUIRE(mkfifo(path.c_str(), 0600) == 0);
    int port = free_port();
    Listener coordinator, cache;
    Program program(path);
    CHECK(folder.shows(program.pid, Stage::Main, Call::ReadFile));
    std::ofstream(path) << config(port, coordinator.port, cache.port);
    auto log = line(program.log, "serving as n1");
    for (auto stage :
         {"starting: version ", ", configuration read", "listening on 127.0.0.1:", "serving as n1"})
        CHECK(log.find(stage) != std::string::npos);
    CHECK(folder.shows(program.pid, Stage::Serving, Call::PollWait));
    kill(program.pid, SIGTERM);
    CHECK(program.exit_code() == 0);
}

TEST_CASE("without the variable no start writes a file, and one that can't be written stops no start") {
    for (bool named : {false, true}) {
        if (named) setenv("QUILLGRADE_START_PROGRESS", "/no/such/folder", 1);
        Serving one;
        unsetenv("QUILLGRADE_START_PROGRESS");
        kill(one.program.pid, SIGTERM);
        CHECK(one.program.exit_code() == 0);
    }
}
