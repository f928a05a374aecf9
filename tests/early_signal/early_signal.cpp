// Loaded before a program by LD_PRELOAD: sends the signal that EARLY_SIGNAL names to the process from a
// constructor, which is before main() and before every constructor of the program itself.
#include <csignal>
#include <cstdlib>

namespace {

__attribute__((constructor)) void send_signal() {
    if (const char* number = std::getenv("EARLY_SIGNAL")) raise(std::atoi(number));
}

}  // namespace
