// Statements of a rule file, read with PEGTL. A file is cut into statements first, each read by itself, so
// that one run tells the faults of all, and a long file can be read a slice at a time.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "expression/tree.hpp"

namespace quillgrade::expression {

// The bytes of one statement, without the semicolon, and where it begins.
struct Piece {
    std::string_view text;
    Place place;
};

inline constexpr std::size_t longest_file = 8U << 20, longest_statement = 256U << 10,
                             most_statements = 40'000;

// Cuts at semicolons outside of strings and comments. `faults` tells what keeps it from that.
std::vector<Piece> cut(std::string_view file, std::vector<Fault>& faults);

struct Parameter {
    std::string name;
    Type type;
};
// One thing that a rule decides.
struct Action {
    enum class What { Class, Key, Pool, Limit, Transmissions, Copies } what;
    Place place;
    std::string name;         // of a class or pool
    Tree value;               // of a key
    std::int64_t number = 0;  // a limit in microseconds, transmissions, copies on (1) or off (0), a weight
};
struct Statement {
    enum class What { Field, Let, Def, Pool, Rule } what = What::Let;
    Place place;
    std::string name;
    std::vector<Parameter> parameters;  // Def
    std::int64_t number = 0;            // Field: the longest value
    Tree value;                         // Let, Def, Pool; the condition of a Rule, null: always
    std::string otherwise;              // Pool: the one to fall back to, empty: all boxes
    std::vector<Action> actions;        // Rule
};

// Empty, with a fault, where it can't be read.
std::optional<Statement> parse(const Piece& piece, std::vector<Fault>& faults);

}  // namespace quillgrade::expression
