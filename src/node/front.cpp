#include "node/front.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <utility>

#include "log/log.hpp"

namespace quillgrade::node {

namespace {

constexpr int waiting_connections = 512;
constexpr Micros pause_time = 100'000, free_time = 1000;  // a descriptor is free a pass of the loop later

}  // namespace

Front::Front(Client::Shared shared, int most_clients, std::size_t most_held)
    : shared(shared),
      most_clients(static_cast<std::size_t>(most_clients)),
      most_held(most_held),
      resume(shared.base, [this] {
          if (clients.size() >= this->most_clients) {
              resume.set(pause_time);
              return;
          }
          paused = false;
          if (listener) evconnlistener_enable(listener.get());
      }) {}

void Front::listen(const feed::Address& at) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(at.host);
    address.sin_port = htons(at.port);
    listener.reset(evconnlistener_new_bind(
        shared.base,
        [](evconnlistener*, evutil_socket_t fd, sockaddr*, int, void* self) {
            static_cast<Front*>(self)->accepted(fd);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC, waiting_connections,
        reinterpret_cast<sockaddr*>(&address), sizeof address));
    if (!listener) throw std::runtime_error(std::string("can't listen: ") + std::strerror(errno));
    evconnlistener_set_error_cb(listener.get(), [](evconnlistener*, void* self) {
        static_cast<Front*>(self)->refused(EVUTIL_SOCKET_ERROR());
    });
}

void Front::accepted(int fd) {
    last_id++;
    clients.try_emplace(last_id, shared, fd, last_id);
    if (clients.size() >= most_clients) pause("as many clients are connected as descriptors allow");
}

void Front::refused(int error) {
    short_of_descriptors = error == EMFILE || error == ENFILE;
    pause(std::strerror(error));
}

// Guards against a loop that spins on connections it can't take; they wait in the system's queue meanwhile.
void Front::pause(const char* why) {
    if (paused) return;
    paused = true;
    log::warning("no new client connections for a moment: {}", why);
    if (listener) evconnlistener_disable(listener.get());
    resume.set(pause_time);
}

void Front::answer(const Caller& caller, std::string_view frame) {
    auto found = clients.find(caller.client);
    if (found != clients.end()) found->second.answer(caller.seq, frame);
}

void Front::sweep() {
    std::erase_if(clients, [](auto& client) { return client.second.over(); });
    drop_unread();
    if (clients.size() >= most_clients || std::exchange(short_of_descriptors, false)) drop_silent();
}

// Guards against clients that do not read: past the bound the one that holds most is hung up on.
void Front::drop_unread() {
    std::size_t held = 0;
    for (auto& [id, client] : clients) held += client.held();
    while (held > most_held) {
        auto worst = std::max_element(clients.begin(), clients.end(),
                                      [](auto& a, auto& b) { return a.second.held() < b.second.held(); });
        held -= worst->second.held();
        log::warning("client hung up on: it left {} bytes unread", worst->second.held());
        worst->second.hang_up();
        clients.erase(worst);
    }
}

// Guards against clients that connect and say nothing until no descriptor is left for others: the one with
// nothing open that was silent longest makes way.
void Front::drop_silent() {
    auto longest = clients.end();
    for (auto client = clients.begin(); client != clients.end(); client++)
        if (client->second.idle() &&
            (longest == clients.end() || client->second.last_heard() < longest->second.last_heard()))
            longest = client;
    if (longest == clients.end()) return;
    clients.erase(longest);
    if (paused) resume.set(free_time);
}

bool Front::idle() const {
    return std::all_of(clients.begin(), clients.end(), [](auto& client) { return client.second.idle(); });
}

}  // namespace quillgrade::node
