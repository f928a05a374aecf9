#include "peers/message.hpp"

#include "peers.pb.h"
#include "peers/status_word.hpp"

namespace quillgrade::peers {

namespace {

constexpr std::uint32_t format = 1;
constexpr int last_kind = static_cast<int>(Kind::RangePage);
constexpr Micros ms = 1000, clocks_apart = 86'400'000 * ms, tenth = 100 * ms, oldest = 600'000 * ms;

// The fields of a state transfer. Only its own kinds may have them.
bool read_transfer(const wire::Datagram& wire, Message& message, std::uint32_t routers, Life latest) {
    bool request = message.kind == Kind::RangeRequest, page = message.kind == Kind::RangePage;
    if (!request && (wire.range_members() != 0 || wire.pages() != 0)) return false;
    if (!page && (wire.complete() || !wire.page().empty())) return false;
    if (request) {
        if (wire.range_members() == 0 || wire.range_members() > routers - wire.first()) return false;
        if (wire.pages() == 0 || wire.pages() > most_pages) return false;
    }
    message.range_members = static_cast<int>(wire.range_members());
    message.pages = static_cast<int>(wire.pages());
    message.complete = wire.complete();
    if (wire.page().empty()) return true;
    message.page = unpack(wire.page(), static_cast<int>(routers), latest);
    return message.page.has_value();
}

}  // namespace

Decoded decode(std::string_view datagram, int routers, Micros now) {
    if (datagram.size() > longest) return {{}, Dropped::TooLong};
    wire::Datagram wire;
    if (!wire.ParseFromArray(datagram.data(), static_cast<int>(datagram.size())))
        return {{}, Dropped::Malformed};
    if (wire.format() != format) return {{}, Dropped::Format};
    if (routers > most_routers) return {{}, Dropped::OutOfRange};
    auto count = static_cast<std::uint32_t>(routers);
    auto latest = static_cast<Life>((now + clocks_apart) / ms);
    auto good_life = [&](Life life) { return life > 0 && life <= latest; };
    Message message;
    auto kind = static_cast<int>(wire.kind());
    if (wire.from() >= count || !good_life(wire.life()) || kind < 1 || kind > last_kind || wire.zone() > 256)
        return {{}, Dropped::OutOfRange};
    message.from = static_cast<Number>(wire.from());
    message.self.life = wire.life();
    if (!read_status_word(wire.word(), message.self) || message.self.verdict != Verdict::Alive)
        return {{}, Dropped::OutOfRange};
    message.zone = static_cast<int>(wire.zone()) - 1;
    message.kind = static_cast<Kind>(kind);
    message.probe = wire.probe();
    message.direct = wire.direct();
    bool probed = message.kind == Kind::Ask || message.kind == Kind::No;
    if (wire.about() > count || (probed && wire.about() == count)) return {{}, Dropped::OutOfRange};
    message.about = static_cast<Number>(wire.about()) - (probed ? 0 : 1);
    auto& w = wire;
    if (w.lives_size() != w.who_size() || w.words_size() != w.who_size() ||
        w.accusers_size() != w.accused_size() || w.ages_size() != w.accused_size() ||
        w.listeners_size() != w.speakers_size() || w.said_size() != w.speakers_size())
        return {{}, Dropped::Malformed};
    for (int i = 0; i < w.who_size(); i++) {
        Account one;
        one.who = static_cast<Number>(w.who(i));
        one.member_state.life = wire.life() + static_cast<Life>(w.lives(i));
        if (w.who(i) >= count || !good_life(one.member_state.life) ||
            !read_status_word(w.words(i), one.member_state))
            return {{}, Dropped::OutOfRange};
        message.accounts.push_back(one);
    }
    for (int i = 0; i < w.accused_size(); i++) {
        if (w.accused(i) >= count || w.accusers(i) >= count) return {{}, Dropped::OutOfRange};
        message.accusations.push_back({static_cast<Number>(w.accused(i)), static_cast<Number>(w.accusers(i)),
                                       std::min<Micros>(w.ages(i) * tenth, oldest)});
    }
    for (int i = 0; i < w.speakers_size(); i++) {
        if (w.speakers(i) >= count || w.listeners(i) >= count) return {{}, Dropped::OutOfRange};
        message.link_reports.push_back({static_cast<Number>(w.speakers(i)),
                                        static_cast<Number>(w.listeners(i)), w.said(i) / 2,
                                        w.said(i) % 2 == 1});
    }
    if (wire.first() >= count) return {{}, Dropped::OutOfRange};
    message.first = static_cast<Number>(wire.first());
    message.hashes.assign(w.hashes().begin(), w.hashes().end());
    if (message.hashes.size() * block > count + block - 1) return {{}, Dropped::OutOfRange};
    message.payload = std::move(*wire.mutable_payload());
    if (!read_transfer(wire, message, count, latest)) return {{}, Dropped::OutOfRange};
    return {std::move(message), Dropped::Last};
}

std::string encode(const Message& message) {
    wire::Datagram wire;
    wire.set_format(format);
    wire.set_from(static_cast<std::uint32_t>(message.from));
    wire.set_life(message.self.life);
    wire.set_word(status_word(message.self));
    wire.set_zone(static_cast<std::uint32_t>(message.zone + 1));
    wire.set_kind(static_cast<wire::Kind>(message.kind));
    wire.set_probe(message.probe);
    bool probed = message.kind == Kind::Ask || message.kind == Kind::No;
    wire.set_about(static_cast<std::uint32_t>(message.about + (probed ? 0 : 1)));
    wire.set_direct(message.direct);
    for (auto& one : message.accounts) {
        wire.add_who(static_cast<std::uint32_t>(one.who));
        wire.add_lives(static_cast<std::int64_t>(one.member_state.life - message.self.life));
        wire.add_words(status_word(one.member_state));
    }
    for (auto& one : message.accusations) {
        wire.add_accused(static_cast<std::uint32_t>(one.accused));
        wire.add_accusers(static_cast<std::uint32_t>(one.accuser));
        wire.add_ages(static_cast<std::uint32_t>(one.age / tenth));
    }
    for (auto& one : message.link_reports) {
        wire.add_speakers(static_cast<std::uint32_t>(one.speaker));
        wire.add_listeners(static_cast<std::uint32_t>(one.listener));
        wire.add_said(one.said * 2 + (one.cut ? 1 : 0));
    }
    wire.set_first(static_cast<std::uint32_t>(message.first));
    for (auto hash : message.hashes) wire.add_hashes(hash);
    if (!message.payload.empty()) wire.set_payload(message.payload);
    wire.set_range_members(static_cast<std::uint32_t>(message.range_members));
    wire.set_pages(static_cast<std::uint32_t>(message.pages));
    wire.set_complete(message.complete);
    if (message.page) wire.set_page(pack(*message.page));
    return wire.SerializeAsString();
}

}  // namespace quillgrade::peers
