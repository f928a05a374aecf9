// A box is replaced, and the new one has the address of the old. A router is killed and started again, and
// then the new box begins to drain. Does the router that was started again stop sending to it in time?
#include "../stand/control.hpp"

using namespace stand;

int main(int count, char** words) {
    if (count < 3) return 2;
    std::string folder = words[1], run = words[2], temporary = environment("TMPDIR", "/tmp");
    bool trouble = environment("TROUBLE", "1") != "0";
    // PROTOCOL.md: told 7 s after it is in the coordinator at the latest; each limit 50 ms more.
    // partner-schools: nothing new 2 s after it was told.
    constexpr Micros told_by = 7 * second, grace = 2 * second, slack = 50 * ms;
    constexpr std::uint32_t old_box = 3, new_box = 7;
    try {
        Record record(folder + "/record.txt");
        std::mutex mutex;
        std::vector<std::pair<int, Asked>> asked;  // by the port at which it came
        std::vector<std::unique_ptr<Cache>> caches;
        std::vector<Place> places;
        auto answer = [&](int* port) {
            return [&, port](const Asked& one) {
                std::lock_guard lock(mutex);
                asked.emplace_back(*port, one);
                record.line("port %d (%s): asked %s %s/%s/%d of %s parent %s", *port,
                            cache_name(one.cache).c_str(), one.id.c_str(), one.kind.c_str(),
                            one.object.c_str(), one.part, one.host.c_str(), one.parent.c_str());
                return Cache::whole("200 OK",
                                    text("X-Tag: %s\r\nX-Minted: %lld\r\nX-Tell: HIT\r\n"
                                         "X-Report: inflight:1;x1:0.1\r\n",
                                         one.object.c_str(), static_cast<long long>(now() / ms)),
                                    one.kind + "/" + one.object, 10 * ms);
            };
        };
        std::deque<int> ports;
        auto add = [&](std::uint32_t id, int zone, int kind, double weight) {
            static const char* zones[] = {"central", "school-1"};
            static const char* kinds[] = {"small-box", "large-box", "parent", "origin"};
            auto& port = ports.emplace_back(0);
            caches.push_back(std::make_unique<Cache>(id, answer(&port)));
            port = caches.back()->port();
            places.push_back({{id, port, 0, zone, kind, zone, weight, 0}, zones[zone], kinds[kind]});
        };
        for (std::uint32_t id = 1; id <= 4; id++) add(id, 1, 0, 12);
        for (std::uint32_t id : {16U, 17U}) add(id, 0, 2, 40);
        add(32, 0, 3, 40);

        Coordinator coordinator(1);
        ControlService control(record);
        write_file(temporary + "/operate.json",
                   text(R"({"control": {"services": ["127.0.0.1:%d"]}})", control.port()));
        // The operators publish the school's boxes, as the coordinator lists them.
        control.publish(1, {places[0], places[1], places[2], places[3]});
        std::vector<std::unique_ptr<Router>> routers(3);
        std::vector<int> at = {free_port(), free_port(), free_port()};
        auto start = [&](int i, int last) {
            auto name = text("n%d", i), file = temporary + "/" + name + ".json";
            write_file(file, configuration({name, at[i], coordinator.port(), known(places, last),
                                            partner_schools(i, 1, 2)}));
            routers[i] = std::make_unique<Router>(run + " --operate " + temporary + "/operate.json", name,
                                                  at[i], file, temporary + "/" + name + ".log");
            if (!Clients::ready(at[i], 20)) throw std::runtime_error(name + " is not ready");
        };
        std::list<Clients> clients;
        auto ask = [&](int i) {
            auto& one = clients.emplace_back(at[i], 6, record, text("clients of n%d", i));
            one.ask(
                50,
                [](std::mt19937_64& chance) {
                    return Fields{
                        {"c", "timetable-page"}, {"d", "2500"},  {"o", hex(0x1000 + chance() % 400)},
                        {"part", "0"},           {"group", "7"}, {"m", "450"}};
                },
                clients.size());
            return &one;
        };
        for (int i = 0; i < 3; i++) start(i, 1);
        std::vector<Clients*> of = {ask(0), ask(1), ask(2)};
        std::this_thread::sleep_for(std::chrono::seconds(4));
        if (control.said().size() < 3) throw std::runtime_error("version 1 was not acknowledged by all");

        // Box 3 ends, and box 7 starts at its address.
        auto gone = places[2].entry;
        int port = gone.port;
        gone.state = 2;
        caches[2]->stop();
        ports[2] = port;
        caches[2] = std::make_unique<Cache>(new_box, answer(&ports[2]), port);
        places[2].entry.id = new_box;
        places[2].entry.started = now();
        coordinator.tell(2, Coordinator::record(places[2].entry) + Coordinator::record(gone));
        record.line("coordinator: %s has gone, %s is in service at its address, port %d",
                    cache_name(old_box).c_str(), cache_name(new_box).c_str(), port);
        std::this_thread::sleep_for(std::chrono::seconds(4));

        if (trouble) {
            record.line("n0 is killed");
            of[0]->end();
            routers[0]->signal(SIGKILL);
            of[0]->close();
            std::this_thread::sleep_for(std::chrono::seconds(3));
            start(0, 2);
            record.line("n0 is started again; its list holds %s and not %s", cache_name(new_box).c_str(),
                        cache_name(old_box).c_str());
            of[0] = ask(0);
        } else {
            std::this_thread::sleep_for(std::chrono::seconds(3));
        }
        std::this_thread::sleep_for(std::chrono::seconds(4));

        auto drains = places[2].entry;
        drains.state = 1;
        Micros told = coordinator.tell(drains), bound = told + told_by + grace + slack;
        record.line("coordinator: %s is terminating", cache_name(new_box).c_str());
        std::this_thread::sleep_for(std::chrono::seconds(15));
        for (auto* one : of) one->end();
        std::this_thread::sleep_for(std::chrono::seconds(1));

        int broken = 0, as_old = 0;
        Micros last = 0;
        {
            std::lock_guard lock(mutex);
            for (auto& [where, one] : asked) {
                if (where != port || one.first_byte <= bound) continue;
                last = std::max(last, one.first_byte);
                as_old += one.host == cache_name(old_box);
                if (broken++ < 5)
                    record.line("RULE drain: %s came to port %d, for %s, %.2f s after the event",
                                one.id.c_str(), port, one.host.c_str(),
                                static_cast<double>(one.first_byte - told) / second);
            }
        }
        for (auto& one : clients) {
            one.close();
            one.write_down();
        }
        for (auto& router : routers)
            if (router->ended()) throw std::runtime_error(router->name + " has ended by itself");
        auto said = text(
            "%s: %d requests to the draining box later than 9.05 s after the event, %d of them "
            "for the box that had gone, the last %.2f s after it",
            broken ? "BROKEN" : "held", broken, as_old,
            broken ? static_cast<double>(last - told) / second : 0);
        record.line("%s", said.c_str());
        std::printf("%s\n", said.c_str());
        return broken ? 1 : 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "could not run: %s\n", error.what());
        return 2;
    }
}
