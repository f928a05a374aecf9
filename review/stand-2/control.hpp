// A small control service: one stream of the aggregated discovery protocol, version 3, in its whole form,
// over HTTP/2 without TLS. It publishes versions of Boxes and records what the router answers.
#pragma once

#include "stand.hpp"

namespace stand {

// The few forms of protocol buffers that are needed.
inline void put_varint(std::string& out, std::uint64_t value) {
    for (; value >= 0x80; value >>= 7) out.push_back(static_cast<char>(value | 0x80));
    out.push_back(static_cast<char>(value));
}
inline void put_bytes(std::string& out, int member, const std::string& value) {
    put_varint(out, static_cast<std::uint64_t>(member) << 3 | 2);
    put_varint(out, value.size());
    out += value;
}
inline void put_number(std::string& out, int member, std::uint64_t value) {
    put_varint(out, static_cast<std::uint64_t>(member) << 3);
    put_varint(out, value);
}
// The texts of a message's members of this number.
inline std::vector<std::string> read_bytes(const std::string& in, int member) {
    std::vector<std::string> found;
    std::size_t at = 0;
    auto varint = [&] {
        std::uint64_t value = 0;
        for (int shift = 0; at < in.size(); shift += 7) {
            auto byte = static_cast<unsigned char>(in[at++]);
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (byte < 0x80) break;
        }
        return value;
    };
    while (at < in.size()) {
        auto key = varint();
        if ((key & 7) == 2) {
            auto length = varint();
            if (static_cast<int>(key >> 3) == member) found.push_back(in.substr(at, length));
            at += length;
        } else {
            varint();
        }
    }
    return found;
}

class ControlService {
public:
    explicit ControlService(Record& record) : record(record) {
        listener = listen_on_free_port(port);
        std::thread([this] { accept_all(); }).detach();
    }
    // The version that is in force from now on; told at once, and on every new stream.
    void publish(int version, const std::vector<Entry>& boxes) {
        static const char* zones[] = {"central", "school"};
        static const char* kinds[] = {"box", "parent", "origin"};
        std::string set;
        put_bytes(set, 1, "all");
        for (auto& entry : boxes) {
            std::string box;
            put_bytes(box, 1, "s-" + hex(entry.id, 8));
            put_bytes(box, 2, "127.0.0.1:" + std::to_string(entry.port));
            put_bytes(box, 3, zones[entry.zone]);
            put_bytes(box, 4, kinds[entry.kind]);
            put_number(box, 5, static_cast<std::uint64_t>(entry.cell));
            put_number(box, 6, static_cast<std::uint64_t>(entry.state));
            put_varint(box, 7 << 3 | 1);
            double weight = entry.weight / 1000.0;
            box.append(reinterpret_cast<const char*>(&weight), sizeof weight);
            put_bytes(set, 2, box);
        }
        std::string any, response, identity;
        put_bytes(any, 1, type);
        put_bytes(any, 2, set);
        put_bytes(response, 1, std::to_string(version));
        put_bytes(response, 2, any);
        put_bytes(response, 4, type);
        put_bytes(response, 5, "n" + std::to_string(version));
        put_bytes(identity, 1, "review");
        put_bytes(response, 6, identity);
        std::lock_guard lock(mutex);
        told = response;
        tellings++;
    }
    // Versions that the router has acknowledged under their nonces, and those that it answered with an error.
    std::vector<std::string> acknowledged() {
        std::lock_guard lock(mutex);
        return acks;
    }
    std::vector<std::string> errors() {
        std::lock_guard lock(mutex);
        return nacks;
    }
    std::uint16_t port = 0;

private:
    static constexpr const char* type = "type.googleapis.com/quillgrade.config.v1.Boxes";
    static std::string frame(int kind, int flags, std::uint32_t stream, const std::string& payload) {
        std::string out;
        put(out, 3, payload.size());
        put(out, 1, static_cast<std::uint64_t>(kind));
        put(out, 1, static_cast<std::uint64_t>(flags));
        put(out, 4, stream);
        return out + payload;
    }
    static std::string window(std::uint32_t stream, std::size_t bytes) {
        std::string payload;
        put(payload, 4, bytes);
        return frame(8, 0, stream, payload);
    }
    void accept_all() {
        for (;;) {
            int fd = ::accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0) continue;
            std::thread([this, fd] {
                serve(fd);
                ::close(fd);
            }).detach();
        }
    }
    void serve(int fd) {
        constexpr std::size_t preface = 24;
        std::string in, calls;
        bool greeted = false;
        std::uint32_t call = 0;
        int told_so_far = 0;
        if (!write_all(fd, frame(4, 0, 0, ""))) return;
        for (;;) {
            pollfd far{fd, POLLIN, 0};
            if (::poll(&far, 1, 20) > 0) {
                char piece[16384];
                auto got = ::recv(fd, piece, sizeof piece, 0);
                if (got <= 0) return;
                in.append(piece, static_cast<std::size_t>(got));
            }
            if (!greeted && in.size() >= preface) {
                in.erase(0, preface);
                greeted = true;
            }
            while (greeted && in.size() >= 9 && in.size() >= 9 + get(in, 0, 3)) {
                auto length = get(in, 0, 3);
                auto kind = get(in, 3, 1), flags = get(in, 4, 1);
                auto stream = static_cast<std::uint32_t>(get(in, 5, 4));
                auto payload = in.substr(9, length);
                in.erase(0, 9 + length);
                if (kind == 4 && !(flags & 1) && !write_all(fd, frame(4, 1, 0, ""))) return;
                if (kind == 6 && !(flags & 1) && !write_all(fd, frame(6, 1, 0, payload))) return;
                if (kind == 1) {  // the call: answered with 200 and application/grpc
                    call = stream;
                    const std::string grpc = "application/grpc";
                    std::string headers = "\x88\x0f\x10";
                    headers.push_back(static_cast<char>(grpc.size()));
                    if (!write_all(fd, frame(1, 4, call, headers + grpc))) return;
                }
                if (kind != 0 || length == 0) continue;
                if (!write_all(fd, window(0, length) + window(stream, length))) return;
                calls += payload;
                while (calls.size() >= 5 && calls.size() >= 5 + get(calls, 1, 4)) {
                    auto size = get(calls, 1, 4);
                    heard(calls.substr(5, size));
                    calls.erase(0, 5 + size);
                }
            }
            std::string next;
            {
                std::lock_guard lock(mutex);
                if (call != 0 && subscribed && told_so_far < tellings) {
                    next = told;
                    told_so_far = tellings;
                }
            }
            if (next.empty()) continue;
            std::string message;
            put(message, 1, 0);
            put(message, 4, next.size());
            if (!write_all(fd, frame(0, 0, call, message + next))) return;
        }
    }
    // A DiscoveryRequest: a subscription, or the answer to a version.
    void heard(const std::string& request) {
        auto text = [&](int member) {
            auto found = read_bytes(request, member);
            return found.empty() ? std::string() : found[0];
        };
        std::lock_guard lock(mutex);
        auto version = text(1), nonce = text(5);
        auto error = text(6);
        if (text(4) != type) return;
        if (nonce.empty() && error.empty()) {
            subscribed = true;
            record.line("control service: the router subscribes, holding version '%s'", version.c_str());
        } else if (error.empty()) {
            acks.push_back(version);
            record.line("control service: version %s is acknowledged (%s)", version.c_str(), nonce.c_str());
        } else {
            auto reason = read_bytes(error, 2);
            nacks.push_back(reason.empty() ? "" : reason[0]);
            record.line("control service: the router answers %s, runs version '%s': %s", nonce.c_str(),
                        version.c_str(), nacks.back().c_str());
        }
    }
    Record& record;
    int listener = -1;
    std::mutex mutex;
    std::string told;
    int tellings = 0;
    bool subscribed = false;
    std::vector<std::string> acks, nacks;
};

}  // namespace stand
