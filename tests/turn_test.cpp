// The turn: what was gathered goes to the module, and its answers are carried out.
#include "quiet.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

TEST_CASE("a turn takes a lookup, sends it and ends it once") {
    Quiet quiet;
    quiet.turn.take({Quiet::caches({1, 2, 3}), Quiet::arrived(9)}, noon);
    CHECK(quiet.turn.held() == 1);
    CHECK(quiet.pool.links() == 1);
    auto whole = reply(200, "hello");
    quiet.turn.take({Landed{9, 0, 1, Outcome::Ok, noon, whole}, Landed{9, 0, 1, Outcome::Ok, noon, whole}},
                    noon + 100 * test_ms);
    CHECK(quiet.turn.held() == 0);
}

TEST_CASE("amounts that came into force bound the next lookup") {
    for (int most : {0, 1}) {
        Quiet quiet;
        version::Amounts amounts;
        if (most) amounts.attempts = most;
        quiet.turn.take({Quiet::caches({1, 2, 3}), amounts, Quiet::arrived(9)}, noon);
        quiet.turn.take({Landed{9, 0, 1, Outcome::Reset, noon, {}}}, noon + test_ms);
        CHECK(quiet.turn.held() == (most ? 0 : 1));
        CHECK(quiet.turn.counts().unsuccessful == (most ? 1 : 0));
    }
}

// What a trial compares: a client that waited in vain counts as broken off, one that leaves early does not.
TEST_CASE("a client that leaves late counts as badly served, one that leaves early does not") {
    for (bool late : {false, true}) {
        Quiet quiet;
        quiet.turn.take({Quiet::caches({1, 2, 3}), Quiet::arrived(9)}, noon);
        quiet.turn.take({Left{{1, 1}, 9}}, noon + (late ? 3 : 1) * test_second);
        CHECK(quiet.turn.counts().unsuccessful == (late ? 1 : 0));
    }
}

TEST_CASE("an id in use is not taken a second time, and its abort leaves the first alone") {
    Quiet quiet;
    quiet.turn.take({Quiet::caches({1, 2, 3}), Quiet::arrived(9, 1), Quiet::arrived(9, 2), Left{{1, 2}, 9}},
                    noon);
    CHECK(quiet.turn.held() == 1);
    quiet.turn.take({Left{{1, 1}, 9}}, noon);
    CHECK(quiet.turn.held() == 0);
}

// Guards against work for a lookup whose end is already known.
TEST_CASE("nothing is sent for a lookup whose client has left within the turn") {
    Quiet quiet;
    quiet.turn.take({Quiet::caches({1, 2, 3}), Quiet::arrived(9, 1), Left{{1, 1}, 9}}, noon);
    CHECK(quiet.pool.links() == 0);
    REQUIRE(quiet.gathered_of<Landed>().size() == 1);
    CHECK(quiet.gathered_of<Landed>()[0].outcome == Outcome::NotSent);
}

// Guards against telling a client without a copy that its copy holds.
TEST_CASE("'unchanged' handles only the lookup of a client that has a copy") {
    Quiet quiet;
    auto with = Quiet::arrived(9);
    with.lookup.have = "tag";
    quiet.turn.take({Quiet::caches({1, 2, 3}), with, Quiet::arrived(10, 2)}, noon);
    auto same = reply(304);
    same.tag = "tag";
    quiet.turn.take({Landed{9, 0, 1, Outcome::Ok, noon, same}}, noon + test_ms);
    CHECK(quiet.turn.held() == 1);
    quiet.turn.take({Landed{10, 0, 1, Outcome::Ok, noon, same}}, noon + test_ms);
    CHECK(quiet.turn.held() == 1);  // it goes to another cache
}

// Guards against a copy that is called current because of a word about another one.
TEST_CASE("'unchanged' of another copy, or of none, handles nothing") {
    for (auto* tag : {"other", ""}) {
        Quiet quiet;
        auto with = Quiet::arrived(9);
        with.lookup.have = "tag";
        quiet.turn.take({Quiet::caches({1, 2, 3}), with}, noon);
        auto other = reply(304);
        other.tag = tag;
        quiet.turn.take({Landed{9, 0, 1, Outcome::Ok, noon, other}}, noon + test_ms);
        CHECK(quiet.turn.held() == 1);
    }
}

TEST_CASE("at the end whatever is held is broken off") {
    Quiet quiet;
    quiet.turn.take({Quiet::caches({1, 2, 3}), Quiet::arrived(9)}, noon);
    quiet.turn.break_off_all();
    CHECK(quiet.turn.held() == 0);
}

// Guards against a look and an answer that fall into one turn: the look's answer forgot the lookup before its
// final answer was written, and the client waited in vain.
TEST_CASE("a lookup that is looked at and handled in the same turn gets its answer") {
    Quiet quiet;
    int port = quiet.listen();
    Socket client;
    REQUIRE(client.connect(port));
    REQUIRE(client.send(invoke(1, call_fields())));
    quiet.pump([&] { return !quiet.gathered.empty(); });
    auto arrived = std::get<Arrived>(quiet.gathered.front());
    auto id = arrived.lookup.facts.id;
    quiet.turn.take({Quiet::caches({1, 2, 3}), arrived}, arrived.at);
    quiet.turn.take({LookDue{id}, Landed{id, 0, 1, Outcome::Ok, arrived.at, reply(200, "ok")}},
                    arrived.at + test_ms);
    CHECK(quiet.turn.held() == 0);
    quiet.pump([&] { return Quiet::readable(client); });
    CHECK(frame(client) == thrift::handled(1, "ok", false));
}
