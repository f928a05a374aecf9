#include "node/steering.hpp"

#include <algorithm>
#include <utility>

#include "log/log.hpp"

namespace quillgrade::node {

namespace {

constexpr Micros second = 1'000'000, store_again_after = 30 * second;
constexpr std::size_t most_version = 8U << 20, least_version = 256U << 10;

std::size_t longest_version(const operate::ControlConfig& control, const launch::Room& room) {
    if (control.max_version_bytes) return control.max_version_bytes;
    return std::clamp(room.memory / 16, least_version, most_version);
}

version::ConfiguredLimits allowed(const operate::OperatorConfig& plan, const launch::Launch& launch) {
    auto made = version::configured_limits(launch.facts, launch.terms);
    if (plan.rules) made.rule_budget = plan.rules->budget;
    return made;
}

}  // namespace

Steering::Steering(event_base* base, const operate::OperatorConfig& plan, const launch::Launch& launch,
                   Clock& clock, site::Terms& terms)
    : control(*plan.control),
      launch(launch),
      terms(terms),
      shared{base,
             clock,
             control.form,
             {launch.name, control.cluster, launch.terms.zones[static_cast<std::size_t>(launch.facts.zone)]},
             longest_version(control, launch.room)},
      book(launch.facts, launch.terms.zones, control.endpoint_list_mode),
      ledger(allowed(plan, launch), control.kinds,
             {control.canary, control.canary_duration, control.canary_min_increase}),
      store(plan.store),
      wake(base, [] {}) {
    if (store) {
        auto opened = vault::SnapshotStore::open(*store);
        if (!opened.problem.empty()) log::warning("{}", opened.problem);
        vault = std::move(opened.store);
        if (opened.snapshot) start_from(*opened.snapshot);
    }
    move_to(control.services);
}

// What was in force when it was written last, or else what had stood its trial before.
void Steering::start_from(const vault::Snapshot& kept) {
    auto age = (shared.clock.now() - kept.saved_at) / second;
    auto why = ledger.restore(kept.current);
    if (why) {
        log::warning("stored version not used, the settings no longer allow it: {}", *why);
        why = ledger.restore(kept.settled);
        if (why) return log::warning("nor the one before: {}", *why);
    }
    book.restore_start_times(kept.start_times);
    log::info("starting from the store: {}, written {} s ago", version::describe(ledger.active()), age);
}

void Steering::move_to(const std::vector<feed::Address>& services) {
    if (contact && services == control.services) return;
    if (contact) log::info("control services have changed, {} are named", services.size());
    control.services = services;
    connections.clear();
    told_lost.assign(services.size(), "");
    contact.emplace(static_cast<int>(services.size()), launch.seed ^ 0x636f6e74726f6cU);
    wake.set(0);
}

void Steering::stop() {
    connections.clear();
    contact.reset();
    wake.stop();
}

void Steering::pass(Gathered& batch, const version::LookupCounts& counts, Micros now) {
    for (auto& value : batch) {
        auto* event = std::get_if<feed::Event>(&value);
        auto* listing = event ? std::get_if<feed::Listing>(&event->what) : nullptr;
        if (listing) *listing = book.update_from_coordinator(*listing, now);
    }
    if (!std::exchange(started, true)) take_in(ledger.active(), batch, now);
    if (contact) {
        for (int place = 0; place < static_cast<int>(control.services.size()); place++) hear(place, now);
        auto step = contact->next(now);
        for (int place : step.close) {
            connections.erase(place);
            log::info("control service {} let go, a preferred one answers",
                      text_of(control.services[static_cast<std::size_t>(place)]));
        }
        for (int place : step.open) open(place, false);
        wake.set(std::min(step.look_in, version::Canary::observation_interval));
    }
    ledger.observe(counts, now);
    work(batch, counts, now);
    say();
}

void Steering::open(int place, bool claim_nothing) {
    auto& connection = connections[place];
    connection = {};
    std::vector<discovery::Request> subscriptions;
    for (auto kind : control.kinds) {
        subscriptions.push_back(ledger.subscription(kind, claim_nothing));
        if (!subscriptions.back().labels.empty()) connection.claimed[kind] = ledger.identity(kind);
    }
    connection.service = std::make_unique<Service>(
        shared, ++last_stream, control.services[static_cast<std::size_t>(place)], subscriptions);
}

void Steering::hear(int place, Micros now) {
    auto found = connections.find(place);
    if (found == connections.end()) return;
    auto& connection = found->second;
    auto& service = *connection.service;
    auto address = text_of(control.services[static_cast<std::size_t>(place)]);
    for (auto& offer : service.take_offers()) {
        if (contact->state(place) == discovery::Contact::State::Opening) {
            log::info("control service {} answers", address);
            told_lost[static_cast<std::size_t>(place)].clear();
            contact->answered(place, now);
        }
        // Guards against labels of one service that mean something else to another: it is asked for all.
        auto kind = offer.kind.value_or(discovery::Kind::Boxes);
        auto claim = connection.claimed.find(kind);
        if (shared.form == discovery::Form::Changes && claim != connection.claimed.end() &&
            claim->second != offer.identity) {
            log::info("control service {} is '{}' and not '{}': asked for everything", address,
                      offer.identity, claim->second);
            return open(place, true);
        }
        bool afresh = !std::exchange(connection.begun[kind], true) && claim == connection.claimed.end();
        ledger.receive(service.id, std::move(offer), afresh, now);
    }
    if (service.lost().empty() && contact->overdue(place, now)) service.let_go("no answer");
    if (service.lost().empty()) return;
    auto& told = told_lost[static_cast<std::size_t>(place)];
    if (told != service.lost()) log::warning("control service {} lost: {}", address, service.lost());
    told = service.lost();
    contact->lost(place, now);
    connections.erase(found);
}

void Steering::work(Gathered& batch, const version::LookupCounts& counts, Micros now) {
    auto proposal = ledger.step(now);
    if (!proposal) return;
    auto& boxes = version::version_of(proposal->next, discovery::Kind::Boxes);
    static const members::Endpoints none;
    auto refusal = book.describe_unserved(boxes ? boxes->endpoints : none,
                                          boxes ? boxes->emptied_zones : std::vector<int>{});
    if (!refusal) refusal = keep(*proposal, now);
    if (refusal) return ledger.rejected(*refusal, now);
    take_in(proposal->next, batch, now);
    ledger.applied(counts, now);
}

// Kept before it is acknowledged. Guards against a start from what is older than the last one acknowledged:
// where it can't be kept, the store is emptied, and where even that can't be done the version is refused.
std::optional<std::string> Steering::keep(const version::Proposal& proposal, Micros now) {
    if (!vault || (store_again > 0 && now < store_again)) return {};
    auto starts =
        book.start_times_since(now, std::max(launch.facts.cold_period, launch.facts.parent_cold_period));
    auto failed = vault->write(proposal.next, proposal.settled, starts, now);
    if (!failed) {
        if (std::exchange(store_again, 0) > 0) log::info("store: versions are kept again");
        return {};
    }
    if (!vault->clear()) return "the store can be neither written nor emptied: " + *failed;
    if (store_again == 0)
        log::warning("store: {}, so nothing is kept for now; tried again with a version after 30 s", *failed);
    store_again = now + store_again_after;
    return {};
}

void Steering::take_in(const version::VersionSet& set, Gathered& batch, Micros now) {
    auto& boxes = version::version_of(set, discovery::Kind::Boxes);
    auto listing = book.update_from_stream(
        boxes ? std::shared_ptr<const members::Endpoints>(boxes, &boxes->endpoints) : nullptr, now);
    if (!listing.caches.empty()) batch.emplace_back(feed::Event{0, std::move(listing)});
    auto& amounts = version::version_of(set, discovery::Kind::Amounts);
    auto told = amounts ? amounts->amounts : version::Amounts{};
    terms.connect_time = told.connect_timeout.value_or(launch.terms.connect_time);
    terms.idle_time = told.idle_timeout.value_or(launch.terms.idle_time);
    batch.emplace_back(told);
    auto& rules = version::version_of(set, discovery::Kind::Rules);
    auto now_running = rules ? rules->rules : nullptr;
    if (now_running != running_rules) batch.emplace_back(now_running);
    running_rules = now_running;
}

void Steering::say() {
    for (auto& reply : ledger.take_replies()) {
        Service* to = nullptr;
        for (auto& [place, connection] : connections)
            if (connection.service->id == reply.stream) to = connection.service.get();
        // The service that is asked now has sent no response that this could answer.
        if (int place = contact ? contact->serving() : -1; !to && reply.is_rollback && place >= 0) {
            to = connections.at(place).service.get();
            reply.request.nonce.clear();
        }
        if (to) to->say(std::move(reply.request));
    }
    for (auto& line : ledger.take_log_lines()) log::info("{}", line);
}

}  // namespace quillgrade::node
