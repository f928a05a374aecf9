// The discovery protocol's messages, who is asked when, and HTTP/2 against nghttp2's own server side.
#include <doctest/doctest.h>
#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <random>

#include "discovery.pb.h"
#include "discovery/contact.hpp"
#include "discovery/message.hpp"
#include "h2/session.hpp"
#include "helpers.hpp"

using namespace quillgrade;
using namespace quillgrade::discovery;
namespace wire = envoy::service::discovery::v3;

namespace {

wire::DiscoveryResponse response(const std::string& version = "7") {
    wire::DiscoveryResponse made;
    made.set_version_info(version);
    made.set_type_url(std::string(type_url(Kind::Boxes)));
    made.set_nonce("n1");
    made.mutable_control_plane()->set_identifier("ctl-a");
    auto& any = *made.add_resources();
    any.set_type_url(made.type_url());
    any.set_value(std::string("\x0a\x04") + "east");
    return made;
}

Offer read(const wire::DiscoveryResponse& message) {
    return decode(Form::Whole, message.SerializeAsString());
}

}  // namespace

TEST_CASE("a response is decoded whole") {
    auto offer = read(response());
    CHECK(offer.kind == Kind::Boxes);
    CHECK(offer.number == 7);
    CHECK(offer.nonce == "n1");
    CHECK(offer.identity == "ctl-a");
    CHECK(offer.fault == "");
    REQUIRE(offer.resources.size() == 1);
    CHECK(offer.resources[0].name == "east");
}

TEST_CASE("what can be answered is told with its fault, what can't be is malformed") {
    for (auto* version : {"", "-1", "7a", " 7", "1.5", "99999999999999999999999"})
        CHECK(read(response(version)).fault.find("no whole number") != std::string::npos);
    auto unknown = response();
    unknown.set_type_url("type.example/Thing");
    CHECK(read(unknown).fault.find("'type.example/Thing' is not known") != std::string::npos);
    auto mixed = response();
    mixed.mutable_resources(0)->set_type_url("type.example/Thing");
    CHECK(read(mixed).fault.find("stands in a version of") != std::string::npos);
    auto nameless = response();
    nameless.mutable_resources(0)->set_value("");
    CHECK(read(nameless).fault.find("without a name") != std::string::npos);
    auto twice = response();
    *twice.add_resources() = twice.resources(0);
    CHECK(read(twice).fault.find("'east' stands there twice") != std::string::npos);
    CHECK_THROWS_AS(decode(Form::Whole, "\xff\xff\xff"), bytes::Malformed);
    auto nonce = response();
    nonce.set_nonce(std::string(300, 'n'));
    CHECK_THROWS_AS(read(nonce), bytes::Malformed);
}

TEST_CASE("changes name what they add and remove, each once") {
    wire::DeltaDiscoveryResponse made;
    made.set_system_version_info("3");
    made.set_type_url(std::string(type_url(Kind::Boxes)));
    auto& one = *made.add_resources();
    one.set_name("east");
    one.set_version("l1");
    one.mutable_resource()->set_type_url(made.type_url());
    one.mutable_resource()->set_value(std::string("\x0a\x04") + "east");
    made.add_removed_resources("west");
    auto offer = decode(Form::Changes, made.SerializeAsString());
    CHECK(offer.fault == "");
    CHECK(offer.resources.at(0).label == "l1");
    CHECK(offer.removed == std::vector<std::string>{"west"});
    made.add_removed_resources("east");
    CHECK(decode(Form::Changes, made.SerializeAsString()).fault != "");
    made.clear_removed_resources();
    made.mutable_resources(0)->set_name("north");
    CHECK(decode(Form::Changes, made.SerializeAsString()).fault.find("calls itself 'east'") !=
          std::string::npos);
}

TEST_CASE("requests subscribe once with who asks, then answer") {
    Asker asker{"n1", "schools", "east"};
    Request first;
    first.version = "7";
    first.first = true;
    wire::DiscoveryRequest read;
    REQUIRE(read.ParseFromString(encode(Form::Whole, first, asker)));
    CHECK(read.node().id() == "n1");
    CHECK(read.node().locality().zone() == "east");
    CHECK(read.version_info() == "7");
    CHECK(!read.has_error_detail());
    Request refusal;
    refusal.nonce = "n2";
    refusal.reason = std::string(5000, 'x');
    REQUIRE(read.ParseFromString(encode(Form::Whole, refusal, asker)));
    CHECK(!read.has_node());
    CHECK(read.response_nonce() == "n2");
    CHECK(read.error_detail().message().size() == longest_reason);
    CHECK(read.error_detail().code() == 3);
    wire::DeltaDiscoveryRequest changes;
    first.labels = {{"east", "l1"}};
    REQUIRE(changes.ParseFromString(encode(Form::Changes, first, asker)));
    CHECK(changes.initial_resource_versions().at("east") == "l1");
    CHECK(changes.resource_names_subscribe(0) == "*");
}

// Seeded: the same inputs every time.
TEST_CASE("spoilt responses are decoded, told or malformed, never worse") {
    auto good = response().SerializeAsString();
    for (std::size_t cut = 0; cut < good.size(); cut++) try {
            decode(Form::Whole, good.substr(0, cut));
        } catch (const bytes::Malformed&) {
        }
    std::mt19937 chance(7);
    for (int i = 0; i < 20'000; i++) {
        auto spoilt = good;
        for (int n = 0; n < 3; n++) spoilt[chance() % spoilt.size()] = static_cast<char>(chance());
        for (auto form : {Form::Whole, Form::Changes}) try {
                decode(form, spoilt);
            } catch (const bytes::Malformed&) {
            }
    }
}

// ---- Contact

namespace {

Micros until_open(Contact& contact, Micros now, int place, Micros most = 120 * test_second) {
    for (Micros at = now; at < now + most; at += 10 * test_ms) {
        auto step = contact.next(at);
        for (int one : step.open)
            if (one == place) return at;
    }
    return -1;
}

}  // namespace

TEST_CASE("the preferred service is asked first, then the next") {
    Contact contact(3, 1);
    auto step = contact.next(noon);
    CHECK(step.open == std::vector<int>{0});
    CHECK(contact.next(noon).open.empty());
    CHECK(!contact.overdue(0, noon + test_second));
    CHECK(contact.overdue(0, noon + 5 * test_second));
    contact.lost(0, noon);
    CHECK(contact.next(noon).open == std::vector<int>{1});
    contact.lost(1, noon);
    CHECK(contact.next(noon).open == std::vector<int>{2});
    contact.answered(2, noon);
    CHECK(contact.serving() == 2);
}

TEST_CASE("a preferred service is tried again while another serves, which is let go only once it answers") {
    Contact contact(2, 1);
    contact.next(noon);
    contact.lost(0, noon);
    contact.next(noon);
    contact.answered(1, noon);
    auto again = until_open(contact, noon, 0);
    REQUIRE(again > 0);
    CHECK(contact.serving() == 1);
    contact.lost(0, again);
    CHECK(contact.serving() == 1);
    auto later = until_open(contact, again, 0);
    CHECK(later - again >= 20 * test_second);  // there is no hurry
    contact.answered(0, later);
    auto step = contact.next(later);
    CHECK(step.close == std::vector<int>{1});
    CHECK(contact.serving() == 0);
    CHECK(contact.next(later + 60 * test_second).open.empty());
}

TEST_CASE("waits grow to a bound, and a fleet comes back spread over them") {
    std::vector<Micros> waits;
    for (std::uint64_t seed = 0; seed < 200; seed++) {
        Contact contact(1, seed);
        Micros now = noon;
        contact.next(now);
        for (int failure = 0; failure < 10; failure++) {
            contact.lost(0, now);
            auto at = until_open(contact, now, 0);
            REQUIRE(at > 0);
            CHECK(at - now <= 31 * test_second);
            if (failure == 0) CHECK(at - now <= 300 * test_ms);
            if (failure == 9) waits.push_back(at - now);
            now = at;
        }
    }
    std::sort(waits.begin(), waits.end());
    CHECK(waits[20] < 6 * test_second);    // a tenth in the first sixth
    CHECK(waits[180] > 24 * test_second);  // and a tenth in the last
}

// ---- HTTP/2

namespace {

// nghttp2's server side: one call, answered as told.
struct Peer {
    nghttp2_session* session = nullptr;
    std::int32_t stream = 0;
    std::string got, body;
    bool trailers = false;

    Peer() {
        nghttp2_session_callbacks* calls;
        nghttp2_session_callbacks_new(&calls);
        nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
            calls, [](nghttp2_session*, std::uint8_t, std::int32_t, const std::uint8_t* data,
                      std::size_t size, void* self) {
                static_cast<Peer*>(self)->got.append(reinterpret_cast<const char*>(data), size);
                return 0;
            });
        nghttp2_session_callbacks_set_on_frame_recv_callback(
            calls, [](nghttp2_session*, const nghttp2_frame* frame, void* self) {
                if (frame->hd.type == NGHTTP2_HEADERS) static_cast<Peer*>(self)->stream = frame->hd.stream_id;
                return 0;
            });
        nghttp2_session_server_new(&session, calls, this);
        nghttp2_session_callbacks_del(calls);
        nghttp2_submit_settings(session, 0, nullptr, 0);
    }
    Peer(const Peer&) = delete;
    Peer& operator=(const Peer&) = delete;
    ~Peer() { nghttp2_session_del(session); }
    void receive(const std::string& bytes) {
        REQUIRE(nghttp2_session_mem_recv(session, reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                         bytes.size()) == static_cast<ssize_t>(bytes.size()));
    }
    std::string output() {
        std::string out;
        const std::uint8_t* data;
        for (ssize_t size; (size = nghttp2_session_mem_send(session, &data)) > 0;)
            out.append(reinterpret_cast<const char*>(data), static_cast<std::size_t>(size));
        return out;
    }
    static nghttp2_nv nv(const char* name, const char* value) {
        return {reinterpret_cast<std::uint8_t*>(const_cast<char*>(name)),
                reinterpret_cast<std::uint8_t*>(const_cast<char*>(value)), std::strlen(name),
                std::strlen(value), 0};
    }
    void answer(const char* status = "200") {
        std::array headers = {nv(":status", status), nv("content-type", "application/grpc")};
        nghttp2_data_provider from{};
        from.source.ptr = this;
        from.read_callback = [](nghttp2_session*, std::int32_t, std::uint8_t* out, std::size_t room,
                                std::uint32_t*, nghttp2_data_source* source, void*) -> ssize_t {
            auto& body = static_cast<Peer*>(source->ptr)->body;
            if (body.empty()) return NGHTTP2_ERR_DEFERRED;
            auto size = std::min(room, body.size());
            std::copy_n(body.data(), size, out);
            body.erase(0, size);
            return static_cast<ssize_t>(size);
        };
        nghttp2_submit_response(session, stream, headers.data(), headers.size(), &from);
    }
    void say(const std::string& bytes) {
        body += bytes;
        nghttp2_session_resume_data(session, stream);
    }
    static std::string message(const std::string& content, char flag = 0) {
        std::string out(1, flag);
        bytes::put_number(out, 4, content.size());
        return out + content;
    }
};

struct Call {
    explicit Call(std::size_t longest = 1000) : session("127.0.0.1:1", "/a/b", longest, 2000) {}
    // Passes bytes to and fro until nobody has any more.
    void pass() {
        for (std::string there = session.take_output(), back;; there = session.take_output()) {
            if (!there.empty()) peer.receive(there);
            back = peer.output();
            if (back.empty() && there.empty()) break;
            session.receive(back);
            for (auto& event : session.take_events()) events.push_back(std::move(event));
        }
    }
    template <class T>
    std::vector<T> all() {
        std::vector<T> found;
        for (auto& event : events)
            if (auto* one = std::get_if<T>(&event)) found.push_back(*one);
        return found;
    }
    h2::Session session;
    Peer peer;
    std::vector<h2::Event> events;
};

}  // namespace

TEST_CASE("a call is opened, messages pass both ways in any pieces") {
    Call call;
    call.session.send("hello");
    call.pass();
    CHECK(call.peer.got == Peer::message("hello"));
    call.peer.answer();
    call.peer.say(Peer::message("one") + Peer::message("") + Peer::message("three").substr(0, 4));
    call.pass();
    CHECK(call.all<h2::Opened>().size() == 1);
    CHECK(call.all<h2::Message>().size() == 2);
    CHECK(call.session.held() == 4);
    call.peer.say(Peer::message("three").substr(4));
    call.pass();
    REQUIRE(call.all<h2::Message>().size() == 3);
    CHECK(call.all<h2::Message>()[2].bytes == "three");
    call.session.send("again");
    call.pass();
    CHECK(call.peer.got == Peer::message("hello") + Peer::message("again"));
    call.session.ping();
    call.pass();
    CHECK(call.all<h2::Pong>().size() == 1);
}

TEST_CASE("a message that claims 1 GB, or is compressed, ends the call before memory is given") {
    for (auto& bad : {std::string("\0\x40\0\0\0", 5), std::string("\1\0\0\0\1x", 6)}) {
        Call call;
        call.pass();
        call.peer.answer();
        call.peer.say(bad);
        CHECK_THROWS_AS(call.pass(), bytes::Malformed);
        CHECK(call.session.held() < 100);
    }
}

TEST_CASE("an end, a reset, another status and a farewell are told") {
    Call ended;
    ended.pass();
    std::array headers = {Peer::nv(":status", "200"), Peer::nv("grpc-status", "14"),
                          Peer::nv("grpc-message", "busy")};
    nghttp2_submit_headers(ended.peer.session, NGHTTP2_FLAG_END_STREAM, ended.peer.stream, nullptr,
                           headers.data(), headers.size(), nullptr);
    ended.pass();
    // The client's side is still open; the far side has ended the call.
    nghttp2_submit_rst_stream(ended.peer.session, 0, ended.peer.stream, NGHTTP2_NO_ERROR);
    ended.pass();
    REQUIRE(ended.all<h2::Ended>().size() == 1);
    CHECK(ended.all<h2::Ended>()[0].status == 14);
    CHECK(ended.all<h2::Ended>()[0].why.find("busy") != std::string::npos);

    Call reset;
    reset.pass();
    nghttp2_submit_rst_stream(reset.peer.session, 0, reset.peer.stream, NGHTTP2_REFUSED_STREAM);
    reset.pass();
    CHECK(reset.all<h2::Ended>().size() == 1);

    Call other;
    other.pass();
    other.peer.answer("503");
    other.pass();
    REQUIRE(other.all<h2::Ended>().size() == 1);
    CHECK(other.all<h2::Ended>()[0].why == "HTTP status 503");

    Call going;
    going.pass();
    nghttp2_submit_goaway(going.peer.session, 0, going.peer.stream, 0, nullptr, 0);
    going.pass();
    CHECK(going.all<h2::GoingAway>().size() == 1);
}

TEST_CASE("a service that reads nothing is not written to without end") {
    Call call;
    CHECK_THROWS_AS(
        [&] {
            for (int i = 0; i < 100; i++) call.session.send(std::string(100, 'x'));
        }(),
        bytes::Malformed);
}

TEST_CASE("bytes that are no HTTP/2 end the call") {
    Call call;
    call.session.take_output();
    call.session.receive("HTTP/1.1 400 Bad Request\r\n\r\nand more of that kind");
    auto told = call.session.take_events();
    REQUIRE(told.size() == 1);
    CHECK(std::holds_alternative<h2::Ended>(told[0]));
    // Seeded: what a good service says, spoilt in places, and cut.
    Call good;
    good.pass();
    good.peer.answer();
    good.peer.say(Peer::message("one"));
    auto said = good.peer.output();
    std::mt19937 chance(3);
    for (int i = 0; i < 3000; i++) {
        Call victim;
        victim.session.take_output();
        auto spoilt = said.substr(0, 1 + chance() % said.size());
        spoilt[chance() % spoilt.size()] = static_cast<char>(chance());
        try {
            victim.session.receive(spoilt);
            victim.session.take_output();
        } catch (const bytes::Malformed&) {
        }
        CHECK(victim.session.held() <= 1005);
    }
}
