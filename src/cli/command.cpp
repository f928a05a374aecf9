#include "cli/command.hpp"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <fstream>
#include <iterator>

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
    CLI::App app("a router before tiers of caches; without a command it serves, as PROXY_CONFIG tells",
                 "quillgrade");
    Command command;
    app.add_option("--operate", command.file, "the operators' own file: control services, the store");
    auto* check = app.add_subcommand("check", "print all faults of an operators' file");
    check->add_option("file", command.file, "the file")->required();
    try {
        app.parse(count, words);
    } catch (const CLI::ParseError& error) {
        return {{}, app.exit(error)};
    }
    if (check->parsed()) command.what = Command::What::Check;
    return {command, 0};
}

int check(const std::string& file) {
    try {
        auto read = operate::read(text_of(file));
        for (auto& fault : read.faults) fmt::print("{}: {}: {}\n", file, fault.where, fault.what);
        if (!read.faults.empty()) return 1;
        auto& plan = read.plan;
        fmt::print("{}: good; {} control services, {}\n", file,
                   plan.control ? plan.control->services.size() : 0,
                   plan.store ? "versions kept in " + plan.store->path : "no store");
        return 0;
    } catch (const site::Unusable& error) {
        fmt::print("{}\n", error.what());
        return 1;
    }
}

operate::Plan plan_of(const std::string& file) {
    auto read = operate::read(text_of(file));
    if (read.faults.empty()) return std::move(read.plan);
    std::string all = file + ": ";
    for (auto& fault : read.faults)
        all += (&fault == &read.faults[0] ? "" : "; ") + fault.where + ": " + fault.what;
    throw site::Unusable(all);
}

}  // namespace quillgrade::cli
