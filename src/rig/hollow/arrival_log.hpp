// When each event arrived at each hollow router. A row a router, a cell an event; written by the process that
// runs the router and read by the supervisor, which alone judges what is late or missing.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "rig/hollow/messages.hpp"
#include "rig/hollow/shared_file.hpp"

namespace quillgrade::rig::hollow {

class ArrivalLog {
public:
    ArrivalLog(const std::string& folder, int routers, EventNumber capacity, Micros run_start)
        : cells_a_row(capacity + 1),
          run_start(run_start),
          file(folder + "/arrivals", static_cast<std::size_t>(routers) * cells_a_row * sizeof(std::uint32_t)),
          cells(static_cast<std::uint32_t*>(file.data())) {}

    // A life of the router begins; it does not wait for events up to `last_event`.
    void begin_life(int router, EventNumber last_event) {
        store(row(router)[0], static_cast<std::uint32_t>(last_event));
    }
    EventNumber known_at_start(int router) const { return load(row(router)[0]); }

    // Later arrivals of the same event change nothing.
    void arrived(int router, EventNumber event, Micros now) {
        if (event == 0 || event >= cells_a_row || load(row(router)[event]) != 0) return;
        auto ticks = (now - run_start) / tick + 1;
        store(row(router)[event], static_cast<std::uint32_t>(ticks));
    }
    std::optional<Micros> arrival(int router, EventNumber event) const {
        auto ticks = load(row(router)[event]);
        if (ticks == 0) return std::nullopt;
        return run_start + (static_cast<Micros>(ticks) - 1) * tick;
    }

private:
    static constexpr Micros tick = 100;
    std::uint32_t* row(int router) const { return cells + static_cast<std::size_t>(router) * cells_a_row; }

    std::size_t cells_a_row;  // cells of a row; the first holds what the life knew at its start
    Micros run_start;
    SharedFile file;
    std::uint32_t* cells;
};

}  // namespace quillgrade::rig::hollow
