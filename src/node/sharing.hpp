// This router's part in what the routers of the tier share, at work: between the datagrams, the coordinator's
// events and the turn. Exists only where the operators' file names `shared`. Decides nothing: what is shared,
// and what follows, is shared::Exchange's and the module's to work out.
#pragma once

#include "node/clock.hpp"
#include "node/gathered.hpp"
#include "node/peer_port.hpp"
#include "node/turn.hpp"
#include "shared/exchange.hpp"

namespace quillgrade::node {

class Sharing {
public:
    // `peers` and `turn` outlive this; the turn shares with it from now on.
    Sharing(PeerPort& peers, const operate::SharedStateConfig& plan, const launch::Launch& launch,
            Clock& clock, Turn& turn);
    ~Sharing();
    Sharing(const Sharing&) = delete;
    Sharing& operator=(const Sharing&) = delete;

    void at(Micros now);  // before what came is heard
    // Once a pass, before the turn: lists in `batch` are narrowed, purges are learned, and what others have
    // heard is added. `live`: since when the coordinator is heard, 0: it is not.
    void pass(Gathered& batch, Micros live, Micros now);
    void say_all();  // the last line

private:
    void say(const shared::ReplicatedFacts::Changes& changes, Micros now);

    Turn& turn;
    shared::Exchange exchange;
    Micros say_at = 0;
    bool told_differ = false;
    std::uint64_t told_malformed = 0;
};

}  // namespace quillgrade::node
