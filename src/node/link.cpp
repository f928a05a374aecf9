#include "node/link.hpp"

#include <algorithm>
#include <utility>

#include "shared/flaw.hpp"

namespace quillgrade::node {

namespace {

constexpr double idle_share = 0.9;  // of the far side's time, so that it is never the first to close

}  // namespace

Link::Link(const Shared& shared, CacheId cache, const feed::Address& address, std::uint64_t process)
    : cache(cache),
      process(process),
      shared(shared),
      address(address),
      reader(shared.terms.reported),
      timer(shared.base, [this] { timed_out(); }),
      stream(shared.base, -1,
             {.bytes = [this](std::string_view bytes) { heard(bytes); },
              .opened = [this] { opened(); },
              .drained = [] {},
              .closed = [this] { closed(); }}) {}

void Link::run(const Errand& wanted, http::Request wanted_request) {
    errand = wanted;
    request = std::move(wanted_request);
    if (connected) {
        ask();
        return;
    }
    state = State::Opening;
    opening_ends = shared.clock.now() + shared.terms.connect_time;
    timer.set(std::min(errand.limit, opening_ends) - shared.clock.now());
    if (!stream.open(address) && state == State::Opening) finish(Outcome::Moot);  // no descriptor is left
}

void Link::opened() {
    connected = true;
    if (state == State::Opening) ask();
}

// Written only now, when the budget is known: it would pass the client's time by what connecting took.
void Link::ask() {
    if (errand.good_until > 0) shared::may_stop_here();
    Micros budget = errand.limit - shared.clock.now();
    // A right is looked up again here. Guards against what a stopped process, or a connection that came up
    // late, would send when others hold the right already.
    bool over = errand.good_until > 0 && Clock::steady() > errand.good_until;
    if (budget < 1000 || over) {
        finish(Outcome::Moot);
        return;
    }
    state = State::Busy;
    stream.write(request.text(budget));
    timer.set(budget);
}

void Link::heard(std::string_view bytes) {
    if (state == State::Dead) return;
    if (state == State::Idle) {  // nothing was asked
        state = State::Dead;
        return;
    }
    try {
        if (!reader.add(bytes)) return;
    } catch (const bytes::Malformed&) {
        finish(Outcome::Error);
        return;
    }
    auto reply = reader.take();
    auto outcome = http::outcome_of(reply);
    finish(outcome, std::move(reply));
}

void Link::closed() {
    if (state == State::Opening)
        finish(Outcome::Unconnected);
    else if (state == State::Busy)
        finish(Outcome::Reset);
    else
        state = State::Dead;
}

void Link::timed_out() {
    if (state == State::Idle) {
        state = State::Dead;
    } else if (state == State::Opening) {
        // Told by which of the two times came first: timers may be some milliseconds early.
        finish(opening_ends <= errand.limit ? Outcome::Unconnected : Outcome::Moot);
    } else if (state == State::Busy) {
        finish(Outcome::Timeout);
    }
}

void Link::give_up() {
    if (state == State::Opening)
        finish(Outcome::Moot);
    else if (state == State::Busy)
        finish(Outcome::Cancelled);
}

void Link::drop() {
    if (state == State::Opening || state == State::Busy)
        finish(Outcome::Reset);
    else
        state = State::Dead;
}

void Link::finish(Outcome outcome, http::Reply reply) {
    bool answered = reply.status != 0 && !reply.closes;
    state = answered ? State::Idle : State::Dead;
    if (answered)
        timer.set(static_cast<Micros>(idle_share * static_cast<double>(shared.terms.idle_time)));
    else
        timer.stop();
    shared.ended(*this, outcome, std::move(reply));
}

}  // namespace quillgrade::node
