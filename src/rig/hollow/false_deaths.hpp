// Living routers that others declared dead. Those whose process is down, or was until a moment ago, are
// excused.
#pragma once

#include <cstdint>
#include <map>
#include <vector>

#include "rig/hollow/messages.hpp"

namespace quillgrade::rig::hollow {

class FalseDeaths {
public:
    // Routers from `first` on, so many, may be held for dead between `from` and `until`.
    struct Excuse {
        int first = 0, routers = 0;
        Micros from = 0, until = 0;
    };
    void excuse(const Excuse& told) { excuses.push_back(told); }
    // In the end, once all excuses are told: what was declared.
    void note(const std::vector<DeathDeclarations>& deaths);

    int routers() const { return static_cast<int>(by_subject.size()); }
    bool has(int router) const { return by_subject.contains(router); }
    std::uint64_t declarations() const;

private:
    bool excused(const DeathDeclarations& declared) const;

    std::vector<Excuse> excuses;
    std::map<int, std::uint64_t> by_subject;
};

}  // namespace quillgrade::rig::hollow
