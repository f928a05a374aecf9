#include "rig/uploads/load.hpp"

#include <algorithm>
#include <array>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

namespace quillgrade::rig::uploads {

namespace {

constexpr int least_memory_mb = 32, most_memory_mb = 192;
constexpr int least_sockets = 256, most_sockets = 1024;
constexpr int share_of_sockets = 3;  // clients hold a third of the descriptors at most
constexpr int most_open = 32;        // requests on a connection
constexpr int most_requests = 1'000;
constexpr std::int64_t slowest_rate = 10'000, fastest_slow_rate = 200'000;  // bytes a second
constexpr std::int64_t longest_writing =
    9 * second;  // routers end connections that say nothing whole for 10 s
constexpr Micros spread = 4 * second, together = 20 * millisecond, begin = second;
constexpr Micros shortest_pause = 100 * millisecond, longest_pause = 2 * second;
constexpr Micros longest_delay = 300 * millisecond;

class Draw {
public:
    explicit Draw(std::uint64_t seed) : engine(seed) {}
    std::int64_t between(std::int64_t least, std::int64_t most) {
        return boost::random::uniform_int_distribution<std::int64_t>(least, std::max(least, most))(engine);
    }
    bool one_in(std::int64_t count) { return between(1, count) == 1; }

private:
    boost::random::mt19937_64 engine;
};

// What the writers of a load have in common.
struct Profile {
    int slow, pausing, stopped;  // so many of ten; the others are quick
    bool crowded;                // as many connections as there may be
    bool burst;                  // all begin within a moment, and their requests are alike and long
};
constexpr std::array<Profile, 5> profiles{
    {{.slow = 0, .pausing = 0, .stopped = 0, .crowded = false, .burst = false},
     {.slow = 3, .pausing = 1, .stopped = 1, .crowded = false, .burst = false},
     {.slow = 7, .pausing = 1, .stopped = 0, .crowded = true, .burst = false},
     {.slow = 8, .pausing = 0, .stopped = 1, .crowded = false, .burst = false},
     {.slow = 0, .pausing = 0, .stopped = 0, .crowded = true, .burst = true}}};

Pace draw_pace(Draw& draw, const Profile& profile) {
    auto drawn = draw.between(0, 9);
    if (drawn < profile.slow) return Pace::Slow;
    if (drawn < profile.slow + profile.pausing) return Pace::Pausing;
    if (drawn < profile.slow + profile.pausing + profile.stopped) return Pace::Stopped;
    return Pace::Quick;
}

Writer draw_writer(Draw& draw, const Profile& profile, std::int64_t longest, std::int64_t most_at_once) {
    Writer writer;
    writer.starts = begin + draw.between(0, profile.burst ? together : spread);
    writer.body = static_cast<std::size_t>(draw.between(profile.burst ? longest : 1, longest));
    writer.pace = draw_pace(draw, profile);
    if (writer.pace == Pace::Quick)
        writer.requests = static_cast<int>(draw.between(profile.burst ? most_at_once : 1, most_at_once));
    auto slowest = std::max(slowest_rate, static_cast<std::int64_t>(writer.body) * second / longest_writing);
    writer.bytes_per_s = static_cast<std::size_t>(draw.between(slowest, fastest_slow_rate));
    writer.pause = draw.between(shortest_pause, longest_pause);
    return writer;
}

}  // namespace

const char* name_of(Pace pace) {
    switch (pace) {
        case Pace::Quick:
            return "quick";
        case Pace::Slow:
            return "slow";
        case Pace::Pausing:
            return "pausing";
        case Pace::Stopped:
            return "stopped";
    }
    return "";
}

Load draw(std::uint64_t seed) {
    Draw draw(seed);
    Load load;
    load.seed = seed;
    load.memory_mb = static_cast<int>(draw.between(least_memory_mb, most_memory_mb));
    if (draw.one_in(2)) load.memory_mb = least_memory_mb;
    load.sockets = static_cast<int>(draw.between(least_sockets, most_sockets));
    load.cache_delay = draw.one_in(2) ? 0 : draw.between(0, longest_delay);
    auto& profile = profiles.at(static_cast<std::size_t>(draw.between(0, profiles.size() - 1)));
    auto most_connections = load.sockets / share_of_sockets;
    auto connections = profile.crowded ? most_connections : draw.between(1, most_connections);
    auto most_at_once = std::min<std::int64_t>(most_open, most_requests / connections);
    auto longest = draw.one_in(2) ? static_cast<std::int64_t>(longest_body) : draw.between(1, longest_body);
    for (std::int64_t i = 0; i < connections; i++)
        load.writers.push_back(draw_writer(draw, profile, longest, most_at_once));
    return load;
}

}  // namespace quillgrade::rig::uploads
