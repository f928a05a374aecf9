// The life of versions: their order, dependencies, canary trials, and the reply to each.
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

struct ManagerFixture {
    explicit ManagerFixture(Canary::Settings trial = {false, 0, 0})
        : versions(configured_limits(a_site(), terms()), {Kind::Boxes, Kind::Amounts}, trial) {}
    // Steps until there is no work left, and applies each proposal. Returns how many were applied.
    int work_until_idle(Micros now = noon) {
        int applied = 0;
        for (int i = 0; i < 100'000 && versions.has_work(); i++)
            if (auto proposal = versions.step(now)) {
                last = *proposal;
                versions.applied(counts, now);
                applied++;
            }
        REQUIRE(!versions.has_work());
        for (auto& reply : versions.take_replies()) replies.push_back(reply);
        return applied;
    }
    Reply take_only_reply() {
        REQUIRE(replies.size() == 1);
        auto reply = replies[0];
        replies.clear();
        return reply;
    }
    std::uint64_t active_number() const {
        auto& active = version_of(versions.active(), Kind::Boxes);
        return active ? active->bundle.number : 0;
    }
    std::size_t active_endpoints() const {
        auto& active = version_of(versions.active(), Kind::Boxes);
        return active ? active->endpoints.size() : 0;
    }
    VersionManager versions;
    LookupCounts counts;
    Proposal last;
    std::vector<Reply> replies;
};

Box other() { return {"s-00000002", "10.1.0.2:80", "east", "std", 1}; }

}  // namespace

TEST_CASE("a valid version becomes active, and is acknowledged only after it was applied") {
    ManagerFixture fixture;
    fixture.versions.receive(7, offer(Kind::Boxes, 3, {boxes("east", {{}})}), false, noon);
    CHECK(fixture.versions.take_replies().empty());
    std::optional<Proposal> proposal;
    while (!proposal) proposal = fixture.versions.step(noon);
    CHECK(fixture.active_number() == 0);
    CHECK(fixture.versions.take_replies().empty());  // no ACK before the version was applied
    fixture.versions.applied({}, noon);
    CHECK(fixture.active_number() == 3);
    auto replies = fixture.versions.take_replies();
    REQUIRE(replies.size() == 1);
    CHECK(replies[0].stream == 7);
    CHECK(replies[0].request.nonce == "ctl-a/3b");
    CHECK(replies[0].request.version == "3");
    CHECK(!replies[0].request.reason);
}

TEST_CASE("each kind of invalid box is rejected with its reason, and the active version stays") {
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
                            {{weight}, "weight is not from 0 to 1e9"},
                            {{nan}, "weight is not from 0 to 1e9"},
                            {{Box{}, Box{}}, "s-00000001 appears twice"},
                            {{Box{}, same_address}, "has the address of s-00000001"}};
    for (auto& bad : all) {
        ManagerFixture fixture;
        fixture.versions.receive(1, offer(Kind::Boxes, 1, {boxes("good", {{}})}), false, noon);
        fixture.work_until_idle();
        fixture.replies.clear();
        fixture.versions.receive(1, offer(Kind::Boxes, 2, {boxes("bad", bad.all)}), false, noon);
        CHECK(fixture.work_until_idle() == 0);
        auto reply = fixture.take_only_reply();
        CHECK(reply.request.version == "1");
        REQUIRE(reply.request.reason);
        CHECK_MESSAGE(reply.request.reason->find(bad.reason) != std::string::npos, *reply.request.reason);
        CHECK(fixture.active_number() == 1);
    }
}

TEST_CASE("a resource that can't be parsed, or names an unknown zone or type, is rejected") {
    ManagerFixture fixture;
    fixture.versions.receive(1, offer(Kind::Boxes, 1, {{"x", "", "\x0a\x01x\x12\xff\xff"}}), false, noon);
    fixture.work_until_idle();
    CHECK(fixture.take_only_reply().request.reason->find("can't be parsed as a message of kind Boxes") !=
          std::string::npos);
    wire::Boxes message;
    message.set_name("x");
    message.add_emptied("nowhere");
    message.add_needs()->set_type_url("type.example/Thing");
    fixture.versions.receive(1, offer(Kind::Boxes, 1, {{"x", "", message.SerializeAsString()}}), false, noon);
    fixture.work_until_idle();
    auto reason = *fixture.take_only_reply().request.reason;
    CHECK(reason.find("'nowhere'") != std::string::npos);
    CHECK(reason.find("type.example/Thing") != std::string::npos);
}

TEST_CASE("amounts beyond the limits of the settings are rejected") {
    ManagerFixture fixture;
    fixture.versions.receive(1, offer(Kind::Amounts, 1, {amounts("all", 7)}), false,
                             noon);  // the settings allow 6
    fixture.work_until_idle();
    CHECK(fixture.take_only_reply().request.reason->find("transmissions is 7; 1 to 6 is allowed here") !=
          std::string::npos);
    fixture.versions.receive(1, offer(Kind::Amounts, 2, {amounts("all", 2)}), false, noon);
    CHECK(fixture.work_until_idle() == 1);
    CHECK(version_of(fixture.versions.active(), Kind::Amounts)->amounts.attempts == 2);
    fixture.replies.clear();
    fixture.versions.receive(1, offer(Kind::Amounts, 3, {amounts("all", 2), amounts("again", 3)}), false,
                             noon);
    fixture.work_until_idle();
    CHECK(fixture.take_only_reply().request.reason->find("set by another resource too") != std::string::npos);
}

TEST_CASE("an older version is rejected, a repeated one acknowledged, and numbers may be skipped") {
    ManagerFixture fixture;
    auto offer_version = [&](std::uint64_t number, const Box& box) {
        fixture.versions.receive(1, offer(Kind::Boxes, number, {boxes("east", {box})}), false, noon);
        fixture.work_until_idle();
        return fixture.take_only_reply().request.reason;
    };
    CHECK(!offer_version(5, {}));
    CHECK(!offer_version(9, other()));  // skipped
    CHECK(fixture.active_number() == 9);
    CHECK(offer_version(7, {}).value().find("is older than 9 of 'ctl-a'") != std::string::npos);
    CHECK(fixture.active_number() == 9);
    CHECK(!offer_version(9, other()));  // repeated
    CHECK(fixture.versions.counters().repeated == 1);
    CHECK(offer_version(9, {}).value().find("received before with other contents") != std::string::npos);
    CHECK(fixture.active_endpoints() == 1);
    CHECK(version_of(fixture.versions.active(), Kind::Boxes)->endpoints[0].entry.id == 2);
}

TEST_CASE("numbers are ordered per identity: a new service starts from 1, and the old one keeps its order") {
    ManagerFixture fixture;
    auto offer_version = [&](const char* identity, std::uint64_t number, const Box& box) {
        fixture.versions.receive(1, offer(Kind::Boxes, number, {boxes("east", {box})}, identity), false,
                                 noon);
        fixture.work_until_idle();
        return fixture.take_only_reply().request.reason;
    };
    CHECK(!offer_version("ctl-a", 17, {}));
    CHECK(!offer_version("ctl-b", 1, other()));
    CHECK(fixture.active_number() == 1);
    CHECK(offer_version("ctl-a", 16, {}).has_value());
    CHECK(fixture.active_number() == 1);
    CHECK(!offer_version("ctl-a", 18, {}));
    CHECK(fixture.active_number() == 18);
    for (int i = 0; i < 100; i++)
        offer_version(("ctl-" + std::to_string(i)).c_str(), 1,
                      other());             // more identities than are remembered
    CHECK(!offer_version("ctl-a", 1, {}));  // the number of ctl-a is no longer remembered
}

TEST_CASE("of many queued versions only the newest becomes active") {
    ManagerFixture fixture;
    for (std::uint64_t number = 1; number <= 1000; number++)
        fixture.versions.receive(1, offer(Kind::Boxes, number, {boxes("east", {{}})}), false, noon);
    CHECK(fixture.work_until_idle() == 1);
    CHECK(fixture.active_number() == 1000);
    CHECK(fixture.versions.counters().superseded == 999);
    CHECK(fixture.take_only_reply().request.nonce == "ctl-a/1000b");
}

TEST_CASE("incremental changes are merged, and each nonce gets a reply") {
    ManagerFixture fixture;
    fixture.versions.receive(1, changes(1, {boxes("a", {{}})}), true, noon);
    fixture.work_until_idle();
    fixture.replies.clear();
    fixture.versions.receive(1, changes(2, {boxes("b", {other()})}), false, noon);
    fixture.versions.receive(1, changes(3, {}, {"a"}), false, noon);
    fixture.work_until_idle();
    REQUIRE(fixture.replies.size() == 2);
    CHECK(fixture.replies[0].request.nonce == "ctl-a/2b");
    CHECK(fixture.replies[1].request.nonce == "ctl-a/3b");
    CHECK(fixture.active_endpoints() == 1);
    CHECK(version_of(fixture.versions.active(), Kind::Boxes)->endpoints[0].entry.id == 2);
    fixture.versions.receive(2, changes(4, {boxes("c", {{}})}), true,
                             noon);  // a stream that has claimed to hold nothing
    fixture.work_until_idle();
    CHECK(fixture.active_endpoints() == 1);
    CHECK(version_of(fixture.versions.active(), Kind::Boxes)->endpoints[0].entry.id == 1);
}

TEST_CASE("an invalid incremental change does not affect the valid ones before and after it") {
    ManagerFixture fixture;
    fixture.versions.receive(1, changes(1, {boxes("a", {{}})}), true, noon);
    fixture.work_until_idle();
    Box bad{"x", "", "", "", 1};
    fixture.versions.receive(1, changes(2, {boxes("b", {bad})}), false, noon);
    while (fixture.versions.phase(Kind::Boxes) != Phase::Validating) fixture.versions.step(noon);
    fixture.versions.receive(1, changes(3, {boxes("c", {other()})}), false, noon);
    fixture.work_until_idle();
    CHECK(fixture.active_endpoints() == 2);
    CHECK(fixture.active_number() == 3);
}

TEST_CASE("versions of different kinds that depend on each other become active together, in any order") {
    for (bool boxes_first : {true, false}) {
        ManagerFixture fixture;
        auto offer_version = [&](bool of_boxes) {
            if (of_boxes)
                fixture.versions.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}}, "busy")}), false,
                                         noon);
            else
                fixture.versions.receive(1, offer(Kind::Amounts, 1, {amounts("busy", 2)}), false, noon);
        };
        offer_version(boxes_first);
        int applied = fixture.work_until_idle();
        CHECK(applied == (boxes_first ? 0 : 1));
        CHECK(fixture.versions.phase(Kind::Boxes) == (boxes_first ? Phase::Staged : Phase::None));
        offer_version(!boxes_first);
        CHECK(fixture.work_until_idle() == 1);
        CHECK(fixture.active_number() == 1);
        CHECK(version_of(fixture.versions.active(), Kind::Amounts));
        // A version that removes a dependency stays staged until nothing depends on it any more.
        fixture.versions.receive(1, offer(Kind::Amounts, 2, {}), false, noon);
        CHECK(fixture.work_until_idle() == 0);
        fixture.versions.receive(1, offer(Kind::Boxes, 2, {boxes("east", {{}})}), false, noon);
        CHECK(fixture.work_until_idle() == 1);
        CHECK(version_of(fixture.versions.active(), Kind::Amounts)->bundle.number == 2);
        CHECK(fixture.active_number() == 2);
    }
}

TEST_CASE("a version whose dependency does not arrive within 30 s is rejected, and the reason names it") {
    ManagerFixture fixture;
    fixture.versions.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}}, "busy")}), false, noon);
    fixture.work_until_idle();
    CHECK(fixture.replies.empty());
    fixture.versions.observe({}, noon + 31 * test_second);
    fixture.work_until_idle(noon + 31 * test_second);
    CHECK(fixture.take_only_reply().request.reason->find(
              "needs Amounts 'busy', which is not there after 30 s") != std::string::npos);
    CHECK(fixture.versions.phase(Kind::Boxes) == Phase::None);
}

TEST_CASE("a version that the caller can't apply is rejected, and the active one stays") {
    ManagerFixture fixture;
    fixture.versions.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}})}), false, noon);
    fixture.work_until_idle();
    fixture.replies.clear();
    fixture.versions.receive(1, offer(Kind::Boxes, 2, {}), false, noon);
    while (!fixture.versions.step(noon)) {
    }
    fixture.versions.rejected("it would leave zone 'east' without a server", noon);
    fixture.work_until_idle();
    CHECK(fixture.take_only_reply().request.reason == "it would leave zone 'east' without a server");
    CHECK(fixture.active_number() == 1);
}

TEST_CASE("an unknown resource type and a kind that is not accepted are rejected") {
    ManagerFixture fixture;
    auto unknown = offer(Kind::Boxes, 1, {});
    unknown.kind.reset();
    unknown.type_url = "type.example/Thing";
    unknown.fault = "resource type 'type.example/Thing' is not known here";
    fixture.versions.receive(1, unknown, false, noon);
    fixture.work_until_idle();
    auto reply = fixture.take_only_reply();
    CHECK(reply.request.type_url == "type.example/Thing");
    CHECK(reply.request.reason);
    fixture.versions.receive(1, offer(Kind::Rules, 1, {}), false, noon);
    fixture.work_until_idle();
    CHECK(fixture.take_only_reply().request.reason->find("Rules are not accepted") != std::string::npos);
}

namespace {

// 20 lookups a second, of which `unsuccessful` a second are rejected or failed.
void run_lookups(ManagerFixture& fixture, Micros& now, int seconds, double unsuccessful) {
    for (int i = 0; i < seconds * 2; i++) {
        now += 500 * test_ms;
        fixture.counts.completed += 10;
        fixture.counts.unsuccessful += static_cast<std::uint64_t>(unsuccessful / 2);
        fixture.versions.observe(fixture.counts, now);
        fixture.work_until_idle(now);
    }
}

}  // namespace

TEST_CASE("a harmful version is rolled back, reported, and not accepted again under its number") {
    ManagerFixture fixture({true, 15 * test_second, 0.1});
    Micros now = noon;
    fixture.versions.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}})}), false, now);
    fixture.work_until_idle(now);
    run_lookups(fixture, now, 40, 0);
    CHECK(fixture.versions.canary_state() == Canary::State::Idle);  // the first version has settled
    fixture.replies.clear();
    fixture.versions.receive(1, offer(Kind::Boxes, 2, {boxes("east", {other()})}), false, now);
    fixture.work_until_idle(now);
    CHECK(fixture.active_number() == 2);
    CHECK(!fixture.take_only_reply().request.reason);
    run_lookups(fixture, now, 10, 12);
    CHECK(fixture.active_number() == 1);
    auto reply = fixture.take_only_reply();
    CHECK(reply.request.version == "1");
    CHECK(reply.request.nonce == "ctl-a/2b");
    CHECK(reply.request.reason->find("rolled back: it did harm") != std::string::npos);
    fixture.versions.receive(1, offer(Kind::Boxes, 2, {boxes("east", {other()})}), false, now);
    fixture.work_until_idle(now);
    CHECK(fixture.take_only_reply().request.reason->find("was rolled back before") != std::string::npos);
    fixture.versions.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}})}), false,
                             now);  // the service returns to version 1
    fixture.work_until_idle(now);
    CHECK(!fixture.take_only_reply().request.reason);
    fixture.versions.receive(1, offer(Kind::Boxes, 3, {boxes("east", {other()})}), false,
                             now);  // the same contents under a new number
    fixture.work_until_idle(now);
    CHECK(fixture.active_number() == 3);
}

TEST_CASE(
    "if a version becomes active during a canary trial, a rollback returns to the last settled version") {
    ManagerFixture fixture({true, 15 * test_second, 0.1});
    Micros now = noon;
    fixture.versions.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}})}), false, now);
    fixture.work_until_idle(now);
    run_lookups(fixture, now, 40, 0);
    fixture.versions.receive(1, offer(Kind::Boxes, 2, {boxes("east", {other()})}), false, now);
    fixture.work_until_idle(now);
    run_lookups(fixture, now, 1, 0);
    fixture.versions.receive(1, offer(Kind::Boxes, 3, {boxes("east", {other(), {}})}), false, now);
    fixture.work_until_idle(now);
    CHECK(fixture.last.settled == fixture.versions.last_settled());
    run_lookups(fixture, now, 10, 14);
    CHECK(fixture.active_number() == 1);
}

TEST_CASE("a version passes its canary trial if lookups fail as often as before it") {
    for (double before : {0.0, 4.0}) {
        ManagerFixture fixture({true, 15 * test_second, 0.1});
        Micros now = noon;
        fixture.versions.receive(1, offer(Kind::Boxes, 1, {boxes("east", {{}})}), false, now);
        fixture.work_until_idle(now);
        run_lookups(fixture, now, 40, before);
        fixture.versions.receive(1, offer(Kind::Boxes, 2, {boxes("east", {other()})}), false, now);
        fixture.work_until_idle(now);
        run_lookups(fixture, now, 20, before + 0);
        CHECK(fixture.active_number() == 2);
        CHECK(fixture.versions.canary_state() == Canary::State::Idle);
        CHECK(fixture.versions.counters().rolled_back == 0);
    }
}

TEST_CASE("a stored version is restored at the start, or the reason why it is not valid is returned") {
    ManagerFixture first;
    first.versions.receive(1, offer(Kind::Boxes, 4, {boxes("east", {{}})}), false, noon);
    first.work_until_idle();
    std::vector<Bundle> kept = {version_of(first.versions.active(), Kind::Boxes)->bundle};
    ManagerFixture second;
    CHECK(!second.versions.restore(kept));
    CHECK(second.active_number() == 4);
    auto again = second.versions.subscription(Kind::Boxes, false);
    CHECK(again.version == "4");
    CHECK(again.labels.size() == 1);
    CHECK(second.versions.subscription(Kind::Boxes, true).labels.empty());
    second.versions.receive(1, offer(Kind::Boxes, 3, {}), false, noon);
    second.work_until_idle();
    CHECK(second.take_only_reply().request.reason->find("older than 4") != std::string::npos);
    auto site = a_site();
    auto elsewhere = terms();
    elsewhere.zones = {"central", "west", "north"};
    for (auto& [name, item] : kept[0].items) item->parsed.reset();
    VersionManager third(configured_limits(site, elsewhere), {Kind::Boxes}, {false, 0, 0});
    CHECK(third.restore(kept).value().find("zone 'east'") != std::string::npos);
    CHECK(!version_of(third.active(), Kind::Boxes));
}

TEST_CASE("ten thousand boxes are validated in slices, and an unchanged resource is not parsed again") {
    std::vector<std::string> ids, addresses;
    for (int i = 0; i < 10'000; i++) {
        ids.push_back(fmt::format("s-{:08x}", i + 1));
        addresses.push_back(fmt::format("10.{}.{}.1:80", i / 250, i % 250));
    }
    std::vector<Box> all;
    all.reserve(ids.size());
    for (int i = 0; i < 10'000; i++) all.push_back({ids[i].c_str(), addresses[i].c_str(), "east", "std", 1});
    ManagerFixture fixture;
    fixture.versions.receive(1, offer(Kind::Boxes, 1, {boxes("all", all)}), false, noon);
    int steps = 0;
    while (fixture.versions.has_work() && steps < 1000) {
        if (fixture.versions.step(noon)) fixture.versions.applied({}, noon);
        steps++;
    }
    CHECK(steps >= 10'000 / 256);
    CHECK(fixture.active_endpoints() == 10'000);
    auto before = version_of(fixture.versions.active(), Kind::Boxes)->bundle.items.at("all")->parsed;
    fixture.versions.receive(1, offer(Kind::Boxes, 2, {boxes("all", all)}), false, noon);
    fixture.work_until_idle();
    CHECK(version_of(fixture.versions.active(), Kind::Boxes)->bundle.items.at("all")->parsed == before);
}

// Deterministic simulation: versions of two services on two streams, invalid versions, failures to apply and
// harmful versions, in seeded random orders. The manager is compared with a plain record of what was
// received.
TEST_CASE("in any order of events only whole valid versions are active, and each gets one reply") {
    for (unsigned seed = 1; seed <= 300; seed++) {
        INFO("seed ", seed);
        Random generator{seed};
        for (int i = 0; i < 3; i++) generator.next();
        auto draw = [&](unsigned n) { return generator.next() % n; };
        ManagerFixture fixture({true, 4 * test_second, 0.1});
        Micros now = noon;
        std::map<std::string, int> reply_counts;          // by nonce
        std::map<std::string, bool> may_be_acknowledged;  // by nonce
        std::map<std::pair<std::string, std::uint64_t>, int>
            contents;                                  // of valid versions, by identity and number
        std::map<std::string, std::uint64_t> highest;  // active so far, by identity
        int nonces = 0;
        VersionSet before;
        auto check_invariants = [&] {
            auto& active = fixture.versions.active();
            for (auto& one : active) {
                if (!one) continue;
                for (auto& dependency : one->dependencies) {  // dependencies are active too
                    REQUIRE(version_of(active, dependency.kind));
                    REQUIRE(version_of(active, dependency.kind)->bundle.items.contains(dependency.name));
                }
            }
            auto& active_boxes = version_of(active, Kind::Boxes);
            if (active_boxes && active_boxes != version_of(before, Kind::Boxes)) {
                auto& bundle = active_boxes->bundle;
                REQUIRE(contents.contains({bundle.identity, bundle.number}));
                bool rolled_back = active_boxes == version_of(fixture.versions.last_settled(), Kind::Boxes);
                if (!rolled_back) REQUIRE(bundle.number >= highest[bundle.identity]);
                highest[bundle.identity] = std::max(highest[bundle.identity], bundle.number);
            }
            before = active;
            for (auto& reply : fixture.versions.take_replies()) {
                auto& request = reply.request;
                reply_counts[request.nonce]++;
                if (!request.reason) {
                    REQUIRE(may_be_acknowledged[request.nonce]);
                    REQUIRE(reply_counts[request.nonce] == 1);
                }
                // A second reply to a nonce reports a rollback and nothing else.
                if (reply_counts[request.nonce] == 2) REQUIRE(request.reason->starts_with("rolled back"));
                REQUIRE(reply_counts[request.nonce] <= 2);
            }
        };
        std::uint64_t number = 1;
        for (int event = 0; event < 120; event++) {
            now += static_cast<Micros>(draw(600)) * test_ms;
            switch (draw(8)) {
                case 0:
                case 1:
                case 2: {  // a version of kind Boxes
                    const char* identity = draw(8) ? "ctl-a" : "ctl-b";
                    number = draw(4) ? number + 1 : number > 2 ? number - draw(2) : number;
                    bool is_invalid = draw(4) == 0, needs = draw(4) == 0;
                    Box invalid{"s-0000000z", "", "", "", 1};
                    auto made = offer(Kind::Boxes, number,
                                      {boxes("east",
                                             {is_invalid ? invalid
                                              : draw(2)  ? Box{}
                                                         : other()},
                                             needs ? "busy" : nullptr)},
                                      identity);
                    made.nonce = "n" + std::to_string(++nonces);
                    may_be_acknowledged[made.nonce] = !is_invalid;
                    if (!is_invalid) contents[{identity, number}]++;
                    fixture.versions.receive(1 + draw(2), made, false, now);
                    break;
                }
                case 3: {  // of kind Amounts, with or without the dependency of Boxes
                    auto made = offer(Kind::Amounts, 1000 + static_cast<std::uint64_t>(event),
                                      {amounts(draw(2) ? "busy" : "calm", 1 + draw(8))});
                    made.nonce = "n" + std::to_string(++nonces);
                    may_be_acknowledged[made.nonce] = true;
                    fixture.versions.receive(1, made, false, now);
                    break;
                }
                case 4:
                case 5:
                    for (unsigned i = draw(6); i > 0; i--)
                        if (auto proposal = fixture.versions.step(now)) {
                            if (draw(5))
                                fixture.versions.applied(fixture.counts, now);
                            else
                                fixture.versions.rejected("the caller can't apply it", now);
                        }
                    break;
                default:
                    fixture.counts.completed += 40;
                    fixture.counts.unsuccessful += draw(6) ? 1 : 30;
                    fixture.versions.observe(fixture.counts, now);
            }
            check_invariants();
        }
        // In the end no work is left and no trial runs.
        for (int i = 0; i < 200; i++) {
            now += test_second;
            fixture.versions.observe(fixture.counts, now);
            for (int step = 0; step < 20 && fixture.versions.has_work(); step++)
                if (fixture.versions.step(now)) fixture.versions.applied(fixture.counts, now);
            check_invariants();
        }
        REQUIRE(!fixture.versions.has_work());
        REQUIRE(fixture.versions.canary_state() == Canary::State::Idle);
        REQUIRE(fixture.versions.phase(Kind::Boxes) == Phase::None);
    }
}
