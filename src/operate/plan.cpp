#include "operate/plan.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace quillgrade::operate {

namespace {

using nlohmann::json;

constexpr std::size_t most_services = 8, longest_path = 1000;
constexpr double mb = 1 << 20;

// One object of the file: each member is asked for by name, and what nobody asked for is a fault.
class Members {
public:
    Members(const json& told, std::string path, std::vector<ConfigError>& faults)
        : told(told), path(std::move(path)), faults(faults) {
        if (!told.is_object()) fault("", "an object in { } is expected");
    }
    Members(const Members&) = delete;
    Members& operator=(const Members&) = delete;
    // NOLINTNEXTLINE(bugprone-exception-escape): only for want of memory, which ends the process anyway.
    ~Members() {
        if (!told.is_object()) return;
        for (auto& [name, value] : told.items())
            if (std::find(asked.begin(), asked.end(), name) == asked.end())
                fault(name, "no such member; known here: " + listed());
    }
    const json* find(const char* name) {
        asked.emplace_back(name);
        if (!told.is_object()) return nullptr;
        auto found = told.find(name);
        return found == told.end() ? nullptr : &*found;
    }
    template <class Value, class Good>
    void read(const char* name, Value& into, const char* expected, Good good) {
        auto* found = find(name);
        if (!found) return;
        if (!good(*found))
            fault(name, std::string(expected) + " is expected, not " + found->dump().substr(0, 60));
        else
            into = found->template get<Value>();
    }
    void number(const char* name, double& into, double least, double most) {
        auto expected = "a number from " + json(least).dump() + " to " + json(most).dump();
        read(name, into, expected.c_str(), [&](const json& value) {
            return value.is_number() && value.get<double>() >= least && value.get<double>() <= most;
        });
    }
    void yes_or_no(const char* name, bool& into) {
        read(name, into, "true or false", [](const json& value) { return value.is_boolean(); });
    }
    void text(const char* name, std::string& into, std::size_t longest) {
        read(name, into, "a text that is not empty and not longer than allowed", [&](const json& value) {
            return value.is_string() && !value.get<std::string>().empty() &&
                   value.get<std::string>().size() <= longest;
        });
    }
    void fault(const std::string& name, std::string what) {
        auto where = path.empty() ? name : name.empty() ? path : path + "." + name;
        faults.push_back({where.empty() ? "the file" : where, std::move(what)});
    }
    Members inner(const std::string& name, const json& value) const {
        return {value, path.empty() ? name : path + "." + name, faults};
    }

private:
    std::string listed() const {
        std::string all;
        for (auto& name : asked) all += (all.empty() ? "" : ", ") + name;
        return all;
    }
    const json& told;
    std::string path;
    std::vector<ConfigError>& faults;
    std::vector<std::string> asked;
};

template <class T>
void word(Members& members, const char* name, T& into,
          std::initializer_list<std::pair<const char*, T>> known) {
    auto* found = members.find(name);
    if (!found) return;
    std::string words;
    for (auto& [text, meaning] : known) {
        if (*found == text) {
            into = meaning;
            return;
        }
        words += std::string(words.empty() ? "\"" : " or \"") + text + "\"";
    }
    members.fault(name, words + " is expected, not " + found->dump().substr(0, 60));
}

void read_services(Members& members, ControlConfig& control) {
    auto* told = members.find("services");
    if (!told || !told->is_array() || told->empty() || told->size() > most_services)
        return members.fault("services", "a list of 1 to 8 addresses such as \"10.2.0.1:18000\" is expected");
    for (std::size_t i = 0; i < told->size(); i++) try {
            auto& one = told->at(i);
            if (!one.is_string()) throw site::Unusable(one.dump().substr(0, 60) + " is no address");
            auto address = feed::read_address(one.get<std::string>());
            if (address.port == 0) throw site::Unusable(one.dump() + " has no port");
            if (std::count(control.services.begin(), control.services.end(), address))
                throw site::Unusable(one.dump() + " stands there twice");
            control.services.push_back(address);
        } catch (const site::Unusable& error) {
            members.fault("services[" + std::to_string(i) + "]",
                          std::string(error.what()) + "; \"10.2.0.1:18000\" is the form");
        }
}

void read_kinds(Members& members, ControlConfig& control) {
    auto* told = members.find("kinds");
    if (!told) return;
    control.kinds.clear();
    if (!told->is_array() || told->empty()) return members.fault("kinds", "a list of names is expected");
    for (auto& one : *told) {
        if (one == "boxes")
            control.kinds.push_back(discovery::Kind::Boxes);
        else if (one == "amounts")
            control.kinds.push_back(discovery::Kind::Amounts);
        else if (one == "rules")
            control.kinds.push_back(discovery::Kind::Rules);
        else
            members.fault("kinds",
                          R"("boxes", "amounts" or "rules" is expected, not )" + one.dump().substr(0, 60));
    }
    auto repeated = control.kinds;
    std::sort(repeated.begin(), repeated.end());
    if (std::adjacent_find(repeated.begin(), repeated.end()) != repeated.end())
        members.fault("kinds", "a name stands there twice");
}

void read_trial(Members& members, ControlConfig& control) {
    auto* told = members.find("trial");
    if (!told) return;
    if (*told == false) {
        control.canary = false;
        return;
    }
    auto trial = members.inner("trial", *told);
    auto seconds = static_cast<double>(control.canary_duration) / 1e6;
    trial.number("for_s", seconds, 2, 600);
    trial.number("rise", control.canary_min_increase, 0.01, 1);
    control.canary_duration = static_cast<Micros>(seconds * 1e6);
}

void read_control(Members& members, ControlConfig& control) {
    read_services(members, control);
    read_kinds(members, control);
    read_trial(members, control);
    word(members, "form", control.form,
         {{"whole", discovery::Form::Whole}, {"incremental", discovery::Form::Changes}});
    word(members, "membership", control.membership,
         {{"merged", Membership::Merged}, {"streamed", Membership::Streamed}});
    members.text("cluster", control.cluster, 200);
    double megabytes = 0;
    members.number("longest_version_mb", megabytes, 0.01, 64);
    control.max_version_bytes = static_cast<std::size_t>(megabytes * mb);
}

void read_store(Members& members, StoreConfig& store) {
    members.text("path", store.path, longest_path);
    if (store.path.empty()) members.fault("path", "the folder of the store is to be named");
    auto megabytes = static_cast<double>(store.max_bytes) / mb;
    members.number("megabytes", megabytes, 1, 4096);
    store.max_bytes = static_cast<std::size_t>(megabytes * mb) / 4096 * 4096;
    members.yes_or_no("sync", store.sync);
}

void read_rules(Members& members, RulesConfig& rules) {
    members.text("file", rules.file, longest_path);
    auto budget = static_cast<double>(rules.budget);
    members.number("budget", budget, 100, 1e9);
    rules.budget = static_cast<std::uint64_t>(budget);
}

void read_peers(Members& members, PeersConfig& peers) {
    auto time = [&](const char* name, Micros& into, double least, double most) {
        auto ms = static_cast<double>(into) / 1000;
        members.number(name, ms, least, most);
        into = static_cast<Micros>(ms * 1000);
    };
    time("period_ms", peers.probe_interval, 100, 10'000);
    members.number("bytes_per_s", peers.bytes_per_s, 100, 100'000);
    time("shortest_ms", peers.min_suspicion, 200, 60'000);
    time("longest_ms", peers.max_suspicion, 200, 600'000);
    time("gap_ms", peers.pause_threshold, 50, 10'000);
    members.yes_or_no("state_transfer", peers.state_transfer);
    if (peers.max_suspicion < peers.min_suspicion) members.fault("longest_ms", "it is under shortest_ms");
    if (peers.pause_threshold * 2 > peers.probe_interval * 3)
        members.fault("gap_ms", "it is over one and a half periods: pauses would pass for others' silence");
}

void read_shared(Members& members, SharedStateConfig& shared) {
    members.yes_or_no("facts", shared.facts);
    members.yes_or_no("judgements", shared.health_reports);
    members.yes_or_no("counts", shared.counts);
    auto* told = members.find("rights");
    if (!told) return;
    if (told->is_boolean()) {
        shared.quotas = told->get<bool>();
        return;
    }
    auto quotas = members.inner("rights", *told);
    double owners = shared.lease_grantors, lease = static_cast<double>(shared.lease_duration) / 1000;
    quotas.number("owners", owners, 1, 64);
    if (owners != static_cast<int>(owners)) quotas.fault("owners", "a whole number is expected");
    quotas.number("loan_ms", lease, 200, 10'000);
    shared.lease_grantors = static_cast<int>(owners);
    shared.lease_duration = static_cast<Micros>(lease * 1000);
}

std::string line_of(std::string_view text, std::size_t byte) {
    auto before = text.substr(0, std::min(byte > 0 ? byte - 1 : 0, text.size()));
    auto line = std::count(before.begin(), before.end(), '\n') + 1;
    auto start = before.rfind('\n');
    auto column = before.size() - (start == std::string::npos ? 0 : start + 1) + 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

// Guards against a member that stands twice, of which the library would keep the last without a word.
json parse_json(std::string_view text, std::vector<ConfigError>& faults) {
    std::vector<std::vector<std::string>> open;
    auto watch = [&](int, json::parse_event_t event, json& value) {
        if (event == json::parse_event_t::object_start) open.emplace_back();
        if (event == json::parse_event_t::object_end) open.pop_back();
        if (event == json::parse_event_t::key) {
            auto name = value.get<std::string>();
            if (std::count(open.back().begin(), open.back().end(), name))
                faults.push_back({name, "the member stands there twice"});
            open.back().push_back(name);
        }
        return true;
    };
    return json::parse(text, watch, true, true);
}

}  // namespace

ParseResult parse(std::string_view text) {
    ParseResult read;
    json told;
    try {
        told = parse_json(text, read.errors);
    } catch (const json::parse_error& error) {
        std::string what = error.what();
        auto said = what.find("syntax error");  // the library says the place again before it
        read.errors.push_back({line_of(text, error.byte), what.substr(said == std::string::npos ? 0 : said)});
        return read;
    }
    Members members(told, "", read.errors);
    if (auto* control = members.find("control")) {
        auto inner = members.inner("control", *control);
        read_control(inner, read.config.control.emplace());
    }
    if (auto* store = members.find("store")) {
        auto inner = members.inner("store", *store);
        read_store(inner, read.config.store.emplace());
    }
    if (auto* rules = members.find("rules")) {
        auto inner = members.inner("rules", *rules);
        read_rules(inner, read.config.rules.emplace());
    }
    if (auto* peers = members.find("peers")) {
        auto inner = members.inner("peers", *peers);
        read_peers(inner, read.config.peers.emplace());
    }
    if (auto* shared = members.find("shared")) {
        auto inner = members.inner("shared", *shared);
        read_shared(inner, read.config.shared.emplace());
        if (!read.config.peers) members.fault("shared", "it needs 'peers', over which the routers talk");
    }
    return read;
}

}  // namespace quillgrade::operate
