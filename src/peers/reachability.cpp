#include "peers/reachability.hpp"

#include <algorithm>

namespace quillgrade::peers {

namespace {

constexpr std::size_t max_entries = 64, max_senders_with_misses = 256;
// In a row. When two datagrams in five are lost, one link in forty is wrongly reported as down.
constexpr int misses_to_report = 4;
constexpr Micros report_lifetime = 60'000'000, repeat_interval = 20'000'000;

}  // namespace

Reachability::Entry* Reachability::find(RouterIndex sender, RouterIndex receiver) {
    auto found = entries.find({sender, receiver});
    return found == entries.end() ? nullptr : &found->second;
}

const Reachability::Entry* Reachability::find(RouterIndex sender, RouterIndex receiver) const {
    auto found = entries.find({sender, receiver});
    return found == entries.end() ? nullptr : &found->second;
}

bool Reachability::report_own_link(RouterIndex sender, bool down, Micros now) {
    if (entries.size() >= max_entries && !find(sender, self)) return false;
    entries[{sender, self}] = {{sender, self, ++last_sequence, down}, 0, now, 0};
    return true;
}

bool Reachability::record_received(RouterIndex sender, Micros now) {
    misses.erase(sender);
    auto* entry = find(sender, self);
    if (!entry || !entry->report.down) return false;
    report_own_link(sender, false, now);
    return true;
}

bool Reachability::record_missed(RouterIndex sender, Micros now) {
    if (misses.size() >= max_senders_with_misses && !misses.contains(sender)) return false;
    auto& missed = misses[sender];
    if (missed.in_a_row++ == 0) missed.first_at = now;
    if (missed.in_a_row < misses_to_report || is_down(sender, self)) {
        // A failure that lasts is reported again at intervals, as the report expires at the other routers.
        auto* entry = find(sender, self);
        if (entry && entry->report.down && now - entry->updated_at > repeat_interval)
            report_own_link(sender, true, now);
        return false;
    }
    return report_own_link(sender, true, now);
}

bool Reachability::merge_report(const LinkReport& report, Generation receiver_generation, Micros now) {
    if (report.receiver == self) return false;
    auto* known = find(report.sender, report.receiver);
    if (!known && (!report.down || entries.size() >= max_entries)) return false;
    if (known && (known->generation > receiver_generation ||
                  (known->generation == receiver_generation && known->report.sequence >= report.sequence)))
        return false;
    entries[{report.sender, report.receiver}] = {report, receiver_generation, now, 0};
    return true;
}

// Returns the failures among the reports that are dropped, as reports of their recovery.
template <class Predicate>
std::vector<LinkReport> Reachability::drop_entries(Predicate is_obsolete) {
    std::vector<LinkReport> recovered;
    std::erase_if(entries, [&](auto& key_and_entry) {
        const Entry& entry = key_and_entry.second;
        if (!is_obsolete(entry)) return false;
        if (entry.report.down)
            recovered.push_back({entry.report.sender, entry.report.receiver, entry.report.sequence, false});
        return true;
    });
    return recovered;
}

std::vector<LinkReport> Reachability::forget(RouterIndex router) {
    misses.erase(router);
    return drop_entries(
        [&](const Entry& entry) { return entry.report.sender == router || entry.report.receiver == router; });
}

std::vector<LinkReport> Reachability::expire(Micros now) {
    return drop_entries([&](const Entry& entry) { return now - entry.updated_at > report_lifetime; });
}

bool Reachability::is_down(RouterIndex sender, RouterIndex receiver) const {
    auto* entry = find(sender, receiver);
    return entry && entry->report.down;
}

std::vector<LinkReport> Reachability::next_reports(std::size_t max_reports, int max_sends) {
    std::vector<Entry*> due;
    for (auto& [link, entry] : entries)
        if (entry.times_sent < max_sends) due.push_back(&entry);
    std::stable_sort(due.begin(), due.end(), [](auto* a, auto* b) { return a->times_sent < b->times_sent; });
    if (due.size() > max_reports) due.resize(max_reports);
    std::vector<LinkReport> reports;
    for (auto* entry : due) {
        entry->times_sent++;
        reports.push_back(entry->report);
    }
    return reports;
}

std::vector<LinkReport> Reachability::down_links() const {
    std::vector<LinkReport> down;
    for (auto& [link, entry] : entries)
        if (entry.report.down) down.push_back(entry.report);
    return down;
}

std::vector<LinkReport> Reachability::next_down_links(std::size_t max_links) {
    auto down = down_links();
    if (down.size() <= max_links) return down;
    next_in_digest %= down.size();
    std::rotate(down.begin(), down.begin() + static_cast<std::ptrdiff_t>(next_in_digest), down.end());
    down.resize(max_links);
    next_in_digest += max_links;
    return down;
}

std::vector<LinkReport> Reachability::recovered_among(const std::vector<LinkReport>& held) const {
    std::vector<LinkReport> recovered;
    for (auto& report : held) {
        auto* known = find(report.sender, report.receiver);
        if (report.down && known && !known->report.down && known->report.sequence > report.sequence)
            recovered.push_back(known->report);
    }
    return recovered;
}

bool Reachability::needs_another_probe(RouterIndex sender) const {
    // When two regions lose each other, all their routers miss datagrams. Guards against probes for links
    // that there is no room to report.
    if (entries.size() >= max_entries) return false;
    auto found = misses.find(sender);
    return found != misses.end() && found->second.in_a_row < misses_to_report && !is_down(sender, self);
}

}  // namespace quillgrade::peers
