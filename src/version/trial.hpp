// Judges by the router's own counts whether a version does harm: the share and the number a second of lookups
// rejected or broken off since it came into force, against those before. No clock: it is told the time.
//
//   Idle --begin--> Going --long enough, no harm--> Settled
//                     \---- clearly worse, twice running --> Harmful
//
// When it acts and when it could be wrong: docs/streamed-configuration.md.
#pragma once

#include <deque>
#include <optional>
#include <string>

#include "control.hpp"

namespace quillgrade::version {

// Since the start of the router, ever rising.
struct LookupCounts {
    std::uint64_t completed = 0;     // final answers of any kind
    std::uint64_t unsuccessful = 0;  // of these, rejected or broken off
};

class Canary {
public:
    enum class State { Idle, Running, Passed, Failed };
    struct Terms {
        bool enabled = true;
        Micros duration = 15'000'000;
        double min_increase = 0.10;  // of the share of bad ends, at least
    };
    explicit Canary(const Terms& terms) : terms(terms) {}

    // A version comes into force. One that follows another still on trial is judged with it, against the
    // time before both; the trial lasts from the newest on.
    void begin(const LookupCounts& counts, Micros now);
    // To be called every `observation_interval` or so; the state stays Settled or Harmful until end() or
    // begin().
    State observe(const LookupCounts& counts, Micros now);
    void end() { state = State::Idle; }  // what is in force now is what others are compared with
    State now_at() const { return state; }
    std::string reason() const { return why; }  // where Harmful

    static constexpr Micros observation_interval = 500'000;

private:
    struct Reading {
        Micros at;
        LookupCounts counts;
    };
    bool worse(const LookupCounts& counts, Micros now);

    Terms terms;
    State state = State::Idle;
    std::deque<Reading> readings;       // while nothing is on trial: the time before
    std::deque<Reading> since;          // on trial
    Micros first_begun = 0, begun = 0;  // of the first and the newest version on trial
    int worse_running = 0;
    std::string why;
};

}  // namespace quillgrade::version
