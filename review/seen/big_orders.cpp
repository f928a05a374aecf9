// Bad clients send half a request each, at full speed, and wait. Orders of the usual clients, which must
// never run twice, come beside them with their documents. Does each order that was taken get its final
// answer?
#include "../stand/site.hpp"

using namespace stand;

namespace {

constexpr Micros slack = 50 * ms, answer_bound = 500 * ms, crossing = 50 * ms;
constexpr std::size_t document = 200'000, half = 150'000;

struct Order {
    std::string id;
    Micros taken = 0, due = 0, ended = 0;
    int tries = 0;
    bool answered = false, whole = false;
    std::string end = "no answer";
};

// One order on a connection of its own: written whole, then waited for. A connection that ends within 50 ms
// of its last byte has crossed a close, and the order is sent again on a new one, once.
Order place(int port, const Fields& fields, const std::string& body) {
    Order order;
    order.id = fields.at("i");
    for (order.tries = 1; order.tries <= 2; order.tries++) {
        int fd = connect_to(port);
        if (fd < 0) {
            order.end = "not let in";
            return order;
        }
        order.whole = send_all(fd, invoke(1, fields, body));
        order.taken = now();
        order.due = order.taken + std::atoll(fields.at("d").c_str()) * ms;
        if (!order.whole) {
            ::close(fd);
            order.end = "not written whole";
            return order;
        }
        std::string held;
        char piece[4096];
        timeval wait{4, 0};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
        for (;;) {
            auto got = ::recv(fd, piece, sizeof piece, 0);
            if (got <= 0) {
                order.end = got == 0 ? "closed" : errno == EAGAIN ? "silence" : "reset";
                break;
            }
            held.append(piece, static_cast<std::size_t>(got));
            if (held.size() < 4 || held.size() < 4 + number(held, 4)) continue;
            order.end = name_of(read_answer(std::string_view(held).substr(4)).end);
            order.answered = true;
            break;
        }
        order.ended = now();
        ::close(fd);
        if (order.answered || order.ended - order.taken > crossing) return order;
    }
    order.tries = 2;
    return order;
}

}  // namespace

int main(int count, char** words) {
    if (count < 3) return 2;
    std::string folder = words[1], run = words[2], temporary = environment("TMPDIR", "/tmp");
    bool trouble = environment("TROUBLE", "1") != "0";
    try {
        Record record(folder + "/record.txt");
        std::mutex mutex;
        std::map<std::string, int> ran;
        auto answer = [&](const Asked& one) {
            bool order = one.kind == "order-submit";
            record.line("cache %s: asked %s %s/%s/%d parent %s", cache_name(one.cache).c_str(),
                        one.id.c_str(), one.kind.c_str(), one.object.c_str(), one.part, one.parent.c_str());
            if (order) {
                std::lock_guard lock(mutex);
                ran[one.id]++;
            }
            return Cache::whole(
                "200 OK",
                text("X-Tag: %s\r\nX-Minted: %lld\r\nX-Tell: %s\r\nX-Ttfb: 60\r\n"
                     "X-Report: inflight:1;util:0.4;x0:0.7\r\n",
                     one.object.c_str(), static_cast<long long>(now() / ms), order ? "MISS_ORIGIN" : "HIT"),
                one.kind + "/" + one.object, order ? 100 * ms : 20 * ms);
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
        for (std::uint32_t id = 1; id <= 6; id++) add(id, 1, id % 2 ? 0 : 1, 12);
        for (std::uint32_t id : {16U, 17U}) add(id, 0, 2, 40);
        add(32, 0, 3, 40);
        Coordinator coordinator(1);
        std::vector<std::unique_ptr<Router>> routers;
        for (int i = 0; i < 2; i++) {
            auto name = text("n%d", i), file = temporary + "/" + name + ".json";
            int port = free_port();
            write_file(file, configuration({name, port, coordinator.port(), known(places), bureau_network(i),
                                            32, 256}));
            routers.push_back(
                std::make_unique<Router>(run, name, port, file, temporary + "/" + name + ".log"));
        }
        for (auto& router : routers)
            if (!Clients::ready(router->port, 20)) {
                std::fprintf(stderr, "%s is not ready\n", router->name.c_str());
                return 2;
            }
        // The usual clients: lookups on six connections at each router, and orders.
        std::vector<std::unique_ptr<Clients>> clients;
        for (auto& router : routers) {
            clients.push_back(
                std::make_unique<Clients>(router->port, 6, record, "clients of " + router->name));
            clients.back()->ask(
                40,
                [](std::mt19937_64& chance) {
                    return Fields{{"c", "term-pages"}, {"d", "2500"},  {"o", hex(0x1000 + chance() % 400)},
                                  {"part", "0"},       {"group", "7"}, {"m", "300"}};
                },
                clients.size());
        }
        std::atomic<bool> over = false;
        std::vector<Order> orders;
        std::list<std::thread> threads;
        // 1.5 orders a second at each router.
        for (auto& router : routers)
            threads.emplace_back([&, port = router->port, seed = 100 + threads.size()] {
                std::mt19937_64 chance(seed);
                std::string body(document, 'd');
                std::list<std::thread> placed;
                for (Micros at = now(); !over; at += 660 * ms) {
                    sleep_until(at);
                    if (over) break;
                    Fields fields{{"c", "order-submit"}, {"d", "3000"}, {"o", hex(chance())}, {"part", "0"},
                                  {"group", "9"},        {"m", "100"},  {"i", hex(chance())}};
                    placed.emplace_back([&, fields, port] {
                        auto order = place(port, fields, body);
                        std::lock_guard lock(mutex);
                        orders.push_back(order);
                    });
                }
                for (auto& one : placed) one.join();
            });
        std::this_thread::sleep_for(std::chrono::seconds(3));
        // At most 70 bad clients at each router at any time: half a request at full speed, then what comes is
        // read until the router closes, or for 2 s, and a close; half a second later the next one connects.
        std::atomic<int> bad_clients = 0;
        if (trouble) {
            record.line("bad clients: up to 70 at each router from now on");
            for (auto& router : routers)
                for (int i = 0; i < 70; i++)
                    threads.emplace_back([&, port = router->port, i] {
                        std::string body(document, 'b');
                        std::this_thread::sleep_for(std::chrono::milliseconds(20 * i));
                        for (int turn = 0; !over; turn++) {
                            int fd = connect_to(port);
                            if (fd < 0) {
                                std::this_thread::sleep_for(std::chrono::milliseconds(50));
                                continue;
                            }
                            bad_clients++;
                            timeval wait{2, 0};
                            setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait);
                            auto whole = invoke(1, {{"c", "order-submit"}, {"d", "3000"}}, body);
                            send_all(fd, std::string_view(whole).substr(0, half));
                            char piece[512];
                            while (::recv(fd, piece, sizeof piece, 0) > 0) {
                            }
                            ::close(fd);
                            std::this_thread::sleep_for(std::chrono::milliseconds(500));
                        }
                    });
        }
        std::this_thread::sleep_for(std::chrono::seconds(15));
        over = true;
        for (auto& one : clients) one->end();
        for (auto& one : threads) one.join();

        int lost = 0, taken = 0, not_whole = 0, twice = 0;
        for (auto& order : orders) {
            record.line("order %s: %s after %.3f s, %d connections, ran %d times", order.id.c_str(),
                        order.end.c_str(), static_cast<double>(order.ended - order.taken) / second,
                        order.tries, ran[order.id]);
            if (!order.whole) {
                not_whole++;
                continue;
            }
            taken++;
            twice += ran[order.id] > 1;
            bool in_time = order.answered && order.ended <= order.due + slack + answer_bound;
            if (in_time) continue;
            lost++;
            record.line("RULE lost: order %s was written whole, its connection was ended with no answer (%s)",
                        order.id.c_str(), order.end.c_str());
        }
        for (auto& one : clients) {
            one->close();
            one->write_down();
        }
        for (auto& router : routers)
            if (router->ended()) {
                std::fprintf(stderr, "%s has ended by itself\n", router->name.c_str());
                return 2;
            }
        auto said = text("%s: of %d orders taken %d lost; %d not written whole; %d ran twice; %d bad clients",
                         lost ? "BROKEN" : "held", taken, lost, not_whole, twice, bad_clients.load());
        record.line("%s", said.c_str());
        std::printf("%s\n", said.c_str());
        return lost ? 1 : 0;
    } catch (const std::exception& error) {
        std::fprintf(stderr, "could not run: %s\n", error.what());
        return 2;
    }
}
