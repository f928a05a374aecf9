// Whether purges are kept while a fill takes long: a parent hangs in the middle of its answers to fills, goes
// on some seconds later, and finishes them. Called with the folder of the record and a temporary one.
#include <condition_variable>
#include <set>

#include "stand.hpp"

using namespace stand;

namespace {

constexpr int group = 17, objects = 24;
constexpr std::int64_t hang_at = 3000, purge_at = 3500, hang_for = 9500, ask_again_at = 11'000,
                       end_at = 17'000;
constexpr std::int64_t dropped_within = 2000;          // of a purge; the pages allow 6 s
constexpr std::int64_t purge_grace = 500, slack = 50;  // of bureau-network, and on sockets

struct Copy {
    std::int64_t minted = 0;
};

// Purges as the platform has them: path prefixes of objects, and when.
struct World {
    std::mutex mutex;
    std::condition_variable changed;
    std::set<std::string> purged;  // objects
    std::int64_t purged_ms = 0;    // Unix milliseconds, 0: not yet
    bool hung = false;             // the first parent
    std::map<std::string, Copy> parents[2];
    bool is_old(const std::string& object, const Copy& copy) const {
        return purged_ms > 0 && purged.contains(object) && copy.minted < purged_ms;
    }
};

std::string object_of(const std::string& path) { return path.substr(path.find('/', 6) + 1, 16); }

// One cache: holds copies, fills what it lacks from the parent that it is told, and lets others join.
struct Store {
    std::map<std::string, Copy> copies;
    std::set<std::string> under_way;
};

}  // namespace

int main(int, char** argv) {
    Record record(std::string(argv[1]) + "/record.txt");
    World world;
    std::map<std::uint32_t, Store> stores;
    for (std::uint32_t id = 1; id <= 4; id++) stores[id];
    std::atomic<std::int64_t> told_ms{0};
    std::atomic<int> broken_answers{0}, purged_answers{0};

    // The parent's answer to a fill: what it holds, or a new copy of the origin's. The one that hangs stops
    // in the middle of it and finishes it later.
    auto fetch = [&](int parent, const std::string& path) {
        std::unique_lock lock(world.mutex);
        auto found = world.parents[parent].find(path);
        bool holds = found != world.parents[parent].end() && !world.is_old(object_of(path), found->second);
        if (parent == 0 && world.hung) holds = false;  // it begins no answer meanwhile
        Copy copy = holds ? found->second : Copy{};
        lock.unlock();
        sleep_ms(150);  // so long an answer takes
        lock.lock();
        world.changed.wait(lock, [&] { return parent != 0 || !world.hung; });
        if (!holds) copy.minted = now_ms();
        world.parents[parent][path] = copy;
        return copy;
    };
    auto answer = [&](Cache& cache, const Request& request, int) -> std::optional<std::string> {
        if (auto word = probe_reply(request)) return word;
        auto field = [&](const char* name) {
            auto found = request.fields.find(name);
            return found == request.fields.end() ? std::string() : found->second;
        };
        auto limit = std::strtoll(field("x-fresh-ms").c_str(), nullptr, 10);
        auto until = request.whole + std::strtoll(field("x-budget").c_str(), nullptr, 10);
        auto& path = request.path;
        if (path.rfind("/data/term-pages/", 0) == 0) return reply(200, "page", copy_fields("HIT"));
        auto object = object_of(path);
        auto parent = field("x-parent") == "s-00000005" ? 0 : 1;
        auto& store = stores[cache.id];
        const char* note = "HIT";
        std::unique_lock lock(world.mutex);
        for (;;) {
            auto held = store.copies.find(path);
            if (held != store.copies.end() && (limit == 0 || request.began - held->second.minted <= limit)) {
                auto minted = held->second.minted;
                bool old = world.is_old(object, held->second);
                bool counts = told_ms > 0 && request.began > told_ms + purge_grace + slack && old;
                if (world.purged_ms > 0 && world.purged.contains(object)) {
                    purged_answers++;
                    if (counts) broken_answers++;
                    record.line(
                        "cache %u answers %s '%s' from a copy of %lld ms %s the purge; the request came "
                        "%lld ms after it was told, X-Fresh-Ms %s, X-Opts %s%s",
                        cache.id, path.c_str(), note,
                        static_cast<long long>(std::llabs(minted - world.purged_ms)),
                        old ? "before" : "after", static_cast<long long>(request.began - told_ms),
                        field("x-fresh-ms").c_str(), field("x-opts").c_str(),
                        counts ? ": the rule is broken" : "");
                }
                return reply(200, "minted " + std::to_string(minted), copy_fields(note, now_ms() - minted));
            }
            if (held != store.copies.end()) store.copies.erase(held);
            if (field("x-parent").empty()) return reply(404, "");
            if (store.under_way.contains(path)) {
                if (field("x-opts").find("ride") == std::string::npos)
                    return reply(503, "", "X-No-Effect: 1\r\n");
                note = "COLLAPSED";
            } else {
                store.under_way.insert(path);
                note = "MISS";
                std::thread([&, parent, path] {  // runs on when its client has left
                    auto copy = fetch(parent, path);
                    std::lock_guard done(world.mutex);
                    store.copies[path] = copy;
                    store.under_way.erase(path);
                    world.changed.notify_all();
                })
                    .detach();
            }
            while (store.under_way.contains(path)) {
                if (now_ms() >= until) return reply(500, "");
                world.changed.wait_for(lock, std::chrono::milliseconds(20));
            }
        }
    };
    std::vector<std::unique_ptr<Cache>> caches;
    std::vector<Entry> entries;
    for (std::uint32_t id = 1; id <= 7; id++) {
        caches.push_back(std::make_unique<Cache>(id, answer));
        int kind = id <= 4 ? 0 : id <= 6 ? 1 : 2;
        entries.push_back({id, caches.back()->port, in_service, kind == 0 ? 1 : 0, kind,
                           kind == 0 ? static_cast<int>(id) : 0, kind == 0 ? 6000u : 20'000u});
    }
    Coordinator coordinator(record, 1);
    Router router(record, argv[2], "n1");
    Site site;  // in what matters here, that of bureau-network
    site.parts = "video-parts";
    site.pages = "term-pages";
    site.probes = "false";
    site.joins = "true";
    site.drain_grace_ms = 250;
    site.purge_grace_ms = purge_grace;
    router.write(configuration(site, "n1", router.port, coordinator.port, entries));
    router.start();
    auto begun = now_ms();
    auto wait_until = [&](std::int64_t at) { sleep_ms(std::max<std::int64_t>(0, begun + at - now_ms())); };
    std::atomic<std::uint64_t> ids{0x8000000};
    auto ask = [&](Client& client, std::int32_t seq, const std::string& type, std::uint64_t object,
                   int wait) {
        return client.write(invoke(seq, {{"c", type},
                                         {"i", hex(ids++, 16)},
                                         {"d", std::to_string(wait)},
                                         {"o", hex(object, 16)},
                                         {"part", "0"},
                                         {"group", std::to_string(group)},
                                         {"m", "40"}}));
    };
    // What the parents hold was given out 20 s ago.
    for (int i = 0; i < objects; i++) {
        auto object = hex(0x4000u + static_cast<unsigned>(i), 16);
        world.purged.insert(object);
        for (auto& parent : world.parents) parent["/data/video-parts/" + object + "/0"] = {now_ms() - 20'000};
    }
    // Other lookups all the time, which are hits.
    std::atomic<bool> stop{false};
    std::atomic<int> hits{0};
    std::thread others([&] {
        Client client(router.port);
        for (std::int32_t seq = 1; !stop; seq++) {
            ask(client, seq, "term-pages", 0x900000u + static_cast<unsigned>(seq), 3000);
            auto got = client.read(4000);
            hits += got && got->kind == Answered::Kind::served;
            sleep_ms(10);
        }
    });
    std::map<std::string, int> first, second;
    auto ask_all = [&](std::map<std::string, int>& ends, int wait) {
        std::vector<std::thread> threads;
        std::mutex mutex;
        for (int i = 0; i < objects; i++)
            threads.emplace_back([&, i] {
                Client client(router.port);
                ask(client, 1, "video-parts", 0x4000u + static_cast<unsigned>(i), wait);
                auto got = client.read(wait + 600);
                std::lock_guard lock(mutex);
                ends[got ? word_of(got->kind) : "no answer"]++;
            });
        for (auto& thread : threads) thread.join();
    };
    std::thread early([&] {
        wait_until(hang_at - 100);
        record.line("%d parts are asked for, which the caches lack and the parents hold", objects);
        ask_all(first, 5000);
    });
    wait_until(hang_at);
    if (trouble()) {
        std::lock_guard lock(world.mutex);
        world.hung = true;
        record.line("parent 5 hangs in the middle of its answers");
    }
    wait_until(purge_at);
    {
        std::lock_guard lock(world.mutex);
        world.purged_ms = now_ms();
        coordinator.purge_group(group, world.purged_ms);
        told_ms = now_ms();
        record.line("group %d is purged, and the coordinator holds it", group);
    }
    wait_until(purge_at + dropped_within);
    {
        std::lock_guard lock(world.mutex);
        int dropped = 0;
        for (auto& [id, store] : stores)
            dropped += static_cast<int>(std::erase_if(
                store.copies, [&](auto& held) { return world.is_old(object_of(held.first), held.second); }));
        for (auto& parent : world.parents)
            dropped += static_cast<int>(std::erase_if(
                parent, [&](auto& held) { return world.is_old(object_of(held.first), held.second); }));
        record.line("all copies from before the purge are dropped: %d", dropped);
    }
    early.join();
    wait_until(ask_again_at);
    std::thread again([&] {
        record.line("the parts are asked for again");
        ask_all(second, 5000);
    });
    wait_until(hang_at + hang_for);
    {
        std::lock_guard lock(world.mutex);
        if (world.hung) record.line("parent 5 goes on and finishes its answers");
        world.hung = false;
        world.changed.notify_all();
    }
    again.join();
    wait_until(end_at);
    stop = true;
    others.join();
    if (!router.running()) finish(record, could_not_run, "the router has ended");
    for (auto& [word, count] : first) record.line("before the purge, %s: %d", word.c_str(), count);
    for (auto& [word, count] : second) record.line("after the purge, %s: %d", word.c_str(), count);
    record.line("answers of purged objects after the purge: %d; hits of other lookups: %d",
                purged_answers.load(), hits.load());
    if (purged_answers < objects / 2 || hits < 200)
        finish(record, could_not_run, "too few lookups were answered");
    if (broken_answers > 0)
        finish(record, broken,
               std::to_string(broken_answers) +
                   " answers came from copies older than a purge that had been told before");
    finish(record, held, "no answer came from a copy older than the purge");
}
