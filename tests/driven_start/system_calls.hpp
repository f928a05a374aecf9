// The system calls of a router's start: their names, and which errors the system may answer them with.
#pragma once

#include <string>

namespace quillgrade::driven_start {

std::string name_of_call(long call);
bool may_be_interrupted(long call);   // EINTR
bool may_find_nothing(long call);     // EAGAIN, or 0 where it waits for several descriptors
bool takes_effect_anyway(long call);  // also where it is interrupted: connect, close
bool is_write(long call);
bool is_poll(long call);  // tells which of several descriptors are ready

}  // namespace quillgrade::driven_start
