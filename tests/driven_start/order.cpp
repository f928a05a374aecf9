#include "order.hpp"

#include <fmt/format.h>

#include <csignal>

#include "system_calls.hpp"

namespace quillgrade::driven_start {

const char* name_of(Event event) {
    switch (event) {
        case Event::Hold:
            return "hold";
        case Event::Interrupted:
            return "EINTR";
        case Event::NothingThere:
            return "nothing there";
        case Event::HangUp:
            return "SIGHUP";
        case Event::Terminate:
            return "SIGTERM";
        case Event::Interrupt:
            return "SIGINT";
        case Event::CoordinatorAnswers:
            return "coordinator answers";
        case Event::CoordinatorCloses:
            return "coordinator closes";
        case Event::CoordinatorListens:
            return "coordinator listens";
        case Event::CoordinatorAccepts:
            return "coordinator accepts";
    }
    return "unknown";
}

int signal_of(Event event) {
    switch (event) {
        case Event::HangUp:
            return SIGHUP;
        case Event::Terminate:
            return SIGTERM;
        case Event::Interrupt:
            return SIGINT;
        default:
            return 0;
    }
}

bool ends_the_router(Event event) { return event == Event::Terminate || event == Event::Interrupt; }

bool fails_a_call(Event event) { return event == Event::Interrupted || event == Event::NothingThere; }

bool is_of_coordinator(Event event) { return event >= Event::CoordinatorAnswers; }

bool possible(const Place& place, Event event) {
    if (event == Event::Interrupted) return may_be_interrupted(place.call);
    if (event == Event::NothingThere) return may_find_nothing(place.call) && !place.of_regular_file;
    return true;
}

std::string text_of(const Order& order, const std::vector<Place>& places) {
    std::string text;
    for (auto& one : order)
        if (one.place == no_place)
            text += fmt::format("never: {}", name_of(one.event));
        else
            text +=
                fmt::format("{}{} at call {} ({})", text.empty() ? "" : ", ", name_of(one.event), one.place,
                            one.place < places.size() ? name_of_call(places[one.place].call) : "-");
    return text.empty() ? "undisturbed" : text;
}

}  // namespace quillgrade::driven_start
