// What streamed configuration costs and keeps: versions good, broken and out of order under load, kill -9
// during writes, how long a version of so many boxes takes to come into force, lookups in a storm of
// versions, memory off and on. All on loopback; what is promised is counted by the world outside the router.
//
//   streamed_config [--quick] [--program PROGRAM] [--before PROGRAM]
//
// --quick takes under 50 s. --before names a build of the program as it was before this work; without it
// `rss_mb_before` is null. The last line is one JSON object.
#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <poll.h>
#include <pthread.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <functional>
#include <nlohmann/json.hpp>
#include <random>
#include <thread>

#include "rig/control_service.hpp"
#include "rig/world.hpp"

using namespace quillgrade::rig;
namespace config = quillgrade::config::v1;

namespace {

constexpr Micros ms = 1000, second = 1'000'000;
std::string program = QUILLGRADE_PROGRAM;

struct Place {
    std::uint32_t id;
    std::string address, zone = "z1";
};

std::string local(int port) { return "127.0.0.1:" + std::to_string(port); }

Resources packed(const std::vector<Place>& all, const std::string& name = "all") {
    config::Boxes message;
    message.set_name(name);
    for (auto& place : all) {
        auto& box = *message.add_boxes();
        box.set_id(fmt::format("s-{:08x}", place.id));
        box.set_address(place.address);
        box.set_zone(place.zone);
        box.set_kind("std");
        box.set_weight(4);
        box.set_started_ms(1);
    }
    return {{name, pack(message)}};
}

// `count` boxes of which those of our location stand at `ours`, and the rest in a hundred others, at
// addresses that nobody ever asks. `turn` changes some of them.
std::vector<Place> many(int count, const std::vector<int>& ours, int zones, int turn) {
    std::vector<Place> all;
    for (std::size_t i = 0; i < ours.size(); i++)
        all.push_back({static_cast<std::uint32_t>(i + 1), local(ours[i])});
    for (int i = static_cast<int>(ours.size()); i < count; i++)
        all.push_back({static_cast<std::uint32_t>(0x10000 + i * 2 + (i % 10 == 0 ? turn % 2 : 0)),
                       fmt::format("127.{}.{}.{}:{}", 1 + i / 62'500, i / 250 % 250, 1 + i % 250, 7000),
                       fmt::format("z{}", 2 + i % (zones - 2))});
    return all;
}

struct Scene {
    std::string folder;
    World world;
    int port = free_port();
    Scene() {
        std::string name = "/tmp/quillgrade_bench_XXXXXX";
        folder = mkdtemp(name.data());
    }
    Scene(const Scene&) = delete;
    Scene& operator=(const Scene&) = delete;
    ~Scene() { std::filesystem::remove_all(folder); }
    std::unique_ptr<Router> start(const std::vector<int>& listed, const std::string& plan, int zones = 2,
                                  const std::string& which = program) {
        std::ofstream(folder + "/config.json") << config_of(port, world.coordinator_port(), listed, zones);
        std::vector<std::string> words;
        if (!plan.empty()) {
            std::ofstream(folder + "/operate.json") << plan;
            words = {"--operate", folder + "/operate.json"};
        }
        auto router = std::make_unique<Router>(which, folder + "/config.json", words);
        if (!router->says("serving as n1", 20))
            throw std::runtime_error("the router does not serve: " + router->log());
        return router;
    }
    std::string plan(int service, bool store = false, bool trial = false, const char* form = "whole") {
        auto text =
            fmt::format(R"({{"control": {{"services": ["{}"], "form": "{}", "longest_version_mb": 32{}}})",
                        local(service), form, trial ? "" : R"(, "trial": false)");
        if (store)
            text +=
                fmt::format(R"(, "store": {{"path": "{}/store", "megabytes": 64, "sync": false}})", folder);
        return text + "}";
    }
};

// Pings the router without pause over a connection of its own; the longest answer tells how long its loop
// stood still.
class Pinger {
public:
    explicit Pinger(int port) : fd(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0)
            throw std::runtime_error("no router to ping");
        thread = std::thread([this] { run(); });
    }
    Pinger(const Pinger&) = delete;
    Pinger& operator=(const Pinger&) = delete;
    ~Pinger() {
        over = true;
        thread.join();
        close(fd);
    }
    double take_longest_ms() { return static_cast<double>(longest.exchange(0)) / 1000; }

private:
    void run() {
        for (int seq = 1; !over; seq++) {
            std::string content("\x80\x01\x00\x01\x00\x00\x00\x04ping", 12);
            for (int shift : {24, 16, 8, 0}) content += static_cast<char>(seq >> shift);
            content += '\0';
            std::string frame;
            for (int shift : {24, 16, 8, 0}) frame += static_cast<char>(content.size() >> shift);
            frame += content;
            auto start = unix_now();
            if (write(fd, frame.data(), frame.size()) != static_cast<ssize_t>(frame.size())) return;
            std::array<char, 256> piece;
            pollfd ready{fd, POLLIN, 0};
            if (poll(&ready, 1, 5000) != 1 || read(fd, piece.data(), sizeof piece) <= 0) return;
            auto took = unix_now() - start;
            if (took > longest) longest = took;
            usleep(200);
        }
    }
    int fd;
    std::atomic<bool> over{false};
    std::atomic<Micros> longest{0};
    std::thread thread;
};

// ---- versions good, broken and out of order, while lookups go on

struct Promises {
    std::uint64_t versions = 0, bad = 0, bad_in_force = 0, lookups = 0, without_final = 0, past_drain = 0;
};

Promises keep_promises(double seconds) {
    Promises kept;
    Scene scene;
    std::vector<int> boxes;
    boxes.reserve(4);
    for (int i = 0; i < 4; i++) boxes.push_back(scene.world.add_box());
    int poison = scene.world.add_box();  // only bad versions name it: whoever asks it has taken one in
    auto at = [&](int box) { return local(scene.world.port_of_box(box)); };
    ControlService control("ctl-a");
    auto router = scene.start({}, scene.plan(control.port(), true));
    std::mt19937 chance(1);
    std::uint64_t number = 0;
    auto publish = [&](const std::vector<Place>& all, std::uint64_t as) {
        kept.versions++;
        return control.publish(boxes_type, as, packed(all));
    };
    auto everything = [&] {
        std::vector<Place> all;
        all.reserve(boxes.size());
        for (int box : boxes) all.push_back({static_cast<std::uint32_t>(box + 1), at(box)});
        return all;
    };
    control.answer(publish(everything(), ++number));
    scene.world.ask(scene.port, 400);
    auto until = unix_now() + static_cast<Micros>(seconds * second);
    std::vector<std::string> bad_nonces;
    int left_out = -1;
    while (unix_now() < until) {
        // One box leaves, and is back two seconds and a half later under the same id.
        if (left_out < 0) {
            left_out = static_cast<int>(chance() % boxes.size());
            auto all = everything();
            all.erase(all.begin() + left_out);
            auto answer = control.answer(publish(all, ++number));
            if (answer && !answer->turned_down) scene.world.forbid(left_out, unix_now() + 2 * second);
        }
        for (int i = 0; i < 12; i++) {
            auto bad = everything();
            bad.push_back({0x999, at(poison)});
            std::uint64_t as = number + 1;
            switch (chance() % 6) {
                case 0:
                    bad.push_back({0x999, local(1)});
                    break;  // an id twice
                case 1:
                    bad.push_back({0x998, "nowhere"});
                    break;  // no address
                case 2:
                    bad.push_back({0x998, local(1), "atlantis"});
                    break;  // no such zone
                case 3:
                    bad.push_back({0x998, at(poison)});
                    break;  // one address, two boxes
                case 4:
                    as = number > 1 ? number - 1 : 0;
                    break;  // out of order
                case 5:
                    as = number;
                    break;  // a number with other contents
            }
            kept.bad++;
            bad_nonces.push_back(publish(bad, as));
            usleep(static_cast<useconds_t>(30 * ms));
        }
        usleep(static_cast<useconds_t>(2300 * ms));
        // It is allowed again before it is published again.
        scene.world.forbid(left_out, 0);
        left_out = -1;
        control.answer(publish(everything(), ++number));
    }
    usleep(static_cast<useconds_t>(300 * ms));
    for (auto& said : control.heard())
        if (!said.turned_down &&
            std::find(bad_nonces.begin(), bad_nonces.end(), said.nonce) != bad_nonces.end())
            kept.bad_in_force++;
    scene.world.finish();
    if (scene.world.sends_to(poison) > 0) kept.bad_in_force++;
    auto totals = scene.world.totals();
    kept.lookups = totals.asked;
    kept.without_final = totals.without_one_final;
    kept.past_drain = totals.late_sends;
    return kept;
}

// ---- kill -9 during the write of a version

int bad_starts(int rounds) {
    Scene scene;
    int box = scene.world.add_box();
    std::mt19937 chance(2);
    std::uint64_t number = 0, acknowledged = 0;
    int bad = 0;
    for (int round = 0; round < rounds; round++) {
        int service = 0;
        {
            ControlService control("ctl-a");
            service = control.port();
            auto router = scene.start({}, scene.plan(service, true), 102);
            auto until = unix_now() + static_cast<Micros>(5 + chance() % 60) * ms;
            while (unix_now() < until) {
                number++;
                control.publish(boxes_type, number,
                                packed(many(300 + static_cast<int>(chance() % 300),
                                            {scene.world.port_of_box(box)}, 102, static_cast<int>(number))));
            }
            router->signal(SIGKILL);
            router->wait();
            for (auto& said : control.heard())
                if (!said.nonce.empty() && !said.turned_down)
                    acknowledged = std::max<std::uint64_t>(acknowledged, std::stoull(said.version));
        }
        if (acknowledged == 0) continue;
        auto router = scene.start({}, scene.plan(service, true), 102);
        auto log = router->log();
        auto found = log.find("starting from the store: Boxes ");
        bool good = found != std::string::npos && log.find("torn") == std::string::npos;
        if (good) good = std::stoull(log.substr(found + 31)) >= acknowledged;
        if (!good) {
            bad++;
            fmt::print("bad start in round {}: {}\n", round, log);
        }
    }
    return bad;
}

// ---- how long a version takes to come into force

struct Apply {
    int boxes;
    double p50_ms, p99_ms, still_ms, rss_mb;
};

Apply apply(int count, int rounds, bool all_ours) {
    Scene scene;
    std::vector<int> ours;
    ours.reserve(4);
    for (int i = 0; i < 4; i++) ours.push_back(scene.world.port_of_box(scene.world.add_box()));
    ControlService control("ctl-a");
    auto router = scene.start({}, scene.plan(control.port()), 102);
    Pinger pinger(scene.port);
    std::vector<Micros> took;
    std::vector<double> stills;
    for (int round = 0; round <= rounds; round++) {
        auto all = many(count, ours, 102, round);
        if (all_ours)
            for (auto& place : all) place.zone = "z1";
        auto what = packed(all);
        pinger.take_longest_ms();
        auto start = unix_now();
        auto answer =
            control.answer(control.publish(boxes_type, static_cast<std::uint64_t>(round) + 1, what), 30);
        if (!answer || answer->turned_down)
            throw std::runtime_error("a good version was turned down: " +
                                     (answer ? answer->reason : "no answer"));
        auto end = unix_now();
        usleep(2000);
        auto still = pinger.take_longest_ms();
        if (round == 0) continue;  // the connection is new, and so is all memory
        took.push_back(end - start);
        stills.push_back(still);
    }
    std::sort(stills.begin(), stills.end());
    return {count, quantile(took, 0.5) / 1000, quantile(took, 0.99) / 1000, stills[stills.size() / 2],
            router->rss_mb()};
}

// ---- lookups in a storm of versions

struct Storm {
    double p50_calm, p50_storm, p99_calm, p99_storm;
    std::uint64_t versions;
};

Storm storm(int pairs) {
    Scene scene;
    std::vector<int> ours;
    ours.reserve(4);
    for (int i = 0; i < 4; i++) ours.push_back(scene.world.port_of_box(scene.world.add_box(5 * ms)));
    ControlService control("ctl-a");
    auto router = scene.start({}, scene.plan(control.port()), 102);
    std::uint64_t number = 1;
    control.answer(control.publish(boxes_type, number, packed(many(10, ours, 102, 0))));
    std::vector<Resources> small = {packed(many(10, ours, 102, 0)), packed(many(10, ours, 102, 1))};
    scene.world.ask(scene.port, 300);
    usleep(static_cast<useconds_t>(second));
    std::vector<Micros> calm, stormy;
    std::uint64_t versions = 0;
    for (int pair = 0; pair < pairs; pair++) {
        scene.world.take_times();
        usleep(static_cast<useconds_t>(second));
        for (auto took : scene.world.take_times()) calm.push_back(took);
        auto start = unix_now();
        for (int i = 0; i < 1000; i++) {
            number++;
            control.publish(boxes_type, number, small[number % 2]);
            versions++;
            auto due = start + (i + 1) * ms;
            if (auto left = due - unix_now(); left > 0) usleep(static_cast<useconds_t>(left));
        }
        for (auto took : scene.world.take_times()) stormy.push_back(took);
    }
    scene.world.finish();
    return {quantile(calm, 0.5) / 1000, quantile(stormy, 0.5) / 1000, quantile(calm, 0.99) / 1000,
            quantile(stormy, 0.99) / 1000, versions};
}

// ---- memory

double rss(const std::string& which, const char* how) {
    Scene scene;
    std::vector<int> ours;
    ours.reserve(2);
    for (int i = 0; i < 2; i++) ours.push_back(scene.world.port_of_box(scene.world.add_box()));
    ControlService control("ctl-a");
    bool on = std::string(how) == "on";
    auto router = scene.start(ours, on ? scene.plan(control.port(), true, true) : "", 2, which);
    if (on) control.answer(control.publish(boxes_type, 1, packed(many(2, ours, 102, 0))));
    scene.world.ask(scene.port, 500);
    usleep(static_cast<useconds_t>(2 * second));
    scene.world.finish();
    return router->rss_mb();
}

}  // namespace

int main(int count, char** words) {
    signal(SIGPIPE, SIG_IGN);
    bool quick = false;
    std::string before;
    for (int i = 1; i < count; i++) {
        std::string word = words[i];
        if (word == "--quick")
            quick = true;
        else if (word == "--program" && i + 1 < count)
            program = words[++i];
        else if (word == "--before" && i + 1 < count)
            before = words[++i];
        else {
            fmt::print(stderr, "usage: streamed_config [--quick] [--program PROGRAM] [--before PROGRAM]\n");
            return 1;
        }
    }
    try {
        fmt::print("memory after 1,000 lookups, MB\n");
        double rss_before = before.empty() ? -1 : rss(before, "off");
        double rss_off = rss(program, "off"), rss_on = rss(program, "on");
        fmt::print("  before {}   off {:.1f}   on {:.1f}\n\n",
                   before.empty() ? "-" : fmt::format("{:.1f}", rss_before), rss_off, rss_on);

        fmt::print("a version of so many boxes, a tenth of them new, from published to acknowledged\n");
        fmt::print("{:>8}  {:>9} {:>9}  {:>16}  {:>7}\n", "boxes", "p50 ms", "p99 ms", "loop still, ms",
                   "rss MB");
        auto row = [](const Apply& one, const char* note = "") {
            fmt::print("{:>8}  {:>9.2f} {:>9.2f}  {:>16.2f}  {:>7.1f}  {}\n", one.boxes, one.p50_ms,
                       one.p99_ms, one.still_ms, one.rss_mb, note);
            std::fflush(stdout);
            return one;
        };
        auto ten = row(apply(10, quick ? 100 : 400, false));
        if (!quick)
            for (int size : {100, 1000}) row(apply(size, 100, false));
        auto thousands = row(apply(10'000, quick ? 25 : 100, false));
        if (!quick) row(apply(100'000, 20, false));
        auto crowded = row(apply(10'000, quick ? 2 : 10, true), "all in one location");

        auto stormy = storm(quick ? 5 : 20);
        fmt::print("\nlookups, 300 a second, 5 ms at the box, alternate seconds   p50 ms  p99 ms\n");
        fmt::print("  no versions                                               {:>7.2f} {:>7.2f}\n",
                   stormy.p50_calm, stormy.p99_calm);
        fmt::print("  1,000 versions a second                                   {:>7.2f} {:>7.2f}\n\n",
                   stormy.p50_storm, stormy.p99_storm);

        auto kept = keep_promises(quick ? 8 : 60);
        fmt::print(
            "{} versions, {} of them bad: {} bad in force; {} lookups, {} without one final answer, {} sends "
            "past a drain's grace\n",
            kept.versions, kept.bad, kept.bad_in_force, kept.lookups, kept.without_final, kept.past_drain);
        int rounds = quick ? 20 : 300;
        int bad = bad_starts(rounds);
        fmt::print("{} rounds of kill -9 in a storm of versions: {} bad starts\n", rounds, bad);

        nlohmann::json out = {
            {"versions_sent", kept.versions + stormy.versions},
            {"bad_versions", kept.bad},
            {"bad_versions_in_force", kept.bad_in_force},
            {"lookups", kept.lookups},
            {"lookups_without_one_final", kept.without_final},
            {"sends_past_drain", kept.past_drain},
            {"kill_rounds", rounds},
            {"bad_starts", bad},
            {"apply_p99_ms_10_boxes", ten.p99_ms},
            {"apply_p99_ms_10000_boxes", thousands.p99_ms},
            {"loop_still_ms_10000_boxes", thousands.still_ms},
            {"apply_p99_ms_10000_boxes_one_location", crowded.p99_ms},
            {"loop_still_ms_10000_boxes_one_location", crowded.still_ms},
            {"lookup_p99_ratio_storm", stormy.p99_calm > 0 ? stormy.p99_storm / stormy.p99_calm : 0},
            {"rss_mb_off", rss_off},
            {"rss_mb_on", rss_on},
            {"rss_mb_before", before.empty() ? nlohmann::json() : nlohmann::json(rss_before)}};
        fmt::print("{}\n", out.dump());
        return kept.bad_in_force || kept.without_final || kept.past_drain || bad ? 1 : 0;
    } catch (const std::exception& error) {
        fmt::print(stderr, "streamed_config: {}\n", error.what());
        return 1;
    }
}
