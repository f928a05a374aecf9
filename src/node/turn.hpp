// The turn: what was gathered goes to the module, all with one clock reading, and then its answers are
// carried out. Nothing is judged here.
#pragma once

#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

#include "launch/launch.hpp"
#include "node/front.hpp"
#include "node/pool.hpp"
#include "route/live.hpp"
#include "shared/exchange.hpp"
#include "version/trial.hpp"

namespace quillgrade::node {

class Turn {
public:
    Turn(const launch::Launch& launch, event_base* base, Gathered& gathered, Front& front, Pool& pool);
    void share(shared::Exchange* with);  // null: nothing is shared
    void take(Gathered batch, Micros reading);
    void tend(Micros reading);
    void leave(Micros by) { leave_by = by; }  // lookups taken from now on are answered by then
    void break_off_all();                     // whatever is still held gets its final answer
    std::size_t held() const { return open.size(); }
    const version::LookupCounts& counts() const { return ends; }

private:
    // A lookup whose final answer is owed.
    struct Open {
        Open(const LookupInfo& facts, Arrived& arrived, Micros taken, event_base* base,
             std::function<void()> due)
            : caller(arrived.caller),
              facts(facts),
              have(std::move(arrived.lookup.have)),
              ticket(std::move(arrived.lookup.ticket)),
              taken(taken),
              look(base, std::move(due)) {
            if (!arrived.lookup.body.empty())
                body = shared_bytes(std::move(arrived.lookup.body), std::move(arrived.charge));
        }
        Caller caller;
        LookupInfo facts;
        std::string have, ticket;
        SharedBytes body;  // null: none
        Micros taken;
        bool answered = false;
        std::vector<AttemptPlan> orders;  // of the attempts so far
        Micros look_at = 0;               // 0: no look is due
        Timer look;
    };
    // What the module answered about one lookup, and the reply that it is about, if that handles it.
    struct Made {
        LookupId lookup;
        RoutingDecision answer;
        std::optional<http::Reply> handled;
        bool left = false;   // the client has, and no answer is owed
        Charge charge = {};  // for the reply's body
    };

    void tell(Arrived& arrived);
    void tell(Discarded& discarded);
    void tell(Left& left);
    void tell(Landed& landed);
    void tell(Probed& probed);
    void tell(feed::Event& event);
    void tell(LookDue& due);
    void tell(TendDue& due);
    void tell(version::Amounts& amounts);
    void tell(std::shared_ptr<const route::RuleSet>& rules);
    void narrow(const Arrived& arrived, LookupInfo& facts);
    void reject_for_memory(const Caller& caller);
    void count(bool bad);
    void look_up_quotas();
    void settle_quotas();
    void weigh_opinions();
    Micros good_until(const AttemptPlan& order) const;
    void made(Made one);
    void carry_out(Made& made);
    void serve(const Open& lookup, Made& made);
    void send(Open& lookup, const AttemptPlan& order);
    Pool::Word still_wanted(CacheId cache, const Attempt& attempt);

    event_base* base;
    const site::Terms& terms;
    const SiteSettings& facts;
    const launch::Launch& launch;
    Gathered& gathered;
    Front& front;
    Pool& pool;
    Router router;
    std::unordered_map<LookupId, Open> open;
    std::vector<Made> answers;
    std::vector<CacheId> probes;
    std::optional<Micros> leave_by;
    std::optional<route::Live> routes;  // once there have been rules
    std::vector<thrift::Wanted> wanted;
    version::LookupCounts ends;
    shared::Exchange* exchange = nullptr;
    std::vector<CacheId> lent, spoken_of;       // servers that were given a right, or a hearsay
    std::unordered_map<CacheId, Micros> until;  // of the quotas that this turn has used
    int tends = 0;
    Micros now = 0, steady = 0;
    Timer upkeep;
};

}  // namespace quillgrade::node
