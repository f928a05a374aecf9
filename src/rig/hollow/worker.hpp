// A child process that runs many hollow routers on one loop, as the supervisor tells it.
#pragma once

namespace quillgrade::rig::hollow {

// `control_socket`: the supervisor's end of it is a LineChannel. Returns the exit code, once the supervisor
// has closed its end.
int run_worker(int control_socket);

}  // namespace quillgrade::rig::hollow
