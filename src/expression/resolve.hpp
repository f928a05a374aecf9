// From what was parsed to what can be compiled: names become fields or what they stand for, calls of defined
// functions their bodies, every part has a type, constants are folded, and what it can cost at most is known.
#pragma once

#include <map>
#include <string>
#include <vector>

#include "expression/parse.hpp"
#include "expression/tree.hpp"

namespace quillgrade::expression {

class Names {
public:
    explicit Names(std::vector<FieldFacts> fields) : fields(std::move(fields)) {}

    // The field's place, from 0. Faults: the name is taken.
    void add_field(const FieldFacts& field) { fields.push_back(field); }
    // Resolves the statement's value and keeps it under its name. A let or a function sees only those before
    // it, so there is no recursion. False, with faults, where it is not taken.
    bool add_let(Statement statement, std::vector<Fault>& faults);
    bool add_def(Statement statement, std::vector<Fault>& faults);
    bool taken(const std::string& name) const;

    // Null, with all faults that were found, where it can't be typed. `wanted` Bad: any type will do.
    Tree resolve(Tree tree, Type wanted, std::vector<Fault>& faults) const;

    const std::vector<FieldFacts>& known() const { return fields; }

private:
    friend class Resolver;
    std::vector<FieldFacts> fields;
    std::map<std::string, Tree> lets;
    std::map<std::string, Statement> functions;
};

}  // namespace quillgrade::expression
