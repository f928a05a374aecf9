// Where clients connect, and all their connections.
#pragma once

#include <map>

#include "node/client.hpp"

namespace quillgrade::node {

class Front {
public:
    Front(Client::Shared shared, int most_clients, std::size_t most_held);
    void listen(const feed::Address& at);  // throws std::runtime_error
    void stop_listening() { listener.reset(); }
    void want(const std::vector<thrift::Wanted>* fields) { shared.wanted = fields; }
    void set_ready(bool ready) { shared.ready = ready; }
    void answer(const Caller& caller, std::string_view frame);
    void sweep();  // between passes of the loop
    void drop_overdue(Micros now);
    bool idle() const;  // nothing open and nothing unsent
    std::size_t connected() const { return clients.size(); }

private:
    void accepted(int fd, std::uint32_t address);
    void refused(int error);
    void pause();
    void resume();
    void drop_unread();
    bool drop_silent();

    Client::Shared shared;
    std::size_t most_clients, most_held;
    std::map<ClientId, Client> clients;
    ClientId last_id = 0;
    bool paused = false, short_of_descriptors = false, told_of_pause = false;
    Timer again, tidy;
    Owned<evconnlistener> listener;
};

}  // namespace quillgrade::node
