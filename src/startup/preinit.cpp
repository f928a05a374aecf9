// What the program does before any constructor runs, its own and its libraries': the linker's .preinit_array,
// which the System V ABI gives to executables only. No library is set up here, so this file asks the system
// directly and uses nothing else.
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <new>
#include <string_view>

#include "startup/progress.hpp"

namespace quillgrade::startup {

extern Record* shared_record;

namespace {

constexpr std::string_view variable = "QUILLGRADE_START_PROGRESS=", file_name = "/start-";
constexpr std::size_t longest_path = 512, longest_number = 20, file_size = 4096;
using Path = std::array<char, longest_path>;
constexpr unsigned long long bit(int signal) { return 1ULL << (signal - 1); }
constexpr unsigned long long held_signals = bit(SIGHUP) | bit(SIGTERM) | bit(SIGINT);
// The kernel's set of signals, which is not the C library's.
constexpr std::size_t kernel_set_size = sizeof held_signals;

void mask(int how) { syscall(SYS_rt_sigprocmask, how, &held_signals, nullptr, kernel_set_size); }

// FOLDER/start-PID; false where it does not fit.
bool write_path(Path& path, std::string_view folder, long process) {
    std::array<char, longest_number> digits;
    auto digit = digits.end();
    for (; process > 0; process /= 10) *--digit = static_cast<char>('0' + process % 10);
    std::string_view number(digit, static_cast<std::size_t>(digits.end() - digit));
    if (folder.size() + file_name.size() + number.size() >= path.size()) return false;
    auto* end = path.begin();
    for (auto part : {folder, file_name, number}) end = std::copy(part.begin(), part.end(), end);
    *end = '\0';
    return true;
}

void share_record(std::string_view folder) {
    Path path;
    auto process = syscall(SYS_getpid);
    if (!write_path(path, folder, process)) return;
    auto file = syscall(SYS_openat, AT_FDCWD, path.data(), O_RDWR | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (file < 0) return;
    if (syscall(SYS_ftruncate, file, file_size) == 0) {
        auto* mapped =
            mmap(nullptr, file_size, PROT_READ | PROT_WRITE, MAP_SHARED, static_cast<int>(file), 0);
        if (mapped != MAP_FAILED) shared_record = new (mapped) Record;
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
        if (std::string_view(*one).starts_with(variable)) share_record(*one + variable.size());
}

__attribute__((section(".preinit_array"), used)) void (*const entry)(int, char**,
                                                                     char**) = before_constructors;

}  // namespace

void admit_signals() { mask(SIG_UNBLOCK); }

}  // namespace quillgrade::startup
