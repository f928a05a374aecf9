#include "version/check.hpp"

#include <algorithm>
#include <array>
#include <cmath>

#include "config.pb.h"

namespace quillgrade::version {

namespace {

namespace wire = quillgrade::config::v1;

constexpr int max_reported_errors = 3;  // further errors are only counted
constexpr Micros millisecond = 1000, min_connect_timeout = 10 * millisecond,
                 min_idle_timeout = 100 * millisecond;
constexpr double max_weight = 1e9;
constexpr std::int64_t max_started_ms = std::int64_t{1} << 50;

// At most 60 bytes, with anything but printable ASCII replaced: the text comes from the network.
std::string quoted(const std::string& text) {
    std::string printable = text.substr(0, 60);
    for (auto& c : printable)
        if (static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) > 0x7e) c = '?';
    return "'" + printable + "'";
}

int index_of(const std::string& name, const std::vector<std::string>& names) {
    auto found = std::find(names.begin(), names.end(), name);
    return found == names.end() ? -1 : static_cast<int>(found - names.begin());
}

// The first 200 bytes or so, as a NACK's reason is limited in length.
std::string joined(const std::vector<std::string>& names) {
    std::string list;
    for (auto& name : names) {
        if (list.size() > 200) return list + ", …";
        list += (list.empty() ? "" : ", ") + name;
    }
    return list;
}

std::string id_text(CacheId id) {
    std::array<char, 16> text;
    std::snprintf(text.data(), sizeof text, "s-%08x", static_cast<unsigned>(id));
    return text.data();
}

}  // namespace

Validator::Validator(Bundle bundle, std::shared_ptr<const ValidatedBundle> active,
                     const ConfiguredLimits& limits)
    : limits(limits), active(std::move(active)), validated(std::make_shared<ValidatedBundle>()) {
    validated->bundle = std::move(bundle);
    current_item = validated->bundle.items.begin();
}

void Validator::add_error(const std::string& where, const std::string& what) {
    if (++error_count <= max_reported_errors) reported_errors.push_back(where + ": " + what);
}

std::string Validator::reason() const {
    std::string text;
    for (auto& error : reported_errors) text += (text.empty() ? "" : "; ") + error;
    if (error_count > max_reported_errors)
        text += "; and " + std::to_string(error_count - max_reported_errors) + " more errors";
    return text;
}

bool Validator::add_dependencies(const std::string& name, const auto& message) {
    for (auto& need : message.needs()) {
        auto kind = discovery::kind_of(need.type_url());
        if (!kind)
            add_error(quoted(name), "needs a resource of the unknown type " + quoted(need.type_url()));
        else
            validated->dependencies.push_back({*kind, need.name()});
    }
    return true;
}

// The texts of all resources form one rule file, concatenated in the order of the resources' names.
bool Validator::step_rules(int statements) {
    if (!rules) {
        std::string text;
        for (auto& [name, item] : validated->bundle.items) {
            wire::Rules message;
            if (!message.ParseFromString(item->bytes)) {
                add_error(quoted(name), "can't be parsed as a message of kind Rules");
                return done = true;
            }
            add_dependencies(name, message);
            text += message.text();
            if (!text.ends_with('\n')) text += '\n';
        }
        std::sort(validated->dependencies.begin(), validated->dependencies.end());
        if (active && active->bundle.digest == validated->bundle.digest) {
            validated->rules = active->rules;
            return done = true;
        }
        rules.emplace(std::move(text), limits.rule_site, limits.rule_budget);
    }
    if (!rules->step(statements)) return false;
    for (auto& fault : rules->faults())
        add_error(
            "line " + std::to_string(fault.place.line) + ", column " + std::to_string(fault.place.column),
            fault.what);
    validated->rules = rules->result();
    rules.reset();
    return done = true;
}

bool Validator::step(int boxes) {
    if (validated->bundle.kind == Kind::Rules && !done) return step_rules(std::max(1, boxes / 4));
    auto& items = validated->bundle.items;
    while (!done && boxes > 0) {
        if (parsing) {
            if (next_box < raw_boxes.size()) {
                parse_box(raw_boxes[next_box++]);
                boxes--;
            } else {
                finish_item();
                current_item++;
            }
        } else if (current_item == items.end()) {
            auto by_id = [](auto& a, auto& b) { return a.entry.id < b.entry.id; };
            std::sort(validated->endpoints.begin(), validated->endpoints.end(), by_id);
            std::sort(validated->dependencies.begin(), validated->dependencies.end());
            done = true;
        } else if (!begin_item(current_item->first, *current_item->second)) {
            current_item++;
            boxes--;
        }
    }
    return done;
}

bool Validator::begin_item(const std::string& name, Item& item) {
    if (validated->bundle.kind == Kind::Amounts) {
        parse_amounts(name, item);
        return false;
    }
    if (!item.parsed && active) {  // reuses the result if unchanged since the active version
        auto known = active->bundle.items.find(name);
        if (known != active->bundle.items.end() && known->second->bytes == item.bytes)
            item.parsed = known->second->parsed;
    }
    if (item.parsed) {
        for (auto& endpoint : item.parsed->endpoints) add_endpoint(endpoint, "boxes of '" + name + "'");
        add_dependencies(*item.parsed);
        return false;
    }
    wire::RawBoxes message;
    if (!message.ParseFromString(item.bytes)) {
        add_error(quoted(name), "can't be parsed as a message of kind Boxes");
        return false;
    }
    parsing = std::make_shared<ParsedBoxes>();
    for (auto& zone : message.emptied()) {
        int index = index_of(zone, limits.terms.zones);
        if (index < 0)
            add_error(quoted(name),
                      "'emptied' names " + quoted(zone) + "; zones here: " + joined(limits.terms.zones));
        else
            parsing->emptied_zones.push_back(index);
    }
    for (auto& need : message.needs()) {
        auto kind = discovery::kind_of(need.type_url());
        if (!kind)
            add_error(quoted(name), "needs a resource of the unknown type " + quoted(need.type_url()));
        else
            parsing->dependencies.push_back({*kind, need.name()});
    }
    raw_boxes.clear();
    raw_boxes.reserve(static_cast<std::size_t>(message.boxes_size()));
    for (auto& box : *message.mutable_boxes()) raw_boxes.push_back(std::move(box));
    next_box = 0;
    parsing->endpoints.reserve(raw_boxes.size());
    return true;
}

void Validator::finish_item() {
    add_dependencies(*parsing);
    current_item->second->parsed = std::move(parsing);
    parsing = nullptr;
    raw_boxes = {};
}

void Validator::add_dependencies(const ParsedBoxes& parsed) {
    validated->dependencies.insert(validated->dependencies.end(), parsed.dependencies.begin(),
                                   parsed.dependencies.end());
    validated->emptied_zones.insert(validated->emptied_zones.end(), parsed.emptied_zones.begin(),
                                    parsed.emptied_zones.end());
}

void Validator::parse_box(const std::string& bytes) {
    wire::Box box;
    auto where = "box " + std::to_string(next_box) + " of " + quoted(current_item->first);
    if (!box.ParseFromString(bytes)) return add_error(where, "can't be parsed as a message of kind Box");
    where += " (" + quoted(box.id()) + ")";
    feed::Endpoint endpoint;
    auto& entry = endpoint.entry;
    auto id =
        box.id().starts_with("s-") ? bytes::read_hex(std::string_view(box.id()).substr(2), 8) : std::nullopt;
    if (!id) return add_error(where, "its id is not s- and 8 lower-case hex digits");
    entry.id = *id;
    try {
        auto address = feed::read_address(box.address());
        endpoint.address = address.host;
        endpoint.port = address.port;
    } catch (const site::Unusable&) {
        return add_error(where, "its address " + quoted(box.address()) + " is not of the form 10.1.0.9:5050");
    }
    if (endpoint.port == 0) return add_error(where, "its port is 0; 1 to 65535 is expected");
    entry.zone = index_of(box.zone(), limits.terms.zones);
    if (entry.zone < 0)
        return add_error(where, "zone " + quoted(box.zone()) + "; zones here: " + joined(limits.terms.zones));
    entry.kind = index_of(box.kind(), limits.terms.kinds);
    if (entry.kind < 0)
        return add_error(where, "kind " + quoted(box.kind()) + "; kinds here: " + joined(limits.terms.kinds));
    if (box.cell() > 65'535) return add_error(where, "its cell is over 65535");
    entry.cell = static_cast<int>(box.cell());
    if (box.state() < 0 || box.state() > 2)
        return add_error(where, "its state is not READY, DRAINING or GONE");
    static constexpr std::array states = {EndpointState::Ready, EndpointState::Draining, EndpointState::Gone};
    entry.state = states[static_cast<std::size_t>(box.state())];
    if (!(box.weight() >= 0 && box.weight() <= max_weight))
        return add_error(where, "its weight is not from 0 to 1e9");
    entry.weight = box.weight() > 0 ? box.weight() : 1;
    if (box.started_ms() < 0 || box.started_ms() > max_started_ms)
        return add_error(where, "its started_ms is not from 0 to 2^50");
    entry.started_at = box.started_ms() * millisecond;
    parsing->endpoints.push_back(endpoint);
    add_endpoint(endpoint, where);
}

void Validator::add_endpoint(const feed::Endpoint& endpoint, const std::string& where) {
    if (!ids.insert(endpoint.entry.id).second)
        return add_error(where, "id " + id_text(endpoint.entry.id) + " appears twice in this version");
    if (endpoint.entry.state != EndpointState::Gone) {
        auto [other, inserted] =
            addresses.try_emplace(std::uint64_t{endpoint.address} << 16 | endpoint.port, endpoint.entry.id);
        if (!inserted)
            return add_error(where,
                             id_text(endpoint.entry.id) + " has the address of " + id_text(other->second));
    }
    validated->endpoints.push_back(endpoint);
}

void Validator::parse_amounts(const std::string& name, const Item& item) {
    wire::Amounts message;
    if (!message.ParseFromString(item.bytes))
        return add_error(quoted(name), "can't be parsed as a message of kind Amounts");
    auto& amounts = validated->amounts;
    auto read_value = [&](const char* member, bool present, auto value, auto min_value, auto max_value,
                          auto& into) {
        if (!present) return;
        if (into) return add_error(quoted(name), std::string(member) + " is set by another resource too");
        if (value < min_value || value > max_value)
            return add_error(quoted(name), std::string(member) + " is " + std::to_string(value) + "; " +
                                               std::to_string(min_value) + " to " +
                                               std::to_string(max_value) + " is allowed here");
        into = value;
    };
    read_value("transmissions", message.has_transmissions(),
               static_cast<std::int64_t>(message.transmissions()), std::int64_t{1},
               std::int64_t{limits.max_attempts}, amounts.attempts);
    read_value("connect_timeout_us", message.has_connect_timeout_us(), Micros{message.connect_timeout_us()},
               std::min(min_connect_timeout, limits.terms.connect_time), limits.terms.connect_time,
               amounts.connect_timeout);
    read_value("idle_us", message.has_idle_us(), Micros{message.idle_us()},
               std::min(min_idle_timeout, limits.terms.idle_time), limits.terms.idle_time,
               amounts.idle_timeout);
    read_value("come_back_us", message.has_come_back_us(), Micros{message.come_back_us()}, Micros{0},
               limits.max_retry_after, amounts.max_retry_after);
    if (message.has_second_copies()) {
        if (message.second_copies() && !limits.second_copies_allowed)
            add_error(quoted(name), "second_copies is true, which the settings do not allow");
        else if (amounts.second_copies)
            add_error(quoted(name), "second_copies is set by another resource too");
        else
            amounts.second_copies = message.second_copies();
    }
    add_dependencies(name, message);
}

}  // namespace quillgrade::version
