// The operators' file: every fault at once, by line or by name.
#include <doctest/doctest.h>

#include "helpers.hpp"
#include "operate/plan.hpp"

using namespace quillgrade;
using namespace quillgrade::operate;

namespace {

std::string faults(std::string_view text) {
    std::string all;
    for (auto& fault : parse(text).errors) all += fault.where + ": " + fault.what + "\n";
    return all;
}

}  // namespace

TEST_CASE("a file without members turns nothing on") {
    auto read = operate::parse("{ /* nothing */ }  // at all");
    CHECK(read.errors.empty());
    CHECK(!read.config.control);
    CHECK(!read.config.store);
}

TEST_CASE("a whole file is read") {
    auto read = operate::parse(R"({
        // where versions come from
        "control": {"services": ["127.0.0.1:18000", "127.0.0.2:18000"], "form": "incremental",
                    "kinds": ["boxes"], "membership": "streamed", "cluster": "schools",
                    "longest_version_mb": 2, "trial": {"for_s": 30, "rise": 0.2}},
        "store": {"path": "/var/lib/quillgrade", "megabytes": 16, "sync": false}})");
    CHECK(read.errors.empty());
    auto& control = *read.config.control;
    CHECK(control.services.size() == 2);
    CHECK(control.form == discovery::Form::Changes);
    CHECK(control.membership == Membership::Streamed);
    CHECK(control.kinds == std::vector{discovery::Kind::Boxes});
    CHECK(control.max_version_bytes == 2U << 20);
    CHECK(control.canary_duration == 30 * test_second);
    CHECK(read.config.store->max_bytes == 16U << 20);
    CHECK(!read.config.store->sync);
    CHECK(!operate::parse(R"({"control": {"services": ["127.0.0.1:1"], "trial": false}})")
               .config.control->canary);
}

TEST_CASE("all faults are told at once, by path") {
    auto told =
        faults(R"({"contrl": {}, "control": {"services": ["127.0.0.1:18000", "here", 5, "127.0.0.1:18000"],
        "form": "half", "trial": {"for_s": 1, "rize": 1}, "kinds": ["boxes", "dogs"]},
        "store": {"megabytes": "x"}})");
    for (auto* wanted : {"contrl: no such member; known here: control, store, rules",
                         "control.services[1]: 'here' is no address", "control.services[2]: 5 is no address",
                         "control.services[3]: \"127.0.0.1:18000\" stands there twice",
                         "control.form: \"whole\" or \"incremental\" is expected, not \"half\"",
                         "control.trial.for_s: a number from 2.0 to 600.0 is expected, not 1",
                         "control.trial.rize: no such member; known here: for_s, rise",
                         "control.kinds: \"boxes\", \"amounts\" or \"rules\" is expected, not \"dogs\"",
                         "store.path: the folder of the store", "store.megabytes: a number from"})
        CHECK_MESSAGE(told.find(wanted) != std::string::npos, wanted << " in:\n" << told);
}

TEST_CASE("what is no JSON is told by line and column") {
    CHECK(faults("{\n  // a comment\n  \"control\": [1,\n}").starts_with("line 4, column 1: "));
    CHECK(faults("") != "");
    CHECK(faults("[]") == "the file: an object in { } is expected\n");
    CHECK(faults(R"({"store": {"path": "/a"}, "store": {"path": "/b"}})")
              .find("store: the member stands there twice") != std::string::npos);
    std::string deep(100'000, '[');
    CHECK(faults(deep) != "");
}

TEST_CASE("a file cut at any byte is refused or means nothing else") {
    std::string text = R"({"control": {"services": ["127.0.0.1:18000"]}, "store": {"path": "/a"}})";
    for (std::size_t cut = 0; cut < text.size(); cut++) CHECK(!parse(text.substr(0, cut)).errors.empty());
    CHECK(parse(text).errors.empty());
}
