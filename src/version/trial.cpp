#include "version/trial.hpp"

#include <array>
#include <cmath>
#include <cstdio>

namespace quillgrade::version {

namespace {

constexpr Micros second = 1'000'000;
constexpr Micros baseline_window = 30 * second, recent_window = 5 * second;
// By chance alone, a difference of 4.5 standard errors occurs once in 300,000 comparisons, and a failure
// takes two in a row.
constexpr double min_standard_errors = 4.5, min_rate_factor = 1.5;
constexpr double min_baseline_lookups = 50, min_recent_lookups = 25;

}  // namespace

void Canary::begin(const LookupCounts& counts, Micros now) {
    if (!settings.enabled) return;
    newest_begun = now;
    if (state == State::Running) return;
    state = State::Running;
    first_begun = now;
    worse_in_a_row = 0;
    recent = {{now, counts}};
    baseline.push_back({now, counts});
}

Canary::State Canary::observe(const LookupCounts& counts, Micros now) {
    if (state == State::Idle) {
        if (baseline.empty() || now - baseline.back().at >= observation_interval)
            baseline.push_back({now, counts});
        while (baseline.size() > 2 && now - baseline.front().at > baseline_window) baseline.pop_front();
        return state;
    }
    if (state != State::Running || now - recent.back().at < observation_interval) return state;
    recent.push_back({now, counts});
    // Only the last few seconds of the trial are compared with the baseline, not the whole trial.
    while (recent.size() > 2 && now - recent.front().at > recent_window) recent.pop_front();
    worse_in_a_row = is_worse(counts, now) ? worse_in_a_row + 1 : 0;
    if (worse_in_a_row >= 2)
        state = State::Failed;
    else if (worse_in_a_row == 0 && now - newest_begun >= settings.duration)
        state = State::Passed;
    return state;
}

// A two-proportion z-test of the shares before and after, with a least difference of the shares and of the
// rates. The least number of lookups guards against a verdict from a handful.
bool Canary::is_worse(const LookupCounts& counts, Micros now) {
    if (baseline.size() < 2) return false;  // nothing to compare with
    auto& from = baseline.front();
    auto& to = baseline.back();
    auto& start = recent.front();
    auto n0 = static_cast<double>(to.counts.completed - from.counts.completed);
    auto bad0 = static_cast<double>(to.counts.unsuccessful - from.counts.unsuccessful);
    auto n1 = static_cast<double>(counts.completed - start.counts.completed);
    auto bad1 = static_cast<double>(counts.unsuccessful - start.counts.unsuccessful);
    if (n0 < min_baseline_lookups || n1 < min_recent_lookups) return false;
    auto seconds0 = static_cast<double>(to.at - from.at) / second;
    auto seconds1 = static_cast<double>(now - start.at) / second;
    double share0 = bad0 / n0, share1 = bad1 / n1;
    double rate0 = bad0 / seconds0, rate1 = bad1 / seconds1;
    double pooled_share = (bad0 + bad1) / (n0 + n1);
    double standard_error = std::sqrt(pooled_share * (1 - pooled_share) * (1 / n0 + 1 / n1));
    bool worse = share1 - share0 >= settings.min_increase &&
                 share1 - share0 >= min_standard_errors * standard_error && rate1 >= min_rate_factor * rate0;
    if (worse) {
        std::array<char, 200> text;
        std::snprintf(text.data(), sizeof text,
                      "it did harm: %.1f lookups a second rejected or failed (%.0f%%) since, %.1f a second "
                      "(%.0f%%) before",
                      rate1, 100 * share1, rate0, 100 * share0);
        failure = text.data();
    }
    return worse;
}

}  // namespace quillgrade::version
