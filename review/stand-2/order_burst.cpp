// Whether a router keeps within its memory while clients send four large orders at once each. Called with
// the folder of the record and a temporary one.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr int clients = 208, each = 4, memory_mb = 32, sockets = 640;
constexpr std::size_t order_bytes = 239'000;
constexpr std::int64_t burst_at = 20'000, end_at = 66'000, wait_ms = 3000, ahead_ms = 500;

// What is the process's own, in kB.
long own_memory(pid_t pid) {
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    std::string line;
    while (std::getline(status, line))
        if (line.rfind("RssAnon:", 0) == 0) return std::atol(line.c_str() + 8);
    return 0;
}

}  // namespace

int main(int, char** argv) {
    Record record(std::string(argv[1]) + "/record.txt");
    auto answer = [&](Cache&, const Request& request, int) -> std::optional<std::string> {
        if (auto word = probe_reply(request)) return word;
        return reply(200, "done", copy_fields("HIT"));
    };
    std::vector<std::unique_ptr<Cache>> caches;
    std::vector<Entry> entries;
    for (std::uint32_t id = 1; id <= 6; id++) {
        caches.push_back(std::make_unique<Cache>(id, answer));
        int kind = id <= 4 ? 0 : id == 5 ? 1 : 2;
        entries.push_back({id, caches.back()->port, in_service, kind == 0 ? 1 : 0, kind,
                           kind == 0 ? static_cast<int>(id) : 0, 6000});
    }
    Coordinator coordinator(record, 1);
    Router router(record, argv[2], "n1");
    Site site;  // in what matters here, that of bureau-network
    site.parts = "video-parts";
    site.pages = "term-pages";
    site.probes = "false";
    site.drain_grace_ms = 250;
    site.purge_grace_ms = 500;
    site.memory_mb = memory_mb;
    site.sockets = sockets;
    router.write(configuration(site, "n1", router.port, coordinator.port, entries));
    router.start();
    auto begun = now_ms();
    auto at = [&] { return now_ms() - begun; };
    std::atomic<std::uint64_t> ids{0x8000000};
    auto call = [&](std::int32_t seq, const std::string& type, std::size_t body) {
        auto id = ids++;
        return invoke(seq,
                      {{"c", type},
                       {"i", hex(id, 16)},
                       {"d", std::to_string(wait_ms)},
                       {"o", hex(0x3000 + id % 997, 16)},
                       {"part", "0"},
                       {"group", "3"},
                       {"m", "40"}},
                      std::string(body, 'x'));
    };
    std::atomic<bool> over{false};
    std::atomic<int> lookups{0}, orders{0}, answered{0}, refused{0};
    std::atomic<long> most{0};
    std::thread platform([&] {  // kills what is over its memory, as DEPLOY says
        while (!over) {
            auto now = own_memory(router.pid);
            if (now > most) most = now;
            if (now > memory_mb * 1024L) {
                record.line("the router holds %ld kB of its own, %d MB are allowed: killed", now, memory_mb);
                router.signal(SIGKILL);
                over = true;
            }
            sleep_ms(1);
        }
    });
    std::vector<std::thread> pages;
    for (int i = 0; i < 4; i++)
        pages.emplace_back([&] {
            Client client(router.port);
            for (std::int32_t seq = 1; at() < end_at && !over; seq++) {
                if (!client.write(call(seq, "term-pages", 0)) || !client.read(wait_ms + 500)) break;
                lookups++;
                sleep_ms(5);
            }
        });
    std::vector<std::thread> threads;
    for (int i = 0; i < clients; i++)
        threads.emplace_back([&, i] {
            // At once: four orders in one write, all clients at the same moment. Else one by one, over a
            // minute.
            for (int k = 0; k < (trouble() ? 1 : each); k++) {
                auto due =
                    trouble() ? burst_at : 1000 + (end_at - 5000) * (k * clients + i) / (clients * each);
                int count = trouble() ? each : 1;
                std::string text;
                for (int n = 1; n <= count; n++) text += call(n, "order-submit", order_bytes);
                // Ready beforehand, so that what is written at once does not hang on this machine's speed.
                while (at() < due - ahead_ms && !over) sleep_ms(20);
                if (over) return;
                Client client(router.port);
                while (at() < due && !over) sleep_ms(1);
                if (over) return;
                orders += count;
                std::thread writer([&] { client.write(text); });
                for (int n = 1; n <= count; n++)
                    if (auto got = client.read(wait_ms + 550)) {
                        answered++;
                        refused += got->kind == Answered::Kind::refused;
                    }
                client.stop();
                writer.join();
            }
        });
    for (auto& thread : threads) thread.join();
    for (auto& thread : pages) thread.join();
    bool killed = over.exchange(true);
    platform.join();
    record.line("most memory of its own: %ld kB of %d kB; lookups %d, orders %d, answered %d (refused %d)",
                most.load(), memory_mb * 1024, lookups.load(), orders.load(), answered.load(),
                refused.load());
    if (killed)
        finish(record, broken,
               "the router went over its memory and was killed, " + std::to_string(orders - answered) +
                   " orders had no answer");
    if (!router.running()) finish(record, broken, "the router has ended");
    if (lookups < 30'000) finish(record, could_not_run, "too few lookups");
    finish(record, held, "the router kept within its memory: " + std::to_string(most.load()) + " kB at most");
}
