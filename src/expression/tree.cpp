#include "expression/tree.hpp"

#include <algorithm>
#include <array>
#include <cstdio>

namespace quillgrade::expression {

const char* name_of(Type type) {
    switch (type) {
        case Type::Bad:
            break;
        case Type::Bool:
            return "bool";
        case Type::Int:
            return "int";
        case Type::Duration:
            return "duration";
        case Type::Size:
            return "size";
        case Type::Text:
            return "text";
        case Type::Address:
            return "address";
    }
    return "nothing";
}

Tree copy(const Node& node) {
    auto made = std::make_unique<Node>();
    made->op = node.op;
    made->type = node.type;
    made->place = node.place;
    made->number = node.number;
    made->text = node.text;
    made->ranges = node.ranges;
    made->texts = node.texts;
    made->longest = node.longest;
    made->cost = node.cost;
    for (auto& kid : node.kids) made->kids.push_back(copy(*kid));
    return made;
}

bool same(const Node& a, const Node& b) {
    return a.op == b.op && a.type == b.type && a.number == b.number && a.text == b.text &&
           a.ranges == b.ranges && a.texts == b.texts &&
           std::equal(a.kids.begin(), a.kids.end(), b.kids.begin(), b.kids.end(),
                      [](auto& one, auto& other) { return same(*one, *other); });
}

namespace {

std::string quoted(const std::string& text) {
    std::string out = "\"";
    for (unsigned char c : text) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += static_cast<char>(c);
        } else if (c < 0x20 || c > 0x7e) {
            std::array<char, 8> hex;
            std::snprintf(hex.data(), sizeof hex, "\\x%02x", c);
            out += hex.data();
        } else {
            out += static_cast<char>(c);
        }
    }
    return out + "\"";
}

std::string literal(Type type, std::int64_t number, const std::string& text) {
    switch (type) {
        case Type::Bool:
            return number ? "true" : "false";
        case Type::Text:
            return quoted(text);
        case Type::Duration:
            return std::to_string(number) + "us";
        case Type::Size:
            return std::to_string(number) + "b";
        case Type::Address: {
            std::string out;
            for (int shift : {24, 16, 8, 0})
                out += std::to_string(number >> shift & 255) + (shift ? "." : "");
            return out;
        }
        default:
            return std::to_string(number);
    }
}

const char* sign(Op op) {
    switch (op) {
        case Op::And:
            return " and ";
        case Op::Or:
            return " or ";
        case Op::Eq:
            return " == ";
        case Op::Ne:
            return " != ";
        case Op::Lt:
            return " < ";
        case Op::Le:
            return " <= ";
        case Op::Gt:
            return " > ";
        case Op::Ge:
            return " >= ";
        case Op::Add:
            return " + ";
        case Op::Sub:
            return " - ";
        case Op::Mul:
            return " * ";
        case Op::Div:
            return " / ";
        default:
            return nullptr;
    }
}

const char* function(Op op) {
    switch (op) {
        case Op::Starts:
            return "starts_with";
        case Op::Ends:
            return "ends_with";
        case Op::Contains:
            return "contains";
        case Op::Matches:
            return "matches";
        case Op::Has:
            return "has";
        case Op::Length:
            return "length";
        case Op::Lower:
            return "lower";
        case Op::Upper:
            return "upper";
        case Op::Slice:
            return "slice";
        case Op::Join:
            return "join";
        case Op::Hex:
            return "hex";
        case Op::Text:
            return "text";
        case Op::Hash:
            return "hash";
        default:
            return "";
    }
}

}  // namespace

std::string written(const Node& node) {
    if (auto* between = sign(node.op))
        return "(" + written(*node.kids[0]) + between + written(*node.kids[1]) + ")";
    switch (node.op) {
        case Op::Const:
            return literal(node.type, node.number, node.text);
        case Op::Name:
        case Op::Field:
            return node.text;
        case Op::Not:
            return "not " + written(*node.kids[0]);
        case Op::Neg:
            return "-" + written(*node.kids[0]);
        case Op::In: {
            std::string out;
            auto type = node.kids[0]->type;
            for (auto& text : node.texts) out += (out.empty() ? "" : ", ") + quoted(text);
            for (auto& range : node.ranges) {
                out += (out.empty() ? "" : ", ") + literal(type, range.from, "");
                if (range.to != range.from) out += ".." + literal(type, range.to, "");
            }
            return written(*node.kids[0]) + " in {" + out + "}";
        }
        default:
            break;
    }
    std::string out = (node.op == Op::Call ? node.text : function(node.op)) + "(";
    for (auto& kid : node.kids) out += (&kid == &node.kids[0] ? "" : ", ") + written(*kid);
    if (node.op == Op::Matches) out += ", " + quoted(node.text);
    return out + ")";
}

}  // namespace quillgrade::expression
