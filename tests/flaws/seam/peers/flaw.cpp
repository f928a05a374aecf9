#include "peers/flaw.hpp"

#include <cstdlib>

namespace quillgrade::peers {

Flaw& planted() {
    static Flaw flaw = [] {
        const char* told = std::getenv("QUILLGRADE_FLAW");
        return told ? static_cast<Flaw>(std::atoi(told)) : Flaw::None;
    }();
    return flaw;
}

}  // namespace quillgrade::peers
