// Clients ask for many parts of a video at once, as many as the protocol lets one connection carry, and read
// at full speed. Does each request that was taken get its final answer?
#include "../stand/pipeline.hpp"

using namespace stand;

namespace {

constexpr std::size_t part_bytes = 120'000;
constexpr int routers_in_all = 3, connections = 3, parts = 32, rounds = 8;
constexpr Micros patience = 6 * second, every = 2 * second;

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
        for (int i = 0; i < routers_in_all; i++) {
            auto name = text("n%d", i), file = temporary + "/" + name + ".json";
            int port = free_port();
            write_file(file, configuration({name, port, coordinator.port(), known(school.places),
                                            partner_schools(i, 1, 2), 32, 256}));
            routers.push_back(
                std::make_unique<Router>(run, name, port, file, temporary + "/" + name + ".log"));
        }
        for (auto& router : routers)
            if (!Clients::ready(router->port, 20)) {
                std::fprintf(stderr, "%s is not ready\n", router->name.c_str());
                return 2;
            }
        record.line("clients: %d connections at each router, %d parts each %s, every %.1f s", connections,
                    parts, trouble ? "at once" : "evenly", static_cast<double>(every) / second);
        std::mutex mutex;
        std::vector<Piped> all;
        std::list<std::thread> threads;
        for (auto& router : routers)
            for (int i = 0; i < connections; i++)
                threads.emplace_back([&, port = router->port, i] {
                    Viewer viewer(port, i, {"lesson-video", "", part_bytes, 0, patience, 0, 0});
                    std::vector<Piped> asked;
                    for (int round = 0; round < rounds; round++) {
                        Micros next = now() + every;
                        viewer.watch(parts, trouble ? 0 : every, asked);
                        sleep_until(next);
                    }
                    std::lock_guard lock(mutex);
                    all.insert(all.end(), asked.begin(), asked.end());
                });
        for (auto& one : threads) one.join();

        int lost = 0, taken = 0;
        std::map<std::string, int> ends;
        for (auto& one : all) {
            record.line("%s: %s/%d on connection %d, sent at %.3f: %s after %.3f s, sent %d times",
                        one.id.c_str(), one.object.c_str(), one.part, one.connection, record.at(one.taken),
                        one.end.c_str(), static_cast<double>(one.ended - one.taken) / second, one.tries);
            ends[one.end]++;
            if (one.taken == 0) continue;
            taken++;
            if (one.in_time()) continue;
            lost++;
            record.line("RULE lost: %s was written whole and has no final answer: %s after %.3f s",
                        one.id.c_str(), one.end.c_str(), static_cast<double>(one.ended - one.taken) / second);
        }
        std::string said_ends;
        for (auto& [end, times] : ends) said_ends += text("; %s: %d", end.c_str(), times);
        for (auto& router : routers)
            if (router->ended()) {
                std::fprintf(stderr, "%s has ended by itself\n", router->name.c_str());
                return 2;
            }
        auto said = text("%s: of %d requests taken %d lost%s", lost ? "BROKEN" : "held", taken, lost,
                         said_ends.c_str());
        record.line("%s", said.c_str());
        std::printf("%s\n", said.c_str());
        return lost ? 1 : 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "could not run: %s\n", error.what());
        return 2;
    }
}
