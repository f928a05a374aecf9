// A file that several processes of a run map into their memory, so that what a process wrote outlives it.
#pragma once

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <string>

namespace quillgrade::rig::hollow {

class SharedFile {
public:
    // Opens `path`, or makes it, full of zeros. Throws std::runtime_error.
    SharedFile(const std::string& path, std::size_t bytes);
    ~SharedFile();
    SharedFile(const SharedFile&) = delete;
    SharedFile& operator=(const SharedFile&) = delete;
    void* data() const { return memory; }

private:
    void* memory;
    std::size_t size;
};

// Values that one process writes and others read meanwhile.
template <class Value>
void store(Value& place, Value value) {
    std::atomic_ref(place).store(value, std::memory_order_relaxed);
}
template <class Value>
Value load(Value& place) {
    return std::atomic_ref(place).load(std::memory_order_relaxed);
}

}  // namespace quillgrade::rig::hollow
