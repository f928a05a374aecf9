// One router from its start to its exit, as named phases.
#pragma once

#include <functional>
#include <memory>

#include "launch/launch.hpp"
#include "node/coordinator.hpp"
#include "node/front.hpp"
#include "node/peer_port.hpp"
#include "node/pool.hpp"
#include "node/sharing.hpp"
#include "node/stall_detector.hpp"
#include "node/steering.hpp"
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
    // `told`: the operators' file; what it does not name does not exist. `plan_again` reads it anew on SIGHUP
    // and may throw; null: there is no such file.
    explicit Node(const launch::Launch& launch, operate::OperatorConfig told = {},
                  std::function<operate::OperatorConfig()> plan_again = nullptr);
    void told_before(bool leave, bool read);  // what signals have told before there was a node
    void run();                               // until Over

    // The phase that follows, from what has happened so far.
    struct Seen {
        Micros now, told_to_leave, last_arrival, longest_stay;
        bool nothing_held;
    };
    static Phase next(Phase phase, const Seen& seen);
    static Micros longest_stay(Micros longest_wait);

private:
    void step();
    // Whether the loop waits until there are events.
    enum class Wait { No, Yes };
    void look_for_events(Wait wait);
    void steer(Micros now);
    void read_plan_again();
    void load_rules();
    void told_to_leave();
    void read_again();

    const launch::Launch& launch;
    operate::OperatorConfig plan;
    std::function<operate::OperatorConfig()> plan_again;
    site::Terms terms;  // as narrowed by what is in force
    MemoryAccount answers, requests;
    Owned<event_base> base;
    Clock clock;
    StallDetector stall_detector;
    Gathered gathered;
    Front front;
    Pool pool;
    Turn turn;
    Coordinator coordinator;
    std::unique_ptr<Steering> steering;  // null: off
    std::unique_ptr<PeerPort> peers;     // null: off
    std::unique_ptr<Sharing> sharing;    // null: off
    const route::Site rule_site;
    std::shared_ptr<const route::RuleSet> file_rules;  // of the operators' file
    std::optional<route::Loader> loading;              // the same, read again
    bool streamed_rules = false;                       // a version of Rules is in force
    Phase phase = Phase::Starting;
    Micros leave_at = 0, last_arrival = 0;
    Timer check;
    Owned<event> term, interrupt, hang_up;
    bool told_to_read = false;
};

}  // namespace quillgrade::node
