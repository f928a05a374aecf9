#include "rig/soak/script.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <csignal>

namespace quillgrade::rig::soak {

namespace {

// Events come so long apart in the mean; the last ones leave a run time to show what they did.
constexpr Micros between_events = 450 * millisecond, first_event = 700 * millisecond, quiet_end = 1 * second;
constexpr Micros longest_series = 600 * millisecond;

class Draw {
public:
    explicit Draw(std::uint64_t seed) : chance(static_cast<std::uint32_t>(seed * 2654435761U + 17)) {}
    std::int64_t between(std::int64_t least, std::int64_t most) {
        return boost::random::uniform_int_distribution<std::int64_t>(least, most)(chance);
    }
    int number(int least, int most) { return static_cast<int>(between(least, most)); }
    bool one_in(int count) { return between(1, count) == 1; }

private:
    boost::random::mt19937 chance;
};

// SIGTERM or SIGINT at once, and what else comes before, with and after it.
std::vector<TimedSignal> series_of_end(Draw& draw) {
    std::vector<TimedSignal> series = {{0, draw.one_in(4) ? SIGINT : SIGTERM}};
    auto add = [&](int signal, Micros least, Micros most) {
        series.push_back({draw.between(least, most), signal});
    };
    switch (draw.number(0, 6)) {
        case 0:  // twice
            add(SIGTERM, 0, longest_series);
            break;
        case 1:  // thrice
            add(SIGTERM, 0, longest_series);
            add(SIGTERM, 0, longest_series);
            break;
        case 2:  // SIGHUP before, with and after
            for (Micros at : {0, 5, 40, 300}) add(SIGHUP, at * millisecond, (at + 20) * millisecond);
            break;
        case 3:  // both that end it
            add(SIGTERM, 0, 20 * millisecond);
            add(SIGINT, 0, 20 * millisecond);
            break;
        case 4: {  // stopped while it comes
            auto going_on = draw.between(10 * millisecond, longest_pause);
            series.push_back({going_on, SIGCONT});
            for (auto& one : series) one.after += 2 * millisecond;
            series.push_back({0, SIGSTOP});
            break;
        }
        case 5: {  // stopped right after
            auto stopped = draw.between(1 * millisecond, 500 * millisecond);
            series.push_back({stopped, SIGSTOP});
            series.push_back({stopped + draw.between(10 * millisecond, longest_pause), SIGCONT});
            break;
        }
        default:
            break;
    }
    std::stable_sort(series.begin(), series.end(), [](auto& a, auto& b) { return a.after < b.after; });
    return series;
}

std::vector<TimedSignal> series_of_start(Draw& draw) {
    constexpr std::array signals = {SIGHUP, SIGTERM, SIGINT, SIGHUP};
    std::vector<TimedSignal> series;
    if (!draw.one_in(3)) return series;
    for (int count = draw.number(1, 3); count > 0; count--)
        series.push_back(
            {draw.between(0, 15 * millisecond), signals[static_cast<std::size_t>(draw.number(0, 3))]});
    std::stable_sort(series.begin(), series.end(), [](auto& a, auto& b) { return a.after < b.after; });
    return series;
}

std::vector<TimedSignal> reloads(Draw& draw) {
    std::vector<TimedSignal> series;
    for (int count = draw.one_in(3) ? draw.number(10, 30) : draw.number(1, 3); count > 0; count--)
        series.push_back({draw.between(0, 100 * millisecond), SIGHUP});
    std::sort(series.begin(), series.end(), [](auto& a, auto& b) { return a.after < b.after; });
    return series;
}

// Ends come more often than anything else, half of them without a warning.
Action draw_action(Draw& draw) {
    constexpr int ends = 8;
    auto drawn = draw.number(0, action_count + ends - 3);
    if (drawn < ends) return drawn % 2 == 0 ? Action::PlannedEnd : Action::Kill;
    return static_cast<Action>(drawn - ends + 2);
}

Event draw_event(Draw& draw, const Script& script, Micros at) {
    Event event;
    event.at = at;
    event.action = draw_action(draw);
    bool of_cache = event.action == Action::CacheHangs || event.action == Action::CacheResets ||
                    event.action == Action::CacheDrains;
    event.target = draw.number(0, (of_cache ? script.caches : script.routers) - 1);
    event.lasts = draw.between(100 * millisecond, 3 * second);
    event.count = draw.number(1, 20);
    bool is_end = event.action == Action::PlannedEnd || event.action == Action::Kill;
    if (is_end && draw.one_in(6)) event.target = every_router;
    switch (event.action) {
        case Action::PlannedEnd:
            event.signals = series_of_end(draw);
            event.connections_last = draw.between(200 * millisecond, 400 * millisecond);
            event.clients_stay = draw.one_in(3);
            event.at_start = series_of_start(draw);
            break;
        case Action::Kill:
            event.at_start = series_of_start(draw);
            break;
        case Action::Reload:
        case Action::BrokenReload:
        case Action::HalfWrittenReload:
            event.signals = reloads(draw);
            break;
        case Action::Pause:
            event.lasts = draw.between(10 * millisecond, longest_pause);
            break;
        case Action::Burst:
            event.count = draw.number(50, 250);
            break;
        case Action::IdleClients:
            event.count = draw.number(20, 200);
            break;
        default:
            break;
    }
    return event;
}

}  // namespace

const char* name_of(Action action) {
    constexpr std::array<const char*, action_count> names = {"planned end",
                                                             "kill",
                                                             "reload",
                                                             "broken reload",
                                                             "half-written reload",
                                                             "pause",
                                                             "cache hangs",
                                                             "cache resets",
                                                             "cache drains",
                                                             "coordinator silent",
                                                             "coordinator gone",
                                                             "burst",
                                                             "idle clients",
                                                             "slow writers",
                                                             "leaving clients"};
    return names[static_cast<std::size_t>(action)];
}

Script draw(std::uint64_t seed, const Limits& limits) {
    Draw draw(seed);
    Script script;
    script.seed = seed;
    script.length = draw.between(limits.shortest, limits.longest);
    script.routers = draw.number(1, 4);
    script.caches = draw.number(3, 5);
    script.requests_per_s = draw.number(50, 200);
    script.patience = draw.between(500, 2500) * millisecond;
    script.cache_delay =
        draw.one_in(3) ? draw.between(50, 300) * millisecond : draw.between(1, 20) * millisecond;
    script.busy_processes = draw.one_in(5) ? 1 : 0;
    auto at = first_event;
    while (at < script.length - quiet_end) {
        script.events.push_back(draw_event(draw, script, at));
        at += draw.between(between_events / 5, between_events * 9 / 5);
    }
    return script;
}

std::string text_of(const Event& event) {
    auto text = event.target == every_router ? fmt::format("{} of all", name_of(event.action))
                                             : fmt::format("{} of {}", name_of(event.action), event.target);
    auto list = [&](const char* what, const std::vector<TimedSignal>& signals) {
        if (signals.empty()) return;
        text += what;
        for (auto& one : signals)
            text += fmt::format(" {}@{:.1f}", sigabbrev_np(one.number),
                                static_cast<double>(one.after) / millisecond);
    };
    list(", signals (ms)", event.signals);
    list(", at the next start", event.at_start);
    if (event.action == Action::PlannedEnd)
        text += fmt::format(", new connections for {} ms{}", event.connections_last / millisecond,
                            event.clients_stay ? ", clients stay" : "");
    else if (event.signals.empty() && event.action != Action::Kill)
        text += fmt::format(", {} ms, {} clients", event.lasts / millisecond, event.count);
    return text;
}

}  // namespace quillgrade::rig::soak
