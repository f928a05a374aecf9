// The figures of a scale run as JSON: the summary with its fixed keys, every figure of every size, and the
// lines fitted through them. No I/O.
#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "rig/scale/scenarios.hpp"

namespace quillgrade::rig::scale {

// Runs of one side, smallest fleet first.
// NOLINTNEXTLINE(bugprone-exception-escape): only for want of memory, which ends the process anyway.
struct Side {
    std::vector<MembershipFigures> membership;
    nlohmann::json hollow;  // last line of quillgrade_hollow, null where it did not run
};

// The keys of a side's summary; tests and readers go by them.
const std::vector<std::string>& summary_keys();
// With exactly these keys. What the hollow run measures is null where there was none.
nlohmann::json summary_of(const Side& side);

nlohmann::json to_json(const MembershipFigures& figures);
nlohmann::json to_json(const PurgeFigures& figures);

// A line through one figure of at least four sizes.
struct Slope {
    std::string name;
    Line line;
    std::size_t sizes = 0;
};
std::vector<Slope> slopes_of(const std::vector<MembershipFigures>& sizes);
nlohmann::json to_json(const std::vector<Slope>& slopes);

// Promises that hold whatever the times are; empty where none is broken.
std::vector<std::string> broken_promises(const nlohmann::json& summary, const Side& side,
                                         const std::vector<PurgeFigures>& purges);

}  // namespace quillgrade::rig::scale
