// The bench's end of the module: one batch in, one reply out, for any number of instances.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include "control.hpp"

namespace quillgrade::drill {

class Drill {
public:
    // The batch without its length field; the reply with its whole header. Throws BadInput.
    std::string answer(std::string_view batch);

private:
    void event(std::string_view record);
    void lookup(std::string_view record);
    void ended(std::string_view record);
    void members(std::string_view record);
    void reminder(std::uint64_t token);

    void write(LookupId id, const RoutingDecision& answer);
    void write(const Maintenance& upkeep);
    void begin(int code);  // a new record of the reply, on behalf of the current instance
    void put(std::size_t at, int width, std::uint64_t value);
    void put_text(std::string_view text);
    Router& router();

    std::map<std::uint32_t, std::unique_ptr<Router>> routers;
    std::uint32_t current = 0, spoken_for = 0;
    bool any_current = false, any_spoken = false;
    Micros now = 0;
    std::string_view tail;
    std::string records, reply_tail;
};

}  // namespace quillgrade::drill
