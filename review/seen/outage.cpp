// Discovery is down for 8 s, into the start of a release: a box begins to drain meanwhile. Does nothing new
// go to it once it counts as told?
#include "../stand/site.hpp"

using namespace stand;

int main(int count, char** words) {
    if (count < 3) return 2;
    std::string folder = words[1], run = words[2], temporary = environment("TMPDIR", "/tmp");
    bool trouble = environment("TROUBLE", "1") != "0";
    try {
        Record record(folder + "/record.txt");
        std::mutex mutex;
        std::vector<Asked> asked;
        auto answer = [&](const Asked& one) {
            {
                std::lock_guard lock(mutex);
                asked.push_back(one);
            }
            return Cache::whole("200 OK",
                                text("X-Tag: %s\r\nX-Minted: %lld\r\nX-Tell: HIT\r\nX-Ttfb: 20\r\nX-Report: "
                                     "inflight:1;util:0.4;x0:0.7\r\n",
                                     one.object.c_str(), static_cast<long long>(now() / ms)),
                                one.object, 20 * ms);
        };
        std::vector<std::unique_ptr<Cache>> caches;
        std::vector<Place> places;
        auto add = [&](std::uint32_t id, int zone, int kind, double weight) {
            static const char* zones[] = {"central", "branch-1"};
            static const char* kinds[] = {"small-box", "large-box", "parent", "origin"};
            caches.push_back(std::make_unique<Cache>(id, answer));
            places.push_back(
                {{id, caches.back()->port(), 0, zone, kind, zone, weight, 0}, zones[zone], kinds[kind]});
        };
        for (std::uint32_t id = 1; id <= 6; id++) add(id, 1, id % 2 ? 0 : 1, 6);
        for (std::uint32_t id : {16U, 17U}) add(id, 0, 2, 40);
        add(32, 0, 3, 40);
        Coordinator coordinator(1);
        auto door = std::make_unique<Proxy>(coordinator.port());
        int at = door->port();
        std::vector<std::unique_ptr<Router>> routers;
        std::vector<std::unique_ptr<Clients>> clients;
        for (int i = 0; i < 2; i++) {
            auto name = text("n%d", i), file = temporary + "/" + name + ".json";
            int port = free_port();
            write_file(file, configuration({name, port, at, known(places), bureau_network(i), 64, 512}));
            routers.push_back(
                std::make_unique<Router>(run, name, port, file, temporary + "/" + name + ".log"));
        }
        for (auto& r : routers) {
            if (!Clients::ready(r->port, 20)) return 2;
            clients.push_back(std::make_unique<Clients>(r->port, 6, record, "clients of " + r->name));
            clients.back()->ask(
                60,
                [](std::mt19937_64& chance) {
                    return Fields{{"c", "term-pages"}, {"d", "2500"},  {"o", hex(0x1000 + chance() % 400)},
                                  {"part", "0"},       {"group", "7"}, {"m", "300"}};
                },
                clients.size());
        }
        std::this_thread::sleep_for(std::chrono::seconds(3));
        Micros down = now();
        if (trouble) {
            record.line("discovery is down");
            door.reset();
        }
        sleep_until(down + 300 * ms);
        auto drained = places[0].entry;
        drained.state = 1;
        Micros told = coordinator.tell(drained);
        record.line("the drain of %s is in the coordinator", cache_name(drained.id).c_str());
        sleep_until(down + 8 * second);
        if (trouble) {
            door = std::make_unique<Proxy>(coordinator.port(), at);
            record.line("discovery is back");
        }
        sleep_until(down + 14 * second);
        for (auto& c : clients) {
            c->end();
            c->close();
        }
        Micros bound = told + (7000 + 250 + 50) * ms;
        int late = 0;
        Micros last = 0;
        std::lock_guard lock(mutex);
        for (auto& one : asked)
            if (one.cache == drained.id && one.first_byte > bound) {
                late++;
                last = one.first_byte;
                record.line("RULE drain: %s to %s, %.3f s after the bound", one.id.c_str(),
                            cache_name(one.cache).c_str(), double(one.first_byte - bound) / second);
            }
        std::printf("%s: %d requests to the box later than the bound, the last by %.3f s\n",
                    late ? "BROKEN" : "held", late, late ? double(last - bound) / second : 0.0);
        return late ? 1 : 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "could not run: %s\n", error.what());
        return 2;
    }
}
