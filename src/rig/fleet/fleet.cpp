#include "rig/fleet/fleet.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <sys/mman.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <new>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "bytes/bytes.hpp"
#include "rig/fleet/clock_file.hpp"

namespace quillgrade::rig {

namespace {

using nlohmann::json;

constexpr int boxes_of_world = 3;

// A network of its own within 127.0.0.0/8 for each fleet on the machine, by the process and a count.
std::uint32_t own_network() {
    static std::uint32_t fleets = 0;
    auto mixed = static_cast<std::uint32_t>(getpid()) * 2654435761U + ++fleets * 40503U;
    return 0x7f000000U + ((64 + (mixed >> 8) % 128) << 16) + ((mixed >> 16) % 250 + 1) * 256;
}

}  // namespace

Fleet::Fleet(const Wanted& wanted) : wanted(wanted) {
    std::string name = "/tmp/quillgrade_fleet_XXXXXX";
    if (!mkdtemp(name.data())) throw std::runtime_error("no folder for the fleet");
    folder = name;
    std::ofstream(folder + "/operate.json") << wanted.operate;
    relay = std::make_unique<Datagrams>(wanted.routers, own_network(), wanted.seed);
    for (int i = 0; i < boxes_of_world; i++) world.add_box();
    all.resize(static_cast<std::size_t>(wanted.routers));
    for (int i = 0; i < wanted.routers; i++) {
        auto& one = all[static_cast<std::size_t>(i)];
        one.to_coordinator = std::make_unique<Relay>(world.coordinator_port());
        for (int box = 0; box < boxes_of_world; box++)
            one.to_boxes.push_back(std::make_unique<Relay>(world.port_of_box(box)));
        one.config = folder + "/" + std::to_string(i) + ".json";
        std::ofstream(one.config) << config_of_router(i);
        one.clock_file = folder + "/clock" + std::to_string(i);
        int fd = open(one.clock_file.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
        if (fd < 0 || ftruncate(fd, sizeof(ClockFile)) != 0) throw std::runtime_error("no file for a clock");
        one.clock = mmap(nullptr, sizeof(ClockFile), PROT_READ | PROT_WRITE, MAP_SHARED, fd, 0);
        close(fd);
        if (one.clock == MAP_FAILED) throw std::runtime_error("no file for a clock");
        new (one.clock) ClockFile;
    }
}

Fleet::~Fleet() {
    for (auto& one : all) {
        if (one.process && one.exit_code == -2) ::kill(one.process->pid(), SIGCONT);
        one.process.reset();
        munmap(one.clock, sizeof(ClockFile));
    }
    std::error_code ignored;
    std::filesystem::remove_all(folder, ignored);
}

std::string Fleet::config_of_router(int router) {
    auto& one = all[static_cast<std::size_t>(router)];
    std::vector<int> ports;
    for (auto& box : one.to_boxes) ports.push_back(box->port());
    auto config = json::parse(config_of(0, one.to_coordinator->port(), ports, wanted.zones + 1));
    auto zone = 1 + router % wanted.zones;
    config["name"] = "n" + std::to_string(router);
    // For clients too, at its own address: a port that was free a moment ago may be taken by another party of
    // the rig.
    config["listen"] = relay->listen(router);
    config["peer_listen"] = relay->listen(router);
    config["peers"] = json::array();
    for (int i = 0; i < wanted.routers; i++) config["peers"].push_back(relay->door(i));
    auto& settings = config["settings"];
    settings["balancers"] = wanted.routers;
    settings["index"] = router;
    settings["zone"] = zone;
    settings["limits"]["peers"] = true;
    if (wanted.cold > 0) settings["safety"]["cold"] = settings["family_info"]["parent_cold"] = wanted.cold;
    auto& counts = settings["family_info"]["count_by_zone"];
    for (int i = 0; i <= wanted.zones; i++) counts[static_cast<std::size_t>(i)] = i == 0 ? 0 : wanted.routers;
    for (auto& server : config["known"]["updates"][0]["endpoints"]["servers"])
        server["zone"] = "z" + std::to_string(zone);
    auto& servers = config["known"]["updates"][0]["endpoints"]["servers"];
    auto add = [&](std::uint64_t id, const char* kind) {
        std::array<char, 32> name;
        std::snprintf(name.data(), sizeof name, "s-%08x", static_cast<unsigned>(id));
        servers.push_back({{"id", name.data()},
                           {"addr", "127.0.0.1:" + std::to_string(world.port_of_box(0))},
                           {"zone", "z0"},
                           {"kind", kind},
                           {"cell", 0},
                           {"state", "in_service"},
                           {"weight", 4},
                           {"started_ms", 0}});
    };
    for (int i = 0; i < wanted.parents; i++) add(first_parent + static_cast<std::uint64_t>(i), "parent");
    if (wanted.parents > 0) add(origin, "origin");
    return config.dump();
}

void Fleet::start(int router) {
    auto& one = all[static_cast<std::size_t>(router)];
    one.process.reset();
    // A new life begins with nothing.
    one.log.clear();
    one.read = 0;
    one.view.clear();
    one.cuts.clear();
    one.ill.clear();
    one.exit_code = -2;
    one.stopped = false;
    one.starts++;
    one.changed = unix_now();
    std::vector<std::pair<std::string, std::string>> environment = wanted.environment;
    environment.emplace_back("QUILLGRADE_STOP_AT", folder + "/stop" + std::to_string(router));
    if (!wanted.clock.empty()) {
        environment.emplace_back("LD_PRELOAD", wanted.clock);
        environment.emplace_back("QUILLGRADE_CLOCK", one.clock_file);
    }
    one.process = std::make_unique<Router>(wanted.program, one.config,
                                           std::vector<std::string>{"--operate", folder + "/operate.json"},
                                           environment);
}

void Fleet::kill(int router) {
    auto& one = all[static_cast<std::size_t>(router)];
    one.process->signal(SIGKILL);
    one.process->wait();
    one.exit_code = -1;
    one.stopped = false;
    one.changed = unix_now();
}

void Fleet::term(int router) { all[static_cast<std::size_t>(router)].process->signal(SIGTERM); }

void Fleet::stop(int router) {
    auto& one = all[static_cast<std::size_t>(router)];
    one.process->signal(SIGSTOP);
    one.stopped = true;
    one.changed = unix_now();
}

void Fleet::go_on(int router) {
    auto& one = all[static_cast<std::size_t>(router)];
    one.stopped = false;
    one.changed = unix_now();
    one.process->signal(SIGCONT);
}

bool Fleet::started(int router) const {
    auto& one = all[static_cast<std::size_t>(router)];
    return one.process && one.exit_code == -2;
}
bool Fleet::runs(int router) const {
    return started(router) && !all[static_cast<std::size_t>(router)].stopped;
}
Micros Fleet::changed_at(int router) const { return all[static_cast<std::size_t>(router)].changed; }

void Fleet::clock(int router, Micros off, bool stands) {
    auto* file = static_cast<ClockFile*>(all[static_cast<std::size_t>(router)].clock);
    file->off_ns = off * 1000;
    file->stands_ns = stands ? (unix_now() + off) * 1000 : 0;
}

void Fleet::boxes(int router, bool cut) {
    for (auto& box : all[static_cast<std::size_t>(router)].to_boxes) {
        box->refuse(cut);
        box->stand_still(cut);
    }
}

void Fleet::coordinator(int router, bool cut) {
    auto& relay = *all[static_cast<std::size_t>(router)].to_coordinator;
    relay.refuse(cut);
    relay.stand_still(cut);
}

void Fleet::lookups(int router, double per_s) {
    auto& at = relay->address(router);
    world.ask_also(ntohs(at.sin_port), per_s, 8, 2'000'000, ntohl(at.sin_addr.s_addr));
}

void Fleet::tell(const Told& server) {
    bool box = server.id <= static_cast<std::uint64_t>(boxes_of_world);
    std::string record;
    bytes::put_number(record, 4, server.id);
    bytes::put_number(record, 4, 0x7f000001);
    bytes::put_number(
        record, 2, static_cast<std::uint64_t>(world.port_of_box(box ? static_cast<int>(server.id) - 1 : 0)));
    bytes::put_number(record, 1, static_cast<std::uint64_t>(server.state));
    bytes::put_number(record, 1, box ? 1 : 0);  // the zone: with one zone, all routers are in it
    bytes::put_number(record, 1, box ? 0 : server.id == origin ? 2 : 1);
    bytes::put_number(record, 2, 0);
    bytes::put_number(record, 4, static_cast<std::uint64_t>(server.rating * 1000));
    bytes::put_number(record, 8, static_cast<std::uint64_t>(server.started_ms));
    world.tell(++told, 2, record);
    starts[server.id] = server.started_ms;
}

std::int64_t Fleet::started_ms(std::uint64_t id) const {
    auto found = starts.find(id);
    return found == starts.end() ? 0 : found->second;
}

Micros Fleet::tell_purge(std::uint64_t object, int group) {
    auto now = unix_now() / 1000;
    std::string payload;
    if (object)
        bytes::put_number(payload, 8, object);
    else
        bytes::put_number(payload, 2, static_cast<std::uint64_t>(group));
    bytes::put_number(payload, 8, static_cast<std::uint64_t>(now));
    world.tell(++told, object ? 3 : 4, payload);
    return now * 1000;
}

void Fleet::stop_before_write(int router) {
    std::ofstream(folder + "/stop" + std::to_string(router)) << "once";
}

void Fleet::call_off_stop(int router) {
    std::error_code ignored;
    std::filesystem::remove(folder + "/stop" + std::to_string(router), ignored);
}

void Fleet::has_stopped(int router) {
    auto& one = all[static_cast<std::size_t>(router)];
    one.stopped = true;
    one.changed = unix_now();
}

bool Fleet::stopped_itself(int router) const {
    auto& one = all[static_cast<std::size_t>(router)];
    if (!one.process) return false;
    std::ifstream in("/proc/" + std::to_string(one.process->pid()) + "/stat");
    std::string line;
    std::getline(in, line);
    auto end = line.rfind(')');
    return end != std::string::npos && end + 2 < line.size() && line[end + 2] == 'T';
}

Totals Fleet::totals() { return world.totals(); }

void Fleet::read() {
    for (int i = 0; i < routers(); i++) {
        auto& one = all[static_cast<std::size_t>(i)];
        if (!one.process || (one.exit_code != -2 && one.read >= one.log.size() && one.exit_code == -1))
            continue;
        one.log += one.process->take_log();
        for (auto end = one.log.find('\n', one.read); end != std::string::npos;
             end = one.log.find('\n', one.read)) {
            line(i, one.log.substr(one.read, end - one.read));
            one.read = end + 1;
        }
        if (one.exit_code == -2 && one.process->ended()) {
            one.exit_code = one.process->wait();
            one.changed = unix_now();
        }
    }
}

void Fleet::line(int observer, const std::string& text) {
    auto start = text.find(" peers: ");
    if (start == std::string::npos) return;
    auto* rest = text.c_str() + start + 8;
    auto& one = all[static_cast<std::size_t>(observer)];
    int subject = 0, other = 0, by = 0;
    unsigned long long life = 0, incarnation = 0;
    std::array<char, 32> before{}, after{};
    if (std::sscanf(rest, "%d %31s -> %31s (life %llu, incarnation %llu, by %d)", &subject, before.data(),
                    after.data(), &life, &incarnation, &by) == 6) {
        one.view[subject] = after.data();
        logged.push_back({unix_now(), observer, subject, before.data(), after.data(), by});
    } else if (std::sscanf(rest, "%d does not hear %d", &subject, &other) == 2) {
        one.cuts[{other, subject}] = true;
    } else if (std::sscanf(rest, "%d hears again %d", &subject, &other) == 2) {
        one.cuts[{other, subject}] = false;
    } else if (std::sscanf(rest, "%d is %31s", &subject, after.data()) == 2) {
        one.ill[subject] = std::string(after.data()) == "ill";
    }
}

const std::string& Fleet::view(int observer, int subject) const {
    static const std::string unknown = "unknown";
    auto& views = all[static_cast<std::size_t>(observer)].view;
    auto found = views.find(subject);
    return found == views.end() ? unknown : found->second;
}

bool Fleet::told_cut(int observer, int speaker, int listener) const {
    auto& cuts = all[static_cast<std::size_t>(observer)].cuts;
    auto found = cuts.find({speaker, listener});
    return found != cuts.end() && found->second;
}

bool Fleet::told_ill(int observer, int subject) const {
    auto& ill = all[static_cast<std::size_t>(observer)].ill;
    auto found = ill.find(subject);
    return found != ill.end() && found->second;
}

double Fleet::rss_mb(int router) const { return all[static_cast<std::size_t>(router)].process->rss_mb(); }
double Fleet::cpu_seconds(int router) const {
    return all[static_cast<std::size_t>(router)].process->cpu_seconds();
}

}  // namespace quillgrade::rig
