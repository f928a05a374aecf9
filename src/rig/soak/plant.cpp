// Faults for the check of the soak, planted into the shipped program from outside: a library that is loaded
// before it (LD_PRELOAD) and changes what one call of the system does. QUILLGRADE_PLANT names the fault; with
// none it changes nothing. The shipped sources hold no hooks.
#include <dlfcn.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string_view>

namespace {

bool planted(const char* name) {
    static const char* fault = std::getenv("QUILLGRADE_PLANT");
    return fault && std::strcmp(fault, name) == 0;
}

template <class Function>
Function next(const char* name) {
    return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

using Handler = void (*)(int);
using SigactionCall = int (*)(int, const struct sigaction*, struct sigaction*);

volatile std::sig_atomic_t terms = 0;
std::array<Handler, NSIG> handlers;

// Stands before the program's own handler, to count what comes.
void heard(int number) {
    if (number == SIGTERM || number == SIGINT) {
        terms = terms + 1;
        if (terms > 1 && planted("second-term-ends")) _exit(0);
    }
    if (auto own = handlers[static_cast<std::size_t>(number)]; own != nullptr) own(number);
}

bool is_client_socket(int descriptor) {
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) return false;
    // Connections that were accepted lead from the router's own address, which is not 127.0.0.1.
    return address.ss_family == AF_INET && reinterpret_cast<const unsigned char*>(&address)[4 + 1] != 0;
}

__attribute__((constructor)) void late_start() {
    constexpr unsigned too_long_s = 11;
    if (planted("slow-start")) sleep(too_long_s);
}

__attribute__((destructor)) void wrong_exit_code() {
    if (planted("exit-code")) _exit(1);
}

}  // namespace

// NOLINTBEGIN(readability-inconsistent-declaration-parameter-name): the system's own names are reserved.
extern "C" {

int sigaction(int number, const struct sigaction* wanted, struct sigaction* before) {
    static auto real = next<SigactionCall>("sigaction");
    if (!wanted || wanted->sa_handler == SIG_DFL || wanted->sa_handler == SIG_IGN)
        return real(number, wanted, before);
    if (number == SIGHUP && planted("hup-unhandled")) return 0;
    auto changed = *wanted;
    if (number == SIGTERM && planted("term-ignored")) {
        changed.sa_handler = SIG_IGN;
        return real(number, &changed, before);
    }
    if (number == SIGTERM || number == SIGINT) {
        handlers[static_cast<std::size_t>(number)] = wanted->sa_handler;
        changed.sa_handler = heard;
    }
    return real(number, &changed, before);
}

Handler signal(int number, Handler wanted) {
    struct sigaction changed {
    }, before{};
    changed.sa_handler = wanted;
    changed.sa_flags = SA_RESTART;
    return sigaction(number, &changed, &before) == 0 ? before.sa_handler : SIG_ERR;
}

FILE* fopen64(const char* path, const char* mode) {
    static auto real = next<FILE* (*)(const char*, const char*)>("fopen64");
    const char* config = std::getenv("PROXY_CONFIG");
    auto* file = real(path, mode);
    if (file && config && std::strcmp(path, config) == 0 && planted("descriptor-per-reload"))
        dup(fileno(file));
    return file;
}

ssize_t writev(int descriptor, const iovec* pieces, int count) {
    static auto real = next<ssize_t (*)(int, const iovec*, int)>("writev");
    static bool dropped = false;
    if (terms > 0 && !dropped && planted("reply-dropped") && is_client_socket(descriptor)) {
        dropped = true;
        ssize_t whole = 0;
        for (int i = 0; i < count; i++) whole += static_cast<ssize_t>(pieces[i].iov_len);
        return whole;
    }
    constexpr std::string_view non_idempotent = "GET /data/order/";
    if (planted("effect-twice") && count > 0 && pieces[0].iov_len > non_idempotent.size() &&
        std::memcmp(pieces[0].iov_base, non_idempotent.data(), non_idempotent.size()) == 0)
        real(descriptor, pieces, count);
    return real(descriptor, pieces, count);
}

int accept4(int descriptor, sockaddr* address, socklen_t* size, int flags) {
    static auto real = next<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
    int accepted = real(descriptor, address, size, flags);
    if (accepted >= 0 && terms > 0 && planted("accept-and-forget")) {
        errno = ECONNABORTED;
        return -1;
    }
    return accepted;
}
}
// NOLINTEND(readability-inconsistent-declaration-parameter-name)
