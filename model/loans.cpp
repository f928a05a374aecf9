// Explores the leases of shared/quotas.hpp, the code that ships, in every order within the bounds below:
// three routers, one server that may get one lookup a window, one owner. The network delivers in any order,
// loses, and doubles; a router stops between its look at a right and the sending, and is started again under
// its name.
//
//   quillgrade_loans [--ticks N] [--faults N] [--states N]
//
// Breadth first, so what it prints of a broken bound is a shortest trace. The last line is one JSON object.
// Exit code 0 where the bound holds in all states reached, each planted bug is found, and each witness is
// seen.
#include <fmt/format.h>
#include <xxhash.h>

#include <CLI/CLI.hpp>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include "shared/flaw.hpp"
#include "shared/quotas.hpp"

using namespace quillgrade;
using namespace quillgrade::shared;

namespace {

constexpr Micros ms = 1000, window = 400 * ms, lease = 400 * ms, tick = 200 * ms, begin = 1'000'000'000;
constexpr double work = 100'000;
constexpr int routers = 3;
constexpr std::size_t most_flying = 4;
const CacheId server = [] {  // one that router 0 owns
    QuotaOptions terms;
    terms.routers = routers;
    terms.grantors = 1;
    CacheId id = 1;
    while (Quotas(terms).grantors_of(id, 1)[0] != 0) id++;
    return id;
}();

struct Flying {
    RouterIndex from, to;
    Generation life;  // of who asks, or was asked by
    std::variant<Ask, Grant> what;
};

struct World {
    std::vector<Quotas> all;
    std::vector<Generation> lives = std::vector<Generation>(routers, 1);
    std::vector<Micros> pending =
        std::vector<Micros>(routers, 0);  // until when it may be written; 0: nothing waits
    std::vector<Flying> flying;
    std::vector<Micros> sent;  // what the server got
    Micros now = begin;
    int faults = 0, ticks = 0;
};

// What was seen to happen at all: a bound that holds because nothing is ever lent says nothing.
struct Witness {
    bool lent = false, used_loan = false, late_write = false, renewed = false, doubled = false,
         restarted_owner = false, own_used = false;
    bool all() const {
        return lent && used_loan && late_write && renewed && doubled && restarted_owner && own_used;
    }
};

Quotas fresh(RouterIndex self, Generation life, Micros now, bool long_there) {
    QuotaOptions terms;
    terms.self = self;
    terms.routers = routers;
    terms.grantors = 1;
    terms.window = window;
    terms.lease_duration = lease;
    terms.seed = static_cast<std::uint32_t>(self * 100 + static_cast<int>(life));
    terms.now = now;
    if (long_there) terms.now -= 100 * Quotas(terms).restart_wait();
    Quotas made(terms);
    made.set_cold_servers({{server, 1, work}}, now);
    return made;
}

class Explorer {
public:
    struct Bounds {
        int ticks = 8, faults = 2;
        std::size_t states = 400'000;
    };
    explicit Explorer(const Bounds& bounds) : bounds(bounds) {}

    // The shortest trace to a broken bound, empty where none was found.
    std::vector<std::string> run() {
        World first;
        for (RouterIndex i = 0; i < routers; i++) first.all.push_back(fresh(i, 1, begin, true));
        auto at = hash(first);
        parents.emplace(at, std::pair<std::uint64_t, std::string>{0, ""});
        std::deque<std::pair<std::uint64_t, World>> frontier;
        frontier.emplace_back(at, std::move(first));
        while (!frontier.empty() && parents.size() < bounds.states) {
            auto [from, world] = std::move(frontier.front());
            frontier.pop_front();
            for (auto& [name, next] : steps(world)) {
                transitions++;
                auto key = hash(next);
                bool known = !parents.emplace(key, std::pair{from, name}).second;
                if (broken(next)) {
                    std::vector<std::string> trace{name};
                    for (auto back = from; back != at;) {
                        auto& [parent, action] = parents.at(back);
                        trace.insert(trace.begin(), action);
                        back = parent;
                    }
                    return trace;
                }
                if (!known) frontier.emplace_back(key, std::move(next));
            }
        }
        complete = frontier.empty();
        return {};
    }

    std::size_t states() const { return parents.size(); }
    std::size_t transitions = 0;
    bool complete = false;
    Witness seen;

private:
    static bool broken(const World& world) {
        if (world.sent.empty()) return false;
        auto last = world.sent.back();
        return std::count_if(world.sent.begin(), world.sent.end(),
                             [&](auto at) { return last - at < window; }) > 1;
    }

    static std::uint64_t hash(const World& world) {
        std::vector<std::int64_t> words;
        std::map<std::uint32_t, std::int64_t> numbers;
        auto renumber = [&](std::uint32_t number) {
            return numbers.emplace(number, static_cast<std::int64_t>(numbers.size()) + 1).first->second;
        };
        for (RouterIndex i = 0; i < routers; i++) {
            auto place = static_cast<std::size_t>(i);
            world.all[place].fingerprint(words, world.now, renumber);
            words.insert(words.end(), {-77, static_cast<std::int64_t>(world.lives[place]),
                                       world.pending[place] ? world.pending[place] - world.now : -1});
        }
        for (auto& one : world.flying) {
            words.insert(words.end(), {one.from, one.to, static_cast<std::int64_t>(one.life)});
            if (auto* ask = std::get_if<Ask>(&one.what))
                words.insert(words.end(), {1, renumber(ask->number), ask->renews ? renumber(ask->renews) : 0,
                                           static_cast<std::int64_t>(ask->amount)});
            else
                words.insert(words.end(), {2, renumber(std::get<Grant>(one.what).number)});
        }
        for (auto at : world.sent)
            if (world.now - at < window) words.push_back(world.now - at);
        words.insert(words.end(), {world.faults, world.ticks});
        return XXH64(words.data(), words.size() * sizeof words[0], 0);
    }

    // A router's pass: what it asks and grants goes on its way. What there is no room for is lost.
    void pass(World& world, RouterIndex who) {
        auto& quotas = world.all[static_cast<std::size_t>(who)];
        auto life = world.lives[static_cast<std::size_t>(who)];
        for (auto& [to, grant] : quotas.issue_grants(world.now)) {
            seen.lent = true;
            world.flying.push_back({who, to, life, grant});
        }
        for (auto& [to, ask] : quotas.due_asks([](RouterIndex) { return true; }, world.now)) {
            seen.renewed |= ask.renews != 0;
            world.flying.push_back({who, to, life, ask});
        }
        while (world.flying.size() > most_flying) world.flying.erase(world.flying.begin());
    }

    void deliver(World& world, const Flying& one) {
        auto& quotas = world.all[static_cast<std::size_t>(one.to)];
        if (auto* ask = std::get_if<Ask>(&one.what))
            quotas.handle_ask(one.from, one.life, *ask, world.now);
        else
            quotas.handle_grant(one.from, std::get<Grant>(one.what), world.now);
        pass(world, one.to);
    }

    std::vector<std::pair<std::string, World>> steps(const World& world) {
        std::vector<std::pair<std::string, World>> out;
        auto add = [&](const std::string& name, auto what) {
            World next = world;
            what(next);
            out.emplace_back(name, std::move(next));
        };
        for (RouterIndex who = 0; who < routers; who++) {
            auto place = static_cast<std::size_t>(who);
            auto name = std::to_string(who);
            if (world.pending[place] == 0)
                add(name + " wants", [&](World& next) {
                    auto& quotas = next.all[place];
                    if (quotas.available(server, next.now) >= work * 0.99) {
                        next.pending[place] = quotas.consume(server, work, next.now, next.now);
                        (who == 0 ? seen.own_used : seen.used_loan) = true;
                    } else {
                        quotas.record_unmet_demand(server, work, work, next.now);
                    }
                    pass(next, who);
                });
            else
                add(name + " writes", [&](World& next) {
                    if (next.now <= next.pending[place])
                        next.sent.push_back(next.now);
                    else
                        seen.late_write = true;
                    next.pending[place] = 0;
                });
            if (world.faults < bounds.faults && world.lives[place] == 1)
                add(name + " is started again", [&](World& next) {
                    next.faults++;
                    next.lives[place]++;
                    next.pending[place] = 0;
                    next.all[place] = fresh(who, next.lives[place], next.now, false);
                    seen.restarted_owner |= who == 0;
                });
        }
        for (std::size_t i = 0; i < world.flying.size(); i++) {
            auto& one = world.flying[i];
            auto what = fmt::format("{} from {} reaches {}", one.what.index() == 0 ? "an ask" : "a loan",
                                    one.from, one.to);
            add(what, [&](World& next) {
                next.flying.erase(next.flying.begin() + static_cast<std::ptrdiff_t>(i));
                deliver(next, one);
            });
            if (world.faults < bounds.faults)
                add(what + ", and will again", [&](World& next) {
                    next.faults++;
                    seen.doubled = true;
                    deliver(next, one);
                });
        }
        if (world.ticks < bounds.ticks)
            add("half a window passes", [&](World& next) {
                next.now += tick;
                next.ticks++;
                std::erase_if(next.sent, [&](auto at) { return next.now - at >= window; });
                for (RouterIndex who = 0; who < routers; who++) {
                    next.all[static_cast<std::size_t>(who)].set_cold_servers({{server, 1, work}}, next.now);
                    pass(next, who);
                }
            });
        return out;
    }

    Bounds bounds;
    std::unordered_map<std::uint64_t, std::pair<std::uint64_t, std::string>> parents;
};

}  // namespace

// NOLINTNEXTLINE(bugprone-exception-escape): an option that CLI11 refuses is a fault that ends the program.
int main(int count, char** words) {
    CLI::App app("explores the loans of cold budgets", "quillgrade_loans");
    Explorer::Bounds bounds;
    app.add_option("--ticks", bounds.ticks, "half windows that pass at most");
    app.add_option("--faults", bounds.faults, "restarts and doubled datagrams at most");
    app.add_option("--states", bounds.states, "states at most");
    CLI11_PARSE(app, count, words);
    planted() = Flaw::None;
    Explorer sound(bounds);
    auto trace = sound.run();
    fmt::print("sound: {} states, {} transitions, {}{}\n", sound.states(), sound.transitions,
               trace.empty() ? "the bound holds" : "THE BOUND IS BROKEN",
               sound.complete ? ", all explored" : "");
    for (auto& step : trace) fmt::print("    {}\n", step);
    auto& seen = sound.seen;
    fmt::print(
        "seen: lent {}, loan used {}, own part used {}, late write dropped {}, renewed {}, doubled {}, owner "
        "started "
        "again {}\n",
        seen.lent, seen.used_loan, seen.own_used, seen.late_write, seen.renewed, seen.doubled,
        seen.restarted_owner);
    bool good = trace.empty() && seen.all();
    int found = 0, all = 0;
    // With as many faults as each needs, so that the search goes deep rather than wide.
    for (auto [flaw, faults] : {std::pair{Flaw::LoanWithoutEnd, 0},
                                {Flaw::LenderKeepsUsing, 0},
                                {Flaw::NewLifeAtOnce, 1},
                                {Flaw::LoanTwice, 1},
                                {Flaw::NotLookedAgain, 0},
                                {Flaw::LentAgainAtOnce, 0}}) {
        planted() = flaw;
        auto own = bounds;
        own.faults = std::min(faults, bounds.faults);
        Explorer explorer(own);
        auto way = explorer.run();
        all++;
        found += !way.empty();
        fmt::print("planted {}: {} after {} states\n", static_cast<int>(flaw),
                   way.empty() ? "NOT FOUND" : fmt::format("found in {} steps", way.size()),
                   explorer.states());
        for (auto& step : way) fmt::print("    {}\n", step);
    }
    good = good && found == all;
    fmt::print(
        "{{\"explored_states\": {}, \"transitions\": {}, \"complete\": {}, \"planted\": {}, "
        "\"planted_found\": {}, "
        "\"violated\": {}}}\n",
        sound.states(), sound.transitions, sound.complete, all, found, trace.empty() ? 0 : 1);
    return good ? 0 : 1;
}
