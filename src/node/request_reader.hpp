// The request that a client is sending: its bytes, the room that they have in memory, and how fast they come.
//
// A short request has room for all of it at once. A longer one wants room for all of it as soon as its length
// is known, and is not to be read on before that is granted. One that comes slowly gives back the room that
// it does not use, and wants it bit by bit as its bytes come. One that is discarded is read to its end and
// not kept, which takes no room.
//
// The room is charged from the moment it is given. Nothing here decides who has room.
#pragma once

#include <optional>
#include <string_view>

#include "bytes/bytes.hpp"
#include "node/memory_account.hpp"
#include "node/request_admission.hpp"

namespace quillgrade::node {

class RequestReader {
public:
    RequestReader(MemoryAccount& account, std::size_t longest);
    // The next whole message, whose bytes are taken off the front of `more`. It is charged no longer: what is
    // kept of it is its owner's. Throws bytes::Malformed; reset() is due then.
    std::optional<bytes::Frames::Frame> take(std::string_view& more, Micros now);
    void reset();
    bool under_way() const { return frames.under_way(); }
    bool is_long() const;  // one is under way that may want room, or has it
    std::size_t room() const { return frames.room(); }
    std::size_t remaining() const { return frames.remaining(); }
    std::size_t wanted() const;  // bytes of room without which it is not to be read on; 0: none
    void grant();                // what is wanted
    void discard();
    void give_back_spare();    // it comes slowly
    void resumed(Micros now);  // it was not read from until now
    Micros last_heard() const { return heard_at; }
    // As far as can be seen without its socket: there may be bytes that were not read yet.
    Sender sender(Micros now) const;
    bool found_slow() const { return bit_by_bit; }

private:
    bytes::Frames frames;
    Charge charge;
    Micros heard_at = 0;
    // Since when the one under way was read from without a pause, and what of it had come by then.
    Micros read_since = 0;
    std::size_t received_before = 0;
    bool bit_by_bit = false;
};

}  // namespace quillgrade::node
