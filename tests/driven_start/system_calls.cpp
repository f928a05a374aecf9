#include "system_calls.hpp"

#include <sys/syscall.h>

#include <algorithm>
#include <array>

namespace quillgrade::driven_start {

namespace {

struct Name {
    long call;
    const char* name;
};

constexpr std::array names = {Name{SYS_accept4, "accept4"},
                              Name{SYS_access, "access"},
                              Name{SYS_arch_prctl, "arch_prctl"},
                              Name{SYS_bind, "bind"},
                              Name{SYS_brk, "brk"},
                              Name{SYS_close, "close"},
                              Name{SYS_connect, "connect"},
                              Name{SYS_epoll_create1, "epoll_create1"},
                              Name{SYS_epoll_ctl, "epoll_ctl"},
                              Name{SYS_epoll_wait, "epoll_wait"},
                              Name{SYS_epoll_pwait, "epoll_pwait"},
                              Name{SYS_epoll_pwait2, "epoll_pwait2"},
                              Name{SYS_exit_group, "exit_group"},
                              Name{SYS_futex, "futex"},
                              Name{SYS_getegid, "getegid"},
                              Name{SYS_geteuid, "geteuid"},
                              Name{SYS_getgid, "getgid"},
                              Name{SYS_getpid, "getpid"},
                              Name{SYS_getrandom, "getrandom"},
                              Name{SYS_getsockname, "getsockname"},
                              Name{SYS_getsockopt, "getsockopt"},
                              Name{SYS_getuid, "getuid"},
                              Name{SYS_ioctl, "ioctl"},
                              Name{SYS_listen, "listen"},
                              Name{SYS_mmap, "mmap"},
                              Name{SYS_mprotect, "mprotect"},
                              Name{SYS_munmap, "munmap"},
                              Name{SYS_newfstatat, "newfstatat"},
                              Name{SYS_openat, "openat"},
                              Name{SYS_pipe2, "pipe2"},
                              Name{SYS_poll, "poll"},
                              Name{SYS_pread64, "pread64"},
                              Name{SYS_prlimit64, "prlimit64"},
                              Name{SYS_read, "read"},
                              Name{SYS_readv, "readv"},
                              Name{SYS_recvfrom, "recvfrom"},
                              Name{SYS_rseq, "rseq"},
                              Name{SYS_rt_sigaction, "rt_sigaction"},
                              Name{SYS_rt_sigprocmask, "rt_sigprocmask"},
                              Name{SYS_rt_sigreturn, "rt_sigreturn"},
                              Name{SYS_sendto, "sendto"},
                              Name{SYS_set_robust_list, "set_robust_list"},
                              Name{SYS_set_tid_address, "set_tid_address"},
                              Name{SYS_setsockopt, "setsockopt"},
                              Name{SYS_shutdown, "shutdown"},
                              Name{SYS_socket, "socket"},
                              Name{SYS_write, "write"},
                              Name{SYS_writev, "writev"}};

template <std::size_t size>
bool holds(const std::array<long, size>& all, long call) {
    return std::find(all.begin(), all.end(), call) != all.end();
}

constexpr std::array<long, 5> polls = {SYS_epoll_wait, SYS_epoll_pwait, SYS_epoll_pwait2, SYS_poll,
                                       SYS_ppoll};
constexpr std::array<long, 9> transfers = {SYS_accept4, SYS_connect,  SYS_read,   SYS_readv,    SYS_write,
                                           SYS_writev,  SYS_recvfrom, SYS_sendto, SYS_getrandom};
// Not futex: only its waits may be interrupted, and a router of one thread makes none.
constexpr std::array<long, 3> others = {SYS_openat, SYS_close, SYS_pread64};

}  // namespace

std::string name_of_call(long call) {
    auto found = std::find_if(names.begin(), names.end(), [&](auto& one) { return one.call == call; });
    return found == names.end() ? "call " + std::to_string(call) : found->name;
}

bool is_poll(long call) { return holds(polls, call); }

bool is_write(long call) { return call == SYS_write || call == SYS_writev || call == SYS_sendto; }

bool may_find_nothing(long call) { return is_poll(call) || holds(transfers, call); }

bool may_be_interrupted(long call) { return may_find_nothing(call) || holds(others, call); }

bool takes_effect_anyway(long call) { return call == SYS_connect || call == SYS_close; }

}  // namespace quillgrade::driven_start
