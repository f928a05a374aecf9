// Rules at work: sets that live as long as their lookups, what the module makes of them, and the real
// program.
#include <doctest/doctest.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <set>

#include "helpers.hpp"
#include "http/request.hpp"
#include "rig/control_service.hpp"
#include "rig/world.hpp"
#include "route/live.hpp"

using namespace quillgrade;
namespace rules_wire = quillgrade::config::v1;

namespace {

route::Site live_site() { return {{"page"}, {"central", "east"}, {"std", "parent", "origin"}, {pages()}, 6}; }

std::shared_ptr<const route::RuleSet> loaded(const std::string& text, const route::Site& site) {
    route::Loader loader(text, site);
    while (!loader.step(100)) {
    }
    INFO(loader.report());
    REQUIRE(loader.result());
    return loader.result();
}

feed::Endpoint live_box(CacheId id, int cell, EndpointState listed = EndpointState::Ready) {
    return {{id, listed, 6, 0, cell, 1, 0}, 1, 1};
}

LookupInfo narrowed(route::Live& live, LookupId id, ObjectId object = 77) {
    auto facts = lookup(id, object);
    route::Told told;
    told.object = object;
    told.remaining = facts.deadline - noon;
    live.narrow(told, facts, noon);
    return facts;
}

}  // namespace

TEST_CASE("a lookup keeps the set it was taken with, and a set goes with its last lookup") {
    route::Live live(live_site());
    auto first = loaded("pool a = box.cell == 1; rule x: pool a;", live.site);
    std::weak_ptr<const route::RuleSet> watched = first;
    live.list({true, {live_box(1, 1), live_box(2, 2)}});
    live.put_in_force(std::move(first));
    auto facts = std::make_unique<LookupInfo>(narrowed(live, 1));
    CHECK(*facts->allowed_caches == std::vector<CacheId>{1});
    live.put_in_force(loaded("pool a = box.cell == 2; rule x: pool a;", live.site));
    CHECK(*facts->allowed_caches == std::vector<CacheId>{1});
    CHECK(*narrowed(live, 2).allowed_caches == std::vector<CacheId>{2});
    CHECK(live.sets() == 2);
    live.list({false, {live_box(3, 1)}});
    CHECK(*facts->allowed_caches == std::vector<CacheId>{1, 3});  // its pool is that of now
    facts.reset();
    CHECK(live.sets() == 1);
    CHECK(watched.expired());
    live.put_in_force(nullptr);
    CHECK(!live.on());
    CHECK(narrowed(live, 3).allowed_caches == nullptr);
}

TEST_CASE("two sets swapped a hundred thousand times with lookups under way: nothing is kept") {
    route::Live live(live_site());
    live.list({true, {live_box(1, 1), live_box(2, 2)}});
    auto a = loaded("pool a = box.cell == 1; rule x: pool a;", live.site);
    auto b = loaded("pool b = box.cell == 2; rule x: pool b;", live.site);
    std::vector<LookupInfo> under_way;
    for (int i = 0; i < 100'000; i++) {
        live.put_in_force(i % 2 ? a : b);
        under_way.push_back(narrowed(live, static_cast<LookupId>(i)));
        REQUIRE(under_way.back().allowed_caches->front() == (i % 2 ? 1U : 2U));
        if (under_way.size() > 8) under_way.erase(under_way.begin());
        REQUIRE(live.sets() <= 10);
    }
    under_way.clear();
    CHECK(live.sets() == 1);
    CHECK(a.use_count() + b.use_count() == 3);
}

TEST_CASE("a pool that goes empty in the middle of a lookup falls back for its next transmission") {
    route::Live live(live_site());
    live.list({true, {live_box(1, 1), live_box(2, 2), live_box(3, 3)}});
    live.put_in_force(
        loaded("pool b = box.cell == 2; pool a = box.cell == 1 else b; rule x: pool a;", live.site));
    auto router = quillgrade::router();
    auto facts = narrowed(live, 5);
    auto handle = router.add_lookup(facts, noon);
    REQUIRE(handle.first_attempt(noon).send->cache == 1);
    live.list({false, {live_box(1, 1, EndpointState::Draining)}});
    auto drained = entry(1);
    drained.state = EndpointState::Draining;
    router.update_endpoints({drained}, false, noon);
    auto answer = handle.attempt_ended(end(Outcome::Reset, 1), noon + test_ms);
    REQUIRE(answer.send);
    CHECK(answer.send->cache == 2);
}

TEST_CASE("what rules narrow the module never goes beyond") {
    auto one = std::make_shared<const std::vector<CacheId>>(std::vector<CacheId>{3});
    for (ObjectId object = 1; object < 50; object++) {
        auto router = quillgrade::router();
        auto facts = lookup(9, object);
        facts.allowed_caches = one;
        CHECK(router.add_lookup(facts, noon).first_attempt(noon).send->cache == 3);
    }
    auto router = quillgrade::router();
    auto facts = lookup(9);
    facts.max_attempts = 2;
    auto handle = router.add_lookup(facts, noon);
    auto first = handle.first_attempt(noon).send;
    REQUIRE(first);
    auto second = handle.attempt_ended(end(Outcome::Reset, first->cache), noon + test_ms).send;
    REQUIRE(second);
    CHECK(handle.attempt_ended(end(Outcome::Reset, second->cache, CacheStatus::None, 1), noon + 2 * test_ms)
              .final_result == FinalResult::Rejected);
    facts.max_attempts = 100;  // the site's bound holds all the same
    auto& held = router.add_lookup(facts, noon).lookup;
    held.attempts.resize(6);
    for (auto& round : held.attempts) round.in_flight = false;
    CHECK(!may_attempt(router, held, *find_server(router, 1), noon));
    facts.no_hedging = true;
    CHECK(!may_hedge(router, router.add_lookup(facts, noon).lookup));
}

// Guards against a copy from before a purge: the purge names the wire's object, the copy is kept under a key.
TEST_CASE("a purge of the wire's object reaches every key made of it") {
    auto router = quillgrade::router();
    router.record_purge(77, 0, 0, noon);
    for (ObjectId key : {1001, 1002}) {
        auto facts = lookup(9, key);
        facts.wire_object = 77;
        CHECK(max_copy_age(router, facts, noon + 500 * test_ms) == 500 * test_ms);
        facts.wire_object = 78;
        CHECK(max_copy_age(router, facts, noon + 500 * test_ms) == 0);
    }
}

TEST_CASE("a cache is told the object in the path and the key beside it") {
    auto facts = lookup(9, 0x1234);
    facts.wire_object = 0x7f3a;
    auto head = http::transmission(facts, {}, "page", {}).head;
    CHECK(head.find("GET /data/page/0000000000007f3a/0 HTTP/1.1\r\n") != std::string::npos);
    CHECK(head.find("X-Key: 0000000000001234\r\n") != std::string::npos);
    facts.wire_object = 0;
    CHECK(http::transmission(facts, {}, "page", {}).head.find("X-Key") == std::string::npos);
}

namespace {

struct Stage {
    std::string folder;
    rig::World world;
    int port = rig::free_port(), first = world.add_box(), second = world.add_box();
    rig::ControlService control{"ctl-a"};
    Stage() {
        std::string name = "/tmp/quillgrade_routing_XXXXXX";
        folder = mkdtemp(name.data());
    }
    Stage(const Stage&) = delete;
    Stage& operator=(const Stage&) = delete;
    ~Stage() { std::filesystem::remove_all(folder); }
    std::unique_ptr<rig::Router> start(const std::string& rules) {
        std::ofstream(folder + "/a.rules") << rules;
        std::ofstream(folder + "/config.json") << rig::config_of(
            port, world.coordinator_port(), {world.port_of_box(first), world.port_of_box(second)});
        std::ofstream(folder + "/operate.json")
            << R"({"control": {"services": ["127.0.0.1:)" << control.port()
            << R"("], "kinds": ["boxes", "rules"], "trial": false}, "rules": {"file": ")" << folder
            << R"(/a.rules"}})";
        return std::make_unique<rig::Router>(QUILLGRADE_PROGRAM, folder + "/config.json",
                                             std::vector<std::string>{"--operate", folder + "/operate.json"});
    }
    std::string publish(std::uint64_t number, const std::string& text) {
        rules_wire::Rules message;
        message.set_name("school");
        message.set_text(text);
        return control.publish("type.googleapis.com/quillgrade.config.v1.Rules", number,
                               {{"school", rig::pack(message)}});
    }
    template <class Done>
    bool until(Done done) {
        for (auto end = rig::unix_now() + 10 * test_second; rig::unix_now() < end; usleep(2000))
            if (done()) return true;
        return false;
    }
    void kept_the_rules() {
        world.finish();
        CHECK(world.totals().without_one_final == 0);
        CHECK(world.totals().late_sends == 0);
        CHECK(world.totals().asked > 0);
    }
};

std::string header(const std::string& head, const std::string& name) {
    auto at = head.find("\r\n" + name + ": ");
    if (at == std::string::npos) return "";
    at += name.size() + 4;
    return head.substr(at, head.find("\r\n", at) - at);
}

std::string object_of(const std::string& head) {
    return head.starts_with("GET /data/page/") ? head.substr(15, 16) : "";
}

}  // namespace

TEST_CASE("rules of a file and of a version act in the running router, and a broken one is turned down") {
    Stage stage;
    auto router = stage.start("pool one = box.id == \"s-00000001\"; rule all: pool one;");
    REQUIRE(router->says("rules: 1 in force"));
    REQUIRE(router->says("serving"));
    stage.world.ask(stage.port, 200);
    REQUIRE(stage.until([&] { return stage.world.sends_to(stage.first) > 50; }));
    CHECK(stage.world.sends_to(stage.second) <= 3);  // probes at most
    auto good =
        stage.control.answer(stage.publish(1, "pool two = box.id == \"s-00000002\"; rule all: pool two;"));
    REQUIRE(good);
    CHECK(!good->turned_down);
    auto sent = stage.world.sends_to(stage.first);
    REQUIRE(stage.until([&] { return stage.world.sends_to(stage.second) > 50; }));
    CHECK(stage.world.sends_to(stage.first) <= sent + 10);
    auto bad = stage.control.answer(stage.publish(2, "rule all when part == \"x\": copies off;"));
    CHECK(bad->reason.find("line 1, column 23: int is expected, not text") != std::string::npos);
    CHECK(!stage.control.answer(stage.publish(3, ""))->turned_down);  // no rules
    REQUIRE(stage.until([&] { return stage.world.sends_to(stage.first) > sent + 50; }));
    stage.kept_the_rules();
}

TEST_CASE("two schools never share a copy, and a purge reaches both") {
    Stage stage;
    auto router =
        stage.start("field school max 40; rule all when has(school): key join(\"/\", school, object);");
    REQUIRE(router->says("serving"));
    stage.world.say("school", {"st-anne", "st-john", std::string(200, 'x')});
    stage.world.ask(stage.port, 1000, 16);
    std::map<std::string, std::set<std::string>> keys;  // by object
    std::set<std::string> all;
    auto look = [&] {
        for (int box : {stage.first, stage.second})
            for (auto& head : stage.world.take_heads(box))
                if (auto object = object_of(head); !object.empty()) {
                    keys[object].insert(header(head, "X-Key"));
                    all.insert(header(head, "X-Key"));
                }
        return std::count_if(keys.begin(), keys.end(), [](auto& one) { return one.second.size() == 3; });
    };
    REQUIRE(stage.until([&] { return look() > 20; }));
    for (auto& [object, of] : keys)
        CHECK(of.size() <= 3);  // two schools, and one whose name is too long to count
    std::map<std::string, int> users;
    for (auto& [object, of] : keys)
        for (auto& key : of) users[key]++;
    for (auto& [key, count] : users)
        if (!key.empty()) CHECK(count == 1);
    // The purge names the object as clients do.
    auto purged = keys.begin()->first;
    std::string payload;
    bytes::put_number(payload, 8, *bytes::read_hex(purged, 16));
    bytes::put_number(payload, 8, static_cast<std::uint64_t>(rig::unix_now() / 1000));
    stage.world.tell(2, 3, payload);
    std::set<std::string> heeded;
    usleep(20'000);
    look();
    auto heeded_until = rig::unix_now() + 5 * test_second;
    stage.until([&] {
        for (int box : {stage.first, stage.second})
            for (auto& head : stage.world.take_heads(box))
                if (object_of(head) == purged) {
                    CHECK(header(head, "X-Fresh-Ms") != "");
                    heeded.insert(header(head, "X-Key"));
                }
        return heeded.size() == 3 || rig::unix_now() > heeded_until;
    });
    CHECK(heeded.size() == 3);
    stage.kept_the_rules();
}

TEST_CASE("two sets swapped in a storm under load: each lookup one final answer, no growth of memory") {
    Stage stage;
    auto router = stage.start("");
    REQUIRE(router->says("serving"));
    stage.world.ask(stage.port, 300);
    std::string a = "pool p = box.id == \"s-00000001\"; rule all: pool p, limit 1s;",
                b = "pool p = box.id == \"s-00000002\"; rule all: pool p, transmissions 1;";
    std::uint64_t number = 0;
    auto storm = [&](int milliseconds) {
        for (int i = 0; i < milliseconds; i++) {
            number++;
            stage.publish(number, number % 2 ? a : b);
            usleep(900);
        }
    };
    storm(700);
    auto memory = router->rss_mb();
    storm(1500);
    REQUIRE(stage.control.wait([&](auto& heard) { return heard.back().version == std::to_string(number); }));
    CHECK(router->rss_mb() < memory + rig::growth_by_chance_mb);
    CHECK(stage.world.sends_to(stage.first) > 50);
    CHECK(stage.world.sends_to(stage.second) > 50);
    stage.kept_the_rules();
    auto totals = stage.world.totals();
    CHECK(totals.handled == totals.asked);
}

TEST_CASE("a file of rules with faults keeps the program from starting, and from changing on SIGHUP") {
    Stage stage;
    {
        auto router = stage.start("rule all when part == \"x\": copies off;");
        CHECK(router->wait() == 1);
        CHECK(router->log().find("line 1, column 23") != std::string::npos);
    }
    auto router = stage.start("rule all: limit 1s;");
    REQUIRE(router->says("serving"));
    std::ofstream(stage.folder + "/a.rules") << "rule all: limit;";
    router->signal(SIGHUP);
    CHECK(router->says("rules not taken, the old ones stay"));
    std::ofstream(stage.folder + "/a.rules") << "rule all: limit 2s; rule never: limit 1s;";
    router->signal(SIGHUP);
    CHECK(router->says("rules: 2 in force"));
    CHECK(router->says("rule 'never' never matches"));
}
