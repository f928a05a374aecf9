#include "route/rules.hpp"

#include <xxhash.h>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>

namespace quillgrade::route {

namespace {

using expression::Facts;
using expression::Type;
using expression::Value;

// The places of a lookup's fields; the named ones follow.
enum At {
    class_at,
    object_at,
    part_at,
    group_at,
    size_at,
    remaining_at,
    retry_at,
    client_at,
    time_at,
    first_named
};
enum BoxAt { box_id_at, box_cell_at, box_kind_at, box_weight_at };
constexpr Micros day = 86'400'000'000;
constexpr double index_costs = 5;  // units, to look into one whatever it finds

std::uint32_t longest_of(const std::vector<std::string>& names) {
    std::size_t most = 1;
    for (auto& name : names) most = std::max(most, name.size());
    return static_cast<std::uint32_t>(most);
}

// As strict as the wire's, or stricter: nothing may be repeated that was not allowed to be.
bool as_strict(const TrafficTypeSettings& told, const TrafficTypeSettings& wire) {
    if (told.write != wire.write || told.idempotency < wire.idempotency) return false;
    if (wire.idempotency != Idempotency::Keyed || told.idempotency == Idempotency::NonIdempotent) return true;
    return told.dedup_scope >= wire.dedup_scope && told.dedup_window <= wire.dedup_window;
}

}  // namespace

std::vector<expression::FieldFacts> lookup_fields(const Site& site) {
    return {{"class", Type::Text, longest_of(site.traffic), 1},
            {"object", Type::Text, 16, 4},
            {"part", Type::Int, 0, 1},
            {"group", Type::Int, 0, 1},
            {"size", Type::Size, 0, 1},
            {"remaining", Type::Duration, 0, 1},
            {"retry", Type::Bool, 0, 1},
            {"client", Type::Address, 0, 1},
            {"time", Type::Duration, 0, 1}};
}

RuleSet::Runner::Runner(const RuleSet& set) : machine(set.program) { facts.values.resize(set.fields.size()); }

void RuleSet::gather(const Told& told, Runner& runner) const {
    auto& values = runner.facts.values;
    values[class_at] = Value::of(std::string_view(traffic[static_cast<std::size_t>(told.traffic)]));
    auto object = told.object;
    for (int i = 15; i >= 0; i--, object >>= 4)
        runner.object[static_cast<std::size_t>(i)] = "0123456789abcdef"[object & 15];
    values[object_at] = Value::of(std::string_view(runner.object.data(), runner.object.size()));
    values[part_at] = Value::of(std::int64_t{told.part});
    values[group_at] = Value::of(std::int64_t{told.group});
    values[size_at] = Value::of(told.bytes);
    values[remaining_at] = Value::of(std::int64_t{told.remaining});
    values[retry_at] = Value::of(std::int64_t{told.retry});
    values[client_at] = Value::of(std::int64_t{told.client});
    values[time_at] = Value::of(std::int64_t{told.now % day});
    runner.facts.present = (1U << first_named) - 1;
    for (std::size_t i = first_named; i < fields.size(); i++) {
        values[i] = Value::of(std::string_view(""));
        for (auto& [name, value] : told.named)
            // One that is longer than was declared counts as absent: no cost may depend on what a client
            // sends.
            if (name == fields[i].name && value.size() <= fields[i].longest) {
                values[i] = Value::of(value);
                runner.facts.present |= std::uint64_t{1} << i;
            }
    }
    runner.machine.units = 0;
    runner.units = 0;
    runner.failed = false;
}

// The ordinary path: what may match, in order, until one does.
Decision RuleSet::decide(const Told& told, Runner& runner) const {
    gather(told, runner);
    auto& cursor = runner.cursor;
    cursor.clear();
    cursor.add(always);
    for (auto& index : indexes) {
        auto value = runner.machine.run(index.key, runner.facts);
        // A key that overflows fails every condition that it stands in.
        if (runner.machine.failed)
            runner.failed = true;
        else
            cursor.add(index, index.key.type == Type::Text ? Value::of(value.view()) : value, runner.units);
    }
    for (RuleNumber number = 0; cursor.next(number, runner.units);) {
        auto& rule = rules[number];
        bool holds = rule.exact || !rule.condition || runner.machine.condition(rule.code, runner.facts);
        runner.failed |= runner.machine.failed;
        if (holds) return make(number, told, runner);
    }
    runner.units += runner.machine.units;
    return {};
}

Decision RuleSet::decide_in_turn(const Told& told, Runner& runner) const {
    gather(told, runner);
    for (RuleNumber number = 0; number < rules.size(); number++) {
        auto& rule = rules[number];
        if (!rule.condition || runner.machine.condition(rule.code, runner.facts))
            return make(number, told, runner);
    }
    runner.units += runner.machine.units;
    return {};
}

Decision RuleSet::make(RuleNumber number, const Told& told, Runner& runner) const {
    auto& rule = rules[number];
    Decision made;
    made.rule = static_cast<int>(number);
    if (rule.traffic >= 0) {
        auto place = static_cast<std::size_t>(rule.traffic);
        if (as_strict(types[place], types[static_cast<std::size_t>(told.traffic)]))
            made.traffic = rule.traffic;
        else
            made.looser = true;
    }
    if (rule.key) {
        auto key = runner.machine.run(*rule.key, runner.facts).view();
        runner.failed |= runner.machine.failed;
        // An object of a key is one of its own, also where the key is the object's own text.
        made.key = XXH3_64bits_withSeed(key.data(), key.size(), 0x71756b65U);
    }
    if (!rule.pools.empty()) made.pool = pool_for(rule, made.key.value_or(told.object));
    made.limit = rule.limit;
    made.transmissions = rule.transmissions;
    made.no_copies = rule.no_copies;
    runner.units += runner.machine.units;
    return made;
}

// Weighted rendezvous hashing: a pool's draw depends on the key and its own name alone, so a change of one
// weight moves only keys to or from that pool.
int RuleSet::pool_for(const Rule& rule, std::uint64_t key) const {
    if (rule.pools.size() == 1) return rule.pools[0].first;
    int best = -1;
    double least = 0;
    for (auto& [pool, weight] : rule.pools) {
        if (weight == 0) continue;
        auto& name = pools_[static_cast<std::size_t>(pool)].name;
        auto draw = static_cast<double>(XXH3_64bits_withSeed(name.data(), name.size(), key) >> 11) * 0x1p-53 +
                    0x1p-54;
        double cost = -std::log(draw) / static_cast<double>(weight);
        if (best < 0 || cost < least) {
            best = pool;
            least = cost;
        }
    }
    return best;
}

std::string RuleSet::why_not(RuleNumber number, const Told& told, Runner& runner) const {
    auto& rule = rules[number];
    if (!rule.condition) return "it always matches";
    gather(told, runner);
    for (auto* part : conjuncts(*rule.condition)) {
        expression::Program alone;  // nobody waits for this one
        auto code = alone.add(*part);
        expression::Machine machine(alone);
        bool is = machine.condition(code, runner.facts);
        if (machine.failed) return "an amount overflows in " + expression::written(*part);
        if (!is) return "not " + expression::written(*part);
    }
    return "it matches, but an earlier rule did before";
}

std::vector<expression::FieldFacts> RuleSet::named() const {
    return {fields.begin() + first_named, fields.end()};
}

std::vector<std::vector<CacheId>> RuleSet::members(const std::vector<feed::Endpoint>& boxes,
                                                   const Site& site) const {
    std::vector<std::vector<CacheId>> own(pools_.size()), ready(pools_.size());
    expression::Machine machine(box_program);
    Facts facts;
    facts.values.resize(4);
    facts.present = 15;
    for (auto& box : boxes) {
        std::array<char, 16> id;
        std::snprintf(id.data(), sizeof id, "s-%08x", static_cast<unsigned>(box.entry.id));
        facts.values[box_id_at] = Value::of(std::string_view(id.data(), 10));
        facts.values[box_cell_at] = Value::of(std::int64_t{box.entry.cell});
        facts.values[box_kind_at] =
            Value::of(std::string_view(site.kinds[static_cast<std::size_t>(box.entry.kind)]));
        facts.values[box_weight_at] = Value::of(std::llround(box.entry.weight * 1000));
        for (std::size_t pool = 0; pool < pools_.size(); pool++)
            if (machine.condition(pools_[pool].members, facts)) {
                own[pool].push_back(box.entry.id);
                if (box.entry.state == EndpointState::Ready) ready[pool].push_back(box.entry.id);
            }
    }
    std::vector<std::vector<CacheId>> all(pools_.size());
    for (std::size_t pool = 0; pool < pools_.size(); pool++) {
        // `else` names only pools before it, so this ends.
        auto at = static_cast<int>(pool);
        while (at >= 0 && ready[static_cast<std::size_t>(at)].empty())
            at = pools_[static_cast<std::size_t>(at)].otherwise;
        if (at < 0) continue;
        all[pool] = own[static_cast<std::size_t>(at)];
        std::sort(all[pool].begin(), all[pool].end());
    }
    return all;
}

namespace {

// The literals by which a conjunct is found, each with its key.
std::vector<std::string> literals_of(const expression::Node& part) {
    using expression::Op;
    auto how = Index::how(part);
    if (!how || (*how != Index::How::Equal && *how != Index::How::Prefix)) return {};
    auto key = Index::key_of(part) + "\n";
    std::vector<std::string> all;
    if (part.op == Op::In)
        for (auto& text : part.texts) all.push_back(key + text);
    else
        for (auto& kid : part.kids)
            if (kid->op == Op::Const) all.push_back(key + expression::written(*kid));
    return all;
}

}  // namespace

// ---- loading

Loader::Loader(std::string told, const Site& site, std::uint64_t budget)
    : text(std::move(told)),
      site(site),
      budget(budget),
      set(new RuleSet),
      names(lookup_fields(site)),
      box_names({{"box.id", Type::Text, 10, 1},
                 {"box.cell", Type::Int, 0, 1},
                 {"box.kind", Type::Text, longest_of(site.kinds), 1},
                 {"box.weight", Type::Int, 0, 1}}) {
    set->types = site.types;
    set->traffic = site.traffic;
    pieces = expression::cut(text, found);
}

bool Loader::step(int statements) {
    for (; statements > 0 && !done; statements--) {
        if (next_piece < pieces.size()) {
            if (auto statement = expression::parse(pieces[next_piece++], found)) take(std::move(*statement));
        } else if (!found.empty()) {
            done = true;
        } else if (next_rule < set->rules.size()) {
            index(static_cast<RuleNumber>(next_rule++));
        } else if (next_cover < set->rules.size()) {
            find_covered(static_cast<RuleNumber>(next_cover++));
        } else if (next_index < set->indexes.size()) {
            if (set->indexes[next_index].build()) next_index++;
        } else {
            finish();
            done = true;
        }
    }
    return done;
}

void Loader::take(expression::Statement statement) {
    using What = expression::Statement::What;
    switch (statement.what) {
        case What::Field: {
            if (names.taken(statement.name))
                return fault(statement.place, "the name '" + statement.name + "' is taken");
            if (statement.number < 1 || statement.number > static_cast<std::int64_t>(longest_named))
                return fault(statement.place,
                             "a field of 1 to 8192 bytes is expected: without a bound no cost is known");
            if (names.known().size() >= first_named + most_named)
                return fault(statement.place, "more than 16 fields");
            if (!set->rules.empty()) return fault(statement.place, "fields stand before the rules");
            names.add_field({statement.name, Type::Text, static_cast<std::uint32_t>(statement.number), 1});
            break;
        }
        case What::Let:
            names.add_let(std::move(statement), found);
            break;
        case What::Def:
            names.add_def(std::move(statement), found);
            break;
        case What::Pool:
            take_pool(std::move(statement));
            break;
        case What::Rule:
            take_rule(std::move(statement));
            break;
    }
}

void Loader::take_pool(expression::Statement statement) {
    auto named = [&](const std::string& name) {
        for (std::size_t i = 0; i < set->pools_.size(); i++)
            if (set->pools_[i].name == name) return static_cast<int>(i);
        return -1;
    };
    if (named(statement.name) >= 0)
        return fault(statement.place, "the pool '" + statement.name + "' is there already");
    if (set->pools_.size() >= 256) return fault(statement.place, "more than 256 pools");
    Pool pool;
    pool.name = statement.name;
    if (!statement.otherwise.empty() && (pool.otherwise = named(statement.otherwise)) < 0)
        return fault(statement.place, "no pool '" + statement.otherwise + "' stands before this one");
    auto tree = box_names.resolve(std::move(statement.value), Type::Bool, found);
    if (!tree) return;
    pool.members = set->box_program.add(*tree);
    set->pools_.push_back(std::move(pool));
}

void Loader::take_rule(expression::Statement statement) {
    using What = expression::Action::What;
    Rule rule;
    rule.name = statement.name;
    rule.place = statement.place;
    for (auto& known : {What::Class, What::Key, What::Limit, What::Transmissions, What::Copies})
        if (std::count_if(statement.actions.begin(), statement.actions.end(),
                          [&](auto& action) { return action.what == known; }) > 1)
            fault(statement.place, "rule '" + rule.name + "' says the same thing twice");
    for (auto& action : statement.actions) {
        switch (action.what) {
            case What::Class: {
                auto type = std::find(site.traffic.begin(), site.traffic.end(), action.name);
                if (type == site.traffic.end()) {
                    std::string all;
                    for (auto& name : site.traffic) all += (all.empty() ? "" : ", ") + name;
                    fault(action.place,
                          "no traffic type \"" + action.name.substr(0, 60) + "\" here; there are " + all);
                }
                rule.traffic = static_cast<int>(type - site.traffic.begin());
                break;
            }
            case What::Key:
                if (auto tree = names.resolve(std::move(action.value), Type::Text, found))
                    rule.key = set->program.add(*tree);
                break;
            case What::Pool: {
                int pool = -1;
                for (std::size_t i = 0; i < set->pools_.size(); i++)
                    if (set->pools_[i].name == action.name) pool = static_cast<int>(i);
                if (pool < 0) fault(action.place, "no pool '" + action.name + "' stands before this rule");
                rule.pools.emplace_back(pool, action.number);
                break;
            }
            case What::Limit:
                rule.limit = action.number;
                break;
            case What::Transmissions:
                if (action.number > site.transmissions)
                    fault(action.place, std::to_string(action.number) +
                                            " transmissions, where the settings allow " +
                                            std::to_string(site.transmissions));
                rule.transmissions = static_cast<int>(action.number);
                break;
            case What::Copies:
                if (action.number) fault(action.place, "a rule can only turn copies off");
                rule.no_copies = true;
                break;
        }
    }
    if (rule.pools.size() > 1 &&
        std::all_of(rule.pools.begin(), rule.pools.end(), [](auto& p) { return p.second == 0; }))
        fault(statement.place, "all weights of rule '" + rule.name + "' are 0");
    if (statement.value) {
        rule.condition = names.resolve(std::move(statement.value), Type::Bool, found);
        if (!rule.condition) return;
        if (rule.condition->op == expression::Op::Const && rule.condition->number != 0)
            rule.condition.reset();
        if (rule.condition && rule.condition->op == expression::Op::Const) {
            warned.push_back({rule.place, "rule '" + rule.name + "' never matches: its condition is false"});
            return;
        }
    }
    if (rule.condition) {
        if (rule.condition->cost > budget)
            return fault(rule.place, "rule '" + rule.name + "' costs up to " +
                                         std::to_string(rule.condition->cost) + " units, more than the " +
                                         std::to_string(budget) +
                                         " of a lookup; most of it: " + costliest(*rule.condition));
        rule.code = set->program.add(*rule.condition);
        for (auto* part : conjuncts(*rule.condition))
            if (Index::how(*part)) {
                keys[Index::key_of(*part)]++;
                for (auto& literal : literals_of(*part)) literals[literal]++;
            }
    }
    set->rules.push_back(std::move(rule));
}

// An index is looked into at every lookup, a price that the rules which share it divide; a rule's condition
// is paid as often as the index finds the rule.
double Loader::price(const expression::Node& part, std::uint64_t condition) const {
    using expression::Op;
    auto how = Index::how(part);
    if (!how) return INFINITY;
    auto sharing = static_cast<double>(keys.at(Index::key_of(part)));
    double found = 0;
    if (*how == Index::How::Within)
        found = part.op == Op::In ? 2 : sharing / 2;  // a comparison holds of half of all values
    else if (*how == Index::How::Pattern)
        found = 1;
    for (auto& literal : literals_of(part))
        found = std::max(found, static_cast<double>(literals.at(literal)));
    double look = *how == Index::How::Pattern ? static_cast<double>(part.cost) : index_costs;
    return look / sharing + static_cast<double>(condition) * std::min(1.0, found / sharing);
}

void Loader::index(RuleNumber number) {
    auto& rule = set->rules[number];
    if (!rule.condition) {
        set->always.push_back(number);
        return;
    }
    auto parts = conjuncts(*rule.condition);
    const expression::Node* best = nullptr;
    auto least = static_cast<double>(rule.condition->cost) + 1;  // to try it always
    for (auto* part : parts)
        if (auto found = price(*part, rule.condition->cost); found < least) {
            least = found;
            best = part;
        }
    if (!best) {
        set->always.push_back(number);
        return;
    }
    auto [at, fresh] = index_by_key.try_emplace(Index::key_of(*best), set->indexes.size());
    if (fresh) set->indexes.emplace_back(*Index::how(*best), *best, set->program);
    rule.exact = parts.size() == 1;
    set->indexes[at->second].add(*best, number, rule.exact, rule.condition->cost);
}

// A rule is covered by an earlier one whose conjuncts it all has, or has narrower: an equality lies within a
// set or a prefix. Said once, for operators; the order stays what it is.
void Loader::find_covered(RuleNumber number) {
    using expression::Op;
    auto& rule = set->rules[number];
    auto covered = [&](RuleNumber by) {
        auto& earlier = set->rules[by];
        warned.push_back({rule.place, "rule '" + rule.name + "' never matches: rule '" + earlier.name +
                                          "' of line " + std::to_string(earlier.place.line) + " covers it"});
    };
    if (always_first) return covered(*always_first);
    if (!rule.condition) {
        always_first = number;
        return;
    }
    std::vector<std::string> own, all;
    for (auto* part : conjuncts(*rule.condition)) {
        own.push_back(expression::written(*part));
        bool equal =
            part->op == Op::Eq && part->kids[0]->type == Type::Text && part->kids[1]->op == Op::Const;
        if (!equal) continue;
        auto key = expression::written(*part->kids[0]);
        auto& literal = part->kids[1]->text;
        auto in_set = key;
        in_set.append("\n").append(literal);
        if (auto found = in_sets.find(in_set); found != in_sets.end())
            all.insert(all.end(), found->second.begin(), found->second.end());
        if (auto found = prefixes.find(key); found != prefixes.end() && found->second.size() <= 64)
            for (auto& [prefix, conjunct] : found->second)
                if (literal.starts_with(prefix)) all.push_back(conjunct);
    }
    all.insert(all.end(), own.begin(), own.end());
    std::sort(all.begin(), all.end());
    all.erase(std::unique(all.begin(), all.end()), all.end());
    if (all.size() <= 8)
        for (unsigned mask = 1; mask < 1U << all.size(); mask++) {
            std::string key;
            for (std::size_t i = 0; i < all.size(); i++)
                if (mask >> i & 1) key += all[i] + "\n";
            if (auto found = conditions.find(key); found != conditions.end()) return covered(found->second);
        }
    std::sort(own.begin(), own.end());
    own.erase(std::unique(own.begin(), own.end()), own.end());
    std::string key;
    for (auto& one : own) key += one + "\n";
    conditions.try_emplace(std::move(key), number);
    for (auto* part : conjuncts(*rule.condition)) {
        if (part->op == Op::In)
            for (auto& literal : part->texts) {
                auto& known = in_sets[expression::written(*part->kids[0]) + "\n" + literal];
                if (known.size() < 8) known.push_back(expression::written(*part));
            }
        if (part->op == Op::Starts && part->kids[1]->op == Op::Const)
            prefixes[expression::written(*part->kids[0])].emplace_back(part->kids[1]->text,
                                                                       expression::written(*part));
    }
}

void Loader::finish() {
    set->fields = names.known();
    std::uint64_t all = 0, keys = 0;
    std::string most;
    std::uint64_t most_cost = 0;
    auto consider = [&](std::uint64_t cost, const std::string& what) {
        all += cost;
        if (cost > most_cost) {
            most_cost = cost;
            most = what;
        }
    };
    std::uint64_t others = 0;
    for (auto number : set->always) others += expression::cost::number + set->rules[number].code.cost;
    consider(others, std::to_string(set->always.size()) + " rules that can't be looked up by a literal");
    for (auto& [key, at] : index_by_key)
        consider(set->indexes[at].bound(), "the rules that look at " + key.substr(1, 80));
    for (auto& rule : set->rules)
        if (rule.key) keys = std::max(keys, rule.key->cost);
    consider(keys, "the costliest key");
    set->bound_ = all;
    if (all > budget)
        fault({1, 1}, "the rules together cost up to " + std::to_string(all) + " units a lookup, more than " +
                          std::to_string(budget) + "; most of it, " + std::to_string(most_cost) + ": " +
                          most);
}

std::shared_ptr<const RuleSet> Loader::result() const { return done && found.empty() ? set : nullptr; }

std::string costliest(const expression::Node& node) {
    // The largest part that is not just a sum of smaller ones.
    const expression::Node* most = &node;
    std::uint64_t most_own = 0;
    std::vector<const expression::Node*> open = {&node};
    while (!open.empty()) {
        auto* one = open.back();
        open.pop_back();
        std::uint64_t kids = 0;
        for (auto& kid : one->kids) {
            kids += kid->cost;
            open.push_back(kid.get());
        }
        if (one->cost - kids > most_own) {
            most_own = one->cost - kids;
            most = one;
        }
    }
    return expression::written(*most).substr(0, 100) + " (" + std::to_string(most_own) + ")";
}

std::string Loader::report(std::size_t most) const {
    std::string all;
    std::size_t told = 0;
    for (auto& fault : found) {
        if (told++ >= most) {
            all += "and " + std::to_string(found.size() - most) + " more faults\n";
            break;
        }
        all += "line " + std::to_string(fault.place.line) + ", column " + std::to_string(fault.place.column) +
               ": " + fault.what + "\n";
        std::size_t begin = 0;
        for (std::uint32_t line = 1; line < fault.place.line && begin < text.size(); line++) {
            auto end = text.find('\n', begin);
            begin = end == std::string::npos ? text.size() : end + 1;
        }
        auto line =
            std::string_view(text).substr(begin, std::min(text.find('\n', begin), text.size()) - begin);
        if (line.size() > 200) continue;
        std::string shown = "    ", caret = "    ";
        for (std::size_t i = 0; i < line.size(); i++) {
            auto c = static_cast<unsigned char>(line[i]);
            shown += c == '\t' ? ' ' : c < 0x20 || c > 0x7e ? '?' : line[i];
            if (i + 1 < fault.place.column) caret += ' ';
        }
        all.append(shown).append("\n").append(caret).append("^\n");
    }
    return all;
}

}  // namespace quillgrade::route
