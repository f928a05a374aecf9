// What a router is told at its start: the PROXY_ variables and the file that PROXY_CONFIG names.
#pragma once

#include <limits>
#include <map>
#include <string>
#include <vector>

#include "control.hpp"
#include "feed/event.hpp"
#include "route/rules.hpp"
#include "site/site.hpp"

namespace quillgrade::launch {

// What the limits leave to each use, worked out once.
struct Room {
    int clients = 0;           // connections
    int caches = 0;            // connections
    std::size_t memory = 0;    // bytes, in all
    std::size_t answers = 0;   // bytes of answers, from their beginning at a cache until a client has them
    std::size_t requests = 0;  // bytes of requests, from their first byte until their final answer
};

struct Launch {
    std::string name;
    feed::Address listen, coordinator;
    std::uint64_t seed = 0;
    Room room;
    SiteSettings facts{};
    site::Terms terms;
    feed::Known known;
    route::Site rule_site() const;              // what rules have to know
    std::map<std::string, std::string> stated;  // each member of the file as it stands there
};

// The routers of the tier, for those that talk with one another.
struct Neighbourhood {
    feed::Address listen;            // where datagrams come in
    std::vector<feed::Address> all;  // by number, this router's own included
    int self = 0, zone = 0;
};
// From what the file states. Throws site::Unusable where the settings do not allow it, or something is
// missing.
Neighbourhood read_neighbourhood(const Launch& launch);

Room divide(double memory_mb, int sockets);  // throws site::Unusable
constexpr int any_number = std::numeric_limits<int>::max();
// What the system grants this process, raised as far as it may be.
int granted_descriptors();
// Throws site::Unusable.
Launch read_launch(const std::string& text, const char* name, const char* listen,
                   int most_descriptors = any_number);
Launch from_environment();  // throws site::Unusable
// The members that only a restart takes in, of those in which two configurations differ. Where the
// coordinator is can change while the router runs, and it tells what is known by itself.
std::vector<std::string> wants_restart(const Launch& before, const Launch& after);

}  // namespace quillgrade::launch
