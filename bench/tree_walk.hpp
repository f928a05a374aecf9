// The baseline of the matching benchmark: conditions walked as trees at each lookup, with texts made anew.
// Never linked into the router.
#pragma once

#include <re2/re2.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>

#include "expression/program.hpp"

namespace quillgrade::bench {

class TreeWalk {
public:
    bool condition(const expression::Node& node, const expression::Facts& facts) {
        return number(node, facts) != 0;
    }

private:
    using Node = expression::Node;
    using Op = expression::Op;
    std::int64_t number(const Node& node, const expression::Facts& facts) {
        auto kid = [&](std::size_t i) { return number(*node.kids[i], facts); };
        bool texts = !node.kids.empty() && node.kids[0]->type == expression::Type::Text;
        auto order = [&] {
            if (texts) return text(*node.kids[0], facts).compare(text(*node.kids[1], facts));
            auto a = kid(0), b = kid(1);
            return a < b ? -1 : static_cast<int>(a > b);
        };
        switch (node.op) {
            case Op::Const:
                return node.number;
            case Op::Field:
                return facts.values[static_cast<std::size_t>(node.number)].number;
            case Op::Has:
                return static_cast<std::int64_t>(facts.present >> node.kids[0]->number & 1);
            case Op::Not:
                return !kid(0);
            case Op::And:
                return kid(0) && kid(1);
            case Op::Or:
                return kid(0) || kid(1);
            case Op::Eq:
                return order() == 0;
            case Op::Ne:
                return order() != 0;
            case Op::Lt:
                return order() < 0;
            case Op::Le:
                return order() <= 0;
            case Op::Gt:
                return order() > 0;
            case Op::Ge:
                return order() >= 0;
            case Op::In:
                if (texts)
                    return std::binary_search(node.texts.begin(), node.texts.end(),
                                              text(*node.kids[0], facts));
                return std::any_of(node.ranges.begin(), node.ranges.end(), [value = kid(0)](auto& range) {
                    return value >= range.from && value <= range.to;
                });
            case Op::Neg:
                return -kid(0);
            case Op::Add:
                return kid(0) + kid(1);
            case Op::Sub:
                return kid(0) - kid(1);
            case Op::Mul:
                return kid(0) * kid(1);
            case Op::Div:
                return kid(1) ? kid(0) / kid(1) : 0;
            case Op::Starts:
                return text(*node.kids[0], facts).starts_with(text(*node.kids[1], facts));
            case Op::Ends:
                return text(*node.kids[0], facts).ends_with(text(*node.kids[1], facts));
            case Op::Contains:
                return text(*node.kids[0], facts).find(text(*node.kids[1], facts)) != std::string::npos;
            case Op::Matches: {
                auto& pattern = patterns[&node];
                if (!pattern) pattern = std::make_unique<re2::RE2>(node.text);  // compiled once all the same
                return re2::RE2::PartialMatch(text(*node.kids[0], facts), *pattern);
            }
            case Op::Length:
                return static_cast<std::int64_t>(text(*node.kids[0], facts).size());
            default:
                return 0;
        }
    }
    std::string text(const Node& node, const expression::Facts& facts) {
        switch (node.op) {
            case Op::Const:
                return node.text;
            case Op::Field:
                return std::string(facts.values[static_cast<std::size_t>(node.number)].view());
            case Op::Lower: {
                auto made = text(*node.kids[0], facts);
                for (auto& c : made)
                    if (c >= 'A' && c <= 'Z') c = static_cast<char>(c + 32);
                return made;
            }
            case Op::Slice: {
                auto made = text(*node.kids[0], facts);
                auto from = std::clamp<std::int64_t>(number(*node.kids[1], facts), 0,
                                                     static_cast<std::int64_t>(made.size()));
                auto to = std::clamp<std::int64_t>(number(*node.kids[2], facts), from,
                                                   static_cast<std::int64_t>(made.size()));
                return made.substr(static_cast<std::size_t>(from), static_cast<std::size_t>(to - from));
            }
            case Op::Join: {
                std::string made, between = text(*node.kids[0], facts);
                for (std::size_t i = 1; i < node.kids.size(); i++)
                    made += (i > 1 ? between : "") + text(*node.kids[i], facts);
                return made;
            }
            default:
                return "";
        }
    }
    std::map<const Node*, std::unique_ptr<re2::RE2>> patterns;
};

}  // namespace quillgrade::bench
