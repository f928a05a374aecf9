#include "rig/publish.hpp"

#include <nlohmann/json.hpp>
#include <stdexcept>

namespace quillgrade::rig {

namespace {

using nlohmann::json;
namespace config = quillgrade::config::v1;

std::string boxes_of(const json& told, const std::string& name) {
    config::Boxes message;
    message.set_name(name);
    for (auto& zone : told.value("emptied", json::array())) message.add_emptied(zone.get<std::string>());
    for (auto& one : told.at("boxes")) {
        auto& box = *message.add_boxes();
        box.set_id(one.value("id", ""));
        box.set_address(one.value("address", ""));
        box.set_zone(one.value("zone", ""));
        box.set_kind(one.value("kind", ""));
        box.set_cell(one.value("cell", 0U));
        box.set_weight(one.value("weight", 1.0));
        box.set_started_ms(one.value("started_ms", std::int64_t{0}));
        config::State state = config::READY;
        if (!config::State_Parse(one.value("state", "READY"), &state))
            throw std::runtime_error("a state is READY, DRAINING or GONE");
        box.set_state(state);
    }
    return pack(message);
}

std::string amounts_of(const json& told, const std::string& name) {
    config::Amounts message;
    message.set_name(name);
    if (told.contains("transmissions")) message.set_transmissions(told["transmissions"].get<std::uint32_t>());
    if (told.contains("second_copies")) message.set_second_copies(told["second_copies"].get<bool>());
    if (told.contains("connect_timeout_us"))
        message.set_connect_timeout_us(told["connect_timeout_us"].get<std::int64_t>());
    if (told.contains("idle_us")) message.set_idle_us(told["idle_us"].get<std::int64_t>());
    if (told.contains("come_back_us")) message.set_come_back_us(told["come_back_us"].get<std::int64_t>());
    return pack(message);
}

}  // namespace

Publication read_publication(const std::string& text) {
    try {
        auto told = json::parse(text, nullptr, true, true);
        Publication made;
        made.number = told.at("version").get<std::uint64_t>();
        auto name = told.value("name", "all");
        bool boxes = told.contains("boxes");
        made.type_url = boxes ? boxes_type : amounts_type;
        made.resources[name] = boxes ? boxes_of(told, name) : amounts_of(told.at("amounts"), name);
        return made;
    } catch (const json::exception& error) {
        throw std::runtime_error(error.what());
    }
}

}  // namespace quillgrade::rig
