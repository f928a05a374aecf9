#include <doctest/doctest.h>

#include "helpers.hpp"

using namespace quillgrade;
using namespace quillgrade::thrift;

static const std::vector<std::string> types = {"page", "order"};

static Message read(const std::string& framed) { return decode(std::string_view(framed).substr(4), types); }

TEST_CASE("a lookup is read with all its fields") {
    auto fields = call_fields();
    fields["have"] = "4be0c1927d55a6f3";
    fields["k"] = "eec5e7df63a26aa47333dbfbd4842ece";
    fields["r"] = "1";
    auto message = read(invoke(7, fields, std::string("\0body", 5)));
    auto& lookup = std::get<Lookup>(message);
    CHECK(lookup.seq == 7);
    CHECK(lookup.facts.id == 0x9b1f03aa5c7e2d41);
    CHECK(lookup.facts.traffic == 0);
    CHECK(lookup.facts.object == 0x7f3a9c21e0b4d655);
    CHECK(lookup.facts.part == 3);
    CHECK(lookup.facts.group == 17);
    CHECK(lookup.facts.kbytes == 412.5);
    CHECK(lookup.facts.retry);
    CHECK(lookup.wait == 1'500'000);
    CHECK(lookup.have == "4be0c1927d55a6f3");
    CHECK(lookup.ticket == "eec5e7df63a26aa47333dbfbd4842ece");
    CHECK(lookup.body == std::string("\0body", 5));
}

TEST_CASE("a field that is missing or can't be used makes a bad lookup") {
    for (auto* name : {"c", "i", "d", "o"}) {
        auto fields = call_fields();
        fields.erase(name);
        CHECK(std::holds_alternative<BadLookup>(read(invoke(1, fields))));
    }
    for (auto& [name, value] :
         std::vector<std::pair<std::string, std::string>>{{"c", "unheard-of"},
                                                          {"i", "9B1F03AA5C7E2D41"},
                                                          {"d", "-5"},
                                                          {"o", "7f3a"},
                                                          {"part", "x"},
                                                          {"group", "256"},
                                                          {"m", "nan"},
                                                          {"have", "a\r\nX-Rank: 3"},
                                                          {"k", "a\r\nX-Rank: 3"},
                                                          {"k", std::string(2000, 'k')}}) {
        auto fields = call_fields();
        fields[name] = value;
        CHECK(std::holds_alternative<BadLookup>(read(invoke(1, fields))));
    }
}

TEST_CASE("a call cut short, padded or not strict binary is told") {
    auto whole = invoke(7, call_fields());
    for (std::size_t length = 4; length < whole.size(); length++)
        CHECK_THROWS_AS(read(whole.substr(0, length)), bytes::Malformed);
    CHECK_THROWS_AS(read(whole + '\0'), bytes::Malformed);
    whole[4] = 0;
    CHECK_THROWS_AS(read(whole), bytes::Malformed);
}

TEST_CASE("what a call holds beyond the service is skipped, but not without bounds") {
    std::string call = head(1, "invoke", 3);
    call += std::string("\x0f\0\x09\x08\0\0\0\2\0\0\0\1\0\0\0\2", 16);  // a list of two numbers
    call += arguments(call_fields(), "");
    CHECK(std::holds_alternative<Lookup>(decode(call, types)));
    std::string deep = head(1, "ping", 3);
    for (int i = 0; i < 1000; i++) deep += std::string("\x0c\0\1", 3);
    CHECK_THROWS_AS(decode(deep, types), bytes::Malformed);
    std::string many = head(1, "ping", 3) + std::string("\x0f\0\1\x0c\xff\xff\xff\xff", 8);
    CHECK_THROWS_AS(decode(many, types), bytes::Malformed);
}

TEST_CASE("ping, abort and unknown calls") {
    CHECK(std::get<Ping>(decode(head(1, "ping", 5) + std::string("\2\0\1\1\0", 5), types)).seq == 5);
    CHECK(std::get<Abort>(decode(head(4, "abort", 6) + std::string("\x08\0\1\0\0\0\x09\0", 8), types)).of ==
          9);
    CHECK(std::get<UnknownCall>(decode(head(1, "stop", 8) + '\0', types)).name == "stop");
}

TEST_CASE("of a lookup that was cut its call is known, and no other call may be long") {
    CHECK(decode_cut(head(1, "invoke", 9) + "the beginning of its fields").seq == 9);
    CHECK_THROWS_AS(decode_cut(head(1, "ping", 9) + "more"), bytes::Malformed);
    CHECK_THROWS_AS(decode_cut(head(2, "invoke", 9)), bytes::Malformed);
    CHECK_THROWS_AS(decode_cut(head(1, "invoke", 9).substr(0, 12)), bytes::Malformed);
}

TEST_CASE("answers are whole frames of the service") {
    auto handled_frame = handled(7, "ab", true);
    CHECK(handled_frame ==
          framed(head(2, "invoke", 7) + std::string("\x0c\0\0\x0b\0\1\0\0\0\2ab"
                                                    "\x0d\0\2\x0b\x0b\0\0\0\1\0\0\0\4same\0\0\0\1"
                                                    "1\2\0\3\1\0\0",
                                                    40)));
    CHECK(rejected(7, 1500) == framed(head(2, "invoke", 7) + std::string("\x0c\0\1\x0d\0\1\x0b\x0b\0\0\0\1"
                                                                         "\0\0\0\1w\0\0\0\1"
                                                                         "2\0\0",
                                                                         24)));
    CHECK(broken_off(7) ==
          framed(head(2, "invoke", 7) + std::string("\x0c\0\2\x0d\0\1\x0b\x0b\0\0\0\0\0\0", 14)));
    CHECK(pong(7, true).find("ping") != std::string::npos);
    CHECK(unknown_call(7, "stop") == framed(head(3, "stop", 7) + std::string("\x0b\0\1", 3) +
                                            text("unknown method") + std::string("\x08\0\2\0\0\0\1\0", 8)));
}
