// The rule language and what rules decide.
#include "route/rules.hpp"

#include <doctest/doctest.h>

#include <cstdlib>
#include <new>

#include "helpers.hpp"

using namespace quillgrade;
using namespace quillgrade::route;

namespace {

Site a_rule_site() {
    Site site;
    site.traffic = {"lesson-video", "timetable-page", "order"};
    site.zones = {"central", "east"};
    site.kinds = {"small", "large"};
    site.types = {pages(), pages(), pages()};
    site.types[2].idempotency = Idempotency::NonIdempotent;
    site.transmissions = 6;
    return site;
}

const Site here = a_rule_site();

std::shared_ptr<const RuleSet> load(const std::string& text, std::uint64_t budget = usual_budget) {
    Loader loader(text, here, budget);
    while (!loader.step(64)) {
    }
    INFO(loader.report());
    CHECK(loader.faults().empty());
    return loader.result();
}

std::string faults(const std::string& text, std::uint64_t budget = usual_budget) {
    Loader loader(text, here, budget);
    while (!loader.step(64)) {
    }
    CHECK(!loader.result());
    return loader.report(100);
}

std::string warnings(const std::string& text) {
    Loader loader(text, here);
    while (!loader.step(64)) {
    }
    std::string all;
    for (auto& one : loader.warnings()) all += one.what + "\n";
    return all;
}

Told told() {
    Told made;
    made.object = 0x7f3a9c21e0b4d655;
    made.part = 3;
    made.group = 17;
    made.bytes = 412'500;
    made.remaining = 1500 * test_ms;
    made.client = 0x0a010203;  // 10.1.2.3
    made.now = noon;
    return made;
}

// Whether a condition holds of told().
bool holds(const std::string& condition, const Told& what = told()) {
    auto set = load("field school max 40; field agent max 200; rule it when " + condition + ": copies off;");
    if (!set) return false;
    RuleSet::Runner runner(*set);
    auto decision = set->decide(what, runner);
    CHECK(decision.rule == set->decide_in_turn(what, runner).rule);
    CHECK(runner.units <= set->bound());
    return decision.rule == 0;
}

}  // namespace

TEST_CASE("conditions: fields, literals, logic, arithmetic") {
    for (auto* yes : {"true",
                      "class == \"lesson-video\"",
                      "not class == \"order\"",
                      "part == 3 and group == 17",
                      "part == 4 or group == 17",
                      "object == \"7f3a9c21e0b4d655\"",
                      "size > 400kb and size < 1mb",
                      "remaining >= 1s and remaining <= 1500ms",
                      "not retry",
                      "client == 10.1.2.3",
                      "client in 10.1.0.0/16",
                      "client in {10.2.0.0/16, 10.1.2.3}",
                      "part in {1, 3..5}",
                      "class in {\"lesson-video\", \"order\"}",
                      "starts_with(object, \"7f3a\")",
                      "ends_with(object, \"d655\")",
                      "contains(object, \"9c21\")",
                      "matches(object, \"^7f.*55$\")",
                      "part * 2 + 1 == 7",
                      "part - 5 == -2",
                      "-part == -3",
                      "7 / 2 == 3",
                      "size / 2 > 200kb",
                      "remaining * 2 == 3s",
                      "size / 1kb == 412",
                      "slice(object, 0, 4) == \"7f3a\"",
                      "slice(object, 14, 99) == \"55\"",
                      "slice(object, 9, 3) == \"\"",
                      "lower(\"ABC\") == \"abc\"",
                      "upper(class) == \"LESSON-VIDEO\"",
                      "join(\"/\", class, \"x\") == \"lesson-video/x\"",
                      "join(\"\", text(part), hex(part)) == \"30000000000000003\"",
                      "length(object) == 16",
                      "hash(object) == hash(object)",
                      "time >= 00:00 and time < 24:00",
                      "\"a\\x41\\n\" == \"aA\\x0a\"",
                      "(part == 3) == true",
                      "part < 4 and part <= 3 and part > 2 and part >= 3 and part != 9",
                      "true or 1 / part == 9"})
        CHECK_MESSAGE(holds(yes), yes);
    for (auto* no : {"false", "class == \"order\"", "part in {1, 4..9}", "client in 10.2.0.0/16", "retry",
                     "matches(object, \"^f\")", "size > 1gb", "starts_with(object, \"7f3b\")", "has(school)",
                     "not (part == 3 and group == 17)"})
        CHECK_MESSAGE(!holds(no), no);
}

TEST_CASE("named fields: present, absent, and longer than declared") {
    auto with = told();
    with.named = {{"other", "x"}, {"school", "st-anne"}};
    CHECK(holds("school == \"st-anne\" and has(school)", with));
    CHECK(holds("not has(agent) and agent == \"\"", with));
    std::string long_one(41, 's'), at_bound(40, 's');
    with.named = {{"school", long_one}};
    CHECK(holds("not has(school) and school == \"\"", with));
    with.named = {{"school", at_bound}};
    CHECK(holds("length(school) == 40", with));
    std::string huge(300'000, 'x');
    with.named = {{"agent", huge}, {"school", "a\0b"}};
    CHECK(!holds("matches(agent, \"(x+x+)+y\")", with));
}

TEST_CASE("amounts that overflow and division by zero make a condition false, and nothing else") {
    auto set = load(
        "rule over when part * 9223372036854775807 > 0: copies off;"
        "rule zero when 10 / (part - 3) == 1: copies off;"
        "rule after when part == 3: transmissions 2;");
    RuleSet::Runner runner(*set);
    auto decision = set->decide(told(), runner);
    CHECK(decision.rule == 2);
    CHECK(runner.failed);
    CHECK(set->decide_in_turn(told(), runner).rule == 2);
}

TEST_CASE("faults are told with their place, several in one run") {
    auto all = faults(
        "field school max 40;\n"
        "let x = part + \"a\";\n"
        "rule a when clas == \"x\": copies off;\n"
        "rule b when part == \"3\": copies off;\n"
        "rule c when part == 3 copies off;\n"
        "rule d when matches(school, class): copies off;\n"
        "rule e when matches(school, \"a(b\"): copies off;\n"
        "rule f: class \"nothing\";\n"
        "rule g: pool nowhere;\n"
        "rule h: transmissions 9;\n"
        "rule i: key part;\n"
        "rule j when school in {1, \"a\"}: copies off;\n"
        "rule k when part: copies off;\n"
        "rule l when length(part) == 1: copies off;\n"
        "let school = 3;\n");
    for (auto* wanted :
         {"line 2, column 9: numbers, durations or sizes are expected",
          "line 3, column 13: 'clas' is not known here; fields: class",
          "line 4, column 21: int is expected, not text (\"3\")",
          "line 5, column 23: ':' and what the rule decides",
          "line 6, column 29: the pattern of matches has to be a text as it stands",
          "line 7, column 13: the pattern can't be used: missing )",
          "line 8, column 15: no traffic type \"nothing\" here; there are lesson-video", "no pool 'nowhere'",
          "9 transmissions, where the settings allow 6", "line 11, column 13: text is expected, not int",
          "line 12, column 24: a set of text holds a int: 1", "line 13, column 13: bool is expected, not int",
          "line 14, column 20: text is expected, not int", "line 15, column 1: the name 'school' is taken",
          "    rule a when clas == \"x\": copies off;\n                ^\n"})
        CHECK_MESSAGE(all.find(wanted) != std::string::npos, wanted << "\nin\n" << all);
}

TEST_CASE("names and functions stand for what they mean, and there is no recursion") {
    CHECK(holds("true"));
    auto set = load(
        "let video = class == \"lesson-video\";"
        "def school(o: text) = slice(o, 0, 4);"
        "def both(a: bool, b: bool) = a and b;"
        "rule it when both(video, school(object) == \"7f3a\"): copies off;");
    RuleSet::Runner runner(*set);
    CHECK(set->decide(told(), runner).rule == 0);
    CHECK(faults("def f(a: int) = f(a);")
              .find("no function 'f'; a function sees only those defined before it") != std::string::npos);
    CHECK(faults("def f(a: int) = g(a); def g(a: int) = a;").find("no function 'g'") != std::string::npos);
    CHECK(faults("let a = a;").find("'a' is not known") != std::string::npos);
    CHECK(faults("def f(a: int) = a + \"x\";") != "");
    CHECK(faults("def f(a: int) = a; rule x when f(\"s\") == 1: copies off;")
              .find("'a' of 'f' is of type int, not text") != std::string::npos);
}

TEST_CASE("what has no bound, or costs more than the budget, is refused and says what costs most") {
    CHECK(faults("field f max 0;").find("without a bound no cost is known") != std::string::npos);
    CHECK(faults("field f max 9000;").find("1 to 8192 bytes") != std::string::npos);
    CHECK(faults("field f max 100; rule x when matches(f, \"((a{0,30}){0,30}){0,30}\"): copies off;") != "");
    CHECK(faults("field f max 8192; rule x when matches(f, \"(a|b)*c\"): copies off;", 5000)
              .find("most of it: matches(f, \"(a|b)*c\")") != std::string::npos);
    std::string doubling = "field f max 1000; let a0 = join(\"\", f, f);";
    for (int i = 1; i < 12; i++)
        doubling += "let a" + std::to_string(i) + " = join(\"\", a" + std::to_string(i - 1) + ", a" +
                    std::to_string(i - 1) + ");";
    auto joined = faults(doubling);
    CHECK_MESSAGE((joined.find("more than 65536") != std::string::npos ||
                   joined.find("4096 parts") != std::string::npos),
                  joined);
    std::string sixteen = "field f max 8192; rule x: key join(\"\"";
    for (int i = 0; i < 16; i++) sixteen += ", f";
    CHECK(faults(sixteen + ");").find("a text of up to 131072 bytes, more than 65536") != std::string::npos);
    std::string many = "field f max 64;";
    for (int i = 0; i < 100; i++)
        many +=
            "rule r" + std::to_string(i) + " when contains(f, \"" + std::to_string(i) + "\"): copies off;";
    CHECK(faults(many, 1000).find("100 rules that can't be looked up by a literal") != std::string::npos);
    CHECK(load(many));
}

TEST_CASE("a file cut at any byte is refused or means nothing else, and so are odd bytes and deep nesting") {
    std::string good =
        "field f max 9; let v = part == 3; def g(a: text) = lower(a); pool p = box.cell in {1, 2} ;"
        "rule x when v and g(f) == \"a\\x00b\" # why\n : class \"order\", key join(\"/\", f, object), pool p "
        "weight 9, limit 2s;";
    CHECK(load(good));
    for (std::size_t length = 0; length < good.size(); length++) {
        Loader loader(good.substr(0, length), here);
        while (!loader.step(8)) {
        }
        if (auto set = loader.result()) CHECK(set->all().empty());  // cut between statements
    }
    for (unsigned seed = 1; seed <= 3000; seed++) {
        Random chance{seed};
        auto spoilt = good;
        for (int i = 0; i < 3; i++) spoilt[chance.next() % spoilt.size()] = static_cast<char>(chance.next());
        Loader loader(spoilt, here);
        while (!loader.step(8)) {
        }
        loader.report();
    }
    for (auto* nested : {"(", "not ", "-", "lower("}) {
        std::string deep = "rule x when ";
        for (int i = 0; i < 30'000; i++) deep += nested;
        CHECK(faults(deep + "1: copies off;").find("nested more than 64 deep") != std::string::npos);
    }
    CHECK(faults("rule x when part == 99999999999999999999: copies off;").find("beyond 2^63-1") !=
          std::string::npos);
    CHECK(faults("rule x when remaining > 9223372036854775807h: copies off;").find("beyond 2^63-1") !=
          std::string::npos);
    CHECK(faults("rule x when client == 10.1.2.300: copies off;").find("whose parts go to 255") !=
          std::string::npos);
    CHECK(faults("rule x when client in 10.1.2.3/8: copies off;").find("bits past the prefix are 0") !=
          std::string::npos);
    CHECK(faults("rule x when time > 25:00: copies off;").find("00:00 to 24:00") != std::string::npos);
    CHECK(faults(std::string("rule x when class == \"a\0b\": copies off;", 39)).find("NUL byte") !=
          std::string::npos);
    CHECK(holds("class != \"\xff\xfe\""));  // strings are bytes
    // NOLINTNEXTLINE(bugprone-string-constructor): longer than a file may be, on purpose.
    CHECK(faults(std::string(9'000'000, ' ')).find("longer than 8 MB") != std::string::npos);
}

TEST_CASE("the first rule that matches decides, whatever finds it") {
    auto set = load(
        "pool a = box.cell == 1;"
        "rule r0 when part > 100: limit 1s;"
        "rule r1 when contains(object, \"9c2\") and group == 18: limit 2s;"
        "rule r2 when starts_with(object, \"7f\") and part == 4: limit 3s;"
        "rule r3 when matches(object, \"55$\"): limit 4s, pool a, transmissions 2, copies off;"
        "rule r4 when group == 17: limit 5s;"
        "rule r5: limit 6s;");
    RuleSet::Runner runner(*set);
    auto decision = set->decide(told(), runner);
    CHECK(decision.rule == 3);
    CHECK(decision.limit == 4 * test_second);
    CHECK(decision.transmissions == 2);
    CHECK(decision.no_copies);
    CHECK(decision.pool == 0);
    auto other = told();
    other.object = 1;
    CHECK(set->decide(other, runner).rule == 4);
    other.group = 2;
    CHECK(set->decide(other, runner).rule == 5);
    other.part = 101;
    CHECK(set->decide(other, runner).rule == 0);
}

TEST_CASE("a traffic type is only taken where its effect is as strict as the wire's") {
    auto set = load("rule x: class \"order\";");
    RuleSet::Runner runner(*set);
    CHECK(set->decide(told(), runner).traffic == 2);  // a page treated as exclusive: never repeated
    set = load("rule x: class \"lesson-video\";");
    RuleSet::Runner other(*set);
    auto order = told();
    order.traffic = 2;
    auto decision = set->decide(order, other);
    CHECK(decision.traffic == -1);
    CHECK(decision.looser);
}

TEST_CASE("keys: two schools, one object, never one key; and the same again tomorrow") {
    auto set = load("field school max 40; rule x: key join(\"/\", school, object);");
    RuleSet::Runner runner(*set);
    auto one = told(), other = told();
    one.named = {{"school", "st-anne"}};
    other.named = {{"school", "st-john"}};
    auto key = set->decide(one, runner).key.value();
    CHECK(key != set->decide(other, runner).key.value());
    CHECK(key == set->decide(one, runner).key.value());
    CHECK(key != one.object);
}

TEST_CASE("a pool's members follow its expression, and an empty one falls back") {
    auto set = load(
        "pool large = box.kind == \"large\";"
        "pool cells = box.cell in {1, 2} and box.weight >= 2000 else large;"
        "pool one = box.id == \"s-00000009\" else cells;");
    auto box = [](CacheId id, int cell, int kind, double weight,
                  EndpointState listed = EndpointState::Ready) {
        return feed::Endpoint{{id, listed, weight, kind, cell, 1, 0}, 1, 1};
    };
    auto members = set->members({box(3, 1, 0, 4), box(2, 2, 0, 4), box(5, 1, 0, 1), box(7, 9, 1, 4)}, here);
    CHECK(members[0] == std::vector<CacheId>{7});
    CHECK(members[1] == std::vector<CacheId>{2, 3});
    CHECK(members[2] == std::vector<CacheId>{2, 3});  // falls back
    members = set->members({box(3, 1, 0, 4, EndpointState::Draining), box(7, 9, 1, 4)}, here);
    CHECK(members[2] == std::vector<CacheId>{7});  // twice
    members = set->members({box(3, 1, 0, 4, EndpointState::Draining)}, here);
    CHECK(members[2].empty());  // and in the end every box
}

TEST_CASE("weights: a change moves only the share that moves") {
    auto count = [&](int weight, std::vector<int>& pools) {
        auto set = load(
            "pool a = true; pool b = box.cell == 1; pool c = box.cell == 2; rule x: pool a weight 60, pool b "
            "weight " +
            std::to_string(weight) + ", pool c weight 20;");
        RuleSet::Runner runner(*set);
        auto what = told();
        int there = 0;
        for (ObjectId object = 0; object < 20'000; object++) {
            what.object = object * 0x9e3779b97f4a7c15U;
            pools.push_back(set->decide(what, runner).pool);
            there += pools.back() == 1;
        }
        return there / 20'000.0;
    };
    std::vector<int> before, after, none;
    CHECK(count(20, before) == doctest::Approx(0.2).epsilon(0.05));
    CHECK(count(40, after) == doctest::Approx(1 / 3.0).epsilon(0.05));
    for (std::size_t i = 0; i < before.size(); i++)
        if (before[i] != after[i])
            REQUIRE(after[i] == 1);  // to the one that grew, from the others, nowhere else
    CHECK(count(0, none) == 0);
}

TEST_CASE("rules that never match are reported") {
    auto all = warnings(
        "rule a when class == \"order\": limit 1s;"
        "rule b when class == \"order\" and part == 1: limit 1s;"
        "rule c when starts_with(object, \"7f\"): limit 1s;"
        "rule d when object == \"7f00000000000000\": limit 1s;"
        "rule e when group in {1, 2}: limit 1s;"
        "rule f when class in {\"lesson-video\", \"timetable-page\"} and part == 2: limit 1s;"
        "rule g when class == \"lesson-video\" and part == 2: limit 1s;"
        "rule h when class == \"lesson-video\" and part == 3: limit 1s;"
        "rule i when 1 == 2: limit 1s;"
        "rule j: limit 1s;"
        "rule k when part == 9: limit 1s;");
    for (auto* wanted :
         {"'b' never matches: rule 'a'", "'d' never matches: rule 'c'", "'g' never matches: rule 'f'",
          "'i' never matches: its condition is false", "'k' never matches: rule 'j'"})
        CHECK_MESSAGE(all.find(wanted) != std::string::npos, wanted << " in " << all);
    CHECK(std::count(all.begin(), all.end(), '\n') == 5);
}

namespace {

std::string drawn(Random& chance, int depth = 0) {
    auto draw = [&](unsigned n) { return chance.next() % n; };
    auto number = [&] { return std::to_string(draw(6)); };
    switch (draw(depth < 3 ? 16 : 11)) {
        case 0:
            return "part == " + number();
        case 1:
            return "group == " + number();
        case 2:
            return "class == \"" + here.traffic[draw(3)] + "\"";
        case 3:
            return "school == \"s" + number() + "\"";
        case 4:
            return "starts_with(school, \"" + std::string(draw(2) ? "s" : "") + number() + "\")";
        case 5:
            return "part in {" + number() + ", " + number() + ".." + std::to_string(6 + draw(3)) + "}";
        case 6:
            return "school in {\"s1\", \"s" + number() + "\"}";
        case 7:
            return "client in 10.1." + number() + ".0/" + std::to_string(24);
        case 8:
            return "matches(school, \"s[" + number() + "-7]\")";
        case 9:
            return std::string(draw(2) ? "group < " : "3 <= ") + (draw(2) ? "3" : "part");
        case 10:
            return "contains(school, \"" + number() + "\")";
        case 11:
            return "not (" + drawn(chance, depth + 1) + ")";
        case 12:
            return "(" + drawn(chance, depth + 1) + " or " + drawn(chance, depth + 1) + ")";
        default:
            return "(" + drawn(chance, depth + 1) + " and " + drawn(chance, depth + 1) + ")";
    }
}

}  // namespace

// Seeded: rules and lookups drawn by chance; the index gives what going through all rules gives, never above
// its bound.
TEST_CASE("the index and the plain order agree, within the stated bound") {
    for (unsigned seed = 1; seed <= 150; seed++) {
        Random chance{seed};
        std::string text = "field school max 12;";
        for (unsigned i = 0, count = 1 + chance.next() % 60; i < count; i++)
            text += "rule r" + std::to_string(i) + " when " + drawn(chance) + ": limit 1s;";
        Loader loader(text, here, 10'000'000);
        while (!loader.step(7)) {
        }
        INFO("seed ", seed, "\n", text, "\n", loader.report());
        auto set = loader.result();
        REQUIRE(set);
        RuleSet::Runner runner(*set);
        for (int i = 0; i < 200; i++) {
            auto what = told();
            what.traffic = static_cast<int>(chance.next() % 3);
            what.part = static_cast<int>(chance.next() % 9);
            what.group = static_cast<int>(chance.next() % 6);
            what.client = 0x0a010000 + (chance.next() % 6 << 8) + 5;
            auto school = (chance.next() % 3 ? "s" : "") + std::to_string(chance.next() % 8) +
                          (chance.next() % 2 ? "x" : "");
            what.named = {{"school", school}};
            auto by_turn = set->decide_in_turn(what, runner).rule;
            REQUIRE(set->decide(what, runner).rule == by_turn);
            REQUIRE(runner.units <= set->bound());
        }
    }
}
