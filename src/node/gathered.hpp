// What callbacks leave for the next turn: decoded values, in the order in which they came.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "control.hpp"
#include "feed/event.hpp"
#include "http/reply.hpp"
#include "node/memory_account.hpp"
#include "route/rules.hpp"
#include "thrift/message.hpp"
#include "version/bundle.hpp"

namespace quillgrade::node {

using ClientId = std::uint64_t;

// Whom an answer is owed: a call on a client's connection.
struct Caller {
    ClientId client = 0;
    std::int32_t seq = 0;
    bool operator==(const Caller&) const = default;
};

struct Arrived {
    Caller caller;
    thrift::Lookup lookup;
    Micros at;
    std::uint32_t address = 0;  // the client's, IPv4
    Charge charge = {};         // for the request's body
    bool no_room = false;       // memory for requests is full: its body was not kept
};
struct Discarded {  // a lookup that memory had no room for: only its call is known
    Caller caller;
};
struct Left {  // the client has stopped waiting
    Caller caller;
    LookupId lookup;
};
struct Landed {
    LookupId lookup;
    int round;
    CacheId cache;
    Outcome outcome;
    Micros sent;
    http::Reply reply;
    Charge charge = {};    // for the reply's body
    Micros held_back = 0;  // how long the router did not read the answer, for want of memory
};
struct Probed {
    CacheId cache;
    Outcome outcome;
    Micros sent;
    LoadReport load;
};
struct LookDue {
    LookupId lookup;
};
struct TendDue {};

using Gathered = std::vector<std::variant<Arrived, Discarded, Left, Landed, Probed, feed::Event, LookDue,
                                          TendDue, version::Amounts, std::shared_ptr<const route::RuleSet>>>;

}  // namespace quillgrade::node
