// Bounds the bytes that a router sends as a helper of other routers' state transfers, in addition to its own
// membership traffic. Pages have the lower priority: they are sent only while the total leaves enough for
// probes and their answers. No I/O.
#pragma once

#include <algorithm>
#include <cstddef>

#include "peers/byte_budget.hpp"

namespace quillgrade::peers {

class PageSendBudget {
public:
    // `membership_bytes_per_s`: MembershipSettings::bytes_per_s.
    PageSendBudget(double membership_bytes_per_s, Micros now)
        : reserved_bytes(membership_bytes_per_s * reserved_seconds),
          pages(pages_bytes_per_s, now, pages_burst_bytes),
          total(total_rate(membership_bytes_per_s), now, total_rate(membership_bytes_per_s) * burst_seconds) {
    }
    bool allows_page(std::size_t bytes, Micros now) {
        auto needed = static_cast<double>(bytes);
        return pages.available(now) >= needed && total.available(now) >= reserved_bytes + needed;
    }
    void spend_page(std::size_t bytes) {
        pages.spend(bytes);
        total.spend(bytes);
    }
    // Counts bytes of the router's own membership traffic.
    void spend_membership(std::size_t bytes) { total.spend(bytes); }
    // Bytes that the membership may send now.
    double available_bytes(Micros now) { return total.available(now); }

private:
    // A starting router fetches some 26 KB at 5,900 routers. When a tenth of a tier starts at once each
    // helper sends 300 bytes a second, and when all start at once as much as each of them may receive.
    static constexpr double pages_bytes_per_s = 2'000, pages_burst_bytes = 1'024;
    // Pages and membership together: any two seconds hold 2 * 2,800 + 0.925 * 2,800 = 8,190 bytes, less than
    // two seconds of 4,096.
    static constexpr double total_bytes_per_s = 2'800, burst_seconds = 0.925;
    // The total rate is at least the membership's own rate and this much.
    static constexpr double min_pages_bytes_per_s = 800;
    // Seconds of the membership's rate that pages leave unused: as much as the membership itself keeps back
    // from the least urgent of its own datagrams.
    static constexpr double reserved_seconds = 0.7;
    static double total_rate(double membership_rate) {
        return std::max(total_bytes_per_s, membership_rate + min_pages_bytes_per_s);
    }

    double reserved_bytes;
    ByteBudget pages, total;
};

}  // namespace quillgrade::peers
