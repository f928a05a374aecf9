#include "shared/health_reports.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quillgrade::shared {

namespace {

constexpr int min_servers_measured = 3;
constexpr double min_zone_weight = 0.25;

}  // namespace

void HealthReports::receive(RouterIndex reporter, int zone, double trust, const Breadth& breadth,
                            const Complaint& complaint, Micros now) {
    if (complaint.age >= report_lifetime || !(complaint.samples > 0)) return;
    auto by_reporter = reports.find(complaint.server);
    bool known = by_reporter != reports.end() && by_reporter->second.contains(reporter);
    if (!known && report_count >= max_reports) {
        refused_count++;
        return;
    }
    if (!known) report_count++;
    bool doubted = breadth.measured >= min_servers_measured && breadth.complains * 2 > breadth.measured;
    reports[complaint.server].insert_or_assign(
        reporter, StoredReport{complaint, now - complaint.age, zone, trust, doubted});
}

PeerHealthReport HealthReports::aggregate(CacheId server, std::uint64_t start, Micros now) const {
    auto by_reporter = reports.find(server);
    if (by_reporter == reports.end()) return {};
    std::vector<const StoredReport*> trusted, doubted;
    for (auto& [reporter, report] : by_reporter->second) {
        if (now - report.sampled_at >= report_lifetime) continue;
        if (report.complaint.start != static_cast<std::uint32_t>(start)) continue;
        (report.doubted ? doubted : trusted).push_back(&report);
    }
    // Doubted complaints count only beside at least two trusted ones.
    if (trusted.size() >= 2) trusted.insert(trusted.end(), doubted.begin(), doubted.end());
    if (trusted.size() < 2) return {};
    // The newest first, as the first complaint of a zone weighs most.
    std::sort(trusted.begin(), trusted.end(), [](auto* a, auto* b) { return a->sampled_at > b->sampled_at; });
    std::map<int, double> zone_weights;
    PeerHealthReport combined;
    std::vector<std::pair<double, double>> slowdowns;  // each with its weight
    double slowdown_weight = 0;
    for (auto* report : trusted) {
        auto [zone, inserted] = zone_weights.try_emplace(report->zone, 1.0);
        auto weight =
            zone->second * report->trust *
            std::exp2(-static_cast<double>(now - report->sampled_at) / static_cast<double>(half_life));
        zone->second = std::max(min_zone_weight, zone->second / 2);
        auto samples = std::min(report->complaint.samples, max_samples) * weight;
        combined.samples += samples;
        combined.failure_share += samples * std::clamp(report->complaint.failure_share, 0.0, 1.0);
        if (report->complaint.slowdown > 0) slowdowns.emplace_back(report->complaint.slowdown, samples);
        slowdown_weight += report->complaint.slowdown > 0 ? samples : 0;
    }
    if (combined.samples > 0) combined.failure_share /= combined.samples;
    // The weighted median, so that a single reporter can't set it to any value.
    std::sort(slowdowns.begin(), slowdowns.end());
    double cumulative = 0;
    for (auto& [value, weight] : slowdowns) {
        cumulative += weight;
        if (cumulative * 2 >= slowdown_weight) {
            combined.slowdown = value;
            break;
        }
    }
    return combined;
}

std::vector<CacheId> HealthReports::reported_servers() const {
    std::vector<CacheId> ids;
    for (auto& [server, by_reporter] : reports) ids.push_back(server);
    return ids;
}

void HealthReports::expire(Micros now) {
    for (auto by_reporter = reports.begin(); by_reporter != reports.end();) {
        report_count -= std::erase_if(by_reporter->second, [&](auto& report) {
            return now - report.second.sampled_at >= report_lifetime;
        });
        by_reporter = by_reporter->second.empty() ? reports.erase(by_reporter) : std::next(by_reporter);
    }
}

std::size_t HealthReports::size() const { return report_count; }

}  // namespace quillgrade::shared
