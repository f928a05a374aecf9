// A control service for streamed configuration: gRPC over HTTP/2 without TLS, as far as one call needs it,
// written by hand. Speaks the state-of-the-world form of the aggregated discovery protocol, version 3.
#pragma once

#include "site.hpp"

namespace stand {

// Protobuf, by hand.
inline std::string varint(std::uint64_t value) {
    std::string out;
    for (; value >= 128; value >>= 7) out.push_back(static_cast<char>(value | 128));
    out.push_back(static_cast<char>(value));
    return out;
}
inline std::string member(unsigned field, std::string_view bytes) {
    return varint(field << 3 | 2) + varint(bytes.size()) + std::string(bytes);
}
inline std::string member(unsigned field, std::uint64_t value) { return varint(field << 3) + varint(value); }
inline std::string member(unsigned field, double value) {
    std::string out = varint(field << 3 | 1);
    char bytes[8];
    std::memcpy(bytes, &value, sizeof bytes);
    return out.append(bytes, sizeof bytes);
}
// The members of a message that are texts or messages.
inline std::map<unsigned, std::string> members(std::string_view message) {
    std::map<unsigned, std::string> all;
    std::size_t at = 0;
    auto next = [&] {
        std::uint64_t value = 0;
        for (unsigned shift = 0; at < message.size() && shift < 64; shift += 7) {
            auto byte = static_cast<unsigned char>(message[at++]);
            value |= static_cast<std::uint64_t>(byte & 127) << shift;
            if (!(byte & 128)) break;
        }
        return value;
    };
    while (at < message.size()) {
        auto tag = next();
        if ((tag & 7) == 2) {
            auto length = next();
            all[static_cast<unsigned>(tag >> 3)] = message.substr(at, length);
            at += length;
        } else if ((tag & 7) == 0) {
            next();
        } else {
            at += (tag & 7) == 1 ? 8 : 4;
        }
    }
    return all;
}

class ControlService {
public:
    struct Said {  // what a router answered to a version
        Micros at;
        int stream;
        std::string nonce, reason;
    };
    explicit ControlService(Record& record)
        : record(record), listener([this](int fd, int n) { serve(fd, n); }) {}
    ~ControlService() {
        stopping = true;
        listener.stop();
    }
    int port() const { return listener.port(); }
    // The boxes as a numbered version, to all who have subscribed and will.
    void publish(int number, const std::vector<Place>& places) {
        std::string boxes = member(1, std::string_view("school"));
        for (auto& [entry, zone, kind] : places)
            boxes += member(
                2, member(1, cache_name(entry.id)) + member(2, text("127.0.0.1:%d", entry.port)) +
                       member(3, zone) + member(4, kind) + member(5, static_cast<std::uint64_t>(entry.cell)) +
                       member(6, static_cast<std::uint64_t>(entry.state)) + member(7, entry.weight));
        std::lock_guard lock(mutex);
        version = number;
        response = member(1, text("%d", number)) + member(2, member(1, type) + member(2, boxes)) +
                   member(4, type) + member(5, text("n%d", number)) +
                   member(6, member(1, std::string_view("timetables")));
        record.line("control service: version %d names %zu boxes", number, places.size());
    }
    std::vector<Said> said() {
        std::lock_guard lock(mutex);
        return answers;
    }

private:
    static std::string frame(int kind, int flags, std::uint32_t stream, std::string_view payload) {
        std::string out;
        put(out, 3, payload.size());
        put(out, 1, static_cast<std::uint64_t>(kind));
        put(out, 1, static_cast<std::uint64_t>(flags));
        put(out, 4, stream);
        return out + std::string(payload);
    }
    void serve(int fd, int number) {
        constexpr std::size_t preface = 24, head = 9;
        std::string held, data;
        char piece[16'384];
        bool greeted = false, subscribed = false;
        std::uint32_t call = 0;
        int sent = 0;
        while (!stopping) {
            pollfd ready{fd, POLLIN, 0};
            if (poll(&ready, 1, 20) > 0) {
                auto got = ::recv(fd, piece, sizeof piece, 0);
                if (got <= 0) return;
                held.append(piece, static_cast<std::size_t>(got));
            }
            if (!greeted) {
                if (held.size() < preface) continue;
                held.erase(0, preface);
                greeted = true;
                if (!send_all(fd, frame(4, 0, 0, ""))) return;
            }
            while (held.size() >= head && held.size() >= head + number_of(held)) {
                auto length = number_of(held);
                auto kind = held[3], flags = held[4];
                auto stream = static_cast<std::uint32_t>(stand::number(std::string_view(held).substr(5), 4));
                auto payload = held.substr(head, length);
                held.erase(0, head + length);
                std::string out;
                if (kind == 4 && !(flags & 1)) out = frame(4, 1, 0, "");
                if (kind == 6 && !(flags & 1)) out = frame(6, 1, 0, payload);
                if (kind == 1) {
                    call = stream;
                    // :status 200, and content-type as a literal.
                    out = frame(1, 4, call, std::string("\x88\x0f\x10\x10") + "application/grpc");
                }
                if (kind == 0) data += payload;
                if (!out.empty() && !send_all(fd, out)) return;
            }
            while (data.size() >= 5 &&
                   data.size() >= 5 + stand::number(std::string_view(data).substr(1), 4)) {
                auto length = stand::number(std::string_view(data).substr(1), 4);
                auto request = members(std::string_view(data).substr(5, length));
                data.erase(0, 5 + length);
                if (request[4] != type) continue;
                subscribed = true;
                if (request[5].empty()) continue;
                auto reason = members(request[6])[2];
                std::lock_guard lock(mutex);
                answers.push_back({now(), number, request[5], reason});
                record.line("control service: router %d answers %s: %s", number, request[5].c_str(),
                            reason.empty() ? "acknowledged" : reason.c_str());
            }
            std::string out;
            {
                std::lock_guard lock(mutex);
                if (subscribed && sent != version) {
                    sent = version;
                    std::string message;
                    put(message, 1, 0);
                    put(message, 4, response.size());
                    out = frame(0, 0, call, message + response);
                }
            }
            if (!out.empty() && !send_all(fd, out)) return;
        }
    }
    static std::size_t number_of(std::string_view head) { return stand::number(head, 3); }

    static constexpr std::string_view type = "type.googleapis.com/quillgrade.config.v1.Boxes";
    Record& record;
    std::atomic<bool> stopping = false;
    std::mutex mutex;
    int version = 0;
    std::string response;
    std::vector<Said> answers;
    Listener listener;
};

}  // namespace stand
