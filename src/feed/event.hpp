// What the coordinator tells: numbered changes of the list of caches and purges, as frames of its stream and
// as the JSON of the start.
#pragma once

#include <nlohmann/json_fwd.hpp>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "bytes/bytes.hpp"
#include "control.hpp"
#include "site/site.hpp"

namespace quillgrade::feed {

inline constexpr std::size_t longest_frame = 4'000'000;

struct Endpoint {
    EndpointEntry entry{};
    std::uint32_t address = 0;
    std::uint16_t port = 0;
};
struct Listing {
    bool complete = false;
    std::vector<Endpoint> caches;
};
struct PurgeNotice {
    ObjectId object = 0;  // 0: the group
    int group = 0;
    Micros at = 0;
};
struct Nothing {};
struct Event {
    std::uint64_t number = 0;
    std::variant<Nothing, Listing, PurgeNotice> what;
};

Event decode(std::string_view frame, const site::Terms& terms);  // throws bytes::Malformed
std::string ask_from(std::uint64_t last);                        // what is written on connecting

struct Known {
    std::uint64_t last = 0;
    std::vector<Event> events;
};
Known read_known(const nlohmann::json& told, const site::Terms& terms);  // throws site::Unusable
// "1.2.3.4:5"
struct Address {
    std::uint32_t host = 0;
    std::uint16_t port = 0;
    bool operator==(const Address&) const = default;
};
Address read_address(std::string_view text);  // throws site::Unusable

}  // namespace quillgrade::feed
