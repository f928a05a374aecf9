#include "expression/parse.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <tao/pegtl.hpp>
#include <utility>

namespace quillgrade::expression {

std::vector<Piece> cut(std::string_view file, std::vector<Fault>& faults) {
    std::vector<Piece> pieces;
    if (file.size() > longest_file) {
        faults.push_back({{1, 1}, "the file is longer than 8 MB"});
        return {};
    }
    Place at, begin;
    std::size_t start = 0;
    bool in_text = false, in_comment = false, blank = true;
    for (std::size_t i = 0; i < file.size(); i++) {
        char c = file[i];
        if (c == '\n') {
            in_comment = false;
        } else if (in_comment) {
        } else if (in_text) {
            if (c == '\\') {
                i++;
                at.column++;
            } else if (c == '"') {
                in_text = false;
            }
        } else if (c == '#') {
            in_comment = true;
        } else if (c == ';') {
            if (blank)
                faults.push_back({at, "a statement is expected before ';'"});
            else
                pieces.push_back({file.substr(start, i - start), begin});
            if (!pieces.empty() && pieces.back().text.size() > longest_statement) {
                faults.push_back({begin, "a statement of more than 256 KB"});
                return {};
            }
            if (pieces.size() > most_statements) {
                faults.push_back({begin, "more than 40000 statements"});
                return {};
            }
            blank = true;
        } else if (c != ' ' && c != '\t' && c != '\r') {
            if (c == '"') in_text = true;
            if (std::exchange(blank, false)) {
                start = i;
                begin = at;
            }
        }
        if (c == '\n') {
            at.line++;
            at.column = 1;
        } else {
            at.column++;
        }
    }
    if (in_text)
        faults.push_back({begin, "a text that is not ended by '\"'"});
    else if (!blank)
        faults.push_back({begin, "a statement that is not ended by ';'"});
    return pieces;
}

namespace {

namespace pegtl = tao::pegtl;
using namespace tao::pegtl;

// ---- the grammar

struct comment : seq<one<'#'>, until<eolf>> {};
struct gap : sor<one<' ', '\t', '\r', '\n'>, comment> {};
struct _ : star<gap> {};

template <char... C>
struct word : seq<pegtl::string<C...>, not_at<identifier_other>, _> {};
template <class T>
struct token : seq<T, _> {};

struct kw_and : word<'a', 'n', 'd'> {};
struct kw_or : word<'o', 'r'> {};
struct kw_not : word<'n', 'o', 't'> {};
struct kw_in : word<'i', 'n'> {};
struct kw_true : word<'t', 'r', 'u', 'e'> {};
struct kw_false : word<'f', 'a', 'l', 's', 'e'> {};

struct name_text : seq<identifier_first, star<identifier_other>, opt<one<'.'>, plus<identifier_other>>> {};
struct name_use : token<name_text> {};  // no action of its own: name_text has it

struct hex_pair : seq<xdigit, xdigit> {};
struct escape : if_must<one<'\\'>, sor<one<'"', '\\', 'n', 't', 'r'>, if_must<one<'x'>, hex_pair>>> {};
struct text_char : sor<escape, not_one<'"', '\n', '\0'>> {};
struct text_body : star<text_char> {};
struct text_end : one<'"'> {};
struct text_literal : seq<one<'"'>, text_body, must<text_end>, _> {};

struct digits : plus<digit> {};
struct unit : sor<pegtl::string<'u', 's'>, pegtl::string<'m', 's'>, pegtl::string<'k', 'b'>,
                  pegtl::string<'m', 'b'>, pegtl::string<'g', 'b'>, one<'s', 'm', 'h', 'b'>> {};
struct number_body : seq<digits, opt<unit>, not_at<identifier_other>> {};
struct address_body : seq<digits, one<'.'>, digits, one<'.'>, digits, one<'.'>, digits> {};
struct network_body : seq<address_body, one<'/'>, digits> {};
struct clock_body : seq<digit, digit, one<':'>, digit, digit, opt<one<':'>, digit, digit>> {};
struct network_literal : token<network_body> {};
struct address_literal : seq<address_body, not_at<one<'/'>>, _> {};
struct clock_literal : token<clock_body> {};
struct number_literal : token<number_body> {};

struct open : token<one<'('>> {};
struct close : token<one<')'>> {};
struct comma : token<one<','>> {};

struct expression;
struct arguments : opt<list_must<expression, comma>> {};
struct call_open : token<one<'('>> {};
struct call_tail : if_must<call_open, arguments, close> {};
struct named : seq<name_use, opt<call_tail>> {};
struct group_tail : if_must<open, expression, close> {};
struct minus : seq<one<'-'>, not_at<digit>, _> {};
struct operand;
struct minus_tail : if_must<minus, operand> {};
struct negative_body : seq<one<'-'>, digits, opt<unit>, not_at<identifier_other>> {};
struct negative_literal : token<negative_body> {};
struct operand : sor<text_literal, negative_literal, minus_tail, clock_literal, network_literal,
                     address_literal, number_literal, kw_true, kw_false, group_tail, named> {};
struct times : token<one<'*'>> {};
struct over : token<one<'/'>> {};
struct times_tail : if_must<times, operand> {};
struct over_tail : if_must<over, operand> {};
struct product : seq<operand, star<sor<times_tail, over_tail>>> {};
struct plus_sign : token<one<'+'>> {};
struct minus_sign : token<one<'-'>> {};
struct plus_tail : if_must<plus_sign, product> {};
struct sub_tail : if_must<minus_sign, product> {};
struct sum : seq<product, star<sor<plus_tail, sub_tail>>> {};

struct eq : token<pegtl::string<'=', '='>> {};
struct ne : token<pegtl::string<'!', '='>> {};
struct le : token<pegtl::string<'<', '='>> {};
struct ge : token<pegtl::string<'>', '='>> {};
struct lt : token<one<'<'>> {};
struct gt : token<one<'>'>> {};
struct eq_tail : if_must<eq, sum> {};
struct ne_tail : if_must<ne, sum> {};
struct le_tail : if_must<le, sum> {};
struct ge_tail : if_must<ge, sum> {};
struct lt_tail : if_must<lt, sum> {};
struct gt_tail : if_must<gt, sum> {};
struct dots : token<pegtl::string<'.', '.'>> {};
struct set_literal
    : sor<text_literal, negative_literal, clock_literal, network_literal, address_literal, number_literal> {};
struct range_tail : if_must<dots, set_literal> {};
struct set_entry : seq<set_literal, opt<range_tail>> {};
struct set_open : token<one<'{'>> {};
struct set_close : token<one<'}'>> {};
struct in_set : if_must<set_open, list_must<set_entry, comma>, set_close> {};
struct in_network : sor<network_literal, address_literal> {};
struct in_tail : if_must<kw_in, sor<in_set, in_network>> {};
struct comparison : seq<sum, opt<sor<eq_tail, ne_tail, le_tail, ge_tail, lt_tail, gt_tail, in_tail>>> {};
struct negation;
struct not_tail : if_must<kw_not, negation> {};
struct negation : sor<not_tail, comparison> {};
struct and_tail : if_must<kw_and, negation> {};
struct conjunction : seq<negation, star<and_tail>> {};
struct or_tail : if_must<kw_or, conjunction> {};
struct expression : seq<conjunction, star<or_tail>> {};

// ---- statements

struct new_name : seq<identifier_first, star<identifier_other>> {};
struct said_name : token<new_name> {};
struct assign : token<seq<one<'='>, not_at<one<'='>>>> {};

struct kw_field : word<'f', 'i', 'e', 'l', 'd'> {};
struct kw_max : word<'m', 'a', 'x'> {};
struct field_max : token<digits> {};
struct field_statement : if_must<kw_field, said_name, kw_max, field_max> {};

struct kw_let : word<'l', 'e', 't'> {};
struct whole_value : seq<expression> {};
struct let_statement : if_must<kw_let, said_name, assign, whole_value> {};

struct kw_def : word<'d', 'e', 'f'> {};
struct parameter_name : seq<identifier_first, star<identifier_other>> {};
struct parameter_type : seq<identifier_first, star<identifier_other>> {};
struct colon : token<one<':'>> {};
struct parameter : seq<token<parameter_name>, must<colon>, must<token<parameter_type>>> {};
struct parameters : opt<list_must<parameter, comma>> {};
struct def_open : token<one<'('>> {};
struct def_close : token<one<')'>> {};
struct def_statement : if_must<kw_def, said_name, def_open, parameters, def_close, assign, whole_value> {};

struct kw_pool : word<'p', 'o', 'o', 'l'> {};
struct kw_else : word<'e', 'l', 's', 'e'> {};
struct else_name : seq<identifier_first, star<identifier_other>> {};
struct pool_else : if_must<kw_else, token<else_name>> {};
struct pool_statement : if_must<kw_pool, said_name, assign, whole_value, opt<pool_else>> {};

struct kw_rule : word<'r', 'u', 'l', 'e'> {};
struct kw_when : word<'w', 'h', 'e', 'n'> {};
struct kw_class : word<'c', 'l', 'a', 's', 's'> {};
struct kw_key : word<'k', 'e', 'y'> {};
struct kw_limit : word<'l', 'i', 'm', 'i', 't'> {};
struct kw_transmissions : word<'t', 'r', 'a', 'n', 's', 'm', 'i', 's', 's', 'i', 'o', 'n', 's'> {};
struct kw_copies : word<'c', 'o', 'p', 'i', 'e', 's'> {};
struct kw_weight : word<'w', 'e', 'i', 'g', 'h', 't'> {};
struct kw_off : word<'o', 'f', 'f'> {};
struct kw_on : word<'o', 'n'> {};
struct when : if_must<kw_when, whole_value> {};
struct class_name : seq<text_literal> {};
struct class_action : if_must<kw_class, class_name> {};
struct key_value : seq<expression> {};
struct key_action : if_must<kw_key, key_value> {};
struct pool_use : seq<identifier_first, star<identifier_other>> {};
struct pool_weight_value : token<digits> {};
struct pool_weight : if_must<kw_weight, pool_weight_value> {};
struct pool_action : if_must<kw_pool, token<pool_use>, opt<pool_weight>> {};
struct limit_value : seq<number_literal> {};
struct limit_action : if_must<kw_limit, limit_value> {};
struct transmissions_value : token<digits> {};
struct transmissions_action : if_must<kw_transmissions, transmissions_value> {};
struct copies_action : if_must<kw_copies, sor<kw_off, kw_on>> {};
struct action_rule
    : sor<class_action, key_action, pool_action, limit_action, transmissions_action, copies_action> {};
struct actions : list_must<action_rule, comma> {};
struct rule_colon : token<one<':'>> {};
struct rule_statement : if_must<kw_rule, said_name, opt<when>, rule_colon, actions> {};

struct statement : sor<field_statement, let_statement, def_statement, pool_statement, rule_statement> {};
struct whole_statement : seq<_, must<statement>, must<eof>> {};

// ---- what is expected where something else stands

template <class Rule>
inline constexpr const char* expected = nullptr;
template <>
inline constexpr const char* expected<statement> = "field, let, def, pool or rule is expected";
template <>
inline constexpr const char* expected<eof> =
    "the statement should end here; is a ';' or an operator missing?";
template <>
inline constexpr const char* expected<text_end> =
    "a text that is not ended by '\"' on its line, or holds a NUL byte (write \\x00)";
template <>
inline constexpr const char* expected<hex_pair> = "two hexadecimal digits are expected after \\x";
template <>
inline constexpr const char* expected<sor<one<'"', '\\', 'n', 't', 'r'>, if_must<one<'x'>, hex_pair>>> =
    "one of \\\" \\\\ \\n \\t \\r \\xHH is expected after a backslash";
template <>
inline constexpr const char* expected<close> = "')' is expected";
template <>
inline constexpr const char* expected<operand> =
    "a value is expected: a literal, a field, a name, a call or ( )";
template <>
inline constexpr const char* expected<product> = "a value is expected after + or -";
template <>
inline constexpr const char* expected<sum> = "a value is expected after the comparison";
template <>
inline constexpr const char* expected<negation> = "a condition is expected";
template <>
inline constexpr const char* expected<conjunction> = "a condition is expected after or";
template <>
inline constexpr const char* expected<expression> = "an expression is expected";
template <>
inline constexpr const char* expected<whole_value> = "an expression is expected";
template <>
inline constexpr const char* expected<key_value> = "an expression of type text is expected";
template <>
inline constexpr const char* expected<arguments> = "arguments are expected";
template <>
inline constexpr const char* expected<set_literal> = "a literal is expected";
template <>
inline constexpr const char* expected<set_entry> = "a literal or a range a..b is expected";
template <>
inline constexpr const char* expected<list_must<set_entry, comma>> = "a literal or a range a..b is expected";
template <>
inline constexpr const char* expected<set_close> = "'}' or ',' is expected";
template <>
inline constexpr const char* expected<sor<in_set, in_network>> =
    "a set { } or a network such as 10.1.0.0/16 is expected after in";
template <>
inline constexpr const char* expected<said_name> = "a name is expected";
template <>
inline constexpr const char* expected<assign> = "'=' is expected";
template <>
inline constexpr const char* expected<kw_max> = "'max' and the longest value in bytes are expected";
template <>
inline constexpr const char* expected<field_max> = "a number of bytes is expected";
template <>
inline constexpr const char* expected<def_open> = "'(' is expected";
template <>
inline constexpr const char* expected<def_close> = "')' or ',' is expected";
template <>
inline constexpr const char* expected<parameters> = "parameters such as name: text are expected";
template <>
inline constexpr const char* expected<parameter> = "a parameter such as name: text is expected";
template <>
inline constexpr const char* expected<colon> = "':' and a type are expected";
template <>
inline constexpr const char* expected<token<parameter_type>> =
    "a type is expected: bool, int, duration, size, text or address";
template <>
inline constexpr const char* expected<token<else_name>> = "the name of a pool is expected";
template <>
inline constexpr const char* expected<rule_colon> = "':' and what the rule decides are expected";
template <>
inline constexpr const char* expected<actions> =
    "class, key, pool, limit, transmissions or copies is expected";
template <>
inline constexpr const char* expected<action_rule> =
    "class, key, pool, limit, transmissions or copies is expected";
template <>
inline constexpr const char* expected<class_name> = "the name of a traffic type in quotes is expected";
template <>
inline constexpr const char* expected<token<pool_use>> = "the name of a pool is expected";
template <>
inline constexpr const char* expected<pool_weight_value> = "a whole weight is expected";
template <>
inline constexpr const char* expected<limit_value> = "a duration such as 500ms or 2s is expected";
template <>
inline constexpr const char* expected<transmissions_value> = "a number is expected";
template <>
inline constexpr const char* expected<sor<kw_off, kw_on>> = "on or off is expected";

struct Stopped {
    Place place;
    std::string what;
};

// ---- what is being built

struct Builder {
    Statement made;
    std::vector<Tree> values;
    std::vector<std::size_t> calls;  // how many values there were at each open call
    std::vector<Node> sets;
    std::string text;
    Place text_place, name_place;
    std::string name;
    int depth = 0;
    std::size_t nodes = 0;
    std::int64_t number = 0;
    Node literal;  // of a set
    bool in_a_set = false;

    void deeper(Place place) {
        if (++depth > deepest) throw Stopped{place, "nested more than 64 deep"};
    }
    Node& push(Op op, Place place) {
        if (++nodes > most_nodes) throw Stopped{place, "an expression of more than 4096 parts"};
        values.push_back(std::make_unique<Node>());
        values.back()->op = op;
        values.back()->place = place;
        return *values.back();
    }
    Tree pop() {
        auto last = std::move(values.back());
        values.pop_back();
        return last;
    }
    void binary(Op op) {
        auto right = pop(), left = pop();
        auto place = left->place;
        auto& node = push(op, place);
        node.kids.push_back(std::move(left));
        node.kids.push_back(std::move(right));
    }
    void unary(Op op) {
        auto only = pop();
        auto place = only->place;
        push(op, place).kids.push_back(std::move(only));
    }
    void constant(Type type, std::int64_t value, Place place, std::string content = "") {
        auto& node = push(Op::Const, place);
        node.type = type;
        node.number = value;
        node.text = std::move(content);
    }
};

template <class Input>
Place place_of(const Input& in) {
    auto at = in.position();
    return {static_cast<std::uint32_t>(at.line), static_cast<std::uint32_t>(at.column)};
}

std::int64_t whole(std::string_view text, Place place) {
    std::int64_t value = 0;
    auto [stop, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc{}) throw Stopped{place, "a number beyond 2^63-1"};
    return value;
}

// "250ms", "10kb", "42", also with a minus before.
std::pair<Type, std::int64_t> measured(std::string_view text, Place place) {
    auto digits = text.substr(0, text.find_first_not_of("-0123456789"));
    auto value = whole(digits, place);
    auto unit = text.substr(digits.size());
    struct Unit {
        std::string_view name;
        Type type;
        std::int64_t times;
    };
    static constexpr auto units = std::to_array<Unit>({{"", Type::Int, 1},
                                                       {"us", Type::Duration, 1},
                                                       {"ms", Type::Duration, 1000},
                                                       {"s", Type::Duration, 1'000'000},
                                                       {"m", Type::Duration, 60'000'000},
                                                       {"h", Type::Duration, 3'600'000'000},
                                                       {"b", Type::Size, 1},
                                                       {"kb", Type::Size, 1000},
                                                       {"mb", Type::Size, 1'000'000},
                                                       {"gb", Type::Size, 1'000'000'000}});
    for (auto& one : units)
        if (one.name == unit) {
            std::int64_t made = 0;
            if (__builtin_mul_overflow(value, one.times, &made))
                throw Stopped{place, "an amount beyond 2^63-1"};
            return {one.type, made};
        }
    throw Stopped{place, "an unknown unit"};
}

std::int64_t address(std::string_view text, Place place) {
    std::int64_t made = 0;
    for (int i = 0; i < 4; i++) {
        auto dot = std::min(text.find('.'), text.size());
        auto part = whole(text.substr(0, dot), place);
        if (part > 255) throw Stopped{place, "an address whose parts go to 255 is expected"};
        made = made << 8 | part;
        text.remove_prefix(std::min(dot + 1, text.size()));
    }
    return made;
}

Range network(std::string_view text, Place place) {
    auto slash = text.find('/');
    auto base = address(text.substr(0, slash), place);
    auto bits = whole(text.substr(slash + 1), place);
    if (bits > 32) throw Stopped{place, "a network of 0 to 32 bits is expected"};
    std::int64_t rest = (std::int64_t{1} << (32 - bits)) - 1;
    if (base & rest) throw Stopped{place, "a network whose bits past the prefix are 0 is expected"};
    return {base, base + rest};
}

std::int64_t clock(std::string_view text, Place place) {
    auto two = [&](std::size_t at) { return (text[at] - '0') * 10 + (text[at + 1] - '0'); };
    int hours = two(0), minutes = two(3), seconds = text.size() > 5 ? two(6) : 0;
    if (hours > 24 || minutes > 59 || seconds > 59 || hours * 3600 + minutes * 60 + seconds > 86'400)
        throw Stopped{place, "a time of day from 00:00 to 24:00 is expected"};
    return (hours * 3600 + minutes * 60 + seconds) * std::int64_t{1'000'000};
}

std::string unescaped(std::string_view text) {
    std::string out;
    auto hex = [](char c) { return c <= '9' ? c - '0' : (c | 32) - 'a' + 10; };
    for (std::size_t i = 0; i < text.size(); i++) {
        if (text[i] != '\\') {
            out += text[i];
            continue;
        }
        char c = text[++i];
        if (c == 'x') {
            out += static_cast<char>(hex(text[i + 1]) * 16 + hex(text[i + 2]));
            i += 2;
        } else {
            out += c == 'n' ? '\n' : c == 't' ? '\t' : c == 'r' ? '\r' : c;
        }
    }
    return out;
}

Type type_named(std::string_view name) {
    for (auto type : {Type::Bool, Type::Int, Type::Duration, Type::Size, Type::Text, Type::Address})
        if (name == name_of(type)) return type;
    return Type::Bad;
}

template <class Rule>
struct act : nothing<Rule> {};

#define ON(rule)                                        \
    template <>                                         \
    struct act<rule> {                                  \
        template <class Input>                          \
        static void apply(const Input& in, Builder& b); \
    };                                                  \
    template <class Input>                              \
    void act<rule>::apply([[maybe_unused]] const Input& in, Builder& b)

ON(text_body) {
    b.text = unescaped(in.string_view());
    b.text_place = place_of(in);
}
ON(text_literal) { b.constant(Type::Text, 0, place_of(in), std::move(b.text)); }
ON(number_body) {
    auto [type, value] = measured(in.string_view(), place_of(in));
    b.constant(type, value, place_of(in));
}
ON(negative_body) {
    auto [type, value] = measured(in.string_view(), place_of(in));
    b.constant(type, value, place_of(in));
}
ON(clock_body) { b.constant(Type::Duration, clock(in.string_view(), place_of(in)), place_of(in)); }
ON(network_body) {
    auto range = network(in.string_view(), place_of(in));
    b.constant(Type::Address, range.from, place_of(in));
    b.values.back()->ranges = {range};
}
ON(address_literal) {
    auto text = in.string_view();
    text = text.substr(0, text.find_first_not_of("0123456789."));
    b.constant(Type::Address, address(text, place_of(in)), place_of(in));
}
ON(kw_true) { b.constant(Type::Bool, 1, place_of(in)); }
ON(kw_false) { b.constant(Type::Bool, 0, place_of(in)); }
ON(name_text) { b.push(Op::Name, place_of(in)).text = in.string(); }
ON(call_open) {
    b.deeper(place_of(in));
    b.calls.push_back(b.values.size());
}
ON(call_tail) {
    b.depth--;
    auto from = b.calls.back();
    b.calls.pop_back();
    auto& callee = *b.values[from - 1];
    callee.op = Op::Call;
    for (auto i = from; i < b.values.size(); i++) callee.kids.push_back(std::move(b.values[i]));
    b.values.resize(from);
}
ON(open) { b.deeper(place_of(in)); }
ON(group_tail) { b.depth--; }
ON(minus) { b.deeper(place_of(in)); }
ON(minus_tail) {
    b.depth--;
    b.unary(Op::Neg);
}
ON(times_tail) { b.binary(Op::Mul); }
ON(over_tail) { b.binary(Op::Div); }
ON(plus_tail) { b.binary(Op::Add); }
ON(sub_tail) { b.binary(Op::Sub); }
ON(eq_tail) { b.binary(Op::Eq); }
ON(ne_tail) { b.binary(Op::Ne); }
ON(le_tail) { b.binary(Op::Le); }
ON(ge_tail) { b.binary(Op::Ge); }
ON(lt_tail) { b.binary(Op::Lt); }
ON(gt_tail) { b.binary(Op::Gt); }
ON(kw_in) { b.push(Op::In, place_of(in)); }
// A range takes the literal before it as its start; in a set each entry is then a kid of the In.
ON(range_tail) {
    auto to = b.pop();
    auto& from = *b.values.back();
    if (from.type != to->type || from.type == Type::Text || !from.ranges.empty() || !to->ranges.empty())
        throw Stopped{to->place, "a range joins two numbers of one type"};
    if (to->number < from.number) throw Stopped{to->place, "a range that ends before it begins"};
    from.ranges = {{from.number, to->number}};
}
ON(set_entry) {
    auto entry = b.pop();
    b.values.back()->kids.push_back(std::move(entry));
}
ON(in_network) {
    auto entry = b.pop();
    b.values.back()->kids.push_back(std::move(entry));
}
ON(in_tail) {
    auto set = b.pop(), of = b.pop();
    auto place = of->place;
    set->kids.insert(set->kids.begin(), std::move(of));
    set->place = place;
    b.values.push_back(std::move(set));
}
ON(kw_not) { b.deeper(place_of(in)); }
ON(not_tail) {
    b.depth--;
    b.unary(Op::Not);
}
ON(and_tail) { b.binary(Op::And); }
ON(or_tail) { b.binary(Op::Or); }

ON(new_name) {
    b.made.name = in.string();
    b.name_place = place_of(in);
}
ON(field_max) {
    auto text = in.string_view();
    b.made.number = whole(text.substr(0, text.find_first_not_of("0123456789")), place_of(in));
}
ON(field_statement) { b.made.what = Statement::What::Field; }
ON(whole_value) { b.made.value = b.pop(); }
ON(let_statement) { b.made.what = Statement::What::Let; }
ON(parameter_name) { b.made.parameters.push_back({in.string(), Type::Bad}); }
ON(parameter_type) {
    auto type = type_named(in.string_view());
    if (type == Type::Bad)
        throw Stopped{place_of(in), "a type is expected: bool, int, duration, size, text or address"};
    b.made.parameters.back().type = type;
}
ON(def_statement) { b.made.what = Statement::What::Def; }
ON(else_name) { b.made.otherwise = in.string(); }
ON(pool_statement) { b.made.what = Statement::What::Pool; }
ON(class_name) {
    auto text = b.pop();
    b.made.actions.push_back({Action::What::Class, text->place, text->text, nullptr, 0});
}
ON(key_value) {
    auto value = b.pop();
    auto place = value->place;
    b.made.actions.push_back({Action::What::Key, place, "", std::move(value), 0});
}
ON(pool_use) { b.made.actions.push_back({Action::What::Pool, place_of(in), in.string(), nullptr, 1}); }
ON(pool_weight_value) {
    auto text = in.string_view();
    auto weight = whole(text.substr(0, text.find_first_not_of("0123456789")), place_of(in));
    if (weight > 1'000'000) throw Stopped{place_of(in), "a weight of 0 to 1000000 is expected"};
    b.made.actions.back().number = weight;
}
ON(limit_value) {
    auto value = b.pop();
    if (value->type != Type::Duration || value->number < 1000)
        throw Stopped{value->place, "a duration of 1ms or more is expected"};
    b.made.actions.push_back({Action::What::Limit, value->place, "", nullptr, value->number});
}
ON(transmissions_value) {
    auto text = in.string_view();
    auto most = whole(text.substr(0, text.find_first_not_of("0123456789")), place_of(in));
    if (most < 1 || most > 1000) throw Stopped{place_of(in), "1 to 1000 transmissions are expected"};
    b.made.actions.push_back({Action::What::Transmissions, place_of(in), "", nullptr, most});
}
ON(kw_off) { b.made.actions.push_back({Action::What::Copies, place_of(in), "", nullptr, 0}); }
ON(kw_on) { b.made.actions.push_back({Action::What::Copies, place_of(in), "", nullptr, 1}); }
ON(rule_statement) { b.made.what = Statement::What::Rule; }
#undef ON

template <class Rule>
struct control : normal<Rule> {
    template <class Input, class... States>
    [[noreturn]] static void raise(const Input& in, States&&... /*states*/) {
        throw Stopped{place_of(in), expected<Rule> ? expected<Rule> : "something else is expected here"};
    }
};

}  // namespace

std::optional<Statement> parse(const Piece& piece, std::vector<Fault>& faults) {
    Builder builder;
    memory_input<tracking_mode::eager> in(piece.text.data(), piece.text.data() + piece.text.size(), "", 0,
                                          piece.place.line, piece.place.column);
    try {
        pegtl::parse<whole_statement, act, control>(in, builder);
        builder.made.place = piece.place;
        return std::move(builder.made);
    } catch (const Stopped& stopped) {
        faults.push_back({stopped.place, stopped.what});
        return {};
    }
}

}  // namespace quillgrade::expression
