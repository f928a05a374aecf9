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
    router.parent_cold_period = exchange ? exchange->parent_cold() : facts.parent_cold_period;
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
    if (open.contains(facts.id) || router.find_lookup(facts.id)) {  // ids are new with every lookup
        log::warning("lookup broken off: its id is in use");
        front.answer(arrived.caller, thrift::broken_off(arrived.caller.seq));
        return;
    }
    if (arrived.no_room) {
        reject_for_memory(arrived.caller);
        return;
    }
    facts.deadline = arrived.at + arrived.lookup.wait;
    if (routes) narrow(arrived, facts);
    if (leave_by) facts.deadline = std::min(facts.deadline, *leave_by);
    facts.write = router.traffic_types[facts.traffic].write;
    if (exchange && facts.part == 0 && !facts.write)
        facts.lookups_elsewhere = exchange->count_lookup(facts.object, {now, steady});
    auto id = facts.id;
    open.try_emplace(id, facts, arrived, now, base, [this, id] { gathered.emplace_back(LookDue{id}); });
    made({id, router.add_lookup(facts, now).first_attempt(now), {}});
}

void Turn::tell(Discarded& discarded) { reject_for_memory(discarded.caller); }

// Nothing was sent for it, so asking again is harmless.
void Turn::reject_for_memory(const Caller& caller) {
    log::warning("lookup rejected: memory for requests is full");
    count(true);
    front.answer(caller, thrift::rejected(caller.seq, router.max_retry_after));
}

void Turn::tell(Left& left) {
    auto found = open.find(left.lookup);
    if (found == open.end() || found->second.caller != left.caller) return;
    found->second.answered = true;
    // One that has left early says nothing; one that has waited long was not served.
    if (auto& lookup = found->second; now - lookup.taken > lookup.facts.deadline - now) count(true);
    auto handle = router.find_lookup(left.lookup);
    made({left.lookup, handle ? handle->client_left() : RoutingDecision{}, {}, true});
}

void Turn::tell(Landed& landed) {
    auto handle = router.find_lookup(landed.lookup);
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
    // What the router did not read for want of memory was not the cache's time.
    AttemptResult end{landed.outcome, now - landed.sent - landed.held_back,
                      reply.waited,   landed.round,
                      reply.note,     !owed || handles,
                      landed.cache,   reply.load};
    auto answer = handle->attempt_ended(end, now);
    made({landed.lookup, std::move(answer), handles ? std::optional(std::move(reply)) : std::nullopt, false,
          std::move(landed.charge)});
}

void Turn::tell(Probed& probed) {
    router.probe_ended(probed.cache, probed.outcome, now - probed.sent, probed.load, now);
}

void Turn::tell(feed::Event& event) {
    if (auto* listing = std::get_if<feed::Listing>(&event.what)) {
        std::vector<EndpointEntry> entries;
        for (auto& endpoint : listing->caches) entries.push_back(endpoint.entry);
        pool.list(*listing);
        if (routes) routes->list(*listing);
        // A right is there from the first moment on.
        if (exchange) settle_quotas();
        router.update_endpoints(entries, listing->complete, now);
        if (exchange) look_up_quotas();
    } else if (auto* purge = std::get_if<feed::PurgeNotice>(&event.what)) {
        router.record_purge(purge->object, purge->group, std::max<Micros>(0, now - purge->at), now);
    }
}

void Turn::tell(LookDue& due) {
    auto found = open.find(due.lookup);
    if (found == open.end() || found->second.answered) return;
    found->second.look_at = 0;
    if (auto handle = router.find_lookup(due.lookup)) made({due.lookup, handle->check(now), {}});
}

void Turn::tell(TendDue& /*due*/) { tend(now); }

// A version may narrow what the settings allow, and was checked for that.
void Turn::tell(version::Amounts& amounts) {
    router.max_attempts = amounts.attempts.value_or(facts.max_attempts);
    router.hedging = amounts.second_copies.value_or(facts.hedging);
    router.max_retry_after =
        facts.retry_after ? amounts.max_retry_after.value_or(facts.max_retry_after) : Micros{0};
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

void Turn::narrow(const Arrived& arrived, LookupInfo& facts) {
    route::Told told;
    told.traffic = facts.traffic;
    told.object = facts.object;
    told.part = facts.part;
    told.group = facts.group;
    told.bytes = static_cast<std::int64_t>(std::min(facts.kbytes, 1e12) * 1000);
    told.remaining = facts.deadline - now;
    told.now = now;
    told.retry = facts.retry;
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
        if (auto* server = find_server(router, id)) server->quota = -1;
    lent = exchange->cold_servers();
    for (auto id : lent)
        if (auto* server = find_server(router, id))
            server->quota = exchange->available_quota(id, {now, steady});
    router.counting_routers = exchange->alive_routers_in_zone();
}

// What the module has used of it in this turn, and what it would have used.
void Turn::settle_quotas() {
    shared::ClockReadings times{now, steady};
    for (auto id : lent) {
        auto* server = find_server(router, id);
        if (!server || server->quota < 0) continue;
        double used = exchange->available_quota(id, times) - server->quota;
        if (used > 0) {
            auto good = exchange->consume(id, used, now, times);
            auto [known, first] = until.emplace(id, good);
            if (!first) known->second = std::min(known->second, good);
        }
        exchange->record_unmet_demand(id, std::exchange(server->quota_demand, 0) - std::max(0.0, used),
                                      server->quota_demand_per_lookup, times);
        for (auto& one : server->returned_quota) exchange->refund(id, one.value, one.at, times);
        server->returned_quota.clear();
    }
}

Micros Turn::good_until(const AttemptPlan& order) const {
    Micros good = 0;
    for (auto id : {order.cache, order.upstream})
        if (auto found = until.find(id); found != until.end())
            good = good == 0 ? found->second : std::min(good, found->second);
    return good;
}

// What others say of servers goes to the module, and what it holds against them goes to others.
void Turn::weigh_opinions() {
    for (auto id : spoken_of)
        if (auto* server = find_server(router, id)) server->peer_report = {};
    spoken_of = exchange->reported_servers();
    for (auto id : spoken_of)
        if (auto* server = find_server(router, id))
            server->peer_report = exchange->peer_health(id, server->started_at, {now, steady});
    if (tends++ % 3 == 0)
        exchange->report_health(router.health_reports(now), router.measured_servers(now), {now, steady});
}

void Turn::tend(Micros reading) {
    now = reading;
    if (exchange) weigh_opinions();
    auto answer = router.run_maintenance(now);
    probes.insert(probes.end(), answer.probe.begin(), answer.probe.end());
    for (auto& line : answer.log) log::info("{}", line);
    if (answer.next_check > 0) upkeep.set(answer.next_check);
}

void Turn::made(Made one) {
    if (auto found = open.find(one.lookup);
        found != open.end() && one.answer.final_result != FinalResult::None)
        found->second.answered = true;
    answers.push_back(std::move(one));
}

void Turn::carry_out(Made& made) {
    auto& answer = made.answer;
    for (int round : answer.cancel) pool.give_up(made.lookup, round);
    auto found = open.find(made.lookup);
    if (found == open.end()) return;
    auto& lookup = found->second;
    auto seq = lookup.caller.seq;
    if (answer.send) send(lookup, *answer.send);
    if (answer.next_check > 0 && (lookup.look_at == 0 || now + answer.next_check < lookup.look_at)) {
        lookup.look_at = now + answer.next_check;
        lookup.look.set(answer.next_check);
    }
    if (made.handled || answer.final_result != FinalResult::None) count(!made.handled);
    if (made.handled)
        serve(lookup, made);
    else if (answer.final_result == FinalResult::Rejected)
        front.answer(lookup.caller, thrift::rejected(seq, answer.retry_after));
    else if (answer.final_result == FinalResult::Failed)
        front.answer(lookup.caller, thrift::broken_off(seq));
    else if (!made.left)  // the final answer, if there is one by now, comes later in this turn
        return;
    open.erase(found);
}

void Turn::serve(const Open& lookup, Made& made) {
    auto& reply = *made.handled;
    auto around = thrift::handled_around(lookup.caller.seq, reply.body.size(), reply.status == 304);
    front.answer(lookup.caller, around, shared_bytes(std::move(reply.body), std::move(made.charge)));
}

void Turn::send(Open& lookup, const AttemptPlan& order) {
    Micros limit = lookup.facts.deadline;
    if (order.time_limit > 0) limit = std::min(limit, now + order.time_limit);
    auto round = static_cast<int>(lookup.orders.size());
    lookup.orders.push_back(order);
    if (lookup.answered) {  // its final answer comes later in this turn: nothing is sent any more
        gathered.emplace_back(Landed{lookup.facts.id, round, order.cache, Outcome::NotSent, now, {}});
        return;
    }
    pool.send(order.cache, {lookup.facts.id, round, now, limit, good_until(order)});
}

// What was decided earlier, maybe long ago, is about to be written: all that has been told since is heeded.
Pool::Word Turn::still_wanted(CacheId cache, const Attempt& attempt) {
    if (attempt.round < 0) {
        auto* server = find_server(router, cache);
        if (!server || server->state != EndpointState::Ready) return {};
        return http::probe();
    }
    auto found = open.find(attempt.lookup);
    auto handle = router.find_lookup(attempt.lookup);
    if (found == open.end() || found->second.answered || !handle) return {};
    auto& lookup = found->second;
    auto client = front.presence(lookup.caller);
    if (client == Client::Presence::Gone) return {};
    if (client == Client::Presence::Speaking && now < attempt.limit) return Pool::Later{};
    if (!handle->confirm_send(attempt.round, lookup.orders[attempt.round], now)) return {};
    return http::transmission(lookup.facts, lookup.orders[attempt.round], terms.traffic[lookup.facts.traffic],
                              {lookup.have, lookup.ticket, lookup.body});
}

void Turn::break_off_all() {
    for (auto& [id, lookup] : open) {
        if (auto handle = router.find_lookup(id))
            for (int round : handle->client_left().cancel) pool.give_up(id, round);
        front.answer(lookup.caller, thrift::broken_off(lookup.caller.seq));
    }
    open.clear();
}

}  // namespace quillgrade::node
