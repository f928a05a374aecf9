#include "node/coordinator.hpp"

#include <algorithm>

#include "log/log.hpp"

namespace quillgrade::node {

namespace {

constexpr Micros ms = 1000;
// An empty frame comes each second, and what is told counts after 7 s whether it came or not.
constexpr Micros longest_silence = 2500 * ms, first_delay = 50 * ms, longest_delay = 1000 * ms;

}  // namespace

Coordinator::Coordinator(event_base* base, const feed::Address& address, const site::Terms& terms,
                         std::uint64_t last, Clock& clock, Gathered& gathered)
    : base(base),
      address(address),
      terms(terms),
      last(last),
      clock(clock),
      gathered(gathered),
      delay(first_delay),
      silence(base, [this] { lost("silent"); }),
      again(base, [this] { connect(); }) {
    again.set(0);
}

void Coordinator::connect() {
    waiting = false;
    frames = bytes::Frames(feed::longest_frame);
    stream = std::make_unique<Stream>(base, -1,
                                      Stream::Heard{.bytes = [this](std::string_view bytes) { heard(bytes); },
                                                    .opened = [] {},
                                                    .drained = [] {},
                                                    .closed = [this] { lost("closed"); }});
    silence.set(longest_silence);
    stream->write(feed::ask_from(last));
    if (!stream->open(address)) lost("no descriptor");
}

// The new one is asked at once: what the old one has not told is told by nobody else.
void Coordinator::move_to(const feed::Address& elsewhere) {
    if (elsewhere == address) return;
    log::info("coordinator moved, last event {}", last);
    address = elsewhere;
    up = false;
    delay = first_delay;
    again.stop();
    connect();
}

// The old stream is let go of when the next one is made: this may be a call from it.
void Coordinator::lost(std::string_view why) {
    if (waiting) return;
    waiting = true;
    if (up || delay == first_delay) log::warning("coordinator lost: {}", why);
    up = false;
    stream->stop_reading();
    silence.stop();
    again.set(delay);
    delay = std::min(2 * delay, longest_delay);
}

void Coordinator::heard(std::string_view bytes) {
    if (waiting) return;
    try {
        while (auto frame = frames.take(bytes)) take(feed::decode(frame->content, terms));
        frames.reserve(frames.whole());
    } catch (const bytes::Malformed& error) {
        lost(error.what());
    }
}

void Coordinator::take(feed::Event event) {
    if (!up) log::info("coordinator connected, last event {}", last);
    if (!up) since = clock.now();
    up = true;
    delay = first_delay;
    silence.set(longest_silence);
    if (std::holds_alternative<feed::Nothing>(event.what) || event.number <= last) return;
    last = event.number;
    gathered.emplace_back(std::move(event));
}

}  // namespace quillgrade::node
