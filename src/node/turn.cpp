#include "node/turn.hpp"

#include <algorithm>

#include "http/request.hpp"
#include "log/log.hpp"

namespace quillgrade::node {

Turn::Turn(const launch::Launch& launch, event_base* base, Gathered& gathered, Front& front, Pool& pool)
    : base(base),
      terms(launch.terms),
      facts(launch.facts),
      launch(launch),
      gathered(gathered),
      front(front),
      pool(pool),
      router(launch.facts, launch.seed),
      upkeep(base, [this] { this->gathered.emplace_back(TendDue{}); }) {}

void Turn::share(shared::Exchange* with) {
    exchange = with;
    router.parent_cold = exchange ? exchange->parent_cold() : facts.parent_cold;
}

void Turn::take(Gathered batch, Micros reading) {
    now = reading;
    until.clear();
    if (exchange) look_up_quotas();
    for (auto& value : batch) std::visit([this](auto& known) { tell(known); }, value);
    if (exchange) settle_quotas();
    for (auto& one : answers) carry_out(one);
    answers.clear();
    for (auto cache : probes)
        pool.send(cache, {.lookup = 0, .round = -1, .sent = now, .limit = now + terms.connect_time});
    probes.clear();
    pool.write([this](CacheId cache, const Attempt& attempt) { return still_wanted(cache, attempt); });
}

void Turn::tell(Arrived& arrived) {
    auto& facts = arrived.lookup.facts;
    if (open.contains(facts.id) || router.find(facts.id)) {  // ids are new with every lookup
        log::warning("lookup broken off: its id is in use");
        front.answer(arrived.caller, thrift::broken_off(arrived.caller.seq));
        return;
    }
    facts.due = arrived.at + arrived.lookup.wait;
    if (routes) narrow(arrived, facts);
    if (leave_by) facts.due = std::min(facts.due, *leave_by);
    facts.write = router.traffic[facts.traffic].write;
    if (exchange && facts.part == 0 && !facts.write)
        facts.elsewhere = exchange->count_request(facts.object, {now, steady});
    auto id = facts.id;
    open.try_emplace(id, arrived.caller, facts, arrived.lookup, now, base,
                     [this, id] { gathered.emplace_back(LookDue{id}); });
    made({id, router.take(facts, now).place(now), {}});
}

void Turn::tell(Left& left) {
    auto found = open.find(left.lookup);
    if (found == open.end() || found->second.caller != left.caller) return;
    found->second.answered = true;
    // One that has left early says nothing; one that has waited long was not served.
    if (auto& lookup = found->second; now - lookup.taken > lookup.facts.due - now) count(true);
    auto handle = router.find(left.lookup);
    made({left.lookup, handle ? handle->left() : Answer{}, {}, true});
}

void Turn::tell(Landed& landed) {
    auto handle = router.find(landed.lookup);
    if (!handle) return;
    auto found = open.find(landed.lookup);
    auto& reply = landed.reply;
    // The client's copy holds: only a client that has one can be told so, and only of the copy that was
    // named.
    if (reply.status == 304 &&
        (found == open.end() || found->second.have.empty() || found->second.have != reply.tag))
        landed.outcome = Outcome::Error;
    bool owed = found != open.end() && !found->second.answered;
    bool handles = owed && landed.outcome == Outcome::Ok;
    if (handles) found->second.answered = true;
    AttemptEnd end{landed.outcome, now - landed.sent, reply.waited, landed.round,
                   reply.note,     !owed || handles,  landed.cache, reply.load};
    auto answer = handle->ended(end, now);
    made({landed.lookup, std::move(answer), handles ? std::optional(std::move(reply)) : std::nullopt});
}

void Turn::tell(Probed& probed) {
    router.probed(probed.cache, probed.outcome, now - probed.sent, probed.load, now);
}

void Turn::tell(feed::Event& event) {
    if (auto* listing = std::get_if<feed::Listing>(&event.what)) {
        std::vector<ListEntry> entries;
        for (auto& endpoint : listing->caches) entries.push_back(endpoint.entry);
        pool.list(*listing);
        if (routes) routes->list(*listing);
        // A right is there from the first moment on.
        if (exchange) settle_quotas();
        router.list(entries, listing->complete, now);
        if (exchange) look_up_quotas();
    } else if (auto* purge = std::get_if<feed::PurgeNotice>(&event.what)) {
        router.purged(purge->object, purge->group, std::max<Micros>(0, now - purge->at), now);
    }
}

void Turn::tell(LookDue& due) {
    auto found = open.find(due.lookup);
    if (found == open.end() || found->second.answered) return;
    found->second.look_at = 0;
    if (auto handle = router.find(due.lookup)) made({due.lookup, handle->look(now), {}});
}

void Turn::tell(TendDue& /*due*/) { tend(now); }

// A version may narrow what the settings allow, and was checked for that.
void Turn::tell(version::Amounts& amounts) {
    router.transmissions_cap = amounts.attempts.value_or(facts.transmissions_cap);
    router.second_copies = amounts.second_copies.value_or(facts.second_copies);
    router.most_retry_after =
        facts.retry_after ? amounts.max_retry_after.value_or(facts.most_retry_after) : Micros{0};
}

void Turn::tell(std::shared_ptr<const route::RuleSet>& rules) {
    if (!routes && !rules) return;
    if (!routes) {
        routes.emplace(launch.rule_site());
        feed::Listing all{.complete = true, .caches = pool.listed()};
        routes->list(all);
    }
    routes->put_in_force(std::move(rules));
    wanted.clear();
    for (auto& field : routes->named()) wanted.push_back({field.name, field.longest});
    front.want(wanted.empty() ? nullptr : &wanted);
}

void Turn::narrow(const Arrived& arrived, LookupFacts& facts) {
    route::Told told;
    told.traffic = facts.traffic;
    told.object = facts.object;
    told.part = facts.part;
    told.group = facts.group;
    told.bytes = static_cast<std::int64_t>(std::min(facts.kbytes, 1e12) * 1000);
    told.remaining = facts.due - now;
    told.now = now;
    told.retry = facts.repeat;
    told.client = arrived.address;
    for (auto& [name, value] : arrived.lookup.named) told.named.emplace_back(name, value);
    routes->narrow(told, facts, arrived.at);
}

void Turn::count(bool bad) {
    ends.completed++;
    ends.unsuccessful += bad;
}

// What all routers together may send to servers that have just started, as far as it is this one's now.
void Turn::look_up_quotas() {
    steady = Clock::steady();
    for (auto id : lent)
        if (auto* server = find_server(router, id)) server->right = -1;
    lent = exchange->cold_servers();
    for (auto id : lent)
        if (auto* server = find_server(router, id))
            server->right = exchange->available_quota(id, {now, steady});
    router.heard = exchange->alive_routers_in_zone();
}

// What the module has used of it in this turn, and what it would have used.
void Turn::settle_quotas() {
    shared::ClockReadings times{now, steady};
    for (auto id : lent) {
        auto* server = find_server(router, id);
        if (!server || server->right < 0) continue;
        double used = exchange->available_quota(id, times) - server->right;
        if (used > 0) {
            auto good = exchange->consume(id, used, now, times);
            auto [known, first] = until.emplace(id, good);
            if (!first) known->second = std::min(known->second, good);
        }
        exchange->record_unmet_demand(id, std::exchange(server->wanted, 0) - std::max(0.0, used),
                                      server->wanted_once, times);
        for (auto& one : server->returned) exchange->refund(id, one.value, one.at, times);
        server->returned.clear();
    }
}

Micros Turn::good_until(const Transmission& order) const {
    Micros good = 0;
    for (auto id : {order.cache, order.source})
        if (auto found = until.find(id); found != until.end())
            good = good == 0 ? found->second : std::min(good, found->second);
    return good;
}

// What others say of servers goes to the module, and what it holds against them goes to others.
void Turn::weigh_opinions() {
    for (auto id : spoken_of)
        if (auto* server = find_server(router, id)) server->hearsay = {};
    spoken_of = exchange->reported_servers();
    for (auto id : spoken_of)
        if (auto* server = find_server(router, id))
            server->hearsay = exchange->peer_health(id, server->started, {now, steady});
    if (tends++ % 3 == 0) exchange->report_health(router.witnessed(now), router.measured(now), {now, steady});
}

void Turn::tend(Micros reading) {
    now = reading;
    if (exchange) weigh_opinions();
    auto answer = router.tend(now);
    probes.insert(probes.end(), answer.probe.begin(), answer.probe.end());
    for (auto& line : answer.log) log::info("{}", line);
    if (answer.look_in > 0) upkeep.set(answer.look_in);
}

void Turn::made(Made one) {
    if (auto found = open.find(one.lookup); found != open.end() && one.answer.final != Final::None)
        found->second.answered = true;
    answers.push_back(std::move(one));
}

void Turn::carry_out(Made& made) {
    auto& answer = made.answer;
    for (int round : answer.withdraw) pool.give_up(made.lookup, round);
    auto found = open.find(made.lookup);
    if (found == open.end()) return;
    auto& lookup = found->second;
    auto seq = lookup.caller.seq;
    if (answer.send) send(lookup, *answer.send);
    if (answer.look_in > 0 && (lookup.look_at == 0 || now + answer.look_in < lookup.look_at)) {
        lookup.look_at = now + answer.look_in;
        lookup.look.set(answer.look_in);
    }
    if (made.handled || answer.final != Final::None) count(!made.handled);
    if (made.handled)
        front.answer(lookup.caller, thrift::handled(seq, made.handled->body, made.handled->status == 304));
    else if (answer.final == Final::Rejected)
        front.answer(lookup.caller, thrift::rejected(seq, answer.come_back));
    else if (answer.final == Final::BrokenOff)
        front.answer(lookup.caller, thrift::broken_off(seq));
    else if (!made.left)  // the final answer, if there is one by now, comes later in this turn
        return;
    open.erase(found);
}

void Turn::send(Open& lookup, const Transmission& order) {
    Micros limit = lookup.facts.due;
    if (order.limit > 0) limit = std::min(limit, now + order.limit);
    auto round = static_cast<int>(lookup.orders.size());
    lookup.orders.push_back(order);
    if (lookup.answered) {  // its final answer comes later in this turn: nothing is sent any more
        gathered.emplace_back(Landed{lookup.facts.id, round, order.cache, Outcome::Moot, now, {}});
        return;
    }
    pool.send(order.cache, {lookup.facts.id, round, now, limit, good_until(order)});
}

// What was decided earlier, maybe long ago, is about to be written: all that has been told since is heeded.
Pool::Word Turn::still_wanted(CacheId cache, const Attempt& attempt) {
    if (attempt.round < 0) {
        auto* server = find_server(router, cache);
        if (!server || server->listed != Listed::Ready) return {};
        return http::probe();
    }
    auto found = open.find(attempt.lookup);
    auto handle = router.find(attempt.lookup);
    if (found == open.end() || found->second.answered || !handle) return {};
    auto& lookup = found->second;
    auto client = front.presence(lookup.caller);
    if (client == Client::Presence::Gone) return {};
    if (client == Client::Presence::Speaking && now < attempt.limit) return Pool::Later{};
    if (!handle->confirm(attempt.round, lookup.orders[attempt.round], now)) return {};
    return http::transmission(lookup.facts, lookup.orders[attempt.round], terms.traffic[lookup.facts.traffic],
                              {lookup.have, lookup.ticket, lookup.body});
}

void Turn::break_off_all() {
    for (auto& [id, lookup] : open) {
        if (auto handle = router.find(id))
            for (int round : handle->left().withdraw) pool.give_up(id, round);
        front.answer(lookup.caller, thrift::broken_off(lookup.caller.seq));
    }
    open.clear();
}

}  // namespace quillgrade::node
