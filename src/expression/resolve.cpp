#include "expression/resolve.hpp"

#include <re2/re2.h>
#include <xxhash.h>

#include <algorithm>
#include <array>
#include <utility>

namespace quillgrade::expression {

namespace {

struct Function {
    const char* name;
    Op op;
    int least, most;  // arguments
    Type result;
    const char* shape;
};
constexpr auto functions_known = std::to_array<Function>({
    {"starts_with", Op::Starts, 2, 2, Type::Bool, "starts_with(text, text)"},
    {"ends_with", Op::Ends, 2, 2, Type::Bool, "ends_with(text, text)"},
    {"contains", Op::Contains, 2, 2, Type::Bool, "contains(text, text)"},
    {"matches", Op::Matches, 2, 2, Type::Bool, "matches(text, \"pattern\")"},
    {"has", Op::Has, 1, 1, Type::Bool, "has(field)"},
    {"length", Op::Length, 1, 1, Type::Int, "length(text)"},
    {"lower", Op::Lower, 1, 1, Type::Text, "lower(text)"},
    {"upper", Op::Upper, 1, 1, Type::Text, "upper(text)"},
    {"slice", Op::Slice, 3, 3, Type::Text, "slice(text, from, to)"},
    {"join", Op::Join, 2, 17, Type::Text, "join(separator, text, …)"},
    {"hex", Op::Hex, 1, 1, Type::Text, "hex(int)"},
    {"text", Op::Text, 1, 1, Type::Text, "text(int)"},
    {"hash", Op::Hash, 1, 1, Type::Int, "hash(text)"},
});

bool numeric(Type type) { return type == Type::Int || type == Type::Duration || type == Type::Size; }
bool ordered(Type type) { return numeric(type) || type == Type::Text || type == Type::Address; }

char lowered(char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c + 32) : c; }
char uppered(char c) { return c >= 'a' && c <= 'z' ? static_cast<char>(c - 32) : c; }

}  // namespace

class Resolver {
public:
    Resolver(const Names& names, std::vector<Fault>& faults) : names(names), faults(faults) {}

    Tree run(Tree tree) {
        tree = expand(std::move(tree), nullptr, 0);
        if (!tree) return nullptr;
        type(*tree);
        if (bad) return nullptr;
        fold(tree);
        measure(*tree);
        return bad ? nullptr : std::move(tree);
    }

private:
    using Given = std::map<std::string, const Node*>;  // arguments by name

    void fault(const Node& at, std::string what) {
        bad = true;
        faults.push_back({at.place, std::move(what)});
    }

    // ---- names and functions
    Tree expand(Tree tree, const Given* given, int depth) {
        if (++nodes > most_nodes) {
            if (!std::exchange(too_many, true))
                fault(*tree, "an expression of more than 4096 parts, names put in place");
            return nullptr;
        }
        if (depth > deepest) {
            fault(*tree, "nested more than 64 deep, names put in place");
            return nullptr;
        }
        if (tree->op == Op::Name) return named(std::move(tree), given);
        for (auto& kid : tree->kids) {
            kid = expand(std::move(kid), given, depth + 1);
            if (!kid) return nullptr;
        }
        if (tree->op == Op::Call) return called(std::move(tree), depth);
        return tree;
    }

    Tree named(Tree tree, const Given* given) {
        if (given)
            if (auto found = given->find(tree->text); found != given->end())
                return counted(*found->second, *tree);
        if (auto found = names.lets.find(tree->text); found != names.lets.end())
            return counted(*found->second, *tree);
        for (std::size_t i = 0; i < names.fields.size(); i++)
            if (names.fields[i].name == tree->text) {
                tree->op = Op::Field;
                tree->number = static_cast<std::int64_t>(i);
                tree->type = names.fields[i].type;
                return tree;
            }
        std::string near;
        for (auto& field : names.fields) near += (near.empty() ? "" : ", ") + field.name;
        fault(*tree, "'" + tree->text + "' is not known here; fields: " + near);
        return nullptr;
    }

    std::size_t size(const Node& node) {
        std::size_t all = 1;
        for (auto& kid : node.kids) all += size(*kid);
        return all;
    }

    Tree counted(const Node& meaning, const Node& at) {
        nodes += size(meaning);
        if (nodes > most_nodes) {
            if (!std::exchange(too_many, true))
                fault(at, "an expression of more than 4096 parts, names put in place");
            return nullptr;
        }
        return copy(meaning);
    }

    Tree called(Tree tree, int depth) {
        auto known = std::find_if(std::begin(functions_known), std::end(functions_known),
                                  [&](auto& one) { return tree->text == one.name; });
        if (known != std::end(functions_known)) {
            auto count = static_cast<int>(tree->kids.size());
            if (count < known->least || count > known->most) {
                fault(*tree, std::string(known->shape) + " is the form; it was given " +
                                 std::to_string(count) + " arguments");
                return nullptr;
            }
            tree->op = known->op;
            tree->type = known->result;
            if (known->op == Op::Matches) {
                auto& pattern = *tree->kids[1];
                if (pattern.op != Op::Const || pattern.type != Type::Text) {
                    fault(
                        pattern,
                        "the pattern of matches has to be a text as it stands, so that it is compiled once");
                    return nullptr;
                }
                tree->text = pattern.text;
                tree->kids.pop_back();
            }
            return tree;
        }
        auto own = names.functions.find(tree->text);
        if (own == names.functions.end()) {
            std::string all;
            for (auto& one : functions_known) all += (all.empty() ? "" : ", ") + std::string(one.name);
            fault(*tree, "no function '" + tree->text +
                             "'; a function sees only those defined before it; built in: " + all);
            return nullptr;
        }
        auto& parameters = own->second.parameters;
        if (parameters.size() != tree->kids.size()) {
            fault(*tree, "'" + tree->text + "' takes " + std::to_string(parameters.size()) +
                             " arguments, not " + std::to_string(tree->kids.size()));
            return nullptr;
        }
        Given given;
        for (std::size_t i = 0; i < parameters.size(); i++) {
            auto& argument = *tree->kids[i];
            auto as = type(argument);
            if (as != Type::Bad && as != parameters[i].type)
                fault(argument, "'" + parameters[i].name + "' of '" + tree->text + "' is of type " +
                                    name_of(parameters[i].type) + ", not " + name_of(as));
            given[parameters[i].name] = tree->kids[i].get();
        }
        return expand(copy(*own->second.value), &given, depth + 1);
    }

    // ---- types
    Type type(Node& node) {
        switch (node.op) {
            case Op::Const:
            case Op::Field:
                return node.type;
            case Op::Name:
            case Op::Call:
                return node.type = Type::Bad;
            default:
                break;
        }
        std::vector<Type> kids;
        for (auto& kid : node.kids) kids.push_back(type(*kid));
        if (std::count(kids.begin(), kids.end(), Type::Bad)) return node.type = Type::Bad;
        auto want = [&](std::size_t i, Type wanted) {
            if (kids[i] == wanted) return true;
            fault(*node.kids[i], std::string(name_of(wanted)) + " is expected, not " + name_of(kids[i]) +
                                     " (" + written(*node.kids[i]).substr(0, 60) + ")");
            return false;
        };
        bool good = true;
        switch (node.op) {
            case Op::Not:
                return node.type = want(0, Type::Bool) ? Type::Bool : Type::Bad;
            case Op::And:
            case Op::Or:
                good = want(0, Type::Bool);
                good = want(1, Type::Bool) && good;
                return node.type = good ? Type::Bool : Type::Bad;
            case Op::Eq:
            case Op::Ne:
                return node.type = want(1, kids[0]) ? Type::Bool : Type::Bad;
            case Op::Lt:
            case Op::Le:
            case Op::Gt:
            case Op::Ge:
                if (!ordered(kids[0])) {
                    fault(*node.kids[0],
                          std::string("a value that has an order is expected, not ") + name_of(kids[0]));
                    return node.type = Type::Bad;
                }
                return node.type = want(1, kids[0]) ? Type::Bool : Type::Bad;
            case Op::In:
                return node.type = set(node, kids) ? Type::Bool : Type::Bad;
            case Op::Neg:
            case Op::Add:
            case Op::Sub:
            case Op::Mul:
            case Op::Div:
                return node.type = arithmetic(node, kids);
            case Op::Starts:
            case Op::Ends:
            case Op::Contains:
                good = want(0, Type::Text);
                good = want(1, Type::Text) && good;
                break;
            case Op::Matches:
                good = want(0, Type::Text) && pattern(node);
                break;
            case Op::Has:
                if (node.kids[0]->op != Op::Field) {
                    fault(*node.kids[0], "has() asks for a field by its name");
                    good = false;
                }
                break;
            case Op::Length:
            case Op::Lower:
            case Op::Upper:
            case Op::Hash:
                good = want(0, Type::Text);
                break;
            case Op::Slice:
                good = want(0, Type::Text);
                good = want(1, Type::Int) && good;
                good = want(2, Type::Int) && good;
                break;
            case Op::Join:
                for (std::size_t i = 0; i < kids.size(); i++) good = want(i, Type::Text) && good;
                break;
            case Op::Hex:
            case Op::Text:
                good = want(0, Type::Int);
                break;
            default:
                break;
        }
        return good ? node.type : node.type = Type::Bad;
    }

    Type arithmetic(const Node& node, const std::vector<Type>& kids) {
        auto refuse = [&](const std::string& what) {
            fault(node, what);
            return Type::Bad;
        };
        if (!numeric(kids[0]) || (kids.size() > 1 && !numeric(kids[1])))
            return refuse("numbers, durations or sizes are expected: " + written(node).substr(0, 80));
        if (node.op == Op::Neg) return kids[0];
        if (node.op == Op::Add || node.op == Op::Sub)
            return kids[0] == kids[1] ? kids[0]
                                      : refuse(std::string(name_of(kids[0])) + " and " + name_of(kids[1]) +
                                               " can't be added or subtracted");
        if (node.op == Op::Mul) {
            if (kids[0] == Type::Int) return kids[1];
            return kids[1] == Type::Int ? kids[0]
                                        : refuse(std::string(name_of(kids[0])) + " times " +
                                                 name_of(kids[1]) + " means nothing");
        }
        if (kids[1] == Type::Int) return kids[0];
        return kids[0] == kids[1]
                   ? Type::Int
                   : refuse(std::string(name_of(kids[0])) + " by " + name_of(kids[1]) + " means nothing");
    }

    // The entries leave the tree for sorted lists.
    bool set(Node& node, const std::vector<Type>& kids) {
        bool good = true;
        auto of = kids[0];
        if (!ordered(of)) {
            fault(*node.kids[0], std::string(name_of(of)) + " can't be in a set");
            return false;
        }
        for (std::size_t i = 1; i < kids.size(); i++) {
            auto& entry = *node.kids[i];
            if (kids[i] != of) {
                fault(entry, std::string("a set of ") + name_of(of) + " holds a " + name_of(kids[i]) + ": " +
                                 written(entry).substr(0, 60));
                good = false;
            } else if (of == Type::Text) {
                node.texts.push_back(entry.text);
            } else {
                node.ranges.push_back(entry.ranges.empty() ? Range{entry.number, entry.number}
                                                           : entry.ranges[0]);
            }
        }
        if (!good) return false;
        node.kids.resize(1);
        std::sort(node.texts.begin(), node.texts.end());
        node.texts.erase(std::unique(node.texts.begin(), node.texts.end()), node.texts.end());
        std::sort(node.ranges.begin(), node.ranges.end());
        std::vector<Range> apart;
        for (auto& range : node.ranges) {
            if (!apart.empty() && range.from <= apart.back().to)
                apart.back().to = std::max(apart.back().to, range.to);
            else
                apart.push_back(range);
        }
        node.ranges = std::move(apart);
        return true;
    }

    bool pattern(Node& node) {
        RE2::Options options(RE2::Latin1);  // bytes
        options.set_log_errors(false);
        options.set_max_mem(1 << 20);
        RE2 compiled(node.text, options);
        if (!compiled.ok()) {
            fault(node, "the pattern can't be used: " + compiled.error().substr(0, 200));
            return false;
        }
        // A pattern's cost grows with its program, which nested repetition multiplies.
        node.number = std::max(compiled.ProgramSize(), 1);
        if (node.number > largest_pattern) {
            fault(node, "the pattern becomes a program of " + std::to_string(node.number) +
                            " instructions, more than " + std::to_string(largest_pattern) +
                            "; is a repetition repeated?");
            return false;
        }
        return true;
    }

    // ---- constants
    void fold(Tree& tree) {
        for (auto& kid : tree->kids) fold(kid);
        auto& node = *tree;
        auto constant = [](const Tree& kid) { return kid->op == Op::Const; };
        // true and x, false or x: also where only one side is known.
        if (node.op == Op::And || node.op == Op::Or) {
            bool neutral = node.op == Op::And;
            for (int side : {0, 1})
                if (constant(node.kids[static_cast<std::size_t>(side)])) {
                    bool value = node.kids[static_cast<std::size_t>(side)]->number != 0;
                    auto kept =
                        std::move(node.kids[static_cast<std::size_t>(value == neutral ? 1 - side : side)]);
                    tree = std::move(kept);
                    return;
                }
            return;
        }
        if (node.op == Op::Const || node.op == Op::Field || node.op == Op::Has) return;
        if (!std::all_of(node.kids.begin(), node.kids.end(), constant)) return;
        evaluate(node);
    }

    static void become(Node& node, std::int64_t number, std::string text = "") {
        node.op = Op::Const;
        node.number = number;
        node.text = std::move(text);
        node.kids.clear();
        node.ranges.clear();
        node.texts.clear();
    }

    void evaluate(Node& node) {
        auto a = node.kids[0]->number, b = node.kids.size() > 1 ? node.kids[1]->number : 0;
        auto& left = node.kids[0]->text;
        std::string right = node.kids.size() > 1 ? node.kids[1]->text : "";
        bool texts = node.kids[0]->type == Type::Text;
        auto order = texts ? left.compare(right) : a < b ? -1 : a > b;
        std::int64_t made = 0;
        bool over = false;
        switch (node.op) {
            case Op::Not:
                return become(node, !a);
            case Op::Eq:
                return become(node, order == 0);
            case Op::Ne:
                return become(node, order != 0);
            case Op::Lt:
                return become(node, order < 0);
            case Op::Le:
                return become(node, order <= 0);
            case Op::Gt:
                return become(node, order > 0);
            case Op::Ge:
                return become(node, order >= 0);
            case Op::In: {
                bool in = std::binary_search(node.texts.begin(), node.texts.end(), left);
                if (!texts)
                    in = std::any_of(node.ranges.begin(), node.ranges.end(),
                                     [&](auto& range) { return a >= range.from && a <= range.to; });
                return become(node, in);
            }
            case Op::Neg:
                over = __builtin_sub_overflow(std::int64_t{0}, a, &made);
                break;
            case Op::Add:
                over = __builtin_add_overflow(a, b, &made);
                break;
            case Op::Sub:
                over = __builtin_sub_overflow(a, b, &made);
                break;
            case Op::Mul:
                over = __builtin_mul_overflow(a, b, &made);
                break;
            case Op::Div:
                if (b == 0) return fault(node, "division by zero");
                over = a == INT64_MIN && b == -1;
                made = over ? 0 : a / b;
                break;
            case Op::Starts:
                return become(node, left.starts_with(right));
            case Op::Ends:
                return become(node, left.ends_with(right));
            case Op::Contains:
                return become(node, left.find(right) != std::string::npos);
            case Op::Length:
                return become(node, static_cast<std::int64_t>(left.size()));
            case Op::Lower:
            case Op::Upper: {
                auto text = left;
                for (auto& c : text) c = node.op == Op::Lower ? lowered(c) : uppered(c);
                return become(node, 0, text);
            }
            default:
                return;  // the others are left to the program
        }
        if (over) return fault(node, "an amount beyond 2^63-1");
        become(node, made);
    }

    // ---- what it can cost
    void measure(Node& node) {
        std::uint64_t kids = 0;
        std::uint64_t longest = 0;
        for (auto& kid : node.kids) {
            measure(*kid);
            kids += kid->cost;
            longest += kid->longest;
        }
        auto first = node.kids.empty() ? 0 : node.kids[0]->longest;
        auto second = node.kids.size() > 1 ? node.kids[1]->longest : 0;
        bool texts = !node.kids.empty() && node.kids[0]->type == Type::Text;
        std::uint64_t own = cost::number, made = 0;
        switch (node.op) {
            case Op::Const:
                made = node.text.size();
                break;
            case Op::Field:
                own = names.fields[static_cast<std::size_t>(node.number)].cost;
                made = names.fields[static_cast<std::size_t>(node.number)].longest;
                break;
            case Op::And:
            case Op::Or:
                own = cost::jump;
                break;
            case Op::Eq:
            case Op::Ne:
            case Op::Lt:
            case Op::Le:
            case Op::Gt:
            case Op::Ge:
                if (texts) own = cost::compare_text(std::min(first, second));
                break;
            case Op::In:
                own = cost::in_set(node.texts.size() + node.ranges.size());
                if (texts) own *= cost::compare_text(first);
                break;
            case Op::Starts:
            case Op::Ends:
                own = cost::compare_text(std::min(first, second));
                break;
            case Op::Contains:
                own = cost::search(first, second);
                break;
            case Op::Matches:
                own = cost::match(first, static_cast<std::uint64_t>(node.number));
                break;
            case Op::Lower:
            case Op::Upper:
                own = cost::write(first);
                made = first;
                break;
            case Op::Slice: {
                made = first;
                auto &from = *node.kids[1], &to = *node.kids[2];
                if (from.op == Op::Const && to.op == Op::Const && from.number >= 0 &&
                    to.number >= from.number)
                    made =
                        std::min<std::uint64_t>(first, static_cast<std::uint64_t>(to.number - from.number));
                else if (to.op == Op::Const && to.number >= 0)
                    made = std::min<std::uint64_t>(first, static_cast<std::uint64_t>(to.number));
                break;
            }
            case Op::Join:
                made = longest - first + first * (node.kids.size() - 2);
                own = cost::write(made);
                break;
            case Op::Hex:
                own = cost::hex;
                made = 16;
                break;
            case Op::Text:
                own = cost::text;
                made = 20;
                break;
            case Op::Hash:
                own = cost::hash(first);
                break;
            default:
                break;
        }
        if (made > longest_text) {
            fault(node, "a text of up to " + std::to_string(made) +
                            " bytes, more than 65536, which has no bound worth "
                            "the name: " +
                            written(node).substr(0, 80));
            made = longest_text;
        }
        node.longest = static_cast<std::uint32_t>(made);
        node.cost = kids + own;
    }

    const Names& names;
    std::vector<Fault>& faults;
    std::size_t nodes = 0;
    bool bad = false, too_many = false;
};

bool Names::taken(const std::string& name) const {
    return lets.contains(name) || functions.contains(name) ||
           std::any_of(fields.begin(), fields.end(), [&](auto& field) { return field.name == name; }) ||
           std::any_of(std::begin(functions_known), std::end(functions_known),
                       [&](auto& one) { return name == one.name; });
}

Tree Names::resolve(Tree tree, Type wanted, std::vector<Fault>& faults) const {
    auto place = tree->place;
    auto made = Resolver(*this, faults).run(std::move(tree));
    if (!made || wanted == Type::Bad || made->type == wanted) return made;
    faults.push_back({place, std::string(name_of(wanted)) + " is expected, not " + name_of(made->type)});
    return nullptr;
}

bool Names::add_let(Statement statement, std::vector<Fault>& faults) {
    if (taken(statement.name)) {
        faults.push_back({statement.place, "the name '" + statement.name + "' is taken"});
        return false;
    }
    auto value = resolve(std::move(statement.value), Type::Bad, faults);
    if (!value) return false;
    lets[statement.name] = std::move(value);
    return true;
}

// The body is tried with arguments of the stated types that fold away nothing, so that its faults show where
// it is defined and not only where it is used.
bool Names::add_def(Statement statement, std::vector<Fault>& faults) {
    if (taken(statement.name)) {
        faults.push_back({statement.place, "the name '" + statement.name + "' is taken"});
        return false;
    }
    Names inside(fields);
    for (auto& [name, tree] : lets) inside.lets[name] = copy(*tree);
    for (auto& [name, known] : functions) {
        Statement same;
        same.name = known.name;
        same.parameters = known.parameters;
        same.value = copy(*known.value);
        inside.functions[name] = std::move(same);
    }
    for (auto& parameter : statement.parameters) {
        if (inside.taken(parameter.name)) {
            faults.push_back({statement.place, "the name '" + parameter.name + "' is taken"});
            return false;
        }
        inside.add_field({parameter.name, parameter.type, 1, 1});
    }
    if (!inside.resolve(copy(*statement.value), Type::Bad, faults)) return false;
    functions[statement.name] = std::move(statement);
    return true;
}

}  // namespace quillgrade::expression
