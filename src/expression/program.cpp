#include "expression/program.hpp"

#include <xxhash.h>

#include <algorithm>
#include <charconv>
#include <cstring>

namespace quillgrade::expression {

namespace {

re2::RE2::Options options() {
    re2::RE2::Options made(re2::RE2::Latin1);
    made.set_log_errors(false);
    made.set_max_mem(1 << 20);
    made.set_never_capture(true);
    return made;
}

// Makes a text; kids write theirs too, so what is needed adds up.
std::size_t scratch_of(const Node& node) {
    std::size_t all = 0;
    for (auto& kid : node.kids) all += scratch_of(*kid);
    bool makes = node.op == Op::Lower || node.op == Op::Upper || node.op == Op::Join || node.op == Op::Hex ||
                 node.op == Op::Text;
    return all + (makes ? node.longest : 0);
}

}  // namespace

Code Program::add(const Node& tree) {
    Code code;
    code.begin = static_cast<std::uint32_t>(steps.size());
    code.result = compile(tree, 0);
    code.end = static_cast<std::uint32_t>(steps.size());
    code.type = tree.type;
    code.cost = tree.cost;
    most_scratch = std::max(most_scratch, scratch_of(tree));
    return code;
}

// The result stands in register `next`; kids use those above it.
std::uint16_t Program::compile(const Node& node, std::uint16_t next) {
    most_registers = std::max<std::uint16_t>(most_registers, static_cast<std::uint16_t>(next + 1));
    Step step{node.op, node.type, next, 0, 0, 0, 0};
    if (node.op == Op::And || node.op == Op::Or) {
        compile(*node.kids[0], next);
        auto jump = steps.size();
        step.a = next;
        step.jump = true;
        steps.push_back(step);
        compile(*node.kids[1], next);
        steps[jump].what = static_cast<std::uint32_t>(steps.size());
        return next;
    }
    std::uint16_t at = next;
    std::vector<std::uint16_t> from;
    for (auto& kid : node.kids) from.push_back(compile(*kid, at++));
    if (!node.kids.empty()) step.type = node.kids[0]->type;
    step.a = from.empty() ? 0 : from[0];
    step.b = from.size() > 1 ? from[1] : static_cast<std::uint16_t>(from.size());
    step.c = from.size() > 2 ? from[2] : 0;
    switch (node.op) {
        case Op::Const:
            step.what = static_cast<std::uint32_t>(constants.size());
            if (node.type == Type::Text) {
                texts.push_back(std::make_unique<std::string>(node.text));
                constants.push_back(Value::of(std::string_view(*texts.back())));
            } else {
                constants.push_back(Value::of(node.number));
            }
            break;
        case Op::Field:
            step.what = static_cast<std::uint32_t>(node.number);
            break;
        case Op::Has:
            step.what = static_cast<std::uint32_t>(node.kids[0]->number);
            break;
        case Op::In:
            step.what = static_cast<std::uint32_t>(sets.size());
            sets.push_back({node.ranges, node.texts});
            break;
        case Op::Matches:
            step.what = static_cast<std::uint32_t>(patterns.size());
            patterns.push_back(std::make_unique<re2::RE2>(node.text, options()));
            break;
        case Op::Join:
            step.what = static_cast<std::uint32_t>(node.kids.size());
            break;
        default:
            break;
    }
    steps.push_back(step);
    return next;
}

Value Machine::run(const Code& code, const Facts& facts) {
    failed = false;
    std::size_t used = 0;
    auto* r = registers.data();
    auto room = [&](std::size_t length) {
        auto* at = scratch.data() + used;
        used += length;
        return at;
    };
    for (std::uint32_t i = code.begin; i < code.end; i++) {
        auto& step = program.steps[i];
        auto &to = r[step.to], &a = r[step.a], &b = r[step.b];
        if (step.jump) {
            units += cost::jump;
            if ((a.number != 0) == (step.op == Op::Or)) i = step.what - 1;
            continue;
        }
        bool texts = step.type == Type::Text;
        switch (step.op) {
            case Op::Const:
                to = program.constants[step.what];
                units += cost::number;
                break;
            case Op::Field:
                to = facts.values[step.what];
                units += cost::number;
                break;
            case Op::Not:
                to.number = !a.number;
                units += cost::number;
                break;
            case Op::Eq:
            case Op::Ne:
            case Op::Lt:
            case Op::Le:
            case Op::Gt:
            case Op::Ge: {
                int order;
                if (texts) {
                    order = a.view().compare(b.view());
                    units += cost::compare_text(std::min(a.text.length, b.text.length));
                } else {
                    order = a.number < b.number ? -1 : a.number > b.number;
                    units += cost::number;
                }
                bool is = step.op == Op::Eq   ? order == 0
                          : step.op == Op::Ne ? order != 0
                          : step.op == Op::Lt ? order < 0
                          : step.op == Op::Le ? order <= 0
                          : step.op == Op::Gt ? order > 0
                                              : order >= 0;
                to.number = is;
                break;
            }
            case Op::In: {
                auto& set = program.sets[step.what];
                auto entries = set.texts.size() + set.ranges.size();
                if (texts) {
                    auto view = a.view();
                    units += cost::in_set(entries) * cost::compare_text(view.size());
                    auto found = std::lower_bound(set.texts.begin(), set.texts.end(), view);
                    to.number = found != set.texts.end() && *found == view;
                } else {
                    units += cost::in_set(entries);
                    auto number = a.number;
                    auto after = std::upper_bound(set.ranges.begin(), set.ranges.end(), number,
                                                  [](std::int64_t n, auto& range) { return n < range.from; });
                    to.number = after != set.ranges.begin() && number <= std::prev(after)->to;
                }
                break;
            }
            case Op::Neg:
                failed |= __builtin_sub_overflow(std::int64_t{0}, a.number, &to.number);
                units += cost::number;
                break;
            case Op::Add:
                failed |= __builtin_add_overflow(a.number, b.number, &to.number);
                units += cost::number;
                break;
            case Op::Sub:
                failed |= __builtin_sub_overflow(a.number, b.number, &to.number);
                units += cost::number;
                break;
            case Op::Mul:
                failed |= __builtin_mul_overflow(a.number, b.number, &to.number);
                units += cost::number;
                break;
            case Op::Div: {
                bool bad = b.number == 0 || (a.number == INT64_MIN && b.number == -1);
                failed |= bad;
                to.number = bad ? 0 : a.number / b.number;
                units += cost::number;
                break;
            }
            case Op::Starts: {
                auto one = a.view(), other = b.view();
                units += cost::compare_text(std::min(one.size(), other.size()));
                to.number = one.starts_with(other);
                break;
            }
            case Op::Ends: {
                auto one = a.view(), other = b.view();
                units += cost::compare_text(std::min(one.size(), other.size()));
                to.number = one.ends_with(other);
                break;
            }
            case Op::Contains: {
                auto one = a.view(), other = b.view();
                units += cost::search(one.size(), other.size());
                // Linear, whatever the texts; the standard library's search is not.
                to.number =
                    other.empty() || (one.size() >= other.size() &&
                                      memmem(one.data(), one.size(), other.data(), other.size()) != nullptr);
                break;
            }
            case Op::Matches: {
                auto view = a.view();
                auto& pattern = *program.patterns[step.what];
                units += cost::match(view.size(), static_cast<std::uint64_t>(pattern.ProgramSize()));
                to.number = re2::RE2::PartialMatch({view.data(), view.size()}, pattern);
                break;
            }
            case Op::Has:
                to.number = static_cast<std::int64_t>(facts.present >> step.what & 1);
                units += cost::number;
                break;
            case Op::Length:
                to.number = a.text.length;
                units += cost::number;
                break;
            case Op::Lower:
            case Op::Upper: {
                auto view = a.view();
                units += cost::write(view.size());
                auto* out = room(view.size());
                char first = step.op == Op::Lower ? 'A' : 'a';
                for (std::size_t k = 0; k < view.size(); k++) {
                    char c = view[k];
                    out[k] = c >= first && c <= first + 25 ? static_cast<char>(c ^ 0x20) : c;
                }
                to = Value::of(std::string_view(out, view.size()));
                break;
            }
            case Op::Slice: {
                auto view = a.view();
                auto length = static_cast<std::int64_t>(view.size());
                auto from = std::clamp<std::int64_t>(b.number, 0, length);
                auto end = std::clamp<std::int64_t>(r[step.c].number, from, length);
                to = Value::of(
                    view.substr(static_cast<std::size_t>(from), static_cast<std::size_t>(end - from)));
                units += cost::number;
                break;
            }
            case Op::Join: {
                auto between = a.view();
                std::size_t length = 0;
                for (std::uint32_t k = 1; k < step.what; k++) length += r[step.a + k].text.length;
                length += between.size() * (step.what - 2);
                units += cost::write(length);
                auto *out = room(length), *put = out;
                for (std::uint32_t k = 1; k < step.what; k++) {
                    auto part = r[step.a + k].view();
                    if (k > 1 && !between.empty())
                        put = static_cast<char*>(mempcpy(put, between.data(), between.size()));
                    if (!part.empty()) put = static_cast<char*>(mempcpy(put, part.data(), part.size()));
                }
                to = Value::of(std::string_view(out, length));
                break;
            }
            case Op::Hex: {
                units += cost::hex;
                auto* out = room(16);
                auto number = static_cast<std::uint64_t>(a.number);
                for (int k = 15; k >= 0; k--, number >>= 4) out[k] = "0123456789abcdef"[number & 15];
                to = Value::of(std::string_view(out, 16));
                break;
            }
            case Op::Text: {
                units += cost::text;
                auto* out = room(20);
                auto end = std::to_chars(out, out + 20, a.number).ptr;
                to = Value::of(std::string_view(out, static_cast<std::size_t>(end - out)));
                break;
            }
            case Op::Hash: {
                auto view = a.view();
                units += cost::hash(view.size());
                to.number = static_cast<std::int64_t>(XXH3_64bits(view.data(), view.size()) >> 1);
                break;
            }
            default:
                break;
        }
    }
    if (failed) return code.type == Type::Text ? Value::of(std::string_view("")) : Value::of(std::int64_t{0});
    return r[code.result];
}

}  // namespace quillgrade::expression
