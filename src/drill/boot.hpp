// The start-up settings of the wire, read into the module's own words.
#pragma once

#include <string_view>

#include "control.hpp"

namespace quillgrade::drill {

SiteFacts read_boot(std::string_view json_text);  // throws BadInput

}  // namespace quillgrade::drill
