#include "peers/message.hpp"

#include "peers.pb.h"
#include "peers/status_word.hpp"

namespace quillgrade::peers {

namespace {

constexpr std::uint32_t format = 1;
constexpr int last_kind = static_cast<int>(MessageType::RangePage);
constexpr Micros ms = 1000, clocks_apart = 86'400'000 * ms, tenth = 100 * ms, oldest = 600'000 * ms;

// The fields of a state transfer. Only its own kinds may have them.
bool read_transfer(const wire::Datagram& wire, Message& message, std::uint32_t routers, Generation latest) {
    bool request = message.type == MessageType::RangeRequest, page = message.type == MessageType::RangePage;
    if (!request && (wire.range_members() != 0 || wire.pages() != 0)) return false;
    if (!page && (wire.complete() || !wire.page().empty())) return false;
    if (request) {
        if (wire.range_members() == 0 || wire.range_members() > routers - wire.first()) return false;
        if (wire.pages() == 0 || wire.pages() > max_pages_per_request) return false;
    }
    message.range_members = static_cast<int>(wire.range_members());
    message.pages = static_cast<int>(wire.pages());
    message.complete = wire.complete();
    if (wire.page().empty()) return true;
    message.page = decode_page(wire.page(), static_cast<int>(routers), latest);
    return message.page.has_value();
}

}  // namespace

DecodeResult decode(std::string_view datagram, int routers, Micros now) {
    if (datagram.size() > max_datagram_bytes) return {{}, DropReason::TooLong};
    wire::Datagram wire;
    if (!wire.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
        return {{}, DropReason::Malformed};
    if (wire.format() != format) return {{}, DropReason::UnsupportedFormat};
    if (routers > max_routers) return {{}, DropReason::OutOfRange};
    auto count = static_cast<std::uint32_t>(routers);
    auto latest = static_cast<Generation>((now + clocks_apart) / ms);
    auto good_life = [&](Generation life) { return life > 0 && life <= latest; };
    Message message;
    auto kind = static_cast<int>(wire.kind());
    if (wire.from() >= count || !good_life(wire.life()) || kind < 1 || kind > last_kind || wire.zone() > 256)
        return {{}, DropReason::OutOfRange};
    message.from = static_cast<RouterIndex>(wire.from());
    message.sender_state.generation = wire.life();
    if (!parse_status_word(wire.word(), message.sender_state) ||
        message.sender_state.liveness != Liveness::Alive)
        return {{}, DropReason::OutOfRange};
    message.zone = static_cast<int>(wire.zone()) - 1;
    message.type = static_cast<MessageType>(kind);
    message.probe_id = wire.probe();
    message.direct_ping_received = wire.direct();
    bool probed = message.type == MessageType::PingRequest || message.type == MessageType::Nack;
    if (wire.about() > count || (probed && wire.about() == count)) return {{}, DropReason::OutOfRange};
    message.target = static_cast<RouterIndex>(wire.about()) - (probed ? 0 : 1);
    auto& w = wire;
    if (w.lives_size() != w.who_size() || w.words_size() != w.who_size() ||
        w.accusers_size() != w.accused_size() || w.ages_size() != w.accused_size() ||
        w.listeners_size() != w.speakers_size() || w.said_size() != w.speakers_size())
        return {{}, DropReason::Malformed};
    for (int i = 0; i < w.who_size(); i++) {
        MemberRecord one;
        one.member = static_cast<RouterIndex>(w.who(i));
        one.member_state.generation = wire.life() + static_cast<Generation>(w.lives(i));
        if (w.who(i) >= count || !good_life(one.member_state.generation) ||
            !parse_status_word(w.words(i), one.member_state))
            return {{}, DropReason::OutOfRange};
        message.records.push_back(one);
    }
    for (int i = 0; i < w.accused_size(); i++) {
        if (w.accused(i) >= count || w.accusers(i) >= count) return {{}, DropReason::OutOfRange};
        message.suspicions.push_back({static_cast<RouterIndex>(w.accused(i)),
                                      static_cast<RouterIndex>(w.accusers(i)),
                                      std::min<Micros>(w.ages(i) * tenth, oldest)});
    }
    for (int i = 0; i < w.speakers_size(); i++) {
        if (w.speakers(i) >= count || w.listeners(i) >= count) return {{}, DropReason::OutOfRange};
        message.link_reports.push_back({static_cast<RouterIndex>(w.speakers(i)),
                                        static_cast<RouterIndex>(w.listeners(i)), w.said(i) / 2,
                                        w.said(i) % 2 == 1});
    }
    if (wire.first() >= count) return {{}, DropReason::OutOfRange};
    message.first_member = static_cast<RouterIndex>(wire.first());
    message.hashes.assign(w.hashes().begin(), w.hashes().end());
    if (message.hashes.size() * members_per_digest_hash > count + members_per_digest_hash - 1)
        return {{}, DropReason::OutOfRange};
    message.payload = std::move(*wire.mutable_payload());
    if (!read_transfer(wire, message, count, latest)) return {{}, DropReason::OutOfRange};
    return {std::move(message), DropReason::Count};
}

std::string encode(const Message& message) {
    wire::Datagram wire;
    wire.set_format(format);
    wire.set_from(static_cast<std::uint32_t>(message.from));
    wire.set_life(message.sender_state.generation);
    wire.set_word(status_word(message.sender_state));
    wire.set_zone(static_cast<std::uint32_t>(message.zone + 1));
    wire.set_kind(static_cast<wire::Kind>(message.type));
    wire.set_probe(message.probe_id);
    bool probed = message.type == MessageType::PingRequest || message.type == MessageType::Nack;
    wire.set_about(static_cast<std::uint32_t>(message.target + (probed ? 0 : 1)));
    wire.set_direct(message.direct_ping_received);
    for (auto& one : message.records) {
        wire.add_who(static_cast<std::uint32_t>(one.member));
        wire.add_lives(
            static_cast<std::int64_t>(one.member_state.generation - message.sender_state.generation));
        wire.add_words(status_word(one.member_state));
    }
    for (auto& one : message.suspicions) {
        wire.add_accused(static_cast<std::uint32_t>(one.suspect));
        wire.add_accusers(static_cast<std::uint32_t>(one.reporter));
        wire.add_ages(static_cast<std::uint32_t>(one.age / tenth));
    }
    for (auto& one : message.link_reports) {
        wire.add_speakers(static_cast<std::uint32_t>(one.sender));
        wire.add_listeners(static_cast<std::uint32_t>(one.receiver));
        wire.add_said(one.sequence * 2 + (one.down ? 1 : 0));
    }
    wire.set_first(static_cast<std::uint32_t>(message.first_member));
    for (auto hash : message.hashes) wire.add_hashes(hash);
    if (!message.payload.empty()) wire.set_payload(message.payload);
    wire.set_range_members(static_cast<std::uint32_t>(message.range_members));
    wire.set_pages(static_cast<std::uint32_t>(message.pages));
    wire.set_complete(message.complete);
    if (message.page) wire.set_page(encode_page(*message.page));
    return wire.SerializeAsString();
}

}  // namespace quillgrade::peers
