#include "rig/fleet/script.hpp"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/random/mersenne_twister.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <csignal>
#include <cstdio>
#include <map>
#include <nlohmann/json.hpp>
#include <numeric>
#include <set>
#include <stdexcept>

#include "shared/quotas.hpp"

namespace quillgrade::rig {

namespace {

using nlohmann::json;

constexpr Micros ms = 1000, second = 1000 * ms, look_every = 5 * ms, settled_after = 10 * second;

class Runner {
public:
    Runner(const json& script, const Programs& programs, std::uint64_t seed,
           const std::function<void(const std::string&)>& say)
        : script(script),
          say(say),
          seed(seed ? seed : script.value("seed", std::uint64_t{1})),
          chance(static_cast<std::uint32_t>(this->seed)),
          fleet({programs.router, script.value("clocks", false) ? programs.clock : "",
                 script.at("routers").get<int>(), script.value("zones", 1), this->seed,
                 operators_file(script), script.value("parents", 0),
                 static_cast<Micros>(script.value("cold_s", 0.0) * 1e6), programs.environment}) {
        out.begun = unix_now();
        if (script.contains("weather")) set_link_conditions(script.at("weather"));
        byte_budget = script.value("peers", json::object()).value("bytes_per_s", 300.0);
    }

    static std::string operators_file(const json& script) {
        json file{{"peers", script.value("peers", json::object())}};
        if (script.contains("shared")) file["shared"] = script.at("shared");
        return file.dump();
    }

    Outcome run() {
        std::set<int> absent;
        if (script.contains("absent")) absent = numbers(script.at("absent"));
        sets["absent"] = absent;
        for (int i = 0; i < fleet.routers(); i++)
            if (!absent.contains(i)) start(i);
        int place = 0;
        for (auto& one : script.at("steps")) {
            place++;
            now_at = "step " + std::to_string(place) + " " + one.dump().substr(0, 160);
            if (say) say(now_at);
            out.said.emplace_back(unix_now(), one.dump());
            if (!step(one)) break;
        }
        finish();
        return std::move(out);
    }

private:
    void fault(const std::string& what) {
        out.passed = false;
        if (out.faults.size() < 50) out.faults.push_back(now_at + ": " + what);
    }

    // ---- who is meant
    std::set<int> numbers(const json& told) {
        std::set<int> all;
        if (told.is_number()) all.insert(told.get<int>());
        if (told.is_array())
            for (auto& one : told) all.merge(numbers(one));
        if (told.is_object() && told.contains("pick")) {
            // Drawn from those that run, and remembered under a name.
            std::vector<int> from;
            std::set<int> but;
            if (told.contains("but")) but = numbers(told.at("but"));
            for (int i = 0; i < fleet.routers(); i++)
                if (fleet.runs(i) && !but.contains(i)) from.push_back(i);
            for (int left = told.at("pick").get<int>(); left > 0 && !from.empty(); left--) {
                boost::random::uniform_int_distribution<std::size_t> draw(0, from.size() - 1);
                auto at = draw(chance);
                all.insert(from[at]);
                from.erase(from.begin() + static_cast<std::ptrdiff_t>(at));
            }
            if (told.contains("as")) sets[told.at("as").get<std::string>()] = all;
        }
        // Who holds the cold budget of a server's latest start.
        if (told.is_object() && told.contains("owners_of")) {
            auto id = told.at("owners_of").get<std::uint64_t>();
            shared::QuotaOptions terms;
            terms.routers = fleet.routers();
            if (script.contains("shared") && script.at("shared").contains("rights"))
                terms.grantors = script.at("shared").at("rights").value("owners", terms.grantors);
            auto owners =
                shared::Quotas(terms).grantors_of(id, static_cast<std::uint64_t>(fleet.started_ms(id)));
            all.insert(owners.begin(), owners.end());
        }
        if (told.is_object() && told.contains("zone"))
            for (int i = 0; i < fleet.routers(); i++)
                if (i % script.value("zones", 1) == told.at("zone").get<int>()) all.insert(i);
        if (told.is_string()) {
            auto name = told.get<std::string>();
            bool rest = name.rfind("not ", 0) == 0;
            if (rest) name = name.substr(4);
            std::set<int> named;
            if (name == "all")
                for (int i = 0; i < fleet.routers(); i++) named.insert(i);
            else if (sets.contains(name))
                named = sets.at(name);
            else
                throw std::runtime_error("no routers are named '" + name + "'");
            for (int i = 0; i < fleet.routers(); i++)
                if (named.contains(i) != rest) all.insert(i);
        }
        for (auto one : all)
            if (one < 0 || one >= fleet.routers())
                throw std::runtime_error("no router " + std::to_string(one));
        return all;
    }
    std::set<int> of(const json& told, const char* member, const char* otherwise) {
        return numbers(told.contains(member) ? told.at(member) : json(otherwise));
    }

    // ---- what is seen
    bool holds(const json& what, std::string& missing) {
        auto by = of(what, "by", "all");
        auto subjects = of(what, "of", "all");
        std::set<std::string> states;
        if (what.contains("view"))
            for (auto& one : what.at("view").is_array() ? what.at("view") : json::array({what.at("view")}))
                states.insert(one.get<std::string>());
        for (auto observer : by) {
            if (!fleet.runs(observer)) continue;
            for (auto subject : subjects) {
                if (subject == observer) continue;
                if (!states.empty() && !states.contains(fleet.view(observer, subject))) {
                    missing = std::to_string(observer) + " sees " + std::to_string(subject) + " as " +
                              fleet.view(observer, subject);
                    return false;
                }
                if (what.contains("ill") && fleet.told_ill(observer, subject) != what.at("ill").get<bool>()) {
                    missing = std::to_string(observer) + " was not told that of " + std::to_string(subject);
                    return false;
                }
            }
            if (what.contains("cut")) {
                bool wanted = what.value("known", true);
                for (auto from : numbers(what.at("cut").at("from")))
                    for (auto to : numbers(what.at("cut").at("to")))
                        if (from != to && fleet.told_cut(observer, from, to) != wanted) {
                            missing = std::to_string(observer) + " holds " + std::to_string(from) + " to " +
                                      std::to_string(to) + " for " + (wanted ? "whole" : "cut");
                            return false;
                        }
            }
        }
        if (what.contains("says"))
            for (auto observer : by)
                if (fleet.runs(observer) &&
                    fleet.log(observer).find(what.at("says").get<std::string>()) == std::string::npos) {
                    missing = std::to_string(observer) + " has not logged that";
                    return false;
                }
        if (what.contains("never_said"))
            for (auto observer : by)
                if (fleet.log(observer).find(what.at("never_said").get<std::string>()) != std::string::npos) {
                    missing = std::to_string(observer) + " has logged that";
                    return false;
                }
        if (what.contains("reached")) {  // since the step that noted it
            auto id = what.at("reached").get<std::uint64_t>();
            if (fleet.outside().seen_at(id).size() < noted[id] + what.value("times", std::size_t{1})) {
                missing = "too few requests for server " + std::to_string(id);
                return false;
            }
        }
        if (what.contains("stopped_itself"))
            if (self_stopped.size() < what.at("stopped_itself").get<std::size_t>()) {
                missing = "only " + std::to_string(self_stopped.size()) + " have stopped";
                return false;
            }
        if (what.contains("ended"))
            for (auto router : numbers(what.at("ended")))
                if (fleet.started(router)) {
                    missing = std::to_string(router) + " has not ended";
                    return false;
                }
        if (what.contains("handled") && fleet.totals().handled < what.at("handled").get<std::uint64_t>()) {
            missing = "too few lookups handled";
            return false;
        }
        return true;
    }

    // Reads the logs and judges what is new, by what the rig itself did to whom.
    void look() {
        usleep(look_every);
        auto before = fleet.logged.size();
        fleet.read();
        for (auto i = before; i < fleet.logged.size(); i++) {
            auto& one = fleet.logged[i];
            for (auto& rule : nevers)
                if (rule.by.contains(one.observer) && rule.of.contains(one.subject) &&
                    rule.states.contains(one.after))
                    fault(std::to_string(one.observer) + " sees " + std::to_string(one.subject) + " as " +
                          one.after + ", which must not be");
            bool whole = whole_since > 0 && one.at - whole_since > settled_after;
            if (one.after == "dead") {
                auto killed = killed_at.find(one.subject);
                if (killed != killed_at.end())
                    out.detect_ms.push_back(static_cast<double>(one.at - killed->second) / 1000);
                else if (whole && fleet.runs(one.subject) &&
                         one.at - fleet.changed_at(one.subject) > settled_after)
                    out.false_dead++;
            }
            // Its own accusation right after its own pause, of one that was not hit itself.
            auto woke = woke_at.find(one.observer);
            if ((one.after == "suspected" || one.after == "dead") && (one.by == one.observer || one.by < 0) &&
                woke != woke_at.end() && one.at - woke->second < second && fleet.runs(one.subject) && whole &&
                one.at - fleet.changed_at(one.subject) > settled_after)
                out.verdicts_by_paused++;
        }
        for (auto router : armed)
            if (!self_stopped.contains(router) && fleet.stopped_itself(router)) {
                self_stopped.insert(router);
                fleet.has_stopped(router);
            }
        for (int i = 0; i < fleet.routers(); i++)
            if (fleet.exit_code(i) > 0 && !crashed.contains(i)) {
                crashed.insert(i);
                fault("router " + std::to_string(i) + " has ended with " +
                      std::to_string(fleet.exit_code(i)) + ":\n" + fleet.log(i));
            }
    }
    void pass(Micros time) {
        for (auto until = unix_now() + time; unix_now() < until;) {
            look();
            for (auto& storm : storms) blow(storm);
        }
    }

    // ---- what is done
    void start(int router) {
        fleet.start(router);
        out.processes++;
        killed_at.erase(router);
    }
    void set_link_conditions(const json& told) {
        Passage passage;
        passage.loss = told.value("loss", 0.0);
        passage.least_ms = told.value("least_ms", 0);
        passage.most_ms = told.value("most_ms", 0);
        passage.late = told.value("late", 0.0);
        passage.twice = told.value("twice", 0.0);
        fleet.datagrams().set_all(passage);
        lossy = passage.loss > 0.1;
    }
    void cut(const json& told, bool yes) {
        auto from = numbers(told.at("from")), to = numbers(told.at("to"));
        for (auto a : from)
            for (auto b : to)
                if (a != b) {
                    fleet.datagrams().cut(a, b, yes);
                    if (told.value("both", false)) fleet.datagrams().cut(b, a, yes);
                }
        whole_since = yes ? 0 : unix_now();
    }
    struct Storm {
        std::set<int> at;
        std::string what;
        double per_s;
        Micros until, last;
        double owed = 0;
    };
    void blow(Storm& storm) {
        auto now = unix_now();
        if (now > storm.until) return;
        storm.owed += static_cast<double>(now - storm.last) / 1e6 * storm.per_s;
        storm.last = now;
        for (; storm.owed >= 1; storm.owed -= 1)
            for (auto router : storm.at) {
                std::string bytes(1 + chance() % 300, '\0');
                for (auto& byte : bytes) byte = static_cast<char>(chance());
                // Well formed, and from an address or a number that is not its own.
                if (storm.what == "forged")
                    bytes = std::string("\x08\x01\x10\x01\x18\x80\x80\x04\x30\x01", 10);
                fleet.datagrams().throw_in(router, bytes,
                                           storm.what == "listed" ? (router + 1) % fleet.routers() : -1);
            }
    }

    bool step(const json& one) {
        auto each = [&](const char* name, auto what) {
            if (one.contains(name))
                for (auto router : numbers(one.at(name))) what(router);
        };
        each("start", [&](int r) { start(r); });
        each("kill", [&](int r) {
            fleet.kill(r);
            killed_at[r] = unix_now();
            woke_at.erase(r);
        });
        each("term", [&](int r) { fleet.term(r); });
        each("stop", [&](int r) { fleet.stop(r); });
        each("continue", [&](int r) {
            fleet.go_on(r);
            woke_at[r] = unix_now();
        });
        if (one.contains("cut")) cut(one.at("cut"), true);
        if (one.contains("join")) cut(one.at("join"), false);
        if (one.contains("weather")) set_link_conditions(one.at("weather"));
        if (one.contains("clock"))
            for (auto router : numbers(one.at("clock").at("of")))
                fleet.disturbed(router),
                    fleet.clock(router, static_cast<Micros>(one.at("clock").value("jump_s", 0.0) * 1e6),
                                one.at("clock").value("stands", false));
        if (one.contains("boxes"))
            for (auto router : numbers(one.at("boxes").at("of")))
                fleet.boxes(router, one.at("boxes").at("cut"));
        if (one.contains("coordinator"))
            for (auto router : numbers(one.at("coordinator").at("of")))
                fleet.coordinator(router, one.at("coordinator").at("cut"));
        if (one.contains("lookups")) {
            for (auto router : numbers(one.at("lookups").at("to")))
                fleet.lookups(router, one.at("lookups").at("per_s"));
            asked = true;
        }
        if (one.contains("tell"))
            for (auto& told : one.at("tell").is_array() ? one.at("tell") : json::array({one.at("tell")}))
                tell(told);
        if (one.contains("purge")) purge(one.at("purge"));
        if (one.contains("watch")) watch(one.at("watch"));
        if (one.contains("note_requests")) {
            auto id = one.at("note_requests").get<std::uint64_t>();
            fleet.outside().watch(id);
            noted[id] = fleet.outside().seen_at(id).size();
        }
        if (one.contains("note")) fleet.outside().note(one.at("note"));
        if (one.contains("objects")) fleet.outside().objects(one.at("objects"));
        if (one.contains("say"))
            fleet.outside().say(one.at("say").at("field"),
                                one.at("say").at("values").get<std::vector<std::string>>());
        if (one.contains("delay"))
            fleet.outside().set_delay(one.at("delay").at("box"),
                                      static_cast<Micros>(one.at("delay").at("ms").get<double>() * 1000));
        each("stop_before_write", [&](int r) {
            fleet.stop_before_write(r);
            armed.insert(r);
        });
        if (one.contains("call_off_stops")) {
            for (auto router : armed) fleet.call_off_stop(router);
            look();
            armed.clear();
            sets["stopped"] = self_stopped;
        }
        if (one.contains("storm")) {
            auto& told = one.at("storm");
            auto until = unix_now() + static_cast<Micros>(told.at("for_s").get<double>() * 1e6);
            storms.push_back(
                {numbers(told.at("at")), told.value("what", "garbage"), told.at("per_s"), until, unix_now()});
        }
        if (one.contains("never")) {
            auto& told = one.at("never");
            Never rule{of(told, "by", "all"), of(told, "of", "all"), {}};
            for (auto& state : told.at("view")) rule.states.insert(state.get<std::string>());
            nevers.push_back(rule);
        }
        if (one.contains("forget")) nevers.clear();
        if (one.contains("name")) {
            for (auto& [name, who] : one.at("name").items()) sets[name] = numbers(who);
        }
        if (one.contains("for_s")) pass(static_cast<Micros>(one.at("for_s").get<double>() * 1e6));
        if (one.contains("until")) return wait(one);
        return true;
    }

    // ---- what the coordinator tells
    void tell(const json& told) {
        Fleet::Told server{told.at("id")};
        auto state = told.value("state", "ready");
        server.state = state == "gone" ? 2 : state == "draining" ? 1 : 0;
        server.rating = told.value("rating", 4.0);
        auto now = unix_now();
        server.started_ms =
            told.contains("started_s_ago")
                ? now / 1000 - static_cast<std::int64_t>(told.at("started_s_ago").get<double>() * 1000)
                : fleet.started_ms(server.id);
        fleet.tell(server);
        auto grace = static_cast<Micros>(told.value("grace_s", 1.0) * 1e6);
        fleet.outside().forbid_server(server.id, server.state ? now + grace : 0);
    }
    void purge(const json& told) {
        auto object = told.value("object", std::uint64_t{0});
        auto at = fleet.tell_purge(object, told.value("group", 1));
        // The settings say that no older copy is left after 6 s.
        fleet.outside().forbid_older(object, at, at + static_cast<Micros>(told.value("grace_s", 1.0) * 1e6),
                                     at + 6 * second);
    }
    struct Watch {
        std::uint64_t id;
        Micros started, until = 0;
        ColdTerms terms;
        double least_used = 0;
        bool chance = false;
        Micros told = 300 * ms;
    };
    void watch(const json& told) {
        Watch watch{told.at("id"),
                    fleet.started_ms(told.at("id")) * 1000,
                    0,
                    {},
                    told.value("least_used", 0.0),
                    false,
                    0};
        if (watch.id < Fleet::first_parent) watch.terms.from = 0.2, watch.terms.multiple = 3;
        watch.chance = told.value("chance", false);
        watch.told = static_cast<Micros>(told.value("told_s", 0.3) * 1e6);
        watch.terms.rating = told.value("rating", 4.0);
        watch.terms.work = static_cast<Micros>(told.value("work_ms", 100.0) * 1000);
        if (script.contains("cold_s"))
            watch.terms.cold = static_cast<Micros>(script.at("cold_s").get<double>() * 1e6);
        watches.push_back(watch);
        fleet.outside().watch(watch.id);
    }
    void judge_budgets() {
        for (auto& watch : watches) {
            auto verdict = judge(fleet.outside().seen_at(watch.id), watch.started, unix_now(), watch.terms,
                                 100 * ms, watch.told, watch.chance);
            out.budgets.push_back(verdict);
            if (verdict.exceeded > 0)
                fault("server " + std::to_string(watch.id) + " got up to " +
                      std::to_string(verdict.most_share) + " of its budget, over it in " +
                      std::to_string(verdict.exceeded) + " of " + std::to_string(verdict.windows) +
                      " windows");
            if (verdict.used_share < watch.least_used)
                fault("server " + std::to_string(watch.id) + " was let have " +
                      std::to_string(verdict.used_share) + " of its budget only");
        }
    }

    bool wait(const json& one) {
        auto limit = static_cast<Micros>(one.at("within_s").get<double>() * 1e6);
        std::string missing;
        auto begun = unix_now();
        do {
            look();
            for (auto& storm : storms) blow(storm);
            if (holds(one.at("until"), missing)) return true;
        } while (unix_now() - begun < limit);
        fault("not within " + std::to_string(limit / 1000) + " ms: " + missing);
        return false;
    }

    void finish() {
        now_at = "in the end";
        if (asked) {
            fleet.finish_lookups();
            out.lookups = fleet.totals();
            // A router that was killed or stopped owes what it held.
            if (out.lookups.without_one_final > 0 && !script.value("loses_lookups", false))
                fault(std::to_string(out.lookups.without_one_final) + " lookups without one final answer");
            if (out.lookups.late_named > 0)
                fault(std::to_string(out.lookups.late_named) +
                      " requests past the grace of a server's drain or end");
            if (out.lookups.older > 0)
                fault(std::to_string(out.lookups.older) +
                      " requests that would take a copy from before a purge");
        }
        judge_budgets();
        out.datagrams = fleet.datagrams().seen();
        if (out.datagrams.longest > 256)
            fault("a datagram of " + std::to_string(out.datagrams.longest) + " bytes");
        // Two seconds' worth may go at once, and what is over is at most one datagram.
        if (out.datagrams.most_bytes_per_s > byte_budget * 1.2 + 256)
            fault(std::to_string(out.datagrams.most_bytes_per_s) + " bytes a second by one router");
        if (out.false_dead > 0 && !lossy)
            fault(std::to_string(out.false_dead) + " verdicts on routers that ran undisturbed");
        if (out.verdicts_by_paused > 0)
            fault(std::to_string(out.verdicts_by_paused) +
                  " accusations by routers that had just been stopped");
        out.logged = fleet.logged;
        for (int i = 0; i < fleet.routers(); i++) out.logs.push_back(fleet.log(i));
        out.seconds = static_cast<double>(unix_now() - out.begun) / 1e6;
    }

    struct Never {
        std::set<int> by, of;
        std::set<std::string> states;
    };
    const json& script;
    const std::function<void(const std::string&)>& say;
    std::uint64_t seed;
    boost::random::mt19937 chance;
    Fleet fleet;
    Outcome out;
    std::string now_at;
    std::map<std::string, std::set<int>> sets;
    std::vector<Never> nevers;
    std::vector<Watch> watches;
    std::map<std::uint64_t, std::size_t> noted;
    std::vector<Storm> storms;
    std::map<int, Micros> killed_at, woke_at;
    std::set<int> crashed, armed, self_stopped;
    Micros whole_since = 1;
    double byte_budget = 300;
    bool asked = false, lossy = false;
};

}  // namespace

Outcome run_script(const std::string& text, const Programs& programs, std::uint64_t seed,
                   const std::function<void(const std::string&)>& say) {
    try {
        auto script = json::parse(text, nullptr, true, true);
        return Runner(script, programs, seed, say).run();
    } catch (const json::exception& error) {
        throw std::runtime_error(std::string("the script: ") + error.what());
    }
}

bool draw(const Outcome& outcome, int routers, const std::string& file) {
    // How many observers see each router as other than alive, at each change.
    auto* plot = popen("gnuplot 2>/dev/null", "w");
    if (!plot) return false;
    std::fprintf(
        plot, "set terminal svg size 1100,%d\nset output '%s'\nset xlabel 'seconds'\nset ylabel 'router'\n",
        200 + 24 * routers, file.c_str());
    std::fprintf(
        plot, "set yrange [-1:%d]\nset ytics 1\nset key outside\nset title 'seen as, by how many others'\n",
        routers);
    const std::array states = {"suspected", "silent", "dead", "leaving", "gone"};
    std::fprintf(plot, "plot ");
    for (auto* state : states)
        std::fprintf(plot, "%s'-' using 1:2:3 with points pt 7 ps variable title '%s'",
                     state == states[0] ? "" : ", ", state);
    std::fprintf(plot, "\n");
    for (auto* state : states) {
        std::map<int, std::set<int>> seen;
        std::fprintf(plot, "0 -5 0\n");  // a series is never empty
        for (auto& one : outcome.logged) {
            if (one.after == state) seen[one.subject].insert(one.observer);
            if (one.before == state) seen[one.subject].erase(one.observer);
            if (one.after == state || one.before == state)
                std::fprintf(plot, "%.3f %d %.2f\n", static_cast<double>(one.at - outcome.begun) / 1e6,
                             one.subject, 0.2 + static_cast<double>(seen[one.subject].size()) / routers);
        }
        std::fprintf(plot, "e\n");
    }
    return pclose(plot) == 0;
}

}  // namespace quillgrade::rig
