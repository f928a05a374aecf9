// Connections to caches: one attempt after the other, and how each ends.
#include "quiet.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

TEST_CASE("a refused connection proves that nothing ran") {
    Quiet quiet;
    quiet.pool.list(std::get<feed::Listing>(Quiet::caches({1}).what));
    quiet.send(0, test_second);
    quiet.pump([&] { return !quiet.gathered.empty(); });
    REQUIRE(quiet.gathered_of<Landed>().size() == 1);
    CHECK(quiet.gathered_of<Landed>()[0].outcome == Outcome::ConnectFailed);
    quiet.pool.sweep();
    CHECK(quiet.pool.links() == 0);
}

// Guards against memory that grows as caches come and go under ever new ids.
TEST_CASE("nothing is kept of a cache that has gone, and its connection is not used again") {
    Quiet quiet;
    Listener cache;
    quiet.send(cache.port, 0);
    auto link = quiet.asked(cache);
    quiet.pool.list(std::get<feed::Listing>(Quiet::caches({2}).what));
    CHECK(quiet.pool.caches() == 1);
    REQUIRE(link.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
    CHECK(quiet.landed().outcome == Outcome::Miss);
    CHECK(quiet.pool.links() == 0);
    auto gone = std::get<feed::Listing>(Quiet::caches({2}).what);
    gone.complete = false;
    gone.caches[0].entry.state = EndpointState::Gone;
    quiet.pool.list(gone);
    CHECK(quiet.pool.caches() == 0);
}

// Guards against lookups that go to a box that was taken out, over a connection that was at work meanwhile.
TEST_CASE("a connection that was at work while its id moved to another address is not used again") {
    Quiet quiet;
    Listener before, after;
    quiet.send(before.port, 0);
    auto old = quiet.asked(before);
    auto gone = std::get<feed::Listing>(Quiet::caches({1}).what);
    gone.complete = false;
    gone.caches[0].entry.state = EndpointState::Gone;
    quiet.pool.list(gone);
    gone.caches[0].entry.state = EndpointState::Ready;
    gone.caches[0].port = static_cast<std::uint16_t>(after.port);
    quiet.pool.list(gone);
    REQUIRE(old.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
    CHECK(quiet.landed().outcome == Outcome::Miss);
    CHECK(quiet.pool.links() == 0);
    quiet.send(after.port, 1);
    quiet.asked(after);
    CHECK(read(old, [](auto&) { return false; }) == "");  // closed, and nothing was asked there
}

TEST_CASE("a pool that is full sends nothing and says so, whatever the cache") {
    Quiet quiet;
    quiet.pool.list(std::get<feed::Listing>(Quiet::caches({1}).what));
    for (int round : {0, 1, 2}) quiet.send(round, test_second);
    CHECK(quiet.pool.links() == 2);
    REQUIRE(quiet.gathered_of<Landed>().size() == 1);
    CHECK(quiet.gathered_of<Landed>()[0].round == 2);
    CHECK(quiet.gathered_of<Landed>()[0].outcome == Outcome::NotSent);
}

TEST_CASE("a transmission given up before it was written never ran") {
    Quiet quiet;
    quiet.pool.list(std::get<feed::Listing>(Quiet::caches({1}).what));
    quiet.send(0, test_second);
    quiet.pool.give_up(9, 0);
    REQUIRE(quiet.gathered_of<Landed>().size() == 1);
    CHECK(quiet.gathered_of<Landed>()[0].outcome == Outcome::NotSent);
    quiet.pool.give_up(9, 0);  // once is enough
    CHECK(quiet.gathered_of<Landed>().size() == 1);
}

TEST_CASE("a connection serves one transmission after the other") {
    Answered quiet;
    quiet.rest();
    quiet.send(1);
    quiet.pump([&] { return Quiet::readable(quiet.link); });
    request(quiet.link);
    REQUIRE(quiet.link.send(whole_answer));
    CHECK(quiet.landed().outcome == Outcome::Ok);
    CHECK(quiet.pool.links() == 1);
}

// Guards against a closed idle connection that would be laid at the cache's door.
TEST_CASE("a connection that was closed while idle is passed over, one that breaks is a reset") {
    Answered quiet;
    quiet.rest();
    { Socket closed(std::move(quiet.link)); }
    quiet.send(1);  // the loop has not told of the close yet
    {
        auto second = quiet.asked(quiet.cache);
        REQUIRE(second.send(whole_answer.substr(0, whole_answer.size() - 1)));
    }
    auto end = quiet.landed();
    CHECK(end.round == 1);
    CHECK(end.outcome == Outcome::Reset);
}

// Guards against a vanished machine that would not be noticed: a timer that fired early made its connections
// count as time that had run out.
TEST_CASE("a connection that does not come up in time says so, one whose lookup ends first does not") {
    Quiet quiet;
    quiet.launch.terms.connect_time = 30 * test_ms;
    Listener cache;
    REQUIRE(listen(cache.fd, 0) == 0);
    std::vector<Socket> filling;  // what the listener has no room for gets no answer
    for (int i = 0; i < 4; i++) {
        filling.emplace_back(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0));
        filling.back().connect(cache.port);
    }
    quiet.send(cache.port, 0);
    CHECK(quiet.landed().outcome == Outcome::ConnectFailed);
    quiet.send(cache.port, 1, 10 * test_ms);
    CHECK(quiet.landed().outcome == Outcome::NotSent);
}

TEST_CASE("giving a transmission up closes its connection, and it may have run") {
    Quiet quiet;
    Listener cache;
    quiet.send(cache.port, 0);
    auto link = quiet.asked(cache);
    quiet.pool.give_up(9, 0);
    CHECK(quiet.landed().outcome == Outcome::Cancelled);
    quiet.pump([&] { return Quiet::readable(link); });
    CHECK(read(link, [](auto&) { return false; }).empty());
}

// Guards against memory that fills with answers under way.
TEST_CASE("past the bound the longest answer under way is given up, which says nothing against its cache") {
    Quiet quiet;
    Listener cache;
    std::vector<Socket> links;
    for (int round : {0, 1}) {
        quiet.send(cache.port, round);
        links.push_back(quiet.asked(cache));
        REQUIRE(links.back().send("HTTP/1.1 200 OK\r\nContent-Length: 200000\r\n\r\n" +
                                  std::string(round == 0 ? 30'000 : 70'000, 'x')));
    }
    auto end = quiet.landed();
    CHECK(end.round == 1);
    CHECK(end.outcome == Outcome::Cancelled);
    quiet.pump([&] { return Quiet::readable(links[1]); });  // it is closed
    CHECK(quiet.pool.links() == 1);
}

// Two answers to the same client that come at the same time, of which memory has no room for both.
struct TwoAnswers : Quiet {
    static constexpr std::size_t body = 60'000, begun = 40'000;
    TwoAnswers() {
        for (int round : {0, 1}) {
            send(cache.port, round);
            links.push_back(asked(cache));
            REQUIRE(links.back().send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body) +
                                      "\r\n\r\n" + std::string(begun, 'x')));
        }
        pump([&] {
            pool.sweep();
            return answers.held() > answers.limit() / 2;
        });
        for (auto& link : links) REQUIRE(link.send(std::string(body - begun, 'x')));
    }
    Listener cache;
    std::vector<Socket> links;
};

// Guards against a bound on memory that is looked after only when all has been read, and against answers that
// are given up where they only had to wait.
TEST_CASE("answers that come at once wait at their caches for room, and each comes whole") {
    TwoAnswers quiet;
    std::vector<Landed> landed;
    quiet.pump([&] {
        CHECK(quiet.answers.held() <= quiet.answers.limit());
        quiet.pool.sweep();
        auto now = quiet.gathered_of<Landed>();
        quiet.gathered.clear();
        for (auto& one : now) one.charge = {};  // a client has it
        landed.insert(landed.end(), now.begin(), now.end());
        return landed.size() == 2;
    });
    for (auto& one : landed) {
        CHECK(one.outcome == Outcome::Ok);
        CHECK(one.reply.body.size() == TwoAnswers::body);
    }
    CHECK(quiet.pool.links() == 2);
    CHECK(quiet.answers.held() == 0);
}

// Guards against caches that are blamed for what the router did not read.
TEST_CASE("an answer that was not read when its time is up says nothing against its cache") {
    Quiet quiet;
    Listener cache;
    Charge unread(quiet.answers, 90'000);  // clients have not read this
    quiet.send(cache.port, 0, 300 * test_ms);
    auto link = quiet.asked(cache);
    REQUIRE(link.send("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + std::string(60'000, 'x')));
    auto end = quiet.landed();
    CHECK(end.outcome == Outcome::Cancelled);
    CHECK(end.held_back > 0);
    CHECK(quiet.answers.held() <= quiet.answers.limit());
}

// Two answers that have begun, all of whose bytes were read, and clients whose unread answers take the rest
// of memory a moment later.
struct TwoBegun : Quiet {
    static constexpr std::size_t body = 60'000;
    TwoBegun() {
        std::size_t sent = 0;
        for (int round : {0, 1}) {
            send(cache.port, round);
            links.push_back(asked(cache));
            auto begun = static_cast<std::size_t>(round == 0 ? 25'000 : 20'000);
            sent += begun;
            REQUIRE(links.back().send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body) +
                                      "\r\n\r\n" + std::string(begun, 'x')));
        }
        pump([&] { return answers.held() == sent; });
        unread = Charge(answers, 45'000);
        pool.sweep();
    }
    Listener cache;
    std::vector<Socket> links;
    Charge unread;
};

// Guards against memory that stays full of answers whose caches have stopped in the middle, until their
// attempts' time is up: one whose reading was paused before it was seen to have stopped never was.
TEST_CASE("an answer that has stopped in the middle is given up where none can be read") {
    TwoBegun quiet;
    auto start = quiet.clock.now();
    auto end = quiet.landed();
    CHECK(end.round == 0);
    CHECK(end.outcome == Outcome::Cancelled);
    CHECK(quiet.clock.now() - start < 2 * test_second);
}

// Guards against an answer that is given up although its cache goes on: it is the router that does not read.
TEST_CASE("an answer whose bytes lie unread is not taken for one that has stopped") {
    TwoBegun quiet;
    auto start = quiet.clock.now();
    REQUIRE(quiet.links[0].send(std::string(1'000, 'x')));
    auto end = quiet.landed();
    CHECK(end.round == 1);
    CHECK(end.outcome == Outcome::Cancelled);
    CHECK(quiet.clock.now() - start < 2 * test_second);
}
