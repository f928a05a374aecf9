// The command line, read with CLI11 into one typed value.
//
//   quillgrade [--operate FILE]    one router, in the foreground
//   quillgrade check FILE          all faults of an operators' file; exit code 1 if there are any
//   quillgrade rules check|explain|test FILE --config CONFIG
//                                  a file of rules: all its faults; why a lookup matches; examples as tests
#pragma once

#include <optional>
#include <string>

#include "operate/plan.hpp"

namespace quillgrade::cli {

struct Command {
    enum class What { Run, Check, RulesCheck, RulesExplain, RulesTest } what = What::Run;
    std::string file;                      // the operators' file, empty: none; or the rules
    std::string config, lookup, examples;  // of the rules' commands
    double budget = 20'000;
};

// The command, or the exit code where there is nothing to do but leave: help was printed, or what is wrong.
struct Parsed {
    std::optional<Command> command;
    int exit_code = 0;
};
Parsed parse(int count, const char* const* words);

int carry_out(const Command& command);  // all but Run; the exit code
int check(const std::string& file);     // prints to standard output; the exit code

// Throws site::Unusable that names the file and all faults.
operate::OperatorConfig plan_of(const std::string& file);

}  // namespace quillgrade::cli
