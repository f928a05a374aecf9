#include "shared/quotas.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <iterator>

namespace quillgrade::shared {

namespace {

constexpr std::size_t most_pots = 16;
// Of what was missed: where lookups come by chance, what is held is used up only if more is looked for than
// that, and where there is enough the rest is asked for next time.
constexpr double share_asked_for = 0.4;
constexpr double most_of_part = 0.5;  // what one lease may take of an owner's part, if more than one lookup

}  // namespace

Quotas::Quotas(const QuotaOptions& terms) : terms(terms), number(terms.seed * 2654435761U) {}

// Drawn by hash, so that servers of one kind that start together have different ones; where there are as many
// owners as routers each always has its own part.
std::vector<RouterIndex> Quotas::grantors_of(CacheId server, std::uint64_t start) const {
    auto count = std::min(terms.grantors, terms.routers);
    std::vector<RouterIndex> drawn;
    for (int i = 0; i < count; i++) {
        const std::array<std::uint64_t, 3> words = {server, start, static_cast<std::uint64_t>(i)};
        auto one = static_cast<RouterIndex>(XXH64(words.data(), sizeof words, 0) %
                                            static_cast<std::uint64_t>(terms.routers));
        while (std::find(drawn.begin(), drawn.end(), one) != drawn.end()) one = (one + 1) % terms.routers;
        drawn.push_back(one);
    }
    return drawn;
}

void Quotas::set_cold_servers(const std::vector<ColdServer>& cold, Micros now) {
    for (auto& told : cold) {
        auto found = servers.find(told.id);
        if (found == servers.end() && servers.size() >= max_servers) continue;
        auto& server = servers[told.id];
        if (server.start != told.start || server.owners.empty()) {
            server = {};
            server.start = told.start;
            server.owners = grantors_of(told.id, told.start);
            if (std::count(server.owners.begin(), server.owners.end(), terms.self)) {
                server.parts = 1;
                server.pots.push_back({terms.self});
            }
        }
        // A part that fell would leave leases over it: it only grows.
        server.whole = std::max(server.whole, told.budget);
        server.listed = now;
    }
    std::erase_if(servers, [&](auto& known) { return now - known.second.listed >= restart_wait(); });
}

// ---- what may be used

double Quotas::part(const Server& server) {
    return server.parts * server.whole / static_cast<double>(server.owners.size());
}

double Quotas::used(Pot& pot, Micros now) const {
    std::erase_if(pot.uses, [&](auto& use) { return now - use.at >= use_lifetime(); });
    double sum = 0;
    for (auto& use : pot.uses) sum += use.work;
    return sum;
}

double Quotas::blocked(Server& server, Micros now) {
    std::erase_if(server.lent, [&](auto& lent) { return now >= lent.until; });
    double sum = 0;
    for (auto& lent : server.lent) sum += lent.amount;
    return sum;
}

double Quotas::left(Server& server, Pot& pot, Micros now) const {
    if (pot.owner != terms.self) {
        if (now + margin >= pot.until) return 0;
        return pot.amount - used(pot, now);
    }
    if (now < terms.now + restart_wait()) return 0;
    return part(server) - used(pot, now) - blocked(server, now);
}

double Quotas::available(CacheId id, Micros now) {
    auto found = servers.find(id);
    if (found == servers.end()) return 0;
    auto& server = found->second;
    // Pots are not added up: one lookup comes out of one.
    double sum = 0;
    for (auto& pot : server.pots) sum += std::max(0.0, left(server, pot, now));
    return sum;
}

Micros Quotas::consume(CacheId id, double work, Micros tag, Micros now) {
    auto found = servers.find(id);
    if (found == servers.end() || work <= 0) return now + use_validity;
    auto& server = found->second;
    Micros until = now + use_validity;
    // Loans first: they end, the own part stays.
    for (auto pot = server.pots.rbegin(); pot != server.pots.rend() && work > 0; pot++) {
        auto from_it = std::min(work, std::max(0.0, left(server, *pot, now)));
        if (from_it <= 0) continue;
        pot->uses.push_back({now, tag, from_it});
        work -= from_it;
        if (pot->owner != terms.self) until = std::min(until, pot->until - margin);
    }
    seen.uses++;
    // What was sent without a right is still counted where it can be.
    if (work > 0 && !server.pots.empty()) server.pots.front().uses.push_back({now, tag, work});
    return until;
}

void Quotas::refund(CacheId id, double work, Micros tag, Micros /*now*/) {
    auto found = servers.find(id);
    if (found == servers.end()) return;
    for (auto& pot : found->second.pots)
        for (auto& use : pot.uses) {
            if (use.tag != tag) continue;
            auto back = std::min(work, use.work);
            use.work -= back;
            work -= back;
        }
}

Quotas::Usage Quotas::usage(CacheId id, Micros now) {
    Usage usage;
    auto found = servers.find(id);
    if (found == servers.end()) return usage;
    auto& server = found->second;
    usage.part = part(server);
    for (auto& pot : server.pots)
        if (pot.owner == terms.self) {
            usage.used += used(pot, now);
        } else if (now + margin < pot.until) {
            usage.borrowed += pot.amount;
            usage.borrowed_used += used(pot, now);
        }
    for (auto& lent : server.lent) {
        usage.borrowers.push_back(lent.to);
        if (now < lent.until)
            (now < lent.until - use_lifetime() - margin ? usage.lent : usage.ending) += lent.amount;
    }
    return usage;
}

void Quotas::fingerprint(std::vector<std::int64_t>& into, Micros now,
                         const std::function<std::int64_t(std::uint32_t)>& renumber) const {
    auto length = [&](Micros time) { into.push_back(time - now); };
    auto amount = [&](double value) { into.push_back(static_cast<std::int64_t>(value)); };
    // What is over and only not erased yet decides nothing.
    into.push_back(std::max<Micros>(0, terms.now + restart_wait() - now));
    for (auto& [id, server] : servers) {
        into.push_back(static_cast<std::int64_t>(id));
        amount(server.whole);
        for (auto& pot : server.pots) {
            bool own = pot.owner == terms.self, runs = own || now < pot.until;
            if (!runs && now >= pot.until + use_lifetime()) continue;
            into.insert(into.end(), {-1, pot.owner, own ? 0 : renumber(pot.lease)});
            amount(pot.amount);
            if (!own) length(pot.until);
            for (auto& use : pot.uses)
                if (now - use.at < use_lifetime() && use.work > 0) {
                    length(use.at);
                    amount(use.work);
                }
        }
        for (auto& lent : server.lent)
            if (now < lent.until) {
                into.insert(into.end(),
                            {-2, lent.to, static_cast<std::int64_t>(lent.life), renumber(lent.lease)});
                amount(lent.amount);
                length(lent.until);
            }
        for (auto& one : server.waiting)
            if (now < one.until) {
                into.insert(into.end(),
                            {-3, one.from, static_cast<std::int64_t>(one.life), renumber(one.ask.number),
                             one.ask.renews ? renumber(one.ask.renews) : 0});
                length(one.until);
            }
        double wished = 0;
        Micros last = 0;
        for (auto& wish : server.wishes)
            if (now - wish.first < terms.window) {
                wished += wish.second;
                last = wish.first;
            }
        into.push_back(-4);
        amount(std::min(wished, 2 * server.usual));
        into.push_back(wished > 0 ? last - now : 0);
        bool open =
            server.open.owner >= 0 && now < server.open.asked + std::max(terms.lease_duration, server.wait);
        into.insert(into.end(), {open ? server.open.owner : -1, open ? renumber(server.open.number) : 0,
                                 open ? server.open.asked - now : 0, server.wait,
                                 server.owners.size() > 1 ? static_cast<std::int64_t>(server.turn) : 0});
    }
}

// ---- the borrower's side

void Quotas::record_unmet_demand(CacheId id, double work, double usual, Micros now) {
    auto found = servers.find(id);
    if (found == servers.end() || work <= 0) return;
    auto& server = found->second;
    server.usual = usual;
    if (!server.wishes.empty() && now - server.wishes.back().first < terms.window / 20)
        server.wishes.back().second += work;
    else
        server.wishes.emplace_back(now, work);
}

double Quotas::wish(Server& server, Micros now) const {
    std::erase_if(server.wishes, [&](auto& one) { return now - one.first >= terms.window; });
    double sum = 0;
    for (auto& one : server.wishes) sum += one.second;
    return sum;
}

// Whether to ask now, and whom: where lookups of the last window found no right. A lease that was used for
// more than half is renewed in the last third of its time.
void Quotas::plan(CacheId /*id*/, Server& server, Micros now) {
    server.due = false;
    server.renewing = -1;
    std::erase_if(server.pots,
                  [&](auto& pot) { return pot.owner != terms.self && now >= pot.until + use_lifetime(); });
    auto wished = wish(server, now);
    if (wished <= 0 || server.usual <= 0) return;
    if (server.open.owner >= 0 && now < server.open.asked + server.wait) return;
    for (auto& pot : server.pots)
        if (pot.owner != terms.self && now < pot.until - margin &&
            now >= pot.until - terms.lease_duration / 3 && used(pot, now) * 2 >= pot.amount) {
            server.renewing = pot.owner;
            server.due = true;
            return;
        }
    server.due = wished >= server.usual;
}

// A lease of that owner that runs goes on, for more if more is wanted.
Ask Quotas::sent(CacheId id, Server& server, RouterIndex owner, Micros now) {
    if (++number == 0) number = 1;
    Ask ask{id, static_cast<std::uint32_t>(server.start), number, 0, server.usual, 0};
    auto more = std::max(server.usual, wish(server, now) * share_asked_for);
    ask.amount = more;
    for (auto& pot : server.pots)
        if (pot.owner == owner && now < pot.until - margin) {
            ask.renews = pot.lease;
            ask.amount = pot.amount + more;
        }
    server.wait =
        server.open.owner >= 0 && !ask.renews ? std::min(2 * server.wait, longest_wait) : answer_wait;
    server.open = {ask.number, owner, now, ask.amount, ask.renews};
    seen.asks_sent++;
    return ask;
}

void Quotas::handle_grant(RouterIndex from, const Grant& grant, Micros now) {
    auto found = servers.find(grant.server);
    if (found == servers.end()) return;
    auto& server = found->second;
    auto& open = server.open;
    bool ours = open.owner == from && open.number == grant.number;
    if (!ours) {
        seen.messages_refused++;
        return;
    }
    if (std::find(server.owners.begin(), server.owners.end(), from) == server.owners.end()) return;
    auto amount = grant.amount;
    // Nobody is given more than it asked for, nor more than the owner has.
    auto bound =
        std::min(ours ? open.amount : 1e18, server.whole / static_cast<double>(server.owners.size()));
    if (amount > bound * 1.001) {
        seen.amounts_capped++;
        amount = bound;
    }
    auto asked = ours ? open.asked : now;
    open.owner = -1;
    if (now + margin >= asked + terms.lease_duration) return;
    seen.leases_received++;
    auto lease = ours && open.renews ? open.renews : grant.number;
    auto pot = std::find_if(server.pots.begin(), server.pots.end(),
                            [&](auto& one) { return one.owner == from && one.lease == lease; });
    if (pot == server.pots.end()) {
        if (server.pots.size() >= most_pots) return;
        server.pots.push_back({from, lease, amount, asked + terms.lease_duration});
        return;
    }
    // Renewed: the owner blocks it on, and blocked what it was raised by before it said so. Without that
    // guard what comes twice adds up.
    pot->amount = std::max(pot->amount, amount);
    pot->until = std::max(pot->until, asked + terms.lease_duration);
}

// ---- the owner's side

void Quotas::handle_ask(RouterIndex from, Generation life, const Ask& ask, Micros now) {
    auto found = servers.find(ask.server);
    if (found == servers.end() || from == terms.self) return;
    auto& server = found->second;
    if (server.parts == 0 || static_cast<std::uint32_t>(server.start) != ask.start) return;
    if (!(ask.amount > 0) || !(ask.min_amount > 0)) return;
    auto known = std::find_if(server.waiting.begin(), server.waiting.end(),
                              [&](auto& one) { return one.from == from; });
    if (known == server.waiting.end() && server.waiting.size() >= most_waiting) {
        seen.messages_refused++;
        return;
    }
    if (known != server.waiting.end() && known->life == life && known->ask.number == ask.number) return;
    if (known != server.waiting.end()) server.waiting.erase(known);
    server.waiting.push_back({from, life, ask, now + kept_waiting});
}

// Renewals first, as they want nothing that is free; then who has waited longest.
std::vector<Addressed<Grant>> Quotas::issue_grants(Micros now) {
    std::vector<Addressed<Grant>> out;
    if (now < terms.now + restart_wait()) return out;
    for (auto& [id, server] : servers) {
        std::erase_if(server.waiting, [&](auto& one) { return now >= one.until; });
        for (bool renewals : {true, false})
            for (auto one = server.waiting.begin(); one != server.waiting.end();) {
                auto given = (one->ask.renews != 0) == renewals ? grant(server, *one, now) : std::nullopt;
                if (given) out.push_back({one->from, *given});
                one = given ? server.waiting.erase(one) : std::next(one);
            }
    }
    return out;
}

std::optional<Grant> Quotas::grant(Server& server, const Waiting& to, Micros now) {
    auto& ask = to.ask;
    auto end = now + terms.lease_duration + use_lifetime() + margin;
    auto free = std::max(0.0, left(server, server.pots.front(), now));  // forgets what is over
    auto running = std::find_if(server.lent.begin(), server.lent.end(), [&](auto& one) {
        return one.to == to.from && one.life == to.life && one.lease == ask.renews;
    });
    // In whole lookups, so that nothing is blocked that nobody can use.
    auto most = std::max(ask.min_amount, most_of_part * part(server));
    auto whole = [&](double amount) { return std::floor(amount / ask.min_amount + 1e-6) * ask.min_amount; };
    if (ask.renews) {
        // One that is over is not renewed, but asked for anew.
        if (running == server.lent.end() || now >= running->until - use_lifetime() - margin) return {};
        running->amount += whole(std::clamp(std::min(ask.amount, most) - running->amount, 0.0, free));
        running->until = end;
        seen.leases_renewed++;
        return Grant{ask.server, ask.number, running->amount};
    }
    std::size_t all = 0;
    for (auto& [id, one] : servers) all += one.lent.size();
    if (all >= max_leases) return {};
    auto amount = whole(std::min({ask.amount, most, free}));
    if (amount < ask.min_amount * 0.999) return {};
    server.lent.push_back({to.from, to.life, ask.number, amount, end});
    seen.leases_granted++;
    return Grant{ask.server, ask.number, amount};
}

}  // namespace quillgrade::shared
