#include "peers/snapshot_page.hpp"

#include <algorithm>
#include <bit>

#include "peers/bits.hpp"
#include "peers/status_word.hpp"

namespace quillgrade::peers {

namespace {

constexpr int first_bits = 13, members_bits = 10, life_bits = 48, parameter_bits = 6;
constexpr int most_parameter = 47;
constexpr std::size_t header_bits = first_bits + members_bits + life_bits + parameter_bits;
static_assert(max_routers <= 1 << first_bits && max_members_per_page <= 1 << members_bits);

// The part of a page that is the same for all of its members.
struct Base {
    Generation latest = 0;
    int parameter = 0;
};

bool is_usual(const MemberState& state) {
    return state.phase == Phase::Present && state.liveness == Liveness::Alive && !state.unhealthy;
}

std::size_t gamma_bits(std::uint64_t value) {
    return 2 * static_cast<std::size_t>(std::bit_width(value)) - 1;
}

std::size_t status_bits(const MemberState& state) {
    if (!is_usual(state)) return 3 + gamma_bits(std::uint64_t{status_word(state)} + 1);
    return state.incarnation == 0 ? 1 : 2 + gamma_bits(state.incarnation);
}

std::size_t lives_bits(const std::vector<MemberRecord>& accounts, const Base& base) {
    std::size_t bits = 0;
    for (auto& one : accounts)
        bits += ((base.latest - one.member_state.generation) >> base.parameter) + 1 +
                static_cast<std::size_t>(base.parameter);
    return bits;
}

// The parameter near the logarithm of the mean distance is best; its neighbours are tried too.
Base base_of(const std::vector<MemberRecord>& accounts) {
    Base base;
    if (accounts.empty()) return base;
    for (auto& one : accounts) base.latest = std::max(base.latest, one.member_state.generation);
    std::uint64_t sum = 0;
    for (auto& one : accounts) sum += base.latest - one.member_state.generation;
    auto middle = static_cast<int>(std::bit_width(sum / accounts.size()));
    std::size_t best = 0;
    for (int parameter = std::max(0, middle - 2); parameter <= std::min(most_parameter, middle + 1);
         parameter++) {
        auto bits = lives_bits(accounts, {base.latest, parameter});
        if (best != 0 && bits >= best) continue;
        best = bits;
        base.parameter = parameter;
    }
    return base;
}

std::size_t bits_of(const SnapshotPage& page) {
    std::size_t bits = header_bits + lives_bits(page.records, base_of(page.records));
    RouterIndex next = page.first_member;
    for (auto& one : page.records) {
        if (one.member > next) bits += 3 + gamma_bits(static_cast<std::uint64_t>(one.member - next));
        bits += status_bits(one.member_state);
        next = one.member + 1;
    }
    if (page.end() > next) bits += 3 + gamma_bits(static_cast<std::uint64_t>(page.end() - next));
    return bits;
}

void put_missing(BitWriter& bits, int run) {
    if (run <= 0) return;
    bits.put(0b111, 3);
    bits.put_gamma(static_cast<std::uint64_t>(run));
}

void put_state(BitWriter& bits, const MemberState& state, const Base& base) {
    if (!is_usual(state)) {
        bits.put(0b110, 3);
        bits.put_gamma(std::uint64_t{status_word(state)} + 1);
    } else if (state.incarnation > 0) {
        bits.put(0b10, 2);
        bits.put_gamma(state.incarnation);
    } else {
        bits.put(0, 1);
    }
    bits.put_rice(base.latest - state.generation, base.parameter);
}

// The status as its prefix says; nothing where it says that members are missing, or can't be read.
std::optional<MemberState> take_status(BitReader& bits, std::uint64_t ones) {
    MemberState state;
    if (ones == 0) return state;
    auto value = bits.take_gamma();
    if (!value || *value - 1 > UINT32_MAX) return {};
    if (ones == 1)
        state.incarnation = static_cast<std::uint32_t>(*value);
    else if (!parse_status_word(static_cast<std::uint32_t>(*value - 1), state))
        return {};
    return state;
}

// Up to three ones; a zero ends them unless there are three.
std::optional<std::uint64_t> take_prefix(BitReader& bits) {
    for (std::uint64_t ones = 0; ones < 3; ones++) {
        auto bit = bits.take(1);
        if (!bit) return {};
        if (*bit == 0) return ones;
    }
    return 3;
}

bool take_members(BitReader& bits, const Base& base, SnapshotPage& page) {
    for (RouterIndex who = page.first_member; who < page.end();) {
        auto ones = take_prefix(bits);
        if (!ones) return false;
        if (*ones == 3) {
            auto run = bits.take_gamma();
            if (!run || *run > static_cast<std::uint64_t>(page.end() - who)) return false;
            who += static_cast<RouterIndex>(*run);
            continue;
        }
        auto state = take_status(bits, *ones);
        auto distance = state ? bits.take_rice(base.parameter) : std::nullopt;
        if (!distance || *distance >= base.latest) return false;
        state->generation = base.latest - *distance;
        page.records.push_back({who, *state});
        who++;
    }
    return true;
}

SnapshotPage page_of(RouterIndex first, const std::vector<MemberState>& states, int members) {
    SnapshotPage page{first, members, {}};
    for (int i = 0; i < members; i++)
        if (auto& state = states[static_cast<std::size_t>(i)]; state.generation > 0)
            page.records.push_back({first + i, state});
    return page;
}

}  // namespace

std::string pack(const SnapshotPage& page) {
    auto base = base_of(page.records);
    BitWriter bits;
    bits.put(static_cast<std::uint64_t>(page.first_member), first_bits);
    bits.put(static_cast<std::uint64_t>(page.member_count - 1), members_bits);
    bits.put(base.latest, life_bits);
    bits.put(static_cast<std::uint64_t>(base.parameter), parameter_bits);
    RouterIndex next = page.first_member;
    for (auto& one : page.records) {
        put_missing(bits, one.member - next);
        put_state(bits, one.member_state, base);
        next = one.member + 1;
    }
    put_missing(bits, page.end() - next);
    return bits.bytes();
}

std::optional<SnapshotPage> unpack(std::string_view bytes, int routers, Generation latest) {
    BitReader bits(bytes);
    auto first = bits.take(first_bits), members = bits.take(members_bits);
    auto life = bits.take(life_bits), parameter = bits.take(parameter_bits);
    if (!first || !members || !life || !parameter) return {};
    if (*life > latest || *parameter > most_parameter) return {};
    SnapshotPage page{static_cast<RouterIndex>(*first), static_cast<int>(*members) + 1, {}};
    if (page.end() > routers) return {};
    if (!take_members(bits, {*life, static_cast<int>(*parameter)}, page)) return {};
    // Guards against bits past the end, and against several encodings of one page.
    if (pack(page) != bytes) return {};
    return page;
}

std::optional<SnapshotPage> largest_page(RouterIndex first, const std::vector<MemberState>& states,
                                         std::size_t room) {
    auto fits = [&](int members) { return bits_of(page_of(first, states, members)) <= room * 8; };
    int good = 0, over = static_cast<int>(std::min<std::size_t>(states.size(), max_members_per_page)) + 1;
    while (over - good > 1) {
        int members = good + (over - good) / 2;
        (fits(members) ? good : over) = members;
    }
    if (good == 0) return {};
    return page_of(first, states, good);
}

}  // namespace quillgrade::peers
