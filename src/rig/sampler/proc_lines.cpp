#include "rig/sampler/proc_lines.hpp"

#include <fmt/format.h>

#include <charconv>

namespace quillgrade::rig::sampler {

namespace {

constexpr int decimal = 10, hexadecimal = 16;

// Takes words off a line, one after another.
class Words {
public:
    explicit Words(std::string_view line) : rest(line) {}
    // Empty where there is none any more.
    std::string_view next() {
        auto first = rest.find_first_not_of(" \n");
        if (first == std::string_view::npos) return {};
        rest.remove_prefix(first);
        auto word = rest.substr(0, rest.find_first_of(" \n"));
        rest.remove_prefix(word.size());
        return word;
    }
    void skip(int count) {
        for (int i = 0; i < count; i++) next();
    }
    bool at_end() const { return rest.find_first_not_of(" \n") == std::string_view::npos; }
    // False where the next word is not one whole number that fits.
    template <class Number>
    bool take(Number& number, int base = decimal) {
        auto word = next();
        if (base == hexadecimal) {
            if (!word.starts_with("0x")) return false;
            word.remove_prefix(2);
        }
        auto* end = word.data() + word.size();
        auto read = std::from_chars(word.data(), end, number, base);
        return !word.empty() && read.ec == std::errc{} && read.ptr == end;
    }

private:
    std::string_view rest;
};

}  // namespace

std::optional<SchedulerTimes> parse_schedstat(std::string_view line) {
    Words words(line);
    std::int64_t processor = 0, run_queue = 0;
    SchedulerTimes times;
    if (!words.take(processor) || !words.take(run_queue) || !words.take(times.timeslices) || !words.at_end())
        return std::nullopt;
    times.processor = Nanoseconds(processor);
    times.run_queue = Nanoseconds(run_queue);
    return times;
}

std::optional<ProcessStat> parse_stat(std::string_view line) {
    // The name stands in brackets and may hold spaces and brackets itself.
    auto open = line.find('('), close = line.rfind(')');
    if (open == std::string_view::npos || close == std::string_view::npos || close < open)
        return std::nullopt;
    ProcessStat stat;
    if (!Words(line.substr(0, open)).take(stat.pid)) return std::nullopt;
    stat.program = line.substr(open + 1, close - open - 1);
    Words words(line.substr(close + 1));
    auto state = words.next();
    if (state.size() != 1) return std::nullopt;
    stat.state = state.front();
    // Fields by their numbers in proc(5): 4 parent, 10 and 12 faults, 22 start, 39 core.
    if (!words.take(stat.parent)) return std::nullopt;
    words.skip(5);
    if (!words.take(stat.minor_faults)) return std::nullopt;
    words.skip(1);
    if (!words.take(stat.major_faults)) return std::nullopt;
    words.skip(9);
    if (!words.take(stat.start_ticks)) return std::nullopt;
    words.skip(16);
    if (!words.take(stat.core)) return std::nullopt;
    return stat;
}

std::optional<CoreTimes> parse_core_times(std::string_view line) {
    constexpr std::string_view prefix = "cpu";
    if (!line.starts_with(prefix)) return std::nullopt;
    Words words(line.substr(prefix.size()));
    CoreTimes times;
    if (line.substr(prefix.size()).starts_with(' ') || !words.take(times.core)) return std::nullopt;
    // Of user, nice, system, idle, wait for disks, two of interrupts, stolen.
    words.skip(3);
    if (!words.take(times.idle)) return std::nullopt;
    words.skip(3);
    if (!words.take(times.stolen)) return std::nullopt;
    return times;
}

std::optional<SystemCall> parse_syscall(std::string_view line) {
    SystemCall call;
    Words words(line);
    if (Words(line).next() == "running") {
        words.next();
        call.kind = SystemCall::Kind::Running;
    } else {
        if (!words.take(call.number)) return std::nullopt;
        call.kind = call.number < 0 ? SystemCall::Kind::OutsideOfCalls : SystemCall::Kind::InCall;
        if (call.kind == SystemCall::Kind::InCall)
            for (auto& argument : call.arguments)
                if (!words.take(argument, hexadecimal)) return std::nullopt;
        if (!words.take(call.stack_pointer, hexadecimal) || !words.take(call.instruction, hexadecimal))
            return std::nullopt;
    }
    if (!words.at_end()) return std::nullopt;
    return call;
}

std::string text_of(const SystemCall& call) {
    switch (call.kind) {
        case SystemCall::Kind::Running:
            return "running";
        case SystemCall::Kind::OutsideOfCalls:
            return fmt::format("{} {:#x} {:#x}", call.number, call.stack_pointer, call.instruction);
        case SystemCall::Kind::InCall:
            return fmt::format("{} {:#x} {:#x} {:#x}", call.number, fmt::join(call.arguments, " "),
                               call.stack_pointer, call.instruction);
        case SystemCall::Kind::Unknown:
            break;
    }
    return "unknown";
}

}  // namespace quillgrade::rig::sampler
