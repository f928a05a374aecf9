#include "node/front.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "log/log.hpp"

namespace quillgrade::node {

namespace {

constexpr int waiting_connections = 512;
constexpr Micros ms = 1000, pause_time = 100 * ms, tidy_every = 200 * ms;
// Clients close a connection that was idle for 4 s, and ask as soon as they have connected.
constexpr Micros longest_idle = 5000 * ms, longest_mute = 2200 * ms;
// In which the system takes no byte of a client's answers, while memory for answers is wanted.
constexpr Micros longest_unread = 1000 * ms;
constexpr Micros tell_again_after = 1000 * ms;
// The limit of the account of requests, in times what slow senders keep together while others wait for room.
constexpr std::size_t limit_per_slow_share = 2;

}  // namespace

Front::Front(const Client::Shared& shared, int most_clients, const MemoryAccount& answers)
    : shared(shared),
      most_clients(static_cast<std::size_t>(most_clients)),
      answers(answers),
      again(shared.base, [this] { resume(); }),
      tidy(shared.base,
           [this] {
               drop_overdue(this->shared.clock.now());
               tidy.set(tidy_every);
           }),
      room_due(shared.base, [] {}) {  // what is due is done after each pass
    this->shared.room_wanted = [this] { read_less(); };
    tidy.set(tidy_every);
}

void Front::listen(const feed::Address& at) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(at.host);
    address.sin_port = htons(at.port);
    listener.reset(evconnlistener_new_bind(
        shared.base,
        [](evconnlistener*, evutil_socket_t fd, sockaddr* from, int, void* self) {
            auto* inet = reinterpret_cast<sockaddr_in*>(from);
            static_cast<Front*>(self)->accepted(
                fd, inet->sin_family == AF_INET ? ntohl(inet->sin_addr.s_addr) : 0);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, waiting_connections,
        reinterpret_cast<sockaddr*>(&address), sizeof address));
    if (!listener) throw std::runtime_error(std::string("can't listen: ") + std::strerror(errno));
    evconnlistener_set_error_cb(listener.get(), [](evconnlistener*, void* self) {
        static_cast<Front*>(self)->refused(EVUTIL_SOCKET_ERROR());
    });
}

void Front::accepted(int fd, std::uint32_t address) {
    last_id++;
    clients.try_emplace(last_id, shared, fd, last_id, address);
    if (clients.size() >= most_clients) pause();
}

// No descriptor, or a connection that broke off before it was taken; either passes.
void Front::refused(int error) {
    short_of_descriptors = error == EMFILE || error == ENFILE;
    if (!short_of_descriptors) return;
    log::warning("no new client connections for a moment: {}", std::strerror(error));
    pause();
    again.set(pause_time);
}

// Guards against a loop that spins on connections it can't take; they wait in the system's queue meanwhile.
void Front::pause() {
    if (std::exchange(paused, true)) return;
    if (listener) evconnlistener_disable(listener.get());
}

void Front::resume() {
    if (clients.size() >= most_clients || !std::exchange(paused, false)) return;
    if (listener) evconnlistener_enable(listener.get());
}

void Front::answer(const Caller& caller, std::string_view frame) {
    auto found = clients.find(caller.client);
    if (found != clients.end()) found->second.answer(caller.seq, frame);
}

void Front::answer(const Caller& caller, const thrift::Envelope& around, const SharedBytes& body) {
    auto found = clients.find(caller.client);
    if (found != clients.end()) found->second.answer(caller.seq, around, body);
}

Client::Presence Front::presence(const Caller& caller) {
    auto found = clients.find(caller.client);
    return found == clients.end() ? Client::Presence::Gone : found->second.presence();
}

// Guards against lookups on connections that the system has taken and nobody has looked at: closing the
// listener would reset them.
void Front::stop_listening() {
    if (!listener) return;
    auto fd = evconnlistener_get_fd(listener.get());
    for (;;) {
        sockaddr_in from{};
        socklen_t size = sizeof from;
        if (clients.size() >= most_clients) return;
        int taken = ::accept4(fd, reinterpret_cast<sockaddr*>(&from), &size, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (taken >= 0) {
            accepted(taken, ntohl(from.sin_addr.s_addr));
            continue;
        }
        if (errno == ECONNABORTED || errno == EINTR) continue;
        if (errno == EMFILE || errno == ENFILE) return;
        break;
    }
    listener.reset();
}

void Front::half_close_resting(Micros now) {
    for (auto& [id, client] : clients)
        if (client.resting(now)) client.half_close();
}

void Front::sweep() {
    auto now = shared.clock.now();
    for (auto& [id, client] : clients)
        if (client.wants_half_close()) client.half_close();
    std::erase_if(clients, [&](auto& client) { return client.second.over(now); });
    drop_unread(now);
    if (shared.requests_wait) share_room(now);
    if (std::exchange(short_of_descriptors, false)) {
        drop_silent();
        return;  // a descriptor is free a pass of the loop later, or after the pause
    }
    // Guards against lookups that wait unread in the system's queue, on connections that nobody takes: room
    // is made as soon as it is needed, and whoever waits is let in in the same pass.
    if (clients.size() >= most_clients && !drop_silent()) {
        tidy.set(crossing);  // by then there may be one
        if (!std::exchange(told_of_pause, true))
            log::warning("no new client connections: all that descriptors allow are at work");
    } else if (paused && !again.pending()) {
        told_of_pause = false;
        resume();
    }
}

// Guards against memory that clients hold who do not read: while answers are under pressure, one of whose
// bytes the system has taken none for a while is hung up on. What was not offered to the system yet, or is
// taken slowly, is no reason, however much it is: what is under way waits at the caches meanwhile.
void Front::drop_unread(Micros now) {
    for (auto& [id, client] : clients) {
        auto since = client.unread_since(now);
        if (!since || now - *since < longest_unread || !answers.under_pressure()) continue;
        log::warning("client hung up on: it has read nothing for {} ms, and {} bytes wait for it",
                     (now - *since) / ms, client.unsent());
        client.hang_up();
    }
    std::erase_if(clients, [&](auto& entry) { return entry.second.over(now); });
}

// Guards against clients that wait for room for as long as others hold it: each wait has an end.
void Front::share_room(Micros now) {
    std::vector<Client*> senders;
    std::vector<IncomingRequest> requests;
    for (auto& [id, client] : clients)
        if (auto request = client.incoming_request(now)) {
            senders.push_back(&client);
            requests.push_back(*request);
        }
    admit_requests(requests, shared.free_room(), shared.requests.limit() / limit_per_slow_share, now);
    std::size_t waiting = 0;
    Micros due = tidy_every;
    for (std::size_t i = 0; i < requests.size(); i++) {
        auto& request = requests[i];
        if (request.decision == IncomingRequest::Decision::Grant) {
            senders[i]->grant_room();
        } else if (request.decision == IncomingRequest::Decision::Refuse) {
            senders[i]->refuse_request(request.sender);
        } else if (request.wanted > 0) {
            waiting++;
            due = std::min(due, request.waits_since + request.longest_wait - now);
        }
    }
    tell_of_room(waiting, now);
    if (waiting > 0)
        room_due.set(due);
    else
        read_as_usual();
}

// Until there is room, what is read before its room is known is little from each client.
void Front::read_less() {
    for (auto& [id, client] : clients) client.choose_read_limit();
}

void Front::read_as_usual() {
    shared.requests_wait = false;
    for (auto& [id, client] : clients) client.choose_read_limit();
}

void Front::tell_of_room(std::size_t waiting, Micros now) {
    if (now - told_of_room < tell_again_after) return;
    told_of_room = now;
    log::warning(
        "reading less from clients: requests hold {} of {} bytes, {} at most so far; {} wait for room; "
        "not kept so far: {} had waited too long, {} came slowly, {} had stopped",
        shared.requests.held(), shared.requests.limit(), shared.requests.peak(), waiting,
        shared.refused.waited, shared.refused.slow, shared.refused.stopped);
}

// Guards against connections that are kept for nothing: of a client that has not sent one whole message in
// time, or that has been idle for longer than a client that means to come back.
void Front::drop_overdue(Micros now) {
    for (auto& [id, client] : clients) {
        auto longest = client.spoke() ? longest_idle : longest_mute;
        if (client.resting(now) && now - client.last_active() >= longest) client.half_close();
        // One that never ends what it sends does not rest.
        if (!client.half_closed() && !client.waits_for_room() && client.idle() &&
            now - client.last_active() >= 2 * longest)
            client.hang_up();
    }
    std::erase_if(clients, [&](auto& entry) { return entry.second.over(now); });
}

// Guards against clients that connect and stay until no descriptor is left for others: one that was told of
// its end already makes way, else the one with nothing open that was silent longest. One that was active a
// moment ago may have a lookup on the way, and what lies unread is read first.
bool Front::drop_silent() {
    auto now = shared.clock.now();
    auto longest = clients.end();
    for (auto client = clients.begin(); client != clients.end(); client++) {
        auto& one = client->second;
        if (!one.half_closed() && !one.resting(now)) continue;
        if (longest != clients.end() &&
            std::pair(!one.half_closed(), one.last_active()) >=
                std::pair(!longest->second.half_closed(), longest->second.last_active()))
            continue;
        longest = client;
    }
    if (longest == clients.end()) return false;
    clients.erase(longest);
    return true;
}

}  // namespace quillgrade::node
