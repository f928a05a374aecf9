// Membership among the routers: detection, mistakes, cost, by the number of routers and by loss, beside plain
// heartbeats with one time limit at the same bytes a second; then with real processes. The last line is JSON.
//
//   build/bench/membership [--quick] [--before PROGRAM]
#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <filesystem>
#include <future>
#include <nlohmann/json.hpp>

#include "rig/fleet/script.hpp"
#include "rig/simulated.hpp"

using namespace quillgrade;
using peers::Micros;
using peers::RouterIndex;
using peers::State;

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;

// The baseline: each router sends a few bytes to all others in turn, as often as its bytes allow, and gives
// up whom it has not heard for four rounds.
class Heartbeats {
public:
    explicit Heartbeats(const peers::MembershipConfig& start)
        : self(start.self),
          others(start.routers - 1),
          every(static_cast<Micros>(size / start.settings.bytes_per_s * 1e6)),
          limit(every * others * 4),
          next(start.now),
          heard(static_cast<std::size_t>(start.routers), start.now),
          dead(static_cast<std::size_t>(start.routers)) {}
    void receive(RouterIndex from, std::string_view /*datagram*/, Micros now) {
        auto i = static_cast<std::size_t>(from);
        heard[i] = now;
        if (dead[i]) say(from, State::Dead, State::Alive, now);
        dead[i] = false;
    }
    void tick(Micros now) {
        for (; next <= now; next += every) {
            turn = turn % others + 1;
            out.push_back({(self + turn) % (others + 1), std::string(size, 'h')});
            seen.bytes_sent += size;
            seen.sent++;
        }
        for (int who = 0; who <= others; who++) {
            auto i = static_cast<std::size_t>(who);
            if (who == self || dead[i] || now - heard[i] < limit) continue;
            dead[i] = true;
            say(who, State::Alive, State::Dead, now);
        }
    }
    Micros next_tick() const { return next; }
    void leave(Micros /*now*/) {}
    void announce_exit(Micros /*now*/) {}
    std::vector<peers::Outgoing> take_outgoing() { return std::exchange(out, {}); }
    std::vector<peers::StateChange> take_state_changes() { return std::exchange(changed, {}); }
    const peers::MembershipCounters& counters() const { return seen; }

private:
    void say(RouterIndex who, State before, State after, Micros now) {
        changed.push_back({who, before, after, now, {}, -1});
    }
    static constexpr std::size_t size = 22;
    RouterIndex self;
    int others;
    Micros every, limit, next;
    int turn = 0;
    std::vector<Micros> heard;
    std::vector<bool> dead;
    std::vector<peers::Outgoing> out;
    std::vector<peers::StateChange> changed;
    peers::MembershipCounters seen;
};

double quantile_of(std::vector<double> values, double q) {
    if (values.empty()) return -1;
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1,
                           static_cast<std::size_t>(q * static_cast<double>(values.size())))];
}

// All know all, as after a while; else a run at size would begin with minutes of introductions.
void introduce(rig::Simulated<>& sim) {
    for (int i = 0; i < sim.count(); i++)
        for (int first = 0; first < sim.count(); first += 16) {
            peers::Message news;
            news.from = (i + 1) % sim.count();
            news.sender_state = sim.protocol(news.from)->self();
            news.type = peers::MessageType::Gossip;
            for (int who = first; who < std::min(sim.count(), first + 16); who++)
                if (who != i) news.records.push_back({who, sim.protocol(who)->self()});
            sim.protocol(i)->receive(news.from, encode(news), sim.clock(i));
        }
}
void introduce(rig::Simulated<Heartbeats>& /*fleet*/) {}

struct Detection {
    std::vector<double> ms;
    double bytes_per_s = 0, quiet_bytes_per_s = 0;
    int false_dead = 0;
    double ns_per_datagram = 0;
};

// Some are killed, a second and a half apart; how long until each of the others holds each for dead.
template <class Protocol>
Detection detect(int routers, double loss, int kills, Micros settle, Micros wait, std::uint64_t seed) {
    rig::Simulated<Protocol> sim(routers, 3, seed, {}, {loss, 3 * ms, 24 * ms, 0.001, 0.001});
    sim.start_all();
    introduce(sim);
    auto real = std::chrono::steady_clock::now();
    sim.run_until(sim.now() + settle);
    Detection result;
    auto bytes = [&] {
        double sum = 0;
        for (int i = 0; i < routers; i++) sum += static_cast<double>(sim.figures(i).bytes_sent);
        return sum / routers;
    };
    auto before = bytes();
    sim.run_until(sim.now() + 20 * second);
    result.quiet_bytes_per_s = (bytes() - before) / 20;
    auto begun = sim.now();
    before = bytes();
    std::map<int, Micros> killed;
    std::set<std::pair<int, int>> noticed;
    sim.on_change = [&](int observer, const peers::StateChange& change) {
        if (change.after != State::Dead) return;
        if (!killed.contains(change.who))
            result.false_dead++;
        else if (noticed.insert({observer, change.who}).second)
            result.ms.push_back(static_cast<double>(sim.now() - killed[change.who]) / 1000);
    };
    for (int k = 0; k < kills; k++) {
        auto who = (k * routers / std::max(1, kills) + 1) % routers;
        sim.kill(who);
        killed[who] = sim.now();
        sim.run_until(sim.now() + 1500 * ms);
    }
    sim.run_until(sim.now() + wait);
    sim.on_change = nullptr;
    result.bytes_per_s = (bytes() - before) / (static_cast<double>(sim.now() - begun) / 1e6);
    // What was not noticed counts as the whole wait.
    auto owed = static_cast<std::size_t>(kills) * static_cast<std::size_t>(routers - kills);
    for (auto i = result.ms.size(); i < owed; i++) result.ms.push_back(static_cast<double>(wait) / 1000);
    std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - real;
    result.ns_per_datagram = spent.count() / static_cast<double>(std::max<std::uint64_t>(1, sim.delivered));
    return result;
}

// Verdicts on routers that live, a router and hour.
template <class Protocol>
double mistakes(int routers, double loss, Micros lasts, std::uint64_t seed) {
    rig::Simulated<Protocol> sim(routers, 3, seed, {}, {loss, 3 * ms, 24 * ms, 0.001, 0.001});
    sim.start_all();
    introduce(sim);
    sim.run_until(sim.now() + 20 * second);
    double all = 0;
    sim.on_change = [&](int, const peers::StateChange& change) { all += change.after == State::Dead; };
    sim.run_until(sim.now() + lasts);
    return all / routers / (static_cast<double>(lasts) / 3.6e9);
}

// A third is cut off from the others for 20 s; how long after the cut's end each pair that was wrong is
// right.
double heal(int routers, std::uint64_t seed, Micros limit) {
    rig::Simulated<> sim(routers, 3, seed, {}, {0.05, 3 * ms, 24 * ms, 0.001, 0.001});
    sim.start_all();
    introduce(sim);
    sim.run_until(sim.now() + 40 * second);
    auto cut = [&](bool yes) {
        for (int i = 0; i < routers; i++)
            for (int j = 0; j < routers; j++)
                if ((i % 3 == 0) != (j % 3 == 0)) sim.cut(i, j, yes);
    };
    cut(true);
    sim.run_until(sim.now() + 20 * second);
    cut(false);
    auto begun = sim.now();
    std::map<std::pair<int, int>, double> right_at;  // of all pairs across the cut
    sim.on_change = [&](int observer, const peers::StateChange& change) {
        if (change.after == State::Alive)
            right_at[{observer, change.who}] = static_cast<double>(sim.now() - begun) / 1000;
    };
    sim.run_until(sim.now() + limit);
    std::vector<double> all;
    for (int i = 0; i < routers; i++)
        for (int j = 0; j < routers; j++) {
            if ((i % 3 == 0) == (j % 3 == 0)) continue;
            bool alive = sim.protocol(i)->state(j) == State::Alive;
            all.push_back(alive ? right_at[{i, j}] : static_cast<double>(limit) / 1000);
        }
    return quantile_of(all, 0.99);
}

// Changes of state among the two sides of a one-sided cut, past the first.
int flaps(std::uint64_t seed) {
    rig::Simulated<> sim(12, 3, seed, {}, {0.05, 3 * ms, 24 * ms, 0.001, 0.001});
    sim.start_all();
    sim.run_until(sim.now() + 20 * second);
    sim.cut(2, 7, true);
    int changes = 0;
    sim.on_change = [&](int, const peers::StateChange& change) { changes += change.after != State::Silent; };
    sim.run_until(sim.now() + 120 * second);
    return changes;
}

// Accusations that routers make within a second of the end of their own pause, and verdicts that come of
// them.
int by_paused(std::uint64_t seed) {
    rig::Simulated<> sim(30, 3, seed, {}, {0.05, 3 * ms, 24 * ms, 0.001, 0.001});
    sim.start_all();
    sim.run_until(sim.now() + 25 * second);
    int wrong = 0;
    for (Micros pause : {300 * ms, 2 * second, 20 * second}) {
        for (int who = 0; who < 30; who += 3) sim.stop(who);
        sim.run_until(sim.now() + pause);
        auto woke = sim.now();
        for (int who = 0; who < 30; who += 3) sim.go_on(who);
        sim.on_change = [&](int observer, const peers::StateChange& change) {
            bool own = change.by == observer || change.by < 0;
            wrong += observer % 3 == 0 && change.who % 3 != 0 && own && sim.now() - woke < second &&
                     (change.after == State::Suspected || change.after == State::Dead);
        };
        sim.run_until(sim.now() + 15 * second);
        sim.on_change = nullptr;
    }
    return wrong;
}

struct Side {
    const char* name;
    std::string program, operate;
    double cpu = 0, lookups = 0, rss = 0;
};

// The same lookups on one router a side, the sides in turn.
void lookups_on(std::vector<Side>& sides, int rounds, double seconds, double per_s) {
    for (int round = 0; round < rounds; round++)
        for (auto& side : sides) {
            rig::Fleet fleet({side.program, "", 3, 1, 7, side.operate});
            for (int i = 0; i < 3; i++) fleet.start(i);
            auto wait = [&](double s) {
                for (auto until = rig::unix_now() + static_cast<Micros>(s * 1e6); rig::unix_now() < until;) {
                    fleet.read();
                    std::this_thread::sleep_for(std::chrono::milliseconds(10));
                }
            };
            wait(1);
            fleet.lookups(0, per_s);
            wait(0.7);
            auto cpu = fleet.cpu_seconds(0);
            auto handled = fleet.totals().handled;
            wait(seconds);
            side.cpu += fleet.cpu_seconds(0) - cpu;
            side.lookups += static_cast<double>(fleet.totals().handled - handled);
            side.rss = std::max(side.rss, fleet.rss_mb(0));
            fleet.finish_lookups();
        }
}

const char* real_script = R"({
  "routers": 12, "zones": 3, "seed": 5,
  "weather": {"loss": 0.05, "least_ms": 3, "most_ms": 24, "late": 0.001},
  "steps": [
    {"until": {"view": "alive"}, "within_s": 20},
    {"never": {"view": ["dead"], "of": "not hit"}},
    {"kill": "hit"}, {"until": {"view": "dead", "of": "hit", "by": "not hit"}, "within_s": 15},
    {"start": "hit"}, {"until": {"view": "alive"}, "within_s": 12},
    {"kill": "hit"}, {"until": {"view": "dead", "of": "hit", "by": "not hit"}, "within_s": 15}
  ]})";

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an option that CLI11 refuses is a fault that ends the program.
int main(int count, char** words) {
    CLI::App app("membership among the routers", "membership");
    bool quick = false;
    std::string before = QUILLGRADE_BEFORE;
    app.add_flag("--quick", quick, "under 50 s on four cores");
    app.add_option("--before", before, "the program as it was before");
    CLI11_PARSE(app, count, words);

    nlohmann::ordered_json json;
    const std::vector<int> sizes = {5, 50, 300, 1000};
    // In simulated time, side by side; the order of what is printed is fixed.
    auto later = [](auto what) { return std::async(std::launch::async, what); };
    std::vector<std::future<Detection>> ours, theirs;
    for (auto n : sizes) {
        int kills = n == 5 ? 1 : quick ? 5 : 10;
        auto settle = (n >= 1000 ? (quick ? 20 : 150) : n >= 300 ? (quick ? 30 : 90) : 30) * second;
        ours.push_back(
            later([=] { return detect<peers::Membership>(n, 0.05, kills, settle, 12 * second, 1); }));
        auto limit = static_cast<Micros>(22 / 300.0 * 1e6) * n * 5 + 5 * second;
        theirs.push_back(later([=] { return detect<Heartbeats>(n, 0.05, kills, second, limit, 1); }));
    }
    const std::vector<double> losses = {0, 0.05, 0.2, 0.4};
    std::vector<std::future<double>> wrong, wrong_beats;
    int among = quick ? 50 : 300;
    for (auto loss : losses) {
        wrong.push_back(
            later([=] { return mistakes<peers::Membership>(among, loss, (quick ? 120 : 600) * second, 3); }));
        wrong_beats.push_back(
            later([=] { return mistakes<Heartbeats>(among, loss, (quick ? 120 : 600) * second, 3); }));
    }
    auto healed = later([=] { return heal(quick ? 50 : 300, 5, 90 * second); });
    auto flapped = later([] { return flaps(7); });
    auto paused = later([] { return by_paused(9); });
    auto model = later([=]() -> std::string {
        auto folder =
            std::filesystem::temp_directory_path() / ("quillgrade_model_" + std::to_string(getpid()));
        auto* run =
            popen((std::string(QUILLGRADE_MODEL) + (quick ? " 1 " : " 3 ") + folder.string()).c_str(), "r");
        std::string last, line;
        for (int c; run && (c = fgetc(run)) != EOF;) {
            line += static_cast<char>(c);
            if (c == '\n') last = std::exchange(line, "");
        }
        if (run) pclose(run);
        std::error_code ignored;
        std::filesystem::remove_all(folder, ignored);
        return last;
    });

    fmt::print("{:>8} {:>34}   {:>34}\n", "", "this", "heartbeats, as many bytes");
    fmt::print("{:>8} {:>10} {:>10} {:>12}   {:>10} {:>10} {:>12}\n", "routers", "p50 ms", "p99 ms",
               "bytes/s", "p50 ms", "p99 ms", "bytes/s");
    json["routers"] = sizes;
    double ns = 0;
    for (std::size_t i = 0; i < sizes.size(); i++) {
        auto a = ours[i].get(), b = theirs[i].get();
        fmt::print("{:>8} {:>10.0f} {:>10.0f} {:>12.0f}   {:>10.0f} {:>10.0f} {:>12.0f}\n", sizes[i],
                   quantile_of(a.ms, 0.5), quantile_of(a.ms, 0.99), a.bytes_per_s, quantile_of(b.ms, 0.5),
                   quantile_of(b.ms, 0.99), b.bytes_per_s);
        json["detect_ms_p50"].push_back(quantile_of(a.ms, 0.5));
        json["detect_ms_p99"].push_back(quantile_of(a.ms, 0.99));
        json["heartbeat_detect_ms_p50"].push_back(quantile_of(b.ms, 0.5));
        json["heartbeat_detect_ms_p99"].push_back(quantile_of(b.ms, 0.99));
        json["bytes_per_s_router"].push_back(std::round(a.bytes_per_s));
        json["quiet_bytes_per_s_router"].push_back(std::round(a.quiet_bytes_per_s));
        if (sizes[i] == 50) ns = a.ns_per_datagram;
    }
    fmt::print("verdicts on living routers, a router and hour, {} routers:\n", among);
    for (std::size_t i = 0; i < losses.size(); i++) {
        auto a = wrong[i].get(), b = wrong_beats[i].get();
        fmt::print("  {:>3.0f}% lost: {:>8.2f}   heartbeats {:>8.2f}\n", losses[i] * 100, a, b);
        json["false_dead_per_router_hour"].push_back(a);
        json["heartbeat_false_dead_per_router_hour"].push_back(b);
    }
    json["flaps_one_sided"] = flapped.get();
    json["accused_by_paused"] = paused.get();
    json["heal_ms_p99"] = healed.get();
    json["heal_routers"] = quick ? 50 : 300;
    json["ns_per_datagram"] = std::round(ns);
    {
        rig::Simulated<> sim(300, 3, 1);
        sim.start(0);
        json["view_bytes_per_router"] = sim.protocol(0)->bytes_held() / 300;
    }
    auto said = model.get();
    auto checked = nlohmann::json::parse(said, nullptr, false);
    json["explored_states"] = checked.is_object() ? checked["explored_states"] : nlohmann::json(-1);
    json["planted"] = checked.is_object() ? checked["planted"] : nlohmann::json(-1);
    json["planted_found"] = checked.is_object() ? checked["planted_found"] : nlohmann::json(-1);

    // Real processes.
    int processes = 0, false_dead = 0, bad = 0, accused = 0;
    std::vector<double> detected;
    for (int seed = 1; seed <= (quick ? 1 : 10); seed++) {
        auto text = nlohmann::json::parse(real_script);
        nlohmann::json hit;
        hit["name"]["hit"] = nlohmann::json::array({(seed * 5) % 12, (seed * 5 + 3) % 12});
        text["steps"].insert(text["steps"].begin() + 1, hit);
        auto outcome =
            rig::run_script(text.dump(), {QUILLGRADE_PROGRAM, ""}, static_cast<std::uint64_t>(seed));
        processes += outcome.processes;
        false_dead += outcome.false_dead;
        accused += outcome.verdicts_by_paused;
        bad += !outcome.passed;
        detected.insert(detected.end(), outcome.detect_ms.begin(), outcome.detect_ms.end());
        for (auto& fault : outcome.faults) fmt::print("  {}\n", fault);
    }
    fmt::print("real processes: {} started, detection p50 {:.0f} ms, p99 {:.0f} ms, {} wrong verdicts\n",
               processes, quantile_of(detected, 0.5), quantile_of(detected, 0.99), false_dead);
    json["processes"] = processes;
    json["real_false_dead"] = false_dead;
    json["real_detect_ms_p99"] = quantile_of(detected, 0.99);
    json["real_accused_by_paused"] = accused;
    json["real_scripts_failed"] = bad;

    std::vector<Side> sides = {{"off", QUILLGRADE_PROGRAM, "{}"},
                               {"on", QUILLGRADE_PROGRAM, R"({"peers": {}})"}};
    if (std::filesystem::exists(before)) sides.push_back({"before", before, "{}"});
    lookups_on(sides, quick ? 1 : 4, quick ? 2 : 5, 400);
    for (auto& side : sides)
        fmt::print("{:>8}: {:.1f} us CPU a lookup, {:.1f} MB resident\n", side.name,
                   side.cpu * 1e6 / side.lookups, side.rss);
    json["rss_mb_before"] = sides.size() > 2 ? nlohmann::json(sides[2].rss) : nlohmann::json();
    json["rss_mb_off"] = sides[0].rss;
    json["rss_mb_on"] = sides[1].rss;
    json["cpu_us_per_lookup_off"] = sides[0].cpu * 1e6 / sides[0].lookups;
    json["cpu_us_per_lookup_on"] = sides[1].cpu * 1e6 / sides[1].lookups;
    fmt::print("{}\n", json.dump());
    // Only what must never be fails the run, whatever the times are.
    bool broken = json["flaps_one_sided"] != 0 || json["accused_by_paused"] != 0 || false_dead > 0 ||
                  bad > 0 || json["planted"] != json["planted_found"] ||
                  json["false_dead_per_router_hour"][0] != 0;
    return broken ? 1 : 0;
}
