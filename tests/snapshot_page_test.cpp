// Pages of a state transfer: written, read back, and what is no page.
#include "peers/snapshot_page.hpp"

#include <doctest/doctest.h>

#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>

#include "peers/message.hpp"

using namespace quillgrade::peers;

namespace {

constexpr int routers = 5900;
constexpr Generation started = 1'764'576'000'000, latest = started + 86'400'000;
constexpr std::size_t room = 226;  // bytes a datagram leaves to a page

class Draw {
public:
    explicit Draw(unsigned seed) : generator(seed) {}
    std::uint64_t upto(std::uint64_t most) {
        return boost::random::uniform_int_distribution<std::uint64_t>(0, most)(generator);
    }
    bool one_in(std::uint64_t many) { return upto(many - 1) == 0; }
    MemberState state(std::uint64_t spread_ms) {
        MemberState state;
        state.generation = started - upto(spread_ms);
        if (one_in(4)) state.incarnation = static_cast<std::uint32_t>(upto((1U << 27) - 1) >> upto(26));
        if (one_in(10)) state.unhealthy = true;
        if (one_in(10)) state.liveness = static_cast<Liveness>(upto(2));
        if (one_in(10)) state.phase = static_cast<Phase>(upto(2));
        return state;
    }

private:
    boost::random::mt19937 generator;
};

std::vector<MemberState> drawn_states(Draw& draw, std::size_t count, std::uint64_t spread_ms,
                                      std::uint64_t known_of_8) {
    std::vector<MemberState> states(count);
    for (auto& one : states)
        if (draw.upto(7) < known_of_8) one = draw.state(spread_ms);
    return states;
}

}  // namespace

TEST_CASE("a page is read as it was written, holds what it says, and as much as fits") {
    Draw draw(7);
    for (int run = 0; run < 2000; run++) {
        std::uint64_t spread = 1ULL << draw.upto(40);
        auto states = drawn_states(draw, 1 + draw.upto(1500), spread, draw.upto(8));
        auto first = static_cast<RouterIndex>(draw.upto(routers - states.size()));
        auto page = largest_page(first, states, room);
        REQUIRE(page);
        auto bytes = encode_page(*page);
        REQUIRE(bytes.size() <= room);
        auto read = decode_page(bytes, routers, latest);
        REQUIRE(read);
        REQUIRE(*read == *page);
        std::size_t place = 0;
        for (int i = 0; i < page->member_count; i++) {
            auto& state = states[static_cast<std::size_t>(i)];
            if (state.generation == 0) continue;
            REQUIRE(page->records[place++] == MemberRecord{first + i, state});
        }
        REQUIRE(place == page->records.size());
    }
}

TEST_CASE("independent lives of three days take under 31.5 bits a member, an unknown range some bytes") {
    Draw draw(11);
    int members = 0;
    for (int run = 0; run < 100; run++) {
        std::vector<MemberState> states(100);
        for (auto& one : states) one.generation = started - draw.upto(std::uint64_t{3} * 86'400'000);
        members += largest_page(0, states, room)->member_count;
    }
    CHECK(100 * room * 8 / static_cast<double>(members) < 31.5);
    std::vector<MemberState> unknown(max_members_per_page);
    auto page = largest_page(0, unknown, room);
    REQUIRE(page);
    CHECK(page->member_count == max_members_per_page);
    CHECK(encode_page(*page).size() < 16);
}

TEST_CASE("no page without a member, or without room for one") {
    CHECK(!largest_page(0, {}, room));
    CHECK(!largest_page(0, {MemberState{started}}, 5));
}

TEST_CASE("pages that are cut, padded, changed, or out of range are no pages, or read as another one") {
    Draw draw(13);
    for (int run = 0; run < 20; run++) {
        auto states = drawn_states(draw, 80, 1ULL << 31, 7);
        auto page = largest_page(100, states, room);
        REQUIRE(page);
        auto bytes = encode_page(*page);
        for (std::size_t size = 0; size < bytes.size(); size++)
            CHECK(!decode_page(std::string_view(bytes).substr(0, size), routers, latest));
        CHECK(!decode_page(bytes + '\0', routers, latest));
        CHECK(!decode_page(bytes + '\x01', routers, latest));
        CHECK(!decode_page(bytes, page->end() - 1, latest));
        CHECK(decode_page(bytes, page->end(), latest));
        // Its latest life is past the bound.
        CHECK(!decode_page(bytes, routers, started - (1ULL << 32)));
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

TEST_CASE("random bytes are never read past their end") {
    Draw draw(17);
    int pages = 0;
    for (int run = 0; run < 20'000; run++) {
        std::string bytes(draw.upto(230), '\0');
        for (auto& one : bytes) one = static_cast<char>(draw.upto(255));
        pages += decode_page(bytes, routers, latest).has_value();
    }
    CHECK(pages < 20);
}

TEST_CASE("requests and pages in datagrams: read as written, dropped where a number is beyond its bound") {
    constexpr Micros now = static_cast<Micros>(started) * 1000;
    Message message;
    message.from = 3;
    message.sender_state = {started, Phase::Present, 0, Liveness::Alive, false};
    auto why = [&](const Message& sent) { return decode(encode(sent), 100, now).drop_reason; };
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
    auto refused = [&](auto change) {
        auto changed = request;
        change(changed);
        return why(changed) == DropReason::OutOfRange;
    };
    CHECK(refused([](Message& one) { one.range_members = 61; }));
    CHECK(refused([](Message& one) { one.range_members = 0; }));
    CHECK(refused([](Message& one) { one.pages = 0; }));
    CHECK(refused([](Message& one) { one.pages = max_pages_per_request + 1; }));
    CHECK(refused([](Message& one) { one.type = MessageType::Gossip; }));
    CHECK(refused([](Message& one) { one.page = SnapshotPage{0, 1, {}}; }));
    CHECK(refused([](Message& one) { one.complete = true; }));
    auto page = message;
    page.type = MessageType::RangePage;
    page.complete = true;
    page.page = SnapshotPage{90, 10, {{92, {started - 5, Phase::Gone, 3, Liveness::Dead, true}}}};
    auto got = decode(encode(page), 100, now);
    REQUIRE(got.message);
    CHECK(got.message->page == page.page);
    CHECK(got.message->complete);
    CHECK(decode(encode(page), 99, now).drop_reason == DropReason::OutOfRange);
    page.page->records[0].member_state.generation = started + Generation{2} * 86'400'000;
    CHECK(why(page) == DropReason::OutOfRange);
}
