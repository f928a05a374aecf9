#include "rig/hollow/child_process.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>

namespace quillgrade::rig::hollow {

namespace {

// The program after fork: only calls that are safe there.
struct Prepared {
    std::vector<const char*> words, variables;
    explicit Prepared(const Command& command, std::vector<std::string>& assignments) {
        words.push_back(command.program.c_str());
        for (auto& argument : command.arguments) words.push_back(argument.c_str());
        words.push_back(nullptr);
        for (auto& [name, value] : command.environment)
            assignments.push_back(fmt::format("{}={}", name, value));
        for (auto& assignment : assignments) variables.push_back(assignment.c_str());
        for (char** one = environ; *one; one++)
            if (!std::string_view(*one).starts_with("PROXY_")) variables.push_back(*one);
        variables.push_back(nullptr);
    }
};

[[noreturn]] void become(const Prepared& prepared, int control, int log, pid_t parent) {
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (getppid() != parent) _exit(127);  // it died before that
    // A terminal's interrupt is the supervisor's to act on.
    signal(SIGINT, SIG_IGN);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    if (log >= 0) dup2(log, STDERR_FILENO);
    if (control == ChildProcess::control_descriptor)
        fcntl(control, F_SETFD, 0);
    else if (control >= 0)
        dup2(control, ChildProcess::control_descriptor);
    execve(prepared.words[0], const_cast<char* const*>(prepared.words.data()),
           const_cast<char* const*>(prepared.variables.data()));
    _exit(127);
}

}  // namespace

ChildProcess::ChildProcess(const Command& command) {
    std::vector<std::string> assignments;
    Prepared prepared(command, assignments);
    std::array<int, 2> ends = {-1, -1};
    if (command.controlled && socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends.data()) != 0)
        throw std::runtime_error("no socket pair for a child process");
    if (command.controlled) to_child = std::make_unique<LineChannel>(ends[0]);
    int log = -1;
    if (!command.log_file.empty())
        log = open(command.log_file.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    auto parent = getpid();
    process = fork();
    if (process == 0) become(prepared, ends[1], log, parent);
    if (ends[1] >= 0) close(ends[1]);
    if (log >= 0) close(log);
    if (process < 0) throw std::runtime_error("no further child process");
}

ChildProcess::~ChildProcess() { kill(); }

bool ChildProcess::ended() {
    siginfo_t info{};
    return process < 0 ||
           (waitid(P_PID, static_cast<id_t>(process), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
            info.si_pid != 0);
}

void ChildProcess::kill() {
    if (process < 0) return;
    ::kill(process, SIGKILL);
    waitpid(process, nullptr, 0);
    process = -1;
}

Usage usage_of(pid_t process) {
    Usage usage;
    auto folder = "/proc/" + std::to_string(process);
    std::ifstream memory(folder + "/statm");
    long all = 0, resident = 0, shared = 0;
    memory >> all >> resident >> shared;
    auto mb_a_page = static_cast<double>(sysconf(_SC_PAGESIZE)) / (1 << 20);
    usage.resident_mb = static_cast<double>(resident) * mb_a_page;
    usage.resident_private_mb = static_cast<double>(resident - shared) * mb_a_page;
    std::ifstream times(folder + "/stat");
    std::string line;
    std::getline(times, line);
    auto name_end = line.rfind(')');
    if (name_end == std::string::npos) return usage;
    constexpr int fields_before_user_time = 11;
    const char* rest = line.c_str() + name_end + 1;
    char* next = nullptr;
    std::string_view skipped(rest);
    std::size_t at = 0;
    for (int i = 0; i <= fields_before_user_time; i++) at = skipped.find(' ', at) + 1;
    auto user = std::strtol(rest + at, &next, 10);
    auto system = std::strtol(next, nullptr, 10);
    usage.cpu_seconds = static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
    return usage;
}

}  // namespace quillgrade::rig::hollow
