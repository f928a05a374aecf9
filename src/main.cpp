// Starts one router from what its environment tells, or carries out another command.
#include <csignal>
#include <exception>

#include "cli/command.hpp"
#include "launch/launch.hpp"
#include "log/log.hpp"
#include "node/node.hpp"

namespace {

// What signals tell until the node hears them itself. Guards against a planned restart that finds the router
// still reading its configuration, and would end it by the signal.
volatile std::sig_atomic_t leave = 0, read_again = 0;

}  // namespace

int main(int count, char** words) {
    std::signal(SIGHUP, [](int) { read_again = 1; });
    try {
        auto parsed = quillgrade::cli::parse(count, words);
        if (!parsed.command) return parsed.exit_code;
        auto& command = *parsed.command;
        if (command.what != quillgrade::cli::Command::What::Run) return quillgrade::cli::carry_out(command);
        for (int one : {SIGTERM, SIGINT}) std::signal(one, [](int) { leave = 1; });
        auto launch = quillgrade::launch::from_environment();
        auto plan =
            command.file.empty() ? quillgrade::operate::Plan{} : quillgrade::cli::plan_of(command.file);
        auto again = [&] { return quillgrade::cli::plan_of(command.file); };
        quillgrade::node::Node node(launch, plan, command.file.empty() ? nullptr : std::function(again));
        node.told_before(leave, read_again);
        node.run();
        return 0;
    } catch (const std::exception& error) {
        quillgrade::log::error("quillgrade: {}", error.what());
        return 1;
    }
}
