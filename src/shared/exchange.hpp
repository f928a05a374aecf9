// What the routers of a tier share, as one party of it: facts, quotas, health_reports, counts. It rides on
// the datagrams of a peers::Membership, is told the time, and gives back values. No clock, socket or thread.
//
//     Exchange exchange(membership, terms);
//     exchange.at(times);                                // before the membership hears what came
//     listing = exchange.listed(listing, times);         // the own coordinator's lists and purges, before
//     the module auto changes = exchange.pass(live_since, times);   // what else the module has to be told
//     server.right = exchange.right(id, times);          // at the start of a turn, for all of young()
//     auto until = exchange.use(id, work, now, times);   // at its end, for what was decided to be sent
//
// What it promises:
//   - Alone, a router decides as without it, but for cold budgets, see quotas.hpp. What is heard closes
//   servers,
//     bounds ages, speaks where own samples are too few, and raises counts by what others were truly asked.
//   - The bounds of facts.hpp, quotas.hpp, health_reports.hpp and request_counts.hpp, all in memory set by
//   their `most`.
//   - It sends nothing by itself but through the membership, so within the circle's bytes a second.
#pragma once

#include <deque>
#include <map>
#include <string>
#include <vector>

#include "peers/membership.hpp"
#include "shared/payload.hpp"

namespace quillgrade::shared {

struct Times {
    Micros unix = 0;    // for what is compared between machines: purges, starts, epochs
    Micros steady = 0;  // for the lengths of leases
};

struct Parts {
    bool facts = true, quotas = true, judgements = true, counts = true;
    bool operator==(const Parts&) const = default;
};

struct Terms {
    Parts parts{};
    Bounds site{};  // of the settings
    int owners = 4;
    Micros lease = 3'000'000;
    std::uint32_t seed = 1;
    Times now{};
};

class Exchange : public peers::Piggyback {
public:
    // `membership` outlives this; it carries it from now on.
    Exchange(peers::Membership& membership, const Terms& terms);
    ~Exchange() override;
    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;
    Exchange(Exchange&&) = delete;
    Exchange& operator=(Exchange&&) = delete;

    void at(const Times& now) { last = now; }
    feed::Listing listed(feed::Listing told, const Times& now);
    void purged(const feed::PurgeNotice& notice, const Times& now);
    Facts::Changes pass(Micros live, const Times& now);

    // How long after its start, by this machine's clock, a parent is to be taken for cold: where budgets are
    // shared, longer than the settings say by as much as the clock may be ahead.
    Micros parent_cold() const;
    // Servers whose cold budget is shared now.
    std::vector<CacheId> young() const;
    double right(CacheId server, const Times& now);  // below 0: its budget is not shared
    Micros use(CacheId server, double work, Micros tag, const Times& now);
    void give_back(CacheId server, double work, Micros tag, const Times& now);
    void missed(CacheId server, double work, double usual, const Times& now);

    // What this router holds against servers, as it stands now.
    void witnessed(const std::vector<Testimony>& told, int measured, const Times& now);
    Hearsay hearsay(CacheId server, Micros started, const Times& now) const;
    std::vector<CacheId> named() const { return health_reports.named(); }

    // A first part is asked for: how many other routers of the location were asked for it too.
    int asked(ObjectId object, const Times& now);
    int heard_routers() const;  // of the location, this one included

    std::string load(RouterIndex to, std::size_t room, Micros now) override;
    void unload(RouterIndex from, Generation life, std::string_view bytes, Micros now) override;

    struct Figures {
        std::uint64_t malformed = 0, other_terms = 0, facts_heard = 0, counts_heard = 0, complaints_heard = 0,
                      payload_bytes = 0;
    };
    const Figures& figures() const { return seen; }
    const Quotas::Figures& quota_figures() const { return quotas.figures(); }
    Quotas::Shares shares(CacheId server, const Times& now) { return quotas.shares(server, now.steady); }
    const Facts& known() const { return facts; }
    const RequestCounts& counted() const { return request_counts; }
    bool others_differ(const Times& now) const;  // routers whose amounts are not the same were heard lately

private:
    struct Out {
        std::vector<Ask> asks;
        std::vector<Grant> grants;
        Micros at = 0;
    };
    void take(RouterIndex from, Generation life, const Payload& load, const Times& now);
    void tell_facts(const Times& now);
    bool is_parent(const ListEntry& entry) const { return entry.kind == terms.site.parent_kind; }

    peers::Membership& membership;
    Terms terms;
    std::uint32_t hash;
    Facts facts;
    Quotas quotas;
    HealthReports health_reports;
    RequestCounts request_counts;
    std::map<CacheId, ListEntry> cold;
    std::map<CacheId, int> zones;  // of the servers complained of
    std::vector<Complaint> complaints;
    Breadth breadth;
    Micros complaints_at = 0, spare_at = 0, mend_at = 0, expire_at = 0, differed_at = 0;
    std::size_t complaint_turn = 0;
    std::map<RouterIndex, Out> out;
    std::vector<bool> unlike;  // by router: its facts differ from mine
    bool facts_wait = false;   // some are to be told, and the bytes for it are being saved up
    Times last{};
    Figures seen;
};

}  // namespace quillgrade::shared
