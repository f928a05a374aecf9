// The life of each version of streamed configuration, from its receipt to its activation, rejection or
// rollback. No I/O and no clock: the caller passes in what was received and the time, lets it work in slices,
// stores and applies what it proposes, and sends its replies (ACK or NACK).
//
//   received --> validating --> staged --> active, on trial as a canary --> settled
//       |            |            |            |
//       |            v            v            v
//       +-----> rejected <--------+       rolled back
//       +-----> superseded (a newer one of its kind came before its validation began)
//
// Guarantees: a version becomes active as a whole, together with all its dependencies and all that depend on
// it. It is acknowledged only after applied(), that is after the caller has stored it. A rejected version
// leaves the active ones unchanged. Per kind, at most one version is validating or staged and one is queued,
// so memory is bounded by a few times the longest version.
//
//   versions.receive(stream, std::move(offer), false, now);
//   while (versions.has_work())
//       if (auto proposal = versions.step(now)) {
//           if (auto error = store_and_apply(*proposal))
//               versions.rejected(*error, now);
//           else
//               versions.applied(counts, now);
//       }
//   for (auto& reply : versions.take_replies()) send(reply);
#pragma once

#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "version/bundle.hpp"
#include "version/check.hpp"
#include "version/trial.hpp"

namespace quillgrade::version {

using StreamId = std::uint64_t;

// How far the version of a kind that is not yet active has come.
enum class Phase { None, Queued, Validating, Staged };

struct Reply {
    StreamId stream;
    discovery::Request request;
    bool is_rollback = false;  // not requested by the service; if its stream has ended, another may carry it
};

// The versions to activate now. The caller stores `next` and `settled`, applies `next`, and then calls
// applied(); or it calls rejected(), and nothing changes.
struct Proposal {
    VersionSet next;
    VersionSet settled;  // the last set that passed its canary: a rollback returns to it
    bool is_rollback = false;
};

class VersionManager {
public:
    VersionManager(ConfiguredLimits limits, std::vector<Kind> accepted_kinds,
                   const Canary::Settings& canary_settings);

    // Activates stored versions, before anything else is called. Returns the reason where one is not valid;
    // nothing is active then.
    std::optional<std::string> restore(const std::vector<Bundle>& stored);
    // `initial`: the first of its kind on a stream that has claimed to hold nothing, so in the incremental
    // form it lists all resources.
    void receive(StreamId stream, discovery::Offer offer, bool initial, Micros now);
    bool has_work() const;  // step() has something to do at once
    std::optional<Proposal> step(Micros now);
    void applied(const LookupCounts& counts, Micros now);
    void rejected(const std::string& reason, Micros now);
    // Judges the active version by the counts; to be called regularly.
    void observe(const LookupCounts& counts, Micros now);

    discovery::Request subscription(Kind kind, bool claim_no_resources) const;
    std::vector<Reply> take_replies() { return std::exchange(replies, {}); }
    std::vector<std::string> take_log_lines() { return std::exchange(log_lines, {}); }

    const VersionSet& active() const { return active_set; }
    const VersionSet& last_settled() const { return settled; }
    Phase phase(Kind kind) const;
    Canary::State canary_state() const { return canary.current_state(); }
    std::string identity(Kind kind) const;  // of the service that numbered the active version

    // How often each has happened since the start.
    struct Counters {
        std::uint64_t received = 0, activated = 0, rejected = 0, superseded = 0, rolled_back = 0,
                      repeated = 0;
    };
    const Counters& counters() const { return totals; }

private:
    using PendingNonces = std::vector<std::pair<StreamId, std::string>>;  // nonces that await a reply
    struct ReceivedVersion {
        Bundle header;  // without items
        discovery::Form form = discovery::Form::Whole;
        bool is_full_state = false;  // `changes` are all resources, not a difference to the version before
        std::map<std::string, std::shared_ptr<Item>> changes;  // by resource name; null: removed
        std::uint64_t digest = 0;                              // of the whole form only
        PendingNonces pending_nonces;
    };
    struct Candidate {
        ReceivedVersion received;
        std::unique_ptr<Validator> validator;
        std::shared_ptr<const ValidatedBundle> validated;  // null until staged
        Micros since = 0;
    };
    struct Slot {  // the state of one kind
        std::optional<ReceivedVersion> queued;
        std::optional<Candidate> candidate;
        std::deque<std::pair<std::string, std::uint64_t>>
            highest_numbers;  // by identity, the one received last at the end
        // Under which the active version was last acknowledged. A rollback that was reported under the nonce
        // of a newer version would make its service take that version for rejected.
        StreamId stream = 0;
        std::string nonce;
    };
    struct RolledBack {
        Kind kind;
        std::string identity;
        std::uint64_t number, digest;
        std::string reason;
    };

    std::optional<std::string> rejection_reason(Slot& slot, const ReceivedVersion& received);
    static std::optional<std::uint64_t> highest_number(const Slot& slot, const std::string& identity);
    static void record_number(Slot& slot, const std::string& identity, std::uint64_t number);
    void start_validation(Slot& slot, Micros now);
    void continue_validation(Slot& slot, Micros now);
    std::optional<Proposal> propose_staged(Micros now);
    static std::optional<std::string> missing_dependency(const VersionSet& set);
    void reject(const ReceivedVersion& received, const std::string& reason);
    void queue_replies(const PendingNonces& pending_nonces, Kind kind, const std::string& type_url,
                       const std::optional<std::string>& reason);
    Slot& slot_of(Kind kind) { return slots[static_cast<std::size_t>(kind)]; }

    ConfiguredLimits limits;
    std::vector<Kind> accepted_kinds;
    Canary canary;
    VersionSet active_set, settled;
    std::array<Slot, discovery::kinds> slots;
    std::vector<Kind> proposed_kinds;  // of the proposal that awaits applied() or rejected()
    bool proposed_rollback = false, staged_changed = false;
    std::deque<RolledBack> rolled_back;
    std::vector<Reply> replies;
    std::vector<std::string> log_lines;
    Counters totals;
};

}  // namespace quillgrade::version
