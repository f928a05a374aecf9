// Settings and lists of small deployments, as a router finds them in its configuration. Ranges are those of
// the site files that each function names.
#pragma once

#include "stand.hpp"

namespace stand {

// A place in a small deployment: who listens where.
struct Place {
    Entry entry;
    std::string zone, kind;
};

// `last`: the number of the last event that the list takes in.
inline std::string known(const std::vector<Place>& places, int last = 1) {
    std::string servers;
    for (auto& [entry, zone, kind] : places) {
        static const char* states[] = {"in_service", "terminating", "terminated"};
        if (!servers.empty()) servers += ",\n  ";
        servers += text(
            R"({"id":"%s","addr":"127.0.0.1:%d","zone":"%s","kind":"%s","cell":%d,"state":"%s","weight":%g,)"
            R"("started_ms":%lld})",
            cache_name(entry.id).c_str(), entry.port, zone.c_str(), kind.c_str(), entry.cell,
            states[entry.state], entry.weight, static_cast<long long>(entry.started / ms));
    }
    return text(R"({"index":%d,"updates":[{"index":%d,"endpoints":{"version":%d,"full":true,"servers":[)",
                last, last, last) +
           servers + "]}}]}";
}

// partner-schools.toml with three routers, two at school-1 and one at school-2, or with `zones` 2 all at
// school-1. `zone`: the place of the router's school in the zones.
inline std::string partner_schools(int index, int zone, int zones = 3) {
    return text(R"({"balancers":3,"index":%d,"zone":%d,"zones":%s,
 "flavors":["small-box","large-box","parent","origin"],"weights":"nominal","discovery":"push",
 "domain_type":"edge","worth_by":"request","tenants":[],"clients":{"marks_retry":true},
 "grades":[{"name":"lesson-video","promise":500000,"aim_stretch":1.6,"effect":"retryable",
   "dedup_scope":"all","key_ttl":5000000,"deadline":6000000,"importance":2,"late_value":0.15,"stream":false},
  {"name":"timetable-page","promise":300000,"aim_stretch":2,"effect":"retryable","dedup_scope":"all",
   "key_ttl":5000000,"deadline":3000000,"importance":1,"late_value":0.2,"stream":false}],
 "load_report":{"fields":["outstanding","x1"],"how":"inline"},
 "limits":{"attempts_cap":8,"second_copies":true,"cancel":true,"probes":true,"peers":true,
  "retry_after":true,"max_retry_after":500000,"connect_timeout":400000,"keepalive":30000000,
  "max_open":20000,"streams_per_conn":1},
 "safety":{"cold_from":0.22,"fall_multiple":3,"cold":18000000,"overload_for":1000000,
  "drain_grace":2000000,"answer_slack":50000},
 "family_info":{"shield_kind":2,"master_kind":3,"fresh_for":[0,20000000],"grace_for":[0,0],
  "pass_on":[false,false],"in_parts":[true,false],"count_by_zone":%s,"can_join":false,"direct":true,
  "sideways":"location","notes_given":"hit","client_kb_per_s":7500,"purge_done":6000000,
  "obey_after":1000000,"parent_cold_from":0.073,"parent_limit_factor":2,"parent_cold":22000000,
  "hub_of":%s,"link_in_kb_per_s":%s}})",
                index, zone,
                zones == 2 ? R"(["central","school-1"])" : R"(["central","school-1","school-2"])",
                zones == 2 ? "[0,3]" : "[0,2,1]", zones == 2 ? "[0,0]" : "[0,0,0]",
                zones == 2 ? "[0,62781]" : "[0,62781,63313]");
}

// bureau-network.toml with one branch: two routers, six boxes, two parents, the main archive.
inline std::string bureau_network(int index) {
    return text(R"({"balancers":2,"index":%d,"zone":1,"zones":["central","branch-1"],
 "flavors":["small-box","large-box","parent","origin"],"weights":"nominal","discovery":"push",
 "domain_type":"edge","worth_by":"request","tenants":[],"clients":{"marks_retry":true},
 "grades":[{"name":"video-parts","promise":500000,"aim_stretch":2,"effect":"retryable",
   "dedup_scope":"all","key_ttl":5000000,"deadline":5000000,"importance":2,"late_value":0.1,"stream":false},
  {"name":"term-pages","promise":400000,"aim_stretch":2,"effect":"retryable","dedup_scope":"all",
   "key_ttl":5000000,"deadline":3000000,"importance":1,"late_value":0.1,"stream":false},
  {"name":"order-submit","promise":800000,"aim_stretch":0,"effect":"fragile","dedup_scope":"all",
   "key_ttl":5000000,"deadline":3000000,"importance":3,"late_value":0,"stream":false}],
 "load_report":{"fields":["outstanding","utilization","x0"],"how":"inline"},
 "limits":{"attempts_cap":8,"second_copies":true,"cancel":true,"probes":false,"peers":false,
  "retry_after":true,"max_retry_after":500000,"connect_timeout":400000,"keepalive":30000000,
  "max_open":20000,"streams_per_conn":1},
 "safety":{"cold_from":0.25,"fall_multiple":4,"cold":16000000,"overload_for":3000000,
  "drain_grace":250000,"answer_slack":50000},
 "family_info":{"shield_kind":2,"master_kind":3,"fresh_for":[0,20000000,0],"grace_for":[0,0,0],
  "pass_on":[false,false,true],"in_parts":[true,false,false],"count_by_zone":[0,2],"can_join":true,
  "direct":false,"sideways":"off","notes_given":"all","client_kb_per_s":5000,"purge_done":6000000,
  "obey_after":500000,"parent_cold_from":0.063,"parent_limit_factor":2,"parent_cold":21000000,
  "hub_of":[0,0],"link_in_kb_per_s":[0,60000]}})",
                index);
}

struct Told {  // a configuration file
    std::string name;
    int listen, coordinator;
    std::string known, settings;
    int memory_mb = 192, sockets = 1024;
};
inline std::string configuration(const Told& told) {
    static std::mt19937_64 chance(static_cast<std::uint64_t>(now()));
    return text(R"({"name":"%s","listen":"127.0.0.1:%d","seed":"%s",
"limits":{"cores":1.0,"memory_mb":%d,"sockets":%d},
"peer_listen":"127.0.0.1:%d","peers":[],"peers_all":"127.0.0.1:9",
"coordinator":"127.0.0.1:%d","flow_bytes_per_s":310000,"link_bytes_per_s":1240000,
)",
                told.name.c_str(), told.listen, hex(chance()).c_str(), told.memory_mb, told.sockets,
                told.listen, told.coordinator) +
           "\"known\":" + told.known + ",\n\"settings\":" + told.settings + "}\n";
}

}  // namespace stand
