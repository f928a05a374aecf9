#include "version/check.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "config.pb.h"

namespace quillgrade::version {

namespace {

namespace wire = quillgrade::config::v1;

constexpr int most_told = 3;  // faults that are told in full
constexpr Micros ms = 1000, least_connect_time = 10 * ms, least_idle_time = 100 * ms;
constexpr double most_weight = 1e9;
constexpr std::int64_t latest_ms = std::int64_t{1} << 50;

std::string cited(const std::string& text) {
    std::string out = text.substr(0, 60);
    for (auto& c : out)
        if (static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) > 0x7e) c = '?';
    return "'" + out + "'";
}

int place_of(const std::string& name, const std::vector<std::string>& names) {
    auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

std::string listed(const std::vector<std::string>& names) {
    std::string all;
    for (auto& name : names) {
        if (all.size() > 200) return all + ", …";
        all += (all.empty() ? "" : ", ") + name;
    }
    return all;
}

std::string id_text(CacheId id) {
    std::array<char, 16> text;
    std::snprintf(text.data(), sizeof text, "s-%08x", static_cast<unsigned>(id));
    return text.data();
}

}  // namespace

Validator::Validator(Bundle bundle, std::shared_ptr<const ValidatedBundle> before,
                     const ConfiguredLimits& limits)
    : limits(limits), before(std::move(before)), checked(std::make_shared<ValidatedBundle>()) {
    checked->bundle = std::move(bundle);
    at = checked->bundle.items.begin();
}

void Validator::fault(const std::string& where, const std::string& what) {
    if (++faults <= most_told) told.push_back(where + ": " + what);
}

std::string Validator::reason() const {
    std::string all;
    for (auto& one : told) all += (all.empty() ? "" : "; ") + one;
    if (faults > most_told) all += "; and " + std::to_string(faults - most_told) + " more faults";
    return all;
}

bool Validator::add_dependencies(const std::string& name, const auto& message) {
    for (auto& need : message.needs()) {
        auto kind = discovery::kind_of(need.type_url());
        if (!kind)
            fault(cited(name), "needs a resource of the unknown type " + cited(need.type_url()));
        else
            checked->dependencies.push_back({*kind, need.name()});
    }
    return true;
}

// Rules are one text, the resources' in the order of their names.
bool Validator::step_rules(int statements) {
    if (!rules) {
        std::string all;
        for (auto& [name, item] : checked->bundle.items) {
            wire::Rules message;
            if (!message.ParseFromString(item->bytes)) {
                fault(cited(name), "is no message of kind Rules");
                return done = true;
            }
            add_dependencies(name, message);
            all += message.text();
            if (!all.ends_with('\n')) all += '\n';
        }
        std::sort(checked->dependencies.begin(), checked->dependencies.end());
        if (before && before->bundle.digest == checked->bundle.digest) {
            checked->rules = before->rules;
            return done = true;
        }
        rules.emplace(std::move(all), limits.rule_site, limits.rule_budget);
    }
    if (!rules->step(statements)) return false;
    for (auto& one : rules->faults())
        fault("line " + std::to_string(one.place.line) + ", column " + std::to_string(one.place.column),
              one.what);
    checked->rules = rules->result();
    rules.reset();
    return done = true;
}

bool Validator::step(int boxes) {
    if (checked->bundle.kind == Kind::Rules && !done) return step_rules(std::max(1, boxes / 4));
    auto& items = checked->bundle.items;
    while (!done && boxes > 0) {
        if (reading) {
            if (next < raw.size()) {
                read_box(raw[next++]);
                boxes--;
            } else {
                finish_item();
                at++;
            }
        } else if (at == items.end()) {
            auto by_id = [](auto& a, auto& b) { return a.entry.id < b.entry.id; };
            std::sort(checked->endpoints.begin(), checked->endpoints.end(), by_id);
            std::sort(checked->dependencies.begin(), checked->dependencies.end());
            done = true;
        } else if (!begin(at->first, *at->second)) {
            at++;
            boxes--;
        }
    }
    return done;
}

bool Validator::begin(const std::string& name, Item& item) {
    if (checked->bundle.kind == Kind::Amounts) {
        read_amounts(name, item);
        return false;
    }
    if (!item.read && before) {  // unchanged since the version in force
        auto known = before->bundle.items.find(name);
        if (known != before->bundle.items.end() && known->second->bytes == item.bytes)
            item.read = known->second->read;
    }
    if (item.read) {
        for (auto& endpoint : item.read->endpoints) add(endpoint, "boxes of '" + name + "'");
        add_dependencies(*item.read);
        return false;
    }
    wire::RawBoxes message;
    if (!message.ParseFromString(item.bytes)) {
        fault(cited(name), "is no message of kind Boxes");
        return false;
    }
    reading = std::make_shared<ParsedBoxes>();
    for (auto& zone : message.emptied()) {
        int place = place_of(zone, limits.terms.zones);
        if (place < 0)
            fault(cited(name),
                  "'emptied' names " + cited(zone) + "; zones here: " + listed(limits.terms.zones));
        else
            reading->emptied_zones.push_back(place);
    }
    for (auto& need : message.needs()) {
        auto kind = discovery::kind_of(need.type_url());
        if (!kind)
            fault(cited(name), "needs a resource of the unknown type " + cited(need.type_url()));
        else
            reading->dependencies.push_back({*kind, need.name()});
    }
    raw.clear();
    raw.reserve(static_cast<std::size_t>(message.boxes_size()));
    for (auto& box : *message.mutable_boxes()) raw.push_back(std::move(box));
    next = 0;
    reading->endpoints.reserve(raw.size());
    return true;
}

void Validator::finish_item() {
    add_dependencies(*reading);
    at->second->read = std::move(reading);
    reading = nullptr;
    raw = {};
}

void Validator::add_dependencies(const ParsedBoxes& read) {
    checked->dependencies.insert(checked->dependencies.end(), read.dependencies.begin(),
                                 read.dependencies.end());
    checked->emptied_zones.insert(checked->emptied_zones.end(), read.emptied_zones.begin(),
                                  read.emptied_zones.end());
}

void Validator::read_box(const std::string& bytes) {
    wire::Box box;
    auto where = "box " + std::to_string(next) + " of " + cited(at->first);
    if (!box.ParseFromString(bytes)) return fault(where, "is no message of kind Box");
    where += " (" + cited(box.id()) + ")";
    feed::Endpoint endpoint;
    auto& entry = endpoint.entry;
    auto id =
        box.id().starts_with("s-") ? bytes::read_hex(std::string_view(box.id()).substr(2), 8) : std::nullopt;
    if (!id) return fault(where, "its id is not s- and 8 lower-case hex digits");
    entry.id = *id;
    try {
        auto address = feed::read_address(box.address());
        endpoint.address = address.host;
        endpoint.port = address.port;
    } catch (const site::Unusable&) {
        return fault(where, "its address " + cited(box.address()) + " is not of the form 10.1.0.9:5050");
    }
    if (endpoint.port == 0) return fault(where, "its port is 0");
    entry.zone = place_of(box.zone(), limits.terms.zones);
    if (entry.zone < 0)
        return fault(where, "zone " + cited(box.zone()) + "; zones here: " + listed(limits.terms.zones));
    entry.kind = place_of(box.kind(), limits.terms.kinds);
    if (entry.kind < 0)
        return fault(where, "kind " + cited(box.kind()) + "; kinds here: " + listed(limits.terms.kinds));
    if (box.cell() > 65'535) return fault(where, "its cell is over 65535");
    entry.cell = static_cast<int>(box.cell());
    if (box.state() < 0 || box.state() > 2) return fault(where, "its state is none of READY, DRAINING, GONE");
    static constexpr std::array states = {EndpointState::Ready, EndpointState::Draining, EndpointState::Gone};
    entry.state = states[static_cast<std::size_t>(box.state())];
    if (!(box.weight() >= 0 && box.weight() <= most_weight))
        return fault(where, "its weight is out of range");
    entry.weight = box.weight() > 0 ? box.weight() : 1;
    if (box.started_ms() < 0 || box.started_ms() > latest_ms)
        return fault(where, "its start is out of range");
    entry.started_at = box.started_ms() * ms;
    reading->endpoints.push_back(endpoint);
    add(endpoint, where);
}

void Validator::add(const feed::Endpoint& endpoint, const std::string& where) {
    if (!ids.insert(endpoint.entry.id).second)
        return fault(where, "id " + id_text(endpoint.entry.id) + " stands there twice");
    if (endpoint.entry.state != EndpointState::Gone) {
        auto [other, fresh] =
            places.try_emplace(std::uint64_t{endpoint.address} << 16 | endpoint.port, endpoint.entry.id);
        if (!fresh)
            return fault(where, id_text(endpoint.entry.id) + " has the address of " + id_text(other->second));
    }
    checked->endpoints.push_back(endpoint);
}

void Validator::read_amounts(const std::string& name, const Item& item) {
    wire::Amounts message;
    if (!message.ParseFromString(item.bytes)) return fault(cited(name), "is no message of kind Amounts");
    auto& amounts = checked->amounts;
    auto take = [&](const char* member, bool told, auto value, auto least, auto most, auto& into) {
        if (!told) return;
        if (into) return fault(cited(name), std::string(member) + " is told by another resource too");
        if (value < least || value > most)
            return fault(cited(name), std::string(member) + " is " + std::to_string(value) + "; " +
                                          std::to_string(least) + " to " + std::to_string(most) +
                                          " is allowed here");
        into = value;
    };
    take("transmissions", message.has_transmissions(), static_cast<std::int64_t>(message.transmissions()),
         std::int64_t{1}, std::int64_t{limits.max_attempts}, amounts.attempts);
    take("connect_timeout_us", message.has_connect_timeout_us(), Micros{message.connect_timeout_us()},
         std::min(least_connect_time, limits.terms.connect_time), limits.terms.connect_time,
         amounts.connect_timeout);
    take("idle_us", message.has_idle_us(), Micros{message.idle_us()},
         std::min(least_idle_time, limits.terms.idle_time), limits.terms.idle_time, amounts.idle_timeout);
    take("come_back_us", message.has_come_back_us(), Micros{message.come_back_us()}, Micros{0},
         limits.max_retry_after, amounts.max_retry_after);
    if (message.has_second_copies()) {
        if (message.second_copies() && !limits.second_copies_allowed)
            fault(cited(name), "second_copies is true, which the settings do not allow");
        else if (amounts.second_copies)
            fault(cited(name), "second_copies is told by another resource too");
        else
            amounts.second_copies = message.second_copies();
    }
    add_dependencies(name, message);
}

}  // namespace quillgrade::version
