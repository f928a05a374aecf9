// Ordinary child processes of the run, and what the system says of them. A child gets SIGKILL when its
// ChildProcess goes out of scope, and by the system when the supervisor dies.
#pragma once

#include <sys/types.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "rig/hollow/line_channel.hpp"

namespace quillgrade::rig::hollow {

struct Command {
    std::string program;
    std::vector<std::string> arguments;
    std::vector<std::pair<std::string, std::string>> environment;
    std::string log_file;     // where standard error goes, empty: the supervisor's
    bool controlled = false;  // it gets `control_descriptor`, the far end of `channel()`
};

class ChildProcess {
public:
    static constexpr int control_descriptor = 3;

    explicit ChildProcess(const Command& command);  // throws std::runtime_error
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    pid_t id() const { return process; }
    LineChannel& channel() { return *to_child; }
    bool ended();  // by itself
    void kill();   // SIGKILL, and waits

private:
    pid_t process = -1;
    std::unique_ptr<LineChannel> to_child;
};

// From /proc; zeros where the process is gone.
struct Usage {
    double cpu_seconds = 0;
    double resident_mb = 0;          // all of it
    double resident_private_mb = 0;  // without pages shared with other processes
};
Usage usage_of(pid_t process);

}  // namespace quillgrade::rig::hollow
