#include "start_window.hpp"

#include <fmt/format.h>

#include <fstream>
#include <stdexcept>

#include "traced_process.hpp"

namespace quillgrade::driven_start {

namespace {

StartWindow used_by(pid_t process) {
    std::ifstream file(fmt::format("/proc/{}/schedstat", process));
    long long processor = 0, queued = 0;
    if (!(file >> processor >> queued)) throw std::runtime_error("driven start: schedstat can't be read");
    return {std::chrono::nanoseconds(processor), std::chrono::nanoseconds(queued)};
}

void run_to(TracedProcess& process, Stop::Kind kind) {
    for (;;) {
        auto stop = process.wait_for_stop();
        if (stop.kind == kind) return;
        if (stop.kind == Stop::Kind::Ended) throw std::runtime_error("driven start: ended before its mask");
        process.resume_untraced();
    }
}

}  // namespace

StartWindow measure_window(const std::string& program) {
    TracedProcess process(program, "/dev/null", TracedProcess::Stops::AtFirstMask);
    run_to(process, Stop::Kind::Executed);
    auto begin = used_by(process.id());
    process.resume_untraced();
    run_to(process, Stop::Kind::Masks);
    auto end = used_by(process.id());
    return {end.processor - begin.processor, end.queued - begin.queued};
}

}  // namespace quillgrade::driven_start
