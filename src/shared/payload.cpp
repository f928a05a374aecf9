#include "shared/payload.hpp"

#include <algorithm>
#include <cmath>

#include "payload.pb.h"

namespace quillgrade::shared {

namespace {

constexpr Micros ms = 1000;
constexpr std::uint64_t max_time_ms = 1ULL << 52;
constexpr int max_items = 64;

std::uint32_t wire_amount(double micros) {
    return static_cast<std::uint32_t>(std::clamp(micros / 100, 0.0, 4e9));
}

}  // namespace

std::optional<Payload> decode(std::string_view bytes, Micros unix_now) {
    wire::Payload wire;
    if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return {};
    if (wire.facts_size() > max_items || wire.asks_size() > max_items || wire.grants_size() > max_items ||
        wire.complaints_size() > max_items || wire.counts_size() > max_items || wire.now() > max_time_ms)
        return {};
    Payload payload;
    payload.configuration_hash = wire.terms();
    payload.digest = wire.digest();
    auto now = static_cast<std::int64_t>(wire.now());
    for (auto& item : wire.facts()) {
        if (item.what() > 3 || now == 0) return {};
        Fact fact;
        fact.subject = item.what() <= 1   ? FactSubject::Server
                       : item.what() == 2 ? FactSubject::Object
                                          : FactSubject::Group;
        fact.gone = item.what() == 1;
        fact.key = item.key();
        std::int64_t time = now - item.before();
        if (fact.subject == FactSubject::Server) time = item.before() == 0 ? 0 : now - item.before() / 2;
        auto age = item.born() * 100;
        if (time < 0 || static_cast<std::uint64_t>(time) > max_time_ms || age > max_time_ms ||
            (fact.subject == FactSubject::Group && fact.key > 0xffff) || fact.key == 0) {
            if (!(fact.subject == FactSubject::Group && fact.key == 0)) return {};
        }
        fact.time = static_cast<std::uint64_t>(time);
        fact.first_heard = age > wire.now() ? 0 : wire.now() - age;
        payload.facts.push_back(fact);
    }
    for (auto& item : wire.asks())
        payload.asks.push_back({item.server(), item.start(), item.number(), item.amount() * 100.0,
                                item.least() * 100.0, item.renews()});
    for (auto& item : wire.grants())
        payload.grants.push_back({item.server(), item.number(), item.amount() * 100.0});
    payload.breadth = {static_cast<int>(wire.breadth() / 256 % 65536),
                       static_cast<int>(wire.breadth() % 256)};
    for (auto& item : wire.complaints()) {
        if (item.bad() > 100 || item.slow() > 1'000'000 || item.samples() > 1'000'000) return {};
        payload.complaints.push_back({item.server(), item.start(), static_cast<double>(item.samples()),
                                      item.bad() / 100.0, item.slow() / 10.0,
                                      static_cast<Micros>(std::min(item.age(), 6000U)) * 100 * ms});
    }
    for (auto& item : wire.counts())
        payload.counts.push_back({item.name(), wire.epoch() - (item.before() ? 1 : 0), item.askers()});
    (void)unix_now;
    return payload;
}

EncodedPayload encode(const Payload& payload, std::size_t room, Micros unix_now) {
    EncodedPayload encoded;
    wire::Payload wire;
    wire.set_terms(payload.configuration_hash);
    wire.set_digest(payload.digest);
    if (wire.ByteSizeLong() > room) return encoded;
    auto now = static_cast<std::int64_t>(unix_now / ms);
    bool is_full = false;
    auto fits = [&](auto* items, std::size_t& count) {
        if (wire.ByteSizeLong() <= room) {
            count++;
            return true;
        }
        items->RemoveLast();
        is_full = true;
        return false;
    };
    for (auto& grant : payload.grants) {
        auto* item = wire.add_grants();
        item->set_server(grant.server);
        item->set_number(grant.number);
        item->set_amount(wire_amount(grant.amount));
        if (is_full || !fits(wire.mutable_grants(), encoded.grants)) break;
    }
    for (auto& ask : payload.asks) {
        if (is_full) break;
        auto* item = wire.add_asks();
        item->set_server(ask.server);
        item->set_start(ask.start);
        item->set_number(ask.number);
        item->set_amount(wire_amount(ask.amount));
        item->set_least(wire_amount(ask.min_amount));
        item->set_renews(ask.renews);
        if (!fits(wire.mutable_asks(), encoded.asks)) break;
    }
    for (auto& fact : payload.facts) {
        if (is_full) break;
        wire.set_now(static_cast<std::uint64_t>(now));
        auto* item = wire.add_facts();
        item->set_what(fact.subject == FactSubject::Server   ? fact.gone
                       : fact.subject == FactSubject::Object ? 2
                                                             : 3);
        item->set_key(fact.key);
        auto before = now - static_cast<std::int64_t>(fact.time);
        item->set_before(fact.subject != FactSubject::Server ? before
                         : fact.time == 0                    ? 0
                                                             : before * 2 + (before < 0 ? -1 : 1));
        item->set_born(static_cast<std::uint64_t>(
                           std::max<std::int64_t>(0, now - static_cast<std::int64_t>(fact.first_heard))) /
                       100);
        if (!fits(wire.mutable_facts(), encoded.facts)) break;
    }
    if (encoded.facts == 0) wire.set_now(0);
    for (auto& complaint : payload.complaints) {
        if (is_full) break;
        wire.set_breadth(static_cast<std::uint32_t>(std::min(payload.breadth.measured, 65535) * 256 +
                                                    std::min(payload.breadth.complains, 255)));
        auto* item = wire.add_complaints();
        item->set_server(complaint.server);
        item->set_start(complaint.start);
        item->set_samples(static_cast<std::uint32_t>(std::clamp(complaint.samples, 0.0, 1e6)));
        item->set_bad(
            static_cast<std::uint32_t>(std::lround(std::clamp(complaint.failure_share, 0.0, 1.0) * 100)));
        item->set_slow(
            static_cast<std::uint32_t>(std::lround(std::clamp(complaint.slowdown, 0.0, 1e5) * 10)));
        item->set_age(static_cast<std::uint32_t>(std::clamp<Micros>(complaint.age / (100 * ms), 0, 6000)));
        if (!fits(wire.mutable_complaints(), encoded.complaints)) break;
    }
    for (auto& count : payload.counts) {
        if (is_full) break;
        wire.set_epoch(payload.counts.front().epoch);
        auto* item = wire.add_counts();
        item->set_name(count.name);
        item->set_askers(count.askers);
        item->set_before(count.epoch != payload.counts.front().epoch);
        if (!fits(wire.mutable_counts(), encoded.counts)) break;
    }
    if (payload.send_if_empty && wire.ByteSizeLong() == 0) {
        wire.set_now(static_cast<std::uint64_t>(now));
        if (wire.ByteSizeLong() > room) return {};
    }
    if (wire.ByteSizeLong() > room) return {};  // unreachable: an item that did not fit was removed again
    encoded.bytes = wire.SerializeAsString();
    return encoded;
}

}  // namespace quillgrade::shared
