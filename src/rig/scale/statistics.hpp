// Percentiles of what was measured, and lines through it. No I/O.
#pragma once

#include <vector>

namespace quillgrade::rig::scale {

// The value at rank `share` of the sorted values (nearest rank); -1 where there are none.
double percentile(std::vector<double> values, double share);

struct Summary {
    double p50 = -1, p99 = -1, max = -1;
};
Summary summarize(std::vector<double> values);

struct Point {
    double x = 0, y = 0;
};
struct Line {
    double slope = 0, intercept = 0;
    double residual = 0;  // root of the mean square of what the line leaves
    double at(double x) const { return intercept + slope * x; }
};
inline constexpr std::size_t fewest_points = 4;
// By least squares; throws std::invalid_argument for fewer than `fewest_points`, or where all x are the same.
Line fit_line(const std::vector<Point>& points);

}  // namespace quillgrade::rig::scale
