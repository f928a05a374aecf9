#include "version/trial.hpp"

#include <array>
#include <cmath>
#include <cstdio>

namespace quillgrade::version {

namespace {

constexpr Micros second = 1'000'000;
constexpr Micros before_lasts = 30 * second, latest = 5 * second;
// Chance alone: 4.5 standard errors come by once in 300,000 judgements, and two are wanted running.
constexpr double clearly = 4.5, times_a_second = 1.5;
constexpr double enough_before = 50, enough_since = 25;

}  // namespace

void Canary::begin(const LookupCounts& counts, Micros now) {
    if (!terms.enabled) return;
    begun = now;
    if (state == State::Running) return;
    state = State::Running;
    first_begun = now;
    worse_running = 0;
    since = {{now, counts}};
    readings.push_back({now, counts});
}

Canary::State Canary::observe(const LookupCounts& counts, Micros now) {
    if (state == State::Idle) {
        if (readings.empty() || now - readings.back().at >= observation_interval)
            readings.push_back({now, counts});
        while (readings.size() > 2 && now - readings.front().at > before_lasts) readings.pop_front();
        return state;
    }
    if (state != State::Running || now - since.back().at < observation_interval) return state;
    since.push_back({now, counts});
    // The start of the trial is kept until it is over; in between only the last few seconds are judged.
    while (since.size() > 2 && now - since.front().at > latest) since.pop_front();
    worse_running = worse(counts, now) ? worse_running + 1 : 0;
    if (worse_running >= 2)
        state = State::Failed;
    else if (worse_running == 0 && now - begun >= terms.duration)
        state = State::Passed;
    return state;
}

bool Canary::worse(const LookupCounts& counts, Micros now) {
    if (readings.size() < 2) return false;  // there was no time before
    auto& from = readings.front();
    auto& to = readings.back();
    auto& start = since.front();
    auto n0 = static_cast<double>(to.counts.completed - from.counts.completed);
    auto bad0 = static_cast<double>(to.counts.unsuccessful - from.counts.unsuccessful);
    auto n1 = static_cast<double>(counts.completed - start.counts.completed);
    auto bad1 = static_cast<double>(counts.unsuccessful - start.counts.unsuccessful);
    if (n0 < enough_before || n1 < enough_since) return false;
    auto seconds0 = static_cast<double>(to.at - from.at) / second;
    auto seconds1 = static_cast<double>(now - start.at) / second;
    double share0 = bad0 / n0, share1 = bad1 / n1;
    double rate0 = bad0 / seconds0, rate1 = bad1 / seconds1;
    double all = (bad0 + bad1) / (n0 + n1);
    double error = std::sqrt(all * (1 - all) * (1 / n0 + 1 / n1));
    bool is = share1 - share0 >= terms.min_increase && share1 - share0 >= clearly * error &&
              rate1 >= times_a_second * rate0;
    if (is) {
        std::array<char, 200> text;
        std::snprintf(
            text.data(), sizeof text,
            "it did harm: %.1f lookups a second rejected or broken off (%.0f%%) since, %.1f a second "
            "(%.0f%%) before",
            rate1, 100 * share1, rate0, 100 * share0);
        why = text.data();
    }
    return is;
}

}  // namespace quillgrade::version
