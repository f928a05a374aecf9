// Hollow runs: what they measure is what happened, and nothing is left behind. By the program where processes
// matter.
#include <doctest/doctest.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rig/hollow/arrival_figures.hpp"
#include "rig/hollow/arrival_log.hpp"
#include "rig/hollow/false_deaths.hpp"
#include "rig/hollow/member_table.hpp"
#include "rig/hollow/message_lines.hpp"
#include "rig/hollow/publisher.hpp"
#include "rig/hollow/run_result.hpp"
#include "rig/hollow/tier.hpp"

namespace quillgrade::rig::hollow {

namespace {

constexpr int pipe_read_end = 0, pipe_write_end = 1;

// A run of the program; its output is read to the end.
struct HollowProgram {
    pid_t process = -1;
    int output = -1;

    explicit HollowProgram(std::vector<const char*> options) {
        std::vector<const char*> words = {QUILLGRADE_HOLLOW_PROGRAM, "run"};
        words.insert(words.end(), options.begin(), options.end());
        words.push_back(nullptr);
        std::array<int, 2> ends{};
        REQUIRE(pipe(ends.data()) == 0);
        process = fork();
        if (process == 0) {
            dup2(ends[pipe_write_end], STDOUT_FILENO);
            dup2(ends[pipe_write_end], STDERR_FILENO);
            close(ends[pipe_read_end]);
            close(ends[pipe_write_end]);
            execv(words[0], const_cast<char* const*>(words.data()));
            _exit(127);
        }
        close(ends[pipe_write_end]);
        output = ends[pipe_read_end];
    }
    ~HollowProgram() {
        if (process > 0) exit_code();
        close(output);
    }
    HollowProgram(const HollowProgram&) = delete;
    HollowProgram& operator=(const HollowProgram&) = delete;

    std::string read_all() {
        std::string text;
        std::array<char, 4096> piece;
        for (ssize_t got; (got = read(output, piece.data(), piece.size())) > 0;)
            text.append(piece.data(), static_cast<std::size_t>(got));
        return text;
    }
    int exit_code() {
        int status = 0;
        waitpid(process, &status, 0);
        process = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
    }
    // Those that the kernel names as its children now.
    std::vector<pid_t> children() const {
        auto id = std::to_string(process);
        std::ifstream list("/proc/" + id + "/task/" + id + "/children");
        std::vector<pid_t> all;
        for (pid_t child; list >> child;) all.push_back(child);
        return all;
    }
};

bool runs(pid_t process) { return kill(process, 0) == 0; }

// By the mask of /proc.
bool ignores(pid_t process, int signal) {
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string word; status >> word;) {
        if (word != "SigIgn:") continue;
        status >> word;
        return std::stoull(word, nullptr, 16) >> (signal - 1) & 1;
    }
    return false;
}

// Waits until `condition` holds, 20 s at most.
template <class Condition>
bool comes_true(Condition condition) {
    constexpr int most_looks = 2000;
    constexpr useconds_t between_looks = 10'000;
    for (int i = 0; i < most_looks; i++) {
        if (condition()) return true;
        usleep(between_looks);
    }
    return false;
}

std::string own_folder() {
    std::string name = "/tmp/quillgrade_hollow_test_XXXXXX";
    REQUIRE(mkdtemp(name.data()) != nullptr);
    return name;
}

struct Folder {
    Folder() = default;
    Folder(const Folder&) = delete;
    Folder& operator=(const Folder&) = delete;
    ~Folder() { std::filesystem::remove_all(path); }
    std::string path = own_folder();
};

}  // namespace

TEST_CASE("hollow run: all purges arrive, and the routers of a killed worker come back") {
    HollowProgram program({"--hollow", "8", "--real", "1", "--seconds", "10", "--control-machines", "2"});
    auto text = program.read_all();
    CAPTURE(text);
    CHECK(program.exit_code() == 0);
    auto last_line = text.substr(text.rfind('\n', text.size() - 2) + 1);
    auto told = nlohmann::json::parse(last_line);
    CHECK(told["purges_published"] > 1000);
    CHECK(told["purges_missed"] == 0);
    CHECK(told["configs_published"] >= 20);
    CHECK(told["configs_missed"] == 0);
    CHECK(told["requests_without_one_response"] == 0);
    CHECK(told["requests"] > 0);
    CHECK(told["started_together"]["know"] == 8);
    CHECK(told["killed_worker"]["started"] == 4);
    CHECK(told["killed_and_back"] == 4);
    CHECK(told["longest_datagram"] <= 256);
    CHECK(told["cold_budget_exceeded"].is_null());
}

TEST_CASE("hollow run: a run past its limits stops, and says which") {
    HollowProgram crowded({"--hollow", "8", "--real", "1", "--seconds", "10", "--most-processes", "5"});
    auto text = crowded.read_all();
    CHECK(crowded.exit_code() == 1);
    CHECK(text.find("processes, 5 are allowed") != text.npos);

    HollowProgram large({"--hollow", "8", "--real", "1", "--seconds", "10", "--most-resident-mb", "20"});
    text = large.read_all();
    CHECK(large.exit_code() == 1);
    CHECK(text.find("MB resident, 20 are allowed") != text.npos);
}

TEST_CASE("hollow run: a connection that the far side closes while it is written to ends no child") {
    HollowProgram program({"--hollow", "8", "--real", "0", "--seconds", "60", "--control-machines", "2"});
    REQUIRE(comes_true([&] { return program.children().size() == 4; }));
    for (auto child : program.children()) CHECK(comes_true([&] { return ignores(child, SIGPIPE); }));
    kill(program.process, SIGTERM);
    CHECK(program.exit_code() == 1);
}

TEST_CASE(
    "hollow run: no child is left when one has failed, after a signal, or when the supervisor was killed") {
    struct End {
        const char* name;
        int to_supervisor, to_child;
    };
    for (auto& end : {End{"a child is killed", 0, SIGKILL}, End{"interrupt", SIGINT, 0},
                      End{"terminate", SIGTERM, 0}, End{"kill", SIGKILL, 0}}) {
        CAPTURE(end.name);
        HollowProgram program({"--hollow", "8", "--real", "2", "--seconds", "60", "--control-machines", "2"});
        // Two workers, two control machines, two real routers.
        REQUIRE(comes_true([&] { return program.children().size() == 6; }));
        auto children = program.children();
        if (end.to_child) kill(children.front(), end.to_child);
        if (end.to_supervisor) kill(program.process, end.to_supervisor);
        CHECK(program.exit_code() == (end.to_supervisor == SIGKILL ? -1 : 1));
        for (auto child : children) CHECK(comes_true([&] { return !runs(child); }));
    }
}

TEST_CASE("hollow run: an arrival counts once, and only for the life that waits for it") {
    Folder folder;
    constexpr Micros start = 1'000'000;
    ArrivalLog log(folder.path, 2, 10, start), other_process(folder.path, 2, 10, start);
    log.begin_life(1, 3);
    log.arrived(1, 4, start + 5'000);
    log.arrived(1, 4, start + 9'000);
    CHECK(other_process.known_at_start(1) == 3);
    CHECK(other_process.arrival(1, 4) == start + 5'000);
    CHECK_FALSE(other_process.arrival(0, 4));
    CHECK_FALSE(other_process.arrival(1, 5));
    log.arrived(1, 11, start);  // past its room
    log.arrived(1, 0, start);   // no event
    CHECK(other_process.known_at_start(1) == 3);
}

TEST_CASE("hollow run: an event that a router waits for and does not get is missed") {
    Folder folder;
    constexpr Micros start = 1'000'000;
    constexpr int routers = 3;
    ArrivalLog log(folder.path, routers, 100, start);
    Publisher publisher(1, 0);
    publisher.set_rates(20, 0);
    publisher.publish(start);
    publisher.publish(start + 100'000);  // events 2 and 3
    REQUIRE(publisher.last_event() == 3);
    ArrivalFigures figures(log, publisher, routers);
    log.begin_life(0, 1);
    log.begin_life(1, 1);
    log.begin_life(2, 2);  // it knows the event 2 from its configuration
    log.arrived(2, 2, start + 900'000);
    for (int router = 0; router < 2; router++)
        log.arrived(router, 2, start + 110'000 + Micros{router} * 5'000);
    for (int router = 0; router < 2; router++) log.arrived(router, 3, start + 120'000);
    CHECK(figures.missing(2) == 0);
    CHECK(figures.missing(3) == 1);
    CHECK_FALSE(figures.all_arrived());
    auto told = figures.of(EventKind::Purge);
    CHECK(told.published == 2);
    CHECK(told.missed == 1);
    CHECK(told.everywhere_ms->max == 15);
    log.arrived(2, 3, start + 130'000);
    CHECK(figures.all_arrived());
    CHECK(figures.of(EventKind::Purge).everywhere_ms->max == 30);
    CHECK(figures.of(EventKind::Configuration).published == 0);
}

TEST_CASE(
    "hollow run: a living router that is declared dead is a false death, one of a killed process is none") {
    FalseDeaths deaths;
    deaths.excuse({10, 5, 1000, 2000});
    deaths.note({{10, 3, 1000, 2000}, {14, 1, 1500, 1500}});
    CHECK(deaths.routers() == 0);
    deaths.note({{9, 1, 1500, 1500}, {15, 1, 1500, 1500}, {12, 1, 999, 1500}, {13, 2, 1500, 2001}});
    CHECK(deaths.routers() == 4);
    CHECK(deaths.declarations() == 5);
}

TEST_CASE("hollow run: an account is exact to the last field") {
    Folder folder;
    MemberTable table(folder.path, 2);
    CHECK_FALSE(table.runs(1));
    peers::MemberState state{7, peers::Phase::Present, 2, peers::Liveness::Alive, false};
    table.running(1, state);
    CHECK(table.runs(1));
    CHECK(table.is_exact(1, state));
    auto suspected = state, older = state, ill = state, earlier_life = state;
    suspected.liveness = peers::Liveness::Suspected;
    older.incarnation = 1;
    ill.unhealthy = true;
    earlier_life.generation = 6;
    for (auto& known : {suspected, older, ill, earlier_life}) CHECK_FALSE(table.is_exact(1, known));
    table.not_running(1);
    CHECK_FALSE(table.runs(1));
}

TEST_CASE("hollow run: the publisher keeps its rates and numbers its events without gaps") {
    Publisher publisher(1, 0);
    publisher.set_rates(120, 2);
    Micros now = 1'000'000;
    EventNumber next = 2;
    std::size_t purges = 0, configurations = 0;
    for (int step = 0; step <= 200; step++, now += 50'000) {
        auto made = publisher.publish(now);
        for (auto& purge : made.purges) CHECK(purge.number == next++);
        for (auto& configuration : made.configurations) CHECK(configuration.number == next++);
        purges += made.purges.size();
        configurations += made.configurations.size();
    }
    CHECK(publisher.last_event() == next - 1);
    CHECK(purges >= 1199);
    CHECK(purges <= 1200);
    CHECK(configurations >= 19);
    CHECK(configurations <= 20);
}

TEST_CASE("hollow run: control messages come as they were sent, and others are refused") {
    StartRouters start{{pack({0x7f400001, 5000})}, {pack({0x7f000001, 80})}, 17, StartReason::AfterLoss};
    auto line = encode_line<ToWorker>(start);
    auto read = std::get<StartRouters>(decode_line<ToWorker>(line));
    CHECK(read.routers == start.routers);
    CHECK(read.last_event == 17);
    CHECK(read.reason == StartReason::AfterLoss);
    CHECK(text_of(unpack(read.routers.front())) == "127.64.0.1:5000");
    CHECK_THROWS_AS(decode_line<ToWorker>("{"), BadMessage);
    CHECK_THROWS_AS(decode_line<ToWorker>(R"({"kind": 9, "body": {}})"), BadMessage);
    CHECK_THROWS_AS(decode_line<ToWorker>(R"({"kind": 0, "body": {}})"), BadMessage);
}

TEST_CASE("hollow run: quantiles are those of the values") {
    std::vector<double> values;
    for (int i = 100; i >= 1; i--) values.push_back(i);
    auto found = distribution_of(values);
    CHECK(found->p50 == 51);
    CHECK(found->p99 == 100);
    CHECK(found->max == 100);
    CHECK_FALSE(distribution_of({}));
}

}  // namespace quillgrade::rig::hollow
