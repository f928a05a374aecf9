// Versions written as JSON by hand, for the control service stand-in that is tried from a terminal.
#pragma once

#include <cstdint>
#include <string>

#include "rig/control_service.hpp"

namespace quillgrade::rig {

struct Publication {
    std::string type_url;
    std::uint64_t number = 0;
    Resources resources;
};
// {"version": 3, "boxes": [{"id": "s-00000003", "address": "127.0.0.1:5064", "zone": "school", "kind": "box",
//   "cell": 1, "state": "READY", "weight": 4, "started_ms": 0}], "emptied": [], "name": "school"}
// or {"version": 1, "amounts": {"transmissions": 2, …}}. Nothing of it is checked beyond its shape: bad
// values are the router's to turn down. Throws std::runtime_error.
Publication read_publication(const std::string& text);

}  // namespace quillgrade::rig
