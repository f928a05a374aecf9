// A library that is loaded before the C library (LD_PRELOAD) into a router under test: its Unix clock is the
// true one, moved or halted as the file that QUILLGRADE_CLOCK names says. The monotonic clock stays, as it
// would.
#include <dlfcn.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <cstdlib>
#include <ctime>

#include "rig/fleet/clock_file.hpp"

namespace {

quillgrade::rig::ClockFile* shared() {
    static auto* file = [] {
        const char* path = std::getenv("QUILLGRADE_CLOCK");
        int fd = path ? open(path, O_RDONLY | O_CLOEXEC) : -1;
        if (fd < 0) return static_cast<quillgrade::rig::ClockFile*>(nullptr);
        void* at = mmap(nullptr, sizeof(quillgrade::rig::ClockFile), PROT_READ, MAP_SHARED, fd, 0);
        close(fd);
        return at == MAP_FAILED ? nullptr : static_cast<quillgrade::rig::ClockFile*>(at);
    }();
    return file;
}

}  // namespace

// Takes the place of the C library's function by its symbol alone, whose declaration names its arguments
// otherwise.
extern "C" int moved_clock_gettime(clockid_t which, timespec* into) noexcept __asm__("clock_gettime");

int moved_clock_gettime(clockid_t which, timespec* into) noexcept {
    static auto real = reinterpret_cast<int (*)(clockid_t, timespec*)>(dlsym(RTLD_NEXT, "clock_gettime"));
    int result = real(which, into);
    auto* file = which == CLOCK_REALTIME ? shared() : nullptr;
    if (!file || result != 0) return result;
    auto stands = file->stands_ns.load();
    auto ns = stands ? stands : into->tv_sec * 1'000'000'000LL + into->tv_nsec + file->off_ns.load();
    into->tv_sec = ns / 1'000'000'000;
    into->tv_nsec = ns % 1'000'000'000;
    return 0;
}
