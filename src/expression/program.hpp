// Resolved expressions compiled once into a flat program of registers, and the machine that runs it. Running
// gives no memory: texts that are made stand in a scratch space whose size was worked out at load.
//
// An amount that overflows at run time, or a division by zero, makes the expression fail: a condition is then
// false, a text empty, and Machine::failed tells it.
#pragma once

#include <re2/re2.h>

#include <memory>
#include <string_view>
#include <vector>

#include "expression/tree.hpp"

namespace quillgrade::expression {

// What a lookup (or box) says, in the order of the fields that the expression was resolved with.
union Value {
    std::int64_t number;
    struct {
        const char* at;
        std::uint32_t length;
    } text;
    std::string_view view() const { return {text.at, text.length}; }
    static Value of(std::string_view view) {
        Value made{};
        made.text.at = view.data();
        made.text.length = static_cast<std::uint32_t>(view.size());
        return made;
    }
    static Value of(std::int64_t number) {
        Value made{};
        made.number = number;
        return made;
    }
};
struct Facts {
    std::vector<Value> values;  // by the fields' places; an absent text is empty
    std::uint64_t present = 0;  // a bit a field
};

struct Code {  // one expression of a program
    std::uint32_t begin = 0, end = 0;
    std::uint16_t result = 0;
    Type type = Type::Bad;
    std::uint64_t cost = 0;  // units at most
};

class Program {
public:
    Code add(const Node& tree);
    std::uint16_t registers() const { return most_registers; }
    std::size_t scratch() const { return most_scratch; }
    std::size_t size() const { return steps.size(); }

private:
    friend class Machine;
    struct Step {
        Op op;
        Type type;  // of the operands
        std::uint16_t to, a, b, c;
        std::uint32_t what;  // a constant, set, pattern or the place of a field; a jump's goal
        bool jump = false;   // over the right side of `and`, `or`
    };
    struct Set {
        std::vector<Range> ranges;
        std::vector<std::string> texts;
    };
    std::uint16_t compile(const Node& node, std::uint16_t next);
    std::vector<Step> steps;
    std::vector<Value> constants;
    std::vector<std::unique_ptr<std::string>> texts;  // behind constants, which point there
    std::vector<Set> sets;
    std::vector<std::unique_ptr<re2::RE2>> patterns;
    std::uint16_t most_registers = 0;
    std::size_t most_scratch = 0;
};

class Machine {
public:
    explicit Machine(const Program& program)
        : program(program), registers(program.registers()), scratch(program.scratch()) {}
    // The text of a result stands until the next run.
    Value run(const Code& code, const Facts& facts);
    bool condition(const Code& code, const Facts& facts) { return run(code, facts).number != 0; }
    bool failed = false;      // the last run
    std::uint64_t units = 0;  // what all runs have cost, counted as they went; to be reset by the caller

private:
    const Program& program;
    std::vector<Value> registers;
    std::vector<char> scratch;
};

}  // namespace quillgrade::expression
