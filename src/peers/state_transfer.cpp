#include "peers/state_transfer.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

#include "peers/message.hpp"

namespace quillgrade::peers {

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;

// Of 4,000 bytes a second that a router may take in and send, all kinds together. With the burst, two seconds
// hold 7,312 bytes; the rest is for gossip that comes beyond what is saved up.
constexpr double paced_bytes_per_s = 3'400, paced_burst_bytes = 512;
constexpr std::size_t page_bytes = max_datagram_bytes;

constexpr std::size_t most_open = 4;  // requests at a time, to as many helpers
constexpr int pages_a_request = 2;    // as many as the burst has bytes for
constexpr int least_stripe = 64;      // members that one request claims at least, where there are as many
constexpr double first_members_a_page = 48;  // until pages show it; lives that are days apart give some 57

constexpr Micros answer_limit = 600 * ms;  // twice the way to the farthest region and back
constexpr Micros late_limit = 5 * second;  // a page that comes later than this is not used
constexpr Micros first_pause = 50 * ms, longest_pause = 4 * second;
constexpr Micros idle_limit = 10 * second, time_limit = 120 * second;
constexpr Micros refresh_every = 5 * second;  // of one range

constexpr std::size_t most_closed = 32, most_unanswered = 8;
constexpr int most_draws = 24;  // of helpers, until a good one is found

int blocks_of(int routers) { return (routers + members_per_digest_hash - 1) / members_per_digest_hash; }

}  // namespace

StateTransfer::StateTransfer(RouterIndex own_number, int count, std::uint32_t seed, Micros now)
    : self(own_number),
      routers(count),
      chance(seed),
      traffic(paced_bytes_per_s, now, paced_burst_bytes),
      needed(static_cast<std::size_t>(count)),
      refreshed(static_cast<std::size_t>(blocks_of(count))),
      members_a_page(first_members_a_page) {
    begin(now);
}

void StateTransfer::begin(Micros now) {
    state = Phase::Running;
    needed.assign(needed.size(), true);
    lowest_needed = 0;
    all_claimed = false;
    needed[static_cast<std::size_t>(self)] = false;
    members_missing = routers - 1;
    source.reset();
    answered = false;
    answered_by_complete = false;
    fruitless = 0;
    ask_at = began = news_at = now;
    if (!wants_more()) finish(now);
}

void StateTransfer::refresh(RouterIndex first, int members, RouterIndex from, Micros now) {
    if (state != Phase::Complete) return;
    if (!wants_more()) {
        began = news_at = ask_at = now;
        fruitless = 0;
    }
    for (RouterIndex who = first; who < first + members; who++) {
        auto& last = refreshed[static_cast<std::size_t>(who / members_per_digest_hash)];
        if (who == self || needed[static_cast<std::size_t>(who)]) continue;
        if (last != 0 && last != now && now - last < refresh_every) continue;
        last = now;
        source = from;
        lowest_needed = std::min(lowest_needed, who);
        all_claimed = false;
        needed[static_cast<std::size_t>(who)] = true;
        members_missing++;
    }
}

void StateTransfer::record_traffic(std::size_t bytes, Micros now) {
    if (now == back_at) return;
    if (traffic.available(now) > -2 * paced_bytes_per_s) traffic.spend(bytes);
}

void StateTransfer::begin_after_pause(Micros now) {
    back_at = now;
    begin(now);
}

bool StateTransfer::is_expected(RouterIndex from, const SnapshotPage& page, Micros now) const {
    auto in_open = [&](const Open& one) {
        return one.request.helper == from && page.first_member >= one.request.first_member &&
               page.end() <= one.end();
    };
    auto in_closed = [&](const Closed& one) {
        return one.helper == from && page.first_member >= one.first && page.end() <= one.end &&
               now - one.at <= late_limit;
    };
    return std::any_of(open.begin(), open.end(), in_open) ||
           std::any_of(closed.begin(), closed.end(), in_closed);
}

void StateTransfer::accept_page(RouterIndex from, const SnapshotPage& page, bool complete, Micros now) {
    for (std::size_t i = 0; i < open.size(); i++) {
        auto& one = open[i];
        if (one.request.helper != from || page.first_member < one.request.first_member ||
            page.end() > one.end())
            continue;
        answered = true;
        answered_by_complete |= complete;
        traffic.refund(page_bytes);  // its bytes were counted when it came
        learn_density(page);
        if (complete_members(page, complete) > 0) {
            one.news = true;
            news_at = now;
        }
        one.pages_left--;
        if (one.pages_left == 0 || page.end() == one.end()) close(i, now);
        if (!wants_more()) finish(now);
        return;
    }
}

void StateTransfer::accept_busy(RouterIndex from, Micros now) {
    for (std::size_t i = 0; i < open.size(); i++)
        if (open[i].request.helper == from) return close(i, now);
}

// A helper that is complete knows that there is nothing to tell of the members it leaves out.
int StateTransfer::complete_members(const SnapshotPage& page, bool all) {
    int before = members_missing;
    auto complete_one = [this](RouterIndex who) {
        auto place = static_cast<std::size_t>(who);
        if (!needed[place]) return;
        needed[place] = false;
        members_missing--;
    };
    if (all)
        for (RouterIndex who = page.first_member; who < page.end(); who++) complete_one(who);
    else
        for (auto& one : page.records) complete_one(one.member);
    return before - members_missing;
}

void StateTransfer::learn_density(const SnapshotPage& page) {
    constexpr double weight = 0.25;
    if (page.member_count < least_stripe / 2) return;  // the end of a range, most likely
    members_a_page += weight * (std::min<double>(page.member_count, 4 * least_stripe) - members_a_page);
}

int StateTransfer::pages_for(int members) const {
    auto pages = static_cast<int>(std::ceil(members / members_a_page));
    return std::clamp(pages, 1, pages_a_request);
}

std::optional<RouterIndex> StateTransfer::claimed_until(RouterIndex member) const {
    for (auto& one : open)
        if (member >= one.request.first_member && member < one.end()) return one.end();
    return {};
}

// The first run of members that are missing and that no open request is about.
std::optional<StateTransfer::Gap> StateTransfer::first_gap() {
    while (lowest_needed < routers && !needed[static_cast<std::size_t>(lowest_needed)]) lowest_needed++;
    auto most =
        std::min(max_members_per_page, std::max(least_stripe, routers / static_cast<int>(most_open) + 1));
    for (RouterIndex who = lowest_needed; who < routers;) {
        if (auto end = claimed_until(who)) {
            who = *end;
            continue;
        }
        RouterIndex end = who;
        while (end < routers && end - who < most && needed[static_cast<std::size_t>(end)] &&
               !claimed_until(end))
            end++;
        if (end > who) return Gap{who, end - who};
        who++;
    }
    return {};
}

bool StateTransfer::avoided(RouterIndex helper) const {
    return std::any_of(open.begin(), open.end(), [&](auto& one) { return one.request.helper == helper; }) ||
           std::count(unanswered.begin(), unanswered.end(), helper) > 0;
}

// Every other request prefers a helper of the own zone, where the way is short; the others spread over all
// zones, so that the loss of one zone, or its wrong view, is never all that is heard.
std::optional<RouterIndex> StateTransfer::choose(const Ranking& rank) {
    if (source) {
        if (!avoided(*source)) return source;
        if (std::count(unanswered.begin(), unanswered.end(), *source) == 0) return {};  // still answering
        source.reset();
    }
    std::optional<RouterIndex> best;
    auto best_rank = HelperRank::Unusable;
    prefer_near = !prefer_near;
    auto enough = prefer_near ? HelperRank::SameZone : HelperRank::Usable;
    boost::random::uniform_int_distribution<RouterIndex> draw(0, routers - 1);
    for (int i = 0; i < most_draws && best_rank < enough; i++) {
        auto who = draw(chance);
        if (who == self || avoided(who)) continue;
        auto found = rank(who);
        if (found <= best_rank) continue;
        best = who;
        best_rank = found;
    }
    // In a small tier all may be avoided.
    if (!best && !unanswered.empty()) unanswered.pop_front();
    return best;
}

std::optional<RangeRequest> StateTransfer::next_request(const Ranking& rank, Micros now) {
    if (!wants_more() || state == Phase::Failed || now < ask_at || open.size() >= most_open) return {};
    auto gap = first_gap();
    all_claimed = !gap;
    if (!gap) return {};
    auto pages = pages_for(gap->members);
    auto bytes = static_cast<std::size_t>(pages) * page_bytes;
    if (traffic.available(now) < static_cast<double>(bytes)) return {};
    auto helper = choose(rank);
    if (!helper) {
        ask_at = now + first_pause;
        return {};
    }
    RangeRequest request{*helper, gap->first, gap->members, pages};
    traffic.spend(bytes);
    open.push_back({request, now + answer_limit, pages});
    return request;
}

// What did not come is not counted as come.
void StateTransfer::close(std::size_t index, Micros now) {
    auto one = open[index];
    open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
    all_claimed = false;
    traffic.refund(static_cast<std::size_t>(one.pages_left) * page_bytes);
    closed.push_back({one.request.helper, one.request.first_member, one.end(), now});
    if (closed.size() > most_closed) closed.pop_front();
    if (one.news)
        fruitless = 0;
    else
        nothing_new(now);
}

// Guards against helpers that are all slow, full or as new as this one: asking them faster makes it worse.
void StateTransfer::nothing_new(Micros now) {
    constexpr int most_doublings = 7;
    auto pause = std::min(first_pause << std::min(fruitless, most_doublings), longest_pause);
    fruitless++;
    boost::random::uniform_int_distribution<Micros> draw(pause / 2, pause);
    ask_at = now + draw(chance);
}

void StateTransfer::expire(Micros now) {
    for (std::size_t i = open.size(); i > 0; i--) {
        if (now < open[i - 1].deadline) continue;
        bool silent = open[i - 1].pages_left == open[i - 1].request.max_pages;
        if (silent) unanswered.push_back(open[i - 1].request.helper);
        if (unanswered.size() > most_unanswered) unanswered.pop_front();
        close(i - 1, now);
    }
    if (!wants_more() || state == Phase::Failed) return;
    if (now - news_at >= idle_limit || now - began >= time_limit) finish(now);
}

// Whoever has asked in vain for so long knows by gossip and digests what there is to know; only if nobody has
// answered at all it knows nothing.
void StateTransfer::finish(Micros now) {
    bool alone = state == Phase::Running && routers > 1 && !answered;
    state = alone ? Phase::Failed : Phase::Complete;
    needed.assign(needed.size(), false);
    members_missing = 0;
    while (!open.empty()) close(open.size() - 1, now);
}

Micros StateTransfer::next_check() const {
    constexpr Micros never = INT64_MAX;
    Micros at = never;
    for (auto& one : open) at = std::min(at, one.deadline);
    if (!wants_more()) return at;
    at = std::min({at, news_at + idle_limit, began + time_limit});
    if (open.size() >= most_open || all_claimed) return at;
    auto earned = traffic.available_at(static_cast<double>(pages_a_request * page_bytes)) + ms;
    return std::min(at, std::max(ask_at, earned));
}

std::size_t StateTransfer::bytes_held() const {
    return sizeof *this + needed.size() / 8 + refreshed.size() * sizeof(Micros) +
           open.capacity() * sizeof(Open) + most_closed * sizeof(Closed) +
           most_unanswered * sizeof(RouterIndex);
}

}  // namespace quillgrade::peers
