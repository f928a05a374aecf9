#include "shared/quotas.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace quillgrade::shared {

namespace {

constexpr std::size_t max_allowances = 16;
// The share of the unmet demand that is asked for. Lookups arrive at random, so a lease for all of the demand
// would often not be used up. Where the budget is large enough, the rest is asked for next time.
constexpr double demand_share_asked = 0.4;
constexpr double max_share_per_lease = 0.5;  // of a grantor's share, or one lookup if that is more

}  // namespace

Quotas::Quotas(const QuotaOptions& options) : options(options), last_ask_number(options.seed * 2654435761U) {}

// Drawn by hash, so that servers of one kind that start together have different grantors. With as many
// grantors as routers, every router always has its own share.
std::vector<RouterIndex> Quotas::grantors_of(CacheId server, std::uint64_t start) const {
    auto count = std::min(options.grantors, options.routers);
    std::vector<RouterIndex> drawn;
    for (int i = 0; i < count; i++) {
        const std::array<std::uint64_t, 3> words = {server, start, static_cast<std::uint64_t>(i)};
        auto candidate = static_cast<RouterIndex>(XXH64(words.data(), sizeof words, 0) %
                                                  static_cast<std::uint64_t>(options.routers));
        while (std::find(drawn.begin(), drawn.end(), candidate) != drawn.end())
            candidate = (candidate + 1) % options.routers;
        drawn.push_back(candidate);
    }
    return drawn;
}

void Quotas::set_cold_servers(const std::vector<ColdServer>& cold, Micros now) {
    for (auto& cold_server : cold) {
        auto found = servers.find(cold_server.id);
        if (found == servers.end() && servers.size() >= max_servers) continue;
        auto& server = servers[cold_server.id];
        if (server.start != cold_server.start || server.grantors.empty()) {
            server = {};
            server.start = cold_server.start;
            server.grantors = grantors_of(cold_server.id, cold_server.start);
            if (std::count(server.grantors.begin(), server.grantors.end(), options.self)) {
                server.own_shares = 1;
                server.allowances.push_back({options.self});
            }
        }
        // The budget only grows: a smaller share could be less than what is already lent of it.
        server.budget = std::max(server.budget, cold_server.budget);
        server.last_listed = now;
    }
    std::erase_if(servers, [&](auto& known) { return now - known.second.last_listed >= restart_wait(); });
}

// ---- available quota

double Quotas::own_share(const Server& server) {
    return server.own_shares * server.budget / static_cast<double>(server.grantors.size());
}

double Quotas::used_work(Allowance& allowance, Micros now) const {
    std::erase_if(allowance.uses, [&](auto& use) { return now - use.at >= use_lifetime(); });
    double sum = 0;
    for (auto& use : allowance.uses) sum += use.work;
    return sum;
}

double Quotas::blocked_work(Server& server, Micros now) {
    std::erase_if(server.granted_leases, [&](auto& lease) { return now >= lease.blocked_until; });
    double sum = 0;
    for (auto& lease : server.granted_leases) sum += lease.amount;
    return sum;
}

double Quotas::remaining(Server& server, Allowance& allowance, Micros now) const {
    if (allowance.grantor != options.self) {
        if (now + clock_margin >= allowance.expires) return 0;
        return allowance.amount - used_work(allowance, now);
    }
    if (now < options.now + restart_wait()) return 0;
    return own_share(server) - used_work(allowance, now) - blocked_work(server, now);
}

double Quotas::available(CacheId id, Micros now) {
    auto found = servers.find(id);
    if (found == servers.end()) return 0;
    auto& server = found->second;
    // The sum of all allowances, as consume() may take one lookup from several.
    double sum = 0;
    for (auto& allowance : server.allowances) sum += std::max(0.0, remaining(server, allowance, now));
    return sum;
}

Micros Quotas::consume(CacheId id, double work, Micros tag, Micros now) {
    auto found = servers.find(id);
    if (found == servers.end() || work <= 0) return now + use_validity;
    auto& server = found->second;
    Micros until = now + use_validity;
    // Leases first, as they expire while the own share stays.
    for (auto allowance = server.allowances.rbegin(); allowance != server.allowances.rend() && work > 0;
         allowance++) {
        auto taken = std::min(work, std::max(0.0, remaining(server, *allowance, now)));
        if (taken <= 0) continue;
        allowance->uses.push_back({now, tag, taken});
        work -= taken;
        if (allowance->grantor != options.self) until = std::min(until, allowance->expires - clock_margin);
    }
    totals.uses++;
    // Work that was sent without a quota still counts against the first allowance.
    if (work > 0 && !server.allowances.empty()) server.allowances.front().uses.push_back({now, tag, work});
    return until;
}

void Quotas::refund(CacheId id, double work, Micros tag, Micros /*now*/) {
    auto found = servers.find(id);
    if (found == servers.end()) return;
    for (auto& allowance : found->second.allowances)
        for (auto& use : allowance.uses) {
            if (use.tag != tag) continue;
            auto refunded = std::min(work, use.work);
            use.work -= refunded;
            work -= refunded;
        }
}

Quotas::Usage Quotas::usage(CacheId id, Micros now) {
    Usage usage;
    auto found = servers.find(id);
    if (found == servers.end()) return usage;
    auto& server = found->second;
    usage.own_share = own_share(server);
    for (auto& allowance : server.allowances)
        if (allowance.grantor == options.self) {
            usage.used += used_work(allowance, now);
        } else if (now + clock_margin < allowance.expires) {
            usage.borrowed += allowance.amount;
            usage.borrowed_used += used_work(allowance, now);
        }
    for (auto& lease : server.granted_leases) {
        usage.borrowers.push_back(lease.borrower);
        if (now < lease.blocked_until)
            (now < lease.blocked_until - use_lifetime() - clock_margin ? usage.lent
                                                                       : usage.blocked_after_end) +=
                lease.amount;
    }
    return usage;
}

void Quotas::fingerprint(std::vector<std::int64_t>& into, Micros now,
                         const std::function<std::int64_t(std::uint32_t)>& renumber) const {
    auto length = [&](Micros time) { into.push_back(time - now); };
    auto amount = [&](double value) { into.push_back(static_cast<std::int64_t>(value)); };
    // Entries that have expired but are not erased yet do not affect behaviour.
    into.push_back(std::max<Micros>(0, options.now + restart_wait() - now));
    for (auto& [id, server] : servers) {
        into.push_back(static_cast<std::int64_t>(id));
        amount(server.budget);
        for (auto& allowance : server.allowances) {
            bool own = allowance.grantor == options.self, usable = own || now < allowance.expires;
            if (!usable && now >= allowance.expires + use_lifetime()) continue;
            into.insert(into.end(), {-1, allowance.grantor, own ? 0 : renumber(allowance.lease_number)});
            amount(allowance.amount);
            if (!own) length(allowance.expires);
            for (auto& use : allowance.uses)
                if (now - use.at < use_lifetime() && use.work > 0) {
                    length(use.at);
                    amount(use.work);
                }
        }
        for (auto& lease : server.granted_leases)
            if (now < lease.blocked_until) {
                into.insert(into.end(), {-2, lease.borrower, static_cast<std::int64_t>(lease.generation),
                                         renumber(lease.lease_number)});
                amount(lease.amount);
                length(lease.blocked_until);
            }
        for (auto& queued : server.queued_asks)
            if (now < queued.expires) {
                into.insert(into.end(), {-3, queued.from, static_cast<std::int64_t>(queued.generation),
                                         renumber(queued.ask.number),
                                         queued.ask.renews ? renumber(queued.ask.renews) : 0});
                length(queued.expires);
            }
        double demand = 0;
        Micros last_miss = 0;
        for (auto& miss : server.unmet_demand)
            if (now - miss.first < options.window) {
                demand += miss.second;
                last_miss = miss.first;
            }
        into.push_back(-4);
        amount(std::min(demand, 2 * server.lookup_work));
        into.push_back(demand > 0 ? last_miss - now : 0);
        bool is_outstanding =
            server.outstanding.grantor >= 0 &&
            now < server.outstanding.sent_at + std::max(options.lease_duration, server.answer_timeout);
        into.insert(into.end(),
                    {is_outstanding ? server.outstanding.grantor : -1,
                     is_outstanding ? renumber(server.outstanding.number) : 0,
                     is_outstanding ? server.outstanding.sent_at - now : 0, server.answer_timeout,
                     server.grantors.size() > 1 ? static_cast<std::int64_t>(server.next_grantor) : 0});
    }
}

// ---- borrower

void Quotas::record_unmet_demand(CacheId id, double work, double lookup_work, Micros now) {
    auto found = servers.find(id);
    if (found == servers.end() || work <= 0) return;
    auto& server = found->second;
    server.lookup_work = lookup_work;
    if (!server.unmet_demand.empty() && now - server.unmet_demand.back().first < options.window / 20)
        server.unmet_demand.back().second += work;
    else
        server.unmet_demand.emplace_back(now, work);
}

double Quotas::recent_demand(Server& server, Micros now) const {
    std::erase_if(server.unmet_demand, [&](auto& miss) { return now - miss.first >= options.window; });
    double sum = 0;
    for (auto& miss : server.unmet_demand) sum += miss.second;
    return sum;
}

// Decides whether to ask now, and whom. An ask is due where lookups of the last window found no quota. A
// lease of which at least half is in use is renewed in the last third of its duration.
void Quotas::plan_ask(CacheId /*id*/, Server& server, Micros now) {
    server.ask_due = false;
    server.renewal_grantor = -1;
    std::erase_if(server.allowances, [&](auto& allowance) {
        return allowance.grantor != options.self && now >= allowance.expires + use_lifetime();
    });
    auto demand = recent_demand(server, now);
    if (demand <= 0 || server.lookup_work <= 0) return;
    if (server.outstanding.grantor >= 0 && now < server.outstanding.sent_at + server.answer_timeout) return;
    for (auto& allowance : server.allowances)
        if (allowance.grantor != options.self && now < allowance.expires - clock_margin &&
            now >= allowance.expires - options.lease_duration / 3 &&
            used_work(allowance, now) * 2 >= allowance.amount) {
            server.renewal_grantor = allowance.grantor;
            server.ask_due = true;
            return;
        }
    server.ask_due = demand >= server.lookup_work;
}

// Renews a running lease of that grantor, with the additional amount that is wanted, or asks for a new lease.
Ask Quotas::make_ask(CacheId id, Server& server, RouterIndex grantor, Micros now) {
    if (++last_ask_number == 0) last_ask_number = 1;
    Ask ask{id, static_cast<std::uint32_t>(server.start), last_ask_number, 0, server.lookup_work, 0};
    auto additional = std::max(server.lookup_work, recent_demand(server, now) * demand_share_asked);
    ask.amount = additional;
    for (auto& allowance : server.allowances)
        if (allowance.grantor == grantor && now < allowance.expires - clock_margin) {
            ask.renews = allowance.lease_number;
            ask.amount = allowance.amount + additional;
        }
    server.answer_timeout = server.outstanding.grantor >= 0 && !ask.renews
                                ? std::min(2 * server.answer_timeout, max_answer_timeout)
                                : initial_answer_timeout;
    server.outstanding = {ask.number, grantor, now, ask.amount, ask.renews};
    totals.asks_sent++;
    return ask;
}

void Quotas::handle_grant(RouterIndex from, const Grant& grant, Micros now) {
    auto found = servers.find(grant.server);
    if (found == servers.end()) return;
    auto& server = found->second;
    auto& outstanding = server.outstanding;
    bool expected = outstanding.grantor == from && outstanding.number == grant.number;
    if (!expected) {
        totals.messages_refused++;
        return;
    }
    if (std::find(server.grantors.begin(), server.grantors.end(), from) == server.grantors.end()) return;
    auto amount = grant.amount;
    // Capped at what was asked for, and at the share of a grantor.
    auto max_amount = std::min(expected ? outstanding.amount : 1e18,
                               server.budget / static_cast<double>(server.grantors.size()));
    if (amount > max_amount * 1.001) {
        totals.amounts_capped++;
        amount = max_amount;
    }
    auto sent_at = expected ? outstanding.sent_at : now;
    outstanding.grantor = -1;
    if (now + clock_margin >= sent_at + options.lease_duration) return;
    totals.leases_received++;
    auto lease_number = expected && outstanding.renews ? outstanding.renews : grant.number;
    auto allowance = std::find_if(server.allowances.begin(), server.allowances.end(), [&](auto& held) {
        return held.grantor == from && held.lease_number == lease_number;
    });
    if (allowance == server.allowances.end()) {
        if (server.allowances.size() >= max_allowances) return;
        server.allowances.push_back({from, lease_number, amount, sent_at + options.lease_duration});
        return;
    }
    // Renewed: the grantor keeps the lease blocked, and blocked the additional amount before it answered.
    // The maximum guards against a duplicated grant, which would add up.
    allowance->amount = std::max(allowance->amount, amount);
    allowance->expires = std::max(allowance->expires, sent_at + options.lease_duration);
}

// ---- grantor

void Quotas::handle_ask(RouterIndex from, Generation generation, const Ask& ask, Micros now) {
    auto found = servers.find(ask.server);
    if (found == servers.end() || from == options.self) return;
    auto& server = found->second;
    if (server.own_shares == 0 || static_cast<std::uint32_t>(server.start) != ask.start) return;
    if (!(ask.amount > 0) || !(ask.min_amount > 0)) return;
    auto known = std::find_if(server.queued_asks.begin(), server.queued_asks.end(),
                              [&](auto& queued) { return queued.from == from; });
    if (known == server.queued_asks.end() && server.queued_asks.size() >= max_queued_asks) {
        totals.messages_refused++;
        return;
    }
    if (known != server.queued_asks.end() && known->generation == generation &&
        known->ask.number == ask.number)
        return;
    if (known != server.queued_asks.end()) server.queued_asks.erase(known);
    server.queued_asks.push_back({from, generation, ask, now + ask_queue_time});
}

// Renewals first, as they need no free amount; then in order of arrival.
std::vector<Addressed<Grant>> Quotas::issue_grants(Micros now) {
    std::vector<Addressed<Grant>> grants;
    if (now < options.now + restart_wait()) return grants;
    for (auto& [id, server] : servers) {
        std::erase_if(server.queued_asks, [&](auto& queued) { return now >= queued.expires; });
        for (bool renewals : {true, false})
            for (auto queued = server.queued_asks.begin(); queued != server.queued_asks.end();) {
                auto granted =
                    (queued->ask.renews != 0) == renewals ? try_grant(server, *queued, now) : std::nullopt;
                if (granted) grants.push_back({queued->from, *granted});
                queued = granted ? server.queued_asks.erase(queued) : std::next(queued);
            }
    }
    return grants;
}

std::optional<Grant> Quotas::try_grant(Server& server, const QueuedAsk& queued, Micros now) {
    auto& ask = queued.ask;
    auto end = now + options.lease_duration + use_lifetime() + clock_margin;
    auto free = std::max(0.0, remaining(server, server.allowances.front(), now));  // erases expired leases
    auto running = std::find_if(server.granted_leases.begin(), server.granted_leases.end(), [&](auto& lease) {
        return lease.borrower == queued.from && lease.generation == queued.generation &&
               lease.lease_number == ask.renews;
    });
    // In whole lookups, so that no amount is blocked that nobody can use.
    auto max_amount = std::max(ask.min_amount, max_share_per_lease * own_share(server));
    auto whole_lookups = [&](double amount) {
        return std::floor(amount / ask.min_amount + 1e-6) * ask.min_amount;
    };
    if (ask.renews) {
        // An expired lease is not renewed; its borrower has to ask for a new one.
        if (running == server.granted_leases.end() ||
            now >= running->blocked_until - use_lifetime() - clock_margin)
            return {};
        running->amount +=
            whole_lookups(std::clamp(std::min(ask.amount, max_amount) - running->amount, 0.0, free));
        running->blocked_until = end;
        totals.leases_renewed++;
        return Grant{ask.server, ask.number, running->amount};
    }
    std::size_t total_leases = 0;
    for (auto& [id, other] : servers) total_leases += other.granted_leases.size();
    if (total_leases >= max_leases) return {};
    auto amount = whole_lookups(std::min({ask.amount, max_amount, free}));
    if (amount < ask.min_amount * 0.999) return {};
    server.granted_leases.push_back({queued.from, queued.generation, ask.number, amount, end});
    totals.leases_granted++;
    return Grant{ask.server, ask.number, amount};
}

}  // namespace quillgrade::shared
