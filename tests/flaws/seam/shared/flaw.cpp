#include "shared/flaw.hpp"

#include <unistd.h>

#include <csignal>
#include <cstdlib>

namespace quillgrade::shared {

Flaw& planted() {
    static Flaw flaw = [] {
        const char* told = std::getenv("QUILLGRADE_SHARED_FLAW");
        return told ? static_cast<Flaw>(std::atoi(told)) : Flaw::None;
    }();
    return flaw;
}

void may_stop_here() {
    static const char* file = std::getenv("QUILLGRADE_STOP_AT");
    if (file && unlink(file) == 0) raise(SIGSTOP);
}

}  // namespace quillgrade::shared
