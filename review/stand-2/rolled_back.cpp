// Whether a drain that a version of streamed configuration tells is kept while the origin turns fills away.
// Called with the folder of the record and a temporary one.
#include "control.hpp"

using namespace stand;

int main(int, char** argv) {
    Record record(std::string(argv[1]) + "/record.txt");
    constexpr std::int64_t drain_at = 27'000, trouble_at = 30'000, trouble_for = 8000, end_at = 45'000;
    constexpr std::int64_t grace = 2000, slack = 50;
    std::atomic<bool> turned_away{false};
    std::atomic<std::int64_t> limit{0};
    std::array<std::atomic<int>, 8> asked{};
    std::atomic<int> late{0};
    auto answer = [&](Cache& cache, const Request& request, int) -> std::optional<std::string> {
        if (auto word = probe_reply(request)) return word;
        asked[cache.id]++;
        if (cache.id == 1 && limit > 0 && request.began > limit && late++ < 20)
            record.line("box 1 gets %s, %lld ms after its last permitted moment", request.path.c_str(),
                        static_cast<long long>(request.began - limit));
        // Three objects in ten are not held by any box, and are filled from the origin.
        bool miss =
            (std::strtoull(request.path.c_str() + request.path.find("/00") + 1, nullptr, 16) % 10) < 3;
        if (miss && turned_away) return reply(503, "", "X-No-Effect: 1\r\n");
        return reply(200, "page", copy_fields(miss ? "MISS" : "HIT"));
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
    ControlService control(record);
    control.publish(1, entries);
    Router router(record, argv[2], "n1");
    router.write(configuration({}, "n1", router.port, coordinator.port, entries));
    auto operate = std::string(argv[2]) + "/operate.json";
    std::ofstream(operate) << "{\"control\": {\"services\": [\"127.0.0.1:" << control.port << "\"]}}\n";
    router.options = " --operate " + operate;
    router.start();
    auto begun = now_ms();
    Client client(router.port);
    std::map<std::string, int> ends;
    std::uint64_t object = 0x1000;
    bool drained = false, told = false;
    for (std::int32_t seq = 1; now_ms() - begun < end_at; seq++) {
        auto now = now_ms() - begun;
        if (!drained && now >= drain_at) {
            drained = true;
            entries[0].state = terminating;
            control.publish(2, entries);
            record.line("version 2 says that box 1 drains, and no later one says otherwise");
        }
        auto acks = control.acknowledged();
        if (!told && drained && !acks.empty() && acks.back() == "2") {
            told = true;
            limit = now_ms() + grace + slack;
        }
        bool away = trouble() && now >= trouble_at && now < trouble_at + trouble_for;
        if (away != turned_away)
            record.line("the origin %s", away ? "turns fills away" : "takes fills again");
        turned_away = away;
        client.write(invoke(seq, {{"c", "timetable-page"},
                                  {"i", hex(0x7000000000 + static_cast<std::uint64_t>(seq), 16)},
                                  {"d", "3000"},
                                  {"o", hex(object++, 16)},
                                  {"part", "0"},
                                  {"group", "3"},
                                  {"m", "40"}}));
        auto got = client.read(4000);
        ends[got ? word_of(got->kind) : "no answer"]++;
        if (!got) break;
        sleep_ms(12);
    }
    if (!router.running()) finish(record, could_not_run, "the router has ended");
    for (auto& [word, count] : ends) record.line("lookups %s: %d", word.c_str(), count);
    for (std::uint32_t id = 1; id <= 4; id++) record.line("box %u was asked %d times", id, asked[id].load());
    if (!told) finish(record, could_not_run, "the router did not acknowledge the drain");
    if (late > 0)
        finish(record, broken,
               std::to_string(late) + " requests came to a box 2 s after it was told to drain");
    finish(record, held, "nothing came to the draining box after its time");
}
