// The request that a client is sending: the room that it has, and what is said of its sender.
#include "node/request_reader.hpp"

#include "helpers.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

namespace {

constexpr std::size_t body = 200'000, longest = 300'000;

struct Reading {
    Reading() : sent(framed(std::string(body, 'x'))) {}
    // So many bytes more at this time; whether the request is whole.
    bool hear(std::size_t bytes, Micros at) {
        auto piece = std::string_view(sent).substr(heard, bytes);
        heard += piece.size();
        return reader.take(piece, at).has_value();
    }
    std::string sent;
    std::size_t heard = 0;
    MemoryAccount account{1'000'000};
    RequestReader reader{account, longest};
};

}  // namespace

TEST_CASE("a long request wants room for all of it, which is charged until it is whole") {
    Reading one;
    CHECK_FALSE(one.hear(4'096, noon));
    CHECK(one.account.held() == 4'096);
    CHECK(one.reader.wanted() == one.sent.size() - 4'096);
    one.reader.grant();
    CHECK(one.reader.wanted() == 0);
    CHECK(one.account.held() == one.sent.size());
    CHECK(one.hear(body, noon));
    CHECK(one.account.held() == 0);
}

TEST_CASE("a short request has room for all of it at once") {
    MemoryAccount account(1'000'000);
    RequestReader reader(account, longest);
    auto sent = framed(std::string(10'000, 'x'));
    auto piece = std::string_view(sent).substr(0, 100);
    CHECK_FALSE(reader.take(piece, noon));
    CHECK(reader.wanted() == 0);
    CHECK_FALSE(reader.is_long());
    CHECK(account.held() == sent.size());
}

// Guards against memory that slow senders hold for bytes that come seconds later.
TEST_CASE(
    "a request that comes slowly holds room for what has come and little more, and wants more in time") {
    Reading one;
    one.hear(4'096, noon);
    one.reader.grant();
    one.reader.give_back_spare();
    CHECK(one.account.held() == 4'096 + 32'768);
    CHECK(one.reader.wanted() == 0);
    one.hear(10'000, noon);
    CHECK(one.reader.wanted() == 0);
    one.hear(10'000, noon);
    CHECK(one.reader.wanted() == 32'768);
    one.reader.grant();
    CHECK(one.account.held() == 4'096 + 2 * 32'768);
    CHECK(one.reader.wanted() == 0);
}

TEST_CASE("a request that is discarded holds next to nothing and ends as one that was cut") {
    Reading one;
    one.hear(100'000, noon);
    one.reader.discard();
    CHECK(one.account.held() <= bytes::Frames::kept_when_cut);
    CHECK(one.reader.wanted() == 0);
    CHECK_FALSE(one.reader.is_long());
    auto rest = std::string_view(one.sent).substr(100'000);
    auto frame = one.reader.take(rest, noon);
    REQUIRE(frame);
    CHECK(frame->cut);
}

TEST_CASE("who brings nothing for a while has stopped, who brings little in that time is slow") {
    Reading one;
    one.hear(10'000, noon);
    CHECK(one.reader.sender(noon + 299 * test_ms) == Sender::Steady);
    CHECK(one.reader.sender(noon + 300 * test_ms) == Sender::Stopped);
    one.hear(10'000, noon + 290 * test_ms);
    CHECK(one.reader.sender(noon + 300 * test_ms) == Sender::Slow);
    one.hear(80'000, noon + 300 * test_ms);
    CHECK(one.reader.sender(noon + 300 * test_ms) == Sender::Steady);
}

// Guards against a sender that is blamed for what the router did not read.
TEST_CASE("a sender is judged by what came since it was read from") {
    Reading one;
    one.hear(10'000, noon);
    one.reader.resumed(noon + 5 * test_second);
    CHECK(one.reader.sender(noon + 5 * test_second + 299 * test_ms) == Sender::Steady);
    CHECK(one.reader.sender(noon + 5 * test_second + 300 * test_ms) == Sender::Stopped);
}
