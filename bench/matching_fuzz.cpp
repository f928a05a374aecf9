// Malformed rules and lookups: nothing may crash, the index and the plain order agree, and no lookup costs
// more units than the stated bound.
//
// With clang and -DQUILLGRADE_FUZZ=ON this is a libFuzzer target (coverage-guided). Else it is a program with
// seeded inputs, the same each time: matching_fuzz [--seconds N] [--inputs N] [--seed N]
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <random>
#include <string>

#include "route/rules.hpp"

using namespace quillgrade;

namespace {

route::Site site_here() {
    route::Site site;
    site.traffic = {"lesson-video", "timetable-page", "order"};
    site.zones = {"central", "east"};
    site.kinds = {"small", "large"};
    site.types.resize(3);
    site.types[2].idempotency = Idempotency::NonIdempotent;
    site.transmissions = 8;
    return site;
}

const route::Site here = site_here();

struct Found {
    std::uint64_t inputs = 0, loaded = 0, decisions = 0, findings = 0;
    double worst = 0;
};

void finding(Found& found, const std::string& what, const std::string& rules) {
    found.findings++;
    fmt::print("finding: {}\n{}\n", what, rules);
}

// What comes before the first byte 255 are rules, what follows the values of a lookup.
void one(std::string_view input, Found& found) {
    found.inputs++;
    auto split = std::min(input.find('\xff'), input.size());
    std::string rules(input.substr(0, split));
    auto rest = input.substr(std::min(split + 1, input.size()));
    route::Loader loader(rules, here, 2'000'000);
    for (int i = 0; i < 100'000 && !loader.step(16); i++) {
    }
    loader.report();
    auto set = loader.result();
    if (!set) return;
    found.loaded++;
    route::RuleSet::Runner runner(*set), other(*set);
    auto fields = set->named();
    for (int i = 0; i < 8; i++) {
        auto byte = [&](std::size_t at) {
            return at < rest.size() ? static_cast<unsigned char>(rest[at]) : 0U;
        };
        route::Told told;
        told.traffic = static_cast<int>(byte(0) % 3);
        told.part = static_cast<int>(byte(1) << 8 | byte(2));
        told.group = static_cast<int>(byte(3));
        told.object = static_cast<ObjectId>(byte(4)) << 56 | byte(5);
        told.bytes = static_cast<std::int64_t>(byte(6)) << (byte(7) % 50);
        told.remaining = static_cast<Micros>(byte(8)) << (byte(9) % 40);
        told.now = static_cast<Micros>(byte(10)) << 40;
        told.client = byte(11) << 24 | byte(12) << 8 | byte(13);
        told.retry = byte(14) & 1;
        std::string text(rest.substr(std::min<std::size_t>(15, rest.size())));
        for (auto& field : fields) told.named.emplace_back(field.name, text);
        auto decision = set->decide(told, runner);
        found.decisions++;
        if (set->bound() > 0)
            found.worst =
                std::max(found.worst, static_cast<double>(runner.units) / static_cast<double>(set->bound()));
        if (runner.units > set->bound())
            finding(found, fmt::format("{} units over a bound of {}", runner.units, set->bound()), rules);
        if (decision.rule != set->decide_in_turn(told, other).rule)
            finding(found, "the index and the plain order differ", rules);
        if (decision.traffic >= 0 &&
            here.types[static_cast<std::size_t>(told.traffic)].idempotency == Idempotency::NonIdempotent &&
            decision.traffic != told.traffic)
            finding(found, "an exclusive lookup was loosened", rules);
        rest = rest.substr(std::min<std::size_t>(3, rest.size()));
    }
}

}  // namespace

#ifdef QUILLGRADE_FUZZ
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    static Found found;
    one({reinterpret_cast<const char*>(data), size}, found);
    if (found.findings) std::abort();
    return 0;
}
#else
namespace {

// Pieces of the language, put together in ways that often make sense and often do not.
constexpr std::array words = {"rule r",
                              "when ",
                              ": copies off;",
                              ": limit 2s;",
                              ": class \"order\";",
                              ": key join(\"/\", f, object);",
                              "field f max 9;",
                              "let v = ",
                              "def g(a: text) = ",
                              "pool p = ",
                              " else p;",
                              "box.cell == 1",
                              "pool p weight 3, pool q",
                              "f",
                              "v",
                              "g(f)",
                              "object",
                              "class",
                              "part",
                              "group",
                              "size",
                              "remaining",
                              "client",
                              "time",
                              "retry",
                              " == ",
                              " != ",
                              " < ",
                              " >= ",
                              " and ",
                              " or ",
                              "not ",
                              "(",
                              ")",
                              " in {1, 3..5}",
                              " in {\"a\", \"b\"}",
                              " in 10.0.0.0/8",
                              "\"order\"",
                              "\"\\x00\"",
                              "\"",
                              "3",
                              "-7",
                              "250ms",
                              "10kb",
                              "08:30",
                              "9223372036854775807",
                              " + ",
                              " * ",
                              " / ",
                              "starts_with(",
                              "matches(f, \"a+b\")",
                              "matches(f, \"(a{9}){9}\")",
                              "contains(",
                              "lower(",
                              "slice(f, 1, 2)",
                              "join(\"\", f, f)",
                              "hash(",
                              "length(",
                              ", ",
                              ";",
                              "#",
                              "\n",
                              "\xc3\x28",
                              "\\"};

std::string condition(std::mt19937& chance, int depth) {
    auto draw = [&](unsigned n) { return chance() % n; };
    auto number = [&] { return std::to_string(draw(5)); };
    switch (draw(depth > 3 ? 9 : 13)) {
        case 0:
            return "part == " + number();
        case 1:
            return "f == \"" + std::string(draw(4), 'a') + "\"";
        case 2:
            return "starts_with(f, \"" + std::string(draw(3), 'a') + "\")";
        case 3:
            return "matches(f, \"" + std::string(draw(2) ? "a+" : "[^b]") + "b?\")";
        case 4:
            return "group in {" + number() + ".." + std::to_string(5 + draw(250)) + "}";
        case 5:
            return "size * " + number() + " > " + number() + "kb";
        case 6:
            return "client in " + number() + ".0.0.0/8";
        case 7:
            return "contains(lower(f), \"" + std::string(1 + draw(2), 'b') + "\")";
        case 8:
            return "part / (group - " + number() + ") < " + number();
        case 9:
            return "not (" + condition(chance, depth + 1) + ")";
        case 10:
            return "(" + condition(chance, depth + 1) + " or " + condition(chance, depth + 1) + ")";
        default:
            return "(" + condition(chance, depth + 1) + " and " + condition(chance, depth + 1) + ")";
    }
}

std::string drawn(std::mt19937& chance) {
    auto draw = [&](unsigned n) { return chance() % n; };
    std::string text;
    if (draw(3)) {  // good rules
        text = "field f max " + std::to_string(1 + draw(200)) + ";";
        for (unsigned i = 0, n = 1 + draw(12); i < n; i++)
            text += "rule r" + std::to_string(i) + " when " + condition(chance, 0) +
                    (draw(4) ? ": limit 2s;" : ": key join(f, f, object, f);");
    } else {
        for (unsigned i = 0, n = 1 + draw(30); i < n; i++) text += words[draw(std::size(words))];
    }
    if (draw(3) == 0)  // spoilt
        for (unsigned i = 0, n = 1 + draw(4); i < n && !text.empty(); i++) {
            auto at = draw(static_cast<unsigned>(text.size()));
            if (draw(2))
                text[at] = static_cast<char>(draw(255));
            else
                text.insert(at, words[draw(std::size(words))]);
        }
    text += '\xff';
    for (unsigned i = 0, n = draw(60) + (draw(20) ? 0 : 100'000); i < n; i++)
        text += static_cast<char>(draw(3) ? 'a' + draw(2) : draw(256));
    return text;
}

}  // namespace

int main(int count, char** arguments) {
    double seconds = 5;
    std::uint64_t most = 0;
    unsigned seed = 1;
    for (int i = 1; i + 1 < count; i += 2) {
        std::string word = arguments[i];
        if (word == "--seconds") seconds = std::atof(arguments[i + 1]);
        if (word == "--inputs") most = std::strtoull(arguments[i + 1], nullptr, 10);
        if (word == "--seed") seed = static_cast<unsigned>(std::atoi(arguments[i + 1]));
    }
    Found found;
    std::mt19937 chance(seed);
    auto start = std::chrono::steady_clock::now();
    while (most ? found.inputs < most
                : std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count() < seconds)
        one(drawn(chance), found);
    fmt::print("{} inputs, {} of them rules that load, {} decisions\n", found.inputs, found.loaded,
               found.decisions);
    fmt::print("{{\"inputs\":{},\"loaded\":{},\"findings\":{},\"worst_over_bound\":{:.3f}}}\n", found.inputs,
               found.loaded, found.findings, found.worst);
    return found.findings ? 1 : 0;
}
#endif
