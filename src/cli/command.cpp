#include "cli/command.hpp"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>

#include "cli/rules.hpp"
#include "site/site.hpp"

namespace quillgrade::cli {

namespace {

constexpr std::size_t longest_file = 1 << 20;

std::string text_of(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw site::Unusable(file + " can't be read");
    std::string text{std::istreambuf_iterator<char>(in), {}};
    if (in.bad() || text.size() > longest_file)
        throw site::Unusable(file + " can't be read, or is over 1 MB");
    return text;
}

}  // namespace

Parsed parse(int count, const char* const* words) {
    if (count <= 1) return {Command{}, 0};  // serves, and builds no parser for it
    CLI::App app("a router before tiers of caches; without a command it serves, as PROXY_CONFIG tells",
                 "quillgrade");
    Command command;
    app.add_option("--operate", command.file, "the operators' own file: control services, the store");
    auto* check = app.add_subcommand("check", "print all faults of an operators' file");
    check->add_option("file", command.file, "the file")->required();
    auto* rules = app.add_subcommand("rules", "look into a file of rules");
    rules->require_subcommand(1);
    auto of_rules = [&](const char* name, const char* what) {
        auto* made = rules->add_subcommand(name, what);
        made->add_option("file", command.file, "the rules")->required();
        made->add_option("--config", command.config,
                         "the router's configuration: traffic types, zones, kinds")
            ->required();
        return made;
    };
    auto* rules_check = of_rules("check", "print all faults, and rules that never match");
    rules_check->add_option("--budget", command.budget, "units a lookup may cost");
    auto* explain = of_rules("explain", "tell which rule matches a lookup, and why earlier ones do not");
    explain->add_option("lookup", command.lookup, "such as \"class=page part=3 school=st-anne\"")->required();
    auto* test = of_rules("test", "try a list of examples");
    test->add_option("examples", command.examples, "a JSON file of lookups and what is expected")->required();
    try {
        app.parse(count, words);
    } catch (const CLI::ParseError& error) {
        return {{}, app.exit(error)};
    }
    if (check->parsed()) command.what = Command::What::Check;
    if (rules_check->parsed()) command.what = Command::What::RulesCheck;
    if (explain->parsed()) command.what = Command::What::RulesExplain;
    if (test->parsed()) command.what = Command::What::RulesTest;
    return {command, 0};
}

int carry_out(const Command& command) {
    try {
        switch (command.what) {
            case Command::What::Run:
                break;
            case Command::What::Check:
                return check(command.file);
            case Command::What::RulesCheck:
                return rules_check(command.file, command.config, command.budget);
            case Command::What::RulesExplain:
                return rules_explain(command.file, command.config, command.lookup);
            case Command::What::RulesTest:
                return rules_test(command.file, command.config, command.examples);
        }
    } catch (const std::exception& error) {
        fmt::print("{}\n", error.what());
    }
    return 1;
}

int check(const std::string& file) {
    try {
        auto read = operate::parse(text_of(file));
        for (auto& fault : read.errors) fmt::print("{}: {}: {}\n", file, fault.where, fault.what);
        if (!read.errors.empty()) return 1;
        auto& plan = read.config;
        fmt::print(
            "{}: good; {} control services, {}, {}\n", file, plan.control ? plan.control->services.size() : 0,
            plan.store ? "versions kept in " + plan.store->path : "no store",
            plan.peers ? fmt::format("talks with its peers, {} bytes a second", plan.peers->bytes_per_s)
                       : "does not talk with its peers");
        return 0;
    } catch (const site::Unusable& error) {
        fmt::print("{}\n", error.what());
        return 1;
    }
}

operate::OperatorConfig plan_of(const std::string& file) {
    auto read = operate::parse(text_of(file));
    if (read.errors.empty()) return std::move(read.config);
    std::string all = file + ": ";
    for (auto& fault : read.errors)
        all += (&fault == &read.errors[0] ? "" : "; ") + fault.where + ": " + fault.what;
    throw site::Unusable(all);
}

}  // namespace quillgrade::cli
