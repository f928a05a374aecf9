// How far a start has come, kept in a file that the process shares with whoever looks: a start that hangs, or
// was killed, can be read afterwards, since a mark is a plain write to memory and needs no call of the
// system. Processor time is kept beside them, which one call of the system reads.
//
// Off unless QUILLGRADE_START_PROGRESS names a folder in the environment of the process. Then each process
// writes one file there, `start-PID`, of one Record in the machine's byte order; `build/quillgrade_progress
// FOLDER` prints them. Nothing here throws; where the file can't be made, marks are dropped.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>

namespace quillgrade::startup {

// In the order in which a start reaches them.
enum class Stage : std::uint32_t {
    Loaded = 1,         // relocated; no constructor of a library has run
    Main,               // main() has begun, handlers of signals are set
    ConfigurationRead,  // the settings are in memory
    EventLoopMade,      // sockets of clients, caches and coordinator can be made
    FirstPass,          // what the configuration knows is taken in, the loop has polled once
    Listening,          // clients can connect
    Serving,            // a ping is answered with good
};

// Calls of the system that may take time, by what the router wants of them.
enum class Call : std::uint32_t {
    None,
    ReadFile,  // configuration, operators' file
    MakeLoop,  // epoll, signal pipe
    PollOnce,  // the loop, without waiting
    PollWait,  // the loop, until something happens
    Listen,    // socket, bind, listen
    PollLog,   // whether standard error has room
    WriteLog,  // to standard error
};

struct Record {
    static constexpr std::uint64_t format = 0x514753544152'0002;
    std::uint64_t written_format = format;
    std::int64_t process = 0;
    std::atomic<std::uint32_t> stage{0};
    std::atomic<std::uint32_t> call{0};   // under way now
    std::atomic<std::uint64_t> calls{0};  // begun so far
    std::atomic<std::uint64_t> polls_since_wait{0};
    std::atomic<std::uint64_t> processor_us{0};  // used when the last stage was reached or call begun
};
static_assert(std::atomic<std::uint64_t>::is_always_lock_free);

const char* name_of(Stage stage);
const char* name_of(Call call);

void reached(Stage stage);

// Marks a call for as long as it lives; calls may nest, the inner one is shown.
class CallMark {
public:
    explicit CallMark(Call call);
    CallMark(const CallMark&) = delete;
    CallMark& operator=(const CallMark&) = delete;
    ~CallMark();

private:
    std::uint32_t before = 0;
};

// Signals that the supervisor sends at any moment of a start (SIGHUP, SIGTERM, SIGINT) are held back from the
// earliest moment at which a program can run code, before any library's constructor, until this call: their
// handlers have to be set by then. Also takes up those that the supervisor blocked before it executed the
// program.
void admit_signals();

}  // namespace quillgrade::startup
