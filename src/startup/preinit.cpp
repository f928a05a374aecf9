// What the program does before any constructor runs, its own and its libraries': the linker's .preinit_array,
// which the System V ABI gives to executables only. No library is set up here, so this file asks the system
// directly and uses nothing else.
#include <fcntl.h>
#include <linux/mman.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <new>

#include "startup/progress.hpp"

namespace quillgrade::startup {

extern Record* shared_record;

namespace {

constexpr char variable[] = "QUILLGRADE_START_PROGRESS=";
constexpr std::size_t longest_path = 512, file_size = 4096;
constexpr unsigned long long bit(int signal) { return 1ULL << (signal - 1); }
constexpr unsigned long long held_signals = bit(SIGHUP) | bit(SIGTERM) | bit(SIGINT);
// The kernel's set of signals, which is not the C library's.
constexpr std::size_t kernel_set_size = sizeof held_signals;

void mask(int how) { syscall(SYS_rt_sigprocmask, how, &held_signals, nullptr, kernel_set_size); }

// FOLDER/start-PID; false where it does not fit.
bool write_path(char* path, const char* folder, long process) {
    constexpr char name[] = "/start-";
    char digits[20];
    std::size_t count = 0;
    for (; process > 0; process /= 10) digits[count++] = static_cast<char>('0' + process % 10);
    auto length = std::strlen(folder);
    if (length + sizeof name + count > longest_path) return false;
    std::memcpy(path, folder, length);
    std::memcpy(path + length, name, sizeof name - 1);
    path += length + sizeof name - 1;
    while (count > 0) *path++ = digits[--count];
    *path = '\0';
    return true;
}

void share_record(const char* folder) {
    char path[longest_path];
    auto process = syscall(SYS_getpid);
    if (!write_path(path, folder, process)) return;
    auto file = syscall(SYS_openat, AT_FDCWD, path, O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) return;
    if (syscall(SYS_ftruncate, file, file_size) == 0) {
        auto mapped = syscall(SYS_mmap, nullptr, file_size, 0x1 | 0x2 /* PROT_READ | PROT_WRITE */,
                              MAP_SHARED, file, 0);
        if (mapped != -1) shared_record = new (reinterpret_cast<void*>(mapped)) Record;
    }
    syscall(SYS_close, file);
    if (!shared_record) return;
    shared_record->process = process;
    reached(Stage::Loaded);
}

// `environment`: the C library passes it to each entry of the array.
void before_constructors(int /*count*/, char** /*words*/, char** environment) {
    mask(SIG_BLOCK);
    for (auto one = environment; one && *one; one++)
        if (std::strncmp(*one, variable, sizeof variable - 1) == 0) share_record(*one + sizeof variable - 1);
}

__attribute__((section(".preinit_array"), used)) void (*const entry)(int, char**,
                                                                     char**) = before_constructors;

}  // namespace

void admit_signals() { mask(SIG_UNBLOCK); }

}  // namespace quillgrade::startup
