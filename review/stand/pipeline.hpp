// Clients that send many requests at once, each on a connection of its own, and a small school for them to
// ask: what the cases of this kind share. They read at full speed all that comes.
#pragma once

#include "site.hpp"

namespace stand {

constexpr Micros slack = 50 * ms, answer_bound = 500 * ms, crossing = 50 * ms;
constexpr double flow_bytes_per_s = 310'000;  // as the configuration says

// One request that a client has written whole.
struct Piped {
    std::string id, kind, object;
    int part = 0, connection = 0, tries = 1;
    Micros taken = 0, due = 0, ended = 0;
    bool answered = false;
    std::string end = "no answer";
    bool in_time() const { return answered && ended <= due + slack + answer_bound; }
};

// What a client asks for: parts of videos, and where `order` is named, an order with its document as the last
// of each round, `order_after` the parts.
struct Wish {
    std::string video, order;
    std::size_t bytes = 0, document = 0;  // of a part, of an order
    Micros patience = 0, order_patience = 0, order_after = 0;
};

// One connection at a time to one router.
class Viewer {
public:
    Viewer(int port, int number, Wish wish)
        : port(port), number_(number), wish(std::move(wish)), chance(number * 7919 + port) {}
    Viewer(const Viewer&) = delete;
    Viewer& operator=(const Viewer&) = delete;
    ~Viewer() {
        if (fd >= 0) ::close(fd);
    }

    // Asks for `parts` parts of one object on one connection: in one write where `span` is 0, else one after
    // another, evenly over that time. Returns when each has its answer, the connection has ended, or the time
    // of all and the slack is over. What may have crossed the end of the connection is sent again on a new
    // one, once: its last byte was written 50 ms before at most, and nothing that came after it is answered.
    void watch(int parts, Micros span, std::vector<Piped>& asked) {
        auto object = hex(chance());
        std::vector<Piped> round(static_cast<std::size_t>(parts));
        for (int part = 0; part < parts; part++) {
            auto& one = round[static_cast<std::size_t>(part)];
            bool order = !wish.order.empty() && part == parts - 1;
            one.id = hex(chance());
            one.kind = order ? wish.order : wish.video;
            one.object = order ? hex(chance()) : object;
            one.part = order ? 0 : part;
            one.connection = number_;
        }
        Micros begun = now();
        if (span == 0) {
            auto parts_alone = round.size() - (wish.order.empty() ? 0 : 1);
            send(round, 0, parts_alone);
            if (parts_alone < round.size()) {
                wait(round, begun + wish.order_after, false);
                send(round, parts_alone, 1);
            }
        }
        for (int part = 0; span > 0 && part < parts; part++) {
            wait(round, begun + part * span / parts, false);
            send(round, static_cast<std::size_t>(part), 1);
        }
        wait(round, now() + longest(), true);
        // What was written before one that is answered was read, so it has not crossed the end.
        std::vector<Piped> again;
        for (auto& one : round) {
            if (one.answered)
                again.clear();
            else if (one.taken > 0 && one.ended - one.taken <= crossing)
                again.push_back(one);
        }
        if (!again.empty()) {
            for (auto& one : again) one.tries = 2;
            send(again, 0, again.size());
            wait(again, now() + longest(), true);
            for (auto& one : round)
                for (auto& other : again)
                    if (other.id == one.id) one = other;
        }
        asked.insert(asked.end(), round.begin(), round.end());
    }

private:
    Micros patience_of(const Piped& one) const {
        return one.kind == wish.order ? wish.order_patience : wish.patience;
    }
    Micros longest() const { return std::max(wish.patience, wish.order_patience) + slack + answer_bound; }
    void send(std::vector<Piped>& round, std::size_t from, std::size_t how_many) {
        if (fd < 0) {
            fd = connect_to(port);
            seq = 0;
            held.clear();
        }
        std::string out;
        for (auto i = from; i < from + how_many; i++) {
            if (fd < 0) {
                round[i].end = "not let in";
                continue;
            }
            bool order = round[i].kind == wish.order;
            open[++seq] = i;
            out += invoke(seq,
                          {{"c", round[i].kind},
                           {"i", round[i].id},
                           {"d", std::to_string(patience_of(round[i]) / ms)},
                           {"o", round[i].object},
                           {"part", std::to_string(round[i].part)},
                           {"group", "7"},
                           {"m", std::to_string(order ? 100 : wish.bytes * 7500 / 310'000)}},
                          std::string(order ? wish.document : 0, 'd'));
        }
        if (fd < 0) return;
        bool whole = send_all(fd, out);
        for (auto i = from; i < from + how_many; i++) {
            round[i].taken = whole ? now() : 0;
            round[i].due = round[i].taken + patience_of(round[i]);
            if (!whole) round[i].end = "not written whole";
        }
        if (!whole) over(round, "its connection was reset");
    }
    // Reads until `until`, or with `all` until nothing is open.
    void wait(std::vector<Piped>& round, Micros until, bool all) {
        char piece[65'536];
        for (;;) {
            auto left = until - now();
            if (all && open.empty()) return;
            if (fd < 0) {
                if (!all) sleep_until(until);
                return;
            }
            pollfd readable{fd, POLLIN, 0};
            if (left <= 0 || poll(&readable, 1, static_cast<int>(left / ms) + 1) == 0) {
                if (all) over(round, "silence");
                return;
            }
            auto got = ::recv(fd, piece, sizeof piece, 0);
            if (got <= 0) {
                over(round, got == 0 ? "its connection was closed" : "its connection was reset");
                continue;
            }
            held.append(piece, static_cast<std::size_t>(got));
            std::size_t used = 0;
            while (held.size() - used >= 4) {
                auto rest = std::string_view(held).substr(used);
                auto length = number(rest, 4);
                if (rest.size() < 4 + length) break;
                auto answer = read_answer(rest.substr(4, length));
                used += 4 + length;
                auto found = open.find(answer.seq);
                if (found == open.end()) continue;
                auto& one = round[found->second];
                one.answered = answer.end != End::Unreadable;
                one.ended = now();
                one.end = name_of(answer.end);
                open.erase(found);
            }
            held.erase(0, used);
        }
    }
    // The connection has ended, and what is open on it has no answer.
    void over(std::vector<Piped>& round, const char* why) {
        for (auto& [number, place] : open) {
            if (round[place].taken == 0) continue;
            round[place].ended = now();
            round[place].end = why;
        }
        open.clear();
        ::close(fd);
        fd = -1;
    }

    int port, number_;
    Wish wish;
    std::mt19937_64 chance;
    int fd = -1;
    std::int32_t seq = 0;
    std::string held;
    std::map<std::int32_t, std::size_t> open;
};

// One location: nine boxes, two caches above them, and the origin. `zones`: of these and of the boxes.
class Location {
public:
    Location(const std::array<std::string, 2>& zones, const Cache::Answer& answer) {
        static const char* kinds[] = {"small-box", "large-box", "parent", "origin"};
        auto add = [&](std::uint32_t id, int zone, int kind, double weight) {
            caches.push_back(std::make_unique<Cache>(id, answer));
            places.push_back({{id, caches.back()->port(), 0, zone, kind, zone, weight, 0},
                              zones[static_cast<std::size_t>(zone)],
                              kinds[kind]});
        };
        for (std::uint32_t id = 1; id <= 9; id++) add(id, 1, id % 2 ? 0 : 1, 8);
        for (std::uint32_t id : {16U, 17U}) add(id, 0, 2, 40);
        add(32, 0, 3, 60);
    }
    std::vector<Place> places;

private:
    std::vector<std::unique_ptr<Cache>> caches;
};
// A school's boxes: each part of a video is answered whole, after the time that its transfer takes at the
// pace of the configuration.
inline Cache::Answer school_answer(std::size_t bytes) {
    auto after = static_cast<Micros>(static_cast<double>(bytes) / flow_bytes_per_s * second);
    return [bytes, after](const Asked& one) {
        return Cache::whole("200 OK",
                            text("X-Tag: %s\r\nX-Minted: %lld\r\nX-Tell: HIT\r\n"
                                 "X-Report: inflight:4;x1:0.3\r\n",
                                 one.object.c_str(), static_cast<long long>(now() / ms)),
                            std::string(bytes, 'v'), after);
    };
}

}  // namespace stand
