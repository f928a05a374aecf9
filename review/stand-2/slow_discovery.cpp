// Whether a router keeps a drain while discovery is slow: the coordinator takes each connection at once, and
// its first word on it comes 3 s later. Called with the folder of the record and a temporary one.
#include <array>

#include "stand.hpp"

using namespace stand;

int main(int, char** argv) {
    Record record(std::string(argv[1]) + "/record.txt");
    constexpr std::int64_t slow_ms = 3000, drain_at = 5000, end_at = 22'000;
    constexpr std::int64_t told_at_latest = 7000, grace = 2000, longer = 50;
    Site site;
    std::array<std::atomic<std::int64_t>, 8> last{};
    std::array<std::atomic<int>, 8> asked{}, late{};
    std::atomic<std::int64_t> limit{0};  // Unix ms after which nothing may come to box 1
    auto answer = [&](Cache& cache, const Request& request, int) -> std::optional<std::string> {
        if (cache.id == 1 && limit > 0 && request.began > limit) {
            late[1]++;
            if (late[1] <= 20)
                record.line("box 1 gets %s %s, %lld ms after its last permitted moment",
                            request.method.c_str(), request.path.c_str(),
                            static_cast<long long>(request.began - limit));
        }
        if (auto word = probe_reply(request)) return word;
        asked[cache.id]++;
        last[cache.id] = request.began;
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
    if (trouble()) coordinator.slow_ms = slow_ms;
    record.line("discovery's first word on a connection comes after %lld ms",
                static_cast<long long>(coordinator.slow_ms.load()));
    Router router(record, argv[2], "n1");
    router.write(configuration(site, "n1", router.port, coordinator.port, entries));
    router.start();
    auto begun = now_ms();
    Client client(router.port);
    std::map<std::string, int> ends;
    std::int32_t seq = 0;
    std::uint64_t object = 0x1000;
    bool drained = false;
    while (now_ms() - begun < end_at) {
        if (!drained && now_ms() - begun >= drain_at) {
            drained = true;
            auto gone = entries[0];
            gone.state = terminating;
            coordinator.changes({gone});
            limit = now_ms() + told_at_latest + grace + longer;
            record.line(
                "the coordinator holds the drain of box 1; it counts as told in 7 s at the latest, and "
                "nothing may be sent there from 2.05 s later on");
        }
        Fields fields{{"c", "timetable-page"},
                      {"i", hex(0x7000000000 + static_cast<std::uint64_t>(seq), 16)},
                      {"d", "3000"},
                      {"o", hex(object++, 16)},
                      {"part", "0"},
                      {"group", "3"},
                      {"m", "40"}};
        if (!client.write(invoke(++seq, fields))) break;
        auto answered = client.read(4000);
        ends[answered ? word_of(answered->kind) : "no answer"]++;
        if (!answered) break;
        sleep_ms(15);
    }
    if (!router.running()) finish(record, could_not_run, "the router has ended");
    for (auto& [word, count] : ends) record.line("lookups %s: %d", word.c_str(), count);
    for (std::uint32_t id = 1; id <= 6; id++)
        record.line("cache %u was asked %d times, last %.3f s after the start of the load", id,
                    asked[id].load(), static_cast<double>(last[id] - begun) / 1000);
    record.line("connections to discovery: %d", coordinator.asked.load());
    if (ends["served"] < 200) finish(record, could_not_run, "too few lookups were served");
    if (late[1] > 0)
        finish(record, broken, std::to_string(late[1]) + " requests came to a draining box after its time");
    finish(record, held, "nothing came to the draining box after its time");
}
