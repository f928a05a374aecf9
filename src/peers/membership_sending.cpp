// The part of a Membership that fills and sends datagrams: news in the room that a message leaves, the
// payload of the piggyback, and the byte budget that all of them share by priority.
#include <algorithm>
#include <limits>
#include <utility>

#include "peers/membership.hpp"

namespace quillgrade::peers {

namespace {

constexpr std::size_t most_forced = 3;  // accounts that are told whatever they cost
constexpr double unbounded = std::numeric_limits<double>::max();
constexpr std::size_t least_payload = 12, payload_tag = 4;  // bytes worth loading; field, length
constexpr double own_datagram = 110;          // bytes that one for the passenger's sake needs at least
constexpr std::size_t accusation_bytes = 40;  // of what is held against the receiver, with its account

// Rough sizes of what a datagram tells, so that few are taken off again.
constexpr std::size_t account_bytes = 10, accuser_bytes = 6, link_report_bytes = 6, tags = 18;

std::size_t news_bytes(const Message& message) {
    return tags + message.records.size() * account_bytes + message.suspicions.size() * accuser_bytes +
           message.link_reports.size() * link_report_bytes;
}

// What was not told after all is dropped, the last first, until the datagram is short enough.
std::string encode_within_limit(Message& message) {
    auto bytes = encode(message);
    while (bytes.size() > max_datagram_bytes) {
        if (!message.records.empty())
            message.records.pop_back();
        else if (!message.link_reports.empty())
            message.link_reports.pop_back();
        else
            message.hashes.pop_back();
        std::erase_if(message.suspicions, [&](auto& one) {
            return std::none_of(message.records.begin(), message.records.end(),
                                [&](auto& account) { return account.member == one.suspect; });
        });
        bytes = encode(message);
    }
    return bytes;
}

}  // namespace

// What a kind of datagram leaves to more needful ones, in seconds of the byte_budget.
double Membership::kept_back(SendPriority need) {
    switch (need) {
        case SendPriority::Probe:
            return 0;
        case SendPriority::Answer:
        case SendPriority::Insist:
            return 0.1;
        case SendPriority::IndirectProbe:
            return 0.15;
        case SendPriority::News:
            return 0.25;
        case SendPriority::Spare:
            break;
    }
    return 0.7;
}

void Membership::spread(RouterIndex who, bool urgent) {
    gossip.news(who, urgent);
    fresh |= urgent;
}

// Urgent news do not wait for the next probe while there are bytes to spare: told to three at once by each
// that hears it for the first time, it reaches nine in ten within some delays of the network; the probes do
// the rest.
void Membership::pass_on(Micros now) {
    if (!std::exchange(fresh, false) || leaves_gossip_to_others()) return;
    if (bytes_left(now) > settings.bytes_per_s * kept_back(SendPriority::Spare)) tell_some(3, now);
}

// Word to some at once that would else wait for the next probe.
void Membership::tell_some(std::size_t many, Micros now) {
    for (auto who : pick(many, -1)) {
        Message news;
        news.type = MessageType::Gossip;
        send(who, news, SendPriority::Answer, now);
    }
}

bool Membership::send(RouterIndex to, Message message, SendPriority priority, Micros now,
                      const std::vector<MemberRecord>& first, bool for_piggyback) {
    auto left = bytes_left(now) / settings.bytes_per_s;
    // Guards against probes that use up all bytes where nobody is heard, so that others never hear what this
    // router alone was told.
    auto saved_up = piggyback_waits && !for_piggyback && priority >= SendPriority::Insist
                        ? own_datagram / settings.bytes_per_s
                        : 0;
    if (to == number || left <= kept_back(priority) + saved_up) {
        seen.withheld++;
        return false;
    }
    message.from = number;
    message.sender_state = me;
    message.zone = zone;
    add_news(to, message, first, left, now);
    auto bytes = encode_within_limit(message);
    if (piggyback) {
        auto keep = piggyback_waits ? 0 : kept_back(for_piggyback ? priority : SendPriority::News);
        load_payload(to, message, bytes, (left - keep) * settings.bytes_per_s, now);
    }
    spend(bytes.size());
    hand_out(to, std::move(bytes), now);
    return true;
}

// What is left of the datagram carries news: first what is held against the receiver, so that it can answer.
void Membership::add_news(RouterIndex to, Message& message, const std::vector<MemberRecord>& first,
                          double left, Micros now) {
    auto base = encode(message).size();
    // A third of what is saved goes into one datagram.
    auto spare_bytes = std::max(0.0, (left - kept_back(SendPriority::News)) * settings.bytes_per_s / 3);
    auto room = std::min(static_cast<double>(max_datagram_bytes) - static_cast<double>(base), spare_bytes);
    if (base + accusation_bytes <= max_datagram_bytes) add_accusation_of_receiver(to, message, now);
    bool forced = !first.empty() && first.size() <= most_forced;
    for (auto& one : first) add_account(one.member, message, forced ? unbounded : room, now);
    if (first.empty() && !leaves_gossip_to_others()) add_gossip(message, room, now);
}

// Guards against a router that never hears what it is accused of: this comes whatever it costs.
void Membership::add_accusation_of_receiver(RouterIndex to, Message& message, Micros now) {
    auto& member_state = at(to).member_state;
    if (member_state.generation == 0 || member_state.liveness == Liveness::Alive) return;
    message.records.push_back({to, member_state});
    auto* suspicion = suspicions.find(to);
    if (suspicion && !suspicion->accusers.empty())
        message.suspicions.push_back({to, suspicion->accusers.front(), now - suspicion->since});
}

void Membership::add_gossip(Message& message, double room, Micros now) {
    auto spare = room - tags;
    if (spare <= link_report_bytes) return;
    if (message.type != MessageType::Digest && message.link_reports.empty())
        message.link_reports = reachability.next_reports(
            std::min(max_link_reports, static_cast<std::size_t>(spare / link_report_bytes)), gossip.most());
    auto after_reports = spare - static_cast<double>(message.link_reports.size() * link_report_bytes);
    auto places = static_cast<std::size_t>(std::max(0.0, after_reports) / account_bytes);
    for (auto who : gossip.next(places))
        if (!add_account(who, message, room, now)) gossip.untold(who);
}

// With who accuses it, where it is suspected. False where `room` has no bytes for it.
bool Membership::add_account(RouterIndex who, Message& message, double room, Micros now) const {
    auto& member_state = at(who).member_state;
    if (member_state.generation == 0 || who == number) return true;
    bool there = std::any_of(message.records.begin(), message.records.end(),
                             [&](auto& one) { return one.member == who; });
    if (there) return true;
    if (static_cast<double>(news_bytes(message) + account_bytes) > room) return false;
    message.records.push_back({who, member_state});
    auto* suspicion = suspicions.find(who);
    if (member_state.liveness != Liveness::Suspected || !suspicion) return true;
    for (auto accuser : suspicion->accusers)
        message.suspicions.push_back({who, accuser, now - suspicion->since});
    return true;
}

// At most `bytes_free` of payload, where that is enough to be worth a load. `bytes`: the message so far.
void Membership::load_payload(RouterIndex to, Message& message, std::string& bytes, double bytes_free,
                              Micros now) {
    if (bytes.size() + payload_tag + least_payload > max_datagram_bytes) return;
    auto spare = std::max(0.0, bytes_free - static_cast<double>(bytes.size()));
    auto free = std::min(max_datagram_bytes - bytes.size() - payload_tag, static_cast<std::size_t>(spare));
    if (free >= least_payload) message.payload = piggyback->load(to, free, now);
    if (message.payload.size() > free) message.payload.clear();
    seen.piggyback_bytes += message.payload.size();
    if (!message.payload.empty()) bytes = encode(message);
}

void Membership::hand_out(RouterIndex to, std::string bytes, Micros now) {
    seen.sent++;
    seen.bytes_sent += bytes.size();
    if (transfer) transfer->record_traffic(bytes.size(), now);
    out.push_back({to, std::move(bytes)});
}

bool Membership::send_piggyback(RouterIndex to, bool urgent, Micros now) {
    Message news;
    news.type = MessageType::Gossip;
    auto need = urgent ? SendPriority::IndirectProbe : SendPriority::Spare;
    // Guards against datagrams that have no room for what they are sent for.
    bool enough = bytes_left(now) - kept_back(need) * settings.bytes_per_s >= own_datagram;
    if (!enough) return false;
    return send(to, news, need, now, {}, true);
}

bool Membership::send_piggyback(std::size_t most, int in_zone, bool urgent, Micros now) {
    auto to = pick(most, -1, in_zone);
    // Who hears nobody may still be heard: it speaks to those that were there last.
    for (RouterIndex step = 1; to.empty() && step < routers(); step++) {
        auto who = (number + static_cast<RouterIndex>(chance() % static_cast<unsigned>(routers())) + step) %
                   routers();
        auto state = at(who).state;
        if (who != number && (state == State::Silent || state == State::Suspected || state == State::Dead))
            to.push_back(who);
    }
    bool sent = false;
    for (auto who : to) sent |= send_piggyback(who, urgent, now);
    piggyback_waits = urgent && !sent;
    return sent;
}

double Membership::bytes_left(Micros now) {
    auto own = byte_budget.available(now);
    return page_server ? std::min(own, page_server->available_bytes(now)) : own;
}

void Membership::spend(std::size_t bytes) {
    byte_budget.spend(bytes);
    if (page_server) page_server->spend_membership(bytes);
}

double Membership::spare_bytes(Micros now) {
    return std::max(0.0, bytes_left(now) - kept_back(SendPriority::Spare) * settings.bytes_per_s);
}

}  // namespace quillgrade::peers
