// One router from its start to its exit, as named phases.
#pragma once

#include "launch/launch.hpp"
#include "node/coordinator.hpp"
#include "node/front.hpp"
#include "node/pool.hpp"
#include "node/turn.hpp"

namespace quillgrade::node {

enum class Phase {
    Starting,   // what is known at the start is taken in
    Serving,    // lookups are taken and answered
    Leaving,    // SIGTERM has come, clients still do: lookups are taken and answered
    Finishing,  // nobody new is let in; what is held is answered
    Over        // nothing is held
};

class Node {
public:
    explicit Node(const launch::Launch& launch);
    void run();  // until Over

    // The phase that follows, from what has happened so far.
    struct Seen {
        Micros now, told_to_leave, last_arrival, longest_stay;
        bool nothing_held;
    };
    static Phase next(Phase phase, const Seen& seen);
    static Micros longest_stay(Micros longest_wait);

private:
    void step();
    void told_to_leave();
    void read_again();

    const launch::Launch& launch;
    Owned<event_base> base;
    Clock clock;
    Gathered gathered;
    Front front;
    Pool pool;
    Turn turn;
    Coordinator coordinator;
    Phase phase = Phase::Starting;
    Micros leave_at = 0, last_arrival = 0;
    Timer check;
    Owned<event> term, interrupt, hang_up;
    bool told_to_read = false;
};

}  // namespace quillgrade::node
