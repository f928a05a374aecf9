// A router as a child process, and the configuration it is given.
#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <stdexcept>
#include <utility>

#include "rig/world.hpp"

namespace quillgrade::rig {

Router::Router(const std::string& program, const std::string& config, const std::vector<std::string>& words,
               const std::vector<std::pair<std::string, std::string>>& environment) {
    std::array<int, 2> ends;
    if (pipe2(ends.data(), O_CLOEXEC) != 0) throw std::runtime_error("no pipe");
    std::vector<const char*> line = {"quillgrade"};
    for (auto& word : words) line.push_back(word.c_str());
    line.push_back(nullptr);
    process = fork();
    if (process == 0) {
        dup2(ends[1], STDERR_FILENO);
        // A connection of a client of the rig that lived on in here would not end when the client closes it.
        close_range(STDERR_FILENO + 1, ~0U, CLOSE_RANGE_CLOEXEC);
        setenv("PROXY_CONFIG", config.c_str(), 1);
        for (auto& [name, value] : environment) setenv(name.c_str(), value.c_str(), 1);
        unsetenv("PROXY_LISTEN");
        unsetenv("PROXY_NAME");
        execv(program.c_str(), const_cast<char* const*>(line.data()));
        _exit(127);
    }
    close(ends[1]);
    from = ends[0];
}

Router::~Router() {
    if (process > 0) {
        kill(process, SIGKILL);
        waitpid(process, nullptr, 0);
    }
    close(from);
}

void Router::read(int ms) {
    pollfd ready{from, POLLIN, 0};
    while (poll(&ready, 1, ms) == 1) {
        std::array<char, 65'536> piece;
        auto got = ::read(from, piece.data(), sizeof piece);
        if (got <= 0) return;
        text.append(piece.data(), static_cast<std::size_t>(got));
        ms = 0;
    }
}

bool Router::says(const std::string& wanted, double seconds) {
    auto until = std::chrono::steady_clock::now() + std::chrono::duration<double>(seconds);
    for (;;) {
        read(20);
        if (text.find(wanted) != std::string::npos) return true;
        if (std::chrono::steady_clock::now() > until) return false;
    }
}

std::string Router::log() {
    read(0);
    return text;
}

std::string Router::take_log() {
    read(0);
    return std::exchange(text, {});
}

bool Router::ended() {
    siginfo_t info{};
    return waitid(P_PID, static_cast<id_t>(process), &info, WEXITED | WNOHANG | WNOWAIT) == 0 &&
           info.si_pid != 0;
}

void Router::signal(int number) { kill(process, number); }

int Router::wait() {
    int status = 0;
    // Its log is read meanwhile, else it would wait for room there.
    while (waitpid(process, &status, WNOHANG) == 0) read(5);
    read(0);
    process = -1;
    return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

double Router::rss_mb() const {
    std::ifstream in("/proc/" + std::to_string(process) + "/statm");
    long all = 0, resident = 0;
    in >> all >> resident;
    return static_cast<double>(resident * sysconf(_SC_PAGESIZE)) / (1 << 20);
}

double Router::cpu_seconds() const {
    std::ifstream in("/proc/" + std::to_string(process) + "/stat");
    std::string word;
    long user = 0, system = 0;
    for (int i = 1; i <= 13; i++) in >> word;
    in >> user >> system;
    return static_cast<double>(user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

std::string config_of(int listen_port, int coordinator_port, const std::vector<int>& boxes, int zones,
                      int memory_mb, int sockets) {
    auto at = [](int port) { return "\"127.0.0.1:" + std::to_string(port) + "\""; };
    std::string servers, names, counts;
    for (std::size_t i = 0; i < boxes.size(); i++) {
        std::array<char, 32> id;
        std::snprintf(id.data(), sizeof id, "s-%08x", static_cast<unsigned>(i + 1));
        servers += std::string(i ? "," : "") + R"({"id":")" + id.data() + R"(","addr":)" + at(boxes[i]) +
                   R"(,"zone":"z1","kind":"std","cell":0,"state":"in_service","weight":4,"started_ms":0})";
    }
    for (int zone = 0; zone < zones; zone++) {
        names += std::string(zone ? "," : "") + "\"z" + std::to_string(zone) + "\"";
        counts += std::string(zone ? "," : "") + "1";
    }
    return R"({"name":"n1","listen":)" + at(listen_port) + R"(,"seed":"8c1f30d27a5be964","coordinator":)" +
           at(coordinator_port) + R"(,"limits":{"cores":1.0,"memory_mb":)" + std::to_string(memory_mb) +
           R"(,"sockets":)" + std::to_string(sockets) +
           R"(},"known":{"index":1,"updates":[{"index":1,"endpoints":{"version":1,"full":true,"servers":[)" +
           servers + R"(]}}]},"settings":{"balancers":1,"zone":1,"zones":[)" + names +
           R"(],"flavors":["std","parent","origin"],"weights":"nominal","discovery":"push",
"grades":[{"name":"page","promise":300000,"aim_stretch":2,"effect":"retryable","dedup_scope":"all",
"key_ttl":5000000,"deadline":3000000}],"load_report":{"fields":["outstanding","x1"]},
"limits":{"attempts_cap":4,"second_copies":true,"cancel":true,"probes":true,"retry_after":true,
"max_retry_after":500000,"connect_timeout":400000,"keepalive":30000000},
"safety":{"cold_from":0.2,"fall_multiple":3,"cold":3000000,"overload_for":1000000},
"family_info":{"shield_kind":1,"master_kind":2,"fresh_for":[0],"pass_on":[false],"count_by_zone":[)" +
           counts + R"(],"can_join":false,"direct":false,"notes_given":"hit","client_kb_per_s":7500,
"purge_done":6000000,"parent_cold_from":0.1,"parent_limit_factor":2,"parent_cold":3000000}}})";
}

int free_port() {
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    bool good = bind(fd, reinterpret_cast<sockaddr*>(&address), size) == 0 &&
                getsockname(fd, reinterpret_cast<sockaddr*>(&address), &size) == 0;
    close(fd);
    if (!good) throw std::runtime_error("no free port");
    return ntohs(address.sin_port);
}

}  // namespace quillgrade::rig
