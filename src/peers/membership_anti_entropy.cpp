// The anti-entropy part of a Membership, which finds and repairs differences in bulk: digests by ranges of
// members, and state transfer. Single updates are spread by gossip (membership_sending.cpp).
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <boost/random/uniform_int_distribution.hpp>

#include "peers/membership.hpp"

namespace quillgrade::peers {

namespace {

constexpr int max_hashes = 48;             // in a digest, so that it fits into a datagram with its header
constexpr int max_answer_records = 20;     // that fit into the answer to a digest
constexpr int min_blocks_to_fetch = 4;     // differing blocks; the records of fewer fit into one answer
constexpr std::size_t page_tag_bytes = 4;  // field number and length of a page

std::uint32_t hash_of(const MemberState& s, RouterIndex who, std::uint32_t seed) {
    const std::array<std::uint64_t, 2> words = {
        s.generation, (static_cast<std::uint64_t>(who) << 48) |
                          (static_cast<std::uint64_t>(s.incarnation) << 8) | (s.unhealthy ? 64U : 0U) |
                          static_cast<std::uint64_t>(s.liveness) * 4 | static_cast<std::uint64_t>(s.phase)};
    return XXH32(words.data(), sizeof words, seed);
}

}  // namespace

// ---- digests

void Membership::send_digest(Micros now) {
    bool soon = early_digests > 0;
    if (early_digests > 0) early_digests--;
    next_digest_at = now + settings.probe_period * (soon ? 2 : 10);
    // During a state transfer nearly all blocks differ, and answers to digests hold
    // fewer records than pages.
    if (transferring()) return;
    // Without state transfer a digest needs one second's worth of bytes, of the two that can be saved up.
    // With it only one second's worth can be saved up, so a digest needs the usual reserve.
    auto needed =
        transfer ? reserve_seconds(SendPriority::Background) * settings.bytes_per_s : settings.bytes_per_s;
    if (available_bytes(now) < needed) return;
    auto to = pick_peers(1, -1);
    if (to.empty()) return;
    Message digest;
    digest.type = MessageType::Digest;
    digest.first_member = digest_start;
    auto blocks = (routers() + members_per_digest_hash - 1) / members_per_digest_hash;
    for (int i = 0; i < std::min(blocks, max_hashes); i++) {
        std::uint32_t hash = 0;
        for (int step = 0; step < members_per_digest_hash; step++) {
            auto who = (digest_start + i * members_per_digest_hash + step) % routers();
            hash = hash_of(at(who).member_state, who, hash);
        }
        digest.hashes.push_back(hash);
    }
    if (blocks > max_hashes) digest_start = (digest_start + max_hashes * members_per_digest_hash) % routers();
    digest.link_reports = reachability.next_down_links(max_link_reports);
    send(to[0], digest, SendPriority::Background, now);
}

void Membership::compare_digest(const Message& digest, Micros now) {
    if (transferring()) return;
    std::vector<MemberRecord> differing_records;
    std::vector<RouterIndex> differing_blocks;
    for (std::size_t i = 0; i < digest.hashes.size(); i++) {
        std::uint32_t hash = 0;
        std::vector<MemberRecord> records;
        auto block_start = (digest.first_member + static_cast<int>(i) * members_per_digest_hash) % routers();
        for (int step = 0; step < members_per_digest_hash; step++) {
            auto who = (block_start + step) % routers();
            auto& member_state = at(who).member_state;
            hash = hash_of(member_state, who, hash);
            if (member_state.generation > 0 && who != digest.from) records.push_back({who, member_state});
        }
        if (hash == digest.hashes[i]) continue;
        differing_blocks.push_back(block_start);
        differing_records.insert(differing_records.end(), records.begin(), records.end());
    }
    if (transfer) fetch_blocks(differing_blocks, digest.from, now);
    // The records that changed last here are the likeliest to be unknown to the sender of the digest.
    std::stable_sort(differing_records.begin(), differing_records.end(),
                     [this](auto& a, auto& b) { return at(a.member).changed_at > at(b.member).changed_at; });
    Message reply;
    reply.type = MessageType::Gossip;
    // Gossip repeats the end of a cut a bounded number of times, so it sometimes misses a router.
    reply.link_reports = reachability.recovered_among(digest.link_reports);
    if (differing_records.empty() && reply.link_reports.empty()) return;
    if (!differing_records.empty()) early_digests = std::min(early_digests + 1, 4);
    // The second half of the answer is drawn at random, so that no record is left out for good.
    for (std::size_t i = max_answer_records / 2;
         i < std::min<std::size_t>(max_answer_records, differing_records.size()); i++) {
        boost::random::uniform_int_distribution<std::size_t> draw(i, differing_records.size() - 1);
        std::swap(differing_records[i], differing_records[draw(generator)]);
    }
    if (differing_records.size() > max_answer_records) differing_records.resize(max_answer_records);
    send(digest.from, reply, SendPriority::Background, now, differing_records);
}

// ---- state transfer, as the requester

bool Membership::transferring() const {
    return transfer && transfer->phase() == StateTransfer::Phase::Running;
}

// A router that has just started does not gossip: the others know its updates already, and gossip would take
// the bytes of the pages it requests. Where all routers start at once, gossip is needed.
bool Membership::suppresses_gossip() const { return transferring() && transfer->complete_helper_answered(); }

// Whether a member without a record here is unknown to the other routers too, as far as this router can
// tell.
bool Membership::is_complete(Micros now) const {
    return transfer->phase() == StateTransfer::Phase::Complete &&
           now - last_heard_any <= settings.longest_suspicion;
}

// Requests pages where many blocks differ from those of `from`, as after a partition:
// gossip would take too long.
void Membership::fetch_blocks(const std::vector<RouterIndex>& starts, RouterIndex from, Micros now) {
    if (static_cast<int>(starts.size()) < min_blocks_to_fetch) return;
    for (auto start : starts)
        transfer->refresh(start, std::min(members_per_digest_hash, routers() - start), from, now);
}

void Membership::request_ranges(Micros now) {
    transfer->expire(now);
    bool heard_recently = now - last_heard_any <= settings.probe_period * 3;
    if (transfer->phase() == StateTransfer::Phase::Failed && heard_recently) transfer->begin(now);
    auto rank = [this](RouterIndex who) { return rank_as_helper(who); };
    while (auto wanted = transfer->next_request(rank, now)) {
        Message request;
        request.type = MessageType::RangeRequest;
        request.first_member = wanted->first_member;
        request.range_members = wanted->member_count;
        request.pages = wanted->max_pages;
        if (send_without_gossip(wanted->helper, std::move(request), SendPriority::Answer, now))
            totals.range_requests++;
    }
}

HelperRank Membership::rank_as_helper(RouterIndex who) const {
    auto state = at(who).state;
    if (state == State::Unknown) return HelperRank::Usable;
    if (state != State::Alive || reachability.is_down(self_number, who)) return HelperRank::Unusable;
    return zone >= 0 && at(who).zone == zone ? HelperRank::SameZone : HelperRank::Usable;
}

void Membership::handle_page(const Message& message, Micros now) {
    if (!message.page) return transfer->accept_busy(message.from, now);
    // Guards against unsolicited pages, and against pages that are too old.
    if (!transfer->is_expected(message.from, *message.page, now)) {
        totals.pages_unsolicited++;
        return;
    }
    totals.pages_accepted++;
    for (auto& record : message.page->records)
        if (!has_worse_verdict(record)) merge_record(record, message.from, now, Disseminate::No);
    transfer->accept_page(message.from, *message.page, message.complete, now);
}

// Whether the record only brings a worse verdict on the same incarnation. Guards against a wave of false
// verdicts after a partition: each side has declared the other side dead, and pages from there would make
// live routers dead here at once. A verdict on a router that is alive here is taken only from gossip, which
// names the accuser, or from probes of this router.
bool Membership::has_worse_verdict(const MemberRecord& record) const {
    auto& known = at(record.member).member_state;
    auto& reported = record.member_state;
    return record.member != self_number && known.generation == reported.generation &&
           known.incarnation == reported.incarnation && known.phase == reported.phase &&
           known.liveness < reported.liveness;
}

// ---- state transfer, as a helper

void Membership::answer_range_request(const Message& request, Micros now) {
    auto first = request.first_member, end = request.first_member + request.range_members;
    for (int i = 0; i < request.pages && first < end; i++) {
        auto answer = build_page(first, end, now);
        if (!answer.page) return;
        if (!send_page(request.from, answer, now)) {
            if (i == 0) send_busy(request.from, now);
            return;
        }
        totals.pages_sent++;
        first = answer.page->end();
    }
}

Message Membership::build_page(RouterIndex first, RouterIndex end, Micros now) const {
    Message message;
    message.from = self_number;
    message.sender_state = self_state;
    message.zone = zone;
    message.type = MessageType::RangePage;
    message.complete = is_complete(now);
    std::vector<MemberState> states;
    for (RouterIndex who = first; who < std::min(end, first + max_members_per_page); who++)
        states.push_back(at(who).member_state);
    message.page = largest_page(first, states, max_datagram_bytes - encode(message).size() - page_tag_bytes);
    return message;
}

bool Membership::send_page(RouterIndex to, const Message& message, Micros now) {
    auto bytes = encode(message);
    if (!page_server->allows_page(bytes.size(), now)) return false;
    page_server->spend_page(bytes.size());
    enqueue_outgoing(to, std::move(bytes), now);
    return true;
}

// Tells the requester to try another helper, which costs it less time than waiting for a timeout.
void Membership::send_busy(RouterIndex to, Micros now) {
    totals.requests_shed++;
    Message busy;
    busy.type = MessageType::RangePage;
    send_without_gossip(to, std::move(busy), SendPriority::Gossip, now);
}

// Adds no gossip, which would take bytes of the receiver that it needs for pages.
bool Membership::send_without_gossip(RouterIndex to, Message message, SendPriority priority, Micros now) {
    if (available_bytes(now) <= reserve_seconds(priority) * settings.bytes_per_s) {
        totals.withheld++;
        return false;
    }
    message.from = self_number;
    message.sender_state = self_state;
    message.zone = zone;
    auto bytes = encode(message);
    spend_bytes(bytes.size());
    enqueue_outgoing(to, std::move(bytes), now);
    return true;
}

}  // namespace quillgrade::peers
