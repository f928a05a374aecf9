#include "rig/relay.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <stdexcept>
#include <string>
#include <vector>

#include "rig/local.hpp"

namespace quillgrade::rig {

namespace {

struct Pair {
    int client, server;
};

}  // namespace

Relay::Relay(int to_port) : listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)), target(to_port) {
    auto address = here(0);
    socklen_t size = sizeof address;
    if (bind(listener, reinterpret_cast<sockaddr*>(&address), size) != 0 || listen(listener, 16) != 0 ||
        getsockname(listener, reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::runtime_error("the relay can't listen");
    listening = ntohs(address.sin_port);
    thread = std::thread([this] { run(); });
}

Relay::~Relay() {
    over = true;
    thread.join();
    close(listener);
}

void Relay::run() {
    std::vector<Pair> pairs;
    auto drop = [&](std::size_t i) {
        close(pairs[i].client);
        close(pairs[i].server);
        pairs.erase(pairs.begin() + static_cast<std::ptrdiff_t>(i));
    };
    std::array<char, 16'384> piece;
    // False where the connection is to end.
    auto pass = [&](int from, int to, bool counted) {
        auto got = recv(from, piece.data(), sizeof piece, 0);
        if (got <= 0) return false;
        std::int64_t room = left;
        if (counted && room >= 0 && got >= room) {
            [[maybe_unused]] auto last = send(to, piece.data(), static_cast<std::size_t>(room), MSG_NOSIGNAL);
            left = 0;
            return false;
        }
        if (counted && room >= 0) left -= got;
        for (ssize_t at = 0; at < got;) {
            auto put = send(to, piece.data() + at, static_cast<std::size_t>(got - at), MSG_NOSIGNAL);
            if (put <= 0) return false;
            at += put;
        }
        return true;
    };
    while (!over) {
        std::vector<pollfd> ready{{listener, POLLIN, 0}};
        if (!stopped)
            for (auto& pair : pairs) {
                ready.push_back({pair.client, POLLIN, 0});
                ready.push_back({pair.server, POLLIN, 0});
            }
        auto known = stopped ? 0 : pairs.size();
        poll(ready.data(), ready.size(), 20);
        for (std::size_t i = known; i-- > 0;) {
            bool up = !(ready[1 + 2 * i].revents) || pass(pairs[i].client, pairs[i].server, false);
            if (up && ready[2 + 2 * i].revents) up = pass(pairs[i].server, pairs[i].client, true);
            if (!up) drop(i);
        }
        if (!ready[0].revents) continue;
        int client = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (client < 0) continue;
        taken++;
        int server = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        auto address = here(target);
        if (refused || connect(server, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            close(client);
            close(server);
        } else {
            pairs.push_back({client, server});
        }
    }
    while (!pairs.empty()) drop(0);
}

}  // namespace quillgrade::rig
