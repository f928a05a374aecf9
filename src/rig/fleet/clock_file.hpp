// What the rig and the library that moves a process's clock share, in a file that both map.
#pragma once

#include <atomic>
#include <cstdint>

namespace quillgrade::rig {

struct ClockFile {
    std::atomic<std::int64_t> off_ns{0};     // added to the true time
    std::atomic<std::int64_t> stands_ns{0};  // not 0: the time that is told instead
};

}  // namespace quillgrade::rig
