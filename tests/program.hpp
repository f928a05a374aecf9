// The program itself on loopback, and the configuration that it is started with.
#pragma once

#include <sys/resource.h>
#include <sys/wait.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <utility>

#include "helpers.hpp"

namespace quillgrade {

struct Program {
    pid_t pid;
    Socket log{-1};
    // `sockets`: the descriptors that the system grants it, 0: as many as this process has.
    explicit Program(const std::string& config, rlim_t sockets = 0) {
        std::array<int, 2> ends;
        REQUIRE(pipe(ends.data()) == 0);
        pid = fork();
        if (pid == 0) {
            dup2(ends[1], STDERR_FILENO);
            setenv("PROXY_CONFIG", config.c_str(), 1);
            rlimit few{sockets, sockets};
            if (sockets > 0) setrlimit(RLIMIT_NOFILE, &few);
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
    Program(const Program&) = delete;
    Program& operator=(const Program&) = delete;
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
    File(const File&) = delete;
    File& operator=(const File&) = delete;
    ~File() { std::remove(path.c_str()); }
};

inline std::string config(int listen, int coordinator, int cache, int sockets = 1024) {
    auto grade = [](const char* name, const char* effect) {
        return std::string("{\"name\":\"") + name + "\",\"promise\":300000,\"aim_stretch\":2,\"effect\":\"" +
               effect + "\",\"dedup_scope\":\"all\",\"key_ttl\":5000000,\"deadline\":3000000}";
    };
    auto at = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    return R"({"name":"n1","listen":")" + at(listen) + R"(","seed":"8c1f30d27a5be964","coordinator":")" +
           at(coordinator) + R"(","limits":{"cores":1.0,"memory_mb":192,"sockets":)" +
           std::to_string(sockets) + R"(},
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

inline std::string answer(const std::string& status, const std::string& body = "") {
    return "HTTP/1.1 " + status + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

inline std::map<std::string, std::string> fields_of(const char* id, const char* type = "page") {
    auto fields = call_fields();
    fields["i"] = id;
    fields["c"] = type;
    return fields;
}

// A program that serves, between a coordinator and a cache, and a client that has connected.
struct Serving {
    Serving() : program(file.path) {
        line(program.log, "serving as n1");
        REQUIRE(client.connect(port));
    }
    int port = free_port();
    Listener coordinator, cache;
    File file{config(port, coordinator.port, cache.port)};
    Program program;
    Socket client;
};

}  // namespace quillgrade
