#include "version/ledger.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace quillgrade::version {

namespace {

constexpr int boxes_per_step = 256;  // limits the time that one step keeps the event loop
constexpr std::size_t max_identities = 8, max_rolled_back = 32;
constexpr std::size_t max_pending_nonces = 4096;  // of incremental responses that were merged
constexpr Micros second = 1'000'000, staged_timeout = 30 * second;

std::string version_name(const Bundle& bundle) {
    return std::string(discovery::name_of(bundle.kind)) + " " + bundle.version_text + " of '" +
           bundle.identity + "'";
}

}  // namespace

VersionManager::VersionManager(ConfiguredLimits limits, std::vector<Kind> accepted_kinds,
                               const Canary::Settings& canary_settings)
    : limits(std::move(limits)), accepted_kinds(std::move(accepted_kinds)), canary(canary_settings) {}

std::optional<std::string> VersionManager::restore(const std::vector<Bundle>& stored) {
    VersionSet set;
    for (auto& bundle : stored) {
        if (std::find(accepted_kinds.begin(), accepted_kinds.end(), bundle.kind) == accepted_kinds.end())
            continue;
        Validator validator(bundle, nullptr, limits);
        while (!validator.step(boxes_per_step)) {
        }
        if (!validator.passed()) return version_name(bundle) + ": " + validator.reason();
        set[static_cast<std::size_t>(bundle.kind)] = validator.result();
    }
    if (auto missing = missing_dependency(set)) return *missing;
    active_set = settled = set;
    for (auto& version : active_set)
        if (version)
            record_number(slot_of(version->bundle.kind), version->bundle.identity, version->bundle.number);
    return {};
}

Phase VersionManager::phase(Kind kind) const {
    auto& slot = slots[static_cast<std::size_t>(kind)];
    if (slot.candidate) return slot.candidate->validated ? Phase::Staged : Phase::Validating;
    return slot.queued ? Phase::Queued : Phase::None;
}

std::string VersionManager::identity(Kind kind) const {
    return version_of(active_set, kind) ? version_of(active_set, kind)->bundle.identity : "";
}

std::optional<std::uint64_t> VersionManager::highest_number(const Slot& slot, const std::string& identity) {
    std::optional<std::uint64_t> highest;
    auto consider = [&](const std::string& candidate_identity, std::uint64_t number) {
        if (candidate_identity == identity && (!highest || number > *highest)) highest = number;
    };
    for (auto& [known_identity, number] : slot.highest_numbers) consider(known_identity, number);
    if (slot.queued) consider(slot.queued->header.identity, slot.queued->header.number);
    if (slot.candidate)
        consider(slot.candidate->received.header.identity, slot.candidate->received.header.number);
    return highest;
}

// The number of identities is bounded: a service that takes a new identity at each restart would otherwise
// fill the memory.
void VersionManager::record_number(Slot& slot, const std::string& identity, std::uint64_t number) {
    auto known = std::find_if(slot.highest_numbers.begin(), slot.highest_numbers.end(),
                              [&](auto& one) { return one.first == identity; });
    if (known != slot.highest_numbers.end()) {
        number = std::max(number, known->second);
        slot.highest_numbers.erase(known);
    }
    slot.highest_numbers.emplace_back(identity, number);
    if (slot.highest_numbers.size() > max_identities) slot.highest_numbers.pop_front();
}

// Why a version is rejected without validation; empty: it is not. The active version is never rejected when
// it is sent again.
std::optional<std::string> VersionManager::rejection_reason(Slot& slot, const ReceivedVersion& received) {
    auto& header = received.header;
    for (auto& former : rolled_back)
        if (former.kind == header.kind && former.identity == header.identity &&
            former.number == header.number &&
            (received.form == discovery::Form::Changes || former.digest == received.digest))
            return "was rolled back before, as " + former.reason +
                   "; publish under a new number to try again";
    auto& active_version = version_of(active_set, header.kind);
    bool is_active =
        active_version && active_version->bundle.identity == header.identity &&
        active_version->bundle.number == header.number;  // also after a newer one was rolled back
    auto latest = highest_number(slot, header.identity);
    if (!is_active && latest && header.number < *latest)
        return "is older than " + std::to_string(*latest) + " of '" + header.identity +
               "'; a return to earlier contents needs a new number";
    if (received.form == discovery::Form::Changes) return {};
    auto contents_differ = [&](const Bundle& known, std::uint64_t digest) {
        return known.identity == header.identity && known.number == header.number &&
               digest != received.digest;
    };
    if ((active_version && contents_differ(active_version->bundle, active_version->bundle.digest)) ||
        (slot.queued && contents_differ(slot.queued->header, slot.queued->digest)) ||
        (slot.candidate && contents_differ(slot.candidate->received.header, slot.candidate->received.digest)))
        return "was received before with other contents; new contents need a new number";
    return {};
}

void VersionManager::receive(StreamId stream, discovery::Offer offer, bool initial, Micros /*now*/) {
    totals.received++;
    bool accepted = offer.kind && std::find(accepted_kinds.begin(), accepted_kinds.end(), *offer.kind) !=
                                      accepted_kinds.end();
    if (!accepted || !offer.fault.empty()) {
        totals.rejected++;
        auto reason = !offer.fault.empty()
                          ? offer.fault
                          : std::string(discovery::name_of(*offer.kind)) +
                                " are not accepted by this router; see 'kinds' in its operators' file";
        log_lines.push_back("version '" + offer.text + "' of '" + offer.identity + "' rejected: " + reason);
        queue_replies({{stream, offer.nonce}}, offer.kind.value_or(Kind::Boxes), offer.type_url, reason);
        return;
    }
    auto& slot = slot_of(*offer.kind);
    ReceivedVersion received;
    received.header.kind = *offer.kind;
    received.header.identity = offer.identity;
    received.header.version_text = offer.text;
    received.header.number = offer.number;
    received.form = offer.form;
    received.is_full_state = initial || offer.form == discovery::Form::Whole;
    received.pending_nonces = {{stream, offer.nonce}};
    for (auto& resource : offer.resources) {
        auto item = std::make_shared<Item>();
        item->label = std::move(resource.label);
        item->bytes = std::move(resource.bytes);
        received.changes[resource.name] = std::move(item);
    }
    for (auto& name : offer.removed) received.changes[name] = nullptr;
    if (received.form == discovery::Form::Whole) received.digest = digest_of(received.changes);

    if (auto reason = rejection_reason(slot, received)) return reject(received, *reason);
    auto same = [&](const Bundle& known, std::uint64_t digest) {
        return received.form == discovery::Form::Whole && known.identity == received.header.identity &&
               known.number == received.header.number && digest == received.digest;
    };
    auto& active_version = version_of(active_set, received.header.kind);
    if (active_version && same(active_version->bundle, active_version->bundle.digest) && !slot.queued &&
        !slot.candidate) {
        totals.repeated++;
        std::tie(slot.stream, slot.nonce) = received.pending_nonces.back();
        return queue_replies(received.pending_nonces, received.header.kind, "", {});
    }
    // A repetition of a version that is queued or validating is replied to together with it.
    if (slot.queued && same(slot.queued->header, slot.queued->digest)) {
        totals.repeated++;
        slot.queued->pending_nonces = received.pending_nonces;
        return;
    }
    if (!slot.queued && slot.candidate &&
        same(slot.candidate->received.header, slot.candidate->received.digest)) {
        totals.repeated++;
        slot.candidate->received.pending_nonces = received.pending_nonces;
        return;
    }
    // A newer version replaces the queued one. Incremental changes are merged into it, and the nonces of both
    // need a reply.
    if (slot.queued) {
        totals.superseded++;
        if (!received.is_full_state && slot.queued->form == discovery::Form::Changes) {
            for (auto& [name, item] : received.changes) slot.queued->changes[name] = item;
            auto pending_nonces = std::move(slot.queued->pending_nonces);
            pending_nonces.insert(pending_nonces.end(), received.pending_nonces.begin(),
                                  received.pending_nonces.end());
            if (pending_nonces.size() > max_pending_nonces) pending_nonces.erase(pending_nonces.begin());
            received.changes = std::move(slot.queued->changes);
            received.is_full_state = slot.queued->is_full_state;
            received.pending_nonces = std::move(pending_nonces);
        }
    }
    slot.queued = std::move(received);
}

bool VersionManager::has_work() const {
    if (!proposed_kinds.empty()) return false;
    return staged_changed || canary.current_state() == Canary::State::Failed ||
           std::any_of(slots.begin(), slots.end(), [](auto& slot) {
               return slot.queued || (slot.candidate && !slot.candidate->validated);
           });
}

// The queued version becomes the candidate. It supersedes one that is staged.
void VersionManager::start_validation(Slot& slot, Micros now) {
    auto received = std::move(*slot.queued);
    slot.queued.reset();
    Candidate candidate;
    candidate.since = now;
    if (slot.candidate) {
        totals.superseded++;
        candidate.since = slot.candidate->since;
        if (!received.is_full_state) {
            auto changes = std::move(slot.candidate->received.changes);
            for (auto& [name, item] : received.changes) changes[name] = item;
            received.changes = std::move(changes);
            received.is_full_state = slot.candidate->received.is_full_state;
            received.pending_nonces.insert(received.pending_nonces.begin(),
                                           slot.candidate->received.pending_nonces.begin(),
                                           slot.candidate->received.pending_nonces.end());
        }
    }
    auto& active_version = version_of(active_set, received.header.kind);
    Bundle bundle = received.header;
    if (!received.is_full_state && active_version) bundle.items = active_version->bundle.items;
    for (auto& [name, item] : received.changes) {
        if (item)
            bundle.items[name] = item;
        else
            bundle.items.erase(name);
    }
    bundle.digest = digest_of(bundle.items);
    candidate.validator = std::make_unique<Validator>(std::move(bundle), active_version, limits);
    candidate.received = std::move(received);
    slot.candidate = std::move(candidate);
}

void VersionManager::continue_validation(Slot& slot, Micros /*now*/) {
    auto& candidate = *slot.candidate;
    if (!candidate.validator->step(boxes_per_step)) return;
    if (candidate.validator->passed()) {
        candidate.validated = candidate.validator->result();
        candidate.validator.reset();
        staged_changed = true;
        return;
    }
    auto received = std::move(candidate.received);
    auto reason = candidate.validator->reason();
    slot.candidate.reset();
    reject(received, reason);
}

std::optional<std::string> VersionManager::missing_dependency(const VersionSet& set) {
    for (auto& version : set) {
        if (!version) continue;
        for (auto& dependency : version->dependencies) {
            auto& provider = version_of(set, dependency.kind);
            if (!provider || !provider->bundle.items.contains(dependency.name))
                return version_name(version->bundle) + " needs " +
                       std::string(discovery::name_of(dependency.kind)) + " '" +
                       dependency.name.substr(0, 60) + "', which is not there";
        }
    }
    return {};
}

// The largest group of staged versions that can become active with no dependency missing.
std::optional<Proposal> VersionManager::propose_staged(Micros now) {
    std::vector<Slot*> staged;
    for (auto& slot : slots)
        if (slot.candidate && slot.candidate->validated) staged.push_back(&slot);
    for (int size = static_cast<int>(staged.size()); size > 0; size--)
        for (unsigned mask = 1; mask < 1U << staged.size(); mask++) {
            if (std::popcount(mask) != size) continue;
            VersionSet next = active_set;
            for (std::size_t i = 0; i < staged.size(); i++)
                if (mask >> i & 1) {
                    auto& validated = staged[i]->candidate->validated;
                    next[static_cast<std::size_t>(validated->bundle.kind)] = validated;
                }
            if (missing_dependency(next)) continue;
            for (std::size_t i = 0; i < staged.size(); i++)
                if (mask >> i & 1) proposed_kinds.push_back(staged[i]->candidate->received.header.kind);
            return Proposal{next, settled, false};
        }
    for (auto* slot : staged) {  // a version does not wait for its dependencies for ever
        if (now - slot->candidate->since < staged_timeout) continue;
        VersionSet alone = active_set;
        alone[static_cast<std::size_t>(slot->candidate->received.header.kind)] = slot->candidate->validated;
        auto received = std::move(slot->candidate->received);
        slot->candidate.reset();
        reject(received, missing_dependency(alone).value_or("a dependency is missing") + " after 30 s");
    }
    return {};
}

std::optional<Proposal> VersionManager::step(Micros now) {
    if (!proposed_kinds.empty()) return {};
    if (canary.current_state() == Canary::State::Failed) {
        for (int kind = 0; kind < discovery::kinds; kind++)
            if (active_set[static_cast<std::size_t>(kind)] != settled[static_cast<std::size_t>(kind)])
                proposed_kinds.push_back(static_cast<Kind>(kind));
        proposed_rollback = true;
        if (!proposed_kinds.empty()) return Proposal{settled, settled, true};
        canary.end();
    }
    for (auto& slot : slots)
        if (slot.candidate && !slot.candidate->validated) {
            continue_validation(slot, now);
            return {};
        }
    for (auto& slot : slots)
        if (slot.queued) {
            start_validation(slot, now);
            return {};
        }
    staged_changed = false;
    return propose_staged(now);
}

void VersionManager::applied(const LookupCounts& counts, Micros now) {
    auto kinds = std::exchange(proposed_kinds, {});
    if (std::exchange(proposed_rollback, false)) {
        totals.rolled_back++;
        for (auto kind : kinds) {
            auto index = static_cast<std::size_t>(kind);
            auto harmful = active_set[index];
            active_set[index] = settled[index];
            if (!harmful) continue;
            auto& bundle = harmful->bundle;
            rolled_back.push_back({kind, bundle.identity, bundle.number, bundle.digest, canary.reason()});
            if (rolled_back.size() > max_rolled_back) rolled_back.pop_front();
            log_lines.push_back("version " + version_name(bundle) + " rolled back: " + canary.reason() +
                                "; in force again: " +
                                (active_set[index] ? version_name(active_set[index]->bundle) : "none"));
            auto& slot = slot_of(kind);
            queue_replies({{slot.stream, slot.nonce}}, kind, "", "rolled back: " + canary.reason());
            replies.back().is_rollback = true;
        }
        canary.end();
        staged_changed = true;
        return;
    }
    for (auto kind : kinds) {
        auto& slot = slot_of(kind);
        auto candidate = std::move(*slot.candidate);
        slot.candidate.reset();
        active_set[static_cast<std::size_t>(kind)] = candidate.validated;
        auto& bundle = candidate.validated->bundle;
        record_number(slot, bundle.identity, bundle.number);
        totals.activated++;
        std::tie(slot.stream, slot.nonce) = candidate.received.pending_nonces.back();
        log_lines.push_back("version " + version_name(bundle) + " in force");
        queue_replies(candidate.received.pending_nonces, kind, "", {});
    }
    canary.begin(counts, now);
    if (canary.current_state() == Canary::State::Idle) settled = active_set;  // canaries are off
    staged_changed = true;
}

void VersionManager::rejected(const std::string& reason, Micros /*now*/) {
    auto kinds = std::exchange(proposed_kinds, {});
    if (std::exchange(proposed_rollback, false)) {
        log_lines.push_back("no rollback: " + reason);
        canary.end();
        settled = active_set;
        return;
    }
    for (auto kind : kinds) {
        auto& slot = slot_of(kind);
        auto received = std::move(slot.candidate->received);
        slot.candidate.reset();
        reject(received, reason);
    }
    staged_changed = true;
}

void VersionManager::observe(const LookupCounts& counts, Micros now) {
    if (canary.observe(counts, now) == Canary::State::Passed) {
        settled = active_set;
        canary.end();
        log_lines.push_back("settled: " + describe(active_set));
    }
    for (auto& slot : slots)  // the next step rejects a version that was staged too long
        if (slot.candidate && slot.candidate->validated && now - slot.candidate->since >= staged_timeout)
            staged_changed = true;
}

void VersionManager::reject(const ReceivedVersion& received, const std::string& reason) {
    totals.rejected++;
    log_lines.push_back("version " + version_name(received.header) + " rejected: " + reason);
    queue_replies(received.pending_nonces, received.header.kind, "", reason);
}

void VersionManager::queue_replies(const PendingNonces& pending_nonces, Kind kind,
                                   const std::string& type_url, const std::optional<std::string>& reason) {
    for (auto& [stream, nonce] : pending_nonces) {
        discovery::Request request;
        request.kind = kind;
        request.type_url = type_url;
        if (type_url.empty() && version_of(active_set, kind))
            request.version = version_of(active_set, kind)->bundle.version_text;
        request.nonce = nonce;
        request.reason = reason;
        replies.push_back({stream, std::move(request)});
    }
}

discovery::Request VersionManager::subscription(Kind kind, bool claim_no_resources) const {
    discovery::Request request;
    request.kind = kind;
    auto& active_version = version_of(active_set, kind);
    if (!active_version || claim_no_resources) return request;
    request.version = active_version->bundle.version_text;
    for (auto& [name, item] : active_version->bundle.items) request.labels[name] = item->label;
    return request;
}

}  // namespace quillgrade::version
