#include "version/ledger.hpp"

#include <algorithm>
#include <bit>
#include <tuple>

namespace quillgrade::version {

namespace {

constexpr int slice = 256;  // boxes that are checked before others have their turn
constexpr std::size_t most_identities = 8, most_rolled_back = 32;
constexpr std::size_t most_owed = 4096;  // nonces of changes that were taken together
constexpr Micros second = 1'000'000, longest_staged = 30 * second;

std::string cited(const Bundle& bundle) {
    return std::string(discovery::name_of(bundle.kind)) + " " + bundle.text + " of '" + bundle.identity + "'";
}

}  // namespace

VersionManager::VersionManager(ConfiguredLimits limits, std::vector<Kind> taken, const Canary::Terms& trial)
    : limits(std::move(limits)), taken(std::move(taken)), trial(trial) {}

std::optional<std::string> VersionManager::restore(const std::vector<Bundle>& kept) {
    VersionSet set;
    for (auto& bundle : kept) {
        if (std::find(taken.begin(), taken.end(), bundle.kind) == taken.end()) continue;
        Validator check(bundle, nullptr, limits);
        while (!check.step(slice)) {
        }
        if (!check.passed()) return cited(bundle) + ": " + check.reason();
        set[static_cast<std::size_t>(bundle.kind)] = check.result();
    }
    if (auto lacking = missing(set)) return *lacking;
    force = settled = set;
    for (auto& one : force)
        if (one) note_newest(slot_of(one->bundle.kind), one->bundle.identity, one->bundle.number);
    return {};
}

Phase VersionManager::phase(Kind kind) const {
    auto& slot = slots[static_cast<std::size_t>(kind)];
    if (slot.candidate) return slot.candidate->checked ? Phase::Staged : Phase::Validating;
    return slot.waiting ? Phase::Queued : Phase::None;
}

std::string VersionManager::identity(Kind kind) const {
    return version_of(force, kind) ? version_of(force, kind)->bundle.identity : "";
}

std::optional<std::uint64_t> VersionManager::newest(const Slot& slot, const std::string& identity) {
    std::optional<std::uint64_t> most;
    auto consider = [&](const std::string& who, std::uint64_t number) {
        if (who == identity && (!most || number > *most)) most = number;
    };
    for (auto& [who, number] : slot.newest) consider(who, number);
    if (slot.waiting) consider(slot.waiting->head.identity, slot.waiting->head.number);
    if (slot.candidate) consider(slot.candidate->told.head.identity, slot.candidate->told.head.number);
    return most;
}

// Only so many identities are remembered, else a service that restarts often would fill memory.
void VersionManager::note_newest(Slot& slot, const std::string& identity, std::uint64_t number) {
    auto known = std::find_if(slot.newest.begin(), slot.newest.end(),
                              [&](auto& one) { return one.first == identity; });
    if (known != slot.newest.end()) {
        number = std::max(number, known->second);
        slot.newest.erase(known);
    }
    slot.newest.emplace_back(identity, number);
    if (slot.newest.size() > most_identities) slot.newest.pop_front();
}

// Why a version can't even be checked, if so. One that is in force already is nothing to refuse.
std::optional<std::string> VersionManager::refusal(Slot& slot, const Told& told) {
    auto& head = told.head;
    for (auto& back : rolled_back)
        if (back.kind == head.kind && back.identity == head.identity && back.number == head.number &&
            (told.form == discovery::Form::Changes || back.digest == told.digest))
            return "was taken back before, as " + back.reason + "; publish under a new number to try again";
    auto& in_force = version_of(force, head.kind);
    bool running = in_force && in_force->bundle.identity == head.identity &&
                   in_force->bundle.number == head.number;  // also after a newer one was rolled back
    auto latest = newest(slot, head.identity);
    if (!running && latest && head.number < *latest)
        return "is older than " + std::to_string(*latest) + " of '" + head.identity +
               "'; a return to earlier contents wants a new number";
    if (told.form == discovery::Form::Changes) return {};
    auto other = [&](const Bundle& known, std::uint64_t digest) {
        return known.identity == head.identity && known.number == head.number && digest != told.digest;
    };
    if ((in_force && other(in_force->bundle, in_force->bundle.digest)) ||
        (slot.waiting && other(slot.waiting->head, slot.waiting->digest)) ||
        (slot.candidate && other(slot.candidate->told.head, slot.candidate->told.digest)))
        return "was told before with other contents; new contents want a new number";
    return {};
}

void VersionManager::receive(StreamId stream, discovery::Offer offer, bool afresh, Micros /*now*/) {
    counted.received++;
    bool known = offer.kind && std::find(taken.begin(), taken.end(), *offer.kind) != taken.end();
    if (!known || !offer.fault.empty()) {
        counted.turned_down++;
        auto reason = !offer.fault.empty() ? offer.fault
                                           : std::string(discovery::name_of(*offer.kind)) +
                                                 " are not taken by this router, see 'kinds' of its file";
        lines.push_back("version '" + offer.text + "' of '" + offer.identity + "' turned down: " + reason);
        answer({{stream, offer.nonce}}, offer.kind.value_or(Kind::Boxes), offer.type_url, reason);
        return;
    }
    auto& slot = slot_of(*offer.kind);
    Told told;
    told.head.kind = *offer.kind;
    told.head.identity = offer.identity;
    told.head.text = offer.text;
    told.head.number = offer.number;
    told.form = offer.form;
    told.afresh = afresh || offer.form == discovery::Form::Whole;
    told.owed = {{stream, offer.nonce}};
    for (auto& resource : offer.resources) {
        auto item = std::make_shared<Item>();
        item->label = std::move(resource.label);
        item->bytes = std::move(resource.bytes);
        told.changes[resource.name] = std::move(item);
    }
    for (auto& name : offer.removed) told.changes[name] = nullptr;
    if (told.form == discovery::Form::Whole) told.digest = digest_of(told.changes);

    if (auto reason = refusal(slot, told)) return turn_down(told, *reason);
    auto same = [&](const Bundle& head, std::uint64_t digest) {
        return told.form == discovery::Form::Whole && head.identity == told.head.identity &&
               head.number == told.head.number && digest == told.digest;
    };
    auto& now = version_of(force, told.head.kind);
    if (now && same(now->bundle, now->bundle.digest) && !slot.waiting && !slot.candidate) {
        counted.repeated++;
        std::tie(slot.stream, slot.nonce) = told.owed.back();
        return answer(told.owed, told.head.kind, "", {});
    }
    // A copy of what is under way is answered together with it.
    if (slot.waiting && same(slot.waiting->head, slot.waiting->digest)) {
        counted.repeated++;
        slot.waiting->owed = told.owed;
        return;
    }
    if (!slot.waiting && slot.candidate && same(slot.candidate->told.head, slot.candidate->told.digest)) {
        counted.repeated++;
        slot.candidate->told.owed = told.owed;
        return;
    }
    // Pending versions collapse to the newest. Changes build on those before them, whose nonces are owed too.
    if (slot.waiting) {
        counted.overtaken++;
        if (!told.afresh && slot.waiting->form == discovery::Form::Changes) {
            for (auto& [name, item] : told.changes) slot.waiting->changes[name] = item;
            auto owed = std::move(slot.waiting->owed);
            owed.insert(owed.end(), told.owed.begin(), told.owed.end());
            if (owed.size() > most_owed) owed.erase(owed.begin());
            told.changes = std::move(slot.waiting->changes);
            told.afresh = slot.waiting->afresh;
            told.owed = std::move(owed);
        }
    }
    slot.waiting = std::move(told);
}

bool VersionManager::has_work() const {
    if (!proposed.empty()) return false;
    return staged_changed || trial.now_at() == Canary::State::Failed ||
           std::any_of(slots.begin(), slots.end(), [](auto& slot) {
               return slot.waiting || (slot.candidate && !slot.candidate->checked);
           });
}

// What waits is taken up: it replaces a version that is staged, which it has overtaken.
void VersionManager::promote(Slot& slot, Micros now) {
    auto told = std::move(*slot.waiting);
    slot.waiting.reset();
    Candidate next;
    next.since = now;
    if (slot.candidate) {
        counted.overtaken++;
        next.since = slot.candidate->since;
        if (!told.afresh) {
            auto changes = std::move(slot.candidate->told.changes);
            for (auto& [name, item] : told.changes) changes[name] = item;
            told.changes = std::move(changes);
            told.afresh = slot.candidate->told.afresh;
            told.owed.insert(told.owed.begin(), slot.candidate->told.owed.begin(),
                             slot.candidate->told.owed.end());
        }
    }
    auto& before = version_of(force, told.head.kind);
    Bundle bundle = told.head;
    if (!told.afresh && before) bundle.items = before->bundle.items;
    for (auto& [name, item] : told.changes) {
        if (item)
            bundle.items[name] = item;
        else
            bundle.items.erase(name);
    }
    bundle.digest = digest_of(bundle.items);
    next.check = std::make_unique<Validator>(std::move(bundle), before, limits);
    next.told = std::move(told);
    slot.candidate = std::move(next);
}

void VersionManager::work(Slot& slot, Micros /*now*/) {
    auto& candidate = *slot.candidate;
    if (!candidate.check->step(slice)) return;
    if (candidate.check->passed()) {
        candidate.checked = candidate.check->result();
        candidate.check.reset();
        staged_changed = true;
        return;
    }
    auto told = std::move(candidate.told);
    auto reason = candidate.check->reason();
    slot.candidate.reset();
    turn_down(told, reason);
}

std::optional<std::string> VersionManager::missing(const VersionSet& set) {
    for (auto& one : set) {
        if (!one) continue;
        for (auto& need : one->dependencies) {
            auto& there = version_of(set, need.kind);
            if (!there || !there->bundle.items.contains(need.name))
                return cited(one->bundle) + " needs " + std::string(discovery::name_of(need.kind)) + " '" +
                       need.name.substr(0, 60) + "', which is not there";
        }
    }
    return {};
}

// The largest group of staged versions with which nothing that is needed is missing.
std::optional<Proposal> VersionManager::put_together(Micros now) {
    std::vector<Slot*> staged;
    for (auto& slot : slots)
        if (slot.candidate && slot.candidate->checked) staged.push_back(&slot);
    for (int size = static_cast<int>(staged.size()); size > 0; size--)
        for (unsigned mask = 1; mask < 1U << staged.size(); mask++) {
            if (std::popcount(mask) != size) continue;
            VersionSet next = force;
            for (std::size_t i = 0; i < staged.size(); i++)
                if (mask >> i & 1) {
                    auto& checked = staged[i]->candidate->checked;
                    next[static_cast<std::size_t>(checked->bundle.kind)] = checked;
                }
            if (missing(next)) continue;
            for (std::size_t i = 0; i < staged.size(); i++)
                if (mask >> i & 1) proposed.push_back(staged[i]->candidate->told.head.kind);
            return Proposal{next, settled, false};
        }
    for (auto* slot : staged) {  // what goes on waiting for its needs does not do so for ever
        if (now - slot->candidate->since < longest_staged) continue;
        VersionSet alone = force;
        alone[static_cast<std::size_t>(slot->candidate->told.head.kind)] = slot->candidate->checked;
        auto told = std::move(slot->candidate->told);
        slot->candidate.reset();
        turn_down(told, missing(alone).value_or("something it needs is missing") + " after 30 s");
    }
    return {};
}

std::optional<Proposal> VersionManager::step(Micros now) {
    if (!proposed.empty()) return {};
    if (trial.now_at() == Canary::State::Failed) {
        for (int kind = 0; kind < discovery::kinds; kind++)
            if (force[static_cast<std::size_t>(kind)] != settled[static_cast<std::size_t>(kind)])
                proposed.push_back(static_cast<Kind>(kind));
        proposed_back = true;
        if (!proposed.empty()) return Proposal{settled, settled, true};
        trial.end();
    }
    for (auto& slot : slots)
        if (slot.candidate && !slot.candidate->checked) {
            work(slot, now);
            return {};
        }
    for (auto& slot : slots)
        if (slot.waiting) {
            promote(slot, now);
            return {};
        }
    staged_changed = false;
    return put_together(now);
}

void VersionManager::applied(const LookupCounts& counts, Micros now) {
    auto kinds = std::exchange(proposed, {});
    if (std::exchange(proposed_back, false)) {
        counted.rolled_back++;
        for (auto kind : kinds) {
            auto place = static_cast<std::size_t>(kind);
            auto harmful = force[place];
            force[place] = settled[place];
            if (!harmful) continue;
            auto& bundle = harmful->bundle;
            rolled_back.push_back({kind, bundle.identity, bundle.number, bundle.digest, trial.reason()});
            if (rolled_back.size() > most_rolled_back) rolled_back.pop_front();
            lines.push_back("version " + cited(bundle) + " rolled back: " + trial.reason() +
                            "; in force again: " + (force[place] ? cited(force[place]->bundle) : "none"));
            auto& slot = slot_of(kind);
            answer({{slot.stream, slot.nonce}}, kind, "", "rolled back: " + trial.reason());
            replies.back().is_rollback = true;
        }
        trial.end();
        staged_changed = true;
        return;
    }
    for (auto kind : kinds) {
        auto& slot = slot_of(kind);
        auto candidate = std::move(*slot.candidate);
        slot.candidate.reset();
        force[static_cast<std::size_t>(kind)] = candidate.checked;
        auto& bundle = candidate.checked->bundle;
        note_newest(slot, bundle.identity, bundle.number);
        counted.in_force++;
        std::tie(slot.stream, slot.nonce) = candidate.told.owed.back();
        lines.push_back("version " + cited(bundle) + " in force");
        answer(candidate.told.owed, kind, "", {});
    }
    trial.begin(counts, now);
    if (trial.now_at() == Canary::State::Idle) settled = force;  // no trials: what is in force is settled
    staged_changed = true;
}

void VersionManager::rejected(const std::string& reason, Micros /*now*/) {
    auto kinds = std::exchange(proposed, {});
    if (std::exchange(proposed_back, false)) {
        lines.push_back("no roll-back: " + reason);
        trial.end();
        settled = force;
        return;
    }
    for (auto kind : kinds) {
        auto& slot = slot_of(kind);
        auto told = std::move(slot.candidate->told);
        slot.candidate.reset();
        turn_down(told, reason);
    }
    staged_changed = true;
}

void VersionManager::observe(const LookupCounts& counts, Micros now) {
    if (trial.observe(counts, now) == Canary::State::Passed) {
        settled = force;
        trial.end();
        lines.push_back("settled: " + describe(force));
    }
    for (auto& slot : slots)  // what is staged too long is looked at again
        if (slot.candidate && slot.candidate->checked && now - slot.candidate->since >= longest_staged)
            staged_changed = true;
}

void VersionManager::turn_down(const Told& told, const std::string& reason) {
    counted.turned_down++;
    lines.push_back("version " + cited(told.head) + " turned down: " + reason);
    answer(told.owed, told.head.kind, "", reason);
}

void VersionManager::answer(const Owed& owed, Kind kind, const std::string& type_url,
                            const std::optional<std::string>& reason) {
    for (auto& [stream, nonce] : owed) {
        discovery::Request request;
        request.kind = kind;
        request.type_url = type_url;
        if (type_url.empty() && version_of(force, kind))
            request.version = version_of(force, kind)->bundle.text;
        request.nonce = nonce;
        request.reason = reason;
        replies.push_back({stream, std::move(request)});
    }
}

discovery::Request VersionManager::subscription(Kind kind, bool claim_no_resources) const {
    discovery::Request request;
    request.kind = kind;
    auto& now = version_of(force, kind);
    if (!now || claim_no_resources) return request;
    request.version = now->bundle.text;
    for (auto& [name, item] : now->bundle.items) request.labels[name] = item->label;
    return request;
}

}  // namespace quillgrade::version
