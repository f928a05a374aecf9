// The operators' file: all errors are reported at once, by line or by the path of the member.
#include <doctest/doctest.h>

#include "helpers.hpp"
#include "operate/plan.hpp"

using namespace quillgrade;
using namespace quillgrade::operate;

namespace {

std::string errors_of(std::string_view text) {
    std::string lines;
    for (auto& error : parse(text).errors) lines += error.where + ": " + error.what + "\n";
    return lines;
}

}  // namespace

TEST_CASE("an empty file turns no feature on") {
    auto result = operate::parse("{ /* nothing */ }  // at all");
    CHECK(result.errors.empty());
    CHECK(!result.config.control);
    CHECK(!result.config.store);
}

TEST_CASE("every member of the file is read") {
    auto result = operate::parse(R"({
        // control services
        "control": {"services": ["127.0.0.1:18000", "127.0.0.2:18000"], "form": "incremental",
                    "kinds": ["boxes"], "membership": "streamed", "cluster": "schools",
                    "longest_version_mb": 2, "trial": {"for_s": 30, "rise": 0.2}},
        "store": {"path": "/var/lib/quillgrade", "megabytes": 16, "sync": false}})");
    CHECK(result.errors.empty());
    auto& control = *result.config.control;
    CHECK(control.services.size() == 2);
    CHECK(control.form == discovery::Form::Changes);
    CHECK(control.endpoint_list_mode == EndpointListMode::Streamed);
    CHECK(control.kinds == std::vector{discovery::Kind::Boxes});
    CHECK(control.max_version_bytes == 2U << 20);
    CHECK(control.canary_duration == 30 * test_second);
    CHECK(result.config.store->max_bytes == 16U << 20);
    CHECK(!result.config.store->sync);
    CHECK(!operate::parse(R"({"control": {"services": ["127.0.0.1:1"], "trial": false}})")
               .config.control->canary);
}

TEST_CASE("all errors are reported at once, with the path of the member") {
    auto errors =
        errors_of(R"({"contrl": {}, "control": {"services": ["127.0.0.1:18000", "here", 5, "127.0.0.1:18000"],
        "form": "half", "trial": {"for_s": 1, "rize": 1}, "kinds": ["boxes", "dogs"]},
        "store": {"megabytes": "x"}})");
    for (auto* expected :
         {"contrl: no such member; known here: control, store, rules",
          "control.services[1]: 'here' is no address", "control.services[2]: 5 is no address",
          "control.services[3]: \"127.0.0.1:18000\" is listed twice",
          "control.form: \"whole\" or \"incremental\" is expected, not \"half\"",
          "control.trial.for_s: a number from 2.0 to 600.0 is expected, not 1",
          "control.trial.rize: no such member; known here: for_s, rise",
          "control.kinds: \"boxes\", \"amounts\" or \"rules\" is expected, not \"dogs\"",
          "store.path: the directory of the store", "store.megabytes: a number from"})
        CHECK_MESSAGE(errors.find(expected) != std::string::npos, expected << " in:\n" << errors);
}

TEST_CASE("a syntax error is reported with its line and column") {
    CHECK(errors_of("{\n  // a comment\n  \"control\": [1,\n}").starts_with("line 4, column 1: "));
    CHECK(errors_of("") != "");
    CHECK(errors_of("[]") == "the file: an object in { } is expected\n");
    CHECK(errors_of(R"({"store": {"path": "/a"}, "store": {"path": "/b"}})")
              .find("store: the member appears twice") != std::string::npos);
    std::string deep(100'000, '[');
    CHECK(errors_of(deep) != "");
}

TEST_CASE("a file that is truncated at any byte is rejected") {
    std::string text = R"({"control": {"services": ["127.0.0.1:18000"]}, "store": {"path": "/a"}})";
    for (std::size_t cut = 0; cut < text.size(); cut++) CHECK(!parse(text.substr(0, cut)).errors.empty());
    CHECK(parse(text).errors.empty());
}
