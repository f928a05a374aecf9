#include "rig/soak/crowd.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>

#include "rig/call.hpp"

namespace quillgrade::rig::soak {

namespace {

constexpr Micros slow_write_every = 20 * millisecond;
constexpr std::size_t slow_piece = 3, whole = 1 << 20;

std::string request(const std::string& id) {
    return framed_call(
        1, {{"c", "page"}, {"i", id}, {"d", "2000"}, {"o", id}, {"part", "0"}, {"group", "1"}, {"m", "1"}});
}

int connect_to(const sockaddr_in& router) {
    int made = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    // It is under way when this returns; what fails shows at the first write.
    if (made >= 0) (void)connect(made, reinterpret_cast<const sockaddr*>(&router), sizeof router);
    return made;
}

}  // namespace

Crowd::~Crowd() {
    for (auto& client : clients) close(client.descriptor);
}

void Crowd::come(const Event& event, const sockaddr_in& router, Micros now) {
    for (int i = 0; i < event.count; i++) {
        Client client{connect_to(router), hex_of(next_id++ * 0xd1342543de82ef95U), {}};
        if (client.descriptor < 0) continue;
        client.next = now;
        client.leaves = now + event.lasts;
        if (event.action != Action::IdleClients) client.unsent = request(client.id);
        if (event.action == Action::SlowWriters) {
            client.piece = slow_piece;
            client.every = slow_write_every;
        } else {
            client.piece = whole;
            // Between at once and 19 ms later.
            if (event.action == Action::LeavingClients) client.leaves = now + i % 20 * millisecond;
        }
        clients.push_back(std::move(client));
    }
}

void Crowd::tick(Micros now) {
    std::erase_if(clients, [&](Client& client) {
        bool lost = false;
        if (!client.unsent.empty() && now >= client.next) {
            auto written = send(client.descriptor, client.unsent.data(),
                                std::min(client.piece, client.unsent.size()), MSG_NOSIGNAL | MSG_DONTWAIT);
            if (written > 0) client.unsent.erase(0, static_cast<std::size_t>(written));
            lost = written < 0 && errno != EAGAIN && errno != ENOTCONN;
            client.next = now + client.every;
        }
        if (!lost && now < client.leaves) return false;
        close(client.descriptor);
        world.client_left(client.id, unix_now() + leaving_allowance);
        return true;
    });
}

}  // namespace quillgrade::rig::soak
