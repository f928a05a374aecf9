// Clients' connections: who is let in, who is let go, and what one client can cost.
#include <array>
#include <functional>

#include "quiet.hpp"

using namespace quillgrade;
using namespace quillgrade::node;

// Guards against clients that connect and say nothing until nobody else is let in.
TEST_CASE("a silent connection makes way for another, one with a lookup open does not") {
    Quiet quiet;
    int port = quiet.listen();
    Socket busy, late;
    std::array<Socket, 7> silent;
    REQUIRE(busy.connect(port));
    REQUIRE(busy.send(invoke(1, call_fields())));
    quiet.pump([&] { return !quiet.gathered.empty(); });
    for (auto& one : silent) REQUIRE(one.connect(port));
    quiet.pump([&] { return quiet.front.connected() == 8; });
    quiet.front.sweep();  // the last of them may have a lookup on the way
    CHECK(quiet.front.connected() == 8);
    auto start = quiet.clock.now();
    quiet.pump([&] { return quiet.clock.now() - start > 60 * test_ms; });
    quiet.front.sweep();
    CHECK(quiet.front.connected() == 7);
    REQUIRE(late.connect(port));
    quiet.pump([&] { return quiet.front.connected() == 8; });
    CHECK(quiet.gathered_of<Left>().empty());
}

// Guards against lookups that wait in the system's queue while each pause lets in one connection more, which
// its client has long closed.
TEST_CASE("connections that end at once hold up nobody behind them") {
    Quiet quiet;
    int port = quiet.listen();
    Socket late;
    std::array<Socket, 7> busy;
    for (int i = 0; i < 7; i++) {
        auto fields = call_fields();
        fields["i"].back() = static_cast<char>('0' + i);
        REQUIRE(busy[i].connect(port));
        REQUIRE(busy[i].send(invoke(1, fields)));
    }
    quiet.pump([&] { return quiet.gathered_of<Arrived>().size() == 7; });
    for (int i = 0; i < 40; i++) REQUIRE(Socket().connect(port));
    REQUIRE(late.connect(port));
    REQUIRE(late.send(invoke(1, call_fields())));
    auto start = quiet.clock.now();
    quiet.pump([&] {
        quiet.front.sweep();
        return quiet.gathered_of<Arrived>().size() == 8;
    });
    CHECK(quiet.clock.now() - start < test_second);
}

// Guards against connections that are kept for nothing, and against letting go of one that is at work.
TEST_CASE("a client that says nothing is let go, later one that was idle, never one with a lookup open") {
    Quiet quiet;
    int port = quiet.listen();
    Socket busy, idle, half;
    for (auto* one : {&busy, &idle, &half}) REQUIRE(one->connect(port));
    REQUIRE(busy.send(invoke(1, call_fields())));
    REQUIRE(half.send(invoke(1, call_fields()).substr(0, 30)));
    REQUIRE(idle.send(framed(head(1, "ping", 1) + std::string(1, '\0'))));
    quiet.pump([&] { return !quiet.gathered.empty() && Quiet::readable(idle); });
    quiet.front.drop_overdue(quiet.clock.now() + test_second);
    CHECK(quiet.front.connected() == 3);
    quiet.front.drop_overdue(quiet.clock.now() + 3 * test_second);
    CHECK(quiet.front.connected() == 2);
    quiet.front.drop_overdue(quiet.clock.now() + 60 * test_second);
    CHECK(quiet.front.connected() == 1);
    CHECK(quiet.gathered_of<Left>().empty());
}

// Guards against descriptors that run out below the limit told, all held by clients that say nothing.
TEST_CASE("a silent connection makes way when the system has no descriptor for the next") {
    Quiet quiet;
    int port = quiet.listen();
    Socket silent, late;
    REQUIRE(silent.connect(port));
    quiet.pump([&] { return quiet.front.connected() == 1; });
    rlimit before{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &before) == 0);
    int lowest_free = dup(late.fd);
    close(lowest_free);
    rlimit none = before;
    none.rlim_cur = static_cast<rlim_t>(lowest_free);
    REQUIRE(setrlimit(RLIMIT_NOFILE, &none) == 0);
    REQUIRE(late.connect(port));
    quiet.pump([&] {
        quiet.front.sweep();
        return quiet.front.connected() == 0;
    });
    quiet.pump([&] { return quiet.front.connected() == 1; });
    CHECK(setrlimit(RLIMIT_NOFILE, &before) == 0);
}

// An answer far longer than what the system takes for a client that does not read.
static void answer_at_length(OneClient& quiet, std::size_t bytes) {
    auto around = thrift::handled_around(1, bytes, false);
    quiet.front.answer({1, 1}, around, shared_bytes(std::string(bytes, 'x'), Charge(quiet.answers, bytes)));
}

// Guards against memory that fills with answers which nobody reads.
TEST_CASE("a client that reads nothing while answers are under pressure is hung up on") {
    OneClient quiet;
    REQUIRE(quiet.client.send(invoke(1, call_fields()) + invoke(2, call_fields())));
    quiet.pump([&] { return quiet.gathered.size() == 2; });
    answer_at_length(quiet, 20'000'000);
    auto start = quiet.clock.now();
    quiet.pump([&] {
        quiet.front.sweep();
        return quiet.front.connected() == 0;
    });
    CHECK(quiet.clock.now() - start >= test_second);
    CHECK(quiet.clock.now() - start < 2 * test_second);
    CHECK(quiet.gathered_of<Left>().size() == 1);
    quiet.pump([&] { return quiet.answers.held() == 0; });  // its memory is given back
}

// Guards against a client that reads at full speed and is hung up on, its requests lost, because the router
// was slow to write: what it had just been handed was counted against it before the system was offered a
// byte.
TEST_CASE("a client that reads is not hung up on, however much waits for it") {
    OneClient quiet;
    constexpr std::size_t body = 20'000'000;
    REQUIRE(quiet.client.send(invoke(1, call_fields()) + invoke(2, call_fields())));
    quiet.pump([&] { return quiet.gathered.size() == 2; });
    answer_at_length(quiet, body);
    REQUIRE(quiet.answers.under_pressure());
    quiet.front.sweep();
    CHECK(quiet.front.connected() == 1);
    auto whole = thrift::handled(1, std::string(body, 'x'), false);
    std::string got;
    quiet.pump([&] {
        quiet.front.sweep();
        std::array<char, 65'536> piece;
        auto length = ::recv(quiet.client.fd, piece.data(), piece.size(), MSG_DONTWAIT);
        if (length > 0) got.append(piece.data(), static_cast<std::size_t>(length));
        return got.size() >= whole.size() || quiet.front.connected() == 0;
    });
    CHECK((got == whole));
    CHECK(quiet.front.connected() == 1);
    CHECK(quiet.gathered_of<Left>().empty());
}

// Guards against memory that fills with what clients send, and against hanging up on a client whose requests
// were taken: the request that has no room is told so, and those before it keep their client.
TEST_CASE(
    "of requests that are longer than the bound together the last are not kept, and nobody is hung up on") {
    OneClient quiet;
    for (int seq = 1; seq <= 6; seq++) {
        REQUIRE(quiet.client.send(invoke(seq, call_fields(), std::string(200'000, 'x'))));
        quiet.pump([&] {
            quiet.front.sweep();
            CHECK(quiet.requests.held() <= quiet.requests.limit());
            return quiet.gathered.size() == static_cast<std::size_t>(seq);
        });
    }
    quiet.front.sweep();
    CHECK(quiet.front.connected() == 1);
    CHECK(quiet.gathered_of<Left>().empty());
    auto arrived = quiet.gathered_of<Arrived>();
    REQUIRE(arrived.size() == 5);
    for (int seq = 1; seq <= 5; seq++) {
        CHECK(arrived[seq - 1].caller.seq == seq);
        CHECK_FALSE(arrived[seq - 1].no_room);
        CHECK(arrived[seq - 1].lookup.body.size() == 200'000);
    }
    auto discarded = quiet.gathered_of<Discarded>();
    REQUIRE(discarded.size() == 1);
    CHECK(discarded[0].caller.seq == 6);
    arrived.clear();
    quiet.gathered.clear();
    CHECK(quiet.requests.held() == 0);
}

// Guards against clients that send the beginning of a request and stop, until others have no room. Neither
// they nor others are hung up on: whose room was taken back is told so once the request has come whole.
TEST_CASE("clients that stop in the middle of a request make room, one whose request was taken does not") {
    Quiet quiet;
    int port = quiet.listen();
    Socket whole;
    std::array<Socket, 6> half;
    auto request = invoke(1, call_fields(), std::string(200'000, 'x'));
    REQUIRE(whole.connect(port));
    REQUIRE(whole.send(request));
    quiet.pump([&] { return quiet.gathered_of<Arrived>().size() == 1; });
    for (auto& one : half) {
        REQUIRE(one.connect(port));
        REQUIRE(one.send(request.substr(0, 150'000)));
    }
    auto until = quiet.clock.now() + test_second;
    auto pass_until = [&](auto done) {
        quiet.pump([&] {
            quiet.front.sweep();
            CHECK(quiet.requests.held() <= quiet.requests.limit());
            return done();
        });
    };
    pass_until([&] { return quiet.clock.now() > until; });
    CHECK(quiet.requests.peak() > 4 * request.size());  // there was no room for all
    for (auto& one : half) REQUIRE(one.send(request.substr(150'000)));
    pass_until([&] { return quiet.gathered.size() == 7; });
    CHECK(quiet.gathered_of<Discarded>().size() == 2);
    CHECK(quiet.front.connected() == 7);
    CHECK(quiet.gathered_of<Left>().empty());
    auto answer = thrift::broken_off(1);
    quiet.front.answer({1, 1}, answer);
    quiet.pump([&] { return Quiet::readable(whole); });
    CHECK(frame(whole) == answer);
}

// With other requests that hold all room.
struct NoRoom : OneClient {
    void sweep_until(const std::function<bool()>& done) {
        pump([&] {
            front.sweep();
            return done();
        });
    }
    static std::string request(int seq) {
        auto fields = call_fields();
        fields["i"].back() = static_cast<char>('0' + seq);
        return invoke(seq, fields, std::string(60'000, 'x'));
    }
    Charge others{requests, 1'100'000};
};

// Guards against requests that wait for room as long as other clients like.
TEST_CASE("a request that has found no room in time is not kept, and the next one has its own chance") {
    NoRoom quiet;
    auto start = quiet.clock.now();
    REQUIRE(quiet.client.send(quiet.request(1)));
    quiet.sweep_until([&] { return !quiet.gathered.empty(); });
    CHECK(quiet.gathered_of<Discarded>().size() == 1);
    CHECK(quiet.clock.now() - start >= 400 * test_ms);
    CHECK(quiet.clock.now() - start < test_second);
    quiet.front.answer({1, 1}, thrift::rejected(1, test_second));
    quiet.others = {};
    REQUIRE(quiet.client.send(quiet.request(2)));
    quiet.sweep_until([&] { return quiet.gathered.size() == 2; });
    auto arrived = quiet.gathered_of<Arrived>();
    REQUIRE(arrived.size() == 1);
    CHECK(arrived[0].lookup.body.size() == 60'000);
    CHECK(quiet.front.connected() == 1);
}

// Guards against a long request that never has room, as shorter ones that came later take it.
TEST_CASE("a request that comes later passes none that waits for room") {
    NoRoom quiet;
    Socket later;
    REQUIRE(later.connect(quiet.port));
    quiet.others.resize(quiet.requests.limit() * 7 / 8 - 50'000);
    REQUIRE(quiet.client.send(quiet.request(1)));
    quiet.pump([&] { return quiet.requests.held() > quiet.others.bytes(); });
    auto fields = call_fields();
    REQUIRE(later.send(invoke(1, fields, std::string(30'000, 'x'))));
    auto start = quiet.clock.now();
    quiet.sweep_until([&] { return quiet.clock.now() - start > 200 * test_ms; });
    CHECK(quiet.gathered.empty());
    quiet.others = {};
    quiet.sweep_until([&] { return quiet.gathered_of<Arrived>().size() == 2; });
}

// Guards against memory that fills with beginnings while there is no room.
TEST_CASE("while requests wait for room little is read of a new one") {
    NoRoom quiet;
    Socket later;
    REQUIRE(later.connect(quiet.port));
    REQUIRE(quiet.client.send(quiet.request(1)));
    quiet.pump([&] { return quiet.requests.held() > quiet.others.bytes(); });
    auto before = quiet.requests.held();
    REQUIRE(later.send(quiet.request(2)));
    quiet.pump([&] { return quiet.requests.held() > before; });
    quiet.rest();
    CHECK(quiet.requests.held() <= before + 1'024);
}

// Two clients, and room for one long request and little more.
struct RoomForOne : NoRoom {
    static constexpr std::size_t long_body = 200'000;
    RoomForOne() {
        others.resize(requests.limit() * 7 / 8 - long_body - 10'000);
        REQUIRE(later.connect(port));
    }
    // So much of the first client's request has come, and the other's waits for room.
    void begin(std::size_t bytes) {
        REQUIRE(client.send(sent.substr(0, bytes)));
        auto granted = others.bytes() + sent.size();
        pump([&] { return requests.held() == granted; });
        rest();
        REQUIRE(later.send(request(2)));
        pump([&] { return requests.held() > granted; });
    }
    std::string sent = invoke(1, call_fields(), std::string(long_body, 'x'));
    Socket later;
};

// Guards against requests that are refused while a slow sender holds room for bytes that come seconds later.
TEST_CASE("the room that a slow sender does not use yet goes to a request that waits, and both are kept") {
    RoomForOne quiet;
    quiet.begin(20'000);
    std::size_t at = 20'000;
    auto next = quiet.clock.now();
    quiet.sweep_until([&] {
        if (quiet.clock.now() >= next) {
            next += 20 * test_ms;
            REQUIRE(quiet.client.send(quiet.sent.substr(at, 1'000)));
            at += 1'000;
        }
        return !quiet.gathered.empty();
    });
    CHECK(quiet.gathered_of<Arrived>().size() == 1);
    REQUIRE(quiet.client.send(quiet.sent.substr(at)));
    quiet.gathered.clear();
    quiet.sweep_until([&] { return !quiet.gathered.empty(); });
    CHECK(quiet.gathered_of<Arrived>().size() == 1);
}

// Guards against a sender that is blamed for what the router has not read.
TEST_CASE("a sender whose bytes lie unread has not stopped") {
    RoomForOne quiet;
    quiet.begin(quiet.sent.size() - 2'000);
    REQUIRE(quiet.client.send(quiet.sent.substr(quiet.sent.size() - 2'000, 1'000)));
    auto start = quiet.clock.now();
    while (quiet.clock.now() - start < 400 * test_ms) usleep(1'000);  // the loop stands still
    quiet.front.sweep();
    REQUIRE(quiet.client.send(quiet.sent.substr(quiet.sent.size() - 1'000)));
    quiet.sweep_until([&] { return !quiet.gathered.empty(); });
    auto arrived = quiet.gathered_of<Arrived>();
    REQUIRE(arrived.size() == 1);
    CHECK(arrived[0].lookup.body.size() == RoomForOne::long_body);
}

TEST_CASE("the time in which a client was not read from is none of its silence") {
    NoRoom quiet;
    auto start = quiet.clock.now();
    REQUIRE(quiet.client.send(quiet.request(1).substr(0, 10'000)));
    quiet.sweep_until([&] { return quiet.clock.now() - start > 300 * test_ms; });
    quiet.others = {};
    quiet.sweep_until([&] { return quiet.requests.held() > 60'000; });
    quiet.rest();
    quiet.front.drop_overdue(start + 2'300 * test_ms);
    CHECK_FALSE(Quiet::readable(quiet.client));
    quiet.front.drop_overdue(start + 3'000 * test_ms);
    CHECK(Quiet::readable(quiet.client));
}

// Guards against requests of one client that each wait their time, one behind the other.
TEST_CASE("requests written in one go wait for room no longer than one of them would") {
    NoRoom quiet;
    auto start = quiet.clock.now();
    REQUIRE(quiet.client.send(quiet.request(1) + quiet.request(2) + quiet.request(3) + quiet.request(4)));
    quiet.sweep_until([&] { return quiet.gathered_of<Discarded>().size() == 4; });
    CHECK(quiet.clock.now() - start < test_second);
}

// Guards against answers after a client's time: what lay unread was written before it was read.
TEST_CASE("the time of a request that has waited for room runs from the beginning of the wait") {
    NoRoom quiet;
    auto start = quiet.clock.now();
    REQUIRE(quiet.client.send(quiet.request(1)));
    quiet.sweep_until([&] { return quiet.clock.now() - start > 200 * test_ms; });
    CHECK(quiet.gathered.empty());
    quiet.others = {};
    quiet.sweep_until([&] { return quiet.gathered_of<Arrived>().size() == 1; });
    CHECK(quiet.gathered_of<Arrived>()[0].at - start < 100 * test_ms);
    auto then = quiet.clock.now();
    REQUIRE(quiet.client.send(quiet.request(2)));
    quiet.sweep_until([&] { return quiet.gathered_of<Arrived>().size() == 2; });
    CHECK(quiet.gathered_of<Arrived>()[1].at >= then);
}

// Guards against a client that is ended for its silence while it is the router that does not read.
TEST_CASE("a client whose request waits for room is not taken for one that is silent") {
    NoRoom quiet;
    REQUIRE(quiet.client.send(quiet.request(1)));
    quiet.pump([&] { return quiet.requests.held() > 1'100'000; });
    quiet.rest();
    quiet.front.drop_overdue(quiet.clock.now() + 60 * test_second);
    CHECK(quiet.front.connected() == 1);
    quiet.sweep_until([&] { return quiet.gathered_of<Discarded>().size() == 1; });
}

// Guards against memory that fills with short answers for a client that asks on and reads none of them.
TEST_CASE("a client that reads no answers is not read from, and is again once it reads") {
    constexpr std::size_t most_sent = 64'000'000;  // far more than the system holds for two sockets
    constexpr Micros still = 300 * test_ms;
    OneClient quiet;
    auto ping = framed(head(1, "ping", 1) + std::string(1, '\0'));
    std::string pings;
    for (int i = 0; i < 3000; i++) pings += ping;
    std::size_t sent = 0, got = 0;
    auto progress = quiet.clock.now();
    auto send_some = [&] {
        auto rest = std::string_view(pings).substr(sent % pings.size());
        auto length = ::send(quiet.client.fd, rest.data(), rest.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (length <= 0) return false;
        sent += static_cast<std::size_t>(length);
        progress = quiet.clock.now();
        return true;
    };
    quiet.pump([&] { return (!send_some() && quiet.clock.now() - progress > still) || sent > most_sent; });
    CHECK(sent < most_sent);
    auto before = sent;
    quiet.pump([&] {
        std::array<char, 65'536> piece;
        auto length = ::recv(quiet.client.fd, piece.data(), piece.size(), MSG_DONTWAIT);
        if (length > 0) got += static_cast<std::size_t>(length);
        send_some();
        return sent > before + pings.size();
    });
    CHECK(got > 0);
}

// Guards against lookups that hold their room for as long as a client likes.
TEST_CASE("a time limit far beyond the settings is not taken") {
    OneClient quiet;
    auto fields = call_fields();
    fields["d"] = "12001";
    REQUIRE(quiet.client.send(invoke(1, fields)));
    quiet.pump([&] { return Quiet::readable(quiet.client); });
    CHECK(frame(quiet.client) == thrift::broken_off(1));
    CHECK(quiet.gathered.empty());
}

// Guards against a bad frame that takes more than its own connection with it.
TEST_CASE("a client that sends nonsense is let go once what is open has been answered") {
    OneClient quiet;
    REQUIRE(quiet.client.send(invoke(1, call_fields()) + "GET / HTTP/1.1\r\n\r\n"));
    quiet.pump([&] { return !quiet.gathered.empty(); });
    quiet.front.sweep();
    CHECK(quiet.front.connected() == 1);
    quiet.front.answer({1, 1}, thrift::broken_off(1));
    quiet.pump([&] {
        quiet.front.sweep();
        return quiet.front.connected() == 0;
    });
    CHECK(quiet.gathered_of<Left>().empty());
}
