// Judges by the router's own counts whether an active version does harm: compares the share and the rate of
// lookups rejected or failed since its activation with those before. No clock: the time is passed in.
//
//   Idle --begin--> Running --duration over, no harm--> Passed
//                     \----- clearly worse, twice in a row --> Failed
//
// When it reacts and when it may err: docs/streamed-configuration.md.
#pragma once

#include <deque>
#include <optional>
#include <string>

#include "control.hpp"

namespace quillgrade::version {

// Since the start of the router; never decreasing.
struct LookupCounts {
    std::uint64_t completed = 0;     // final answers of any kind
    std::uint64_t unsuccessful = 0;  // of these, rejected or failed
};

class Canary {
public:
    enum class State { Idle, Running, Passed, Failed };
    struct Settings {
        bool enabled = true;
        Micros duration = 15'000'000;
        double min_increase = 0.10;  // of the share of unsuccessful lookups, 0 to 1
    };
    explicit Canary(const Settings& settings) : settings(settings) {}

    // A version becomes active. One that follows another still on trial is judged together with it, against
    // the time before both; the duration counts from the newest.
    void begin(const LookupCounts& counts, Micros now);
    // To be called about every `observation_interval`. Passed and Failed stay until end() or begin().
    State observe(const LookupCounts& counts, Micros now);
    void end() { state = State::Idle; }  // the active versions become the baseline
    State current_state() const { return state; }
    std::string reason() const { return failure; }  // why it Failed

    static constexpr Micros observation_interval = 500'000;

private:
    struct Sample {
        Micros at;
        LookupCounts counts;
    };
    bool is_worse(const LookupCounts& counts, Micros now);

    Settings settings;
    State state = State::Idle;
    std::deque<Sample> baseline;               // collected while no version is on trial
    std::deque<Sample> recent;                 // of the running trial
    Micros first_begun = 0, newest_begun = 0;  // of the first and the newest version on trial
    int worse_in_a_row = 0;
    std::string failure;
};

}  // namespace quillgrade::version
