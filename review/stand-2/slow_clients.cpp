// Whether lookups of clients that write slowly get their final answers: each writes its request in twelve
// pieces, 250 ms apart, on a connection of its own. Called with the folder of the record and a temporary one.
#include "stand.hpp"

using namespace stand;

namespace {

constexpr int clients = 8, pieces = 12;
constexpr std::int64_t apart_ms = 250, wait_ms = 3000, slack_ms = 550;

struct Seen {
    bool whole = false;  // its last byte was written
    bool answered = false;
    std::int64_t ended_ms = 0;  // when the router had closed, from connecting; 0: it had not
};

// One try: connects, writes, and waits for the answer until half a second and 50 ms after its time.
Seen ask(Record& record, std::uint16_t port, int number, int attempt, bool slow) {
    Seen seen;
    Client client(port);
    auto connected = now_ms();
    auto id = 0x5000000000u + static_cast<std::uint64_t>(number) * 16 + static_cast<std::uint64_t>(attempt);
    auto text = invoke(1, {{"c", "timetable-page"},
                           {"i", hex(id, 16)},
                           {"d", std::to_string(wait_ms)},
                           {"o", hex(0x2000 + static_cast<std::uint64_t>(number), 16)},
                           {"part", "0"},
                           {"group", "3"},
                           {"m", "40"}});
    auto close_seen = [&] {
        auto read = client.read(2);
        if (read) seen.answered = true;
        if (client.ended() && seen.ended_ms == 0) {
            seen.ended_ms = now_ms() - connected;
            record.line("client %d, try %d: the router closed %lld ms after connecting", number, attempt,
                        static_cast<long long>(seen.ended_ms));
        }
    };
    std::size_t size = slow ? (text.size() + pieces - 1) / pieces : text.size();
    bool taken = client.connected();
    for (std::size_t at = 0; taken && at < text.size(); at += size) {
        if (at > 0) sleep_ms(apart_ms - 2);
        close_seen();
        taken = client.write(text.substr(at, size));
    }
    seen.whole = taken;
    record.line("client %d, try %d: %s %lld ms after connecting", number, attempt,
                taken ? "last byte written" : "a piece could not be written, the connection is reset",
                static_cast<long long>(now_ms() - connected));
    auto answer = client.read(wait_ms + slack_ms);
    close_seen();
    if (answer) seen.answered = true;
    record.line("client %d, try %d: %s", number, attempt, answer ? word_of(answer->kind) : "no answer");
    return seen;
}

}  // namespace

int main(int, char** argv) {
    Record record(std::string(argv[1]) + "/record.txt");
    auto answer = [&](Cache& cache, const Request& request, int) -> std::optional<std::string> {
        if (auto word = probe_reply(request)) return word;
        record.line("cache %u is asked %s", cache.id, request.path.c_str());
        return reply(200, "page of " + request.path, copy_fields("HIT"));
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
    router.write(configuration({}, "n1", router.port, coordinator.port, entries));
    router.start();
    bool slow = trouble();
    record.line("clients write %s", slow ? "slowly" : "at once");
    std::atomic<int> lost{0};
    std::vector<std::thread> threads;
    for (int i = 1; i <= clients; i++)
        threads.emplace_back([&, i] {
            sleep_ms(100 * i);
            auto first = ask(record, router.port, i, 1, slow);
            if (first.answered) return;
            // Fair to a close that the request crossed: sent again on a new connection, once.
            auto second = ask(record, router.port, i, 2, slow);
            if (!second.answered && (first.whole || second.whole)) lost++;
        });
    for (auto& thread : threads) thread.join();
    if (!router.running()) finish(record, could_not_run, "the router has ended");
    record.line("requests without a final answer: %d of %d", lost.load(), clients);
    if (lost > 0)
        finish(record, broken,
               std::to_string(lost) + " of " + std::to_string(clients) + " requests got no final answer");
    finish(record, held, "every request got its final answer");
}
