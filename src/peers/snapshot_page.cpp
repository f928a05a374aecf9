#include "peers/snapshot_page.hpp"

#include <algorithm>
#include <bit>

#include "peers/bits.hpp"
#include "peers/status_word.hpp"

namespace quillgrade::peers {

namespace {

constexpr int first_bits = 13, members_bits = 10, generation_bits = 48, rice_parameter_bits = 6;
constexpr int max_rice_parameter = 47;
constexpr std::size_t header_bits = first_bits + members_bits + generation_bits + rice_parameter_bits;
static_assert(max_routers <= 1 << first_bits && max_members_per_page <= 1 << members_bits);

// How the generations of a page are coded: the latest one, and the Rice parameter of the distances to it.
struct GenerationCode {
    Generation latest = 0;
    int rice_parameter = 0;
};

bool is_default_status(const MemberState& state) {
    return state.phase == Phase::Present && state.liveness == Liveness::Alive && !state.unhealthy;
}

std::size_t gamma_bits(std::uint64_t value) {
    return 2 * static_cast<std::size_t>(std::bit_width(value)) - 1;
}

std::size_t status_bits(const MemberState& state) {
    if (!is_default_status(state)) return 3 + gamma_bits(std::uint64_t{status_word(state)} + 1);
    return state.incarnation == 0 ? 1 : 2 + gamma_bits(state.incarnation);
}

std::size_t encoded_generation_bits(const std::vector<MemberRecord>& records, const GenerationCode& code) {
    std::size_t bits = 0;
    for (auto& record : records)
        bits += ((code.latest - record.member_state.generation) >> code.rice_parameter) + 1 +
                static_cast<std::size_t>(code.rice_parameter);
    return bits;
}

// The best Rice parameter is near the logarithm of the mean distance; its neighbours are tried too.
GenerationCode best_code(const std::vector<MemberRecord>& records) {
    GenerationCode code;
    if (records.empty()) return code;
    for (auto& record : records) code.latest = std::max(code.latest, record.member_state.generation);
    std::uint64_t sum = 0;
    for (auto& record : records) sum += code.latest - record.member_state.generation;
    auto estimate = static_cast<int>(std::bit_width(sum / records.size()));
    std::size_t fewest_bits = 0;
    for (int rice_parameter = std::max(0, estimate - 2);
         rice_parameter <= std::min(max_rice_parameter, estimate + 1); rice_parameter++) {
        auto bits = encoded_generation_bits(records, {code.latest, rice_parameter});
        if (fewest_bits != 0 && bits >= fewest_bits) continue;
        fewest_bits = bits;
        code.rice_parameter = rice_parameter;
    }
    return code;
}

std::size_t encoded_bits(const SnapshotPage& page) {
    std::size_t bits = header_bits + encoded_generation_bits(page.records, best_code(page.records));
    RouterIndex next = page.first_member;
    for (auto& record : page.records) {
        if (record.member > next) bits += 3 + gamma_bits(static_cast<std::uint64_t>(record.member - next));
        bits += status_bits(record.member_state);
        next = record.member + 1;
    }
    if (page.end() > next) bits += 3 + gamma_bits(static_cast<std::uint64_t>(page.end() - next));
    return bits;
}

void write_missing(BitWriter& bits, int run) {
    if (run <= 0) return;
    bits.write(0b111, 3);
    bits.write_gamma(static_cast<std::uint64_t>(run));
}

void write_state(BitWriter& bits, const MemberState& state, const GenerationCode& code) {
    if (!is_default_status(state)) {
        bits.write(0b110, 3);
        bits.write_gamma(std::uint64_t{status_word(state)} + 1);
    } else if (state.incarnation > 0) {
        bits.write(0b10, 2);
        bits.write_gamma(state.incarnation);
    } else {
        bits.write(0, 1);
    }
    bits.write_rice(code.latest - state.generation, code.rice_parameter);
}

// Reads the status that a prefix of `ones` announces, less than three. Returns nothing where it is invalid.
std::optional<MemberState> read_status(BitReader& bits, std::uint64_t ones) {
    MemberState state;
    if (ones == 0) return state;
    auto value = bits.read_gamma();
    if (!value || *value - 1 > UINT32_MAX) return {};
    if (ones == 1)
        state.incarnation = static_cast<std::uint32_t>(*value);
    else if (!parse_status_word(static_cast<std::uint32_t>(*value - 1), state))
        return {};
    return state;
}

// Reads up to three ones, ended by a zero unless there are three, and returns their number.
std::optional<std::uint64_t> read_prefix(BitReader& bits) {
    for (std::uint64_t ones = 0; ones < 3; ones++) {
        auto bit = bits.read(1);
        if (!bit) return {};
        if (*bit == 0) return ones;
    }
    return 3;
}

bool read_members(BitReader& bits, const GenerationCode& code, SnapshotPage& page) {
    for (RouterIndex member = page.first_member; member < page.end();) {
        auto ones = read_prefix(bits);
        if (!ones) return false;
        if (*ones == 3) {
            auto run = bits.read_gamma();
            if (!run || *run > static_cast<std::uint64_t>(page.end() - member)) return false;
            member += static_cast<RouterIndex>(*run);
            continue;
        }
        auto state = read_status(bits, *ones);
        auto distance = state ? bits.read_rice(code.rice_parameter) : std::nullopt;
        if (!distance || *distance >= code.latest) return false;
        state->generation = code.latest - *distance;
        page.records.push_back({member, *state});
        member++;
    }
    return true;
}

SnapshotPage make_page(RouterIndex first, const std::vector<MemberState>& states, int members) {
    SnapshotPage page{first, members, {}};
    for (int i = 0; i < members; i++)
        if (auto& state = states[static_cast<std::size_t>(i)]; state.generation > 0)
            page.records.push_back({first + i, state});
    return page;
}

}  // namespace

std::string encode_page(const SnapshotPage& page) {
    auto code = best_code(page.records);
    BitWriter bits;
    bits.write(static_cast<std::uint64_t>(page.first_member), first_bits);
    bits.write(static_cast<std::uint64_t>(page.member_count - 1), members_bits);
    bits.write(code.latest, generation_bits);
    bits.write(static_cast<std::uint64_t>(code.rice_parameter), rice_parameter_bits);
    RouterIndex next = page.first_member;
    for (auto& record : page.records) {
        write_missing(bits, record.member - next);
        write_state(bits, record.member_state, code);
        next = record.member + 1;
    }
    write_missing(bits, page.end() - next);
    return bits.bytes();
}

std::optional<SnapshotPage> decode_page(std::string_view bytes, int routers, Generation latest) {
    BitReader bits(bytes);
    auto first = bits.read(first_bits), members = bits.read(members_bits);
    auto generation = bits.read(generation_bits), rice_parameter = bits.read(rice_parameter_bits);
    if (!first || !members || !generation || !rice_parameter) return {};
    if (*generation > latest || *rice_parameter > max_rice_parameter) return {};
    SnapshotPage page{static_cast<RouterIndex>(*first), static_cast<int>(*members) + 1, {}};
    if (page.end() > routers) return {};
    if (!read_members(bits, {*generation, static_cast<int>(*rice_parameter)}, page)) return {};
    // Guards against bits past the end, and against several encodings of one page.
    if (encode_page(page) != bytes) return {};
    return page;
}

std::optional<SnapshotPage> largest_page(RouterIndex first, const std::vector<MemberState>& states,
                                         std::size_t max_bytes) {
    auto fits = [&](int members) { return encoded_bits(make_page(first, states, members)) <= max_bytes * 8; };
    int fitting = 0,
        too_many = static_cast<int>(std::min<std::size_t>(states.size(), max_members_per_page)) + 1;
    while (too_many - fitting > 1) {
        int members = fitting + (too_many - fitting) / 2;
        (fits(members) ? fitting : too_many) = members;
    }
    if (fitting == 0) return {};
    return make_page(first, states, fitting);
}

}  // namespace quillgrade::peers
