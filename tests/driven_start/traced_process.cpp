#include "traced_process.hpp"

#include <fcntl.h>
#include <linux/filter.h>
#include <linux/seccomp.h>
#include <sys/prctl.h>
#include <sys/ptrace.h>
#include <sys/reg.h>
#include <sys/syscall.h>
#include <sys/wait.h>

#include <csignal>
#include <cstddef>
#include <cstdlib>
#include <ctime>
#include <stdexcept>

namespace quillgrade::driven_start {

namespace {

constexpr int call_stop = SIGTRAP | 0x80;    // PTRACE_O_TRACESYSGOOD
constexpr std::size_t instruction_size = 2;  // of `syscall`
constexpr std::array argument_registers = {RDI, RSI, RDX, R10, R8, R9};

void check(bool done, const char* what) {
    if (!done) throw std::runtime_error(std::string("driven start: ") + what + " failed");
}

// rt_sigprocmask alone stops the process, other calls go on at once.
void stop_at_mask_only() {
    std::array<sock_filter, 4> filter = {
        sock_filter(BPF_STMT(BPF_LD | BPF_W | BPF_ABS, offsetof(seccomp_data, nr))),
        sock_filter(BPF_JUMP(BPF_JMP | BPF_JEQ | BPF_K, SYS_rt_sigprocmask, 0, 1)),
        sock_filter(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_TRACE)),
        sock_filter(BPF_STMT(BPF_RET | BPF_K, SECCOMP_RET_ALLOW))};
    sock_fprog program{filter.size(), filter.data()};
    prctl(PR_SET_NO_NEW_PRIVS, 1, 0, 0, 0);
    prctl(PR_SET_SECCOMP, SECCOMP_MODE_FILTER, &program);
}

[[noreturn]] void execute(const std::string& program, const std::string& config_path, int log,
                          TracedProcess::Stops stops) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    dup2(log, STDERR_FILENO);
    setenv("PROXY_CONFIG", config_path.c_str(), 1);
    for (const char* variable : {"PROXY_LISTEN", "PROXY_NAME", "QUILLGRADE_START_PROGRESS"})
        unsetenv(variable);
    ptrace(PTRACE_TRACEME, 0, nullptr, nullptr);
    raise(SIGSTOP);
    if (stops == TracedProcess::Stops::AtFirstMask) stop_at_mask_only();
    execl(program.c_str(), "quillgrade", nullptr);
    _exit(127);
}

void set_register(pid_t process, int index, std::uint64_t value) {
    check(
        ptrace(PTRACE_POKEUSER, process, sizeof(std::uint64_t) * static_cast<std::size_t>(index), value) == 0,
        "setting a register");
}

}  // namespace

TracedProcess::TracedProcess(const std::string& program, const std::string& config_path, Stops stops) {
    std::array<int, 2> ends;
    check(pipe2(ends.data(), O_CLOEXEC) == 0, "pipe");
    process = fork();
    check(process >= 0, "fork");
    if (process == 0) execute(program, config_path, ends[1], stops);
    close(ends[1]);
    from_child.fd = ends[0];
    fcntl(from_child.fd, F_SETFL, O_NONBLOCK);
    int status = 0;
    check(waitpid(process, &status, __WALL) == process && WIFSTOPPED(status), "start");
    auto options = PTRACE_O_EXITKILL | PTRACE_O_TRACESYSGOOD | PTRACE_O_TRACEEXEC | PTRACE_O_TRACESECCOMP;
    check(ptrace(PTRACE_SETOPTIONS, process, nullptr, options) == 0, "ptrace");
    check(ptrace(PTRACE_CONT, process, nullptr, nullptr) == 0, "ptrace");
}

TracedProcess::~TracedProcess() {
    if (process <= 0) return;
    ::kill(process, SIGKILL);
    for (int status = 0; waitpid(process, &status, __WALL) == process && WIFSTOPPED(status);) {
    }
}

std::optional<Stop> TracedProcess::next_stop() {
    int status = 0;
    if (process <= 0 || waitpid(process, &status, WNOHANG | __WALL) != process) return {};
    return stop_of(status);
}

Stop TracedProcess::wait_for_stop() {
    int status = 0;
    check(waitpid(process, &status, __WALL) == process, "waiting for a stop");
    return stop_of(status);
}

Stop TracedProcess::stop_of(int status) {
    Stop stop;
    if (!WIFSTOPPED(status)) {
        process = -1;
        if (WIFSIGNALED(status)) stop.signal = WTERMSIG(status);
        stop.exit_code = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
        return stop;
    }
    if (status >> 8 == (SIGTRAP | PTRACE_EVENT_EXEC << 8)) {
        stop.kind = Stop::Kind::Executed;
    } else if (status >> 8 == (SIGTRAP | PTRACE_EVENT_SECCOMP << 8)) {
        stop.kind = Stop::Kind::Masks;
    } else if (WSTOPSIG(status) != call_stop) {
        stop.kind = Stop::Kind::Signal;
        stop.signal = WSTOPSIG(status);
    } else {
        __ptrace_syscall_info info{};
        check(ptrace(PTRACE_GET_SYSCALL_INFO, process, sizeof info, &info) > 0, "reading a system call");
        bool begins = info.op == PTRACE_SYSCALL_INFO_ENTRY;
        if (begins) {
            call = static_cast<long>(info.entry.nr);
            for (std::size_t i = 0; i < arguments.size(); i++) arguments[i] = info.entry.args[i];
        }
        stop.kind = begins ? Stop::Kind::CallBegins : Stop::Kind::CallEnds;
        stop.call = call;
        stop.arguments = arguments;
        if (!begins) stop.result = info.exit.rval;
    }
    return stop;
}

// A process that was killed meanwhile can't be resumed; its end is the next stop.
void TracedProcess::resume(int signal) { ptrace(PTRACE_SYSCALL, process, nullptr, signal); }

void TracedProcess::resume_untraced() { ptrace(PTRACE_CONT, process, nullptr, nullptr); }

void TracedProcess::send(int signal) const { ::kill(process, signal); }

std::chrono::nanoseconds TracedProcess::processor_time() const {
    clockid_t clock{};
    timespec used{};
    if (process <= 0 || clock_getcpuclockid(process, &clock) != 0 || clock_gettime(clock, &used) != 0)
        return {};
    return std::chrono::seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec);
}

void TracedProcess::skip_call() { set_register(process, ORIG_RAX, static_cast<std::uint64_t>(-1)); }

void TracedProcess::set_argument(std::size_t index, std::uint64_t value) {
    set_register(process, argument_registers.at(index), value);
    arguments.at(index) = value;
}

void TracedProcess::set_result(std::int64_t result) {
    set_register(process, RAX, static_cast<std::uint64_t>(result));
}

void TracedProcess::repeat_call(const Stop& ended) {
    auto next = ptrace(PTRACE_PEEKUSER, process, sizeof(std::uint64_t) * RIP, nullptr);
    set_register(process, RIP, static_cast<std::uint64_t>(next) - instruction_size);
    set_register(process, RAX, static_cast<std::uint64_t>(ended.call));
}

}  // namespace quillgrade::driven_start
