// Streamed configuration through the real program: a control service on grpc++, a relay that breaks what
// passes, boxes, a coordinator and clients, all on loopback. What is promised is counted by the world
// outside.
#include <doctest/doctest.h>

#include <array>
#include <csignal>
#include <filesystem>
#include <fstream>

#include "bytes/bytes.hpp"
#include "rig/control_service.hpp"
#include "rig/relay.hpp"
#include "rig/world.hpp"

using namespace quillgrade;
using namespace quillgrade::rig;
namespace messages = quillgrade::config::v1;

namespace {

constexpr Micros ms = 1000, second = 1'000'000, drain_grace = 2 * second;

struct Place {
    int id, port;
    messages::State state = messages::READY;
};

std::string id_of(int id) {
    std::array<char, 16> text;
    std::snprintf(text.data(), sizeof text, "s-%08x", static_cast<unsigned>(id));
    return text.data();
}

Resources boxes(const std::vector<Place>& all, const std::string& name = "school",
                const char* emptied = nullptr) {
    messages::Boxes message;
    message.set_name(name);
    if (emptied) message.add_emptied(emptied);
    for (auto& place : all) {
        auto& box = *message.add_boxes();
        box.set_id(id_of(place.id));
        box.set_address("127.0.0.1:" + std::to_string(place.port));
        box.set_zone("z1");
        box.set_kind("std");
        box.set_weight(4);
        box.set_state(place.state);
    }
    return {{name, pack(message)}};
}

// A drain of box `id`, as the coordinator's frames have it.
std::string record(int id, int port, int state) {
    std::string out;
    bytes::put_number(out, 4, static_cast<std::uint64_t>(id));
    bytes::put_number(out, 4, 0x7f000001);
    bytes::put_number(out, 2, static_cast<std::uint64_t>(port));
    bytes::put_number(out, 1, static_cast<std::uint64_t>(state));
    bytes::put_number(out, 1, 1);
    bytes::put_number(out, 1, 0);
    bytes::put_number(out, 2, 0);
    bytes::put_number(out, 4, 4000);
    bytes::put_number(out, 8, 0);
    return out;
}

struct Scene {
    std::string folder;
    World world;
    int port = free_port();
    std::vector<int> listed;  // ports that the coordinator's first list names
    std::string form = "whole", more, store;

    Scene() {
        std::string name = "/tmp/quillgrade_streamed_XXXXXX";
        folder = mkdtemp(name.data());
    }
    Scene(const Scene&) = delete;
    Scene& operator=(const Scene&) = delete;
    ~Scene() { std::filesystem::remove_all(folder); }
    void keep_versions() {
        store = R"(, "store": {"path": ")" + folder + R"(/store", "megabytes": 16, "sync": false})";
    }
    void write_plan(const std::vector<int>& services) {
        std::string list;
        for (int service : services)
            list += std::string(list.empty() ? "" : ", ") + "\"127.0.0.1:" + std::to_string(service) + "\"";
        std::ofstream(folder + "/operate.json")
            << R"({"control": {"services": [)" << list << R"(], "form": ")" << form << "\"" << more << "}"
            << store << "}";
    }
    std::unique_ptr<rig::Router> start(const std::vector<int>& services) {
        std::ofstream(folder + "/config.json") << config_of(port, world.coordinator_port(), listed);
        write_plan(services);
        auto router =
            std::make_unique<rig::Router>(QUILLGRADE_PROGRAM, folder + "/config.json",
                                          std::vector<std::string>{"--operate", folder + "/operate.json"});
        REQUIRE_MESSAGE(router->says("serving as n1"), router->log());
        return router;
    }
    // Every lookup so far has had its one final answer, and nothing went to a box past its grace.
    void kept_the_rules() {
        world.finish();
        auto totals = world.totals();
        CHECK(totals.asked > 0);
        CHECK(totals.without_one_final == 0);
        CHECK(totals.late_sends == 0);
    }
    template <class Done>
    bool until(Done done, double seconds = 10) {
        for (auto end = unix_now() + static_cast<Micros>(seconds * second); unix_now() < end; usleep(2000))
            if (done()) return true;
        return false;
    }
};

}  // namespace

TEST_CASE("a published box takes lookups, a broken version is turned down with its reason") {
    for (auto* form : {"whole", "incremental"}) {
        Scene scene;
        scene.form = form;
        int old = scene.world.add_box(), fresh = scene.world.add_box();
        scene.listed = {scene.world.port_of_box(old)};
        ControlService control("ctl-a");
        auto router = scene.start({control.port()});
        scene.world.ask(scene.port, 300);
        auto good =
            control.answer(control.publish(boxes_type, 1, boxes({{9, scene.world.port_of_box(fresh)}})));
        REQUIRE(good);
        CHECK(!good->turned_down);
        CHECK(scene.until([&] { return scene.world.sends_to(fresh) > 0; }));
        auto bad = control.answer(control.publish(boxes_type, 2, boxes({{9, 0}})));
        REQUIRE(bad);
        CHECK(bad->turned_down);
        CHECK(bad->reason.find("box 1 of 'school' ('s-00000009'): its port is 0") != std::string::npos);
        auto sent = scene.world.sends_to(fresh);
        CHECK(scene.until([&] { return scene.world.sends_to(fresh) > sent + 10; }));  // version 1 still runs
        auto heard = control.heard();
        CHECK(heard.at(0).asker == "n1");
        scene.kept_the_rules();
    }
}

TEST_CASE("a box that a version removes ends its work, gets no more, and comes back at another address") {
    for (auto* form : {"whole", "incremental"}) {
        Scene scene;
        scene.form = form;
        int leaving = scene.world.add_box(100 * ms), staying = scene.world.add_box(100 * ms);
        int moved = scene.world.add_box(100 * ms);
        auto at = [&](int box) { return scene.world.port_of_box(box); };
        ControlService control("ctl-a");
        control.publish(boxes_type, 1, boxes({{1, at(leaving)}, {2, at(staying)}}));
        auto router = scene.start({control.port()});
        scene.world.ask(scene.port, 300);
        REQUIRE(scene.until([&] { return scene.world.sends_to(leaving) > 50; }));
        control.publish(boxes_type, 2, boxes({{2, at(staying)}}));
        scene.world.forbid(leaving, unix_now() + drain_grace);
        usleep(50 * ms);
        REQUIRE(control.answer(control.publish(boxes_type, 3, boxes({{1, at(moved)}, {2, at(staying)}}))));
        auto sent = scene.world.sends_to(leaving);
        CHECK(scene.until([&] { return scene.world.sends_to(moved) > 0; }, 5));
        usleep(static_cast<useconds_t>(drain_grace + 300 * ms));
        CHECK(scene.world.sends_to(leaving) ==
              sent);  // nothing at all since version 3, let alone past the grace
        scene.kept_the_rules();
        auto totals = scene.world.totals();
        CHECK(totals.handled + totals.rejected == totals.asked);  // what was under way there was finished
    }
}

TEST_CASE("without a control service it serves what the coordinator lists, or what is stored") {
    Scene scene;
    int box = scene.world.add_box();
    scene.keep_versions();
    {
        scene.listed = {scene.world.port_of_box(box)};
        auto router = scene.start({free_port()});
        scene.world.ask(scene.port, 200);
        CHECK(scene.until([&] { return scene.world.totals().handled > 20; }));
        CHECK(router->says("lost: closed"));
        scene.kept_the_rules();
    }
    scene.listed = {};
    auto control = std::make_unique<ControlService>("ctl-a");
    int service = control->port();
    {
        auto router = scene.start({service});
        REQUIRE(!control->answer(control->publish(boxes_type, 41, boxes({{1, scene.world.port_of_box(box)}})))
                     ->turned_down);
    }  // killed
    control.reset();
    auto router = scene.start({service});
    CHECK(router->says("starting from the store: Boxes 41 of 'ctl-a', written 0 s ago"));
    auto handled = scene.world.totals().handled;
    scene.world.ask(scene.port, 200);
    CHECK(scene.until([&] { return scene.world.totals().handled > handled + 20; }));
    scene.kept_the_rules();
}

TEST_CASE("no writable place: works without a store, and says so once") {
    Scene scene;
    int box = scene.world.add_box();
    scene.store = R"(, "store": {"path": "/proc/quillgrade"})";
    ControlService control("ctl-a");
    auto router = scene.start({control.port()});
    for (std::uint64_t number = 1; number < 5; number++)
        REQUIRE(
            !control.answer(control.publish(boxes_type, number, boxes({{1, scene.world.port_of_box(box)}})))
                 ->turned_down);
    auto log = router->log();
    auto first = log.find("can't be written");
    REQUIRE(first != std::string::npos);
    CHECK(log.find("can't be written", first + 1) == std::string::npos);
}

// Guards against a start from a version older than one that was acknowledged when the store was full.
TEST_CASE("a version that the store can't hold empties it; where that fails too the version is refused") {
    Scene scene;
    scene.store = R"(, "store": {"path": ")" + scene.folder + R"(/store", "megabytes": 1, "sync": false})";
    scene.more = R"(, "trial": false)";
    ControlService control("ctl-a");
    std::vector<Place> many;
    for (int i = 1; i <= 30'000; i++) many.push_back({i, 1 + i});
    auto one = boxes({{1, scene.world.port_of_box(scene.world.add_box())}});
    auto file = scene.folder + "/store/data.mdb";
    {
        auto router = scene.start({control.port()});
        REQUIRE(!control.answer(control.publish(boxes_type, 1, one))->turned_down);
        std::filesystem::rename(file, file + ".away");  // open still, but no longer to be unlinked
        std::filesystem::create_directories(file + "/in_the_way");
        auto refused = control.answer(control.publish(boxes_type, 2, boxes(many))).value();
        CHECK(refused.turned_down);
        CHECK(refused.reason.find("can be neither written nor emptied") != std::string::npos);
        std::filesystem::remove_all(file);
        std::filesystem::rename(file + ".away", file);
    }
    control.publish(boxes_type, 3, one);
    {
        auto router = scene.start({control.port()});
        REQUIRE(router->says("starting from the store: Boxes 1"));
        REQUIRE(!control.answer(control.publish(boxes_type, 4, boxes(many)))->turned_down);
        CHECK(router->says("nothing is kept for now"));
    }
    auto router = scene.start({free_port()});
    CHECK(router->log().find("starting from the store") == std::string::npos);
}

TEST_CASE("a service that takes the call and says nothing is passed over") {
    Scene scene;
    ControlService mute("ctl-a"), spare("ctl-a");
    mute.say_nothing(true);
    mute.publish(boxes_type, 9, boxes({{1, 1}}));
    spare.publish(boxes_type, 1, boxes({{1, scene.world.port_of_box(scene.world.add_box())}}));
    auto router = scene.start({mute.port(), spare.port()});
    CHECK(router->says("lost: no answer", 15));
    CHECK(router->says("version Boxes 1 of 'ctl-a' in force", 15));
}

TEST_CASE(
    "out of order, repeated and skipped versions, and a service that starts again with a new identity") {
    Scene scene;
    int box = scene.world.add_box(), second_box = scene.world.add_box();
    auto at = [&](int one) { return scene.world.port_of_box(one); };
    auto control = std::make_unique<ControlService>("ctl-a");
    Relay relay(control->port());
    auto router = scene.start({relay.port()});
    auto tell = [&](std::uint64_t number, const Resources& what) {
        return control->answer(control->publish(boxes_type, number, what)).value();
    };
    CHECK(!tell(5, boxes({{1, at(box)}})).turned_down);
    CHECK(!tell(9, boxes({{1, at(box)}, {2, at(second_box)}})).turned_down);
    auto old = tell(6, boxes({{1, at(box)}}));
    CHECK(old.turned_down);
    CHECK(old.version == "9");
    CHECK(old.reason.find("is older than 9 of 'ctl-a'") != std::string::npos);
    CHECK(!tell(9, boxes({{1, at(box)}, {2, at(second_box)}})).turned_down);
    CHECK(tell(9, boxes({{1, at(box)}})).turned_down);
    auto next = std::make_unique<ControlService>("ctl-b");
    relay.lead_to(next->port());
    control = std::move(next);
    control->publish(boxes_type, 1, boxes({{2, at(second_box)}}));
    CHECK(control->wait([](auto& heard) { return !heard.empty() && heard.back().version == "1"; }));
    CHECK(router->says("version Boxes 1 of 'ctl-b' in force"));
}

TEST_CASE("changes are asked for whole from a service that is another than the one claimed") {
    Scene scene;
    scene.form = "incremental";
    int box = scene.world.add_box(), other = scene.world.add_box();
    auto first = std::make_unique<ControlService>("ctl-a");
    Relay relay(first->port());
    auto router = scene.start({relay.port()});
    first->publish(boxes_type, 7, boxes({{1, scene.world.port_of_box(box)}}, "one"));
    REQUIRE(router->says("version Boxes 7 of 'ctl-a' in force"));
    ControlService second_service("ctl-b");
    second_service.publish(boxes_type, 1, boxes({{2, scene.world.port_of_box(other)}}, "two"));
    relay.lead_to(second_service.port());
    first.reset();
    CHECK(router->says("is 'ctl-b' and not 'ctl-a': asked for everything"));
    CHECK(router->says("version Boxes 1 of 'ctl-b' in force"));
    auto before = scene.world.sends_to(box);
    scene.world.ask(scene.port, 100);
    CHECK(scene.until([&] { return scene.world.sends_to(other) > 10; }));
    CHECK(scene.world.sends_to(box) == before);  // what 'ctl-a' had told is gone whole
    scene.kept_the_rules();
}

TEST_CASE("a lost service is replaced by the next, and the preferred one is heard again") {
    Scene scene;
    int box = scene.world.add_box();
    auto at = scene.world.port_of_box(box);
    ControlService preferred("ctl-a"), spare("ctl-a");
    Relay relay(preferred.port());
    preferred.publish(boxes_type, 1, boxes({{1, at}}));
    spare.publish(boxes_type, 2, boxes({{1, at}}));
    relay.refuse(true);
    auto router = scene.start({relay.port(), spare.port()});
    CHECK(router->says("version Boxes 2 of 'ctl-a' in force"));
    preferred.publish(boxes_type, 3, boxes({{1, at}}));
    relay.refuse(false);
    CHECK(router->says("a preferred one answers", 30));
    CHECK(router->says("version Boxes 3 of 'ctl-a' in force"));
    // A replica that lags behind does not take the router back.
    relay.refuse(true);
    preferred.end_streams();
    CHECK(spare.wait([](auto& heard) { return !heard.empty() && heard.back().turned_down; }, 20));
    CHECK(spare.heard().back().version == "3");
}

TEST_CASE("a stream that falls silent, is reset in the middle of a frame or says farewell is replaced") {
    Scene scene;
    int box = scene.world.add_box();
    auto one = boxes({{1, scene.world.port_of_box(box)}});
    auto control = std::make_unique<ControlService>("ctl-a");
    Relay relay(control->port());
    control->publish(boxes_type, 1, one);
    auto router = scene.start({relay.port()});
    REQUIRE(router->says("version Boxes 1 of 'ctl-a' in force"));
    scene.world.ask(scene.port, 100);

    relay.stand_still(true);
    CHECK(router->says("lost: silent", 15));
    relay.stand_still(false);

    for (int bytes : {1, 9, 30, 100, 200}) {  // within the head, the settings, the headers, a message
        auto before = relay.connections();
        relay.cut_after(bytes);
        control->publish(boxes_type, static_cast<std::uint64_t>(bytes) + 1, one);
        CHECK(scene.until([&] { return relay.connections() > before; }, 40));
        relay.cut_after(-1);
        CHECK(router->says("version Boxes " + std::to_string(bytes + 1) + " of 'ctl-a' in force", 40));
    }
    auto next = std::make_unique<ControlService>("ctl-a");
    next->publish(boxes_type, 1000, one);
    relay.lead_to(next->port());
    control.reset();  // goes away
    CHECK(router->says("version Boxes 1000 of 'ctl-a' in force", 40));
    scene.kept_the_rules();
    CHECK(scene.world.totals().handled > 0);
}

TEST_CASE("what is too long, of an unknown type, or no message leaves the version in force") {
    Scene scene;
    scene.more = R"(, "longest_version_mb": 0.05)";
    int box = scene.world.add_box();
    ControlService control("ctl-a");
    auto router = scene.start({control.port()});
    auto one = boxes({{1, scene.world.port_of_box(box)}});
    REQUIRE(!control.answer(control.publish(boxes_type, 1, one))->turned_down);
    wire::DiscoveryResponse response;
    response.set_version_info("2");
    response.set_type_url("type.example/Thing");
    response.set_nonce("strange");
    control.send(response);
    auto strange = control.answer("strange");
    REQUIRE(strange);
    CHECK(strange->turned_down);
    CHECK(strange->type_url == "type.example/Thing");
    response.set_type_url(boxes_type);
    response.set_nonce("mixed");
    response.add_resources()->set_type_url("type.example/Thing");
    control.send(response);
    CHECK(control.answer("mixed")->turned_down);
    response.clear_resources();
    response.set_nonce("garbage");
    response.add_resources()->set_type_url(boxes_type);
    response.mutable_resources(0)->set_value("\x0a\x01x\x12\x7f half");
    control.send(response);
    CHECK(control.answer("garbage")->reason.find("can't be parsed as a message of kind Boxes") !=
          std::string::npos);
    response.set_nonce("wrong nonce, wrong version");
    response.set_version_info("two");
    control.send(response);
    CHECK(control.answer("wrong nonce, wrong version")->reason.find("no whole number") != std::string::npos);
    auto streams = control.streams();
    auto memory = router->rss_mb();
    response.set_nonce("huge");
    response.mutable_resources(0)->set_value(std::string(200'000, 'x'));
    control.send(response);
    CHECK(router->says("bytes, more than 52428"));
    CHECK(scene.until([&] { return control.streams() > streams; }, 20));
    CHECK(router->rss_mb() < memory + growth_by_chance_mb + 3);
    scene.world.ask(scene.port, 100);
    CHECK(scene.until([&] { return scene.world.totals().handled > 10; }));
    scene.kept_the_rules();
}

TEST_CASE("a version that contradicts the coordinator's drain does not send anything there") {
    Scene scene;
    int drained = scene.world.add_box(), other = scene.world.add_box();
    auto at = [&](int one) { return scene.world.port_of_box(one); };
    scene.listed = {at(drained), at(other)};
    ControlService control("ctl-a");
    auto router = scene.start({control.port()});
    scene.world.ask(scene.port, 200);
    REQUIRE(scene.until([&] { return scene.world.sends_to(drained) > 10; }));
    scene.world.tell(2, 2, record(1, at(drained), 1));
    scene.world.forbid(drained, unix_now() + drain_grace + 50 * ms);
    for (std::uint64_t number = 1; number <= 10; number++) {
        control.publish(boxes_type, number, boxes({{1, at(drained)}, {2, at(other)}}));
        usleep(static_cast<useconds_t>(300 * ms));
    }
    REQUIRE(control.wait([](auto& heard) { return heard.back().version == "10"; }));
    scene.kept_the_rules();
}

TEST_CASE("a version that would leave the location empty is turned down unless it says so") {
    Scene scene;
    int box = scene.world.add_box();
    ControlService control("ctl-a");
    auto router = scene.start({control.port()});
    auto one = boxes({{1, scene.world.port_of_box(box)}});
    REQUIRE(!control.answer(control.publish(boxes_type, 1, one))->turned_down);
    auto empty = control.answer(control.publish(boxes_type, 2, boxes({}))).value();
    CHECK(empty.turned_down);
    CHECK(empty.reason.find("zone 'z1'") != std::string::npos);
    CHECK(!control.answer(control.publish(boxes_type, 3, boxes({}, "school", "z1")))->turned_down);
}

TEST_CASE("amounts come into force and are never wider than the settings") {
    Scene scene;
    scene.listed = {scene.world.port_of_box(scene.world.add_box())};
    ControlService control("ctl-a");
    auto router = scene.start({control.port()});
    messages::Amounts amounts;
    amounts.set_name("all");
    amounts.set_transmissions(9);
    CHECK(control.answer(control.publish(amounts_type, 1, {{"all", pack(amounts)}}))
              ->reason.find("transmissions is 9; 1 to 4 is allowed here") != std::string::npos);
    amounts.set_transmissions(1);
    amounts.set_come_back_us(100'000);
    CHECK(!control.answer(control.publish(amounts_type, 2, {{"all", pack(amounts)}}))->turned_down);
}

TEST_CASE("a version that does harm is rolled back by the router itself, and the service hears why") {
    Scene scene;
    scene.more = R"(, "trial": {"for_s": 4, "rise": 0.1})";
    int box = scene.world.add_box();
    int nowhere = free_port();
    ControlService control("ctl-a");
    control.publish(boxes_type, 1, boxes({{1, scene.world.port_of_box(box)}}));
    auto router = scene.start({control.port()});
    scene.world.ask(scene.port, 300);
    REQUIRE(router->says("settled: Boxes 1", 20));
    usleep(static_cast<useconds_t>(2 * second));
    auto nonce = control.publish(boxes_type, 2, boxes({{2, nowhere}}));
    CHECK(router->says("version Boxes 2 of 'ctl-a' rolled back: it did harm", 20));
    CHECK(control.wait([&](auto& heard) {
        auto& last = heard.back();
        return last.nonce == nonce && last.turned_down && last.version == "1";
    }));
    auto handled = scene.world.totals().handled;
    CHECK(scene.until([&] { return scene.world.totals().handled > handled + 100; }));
    CHECK(control.answer(control.publish(boxes_type, 2, boxes({{2, nowhere}})))->turned_down);
    scene.kept_the_rules();
}

// Guards against an end that loses what one of them has brought.
TEST_CASE("SIGHUP, SIGTERM and a version in one pass: nothing is lost, and the exit is orderly") {
    for (int round = 0; round < 3; round++) {
        Scene scene;
        int box = scene.world.add_box(200 * ms), other = scene.world.add_box(200 * ms);
        ControlService control("ctl-a");
        control.publish(boxes_type, 1, boxes({{1, scene.world.port_of_box(box)}}));
        auto router = scene.start({control.port()});
        scene.world.ask(scene.port, 200);
        REQUIRE(scene.until([&] { return scene.world.sends_to(box) > 20; }));
        router->signal(SIGSTOP);  // all three wait for it together
        control.publish(boxes_type, 2, boxes({{2, scene.world.port_of_box(other)}}));
        router->signal(SIGHUP);
        router->signal(SIGTERM);
        usleep(20 * ms);
        router->signal(SIGCONT);
        usleep(100 * ms);
        scene.world.ask(scene.port, 0);
        CHECK(router->wait() == 0);
        auto log = router->log();
        CHECK(log.find("configuration read again") != std::string::npos);
        CHECK(log.find("version Boxes 2 of 'ctl-a' in force") != std::string::npos);
        CHECK(log.find("info over") != std::string::npos);
        scene.kept_the_rules();
    }
}

TEST_CASE("SIGHUP moves to other control services, and a bad file changes nothing") {
    Scene scene;
    int box = scene.world.add_box();
    ControlService first("ctl-a"), other("ctl-b");
    auto router = scene.start({first.port()});
    REQUIRE(first.wait([](auto& heard) { return heard.size() == 2; }));
    std::ofstream(scene.folder + "/operate.json") << "{\"control\": ";
    router->signal(SIGHUP);
    CHECK(router->says("operators' file not taken"));
    scene.write_plan({other.port()});
    other.publish(boxes_type, 1, boxes({{1, scene.world.port_of_box(box)}}));
    router->signal(SIGHUP);
    CHECK(router->says("version Boxes 1 of 'ctl-b' in force"));
}

TEST_CASE("kill -9 in a storm of versions: it starts from a whole one, never older than acknowledged") {
    Scene scene;
    scene.keep_versions();
    int box = scene.world.add_box();
    std::uint64_t number = 0, acknowledged = 0;
    for (int round = 0; round < 8; round++) {
        int service = 0;
        {
            ControlService control("ctl-a");
            service = control.port();
            auto router = scene.start({service});
            auto until = unix_now() + (50 + round * 13) * ms;
            while (unix_now() < until) {
                number++;
                std::vector<Place> all = {{1, scene.world.port_of_box(box)}};
                for (int i = 0; i < 200; i++) all.push_back({static_cast<int>(number) * 1000 + i, 1 + i});
                control.publish(boxes_type, number, boxes(all));
            }
            router->signal(SIGKILL);
            router->wait();
            for (auto& said : control.heard())
                if (!said.nonce.empty() && !said.turned_down)
                    acknowledged = std::max<std::uint64_t>(acknowledged, std::stoull(said.version));
        }
        auto router = scene.start({service});
        REQUIRE(router->says("starting from the store: Boxes "));
        auto log = router->log();
        auto found = std::stoull(log.substr(log.find("store: Boxes ") + 13));
        CHECK(found >= acknowledged);
        CHECK(found <= number);
    }
    CHECK(acknowledged > 0);
}
