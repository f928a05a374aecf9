// The life of versions: order, needs, trials, and what each is answered.
#include <doctest/doctest.h>
#include <fmt/format.h>

#include "config.pb.h"
#include "helpers.hpp"
#include "version/ledger.hpp"

using namespace quillgrade;
using namespace quillgrade::version;
namespace wire = quillgrade::config::v1;

namespace {

struct Box {
    const char* id = "s-00000001";
    const char* address = "10.1.0.1:80";
    const char* zone = "east";
    const char* kind = "std";
    double weight = 1;
};

discovery::Resource boxes(const std::string& name, const std::vector<Box>& all, const char* needs = nullptr) {
    wire::Boxes message;
    message.set_name(name);
    for (auto& box : all) {
        auto& one = *message.add_boxes();
        one.set_id(box.id);
        one.set_address(box.address);
        one.set_zone(box.zone);
        one.set_kind(box.kind);
        one.set_weight(box.weight);
    }
    if (needs) {
        auto& need = *message.add_needs();
        need.set_type_url(std::string(discovery::type_url(Kind::Amounts)));
        need.set_name(needs);
    }
    return {name, "", message.SerializeAsString()};
}

discovery::Resource amounts(const std::string& name, unsigned transmissions) {
    wire::Amounts message;
    message.set_name(name);
    message.set_transmissions(transmissions);
    return {name, "", message.SerializeAsString()};
}

discovery::Offer offer(Kind kind, std::uint64_t number, std::vector<discovery::Resource> resources,
                       const char* identity = "ctl-a") {
    discovery::Offer made;
    made.kind = kind;
    made.type_url = std::string(discovery::type_url(kind));
    made.identity = identity;
    made.number = number;
    made.text = std::to_string(number);
    made.nonce = std::string(identity) + "/" + made.text + (kind == Kind::Boxes ? "b" : "a");
    made.resources = std::move(resources);
    return made;
}

discovery::Offer changes(std::uint64_t number, std::vector<discovery::Resource> resources,
                         std::vector<std::string> removed = {}) {
    auto made = offer(Kind::Boxes, number, std::move(resources));
    made.form = discovery::Form::Changes;
    made.removed = std::move(removed);
    return made;
}

struct Run {
    explicit Run(Canary::Terms trial = {false, 0, 0})
        : ledger(configured_limits(a_site(), terms()), {Kind::Boxes, Kind::Amounts}, trial) {}
    // Works until there is nothing to do; each proposal comes into force.
    int settle(Micros now = noon) {
        int entered = 0;
        for (int i = 0; i < 100'000 && ledger.has_work(); i++)
            if (auto proposal = ledger.step(now)) {
                last = *proposal;
                ledger.applied(counts, now);
                entered++;
            }
        REQUIRE(!ledger.has_work());
        for (auto& reply : ledger.take_replies()) replies.push_back(reply);
        return entered;
    }
    Reply only() {
        REQUIRE(replies.size() == 1);
        auto reply = replies[0];
        replies.clear();
        return reply;
    }
    std::uint64_t running() const {
        auto& now = version_of(ledger.active(), Kind::Boxes);
        return now ? now->bundle.number : 0;
    }
    std::size_t held() const {
        auto& now = version_of(ledger.active(), Kind::Boxes);
        return now ? now->endpoints.size() : 0;
    }
    VersionManager ledger;
    LookupCounts counts;
    Proposal last;
    std::vector<Reply> replies;
};

Box other() { return {"s-00000002", "10.1.0.2:80", "east", "std", 1}; }

}  // namespace

TEST_CASE("a good version comes into force and is acknowledged only then") {
    Run run;
    run.ledger.receive(7, offer(Kind::Boxes, 3, {boxes("east", {{}})}), false, noon);
    CHECK(run.ledger.take_replies().empty());
    std::optional<Proposal> proposal;
    while (!proposal) proposal = run.ledger.step(noon);
    CHECK(run.running() == 0);
    CHECK(run.ledger.take_replies().empty());  // not before it is kept
    run.ledger.applied({}, noon);
    CHECK(run.running() == 3);
    auto replies = run.ledger.take_replies();
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].stream == 7);
    CHECK(replies[0].request.nonce == "ctl-a/3b");
    CHECK(replies[0].request.version == "3");
    CHECK(!replies[0].request.reason);
}

TEST_CASE("each fault of a version is named, and what is in force stays") {
    struct Bad {
        std::vector<Box> all;
        const char* reason;
    };
    Box no_id{"1", "10.1.0.1:80", "east", "std", 1}, upper{"s-0000000A", "10.1.0.1:80", "east", "std", 1},
        no_address{"s-00000003", "somewhere", "east", "std", 1},
        no_port{"s-00000003", "10.1.0.1:0", "east", "std", 1},
        zone{"s-00000003", "10.1.0.1:80", "west", "std", 1},
        kind{"s-00000003", "10.1.0.1:80", "east", "huge", 1},
        weight{"s-00000003", "10.1.0.1:80", "east", "std", -1},
        nan{"s-00000003", "10.1.0.1:80", "east", "std", std::numeric_limits<double>::quiet_NaN()},
        same_address{"s-00000003", "10.1.0.1:80", "east", "std", 1};
    std::vector<Bad> all = {{{no_id}, "8 lower-case hex digits"},
                            {{upper}, "8 lower-case hex digits"},
                            {{no_address}, "'somewhere' is not of the form"},
                            {{no_port}, "port is 0"},
                            {{zone}, "zone 'west'; zones here: central, east"},
                            {{kind}, "kind 'huge'; kinds here: std, parent, origin"},
                            {{weight}, "weight is out of range"},
                            {{nan}, "weight is out of range"},
                            {{Box{}, Box{}}, "s-00000001 stands there twice"},
                            {{Box{}, same_address}, "has the address of s-00000001"}};
    for (auto& bad : all) {
        Run run;
        run.ledger.receive(1, offer(Kind::Boxes, 1, {boxes("good", {{}})}), false, noon);
        run.settle();
        run.replies.clear();
        run.ledger.receive(1, offer(Kind::Boxes, 2, {boxes("bad", bad.all)}), false, noon);
        CHECK(run.settle() == 0);
        auto reply = run.only();
        CHECK(reply.request.version == "1");
        REQUIRE(reply.request.reason);
        CHECK_MESSAGE(reply.request.reason->find(bad.reason) != std::string::npos, *reply.request.reason);
        CHECK(run.running() == 1);
    }
}

TEST_CASE("a resource that is no message, or names an unknown zone or type, is turned down") {
    Run run;
    run.ledger.receive(1, offer(Kind::Boxes, 1, {{"x", "", "\x0a\x01x\x12\xff\xff"}}), false, noon);
    run.settle();
    CHECK(run.only().request.reason->find("no message of kind Boxes") != std::string::npos);
    wire::Boxes message;
    message.set_name("x");
    message.add_emptied("nowhere");
    message.add_needs()->set_type_url("type.example/Thing");
    run.ledger.receive(1, offer(Kind::Boxes, 1, {{"x", "", message.SerializeAsString()}}), false, noon);
    run.settle();
    auto reason = *run.only().request.reason;
    CHECK(reason.find("'nowhere'") != std::string::npos);
    CHECK(reason.find("type.example/Thing") != std::string::npos);
}

TEST_CASE("amounts are never wider than the settings") {
    Run run;
    run.ledger.receive(1, offer(Kind::Amounts, 1, {amounts("all", 7)}), false, noon);  // 6 there
    run.settle();
    CHECK(run.only().request.reason->find("transmissions is 7; 1 to 6 is allowed here") != std::string::npos);
    run.ledger.receive(1, offer(Kind::Amounts, 2, {amounts("all", 2)}), false, noon);
    CHECK(run.settle() == 1);
    CHECK(version_of(run.ledger.active(), Kind::Amounts)->amounts.attempts == 2);
    run.replies.clear();
    run.ledger.receive(1, offer(Kind::Amounts, 3, {amounts("all", 2), amounts("again", 3)}), false, noon);
    run.settle();
    CHECK(run.only().request.reason->find("told by another resource too") != std::string::npos);
}

TEST_CASE("versions out of order, repeated, skipped") {
    Run run;
    auto tell = [&](std::uint64_t number, const Box& box) {
        run.ledger.receive(1, offer(Kind::Boxes, number, {boxes("east", {box})}), false, noon);
        run.settle();
        return run.only().request.reason;
    };
    CHECK(!tell(5, {}));
    CHECK(!tell(9, other()));  // skipped
    CHECK(run.running() == 9);
    CHECK(tell(7, {}).value().find("is older than 9 of 'ctl-a'") != std::string::npos);
    CHECK(run.running() == 9);
    CHECK(!tell(9, other()));  // repeated
    CHECK(run.ledger.counters().repeated == 1);
    CHECK(tell(9, {}).value().find("told before with other contents") != std::string::npos);
    CHECK(run.held() == 1);
    CHECK(version_of(run.ledger.active(), Kind::Boxes)->endpoints[0].entry.id == 2);
}

TEST_CASE("a service with a new identity numbers from 1, and two services don't hide each other's order") {
    Run run;
    auto tell = [&](const char* identity, std::uint64_t number, const Box& box) {
        run.ledger.receive(1, offer(Kind::Boxes, number, {boxes("east", {box})}, identity), false, noon);
        run.settle();
        return run.only().request.reason;
    };
    CHECK(!tell("ctl-a", 17, {}));
    CHECK(!tell("ctl-b", 1, other()));
    CHECK(run.running() == 1);
    CHECK(tell("ctl-a", 16, {}).has_value());
    CHECK(run.running() == 1);
    CHECK(!tell("ctl-a", 18, {}));
    CHECK(run.running() == 18);
    for (int i = 0; i < 100; i++) tell(("ctl-" + std::to_string(i)).c_str(), 1, other());  // bounded
    CHECK(!tell("ctl-a", 1, {}));                                                          // long forgotten
}

TEST_CASE("pending versions collapse to the newest, whatever comes") {
    Run run;
    for (std::uint64_t number = 1; number <= 1000; number++)
        run.ledger.receive(1, offer(Kind::Boxes, number, {boxes("east", {{}})}), false, noon);
    CHECK(run.settle() == 1);
    CHECK(run.running() == 1000);
    CHECK(run.ledger.counters().overtaken == 999);
    CHECK(run.only().request.nonce == "ctl-a/1000b");
}

TEST_CASE("changes build on each other, and each nonce is answered") {
    Run run;
    run.ledger.receive(1, changes(1, {boxes("a", {{}})}), true, noon);
    run.settle();
    run.replies.clear();
    run.ledger.receive(1, changes(2, {boxes("b", {other()})}), false, noon);
    run.ledger.receive(1, changes(3, {}, {"a"}), false, noon);
    run.settle();
    REQUIRE(run.replies.size() == 2);
    CHECK(run.replies[0].request.nonce == "ctl-a/2b");
    CHECK(run.replies[1].request.nonce == "ctl-a/3b");
    CHECK(run.held() == 1);
    CHECK(version_of(run.ledger.active(), Kind::Boxes)->endpoints[0].entry.id == 2);
    run.ledger.receive(2, changes(4, {boxes("c", {{}})}), true, noon);  // a stream that has claimed nothing
    run.settle();
    CHECK(run.held() == 1);
    CHECK(version_of(run.ledger.active(), Kind::Boxes)->endpoints[0].entry.id == 1);
}

TEST_CASE("a bad change leaves the good ones alone, before it and after it") {
    Run run;
    run.ledger.receive(1, changes(1, {boxes("a", {{}})}), true, noon);
    run.settle();
    Box bad{"x", "", "", "", 1};
    run.ledger.receive(1, changes(2, {boxes("b", {bad})}), false, noon);
    while (run.ledger.phase(Kind::Boxes) != Phase::Validating) run.ledger.step(noon);
    run.ledger.receive(1, changes(3, {boxes("c", {other()})}), false, noon);
    run.settle();
    CHECK(run.held() == 2);
    CHECK(run.running() == 3);
}

TEST_CASE("kinds that need each other come into force together, whichever comes first") {
    for (bool boxes_first : {true, false}) {
        Run run;
        auto tell = [&](bool of_boxes) {
            if (of_boxes)
                run.ledger.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}}, "busy")}), false, noon);
            else
                run.ledger.receive(1, offer(Kind::Amounts, 1, {amounts("busy", 2)}), false, noon);
        };
        tell(boxes_first);
        int entered = run.settle();
        CHECK(entered == (boxes_first ? 0 : 1));
        CHECK(run.ledger.phase(Kind::Boxes) == (boxes_first ? Phase::Staged : Phase::None));
        tell(!boxes_first);
        CHECK(run.settle() == 1);
        CHECK(run.running() == 1);
        CHECK(version_of(run.ledger.active(), Kind::Amounts));
        // What is needed can't be taken away from under it: it waits until the one that needs it has gone.
        run.ledger.receive(1, offer(Kind::Amounts, 2, {}), false, noon);
        CHECK(run.settle() == 0);
        run.ledger.receive(1, offer(Kind::Boxes, 2, {boxes("east", {{}})}), false, noon);
        CHECK(run.settle() == 1);
        CHECK(version_of(run.ledger.active(), Kind::Amounts)->bundle.number == 2);
        CHECK(run.running() == 2);
    }
}

TEST_CASE("what waits for its needs too long is turned down and says for what") {
    Run run;
    run.ledger.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}}, "busy")}), false, noon);
    run.settle();
    CHECK(run.replies.empty());
    run.ledger.observe({}, noon + 31 * test_second);
    run.settle(noon + 31 * test_second);
    CHECK(run.only().request.reason->find("needs Amounts 'busy', which is not there after 30 s") !=
          std::string::npos);
    CHECK(run.ledger.phase(Kind::Boxes) == Phase::None);
}

TEST_CASE("a refusal by the caller turns the version down and leaves what is in force") {
    Run run;
    run.ledger.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}})}), false, noon);
    run.settle();
    run.replies.clear();
    run.ledger.receive(1, offer(Kind::Boxes, 2, {}), false, noon);
    while (!run.ledger.step(noon)) {
    }
    run.ledger.rejected("it would leave zone 'east' without a server", noon);
    run.settle();
    CHECK(run.only().request.reason == "it would leave zone 'east' without a server");
    CHECK(run.running() == 1);
}

TEST_CASE("an unknown type, a number that is none and a kind not taken are turned down") {
    Run run;
    auto unknown = offer(Kind::Boxes, 1, {});
    unknown.kind.reset();
    unknown.type_url = "type.example/Thing";
    unknown.fault = "resource type 'type.example/Thing' is not known here";
    run.ledger.receive(1, unknown, false, noon);
    run.settle();
    auto reply = run.only();
    CHECK(reply.request.type_url == "type.example/Thing");
    CHECK(reply.request.reason);
    run.ledger.receive(1, offer(Kind::Rules, 1, {}), false, noon);
    run.settle();
    CHECK(run.only().request.reason->find("Rules are not taken") != std::string::npos);
}

namespace {

// Lookups at 20 a second, of which `bad` a second end badly.
void play(Run& run, Micros& now, int seconds, double bad) {
    for (int i = 0; i < seconds * 2; i++) {
        now += 500 * test_ms;
        run.counts.completed += 10;
        run.counts.unsuccessful += static_cast<std::uint64_t>(bad / 2);
        run.ledger.observe(run.counts, now);
        run.settle(now);
    }
}

}  // namespace

TEST_CASE("a version that does harm is rolled back, reported, and not taken again") {
    Run run({true, 15 * test_second, 0.1});
    Micros now = noon;
    run.ledger.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}})}), false, now);
    run.settle(now);
    play(run, now, 40, 0);
    CHECK(run.ledger.canary_state() == Canary::State::Idle);  // settled
    run.replies.clear();
    run.ledger.receive(1, offer(Kind::Boxes, 2, {boxes("east", {other()})}), false, now);
    run.settle(now);
    CHECK(run.running() == 2);
    CHECK(!run.only().request.reason);
    play(run, now, 10, 12);
    CHECK(run.running() == 1);
    auto reply = run.only();
    CHECK(reply.request.version == "1");
    CHECK(reply.request.nonce == "ctl-a/2b");
    CHECK(reply.request.reason->find("rolled back: it did harm") != std::string::npos);
    run.ledger.receive(1, offer(Kind::Boxes, 2, {boxes("east", {other()})}), false, now);
    run.settle(now);
    CHECK(run.only().request.reason->find("was taken back before") != std::string::npos);
    run.ledger.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}})}), false, now);  // the service goes back
    run.settle(now);
    CHECK(!run.only().request.reason);
    run.ledger.receive(1, offer(Kind::Boxes, 3, {boxes("east", {other()})}), false, now);  // meant
    run.settle(now);
    CHECK(run.running() == 3);
}

TEST_CASE("a version that comes while another is on trial: both are taken back to the last settled one") {
    Run run({true, 15 * test_second, 0.1});
    Micros now = noon;
    run.ledger.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}})}), false, now);
    run.settle(now);
    play(run, now, 40, 0);
    run.ledger.receive(1, offer(Kind::Boxes, 2, {boxes("east", {other()})}), false, now);
    run.settle(now);
    play(run, now, 1, 0);
    run.ledger.receive(1, offer(Kind::Boxes, 3, {boxes("east", {other(), {}})}), false, now);
    run.settle(now);
    CHECK(run.last.settled == run.ledger.last_settled());
    play(run, now, 10, 14);
    CHECK(run.running() == 1);
}

TEST_CASE("a trial passes what is as bad as before, and what is hardly worse") {
    for (double before : {0.0, 4.0}) {
        Run run({true, 15 * test_second, 0.1});
        Micros now = noon;
        run.ledger.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}})}), false, now);
        run.settle(now);
        play(run, now, 40, before);
        run.ledger.receive(1, offer(Kind::Boxes, 2, {boxes("east", {other()})}), false, now);
        run.settle(now);
        play(run, now, 20, before + 0);
        CHECK(run.running() == 2);
        CHECK(run.ledger.canary_state() == Canary::State::Idle);
        CHECK(run.ledger.counters().rolled_back == 0);
    }
}

TEST_CASE("what is kept is taken up at the start, or the reason is told") {
    Run first;
    first.ledger.receive(1, offer(Kind::Boxes, 4, {boxes("east", {{}})}), false, noon);
    first.settle();
    std::vector<Bundle> kept = {version_of(first.ledger.active(), Kind::Boxes)->bundle};
    Run second;
    CHECK(!second.ledger.restore(kept));
    CHECK(second.running() == 4);
    auto again = second.ledger.subscription(Kind::Boxes, false);
    CHECK(again.version == "4");
    CHECK(again.labels.size() == 1);
    CHECK(second.ledger.subscription(Kind::Boxes, true).labels.empty());
    second.ledger.receive(1, offer(Kind::Boxes, 3, {}), false, noon);
    second.settle();
    CHECK(second.only().request.reason->find("older than 4") != std::string::npos);
    auto site = a_site();
    auto elsewhere = terms();
    elsewhere.zones = {"central", "west", "north"};
    for (auto& [name, item] : kept[0].items) item->read.reset();
    VersionManager third(configured_limits(site, elsewhere), {Kind::Boxes}, {false, 0, 0});
    CHECK(third.restore(kept).value().find("zone 'east'") != std::string::npos);
    CHECK(!version_of(third.active(), Kind::Boxes));
}

TEST_CASE("ten thousand boxes are checked in slices, and an unchanged resource is not read again") {
    std::vector<std::string> ids, addresses;
    for (int i = 0; i < 10'000; i++) {
        ids.push_back(fmt::format("s-{:08x}", i + 1));
        addresses.push_back(fmt::format("10.{}.{}.1:80", i / 250, i % 250));
    }
    std::vector<Box> all;
    all.reserve(ids.size());
    for (int i = 0; i < 10'000; i++) all.push_back({ids[i].c_str(), addresses[i].c_str(), "east", "std", 1});
    Run run;
    run.ledger.receive(1, offer(Kind::Boxes, 1, {boxes("all", all)}), false, noon);
    int steps = 0;
    while (run.ledger.has_work() && steps < 1000) {
        if (run.ledger.step(noon)) run.ledger.applied({}, noon);
        steps++;
    }
    CHECK(steps >= 10'000 / 256);
    CHECK(run.held() == 10'000);
    auto before = version_of(run.ledger.active(), Kind::Boxes)->bundle.items.at("all")->read;
    run.ledger.receive(1, offer(Kind::Boxes, 2, {boxes("all", all)}), false, noon);
    run.settle();
    CHECK(version_of(run.ledger.active(), Kind::Boxes)->bundle.items.at("all")->read == before);
}

// Deterministic simulation: services, streams, bad versions, refusals and harm in orders drawn by chance.
// What the ledger does is checked against a plain record of what was told.
TEST_CASE("whatever comes in whatever order, only whole good versions are in force, each answered once") {
    for (unsigned seed = 1; seed <= 300; seed++) {
        INFO("seed ", seed);
        Random chance{seed};
        for (int i = 0; i < 3; i++) chance.next();
        auto draw = [&](unsigned n) { return chance.next() % n; };
        Run run({true, 4 * test_second, 0.1});
        Micros now = noon;
        std::map<std::string, int> answers;  // by nonce
        std::map<std::string, bool> good;    // by nonce: may it ever be acknowledged
        std::map<std::pair<std::string, std::uint64_t>, int> contents;  // told good, by identity and number
        std::map<std::string, std::uint64_t> highest;                   // in force so far, by identity
        int nonces = 0;
        VersionSet before;
        auto checked = [&] {
            auto& force = run.ledger.active();
            for (auto& one : force) {
                if (!one) continue;
                for (auto& need : one->dependencies) {  // never half
                    REQUIRE(version_of(force, need.kind));
                    REQUIRE(version_of(force, need.kind)->bundle.items.contains(need.name));
                }
            }
            auto& now_in = version_of(force, Kind::Boxes);
            if (now_in && now_in != version_of(before, Kind::Boxes)) {
                auto& bundle = now_in->bundle;
                REQUIRE(contents.contains({bundle.identity, bundle.number}));
                bool back = now_in == version_of(run.ledger.last_settled(), Kind::Boxes);
                if (!back) REQUIRE(bundle.number >= highest[bundle.identity]);
                highest[bundle.identity] = std::max(highest[bundle.identity], bundle.number);
            }
            before = force;
            for (auto& reply : run.ledger.take_replies()) {
                auto& request = reply.request;
                answers[request.nonce]++;
                if (!request.reason) {
                    REQUIRE(good[request.nonce]);
                    REQUIRE(answers[request.nonce] == 1);
                }
                // A second word on a nonce is a roll-back and nothing else.
                if (answers[request.nonce] == 2) REQUIRE(request.reason->starts_with("rolled back"));
                REQUIRE(answers[request.nonce] <= 2);
            }
        };
        std::uint64_t number = 1;
        for (int event = 0; event < 120; event++) {
            now += static_cast<Micros>(draw(600)) * test_ms;
            switch (draw(8)) {
                case 0:
                case 1:
                case 2: {  // a version of boxes
                    const char* identity = draw(8) ? "ctl-a" : "ctl-b";
                    number = draw(4) ? number + 1 : number > 2 ? number - draw(2) : number;
                    bool bad = draw(4) == 0, needs = draw(4) == 0;
                    Box broken{"s-0000000z", "", "", "", 1};
                    auto made = offer(Kind::Boxes, number,
                                      {boxes("east",
                                             {bad       ? broken
                                              : draw(2) ? Box{}
                                                        : other()},
                                             needs ? "busy" : nullptr)},
                                      identity);
                    made.nonce = "n" + std::to_string(++nonces);
                    good[made.nonce] = !bad;
                    if (!bad) contents[{identity, number}]++;
                    run.ledger.receive(1 + draw(2), made, false, now);
                    break;
                }
                case 3: {  // of amounts, with or without what boxes may need
                    auto made = offer(Kind::Amounts, 1000 + static_cast<std::uint64_t>(event),
                                      {amounts(draw(2) ? "busy" : "calm", 1 + draw(8))});
                    made.nonce = "n" + std::to_string(++nonces);
                    good[made.nonce] = true;
                    run.ledger.receive(1, made, false, now);
                    break;
                }
                case 4:
                case 5:
                    for (unsigned i = draw(6); i > 0; i--)
                        if (auto proposal = run.ledger.step(now)) {
                            if (draw(5))
                                run.ledger.applied(run.counts, now);
                            else
                                run.ledger.rejected("the caller does not want it", now);
                        }
                    break;
                default:
                    run.counts.completed += 40;
                    run.counts.unsuccessful += draw(6) ? 1 : 30;
                    run.ledger.observe(run.counts, now);
            }
            checked();
        }
        // In the end everything comes to rest.
        for (int i = 0; i < 200; i++) {
            now += test_second;
            run.ledger.observe(run.counts, now);
            for (int step = 0; step < 20 && run.ledger.has_work(); step++)
                if (run.ledger.step(now)) run.ledger.applied(run.counts, now);
            checked();
        }
        REQUIRE(!run.ledger.has_work());
        REQUIRE(run.ledger.canary_state() == Canary::State::Idle);
        REQUIRE(run.ledger.phase(Kind::Boxes) == Phase::None);
    }
}
