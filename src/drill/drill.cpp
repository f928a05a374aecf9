#include "drill/drill.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "drill/frame.hpp"
#include "site/site.hpp"

namespace quillgrade::drill {

namespace {

enum Event {
    CheckResult = 1,
    Ingress,
    Vanished,
    PeersKnown,
    Message,
    Outdated,
    At,
    Reminder,
    ReportBack,
    Attach,
    Detach,
    Accepted
};
enum Action {
    OverloadReply = 66,
    DropRequest = 67,
    Revoke = 68,
    Arm = 69,
    Inspect = 70,
    Log = 73,
    BailOut = 74,
    Subscribe = 75,
    ServeVia = 77,
    OnBehalf = 78
};

constexpr std::uint64_t upkeep_token = ~std::uint64_t{0};  // no lookup id is that large
constexpr Micros longest_wait = 0xffffffff;

LoadReport read_load(std::string_view record, std::size_t at) {
    LoadReport load;
    load.count = static_cast<int>(read_number(record, at, 1));
    if (load.count > 4) throw BadInput("a load report has more than four values");
    for (int i = 0; i < load.count; i++)
        load.values[i] = read_float(record, at + 1 + 4 * static_cast<std::size_t>(i));
    return load;
}

Outcome read_outcome(std::string_view record, std::size_t at) {
    auto code = read_number(record, at, 1);
    if (code > static_cast<std::uint64_t>(Outcome::Miss)) throw BadInput("unknown outcome");
    return static_cast<Outcome>(code);
}

SiteSettings read_boot(std::string_view text) {
    try {
        return site::read_facts(nlohmann::json::parse(text));
    } catch (const nlohmann::json::exception& error) {
        throw BadInput(std::string("start-up settings: ") + error.what());
    } catch (const site::Unusable& error) {
        throw BadInput(error.what());
    }
}

}  // namespace

std::string Drill::answer(std::string_view batch) {
    if (batch.size() < batch_head) throw BadInput("a frame is shorter than its header");
    auto count = read_number(batch, 0, 4);
    now = read_time(batch, 4);
    if (count > (batch.size() - batch_head) / event_bytes)
        throw BadInput("a frame is shorter than its records");
    tail = batch.substr(batch_head + count * event_bytes);
    records.clear();
    reply_tail.clear();
    any_current = any_spoken = false;
    for (std::size_t i = 0; i < count; i++) event(batch.substr(batch_head + i * event_bytes, event_bytes));
    std::string reply(8, '\0');
    write_number(reply, 0, 4, records.size() / action_bytes);
    write_number(reply, 4, 4, records.size() + reply_tail.size());
    return reply + records + reply_tail;
}

void Drill::event(std::string_view record) {
    auto code = read_number(record, 0, 1);
    if (code == At) {
        current = static_cast<std::uint32_t>(read_number(record, 1, 4));
        any_current = true;
        return;
    }
    if (!any_current) throw BadInput("an event before any AT record");
    if (code != Attach && !routers.contains(current)) throw BadInput("an event for an unknown instance");
    try {
        switch (code) {
            case Attach: {
                auto text = tail_piece(tail, read_number(record, 9, 4), read_number(record, 13, 4));
                routers[current] = std::make_unique<Router>(read_boot(text), read_number(record, 1, 8));
                write(router().run_maintenance(now));
                break;
            }
            case Detach:
                routers.erase(current);
                break;
            case PeersKnown:
                members(record);
                break;
            case Ingress:
                lookup(record);
                break;
            case ReportBack:
                ended(record);
                break;
            case Reminder:
                reminder(read_number(record, 1, 8));
                break;
            case Accepted:
                if (auto handle = router().find_lookup(read_number(record, 1, 8)))
                    write(handle->lookup.info.id,
                          handle->streaming_started(static_cast<int>(read_number(record, 15, 1)),
                                                    static_cast<Micros>(read_number(record, 16, 4)), now));
                break;
            case Vanished:
                if (auto handle = router().find_lookup(read_number(record, 1, 8)))
                    write(read_number(record, 1, 8), handle->client_left());
                break;
            case Outdated:
                router().record_purge(read_number(record, 1, 8), static_cast<int>(read_number(record, 9, 2)),
                                      static_cast<Micros>(read_number(record, 11, 4)), now);
                break;
            case CheckResult:
                router().probe_ended(read_number(record, 6, 6), read_outcome(record, 1),
                                     static_cast<Micros>(read_number(record, 2, 4)), read_load(record, 12),
                                     now);
                break;
            case Message:  // routers do not write to each other yet
                tail_piece(tail, read_number(record, 5, 4), read_number(record, 9, 4));
                break;
            default:
                throw BadInput("unknown event code " + std::to_string(code));
        }
    } catch (const BadInput&) {
        throw;
    } catch (const std::exception& error) {
        begin(BailOut);
        put_text(error.what());
    }
}

void Drill::lookup(std::string_view record) {
    LookupInfo facts{};
    facts.id = read_number(record, 1, 8);
    facts.traffic = static_cast<int>(read_number(record, 9, 1));
    facts.object = read_number(record, 14, 8);
    facts.deadline = read_time(record, 22);
    facts.kbytes = read_amount(record, 30);
    facts.group = static_cast<int>(read_amount(record, 34));
    facts.part = static_cast<int>(read_amount(record, 38));
    auto flags = read_number(record, 42, 1);
    facts.retry = flags & 2;
    facts.write = flags & 4;
    if (static_cast<std::size_t>(facts.traffic) >= router().traffic_types.size())
        throw BadInput("unknown traffic type");
    write(facts.id, router().add_lookup(facts, now).first_attempt(now));
}

void Drill::ended(std::string_view record) {
    auto handle = router().find_lookup(read_number(record, 1, 8));
    if (!handle) return;
    AttemptResult end{};
    end.outcome = read_outcome(record, 9);
    end.elapsed = static_cast<Micros>(read_number(record, 10, 4));
    end.attempt = static_cast<int>(read_number(record, 14, 1));
    end.first_byte_wait = static_cast<Micros>(read_number(record, 15, 4));
    end.cache = read_number(record, 19, 6);
    auto note = read_number(record, 25, 4);
    if (note > static_cast<std::uint64_t>(CacheStatus::OriginError)) throw BadInput("unknown remark");
    end.cache_status = static_cast<CacheStatus>(note);
    end.lookup_closed = read_number(record, 29, 1) != 0;
    end.load = read_load(record, 30);
    auto id = handle->lookup.info.id;  // the handle may be spent by the call
    write(id, handle->attempt_ended(end, now));
}

void Drill::members(std::string_view record) {
    auto scope = read_number(record, 1, 1);
    if (scope > 3) throw BadInput("unknown scope of a list");
    if (scope == 3) {
        router().endpoint_list_failed();
        return;
    }
    auto count = read_number(record, 14, 4);
    auto rows = tail_piece(tail, read_number(record, 10, 4), count * entry_bytes);
    std::vector<EndpointEntry> entries;
    for (std::size_t i = 0; i < count; i++) {
        auto row = rows.substr(i * entry_bytes, entry_bytes);
        auto status = read_number(row, 0, 1);
        if (status > 2) throw BadInput("unknown status of a cache");
        entries.push_back({read_number(row, 6, 6), static_cast<EndpointState>(status), read_amount(row, 1),
                           static_cast<int>(read_number(row, 5, 1)),
                           static_cast<int>(read_number(row, 12, 2)),
                           static_cast<int>(read_number(row, 14, 2)), read_time(row, 16)});
    }
    router().update_endpoints(entries, scope != 0, now);
}

void Drill::reminder(std::uint64_t token) {
    if (token == upkeep_token)
        write(router().run_maintenance(now));
    else if (auto handle = router().find_lookup(token))
        write(token, handle->check(now));
}

void Drill::write(LookupId id, const RoutingDecision& answer) {
    for (int round : answer.cancel) {
        begin(Revoke);
        put(1, 8, id);
        put(9, 1, round);
    }
    if (answer.send) {
        begin(ServeVia);
        put(1, 8, id);
        put(9, 1, answer.send->rank);
        put(10, 4, std::min(answer.send->max_copy_age, longest_wait));
        put(14, 4, std::min(answer.send->time_limit, longest_wait));
        put(18, 6, answer.send->upstream);
        put(24, 6, answer.send->cache);
        put(30, 1,
            (answer.send->collapse ? 1 : 0) | (answer.send->only_if_cached ? 2 : 0) |
                (answer.send->refresh ? 8 : 0));
    }
    if (answer.final_result == FinalResult::Rejected) {
        begin(OverloadReply);
        put(1, 8, id);
        put(9, 4, std::min(answer.retry_after, longest_wait));
    } else if (answer.final_result == FinalResult::Failed) {
        begin(DropRequest);
        put(1, 8, id);
    }
    if (answer.next_check > 0) {
        begin(Arm);
        put(1, 4, std::min(answer.next_check, longest_wait));
        put(5, 8, id);
    }
}

void Drill::write(const Maintenance& upkeep) {
    for (auto cache : upkeep.probe) {
        begin(Inspect);
        put(1, 6, cache);
    }
    for (auto& line : upkeep.log) {
        begin(Log);
        put_text(line);
    }
    if (upkeep.subscribe) {
        begin(Subscribe);
        put(1, 1, 1);
    }
    if (upkeep.next_check > 0) {
        begin(Arm);
        put(1, 4, std::min(upkeep.next_check, longest_wait));
        put(5, 8, upkeep_token);
    }
}

void Drill::begin(int code) {
    if (!any_spoken || spoken_for != current) {
        any_spoken = true;
        spoken_for = current;
        records.append(action_bytes, '\0');
        put(0, 1, OnBehalf);
        put(1, 4, current);
    }
    records.append(action_bytes, '\0');
    put(0, 1, code);
}

void Drill::put(std::size_t at, int width, std::uint64_t value) {
    write_number(records, records.size() - action_bytes + at, width, value);
}

void Drill::put_text(std::string_view text) {
    put(1, 4, reply_tail.size());
    put(5, 4, text.size());
    reply_tail += text;
}

Router& Drill::router() { return *routers.at(current); }

}  // namespace quillgrade::drill
