#include "rig/scale/statistics.hpp"

#include <algorithm>
#include <cmath>
#include <stdexcept>

namespace quillgrade::rig::scale {

namespace {

double of_sorted(const std::vector<double>& sorted, double share) {
    auto rank = std::ceil(share * static_cast<double>(sorted.size()));
    auto index = static_cast<std::size_t>(std::max(1.0, rank)) - 1;
    return sorted[std::min(index, sorted.size() - 1)];
}

}  // namespace

double percentile(std::vector<double> values, double share) {
    if (values.empty()) return -1;
    std::sort(values.begin(), values.end());
    return of_sorted(values, share);
}

Summary summarize(std::vector<double> values) {
    if (values.empty()) return {};
    std::sort(values.begin(), values.end());
    return {of_sorted(values, 0.5), of_sorted(values, 0.99), values.back()};
}

Line fit_line(const std::vector<Point>& points) {
    if (points.size() < fewest_points) throw std::invalid_argument("a line wants four sizes at least");
    auto count = static_cast<double>(points.size());
    double mean_x = 0, mean_y = 0;
    for (auto& point : points) {
        mean_x += point.x / count;
        mean_y += point.y / count;
    }
    double square = 0, product = 0;
    for (auto& point : points) {
        square += (point.x - mean_x) * (point.x - mean_x);
        product += (point.x - mean_x) * (point.y - mean_y);
    }
    if (square <= 0) throw std::invalid_argument("all points are of one size");
    Line line;
    line.slope = product / square;
    line.intercept = mean_y - line.slope * mean_x;
    for (auto& point : points) line.residual += std::pow(point.y - line.at(point.x), 2) / count;
    line.residual = std::sqrt(line.residual);
    return line;
}

}  // namespace quillgrade::rig::scale
