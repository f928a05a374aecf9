// Where all stand-ins are: 127.0.0.1, at a port.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>

#include <cstdint>

namespace quillgrade::rig {

inline sockaddr_in here(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

}  // namespace quillgrade::rig
