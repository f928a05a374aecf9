#include "node/node.hpp"

#include <algorithm>
#include <csignal>
#include <exception>
#include <fstream>
#include <iterator>
#include <new>
#include <utility>

#include "log/log.hpp"
#include "node/service.hpp"
#include "startup/progress.hpp"

namespace quillgrade::node {

namespace {

constexpr Micros ms = 1000;
// After SIGTERM clients go on coming for 0.4 s, and on open connections for 0.2 s more. SIGKILL follows after
// the longest time limit, 3 s at most, and 0.7 s more.
constexpr Micros arrivals_last = 800 * ms, quiet_for = 200 * ms, longest_counted = 3000 * ms,
                 before_kill = 700 * ms, to_spare = 450 * ms, to_flush = 200 * ms, check_every = 20 * ms;

constexpr int rules_a_slice = 64;  // statements

std::string text_of_file(const std::string& path) {
    std::ifstream file(path, std::ios::binary);
    if (!file) throw site::Unusable(path + " can't be read");
    return {std::istreambuf_iterator<char>(file), {}};
}

using startup::Call;
using startup::CallMark;
using startup::Stage;

event_base* make_base() {
    CallMark mark(Call::MakeLoop);
    auto* base = event_base_new();
    if (!base) throw std::bad_alloc();
    startup::reached(Stage::EventLoopMade);
    return base;
}

}  // namespace

Node::Node(const launch::Launch& launch, operate::OperatorConfig told,
           std::function<operate::OperatorConfig()> plan_again)
    : launch(launch),
      plan(std::move(told)),
      plan_again(std::move(plan_again)),
      terms(launch.terms),
      answers(launch.room.answers),
      requests(launch.room.requests),
      base(make_base()),
      stall_detector(processor_time, Clock::steady()),
      front({base.get(), terms, clock, gathered, requests}, launch.room.clients, answers),
      pool(base.get(), terms, clock, gathered, launch.room.caches, answers),
      turn(launch, base.get(), gathered, front, pool),
      coordinator(base.get(), launch.coordinator, terms, launch.known.last, clock, gathered),
      rule_site(launch.rule_site()),
      check(base.get(), [this] { check.set(check_every); }) {
    if (plan.rules && !plan.rules->file.empty()) {
        route::Loader loader(text_of_file(plan.rules->file), rule_site, plan.rules->budget);
        while (!loader.step(1000)) {
        }
        if (!loader.result()) throw site::Unusable(plan.rules->file + ":\n" + loader.report());
        for (auto& warning : loader.warnings()) log::warning("rules: {}", warning.what);
        file_rules = loader.result();
        log::info("rules: {} in force, at most {} units a lookup", file_rules->all().size(),
                  file_rules->bound());
        gathered.emplace_back(file_rules);
    }
    if (plan.control) steering = std::make_unique<Steering>(base.get(), plan, launch, clock, terms);
    if (plan.peers) {
        auto all = launch::read_neighbourhood(launch);
        peers = std::make_unique<PeerPort>(base.get(), all, *plan.peers, launch.seed, clock.now());
        if (plan.shared) sharing = std::make_unique<Sharing>(*peers, *plan.shared, launch, clock, turn);
    }
    auto on_signal = [](evutil_socket_t, short, void* self) { static_cast<Node*>(self)->told_to_leave(); };
    std::signal(SIGPIPE, SIG_IGN);
    term.reset(evsignal_new(base.get(), SIGTERM, on_signal, this));
    interrupt.reset(evsignal_new(base.get(), SIGINT, on_signal, this));
    hang_up.reset(evsignal_new(
        base.get(), SIGHUP,
        [](evutil_socket_t, short, void* self) { static_cast<Node*>(self)->told_to_read = true; }, this));
    for (auto* signal : {&term, &interrupt, &hang_up})
        if (!*signal || evsignal_add(signal->get(), nullptr)) throw std::bad_alloc();
}

void Node::told_before(bool leave, bool read) {
    if (leave) told_to_leave();
    told_to_read |= read;
}

Micros Node::longest_stay(Micros longest_wait) {
    return std::min(longest_wait, longest_counted) + before_kill - to_spare;
}

Phase Node::next(Phase phase, const Seen& seen) {
    Micros gone = seen.now - seen.told_to_leave;
    switch (phase) {
        case Phase::Starting:
            return Phase::Serving;
        case Phase::Serving:
            return seen.told_to_leave > 0 ? Phase::Leaving : Phase::Serving;
        case Phase::Leaving: {
            // Guards against a client that never stops asking: SIGKILL would find what is held.
            bool quiet = seen.now - seen.last_arrival >= quiet_for,
                 late = gone >= seen.longest_stay - quiet_for;
            return gone >= arrivals_last && (quiet || late) ? Phase::Finishing : Phase::Leaving;
        }
        case Phase::Finishing:
            return seen.nothing_held || gone >= seen.longest_stay + to_flush ? Phase::Over : Phase::Finishing;
        case Phase::Over:
            break;
    }
    return Phase::Over;
}

void Node::run() {
    auto now = clock.now();
    for (auto& event : launch.known.events) gathered.emplace_back(event);
    steer(now);
    if (sharing) sharing->pass(gathered, 0, now);
    turn.take(std::exchange(gathered, {}), now);
    turn.tend(now);
    look_for_events(Wait::No);
    startup::reached(Stage::FirstPass);
    if (leave_at > 0) {  // nobody could connect so far
        log::info("over before it listened");
        return;
    }
    {
        CallMark mark(Call::Listen);
        front.listen(launch.listen);
    }
    startup::reached(Stage::Listening);
    log::info("listening on {}", text_of(launch.listen));
    while (phase != Phase::Over) {
        step();
        if (phase == Phase::Over) break;
        bool idle = gathered.empty() && pool.to_write() == 0 && !(steering && steering->busy()) && !loading;
        look_for_events(idle ? Wait::Yes : Wait::No);
    }
}

// Guards against a loop that stands still or never waits without anybody being told.
void Node::look_for_events(Wait wait) {
    if (auto stall = stall_detector.before_events(Clock::steady()))
        log::warning(
            "event loop stall: {} ms without a wait, {} ms of processor time, {} iterations; {} so far",
            stall->wall / ms, stall->processor / ms, stall->iterations, stall->so_far);
    bool waits = wait == Wait::Yes;
    {
        CallMark mark(waits ? Call::PollWait : Call::PollOnce);
        event_base_loop(base.get(), waits ? EVLOOP_ONCE : EVLOOP_ONCE | EVLOOP_NONBLOCK);
    }
    stall_detector.after_events(Clock::steady(), waits);
}

void Node::step() {
    if (std::exchange(told_to_read, false)) read_again();
    auto now = clock.now();
    for (auto& value : gathered)
        if (std::holds_alternative<Arrived>(value) || std::holds_alternative<Discarded>(value))
            last_arrival = now;
    steer(now);
    if (sharing) sharing->at(now);
    if (peers) peers->hear(now);
    if (sharing) sharing->pass(gathered, coordinator.live_since(), now);
    turn.take(std::exchange(gathered, {}), now);
    if (peers) peers->pass(turn.counts(), now);
    if (phase == Phase::Finishing) {
        front.stop_listening();
        front.half_close_resting(now);
    }
    front.sweep();
    pool.sweep();
    Seen seen{now, leave_at, last_arrival, longest_stay(launch.terms.longest_wait),
              turn.held() == 0 && front.all_closed()};
    if (phase == Phase::Finishing && turn.held() > 0 && now - leave_at >= seen.longest_stay) {
        log::warning("broken off at the end: {} lookups", turn.held());
        turn.break_off_all();
    }
    auto following = next(phase, seen);
    if (following == phase) return;
    phase = following;
    front.set_ready(phase == Phase::Serving);
    if (phase == Phase::Serving) {
        log::info("serving as {}", launch.name);
        startup::reached(Stage::Serving);
    }
    if (phase == Phase::Leaving) {
        log::info("leaving: {} lookups held", turn.held());
        if (peers) peers->leave(now);
        turn.leave(leave_at + seen.longest_stay);
        check.set(check_every);
    }
    if (phase == Phase::Finishing && steering) steering->stop();
    if (phase == Phase::Over && peers) peers->gone(now);
    if (phase == Phase::Over && sharing) sharing->say_all();
    if (phase == Phase::Over) log::info("over");
}

void Node::steer(Micros now) {
    if (loading) load_rules();
    if (!steering) return;
    steering->pass(gathered, turn.counts(), now);
    // Where no version of rules is in force, the operators' file has the word.
    for (auto& value : gathered)
        if (auto* rules = std::get_if<std::shared_ptr<const route::RuleSet>>(&value)) {
            if (*rules != file_rules) streamed_rules = *rules != nullptr;
            if (!*rules) *rules = file_rules;
        }
}

// A slice of the rules' file that SIGHUP has told to read again.
void Node::load_rules() {
    if (!loading->step(rules_a_slice)) return;
    auto loaded = loading->result();
    if (!loaded) log::warning("rules not taken, the old ones stay:\n{}", loading->report());
    for (auto& warning : loading->warnings()) log::warning("rules: {}", warning.what);
    loading.reset();
    if (!loaded) return;
    file_rules = loaded;
    log::info("rules: {} {}, at most {} units a lookup", loaded->all().size(),
              streamed_rules ? "read, a version is in force instead" : "in force", loaded->bound());
    if (!streamed_rules) gathered.emplace_back(loaded);
}

// SIGHUP. Guards against a router that ends with what it holds because of a file: whatever is wrong with the
// new configuration, the old one stays.
void Node::read_again() {
    try {
        auto told = launch::from_environment();
        for (auto& member : launch::wants_restart(launch, told))
            log::warning("configuration: '{}' has changed, which wants a restart", member);
        coordinator.move_to(told.coordinator);
        log::info("configuration read again");
    } catch (const std::exception& error) {
        log::warning("configuration not taken, the old one stays: {}", error.what());
    }
    if (plan_again) read_plan_again();
}

void Node::read_plan_again() {
    try {
        auto told = plan_again();
        auto rest = [](operate::OperatorConfig of) {
            if (of.control) of.control->services.clear();
            of.rules.reset();
            return of;
        };
        auto before = rest(plan), after = rest(told);
        if (before.control != after.control || before.store != after.store || before.peers != after.peers ||
            before.shared != after.shared)
            log::warning("operators' file: more than 'services' has changed, which wants a restart");
        if (told.rules && !told.rules->file.empty())
            loading.emplace(text_of_file(told.rules->file), rule_site, told.rules->budget);
        if (steering && told.control) {
            plan.control->services = told.control->services;
            steering->move_to(told.control->services);
        }
    } catch (const std::exception& error) {
        log::warning("operators' file not taken, the old one stays: {}", error.what());
    }
}

void Node::told_to_leave() {
    if (leave_at == 0) leave_at = clock.now();
}

}  // namespace quillgrade::node
