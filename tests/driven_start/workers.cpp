#include "workers.hpp"

#include <fmt/format.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <stdexcept>

#include "replay.hpp"

namespace quillgrade::driven_start {

namespace {

void count_ended_place(Tally& tally, std::size_t first, std::size_t last, bool any_before) {
    tally.first_ended_place = any_before ? std::min(tally.first_ended_place, first) : first;
    tally.last_ended_place = std::max(tally.last_ended_place, last);
}

void add(Tally& tally, const Outcome& outcome, const Order& order) {
    tally.orders++;
    tally.served += outcome.served && !outcome.ended_as_told;
    tally.ended_as_told += outcome.ended_as_told;
    tally.ended_by_error += outcome.ended_by_error;
    tally.failed += !outcome.finding.empty();
    tally.not_reached +=
        outcome.finding.empty() && order.front().place != no_place && outcome.reached < order.size();
    tally.highest_calls = std::max(tally.highest_calls, outcome.highest_calls);
    auto used = std::chrono::duration<double, std::milli>(outcome.highest_processor_time).count();
    tally.highest_processor_ms = std::max(tally.highest_processor_ms, used);
    if (!outcome.ended_before_mask) return;
    count_ended_place(tally, *outcome.ended_before_mask, *outcome.ended_before_mask,
                      tally.ended_before_mask > 0);
    tally.ended_before_mask++;
}

void add(Tally& tally, const Tally& other) {
    tally.orders += other.orders;
    tally.served += other.served;
    tally.ended_as_told += other.ended_as_told;
    tally.ended_by_error += other.ended_by_error;
    tally.failed += other.failed;
    tally.not_reached += other.not_reached;
    tally.highest_calls = std::max(tally.highest_calls, other.highest_calls);
    tally.highest_processor_ms = std::max(tally.highest_processor_ms, other.highest_processor_ms);
    if (other.ended_before_mask > 0)
        count_ended_place(tally, other.first_ended_place, other.last_ended_place,
                          tally.ended_before_mask > 0);
    tally.ended_before_mask += other.ended_before_mask;
}

std::string last_line(const std::string& log) {
    auto end = log.find_last_not_of('\n');
    if (end == std::string::npos) return "";
    auto begin = log.find_last_of('\n', end);
    begin = begin == std::string::npos ? 0 : begin + 1;
    return log.substr(begin, end + 1 - begin);
}

void tell(const Outcome& outcome, const Order& order, const std::vector<Place>& places) {
    if (!outcome.finding.empty())
        fmt::print("FAILED {}: {} ({}); last line: {}\n", text_of(order, places), outcome.finding,
                   outcome.detail, last_line(outcome.log));
    else if (outcome.ended_by_error)
        fmt::print("{}: {}\n", text_of(order, places), last_line(outcome.log));
    std::fflush(stdout);
}

// Every `together`-th order from `first` on; the counts are written to `to`.
[[noreturn]] void work(const std::string& program, const std::vector<Order>& orders,
                       const std::vector<Place>& places, std::size_t first, std::size_t together, int to) {
    Tally tally;
    try {
        hear_of_stops();
        for (auto i = first; i < orders.size(); i += together) {
            auto outcome = replay(program, orders[i], Plant::None);
            tell(outcome, orders[i], places);
            add(tally, outcome, orders[i]);
        }
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}\n", error.what());
        _exit(1);
    }
    _exit(::write(to, &tally, sizeof tally) == sizeof tally ? 0 : 1);
}

}  // namespace

Tally run_together(const std::string& program, const std::vector<Order>& orders,
                   const std::vector<Place>& places, int together) {
    std::array<int, 2> ends;
    if (pipe(ends.data()) != 0) throw std::runtime_error("pipe failed");
    std::vector<pid_t> workers;
    for (int i = 0; i < together; i++) {
        auto worker = fork();
        if (worker < 0) throw std::runtime_error("fork failed");
        if (worker == 0)
            work(program, orders, places, static_cast<std::size_t>(i), static_cast<std::size_t>(together),
                 ends[1]);
        workers.push_back(worker);
    }
    close(ends[1]);
    Tally all, one;
    while (::read(ends[0], &one, sizeof one) == sizeof one) add(all, one);
    close(ends[0]);
    int incomplete = 0;
    for (auto worker : workers) {
        int status = 0;
        incomplete += waitpid(worker, &status, 0) != worker || !WIFEXITED(status) || WEXITSTATUS(status) != 0;
    }
    if (incomplete > 0) throw std::runtime_error(fmt::format("{} workers did not finish", incomplete));
    return all;
}

}  // namespace quillgrade::driven_start
