// The parts of the node for tests: a loop, a front, a pool and a turn, with stand-ins on 127.0.0.1. Passes of
// the loop are made by hand, so that what crosses is held between two of them.
#pragma once

#include <sys/resource.h>

#include "helpers.hpp"
#include "launch/launch.hpp"
#include "node/node.hpp"

namespace quillgrade::node {

// A loop without a network: connections go to ports of 127.0.0.1 where nothing listens.
struct Quiet {
    static launch::Launch told() {
        launch::Launch launch;
        launch.facts = a_site();
        launch.facts.traffic = {pages(), pages()};
        launch.terms = terms();
        return launch;
    }
    static feed::Event caches(const std::vector<CacheId>& ids) {
        feed::Listing listing{.complete = true, .caches = {}};
        for (auto id : ids)
            listing.caches.push_back({{id, EndpointState::Ready, 6, 0, 7, 1, 0}, 0x7f000001, 1});
        return {1, listing};
    }
    static Arrived arrived(LookupId id, std::int32_t seq = 1) {
        thrift::Lookup wanted;
        wanted.facts = lookup(id);
        wanted.facts.deadline = 0;
        wanted.wait = 4 * test_second;
        return {{1, seq}, wanted, noon};
    }
    int listen() {
        int port = free_port();
        front.listen({0x7f000001, static_cast<std::uint16_t>(port)});
        return port;
    }
    // One transmission to cache 1, which stands at `port`; written as soon as it can be.
    void send(int port, int round, Micros time = 9 * test_second) {
        auto listing = std::get<feed::Listing>(caches({1}).what);
        listing.caches[0].port = static_cast<std::uint16_t>(port);
        pool.list(listing);
        send(round, time);
    }
    void send(int round, Micros time = 9 * test_second) {
        pool.send(1, {.lookup = 9, .round = round, .sent = noon, .limit = clock.now() + time});
        write();
    }
    void write() {
        pool.write([](CacheId, const Attempt&) { return Pool::Word{http::probe()}; });
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
            pass();
            if (writing) write();
        }
    }
    void pass() { event_base_loop(base.get(), EVLOOP_ONCE | EVLOOP_NONBLOCK); }
    // Long enough for what may cross the end of something.
    void rest() {
        auto until = clock.now() + 60 * test_ms;
        pump([&] { return clock.now() > until; });
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
    bool writing = true;  // pump() writes what has come up; else write() does, or a turn
    launch::Launch launch = told();
    MemoryAccount answers{100'000}, requests{1'200'000};
    Owned<event_base> base{event_base_new()};
    Clock clock;
    Gathered gathered;
    Front front{{base.get(), launch.terms, clock, gathered, requests}, 8, answers};
    Pool pool{base.get(), launch.terms, clock, gathered, 2, answers};
    Turn turn{launch, base.get(), gathered, front, pool};
};

// With one client connected.
struct OneClient : Quiet {
    OneClient() { REQUIRE(client.connect(port)); }
    int port = listen();
    Socket client;
};

inline std::string answer_of(const std::string& body) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// With one connection to a cache, which has answered its first transmission and rests since.
struct Answered : Quiet {
    explicit Answered(const std::string& first = answer_of("first")) {
        REQUIRE(link.send(first));
        CHECK(landed().outcome == Outcome::Ok);
    }
    Socket sent_first() {
        send(cache.port, 0);
        return asked(cache);
    }
    Listener cache;
    Socket link = sent_first();
};

inline const std::string whole_answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";

}  // namespace quillgrade::node
