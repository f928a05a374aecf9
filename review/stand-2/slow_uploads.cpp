// Whether orders get their final answers while other clients write theirs slowly. Called with the folder of
// the record and a temporary one.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr int uploads = 32, pieces = 235, orders = 16;
constexpr std::size_t upload_bytes = 235'000, order_bytes = 60'000;
constexpr std::int64_t apart_ms = 40, wait_ms = 3000, order_every_ms = 500, slack_ms = 550, lead_ms = 3000;

std::string call(std::int32_t seq, const std::string& type, std::uint64_t id, std::size_t body) {
    return invoke(seq,
                  {{"c", type},
                   {"i", hex(id, 16)},
                   {"d", std::to_string(wait_ms)},
                   {"o", hex(0x3000 + id % 997, 16)},
                   {"part", "0"},
                   {"group", "3"},
                   {"m", "40"}},
                  std::string(body, 'x'));
}

}  // namespace

int main(int, char** argv) {
    Record record(std::string(argv[1]) + "/record.txt");
    std::atomic<int> ran{0};
    auto answer = [&](Cache&, const Request& request, int) -> std::optional<std::string> {
        if (auto word = probe_reply(request)) return word;
        if (request.path.find("order-submit") != std::string::npos) ran++;
        return reply(200, "done " + request.path, copy_fields("HIT"));
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
    site.memory_mb = 32;
    site.sockets = 256;
    router.write(configuration(site, "n1", router.port, coordinator.port, entries));
    router.start();
    bool slow = trouble();
    std::atomic<int> lost_uploads{0}, lost_orders{0}, late_orders{0}, answered{0};
    std::vector<std::thread> threads;
    for (int i = 1; i <= uploads; i++)
        threads.emplace_back([&, i] {
            sleep_ms(lead_ms + 20 * i);
            Client client(router.port);
            client.write(call(1, "term-pages", 0x100000u + static_cast<unsigned>(i), 0));
            if (!client.read(4000)) record.line("upload %d: its first request was not answered", i);
            auto text = call(2, "order-submit", 0x200000u + static_cast<unsigned>(i), upload_bytes);
            std::size_t size = slow ? (text.size() + pieces - 1) / pieces : text.size();
            bool written = true;
            for (std::size_t at = 0; written && at < text.size(); at += size) {
                if (at > 0) sleep_ms(apart_ms);
                written = client.write(text.substr(at, size));
            }
            auto done = now_ms();
            auto got = client.read(wait_ms + slack_ms);
            record.line("upload %d: %s, %s %lld ms later", i, written ? "written whole" : "cut off",
                        got              ? word_of(got->kind)
                        : client.ended() ? "closed without an answer"
                                         : "no answer",
                        static_cast<long long>(now_ms() - done));
            if (written && !got) lost_uploads++;
        });
    for (int i = 1; i <= orders; i++)
        threads.emplace_back([&, i] {
            sleep_ms(lead_ms + 1000 + order_every_ms * i);
            Client client(router.port);
            bool written =
                client.write(call(1, "order-submit", 0x300000u + static_cast<unsigned>(i), order_bytes));
            auto done = now_ms();
            auto got = client.read(12'000);
            auto took = now_ms() - done;
            record.line("order %d: %s, %s %lld ms later", i, written ? "written whole" : "cut off",
                        got              ? word_of(got->kind)
                        : client.ended() ? "closed without an answer"
                                         : "no answer",
                        static_cast<long long>(took));
            if (written && !got) lost_orders++;
            if (got && took > wait_ms + slack_ms) late_orders++;
            if (got) answered++;
        });
    // The other lookups, of which orders are under 3.1% in all.
    std::atomic<bool> stop{false};
    std::atomic<int> lookups{0}, none{0};
    std::vector<std::thread> others;
    for (int i = 0; i < 2; i++)
        others.emplace_back([&, i] {
            Client client(router.port);
            for (std::int32_t seq = 1; !stop; seq++) {
                client.write(call(seq, "term-pages",
                                  (0x400000u + static_cast<unsigned>(i)) << 20 | static_cast<unsigned>(seq),
                                  0));
                client.read(wait_ms + slack_ms) ? lookups++ : none++;
                sleep_ms(11);
            }
        });
    for (auto& thread : threads) thread.join();
    stop = true;
    for (auto& thread : others) thread.join();
    record.line("other lookups answered: %d, not: %d", lookups.load(), none.load());
    if (!router.running()) finish(record, broken, "the router has ended");
    record.line(
        "orders answered %d, never %d, after half a second past their time %d; uploads lost %d; ran %d",
        answered.load(), lost_orders.load(), late_orders.load(), lost_uploads.load(), ran.load());
    int lost = lost_orders + late_orders;
    if (lost + lost_uploads > 0)
        finish(record, broken,
               std::to_string(lost) + " orders and " + std::to_string(lost_uploads.load()) +
                   " slow uploads got no final answer in time");
    finish(record, held, "every order got its final answer");
}
