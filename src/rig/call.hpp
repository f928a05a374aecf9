// A client's request as it goes over the socket: framed Thrift, strict binary protocol, docs of the protocol
// in src/thrift/.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace quillgrade::rig {

// The frame of a call of `invoke` with these fields and this body.
std::string framed_call(std::int32_t sequence_number, const std::map<std::string, std::string>& fields,
                        const std::string& body = "");

// As ids stand in fields: 16 hex digits.
std::string hex_of(std::uint64_t value);

}  // namespace quillgrade::rig
