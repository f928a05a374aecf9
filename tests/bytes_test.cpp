#include "bytes/bytes.hpp"

#include <doctest/doctest.h>

#include <vector>

using namespace quillgrade::bytes;

TEST_CASE("frames come out whole however their bytes were cut") {
    std::string sent("\0\0\0\3abc\0\0\0\0\0\0\0\1z", 16);
    for (std::size_t cut = 1; cut <= sent.size(); cut++) {
        Frames frames(8);
        std::vector<std::string> got;
        for (std::size_t at = 0; at < sent.size(); at += cut) {
            frames.add(std::string_view(sent).substr(at, cut));
            while (auto frame = frames.next()) got.emplace_back(*frame);
        }
        CHECK(got == std::vector<std::string>{"abc", "", "z"});
    }
}

TEST_CASE("a frame longer than the bound is told before its bytes have come") {
    Frames frames(8);
    frames.add(std::string("\0\0\0\11", 4));
    CHECK_THROWS_AS(frames.next(), Malformed);
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
    frames.add(std::string("\0\4\0\0", 4) + std::string(262'144, 'x'));
    CHECK(frames.next()->size() == 262'144);
    CHECK_FALSE(frames.next());
    CHECK(frames.room() <= 16'384);
}
