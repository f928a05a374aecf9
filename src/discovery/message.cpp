#include "discovery/message.hpp"

#include <google/protobuf/stubs/logging.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <set>
#include <utility>

#include "discovery.pb.h"

namespace quillgrade::discovery {

namespace {

namespace wire = envoy::service::discovery::v3;

// Guards against a log that a far side fills: the parser writes a line of its own for each text that is no
// UTF-8. What can't be read is told by whoever reads it.
[[maybe_unused]] const auto silenced = google::protobuf::SetLogHandler(nullptr);

constexpr std::size_t longest_word = 256;  // names, nonces, labels, identities
constexpr int invalid_argument = 3;        // google.rpc.Code

constexpr std::array<std::string_view, kinds> urls = {
    "type.googleapis.com/quillgrade.config.v1.Boxes", "type.googleapis.com/quillgrade.config.v1.Amounts",
    "type.googleapis.com/quillgrade.config.v1.Rules", "type.googleapis.com/quillgrade.config.v1.Keys"};

std::optional<std::uint64_t> read_number(std::string_view text) {
    std::uint64_t number = 0;
    auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (text.empty() || error != std::errc{} || stop != text.data() + text.size()) return {};
    return number;
}

// A member that is cited in a reason: bounded, and nothing that would break a line of the log.
std::string cited(std::string_view text) {
    std::string out(text.substr(0, 80));
    for (auto& c : out)
        if (static_cast<unsigned char>(c) < 0x20 || static_cast<unsigned char>(c) > 0x7e) c = '?';
    return "'" + out + (text.size() > 80 ? "…'" : "'");
}

// The name stands first in every resource, as member 1; it is read here without the rest.
std::optional<std::string> name_in(const std::string& bytes) {
    if (bytes.size() < 2 || bytes[0] != 0x0a) return {};
    std::size_t length = static_cast<unsigned char>(bytes[1]);
    if (length >= 0x80 || length == 0 || bytes.size() < 2 + length) return {};
    return bytes.substr(2, length);
}

void refuse(Offer& offer, std::string reason) {
    if (offer.fault.empty()) offer.fault = std::move(reason);
}

void read_head(Offer& offer, const std::string& version) {
    offer.kind = kind_of(offer.type_url);
    offer.text = version.substr(0, longest_word);
    if (offer.nonce.size() > longest_word || offer.identity.size() > longest_word)
        throw bytes::Malformed("a nonce or identity of more than 256 bytes");
    if (auto number = read_number(version))
        offer.number = *number;
    else
        refuse(offer, "version " + cited(version) + " is no whole number from 0 to 2^64-1");
    if (!offer.kind) refuse(offer, "resource type " + cited(offer.type_url) + " is not known here");
}

void take(Offer& offer, std::set<std::string>& names, const std::string* told, wire::Any& any,
          std::string label) {
    if (any.type_url() != offer.type_url)
        return refuse(offer, "a resource of type " + cited(any.type_url()) + " stands in a version of " +
                                 cited(offer.type_url));
    auto name = name_in(any.value());
    if (!name) return refuse(offer, "a resource without a name of 1 to 127 bytes as its first member");
    if (told && *told != *name)
        return refuse(offer, "resource " + cited(*told) + " calls itself " + cited(*name));
    if (label.size() > longest_word) return refuse(offer, "the label of " + cited(*name) + " is too long");
    if (!names.insert(*name).second) return refuse(offer, "resource " + cited(*name) + " stands there twice");
    offer.resources.push_back({std::move(*name), std::move(label), std::move(*any.mutable_value())});
}

Offer decode_whole(std::string_view message) {
    wire::DiscoveryResponse told;
    if (!told.ParseFromArray(message.data(), static_cast<int>(message.size())))
        throw bytes::Malformed("a message that is no DiscoveryResponse");
    Offer offer;
    offer.type_url = told.type_url();
    offer.nonce = told.nonce();
    offer.identity = told.control_plane().identifier();
    read_head(offer, told.version_info());
    std::set<std::string> names;
    if (offer.fault.empty())
        for (auto& any : *told.mutable_resources()) take(offer, names, nullptr, any, "");
    return offer;
}

Offer decode_changes(std::string_view message) {
    wire::DeltaDiscoveryResponse told;
    if (!told.ParseFromArray(message.data(), static_cast<int>(message.size())))
        throw bytes::Malformed("a message that is no DeltaDiscoveryResponse");
    Offer offer;
    offer.form = Form::Changes;
    offer.type_url = told.type_url();
    offer.nonce = told.nonce();
    offer.identity = told.control_plane().identifier();
    read_head(offer, told.system_version_info());
    std::set<std::string> names;
    if (!offer.fault.empty()) return offer;
    for (auto& resource : *told.mutable_resources())
        take(offer, names, &resource.name(), *resource.mutable_resource(), resource.version());
    for (auto& name : told.removed_resources()) {
        if (name.size() > longest_word || !names.insert(name).second)
            refuse(offer, "removed resource " + cited(name) + " is too long or stands there twice");
        offer.removed.push_back(name);
    }
    return offer;
}

void put_asker(wire::Node& node, const Asker& asker) {
    node.set_id(asker.id);
    node.set_cluster(asker.cluster);
    node.mutable_locality()->set_zone(asker.zone);
    node.set_user_agent_name("quillgrade");
}

template <class Message>
void put_answer(Message& message, const Request& request) {
    message.set_type_url(request.type_url.empty() ? std::string(type_url(request.kind)) : request.type_url);
    message.set_response_nonce(request.nonce);
    if (!request.reason) return;
    message.mutable_error_detail()->set_code(invalid_argument);
    message.mutable_error_detail()->set_message(request.reason->substr(0, longest_reason));
}

}  // namespace

std::string_view type_url(Kind kind) { return urls[static_cast<std::size_t>(kind)]; }

std::string_view name_of(Kind kind) { return type_url(kind).substr(type_url(kind).rfind('.') + 1); }

std::optional<Kind> kind_of(std::string_view url) {
    auto found = std::find(urls.begin(), urls.end(), url);
    if (found == urls.end()) return {};
    return static_cast<Kind>(found - urls.begin());
}

std::string_view method(Form form) {
    return form == Form::Whole
               ? "/envoy.service.discovery.v3.AggregatedDiscoveryService/StreamAggregatedResources"
               : "/envoy.service.discovery.v3.AggregatedDiscoveryService/DeltaAggregatedResources";
}

Offer decode(Form form, std::string_view message) {
    return form == Form::Whole ? decode_whole(message) : decode_changes(message);
}

std::string encode(Form form, const Request& request, const Asker& asker) {
    std::string out;
    if (form == Form::Whole) {
        wire::DiscoveryRequest message;
        message.set_version_info(request.version);
        put_answer(message, request);
        if (request.first) put_asker(*message.mutable_node(), asker);
        message.SerializeToString(&out);
    } else {
        wire::DeltaDiscoveryRequest message;
        put_answer(message, request);
        if (request.first) put_asker(*message.mutable_node(), asker);
        if (request.nonce.empty()) message.add_resource_names_subscribe("*");
        for (auto& [name, label] : request.labels)
            (*message.mutable_initial_resource_versions())[name] = label;
        message.SerializeToString(&out);
    }
    return out;
}

}  // namespace quillgrade::discovery
