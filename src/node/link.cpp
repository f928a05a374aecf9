#include "node/link.hpp"

#include <algorithm>
#include <utility>

namespace quillgrade::node {

namespace {

constexpr double idle_share = 0.9;  // of the far side's time, so that it is never the first to close
constexpr Micros longest_without_bytes = 200'000;  // of an answer that has begun

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

void Link::run(const Attempt& wanted) {
    attempt = wanted;
    if (connected) {
        come_up();
        return;
    }
    state = State::Opening;
    opening_ends = shared.clock.now() + shared.terms.connect_time;
    timer.set(std::min(attempt.limit, opening_ends) - shared.clock.now());
    if (!stream.open(address) && state == State::Opening) finish(Outcome::NotSent);  // no descriptor is left
}

void Link::opened() {
    connected = true;
    if (state == State::Opening) come_up();
}

void Link::come_up() {
    state = State::Connected;
    shared.ready(*this);
}

// The budget is known only now: it would pass the client's time by what connecting took.
void Link::ask(const http::Request& request) {
    Micros budget = attempt.limit - shared.clock.now();
    // A right is looked up again here. Guards against what a stopped process, or a connection that came up
    // late, would send when others hold the right already.
    bool over = attempt.good_until > 0 && Clock::steady() > attempt.good_until;
    if (budget < 1000 || over) {
        refuse();
        return;
    }
    state = State::Busy;
    held = Charge(shared.answers);
    paused_so_far = 0;
    stream.write(request.head_text(budget));
    stream.write(request.body);
    timer.set(budget);
}

// The connection is as good as before, and stays.
void Link::refuse() { finish(Outcome::NotSent, {}, true); }

void Link::set_reading(Reading wanted) {
    if (wanted == reading) return;
    auto now = shared.clock.now();
    if (reading == Reading::Paused) {
        paused_so_far += now - paused_since;
        progress_at = now;
        stream.go_on_reading();
    }
    reading = wanted;
    stream.limit_read(wanted == Reading::HeadOnly ? head_read : most_read);
    if (wanted != Reading::Paused) return;
    paused_since = now;
    stream.stop_reading();
}

Micros Link::held_back(Micros now) const {
    return paused_so_far + (reading == Reading::Paused ? now - paused_since : 0);
}

bool Link::stalled(Micros now) const {
    return begun() && now - progress_at >= longest_without_bytes &&
           (reading != Reading::Paused || !stream.unread());
}

bool Link::rested() const { return shared.clock.now() - idle_since >= crossing; }

void Link::heard(std::string_view bytes) {
    if (state == State::Dead) return;
    if (state == State::Idle) {  // nothing was asked
        state = State::Dead;
        return;
    }
    // Guards against an answer that nobody has asked for yet: it would be taken for that of the first lookup.
    if (state == State::Opening || state == State::Connected) {
        finish(Outcome::NotSent);
        return;
    }
    bool whole = false;
    try {
        whole = reader.add(bytes);
    } catch (const bytes::Malformed&) {
        finish(Outcome::Error);
        return;
    }
    progress_at = shared.clock.now();
    held.resize(reader.held_bytes());
    if (!whole) {
        if (shared.answers.under_pressure()) shared.pressed();
        return;
    }
    auto reply = reader.take();
    auto outcome = http::outcome_of(reply);
    finish(outcome, std::move(reply));
}

void Link::closed() {
    if (state == State::Opening || state == State::Connected)
        finish(Outcome::ConnectFailed);
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
        finish(opening_ends <= attempt.limit ? Outcome::ConnectFailed : Outcome::NotSent);
    } else if (state == State::Connected) {
        finish(Outcome::NotSent);
    } else if (state == State::Busy) {
        // An answer that the router did not read is no fault of its cache.
        finish(reading == Reading::Paused ? Outcome::Cancelled : Outcome::Timeout);
    }
}

void Link::give_up() {
    if (state == State::Opening || state == State::Connected)
        finish(Outcome::NotSent);
    else if (state == State::Busy)
        finish(Outcome::Cancelled);
}

void Link::drop() {
    if (state == State::Opening || state == State::Connected)
        finish(Outcome::NotSent);
    else if (state == State::Busy)
        finish(Outcome::Reset);
    else
        state = State::Dead;
}

void Link::finish(Outcome outcome, http::Reply reply, bool untouched) {
    bool answered = reply.status != 0 && !reply.closes;
    if (answered) idle_since = shared.clock.now();
    state = answered || untouched ? State::Idle : State::Dead;
    if (state == State::Idle)
        timer.set(static_cast<Micros>(idle_share * static_cast<double>(shared.terms.idle_time)));
    else
        timer.stop();
    paused_so_far = held_back(shared.clock.now());
    paused_since = shared.clock.now();
    if (state == State::Idle) set_reading(Reading::Freely);
    held.resize(reply.body.size());
    shared.ended(*this, outcome, std::move(reply));
    held = {};
}

}  // namespace quillgrade::node
