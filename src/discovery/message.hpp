// Messages of the published aggregated discovery protocol, version 3 (xDS), in its state-of-the-world
// ("whole") and incremental ("changes") forms, decoded once into small typed values and encoded once. No I/O,
// no state.
//
// decode_* throws bytes::Malformed where the outer message can't be read at all, so that there is no nonce to
// answer to; whatever else is wrong is told in Offer::fault and can be turned down with its reason.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "bytes/bytes.hpp"

namespace quillgrade::discovery {

enum class Kind { Boxes, Amounts, Rules, Keys };
inline constexpr int kinds = 4;

std::string_view type_url(Kind kind);  // "type.googleapis.com/quillgrade.config.v1.Boxes"
std::string_view name_of(Kind kind);   // "Boxes"
std::optional<Kind> kind_of(std::string_view type_url);

enum class Form { Whole, Changes };
std::string_view method(Form form);  // the path of the call: "/envoy.service.discovery.v3.…/…"

struct Resource {
    std::string name;
    std::string label;  // the service's own version of this one resource; empty in the whole form
    std::string bytes;  // the message packed in Any
};

// One response: a numbered version of all resources of one kind, or of what changed.
struct Offer {
    std::string type_url, nonce, identity;  // identity: who does the numbering (control_plane.identifier)
    std::optional<Kind> kind;               // empty: a type that this program does not know
    std::string text;                       // the version as it stands on the wire
    std::uint64_t number = 0;
    Form form = Form::Whole;
    std::vector<Resource> resources;
    std::vector<std::string> removed;  // changes only
    std::string fault;                 // not empty: to be turned down, for this reason
};
Offer decode(Form form, std::string_view message);

// What is said to the service: first a subscription, then an answer to each response.
struct Request {
    Kind kind = Kind::Boxes;
    std::string type_url;                       // in place of `kind` where that is not empty
    std::string version;                        // in force, as text; empty: none
    std::string nonce;                          // empty: a subscription
    std::optional<std::string> reason;          // why the response of `nonce` is turned down
    std::map<std::string, std::string> labels;  // subscription in changes: what is held, name to label
    bool first = false;                         // the first on its stream tells who asks
};
struct Asker {
    std::string id, cluster, zone;
};
std::string encode(Form form, const Request& request, const Asker& asker);

inline constexpr std::size_t longest_reason = 1000;  // bytes of a reason that is sent; the rest is left out

}  // namespace quillgrade::discovery
