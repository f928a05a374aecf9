// One gRPC call with streams both ways, as a client, over HTTP/2 (RFC 9113, by nghttp2). No sockets and no
// clock: bytes that came are given in, bytes to be written and what they meant are taken out.
//
// receive() throws bytes::Malformed where the far side breaks HTTP/2 or gRPC framing, claims a message longer
// than allowed, or compresses one; the connection is then of no further use. Memory is bounded: one message
// of at most `longest_message` bytes while it comes, and `most_unsent` bytes of ours that it does not read.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bytes/bytes.hpp"

struct nghttp2_session;

namespace quillgrade::h2 {

struct Opened {};  // the service has accepted the call
struct Message {
    std::string bytes;
};
struct Pong {};
struct GoingAway {  // no new calls; this one may go on for a while
    std::string why;
};
struct Ended {   // the call is over
    int status;  // gRPC's, -1 where none was told
    std::string why;
};
using Event = std::variant<Opened, Message, Pong, GoingAway, Ended>;

class Session {
public:
    Session(const std::string& authority, const std::string& path, std::size_t longest_message,
            std::size_t most_unsent = 4'000'000);
    Session(const Session&) = delete;
    Session& operator=(const Session&) = delete;
    ~Session();

    void receive(std::string_view bytes);
    void send(std::string_view message);  // throws bytes::Malformed where too much is unsent
    void ping();
    std::string take_output();  // what is to be written now; empty: nothing
    std::vector<Event> take_events();
    std::size_t held() const;  // bytes of a message under way

private:
    struct Inner;
    std::unique_ptr<Inner> inner;
};

}  // namespace quillgrade::h2
