#include "bytes/bytes.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace quillgrade::bytes;

namespace {

std::string long_frame() { return std::string("\0\4\0\0", 4) + std::string(262'144, 'x'); }

}  // namespace

TEST_CASE("frames come out whole however their bytes were cut") {
    std::string sent("\0\0\0\3abc\0\0\0\0\0\0\0\1z", 16);
    for (std::size_t cut = 1; cut <= sent.size(); cut++) {
        Frames frames(8);
        std::vector<std::string> got;
        for (std::size_t at = 0; at < sent.size(); at += cut) {
            auto piece = std::string_view(sent).substr(at, cut);
            while (auto frame = frames.take(piece)) got.emplace_back(frame->content);
            CHECK(piece.empty());
        }
        CHECK(got == std::vector<std::string>{"abc", "", "z"});
    }
}

TEST_CASE("a frame longer than the bound is told before its bytes have come") {
    Frames frames(8);
    std::string_view sent("\0\0\0\11", 4);
    CHECK_THROWS_AS(frames.take(sent), Malformed);
}

TEST_CASE("ids and amounts are read only as they are written") {
    CHECK(read_hex("00c41f7a", 8) == 0x00c41f7a);
    CHECK_FALSE(read_hex("00C41F7A", 8));  // would not go on unchanged
    CHECK_FALSE(read_hex("0c41f7a", 8));
    CHECK_FALSE(read_hex("", 16));
    CHECK(read_amount("412.5") == 412.5);
    for (auto* bad : {"", "nan", "inf", "-1", "1e300", "4,5", "4 "}) CHECK_FALSE(read_amount(bad));
    CHECK(read_whole("1500", 2000) == 1500);
    for (auto* bad : {"", "-1", "+1", "1.5", "2001", "99999999999999999999"})
        CHECK_FALSE(read_whole(bad, 2000));
}

TEST_CASE("a cursor never reads past its message") {
    Cursor in(std::string_view("\1\2\3", 3));
    CHECK(in.number(2) == 0x0102);
    CHECK_THROWS_AS(in.number(2), Malformed);
    CHECK_THROWS_AS(in.piece(~std::uint64_t{0}), Malformed);
}

// Guards against connections that each keep the room of their longest message for good.
TEST_CASE("the room of a long frame is let go once the frame has been dealt with") {
    Frames frames(300'000);
    auto sent = long_frame();
    auto first = std::string_view(sent).substr(0, 10'000), rest = std::string_view(sent).substr(10'000);
    CHECK_FALSE(frames.take(first));
    CHECK(frames.take(rest)->content.size() == 262'144);
    CHECK_FALSE(frames.take(rest));
    CHECK(frames.room() <= 16'384);
}

// Guards against clients that send the next request behind a long one: the room of the long one was kept as
// long as anything lay in the buffer.
TEST_CASE("the room of a long frame is let go also where the next frame has begun behind it") {
    Frames frames(300'000);
    auto sent = long_frame() + std::string("\0\0\0\2a", 5);
    auto first = std::string_view(sent).substr(0, 10'000), rest = std::string_view(sent).substr(10'000);
    CHECK_FALSE(frames.take(first));
    CHECK(frames.take(rest)->content.size() == 262'144);
    CHECK_FALSE(frames.take(rest));
    CHECK(frames.received_bytes() == 5);
    CHECK(frames.room() <= 16'384);
}

// A length that the far side names buys nothing by itself.
TEST_CASE("a frame has the room of what has come, until room for all of it is reserved") {
    Frames frames(300'000);
    auto sent = long_frame();
    auto piece = std::string_view(sent).substr(0, 10'000);
    CHECK_FALSE(frames.take(piece));
    CHECK(frames.room() <= 16'384);
    frames.reserve(sent.size() + 1);
    CHECK(frames.room() == sent.size());
    frames.shrink(20'000);
    CHECK(frames.room() == 20'000);
    frames.shrink(0);
    CHECK(frames.room() == 10'000);
    auto rest = std::string_view(sent).substr(10'000);
    CHECK(frames.take(rest)->content == std::string_view(sent).substr(4));
}

TEST_CASE("a frame that is discarded gives its room back and comes out cut, and the next one whole") {
    for (std::size_t kept : {std::size_t{6}, std::size_t{10'000}}) {
        CAPTURE(kept);
        Frames frames(300'000);
        auto sent = long_frame() + std::string("\0\0\0\1z", 5);
        auto first = std::string_view(sent).substr(0, kept), rest = std::string_view(sent).substr(kept);
        CHECK_FALSE(frames.take(first));
        frames.reserve(sent.size());
        frames.discard();
        CHECK(frames.discarding());
        CHECK(frames.room() <= Frames::kept_when_cut);
        CHECK(frames.remaining() == 262'148 - kept);
        auto cut = frames.take(rest);
        REQUIRE(cut);
        CHECK(cut->cut);
        CHECK(cut->content == std::string(Frames::kept_when_cut - 4, 'x'));
        auto next = frames.take(rest);
        REQUIRE(next);
        CHECK_FALSE(next->cut);
        CHECK(next->content == "z");
        CHECK(frames.room() == 0);
    }
}
