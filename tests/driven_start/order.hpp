// An order of events in a start: what happens at which of its system calls.
#pragma once

#include <array>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

namespace quillgrade::driven_start {

enum class Event {
    Hold,                // the call begins late
    Interrupted,         // the call gives EINTR
    NothingThere,        // the call gives EAGAIN, or says that no descriptor is ready
    HangUp,              // SIGHUP
    Terminate,           // SIGTERM
    Interrupt,           // SIGINT
    CoordinatorAnswers,  // it has accepted and was silent so far
    CoordinatorCloses,   // it has accepted and was silent so far; from here it refuses
    CoordinatorListens,  // it has refused so far
    CoordinatorAccepts,  // no connect to it came to an end so far
};
inline constexpr std::array all_events = {Event::Hold,
                                          Event::Interrupted,
                                          Event::NothingThere,
                                          Event::HangUp,
                                          Event::Terminate,
                                          Event::Interrupt,
                                          Event::CoordinatorAnswers,
                                          Event::CoordinatorCloses,
                                          Event::CoordinatorListens,
                                          Event::CoordinatorAccepts};

const char* name_of(Event event);
int signal_of(Event event);         // 0: none
bool ends_the_router(Event event);  // it is told to end
bool fails_a_call(Event event);
bool is_of_coordinator(Event event);

// One system call of the start as it goes undisturbed.
struct Place {
    long call = -1;
    bool of_regular_file = false;  // its first argument is the descriptor of one
};

inline constexpr std::size_t no_place = std::numeric_limits<std::size_t>::max();  // the event never comes

struct Injection {
    std::size_t place = 0;  // counted from the return of execve
    Event event{};
};
using Order = std::vector<Injection>;

bool possible(const Place& place, Event event);
std::string text_of(const Order& order, const std::vector<Place>& places);

}  // namespace quillgrade::driven_start
