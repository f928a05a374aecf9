// What each running hollow router says of itself at this moment, for the testbed to compare with what others
// know of it. Routers never read it for their own decisions.
#pragma once

#include <cstdint>
#include <string>

#include "peers/member_state.hpp"
#include "rig/hollow/shared_file.hpp"

namespace quillgrade::rig::hollow {

class MemberTable {
public:
    MemberTable(const std::string& folder, int routers)
        : file(folder + "/members", static_cast<std::size_t>(routers) * sizeof(Row)),
          rows(static_cast<Row*>(file.data())) {}

    void running(peers::RouterIndex router, const peers::MemberState& state) {
        store(rows[router].account, account_of(state));
        store(rows[router].life, state.generation);
    }
    void not_running(peers::RouterIndex router) { store(rows[router].life, peers::Generation{0}); }
    bool runs(peers::RouterIndex router) const { return load(rows[router].life) != 0; }
    // Whether `known` is the router's account to the last field.
    bool is_exact(peers::RouterIndex router, const peers::MemberState& known) const {
        return known.liveness == peers::Liveness::Alive && known.generation == load(rows[router].life) &&
               account_of(known) == load(rows[router].account);
    }

private:
    struct Row {
        peers::Generation life;
        std::uint64_t account;  // incarnation, phase and health
    };
    static std::uint64_t account_of(const peers::MemberState& state) {
        return static_cast<std::uint64_t>(state.incarnation) << 8 |
               static_cast<std::uint64_t>(state.phase) << 1 | (state.unhealthy ? 1U : 0U);
    }
    SharedFile file;
    Row* rows;
};

}  // namespace quillgrade::rig::hollow
