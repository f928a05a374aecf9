#include "peers/message.hpp"

#include "peers.pb.h"
#include "peers/status_word.hpp"

namespace quillgrade::peers {

namespace {

constexpr std::uint32_t format_version = 1;
constexpr int last_type = static_cast<int>(MessageType::RangePage);
constexpr Micros ms = 1000, max_clock_skew = 86'400'000 * ms, age_unit = 100 * ms, max_age = 600'000 * ms;

// Reads the fields of state transfer, which only its own message types may carry.
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
    if (wire.format() != format_version) return {{}, DropReason::UnsupportedFormat};
    if (routers > max_routers) return {{}, DropReason::OutOfRange};
    auto count = static_cast<std::uint32_t>(routers);
    auto latest = static_cast<Generation>((now + max_clock_skew) / ms);
    auto is_valid_generation = [&](Generation generation) { return generation > 0 && generation <= latest; };
    Message message;
    auto type = static_cast<int>(wire.kind());
    if (wire.from() >= count || !is_valid_generation(wire.life()) || type < 1 || type > last_type ||
        wire.zone() > 256)
        return {{}, DropReason::OutOfRange};
    message.from = static_cast<RouterIndex>(wire.from());
    message.sender_state.generation = wire.life();
    if (!parse_status_word(wire.word(), message.sender_state) ||
        message.sender_state.liveness != Liveness::Alive)
        return {{}, DropReason::OutOfRange};
    message.zone = static_cast<int>(wire.zone()) - 1;
    message.type = static_cast<MessageType>(type);
    message.probe_id = wire.probe();
    message.direct_ping_received = wire.direct();
    // For the other types -1 is valid, so the field holds the index plus 1.
    bool names_target = message.type == MessageType::PingRequest || message.type == MessageType::Nack;
    if (wire.about() > count || (names_target && wire.about() == count)) return {{}, DropReason::OutOfRange};
    message.target = static_cast<RouterIndex>(wire.about()) - (names_target ? 0 : 1);
    auto& columns = wire;
    if (columns.lives_size() != columns.who_size() || columns.words_size() != columns.who_size() ||
        columns.accusers_size() != columns.accused_size() || columns.ages_size() != columns.accused_size() ||
        columns.listeners_size() != columns.speakers_size() || columns.said_size() != columns.speakers_size())
        return {{}, DropReason::Malformed};
    for (int i = 0; i < columns.who_size(); i++) {
        MemberRecord record;
        record.member = static_cast<RouterIndex>(columns.who(i));
        record.member_state.generation = wire.life() + static_cast<Generation>(columns.lives(i));
        if (columns.who(i) >= count || !is_valid_generation(record.member_state.generation) ||
            !parse_status_word(columns.words(i), record.member_state))
            return {{}, DropReason::OutOfRange};
        message.records.push_back(record);
    }
    for (int i = 0; i < columns.accused_size(); i++) {
        if (columns.accused(i) >= count || columns.accusers(i) >= count) return {{}, DropReason::OutOfRange};
        message.suspicions.push_back({static_cast<RouterIndex>(columns.accused(i)),
                                      static_cast<RouterIndex>(columns.accusers(i)),
                                      std::min<Micros>(columns.ages(i) * age_unit, max_age)});
    }
    for (int i = 0; i < columns.speakers_size(); i++) {
        if (columns.speakers(i) >= count || columns.listeners(i) >= count)
            return {{}, DropReason::OutOfRange};
        message.link_reports.push_back({static_cast<RouterIndex>(columns.speakers(i)),
                                        static_cast<RouterIndex>(columns.listeners(i)), columns.said(i) / 2,
                                        columns.said(i) % 2 == 1});
    }
    if (wire.first() >= count) return {{}, DropReason::OutOfRange};
    message.first_member = static_cast<RouterIndex>(wire.first());
    message.hashes.assign(columns.hashes().begin(), columns.hashes().end());
    if (message.hashes.size() * members_per_digest_hash > count + members_per_digest_hash - 1)
        return {{}, DropReason::OutOfRange};
    message.payload = std::move(*wire.mutable_payload());
    if (!read_transfer(wire, message, count, latest)) return {{}, DropReason::OutOfRange};
    return {std::move(message), DropReason::Count};
}

std::string encode(const Message& message) {
    wire::Datagram wire;
    wire.set_format(format_version);
    wire.set_from(static_cast<std::uint32_t>(message.from));
    wire.set_life(message.sender_state.generation);
    wire.set_word(status_word(message.sender_state));
    wire.set_zone(static_cast<std::uint32_t>(message.zone + 1));
    wire.set_kind(static_cast<wire::Kind>(message.type));
    wire.set_probe(message.probe_id);
    // For the other types -1 is valid, so the field holds the index plus 1.
    bool names_target = message.type == MessageType::PingRequest || message.type == MessageType::Nack;
    wire.set_about(static_cast<std::uint32_t>(message.target + (names_target ? 0 : 1)));
    wire.set_direct(message.direct_ping_received);
    for (auto& record : message.records) {
        wire.add_who(static_cast<std::uint32_t>(record.member));
        wire.add_lives(
            static_cast<std::int64_t>(record.member_state.generation - message.sender_state.generation));
        wire.add_words(status_word(record.member_state));
    }
    for (auto& suspicion : message.suspicions) {
        wire.add_accused(static_cast<std::uint32_t>(suspicion.suspect));
        wire.add_accusers(static_cast<std::uint32_t>(suspicion.reporter));
        wire.add_ages(static_cast<std::uint32_t>(suspicion.age / age_unit));
    }
    for (auto& report : message.link_reports) {
        wire.add_speakers(static_cast<std::uint32_t>(report.sender));
        wire.add_listeners(static_cast<std::uint32_t>(report.receiver));
        wire.add_said(report.sequence * 2 + (report.down ? 1 : 0));
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
