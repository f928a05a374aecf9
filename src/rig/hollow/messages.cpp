#include "rig/hollow/messages.hpp"

#include <fmt/format.h>

namespace quillgrade::rig::hollow {

std::string text_of(const feed::Address& address) {
    auto host = address.host;
    return fmt::format("{}.{}.{}.{}:{}", host >> 24, host >> 16 & 255, host >> 8 & 255, host & 255,
                       address.port);
}

}  // namespace quillgrade::rig::hollow
