#include "startup/allocator.hpp"

#include <malloc.h>

namespace quillgrade::startup {

namespace {

// Bytes. Room for answers that have begun is taken before their bytes come, so what the heap can spread to is
// this size times the connections to caches.
constexpr int large_block = 16 * 1024;
constexpr int most_kept_at_top = 512 * 1024;  // of what is free at the end of the heap

}  // namespace

void return_large_blocks() {
    mallopt(M_MMAP_THRESHOLD, large_block);
    mallopt(M_TRIM_THRESHOLD, most_kept_at_top);
}

}  // namespace quillgrade::startup
