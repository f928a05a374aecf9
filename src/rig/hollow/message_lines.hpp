// Control messages as lines: one JSON object a line, with the message's kind and its body.
#pragma once

#include <nlohmann/json.hpp>
#include <stdexcept>
#include <string>
#include <utility>
#include <variant>

#include "rig/hollow/messages.hpp"

namespace quillgrade::rig::hollow {

struct BadMessage : std::runtime_error {
    using std::runtime_error::runtime_error;
};

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerSetup, folder, configuration, first_router, hollow_routers,
                                   total_routers, zones, first_host, listen, event_capacity, run_start,
                                   bytes_per_s, state_transfer, shared_facts, seed)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartRouters, routers, control_machines, last_event, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(RestartRouters, routers, last_event)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Bound, listen)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DeathDeclarations, subject, count, first, last)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(StartKnown, router, milliseconds, reason)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(DatagramBytes, in, out)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(WorkerReport, of_own, of_far, deaths, known, longest_datagram, away)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(PurgeEvent, number, at_ms)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConfigurationEvent, number, cache, address, weight)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Publish, purges, configurations)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(Listening, address)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(ConnectionBytes, connection, sent)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE(MachineReport, bytes_sent, open)
inline void to_json(nlohmann::json& json, const WorkerReportRequest& /*request*/) {
    json = nlohmann::json::object();
}
inline void from_json(const nlohmann::json& /*json*/, WorkerReportRequest& /*request*/) {}
inline void to_json(nlohmann::json& json, const MachineReportRequest& /*request*/) {
    json = nlohmann::json::object();
}
inline void from_json(const nlohmann::json& /*json*/, MachineReportRequest& /*request*/) {}

template <class Message>
std::string encode_line(const Message& message) {
    nlohmann::json json;
    json["kind"] = message.index();
    std::visit([&](auto& body) { json["body"] = body; }, message);
    return json.dump() + "\n";
}

// Throws BadMessage.
template <class Message>
Message decode_line(const std::string& line) {
    try {
        auto json = nlohmann::json::parse(line);
        auto kind = json.at("kind").get<std::size_t>();
        Message message;
        bool found = false;
        auto try_kind = [&]<std::size_t I>() {
            if (kind != I) return;
            message = json.at("body").get<std::variant_alternative_t<I, Message>>();
            found = true;
        };
        [&]<std::size_t... I>(std::index_sequence<I...>) { (try_kind.template operator()<I>(), ...); }
        (std::make_index_sequence<std::variant_size_v<Message>>{});
        if (!found) throw BadMessage("a control message of an unknown kind");
        return message;
    } catch (const nlohmann::json::exception& error) {
        throw BadMessage(error.what());
    }
}

}  // namespace quillgrade::rig::hollow
