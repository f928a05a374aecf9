// Discovery turns slow: what the coordinator writes reaches the routers 3 s later, over connections that come
// up at once. A box begins to drain meanwhile. Do the routers stop sending to it in time?
#include "../stand/site.hpp"

using namespace stand;

int main(int count, char** words) {
    if (count < 3) return 2;
    std::string folder = words[1], run = words[2], temporary = environment("TMPDIR", "/tmp");
    bool trouble = environment("TROUBLE", "1") != "0";
    // PROTOCOL.md: told 7 s after it is in the coordinator, whether or not it arrived; each limit 50 ms more.
    // partner-schools: nothing new 2 s after it was told.
    constexpr Micros told_by = 7 * second, grace = 2 * second, slack = 50 * ms, late = 3 * second;
    constexpr std::uint32_t drained = 1;
    try {
        Record record(folder + "/record.txt");
        std::mutex mutex;
        std::vector<Asked> asked;
        auto answer = [&](const Asked& one) {
            std::lock_guard lock(mutex);
            asked.push_back(one);
            record.line("cache %s: asked %s %s/%s/%d parent %s", cache_name(one.cache).c_str(),
                        one.id.c_str(), one.kind.c_str(), one.object.c_str(), one.part, one.parent.c_str());
            auto body = one.kind + "/" + one.object + text("/%d", one.part);
            return Cache::whole("200 OK",
                                text("X-Tag: %s\r\nX-Minted: %lld\r\nX-Tell: HIT\r\n"
                                     "X-Report: inflight:1;x1:0.1\r\n",
                                     one.object.c_str(), static_cast<long long>(now() / ms)),
                                body, one.kind == "lesson-video" ? 40 * ms : 8 * ms);
        };
        std::vector<std::unique_ptr<Cache>> caches;
        std::vector<Place> places;
        auto add = [&](std::uint32_t id, int zone, int kind, double weight) {
            static const char* zones[] = {"central", "school-1", "school-2"};
            static const char* kinds[] = {"small-box", "large-box", "parent", "origin"};
            caches.push_back(std::make_unique<Cache>(id, answer));
            places.push_back(
                {{id, caches.back()->port(), 0, zone, kind, zone, weight, 0}, zones[zone], kinds[kind]});
        };
        for (std::uint32_t id = 1; id <= 8; id++) add(id, id <= 4 ? 1 : 2, id % 2 ? 0 : 1, 12);
        for (std::uint32_t id : {16U, 17U}) add(id, 0, 2, 40);
        add(32, 0, 3, 40);

        Coordinator coordinator(1);
        Proxy discovery(coordinator.port());
        std::vector<std::unique_ptr<Router>> routers;
        for (int i = 0; i < 3; i++) {
            auto name = text("n%d", i), file = temporary + "/" + name + ".json";
            int port = free_port();
            write_file(file, configuration({name, port, discovery.port(), known(places),
                                            partner_schools(i, i < 2 ? 1 : 2)}));
            routers.push_back(
                std::make_unique<Router>(run, name, port, file, temporary + "/" + name + ".log"));
        }
        for (auto& router : routers)
            if (!Clients::ready(router->port, 20)) {
                std::fprintf(stderr, "%s is not ready\n", router->name.c_str());
                return 2;
            }
        std::vector<std::unique_ptr<Clients>> clients;
        for (auto& router : routers) {
            clients.push_back(
                std::make_unique<Clients>(router->port, 6, record, "clients of " + router->name));
            clients.back()->ask(
                50,
                [](std::mt19937_64& chance) {
                    bool video = chance() % 100 < 55;
                    return Fields{{"c", video ? "lesson-video" : "timetable-page"},
                                  {"d", video ? "5000" : "2500"},
                                  {"o", hex(0x1000 + chance() % 400)},
                                  {"part", text("%d", video ? static_cast<int>(chance() % 10) : 0)},
                                  {"group", "7"},
                                  {"m", video ? "3000" : "500"}};
                },
                clients.size());
        }
        std::this_thread::sleep_for(std::chrono::seconds(4));
        if (trouble) discovery.delay = late;
        record.line("discovery: what it writes comes %lld ms late from now on",
                    static_cast<long long>(discovery.delay / ms));
        std::this_thread::sleep_for(std::chrono::milliseconds(500));
        auto entry = places[0].entry;
        entry.state = 1;
        Micros told = coordinator.tell(entry), bound = told + told_by + grace + slack;
        record.line("coordinator: %s is terminating", cache_name(drained).c_str());
        std::this_thread::sleep_for(std::chrono::seconds(18));
        for (auto& one : clients) one->end();
        std::this_thread::sleep_for(std::chrono::seconds(1));

        int broken = 0;
        Micros last = 0;
        {
            std::lock_guard lock(mutex);
            for (auto& one : asked) {
                if (one.cache != drained && one.parent != cache_name(drained)) continue;
                last = std::max(last, one.first_byte);
                if (one.first_byte <= bound) continue;
                if (broken++ < 5)
                    record.line("RULE drains: %s came %.2f s after the event was in the coordinator",
                                one.id.c_str(), static_cast<double>(one.first_byte - told) / second);
            }
        }
        std::size_t answered = 0, all = 0;
        for (auto& one : clients)
            for (auto& request : one->all()) all++, answered += request.finals == 1;
        for (auto& one : clients) {
            one->close();
            one->write_down();
        }
        for (auto& router : routers)
            if (router->ended()) {
                std::fprintf(stderr, "%s has ended by itself\n", router->name.c_str());
                return 2;
            }
        auto said = text(
            "%s: %d requests to the draining box later than 9.05 s after the event, the last "
            "%.2f s after it; %zu of %zu requests answered; %d connections to discovery",
            broken ? "BROKEN" : "held", broken, static_cast<double>(last - told) / second, answered, all,
            discovery.connections.load());
        record.line("%s", said.c_str());
        std::printf("%s\n", said.c_str());
        return broken ? 1 : 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "could not run: %s\n", error.what());
        return 2;
    }
}
