#include "h2/session.hpp"

#include <nghttp2/nghttp2.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstring>
#include <utility>

namespace quillgrade::h2 {

namespace {

constexpr std::int32_t stream_window = 1 << 20;
constexpr std::size_t prefix = 5;  // a flag of compression and four bytes of length
constexpr std::size_t longest_why = 500;

nghttp2_nv header(std::string_view name, std::string_view value) {
    auto bytes = [](std::string_view text) {
        return reinterpret_cast<std::uint8_t*>(const_cast<char*>(text.data()));
    };
    return {bytes(name), bytes(value), name.size(), value.size(), NGHTTP2_NV_FLAG_NONE};
}

std::string shown(std::string_view text) {
    std::string out(text.substr(0, longest_why));
    for (auto& c : out)
        if (static_cast<unsigned char>(c) < 0x20) c = '?';
    return out;
}

}  // namespace

struct Session::Inner {
    nghttp2_session* session = nullptr;
    std::size_t longest_message, most_unsent;
    std::int32_t call = -1;
    std::string unsent, coming, out, fault;
    std::size_t used = 0;  // of unsent
    bool held_back = false, ended = false;
    int http_status = 0, grpc_status = -1;
    std::string grpc_message;
    std::vector<Event> events;

    Inner() = default;
    Inner(const Inner&) = delete;
    Inner& operator=(const Inner&) = delete;
    ~Inner() { nghttp2_session_del(session); }

    void data(std::string_view bytes) {
        coming.append(bytes);
        std::size_t at = 0;
        while (fault.empty() && coming.size() - at >= prefix) {
            bytes::Cursor in(std::string_view(coming).substr(at));
            auto flag = in.number(1);
            auto length = in.number(4);
            if (flag != 0) fault = "a compressed message, which was not asked for";
            if (length > longest_message)
                fault = "a message of " + std::to_string(length) + " bytes, more than " +
                        std::to_string(longest_message);
            if (!fault.empty() || coming.size() - at - prefix < length) break;
            events.emplace_back(Message{coming.substr(at + prefix, length)});
            at += prefix + length;
        }
        coming.erase(0, at);
        if (coming.empty()) coming.shrink_to_fit();
    }

    // What nghttp2 wants written. Where it has given the connection up, that shows only afterwards.
    void drain() {
        const std::uint8_t* piece = nullptr;
        for (ssize_t length; (length = nghttp2_session_mem_send(session, &piece)) > 0;)
            out.append(reinterpret_cast<const char*>(piece), static_cast<std::size_t>(length));
        if (!nghttp2_session_want_read(session) && !nghttp2_session_want_write(session))
            end("what came is no HTTP/2, or the connection is over");
    }

    void headers_done() {
        if (http_status == 0 || ended) return;
        if (http_status != 200)
            end("HTTP status " + std::to_string(http_status));
        else if (events.empty() || !std::holds_alternative<Opened>(events.back()))
            events.emplace_back(Opened{});
    }

    void end(const std::string& why) {
        if (std::exchange(ended, true)) return;
        auto text = grpc_message.empty() ? why : why + ": " + shown(grpc_message);
        events.emplace_back(Ended{grpc_status, text});
    }
};

Session::Session(const std::string& authority, const std::string& path, std::size_t longest_message,
                 std::size_t most_unsent)
    : inner(std::make_unique<Inner>()) {
    inner->longest_message = longest_message;
    inner->most_unsent = most_unsent;
    nghttp2_session_callbacks* calls = nullptr;
    if (nghttp2_session_callbacks_new(&calls) != 0) throw std::bad_alloc();
    nghttp2_session_callbacks_set_on_header_callback(
        calls,
        [](nghttp2_session*, const nghttp2_frame* frame, const std::uint8_t* name, std::size_t name_length,
           const std::uint8_t* value, std::size_t length, std::uint8_t, void* self) {
            auto& in = *static_cast<Inner*>(self);
            if (frame->hd.stream_id != in.call) return 0;
            std::string_view key(reinterpret_cast<const char*>(name), name_length);
            std::string_view text(reinterpret_cast<const char*>(value), length);
            if (key == ":status") std::from_chars(text.data(), text.data() + text.size(), in.http_status);
            if (key == "grpc-status") std::from_chars(text.data(), text.data() + text.size(), in.grpc_status);
            if (key == "grpc-message") in.grpc_message = text.substr(0, longest_why);
            return 0;
        });
    nghttp2_session_callbacks_set_on_frame_recv_callback(calls, [](nghttp2_session*,
                                                                   const nghttp2_frame* frame, void* self) {
        auto& in = *static_cast<Inner*>(self);
        if (frame->hd.type == NGHTTP2_PING && (frame->hd.flags & NGHTTP2_FLAG_ACK))
            in.events.emplace_back(Pong{});
        if (frame->hd.type == NGHTTP2_GOAWAY)
            in.events.emplace_back(GoingAway{shown(
                {reinterpret_cast<const char*>(frame->goaway.opaque_data), frame->goaway.opaque_data_len})});
        if (frame->hd.type == NGHTTP2_HEADERS && frame->hd.stream_id == in.call) in.headers_done();
        return 0;
    });
    nghttp2_session_callbacks_set_on_data_chunk_recv_callback(
        calls, [](nghttp2_session*, std::uint8_t, std::int32_t stream, const std::uint8_t* bytes,
                  std::size_t length, void* self) {
            auto& in = *static_cast<Inner*>(self);
            if (stream == in.call && in.fault.empty() && !in.ended)
                in.data({reinterpret_cast<const char*>(bytes), length});
            return in.fault.empty() ? 0 : static_cast<int>(NGHTTP2_ERR_CALLBACK_FAILURE);
        });
    nghttp2_session_callbacks_set_on_stream_close_callback(
        calls, [](nghttp2_session*, std::int32_t stream, std::uint32_t error, void* self) {
            auto& in = *static_cast<Inner*>(self);
            if (stream != in.call) return 0;
            in.end(error ? std::string("stream reset, ") + nghttp2_http2_strerror(error)
                         : "call ended, gRPC status " + std::to_string(in.grpc_status));
            return 0;
        });
    nghttp2_option* options = nullptr;
    nghttp2_option_new(&options);
    nghttp2_option_set_max_send_header_block_length(options, 16'384);
    nghttp2_option_set_max_outbound_ack(options, 100);  // of a far side that floods with pings or settings
    nghttp2_session_client_new2(&inner->session, calls, inner.get(), options);
    nghttp2_option_del(options);
    nghttp2_session_callbacks_del(calls);
    if (!inner->session) throw std::bad_alloc();

    auto settings = std::to_array<nghttp2_settings_entry>(
        {{NGHTTP2_SETTINGS_ENABLE_PUSH, 0},
         {NGHTTP2_SETTINGS_INITIAL_WINDOW_SIZE, static_cast<std::uint32_t>(stream_window)},
         {NGHTTP2_SETTINGS_MAX_HEADER_LIST_SIZE, 16'384}});
    nghttp2_submit_settings(inner->session, NGHTTP2_FLAG_NONE, settings.data(), settings.size());
    nghttp2_session_set_local_window_size(inner->session, NGHTTP2_FLAG_NONE, 0, stream_window);
    std::array headers = {header(":method", "POST"),
                          header(":scheme", "http"),
                          header(":path", path),
                          header(":authority", authority),
                          header("te", "trailers"),
                          header("content-type", "application/grpc"),
                          header("user-agent", "quillgrade")};
    nghttp2_data_provider body{};
    body.source.ptr = inner.get();
    body.read_callback = [](nghttp2_session*, std::int32_t, std::uint8_t* out, std::size_t room,
                            std::uint32_t*, nghttp2_data_source* source, void*) -> ssize_t {
        auto& in = *static_cast<Inner*>(source->ptr);
        auto length = std::min(room, in.unsent.size() - in.used);
        if (length == 0) {
            in.held_back = true;
            return NGHTTP2_ERR_DEFERRED;
        }
        std::copy_n(in.unsent.data() + in.used, length, out);
        in.used += length;
        if (in.used == in.unsent.size()) {
            in.unsent.clear();
            in.used = 0;
        }
        return static_cast<ssize_t>(length);
    };
    inner->call =
        nghttp2_submit_request(inner->session, nullptr, headers.data(), headers.size(), &body, nullptr);
    if (inner->call < 0) throw std::bad_alloc();
}

Session::~Session() = default;

void Session::receive(std::string_view bytes) {
    auto read = nghttp2_session_mem_recv(inner->session, reinterpret_cast<const std::uint8_t*>(bytes.data()),
                                         bytes.size());
    if (!inner->fault.empty()) throw bytes::Malformed(inner->fault);
    if (read < 0) throw bytes::Malformed(std::string("HTTP/2: ") + nghttp2_strerror(static_cast<int>(read)));
    inner->drain();
}

void Session::send(std::string_view message) {
    if (inner->unsent.size() - inner->used + message.size() > inner->most_unsent)
        throw bytes::Malformed("it does not read what it is told");
    bytes::put_number(inner->unsent, 1, 0);
    bytes::put_number(inner->unsent, 4, message.size());
    inner->unsent.append(message);
    if (std::exchange(inner->held_back, false)) nghttp2_session_resume_data(inner->session, inner->call);
}

void Session::ping() { nghttp2_submit_ping(inner->session, NGHTTP2_FLAG_NONE, nullptr); }

std::string Session::take_output() {
    inner->drain();
    return std::exchange(inner->out, {});
}

std::vector<Event> Session::take_events() { return std::exchange(inner->events, {}); }

std::size_t Session::held() const { return inner->coming.size(); }

}  // namespace quillgrade::h2
