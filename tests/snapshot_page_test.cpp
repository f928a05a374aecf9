// The encoding of snapshot pages: round trips, sizes, and the rejection of invalid bytes.
#include "peers/snapshot_page.hpp"

#include <doctest/doctest.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "peers/message.hpp"

using namespace quillgrade::peers;

namespace {

constexpr int routers = 5900;
constexpr Generation start_ms = 1'764'576'000'000, latest = start_ms + 86'400'000;
constexpr std::size_t max_bytes = 226;  // bytes that a datagram has room for a page

class RandomStates {
public:
    explicit RandomStates(unsigned seed) : generator(seed) {}
    std::uint64_t up_to(std::uint64_t most) {
        return boost::random::uniform_int_distribution<std::uint64_t>(0, most)(generator);
    }
    bool one_in(std::uint64_t many) { return up_to(many - 1) == 0; }
    MemberState state(std::uint64_t spread_ms) {
        MemberState state;
        state.generation = start_ms - up_to(spread_ms);
        if (one_in(4)) state.incarnation = static_cast<std::uint32_t>(up_to((1U << 27) - 1) >> up_to(26));
        if (one_in(10)) state.unhealthy = true;
        if (one_in(10)) state.liveness = static_cast<Liveness>(up_to(2));
        if (one_in(10)) state.phase = static_cast<Phase>(up_to(2));
        return state;
    }

private:
    boost::random::mt19937 generator;
};

std::vector<MemberState> random_states(RandomStates& draw, std::size_t count, std::uint64_t spread_ms,
                                       std::uint64_t known_in_8) {
    std::vector<MemberState> states(count);
    for (auto& one : states)
        if (draw.up_to(7) < known_in_8) one = draw.state(spread_ms);
    return states;
}

}  // namespace

TEST_CASE("a page decodes to what was encoded, fits the room and holds the records of its range") {
    RandomStates draw(7);
    for (int run = 0; run < 2000; run++) {
        std::uint64_t spread = 1ULL << draw.up_to(40);
        auto states = random_states(draw, 1 + draw.up_to(1500), spread, draw.up_to(8));
        auto first = static_cast<RouterIndex>(draw.up_to(routers - states.size()));
        auto page = largest_page(first, states, max_bytes);
        REQUIRE(page);
        auto bytes = encode_page(*page);
        REQUIRE(bytes.size() <= max_bytes);
        auto read = decode_page(bytes, routers, latest);
        REQUIRE(read);
        REQUIRE(*read == *page);
        std::size_t index = 0;
        for (int i = 0; i < page->member_count; i++) {
            auto& state = states[static_cast<std::size_t>(i)];
            if (state.generation == 0) continue;
            REQUIRE(page->records[index++] == MemberRecord{first + i, state});
        }
        REQUIRE(index == page->records.size());
    }
}

TEST_CASE(
    "independent generations of three days take under 31.5 bits per member, and a range without records some "
    "bytes") {
    RandomStates draw(11);
    int members = 0;
    for (int run = 0; run < 100; run++) {
        std::vector<MemberState> states(100);
        for (auto& one : states) one.generation = start_ms - draw.up_to(std::uint64_t{3} * 86'400'000);
        members += largest_page(0, states, max_bytes)->member_count;
    }
    CHECK(100 * max_bytes * 8 / static_cast<double>(members) < 31.5);
    std::vector<MemberState> unknown(max_members_per_page);
    auto page = largest_page(0, unknown, max_bytes);
    REQUIRE(page);
    CHECK(page->member_count == max_members_per_page);
    CHECK(encode_page(*page).size() < 16);
}

TEST_CASE("no page is made without a member, or without room for one") {
    CHECK(!largest_page(0, {}, max_bytes));
    CHECK(!largest_page(0, {MemberState{start_ms}}, 5));
}

TEST_CASE(
    "truncated, padded or out-of-range pages are rejected, and changed ones rejected or valid pages "
    "themselves") {
    RandomStates draw(13);
    for (int run = 0; run < 20; run++) {
        auto states = random_states(draw, 80, 1ULL << 31, 7);
        auto page = largest_page(100, states, max_bytes);
        REQUIRE(page);
        auto bytes = encode_page(*page);
        for (std::size_t size = 0; size < bytes.size(); size++)
            CHECK(!decode_page(std::string_view(bytes).substr(0, size), routers, latest));
        CHECK(!decode_page(bytes + '\0', routers, latest));
        CHECK(!decode_page(bytes + '\x01', routers, latest));
        CHECK(!decode_page(bytes, page->end() - 1, latest));
        CHECK(decode_page(bytes, page->end(), latest));
        // The latest generation of the page is past the bound.
        CHECK(!decode_page(bytes, routers, start_ms - (1ULL << 32)));
        for (std::size_t bit = 0; bit < bytes.size() * 8; bit++) {
            auto changed = bytes;
            changed[bit / 8] = static_cast<char>(changed[bit / 8] ^ (0x80 >> (bit % 8)));
            auto read = decode_page(changed, routers, latest);
            if (!read) continue;
            REQUIRE(encode_page(*read) == changed);
            REQUIRE(read->end() <= routers);
            for (auto& one : read->records) {
                REQUIRE(one.member >= read->first_member);
                REQUIRE(one.member < read->end());
                REQUIRE(one.member_state.generation > 0);
                REQUIRE(one.member_state.generation <= latest);
            }
        }
    }
}

TEST_CASE("random bytes are not read past their end, and hardly ever decode to a page") {
    RandomStates draw(17);
    int pages = 0;
    for (int run = 0; run < 20'000; run++) {
        std::string bytes(draw.up_to(230), '\0');
        for (auto& one : bytes) one = static_cast<char>(draw.up_to(255));
        pages += decode_page(bytes, routers, latest).has_value();
    }
    CHECK(pages < 20);
}

TEST_CASE(
    "range requests and pages in datagrams decode to what was encoded, and are dropped where a number is out "
    "of range") {
    constexpr Micros now = static_cast<Micros>(start_ms) * 1000;
    Message message;
    message.from = 3;
    message.sender_state = {start_ms, Phase::Present, 0, Liveness::Alive, false};
    auto drop_reason_of = [&](const Message& sent) { return decode(encode(sent), 100, now).drop_reason; };
    auto request = message;
    request.type = MessageType::RangeRequest;
    request.first_member = 40;
    request.range_members = 60;
    request.pages = max_pages_per_request;
    auto read = decode(encode(request), 100, now);
    REQUIRE(read.message);
    CHECK(read.message->first_member == 40);
    CHECK(read.message->range_members == 60);
    CHECK(read.message->pages == max_pages_per_request);
    auto is_out_of_range = [&](auto change) {
        auto changed = request;
        change(changed);
        return drop_reason_of(changed) == DropReason::OutOfRange;
    };
    CHECK(is_out_of_range([](Message& one) { one.range_members = 61; }));
    CHECK(is_out_of_range([](Message& one) { one.range_members = 0; }));
    CHECK(is_out_of_range([](Message& one) { one.pages = 0; }));
    CHECK(is_out_of_range([](Message& one) { one.pages = max_pages_per_request + 1; }));
    CHECK(is_out_of_range([](Message& one) { one.type = MessageType::Gossip; }));
    CHECK(is_out_of_range([](Message& one) { one.page = SnapshotPage{0, 1, {}}; }));
    CHECK(is_out_of_range([](Message& one) { one.complete = true; }));
    auto page = message;
    page.type = MessageType::RangePage;
    page.complete = true;
    page.page = SnapshotPage{90, 10, {{92, {start_ms - 5, Phase::Gone, 3, Liveness::Dead, true}}}};
    auto got = decode(encode(page), 100, now);
    REQUIRE(got.message);
    CHECK(got.message->page == page.page);
    CHECK(got.message->complete);
    CHECK(decode(encode(page), 99, now).drop_reason == DropReason::OutOfRange);
    page.page->records[0].member_state.generation = start_ms + Generation{2} * 86'400'000;
    CHECK(drop_reason_of(page) == DropReason::OutOfRange);
}
