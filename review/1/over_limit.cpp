// Clients ask for many parts of a video at once, as many as the protocol lets one connection carry, and read
// at full speed. The platform's stand-in kills a router that goes over its limit on memory. Does each router
// stay within it?
#include "../stand/pipeline.hpp"

using namespace stand;

namespace {

constexpr std::size_t part_bytes = 200'000;
constexpr int routers_in_all = 3, connections = 8, parts = 32, rounds = 4;
constexpr int memory_mb = 32, sockets = 512;
constexpr Micros patience = 6 * second, every = 3 * second;

// The platform: looks at a process each millisecond, and kills it when it holds more than the limit. Only
// what is the process's own counts (RssAnon), in MB of 1,024 x 1,024 bytes: no page of a file, no buffer of a
// socket.
class Platform {
public:
    Platform(Router& router, Record& record) : router(router), record(record), watch([this] { look(); }) {}
    Platform(const Platform&) = delete;
    Platform& operator=(const Platform&) = delete;
    ~Platform() { stop(); }
    void stop() {
        stopping = true;
        if (watch.joinable()) watch.join();
    }
    std::atomic<long> most_kb = 0;
    std::atomic<bool> killed = false;

private:
    long own_kb() const {
        std::ifstream in(text("/proc/%d/status", static_cast<int>(router.pid())));
        for (std::string line; std::getline(in, line);)
            if (line.starts_with("RssAnon:")) return std::atol(line.c_str() + 8);
        return 0;
    }
    void look() {
        for (; !stopping; usleep(1000)) {
            most_kb = std::max(most_kb.load(), own_kb());
            if (most_kb <= memory_mb * 1024L || killed) continue;
            killed = true;
            router.signal(SIGKILL);
            record.line("platform: %s holds %ld kB, more than its %d MB: killed", router.name.c_str(),
                        most_kb.load(), memory_mb);
        }
    }
    Router& router;
    Record& record;
    std::atomic<bool> stopping = false;
    std::thread watch;
};

}  // namespace

int main(int count, char** words) {
    if (count < 3) return 2;
    std::string folder = words[1], run = words[2], temporary = environment("TMPDIR", "/tmp");
    bool trouble = environment("TROUBLE", "1") != "0";
    try {
        Record record(folder + "/record.txt");
        Location school({"central", "school-1"}, school_answer(part_bytes));
        Coordinator coordinator(1);
        std::vector<std::unique_ptr<Router>> routers;
        std::list<Platform> platform;
        for (int i = 0; i < routers_in_all; i++) {
            auto name = text("n%d", i), file = temporary + "/" + name + ".json";
            int port = free_port();
            write_file(file, configuration({name, port, coordinator.port(), known(school.places),
                                            partner_schools(i, 1, 2), memory_mb, sockets}));
            routers.push_back(
                std::make_unique<Router>(run, name, port, file, temporary + "/" + name + ".log"));
        }
        for (auto& router : routers)
            if (!Clients::ready(router->port, 20)) {
                std::fprintf(stderr, "%s is not ready\n", router->name.c_str());
                return 2;
            }
        for (auto& router : routers) platform.emplace_back(*router, record);
        record.line("clients: %d connections at each router, %d parts each %s, every %.1f s", connections,
                    parts, trouble ? "at once" : "evenly", static_cast<double>(every) / second);
        std::mutex mutex;
        std::vector<Piped> all;
        std::list<std::thread> threads;
        for (std::size_t at = 0; at < routers.size(); at++)
            for (int i = 0; i < connections; i++)
                threads.emplace_back([&, at, i] {
                    Viewer viewer(routers[at]->port, i, {"lesson-video", "", part_bytes, 0, patience, 0, 0});
                    std::vector<Piped> asked;
                    // One router after another has its turn, so that the boxes are not asked by all at once.
                    Micros next = now() + static_cast<Micros>(at) * every / routers_in_all;
                    for (int round = 0; round < rounds; round++) {
                        sleep_until(next);
                        next += every;
                        viewer.watch(parts, trouble ? 0 : every, asked);
                    }
                    std::lock_guard lock(mutex);
                    all.insert(all.end(), asked.begin(), asked.end());
                });
        for (auto& one : threads) one.join();

        int unanswered = 0, taken = 0, crashed = 0;
        std::map<std::string, int> ends;
        for (auto& one : all) {
            record.line("%s: %s/%d on connection %d, sent at %.3f: %s after %.3f s, sent %d times",
                        one.id.c_str(), one.object.c_str(), one.part, one.connection, record.at(one.taken),
                        one.end.c_str(), static_cast<double>(one.ended - one.taken) / second, one.tries);
            ends[one.end]++;
            taken += one.taken > 0;
            unanswered += one.taken > 0 && !one.in_time();
        }
        std::string said_ends, said_memory;
        for (auto& [end, times] : ends) said_ends += text("; %s: %d", end.c_str(), times);
        auto router = routers.begin();
        for (auto& one : platform) {
            one.stop();
            said_memory += text("; %s held %ld kB", (*router)->name.c_str(), one.most_kb.load());
            bool ended = (*router)->ended();
            if (one.killed)
                record.line("RULE crash: %s was killed for memory", (*router)->name.c_str());
            else if (ended)
                record.line("RULE crash: %s has ended by itself", (*router)->name.c_str());
            crashed += one.killed || ended;
            router++;
        }
        auto said = text("%s: %d of %d routers crashed%s; of %d requests taken %d without an answer%s",
                         crashed ? "BROKEN" : "held", crashed, routers_in_all, said_memory.c_str(), taken,
                         unanswered, said_ends.c_str());
        record.line("%s", said.c_str());
        std::printf("%s\n", said.c_str());
        return crashed ? 1 : 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "could not run: %s\n", error.what());
        return 2;
    }
}
