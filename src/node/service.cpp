#include "node/service.hpp"

#include <utility>

namespace quillgrade::node {

namespace {

constexpr Micros second = 1'000'000;
// A service may have nothing to say for hours, so silence is what does not answer a ping.
constexpr Micros watch_every = second, ping_after = 2 * second, longest_silence = 5 * second;

}  // namespace

std::string text_of(const feed::Address& address) {
    std::string out;
    for (int shift : {24, 16, 8, 0}) out += std::to_string(address.host >> shift & 255) + (shift ? "." : ":");
    return out + std::to_string(address.port);
}

Service::Service(const Shared& shared, version::StreamId id, const feed::Address& address,
                 const std::vector<discovery::Request>& subscriptions)
    : id(id),
      shared(shared),
      session(text_of(address), std::string(discovery::method(shared.form)), shared.longest_message),
      last_heard(shared.clock.now()),
      watch(shared.base, [this] { tick(); }),
      stream(shared.base, -1,
             {.bytes = [this](std::string_view bytes) { heard(bytes); },
              .opened = [] {},
              .drained = [] {},
              .closed = [this] { lose("closed"); }}) {
    for (auto& wanted : subscriptions) say(wanted);
    watch.set(watch_every);
    if (!stream.open(address)) lose("no descriptor");
}

void Service::say(discovery::Request request) {
    if (!why.empty()) return;
    try {
        request.first = std::exchange(first, false);
        session.send(discovery::encode(shared.form, request, shared.asker));
        flush();
    } catch (const bytes::Malformed& error) {
        lose(error.what());
    }
}

void Service::flush() {
    auto out = session.take_output();
    if (!out.empty()) stream.write(out);
}

void Service::lose(std::string_view reason) {
    if (!why.empty()) return;
    why = reason.empty() ? "closed" : reason;
    stream.stop_reading();
    watch.stop();
}

void Service::heard(std::string_view bytes) {
    if (!why.empty()) return;
    last_heard = shared.clock.now();
    asked = false;
    try {
        session.receive(bytes);
        for (auto& event : session.take_events()) {
            if (auto* message = std::get_if<h2::Message>(&event))
                offers.push_back(discovery::decode(shared.form, message->bytes));
            if (std::holds_alternative<h2::Opened>(event)) opened = true;
            if (auto* going = std::get_if<h2::GoingAway>(&event))
                lose("it goes away" + (going->why.empty() ? "" : ": " + going->why));
            if (auto* ended = std::get_if<h2::Ended>(&event)) lose(ended->why);
        }
        flush();
    } catch (const bytes::Malformed& error) {
        lose(error.what());
    }
}

void Service::tick() {
    auto silent = shared.clock.now() - last_heard;
    if (silent >= longest_silence) return lose("silent");
    if (silent >= ping_after && !std::exchange(asked, true)) {
        session.ping();
        flush();
    }
    watch.set(watch_every);
}

}  // namespace quillgrade::node
