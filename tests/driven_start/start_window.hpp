// How long a start can be ended by a signal that it would handle later: from the return of execve to the
// program's first instruction, which holds signals back (src/startup/preinit.cpp).
#pragma once

#include <chrono>
#include <string>

namespace quillgrade::driven_start {

// Without the time that the tracer takes.
struct StartWindow {
    std::chrono::nanoseconds processor{}, queued{};  // running, and ready to run without a core
};

StartWindow measure_window(const std::string& program);

}  // namespace quillgrade::driven_start
