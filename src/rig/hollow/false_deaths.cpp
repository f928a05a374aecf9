#include "rig/hollow/false_deaths.hpp"

#include <algorithm>

namespace quillgrade::rig::hollow {

bool FalseDeaths::excused(const DeathDeclarations& declared) const {
    return std::any_of(excuses.begin(), excuses.end(), [&](auto& one) {
        bool of_it = declared.subject >= one.first && declared.subject < one.first + one.routers;
        return of_it && declared.first >= one.from && declared.last <= one.until;
    });
}

void FalseDeaths::note(const std::vector<DeathDeclarations>& deaths) {
    for (auto& declared : deaths)
        if (!excused(declared)) by_subject[declared.subject] += static_cast<std::uint64_t>(declared.count);
}

std::uint64_t FalseDeaths::declarations() const {
    std::uint64_t sum = 0;
    for (auto& [subject, count] : by_subject) sum += count;
    return sum;
}

}  // namespace quillgrade::rig::hollow
