// One connection to a control service: subscriptions and answers out, offers in. What comes is only gathered;
// whoever owns it takes it up between passes of the loop.
#pragma once

#include <map>
#include <optional>

#include "discovery/message.hpp"
#include "h2/session.hpp"
#include "node/clock.hpp"
#include "node/loop.hpp"
#include "version/ledger.hpp"

namespace quillgrade::node {

class Service {
public:
    struct Shared {
        event_base* base;
        Clock& clock;
        discovery::Form form;
        discovery::Asker asker;
        std::size_t longest_message;
    };
    // `subscriptions`: one a kind that is wanted. Starts to connect at once.
    Service(const Shared& shared, version::StreamId id, const feed::Address& address,
            const std::vector<discovery::Request>& subscriptions);

    void say(discovery::Request request);
    std::vector<discovery::Offer> take_offers() { return std::exchange(offers, {}); }
    void let_go(std::string_view why) { lose(why); }
    // Why it is of no further use; empty: it is not lost.
    const std::string& lost() const { return why; }
    bool has_opened() const { return opened; }

    const version::StreamId id;

private:
    void heard(std::string_view bytes);
    void flush();
    void lose(std::string_view reason);
    void tick();

    const Shared& shared;
    h2::Session session;
    std::vector<discovery::Offer> offers;
    std::string why;
    bool opened = false, asked = false, first = true;
    Micros last_heard;
    Timer watch;
    Stream stream;
};

std::string text_of(const feed::Address& address);

}  // namespace quillgrade::node
