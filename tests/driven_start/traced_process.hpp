// The router as a child process that stops at each of its system calls (ptrace, x86-64 only). It is killed
// when its owner goes out of scope, and by the system when its tracer dies.
#pragma once

#include <sys/types.h>

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>

#include "helpers.hpp"

namespace quillgrade::driven_start {

struct Stop {
    enum class Kind { Executed, CallBegins, CallEnds, Masks, Signal, Ended };
    Kind kind = Kind::Ended;
    long call = -1;                          // number of the system call; CallBegins, CallEnds
    std::array<std::uint64_t, 6> arguments;  // CallBegins, CallEnds
    std::int64_t result = 0;                 // CallEnds: negative, an error number
    int signal = 0;                          // Signal; Ended: what has ended it, 0: it has exited
    int exit_code = 0;                       // Ended
};

class TracedProcess {
public:
    // Untraced: it runs from the return of execve to its first change of the mask of signals without a stop.
    enum class Stops { AtEachCall, AtFirstMask };
    TracedProcess(const std::string& program, const std::string& config_path,
                  Stops stops = Stops::AtEachCall);
    ~TracedProcess();
    TracedProcess(const TracedProcess&) = delete;
    TracedProcess& operator=(const TracedProcess&) = delete;

    pid_t id() const { return process; }
    const Socket& log() const { return from_child; }  // its standard error, read without waiting
    Stop wait_for_stop();
    std::optional<Stop> next_stop();  // without waiting
    void resume(int signal = 0);      // until the next stop; `signal` is delivered
    void resume_untraced();           // until a signal or its end
    void send(int signal) const;
    std::chrono::nanoseconds processor_time() const;

    // While it stands at the beginning of a call.
    void skip_call();  // the call is not made; give it a result at its end
    void set_argument(std::size_t index, std::uint64_t value);
    // While it stands at the end of a call.
    void set_result(std::int64_t result);
    void repeat_call(const Stop& ended);

private:
    Stop stop_of(int status);
    pid_t process = -1;
    Socket from_child{-1};
    long call = -1;
    std::array<std::uint64_t, 6> arguments{};
};

}  // namespace quillgrade::driven_start
