// The life of versions: what is received, checked, staged, in force, on trial, turned down, taken back. No
// I/O and no clock. Its caller tells it what came and the time, lets it work a slice at a time, keeps and
// carries out what it proposes, and sends its replies.
//
//   received --> checking --> staged --> in force, on trial --> settled
//       |            |           |              |
//       |            v           v              v
//       +----> turned down <-----+         rolled back
//       +----> overtaken (a newer one of its kind came before its check began)
//
// Promises: a version comes into force whole, together with all that it needs and all that needs it; it is
// acknowledged only after entered(), that is after its caller has kept it; whatever is turned down leaves
// what is in force as it was. At most one version a kind is under check or staged and one waits, so memory
// is bounded by a few times the longest version.
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

enum class Phase { None, Queued, Validating, Staged };

struct Reply {
    StreamId stream;
    discovery::Request request;
    bool is_rollback = false;  // told by the router itself; where the stream has ended, another may carry it
};

// What should come into force now. The caller keeps `next` and `settled`, takes it in, and then calls
// entered(); or it calls refused(), and nothing has changed.
struct Proposal {
    VersionSet next;
    VersionSet settled;        // the last one that has stood its trial: what a roll-back returns to
    bool is_rollback = false;  // this is a roll-back
};

class VersionManager {
public:
    VersionManager(ConfiguredLimits limits, std::vector<Kind> taken, const Canary::Terms& trial);

    // From the store, before anything else. False, with the reason, where it does not pass its check.
    std::optional<std::string> restore(const std::vector<Bundle>& kept);
    // `afresh`: the first of its kind on a stream that has claimed to hold nothing; changes are then all.
    void receive(StreamId stream, discovery::Offer offer, bool afresh, Micros now);
    bool has_work() const;  // step() has something to do at once
    std::optional<Proposal> step(Micros now);
    void applied(const LookupCounts& counts, Micros now);
    void rejected(const std::string& reason, Micros now);
    void observe(const LookupCounts& counts, Micros now);

    discovery::Request subscription(Kind kind, bool claim_no_resources) const;
    std::vector<Reply> take_replies() { return std::exchange(replies, {}); }
    std::vector<std::string> take_log_lines() { return std::exchange(lines, {}); }

    const VersionSet& active() const { return force; }
    const VersionSet& last_settled() const { return settled; }
    Phase phase(Kind kind) const;
    Canary::State canary_state() const { return trial.now_at(); }
    std::string identity(Kind kind) const;

    // How often each has happened.
    struct Counters {
        std::uint64_t received = 0, in_force = 0, turned_down = 0, overtaken = 0, rolled_back = 0,
                      repeated = 0;
    };
    const Counters& counters() const { return counted; }

private:
    using Owed = std::vector<std::pair<StreamId, std::string>>;  // nonces that wait for an answer
    struct Told {                                                // a version as it came
        Bundle head;                                             // without items
        discovery::Form form = discovery::Form::Whole;
        bool afresh = false;
        std::map<std::string, std::shared_ptr<Item>> changes;  // null: removed; the whole form: all items
        std::uint64_t digest = 0;                              // of the whole form
        Owed owed;
    };
    struct Candidate {
        Told told;
        std::unique_ptr<Validator> check;
        std::shared_ptr<const ValidatedBundle> checked;
        Micros since = 0;
    };
    struct Slot {
        std::optional<Told> waiting;
        std::optional<Candidate> candidate;
        std::deque<std::pair<std::string, std::uint64_t>>
            newest;  // by identity, the one heard last at the end
        // With which what is in force was acknowledged last. Guards against a roll-back that is reported
        // under the nonce of a newer version, which its service would take for turned down.
        StreamId stream = 0;
        std::string nonce;
    };
    struct RolledBack {
        Kind kind;
        std::string identity;
        std::uint64_t number, digest;
        std::string reason;
    };

    std::optional<std::string> refusal(Slot& slot, const Told& told);
    static std::optional<std::uint64_t> newest(const Slot& slot, const std::string& identity);
    static void note_newest(Slot& slot, const std::string& identity, std::uint64_t number);
    void promote(Slot& slot, Micros now);
    void work(Slot& slot, Micros now);
    std::optional<Proposal> put_together(Micros now);
    static std::optional<std::string> missing(const VersionSet& set);  // what is needed and is not there
    void turn_down(const Told& told, const std::string& reason);
    void answer(const Owed& owed, Kind kind, const std::string& type_url,
                const std::optional<std::string>& reason);
    Slot& slot_of(Kind kind) { return slots[static_cast<std::size_t>(kind)]; }

    ConfiguredLimits limits;
    std::vector<Kind> taken;
    Canary trial;
    VersionSet force, settled;
    std::array<Slot, discovery::kinds> slots;
    std::vector<Kind> proposed;  // kinds of the proposal that is out
    bool proposed_back = false, staged_changed = false;
    std::deque<RolledBack> rolled_back;
    std::vector<Reply> replies;
    std::vector<std::string> lines;
    Counters counted;
};

}  // namespace quillgrade::version
