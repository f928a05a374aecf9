#include <doctest/doctest.h>

#include <array>

#include "helpers.hpp"
#include "http/reply.hpp"
#include "http/request.hpp"

using namespace quillgrade;
using namespace quillgrade::http;

static const std::vector<std::string> figures = {"outstanding", "x1"};

static AttemptPlan order() { return {5, 0xc41f7a, 2, 0, 0, false, false, false}; }

static std::string text(const AttemptPlan& order, Micros budget = 900'999) {
    return transmission(lookup(0x9b, 0x7f, 3), order, "page", {"tag", "", nullptr}).text(budget);
}

TEST_CASE("a transmission is written as the caches read it") {
    auto full = order();
    full.collapse = full.refresh = true;
    CHECK(text(full) ==
          "GET /data/page/000000000000007f/3 HTTP/1.1\r\nHost: s-00000005\r\nX-Hop-Id: 000000000000009b\r\n"
          "X-Parent: s-00c41f7a\r\nX-Rank: 2\r\nX-Opts: ride+update\r\nX-Have: tag\r\nX-Budget: 900\r\n\r\n");
    auto bare = order();
    bare.upstream = bare.cache;
    bare.rank = 0;
    CHECK(text(bare).find("X-Parent") == std::string::npos);
    CHECK(text(bare).find("X-Rank") == std::string::npos);
    CHECK(text(bare).find("X-Opts") == std::string::npos);
}

// Guards against caches that take a ticketed lookup's repeat for another lookup, and its effect twice.
TEST_CASE("a ticket goes on unchanged, in a header of its own") {
    auto asked = transmission(lookup(0x9b, 0x7f, 3), order(), "page",
                              {"", "eec5e7df63a2", std::make_shared<const std::string>("bytes")})
                     .text(900'999);
    CHECK(asked.find("X-Replay-Key: eec5e7df63a2\r\n") != std::string::npos);
    CHECK(asked.ends_with("\r\n\r\nbytes"));
    CHECK(text(order()).find("X-Replay-Key") == std::string::npos);
}

// Guards against an age that rounds to 0, which would ask for the fresh time of the traffic type.
TEST_CASE("an age under a millisecond is asked for as one, and others are rounded down") {
    auto young = order();
    CHECK(text(young).find("X-Fresh-Ms") == std::string::npos);
    young.max_copy_age = 400;
    CHECK(text(young).find("X-Fresh-Ms: 1\r\n") != std::string::npos);
    young.max_copy_age = 2999;
    CHECK(text(young).find("X-Fresh-Ms: 2\r\n") != std::string::npos);
}

static const std::string answer =
    "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Tell: STALE\r\nX-Ttfb: 46.3\r\nx-report: "
    "inflight:7;x1:0.61\r\n\r\nhello";

TEST_CASE("an answer is whole however its bytes were cut") {
    for (std::size_t cut = 1; cut <= answer.size(); cut++) {
        ReplyReader reader(figures);
        bool whole = false;
        for (std::size_t at = 0; at < answer.size(); at += cut) {
            CHECK_FALSE(whole);
            whole = reader.add(std::string_view(answer).substr(at, cut));
        }
        REQUIRE(whole);
        auto reply = reader.take();
        CHECK(reply.body == "hello");
        CHECK(reply.note == CacheStatus::Stale);
        CHECK(reply.waited == 46300);
        CHECK(reply.load.count == 2);
        CHECK(reply.load.values[0] == 7);
        CHECK(reply.load.values[1] == doctest::Approx(0.61));
        CHECK_FALSE(reply.closes);
        CHECK(reader.fresh());
    }
}

// Guards against links that rest and each keep the room of their last answer, charged to no account.
TEST_CASE("a reader between two answers holds no room of the last one") {
    const std::vector<std::string> figures;
    ReplyReader reader(figures);
    reader.add("HTTP/1.1 200 OK\r\nContent-Length: 60000\r\n\r\n" + std::string(4'000, 'x'));
    CHECK(reader.add(std::string(56'000, 'x')));
    CHECK(reader.take().body.size() == 60'000);
    CHECK(reader.room() <= 1'024);
}

TEST_CASE("every remark on how an object was found has its word") {
    const std::array words = {"no such word", "HIT",     "MISS",    "MISS_ORIGIN", "COLLAPSED", "STALE",
                              "UP_BUSY",      "UP_DOWN", "UP_MISS", "NO_FILL",     "ORIGIN_ERR"};
    for (int note = 0; note <= static_cast<int>(CacheStatus::OriginError); note++) {
        ReplyReader reader(figures);
        CHECK(reader.add("HTTP/1.1 404 No\r\nContent-Length: 0\r\nX-Tell: " + std::string(words[note]) +
                         "\r\n\r\n"));
        CHECK(reader.take().note == static_cast<CacheStatus>(note));
    }
}

TEST_CASE("chunks are put together, a word ahead of the answer is passed over") {
    ReplyReader reader(figures);
    CHECK(
        reader.add("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                   "3;x=y\r\nabc\r\n2\r\nde\r\n0\r\nX-Tell: HIT\r\n\r\n"));
    CHECK(reader.take().body == "abcde");
}

TEST_CASE("bytes beyond an answer mean that the connection has lost step") {
    ReplyReader reader(figures);
    CHECK(reader.add(answer + "HTTP"));
    CHECK(reader.take().closes);
}

TEST_CASE("an answer that can't be read is told") {
    for (auto* bad : {"HTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 101 Switching\r\n\r\n", "HTTP/1.1 20 OK\r\n\r\n",
                      "HTTP/1.1 999 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nno colon\r\n\r\n",
                      "HTTP/1.1 200 OK\r\nContent-Length: -1\r\n\r\n",
                      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\n",
                      "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n", "HTTP/1.1 200 OK\r\n\r\n",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
                      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n"}) {
        ReplyReader reader(figures);
        CHECK_THROWS_AS(reader.add(bad), bytes::Malformed);
    }
    ReplyReader endless(figures);
    CHECK_THROWS_AS(endless.add("HTTP/1.1 200 OK\r\nX: " + std::string(20'000, 'x')), bytes::Malformed);
}

TEST_CASE("a status and the cache's word tell how a transmission ended") {
    CHECK(outcome_of(reply(200)) == Outcome::Ok);
    CHECK(outcome_of(reply(304)) == Outcome::Ok);
    CHECK(outcome_of(reply(404)) == Outcome::Miss);
    CHECK(outcome_of(reply(500)) == Outcome::Error);
    CHECK(outcome_of(reply(503, "", true)) == Outcome::Overloaded);
    CHECK(outcome_of(reply(503)) == Outcome::Error);
    CHECK(outcome_of(reply(504, "", true)) == Outcome::NotSent);
    CHECK(outcome_of(reply(504)) == Outcome::Error);
}
