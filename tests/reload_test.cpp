// Drains, reloads, silent watches, whole lists and ends of the program that meet requests half taken or
// under way. What meets what is forced: the program is stopped while both are laid before it, or is seen to
// have heard the first.
#include "coordinator_stream.hpp"
#include "program.hpp"
#include "quiet.hpp"

using namespace quillgrade;

namespace {

constexpr unsigned cache_id = 1, other_id = 2;  // config() lists cache 1

// Stops the program, and returns once it stands still.
void stop(const Program& program) {
    REQUIRE(kill(program.pid, SIGSTOP) == 0);
    int status = 0;
    REQUIRE(waitpid(program.pid, &status, WUNTRACED) == program.pid);
    REQUIRE(WIFSTOPPED(status));
}

// To a far side that may have closed by now.
void send_late(const Socket& to, const std::string& bytes) {
    ::send(to.fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void resume(const Program& program) { REQUIRE(kill(program.pid, SIGCONT) == 0); }

std::string ping(int seq) { return framed(head(1, "ping", seq) + std::string(1, '\0')); }

// Waits until all that was sent on a client's connection before has been heard.
void sync(const Socket& from, int seq) {
    REQUIRE(from.send(ping(seq)));
    CHECK(frame(from) == thrift::pong(seq, true));
}

std::string drain_of(const Listener& cache) {
    return cache_record(cache_id, cache.port, EndpointState::Draining);
}

// The program with its watch open, on which nothing has come so far: the program says that it is connected
// once it has taken the first event.
struct Watched : Serving {
    void hear(const std::string& text) { line(program.log, text); }
    void reload(const Listener& at) {
        std::ofstream(file.path) << config(port, at.port, cache.port);
        REQUIRE(kill(program.pid, SIGHUP) == 0);
    }
    // A request gets one final answer, and nothing goes to the cache for it.
    void not_sent_on(const Socket& from, int seq, const char* id) {
        REQUIRE(from.send(invoke(seq, fields_of(id))));
        CHECK(frame(from) == thrift::rejected(seq, 500 * test_ms));
        CHECK_FALSE(node::Quiet::readable(cache));
    }
    Socket watch = accept_watch(coordinator, 1);
};

}  // namespace

TEST_CASE("SIGHUP keeps a drain that was told on the old stream only") {
    Watched one;
    REQUIRE(one.watch.send(event_frame(2, EventKind::ListChange, drain_of(one.cache))));
    one.hear("coordinator connected");
    one.not_sent_on(one.client, 1, "00000000000000a1");
    Listener second;
    one.reload(second);
    auto moved = accept_watch(second, 2);  // and the file still says that the cache is ready
    REQUIRE(moved.send(heartbeat()));
    one.hear("coordinator connected");
    one.not_sent_on(one.client, 2, "00000000000000a2");
}

// The drain and the signal are there at once; whichever the program hears first, it misses nothing.
TEST_CASE("a drain that lies unread on the old stream at SIGHUP is asked for again or was heard") {
    Watched one;
    REQUIRE(one.watch.send(heartbeat()));
    one.hear("coordinator connected");
    Listener second;
    stop(one.program);
    REQUIRE(one.watch.send(event_frame(2, EventKind::ListChange, drain_of(one.cache))));
    one.reload(second);
    resume(one.program);
    auto moved = accept(second);
    auto asked = read(moved, [](auto& got) { return got.size() >= 8; });
    auto last = bytes::Cursor(asked).number(8);
    CHECK((last == 1 || last == 2));
    if (last == 1) REQUIRE(moved.send(event_frame(2, EventKind::ListChange, drain_of(one.cache))));
    REQUIRE(moved.send(heartbeat()));
    one.hear("coordinator connected");
    one.not_sent_on(one.client, 1, "00000000000000a1");
}

// Guards against a watch that is trusted because it once worked. The pauses pace the heartbeats as a
// coordinator does; no check leans on them.
TEST_CASE("a watch that falls silent after 13 s is opened again, and the drain told there is heeded") {
    Watched one;
    REQUIRE(one.watch.send(heartbeat()));
    one.hear("coordinator connected");
    for (int second = 0; second < 13; second++) {
        pollfd nothing{one.watch.fd, 0, 0};
        poll(&nothing, 1, 1000);
        REQUIRE(one.watch.send(heartbeat()));
    }
    auto again = accept_watch(one.coordinator, 1);
    REQUIRE(again.send(event_frame(2, EventKind::ListChange, drain_of(one.cache))));
    one.hear("coordinator connected");
    Socket later;  // the first client has said nothing for long, and was let go
    REQUIRE(later.connect(one.port));
    one.not_sent_on(later, 1, "00000000000000a1");
    // What the silent one says late, to a reader that has gone, brings nothing back.
    auto late =
        event_frame(3, EventKind::ListChange, cache_record(cache_id, one.cache.port, EndpointState::Ready));
    send_late(one.watch, late);
    sync(later, 2);
    one.not_sent_on(later, 3, "00000000000000a3");
}

TEST_CASE("a request of which half came before its cache's drain goes to no draining cache") {
    Watched one;
    auto request_bytes = invoke(2, fields_of("00000000000000a2"));
    auto half = request_bytes.size() / 2;
    REQUIRE(one.client.send(ping(1) + request_bytes.substr(0, half)));
    CHECK(frame(one.client) == thrift::pong(1, true));
    REQUIRE(one.watch.send(event_frame(2, EventKind::ListChange, drain_of(one.cache))));
    one.hear("coordinator connected");
    REQUIRE(one.client.send(request_bytes.substr(half)));
    CHECK(frame(one.client) == thrift::rejected(2, 500 * test_ms));
    CHECK_FALSE(node::Quiet::readable(one.cache));
}

// Guards against a connection that counts as resting while half of a request has come on it.
TEST_CASE("a request of which half came before SIGTERM is served, and the program ends with 0") {
    Serving one;
    auto request_bytes = invoke(2, fields_of("00000000000000a2"));
    auto half = request_bytes.size() / 2;
    REQUIRE(one.client.send(ping(1) + request_bytes.substr(0, half)));
    CHECK(frame(one.client) == thrift::pong(1, true));
    REQUIRE(kill(one.program.pid, SIGTERM) == 0);
    line(one.program.log, "leaving");
    REQUIRE(one.client.send(request_bytes.substr(half)));
    auto link = accept(one.cache);
    CHECK(request(link).find("X-Hop-Id: 00000000000000a2\r\n") != std::string::npos);
    link.send(answer("200 OK", "late"));
    CHECK(frame(one.client) == thrift::handled(2, "late", false));
    CHECK(one.program.exit_code() == 0);
}

// Guards against a planned restart that resets what the system has taken and the program has not seen.
TEST_CASE("requests unread at SIGTERM are served, on a connection that was let in and on one that was not") {
    Serving one;
    REQUIRE(one.client.send(ping(1)));
    CHECK(frame(one.client) == thrift::pong(1, true));
    stop(one.program);
    Socket waiting;
    REQUIRE(waiting.connect(one.port));
    REQUIRE(one.client.send(invoke(2, fields_of("00000000000000a2"))));
    REQUIRE(waiting.send(invoke(3, fields_of("00000000000000a3"))));
    REQUIRE(kill(one.program.pid, SIGTERM) == 0);
    resume(one.program);
    auto first = accept(one.cache), second = accept(one.cache);
    for (auto* link : {&first, &second}) {
        request(*link);
        link->send(answer("200 OK", "served"));
    }
    CHECK(frame(one.client) == thrift::handled(2, "served", false));
    CHECK(frame(waiting) == thrift::handled(3, "served", false));
    CHECK(one.program.exit_code() == 0);
}

// Guards against an address that is not free again after a kill, and against work for clients of a past life.
TEST_CASE("a program killed between accept and read has sent nothing on, and starts again at its address") {
    Serving one;
    Socket idle;
    REQUIRE(idle.connect(one.port));
    for (auto* client : {&one.client, &idle}) {  // both have been let in
        REQUIRE(client->send(ping(1)));
        CHECK(frame(*client) == thrift::pong(1, true));
    }
    stop(one.program);
    REQUIRE(one.client.send(invoke(2, fields_of("00000000000000a2"))));
    REQUIRE(kill(one.program.pid, SIGKILL) == 0);
    CHECK(one.program.exit_code() == -1);
    CHECK(read(one.client, [](auto&) { return false; }).empty());
    Program again(one.file.path);
    line(again.log, "serving as n1");
    Socket client;
    REQUIRE(client.connect(one.port));
    REQUIRE(client.send(invoke(1, fields_of("00000000000000a3"))));
    auto link = accept(one.cache);
    CHECK(request(link).find("X-Hop-Id: 00000000000000a3\r\n") != std::string::npos);
    link.send(answer("200 OK", "an object"));
    CHECK(frame(client) == thrift::handled(1, "an object", false));
    CHECK_FALSE(node::Quiet::readable(one.cache));
}

// Guards against a second attempt of a request that may have run, and against two answers to one.
TEST_CASE("a whole list that lacks a cache moves the request on that may run twice, and leaves the other") {
    Watched one;
    REQUIRE(one.client.send(invoke(1, fields_of("00000000000000a1", "page"))));
    auto page = accept(one.cache);
    request(page);
    REQUIRE(one.client.send(invoke(2, fields_of("00000000000000a2", "order"))));
    auto order = accept(one.cache);
    request(order);
    Listener other;
    REQUIRE(one.watch.send(
        event_frame(2, EventKind::WholeList, cache_record(other_id, other.port, EndpointState::Ready))));
    auto moved = accept(other);
    CHECK(request(moved).find("X-Hop-Id: 00000000000000a1\r\n") != std::string::npos);
    moved.send(answer("200 OK", "moved"));
    send_late(page, answer("200 OK", "late"));
    CHECK(frame(one.client) == thrift::handled(1, "moved", false));
    order.send(answer("200 OK", "ordered"));
    CHECK(frame(one.client) == thrift::handled(2, "ordered", false));
    sync(one.client, 3);  // no second answer to either
    CHECK_FALSE(node::Quiet::readable(one.cache));
}
