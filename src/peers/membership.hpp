// Who of the routers is there. One Membership is one router's view and its part in the protocol: it is told
// the time and the datagrams that came, and gives back datagrams to send and what has changed. No clock,
// socket or thread.
//
//     Membership membership(start);
//     for (auto& [from, bytes] : what_came) membership.hear(from, bytes, now);
//     membership.pass(now);                      // after all that came was heard, and again at
//     membership.due() for (auto& one : membership.outgoing()) send(one.to, one.bytes); for (auto& one :
//     membership.changes()) tell(one);
//
// What it promises, and what follows for safety:
//   - Nothing here is proof that a router is gone. A cut looks like death to both of its sides, a pause to
//   all.
//     So nobody's share may rise because others seem dead: amounts are divided by the count in the settings,
//     or lent with an end; never by counts().surely. Only `Gone` is a fact: the router said so itself, about
//     one life, and a new life may begin at any time.
//   - A router that lives and can be reached through anyone stays out of `Dead` while datagrams get lost and
//     come late, and comes back from it by itself once it is reached again.
//   - A cut in one direction never makes a router suspected: it is `Silent` to the one that does not hear it.
//   - A datagram is 256 bytes at most, and MembershipSettings::bytes_per_s bounds what is sent in the long
//   run, with two
//     seconds' worth at once, whatever comes in and however many routers there are.
//   - Memory: some hundred bytes a router of the tier, all set aside at the start; 64 one-sided cuts.
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

// Times and bytes, as the operators' file states them.
struct MembershipSettings {
    Micros probe_period = 333'000;          // between probes
    double bytes_per_s = 300;               // of what a router sends, without the headers of UDP and IP
    Micros shortest_suspicion = 2'100'000;  // from an accusation to a verdict, where several accuse
    Micros longest_suspicion = 8'000'000;   // where one does
    Micros longest_pause = 250'000;         // a later pass than this means that the router was away
    int indirect_probe_helpers = 2;
    // State transfer at the start and after cuts (docs/state-transfer.md). Off: no datagram of its kinds is
    // sent, and those that come are dropped and counted.
    bool state_transfer = false;
    bool operator==(const MembershipSettings&) const = default;
};

struct MembershipConfig {
    RouterIndex self = 0;
    int routers = 1;
    int zone = -1;
    Generation life = 1;
    std::uint64_t seed = 1;
    Micros now = 0;
    MembershipSettings settings{};
};

enum class State {
    Unknown,  // never heard of since I started
    Alive,
    Suspected,  // accused, and may still answer
    Silent,     // alive, but I don't hear it: others do
    Dead,       // given up by those that could ask; may be a cut
    Leaving,    // said by itself
    Gone        // said by itself
};
const char* name_of(State state);

struct StateChange {
    RouterIndex who;
    State before, after;
    Micros at;
    MemberState member_state;
    RouterIndex by;  // the accuser, helper or teller that made it so; `who` itself where it was heard; -1: a
                     // time ran out
};

struct MemberView {
    State state = State::Unknown;
    Micros since = 0;        // of the state
    double confidence = 0;   // 0 to 1. 1 only for what the router said of itself; falls while I hear nobody
    bool unhealthy = false;  // it answers us, but says that it gets no lookups handled
    int zone = -1;           // -1: not heard yet
    MemberState member_state{};
    Micros last_heard = 0;                  // the last datagram of its own, 0: none
    bool hears_me = true, is_heard = true;  // the two directions between it and me; true while not known cut
};

struct HealthChange {
    RouterIndex who;
    bool unhealthy;
};

// An interval: `surely` counts those alive, leaving or silent to me; `possibly` all but those that said they
// were gone.
struct Counts {
    int at_least = 0, at_most = 0;
};

struct Outgoing {
    RouterIndex to;
    std::string bytes;
};

// What rides along on datagrams that are sent anyway, in room that the membership leaves.
class Piggyback {
public:
    virtual ~Piggyback() = default;
    // At most `room` bytes for `to`, which are then sent once; empty: nothing.
    virtual std::string load(RouterIndex to, std::size_t room, Micros now) = 0;
    // What rode along and has come, before what it came with is answered. `life` is the sender's.
    virtual void unload(RouterIndex from, Generation life, std::string_view bytes, Micros now) = 0;
};

struct MembershipCounters {
    std::uint64_t piggyback_bytes = 0;
    std::uint64_t sent = 0, bytes_sent = 0, received = 0, withheld = 0, pauses = 0, refutations = 0,
                  accusations = 0;
    std::array<std::uint64_t, static_cast<std::size_t>(DropReason::Count)> dropped{};
    // Of state transfer.
    std::uint64_t range_requests = 0, pages_accepted = 0, pages_unsolicited = 0, pages_sent = 0,
                  requests_shed = 0;
};

class Membership {
public:
    explicit Membership(const MembershipConfig& start);

    // A datagram from the address of router `from` in the list; -1: from an address that is not in it.
    void receive(RouterIndex from, std::string_view datagram, Micros now);
    void tick(Micros now);           // what is due
    Micros next_tick() const;        // when it wants to be called again at the latest
    void leave(Micros now);          // SIGTERM: from now on it says that it leaves
    void announce_exit(Micros now);  // the last word
    void set_unhealthy(bool yes);    // whether it gets its lookups handled
    std::vector<Outgoing> take_outgoing() { return std::exchange(out, {}); }
    std::vector<StateChange> take_state_changes() { return std::exchange(changed, {}); }
    std::vector<LinkReport> take_link_reports() {
        return std::exchange(cut_news, {});
    }  // one-sided cuts and their ends

    std::vector<HealthChange> take_health_changes() {
        return std::exchange(health_news, {});
    }  // who says it is ill, or well again

    // Null: nobody rides. It has to outlive the membership, or be taken off.
    void set_piggyback(Piggyback* rider) { piggyback = rider; }
    // Datagrams for the passenger's sake, to `most` routers that are alive and can be talked with, of
    // `in_zone` where that is not -1. False where the bytes for that are used up. Urgent ones may take what
    // answers may.
    bool send_piggyback(std::size_t most, int in_zone, bool urgent, Micros now);
    bool send_piggyback(RouterIndex to, bool urgent, Micros now);
    // The same to one, and where the bytes for it are not there they are saved up.
    bool send_piggyback_or_reserve(RouterIndex to, Micros now) {
        return !(piggyback_waits = !send_piggyback(to, true, now));
    }
    // Bytes that may be sent for the passenger's sake now.
    double spare_bytes(Micros now);

    MemberView view(RouterIndex who, Micros now) const;
    State state(RouterIndex who) const;
    int zone_of(RouterIndex who) const { return at(who).zone; }  // -1: not heard yet
    int own_zone() const { return zone; }
    RouterIndex own_number() const { return number; }
    Counts counts() const;
    std::vector<LinkReport> cuts() const { return reachability.down_links(); }
    const MemberState& self() const { return me; }
    const MembershipCounters& counters() const { return seen; }
    int routers() const { return static_cast<int>(members.size()); }
    std::size_t bytes_held() const;
    // It has started, or was away for long, and still fetches the accounts of the others. Never without
    // MembershipSettings::state_transfer.
    bool transferring() const;

private:
    static constexpr std::size_t most_changes = 10'000;  // kept until they are fetched

    struct Member {
        MemberState member_state;
        Micros since = 0, heard = 0, changed = 0;
        State state = State::Unknown;
        std::int16_t zone = -1;
    };
    struct Probe {
        std::uint32_t number;
        RouterIndex target;
        Micros sent, step_at;
        Micros asks_end;  // from then on nobody is asked any more, and only answers are waited for
        Micros end;
        bool starved = false, passed_on = false;
        int steps = 0, helpers = 0, noes = 0;
        RouterIndex helper = -1;
    };
    struct IndirectProbe {  // a probe for somebody else
        std::uint32_t number;
        RouterIndex asker, target;
        Micros say_no_at, end;
        bool said_no = false;
    };

    // In probe_schedule: what others make this router send never takes the bytes of its own probes, nor news
    // those of answers.
    enum class SendPriority { Probe, Answer, Insist, IndirectProbe, News, Spare };
    static double kept_back(SendPriority need);

    void arrive(Micros now);
    void take(const Message& message, Micros now);
    // Whether what is new here is told to others by gossip.
    enum class Spread { Yes, No };
    void take(const MemberRecord& account, RouterIndex by, Micros now, Spread spreading = Spread::Yes);
    void take_by_kind(const Message& message, Micros now);
    void take_accusations(const Message& message, Micros now);
    void apply_link_reports(const Message& message, Micros now);
    void about_me(const MemberState& told);
    void accuse(RouterIndex who, RouterIndex accuser, Micros age, Micros now);
    void judge(Micros now);
    bool make_last_call(RouterIndex who, Micros now);
    bool asks_accused();
    void note(RouterIndex who, RouterIndex by, Micros now);
    void note_cut(RouterIndex speaker, RouterIndex listener, bool cut, RouterIndex by, Micros now);
    void note_ended_cuts(const std::vector<LinkReport>& ended_cuts, RouterIndex by, Micros now);
    State worked_out(RouterIndex who) const;
    void new_life();
    void say_anew(bool urgent);
    void spread(RouterIndex who, bool urgent);
    void pass_on(Micros now);
    void tell_some(std::size_t many, Micros now);

    std::vector<MemberRecord> corrections_to(const Message& ping) const;
    void answer_ping(const Message& ping, Micros now);
    void answered(const Message& heard, Micros now);
    void pass_answer_on(const Message& heard, Micros now);
    void probe_for_another(const Message& ask, Micros now);
    void compare(const Message& digest, Micros now);
    bool knows_all(Micros now) const;
    bool leaves_gossip_to_others() const;
    void fetch_blocks(const std::vector<RouterIndex>& starts, RouterIndex from, Micros now);
    void ask_for_ranges(Micros now);
    HelperRank rank_as_helper(RouterIndex who) const;
    void take_page(const Message& message, Micros now);
    bool worsens(const MemberRecord& account) const;
    void answer_range_request(const Message& request, Micros now);
    Message page_from(RouterIndex first, RouterIndex end, Micros now) const;
    bool send_as_helper(RouterIndex to, const Message& message, Micros now);
    void say_busy(RouterIndex to, Micros now);
    bool send_alone(RouterIndex to, Message message, SendPriority priority, Micros now);
    void hand_out(RouterIndex to, std::string bytes, Micros now);
    double bytes_left(Micros now);
    void spend(std::size_t bytes);

    void probe_in_slot(Micros now);
    void step_probes(Micros now);
    void say_no_to_askers(Micros now);
    void probe(RouterIndex target, Micros now);
    bool awaits_account(RouterIndex who) const;
    bool thought_there(RouterIndex who) const;
    void step(Probe& probe, Micros now);
    void end_probe(const Probe& probe, Micros now);
    Micros time_through_helper(Micros now);
    void look_again(Micros now);
    void send_digest(Micros now);
    std::vector<RouterIndex> pick(std::size_t most, RouterIndex but, int in_zone = -1);
    bool send(RouterIndex to, Message message, SendPriority priority, Micros now,
              const std::vector<MemberRecord>& first = {}, bool for_piggyback = false);
    void add_news(RouterIndex to, Message& message, const std::vector<MemberRecord>& first, double left,
                  Micros now);
    void add_accusation_of_receiver(RouterIndex to, Message& message, Micros now);
    void add_gossip(Message& message, double room, Micros now);
    bool add_account(RouterIndex who, Message& message, double room, Micros now) const;
    void load_payload(RouterIndex to, Message& message, std::string& bytes, double bytes_free, Micros now);
    Member& at(RouterIndex who) { return members[static_cast<std::size_t>(who)]; }
    const Member& at(RouterIndex who) const { return members[static_cast<std::size_t>(who)]; }

    RouterIndex number;
    int zone;
    MembershipSettings settings;
    MemberState me;
    std::vector<Member> members;
    ProbeSchedule probe_schedule;
    Suspicions suspicions;
    Reachability reachability;
    GossipQueue gossip;
    LocalHealth local_health;
    RoundTripEstimator round_trips;
    ByteBudget byte_budget;
    std::optional<StateTransfer> transfer;  // only with MembershipSettings::state_transfer, as the next
    std::optional<PageSendBudget> page_server;
    boost::random::taus88 chance;
    std::vector<Probe> probes;
    std::vector<IndirectProbe> indirect_probes;
    std::vector<Outgoing> out;
    std::vector<StateChange> changed;
    std::vector<LinkReport> cut_news;
    std::vector<HealthChange> health_news;
    Piggyback* piggyback = nullptr;
    bool piggyback_waits = false;  // it has something urgent, and the bytes for it have to be saved up
    MembershipCounters seen;
    std::uint32_t next_probe = 1;
    std::int64_t last_slot = -1;
    Micros digest_at = 0, look_again_at = 0, expire_at = 0, heard_any = 0;
    int unlike = 0;          // digests to send soon, since the last found differences or I am new
    RouterIndex window = 0;  // where the next digest starts
    bool fresh = false;      // urgent news that nobody was told yet
};

}  // namespace quillgrade::peers
