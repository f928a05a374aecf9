// One router of a simulated fleet with all that it shares: a peers::Membership, a shared::Exchange on it, and
// lookups that want cold servers. To be used as the Protocol of rig::Simulated. What it sends is noted for
// the onlooker, with the true time; it knows only its own clocks.
#pragma once

#include <functional>
#include <memory>
#include <vector>

#include "rig/simulated.hpp"
#include "shared/exchange.hpp"

namespace quillgrade::rig {

// The settings of a small tier, as a router reads them.
inline RoutingSettings shared_site() {
    RoutingSettings site;
    site.parent_kind = 1;
    site.origin_kind = 2;
    site.zone = 0;
    site.weights_are_link_rates = true;
    site.cold_initial_share = 0.2;
    site.cold_budget_multiple = 3;
    site.parent_cold_initial_share = 0.1;
    site.parent_cold_budget_multiple = 2;
    site.cold_period = site.parent_cold_period = 10'000'000;
    site.cold_budget_window = 1'000'000;
    site.purge_retention = 6'000'000;
    return site;
}

// What all partners of one simulation are made with.
struct PartnerTerms {
    shared::ExchangeOptions exchange{};
    std::function<Micros()> steady;  // true lengths of time; a stopped router's goes on, as a machine's does
};
inline PartnerTerms& partner_terms() {
    static PartnerTerms terms;
    return terms;
}

class Partner {
public:
    explicit Partner(const peers::MembershipConfig& start)
        : circle_(std::make_unique<peers::Membership>(start)) {
        auto terms = partner_terms().exchange;
        terms.now = {start.now, partner_terms().steady()};
        terms.seed = static_cast<std::uint32_t>(start.seed);
        exchange_ = std::make_unique<shared::Exchange>(*circle_, terms);
    }
    // NOLINTNEXTLINE(readability-convert-member-functions-to-static): asked of a partner, as the rest is.
    shared::ClockReadings times(peers::Micros unix) const { return {unix, partner_terms().steady()}; }

    void receive(peers::RouterIndex from, std::string_view datagram, peers::Micros now) {
        exchange_->set_time(times(now));
        circle_->receive(from, datagram, now);
        share(now);
    }
    void tick(peers::Micros now) {
        exchange_->set_time(times(now));
        circle_->tick(now);
        share(now);
    }
    void share(peers::Micros now) {
        auto changes = exchange_->tick(live, times(now));
        closed += changes.closed;
        opened += changes.opened;
        for (auto& endpoint : changes.listing.caches) changed.push_back(endpoint);
        for (auto& purge : changes.purges) purges.push_back(purge);
    }
    peers::Micros next_tick() const { return circle_->next_tick(); }
    void leave(peers::Micros now) { circle_->leave(now); }
    void announce_exit(peers::Micros now) { circle_->announce_exit(now); }
    std::vector<peers::Outgoing> take_outgoing() { return circle_->take_outgoing(); }
    std::vector<peers::StateChange> take_state_changes() { return circle_->take_state_changes(); }
    const peers::MembershipCounters& counters() const { return circle_->counters(); }

    peers::Membership& membership() { return *circle_; }
    shared::Exchange& exchange() { return *exchange_; }

    // A lookup that wants `work` of a cold server. Until when, by the steady clock, it may be written; 0:
    // there is no right.
    Micros want(CacheId server, double work, peers::Micros now) {
        auto t = times(now);
        auto right = exchange_->available_quota(server, t);
        if (right < work - 0.5) {
            exchange_->record_unmet_demand(server, work, work, t);
            return 0;
        }
        return exchange_->consume(server, work, now, t);
    }

    Micros live = 1;  // since when it hears its coordinator, 0: it doesn't
    int closed = 0, opened = 0;
    std::vector<feed::Endpoint> changed;
    std::vector<feed::PurgeNotice> purges;

private:
    std::unique_ptr<peers::Membership> circle_;
    std::unique_ptr<shared::Exchange> exchange_;
};

using SharedFleet = Simulated<Partner>;

}  // namespace quillgrade::rig
