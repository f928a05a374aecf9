#include "rig/hollow/shared_file.hpp"

#include <fcntl.h>
#include <sys/mman.h>
#include <unistd.h>

#include <stdexcept>

namespace quillgrade::rig::hollow {

SharedFile::SharedFile(const std::string& path, std::size_t bytes) : size(bytes) {
    int file = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (file < 0) throw std::runtime_error("can't open " + path);
    bool long_enough = ftruncate(file, static_cast<off_t>(bytes)) == 0;
    memory = mmap(nullptr, bytes, PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
    close(file);
    if (!long_enough || memory == MAP_FAILED) throw std::runtime_error("can't map " + path);
}

SharedFile::~SharedFile() { munmap(memory, size); }

}  // namespace quillgrade::rig::hollow
