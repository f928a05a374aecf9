#include "route/dispatch.hpp"

#include <algorithm>
#include <optional>

namespace quillgrade::route {

namespace {

using expression::Node;
using expression::Op;
using expression::Type;
namespace cost = expression::cost;

constexpr std::size_t fan = 16, patterns_a_slice = 64, most_set_texts = 256;

re2::RE2::Options options() {
    re2::RE2::Options made(re2::RE2::Latin1);
    made.set_log_errors(false);
    made.set_max_mem(4 << 20);
    made.set_never_capture(true);
    return made;
}

bool constant(const expression::Tree& node) { return node->op == Op::Const; }

// A comparison with the key on the left.
struct Compared {
    Op op;
    const Node* key;
    std::int64_t number;
};
std::optional<Compared> compared(const Node& node) {
    if (node.kids.size() != 2 || node.kids[0]->type == Type::Text) return {};
    bool left = constant(node.kids[0]), right = constant(node.kids[1]);
    if (left == right) return {};
    auto op = node.op;
    if (left)
        op = op == Op::Lt   ? Op::Gt
             : op == Op::Le ? Op::Ge
             : op == Op::Gt ? Op::Lt
             : op == Op::Ge ? Op::Le
                            : op;
    return Compared{op, node.kids[left ? 1 : 0].get(), node.kids[left ? 0 : 1]->number};
}

}  // namespace

std::vector<const Node*> conjuncts(const Node& condition) {
    std::vector<const Node*> all, open = {&condition};
    while (!open.empty()) {
        auto* node = open.back();
        open.pop_back();
        if (node->op == Op::And) {
            open.push_back(node->kids[1].get());
            open.push_back(node->kids[0].get());
        } else {
            all.push_back(node);
        }
    }
    return all;
}

namespace {

const Node& key_node(const Node& conjunct) {
    if (conjunct.kids.size() == 2 && constant(conjunct.kids[0])) return *conjunct.kids[1];
    return *conjunct.kids[0];
}

}  // namespace

std::optional<Index::How> Index::how(const Node& node) {
    switch (node.op) {
        case Op::Eq:
            if (constant(node.kids[0]) == constant(node.kids[1]) || node.kids[0]->type == Type::Bool)
                return {};
            return How::Equal;
        case Op::In:
            if (!node.texts.empty())
                return node.texts.size() <= most_set_texts ? std::optional(How::Equal) : std::nullopt;
            return How::Within;
        case Op::Starts:
            return constant(node.kids[1]) ? std::optional(How::Prefix) : std::nullopt;
        case Op::Matches:
            return How::Pattern;
        case Op::Lt:
        case Op::Le:
        case Op::Gt:
        case Op::Ge:
            return compared(node) ? std::optional(How::Within) : std::nullopt;
        default:
            return {};
    }
}

std::string Index::key_of(const Node& conjunct) {
    return std::to_string(static_cast<int>(*how(conjunct))) + expression::written(key_node(conjunct));
}

Index::Index(How how, const Node& conjunct, expression::Program& program) : kind(how) {
    auto& node = key_node(conjunct);
    key = program.add(node);
    of_text = node.type == Type::Text;
    longest = node.longest;
    if (kind == How::Prefix) {
        trie.emplace_back();
        trie_entries.emplace_back();
    }
}

void Index::add(const Node& conjunct, RuleNumber rule, bool exact, std::uint64_t condition) {
    Entry entry{rule, exact, condition};
    switch (kind) {
        case How::Equal:
            if (conjunct.op == Op::In) {
                for (auto& text : conjunct.texts) {
                    texts[text].push_back(rule);
                    text_entries[text].push_back(entry);
                }
            } else {
                auto& value = *conjunct.kids[constant(conjunct.kids[0]) ? 0 : 1];
                if (of_text) {
                    texts[value.text].push_back(rule);
                    text_entries[value.text].push_back(entry);
                } else {
                    numbers[value.number].push_back(rule);
                    number_entries[value.number].push_back(entry);
                }
            }
            break;
        case How::Prefix: {
            std::uint32_t at = 0;
            for (unsigned char c : conjunct.kids[1]->text) {
                auto& kids = trie[at].kids;
                auto kid =
                    std::lower_bound(kids.begin(), kids.end(), std::pair<unsigned char, std::uint32_t>{c, 0});
                if (kid == kids.end() || kid->first != c) {
                    auto made = static_cast<std::uint32_t>(trie.size());
                    kids.insert(kid, {c, made});
                    trie.emplace_back();
                    trie_entries.emplace_back();
                    at = made;
                } else {
                    at = kid->second;
                }
            }
            trie[at].rules.push_back(rule);
            trie_entries[at].push_back(entry);
            break;
        }
        case How::Within:
            if (conjunct.op == Op::In) {
                for (auto& range : conjunct.ranges)
                    spans.push_back({range.from, range.to, rule, exact, condition});
            } else {
                auto told = *compared(conjunct);
                auto from = INT64_MIN, to = INT64_MAX;
                bool none = (told.op == Op::Lt && told.number == INT64_MIN) ||
                            (told.op == Op::Gt && told.number == INT64_MAX);
                if (told.op == Op::Lt && !none) to = told.number - 1;
                if (told.op == Op::Le) to = told.number;
                if (told.op == Op::Gt && !none) from = told.number + 1;
                if (told.op == Op::Ge) from = told.number;
                if (!none) spans.push_back({from, to, rule, exact, condition});
            }
            break;
        case How::Pattern:
            patterns.push_back({conjunct.text, rule, exact, condition});
            break;
    }
}

std::uint64_t Index::cost_of(const std::vector<Entry>& entries) {
    std::uint64_t all = 0;
    for (auto& entry : entries) {
        all += cost::number;
        if (entry.exact) break;
        all += entry.cost;
    }
    return all;
}

bool Index::build() {
    if (done) return true;
    switch (kind) {
        case How::Equal:
            for (auto& [text, entries] : text_entries) worst = std::max(worst, cost_of(entries));
            for (auto& [number, entries] : number_entries) worst = std::max(worst, cost_of(entries));
            worst += cost::hash(longest);
            break;
        case How::Prefix: {
            // Along one path every node's rules are candidates.
            std::vector<std::pair<std::uint32_t, std::uint64_t>> open = {{0, 0}};
            while (!open.empty()) {
                auto [at, so_far] = open.back();
                open.pop_back();
                std::uint64_t here = so_far + cost::number;
                for (auto& entry : trie_entries[at]) here += cost::number + (entry.exact ? 0 : entry.cost);
                worst = std::max(worst, here);
                for (auto& [c, kid] : trie[at].kids) open.emplace_back(kid, here);
            }
            break;
        }
        case How::Within:
            build_spans();
            break;
        case How::Pattern:
            if (!build_patterns()) return false;
            break;
    }
    text_entries = {};
    number_entries = {};
    trie_entries = {};
    return done = true;
}

// A segment tree: each span stands at the few nodes that it covers whole, so nested spans cost no more memory
// than others.
void Index::build_spans() {
    for (auto& span : spans) {
        points.push_back(span.from);
        if (span.to != INT64_MAX) points.push_back(span.to + 1);
    }
    std::sort(points.begin(), points.end());
    points.erase(std::unique(points.begin(), points.end()), points.end());
    std::size_t leaves = 1;
    while (leaves < points.size() + 1) leaves *= 2;
    tree.assign(2 * leaves, {});
    std::vector<std::uint64_t> costs(2 * leaves, 0);
    auto place = [&](std::int64_t value) {
        return static_cast<std::size_t>(std::lower_bound(points.begin(), points.end(), value) -
                                        points.begin()) +
               1;
    };
    for (auto& span : spans) {
        auto from = place(span.from) + leaves;
        auto to = (span.to == INT64_MAX ? points.size() + 1 : place(span.to + 1)) + leaves;
        for (; from < to; from /= 2, to /= 2) {
            auto put = [&](std::size_t node) {
                if (tree[node].empty() || tree[node].back() != span.rule) tree[node].push_back(span.rule);
                costs[node] += cost::number + (span.exact ? 0 : span.cost);
            };
            if (from & 1) put(from++);
            if (to & 1) put(--to);
        }
    }
    for (auto& rules : tree) {
        std::sort(rules.begin(), rules.end());
        rules.erase(std::unique(rules.begin(), rules.end()), rules.end());
    }
    for (std::size_t node = 1; node < 2 * leaves; node++) {
        costs[node] += costs[node / 2] + cost::number;
        worst = std::max(worst, costs[node]);
    }
    worst += cost::in_set(points.size());
    spans = {};
}

// Leaves are single expressions; above them sets of up to 16 that tell whether any below them matches.
bool Index::build_patterns() {
    if (built < patterns.size()) {
        auto until = std::min(patterns.size(), built + patterns_a_slice);
        for (; built < until; built++) {
            PatternNode leaf;
            leaf.one = std::make_unique<re2::RE2>(patterns[built].text, options());
            leaf.rule = patterns[built].rule;
            pattern_nodes.push_back(std::move(leaf));
        }
        if (built < patterns.size()) return false;
        for (std::uint32_t i = 0; i < patterns.size(); i++) level.emplace_back(i, i + 1);
        top_from = 0;
        top_to = static_cast<std::uint32_t>(patterns.size());
        return false;
    }
    if (top_to - top_from > fan) {
        // A level is built some nodes at a time; `level` holds the stretch of patterns below each node of it.
        std::vector<std::pair<std::uint32_t, std::uint32_t>> above;
        auto first = static_cast<std::uint32_t>(pattern_nodes.size());
        for (std::uint32_t i = 0; i < level.size(); i += fan) {
            auto last = std::min<std::uint32_t>(static_cast<std::uint32_t>(level.size()), i + fan);
            PatternNode node;
            node.first_kid = top_from + i;
            node.kids = last - i;
            auto from = level[i].first, to = level[last - 1].second;
            node.any = std::make_unique<re2::RE2::Set>(options(), re2::RE2::UNANCHORED);
            bool good = true;
            for (auto p = from; p < to && good; p++) good = node.any->Add(patterns[p].text, nullptr) >= 0;
            // One that grows too large for a set is always looked below.
            if (!good || to - from > 256 || !node.any->Compile()) node.any.reset();
            pattern_nodes.push_back(std::move(node));
            above.emplace_back(from, to);
        }
        top_from = first;
        top_to = static_cast<std::uint32_t>(pattern_nodes.size());
        level = std::move(above);
        levels++;
        return false;
    }
    bool all_exact = std::all_of(patterns.begin(), patterns.end(), [](auto& one) { return one.exact; });
    bool all_sets = std::all_of(pattern_nodes.begin(), pattern_nodes.end(),
                                [](auto& node) { return node.any || node.one; });
    std::uint64_t nodes = pattern_nodes.size(), conditions = 0, largest = 1;
    for (auto& node : pattern_nodes)
        if (node.one)
            largest = std::max<std::uint64_t>(largest, static_cast<std::uint64_t>(node.one->ProgramSize()));
    if (all_exact && all_sets)  // the first match below a node that matches ends it
        nodes = (top_to - top_from) + fan * static_cast<std::uint64_t>(levels);
    for (auto& pattern : patterns) conditions += cost::number + (pattern.exact ? 0 : pattern.cost);
    if (all_exact) conditions = cost::number;
    worst = nodes * cost::match(longest, largest) + conditions;
    patterns = {};
    level = {};
    return true;
}

std::uint64_t Index::bound() const { return key.cost + worst; }

void Cursor::clear() {
    lists.clear();
    used_descents = 0;
}

void Cursor::add(const Rules& rules) {
    if (!rules.empty()) lists.push_back({rules.data(), rules.data() + rules.size()});
}

void Cursor::add(const Index& index, const expression::Value& value, std::uint64_t& units) {
    switch (index.kind) {
        case Index::How::Equal:
            if (index.of_text) {
                units += cost::hash(value.text.length);
                auto found = index.texts.find(value.view());
                if (found != index.texts.end()) add(found->second);
            } else {
                units += cost::hash(0);
                auto found = index.numbers.find(value.number);
                if (found != index.numbers.end()) add(found->second);
            }
            break;
        case Index::How::Prefix: {
            std::uint32_t at = 0;
            units += cost::number;
            add(index.trie[0].rules);
            for (unsigned char c : value.view()) {
                auto& kids = index.trie[at].kids;
                auto kid =
                    std::lower_bound(kids.begin(), kids.end(), std::pair<unsigned char, std::uint32_t>{c, 0});
                if (kid == kids.end() || kid->first != c) break;
                at = kid->second;
                units += cost::number;
                add(index.trie[at].rules);
            }
            break;
        }
        case Index::How::Within: {
            units += cost::in_set(index.points.size());
            auto stretch = std::upper_bound(index.points.begin(), index.points.end(), value.number) -
                           index.points.begin();
            for (auto node = static_cast<std::size_t>(stretch) + index.tree.size() / 2; node > 0; node /= 2) {
                units += cost::number;
                add(index.tree[node]);
            }
            break;
        }
        case Index::How::Pattern: {
            if (used_descents == descents.size()) descents.emplace_back();
            auto& descent = descents[used_descents++];
            descent.index = &index;
            descent.text = value.view();
            descent.waiting = false;
            descent.open.clear();
            for (auto node = index.top_to; node-- > index.top_from;) descent.open.push_back(node);
            advance(descent, units);
            break;
        }
    }
}

void Cursor::advance(Descent& descent, std::uint64_t& units) {
    descent.waiting = false;
    re2::StringPiece text(descent.text.data(), descent.text.size());
    while (!descent.open.empty()) {
        auto& node = descent.index->pattern_nodes[descent.open.back()];
        descent.open.pop_back();
        if (node.one) {
            units += cost::match(descent.text.size(), static_cast<std::uint64_t>(node.one->ProgramSize()));
            if (!re2::RE2::PartialMatch(text, *node.one)) continue;
            descent.waiting = true;
            descent.rule = node.rule;
            return;
        }
        if (node.any) {
            units += cost::match(descent.text.size(), 0);
            re2::RE2::Set::ErrorInfo error{};
            // Where the set runs out of memory it has not said no.
            if (!node.any->Match(text, nullptr, &error) && error.kind == re2::RE2::Set::kNoError) continue;
        }
        for (auto kid = node.first_kid + node.kids; kid-- > node.first_kid;) descent.open.push_back(kid);
    }
}

bool Cursor::next(RuleNumber& rule, std::uint64_t& units) {
    bool found = false;
    for (auto& list : lists)
        if (list.at != list.end && (!found || *list.at < rule)) {
            rule = *list.at;
            found = true;
        }
    for (std::size_t i = 0; i < used_descents; i++)
        if (descents[i].waiting && (!found || descents[i].rule < rule)) {
            rule = descents[i].rule;
            found = true;
        }
    if (!found) return false;
    units += cost::number;
    for (auto& list : lists)
        if (list.at != list.end && *list.at == rule) list.at++;
    for (std::size_t i = 0; i < used_descents; i++)
        if (descents[i].waiting && descents[i].rule == rule) advance(descents[i], units);
    return true;
}

}  // namespace quillgrade::route
