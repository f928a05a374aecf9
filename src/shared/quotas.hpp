// Shares the cold budget of a server between all routers by leases: how much work this router may send to the
// server now.
//
// A server that has just started may be sent a stated amount of work within any `window`, by all routers
// together. Divided by the number of routers, the share of one is often less than one lookup, which nobody
// can use. So for each start of a server a few routers, the grantors, hold equal shares of its budget. They
// are drawn by hash from the number of routers in the settings, so every router draws the same ones without
// communication, whichever seem alive. A grantor may always use its own share. What it doesn't need it leases
// to borrowers: an amount that the borrower may use within any window until the lease ends.
//
//     borrower                          grantor
//     Ask(number)          -------->    if the amount is free: blocks it until the lease's end + window
//     may use it until     <--------    Grant(number)
//     asked + lease
//
// A borrower renews a lease before it ends. The grantor then keeps the same amount blocked.
//
// Invariant: within every window all routers together send at most the budget, whatever messages are lost,
// delayed, duplicated or cut off, and whichever routers stop or restart. It rests on these rules:
//   1. What a grantor used in the last window and what it has blocked are together at most its share, at each
//      moment at which it uses or grants. A share only grows while a server warms up.
//   2. A lease ends for the borrower one lease duration after it sent the ask. The grantor receives the ask
//      later and blocks the amount until one window after its own later end of the lease. No clocks are
//      compared, as each router measures a duration. The clocks have to be steady: they neither jump nor
//      stand still, and run within 1% of each other, which `clock_margin` covers.
//   3. The quota is checked again where the request is written (`use_validity`), so a process that was
//      stopped in between doesn't send. A stop between that check and the system call right after it is
//      not covered.
//   4. A lease is accepted once, by the number of its ask. A restarted router does not know the numbers of
//      its previous generation.
//   5. A restarted router neither uses nor grants before all that its previous generation may have granted
//      or used has ended (`restart_wait`).
//   6. Only routers with the same settings lend to each other, by a hash of them in each datagram.
// Not covered: a grantor that lies. Two routers that were told different starts of a server draw different
// grantors; the bound then holds for each start separately.
//
//     quotas.set_cold_servers(cold, now);
//     if (quotas.available(id, now) >= work) write_until = quotas.consume(id, work, tag, now);
//     else quotas.record_unmet_demand(id, work, work, now);
//     for (auto& [to, ask] : quotas.due_asks(is_alive, now)) send(to, ask);
//     for (auto& [to, grant] : quotas.issue_grants(now)) send(to, grant);
//
// All amounts are microseconds of sending time, as in the routing module. `now` is read from a steady clock,
// in microseconds. Not thread-safe. No I/O and no clock of its own.
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
    int grantors = 4;                   // of each server's budget; has to be the same on all routers
    Micros window = 1'000'000;          // over which the settings bound the work
    Micros lease_duration = 3'000'000;  // has to be the same on all routers
    std::uint32_t seed = 1;
    Micros now = 0;  // when this generation started
};

// A server that is cold by the list, and the work that all routers together may send it within a window now.
struct ColdServer {
    CacheId id;
    std::uint64_t start;  // Unix milliseconds
    double budget;
};

// Asks a grantor for a lease, or for the renewal of one.
struct Ask {
    CacheId server = 0;
    std::uint32_t start = 0;  // the lower 32 bits of the server's start
    std::uint32_t number = 0;
    double amount = 0, min_amount = 0;
    std::uint32_t renews = 0;  // the lease to renew, for `amount` in all, by the number of its first ask;
                               // 0: a new lease
    bool operator==(const Ask&) const = default;
};
// Answers the ask with the same number: the lease, with its whole amount.
struct Grant {
    CacheId server = 0;
    std::uint32_t number = 0;
    double amount = 0;
    bool operator==(const Grant&) const = default;
};
template <class Message>
struct Addressed {
    RouterIndex to;
    Message body;
};

class Quotas {
public:
    explicit Quotas(const QuotaOptions& options);

    static constexpr std::size_t max_servers = 256, max_leases = 512;
    // How long after it was checked a quota may be used at most.
    static constexpr Micros use_validity = 50'000;
    // How long a use counts against the quota. A use may be written up to `use_validity` after it was
    // counted, and the next use at once, so this is longer than the window.
    Micros use_lifetime() const { return options.window + options.window / 100 + use_validity; }
    // How long a restarted router neither uses its share nor grants leases.
    Micros restart_wait() const { return options.lease_duration + use_lifetime() + clock_margin; }

    // Takes the complete list of servers that are cold now, draining ones included. A server that is missing
    // from it is kept until nothing that was used or lent of its budget counts any more. Otherwise a list
    // that loses the server and has it back would hand out its budget twice.
    void set_cold_servers(const std::vector<ColdServer>& cold, Micros now);
    // What this router may send to the server now; 0 also for an unknown server.
    double available(CacheId id, Micros now);
    // Records that `work` is sent to the server, as one use under `tag`. Returns the time until which it has
    // to be written.
    Micros consume(CacheId id, double work, Micros tag, Micros now);
    // Gives back up to `work` of the use under `tag`, which is now known never to have reached the server.
    void refund(CacheId id, double work, Micros tag, Micros now);
    // Records work since the last call that found no quota; `lookup_work` is the work of one lookup.
    void record_unmet_demand(CacheId id, double work, double lookup_work, Micros now);

    // The asks and renewals that are due. `is_alive` tells whether a router is worth asking.
    template <class IsAlive>
    std::vector<Addressed<Ask>> due_asks(IsAlive is_alive, Micros now) {
        std::vector<Addressed<Ask>> asks;
        for (auto& [id, server] : servers) {
            plan_ask(id, server, now);
            if (!server.ask_due) continue;
            auto next = server.next_grantor;
            for (std::size_t i = 0; i < server.grantors.size(); i++, next++) {
                auto grantor = server.grantors[next % server.grantors.size()];
                if (server.renewal_grantor >= 0 ? grantor != server.renewal_grantor : grantor == options.self)
                    continue;
                if (!is_alive(grantor)) continue;
                asks.push_back({grantor, make_ask(id, server, grantor, now)});
                if (server.renewal_grantor < 0) server.next_grantor = next + 1;
                break;
            }
        }
        return asks;
    }
    // Queues an ask of a borrower, in place of its previous one. One that can't be granted at once waits for
    // `ask_queue_time`.
    void handle_ask(RouterIndex from, Generation generation, const Ask& ask, Micros now);
    // Grants what is free to the queued asks.
    std::vector<Addressed<Grant>> issue_grants(Micros now);
    // Accepts a lease if it answers the outstanding ask.
    void handle_grant(RouterIndex from, const Grant& grant, Micros now);

    std::vector<RouterIndex> grantors_of(CacheId server, std::uint64_t start) const;

    struct Counters {
        std::uint64_t asks_sent = 0, leases_granted = 0, leases_received = 0, leases_renewed = 0,
                      messages_refused = 0, amounts_capped = 0, uses = 0;
    };
    const Counters& counters() const { return totals; }
    // Of one server: this router's own share, what of the share was used in the last window, is lent, and is
    // still blocked after the end of its lease; the amount of its borrowed leases, and what of that was used.
    struct Usage {
        double own_share = 0, used = 0, lent = 0, blocked_after_end = 0, borrowed = 0, borrowed_used = 0;
        std::vector<RouterIndex> borrowers{};
    };
    Usage usage(CacheId id, Micros now);
    // Appends the state that determines future behaviour, with times relative to `now`, for state-space
    // exploration (model/loans.cpp). Ask numbers go through `renumber`, as only their equality matters.
    void fingerprint(std::vector<std::int64_t>& into, Micros now,
                     const std::function<std::int64_t(std::uint32_t)>& renumber) const;

private:
    // How far two steady clocks may drift apart over a lease.
    static constexpr Micros clock_margin = 50'000;
    struct Use {
        Micros at, tag;
        double work;
    };
    // An amount that this router may use within each window: its own share, or a borrowed lease.
    struct Allowance {
        RouterIndex grantor;             // this router for its own share
        std::uint32_t lease_number = 0;  // the number of the lease's first ask
        double amount = 0;
        Micros expires = 0;  // of a lease
        std::vector<Use> uses{};
    };
    struct GrantedLease {
        RouterIndex borrower;
        Generation generation;
        std::uint32_t lease_number;
        double amount;
        Micros blocked_until;
    };
    // A received ask that may still be granted.
    struct QueuedAsk {
        RouterIndex from;
        Generation generation;
        Ask ask;
        Micros expires;
    };
    // A sent ask that may still be answered.
    struct OutstandingAsk {
        std::uint32_t number = 0;
        RouterIndex grantor = -1;
        Micros sent_at = 0;
        double amount = 0;
        std::uint32_t renews = 0;
    };
    struct Server {
        std::uint64_t start = 0;
        double budget = 0;
        std::vector<RouterIndex> grantors{};
        int own_shares = 0;                   // 1 where this router is a grantor, else 0
        std::vector<Allowance> allowances{};  // the own share first, if there is one
        std::vector<GrantedLease> granted_leases{};
        std::vector<std::pair<Micros, double>> unmet_demand{};  // when, and how much work
        double lookup_work = 0;
        OutstandingAsk outstanding{};
        Micros answer_timeout = initial_answer_timeout;  // doubled after each ask without an answer
        std::vector<QueuedAsk> queued_asks{};
        std::size_t next_grantor = 0;
        bool ask_due = false;
        RouterIndex renewal_grantor = -1;  // whose lease to renew, -1: ask any grantor for a new lease
        Micros last_listed = 0;            // when the server was last listed as cold
    };
    // A borrower waits this long for an answer. A grantor keeps an ask for less, so that its answer arrives
    // while it is still awaited.
    static constexpr Micros initial_answer_timeout = 500'000, ask_queue_time = 400'000,
                            max_answer_timeout = 4'000'000;
    static constexpr std::size_t max_queued_asks = 64;

    void plan_ask(CacheId id, Server& server, Micros now);
    Ask make_ask(CacheId id, Server& server, RouterIndex grantor, Micros now);
    double used_work(Allowance& allowance, Micros now) const;
    static double blocked_work(Server& server, Micros now);
    static double own_share(const Server& server);
    double remaining(Server& server, Allowance& allowance, Micros now) const;
    double recent_demand(Server& server, Micros now) const;
    std::optional<Grant> try_grant(Server& server, const QueuedAsk& queued, Micros now);

    QuotaOptions options;
    std::map<CacheId, Server> servers;
    std::uint32_t last_ask_number;
    Counters totals;
};

}  // namespace quillgrade::shared
