// The sampler of processes: lines of /proc are read as the kernel writes them, a ring of samples stays
// bounded, clocks that go apart are told, and of real children the one that computes, the one that sleeps and
// the one that is stopped are told apart.
#include "rig/sampler/sampler.hpp"

#include <sched.h>
#include <sys/syscall.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <functional>
#include <sstream>

#include "helpers.hpp"

using namespace quillgrade;
using namespace quillgrade::rig::sampler;
using namespace std::chrono_literals;

namespace {

constexpr unsigned longest_child_s = 60;  // a child ends by itself then, whatever becomes of the test

// A child process that does one thing until it is killed.
struct Child {
    explicit Child(const std::function<void()>& work) : pid(fork()) {
        REQUIRE(pid >= 0);
        if (pid == 0) {
            alarm(longest_child_s);
            for (;;) work();
        }
    }
    Child(const Child&) = delete;
    Child& operator=(const Child&) = delete;
    ~Child() { end(); }
    void end() {
        if (pid <= 0) return;
        kill(pid, SIGKILL);
        waitpid(pid, nullptr, 0);
        pid = -1;
    }
    pid_t pid;
};

// Waits without end in one system call that every processor's kernel has. pause(2) has a number of its own on
// x86-64 only; elsewhere the C library takes another call for it.
void sleep_in_ppoll() { syscall(SYS_ppoll, nullptr, 0, nullptr, nullptr, 0); }

void compute() {
    volatile int steps = 0;
    while (steps < 1000) steps = steps + 1;
}

// Rounds until `done` holds; false once the patience is over.
bool sample_until(Sampler& sampler, const std::function<bool()>& done) {
    auto limit = std::chrono::steady_clock::now() + std::chrono::milliseconds(patience_ms);
    while (!done()) {
        if (std::chrono::steady_clock::now() > limit) return false;
        sampler.round();
        usleep(2000);
    }
    return true;
}

Nanoseconds processor_time(const Sampler& sampler, pid_t pid) {
    auto* history = sampler.history_of(pid);
    return history ? history->last().times.processor : 0ns;
}

// The report's line on a process; empty where there is none.
std::string line_on(const std::string& report, pid_t pid) {
    auto begin = report.find("process " + std::to_string(pid) + " ");
    if (begin == std::string::npos) return {};
    return report.substr(begin, report.find('\n', begin) - begin);
}

ProcessSample sample_at(std::chrono::milliseconds at, char state, Nanoseconds processor,
                        Nanoseconds run_queue = 0ns) {
    return {.at = SteadyTime(at), .state = state, .times = {processor, run_queue, 0}, .call = {}};
}

ClockReading reading_at(Nanoseconds monotonic, Nanoseconds real_ahead, Nanoseconds read_within = 0ns) {
    return {.monotonic = monotonic,
            .others = {monotonic + real_ahead, monotonic, monotonic},
            .read_within = read_within};
}

std::string first_line(const std::string& path) {
    std::ifstream file(path);
    std::string line;
    std::getline(file, line);
    return line;
}

}  // namespace

TEST_CASE("sampler: schedstat holds three whole numbers") {
    auto times = parse_schedstat("3100000 5000 63\n");
    REQUIRE(times);
    CHECK(times->processor == 3100us);
    CHECK(times->run_queue == 5us);
    CHECK(times->timeslices == 63);
    for (auto* malformed : {"", "1 2", "1 2 x", "1 2 3 4", "1 2 -3", "99999999999999999999 2 3"}) {
        CAPTURE(malformed);
        CHECK_FALSE(parse_schedstat(malformed));
    }
}

TEST_CASE("sampler: stat, where a program's name holds spaces and brackets") {
    auto stat = parse_stat(
        "71 (a) R (b) D 12 71 71 0 -1 4194560 270 4 1 5 3 2 0 0 20 0 1 0 4711 7000 300 "
        "18446744073709551615 1 1 0 0 0 0 4096 0 0 0 0 0 17 6 0 0\n");
    REQUIRE(stat);
    CHECK(stat->pid == 71);
    CHECK(stat->program == "a) R (b");
    CHECK(stat->state == 'D');
    CHECK(stat->parent == 12);
    CHECK(stat->minor_faults == 270);
    CHECK(stat->major_faults == 1);
    CHECK(stat->start_ticks == 4711);
    CHECK(stat->core == 6);
    for (auto* malformed :
         {"", "71", "71 (a", "71 )a(", "x (a) R 1", "71 (a) RR 1", "71 (a) R 12 71 71 0 -1 4194560 270"}) {
        CAPTURE(malformed);
        CHECK_FALSE(parse_stat(malformed));
    }
}

TEST_CASE("sampler: what a core did, and nothing for all cores together") {
    auto times = parse_core_times("cpu7 86408 422 6314 66911 43 1 331 549 0 0\n");
    REQUIRE(times);
    CHECK(times->core == 7);
    CHECK(times->idle == 66911);
    CHECK(times->stolen == 549);
    for (auto* other :
         {"", "cpu", "cpu  702643 3597 57852 515977 626 0 14959 4460 0 0", "cpu7 1 2 3", "intr 5 1"}) {
        CAPTURE(other);
        CHECK_FALSE(parse_core_times(other));
    }
}

TEST_CASE("sampler: the call that a process is in, none, or it runs") {
    std::string in_call = "202 0x7f64b81f6000 0x0 0x0 0x0 0x0 0x1 0x7f64b7fff098 0x7f64b8000000";
    auto call = parse_syscall(in_call + "\n");
    REQUIRE(call);
    CHECK(call->kind == SystemCall::Kind::InCall);
    CHECK(call->number == 202);
    CHECK(call->arguments == std::array<std::uint64_t, 6>{0x7f64b81f6000, 0, 0, 0, 0, 1});
    CHECK(call->stack_pointer == 0x7f64b7fff098);
    CHECK(text_of(*call) == in_call);
    auto outside = parse_syscall("-1 0x7ffc 0x401000");
    REQUIRE(outside);
    CHECK(outside->kind == SystemCall::Kind::OutsideOfCalls);
    CHECK(text_of(*outside) == "-1 0x7ffc 0x401000");
    auto running = parse_syscall("running\n");
    REQUIRE(running);
    CHECK(running->kind == SystemCall::Kind::Running);
    for (auto* malformed :
         {"", "202", "202 0x1 0x2", "-1 0x1", "-1 1 2", "running 1", "202 0 0 0 0 0 0 0 0"}) {
        CAPTURE(malformed);
        CHECK_FALSE(parse_syscall(malformed));
    }
}

TEST_CASE("sampler: this process's own lines can be read") {
    CHECK(parse_schedstat(first_line("/proc/self/schedstat")));
    auto stat = parse_stat(first_line("/proc/self/stat"));
    REQUIRE(stat);
    CHECK(stat->pid == getpid());
    CHECK(stat->parent == getppid());
}

TEST_CASE("sampler: a history keeps the last samples and the extremes of all") {
    ProcessHistory history(3);
    history.add(sample_at(0ms, 'S', 1ms));
    history.add(sample_at(10ms, 'R', 2ms, 7ms));
    history.add(sample_at(20ms, 'R', 3ms, 8ms));
    history.add(sample_at(30ms, 'S', 3ms, 8ms));
    history.add(sample_at(40ms, 'S', 4ms, 9ms));
    auto kept = history.kept();
    REQUIRE(kept.size() == 3);
    CHECK(kept.front().at == SteadyTime(20ms));
    CHECK(kept.back().at == SteadyTime(40ms));
    CHECK(history.first().at == SteadyTime(0ms));
    CHECK(history.samples() == 5);
    CHECK(history.longest_run_queue() == 7ms);
    CHECK(history.longest_ready_without_core() == 0ms);
    CHECK(history.longest_without_running() == 10ms);
}

// The kernel adds to the run queue's time only when a wait is over: a process that was killed while it waited
// shows none.
TEST_CASE("sampler: a wait for a core that is not over yet is told") {
    ProcessHistory history(8);
    history.add(sample_at(0ms, 'S', 1ms));
    for (int i = 1; i <= 50; i++) history.add(sample_at(i * 20ms, 'R', 1ms));
    CHECK(history.longest_run_queue() == 0ms);
    CHECK(history.longest_ready_without_core() == 980ms);
    history.add(sample_at(1020ms, 'R', 2ms, 1000ms));
    history.add(sample_at(1040ms, 'R', 2ms, 1000ms));
    CHECK(history.longest_run_queue() == 1000ms);
    CHECK(history.longest_ready_without_core() == 980ms);
}

TEST_CASE("sampler: clocks that go apart are told, by a jump or bit by bit; slow readings are no evidence") {
    ClockWatch watch;
    watch.add(reading_at(1s, 100s));
    watch.add(reading_at(2s, 100s + 49ms));
    CHECK(watch.divergence(OtherClock::Real).count == 0);
    watch.add(reading_at(3s, 100s + 51ms));
    CHECK(watch.divergence(OtherClock::Real).count == 1);
    watch.add(reading_at(4s, 100s + 60ms));
    CHECK(watch.divergence(OtherClock::Real).count == 1);
    watch.add(reading_at(5s, 90s));
    CHECK(watch.divergence(OtherClock::Real).count == 2);
    CHECK(watch.divergence(OtherClock::Real).largest == 10s + 60ms);
    watch.add(reading_at(9s, 100s, ClockWatch::longest_reading + 1ns));
    CHECK(watch.divergence(OtherClock::Real).count == 2);
    CHECK(watch.slow_readings() == 1);
    CHECK(watch.readings() == 5);
    CHECK(watch.longest_gap() == 4s);
    CHECK(watch.divergence(OtherClock::Boot).count == 0);
    CHECK(watch.divergence(OtherClock::MonotonicRaw).count == 0);
}

TEST_CASE("sampler: a child that computes, one that sleeps and one that is stopped are told apart") {
    std::ostringstream report;
    Sampler sampler({.program = "", .parent = getpid(), .ring = 4, .write_samples = true}, report);
    Child computing(compute), sleeping(sleep_in_ppoll), stopped(sleep_in_ppoll);
    kill(stopped.pid, SIGSTOP);
    auto state_of = [&](pid_t pid) {
        auto* history = sampler.history_of(pid);
        return history ? history->last().state : '?';
    };
    REQUIRE(sample_until(sampler, [&] {
        return processor_time(sampler, computing.pid) > 100ms && state_of(sleeping.pid) == 'S' &&
               state_of(stopped.pid) == 'T';
    }));
    CHECK(processor_time(sampler, sleeping.pid) < 50ms);
    CHECK(sampler.history_of(sleeping.pid)->last().call.number == SYS_ppoll);
    CHECK(sampler.history_of(computing.pid)->kept().size() <= 4);
    CHECK(sampler.history_of(sleeping.pid)->last().allowed_cores >= 1);
    CHECK(sampler.history_of(getpid()) == nullptr);

    pid_t computed = computing.pid, slept = sleeping.pid;
    computing.end();
    sampler.round();
    auto line = line_on(report.str(), computed);
    CAPTURE(report.str());
    CHECK(line.find(" ended: ") != std::string::npos);
    CHECK(line.find("state R") != std::string::npos);
    CHECK(line_on(report.str(), slept).empty());

    sampler.finish();
    CHECK(line_on(report.str(), slept).find("still there: ") != std::string::npos);
    CHECK(line_on(report.str(), slept).find("state S") != std::string::npos);
    CHECK(line_on(report.str(), slept).find("call " + std::to_string(SYS_ppoll) + " ") != std::string::npos);
    CHECK(line_on(report.str(), stopped.pid).find("state T") != std::string::npos);
    CHECK(report.str().find("\nclocks: ") != std::string::npos);
    CHECK(report.str().find("\ncores: ") != std::string::npos);
    CHECK(sampler.followed() == 0);
}

// Two that are pinned to one core take turns there, whatever other cores have to spare: their waits have to
// show.
TEST_CASE(
    "sampler: a wait for the one core that a process is pinned to is told, with the core and who is beside "
    "it") {
    cpu_set_t own;
    REQUIRE(sched_getaffinity(0, sizeof own, &own) == 0);
    int core = 0;
    while (!CPU_ISSET(core, &own)) core++;
    auto compute_there = [core] {
        cpu_set_t one;
        CPU_ZERO(&one);
        CPU_SET(core, &one);
        sched_setaffinity(0, sizeof one, &one);
        for (;;) compute();
    };
    std::ostringstream report;
    Sampler sampler({.program = "", .parent = getpid()}, report);
    Child first(compute_there), second(compute_there);
    auto waited = [&](pid_t pid) {
        auto* history = sampler.history_of(pid);
        if (!history) return false;
        auto& last = history->last();
        return last.allowed_cores == 1 && last.core == core && last.ready_beside_it >= 1 &&
               last.times.run_queue - history->first().times.run_queue > 20ms;
    };
    CHECK(sample_until(sampler, [&] { return waited(first.pid) && waited(second.pid); }));
    sampler.finish();
    CAPTURE(report.str());
    CHECK(line_on(report.str(), first.pid).find("core " + std::to_string(core) + " of 1 allowed") !=
          std::string::npos);
}

TEST_CASE("sampler: where a name and a parent are given, only what has both is followed") {
    Child sleeping(sleep_in_ppoll);
    std::ostringstream report;
    std::string own_name = parse_stat(first_line("/proc/self/stat"))->program;
    Sampler both({.program = own_name, .parent = getpid()}, report),
        other({.program = "no such", .parent = getpid()}, report), none({.program = ""}, report);
    for (auto* sampler : {&both, &other, &none}) sampler->round();
    CHECK(both.history_of(sleeping.pid) != nullptr);
    CHECK(other.followed() == 0);
    CHECK(none.followed() == 0);
}

TEST_CASE("sampler: only those worse than a bound are reported, and those that are stopped") {
    std::ostringstream report;
    Sampler sampler({.program = "", .parent = getpid(), .only_worse_than = 100ms}, report);
    Child computing(compute), sleeping(sleep_in_ppoll), stopped(sleep_in_ppoll);
    kill(stopped.pid, SIGSTOP);
    REQUIRE(sample_until(sampler, [&] {
        auto* history = sampler.history_of(stopped.pid);
        return processor_time(sampler, computing.pid) > 300ms && history && history->last().state == 'T';
    }));
    sampler.finish();
    CAPTURE(report.str());
    CHECK_FALSE(line_on(report.str(), computing.pid).empty());
    CHECK_FALSE(line_on(report.str(), stopped.pid).empty());
    CHECK(report.str().find("not reported") != std::string::npos);
}

TEST_CASE("sampler: the program follows children, and writes its report when it is told to end") {
    std::string path = "/tmp/quillgrade_sampler_test_" + std::to_string(getpid());
    Child living(sleep_in_ppoll);
    auto parent = std::to_string(getpid());
    pid_t program = fork();
    REQUIRE(program >= 0);
    if (program == 0) {
        execl(QUILLGRADE_SAMPLER_PROGRAM, "quillgrade_sampler", "--children-of", parent.c_str(),
              "--interval-ms", "5", "--out", path.c_str(), nullptr);
        _exit(127);
    }
    auto report = [&] {
        std::ostringstream text;
        text << std::ifstream(path).rdbuf();
        return text.str();
    };
    // Children that live for a moment, until the end of one has been written: the program has begun by then.
    auto limit = std::chrono::steady_clock::now() + std::chrono::milliseconds(patience_ms);
    std::string ended_line;
    while (ended_line.empty() && std::chrono::steady_clock::now() < limit) {
        Child ending(sleep_in_ppoll);
        usleep(20'000);
        pid_t ended = ending.pid;
        ending.end();
        usleep(20'000);
        ended_line = line_on(report(), ended);
    }
    kill(program, SIGTERM);
    int status = 0;
    REQUIRE(waitpid(program, &status, 0) == program);
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
    auto text = report();
    std::remove(path.c_str());
    CAPTURE(text);
    CHECK(ended_line.find(" ended: ") != std::string::npos);
    CHECK(line_on(text, living.pid).find(" still there: ") != std::string::npos);
    CHECK(text.find("\nclocks: ") != std::string::npos);
}

TEST_CASE("start storm: a small one serves whole, and its routers are reported") {
    std::string path = "/tmp/quillgrade_storm_test_" + std::to_string(getpid());
    pid_t program = fork();
    REQUIRE(program >= 0);
    if (program == 0) {
        execl(QUILLGRADE_STORM_PROGRAM, "quillgrade_start_storm", "--batches", "1", "--together", "4",
              "--pin", "--out", path.c_str(), nullptr);
        _exit(127);
    }
    int status = 0;
    REQUIRE(waitpid(program, &status, 0) == program);
    CHECK(WIFEXITED(status));
    CHECK(WEXITSTATUS(status) == 0);
    std::ostringstream report;
    report << std::ifstream(path).rdbuf();
    std::remove(path.c_str());
    CAPTURE(report.str());
    CHECK(report.str().find(" of 1 allowed") != std::string::npos);
    CHECK(report.str().find("all: 4 processes") != std::string::npos);
}
