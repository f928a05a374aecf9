#include "operate/plan.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

namespace quillgrade::operate {

namespace {

using nlohmann::json;

constexpr std::size_t max_services = 8, max_path_length = 1000;
constexpr double megabyte = 1 << 20;

// Reads the members of one object of the file by name. The destructor reports members that nobody read.
class MemberReader {
public:
    MemberReader(const json& object, std::string path, std::vector<ConfigError>& errors)
        : object(object), path(std::move(path)), errors(errors) {
        if (!object.is_object()) add_error("", "an object in { } is expected");
    }
    MemberReader(const MemberReader&) = delete;
    MemberReader& operator=(const MemberReader&) = delete;
    // NOLINTNEXTLINE(bugprone-exception-escape): only when memory runs out, which ends the process anyway.
    ~MemberReader() {
        if (!object.is_object()) return;
        for (auto& [name, value] : object.items())
            if (std::find(known_names.begin(), known_names.end(), name) == known_names.end())
                add_error(name, "no such member; known here: " + joined_names());
    }
    const json* find(const char* name) {
        known_names.emplace_back(name);
        if (!object.is_object()) return nullptr;
        auto found = object.find(name);
        return found == object.end() ? nullptr : &*found;
    }
    template <class Value, class IsValid>
    void read(const char* name, Value& target, const char* expected, IsValid is_valid) {
        auto* found = find(name);
        if (!found) return;
        if (!is_valid(*found))
            add_error(name, std::string(expected) + " is expected, not " + found->dump().substr(0, 60));
        else
            target = found->template get<Value>();
    }
    void read_number(const char* name, double& target, double min_value, double max_value) {
        auto expected = "a number from " + json(min_value).dump() + " to " + json(max_value).dump();
        read(name, target, expected.c_str(), [&](const json& value) {
            return value.is_number() && value.get<double>() >= min_value && value.get<double>() <= max_value;
        });
    }
    void read_bool(const char* name, bool& target) {
        read(name, target, "true or false", [](const json& value) { return value.is_boolean(); });
    }
    void read_string(const char* name, std::string& target, std::size_t max_length) {
        read(name, target, "a string that is not empty and not longer than allowed", [&](const json& value) {
            return value.is_string() && !value.get<std::string>().empty() &&
                   value.get<std::string>().size() <= max_length;
        });
    }
    void add_error(const std::string& name, std::string what) {
        auto where = path.empty() ? name : name.empty() ? path : path + "." + name;
        errors.push_back({where.empty() ? "the file" : where, std::move(what)});
    }
    MemberReader member_reader(const std::string& name, const json& value) const {
        return {value, path.empty() ? name : path + "." + name, errors};
    }

private:
    std::string joined_names() const {
        std::string names;
        for (auto& name : known_names) names += (names.empty() ? "" : ", ") + name;
        return names;
    }
    const json& object;
    std::string path;
    std::vector<ConfigError>& errors;
    std::vector<std::string> known_names;
};

template <class T>
void read_word(MemberReader& members, const char* name, T& target,
               std::initializer_list<std::pair<const char*, T>> words) {
    auto* found = members.find(name);
    if (!found) return;
    std::string expected;
    for (auto& [word, meaning] : words) {
        if (*found == word) {
            target = meaning;
            return;
        }
        expected += std::string(expected.empty() ? "\"" : " or \"") + word + "\"";
    }
    members.add_error(name, expected + " is expected, not " + found->dump().substr(0, 60));
}

void read_services(MemberReader& members, ControlConfig& control) {
    auto* list = members.find("services");
    if (!list || !list->is_array() || list->empty() || list->size() > max_services)
        return members.add_error("services",
                                 "a list of 1 to 8 addresses such as \"10.2.0.1:18000\" is expected");
    for (std::size_t i = 0; i < list->size(); i++) try {
            auto& service = list->at(i);
            if (!service.is_string()) throw site::Unusable(service.dump().substr(0, 60) + " is no address");
            auto address = feed::read_address(service.get<std::string>());
            if (address.port == 0) throw site::Unusable(service.dump() + " has no port");
            if (std::count(control.services.begin(), control.services.end(), address))
                throw site::Unusable(service.dump() + " is listed twice");
            control.services.push_back(address);
        } catch (const site::Unusable& error) {
            members.add_error("services[" + std::to_string(i) + "]",
                              std::string(error.what()) + "; \"10.2.0.1:18000\" is the form");
        }
}

void read_kinds(MemberReader& members, ControlConfig& control) {
    auto* list = members.find("kinds");
    if (!list) return;
    control.kinds.clear();
    if (!list->is_array() || list->empty()) return members.add_error("kinds", "a list of names is expected");
    for (auto& kind : *list) {
        if (kind == "boxes")
            control.kinds.push_back(discovery::Kind::Boxes);
        else if (kind == "amounts")
            control.kinds.push_back(discovery::Kind::Amounts);
        else if (kind == "rules")
            control.kinds.push_back(discovery::Kind::Rules);
        else
            members.add_error(
                "kinds", R"("boxes", "amounts" or "rules" is expected, not )" + kind.dump().substr(0, 60));
    }
    auto repeated = control.kinds;
    std::sort(repeated.begin(), repeated.end());
    if (std::adjacent_find(repeated.begin(), repeated.end()) != repeated.end())
        members.add_error("kinds", "a name is listed twice");
}

void read_trial(MemberReader& members, ControlConfig& control) {
    auto* value = members.find("trial");
    if (!value) return;
    if (*value == false) {
        control.canary = false;
        return;
    }
    auto trial = members.member_reader("trial", *value);
    auto seconds = static_cast<double>(control.canary_duration) / 1e6;
    trial.read_number("for_s", seconds, 2, 600);
    trial.read_number("rise", control.canary_min_increase, 0.01, 1);
    control.canary_duration = static_cast<Micros>(seconds * 1e6);
}

void read_control(MemberReader& members, ControlConfig& control) {
    read_services(members, control);
    read_kinds(members, control);
    read_trial(members, control);
    read_word(members, "form", control.form,
              {{"whole", discovery::Form::Whole}, {"incremental", discovery::Form::Changes}});
    read_word(members, "membership", control.endpoint_list_mode,
              {{"merged", EndpointListMode::Merged}, {"streamed", EndpointListMode::Streamed}});
    members.read_string("cluster", control.cluster, 200);
    double megabytes = 0;
    members.read_number("longest_version_mb", megabytes, 0.01, 64);
    control.max_version_bytes = static_cast<std::size_t>(megabytes * megabyte);
}

void read_store(MemberReader& members, StoreConfig& store) {
    members.read_string("path", store.path, max_path_length);
    if (store.path.empty()) members.add_error("path", "the directory of the store is not given");
    auto megabytes = static_cast<double>(store.max_bytes) / megabyte;
    members.read_number("megabytes", megabytes, 1, 4096);
    store.max_bytes = static_cast<std::size_t>(megabytes * megabyte) / 4096 * 4096;
    members.read_bool("sync", store.sync);
}

void read_rules(MemberReader& members, RulesConfig& rules) {
    members.read_string("file", rules.file, max_path_length);
    auto budget = static_cast<double>(rules.budget);
    members.read_number("budget", budget, 100, 1e9);
    rules.budget = static_cast<std::uint64_t>(budget);
}

void read_peers(MemberReader& members, PeersConfig& peers) {
    auto read_time = [&](const char* name, Micros& target, double min_ms, double max_ms) {
        auto ms = static_cast<double>(target) / 1000;
        members.read_number(name, ms, min_ms, max_ms);
        target = static_cast<Micros>(ms * 1000);
    };
    read_time("period_ms", peers.probe_period, 100, 10'000);
    members.read_number("bytes_per_s", peers.bytes_per_s, 100, 100'000);
    read_time("shortest_ms", peers.shortest_suspicion, 200, 60'000);
    read_time("longest_ms", peers.longest_suspicion, 200, 600'000);
    read_time("gap_ms", peers.longest_pause, 50, 10'000);
    members.read_bool("state_transfer", peers.state_transfer);
    if (peers.longest_suspicion < peers.shortest_suspicion)
        members.add_error("longest_ms", "it is less than shortest_ms");
    if (peers.longest_pause * 2 > peers.probe_period * 3)
        members.add_error("gap_ms",
                          "it is more than one and a half times period_ms: pauses of this router would look "
                          "like silence of its peers");
}

void read_shared(MemberReader& members, SharedStateConfig& shared) {
    members.read_bool("facts", shared.facts);
    members.read_bool("judgements", shared.health_reports);
    members.read_bool("counts", shared.request_counts);
    auto* value = members.find("rights");
    if (!value) return;
    if (value->is_boolean()) {
        shared.quotas = value->get<bool>();
        return;
    }
    auto quotas = members.member_reader("rights", *value);
    double grantors = shared.grantors, lease_ms = static_cast<double>(shared.lease_duration) / 1000;
    quotas.read_number("owners", grantors, 1, 64);
    if (grantors != static_cast<int>(grantors)) quotas.add_error("owners", "a whole number is expected");
    quotas.read_number("loan_ms", lease_ms, 200, 10'000);
    shared.grantors = static_cast<int>(grantors);
    shared.lease_duration = static_cast<Micros>(lease_ms * 1000);
}

std::string position_of(std::string_view text, std::size_t byte) {
    auto before = text.substr(0, std::min(byte > 0 ? byte - 1 : 0, text.size()));
    auto line = std::count(before.begin(), before.end(), '\n') + 1;
    auto start = before.rfind('\n');
    auto column = before.size() - (start == std::string::npos ? 0 : start + 1) + 1;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

// Reports a member that appears twice; the library would silently keep the last one.
json parse_json(std::string_view text, std::vector<ConfigError>& errors) {
    std::vector<std::vector<std::string>> names_of_open_objects;
    auto check_duplicates = [&](int, json::parse_event_t event, json& value) {
        if (event == json::parse_event_t::object_start) names_of_open_objects.emplace_back();
        if (event == json::parse_event_t::object_end) names_of_open_objects.pop_back();
        if (event == json::parse_event_t::key) {
            auto name = value.get<std::string>();
            if (std::count(names_of_open_objects.back().begin(), names_of_open_objects.back().end(), name))
                errors.push_back({name, "the member appears twice"});
            names_of_open_objects.back().push_back(name);
        }
        return true;
    };
    return json::parse(text, check_duplicates, true, true);
}

}  // namespace

ParseResult parse(std::string_view text) {
    ParseResult result;
    json object;
    try {
        object = parse_json(text, result.errors);
    } catch (const json::parse_error& error) {
        std::string what = error.what();
        // The text of the exception begins with the position, which `where` tells already.
        auto start = what.find("syntax error");
        result.errors.push_back(
            {position_of(text, error.byte), what.substr(start == std::string::npos ? 0 : start)});
        return result;
    }
    MemberReader members(object, "", result.errors);
    if (auto* control = members.find("control")) {
        auto reader = members.member_reader("control", *control);
        read_control(reader, result.config.control.emplace());
    }
    if (auto* store = members.find("store")) {
        auto reader = members.member_reader("store", *store);
        read_store(reader, result.config.store.emplace());
    }
    if (auto* rules = members.find("rules")) {
        auto reader = members.member_reader("rules", *rules);
        read_rules(reader, result.config.rules.emplace());
    }
    if (auto* peers = members.find("peers")) {
        auto reader = members.member_reader("peers", *peers);
        read_peers(reader, result.config.peers.emplace());
    }
    if (auto* shared = members.find("shared")) {
        auto reader = members.member_reader("shared", *shared);
        read_shared(reader, result.config.shared.emplace());
        if (!result.config.peers)
            members.add_error("shared", "it needs the member 'peers', which connects the routers");
    }
    return result;
}

}  // namespace quillgrade::operate
