// A stand-in for one machine of the control side: it serves the coordinator's stream to the routers that
// connect. Each machine holds all events; a router that asks from a number gets what follows it.
#pragma once

namespace quillgrade::rig::hollow {

// A child process; as `run_worker`.
int run_control_machine(int control_socket);

}  // namespace quillgrade::rig::hollow
