// Where clients connect, and all their connections.
#pragma once

#include <map>

#include "node/client.hpp"

namespace quillgrade::node {

class Front {
public:
    // `answers`: what the pool charges, and clients give back by reading.
    Front(const Client::Shared& shared, int most_clients, const MemoryAccount& answers);
    void listen(const feed::Address& at);  // throws std::runtime_error
    // Whoever has connected by now is let in; where there is no room for all, to be called again.
    void stop_listening();
    void half_close_resting(
        Micros now);  // ends the connections that rest; to be called until all have parted
    bool all_closed() const { return clients.empty() && !listener; }
    Client::Presence presence(const Caller& caller);
    void want(const std::vector<thrift::Wanted>* fields) { shared.wanted = fields; }
    void set_ready(bool ready) { shared.ready = ready; }
    void answer(const Caller& caller, std::string_view frame);
    void answer(const Caller& caller, const thrift::Envelope& around, const SharedBytes& body);
    void sweep();  // between passes of the loop
    void drop_overdue(Micros now);
    std::size_t connected() const { return clients.size(); }

private:
    void accepted(int fd, std::uint32_t address);
    void refused(int error);
    void pause();
    void resume();
    void drop_unread(Micros now);
    void share_room(Micros now);
    void read_less();
    void read_as_usual();
    void tell_of_room(std::size_t waiting, Micros now);
    bool drop_silent();

    Client::Shared shared;
    std::size_t most_clients;
    const MemoryAccount& answers;
    Micros told_of_room = 0;
    std::map<ClientId, Client> clients;
    ClientId last_id = 0;
    bool paused = false, short_of_descriptors = false, told_of_pause = false;
    Timer again, tidy;
    Timer room_due;  // a wait for room ends
    Owned<evconnlistener> listener;
};

}  // namespace quillgrade::node
