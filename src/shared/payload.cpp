#include "shared/payload.hpp"

#include <algorithm>
#include <cmath>

#include "payload.pb.h"

namespace quillgrade::shared {

namespace {

constexpr Micros ms = 1000;
constexpr std::uint64_t most_time = 1ULL << 52;  // milliseconds
constexpr int most_items = 64;

std::uint32_t amount_of(double micros) {
    return static_cast<std::uint32_t>(std::clamp(micros / 100, 0.0, 4e9));
}

}  // namespace

std::optional<Payload> decode(std::string_view bytes, Micros unix_now) {
    wire::Payload wire;
    if (!wire.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) return {};
    if (wire.facts_size() > most_items || wire.asks_size() > most_items || wire.grants_size() > most_items ||
        wire.complaints_size() > most_items || wire.counts_size() > most_items || wire.now() > most_time)
        return {};
    Payload load;
    load.configuration_hash = wire.terms();
    load.digest = wire.digest();
    auto now = static_cast<std::int64_t>(wire.now());
    for (auto& told : wire.facts()) {
        if (told.what() > 3 || now == 0) return {};
        Fact fact;
        fact.subject = told.what() <= 1   ? FactSubject::Server
                       : told.what() == 2 ? FactSubject::Object
                                          : FactSubject::Group;
        fact.gone = told.what() == 1;
        fact.key = told.key();
        std::int64_t time = now - told.before();
        if (fact.subject == FactSubject::Server) time = told.before() == 0 ? 0 : now - told.before() / 2;
        auto born = told.born() * 100;
        if (time < 0 || static_cast<std::uint64_t>(time) > most_time || born > most_time ||
            (fact.subject == FactSubject::Group && fact.key > 0xffff) || fact.key == 0) {
            if (!(fact.subject == FactSubject::Group && fact.key == 0)) return {};
        }
        fact.time = static_cast<std::uint64_t>(time);
        fact.first_heard = born > wire.now() ? 0 : wire.now() - born;
        load.facts.push_back(fact);
    }
    for (auto& told : wire.asks())
        load.asks.push_back({told.server(), told.start(), told.number(), told.amount() * 100.0,
                             told.least() * 100.0, told.renews()});
    for (auto& told : wire.grants())
        load.grants.push_back({told.server(), told.number(), told.amount() * 100.0});
    load.breadth = {static_cast<int>(wire.breadth() / 256 % 65536), static_cast<int>(wire.breadth() % 256)};
    for (auto& told : wire.complaints()) {
        if (told.bad() > 100 || told.slow() > 1'000'000 || told.samples() > 1'000'000) return {};
        load.complaints.push_back({told.server(), told.start(), static_cast<double>(told.samples()),
                                   told.bad() / 100.0, told.slow() / 10.0,
                                   static_cast<Micros>(std::min(told.age(), 6000U)) * 100 * ms});
    }
    for (auto& told : wire.counts())
        load.counts.push_back({told.name(), wire.epoch() - (told.before() ? 1 : 0), told.askers()});
    (void)unix_now;
    return load;
}

EncodedPayload encode(const Payload& load, std::size_t room, Micros unix_now) {
    EncodedPayload fitted;
    wire::Payload wire;
    wire.set_terms(load.configuration_hash);
    wire.set_digest(load.digest);
    if (wire.ByteSizeLong() > room) return fitted;
    auto now = static_cast<std::int64_t>(unix_now / ms);
    bool full = false;
    auto fits = [&](auto* items, std::size_t& count) {
        if (wire.ByteSizeLong() <= room) {
            count++;
            return true;
        }
        items->RemoveLast();
        full = true;
        return false;
    };
    for (auto& one : load.grants) {
        auto* told = wire.add_grants();
        told->set_server(one.server);
        told->set_number(one.number);
        told->set_amount(amount_of(one.amount));
        if (full || !fits(wire.mutable_grants(), fitted.grants)) break;
    }
    for (auto& one : load.asks) {
        if (full) break;
        auto* told = wire.add_asks();
        told->set_server(one.server);
        told->set_start(one.start);
        told->set_number(one.number);
        told->set_amount(amount_of(one.amount));
        told->set_least(amount_of(one.min_amount));
        told->set_renews(one.renews);
        if (!fits(wire.mutable_asks(), fitted.asks)) break;
    }
    for (auto& one : load.facts) {
        if (full) break;
        wire.set_now(static_cast<std::uint64_t>(now));
        auto* told = wire.add_facts();
        told->set_what(one.subject == FactSubject::Server   ? one.gone
                       : one.subject == FactSubject::Object ? 2
                                                            : 3);
        told->set_key(one.key);
        auto before = now - static_cast<std::int64_t>(one.time);
        told->set_before(one.subject != FactSubject::Server ? before
                         : one.time == 0                    ? 0
                                                            : before * 2 + (before < 0 ? -1 : 1));
        told->set_born(static_cast<std::uint64_t>(
                           std::max<std::int64_t>(0, now - static_cast<std::int64_t>(one.first_heard))) /
                       100);
        if (!fits(wire.mutable_facts(), fitted.facts)) break;
    }
    if (fitted.facts == 0) wire.set_now(0);
    for (auto& one : load.complaints) {
        if (full) break;
        wire.set_breadth(static_cast<std::uint32_t>(std::min(load.breadth.measured, 65535) * 256 +
                                                    std::min(load.breadth.complains, 255)));
        auto* told = wire.add_complaints();
        told->set_server(one.server);
        told->set_start(one.start);
        told->set_samples(static_cast<std::uint32_t>(std::clamp(one.samples, 0.0, 1e6)));
        told->set_bad(static_cast<std::uint32_t>(std::lround(std::clamp(one.failure_share, 0.0, 1.0) * 100)));
        told->set_slow(static_cast<std::uint32_t>(std::lround(std::clamp(one.slowdown, 0.0, 1e5) * 10)));
        told->set_age(static_cast<std::uint32_t>(std::clamp<Micros>(one.age / (100 * ms), 0, 6000)));
        if (!fits(wire.mutable_complaints(), fitted.complaints)) break;
    }
    for (auto& one : load.counts) {
        if (full) break;
        wire.set_epoch(load.counts.front().epoch);
        auto* told = wire.add_counts();
        told->set_name(one.name);
        told->set_askers(one.askers);
        told->set_before(one.epoch != load.counts.front().epoch);
        if (!fits(wire.mutable_counts(), fitted.counts)) break;
    }
    if (load.send_if_empty && wire.ByteSizeLong() == 0) {
        wire.set_now(static_cast<std::uint64_t>(now));
        if (wire.ByteSizeLong() > room) return {};
    }
    if (wire.ByteSizeLong() > room) return {};  // not reached: what did not fit was taken off again
    fitted.bytes = wire.SerializeAsString();
    return fitted;
}

}  // namespace quillgrade::shared
