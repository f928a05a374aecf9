// The program itself on loopback, between a client, a cache and a coordinator that stand here.
#include "program.hpp"

#include <algorithm>

using namespace quillgrade;

TEST_CASE("the program handles, rejects and breaks off lookups, and leaves on SIGTERM") {
    int port = free_port();
    Listener coordinator, cache;
    File file(config(port, coordinator.port, cache.port));
    Program program(file.path);
    line(program.log, "serving as n1");
    auto feed = accept(coordinator);
    CHECK(read(feed, [](auto& got) { return got.size() >= 8; }) == std::string("\0\0\0\0\0\0\0\1", 8));

    Socket client;
    REQUIRE(client.connect(port));
    client.send(framed(head(1, "ping", 1) + std::string("\2\0\1\1\0", 5)));
    CHECK(frame(client) == thrift::pong(1, true));

    client.send(invoke(2, fields_of("00000000000000a1")));
    auto link = accept(cache);
    auto asked = request(link);
    CHECK(asked.starts_with("GET /data/page/7f3a9c21e0b4d655/3 HTTP/1.1\r\n"));
    CHECK(asked.find("X-Hop-Id: 00000000000000a1\r\n") != std::string::npos);
    link.send(answer("200 OK", "an object"));
    CHECK(frame(client) == thrift::handled(2, "an object", false));

    client.send(invoke(3, fields_of("00000000000000a2")));  // a miss, and there is nobody else to ask
    auto miss = accept(cache);                              // the first connection was answered a moment ago
    request(miss);
    miss.send(answer("404 Not Found"));
    CHECK(frame(client) == thrift::rejected(3, 500 * test_ms));

    client.send(invoke(4, fields_of("00000000000000a3", "order")));  // it may have run
    auto wrong = accept(cache);
    request(wrong);
    wrong.send(answer("500 Oops"));
    CHECK(frame(client) == thrift::broken_off(4));

    client.send(invoke(5, {{"i", "00000000000000a4"}}));  // fields are missing
    CHECK(frame(client) == thrift::broken_off(5));

    client.send(invoke(6, fields_of("00000000000000a5")));
    auto held = accept(cache);
    request(held);
    kill(program.pid, SIGTERM);
    line(program.log, "leaving");
    client.send(invoke(7, fields_of("00000000000000a6")));  // clients still come
    auto second = accept(cache);
    request(second);
    second.send(answer("200 OK", "late"));
    CHECK(frame(client) == thrift::handled(7, "late", false));
    held.send(answer("200 OK", "held"));
    CHECK(frame(client) == thrift::handled(6, "held", false));
    CHECK(program.exit_code() == 0);
}

// Guards against a signal that ends the program, and against one that hears an old coordinator only.
TEST_CASE("on SIGHUP the program asks a new coordinator, and keeps the old one where the file is bad") {
    int port = free_port();
    Listener first, second, cache;
    File file(config(port, first.port, cache.port));
    Program program(file.path);
    auto feed = accept(first);
    line(program.log, "serving as n1");
    std::ofstream(file.path) << "{\"name\":";
    kill(program.pid, SIGHUP);
    line(program.log, "configuration not taken");
    std::ofstream(file.path) << config(port, second.port, cache.port);
    kill(program.pid, SIGHUP);
    auto moved = accept(second);
    CHECK(read(moved, [](auto& got) { return got.size() >= 8; }) == std::string("\0\0\0\0\0\0\0\1", 8));
    Socket client;
    REQUIRE(client.connect(port));
    client.send(framed(head(1, "ping", 1) + std::string(1, '\0')));
    CHECK(frame(client) == thrift::pong(1, true));
    kill(program.pid, SIGTERM);
    CHECK(program.exit_code() == 0);
}

TEST_CASE("a configuration that can't be used ends the program with one line") {
    File file("{\"name\": 3}");
    Program program(file.path);
    auto said = read(program.log, [](auto&) { return false; });
    CHECK(program.exit_code() == 1);
    CHECK(std::count(said.begin(), said.end(), '\n') == 1);
}
