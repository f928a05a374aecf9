// Expressions over a lookup or a box, as a typed tree. Values only: parse() makes it, resolve() types it,
// puts names and functions in their places, folds constants and works out what it can cost at most. The
// language: docs/expressions.md.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace quillgrade::expression {

// Strings are bytes. Durations are microseconds, sizes bytes, addresses IPv4 as numbers.
enum class Type { Bad, Bool, Int, Duration, Size, Text, Address };
const char* name_of(Type type);

enum class Op {
    Name,
    Call,  // only before resolve()
    Const,
    Field,
    Not,
    And,
    Or,
    Eq,
    Ne,
    Lt,
    Le,
    Gt,
    Ge,
    In,
    Neg,
    Add,
    Sub,
    Mul,
    Div,
    Starts,
    Ends,
    Contains,
    Matches,
    Has,
    Length,
    Lower,
    Upper,
    Slice,
    Join,
    Hex,
    Text,
    Hash
};

// Where something stands in its file, both from 1.
struct Place {
    std::uint32_t line = 1, column = 1;
};

struct Fault {
    Place place;
    std::string what;  // what was found and what was expected
};

struct Range {
    std::int64_t from, to;  // both belong to it
    // NOLINTNEXTLINE(modernize-use-nullptr): clang-tidy 14 takes the 0 in a defaulted <=> for a pointer.
    auto operator<=>(const Range&) const = default;
};

struct Node;
using Tree = std::unique_ptr<Node>;

struct Node {
    Op op = Op::Const;
    Type type = Type::Bad;
    Place place;
    std::vector<Tree> kids;
    std::int64_t number = 0;         // Const; the place of a Field
    std::string text;                // Const of type Text; a Name or Call; the pattern of Matches
    std::vector<Range> ranges;       // In, of numbers and addresses, sorted and apart
    std::vector<std::string> texts;  // In, of texts, sorted
    // Worked out by resolve():
    std::uint32_t longest = 0;  // bytes of a Text at most
    std::uint64_t cost = 0;     // units at most, kids included
};

Tree copy(const Node& node);
bool same(const Node& a, const Node& b);  // in all but places
std::string written(const Node& node);    // as it could stand in a file

// What an expression may name.
struct FieldFacts {
    std::string name;
    Type type;
    std::uint32_t longest = 0;  // of a Text
    std::uint32_t cost = 1;
};

// The units of cost: one is about what a comparison of two numbers takes. Lengths are bytes.
namespace cost {
inline constexpr std::uint64_t number = 1, jump = 1;
constexpr std::uint64_t compare_text(std::uint64_t length) { return 1 + length / 16; }
constexpr std::uint64_t in_set(std::uint64_t entries) {
    std::uint64_t steps = 1;
    for (; entries > 1; entries /= 2) steps++;
    return 1 + steps;
}
constexpr std::uint64_t search(std::uint64_t length, std::uint64_t wanted) {
    return 2 + (length + wanted) / 4;
}
constexpr std::uint64_t write(std::uint64_t length) { return 1 + length / 4; }
constexpr std::uint64_t hash(std::uint64_t length) { return 2 + length / 8; }
constexpr std::uint64_t match(std::uint64_t length, std::uint64_t program) {
    return 16 + length * (1 + program / 64);
}
inline constexpr std::uint64_t hex = 4, text = 8;
}  // namespace cost

// Bounds of one expression, whatever its file says.
inline constexpr int deepest = 64;
inline constexpr std::size_t most_nodes = 4096, longest_text = 65'536;
inline constexpr int largest_pattern = 4000;  // instructions of a compiled regular expression

}  // namespace quillgrade::expression
