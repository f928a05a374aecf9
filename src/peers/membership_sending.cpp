// The part of a Membership that fills and sends datagrams: gossip in the room that a message leaves, the
// payload of the piggyback, and the byte budget that all datagrams share by priority.
#include <algorithm>
#include <limits>
#include <utility>

#include "peers/membership.hpp"

namespace quillgrade::peers {

namespace {

constexpr std::size_t max_forced = 3;  // records that are sent even where the byte budget is short
constexpr double unbounded = std::numeric_limits<double>::max();
// Bytes of the least payload worth loading, and of a payload's field number and length.
constexpr std::size_t min_payload = 12, payload_tag = 4;
constexpr double min_piggyback_datagram = 110;  // bytes that a datagram for the payload alone needs at least
constexpr std::size_t accusation_bytes = 40;    // of an accusation of the receiver, with its record

// Estimated sizes of the entries in a datagram, so that few have to be removed again after encoding.
constexpr std::size_t record_bytes = 10, accuser_bytes = 6, link_report_bytes = 6, tag_bytes = 18;

std::size_t entry_bytes(const Message& message) {
    return tag_bytes + message.records.size() * record_bytes + message.suspicions.size() * accuser_bytes +
           message.link_reports.size() * link_report_bytes;
}

// Removes entries, the last first, until the datagram is short enough.
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
                                [&](auto& record) { return record.member == one.suspect; });
        });
        bytes = encode(message);
    }
    return bytes;
}

}  // namespace

// The part of the byte budget that datagrams of this priority leave to those of higher
// ones, in seconds of its rate.
double Membership::reserve_seconds(SendPriority priority) {
    switch (priority) {
        case SendPriority::Probe:
            return 0;
        case SendPriority::Answer:
        case SendPriority::ProbeRetry:
            return 0.1;
        case SendPriority::IndirectProbe:
            return 0.15;
        case SendPriority::Gossip:
            return 0.25;
        case SendPriority::Background:
            break;
    }
    return 0.7;
}

void Membership::enqueue_gossip(RouterIndex who, bool urgent) {
    gossip.enqueue(who, urgent);
    urgent_gossip_pending |= urgent;
}

// Urgent updates do not wait for the next probe while there are bytes to spare. Each router that learns of
// one for the first time sends it to three others at once, so it reaches nine in ten within a few network
// delays. The probes spread it to the rest.
void Membership::send_urgent_gossip(Micros now) {
    if (!std::exchange(urgent_gossip_pending, false) || suppresses_gossip()) return;
    if (available_bytes(now) > settings.bytes_per_s * reserve_seconds(SendPriority::Background))
        send_gossip(3, now);
}

// Sends gossip at once that would otherwise wait for the next probe.
void Membership::send_gossip(std::size_t receivers, Micros now) {
    for (auto who : pick_peers(receivers, -1)) {
        Message gossip_message;
        gossip_message.type = MessageType::Gossip;
        send(who, gossip_message, SendPriority::Answer, now);
    }
}

bool Membership::send(RouterIndex to, Message message, SendPriority priority, Micros now,
                      const std::vector<MemberRecord>& first, bool for_piggyback) {
    auto left = available_bytes(now) / settings.bytes_per_s;
    // Guards against probes that use up all bytes while no router is heard, so that urgent payload which
    // only this router has would never be sent.
    auto payload_reserve = reserves_for_piggyback && !for_piggyback && priority >= SendPriority::ProbeRetry
                               ? min_piggyback_datagram / settings.bytes_per_s
                               : 0;
    if (to == self_number || left <= reserve_seconds(priority) + payload_reserve) {
        totals.withheld++;
        return false;
    }
    message.from = self_number;
    message.sender_state = self_state;
    message.zone = zone;
    add_updates(to, message, first, left, now);
    auto bytes = encode_within_limit(message);
    if (piggyback) {
        auto reserve =
            reserves_for_piggyback ? 0 : reserve_seconds(for_piggyback ? priority : SendPriority::Gossip);
        add_payload(to, message, bytes, (left - reserve) * settings.bytes_per_s, now);
    }
    spend_bytes(bytes.size());
    enqueue_outgoing(to, std::move(bytes), now);
    return true;
}

// Fills the rest of the datagram: first an accusation of the receiver, so that it can refute it; then
// `first`, or gossip if that is empty.
void Membership::add_updates(RouterIndex to, Message& message, const std::vector<MemberRecord>& first,
                             double left, Micros now) {
    auto base = encode(message).size();
    // One datagram may use a third of the saved bytes.
    auto allowance = std::max(0.0, (left - reserve_seconds(SendPriority::Gossip)) * settings.bytes_per_s / 3);
    auto room = std::min(static_cast<double>(max_datagram_bytes) - static_cast<double>(base), allowance);
    if (base + accusation_bytes <= max_datagram_bytes) add_accusation_of_receiver(to, message, now);
    bool forced = !first.empty() && first.size() <= max_forced;
    for (auto& one : first) add_record(one.member, message, forced ? unbounded : room, now);
    if (first.empty() && !suppresses_gossip()) add_gossip(message, room, now);
}

// Guards against a router that never learns of the accusation: it is added even where
// the byte budget is short.
void Membership::add_accusation_of_receiver(RouterIndex to, Message& message, Micros now) {
    auto& member_state = at(to).member_state;
    if (member_state.generation == 0 || member_state.liveness == Liveness::Alive) return;
    message.records.push_back({to, member_state});
    auto* suspicion = suspicions.find(to);
    if (suspicion && !suspicion->accusers.empty())
        message.suspicions.push_back({to, suspicion->accusers.front(), now - suspicion->since});
}

void Membership::add_gossip(Message& message, double room, Micros now) {
    auto spare = room - tag_bytes;
    if (spare <= link_report_bytes) return;
    if (message.type != MessageType::Digest && message.link_reports.empty())
        message.link_reports = reachability.next_reports(
            std::min(max_link_reports, static_cast<std::size_t>(spare / link_report_bytes)),
            gossip.repeat_limit());
    auto after_reports = spare - static_cast<double>(message.link_reports.size() * link_report_bytes);
    auto places = static_cast<std::size_t>(std::max(0.0, after_reports) / record_bytes);
    for (auto who : gossip.take_next(places))
        if (!add_record(who, message, room, now)) gossip.put_back(who);
}

// Adds the record, with its accusers if it is suspected. Returns false where it does
// not fit into `room` bytes.
bool Membership::add_record(RouterIndex who, Message& message, double room, Micros now) const {
    auto& member_state = at(who).member_state;
    if (member_state.generation == 0 || who == self_number) return true;
    bool present = std::any_of(message.records.begin(), message.records.end(),
                               [&](auto& one) { return one.member == who; });
    if (present) return true;
    if (static_cast<double>(entry_bytes(message) + record_bytes) > room) return false;
    message.records.push_back({who, member_state});
    auto* suspicion = suspicions.find(who);
    if (member_state.liveness != Liveness::Suspected || !suspicion) return true;
    for (auto accuser : suspicion->accusers)
        message.suspicions.push_back({who, accuser, now - suspicion->since});
    return true;
}

// Adds at most `bytes_free` bytes of payload, where that is enough to be worth loading. `bytes`: the encoded
// message, which is encoded anew if payload is added.
void Membership::add_payload(RouterIndex to, Message& message, std::string& bytes, double bytes_free,
                             Micros now) {
    if (bytes.size() + payload_tag + min_payload > max_datagram_bytes) return;
    auto spare = std::max(0.0, bytes_free - static_cast<double>(bytes.size()));
    auto free = std::min(max_datagram_bytes - bytes.size() - payload_tag, static_cast<std::size_t>(spare));
    if (free >= min_payload) message.payload = piggyback->load(to, free, now);
    if (message.payload.size() > free) message.payload.clear();
    totals.piggyback_bytes += message.payload.size();
    if (!message.payload.empty()) bytes = encode(message);
}

void Membership::enqueue_outgoing(RouterIndex to, std::string bytes, Micros now) {
    totals.sent++;
    totals.bytes_sent += bytes.size();
    if (transfer) transfer->record_traffic(bytes.size(), now);
    outgoing.push_back({to, std::move(bytes)});
}

bool Membership::send_piggyback(RouterIndex to, bool urgent, Micros now) {
    Message gossip_message;
    gossip_message.type = MessageType::Gossip;
    auto priority = urgent ? SendPriority::IndirectProbe : SendPriority::Background;
    // Guards against datagrams that have no room for the payload they are sent for.
    bool enough =
        available_bytes(now) - reserve_seconds(priority) * settings.bytes_per_s >= min_piggyback_datagram;
    if (!enough) return false;
    return send(to, gossip_message, priority, now, {}, true);
}

bool Membership::send_piggyback(std::size_t most, int in_zone, bool urgent, Micros now) {
    auto to = pick_peers(most, -1, in_zone);
    // A router that hears no other may still be heard: it sends to those that were alive last.
    for (RouterIndex step = 1; to.empty() && step < routers(); step++) {
        auto who =
            (self_number + static_cast<RouterIndex>(generator() % static_cast<unsigned>(routers())) + step) %
            routers();
        auto state = at(who).state;
        if (who != self_number &&
            (state == State::Silent || state == State::Suspected || state == State::Dead))
            to.push_back(who);
    }
    bool sent = false;
    for (auto who : to) sent |= send_piggyback(who, urgent, now);
    reserves_for_piggyback = urgent && !sent;
    return sent;
}

double Membership::available_bytes(Micros now) {
    auto own = byte_budget.available(now);
    return page_server ? std::min(own, page_server->available_bytes(now)) : own;
}

void Membership::spend_bytes(std::size_t bytes) {
    byte_budget.spend(bytes);
    if (page_server) page_server->spend_membership(bytes);
}

double Membership::spare_bytes(Micros now) {
    return std::max(0.0,
                    available_bytes(now) - reserve_seconds(SendPriority::Background) * settings.bytes_per_s);
}

}  // namespace quillgrade::peers
