// Starts one router from what its environment tells.
#include <csignal>
#include <exception>

#include "launch/launch.hpp"
#include "log/log.hpp"
#include "node/node.hpp"

int main() {
    std::signal(SIGHUP,
                SIG_IGN);  // until the router can read its configuration again, it is no reason to end
    try {
        auto launch = quillgrade::launch::from_environment();
        quillgrade::node::Node(launch).run();
        return 0;
    } catch (const std::exception& error) {
        quillgrade::log::error("quillgrade: {}", error.what());
        return 1;
    }
}
