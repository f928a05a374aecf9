// The decisions of quillgrade, all of them. The interface and the state are in control.hpp.
//
// One Router stands for one router process; all that happens to a lookup is a call on its handle. Nothing
// here knows a clock, a file or a name: the time comes with each call and chance from the seed. The design:
// docs/design.md.
#include "control.hpp"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <utility>

namespace quillgrade {

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;

// The shield: the design's starting values.
constexpr double whole_p = 20, least_p = 0.5, most_p = 1, q = 0.5;
constexpr Micros halving = 30 * second;
constexpr std::size_t most_names = 16384;  // a name costs some 40 bytes, so this is under a megabyte
constexpr int kept_rank = 2;

// Measurements: enough samples to tell a trend, few enough that a recovery shows within seconds.
constexpr std::size_t few = 16, many = 64, enough = 6;
constexpr Micros sample_life = 5 * second, first_byte_life = 20 * second, report_life = 2 * second;

// Judging servers.
constexpr double unusual_silence = 8;  // mean gaps; an exponential gap is that long once in 3,000 times
constexpr Micros least_gap = 30 * ms, unknown_gap = 200 * ms;
constexpr double bad_share = 0.3, far_worse = 2.5;  // failing or slow beside its peers
constexpr double trial_gaps = 20, clearly = 1.5,
                 least_in_flight = 6;  // lookups for each trial; times as quick
constexpr Micros trial_every = 500 * ms, judge_every = 50 * ms, flight_wait = second;  // later: a fill's wait

// Guards.
constexpr double budget_margin = 0.6, least_link = 2;  // for what others get wrong; where no link is known
constexpr double credit_per_answer = 0.15, most_credit = 20, nearly_all = 0.95;
// Shares of the room between sending and goal time, from where shedding begins to where nearly all goes.
constexpr double crowded = 0.2, jammed = 1.0;
constexpr double fills_crowded = 0.1, fills_jammed = 0.8, usual_fill_room = 0.7, failed_fill_room = 1.5;
constexpr double link_crowded = 1, link_jammed = 4;  // transfers over those that fit at full pace
constexpr Micros look_every = 100 * ms, tend_every = 100 * ms, listen_every = 500 * ms;

void add(Samples& samples, Micros at, double value, std::size_t most = few, CacheId with = 0) {
    samples.push_back({at, value, with});
    if (samples.size() > most) samples.pop_front();
}

std::vector<double> recent(const Samples& samples, Micros now, Micros life = sample_life) {
    std::vector<double> values;
    for (auto& sample : samples)
        if (now - sample.at < life) values.push_back(sample.value);
    return values;
}

double mean(const std::vector<double>& values, double none) {
    if (values.empty()) return none;
    return std::accumulate(values.begin(), values.end(), 0.0) / values.size();
}

double median(std::vector<double> values, double none, double share = 0.5) {
    if (values.empty()) return none;
    auto wanted = values.begin() + static_cast<std::ptrdiff_t>(values.size() * share);
    std::nth_element(values.begin(), wanted, values.end());
    return *wanted;
}

std::vector<double> all(const Samples& samples) { return recent(samples, 0); }

// Between 0 and 1, and never either.
double unit_of(std::uint64_t x) {
    x = (x ^ x >> 30) * 0xbf58476d1ce4e5b9U;
    x = (x ^ x >> 27) * 0x94d049bb133111ebU;
    return ((x ^ x >> 31) >> 11) * 0x1p-53 + 0x1p-54;
}

// Rendezvous hashing: each object orders all servers in its own way, in proportion to their ratings.
double draw_of(ObjectId object, const Server& server, bool rated) {
    double unit = unit_of(object * 0x9e3779b97f4a7c15U ^ server.id * 0xd6e8feb86659fd93U);
    return std::log(unit) / (rated && server.rating > 0 ? server.rating : 1.0);
}

bool is_parent(const Router& router, const Server& server) { return server.kind == router.parent_kind; }
bool is_origin(const Router& router, const Server& server) { return server.kind == router.origin_kind; }
bool is_edge(const Router& router, const Server& server) {
    return !is_parent(router, server) && !is_origin(router, server) && server.zone == router.zone;
}
bool same_role(const Router& router, const Server& a, const Server& b) {
    return is_parent(router, a) == is_parent(router, b) && is_edge(router, a) == is_edge(router, b);
}

std::vector<Server*> in_hash_order(Router& router, ObjectId object,
                                   bool (*role)(const Router&, const Server&)) {
    std::vector<std::pair<double, Server*>> drawn;
    for (auto& server : router.servers)
        if (server.listed == Listed::Ready && role(router, server))
            drawn.emplace_back(draw_of(object, server, router.ratings_are_links), &server);
    std::sort(drawn.begin(), drawn.end(), [](auto& a, auto& b) {
        return a.first != b.first ? a.first > b.first : a.second->id < b.second->id;
    });
    std::vector<Server*> order;
    order.reserve(drawn.size());
    for (auto& entry : drawn) order.push_back(entry.second);
    return order;
}

// A copy is a copy of one part, and at the edge each part has a place of its own in the hash order: the parts
// of a long object would else ask one cache in a convoy. The count, the draw and the parents stay with the
// object.
ObjectId part_key(const LookupFacts& lookup) {
    return lookup.object + static_cast<ObjectId>(0x51ed2701U * lookup.part);
}

bool holds(const std::vector<CacheId>& ids, CacheId id) {
    return std::find(ids.begin(), ids.end(), id) != ids.end();
}

double mean_sending(const Traffic& traffic) { return mean(all(traffic.sizes), traffic.goal); }

double rate(const Samples& finished, Micros now) {
    if (finished.size() < enough) return 0;
    return mean(all(finished), 0) * finished.size() / std::max<Micros>(now - finished.front().at, 100 * ms);
}

// Rate times time: as many lookups as the server answers, as measured, within a usual goal time.
double most_in_flight(const Router& router, const Server& server) {
    if (server.finished.size() < enough) return least_in_flight;
    double span = std::max<Micros>(server.finished.back().at - server.finished.front().at, 100 * ms);
    double time = 0;
    for (auto& type : router.traffic) time += type.goal + type.goal_stretch * mean_sending(type);
    return std::max(least_in_flight, server.finished.size() / span * time / router.traffic.size());
}

// The share of a server's verdicts that are failures, leaving out those it shares with `other`.
double failing_without(const Server& server, const Server& other, Micros now) {
    std::vector<double> verdicts;
    for (auto& sample : server.verdicts)
        if (sample.with != other.id && now - sample.at < sample_life) verdicts.push_back(sample.value);
    return mean(verdicts, 0);
}

Micros cold_since(const Server& server) { return std::max(server.started, server.back_since); }

bool is_cold(const Router& router, const Server& server, Micros now) {
    Micros since = cold_since(server);
    return since > 0 && now - since < (is_parent(router, server) ? router.parent_cold : router.cold);
}

// When the first answer of those in flight is due, 0 if none is.
Micros first_due(const Server& server) {
    Micros first = 0;
    for (auto& flight : server.in_flight)
        if (first == 0 || flight.sent + flight.expected < first) first = flight.sent + flight.expected;
    return first;
}

void sound(Server& server, Micros now) {
    Micros due = first_due(server);
    if (due > 0 && now > std::max(due, server.last_sound))
        add(server.gaps, now, now - std::max(due, server.last_sound));
    server.last_sound = now;
}

void reached(Server& server, Micros now) {
    sound(server, now);
    if (server.unreached_at > 0 && now - server.unreached_at > second) server.back_since = now;
    server.unreached_at = 0;
}

void hear(const Router& router, Server& server, const LoadReport& load, Micros now) {
    if (router.link_use_at >= 0 && router.link_use_at < load.count)
        add(server.link_use, now, load.values[router.link_use_at]);
}

void land(Server* server, LookupId lookup, int round) {
    if (!server) return;
    std::erase_if(server->in_flight, [&](auto& f) { return f.lookup == lookup && f.round == round; });
}

Server* origin_of(Router& router) {
    for (auto& server : router.servers)
        if (server.listed == Listed::Ready && is_origin(router, server)) return &server;
    return nullptr;
}

// Every so often one lookup tries a server out of favour, less often where few come: trials by many routers
// would else become what is mostly sent to it.
bool on_trial(const Router& router, Server& server, Micros now) {
    double gap = 0;
    if (router.taken.size() >= enough)
        gap = double(router.taken.back().at - router.taken.front().at) / router.taken.size();
    if (now - server.last_trial < std::max<double>(trial_every, trial_gaps * gap)) return false;
    server.last_trial = now;
    return true;
}

// What an answer after `lag` has used of the room between sending and goal time.
double room_of(const Held& held, Micros lag) {
    return (lag - held.sending) / std::max<double>(held.goal - held.taken - held.sending, ms);
}

void spend(const Router& router, Server& server, double work, Micros now) {
    if (is_cold(router, server, now)) add(server.spent, now, work, 1024);
    if (server.right > 0) server.right -= std::min(work, server.right);
}

Micros left_of(const Held& held, Micros now) { return held.facts.due - now; }

Answer transmit(Router& router, Held& held, Server& cache, Micros now) {
    // Straight at a parent only that parent itself or the origin may be named; anything else is a fault.
    Server* origin = origin_of(router);
    CacheId source_id = cache.id;
    if (is_edge(router, cache) && !held.look_only) source_id = pick_source(router, held, now);
    if (Server* source = find_server(router, source_id);
        held.held_only && (!source || !is_parent(router, *source)))
        source_id = cache.id;
    if (is_parent(router, cache) && origin) source_id = origin->id;
    auto& type = router.traffic[held.facts.traffic];
    double work = mean_sending(type);
    auto expected = held.sending + static_cast<Micros>(median(all(type.extra), 0));
    auto round = static_cast<int>(held.rounds.size());
    Server* filled_from = find_server(router, source_id);
    RoundOut sent{cache.id, source_id, now, static_cast<Micros>(work)};
    sent.cache_since = cold_since(cache);
    sent.source_since = filled_from ? cold_since(*filled_from) : 0;
    sent.spent_at = now;
    held.rounds.push_back(sent);
    InFlight flight{held.facts.id, round, held.facts.traffic, now, expected, held.sending};
    cache.in_flight.push_back(flight);
    spend(router, cache, work, now);
    if (filled_from && filled_from != &cache) {
        filled_from->in_flight.push_back(flight);
        spend(router, *filled_from, work, now);
    }
    Answer answer;
    answer.send = {.cache = cache.id,
                   .source = source_id,
                   .rank = held.keep ? kept_rank : 0,
                   .oldest = oldest_allowed(router, held.facts, now),
                   .limit = 0,
                   .join = router.joins,
                   .renew = held.keep && type.fresh > 0,
                   .held_only = held.held_only};
    answer.look_in = std::max<Micros>(1, std::min(left_of(held, now), std::max(look_every, 2 * expected)));
    return answer;
}

void withdraw_rest(Router& router, Held& held, Answer& answer, int but = -1) {
    if (!router.withdraw) return;
    for (int i = 0; i < static_cast<int>(held.rounds.size()); i++)
        if (held.rounds[i].out && i != but) answer.withdraw.push_back(i);
}

void forget_if_over(Router& router, Held& held) {
    bool out = std::any_of(held.rounds.begin(), held.rounds.end(), [](auto& round) { return round.out; });
    if (held.done && !out) router.held.erase(held.facts.id);
}

// The final answer, given at once: a rejection where the rules let the client ask again, else a break-off.
Answer give_up(Router& router, Held& held, Micros now) {
    Answer answer;
    answer.final = may_reject(router, held) && left_of(held, now) > 0 ? Final::Rejected : Final::BrokenOff;
    if (answer.final == Final::Rejected) answer.come_back = router.most_retry_after;
    held.done = true;
    withdraw_rest(router, held, answer);
    forget_if_over(router, held);
    return answer;
}

}  // namespace

std::uint32_t Random::next() {
    std::uint64_t old = state;
    state = old * 6364136223846793005U + 1442695040888963407U;
    auto shifted = static_cast<std::uint32_t>((old >> 18 ^ old) >> 27);
    auto turn = static_cast<unsigned>(old >> 59);
    return shifted >> turn | shifted << (-turn & 31);
}

double Random::unit() { return next() * 0x1p-32; }

double psi(double t, double p) { return 1 / (1 + std::exp((p - t) / q)); }

Router::Router(const SiteFacts& site, std::uint64_t seed)
    : Bounds(static_cast<const Bounds&>(site)), kb_per_us(site.kb_per_s / second), seed(seed) {
    for (auto& t : site.traffic)
        traffic.push_back(
            {t.goal, t.fresh, t.window, t.goal_stretch, t.effect, t.group, t.write, {}, {}, {}, {}, {}});
    edge_sharers = std::max(1, site.routers_by_zone.at(site.zone));
    parent_sharers = std::max(1, site.routers);
    if (!site.retry_after) most_retry_after = 0;
    want_list = site.list_must_be_asked;
    credit = most_credit / 2;
    chance.state = seed;
    chance.next();
}

// 20 over the location's routers, for those whose counts are known here: where all are heard, each decides by
// what the location was asked for, and a part that is cut off as a location of that part's size.
double Router::p() const { return std::clamp(whole_p * heard / edge_sharers, least_p, most_p); }

Server* find_server(Router& router, CacheId id) {
    auto at = std::lower_bound(router.servers.begin(), router.servers.end(), id,
                               [](auto& server, CacheId wanted) { return server.id < wanted; });
    return at != router.servers.end() && at->id == id ? &*at : nullptr;
}

void Router::list(const std::vector<ListEntry>& entries, bool complete, Micros now) {
    if (born == 0) born = now;
    if (complete)
        for (auto& server : servers) server.listed = Listed::Gone;
    std::vector<CacheId> fresh;  // thousands may come at once, so they are put in order together
    for (auto& entry : entries)
        if ((entry.zone == zone || entry.kind == parent_kind || entry.kind == origin_kind) &&
            !find_server(*this, entry.id))
            fresh.push_back(entry.id);
    std::sort(fresh.begin(), fresh.end());
    fresh.erase(std::unique(fresh.begin(), fresh.end()), fresh.end());
    auto known = static_cast<std::ptrdiff_t>(servers.size());
    for (auto id : fresh) servers.emplace_back().id = id;
    std::inplace_merge(servers.begin(), servers.begin() + known, servers.end(),
                       [](auto& a, auto& b) { return a.id < b.id; });
    for (auto& entry : entries) {
        Server* server = find_server(*this, entry.id);
        if (!server) continue;  // other locations' caches are never asked, so they cost nothing
        if (entry.started > server->started) {  // a new process: what was measured was of the old one
            server->gaps = server->verdicts = server->slowness = server->first_byte = {};
            server->unreached_at = server->back_since = 0;
        }
        server->listed = entry.listed;
        server->rating = entry.rating;
        server->kind = entry.kind;
        server->cell = entry.cell;
        server->zone = entry.zone;
        server->started = entry.started;
    }
    std::erase_if(servers, [](auto& server) { return server.listed == Listed::Gone; });  // else memory grows
}

void Router::list_failed() { want_list = true; }

void Router::purged(ObjectId object, int group, Micros how_old, Micros now) {
    std::erase_if(purged_objects, [&](auto& known) { return known.second.until < now; });
    std::erase_if(purged_groups, [&](auto& known) { return known.second.until < now; });
    Purge purge{now - how_old, now - how_old + purge_done};
    auto& known = object ? purged_objects[object] : purged_groups[group];
    if (purge.at > known.at) known = purge;
}

// No copy older than the latest purge will do, until no such copy can be left; 0 leaves it at the fresh time.
Micros oldest_allowed(const Router& router, const LookupFacts& lookup, Micros now) {
    Micros fresh = router.traffic[lookup.traffic].fresh;
    Micros oldest = fresh;
    auto heed = [&](auto& purges, auto key) {
        auto found = purges.find(key);
        if (found == purges.end() || found->second.until + second < now) return;
        Micros since = std::max<Micros>(1, now - found->second.at);
        oldest = oldest > 0 ? std::min(oldest, since) : since;
    };
    heed(router.purged_objects, lookup.wire_object ? lookup.wire_object : lookup.object);
    heed(router.purged_groups, lookup.group);
    return oldest == fresh ? 0 : oldest;
}

// CacheShield: a first part raises its object's count and draws; a kept name goes on asking keep while its
// count stays, and later parts follow. One whose name is not known (since a restart) counts as the first one
// seen.
bool keep_or_pass(Router& router, const LookupFacts& lookup, Micros now) {
    if (lookup.write || router.traffic[lookup.traffic].write) return false;
    auto known = router.names.find(lookup.object);
    if (lookup.part > 0 && known != router.names.end()) return known->second.kept;
    if (router.halved_at == 0) router.halved_at = now;
    while (now - router.halved_at >= halving ||
           (known == router.names.end() && router.names.size() >= most_names)) {
        for (auto& [object, name] : router.names) name.asked /= 2;
        std::erase_if(router.names, [](auto& name) { return name.second.asked == 0; });
        router.halved_at = now;
        known = router.names.find(lookup.object);
    }
    auto& name = router.names[lookup.object];
    name.asked++;
    if (router.chance.unit() < psi(name.asked + lookup.elsewhere, router.p())) name.kept = true;
    return name.kept;
}

// How many mean gaps long the present silence of a server is, counted from when its next answer was due.
double silence(const Server& server, Micros now) {
    Micros due = first_due(server), since = std::max(due, server.last_sound);
    if (due == 0 || now <= since) return 0;
    double gap = server.gaps.size() < 4 ? unknown_gap : mean(all(server.gaps), unknown_gap);
    return (now - since) / std::max<double>(gap, least_gap);
}

const char* beside_peers(const Router& router, const Server& server, Micros now) {
    auto verdicts = recent(server.verdicts, now), slowness = recent(server.slowness, now);
    // Nothing to say of what was hardly measured; going through all peers for each would cost their square.
    // There others have the word, as far as they agree. Own samples beat them.
    if (verdicts.size() < enough && slowness.size() < enough) {
        if (server.hearsay.samples < enough) return nullptr;
        if (server.hearsay.bad > bad_share) return "failing, by hearsay";
        return server.hearsay.slow > far_worse ? "slow, by hearsay" : nullptr;
    }
    std::vector<double> peers_bad, peers_slow;
    bool own_fault = is_parent(router, server) && router.notes == NotesTold::All;
    for (auto& peer : router.servers) {
        if (peer.id == server.id || peer.listed != Listed::Ready) continue;
        if (!(own_fault ? is_origin(router, peer) : same_role(router, peer, server))) continue;
        auto bad = recent(peer.verdicts, now), slow = recent(peer.slowness, now);
        if (bad.size() >= enough) peers_bad.push_back(mean(bad, 0));
        if (slow.size() >= enough) peers_slow.push_back(median(slow, 1));
    }
    double usual = far_worse * median(peers_bad, 0);
    if (verdicts.size() >= enough && mean(verdicts, 0) > std::max(bad_share, usual)) return "failing";
    if (slowness.size() >= enough && !peers_slow.empty() &&
        median(slowness, 1) > far_worse * std::max(1.0, median(peers_slow, 1)))
        return "slow";
    return nullptr;
}

// What speaks against a server now, nullptr if nothing: each sign is measured against its peers, so that
// trouble which all of them share is not laid at the door of one. Only where the notes tell a parent's own
// failures from the origin's do parents not excuse each other. Peers change slowly, so the comparison holds
// for a moment.
const char* complaint(const Router& router, const Server& server, Micros now) {
    if (server.unreached_at > 0) return "unreachable";
    if (silence(server, now) > unusual_silence) return "silent";
    if (now - server.judged_at >= judge_every) {
        server.judged_at = now;
        server.judged = beside_peers(router, server, now);
    }
    return server.judged;
}

// What the settings allow a server of so wide a link within any window, that long after its start, as sending
// time.
double whole_cold_budget(const Bounds& site, bool parent, double link, Micros age) {
    double from = parent ? site.parent_cold_from : site.cold_from;
    double grown = std::max<double>(0, age - site.cold_window);
    double share = from + (1 - from) * grown / (parent ? site.parent_cold : site.cold);
    return (parent ? site.parent_multiple : site.cold_multiple) * (share * link * site.cold_window);
}

// Chance that is drawn once for each server and window, at other times in each router.
double drawn_for(const Router& router, const Server& server, Micros now) {
    std::uint64_t x = router.seed ^ server.id * 0xd6e8feb86659fd93U;
    auto window = std::max<Micros>(router.cold_window, ms);
    return unit_of(x ^ ((now + x % window) / window) * 0x9e3779b97f4a7c15U);
}

// A cold server may be asked, by all routers together and within any window, for a multiple of what it can
// do; this router takes its share, less a margin. Where that is less than one lookup, one is sent in as many
// windows as come up to it, drawn by chance, so that all routers together keep to the whole but for chance.
// Where the link is not told, what this router has seen the server's like carry stands for it, or what it has
// answered itself since its start, at the ratio at which the settings let a server start: more would be
// pushed by all who have been answered. Where the routers share the whole, what this one holds of it now
// stands for all that.
bool within_cold_budget(const Router& router, const Server& server, double work, Micros now) {
    if (!is_cold(router, server, now)) return true;
    server.wanted += work;
    server.wanted_once = work;
    if (server.right >= 0) return work <= server.right;
    bool parent = is_parent(router, server);
    double sharers = parent ? router.parent_sharers : router.edge_sharers;
    double link = (router.ratings_are_links ? server.rating : least_link) / sharers;
    if (!router.ratings_are_links) {
        std::vector<double> seen;
        for (auto& peer : router.servers)
            if (same_role(router, peer, server) && peer.finished.size() >= enough)
                seen.push_back(rate(peer.finished, peer.finished.back().at));
        double answered = 0;
        for (auto& sample : server.finished)
            if (sample.at > std::max(cold_since(server), now - router.cold_window)) answered += sample.value;
        link = std::max({link, mean(seen, 0), answered / std::max<Micros>(router.cold_window, ms)});
    }
    // A life knows nothing of what the one before it has sent within the window. Guards against restarted
    // routers that spend their part twice.
    double since_start =
        std::clamp(double(now - router.born) / std::max<Micros>(router.cold_window, ms), 0.0, 1.0);
    double mine =
        budget_margin * since_start * whole_cold_budget(router, parent, link, now - cold_since(server));
    double spent = work;
    for (auto& sample : server.spent)
        if (now - sample.at < router.cold_window + 100 * ms) spent += sample.value;
    if (mine >= work) return spent <= mine;
    return spent <= work && drawn_for(router, server, now) < mine / work;
}

// The smoothed first-byte time of a source. What is out for longer than the usual answer counts with what it
// has waited so far: else a parent that answers few of its fills is judged by these few. Guards against slow,
// silent and cold parents alike; it hurts where lookups are out long for a cache's own reasons, but at all
// sources alike.
double first_byte_time(const Server& source, double average, Micros now) {
    auto times = recent(source.first_byte, now, first_byte_life);
    double usual = mean(times, average);
    for (auto& flight : source.in_flight)
        if (double waited = now - flight.sent - flight.work; waited > usual) times.push_back(waited);
    return mean(times, average);
}

// Of the object's first two parents the first, unless the second's smoothed first-byte time is clearly lower:
// chance would else move all objects to and fro, each kept twice. A parent not heard from lately counts as
// average.
CacheId pick_source(Router& router, const Held& held, Micros now) {
    Server* origin = origin_of(router);
    double work = mean_sending(router.traffic[held.facts.traffic]);
    auto parents = in_hash_order(router, held.facts.object, is_parent);
    std::vector<double> heard;
    for (auto* parent : parents)
        if (!recent(parent->first_byte, now, first_byte_life).empty())
            heard.push_back(mean(recent(parent->first_byte, now, first_byte_life), 0));
    double average = mean(heard, 0);
    if (parents.size() > 2) parents.resize(2);
    Server* best = nullptr;
    double best_time = 0;
    for (auto* parent : parents) {
        if (holds(held.failed_from, parent->id) || !within_cold_budget(router, *parent, work, now)) continue;
        if (complaint(router, *parent, now)) {
            if (on_trial(router, *parent, now)) return parent->id;
            continue;
        }
        double time = first_byte_time(*parent, average, now);
        if (!best || clearly * time < best_time) {
            best = parent;
            best_time = time;
        }
    }
    if (best || origin) return best ? best->id : origin->id;
    return parents.empty() ? 0 : parents.front()->id;
}

// The first cache in the object's hash order that nothing speaks against. If all are crowded the least
// crowded one serves, and if all are under complaint the first that the rules leave: the last path stays.
Server* pick_cache(Router& router, const Held& held, Micros now) {
    double work = mean_sending(router.traffic[held.facts.traffic]);
    Server *least = nullptr, *last = nullptr;
    double least_crowd = 0;
    for (auto* cache : in_hash_order(router, part_key(held.facts), is_edge)) {
        if (!may_send(router, held, *cache, now) || !within_cold_budget(router, *cache, work, now)) continue;
        if (holds(held.failed_at, cache->id)) continue;
        if (auto* among = held.facts.among.get();
            among && !among->empty() && !std::binary_search(among->begin(), among->end(), cache->id))
            continue;
        if (complaint(router, *cache, now)) {
            if (held.rounds.empty() && on_trial(router, *cache, now)) return cache;
            if (!last && cache->unreached_at == 0) last = cache;
            continue;
        }
        double young = 0;  // a fill that waits for its source holds no room at the cache
        for (auto& flight : cache->in_flight) young += now - flight.sent < flight.work + flight_wait;
        double crowd = young / most_in_flight(router, *cache);
        if (crowd < 1) return cache;
        if (!least || crowd < least_crowd) {
            least = cache;
            least_crowd = crowd;
        }
    }
    return least ? least : last;
}

bool may_copy(const Router& router, const Held& held) {
    return router.second_copies && !held.facts.no_copies;
}

bool may_follow(Router& router, const Held& held, std::size_t number, const Server& to, Micros now);

// Rule 2: nothing is sent again that may have run, unless the traffic type allows it there and then.
bool may_send(Router& router, const Held& held, const Server& to, Micros now) {
    int cap = router.transmissions_cap, own = held.facts.most_transmissions;
    if (held.done || static_cast<int>(held.rounds.size()) >= (own > 0 ? std::min(own, cap) : cap))
        return false;
    return may_follow(router, held, held.rounds.size(), to, now);
}

// What the other rounds leave open to the one with this number, whether it is decided or written now.
bool may_follow(Router& router, const Held& held, std::size_t number, const Server& to, Micros now) {
    auto& type = router.traffic[held.facts.traffic];
    for (auto& round : held.rounds) {
        if (&round == held.rounds.data() + number) continue;
        if (round.out && !may_copy(router, held)) return false;
        if (!round.out && !round.may_have_run) continue;
        if (type.effect == Effect::Rerunnable) continue;
        if (type.effect == Effect::Exclusive || now - round.sent >= type.window) return false;
        auto* at = find_server(router, round.cache);
        if (!at) return false;
        if (type.group == Group::Zone && at->zone != to.zone) return false;
        if (type.group == Group::Cell && at->cell != to.cell) return false;
    }
    return true;
}

bool may_reject(const Router& router, const Held& held) {
    auto& type = router.traffic[held.facts.traffic];
    if (type.effect == Effect::Rerunnable) return true;
    for (auto& round : held.rounds)
        if ((round.out || round.may_have_run) &&
            (type.effect == Effect::Exclusive || type.group != Group::All))
            return false;
    return true;
}

Handle Router::take(const LookupFacts& facts, Micros now) {
    auto& type = traffic[facts.traffic];
    Held& lookup = held[facts.id] = Held{.facts = facts, .taken = now};
    add(taken, now, 1);
    if (facts.kbytes > 0) {
        lookup.sending = static_cast<Micros>(facts.kbytes / kb_per_us);  // one too large may be made up
        if (lookup.sending <= facts.due - now) add(type.sizes, now, lookup.sending, many);
    } else if (auto name = names.find(facts.object); name != names.end() && name->second.sending > 0) {
        lookup.sending = name->second.sending;
    } else {
        // Nothing is known: one of the last seen stands for it, so that shedding takes a share of such
        // lookups.
        lookup.sending = type.sizes.empty()
                             ? type.goal
                             : static_cast<Micros>(type.sizes[chance.next() % type.sizes.size()].value);
    }
    lookup.goal = now + type.goal + static_cast<Micros>(type.goal_stretch * lookup.sending);
    return {*this, lookup};
}

std::optional<Handle> Router::find(LookupId id) {
    auto found = held.find(id);
    return found == held.end() ? std::nullopt : std::optional(Handle{*this, found->second});
}

// What an answer that takes `time`, as the average of the work, has used of the room between the sending time
// and the goal time: 0 where nothing waits, 1 where the usual answer comes at its goal time.
double room_used(const Traffic& type, double time) {
    double sending = 0, goal = 0, asked = 0;
    for (auto& size : type.sizes) {
        sending += size.value * size.value;
        goal += size.value * (type.goal + type.goal_stretch * size.value);
        asked += size.value;
    }
    return goal > sending ? std::max(0.0, (time * asked - sending) / (goal - sending)) : 0;
}

// How much of its room the usual hit used lately at the location's caches. Left out are fills, which wait for
// the link, and caches under complaint, where the few on trial would look like a crowd at all of them.
double crowd(const Router& router, Micros now) {
    std::vector<double> used;
    for (auto& server : router.servers)
        if (is_edge(router, server) && !complaint(router, server, now))
            for (double value : recent(server.room, now)) used.push_back(value);
    return used.size() < enough ? 0 : mean(used, 0);
}

double out_at_sources(const Router& router) {
    double out = 0;
    for (auto& server : router.servers) out += is_edge(router, server) ? 0 : server.in_flight.size();
    return out;
}

// How full the location's link is, as its caches report. Answers repeat a report until the next is made, so
// each cache's last one counts, in proportion to what this router has out by now over what it had out
// meanwhile. Guards against a link that is left empty while it is still called jammed, and then jammed by all
// held back.
double link_crowd(const Router& router, Micros now) {
    std::vector<double> used;
    for (auto& server : router.servers)
        if (auto told = recent(server.link_use, now, report_life); is_edge(router, server) && !told.empty())
            used.push_back(told.back());
    double meanwhile = mean(recent(router.out, now, report_life), 0);
    return mean(used, 0) * std::min(1.0, (out_at_sources(router) + 1) / (meanwhile + 1));
}

// Rate times time for what a traffic type fills through the location's link: lookups that name a source and
// are out for longer than a hit takes count whole, the others by the share of misses. Each type for itself,
// as a slow origin makes small lookups late first. Sources under complaint are left out, as others serve in
// their place.
double fill_crowd(const Router& router, int traffic, Micros now) {
    auto& type = router.traffic[traffic];
    double filled = rate(type.filled, now), answered = rate(type.answered, now);
    std::vector<CacheId> avoided;
    for (auto& server : router.servers)
        if (!is_edge(router, server) && complaint(router, server, now) &&
            silence(server, now) <= unusual_silence)
            avoided.push_back(server.id);
    std::vector<double> ended;
    for (auto& sample : type.fill_room)
        if (now - sample.at < report_life && !holds(avoided, sample.with)) ended.push_back(sample.value);
    double ended_crowd = ended.size() < enough ? 0 : mean(ended, 0) - usual_fill_room;
    if (filled <= 0) return ended_crowd;
    double out = 0, count = 0, misses = answered > filled ? filled / answered : 1;
    for (auto& server : router.servers)
        if (!is_edge(router, server) && !holds(avoided, server.id))
            for (auto& flight : server.in_flight) {
                if (flight.traffic != traffic) continue;
                double likely = now - flight.sent > 2 * flight.work + 100 * ms ? 1 : misses;
                out += flight.work * likely;
                count += likely;
            }
    if (count <= 1) return ended_crowd;
    // A few large ones are chance, not a crowd.
    return std::max(ended_crowd, room_used(type, (1 - 1 / std::sqrt(count)) * out / filled));
}

// Guards against a jam that feeds itself (late answers, clients asking again, caches turning work away). Each
// type's largest lookups go first, as one of them costs as much as many others and all are worth the same: of
// caches and the link a share of the work is freed, of places for fills a share of the lookups. It hurts
// where the crowd would have passed by itself within a goal time.
bool too_large(const Router& router, const Held& held, double crowd, double from, double to, bool by_work) {
    double share = std::clamp((to - crowd) / (to - from), 0.05, 1.0);
    auto sizes = all(router.traffic[held.facts.traffic].sizes);
    if (share == 1 || sizes.size() < enough) return false;
    std::sort(sizes.begin(), sizes.end());
    double room = share * (by_work ? mean(sizes, 0) * sizes.size() : sizes.size());
    auto cut = sizes.begin();
    for (; room >= (by_work ? *cut : 1) && cut + 1 != sizes.end(); cut++) room -= by_work ? *cut : 1;
    return held.sending > *cut;
}

// The ordinary path of a lookup.
Answer Handle::place(Micros now) {
    held.keep = keep_or_pass(router, held.facts, now);
    if (held.facts.kbytes > 0 && held.sending > left_of(held, now)) return give_up(router, held, now);
    if (too_large(router, held, crowd(router, now), crowded, jammed, true)) return give_up(router, held, now);
    held.look_only = too_large(router, held, link_crowd(router, now), link_crowded, link_jammed, true);
    held.held_only = !held.look_only && too_large(router, held, fill_crowd(router, held.facts.traffic, now),
                                                  fills_crowded, fills_jammed, false);
    Server* cache = pick_cache(router, held, now);
    if (!cache && router.direct && !held.look_only &&
        !held.held_only) {  // straight to the source, shed like a fill
        CacheId source = pick_source(router, held, now);
        cache = source ? find_server(router, source) : nullptr;
    }
    if (!cache) return give_up(router, held, now);
    return transmit(router, held, *cache, now);
}

Answer Handle::ended(const AttemptEnd& end, Micros now) {
    if (end.round < 0 || end.round >= static_cast<int>(held.rounds.size())) return {};
    auto& round = held.rounds[end.round];
    if (!round.out) return {};
    round.out = false;
    bool proven_idle = end.outcome == Outcome::Full || end.outcome == Outcome::Unconnected ||
                       end.outcome == Outcome::Moot || end.outcome == Outcome::Miss;
    round.may_have_run = !proven_idle;

    auto& type = router.traffic[held.facts.traffic];
    Server* cache = find_server(router, round.cache);
    Server* source = round.source == round.cache ? nullptr : find_server(router, round.source);
    bool ok = end.outcome == Outcome::Ok;
    bool hit = ok && (end.note == Note::Hit || end.note == Note::Old);
    bool ours = end.outcome == Outcome::Cancelled || end.outcome == Outcome::Moot;
    bool by_source =
             end.note >= Note::SourceRefused && end.note != Note::NoPlace && end.outcome != Outcome::Miss,
         by_cache = !by_source;
    // Where no note tells whose failure it was, it is laid to the one that fails more in other company, to
    // both if that is alike. Guards against a parent that is down, whose fills come back as refusals by sound
    // caches.
    if (source && cache && !ok && !ours && router.notes != NotesTold::All &&
        (end.outcome == Outcome::Error || end.outcome == Outcome::Full || end.outcome == Outcome::Timeout)) {
        double cache_bad = failing_without(*cache, *source, now),
               source_bad = failing_without(*source, *cache, now);
        by_source = source_bad >= cache_bad;
        by_cache = cache_bad >= source_bad;
    }
    if (cache) hear(router, *cache, end.load, now);
    router.told_in_answers |= end.load.count > 0;
    if (cache && !ours) {
        if (end.outcome != Outcome::Timeout && end.outcome != Outcome::Unconnected) reached(*cache, now);
        if (end.outcome == Outcome::Unconnected && cache->unreached_at == 0) cache->unreached_at = now;
        if (by_cache && end.outcome != Outcome::Miss)
            add(cache->verdicts, now, ok ? 0 : 1, few, source && !hit ? source->id : 0);
        if (hit) {
            add(cache->slowness, now, end.lag / std::max<double>(held.sending, 10 * ms));
            add(cache->room, now, room_of(held, end.lag));
        }
        if (ok) add(cache->finished, now, held.sending, many);
    }
    if (source && !hit && end.outcome != Outcome::Moot) {
        if (ok || (by_source && end.outcome != Outcome::Timeout)) sound(*source, now);
        if (ok || by_source) add(source->verdicts, now, ok ? 0 : 1, few, round.cache);
        Micros first = end.waited > 0 ? end.waited : std::max<Micros>(0, end.lag - held.sending);
        if (ok || (by_source && router.notes == NotesTold::All) || first > first_byte_time(*source, 0, now))
            add(source->first_byte, now, first, many);
        if (ok) add(source->finished, now, held.sending, many);
        if (ok) add(type.filled, now, held.sending, many);
    }
    if (source && !hit && !held.held_only && !ours && end.outcome != Outcome::Miss)
        add(type.fill_room, now, ok ? room_of(held, end.lag) : failed_fill_room, few, source->id);
    if (source && hit) {  // the source was never asked
        std::erase_if(source->spent,
                      [&](auto& s) { return s.at == round.spent_at && s.value == round.work; });
        if (source->right >= 0) add(source->returned, round.spent_at, round.work, 1024);
    }
    land(cache, held.facts.id, end.round);
    land(source, held.facts.id, end.round);
    if (ok) {
        add(type.answered, now, held.sending, many);
        add(type.extra, now, end.lag - held.sending, many);
        if (held.facts.kbytes <= 0) {  // parts of an object are alike, so the quickest answer tells the size
            auto name = router.names.find(held.facts.object);
            if (name != router.names.end() && (name->second.sending == 0 || end.lag < name->second.sending))
                name->second.sending = end.lag;
            if (hit) add(type.sizes, now, name != router.names.end() ? name->second.sending : end.lag, many);
        }
        router.credit = std::min(most_credit, router.credit + credit_per_answer);
    }

    Answer answer;
    if (ok || end.closed || held.done) {
        if (!held.done) withdraw_rest(router, held, answer);
        held.done = true;
        forget_if_over(router, held);
        return answer;
    }
    if (by_source) held.failed_from.push_back(round.source);
    if (by_cache && !ours) held.failed_at.push_back(round.cache);
    for (auto& other : held.rounds)
        if (other.out) return answer;  // a second copy is still on its way
    if (held.look_only || held.held_only) return give_up(router, held, now);
    Server* next =
        left_of(held, now) > held.sending && router.credit >= 1 ? pick_cache(router, held, now) : nullptr;
    if (!next) return give_up(router, held, now);
    router.credit -= 1;
    return transmit(router, held, *next, now);
}

Answer Handle::accepted(int round, Micros /*lag*/, Micros /*now*/) {
    Answer answer;
    held.done = true;
    withdraw_rest(router, held, answer, round);
    return answer;
}

// Where a copy costs little, an answer later than nearly all of its type is taken for lost. Guards against
// answers that break off in silence: the lookup would wait out its time limit and count as a crowd.
bool overdue(const Router& router, const Held& held, const RoundOut& round, Micros now) {
    auto& type = router.traffic[held.facts.traffic];
    auto extra = recent(type.extra, now, report_life);
    return may_copy(router, held) && type.effect == Effect::Rerunnable && router.credit >= most_credit / 2 &&
           extra.size() >= many / 2 && now - round.sent >= held.sending + median(extra, 0, nearly_all) &&
           crowd(router, now) < crowded && link_crowd(router, now) < link_crowded &&
           median(all(type.fill_room), 0) < usual_fill_room;
}

// Called while a lookup is out. When its cache has fallen silent the lookup goes to another one: as a second
// copy where that is allowed, else after the first was withdrawn.
Answer Handle::look(Micros now) {
    if (held.done) return {};
    if (left_of(held, now) <= 0) return give_up(router, held, now);
    Answer answer;
    answer.look_in = std::max<Micros>(1, std::min(left_of(held, now), look_every));
    if (held.moving || router.credit < 1 || left_of(held, now) < held.sending) return answer;
    int out = 0;
    for (auto& round : held.rounds)
        if (round.out) {
            out++;
            Server* at = find_server(router, round.cache);
            bool sound = at && !complaint(router, *at, now);
            if (sound && !overdue(router, held, round, now)) return answer;
            if (!sound && !holds(held.failed_at, round.cache)) held.failed_at.push_back(round.cache);
            if (sound) held.failed_from.push_back(round.source);
        }
    if (out != 1) return answer;
    if (!may_copy(router, held)) {
        if (router.withdraw && router.traffic[held.facts.traffic].effect == Effect::Rerunnable) {
            held.moving = true;
            withdraw_rest(router, held, answer);
        }
        return answer;
    }
    Server* next = pick_cache(router, held, now);
    if (!next || complaint(router, *next, now)) return answer;
    router.credit -= 1;
    return transmit(router, held, *next, now);
}

Answer Handle::left() {
    Answer answer = accepted(-1, 0, 0);
    forget_if_over(router, held);
    return answer;
}

// Guards against what a connection that came up late would still carry: to a server that drains by now, or
// that has started again since, after a purge, or past a ticket's window. What is spent counts from now on,
// as that is when it reaches the server.
bool Handle::confirm(int number, Transmission& order, Micros now) {
    if (held.done || number < 0 || number >= static_cast<int>(held.rounds.size())) return false;
    auto& round = held.rounds[number];
    Server* cache = find_server(router, round.cache);
    if (!round.out || !cache || left_of(held, now) <= 0) return false;
    if (!may_follow(router, held, number, *cache, now)) return false;
    Server* source = round.source == round.cache ? nullptr : find_server(router, round.source);
    auto as_decided = [](Server& at, Micros since) {
        return at.listed == Listed::Ready && cold_since(at) == since;
    };
    if (!as_decided(*cache, round.cache_since)) return false;
    if (source ? !as_decided(*source, round.source_since) : round.source != 0 && round.source != round.cache)
        return false;
    for (Server* at : {cache, source}) {
        if (!at) continue;
        auto spent = std::find_if(at->spent.begin(), at->spent.end(),
                                  [&](auto& s) { return s.at == round.spent_at && s.value == round.work; });
        if (spent != at->spent.end()) spent->at = now;
    }
    round.spent_at = now;
    order.oldest = oldest_allowed(router, held.facts, now);
    return true;
}

void Router::probed(CacheId id, Outcome outcome, Micros /*lag*/, const LoadReport& load, Micros now) {
    Server* server = find_server(*this, id);
    if (!server) return;
    hear(*this, *server, load, now);
    if (outcome == Outcome::Ok)
        reached(*server, now);
    else if (outcome != Outcome::Moot && server->unreached_at == 0)  // else nothing was sent
        server->unreached_at = now;
}

// What stands out is told by two samples: others have theirs, and weigh them together.
std::vector<Testimony> Router::witnessed(Micros now) const {
    std::vector<double> bads, slows;
    std::vector<Testimony> all, told;
    std::vector<const Server*> of;
    for (auto& server : servers) {
        auto verdicts = recent(server.verdicts, now), slowness = recent(server.slowness, now);
        double samples = std::max(verdicts.size(), slowness.size());
        if (server.listed != Listed::Ready || is_origin(*this, server)) continue;
        if (server.unreached_at > 0) verdicts.assign(2, 1), samples = std::max(samples, 2.0);
        if (samples < 2) continue;
        all.push_back({server.id, server.started, samples, mean(verdicts, 0), median(slowness, 0)});
        of.push_back(&server);
    }
    for (std::size_t i = 0; i < all.size(); i++) {
        bads.clear(), slows.clear();
        for (std::size_t j = 0; j < all.size(); j++) {
            if (j == i || !same_role(*this, *of[i], *of[j])) continue;
            bads.push_back(all[j].bad);
            if (all[j].slow > 0) slows.push_back(all[j].slow);
        }
        Testimony one = all[i];
        one.slow = slows.empty() ? 0 : one.slow / std::max(1.0, median(slows, 1));
        if (one.bad > std::max(bad_share, far_worse * median(bads, 0)) || one.slow > far_worse)
            told.push_back(one);
    }
    return told;
}

int Router::measured(Micros now) const {
    return static_cast<int>(std::count_if(servers.begin(), servers.end(), [&](auto& server) {
        return server.unreached_at > 0 || recent(server.verdicts, now).size() > 1;
    }));
}

// Probes what has gone quiet and reports changes of favour.
Upkeep Router::tend(Micros now) {
    Upkeep upkeep;
    upkeep.look_in = tend_every;
    upkeep.subscribe = std::exchange(want_list, false);
    add(out, now, out_at_sources(*this), many);
    bool deaf = probes && link_use_at >= 0 && !told_in_answers;  // then one cache is asked in turn
    double least_work = mean_sending(traffic.front());  // a probe counts as a lookup of the smallest type
    for (auto& type : traffic) least_work = std::min(least_work, mean_sending(type));
    for (auto& server : servers)
        if (is_edge(*this, server) && !recent(server.link_use, now, listen_every).empty()) deaf = false;
    for (auto& server : servers) {
        if (server.listed != Listed::Ready || !is_edge(*this, server)) continue;
        const char* wrong = complaint(*this, server, now);
        bool quiet = server.unreached_at > 0 || silence(server, now) > unusual_silence;
        if ((deaf || (quiet && probes)) && now - server.last_probe >= trial_every &&
            within_cold_budget(*this, server, least_work, now)) {
            deaf = false;
            server.last_probe = now;
            spend(*this, server, least_work, now);
            upkeep.probe.push_back(server.id);
        }
        if (server.out_of_favour != (wrong != nullptr))
            upkeep.log.push_back("cache " + std::to_string(server.id) +
                                 (wrong ? ": " : " is back in favour") + (wrong ? wrong : ""));
        server.out_of_favour = wrong != nullptr;
    }
    return upkeep;
}

}  // namespace quillgrade
