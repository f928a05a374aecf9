// One router's view of the group membership, and its part in the protocol: SWIM with the extensions of
// Lifeguard. A Membership is told the time and the datagrams that were received, and returns datagrams to
// send and changes of state. It uses no clock, socket or thread of its own.
//
//     Membership membership(config);
//     // Whenever datagrams have come, and at membership.next_tick() at the latest:
//     for (auto& [from, bytes] : received) membership.receive(from, bytes, now);
//     membership.tick(now);
//     for (auto& datagram : membership.take_outgoing()) send(datagram.to, datagram.bytes);
//     for (auto& change : membership.take_state_changes()) report(change);
//
// Guarantees, and what follows from them for safety:
//
// - No state proves that a router is gone: a partition looks like death to both of its sides, and a paused
//   router looks dead to all. So no router may take a larger share because others seem dead. Divide an
//   amount by the configured number of routers, or lend it with an end; never divide it by
//   counts().at_least. Only `Gone` is certain: the router announced it, for one generation, and may start a
//   new generation at any time.
//
// - A live router that can be reached through any other stays out of `Dead` while datagrams are lost or
//   late. If it was declared dead, it returns by itself once it can be reached again.
//
// - A cut in one direction never makes a router suspected: it is `Silent` to the router that does not hear
//   it.
//
// - A datagram has at most 256 bytes. MembershipSettings::bytes_per_s bounds the long-run rate of sending,
//   with a burst of at most two seconds' worth, whatever is received and however many routers there are.
//
// - Memory is some hundred bytes for each router, allocated at the start, and at most 64 one-sided cuts.
//
// Times are microseconds of the Unix clock. Datagrams that can't be used are dropped and counted, see
// MembershipCounters::dropped.
#pragma once

#include <array>
#include <boost/random/taus88.hpp>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "peers/byte_budget.hpp"
#include "peers/gossip_queue.hpp"
#include "peers/local_health.hpp"
#include "peers/member_state.hpp"
#include "peers/message.hpp"
#include "peers/page_server.hpp"
#include "peers/probe_schedule.hpp"
#include "peers/reachability.hpp"
#include "peers/round_trips.hpp"
#include "peers/state_transfer.hpp"
#include "peers/suspicion.hpp"

namespace quillgrade::peers {

// Settings of the protocol, as the operators' file gives them. Times are microseconds.
struct MembershipSettings {
    Micros probe_period = 333'000;
    double bytes_per_s = 300;               // that a router may send, without UDP and IP headers
    Micros shortest_suspicion = 2'100'000;  // from the accusation to the verdict, with several accusers
    Micros longest_suspicion = 8'000'000;   // with a single accuser
    Micros longest_pause = 250'000;         // a call later than this means that the router was paused
    int indirect_probe_helpers = 2;
    // State transfer at the start and after partitions (docs/state-transfer.md). When it is off, datagrams
    // of its kinds are not sent, and those received are dropped and counted.
    bool state_transfer = false;
    bool operator==(const MembershipSettings&) const = default;
};

struct MembershipConfig {
    RouterIndex self = 0;
    int routers = 1;  // in the group, this one included
    int zone = -1;    // -1: none
    Generation generation = 1;
    std::uint64_t seed = 1;
    Micros now = 0;
    MembershipSettings settings{};
};

enum class State {
    Unknown,  // no record of it has come since this router started
    Alive,
    Suspected,  // accused, and may still refute
    Silent,     // alive, as other routers hear it, but its own datagrams do not reach this router
    Dead,       // declared dead after nobody that probed it got an answer; may be a partition
    Leaving,    // announced by the router itself
    Gone        // announced by the router itself
};
const char* name_of(State state);

struct StateChange {
    RouterIndex who;
    State before, after;
    Micros at;
    MemberState member_state;
    // The accuser, helper or sender that caused the change; `who` where its own datagram did; -1: a timeout.
    RouterIndex by;
};

struct MemberView {
    State state = State::Unknown;
    Micros since = 0;  // start of the state
    // From 0 to 1. It is 1 only for what the router itself announced, and falls while no router is heard.
    double confidence = 0;
    bool unhealthy = false;  // it answers its peers, but reports that its lookups are not served
    int zone = -1;           // -1: not known yet
    MemberState member_state{};
    Micros last_heard = 0;                  // when its own last datagram came; 0: never
    bool hears_me = true, is_heard = true;  // the link's two directions; true unless known to be cut
};

struct HealthChange {
    RouterIndex who;
    bool unhealthy;
};

// Bounds on the number of live routers: `at_least` counts those alive, leaving or silent; `at_most` counts
// all but those that announced they are gone.
struct Counts {
    int at_least = 0, at_most = 0;
};

struct Outgoing {
    RouterIndex to;
    std::string bytes;
};

// Supplies payload for the room that the membership leaves in the datagrams it sends.
class Piggyback {
public:
    virtual ~Piggyback() = default;
    // Returns at most `room` bytes for `to`, or nothing. They are sent once, and not again if they are lost.
    virtual std::string load(RouterIndex to, std::size_t room, Micros now) = 0;
    // Takes payload that was received, before the datagram that carried it is answered.
    // `generation` is the sender's.
    virtual void unload(RouterIndex from, Generation generation, std::string_view bytes, Micros now) = 0;
};

// Totals since the start. `withheld`: datagrams that were not sent for lack of bytes; `requests_shed`: range
// requests answered as busy.
struct MembershipCounters {
    std::uint64_t piggyback_bytes = 0;  // sent
    std::uint64_t sent = 0, bytes_sent = 0, received = 0, withheld = 0, pauses = 0, refutations = 0,
                  accusations = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(DropReason::Count)> dropped{};
    // State transfer.
    std::uint64_t range_requests = 0, pages_accepted = 0, pages_unsolicited = 0, pages_sent = 0,
                  requests_shed = 0;
};

class Membership {
public:
    explicit Membership(const MembershipConfig& config);

    // Takes a datagram that came from the configured address of router `from`; -1: from any other address.
    void receive(RouterIndex from, std::string_view datagram, Micros now);
    void tick(Micros now);           // does what is due by now
    Micros next_tick() const;        // the latest time for the next tick()
    void leave(Micros now);          // on SIGTERM: announces from now on that it is leaving
    void announce_exit(Micros now);  // at the end of the process: announces that it is gone
    void set_unhealthy(bool yes);    // whether its lookups go unserved, which it tells the others
    std::vector<Outgoing> take_outgoing() { return std::exchange(outgoing, {}); }
    std::vector<StateChange> take_state_changes() { return std::exchange(state_changes, {}); }
    // One-sided cuts that began or ended.
    std::vector<LinkReport> take_link_reports() { return std::exchange(new_link_reports, {}); }

    // Routers that became unhealthy or healthy, by their own report.
    std::vector<HealthChange> take_health_changes() { return std::exchange(health_changes, {}); }

    // Not owned; null: none. It has to outlive the membership or be reset to null before.
    void set_piggyback(Piggyback* source) { piggyback = source; }
    // Sends datagrams for the sake of the piggybacked payload, to at most `most` routers that are alive and
    // not cut off, of zone `in_zone` unless that is -1. Returns false where the byte budget allowed none.
    // Urgent ones may use as many bytes as answers to indirect probes.
    bool send_piggyback(std::size_t most, int in_zone, bool urgent, Micros now);
    bool send_piggyback(RouterIndex to, bool urgent, Micros now);
    // Sends an urgent one to `to`, or has its bytes saved up until the end of the next tick.
    bool send_piggyback_or_reserve(RouterIndex to, Micros now) {
        return !(reserves_for_piggyback = !send_piggyback(to, true, now));
    }
    // Bytes that non-urgent datagrams for the payload's sake may use now.
    double spare_bytes(Micros now);

    MemberView view(RouterIndex who, Micros now) const;
    State state(RouterIndex who) const;
    int zone_of(RouterIndex who) const { return at(who).zone; }  // -1: not known yet
    int own_zone() const { return zone; }
    RouterIndex own_number() const { return self_number; }
    Counts counts() const;
    std::vector<LinkReport> cuts() const { return reachability.down_links(); }
    const MemberState& self() const { return self_state; }
    const MembershipCounters& counters() const { return totals; }
    int routers() const { return static_cast<int>(members.size()); }
    std::size_t bytes_held() const;
    // Whether it is still fetching the records of the others, after its start or a long pause. Always false
    // without MembershipSettings::state_transfer.
    bool transferring() const;

private:
    // Changes kept until they are taken, so that a caller which never takes them does not
    // use memory without bound.
    static constexpr std::size_t max_kept_changes = 10'000;

    struct Member {
        MemberState member_state;
        Micros since = 0, last_heard = 0, changed_at = 0;
        State state = State::Unknown;
        std::int16_t zone = -1;
    };
    struct Probe {
        std::uint32_t id;
        RouterIndex target;
        Micros sent_at, next_step_at;
        Micros asking_until;  // from then on it sends nothing more and only waits for answers
        Micros ends_at;
        bool lacked_bytes = false, answered_via_helper = false;
        int steps = 0, helpers_asked = 0, nacks = 0;
        RouterIndex helper = -1;
    };
    // A probe that another router asked for.
    struct IndirectProbe {
        std::uint32_t id;
        RouterIndex requester, target;
        Micros nack_at, ends_at;
        bool settled = false;  // the requester was sent the answer or a NACK
    };

    // By descending claim on the byte budget: what others make this router send never takes the bytes of its
    // own probes, and gossip never takes those of answers.
    enum class SendPriority { Probe, Answer, ProbeRetry, IndirectProbe, Gossip, Background };
    static double reserve_seconds(SendPriority priority);

    void handle_pause(Micros now);
    void process(const Message& message, Micros now);
    // Whether a record that is new here is gossiped to others.
    enum class Disseminate { Yes, No };
    void merge_record(const MemberRecord& record, RouterIndex by, Micros now,
                      Disseminate disseminate = Disseminate::Yes);
    void dispatch(const Message& message, Micros now);
    void apply_accusations(const Message& message, Micros now);
    void apply_link_reports(const Message& message, Micros now);
    void refute(const MemberState& reported);
    void accuse(RouterIndex who, RouterIndex accuser, Micros age, Micros now);
    void check_suspicions(Micros now);
    bool send_last_call(RouterIndex who, Micros now);
    bool chosen_to_ping_accused();
    void update_state(RouterIndex who, RouterIndex by, Micros now);
    void report_link(RouterIndex speaker, RouterIndex listener, bool cut, RouterIndex by, Micros now);
    void report_ended_cuts(const std::vector<LinkReport>& ended_cuts, RouterIndex by, Micros now);
    State derived_state(RouterIndex who) const;
    void begin_new_generation();
    void raise_incarnation(bool urgent);
    void enqueue_gossip(RouterIndex who, bool urgent);
    void send_urgent_gossip(Micros now);
    void send_gossip(std::size_t receivers, Micros now);

    std::vector<MemberRecord> corrections_to(const Message& ping) const;
    void answer_ping(const Message& ping, Micros now);
    void handle_answer(const Message& answer, Micros now);
    void relay_answer(const Message& answer, Micros now);
    void start_indirect_probe(const Message& request, Micros now);
    void compare_digest(const Message& digest, Micros now);
    bool is_complete(Micros now) const;
    bool suppresses_gossip() const;
    void fetch_blocks(const std::vector<RouterIndex>& starts, RouterIndex from, Micros now);
    void request_ranges(Micros now);
    HelperRank rank_as_helper(RouterIndex who) const;
    void handle_page(const Message& message, Micros now);
    bool has_worse_verdict(const MemberRecord& record) const;
    void answer_range_request(const Message& request, Micros now);
    Message build_page(RouterIndex first, RouterIndex end, Micros now) const;
    bool send_page(RouterIndex to, const Message& message, Micros now);
    void send_busy(RouterIndex to, Micros now);
    bool send_without_gossip(RouterIndex to, Message message, SendPriority priority, Micros now);
    void enqueue_outgoing(RouterIndex to, std::string bytes, Micros now);
    double available_bytes(Micros now);
    void spend_bytes(std::size_t bytes);

    void probe_scheduled_target(Micros now);
    void advance_probes(Micros now);
    void send_due_nacks(Micros now);
    void start_probe(RouterIndex target, Micros now);
    bool awaits_record(RouterIndex who) const;
    bool believed_present(RouterIndex who) const;
    void advance_probe(Probe& probe, Micros now);
    void finish_probe(const Probe& probe, Micros now);
    Micros indirect_answer_timeout(Micros now);
    void reprobe_doubtful(Micros now);
    void send_digest(Micros now);
    std::vector<RouterIndex> pick_peers(std::size_t most, RouterIndex excluded, int in_zone = -1);
    bool send(RouterIndex to, Message message, SendPriority priority, Micros now,
              const std::vector<MemberRecord>& first = {}, bool for_piggyback = false);
    void add_updates(RouterIndex to, Message& message, const std::vector<MemberRecord>& first, double left,
                     Micros now);
    void add_accusation_of_receiver(RouterIndex to, Message& message, Micros now);
    void add_gossip(Message& message, double room, Micros now);
    bool add_record(RouterIndex who, Message& message, double room, Micros now) const;
    void add_payload(RouterIndex to, Message& message, std::string& bytes, double bytes_free, Micros now);
    Member& at(RouterIndex who) { return members[static_cast<std::size_t>(who)]; }
    const Member& at(RouterIndex who) const { return members[static_cast<std::size_t>(who)]; }

    RouterIndex self_number;
    int zone;
    MembershipSettings settings;
    MemberState self_state;
    std::vector<Member> members;
    ProbeSchedule probe_schedule;
    Suspicions suspicions;
    Reachability reachability;
    GossipQueue gossip;
    LocalHealth local_health;
    RoundTripEstimator round_trips;
    ByteBudget byte_budget;
    std::optional<StateTransfer> transfer;  // set if settings.state_transfer, as is page_server
    std::optional<PageSendBudget> page_server;
    boost::random::taus88 generator;
    std::vector<Probe> probes;
    std::vector<IndirectProbe> indirect_probes;
    std::vector<Outgoing> outgoing;
    std::vector<StateChange> state_changes;
    std::vector<LinkReport> new_link_reports;
    std::vector<HealthChange> health_changes;
    Piggyback* piggyback = nullptr;
    bool reserves_for_piggyback = false;  // bytes are saved up for urgent payload
    MembershipCounters totals;
    std::uint32_t next_probe_id = 1;
    std::int64_t last_slot = -1;
    Micros next_digest_at = 0, next_reprobe_at = 0, next_expiry_at = 0, last_heard_any = 0;
    int early_digests = 0;  // digests to send soon, because the last found differences or this router is new
    RouterIndex digest_start = 0;        // where the next digest starts
    bool urgent_gossip_pending = false;  // urgent updates that were sent to nobody yet
};

}  // namespace quillgrade::peers
