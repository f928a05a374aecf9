#include "node/node.hpp"

#include <doctest/doctest.h>
#include <sys/resource.h>

#include "helpers.hpp"
#include "launch/launch.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

TEST_CASE("time never runs backwards") {
    CHECK(Clock::later(5, 3) == 5);
    CHECK(Clock::later(5, 8) == 8);
}

TEST_CASE("the limits leave room for every use, and never more than there is") {
    for (auto [memory, sockets] : {std::pair{192.0, 1024}, {64.0, 256}, {2048.0, 4096}, {16.0, 64}}) {
        auto room = launch::divide(memory, sockets);
        CHECK(room.clients >= sockets / 3);
        CHECK(room.caches > 0);
        CHECK(room.clients + room.caches < sockets);
        CHECK(room.unsent + room.coming <= memory * 1024 * 1024 / 2);
    }
    CHECK_THROWS_AS(launch::divide(1, 1024), site::Unusable);
    CHECK_THROWS_AS(launch::divide(192, 10), site::Unusable);
}

// Guards against few transmissions at a time where memory is small: answers are far shorter than the longest.
TEST_CASE("a small memory leaves the caches all descriptors that are not the clients'") {
    CHECK(launch::divide(32, 256).caches > 120);
}

TEST_CASE("what can't be used at the start is told") {
    for (auto* bad : {"", "[]", "{}", "{\"name\": 3}", "{\"name\": \"n\", \"listen\": \"here\"}"})
        CHECK_THROWS_AS(launch::read_launch(bad, nullptr, nullptr), site::Unusable);
}

TEST_CASE("a configuration read again says what only a restart takes in") {
    launch::Launch before, after;
    before.stated = {{"coordinator", "1"}, {"known", "1"}, {"name", "1"}, {"limits", "1"}};
    after.stated = {{"coordinator", "2"}, {"known", "2"}, {"name", "1"}, {"limits", "2"}, {"peers", "1"}};
    CHECK(launch::wants_restart(before, before).empty());
    CHECK(launch::wants_restart(before, after) == std::vector<std::string>{"limits", "peers"});
}

TEST_CASE("the phases follow each other") {
    Node::Seen seen{.now = noon,
                    .told_to_leave = 0,
                    .last_arrival = noon,
                    .longest_stay = 3 * test_second,
                    .nothing_held = false};
    CHECK(Node::next(Phase::Starting, seen) == Phase::Serving);
    CHECK(Node::next(Phase::Serving, seen) == Phase::Serving);
    seen.told_to_leave = noon;
    CHECK(Node::next(Phase::Serving, seen) == Phase::Leaving);
    seen.now = noon + 600 * test_ms;  // clients may still come
    CHECK(Node::next(Phase::Leaving, seen) == Phase::Leaving);
    seen.now = noon + 900 * test_ms;
    CHECK(Node::next(Phase::Leaving, seen) == Phase::Finishing);
    seen.last_arrival = seen.now - 100 * test_ms;  // and some do
    CHECK(Node::next(Phase::Leaving, seen) == Phase::Leaving);
    CHECK(Node::next(Phase::Finishing, seen) == Phase::Finishing);
    seen.nothing_held = true;
    CHECK(Node::next(Phase::Finishing, seen) == Phase::Over);
    seen.nothing_held = false;
    seen.now = noon + 4 * test_second;
    CHECK(Node::next(Phase::Finishing, seen) == Phase::Over);
}

// Guards against SIGKILL finding a lookup that is still held.
TEST_CASE("a router that leaves is gone before it is killed") {
    for (Micros wait : {1 * test_second, 3 * test_second, 6 * test_second})
        CHECK(Node::longest_stay(wait) + 200 * test_ms < std::min(wait, 3 * test_second) + 700 * test_ms);
}

// A loop without a network: connections go to ports of 127.0.0.1 where nothing listens.
struct Quiet {
    static launch::Launch told() {
        launch::Launch launch;
        launch.facts = a_site();
        launch.facts.traffic = {pages(), pages()};
        launch.terms = terms();
        return launch;
    }
    feed::Event caches(std::vector<CacheId> ids) {
        feed::Listing listing{.complete = true, .caches = {}};
        for (auto id : ids) listing.caches.push_back({{id, Listed::Ready, 6, 0, 7, 1, 0}, 0x7f000001, 1});
        return {1, listing};
    }
    Arrived arrived(LookupId id, std::int32_t seq = 1) {
        thrift::Lookup wanted;
        wanted.facts = lookup(id);
        wanted.facts.due = 0;
        wanted.wait = 4 * test_second;
        return {{1, seq}, wanted, noon};
    }
    int listen() {
        int port = free_port();
        front.listen({0x7f000001, static_cast<std::uint16_t>(port)});
        return port;
    }
    // One transmission to cache 1, which stands at `port`.
    void send(int port, int round, Micros time = 9 * test_second) {
        auto listing = std::get<feed::Listing>(caches({1}).what);
        listing.caches[0].port = static_cast<std::uint16_t>(port);
        pool.list(listing);
        pool.send(1, {.lookup = 9, .round = round, .sent = noon, .limit = clock.now() + time}, http::probe());
    }
    // The connection on which a stand-in for cache 1 was asked by then.
    Socket asked(const Listener& cache) {
        pump([&] { return readable(cache); });
        auto link = accept(cache);
        pump([&] { return readable(link); });
        request(link);
        return link;
    }
    Landed landed() {
        pump([&] {
            pool.sweep();
            return !gathered_of<Landed>().empty();
        });
        auto first = gathered_of<Landed>().front();
        gathered.clear();
        pool.sweep();
        return first;
    }
    template <class Done>
    void pump(Done done) {
        auto until = clock.now() + 10 * test_second;
        while (!done()) {
            if (clock.now() > until) FAIL("what was waited for did not come");
            event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK);
        }
    }
    static bool readable(const Socket& socket) {
        pollfd ready{socket.fd, POLLIN, 0};
        return poll(&ready, 1, 0) == 1;
    }
    template <class T>
    std::vector<T> gathered_of() {
        std::vector<T> found;
        for (auto& value : gathered)
            if (auto* one = std::get_if<T>(&value)) found.push_back(*one);
        return found;
    }
    launch::Launch launch = told();
    Owned<event_base> base{event_base_new()};
    Clock clock;
    Gathered gathered;
    Front front{{base.get(), launch.terms, clock, gathered, false}, 8, 1'000'000};
    Pool pool{base.get(), launch.terms, clock, gathered, 2, 100'000};
    Turn turn{launch, base.get(), gathered, front, pool};
};

TEST_CASE("a refused connection proves that nothing ran") {
    Quiet quiet;
    quiet.pool.list(std::get<feed::Listing>(quiet.caches({1}).what));
    quiet.pool.send(1, {.lookup = 9, .round = 0, .sent = noon, .limit = quiet.clock.now() + test_second},
                    http::probe());
    quiet.pump([&] { return !quiet.gathered.empty(); });
    REQUIRE(quiet.gathered_of<Landed>().size() == 1);
    CHECK(quiet.gathered_of<Landed>()[0].outcome == Outcome::Unconnected);
    quiet.pool.sweep();
    CHECK(quiet.pool.links() == 0);
}

// Guards against memory that grows as caches come and go under ever new ids.
TEST_CASE("nothing is kept of a cache that has gone, and its connection is not used again") {
    Quiet quiet;
    Listener cache;
    quiet.send(cache.port, 0);
    auto link = quiet.asked(cache);
    quiet.pool.list(std::get<feed::Listing>(quiet.caches({2}).what));
    CHECK(quiet.pool.caches() == 1);
    REQUIRE(link.send("HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"));
    CHECK(quiet.landed().outcome == Outcome::Miss);
    CHECK(quiet.pool.links() == 0);
    auto gone = std::get<feed::Listing>(quiet.caches({2}).what);
    gone.complete = false;
    gone.caches[0].entry.listed = Listed::Gone;
    quiet.pool.list(gone);
    CHECK(quiet.pool.caches() == 0);
}

// Guards against lookups that go to a box that was taken out, over a connection that was at work meanwhile.
TEST_CASE("a connection that was at work while its id moved to another address is not used again") {
    Quiet quiet;
    Listener before, after;
    quiet.send(before.port, 0);
    auto old = quiet.asked(before);
    auto gone = std::get<feed::Listing>(quiet.caches({1}).what);
    gone.complete = false;
    gone.caches[0].entry.listed = Listed::Gone;
    quiet.pool.list(gone);
    gone.caches[0].entry.listed = Listed::Ready;
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
    quiet.pool.list(std::get<feed::Listing>(quiet.caches({1}).what));
    for (int round : {0, 1, 2})
        quiet.pool.send(1,
                        {.lookup = 9, .round = round, .sent = noon, .limit = quiet.clock.now() + test_second},
                        http::probe());
    CHECK(quiet.pool.links() == 2);
    REQUIRE(quiet.gathered_of<Landed>().size() == 1);
    CHECK(quiet.gathered_of<Landed>()[0].round == 2);
    CHECK(quiet.gathered_of<Landed>()[0].outcome == Outcome::Moot);
}

TEST_CASE("a transmission given up before it was written never ran") {
    Quiet quiet;
    quiet.pool.list(std::get<feed::Listing>(quiet.caches({1}).what));
    quiet.pool.send(1, {.lookup = 9, .round = 0, .sent = noon, .limit = quiet.clock.now() + test_second},
                    http::probe());
    quiet.pool.give_up(9, 0);
    REQUIRE(quiet.gathered_of<Landed>().size() == 1);
    CHECK(quiet.gathered_of<Landed>()[0].outcome == Outcome::Moot);
    quiet.pool.give_up(9, 0);  // once is enough
    CHECK(quiet.gathered_of<Landed>().size() == 1);
}

TEST_CASE("a turn takes a lookup, sends it and ends it once") {
    Quiet quiet;
    quiet.turn.take({quiet.caches({1, 2, 3}), quiet.arrived(9)}, noon);
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
        if (most) amounts.transmissions = most;
        quiet.turn.take({quiet.caches({1, 2, 3}), amounts, quiet.arrived(9)}, noon);
        quiet.turn.take({Landed{9, 0, 1, Outcome::Reset, noon, {}}}, noon + test_ms);
        CHECK(quiet.turn.held() == (most ? 0 : 1));
        CHECK(quiet.turn.counts().bad == (most ? 1 : 0));
    }
}

// What a trial compares: a client that waited in vain counts as broken off, one that leaves early does not.
TEST_CASE("a client that leaves late counts as badly served, one that leaves early does not") {
    for (bool late : {false, true}) {
        Quiet quiet;
        quiet.turn.take({quiet.caches({1, 2, 3}), quiet.arrived(9)}, noon);
        quiet.turn.take({Left{{1, 1}, 9}}, noon + (late ? 3 : 1) * test_second);
        CHECK(quiet.turn.counts().bad == (late ? 1 : 0));
    }
}

TEST_CASE("an id in use is not taken a second time, and its abort leaves the first alone") {
    Quiet quiet;
    quiet.turn.take({quiet.caches({1, 2, 3}), quiet.arrived(9, 1), quiet.arrived(9, 2), Left{{1, 2}, 9}},
                    noon);
    CHECK(quiet.turn.held() == 1);
    quiet.turn.take({Left{{1, 1}, 9}}, noon);
    CHECK(quiet.turn.held() == 0);
}

// Guards against work for a lookup whose end is already known.
TEST_CASE("nothing is sent for a lookup whose client has left within the turn") {
    Quiet quiet;
    quiet.turn.take({quiet.caches({1, 2, 3}), quiet.arrived(9, 1), Left{{1, 1}, 9}}, noon);
    CHECK(quiet.pool.links() == 0);
    REQUIRE(quiet.gathered_of<Landed>().size() == 1);
    CHECK(quiet.gathered_of<Landed>()[0].outcome == Outcome::Moot);
}

// Guards against telling a client without a copy that its copy holds.
TEST_CASE("'unchanged' handles only the lookup of a client that has a copy") {
    Quiet quiet;
    auto with = quiet.arrived(9);
    with.lookup.have = "tag";
    quiet.turn.take({quiet.caches({1, 2, 3}), with, quiet.arrived(10, 2)}, noon);
    quiet.turn.take({Landed{9, 0, 1, Outcome::Ok, noon, reply(304)}}, noon + test_ms);
    CHECK(quiet.turn.held() == 1);
    quiet.turn.take({Landed{10, 0, 1, Outcome::Ok, noon, reply(304)}}, noon + test_ms);
    CHECK(quiet.turn.held() == 1);  // it goes to another cache
}

TEST_CASE("at the end whatever is held is broken off") {
    Quiet quiet;
    quiet.turn.take({quiet.caches({1, 2, 3}), quiet.arrived(9)}, noon);
    quiet.turn.break_off_all();
    CHECK(quiet.turn.held() == 0);
}

// Guards against clients that connect and say nothing until nobody else is let in.
TEST_CASE("a silent connection makes way for another, one with a lookup open does not") {
    Quiet quiet;
    int port = quiet.listen();
    Socket busy, silent[7], late;
    REQUIRE(busy.connect(port));
    REQUIRE(busy.send(invoke(1, call_fields())));
    quiet.pump([&] { return !quiet.gathered.empty(); });
    for (auto& one : silent) REQUIRE(one.connect(port));
    quiet.pump([&] { return quiet.front.connected() == 8; });
    quiet.front.sweep();  // the last of them may have a lookup on the way
    CHECK(quiet.front.connected() == 8);
    auto start = quiet.clock.now();
    quiet.pump([&] { return quiet.clock.now() - start > 60 * test_ms; });
    quiet.front.sweep();
    CHECK(quiet.front.connected() == 7);
    REQUIRE(late.connect(port));
    quiet.pump([&] { return quiet.front.connected() == 8; });
    CHECK(quiet.gathered_of<Left>().empty());
}

// Guards against lookups that wait in the system's queue while each pause lets in one connection more, which
// its client has long closed.
TEST_CASE("connections that end at once hold up nobody behind them") {
    Quiet quiet;
    int port = quiet.listen();
    Socket busy[7], late;
    for (int i = 0; i < 7; i++) {
        auto fields = call_fields();
        fields["i"].back() = static_cast<char>('0' + i);
        REQUIRE(busy[i].connect(port));
        REQUIRE(busy[i].send(invoke(1, fields)));
    }
    quiet.pump([&] { return quiet.gathered_of<Arrived>().size() == 7; });
    for (int i = 0; i < 40; i++) REQUIRE(Socket().connect(port));
    REQUIRE(late.connect(port));
    REQUIRE(late.send(invoke(1, call_fields())));
    auto start = quiet.clock.now();
    quiet.pump([&] {
        quiet.front.sweep();
        return quiet.gathered_of<Arrived>().size() == 8;
    });
    CHECK(quiet.clock.now() - start < test_second);
}

// Guards against connections that are kept for nothing, and against letting go of one that is at work.
TEST_CASE("a client that says nothing is let go, later one that was idle, never one with a lookup open") {
    Quiet quiet;
    int port = quiet.listen();
    Socket busy, idle, half;
    for (auto* one : {&busy, &idle, &half}) REQUIRE(one->connect(port));
    REQUIRE(busy.send(invoke(1, call_fields())));
    REQUIRE(half.send(invoke(1, call_fields()).substr(0, 30)));
    REQUIRE(idle.send(framed(head(1, "ping", 1) + std::string(1, '\0'))));
    quiet.pump([&] { return !quiet.gathered.empty() && Quiet::readable(idle); });
    quiet.front.drop_overdue(quiet.clock.now() + test_second);
    CHECK(quiet.front.connected() == 3);
    quiet.front.drop_overdue(quiet.clock.now() + 3 * test_second);
    CHECK(quiet.front.connected() == 2);
    quiet.front.drop_overdue(quiet.clock.now() + 60 * test_second);
    CHECK(quiet.front.connected() == 1);
    CHECK(quiet.gathered_of<Left>().empty());
}

// Guards against descriptors that run out below the limit told, all held by clients that say nothing.
TEST_CASE("a silent connection makes way when the system has no descriptor for the next") {
    Quiet quiet;
    int port = quiet.listen();
    Socket silent, late;
    REQUIRE(silent.connect(port));
    quiet.pump([&] { return quiet.front.connected() == 1; });
    rlimit before{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    int lowest_free = dup(late.fd);
    close(lowest_free);
    rlimit none = before;
    none.rlim_cur = static_cast<rlim_t>(lowest_free);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    REQUIRE(late.connect(port));
    quiet.pump([&] {
        quiet.front.sweep();
        return quiet.front.connected() == 0;
    });
    quiet.pump([&] { return quiet.front.connected() == 1; });
    CHECK(setrlimit(RLIMIT_NOFILE, &before) == 0);
}

// Guards against memory that fills with answers which nobody reads.
TEST_CASE("a client that does not read is hung up on past the bound") {
    Quiet quiet;
    int port = quiet.listen();
    Socket client;
    REQUIRE(client.connect(port));
    REQUIRE(client.send(invoke(1, call_fields()) + invoke(2, call_fields())));
    quiet.pump([&] { return quiet.gathered.size() == 2; });
    quiet.front.answer({1, 1}, std::string(2'000'000, 'x'));
    quiet.front.sweep();
    CHECK(quiet.front.connected() == 0);
    CHECK(quiet.gathered_of<Left>().size() == 1);
}

// Guards against memory that fills with what clients send.
TEST_CASE("a client that sends more than the bound at once is hung up on") {
    Quiet quiet;
    int port = quiet.listen();
    Socket client;
    REQUIRE(client.connect(port));
    for (int seq = 1; seq <= 6; seq++) {
        REQUIRE(client.send(invoke(seq, call_fields(), std::string(200'000, 'x'))));
        quiet.pump([&] { return quiet.gathered_of<Arrived>().size() == static_cast<std::size_t>(seq); });
    }
    quiet.front.sweep();
    CHECK(quiet.front.connected() == 0);
    CHECK(quiet.gathered_of<Left>().size() == 6);
}

// Guards against lookups that hold their room for as long as a client likes.
TEST_CASE("a time limit far beyond the settings is not taken") {
    Quiet quiet;
    int port = quiet.listen();
    Socket client;
    REQUIRE(client.connect(port));
    auto fields = call_fields();
    fields["d"] = "12001";
    REQUIRE(client.send(invoke(1, fields)));
    quiet.pump([&] { return Quiet::readable(client); });
    CHECK(frame(client) == thrift::broken_off(1));
    CHECK(quiet.gathered.empty());
}

// Guards against a bad frame that takes more than its own connection with it.
TEST_CASE("a client that sends nonsense is let go once what is open has been answered") {
    Quiet quiet;
    int port = quiet.listen();
    Socket client;
    REQUIRE(client.connect(port));
    REQUIRE(client.send(invoke(1, call_fields()) + "GET / HTTP/1.1\r\n\r\n"));
    quiet.pump([&] { return !quiet.gathered.empty(); });
    quiet.front.sweep();
    CHECK(quiet.front.connected() == 1);
    quiet.front.answer({1, 1}, thrift::broken_off(1));
    quiet.pump([&] {
        quiet.front.sweep();
        return quiet.front.connected() == 0;
    });
    CHECK(quiet.gathered_of<Left>().empty());
}

static const std::string whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

TEST_CASE("a connection serves one transmission after the other") {
    Quiet quiet;
    Listener cache;
    quiet.send(cache.port, 0);
    auto link = quiet.asked(cache);
    REQUIRE(link.send(whole));
    CHECK(quiet.landed().outcome == Outcome::Ok);
    quiet.send(cache.port, 1);
    quiet.pump([&] { return Quiet::readable(link); });
    request(link);
    REQUIRE(link.send(whole));
    CHECK(quiet.landed().outcome == Outcome::Ok);
    CHECK(quiet.pool.links() == 1);
}

// Guards against a closed idle connection that would be laid at the cache's door.
TEST_CASE("a connection that was closed while idle is passed over, one that breaks is a reset") {
    Quiet quiet;
    Listener cache;
    quiet.send(cache.port, 0);
    {
        auto first = quiet.asked(cache);
        REQUIRE(first.send(whole));
        CHECK(quiet.landed().outcome == Outcome::Ok);
    }
    quiet.send(cache.port, 1);  // the loop has not told of the close yet
    {
        auto second = quiet.asked(cache);
        REQUIRE(second.send(whole.substr(0, whole.size() - 1)));
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
    CHECK(quiet.landed().outcome == Outcome::Unconnected);
    quiet.send(cache.port, 1, 10 * test_ms);
    CHECK(quiet.landed().outcome == Outcome::Moot);
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
                                  std::string(round == 0 ? 40'000 : 70'000, 'x')));
    }
    auto end = quiet.landed();
    CHECK(end.round == 1);
    CHECK(end.outcome == Outcome::Cancelled);
    quiet.pump([&] { return Quiet::readable(links[1]); });  // it is closed
    CHECK(quiet.pool.links() == 1);
}

TEST_CASE("the coordinator is asked again from the last event after a frame that can't be read") {
    Quiet quiet;
    Listener stand_in;
    Coordinator coordinator(quiet.base.get(), {0x7f000001, static_cast<std::uint16_t>(stand_in.port)},
                            quiet.launch.terms, 4, quiet.clock, quiet.gathered);
    std::string purge("\0\0\0\x13\0\0\0\0\0\0\0\5\4\0\x11\0\0\0\0\0\0\0\1", 23);
    for (auto last : {4, 5}) {
        quiet.pump([&] { return Quiet::readable(stand_in); });
        auto link = accept(stand_in);
        quiet.pump([&] { return Quiet::readable(link); });
        CHECK(read(link, [](auto& got) { return got.size() >= 8; }) ==
              std::string("\0\0\0\0\0\0\0", 7) + static_cast<char>(last));
        REQUIRE(link.send(purge + purge + std::string("\0\0\0\1x", 5)));
        quiet.pump([&] { return Quiet::readable(link); });  // it is closed
    }
    CHECK(quiet.gathered_of<feed::Event>().size() == 1);  // the second was known
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
    quiet.turn.take({quiet.caches({1, 2, 3}), arrived}, arrived.at);
    quiet.turn.take({LookDue{id}, Landed{id, 0, 1, Outcome::Ok, arrived.at, reply(200, "ok")}},
                    arrived.at + test_ms);
    CHECK(quiet.turn.held() == 0);
    quiet.pump([&] { return Quiet::readable(client); });
    CHECK(frame(client) == thrift::handled(1, "ok", false));
}
