// Starts one router from what its environment tells, or carries out another command.
#include <unistd.h>

#include <csignal>
#include <exception>

#include "cli/command.hpp"
#include "launch/launch.hpp"
#include "log/log.hpp"
#include "node/node.hpp"
#include "startup/allocator.hpp"
#include "startup/progress.hpp"

namespace {

// What signals tell until the node hears them itself. Guards against a planned restart that finds the router
// still reading its configuration, and would end it by the signal.
volatile std::sig_atomic_t leave = 0, read_again = 0;

void hear_signals() {
    std::signal(SIGHUP, [](int) { read_again = 1; });
    for (int one : {SIGTERM, SIGINT}) std::signal(one, [](int) { leave = 1; });
}

}  // namespace

int main(int count, char** words) {
    using quillgrade::startup::Stage;
    quillgrade::startup::return_large_blocks();
    try {
        auto parsed = quillgrade::cli::parse(count, words);
        bool serves = parsed.command && parsed.command->what == quillgrade::cli::Command::What::Run;
        if (serves) hear_signals();
        quillgrade::startup::admit_signals();
        if (!parsed.command) return parsed.exit_code;
        auto& command = *parsed.command;
        if (!serves) return quillgrade::cli::carry_out(command);
        quillgrade::startup::reached(Stage::Main);
        auto launch = quillgrade::launch::from_environment();
        quillgrade::startup::reached(Stage::ConfigurationRead);
        quillgrade::log::info("starting: version {}, process {}, configuration read", QUILLGRADE_VERSION,
                              getpid());
        auto plan = command.file.empty() ? quillgrade::operate::OperatorConfig{}
                                         : quillgrade::cli::plan_of(command.file);
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
