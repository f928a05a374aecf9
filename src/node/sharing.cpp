#include "node/sharing.hpp"

#include <utility>

#include "log/log.hpp"

namespace quillgrade::node {

namespace {

constexpr Micros say_every = 10'000'000;

shared::ExchangeOptions terms_of(const operate::SharedStateConfig& plan, const launch::Launch& launch,
                                 Clock& clock) {
    shared::ExchangeOptions terms;
    terms.features = {plan.facts, plan.quotas, plan.health_reports, plan.request_counts};
    terms.settings = static_cast<const RoutingSettings&>(launch.facts);
    terms.grantors = plan.grantors;
    terms.lease_duration = plan.lease_duration;
    terms.now = {clock.now(), Clock::steady()};
    // New with each start, so that no answer to an earlier life's ask is taken for one to this one's.
    terms.seed = static_cast<std::uint32_t>(launch.seed ^ (launch.seed >> 32)) ^
                 static_cast<std::uint32_t>(terms.now.unix);
    return terms;
}

}  // namespace

Sharing::Sharing(PeerPort& peers, const operate::SharedStateConfig& plan, const launch::Launch& launch,
                 Clock& clock, Turn& turn)
    : turn(turn), exchange(peers.membership(), terms_of(plan, launch, clock)) {
    turn.share(&exchange);
    std::string parts;
    for (auto& [on, name] :
         {std::pair(plan.facts, "facts"), std::pair(plan.quotas, "rights"),
          std::pair(plan.health_reports, "judgements"), std::pair(plan.request_counts, "counts")})
        if (on) parts += std::string(parts.empty() ? "" : ", ") + name;
    log::info("shared: {}", parts.empty() ? "nothing" : parts);
    if (plan.quotas && !launch.facts.weights_are_link_rates)
        log::warning("shared: the settings state no links, so each router goes by its own cold budgets");
}

Sharing::~Sharing() { turn.share(nullptr); }

void Sharing::at(Micros now) { exchange.set_time({now, Clock::steady()}); }

void Sharing::pass(Gathered& batch, Micros live, Micros now) {
    shared::ClockReadings times{now, Clock::steady()};
    for (auto& value : batch) {
        auto* event = std::get_if<feed::Event>(&value);
        if (!event) continue;
        if (auto* listing = std::get_if<feed::Listing>(&event->what))
            *listing = exchange.apply_listing(std::move(*listing), times);
        else if (auto* purge = std::get_if<feed::PurgeNotice>(&event->what))
            exchange.record_purge(*purge, times);
    }
    auto changes = exchange.tick(live, times);
    say(changes, now);
    if (!changes.listing.caches.empty()) batch.emplace_back(feed::Event{0, std::move(changes.listing)});
    for (auto& purge : changes.purges) batch.emplace_back(feed::Event{0, purge});
}

void Sharing::say(const shared::ReplicatedFacts::Changes& changes, Micros now) {
    for (auto& endpoint : changes.listing.caches)
        log::info("shared: cache {} {}", endpoint.entry.id,
                  endpoint.entry.state == EndpointState::Ready ? "is open again, as the own list has it"
                                                               : "is closed, as others have heard");
    for (auto id : changes.reopened) log::info("shared: cache {} is open again, it was started anew", id);
    if (!changes.purges.empty()) log::info("shared: {} purges heard from others", changes.purges.size());
    if (now < say_at) return;
    say_at = now + say_every;
    shared::ClockReadings times{now, Clock::steady()};
    bool differ = exchange.configuration_mismatch_seen(times);
    if (differ && !told_differ)
        log::warning(
            "shared: other routers go by other amounts for rights, nothing is lent to them or borrowed");
    told_differ = differ;
    auto& seen = exchange.counters();
    if (seen.malformed != told_malformed) log::warning("shared: {} malformed so far", seen.malformed);
    told_malformed = seen.malformed;
}

void Sharing::say_all() {
    auto& seen = exchange.counters();
    auto& quotas = exchange.quota_counters();
    log::info(
        "shared: {} bytes, {} facts, {} complaints, {} counts heard; {} asks, {} loans taken, {} given, {} "
        "renewed",
        seen.payload_bytes, seen.facts_received, seen.complaints_received, seen.counts_received,
        quotas.asks_sent, quotas.leases_received, quotas.leases_granted, quotas.leases_renewed);
}

}  // namespace quillgrade::node
