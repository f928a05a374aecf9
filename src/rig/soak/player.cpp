#include "rig/soak/player.hpp"

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <thread>

#include "bytes/bytes.hpp"
#include "rig/soak/crowd.hpp"
#include "rig/soak/life.hpp"

namespace quillgrade::rig::soak {

namespace {

using nlohmann::json;

constexpr Micros step = 1 * millisecond;
// An answer up to 0.5 s late earns nothing and is not lost: STANDING.md, 'Days at full size'. On sockets each
// limit is 50 ms longer: PROTOCOL.md, 'The rules on sockets'.
constexpr Micros lateness_allowed = 550 * millisecond;
// A new list is heeded within a second, as tests/fleet/ have it; what the coordinator tells counts as told 7
// s later at the latest, whether or not it arrived: PROTOCOL.md, 'Figures'.
constexpr Micros drain_grace = 1 * second, told_at_the_latest = 7 * second;
constexpr Micros hangs_for_good = 3600 * second;
constexpr Micros busy_for = 5 * second;

// An address range within 127.0.0.0/8 that no other run on the machine uses, by the process.
std::uint32_t network_of_process() {
    auto mixed = static_cast<std::uint32_t>(getpid()) * 2654435761U;
    return 0x7f000000U + ((192 + (mixed >> 8) % 60) << 16) + ((mixed >> 16) % 250 + 1) * 256;
}

int free_port_at(std::uint32_t host) {
    int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(host);
    socklen_t size = sizeof address;
    bool good = bind(descriptor, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(descriptor);
    if (!good) throw std::runtime_error("no free port for a router");
    return ntohs(address.sin_port);
}

std::string text_of_address(std::uint32_t host, int port) {
    return fmt::format("{}.{}.{}.{}:{}", host >> 24, host >> 16 & 255, host >> 8 & 255, host & 255, port);
}

// A process that computes for a while and ends by itself.
void start_busy_process() {
    if (fork() != 0) return;
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    volatile std::uint64_t counter = 0;
    for (auto until = unix_now() + busy_for; unix_now() < until;)
        for (int i = 0; i < 100'000; i++) counter = counter + 1;
    _exit(0);
}

class Player {
public:
    Player(const Script& script, const Setup& setup)
        : script(script), crowd(world, script.seed, has_pauses(script) ? longest_pause : 0) {
        std::string name = "/tmp/quillgrade_soak_XXXXXX";
        if (!mkdtemp(name.data())) throw std::runtime_error("no folder for the soak");
        folder = name;
        report.seed = script.seed;
        for (int i = 0; i < script.caches; i++) world.add_box(script.cache_delay);
        drained.resize(static_cast<std::size_t>(script.caches));
        world.allow_lateness(lateness_allowed);
        world.hold_forwarded_as_taken();
        world.say("c", {"page", "page", "page", "order"});
        begun = unix_now();
        for (int i = 0; i < script.routers; i++) add_router(i, setup);
    }
    Player(const Player&) = delete;
    Player& operator=(const Player&) = delete;
    ~Player() {
        lives.clear();
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
    }

    Report play() {
        for (auto& life : lives) life->start();
        for (int i = 0; i < script.busy_processes; i++) start_busy_process();
        std::size_t next = 0;
        for (auto now = unix_now(); now - begun < script.length; now = pass()) {
            for (; next < script.events.size() && script.events[next].at <= now - begun; next++)
                happen(script.events[next], now);
        }
        end_all();
        world.finish();
        judge();
        return std::move(report);
    }

private:
    static bool has_pauses(const Script& script) {
        return std::any_of(script.events.begin(), script.events.end(), [](auto& event) {
            auto stops = [](auto& signal) { return signal.number == SIGSTOP; };
            return event.action == Action::Pause ||
                   std::any_of(event.signals.begin(), event.signals.end(), stops);
        });
    }

    void add_router(int number, const Setup& setup) {
        Place place;
        place.number = number;
        place.program = setup.program;
        place.environment = setup.environment;
        place.host = network_of_process() + static_cast<std::uint32_t>(number) + 1;
        auto taken = [&](int port) {
            return std::any_of(lives.begin(), lives.end(),
                               [&](auto& life) { return life->at().port == port; });
        };
        do place.port = free_port_at(place.host);
        while (taken(place.port));
        place.config_file = fmt::format("{}/{}.json", folder, number);
        place.requests_per_s = script.requests_per_s;
        place.patience = script.patience;
        place.before_start = [this, place] { write_config(place); };
        lives.push_back(std::make_unique<Life>(place, world, report, begun));
    }

    std::string config_of_router(const Place& place) {
        std::vector<int> ports;
        ports.reserve(static_cast<std::size_t>(script.caches));
        for (int i = 0; i < script.caches; i++) ports.push_back(world.port_of_box(i));
        auto config =
            json::parse(config_of(0, world.coordinator_port(), ports, 2, memory_limit_mb, descriptor_limit));
        config["name"] = fmt::format("n{}", place.number);
        config["listen"] = text_of_address(place.host, place.port);
        auto& settings = config["settings"];
        settings["balancers"] = script.routers;
        settings["family_info"]["count_by_zone"] = {0, script.routers};
        auto order = settings["grades"][0];
        order["name"] = "order";
        order["effect"] = "fragile";
        settings["grades"].push_back(order);
        settings["family_info"]["fresh_for"] = {0, 0};
        settings["family_info"]["pass_on"] = {false, false};
        auto& known = config["known"];
        // A start knows the list as it is: what has been told so far stands in its configuration.
        known["index"] = told;
        known["updates"][0]["index"] = told;
        auto& servers = known["updates"][0]["endpoints"]["servers"];
        for (std::size_t i = 0; i < drained.size(); i++)
            if (drained[i]) servers[i]["state"] = "terminating";
        return config.dump();
    }

    // Put in place as a whole, so that no start reads half of it.
    void write_config(const Place& place) {
        std::ofstream(place.config_file + ".new") << config_of_router(place);
        std::filesystem::rename(place.config_file + ".new", place.config_file);
    }

    void note(const std::string& what) { report.timeline.emplace_back(unix_now() - begun, what); }

    void later(Micros at, std::function<void()> what) { tasks.emplace_back(at, std::move(what)); }

    Micros pass() {
        std::this_thread::sleep_for(std::chrono::microseconds(step));
        auto now = unix_now();
        if (passed > 0) report.longest_gap = std::max(report.longest_gap, now - passed);
        passed = now;
        for (std::size_t i = 0; i < tasks.size();) {
            if (tasks[i].first > now) {
                i++;
                continue;
            }
            auto task = std::move(tasks[i].second);
            tasks.erase(tasks.begin() + static_cast<std::ptrdiff_t>(i));
            task();
        }
        for (auto& life : lives) life->tick(now);
        crowd.tick(now);
        return now;
    }

    void happen(const Event& event, Micros now) {
        note(text_of(event));
        std::vector<Life*> targets;
        if (event.target == every_router)
            for (auto& life : lives) targets.push_back(life.get());
        else if (event.target < script.routers)
            targets.push_back(lives[static_cast<std::size_t>(event.target)].get());
        switch (event.action) {
            case Action::PlannedEnd:
                // Once a router was told to end, a further series belongs to that end.
                for (auto* life : targets)
                    if (life->serving()) life->end_as_planned(event, now);
                break;
            case Action::Kill:
                for (auto* life : targets)
                    if (!life->kill(event, now)) note("not killed: it was told to end");
                break;
            case Action::Reload:
                if (targets[0]->serving()) targets[0]->signal_later(event.signals, now);
                break;
            case Action::BrokenReload:
            case Action::HalfWrittenReload:
                spoil_config(*targets[0], event, now);
                break;
            case Action::Pause:
                if (targets[0]->serving())
                    targets[0]->signal_later({{0, SIGSTOP}, {event.lasts, SIGCONT}}, now);
                break;
            case Action::CacheHangs:
                world.set_delay(event.target, hangs_for_good);
                later(now + event.lasts,
                      [this, event] { world.set_delay(event.target, script.cache_delay); });
                break;
            case Action::CacheResets:
                world.set_resetting(event.target, true);
                later(now + event.lasts, [this, event] { world.set_resetting(event.target, false); });
                break;
            case Action::CacheDrains:
                drain(event.target, now);
                break;
            case Action::CoordinatorSilent:
                world.coordinator_silent(true);
                later(now + event.lasts, [this] { world.coordinator_silent(false); });
                break;
            case Action::CoordinatorGone:
                world.coordinator_gone(true);
                later(now + event.lasts, [this] { world.coordinator_gone(false); });
                break;
            case Action::Burst:
                world.ask_now(targets[0]->at().port, event.count);
                break;
            case Action::IdleClients:
            case Action::SlowWriters:
            case Action::LeavingClients: {
                sockaddr_in address{};
                address.sin_family = AF_INET;
                address.sin_addr.s_addr = htonl(targets[0]->at().host);
                address.sin_port = htons(static_cast<std::uint16_t>(targets[0]->at().port));
                if (targets[0]->serving()) crowd.come(event, address, now);
                break;
            }
        }
    }

    // Starts find the file whole: Life puts it in place first.
    void spoil_config(Life& life, const Event& event, Micros now) {
        if (!life.serving()) return;
        auto whole = config_of_router(life.at());
        auto text =
            event.action == Action::BrokenReload ? "{\"name\": nothing" : whole.substr(0, whole.size() / 2);
        std::ofstream(life.at().config_file) << text;
        life.signal_later(event.signals, now);
        constexpr Micros spoilt_for = 60 * millisecond;  // signals go on for 100 ms
        later(now + spoilt_for, [this, &life] { write_config(life.at()); });
    }

    // Two caches stay at least.
    void drain(int cache, Micros now) {
        constexpr int stay = 2;
        auto place = static_cast<std::size_t>(cache);
        if (drained[place] || std::count(drained.begin(), drained.end(), false) <= stay) return;
        drained[place] = true;
        std::string record;
        bytes::put_number(record, 4, static_cast<std::uint64_t>(cache) + 1);
        bytes::put_number(record, 4, INADDR_LOOPBACK);
        bytes::put_number(record, 2, static_cast<std::uint64_t>(world.port_of_box(cache)));
        constexpr std::uint64_t draining = 1, zone = 1, kind = 0, cell = 0, weight_thousandths = 4000,
                                started = 0;
        bytes::put_number(record, 1, draining);
        bytes::put_number(record, 1, zone);
        bytes::put_number(record, 1, kind);
        bytes::put_number(record, 2, cell);
        bytes::put_number(record, 4, weight_thousandths);
        bytes::put_number(record, 8, started);
        world.tell(++told, 2, record);
        for (auto& life : lives) write_config(life->at());
        world.forbid_server(static_cast<std::uint64_t>(cache) + 1, now + told_at_the_latest + drain_grace);
    }

    void end_all() {
        note("all are told to end");
        Event last;
        last.action = Action::PlannedEnd;
        last.signals = {{0, SIGTERM}};
        last.connections_last = 300 * millisecond;
        for (auto& life : lives) life->restart_no_more();
        auto all_down = [&] {
            return std::all_of(lives.begin(), lives.end(), [](auto& life) { return life->down(); });
        };
        std::vector<bool> told_to_end(lives.size());
        for (auto now = unix_now(); !all_down(); now = pass())
            for (std::size_t i = 0; i < lives.size(); i++)
                if (!told_to_end[i] && lives[i]->serving()) {
                    told_to_end[i] = true;
                    lives[i]->end_as_planned(last, now);
                }
    }

    void find(const std::string& what) { report.findings.push_back(what); }

    void judge() {
        report.totals = world.totals();
        for (auto& lost : world.take_lost()) {
            auto how = lost.how == LostRequest::How::NoAnswer     ? "no answer"
                       : lost.how == LostRequest::How::LateAnswer ? "an answer far too late"
                                                                  : "a second answer";
            auto router = std::find_if(lives.begin(), lives.end(),
                                       [&](auto& life) { return life->at().port == lost.router_port; });
            if (report.findings.size() < 20)
                find(fmt::format("{:.3f} s, router {}: a request got {}, its time was up at {:.3f} s",
                                 static_cast<double>(lost.asked - begun) / second, (*router)->at().number,
                                 how, static_cast<double>(lost.due - begun) / second));
        }
        auto& totals = report.totals;
        if (totals.effects_twice > 0) find(fmt::format("{} effects ran twice", totals.effects_twice));
        if (totals.late_named > 0) find(fmt::format("{} requests past a drain's grace", totals.late_named));
        if (totals.after_client_left > 0)
            find(fmt::format("{} attempts after the client left", totals.after_client_left));
        if (totals.asked == 0) find("no request was asked: the run shows nothing");
        if (report.findings.empty()) return;
        for (auto& life : lives)
            report.logs.push_back(
                fmt::format("router {}, its last life:\n{}", life->at().number, life->last_lines()));
    }

    const Script& script;
    World world;
    Crowd crowd;
    Report report;
    std::string folder;
    Micros begun = 0, passed = 0;
    std::uint64_t told = 1;  // events of the coordinator so far
    std::vector<bool> drained;
    std::vector<std::unique_ptr<Life>> lives;
    std::vector<std::pair<Micros, std::function<void()>>> tasks;
};

}  // namespace

Report play(const Script& script, const Setup& setup) {
    Player player(script, setup);
    return player.play();
}

}  // namespace quillgrade::rig::soak
