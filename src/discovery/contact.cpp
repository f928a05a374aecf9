#include "discovery/contact.hpp"

#include <algorithm>

namespace quillgrade::discovery {

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;
// The first try after a loss comes soon, so that a restart of the service costs little; a fleet that lost one
// service comes back spread over the whole wait, as each draws its own share of it.
constexpr Micros first_wait = 250 * ms, longest_wait = 30 * second, answer_time = 5 * second;
constexpr Micros prefer_again = 20 * second;  // before a preferred one is tried while another serves

}  // namespace

Contact::Contact(int count, std::uint64_t seed) : services(static_cast<std::size_t>(count)) {
    chance.state = seed;
    chance.next();
}

Micros Contact::backoff(int failures) {
    Micros most = std::min(longest_wait, first_wait << std::min(failures - 1, 10));
    return static_cast<Micros>(chance.unit() * static_cast<double>(most)) + 1 * ms;
}

int Contact::serving() const {
    for (std::size_t i = 0; i < services.size(); i++)
        if (services[i].state == State::Serving) return static_cast<int>(i);
    return -1;
}

bool Contact::overdue(int service, Micros now) const {
    auto& one = services[static_cast<std::size_t>(service)];
    return one.state == State::Opening && now - one.since >= answer_time;
}

// The most preferred service whose wait is over is opened, unless one that is preferred to it serves or is
// being opened.
Contact::Step Contact::next(Micros now) {
    Step step;
    Micros soonest = longest_wait;
    bool opening =
        std::any_of(services.begin(), services.end(), [](auto& one) { return one.state == State::Opening; });
    for (std::size_t i = 0; i < services.size(); i++) {
        auto& one = services[i];
        if (one.state == State::Serving) break;
        if (one.state == State::Opening) {
            soonest = std::min(soonest, one.since + answer_time - now);
            continue;
        }
        if (now < one.not_before) {
            soonest = std::min(soonest, one.not_before - now);
            continue;
        }
        if (opening) continue;
        opening = true;
        one.state = State::Opening;
        one.since = now;
        step.open.push_back(static_cast<int>(i));
        soonest = std::min(soonest, answer_time);
    }
    step.look_in = std::max(soonest, 1 * ms);
    // One that serves makes way as soon as a preferred one serves too.
    int best = serving();
    for (std::size_t i = 0; best >= 0 && i < services.size(); i++)
        if (static_cast<int>(i) != best && services[i].state != State::Resting &&
            (static_cast<int>(i) > best)) {
            services[i].state = State::Resting;
            services[i].not_before = now;
            step.close.push_back(static_cast<int>(i));
        }
    return step;
}

void Contact::answered(int service, Micros now) {
    auto& one = services[static_cast<std::size_t>(service)];
    if (one.state != State::Opening) return;
    one.state = State::Serving;
    one.since = now;
    one.failures = 0;
}

void Contact::lost(int service, Micros now) {
    auto& one = services[static_cast<std::size_t>(service)];
    if (one.state == State::Resting) return;
    one.failures++;
    one.state = State::Resting;
    one.not_before = now + backoff(one.failures);
    // While another serves there is no hurry.
    if (int other = serving(); other >= 0 && other > service)
        one.not_before = std::max(one.not_before, now + prefer_again);
}

}  // namespace quillgrade::discovery
