// One client's connection: calls in, answers out, each call answered once.
#pragma once

#include <unordered_map>

#include "bytes/bytes.hpp"
#include "node/clock.hpp"
#include "node/gathered.hpp"
#include "node/loop.hpp"

namespace quillgrade::node {

class Client {
public:
    // What all connections of the front share.
    struct Shared {
        event_base* base;
        const site::Terms& terms;
        Clock& clock;
        Gathered& gathered;
        bool ready = false;                                   // what a ping is told
        const std::vector<thrift::Wanted>* wanted = nullptr;  // named fields that rules ask for
    };
    Client(Shared& shared, int fd, ClientId id, std::uint32_t address);

    void answer(std::int32_t seq, std::string_view frame);
    bool over() const;  // to be dropped between passes of the loop
    void hang_up();     // whatever is open, its client is gone
    bool idle() const { return open.empty() && stream.unsent() == 0; }
    bool spoke() const { return has_spoken; }      // has sent a whole message
    Micros last_active() const { return active; }  // when it connected, sent a whole message or was answered
    std::size_t held() const { return stream.unsent() + frames.held_bytes() + bodies; }

private:
    void heard(std::string_view bytes);
    void call(thrift::Message message);
    void lookup(thrift::Lookup lookup);
    bool settle(std::int32_t seq);  // nothing is owed for it any more; false if nothing was

    Shared& shared;
    ClientId id;
    std::uint32_t address;
    bytes::Frames frames{thrift::longest_frame};
    struct Open {
        LookupId lookup;
        std::size_t body;
    };
    std::unordered_map<std::int32_t, Open> open;
    std::size_t bodies = 0;  // bytes that came with the lookups that are open
    bool gone = false, closing = false, has_spoken = false;
    Micros active;
    Stream stream;
};

}  // namespace quillgrade::node
