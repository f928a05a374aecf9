// How many bytes a router may send as a helper of others' state transfers, beside what its own part in the
// membership takes. Pages give way: they are sent only while the sum leaves enough for probes and their
// answers. No I/O.
#pragma once

#include <algorithm>
#include <cstddef>

#include "peers/byte_budget.hpp"

namespace quillgrade::peers {

class PageSendBudget {
public:
    // `membership_bytes_per_s`: MembershipSettings::bytes_per_s.
    PageSendBudget(double membership_bytes_per_s, Micros now)
        : reserved(membership_bytes_per_s * reserved_seconds),
          pages(pages_bytes_per_s, now, pages_burst_bytes),
          total(total_rate(membership_bytes_per_s), now, total_rate(membership_bytes_per_s) * burst_seconds) {
    }
    bool allows_page(std::size_t bytes, Micros now) {
        auto needed = static_cast<double>(bytes);
        return pages.available(now) >= needed && total.available(now) >= reserved + needed;
    }
    void spend_page(std::size_t bytes) {
        pages.spend(bytes);
        total.spend(bytes);
    }
    // What the membership sends itself, and may send at most.
    void spend_membership(std::size_t bytes) { total.spend(bytes); }
    double available_bytes(Micros now) { return total.available(now); }

private:
    // A start takes some 26 KB at 5,900 routers; when a tenth starts at once each helper gives 300 bytes a
    // second, and when all start at once as much as each of them may take.
    static constexpr double pages_bytes_per_s = 2'000, pages_burst_bytes = 1'024;
    // All together: any two seconds hold 2 * 2,800 + 0.925 * 2,800 = 8,190 bytes, two seconds of 4,096.
    static constexpr double total_bytes_per_s = 2'800, burst_seconds = 0.925;
    // Where the membership's own rate is higher, that counts.
    static constexpr double least_for_pages = 800;
    // Of the membership's own rate, as it keeps it for the least urgent of its own datagrams.
    static constexpr double reserved_seconds = 0.7;
    static double total_rate(double own) { return std::max(total_bytes_per_s, own + least_for_pages); }

    double reserved;
    ByteBudget pages, total;
};

}  // namespace quillgrade::peers
