#include "shared/health_reports.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

namespace quillgrade::shared {

namespace {

constexpr int enough_measured = 3;
constexpr double least_weight = 0.25;

}  // namespace

void HealthReports::receive(RouterIndex witness, int zone, double trust, const Breadth& breadth,
                            const Complaint& complaint, Micros now) {
    if (complaint.age >= report_lifetime || !(complaint.samples > 0)) return;
    auto of = held.find(complaint.server);
    bool known = of != held.end() && of->second.contains(witness);
    if (!known && count >= max_reports) {
        seen_refused++;
        return;
    }
    if (!known) count++;
    bool doubted = breadth.measured >= enough_measured && breadth.complains * 2 > breadth.measured;
    held[complaint.server].insert_or_assign(witness,
                                            Held{complaint, now - complaint.age, zone, trust, doubted});
}

PeerHealthReport HealthReports::aggregate(CacheId server, std::uint64_t start, Micros now) const {
    auto of = held.find(server);
    if (of == held.end()) return {};
    std::vector<const Held*> believed, doubted;
    for (auto& [witness, one] : of->second) {
        if (now - one.at >= report_lifetime) continue;
        if (one.what.start != static_cast<std::uint32_t>(start)) continue;
        (one.doubted ? doubted : believed).push_back(&one);
    }
    // Those in doubt themselves are heard beside others that are not.
    if (believed.size() >= 2) believed.insert(believed.end(), doubted.begin(), doubted.end());
    if (believed.size() < 2) return {};
    // The weightiest of a zone first.
    std::sort(believed.begin(), believed.end(), [](auto* a, auto* b) { return a->at > b->at; });
    std::map<int, double> next;
    PeerHealthReport sum;
    std::vector<std::pair<double, double>> slow;  // with its weight
    double slow_weight = 0;
    for (auto* one : believed) {
        auto [zone, fresh] = next.try_emplace(one->zone, 1.0);
        auto weight = zone->second * one->trust *
                      std::exp2(-static_cast<double>(now - one->at) / static_cast<double>(half_life));
        zone->second = std::max(least_weight, zone->second / 2);
        auto samples = std::min(one->what.samples, max_samples) * weight;
        sum.samples += samples;
        sum.failure_share += samples * std::clamp(one->what.failure_share, 0.0, 1.0);
        if (one->what.slowdown > 0) slow.emplace_back(one->what.slowdown, samples);
        slow_weight += one->what.slowdown > 0 ? samples : 0;
    }
    if (sum.samples > 0) sum.failure_share /= sum.samples;
    // The weighted median: one witness can't make it whatever it likes.
    std::sort(slow.begin(), slow.end());
    double passed = 0;
    for (auto& [value, weight] : slow) {
        passed += weight;
        if (passed * 2 >= slow_weight) {
            sum.slowdown = value;
            break;
        }
    }
    return sum;
}

std::vector<CacheId> HealthReports::reported_servers() const {
    std::vector<CacheId> all;
    for (auto& [server, by] : held) all.push_back(server);
    return all;
}

void HealthReports::expire(Micros now) {
    for (auto of = held.begin(); of != held.end();) {
        count -= std::erase_if(of->second, [&](auto& one) { return now - one.second.at >= report_lifetime; });
        of = of->second.empty() ? held.erase(of) : std::next(of);
    }
}

std::size_t HealthReports::size() const { return count; }

}  // namespace quillgrade::shared
