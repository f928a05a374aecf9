#include "site/site.hpp"

#include <algorithm>
#include <cctype>
#include <nlohmann/json.hpp>

namespace quillgrade::site {

namespace {

using nlohmann::json;

template <class T>
T word(const json& value, std::initializer_list<std::pair<const char*, T>> known) {
    auto text = value.get<std::string>();
    for (auto& [name, meaning] : known)
        if (text == name) return meaning;
    throw Unusable("start-up settings: unknown word '" + text + "'");
}

TrafficTypeSettings read_traffic(const json& grade, const json& family, std::size_t i) {
    TrafficTypeSettings t{};
    t.latency_goal = grade.at("promise").get<Micros>();
    t.latency_goal_factor = grade.value("aim_stretch", 0.0);
    t.idempotency = word<Idempotency>(grade.at("effect"), {{"retryable", Idempotency::Idempotent},
                                                           {"dedup", Idempotency::Keyed},
                                                           {"fragile", Idempotency::NonIdempotent}});
    t.dedup_scope =
        word<DedupScope>(grade.at("dedup_scope"),
                         {{"all", DedupScope::All}, {"zone", DedupScope::Zone}, {"cell", DedupScope::Cell}});
    t.dedup_window = grade.at("key_ttl").get<Micros>();
    t.fresh_for = family.at("fresh_for").at(i).get<Micros>();
    t.write = family.at("pass_on").at(i).get<bool>();
    return t;
}

}  // namespace

SiteSettings read_facts(const json& told) {
    try {
        auto& family = told.at("family_info");
        auto& limits = told.at("limits");
        auto& safety = told.at("safety");
        SiteSettings site{};
        auto& grades = told.at("grades");
        for (std::size_t i = 0; i < grades.size(); i++)
            site.traffic.push_back(read_traffic(grades.at(i), family, i));
        site.routers = told.at("balancers").get<int>();
        site.zone = told.at("zone").get<int>();
        site.parent_kind = family.at("shield_kind").get<int>();
        site.origin_kind = family.at("master_kind").get<int>();
        site.max_attempts = limits.at("attempts_cap").get<int>();
        site.routers_by_zone = family.at("count_by_zone").get<std::vector<int>>();
        site.hedging = limits.at("second_copies").get<bool>();
        site.cancellation = limits.at("cancel").get<bool>();
        site.probes = limits.at("probes").get<bool>();
        site.retry_after = limits.at("retry_after").get<bool>();
        site.collapsing = family.at("can_join").get<bool>();
        site.direct = family.at("direct").get<bool>();
        site.weights_are_link_rates = told.at("weights").get<std::string>() == "nominal";
        site.cache_status_reporting =
            word<CacheStatusReporting>(family.at("notes_given"), {{"all", CacheStatusReporting::All},
                                                                  {"hit", CacheStatusReporting::HitsOnly},
                                                                  {"off", CacheStatusReporting::None}});
        site.client_kb_per_s = family.at("client_kb_per_s").get<double>();
        site.max_retry_after = limits.at("max_retry_after").get<Micros>();
        site.purge_retention = family.at("purge_done").get<Micros>();
        site.cold_initial_share = safety.at("cold_from").get<double>();
        site.cold_budget_multiple = safety.at("fall_multiple").get<double>();
        site.cold_period = safety.at("cold").get<Micros>();
        site.cold_budget_window = safety.at("overload_for").get<Micros>();
        site.parent_cold_initial_share = family.at("parent_cold_from").get<double>();
        site.parent_cold_budget_multiple = family.at("parent_limit_factor").get<double>();
        site.parent_cold_period = family.at("parent_cold").get<Micros>();
        site.link_utilization_index = -1;
        auto& reported = told.at("load_report").at("fields");
        for (std::size_t i = 0; i < reported.size(); i++)
            if (reported.at(i).get<std::string>() == "x1") site.link_utilization_index = static_cast<int>(i);
        site.must_request_list = told.at("discovery").get<std::string>() == "ask";
        if (site.traffic.empty() || site.client_kb_per_s <= 0)
            throw Unusable("start-up settings: no traffic or no pace");
        if (site.zone < 0 || static_cast<std::size_t>(site.zone) >= site.routers_by_zone.size())
            throw Unusable("start-up settings: the zone is not one of the zones");
        return site;
    } catch (const json::exception& error) {
        throw Unusable(std::string("start-up settings: ") + error.what());
    }
}

namespace {

// Names stand in paths as they are.
std::string read_name(const json& told) {
    auto name = told.get<std::string>();
    auto plain = [](unsigned char c) { return std::isalnum(c) || c == '-' || c == '_' || c == '.'; };
    if (name.empty() || !std::all_of(name.begin(), name.end(), plain))
        throw Unusable("start-up settings: '" + name + "' can't stand in a path");
    return name;
}

}  // namespace

Terms read_terms(const json& told) {
    try {
        Terms terms;
        for (auto& grade : told.at("grades")) {
            terms.traffic.push_back(read_name(grade.at("name")));
            terms.longest_wait = std::max(terms.longest_wait, grade.at("deadline").get<Micros>());
        }
        terms.zones = told.at("zones").get<std::vector<std::string>>();
        terms.kinds = told.at("flavors").get<std::vector<std::string>>();
        terms.reported = told.at("load_report").at("fields").get<std::vector<std::string>>();
        if (terms.reported.size() > LoadReport{}.values.size())
            throw Unusable("start-up settings: a load report has more than four values");
        terms.connect_time = told.at("limits").at("connect_timeout").get<Micros>();
        terms.idle_time = told.at("limits").at("keepalive").get<Micros>();
        if (terms.connect_time <= 0 || terms.idle_time <= 0)
            throw Unusable("start-up settings: a time limit of connections is not above 0");
        return terms;
    } catch (const json::exception& error) {
        throw Unusable(std::string("start-up settings: ") + error.what());
    }
}

}  // namespace quillgrade::site
