#include "peers/state_transfer.hpp"

#include <algorithm>
#include <boost/random/uniform_int_distribution.hpp>
#include <cmath>

#include "peers/message.hpp"

namespace quillgrade::peers {

namespace {

constexpr Micros ms = 1000, second = 1000 * ms;

// Part of the 4,000 bytes a second that a router may receive and send in all. With the burst, any two seconds
// hold 7,312 bytes; the rest is left for gossip that arrives beyond the saved-up budget.
constexpr double paced_bytes_per_s = 3'400, paced_burst_bytes = 512;
constexpr std::size_t page_bytes = max_datagram_bytes;

constexpr std::size_t max_open_requests = 4;  // each to another helper
constexpr int pages_per_request = 2;          // fits into paced_burst_bytes
// A request asks for at least so many members, where as many follow one another.
constexpr int min_members_per_request = 64;
// Used until pages have been received. Generations that are days apart give some 57 members per page.
constexpr double initial_members_per_page = 48;

constexpr Micros answer_timeout = 600 * ms;     // twice the round trip to the farthest region
constexpr Micros late_page_limit = 5 * second;  // a page that arrives later is dropped
constexpr Micros min_backoff = 50 * ms, max_backoff = 4 * second;
constexpr Micros idle_limit = 10 * second, time_limit = 120 * second;
constexpr Micros refresh_interval = 5 * second;  // per range

constexpr std::size_t max_closed_requests = 32, max_unanswered_helpers = 8;
constexpr int max_helper_draws = 24;  // random draws per request to find a suitable helper

int blocks_of(int routers) { return (routers + members_per_digest_hash - 1) / members_per_digest_hash; }

}  // namespace

StateTransfer::StateTransfer(RouterIndex own_index, int router_count, std::uint32_t seed, Micros now)
    : self(own_index),
      routers(router_count),
      rng(seed),
      traffic(paced_bytes_per_s, now, paced_burst_bytes),
      needed(static_cast<std::size_t>(router_count)),
      refreshed_at(static_cast<std::size_t>(blocks_of(router_count))),
      members_per_page(initial_members_per_page) {
    begin(now);
}

void StateTransfer::begin(Micros now) {
    state = Phase::Running;
    needed.assign(needed.size(), true);
    lowest_needed = 0;
    all_requested = false;
    needed[static_cast<std::size_t>(self)] = false;
    members_missing = routers - 1;
    refresh_helper.reset();
    answered = false;
    answered_by_complete = false;
    fruitless_requests = 0;
    next_request_at = began_at = progress_at = now;
    if (!wants_more()) finish(now);
}

void StateTransfer::refresh(RouterIndex first, int members, RouterIndex from, Micros now) {
    if (state != Phase::Complete) return;
    if (!wants_more()) {
        began_at = progress_at = next_request_at = now;
        fruitless_requests = 0;
    }
    for (RouterIndex member = first; member < first + members; member++) {
        auto& last = refreshed_at[static_cast<std::size_t>(member / members_per_digest_hash)];
        if (member == self || needed[static_cast<std::size_t>(member)]) continue;
        if (last != 0 && last != now && now - last < refresh_interval) continue;
        last = now;
        refresh_helper = from;
        lowest_needed = std::min(lowest_needed, member);
        all_requested = false;
        needed[static_cast<std::size_t>(member)] = true;
        members_missing++;
    }
}

void StateTransfer::record_traffic(std::size_t bytes, Micros now) {
    if (now == resumed_at) return;
    if (traffic.available(now) > -2 * paced_bytes_per_s) traffic.spend(bytes);
}

void StateTransfer::begin_after_pause(Micros now) {
    resumed_at = now;
    begin(now);
}

bool StateTransfer::is_expected(RouterIndex from, const SnapshotPage& page, Micros now) const {
    auto in_open = [&](const OpenRequest& open_request) {
        return open_request.request.helper == from &&
               page.first_member >= open_request.request.first_member && page.end() <= open_request.end();
    };
    auto in_closed = [&](const ClosedRequest& closed_request) {
        return closed_request.helper == from && page.first_member >= closed_request.first &&
               page.end() <= closed_request.end && now - closed_request.closed_at <= late_page_limit;
    };
    return std::any_of(open.begin(), open.end(), in_open) ||
           std::any_of(closed.begin(), closed.end(), in_closed);
}

void StateTransfer::accept_page(RouterIndex from, const SnapshotPage& page, bool complete, Micros now) {
    for (std::size_t i = 0; i < open.size(); i++) {
        auto& open_request = open[i];
        if (open_request.request.helper != from || page.first_member < open_request.request.first_member ||
            page.end() > open_request.end())
            continue;
        answered = true;
        answered_by_complete |= complete;
        traffic.refund(page_bytes);  // its bytes were counted on arrival
        update_density(page);
        if (complete_members(page, complete) > 0) {
            open_request.made_progress = true;
            progress_at = now;
        }
        open_request.pages_left--;
        if (open_request.pages_left == 0 || page.end() == open_request.end()) close(i, now);
        if (!wants_more()) finish(now);
        return;
    }
}

void StateTransfer::accept_busy(RouterIndex from, Micros now) {
    for (std::size_t i = 0; i < open.size(); i++)
        if (open[i].request.helper == from) return close(i, now);
}

// `all`: the helper's own transfer has finished, so no records exist of the members that the page leaves out,
// and all members of its range are completed. Returns the number of members completed.
int StateTransfer::complete_members(const SnapshotPage& page, bool all) {
    int before = members_missing;
    auto complete_member = [this](RouterIndex member) {
        auto index = static_cast<std::size_t>(member);
        if (!needed[index]) return;
        needed[index] = false;
        members_missing--;
    };
    if (all)
        for (RouterIndex member = page.first_member; member < page.end(); member++) complete_member(member);
    else
        for (auto& record : page.records) complete_member(record.member);
    return before - members_missing;
}

void StateTransfer::update_density(const SnapshotPage& page) {
    constexpr double smoothing = 0.25;
    if (page.member_count < min_members_per_request / 2) return;  // most likely the end of a range
    members_per_page +=
        smoothing * (std::min<double>(page.member_count, 4 * min_members_per_request) - members_per_page);
}

int StateTransfer::pages_for(int members) const {
    auto pages = static_cast<int>(std::ceil(members / members_per_page));
    return std::clamp(pages, 1, pages_per_request);
}

std::optional<RouterIndex> StateTransfer::requested_until(RouterIndex member) const {
    for (auto& open_request : open)
        if (member >= open_request.request.first_member && member < open_request.end())
            return open_request.end();
    return {};
}

// The first run of needed members that no open request covers.
std::optional<StateTransfer::Gap> StateTransfer::first_gap() {
    while (lowest_needed < routers && !needed[static_cast<std::size_t>(lowest_needed)]) lowest_needed++;
    auto max_members =
        std::min(max_members_per_page,
                 std::max(min_members_per_request, routers / static_cast<int>(max_open_requests) + 1));
    for (RouterIndex member = lowest_needed; member < routers;) {
        if (auto end = requested_until(member)) {
            member = *end;
            continue;
        }
        RouterIndex end = member;
        while (end < routers && end - member < max_members && needed[static_cast<std::size_t>(end)] &&
               !requested_until(end))
            end++;
        if (end > member) return Gap{member, end - member};
        member++;
    }
    return {};
}

bool StateTransfer::avoided(RouterIndex helper) const {
    return std::any_of(open.begin(), open.end(),
                       [&](auto& open_request) { return open_request.request.helper == helper; }) ||
           std::count(unanswered.begin(), unanswered.end(), helper) > 0;
}

// Every other request prefers a helper of this router's zone, where round trips are short. The others are
// spread over all zones, so that a transfer never depends on one zone alone, which may fail or have a wrong
// view.
std::optional<RouterIndex> StateTransfer::choose_helper(const Ranking& rank) {
    if (refresh_helper) {
        if (!avoided(*refresh_helper)) return refresh_helper;
        if (std::count(unanswered.begin(), unanswered.end(), *refresh_helper) == 0)
            return {};  // its request is open
        refresh_helper.reset();
    }
    std::optional<RouterIndex> best;
    auto best_rank = HelperRank::Unusable;
    prefer_same_zone = !prefer_same_zone;
    auto sufficient = prefer_same_zone ? HelperRank::SameZone : HelperRank::Usable;
    boost::random::uniform_int_distribution<RouterIndex> draw(0, routers - 1);
    for (int i = 0; i < max_helper_draws && best_rank < sufficient; i++) {
        auto candidate = draw(rng);
        if (candidate == self || avoided(candidate)) continue;
        auto helper_rank = rank(candidate);
        if (helper_rank <= best_rank) continue;
        best = candidate;
        best_rank = helper_rank;
    }
    // In a small tier all helpers may be among those avoided.
    if (!best && !unanswered.empty()) unanswered.pop_front();
    return best;
}

std::optional<RangeRequest> StateTransfer::next_request(const Ranking& rank, Micros now) {
    if (!wants_more() || state == Phase::Failed || now < next_request_at || open.size() >= max_open_requests)
        return {};
    auto gap = first_gap();
    all_requested = !gap;
    if (!gap) return {};
    auto pages = pages_for(gap->members);
    auto bytes = static_cast<std::size_t>(pages) * page_bytes;
    if (traffic.available(now) < static_cast<double>(bytes)) return {};
    auto helper = choose_helper(rank);
    if (!helper) {
        next_request_at = now + min_backoff;
        return {};
    }
    RangeRequest request{*helper, gap->first, gap->members, pages};
    traffic.spend(bytes);
    open.push_back({request, now + answer_timeout, pages});
    return request;
}

// Gives back the bytes that were reserved for pages that did not arrive.
void StateTransfer::close(std::size_t index, Micros now) {
    auto closing = open[index];
    open.erase(open.begin() + static_cast<std::ptrdiff_t>(index));
    all_requested = false;
    traffic.refund(static_cast<std::size_t>(closing.pages_left) * page_bytes);
    closed.push_back({closing.request.helper, closing.request.first_member, closing.end(), now});
    if (closed.size() > max_closed_requests) closed.pop_front();
    if (closing.made_progress)
        fruitless_requests = 0;
    else
        back_off(now);
}

// Guards against helpers that are all slow, overloaded or just started themselves: asking them more often
// would add to their load.
void StateTransfer::back_off(Micros now) {
    constexpr int max_doublings = 7;
    auto pause = std::min(min_backoff << std::min(fruitless_requests, max_doublings), max_backoff);
    fruitless_requests++;
    boost::random::uniform_int_distribution<Micros> draw(pause / 2, pause);
    next_request_at = now + draw(rng);
}

void StateTransfer::expire(Micros now) {
    for (std::size_t i = open.size(); i > 0; i--) {
        if (now < open[i - 1].deadline) continue;
        bool silent = open[i - 1].pages_left == open[i - 1].request.max_pages;
        if (silent) unanswered.push_back(open[i - 1].request.helper);
        if (unanswered.size() > max_unanswered_helpers) unanswered.pop_front();
        close(i - 1, now);
    }
    if (!wants_more() || state == Phase::Failed) return;
    if (now - progress_at >= idle_limit || now - began_at >= time_limit) finish(now);
}

// Also called when the limits are reached: by then gossip and digests have brought the records that exist.
// Only if no helper has answered at all has the transfer failed.
void StateTransfer::finish(Micros now) {
    bool no_answer = state == Phase::Running && routers > 1 && !answered;
    state = no_answer ? Phase::Failed : Phase::Complete;
    needed.assign(needed.size(), false);
    members_missing = 0;
    while (!open.empty()) close(open.size() - 1, now);
}

Micros StateTransfer::next_check() const {
    constexpr Micros never = INT64_MAX;
    Micros at = never;
    for (auto& open_request : open) at = std::min(at, open_request.deadline);
    if (!wants_more()) return at;
    at = std::min({at, progress_at + idle_limit, began_at + time_limit});
    if (open.size() >= max_open_requests || all_requested) return at;
    auto affordable_at = traffic.available_at(static_cast<double>(pages_per_request * page_bytes)) + ms;
    return std::min(at, std::max(next_request_at, affordable_at));
}

std::size_t StateTransfer::bytes_held() const {
    return sizeof *this + needed.size() / 8 + refreshed_at.size() * sizeof(Micros) +
           open.capacity() * sizeof(OpenRequest) + max_closed_requests * sizeof(ClosedRequest) +
           max_unanswered_helpers * sizeof(RouterIndex);
}

}  // namespace quillgrade::peers
