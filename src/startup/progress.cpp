#include "startup/progress.hpp"

#include <sys/syscall.h>
#include <unistd.h>

#include <ctime>

namespace quillgrade::startup {

Record* shared_record = nullptr;  // off; set by preinit.cpp where the program has it

const char* name_of(Stage stage) {
    switch (stage) {
        case Stage::Loaded:
            return "loaded";
        case Stage::Main:
            return "main";
        case Stage::ConfigurationRead:
            return "configuration read";
        case Stage::EventLoopMade:
            return "event loop made";
        case Stage::FirstPass:
            return "first pass";
        case Stage::Listening:
            return "listening";
        case Stage::Serving:
            return "serving";
    }
    return "none";
}

const char* name_of(Call call) {
    switch (call) {
        case Call::None:
            return "none";
        case Call::ReadFile:
            return "read file";
        case Call::MakeLoop:
            return "make loop";
        case Call::PollOnce:
            return "poll once";
        case Call::PollWait:
            return "poll wait";
        case Call::Listen:
            return "listen";
        case Call::PollLog:
            return "poll log";
        case Call::WriteLog:
            return "write log";
    }
    return "unknown";
}

namespace {

// Only where progress is kept. Asks the system directly, as it also runs before any library is set up.
void store_processor_time() {
    timespec used{};
    if (syscall(SYS_clock_gettime, CLOCK_PROCESS_CPUTIME_ID, &used) != 0) return;
    shared_record->processor_us =
        static_cast<std::uint64_t>(used.tv_sec) * 1'000'000 + static_cast<std::uint64_t>(used.tv_nsec) / 1000;
}

}  // namespace

void reached(Stage stage) {
    if (!shared_record) return;
    shared_record->stage = static_cast<std::uint32_t>(stage);
    store_processor_time();
}

CallMark::CallMark(Call call) {
    if (!shared_record) return;
    before = shared_record->call.exchange(static_cast<std::uint32_t>(call));
    shared_record->calls++;
    if (call == Call::PollOnce) shared_record->polls_since_wait++;
    if (call == Call::PollWait) shared_record->polls_since_wait = 0;
    store_processor_time();
}

CallMark::~CallMark() {
    if (shared_record) shared_record->call = before;
}

}  // namespace quillgrade::startup
