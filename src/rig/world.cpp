#include "rig/world.hpp"

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <cmath>
#include <cstdlib>
#include <future>
#include <list>
#include <mutex>
#include <set>
#include <stdexcept>
#include <thread>
#include <unordered_map>
#include <utility>

#include "bytes/bytes.hpp"
#include "rig/call.hpp"
#include "rig/local.hpp"

namespace quillgrade::rig {

namespace {

using bytes::put_number;

// A final answer may come 50 ms after the client's time is up.
constexpr Micros slack = 50'000, tick = 1000;
// An attempt may begin 0.1 s after its client left, and each time limit is 50 ms longer on sockets.
constexpr Micros after_leaving = 100'000 + slack;
constexpr int most_open = 32;  // calls on one connection, by the protocol

struct Free {
    void operator()(event_base* base) const { event_base_free(base); }
    void operator()(event* timer) const { event_free(timer); }
    void operator()(bufferevent* buffer) const { bufferevent_free(buffer); }
    void operator()(evconnlistener* listener) const { evconnlistener_free(listener); }
};
template <class T>
using Owned = std::unique_ptr<T, Free>;

timeval in(Micros wait) {
    return {static_cast<time_t>(wait / 1'000'000), static_cast<suseconds_t>(wait % 1'000'000)};
}

}  // namespace

Micros unix_now() {
    auto since = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::microseconds>(since).count();
}

struct World::Inner {
    struct Box {
        Inner* world;
        int port = 0, place = 0;
        Micros delay, forbidden = 0;
        bool resets = false;
        std::size_t bytes;
        std::uint64_t sends = 0;
        std::vector<std::string> heads;
        Owned<evconnlistener> listener;
    };
    // A connection at a box; it answers one request at a time.
    struct Served {
        Inner* world;
        Box* box;
        std::string head = {};      // of the request that comes
        std::size_t body_left = 0;  // bytes of its body that have not come
        Owned<bufferevent> buffer;
        Owned<event> due;
        std::list<Served>::iterator self;
    };
    struct Lookup {
        Micros asked, due;
        int finals = 0;
        bool again = false;  // was sent a second time
        bool excused = false;
        bool crossed = false;  // and could not be sent again
        int router_port = 0;
    };
    struct Target {  // a router that is asked
        int port = 0;
        std::uint32_t host = 0;
        double per_s = 0, owed = 0;
        int wanted = 0;
        Micros wait = 0;
        std::size_t next_client = 0;
        bool lets_connect = true;
        Micros excused_from = 0;
    };
    struct Watched {
        bool noted = false;
        Micros forbidden = 0;
        std::vector<Micros> at;
    };
    struct Older {
        std::uint64_t object;
        Micros at, from, until;
    };
    struct Client {
        Inner* world;
        Target* target;
        Owned<bufferevent> buffer;
        std::unordered_map<std::int32_t, std::uint64_t>
            open;            // sequence number to lookup, until its time is up
        int unanswered = 0;  // of these
        std::int32_t seq = 0;
        bool up = false, dead = false, excused = false;
    };
    struct Feed {
        Owned<bufferevent> buffer;
        bool asked = false;
    };

    Owned<event_base> base{event_base_new()};
    mutable std::mutex lock;
    std::vector<std::function<void()>> commands;
    std::list<std::unique_ptr<Box>> boxes_owned;
    std::vector<Box*> boxes;
    std::list<Served> served;
    std::list<Feed> feeds;
    std::vector<std::pair<std::uint64_t, std::string>> events;  // frames told so far
    Owned<evconnlistener> coordinator;
    int coordinator_port = 0;
    std::list<Client> clients;
    std::unordered_map<std::uint64_t, Lookup> lookups;
    std::uint64_t next_id = 1;
    std::vector<std::pair<std::uint64_t, Target*>>
        crossed;  // lookups that crossed the close of their connection
    std::list<Target> targets;
    std::map<std::uint64_t, Watched> watched;  // by the server's id
    std::vector<Older> olders;
    std::string told = "HIT";
    std::uint64_t object_count = 997;
    Micros last_tick = 0, last_beat = 0;
    std::string field;
    std::vector<std::string> values;
    bool silent = false, gone = false;  // the coordinator
    Micros lateness_allowed = slack;
    bool forwarded_is_taken = false;
    std::set<std::string> forwarded;  // ids that came to boxes, where that counts
    std::vector<LostRequest> lost;
    std::set<std::string> effects;               // ids of non-idempotent requests that came to a box
    std::map<std::string, Micros> clients_left;  // by request id
    Totals totals;
    std::vector<Micros> times;
    Owned<event> timer;
    std::thread thread;
    std::atomic<bool> over{false};

    // Runs `what` on the loop's thread and returns when it has.
    template <class What>
    auto run(What what) {
        std::promise<decltype(what())> done;
        auto result = done.get_future();
        {
            std::lock_guard hold(lock);
            commands.push_back([&] {
                if constexpr (std::is_void_v<decltype(what())>) {
                    what();
                    done.set_value();
                } else {
                    done.set_value(what());
                }
            });
        }
        return result.get();
    }

    Owned<evconnlistener> listen(int& port, evconnlistener_cb taken, void* self) {
        auto address = here(0);
        Owned<evconnlistener> made(
            evconnlistener_new_bind(base.get(), taken, self, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC,
                                    512, reinterpret_cast<sockaddr*>(&address), sizeof address));
        socklen_t size = sizeof address;
        if (!made ||
            getsockname(evconnlistener_get_fd(made.get()), reinterpret_cast<sockaddr*>(&address), &size))
            throw std::runtime_error("the world can't listen");
        port = ntohs(address.sin_port);
        return made;
    }

    // ---- boxes
    void taken(Box* box, int fd) {
        served.emplace_front();
        auto& one = served.front();
        one.world = this;
        one.box = box;
        one.self = served.begin();
        one.buffer.reset(bufferevent_socket_new(base.get(), fd, BEV_OPT_CLOSE_ON_FREE));
        one.due.reset(evtimer_new(
            base.get(),
            [](evutil_socket_t, short, void* self) {
                static_cast<Served*>(self)->world->reply(*static_cast<Served*>(self));
            },
            &one));
        bufferevent_setcb(
            one.buffer.get(),
            [](bufferevent*, void* self) {
                static_cast<Served*>(self)->world->heard(*static_cast<Served*>(self));
            },
            nullptr,
            [](bufferevent*, short what, void* self) {
                auto& one = *static_cast<Served*>(self);
                if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) one.world->served.erase(one.self);
            },
            &one);
        bufferevent_enable(one.buffer.get(), EV_READ | EV_WRITE);
    }

    // Takes what has come; a request is seen once its body is whole.
    void heard(Served& one) {
        auto* input = bufferevent_get_input(one.buffer.get());
        if (one.head.empty()) {
            auto end = evbuffer_search(input, "\r\n\r\n", 4, nullptr);
            if (end.pos < 0) return;
            one.head.resize(static_cast<std::size_t>(end.pos) + 4);
            evbuffer_remove(input, one.head.data(), one.head.size());
            one.body_left = std::strtoull(field_of(one.head, "Content-Length").c_str(), nullptr, 10);
        }
        auto taken = std::min(one.body_left, evbuffer_get_length(input));
        evbuffer_drain(input, taken);
        one.body_left -= taken;
        if (one.body_left == 0) request(one, std::exchange(one.head, {}));
    }

    void request(Served& one, std::string head) {
        {
            std::lock_guard hold(lock);
            observe(*one.box, head);
            if (one.box->heads.size() < 1000) one.box->heads.push_back(std::move(head));
            totals.sends++;
            one.box->sends++;
            if (one.box->forbidden > 0 && unix_now() > one.box->forbidden) totals.late_sends++;
        }
        if (one.box->resets) {
            linger at_once{1, 0};
            setsockopt(bufferevent_getfd(one.buffer.get()), SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
            served.erase(one.self);
            return;
        }
        auto wait = in(one.box->delay);
        evtimer_add(one.due.get(), &wait);
    }

    static std::string field_of(const std::string& head, const std::string& name) {
        auto at = head.find("\r\n" + name + ": ");
        if (at == std::string::npos) return "";
        at += name.size() + 4;
        return head.substr(at, head.find("\r\n", at) - at);
    }

    // What the rules forbid, seen from where it arrives.
    void observe(const Box& box, const std::string& head) {
        if (head.rfind("GET /data/", 0) != 0) return;
        auto now = unix_now();
        auto id = field_of(head, "X-Hop-Id");
        if (forwarded_is_taken) forwarded.insert(id);
        if (head.rfind("GET /data/order/", 0) == 0 && !effects.insert(id).second) totals.effects_twice++;
        auto left = clients_left.find(id);
        if (left != clients_left.end() && now > left->second + after_leaving) totals.after_client_left++;
        auto note = [&](std::uint64_t id) {
            auto found = watched.find(id);
            if (found == watched.end()) return;
            if (found->second.noted) found->second.at.push_back(now);
            if (found->second.forbidden > 0 && now > found->second.forbidden) totals.late_named++;
        };
        note(static_cast<std::uint64_t>(box.place) + 1);
        auto parent = field_of(head, "X-Parent");
        if (parent.rfind("s-", 0) == 0) note(std::strtoull(parent.c_str() + 2, nullptr, 16));
        auto object_at = head.find('/', 10);
        auto object =
            object_at == std::string::npos ? 0 : std::strtoull(head.c_str() + object_at + 1, nullptr, 16);
        auto fresh = std::strtoll(field_of(head, "X-Fresh-Ms").c_str(), nullptr, 10);
        for (auto& purge : olders)
            if ((purge.object == 0 || purge.object == object) && now >= purge.from && now < purge.until &&
                (fresh == 0 || fresh > (now - purge.at) / 1000 + 1))
                totals.older++;
    }

    void reply(Served& one) {
        std::string out =
            "HTTP/1.1 200 OK\r\nX-Tell: " + told +
            "\r\nX-Report: inflight:1;x1:0.1\r\nContent-Length: " + std::to_string(one.box->bytes) +
            "\r\n\r\n" + std::string(one.box->bytes, 'b');
        bufferevent_write(one.buffer.get(), out.data(), out.size());
    }

    // ---- the coordinator
    void feed_taken(int fd) {
        if (gone) {
            evutil_closesocket(fd);
            return;
        }
        feeds.emplace_back();
        auto& feed = feeds.back();
        feed.buffer.reset(bufferevent_socket_new(base.get(), fd, BEV_OPT_CLOSE_ON_FREE));
        bufferevent_setcb(
            feed.buffer.get(),
            [](bufferevent* buffer, void* self) { static_cast<Inner*>(self)->feed_asked(buffer); }, nullptr,
            [](bufferevent* buffer, short what, void* self) {
                if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR))
                    static_cast<Inner*>(self)->feeds.remove_if(
                        [&](auto& one) { return one.buffer.get() == buffer; });
            },
            this);
        bufferevent_enable(feed.buffer.get(), EV_READ | EV_WRITE);
    }

    void feed_asked(bufferevent* buffer) {
        std::array<char, 8> number;
        if (evbuffer_get_length(bufferevent_get_input(buffer)) < sizeof number) return;
        evbuffer_remove(bufferevent_get_input(buffer), number.data(), sizeof number);
        auto last = bytes::Cursor({number.data(), sizeof number}).number(8);
        for (auto& feed : feeds)
            if (feed.buffer.get() == buffer) feed.asked = true;
        if (silent) return;
        for (auto& [told, frame] : events)
            if (told > last) bufferevent_write(buffer, frame.data(), frame.size());
        beat(buffer);
    }

    static std::string frame(std::uint64_t number, int kind, const std::string& payload) {
        std::string out;
        put_number(out, 4, 9 + payload.size());
        put_number(out, 8, number);
        put_number(out, 1, static_cast<std::uint64_t>(kind));
        return out + payload;
    }

    static void beat(bufferevent* buffer) {
        auto nothing = frame(0, 0, "");
        bufferevent_write(buffer, nothing.data(), nothing.size());
    }

    // ---- clients
    void connect_clients(Target& target) {
        int have = 0;
        for (auto& client : clients) have += client.target == &target;
        if (!target.lets_connect) return;
        for (; have < target.wanted; have++) {
            auto& client = clients.emplace_back();
            client.world = this;
            client.target = &target;
            client.buffer.reset(bufferevent_socket_new(base.get(), -1, BEV_OPT_CLOSE_ON_FREE));
            bufferevent_setcb(
                client.buffer.get(), [](bufferevent*, void* self) { heard(*static_cast<Client*>(self)); },
                nullptr,
                [](bufferevent*, short what, void* self) {
                    auto& client = *static_cast<Client*>(self);
                    if (what & BEV_EVENT_CONNECTED) client.up = true;
                    if (what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) client.dead = true;
                },
                &client);
            auto address = here(target.port);
            address.sin_addr.s_addr = htonl(target.host);
            bufferevent_enable(client.buffer.get(), EV_READ | EV_WRITE);
            bufferevent_socket_connect(client.buffer.get(), reinterpret_cast<sockaddr*>(&address),
                                       sizeof address);
        }
    }

    static void heard(Client& client) {
        auto* input = bufferevent_get_input(client.buffer.get());
        for (;;) {
            std::array<unsigned char, 4> head;
            if (evbuffer_copyout(input, head.data(), head.size()) < 4) return;
            std::size_t length = head[0] << 24 | head[1] << 16 | head[2] << 8 | head[3];
            if (evbuffer_get_length(input) < 4 + length) return;
            std::string content(length, '\0');
            evbuffer_drain(input, 4);
            evbuffer_remove(input, content.data(), length);
            bytes::Cursor in(content);
            in.piece(4);
            in.piece(in.number(4));
            auto seq = static_cast<std::int32_t>(in.number(4));
            in.piece(1);
            client.world->final(client, seq, static_cast<int>(in.number(2)));
        }
    }

    void final(Client& client, std::int32_t seq, int member) {
        auto found = client.open.find(seq);
        if (found == client.open.end()) return;
        auto lookup = lookups.find(found->second);
        if (lookup == lookups.end()) return;
        std::lock_guard hold(lock);
        auto now = unix_now();
        if (++lookup->second.finals > 1) return;
        client.unanswered--;
        if (member == 0) {
            totals.handled++;
            times.push_back(now - lookup->second.asked);
        } else {
            (member == 1 ? totals.rejected : totals.broken_off)++;
        }
        auto late = now - lookup->second.due;
        if (late > slack && late <= lateness_allowed) totals.late++;
        if (late > lateness_allowed) lookup->second.finals = 100;  // as good as none
    }

    void ask_one(Client& client, Micros now) {
        auto id = next_id++;
        auto& target = *client.target;
        bool excused = client.excused || (target.excused_from > 0 && now >= target.excused_from);
        auto& lookup = lookups[id];
        lookup = {now, now + target.wait};
        lookup.excused = excused;
        lookup.router_port = target.port;
        totals.asked++;
        send(client, id, now);
    }

    void send(Client& client, std::uint64_t id, Micros now) {
        std::int32_t seq = ++client.seq;
        client.open[seq] = id;
        client.unanswered++;
        std::map<std::string, std::string> fields = {{"c", "page"},
                                                     {"i", id_of(id)},
                                                     {"d", std::to_string((lookups[id].due - now) / 1000)},
                                                     {"o", hex_of(1 + id % object_count * 7919)},
                                                     {"part", "0"},
                                                     {"group", "1"},
                                                     {"m", "1"}};
        if (!values.empty()) fields[field] = values[id % values.size()];
        auto frame = framed_call(seq, fields);
        bufferevent_write(client.buffer.get(), frame.data(), frame.size());
    }

    static std::string id_of(std::uint64_t lookup) { return hex_of(lookup * 0x9e3779b97f4a7c15U); }

    bool was_forwarded(std::uint64_t lookup) {
        if (!forwarded_is_taken) return false;
        std::lock_guard hold(lock);
        return forwarded.contains(id_of(lookup));
    }

    // By the protocol a router may close a connection on which nothing is open, and a lookup that crosses
    // such a close within 50 ms is sent again on another connection, once.
    void bury(Micros now) {
        for (auto& client : clients) {
            if (!client.dead) continue;
            for (auto& [seq, id] : client.open) {
                auto found = lookups.find(id);
                if (found == lookups.end()) continue;
                auto& lookup = found->second;
                if (lookup.finals == 0 && !lookup.again && !client.excused && now - lookup.asked < slack &&
                    !was_forwarded(id)) {
                    lookup.again = true;
                    // It goes to another router, by those who send clients to this one.
                    if (!client.target->lets_connect) {
                        lookup.crossed = true;
                        continue;
                    }
                    crossed.emplace_back(id, client.target);
                }
            }
        }
        clients.remove_if([](auto& client) { return client.dead; });
    }

    void ask_target(Target& target, Micros now) {
        connect_clients(target);
        target.owed = std::min(target.owed + target.per_s * static_cast<double>(now - last_tick) / 1e6,
                               std::max(1.0, target.per_s));
        std::vector<Client*> up;
        for (auto& client : clients)
            if (client.target == &target && client.up && client.unanswered < most_open) up.push_back(&client);
        if (up.empty()) return;
        std::lock_guard hold(lock);
        auto pick = [&]() -> Client& { return *up[target.next_client++ % up.size()]; };
        std::erase_if(crossed, [&](auto& one) {
            if (one.second != &target) return false;
            send(pick(), one.first, now);
            return true;
        });
        for (; target.owed >= 1 && !up.empty(); target.owed--) {
            ask_one(pick(), now);
            std::erase_if(up, [](auto* client) { return client->unanswered >= most_open; });
        }
    }

    // An answer that comes while the observer gets no core is read late, and taken for late.
    void note_gap(Micros now) {
        if (last_tick == 0) return;
        std::lock_guard hold(lock);
        totals.longest_gap = std::max(totals.longest_gap, now - last_tick);
    }

    void each_tick() {
        std::vector<std::function<void()>> now_due;
        {
            std::lock_guard hold(lock);
            now_due.swap(commands);
        }
        for (auto& command : now_due) command();
        auto now = unix_now();
        if (now - last_beat >= 1'000'000) {
            last_beat = now;
            for (auto& feed : feeds)
                if (feed.asked && !silent) beat(feed.buffer.get());
        }
        note_gap(now);
        bury(now);
        for (auto& target : targets)
            if (target.per_s > 0) ask_target(target, now);
        last_tick = now;
        judge(now);
        auto again = in(tick);
        if (!over) evtimer_add(timer.get(), &again);
        if (over) event_base_loopbreak(base.get());
    }

    void note_lost(std::uint64_t id, const Lookup& lookup) {
        bool crossed = lookup.crossed && !forwarded.contains(id_of(id));
        if ((lookup.excused || crossed) && lookup.finals == 0) {
            totals.excused++;
            return;
        }
        totals.without_one_final++;
        using How = LostRequest::How;
        auto how = lookup.finals == 0     ? How::NoAnswer
                   : lookup.finals >= 100 ? How::LateAnswer
                                          : How::SecondAnswer;
        if (lost.size() < 1000) lost.push_back({how, lookup.router_port, lookup.asked, lookup.due});
    }

    // A lookup whose time is up has had its one final answer, or not.
    void judge(Micros now) {
        std::lock_guard hold(lock);
        for (auto& client : clients)
            std::erase_if(client.open, [&](auto& entry) {
                auto found = lookups.find(entry.second);
                if (found != lookups.end() && now <= found->second.due + lateness_allowed + slack)
                    return false;
                if (found != lookups.end() && found->second.finals == 0) client.unanswered--;
                return true;
            });
        std::erase_if(lookups, [&](auto& entry) {
            if (now <= entry.second.due + lateness_allowed + slack) return false;
            if (entry.second.finals != 1) note_lost(entry.first, entry.second);
            return true;
        });
    }
};

World::World() : inner(std::make_unique<Inner>()) {
    inner->coordinator = inner->listen(
        inner->coordinator_port,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
            static_cast<Inner*>(self)->feed_taken(fd);
        },
        inner.get());
    inner->timer.reset(evtimer_new(
        inner->base.get(), [](evutil_socket_t, short, void* self) { static_cast<Inner*>(self)->each_tick(); },
        inner.get()));
    inner->last_tick = unix_now();
    auto first = in(tick);
    evtimer_add(inner->timer.get(), &first);
    inner->thread = std::thread([this] { event_base_dispatch(inner->base.get()); });
}

World::~World() {
    inner->over = true;
    inner->thread.join();
}

int World::add_box(Micros delay, std::size_t bytes) {
    return inner->run([&] {
        inner->boxes_owned.push_back(std::make_unique<Inner::Box>());
        auto* box = inner->boxes_owned.back().get();
        box->world = inner.get();
        box->delay = delay;
        box->bytes = bytes;
        box->listener = inner->listen(
            box->port,
            [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
                auto* box = static_cast<Inner::Box*>(self);
                box->world->taken(box, fd);
            },
            box);
        std::lock_guard hold(inner->lock);
        inner->boxes.push_back(box);
        box->place = static_cast<int>(inner->boxes.size()) - 1;
        return static_cast<int>(inner->boxes.size()) - 1;
    });
}

int World::port_of_box(int box) const {
    std::lock_guard hold(inner->lock);
    return inner->boxes.at(static_cast<std::size_t>(box))->port;
}

void World::set_delay(int box, Micros delay) {
    inner->run([&] { inner->boxes.at(static_cast<std::size_t>(box))->delay = delay; });
}

void World::forbid(int box, Micros at) {
    std::lock_guard hold(inner->lock);
    inner->boxes.at(static_cast<std::size_t>(box))->forbidden = at;
}

std::uint64_t World::sends_to(int box) const {
    std::lock_guard hold(inner->lock);
    return inner->boxes.at(static_cast<std::size_t>(box))->sends;
}

int World::coordinator_port() const { return inner->coordinator_port; }

void World::tell(std::uint64_t number, int kind, const std::string& payload) {
    inner->run([&] {
        auto frame = Inner::frame(number, kind, payload);
        inner->events.emplace_back(number, frame);
        for (auto& feed : inner->feeds)
            if (feed.asked && !inner->silent)
                bufferevent_write(feed.buffer.get(), frame.data(), frame.size());
    });
}

void World::ask(int router_port, double per_s, int connections, Micros wait, std::uint32_t host) {
    inner->run([&] {
        for (auto& target : inner->targets)
            if (target.port != router_port || target.host != host) {
                target.per_s = 0;
                inner->clients.remove_if([&](auto& client) { return client.target == &target; });
            }
    });
    ask_also(router_port, per_s, connections, wait, host);
}

void World::ask_also(int router_port, double per_s, int connections, Micros wait, std::uint32_t host) {
    inner->run([&] {
        auto found = std::find_if(inner->targets.begin(), inner->targets.end(), [&](auto& target) {
            return target.port == router_port && target.host == host;
        });
        if (found == inner->targets.end()) {
            found = inner->targets.insert(found, Inner::Target{router_port, host});
        }
        found->per_s = per_s;
        found->wanted = connections;
        found->wait = wait;
        found->owed = 0;
    });
}

void World::let_connect(int router_port, bool allowed) {
    inner->run([&] {
        for (auto& target : inner->targets)
            if (target.port == router_port) target.lets_connect = allowed;
    });
}

void World::excuse_open(int router_port) {
    inner->run([&] {
        for (auto& client : inner->clients) {
            if (client.target->port != router_port) continue;
            client.excused = true;
            for (auto& [seq, id] : client.open)
                if (auto found = inner->lookups.find(id); found != inner->lookups.end())
                    found->second.excused = true;
        }
    });
}

void World::excuse_from(int router_port, Micros from) {
    inner->run([&] {
        for (auto& target : inner->targets)
            if (target.port == router_port) target.excused_from = from;
    });
}

std::vector<LostRequest> World::take_lost() {
    std::lock_guard hold(inner->lock);
    return std::exchange(inner->lost, {});
}

void World::client_left(const std::string& id, Micros at) {
    std::lock_guard hold(inner->lock);
    inner->clients_left.emplace(id, at);
}

void World::allow_lateness(Micros lateness) {
    inner->run([&] { inner->lateness_allowed = lateness; });
}

void World::hold_forwarded_as_taken() {
    inner->run([&] { inner->forwarded_is_taken = true; });
}

void World::ask_now(int router_port, int count) {
    inner->run([&] {
        for (auto& target : inner->targets)
            if (target.port == router_port && target.per_s > 0) target.owed += count;
    });
}

void World::set_resetting(int box, bool resets) {
    inner->run([&] { inner->boxes.at(static_cast<std::size_t>(box))->resets = resets; });
}

void World::coordinator_silent(bool silent) {
    inner->run([&] {
        inner->silent = silent;
        // What was told meanwhile reaches the routers when they ask again.
        if (!silent) inner->feeds.clear();
    });
}

void World::coordinator_gone(bool gone) {
    inner->run([&] {
        inner->gone = gone;
        if (gone) inner->feeds.clear();
    });
}

void World::watch(std::uint64_t id) {
    std::lock_guard hold(inner->lock);
    inner->watched[id].noted = true;
}

std::vector<Micros> World::seen_at(std::uint64_t id) const {
    std::lock_guard hold(inner->lock);
    auto found = inner->watched.find(id);
    return found == inner->watched.end() ? std::vector<Micros>{} : found->second.at;
}

void World::forbid_server(std::uint64_t id, Micros at) {
    std::lock_guard hold(inner->lock);
    inner->watched[id].forbidden = at;
}

void World::forbid_older(std::uint64_t object, Micros at, Micros from, Micros until) {
    std::lock_guard hold(inner->lock);
    inner->olders.push_back({object, at, from, until});
}

void World::note(const std::string& word) {
    inner->run([&] { inner->told = word; });
}

void World::objects(std::uint64_t count) {
    inner->run([&] { inner->object_count = count; });
}

std::vector<std::string> World::take_heads(int box) {
    std::lock_guard hold(inner->lock);
    return std::exchange(inner->boxes.at(static_cast<std::size_t>(box))->heads, {});
}

void World::say(const std::string& field, const std::vector<std::string>& values) {
    inner->run([&] {
        inner->field = field;
        inner->values = values;
    });
}

void World::finish() {
    inner->run([&] {
        for (auto& target : inner->targets) target.per_s = 0;
    });
    while (!inner->run([&] { return inner->lookups.empty(); }))
        std::this_thread::sleep_for(std::chrono::milliseconds(5));
}

Totals World::totals() const {
    std::lock_guard hold(inner->lock);
    return inner->totals;
}

std::vector<Micros> World::take_times() {
    std::lock_guard hold(inner->lock);
    return std::exchange(inner->times, {});
}

double quantile(std::vector<Micros> values, double q) {
    if (values.empty()) return 0;
    auto at = values.begin() + static_cast<std::ptrdiff_t>(q * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), at, values.end());
    return static_cast<double>(*at);
}

}  // namespace quillgrade::rig
