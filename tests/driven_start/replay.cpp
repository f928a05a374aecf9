#include "replay.hpp"

#include <fmt/format.h>
#include <sys/signalfd.h>
#include <sys/syscall.h>

#include <algorithm>
#include <cerrno>
#include <csignal>
#include <filesystem>
#include <stdexcept>

#include "coordinator.hpp"
#include "program.hpp"
#include "system_calls.hpp"

namespace quillgrade::driven_start {

namespace {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr auto hold_for = milliseconds(200), look_every = milliseconds(20);
constexpr auto serving_within = std::chrono::seconds(10);
// After `serving` and a ping, the loop is watched for so many waits; an injection that has not had its place
// by then has a while more.
constexpr int waits_watched = 3;
constexpr auto watched_at_most = milliseconds(3000);
const std::string says_serving = "serving as n1", says_read_again = "configuration read again",
                  says_not_read = "configuration not taken, the old one stays",
                  says_left_out = " lines left out";

int stops_descriptor = -1;

Coordinator::Mode first_mode(const Order& order) {
    for (auto& one : order) switch (one.event) {
            case Event::CoordinatorAnswers:
            case Event::CoordinatorCloses:
                return Coordinator::Mode::Silent;
            case Event::CoordinatorListens:
                return Coordinator::Mode::Refuses;
            case Event::CoordinatorAccepts:
                return Coordinator::Mode::Unreached;
            default:
                break;
        }
    return Coordinator::Mode::Answers;
}

// Lines that are neither information nor a warning: of the router, the loader or the C library.
int error_lines(const std::string& log) {
    int lines = 0;
    for (std::size_t begin = 0, end = 0; begin < log.size(); begin = end + 1) {
        end = std::min(log.find('\n', begin), log.size());
        auto line = log.substr(begin, end - begin);
        if (!line.empty() && line.find(" info ") == std::string::npos &&
            line.find(" warning ") == std::string::npos)
            lines++;
    }
    return lines;
}

bool of_regular_file(pid_t process, std::uint64_t descriptor) {
    std::error_code error;
    auto path = fmt::format("/proc/{}/fd/{}", process, static_cast<int>(descriptor));
    return std::filesystem::is_regular_file(std::filesystem::status(path, error));
}

// The log alone asks by poll() whether there is room.
bool writes_log(const Stop& stop) {
    return stop.call == SYS_poll || (is_write(stop.call) && stop.arguments[0] == STDERR_FILENO);
}

class Replay {
public:
    Replay(const std::string& program, const Order& order, Plant plant)
        : order(order),
          pending(order),
          plant(plant),
          refused(plant == Plant::ConnectsAtOnce),
          coordinator(refused ? Coordinator::Mode::Refuses : first_mode(order)),
          file(config(port, coordinator.port(), cache.port)),
          process(program, file.path) {}

    Outcome run() {
        while (!over) {
            wait_for_something();
            auto now = Clock::now();
            read_log();
            coordinator.take_watches();
            ask();
            if (held_until && now >= *held_until) release();
            while (!held_until && !over) {
                auto stop = process.next_stop();
                if (!stop) break;
                take(*stop);
            }
            if (!over) judge(Clock::now());
        }
        read_log();
        outcome.log = log;
        outcome.waits = checks.waits();
        outcome.highest_calls = checks.highest_calls();
        outcome.highest_processor_time = checks.highest_processor_time();
        return outcome;
    }

private:
    void wait_for_something() {
        std::vector<pollfd> ready = {{stops_descriptor, POLLIN, 0}};
        if (log_open) ready.push_back({process.log().fd, POLLIN, 0});
        if (coordinator.descriptor() >= 0) ready.push_back({coordinator.descriptor(), POLLIN, 0});
        if (asked && !answered) ready.push_back({client.fd, POLLIN, 0});
        poll(ready.data(), ready.size(), static_cast<int>(look_every.count()));
        signalfd_siginfo one{};
        if (ready.front().revents & POLLIN && ::read(stops_descriptor, &one, sizeof one) < 0 &&
            errno != EAGAIN)
            throw std::runtime_error("driven start: signalfd");
    }

    void read_log() {
        std::array<char, 4096> piece;
        ssize_t length = 0;
        while (log_open && (length = ::read(process.log().fd, piece.data(), piece.size())) > 0)
            log.append(piece.data(), static_cast<std::size_t>(length));
        if (length == 0) log_open = false;
    }

    // A ping as soon as the router says that it serves.
    void ask() {
        bool serving = log.find(says_serving) != std::string::npos;
        if (!asked && (serving || (log_without_room && listening))) {
            asked = client.connect(port) && client.send(framed(head(1, "ping", 1) + std::string(1, '\0')));
            if (!asked) fail("says that it serves, and takes no connection", "");
        }
        if (!asked || answered) return;
        std::array<char, 256> piece;
        auto length = recv(client.fd, piece.data(), piece.size(), MSG_DONTWAIT);
        if (length <= 0) return;
        answer.append(piece.data(), static_cast<std::size_t>(length));
        auto wanted = thrift::pong(1, true);
        if (answer.size() < wanted.size()) return;
        if (answer != wanted && !told_to_end) fail("a ping is not answered with good", "");
        answered = true;
        answered_at = Clock::now();
        waits_before = checks.waits();
    }

    void take(const Stop& stop) {
        switch (stop.kind) {
            case Stop::Kind::Executed:
                executed = true;
                began = Clock::now();
                process.resume();
                break;
            case Stop::Kind::Masks:
                process.resume();
                break;
            case Stop::Kind::Signal:
                process.resume(stop.signal);
                break;
            case Stop::Kind::CallBegins:
                call_begins(stop);
                break;
            case Stop::Kind::CallEnds:
                call_ends(stop);
                break;
            case Stop::Kind::Ended:
                ended(stop);
                break;
        }
    }

    void call_begins(Stop stop) {
        if (!executed) return process.resume();
        auto place = outcome.places.size();
        outcome.places.push_back({stop.call, of_regular_file(process.id(), stop.arguments[0])});
        if (stop.call == SYS_rt_sigprocmask && outcome.mask_place == 0) outcome.mask_place = place;
        bool loop_poll = stop.call == SYS_epoll_wait;
        if (loop_poll && plant == Plant::NeverWaits) set_timeout(stop, 0);
        if (loop_poll && plant == Plant::WaitsWithoutEnd && !std::exchange(planted, true))
            set_timeout(stop, -1);
        checks.call_begins(stop, Clock::now());
        result.reset();
        auto due = [&](auto& one) {
            return place >= one.place && possible(outcome.places[place], one.event);
        };
        for (auto& one : pending)
            if (due(one)) inject(one.event, stop);
        std::erase_if(pending, due);
        if (!held_until) process.resume();
    }

    void set_timeout(Stop& stop, int milliseconds) {
        stop.arguments[3] = static_cast<std::uint64_t>(milliseconds);
        process.set_argument(3, stop.arguments[3]);
    }

    void inject(Event event, const Stop& stop) {
        outcome.reached++;
        if (fails_a_call(event)) {
            log_without_room |= event == Event::NothingThere && writes_log(stop);
            bool none_ready = event == Event::NothingThere && is_poll(stop.call);
            result = none_ready ? 0 : event == Event::Interrupted ? -EINTR : -EAGAIN;
            if (!takes_effect_anyway(stop.call)) process.skip_call();
        }
        if (auto signal = signal_of(event)) {
            last_signal_at = outcome.places.size() - 1;
            told_to_end |= ends_the_router(event);
            told_to_read |= event == Event::HangUp;
            began = Clock::now();
            process.send(signal);
        }
        switch (event) {
            case Event::Hold:
                held_until = Clock::now() + hold_for;
                break;
            case Event::CoordinatorAnswers:
            case Event::CoordinatorListens:
            case Event::CoordinatorAccepts:
                coordinator.turn(Coordinator::Mode::Answers);
                break;
            case Event::CoordinatorCloses:
                coordinator.turn(Coordinator::Mode::Refuses);
                break;
            default:
                break;
        }
    }

    void release() {
        held_until.reset();
        checks.held(Clock::now());
        process.resume();
    }

    void call_ends(Stop stop) {
        if (!executed) return process.resume();
        if (result) {
            process.set_result(*result);
            stop.result = *result;
            result.reset();
        }
        listening |= stop.call == SYS_listen && stop.result == 0;
        checks.call_ends(stop, Clock::now(), process.processor_time());
        if (plant == Plant::ConnectsAtOnce && stop.call == SYS_connect && stop.result < 0)
            process.repeat_call(stop);
        process.resume();
    }

    void ended(const Stop& stop) {
        read_log();
        over = true;
        bool masked = outcome.mask_place > 0 && last_signal_at >= outcome.mask_place;
        if (stop.signal != 0 && last_signal_at && !masked)
            outcome.ended_before_mask = last_signal_at;
        else if (stop.signal != 0)
            fail("ended by a signal", strsignal(stop.signal));
        else if (stop.exit_code == 0 && told_to_end)
            outcome.ended_as_told = true;
        else if (stop.exit_code != 0 && fails_any_call() && error_lines(log) == 1)
            outcome.ended_by_error = true;
        else
            fail("ended, not as told",
                 fmt::format("exit code {}, {} lines of errors", stop.exit_code, error_lines(log)));
    }

    bool fails_any_call() const {
        return std::any_of(order.begin(), order.end(), [](auto& one) { return fails_a_call(one.event); });
    }

    void judge(Time now) {
        checks.at(now, process.processor_time());
        if (!checks.finding().empty()) return fail(checks.finding(), checks.detail());
        if (!executed || held_until) return;
        // A line that the log has no room for is lost, which a later line has to tell.
        bool left_out = log.find(says_left_out) != std::string::npos;
        if (left_out && !log_without_room) return fail("a line of the log is lost", "");
        outcome.served |= answered && (left_out || log.find(says_serving) != std::string::npos);
        bool read_again = left_out || log.find(says_read_again) != std::string::npos ||
                          (fails_any_call() && log.find(says_not_read) != std::string::npos);
        bool done = outcome.served && !told_to_end && (!told_to_read || read_again);
        bool watched = answered && checks.waits() - waits_before >= waits_watched;
        if (done && watched && (outcome.reached == order.size() || now - answered_at > watched_at_most))
            over = true;
        if (now - began <= serving_within) return;
        if (told_to_end)
            fail("told to end, and has not", "");
        else if (!outcome.served)
            fail("does not serve in time", "");
        else if (!done)
            fail("told to read its configuration, and has not", "");
        else
            fail("its loop has no more waits", "");
    }

    void fail(const std::string& finding, const std::string& detail) {
        over = true;
        if (!outcome.finding.empty()) return;
        outcome.finding = finding;
        outcome.detail = detail;
    }

    const Order& order;
    Order pending;  // at its place, or at the next call where it is possible: an earlier event moves places
    Plant plant;
    bool refused;
    int port = free_port();
    Coordinator coordinator;
    Listener cache;
    File file;
    TracedProcess process;
    LoopChecks checks;
    Outcome outcome;
    Socket client;
    std::string log, answer;
    Time began = Clock::now(), answered_at;
    std::optional<Time> held_until;
    std::optional<std::int64_t> result;  // of the call under way, in place of its own
    std::optional<std::size_t> last_signal_at;
    int waits_before = 0;
    bool executed = false, log_open = true, asked = false, answered = false, over = false, planted = false;
    bool told_to_end = false, told_to_read = false, listening = false, log_without_room = false;
};

}  // namespace

void hear_of_stops() {
    sigset_t child;
    sigemptyset(&child);
    sigaddset(&child, SIGCHLD);
    sigprocmask(SIG_BLOCK, &child, nullptr);
    stops_descriptor = signalfd(-1, &child, SFD_NONBLOCK | SFD_CLOEXEC);
    if (stops_descriptor < 0) throw std::runtime_error("driven start: signalfd");
}

Outcome replay(const std::string& program, const Order& order, Plant plant) {
    return Replay(program, order, plant).run();
}

}  // namespace quillgrade::driven_start
