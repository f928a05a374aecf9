// The program itself on loopback, between a client, a cache and a coordinator that stand here.
#include <doctest/doctest.h>
#include <signal.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <utility>

#include "helpers.hpp"

using namespace quillgrade;

namespace {

struct Program {
    pid_t pid;
    Socket log{-1};
    explicit Program(const std::string& config) {
        int ends[2];
        REQUIRE(pipe(ends) == 0);
        pid = fork();
        if (pid == 0) {
            dup2(ends[1], STDERR_FILENO);
            setenv("PROXY_CONFIG", config.c_str(), 1);
            unsetenv("PROXY_LISTEN");
            unsetenv("PROXY_NAME");
            execl(QUILLGRADE_PROGRAM, "quillgrade", nullptr);
            _exit(127);
        }
        close(ends[1]);
        log.fd = ends[0];
    }
    int exit_code() {
        int status = 0;
        waitpid(std::exchange(pid, -1), &status, 0);
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    ~Program() {
        if (pid <= 0) return;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
    }
};

// A file that lasts as long as the test.
struct File {
    std::string path = "/tmp/quillgrade_test_" + std::to_string(getpid());
    explicit File(const std::string& text) { std::ofstream(path) << text; }
    ~File() { std::remove(path.c_str()); }
};

std::string config(int listen, int coordinator, int cache) {
    auto grade = [](const char* name, const char* effect) {
        return std::string("{\"name\":\"") + name + "\",\"promise\":300000,\"aim_stretch\":2,\"effect\":\"" +
               effect + "\",\"dedup_scope\":\"all\",\"key_ttl\":5000000,\"deadline\":3000000}";
    };
    auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    return R"({"name":"n1","listen":")" + at(listen) + R"(","seed":"8c1f30d27a5be964","coordinator":")" +
           at(coordinator) + R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":1024},
        "known":{"index":1,"updates":[{"index":1,"endpoints":{"version":1,"full":true,"servers":[
         {"id":"s-00000001","addr":")" +
           at(cache) +
           R"(","zone":"east","kind":"std","cell":0,"state":"in_service","weight":4,"started_ms":0}]}}]},
        "settings":{"balancers":1,"zone":1,"zones":["central","east"],"flavors":["std","parent","origin"],
         "weights":"nominal","discovery":"push","grades":[)" +
           grade("page", "retryable") + "," + grade("order", "fragile") + R"(],
         "load_report":{"fields":["outstanding","x1"]},
         "limits":{"attempts_cap":4,"second_copies":false,"cancel":true,"probes":false,"retry_after":true,
          "max_retry_after":500000,"connect_timeout":400000,"keepalive":30000000},
         "safety":{"cold_from":0.2,"fall_multiple":3,"cold":9000000,"overload_for":1000000},
         "family_info":{"shield_kind":1,"master_kind":2,"fresh_for":[0,0],"pass_on":[false,false],
          "count_by_zone":[0,1],"can_join":false,"direct":false,"notes_given":"hit","client_kb_per_s":7500,
          "purge_done":6000000,"parent_cold_from":0.1,"parent_limit_factor":2,"parent_cold":9000000}}})";
}

std::string answer(const std::string& status, const std::string& body = "") {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::map<std::string, std::string> fields_of(const char* id, const char* type = "page") {
    auto fields = call_fields();
    fields["i"] = id;
    fields["c"] = type;
    return fields;
}

}  // namespace

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
    request(link);
    link.send(answer("404 Not Found"));
    CHECK(frame(client) == thrift::rejected(3, 500 * test_ms));

    client.send(invoke(4, fields_of("00000000000000a3", "order")));  // it may have run
    request(link);
    link.send(answer("500 Oops"));
    CHECK(frame(client) == thrift::broken_off(4));

    client.send(invoke(5, {{"i", "00000000000000a4"}}));  // fields are missing
    CHECK(frame(client) == thrift::broken_off(5));

    client.send(invoke(6, fields_of("00000000000000a5")));
    request(link);
    kill(program.pid, SIGTERM);
    line(program.log, "leaving");
    client.send(invoke(7, fields_of("00000000000000a6")));  // clients still come
    auto second = accept(cache);
    request(second);
    second.send(answer("200 OK", "late"));
    CHECK(frame(client) == thrift::handled(7, "late", false));
    link.send(answer("200 OK", "held"));
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
