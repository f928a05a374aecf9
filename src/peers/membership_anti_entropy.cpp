// The parts of a Membership that find and mend differences in bulk: digests by ranges of members, and state
// transfer. What is new and small goes by gossip (membership.cpp).
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/random/uniform_int_distribution.hpp>

#include "peers/membership.hpp"

namespace quillgrade::peers {

namespace {

constexpr int most_hashes = 48;      // of a digest, so that it fits into a datagram with its head
constexpr int most_told = 20;        // accounts that fit into the answer to a digest
constexpr int least_to_fetch = 4;    // blocks that differ; fewer are told in one answer
constexpr std::size_t page_tag = 4;  // bytes of a page's field number and length

std::uint32_t hash_of(const MemberState& s, RouterIndex who, std::uint32_t so_far) {
    const std::array<std::uint64_t, 2> words = {
        s.generation, (static_cast<std::uint64_t>(who) << 48) |
                          (static_cast<std::uint64_t>(s.incarnation) << 8) | (s.unhealthy ? 64U : 0U) |
                          static_cast<std::uint64_t>(s.liveness) * 4 | static_cast<std::uint64_t>(s.phase)};
    return XXH32(words.data(), sizeof words, so_far);
}

}  // namespace

// ---- digests

void Membership::send_digest(Micros now) {
    bool soon = unlike > 0;
    if (unlike > 0) unlike--;
    digest_at = now + settings.probe_period * (soon ? 2 : 10);
    // All would differ, and the answers say less than pages do.
    if (transferring()) return;
    // Without state transfer a second's worth has to be there, of two; with it no more than one is saved up.
    auto enough = transfer ? kept_back(SendPriority::Spare) * settings.bytes_per_s : settings.bytes_per_s;
    if (bytes_left(now) < enough) return;
    auto to = pick(1, -1);
    if (to.empty()) return;
    Message digest;
    digest.type = MessageType::Digest;
    digest.first_member = window;
    auto blocks = (routers() + members_per_digest_hash - 1) / members_per_digest_hash;
    for (int i = 0; i < std::min(blocks, most_hashes); i++) {
        std::uint32_t hash = 0;
        for (int step = 0; step < members_per_digest_hash; step++) {
            auto who = (window + i * members_per_digest_hash + step) % routers();
            hash = hash_of(at(who).member_state, who, hash);
        }
        digest.hashes.push_back(hash);
    }
    if (blocks > most_hashes) window = (window + most_hashes * members_per_digest_hash) % routers();
    digest.link_reports = reachability.next_down_links(max_link_reports);
    send(to[0], digest, SendPriority::Spare, now);
}

void Membership::compare(const Message& digest, Micros now) {
    if (transferring()) return;
    std::vector<MemberRecord> unlike_here;
    std::vector<RouterIndex> unlike_blocks;
    for (std::size_t i = 0; i < digest.hashes.size(); i++) {
        std::uint32_t hash = 0;
        std::vector<MemberRecord> accounts;
        auto block_start = (digest.first_member + static_cast<int>(i) * members_per_digest_hash) % routers();
        for (int step = 0; step < members_per_digest_hash; step++) {
            auto who = (block_start + step) % routers();
            auto& member_state = at(who).member_state;
            hash = hash_of(member_state, who, hash);
            if (member_state.generation > 0 && who != digest.from) accounts.push_back({who, member_state});
        }
        if (hash == digest.hashes[i]) continue;
        unlike_blocks.push_back(block_start);
        unlike_here.insert(unlike_here.end(), accounts.begin(), accounts.end());
    }
    if (transfer) fetch_blocks(unlike_blocks, digest.from, now);
    // What has changed last here is the likeliest to be unknown there.
    std::stable_sort(unlike_here.begin(), unlike_here.end(),
                     [this](auto& a, auto& b) { return at(a.member).changed > at(b.member).changed; });
    Message news;
    news.type = MessageType::Gossip;
    // Gossip tells the end of a cut a bounded number of times, so now and then it misses a router.
    news.link_reports = reachability.recovered_among(digest.link_reports);
    if (unlike_here.empty() && news.link_reports.empty()) return;
    if (!unlike_here.empty()) unlike = std::min(unlike + 1, 4);
    // The other half of the room goes by chance, so that none is left out for good.
    for (std::size_t i = most_told / 2; i < std::min<std::size_t>(most_told, unlike_here.size()); i++) {
        boost::random::uniform_int_distribution<std::size_t> draw(i, unlike_here.size() - 1);
        std::swap(unlike_here[i], unlike_here[draw(chance)]);
    }
    if (unlike_here.size() > most_told) unlike_here.resize(most_told);
    send(digest.from, news, SendPriority::Spare, now, unlike_here);
}

// ---- state transfer, as the one who asks

bool Membership::transferring() const {
    return transfer && transfer->phase() == StateTransfer::Phase::Running;
}

// Guards against gossip of a router that has just started, about what the others know already: it would take
// the bytes of its pages. Where all start at once, gossip is needed.
bool Membership::leaves_gossip_to_others() const {
    return transferring() && transfer->complete_helper_answered();
}

// Whether members that this router has no account of are unknown to the others too, as far as it can tell.
bool Membership::knows_all(Micros now) const {
    return transfer->phase() == StateTransfer::Phase::Complete &&
           now - heard_any <= settings.longest_suspicion;
}

// Where many blocks differ from somebody else's, as after a partition, gossip would take long.
void Membership::fetch_blocks(const std::vector<RouterIndex>& starts, RouterIndex from, Micros now) {
    if (static_cast<int>(starts.size()) < least_to_fetch) return;
    for (auto start : starts)
        transfer->refresh(start, std::min(members_per_digest_hash, routers() - start), from, now);
}

void Membership::ask_for_ranges(Micros now) {
    transfer->expire(now);
    bool heard_lately = now - heard_any <= settings.probe_period * 3;
    if (transfer->phase() == StateTransfer::Phase::Failed && heard_lately) transfer->begin(now);
    auto rank = [this](RouterIndex who) { return rank_as_helper(who); };
    while (auto wanted = transfer->next_request(rank, now)) {
        Message request;
        request.type = MessageType::RangeRequest;
        request.first_member = wanted->first_member;
        request.range_members = wanted->member_count;
        request.pages = wanted->max_pages;
        if (send_alone(wanted->helper, std::move(request), SendPriority::Answer, now)) seen.range_requests++;
    }
}

HelperRank Membership::rank_as_helper(RouterIndex who) const {
    auto state = at(who).state;
    if (state == State::Unknown) return HelperRank::Usable;
    if (state != State::Alive || reachability.is_down(number, who)) return HelperRank::Unusable;
    return zone >= 0 && at(who).zone == zone ? HelperRank::SameZone : HelperRank::Usable;
}

void Membership::take_page(const Message& message, Micros now) {
    if (!message.page) return transfer->accept_busy(message.from, now);
    // Guards against pages that nobody asked for, and those that were on their way for too long.
    if (!transfer->is_expected(message.from, *message.page, now)) {
        seen.pages_unsolicited++;
        return;
    }
    seen.pages_accepted++;
    for (auto& account : message.page->records)
        if (!worsens(account)) take(account, message.from, now, Spread::No);
    transfer->accept_page(message.from, *message.page, message.complete, now);
}

// Guards against a wave of verdicts after a partition: each side has given up all of the other, and a page of
// them would make the living dead at once to those who know better. A verdict on somebody alive here only
// comes by gossip, with its accuser, or from what this router asks itself.
bool Membership::worsens(const MemberRecord& account) const {
    auto& known = at(account.member).member_state;
    auto& told = account.member_state;
    return account.member != number && known.generation == told.generation &&
           known.incarnation == told.incarnation && known.phase == told.phase &&
           known.liveness < told.liveness;
}

// ---- state transfer, as a helper

void Membership::answer_range_request(const Message& request, Micros now) {
    auto first = request.first_member, end = request.first_member + request.range_members;
    for (int i = 0; i < request.pages && first < end; i++) {
        auto answer = page_from(first, end, now);
        if (!answer.page) return;
        if (!send_as_helper(request.from, answer, now)) {
            if (i == 0) say_busy(request.from, now);
            return;
        }
        seen.pages_sent++;
        first = answer.page->end();
    }
}

Message Membership::page_from(RouterIndex first, RouterIndex end, Micros now) const {
    Message message;
    message.from = number;
    message.sender_state = me;
    message.zone = zone;
    message.type = MessageType::RangePage;
    message.complete = knows_all(now);
    std::vector<MemberState> states;
    for (RouterIndex who = first; who < std::min(end, first + max_members_per_page); who++)
        states.push_back(at(who).member_state);
    message.page = largest_page(first, states, max_datagram_bytes - encode(message).size() - page_tag);
    return message;
}

bool Membership::send_as_helper(RouterIndex to, const Message& message, Micros now) {
    auto bytes = encode(message);
    if (!page_server->allows_page(bytes.size(), now)) return false;
    page_server->spend_page(bytes.size());
    hand_out(to, std::move(bytes), now);
    return true;
}

// Cheaper for the one who asks than a time that runs out.
void Membership::say_busy(RouterIndex to, Micros now) {
    seen.requests_shed++;
    Message busy;
    busy.type = MessageType::RangePage;
    send_alone(to, std::move(busy), SendPriority::News, now);
}

// Without news: they would take the receiver's bytes for pages.
bool Membership::send_alone(RouterIndex to, Message message, SendPriority priority, Micros now) {
    if (bytes_left(now) <= kept_back(priority) * settings.bytes_per_s) {
        seen.withheld++;
        return false;
    }
    message.from = number;
    message.sender_state = me;
    message.zone = zone;
    auto bytes = encode(message);
    spend(bytes.size());
    hand_out(to, std::move(bytes), now);
    return true;
}

}  // namespace quillgrade::peers
