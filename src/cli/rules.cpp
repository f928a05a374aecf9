#include "cli/rules.hpp"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <map>
#include <nlohmann/json.hpp>
#include <sstream>

#include "launch/launch.hpp"
#include "route/rules.hpp"

namespace quillgrade::cli {

namespace {

using nlohmann::json;
using route::RuleSet;
using route::Told;

std::string text_of(const std::string& file) {
    std::ifstream in(file, std::ios::binary);
    if (!in) throw site::Unusable(file + " can't be read");
    return {std::istreambuf_iterator<char>(in), {}};
}

route::Site site_of(const std::string& config) {
    return launch::read_launch(text_of(config), nullptr, nullptr).rule_site();
}

// A lookup that was told on the command line; the texts are kept behind its views.
struct Example {
    Told told;
    std::map<std::string, std::string> named;
};

std::int64_t whole(const std::string& name, const std::string& text, std::int64_t most) {
    auto value = bytes::read_whole(text, most);
    if (!value) throw site::Unusable(name + "=" + text + ": a whole number is expected");
    return *value;
}

Example read_lookup(const std::string& text, const route::Site& site) {
    Example example;
    auto& told = example.told;
    told.remaining = 1'000'000;
    std::istringstream words(text);
    for (std::string word; words >> word;) {
        auto equals = word.find('=');
        auto name = word.substr(0, equals),
             value = equals == std::string::npos ? "" : word.substr(equals + 1);
        if (name == "class") {
            auto type = std::find(site.traffic.begin(), site.traffic.end(), value);
            if (type == site.traffic.end()) throw site::Unusable("no traffic type '" + value + "'");
            told.traffic = static_cast<int>(type - site.traffic.begin());
        } else if (name == "object") {
            auto object = bytes::read_hex(value, 16);
            if (!object) throw site::Unusable("object=" + value + ": 16 hex digits are expected");
            told.object = *object;
        } else if (name == "part") {
            told.part = static_cast<int>(whole(name, value, 1'000'000));
        } else if (name == "group") {
            told.group = static_cast<int>(whole(name, value, 255));
        } else if (name == "size") {
            told.bytes = whole(name, value, std::int64_t{1} << 50);
        } else if (name == "remaining_ms") {
            told.remaining = whole(name, value, 1'000'000'000) * 1000;
        } else if (name == "retry") {
            told.retry = true;
        } else if (name == "client") {
            told.client = feed::read_address(value + ":1").host;
        } else if (name == "time") {
            if (value.size() != 5 || value[2] != ':')
                throw site::Unusable("time=" + value + ": 08:30 is the form");
            told.now = (whole(name, value.substr(0, 2), 24) * 3600 + whole(name, value.substr(3), 59) * 60) *
                       1'000'000;
        } else {
            example.named[name] = value;
        }
    }
    for (auto& [name, value] : example.named) told.named.emplace_back(name, value);
    return example;
}

// The set, or its faults on standard output.
std::shared_ptr<const RuleSet> load(const std::string& file, const route::Site& site, double budget) {
    route::Loader loader(text_of(file), site, static_cast<std::uint64_t>(budget));
    while (!loader.step(1000)) {
    }
    fmt::print("{}", loader.report());
    for (auto& warning : loader.warnings()) fmt::print("line {}: {}\n", warning.place.line, warning.what);
    return loader.result();
}

std::string told_of(const route::Decision& decision, const RuleSet& set, const route::Site& site) {
    std::string out;
    auto say = [&](std::string what) { out += (out.empty() ? "" : ", ") + std::move(what); };
    if (decision.traffic >= 0) say("class " + site.traffic[static_cast<std::size_t>(decision.traffic)]);
    if (decision.looser) say("its class is not taken: the effect is looser than the wire's");
    if (decision.key) say(fmt::format("key {:016x}", *decision.key));
    if (decision.pool >= 0) say("pool " + set.pools()[static_cast<std::size_t>(decision.pool)].name);
    if (decision.limit > 0) say(fmt::format("limit {} ms", decision.limit / 1000));
    if (decision.transmissions > 0) say(fmt::format("{} transmissions at most", decision.transmissions));
    if (decision.no_copies) say("no second copies");
    return out.empty() ? "nothing is narrowed" : out;
}

}  // namespace

int rules_check(const std::string& file, const std::string& config, double budget) {
    auto set = load(file, site_of(config), budget);
    if (!set) return 1;
    fmt::print("{}: good; {} rules, {} pools, at most {} units a lookup\n", file, set->all().size(),
               set->pools().size(), set->bound());
    return 0;
}

int rules_explain(const std::string& file, const std::string& config, const std::string& lookup) {
    auto site = site_of(config);
    auto set = load(file, site, 1e9);
    if (!set) return 1;
    auto example = read_lookup(lookup, site);
    RuleSet::Runner runner(*set);
    auto decision = set->decide(example.told, runner);
    auto units = runner.units;
    int last = decision.rule >= 0 ? decision.rule : static_cast<int>(set->all().size()) - 1;
    for (int number = 0; number <= last; number++) {
        auto& rule = set->all()[static_cast<std::size_t>(number)];
        if (number == decision.rule) {
            fmt::print("line {}: rule {} matches: {}\n", rule.place.line, rule.name,
                       told_of(decision, *set, site));
            continue;
        }
        auto wrong = set->why_not(static_cast<route::RuleNumber>(number), example.told, runner);
        fmt::print("line {}: rule {} does not match: {}\n", rule.place.line, rule.name, wrong);
    }
    if (decision.rule < 0) fmt::print("no rule matches; the lookup goes on as the client told it\n");
    fmt::print("{} units of {} at most\n", units, set->bound());
    return 0;
}

int rules_test(const std::string& file, const std::string& config, const std::string& examples) {
    auto site = site_of(config);
    auto set = load(file, site, 1e9);
    if (!set) return 1;
    auto told = json::parse(text_of(examples), nullptr, true, true);
    RuleSet::Runner runner(*set);
    std::vector<route::Decision> made;
    int bad = 0;
    for (std::size_t i = 0; i < told.size(); i++) {
        auto& one = told.at(i);
        auto text = one.at("lookup").get<std::string>();
        auto example = read_lookup(text, site);
        auto decision = set->decide(example.told, runner);
        made.push_back(decision);
        std::string wrong;
        auto expect = [&](const char* what, const std::string& wanted, const std::string& found) {
            if (wanted != found) wrong += fmt::format("  {}: {} is expected, not {}\n", what, wanted, found);
        };
        auto rule = decision.rule < 0 ? "none" : set->all()[static_cast<std::size_t>(decision.rule)].name;
        if (one.contains("rule"))
            expect("rule", one["rule"].is_null() ? "none" : one["rule"].get<std::string>(), rule);
        if (one.contains("class"))
            expect("class", one["class"],
                   site.traffic[static_cast<std::size_t>(decision.traffic < 0 ? example.told.traffic
                                                                              : decision.traffic)]);
        if (one.contains("pool"))
            expect("pool", one["pool"],
                   decision.pool < 0 ? "none" : set->pools()[static_cast<std::size_t>(decision.pool)].name);
        if (one.contains("limit_ms"))
            expect("limit_ms", one["limit_ms"].dump(), std::to_string(decision.limit / 1000));
        if (one.contains("transmissions"))
            expect("transmissions", one["transmissions"].dump(), std::to_string(decision.transmissions));
        auto key = [&](const route::Decision& of) {
            return of.key ? fmt::format("{:016x}", *of.key) : "none";
        };
        for (bool same : {true, false}) {
            const char* word = same ? "same_key_as" : "other_key_than";
            if (!one.contains(word)) continue;
            auto& other = made.at(one[word].get<std::size_t>());
            if ((key(other) == key(decision)) != same)
                wrong += fmt::format("  {}: the keys are {} and {}\n", word, key(other), key(decision));
        }
        if (wrong.empty()) continue;
        bad++;
        fmt::print("example {} ({}):\n{}", i, text, wrong);
    }
    fmt::print("{} examples, {} fail\n", told.size(), bad);
    return bad ? 1 : 0;
}

}  // namespace quillgrade::cli
