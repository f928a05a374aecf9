// The cold budget of a server, held by all routers together: who may send it how much now.
//
// A server that has just started may be sent a stated amount of work within any window of `window`, by all
// routers together. Divided by their count, one's part is often less than one lookup, which nobody can use.
// So a few owners hold it for each start of a server, drawn by hash from the numbers in the settings: the
// same ones for every router, whoever seems alive, without a word. An owner may use its part alone, always.
// What it doesn't need it lends: so much within any window, until an end.
//
//   borrower                        owner
//   ask(number)   ------------->    has it free: blocks it until end + window, first
//   until T + lease  <-----------    grant(number)         T: when the borrower *asked*, by its own clock
//   renews before the end, the same amount, the owner blocks on
//
// The bound, over every window and whatever is lost, late, doubled, cut, stopped, restarted:
//   1. An owner's uses in the last window and all that it has blocked are at most its part, at every moment
//   at
//      which it uses or lends. A part only grows while a server warms up.
//   2. A lease ends for the borrower at T + lease, T taken before the ask was sent; the owner heard the ask
//   after that
//      and blocks until one window past its own T' + lease. T' is later than T in true time, so no clocks are
//      compared: each measures a length. The clocks have to be steady: they neither jump nor stand still, and
//      run within 1% of each other, which `margin` covers.
//   3. The right is looked up again where the request is written (`use_validity`): a process that was stopped
//   in between
//      does not send. What is left is a stop between that look and the system's call right after it.
//   4. A lease is taken once: by the number of its ask, which a new life does not know.
//   5. A new life neither uses nor lends before all that its last one may have promised or used is over.
//   6. Only those whose amounts are alike lend to each other, by a hash of them in each datagram.
// Not covered: an owner that lies. Two routers told different starts of a server draw different owners; each
// start then has the bound by itself.
//
// All amounts are microseconds of sending time, as the decision module has them. `now` is a steady clock's.
#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <vector>

#include "control.hpp"
#include "peers/member_state.hpp"

namespace quillgrade::shared {

using peers::Generation;
using peers::RouterIndex;

struct QuotaOptions {
    RouterIndex self = 0;
    int routers = 1;
    int grantors = 4;                   // of each server's budget at a time; all routers need the same
    Micros window = 1'000'000;          // over which the settings bound the work
    Micros lease_duration = 3'000'000;  // how long a lease lasts; all routers need the same
    std::uint32_t seed = 1;
    Micros now = 0;  // at the start of this life
};

// A server that is cold by the list, and what all together may send it within a window now.
struct ColdServer {
    CacheId id;
    std::uint64_t start;  // Unix milliseconds
    double budget;
};

struct Ask {
    CacheId server = 0;
    std::uint32_t start = 0;  // the lower half of the server's start
    std::uint32_t number = 0;
    double amount = 0, min_amount = 0;
    std::uint32_t renews = 0;  // the lease that is to go on, for `amount` in all, by the number of its first
                               // ask; 0: a new one
    bool operator==(const Ask&) const = default;
};
struct Grant {
    CacheId server = 0;
    std::uint32_t number = 0;
    double amount = 0;
    bool operator==(const Grant&) const = default;
};
template <class Message>
struct Addressed {
    RouterIndex to;
    Message message;
};

class Quotas {
public:
    explicit Quotas(const QuotaOptions& terms);

    static constexpr std::size_t max_servers = 256, max_leases = 512;
    // How long after it was looked up a right may be used at most.
    static constexpr Micros use_validity = 50'000;
    // Uses count for so long: one may be written `use_validity` after it was counted, the next one at once.
    Micros use_lifetime() const { return terms.window + terms.window / 100 + use_validity; }
    Micros restart_wait() const { return terms.lease_duration + use_lifetime() + margin; }

    // All servers that are cold now, drains included. One that is left out is forgotten only when nothing
    // that was used or lent of it can count any more: else a list that loses it and has it back would give it
    // twice.
    void set_cold_servers(const std::vector<ColdServer>& cold, Micros now);
    // What this router may send the server now; 0 also where it is not known here.
    double available(CacheId id, Micros now);
    // It sends that much, told as one by `tag`. Answers until when it has to be written.
    Micros consume(CacheId id, double work, Micros tag, Micros now);
    // Part of what was told with that tag never reached the server, as is known now.
    void refund(CacheId id, double work, Micros tag, Micros now);
    // Work that was looked for since the last call and found no right; one lookup's is `usual`.
    void record_unmet_demand(CacheId id, double work, double usual, Micros now);

    // What is due: asks and renewals. `alive`: whom it is of use to ask.
    template <class Alive>
    std::vector<Addressed<Ask>> due_asks(Alive alive, Micros now) {
        std::vector<Addressed<Ask>> out;
        for (auto& [id, server] : servers) {
            plan(id, server, now);
            if (!server.due) continue;
            auto to = server.turn;
            for (std::size_t i = 0; i < server.owners.size(); i++, to++) {
                auto owner = server.owners[to % server.owners.size()];
                if (server.renewing >= 0 ? owner != server.renewing : owner == terms.self) continue;
                if (!alive(owner)) continue;
                out.push_back({owner, sent(id, server, owner, now)});
                if (server.renewing < 0) server.turn = to + 1;
                break;
            }
        }
        return out;
    }
    // What can't be granted at once waits for a while: for each borrower its last ask.
    void handle_ask(RouterIndex from, Generation life, const Ask& ask, Micros now);
    std::vector<Addressed<Grant>> issue_grants(Micros now);
    void handle_grant(RouterIndex from, const Grant& grant, Micros now);

    std::vector<RouterIndex> grantors_of(CacheId server, std::uint64_t start) const;
    // Bytes aside, what an onlooker may want to know.
    struct Counters {
        std::uint64_t asks_sent = 0, leases_granted = 0, leases_received = 0, leases_renewed = 0,
                      messages_refused = 0, amounts_capped = 0, uses = 0;
    };
    const Counters& counters() const { return seen; }
    // Of one server: the own part, what of it was used in the last window, is lent, and is blocked after a
    // loan's end; and what is borrowed, and used of that.
    struct Usage {
        double part = 0, used = 0, lent = 0, ending = 0, borrowed = 0, borrowed_used = 0;
        std::vector<RouterIndex> borrowers{};
    };
    Usage usage(CacheId id, Micros now);
    // What decides what it does from now on, times as lengths from `now`, for explorers (model/leases.cpp).
    // Numbers of asks go through `renumber`, as only which are alike matters.
    void fingerprint(std::vector<std::int64_t>& into, Micros now,
                     const std::function<std::int64_t(std::uint32_t)>& renumber) const;

private:
    static constexpr Micros margin = 50'000;  // clocks that run differently, over the length of a lease
    struct Use {
        Micros at, tag;
        double work;
    };
    // Something to use: the own part, or a lease.
    struct Pot {
        RouterIndex owner;
        std::uint32_t lease = 0;  // the number of its first ask
        double amount = 0;
        Micros until = 0;  // of the lease
        std::vector<Use> uses{};
    };
    struct Lent {
        RouterIndex to;
        Generation life;
        std::uint32_t lease;
        double amount;
        Micros until;  // blocked
    };
    struct Waiting {  // an ask that may be granted soon
        RouterIndex from;
        Generation life;
        Ask ask;
        Micros until;
    };
    struct Open {  // an ask that may still be granted
        std::uint32_t number = 0;
        RouterIndex owner = -1;
        Micros asked = 0;
        double amount = 0;
        std::uint32_t renews = 0;
    };
    struct Server {
        std::uint64_t start = 0;
        double whole = 0;
        std::vector<RouterIndex> owners{};
        int parts = 0;            // of the owners' that are this router's
        std::vector<Pot> pots{};  // the own part first, if there is one
        std::vector<Lent> lent{};
        std::vector<std::pair<Micros, double>> wishes{};
        double usual = 0;
        Open open{};
        Micros wait = answer_wait;  // twice as long after each ask that had no answer
        std::vector<Waiting> waiting{};
        std::size_t turn = 0;
        bool due = false;
        RouterIndex renewing = -1;  // whose lease is to go on, -1: whoever has some
        Micros listed = 0;          // when it was last told to be cold
    };
    // A borrower waits for an answer so long; an owner keeps an ask for less, so that its answer is still
    // awaited.
    static constexpr Micros answer_wait = 500'000, kept_waiting = 400'000, longest_wait = 4'000'000;
    static constexpr std::size_t most_waiting = 64;

    void plan(CacheId id, Server& server, Micros now);
    Ask sent(CacheId id, Server& server, RouterIndex owner, Micros now);
    double used(Pot& pot, Micros now) const;
    static double blocked(Server& server, Micros now);
    static double part(const Server& server);
    double left(Server& server, Pot& pot, Micros now) const;
    double wish(Server& server, Micros now) const;
    std::optional<Grant> grant(Server& server, const Waiting& to, Micros now);

    QuotaOptions terms;
    std::map<CacheId, Server> servers;
    std::uint32_t number;
    Counters seen;
};

}  // namespace quillgrade::shared
