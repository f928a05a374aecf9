#include "rig/uploads/player.hpp"

#include <fcntl.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <stdexcept>
#include <vector>

#include "bytes/bytes.hpp"
#include "rig/call.hpp"
#include "rig/local.hpp"

namespace quillgrade::rig::uploads {

namespace {

constexpr int boxes = 6;
constexpr std::size_t longest_answer = 300'000;
constexpr std::size_t most_short = 16'000, most_middle = 100'000;  // bytes of a body
constexpr Micros piece_every = 20 * millisecond;
constexpr int small_clients = 2;
constexpr Micros small_every = 10 * millisecond;
constexpr std::size_t most_sent = 65'536, most_heard = 65'536;  // bytes at once

// A class that must not run twice, beside the one that the settings have.
std::string config_with_orders(int port, int coordinator, const std::vector<int>& ports, const Load& load) {
    auto told = nlohmann::json::parse(config_of(port, coordinator, ports, 2, load.memory_mb, load.sockets));
    auto& settings = told["settings"];
    auto order = settings["grades"][0];
    order["name"] = "order";
    order["effect"] = "fragile";
    settings["grades"].push_back(order);
    settings["family_info"]["fresh_for"].push_back(0);
    settings["family_info"]["pass_on"].push_back(false);
    return told.dump();
}

// A file under a name of its own, that lasts as long as this.
class ConfigFile {
public:
    explicit ConfigFile(const std::string& text) {
        std::string name = (std::getenv("TMPDIR") ? std::getenv("TMPDIR") : "/tmp");
        name += "/quillgrade_uploads_XXXXXX";
        int made = mkstemp(name.data());
        if (made < 0) throw std::runtime_error("no file for the configuration");
        close(made);
        path = name;
        std::ofstream(path) << text;
    }
    ConfigFile(const ConfigFile&) = delete;
    ConfigFile& operator=(const ConfigFile&) = delete;
    ~ConfigFile() { std::remove(path.c_str()); }
    std::string path;
};

// In kB; 0: it has ended.
long own_memory(int process) {
    std::ifstream in("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(in, line);)
        if (line.starts_with("RssAnon:")) return std::atol(line.c_str() + 8);
    return 0;
}

enum class Final { Served, Refused, Failed };

struct Answer {
    std::int32_t sequence = 0;
    Final final = Final::Failed;
};

// The answers' frames: the call's name and number, then the one field that is set.
Answer read_answer(std::string_view frame) {
    bytes::Cursor in(frame);
    auto kind = in.number(4) & 0xff;
    in.piece(in.number(4));
    Answer answer{.sequence = static_cast<std::int32_t>(in.number(4))};
    constexpr std::uint64_t reply = 2;
    if (kind != reply) return answer;
    in.number(1);
    auto field = in.number(2);
    answer.final = field == 0 ? Final::Served : field == 1 ? Final::Refused : Final::Failed;
    return answer;
}

// A connection that asks. Nothing here waits.
class Client {
public:
    Client(int port, Micros now)
        : descriptor(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0)) {
        if (descriptor < 0) throw std::runtime_error("no descriptor for a client");
        auto address = here(port);
        // It is under way when this returns; what fails shows at the first write.
        (void)connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
        begun = now;
    }
    Client(const Client&) = delete;
    Client& operator=(const Client&) = delete;
    ~Client() { close(descriptor); }

    // It is written by send_some(), behind what was asked before.
    void ask(const std::string& request) {
        auto sequence = ++last_sequence;
        requests[sequence].ends = queued + request.size();
        queued += request.size();
        unsent += request;
    }
    // Sends no more than `most` bytes.
    void send_some(std::size_t most, Micros now) {
        while (most > 0 && !unsent.empty() && !ended) {
            auto size = std::min({most, unsent.size() - sent, most_sent});
            auto got = ::send(descriptor, unsent.data() + sent, size, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (got < 0) {
                ended = errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN && errno != EINTR;
                break;
            }
            sent += static_cast<std::size_t>(got);
            written += static_cast<std::size_t>(got);
            most -= static_cast<std::size_t>(got);
            if (sent == unsent.size()) {
                unsent.clear();
                sent = 0;
            }
        }
        for (auto& [sequence, request] : requests)
            if (request.whole_at == 0 && written >= request.ends) request.whole_at = now;
    }
    void hear(Micros now) {
        std::array<char, most_heard> piece;
        for (;;) {
            auto got = ::recv(descriptor, piece.data(), piece.size(), MSG_DONTWAIT);
            if (got < 0) {
                ended =
                    ended || (errno != EAGAIN && errno != EWOULDBLOCK && errno != ENOTCONN && errno != EINTR);
                return;
            }
            if (got == 0) {
                ended = true;
                return;
            }
            std::string_view heard(piece.data(), static_cast<std::size_t>(got));
            while (auto frame = frames.take(heard)) {
                auto answer = read_answer(frame->content);
                auto found = requests.find(answer.sequence);
                if (found == requests.end() || found->second.answered_at > 0) {
                    second_answers++;
                    continue;
                }
                found->second.answered_at = now;
                found->second.final = answer.final;
            }
        }
    }
    // Nothing more is to come from it, or for it.
    bool over(Micros now) const {
        if (ended) return true;
        if (!unsent.empty()) return false;
        return std::ranges::all_of(requests, [&](auto& one) {
            return one.second.answered_at > 0 || now - one.second.whole_at > patience + lateness;
        });
    }
    bool answered_all() const {
        return std::ranges::all_of(requests, [](auto& one) { return one.second.answered_at > 0; });
    }
    Counts counts() const {
        Counts counts;
        for (auto& [sequence, request] : requests) {
            // One may be refused before its last byte is written.
            auto whole = request.whole_at > 0 ? request.whole_at : request.answered_at;
            bool in_time = request.answered_at > 0 && request.answered_at - whole <= patience + lateness;
            if (whole == 0)
                counts.cut_off++;
            else if (!in_time)
                counts.unanswered++;
            else if (request.final == Final::Served)
                counts.served++;
            else if (request.final == Final::Refused)
                counts.refused++;
            else
                counts.failed++;
        }
        counts.unanswered += second_answers;
        return counts;
    }
    bool wants_to_write() const { return !unsent.empty(); }

    const int descriptor;
    Micros begun = 0;
    bool ended = false;
    std::size_t written = 0;  // bytes

private:
    struct Request {
        std::size_t ends = 0;  // its last byte, counted from the connection's first
        Micros whole_at = 0, answered_at = 0;
        Final final = Final::Failed;
    };
    std::map<std::int32_t, Request> requests;
    std::int32_t last_sequence = 0;
    std::string unsent;
    std::size_t sent = 0, queued = 0;  // bytes: of `unsent`; of all requests
    int second_answers = 0;
    bytes::Frames frames{longest_answer};
};

class Player {
public:
    Player(const Load& load, const std::string& program)
        : load(load),
          port(free_port()),
          file(config_with_orders(port, world.coordinator_port(), ports(), load)),
          router(program, file.path) {
        if (!router.says("serving")) throw std::runtime_error("the router does not start: " + router.log());
        begun = unix_now();
        for (auto& writer : load.writers) writers.push_back({&writer, nullptr});
        for (int i = 0; i < small_clients; i++) small.push_back(std::make_unique<Client>(port, begun));
    }
    Report play() {
        while (!over()) {
            step(unix_now());
            report.most_kb = std::max(report.most_kb, own_memory(router.pid()));
            wait_for_events();
        }
        return judge();
    }

private:
    struct Writing {
        const Writer* writer;
        std::unique_ptr<Client> client;
        bool asked = false;  // a first request, and then those with bodies
        bool paused = false;
        Micros next = 0;
        std::size_t before = 0;  // bytes of the first request
    };

    std::vector<int> ports() {
        std::vector<int> all;
        all.reserve(boxes);
        for (int i = 0; i < boxes; i++) all.push_back(world.port_of_box(world.add_box(load.cache_delay)));
        return all;
    }

    std::string request(std::int32_t sequence, const std::string& type, std::size_t body) {
        auto id = hex_of((load.seed << 32 | ++last_id) * 0xd1342543de82ef95U);
        return framed_call(sequence,
                           {{"c", type},
                            {"i", id},
                            {"d", std::to_string(patience / millisecond)},
                            {"o", hex_of(last_id % 997)},
                            {"part", "0"},
                            {"group", "3"},
                            {"m", "40"}},
                           std::string(body, 'x'));
    }

    void step(Micros now) {
        for (auto& one : writers) write(one, now);
        for (auto& client : small) ask_little(*client, now);
    }

    void ask_little(Client& client, Micros now) {
        client.hear(now);
        if (!client.ended && client.answered_all() && !writers_over(now) && now >= small_due) {
            small_due = now + small_every / small_clients;
            client.ask(request(++small_sequence[&client], "page", 0));
        }
        client.send_some(most_sent, now);
    }

    // Those that are not quick have had an answer before, so that theirs is a connection in use.
    void write(Writing& one, Micros now) {
        auto& writer = *one.writer;
        if (!one.client) {
            if (now - begun < writer.starts) return;
            one.client = std::make_unique<Client>(port, now);
            if (writer.pace != Pace::Quick) {
                one.client->ask(request(1, "page", 0));
                one.client->send_some(most_sent, now);
            }
        }
        auto& client = *one.client;
        client.hear(now);
        if (!one.asked) {
            if (!client.answered_all()) {
                client.send_some(most_sent, now);
                return;
            }
            one.asked = true;
            one.before = client.written;
            int first = writer.pace == Pace::Quick ? 1 : 2;
            for (int i = 0; i < writer.requests; i++) client.ask(request(first + i, "order", writer.body));
        }
        send_at_pace(one, now);
    }

    static void send_at_pace(Writing& one, Micros now) {
        auto& writer = *one.writer;
        auto& client = *one.client;
        auto half = one.before + writer.body / 2;
        switch (writer.pace) {
            case Pace::Quick:
                client.send_some(client.wants_to_write() ? std::size_t{most_sent} * 16 : 0, now);
                return;
            case Pace::Slow:
                if (now < one.next) return;
                one.next = now + piece_every;
                client.send_some(std::max<std::size_t>(1, writer.bytes_per_s * piece_every / second), now);
                return;
            case Pace::Pausing:
                if (!one.paused && client.written < half) client.send_some(half - client.written, now);
                if (!one.paused && client.written >= half) {
                    one.paused = true;
                    one.next = now + writer.pause;
                }
                if (one.paused && now >= one.next) client.send_some(most_sent, now);
                return;
            case Pace::Stopped:
                if (client.written < half) client.send_some(half - client.written, now);
                return;
        }
    }

    bool writers_over(Micros now) const {
        return std::ranges::all_of(writers, [&](auto& one) {
            if (!one.client) return false;
            if (one.writer->pace == Pace::Stopped)
                return one.asked || one.client->ended || now - one.client->begun > patience + lateness;
            return (one.asked || one.client->ended) && one.client->over(now);
        });
    }

    bool over() {
        if (router.ended()) report.ended = true;
        auto now = unix_now();
        return report.ended || (writers_over(now) &&
                                std::ranges::all_of(small, [&](auto& client) { return client->over(now); }));
    }

    void wait_for_events() {
        std::vector<pollfd> polled;
        auto add = [&](const Client& client) {
            if (client.ended) return;
            polled.push_back({client.descriptor, POLLIN, 0});
        };
        for (auto& one : writers)
            if (one.client) add(*one.client);
        for (auto& client : small) add(*client);
        poll(polled.data(), polled.size(), 1);
    }

    Report judge() {
        for (auto& one : writers) {
            if (!one.client || one.writer->pace == Pace::Stopped) continue;
            auto counts = one.client->counts();
            if (one.writer->pace != Pace::Quick) {
                // Its first request has no body.
                Counts first{.served = 1};
                if (counts.served > 0) {
                    counts.served--;
                    report.small.add(first);
                }
            }
            report
                .counts[static_cast<std::size_t>(one.writer->pace)]
                       [static_cast<std::size_t>(size_class_of(one.writer->body))]
                .add(counts);
        }
        for (auto& client : small) report.small.add(client->counts());
        report.effects_twice = world.totals().effects_twice;
        report.log = router.log();
        return report;
    }

    const Load& load;
    World world;
    int port;
    ConfigFile file;
    Router router;
    Micros begun = 0, small_due = 0;
    std::uint64_t last_id = 0;
    std::vector<Writing> writers;
    std::vector<std::unique_ptr<Client>> small;
    std::map<const Client*, std::int32_t> small_sequence;
    Report report;
};

}  // namespace

void Counts::add(const Counts& other) {
    served += other.served;
    refused += other.refused;
    failed += other.failed;
    unanswered += other.unanswered;
    cut_off += other.cut_off;
}

int size_class_of(std::size_t body) { return body <= most_short ? 0 : body <= most_middle ? 1 : 2; }

const char* name_of_size(int size_class) {
    constexpr std::array<const char*, size_classes> names{"up to 16 KB", "up to 100 KB", "up to 240 KB"};
    return names.at(static_cast<std::size_t>(size_class));
}

Counts Report::of_size(int size_class) const {
    Counts sum;
    for (auto& of_pace : counts) sum.add(of_pace.at(static_cast<std::size_t>(size_class)));
    return sum;
}

Counts Report::all() const {
    Counts sum;
    for (int size_class = 0; size_class < size_classes; size_class++) sum.add(of_size(size_class));
    return sum;
}

Report play(const Load& load, const std::string& program) { return Player(load, program).play(); }

}  // namespace quillgrade::rig::uploads
