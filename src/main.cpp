// Starts one router from what its environment tells, or carries out another command.
#include <csignal>
#include <exception>

#include "cli/command.hpp"
#include "launch/launch.hpp"
#include "log/log.hpp"
#include "node/node.hpp"

int main(int count, char** words) {
    std::signal(SIGHUP,
                SIG_IGN);  // until the router can read its configuration again, it is no reason to end
    try {
        auto parsed = quillgrade::cli::parse(count, words);
        if (!parsed.command) return parsed.exit_code;
        auto& command = *parsed.command;
        if (command.what != quillgrade::cli::Command::What::Run) return quillgrade::cli::carry_out(command);
        auto launch = quillgrade::launch::from_environment();
        auto plan =
            command.file.empty() ? quillgrade::operate::Plan{} : quillgrade::cli::plan_of(command.file);
        auto again = [&] { return quillgrade::cli::plan_of(command.file); };
        quillgrade::node::Node(launch, plan, command.file.empty() ? nullptr : std::function(again)).run();
        return 0;
    } catch (const std::exception& error) {
        quillgrade::log::error("quillgrade: {}", error.what());
        return 1;
    }
}
