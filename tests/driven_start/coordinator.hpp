// A stand-in of the coordinator that acts when it is told to, never by itself.
#pragma once

#include <optional>
#include <vector>

#include "helpers.hpp"

namespace quillgrade::driven_start {

class Coordinator {
public:
    enum class Mode {
        Answers,    // each watch gets a heartbeat at once
        Silent,     // accepts, says nothing
        Refuses,    // nobody listens
        Unreached,  // its queue is full: no connect to it comes to an end
    };
    explicit Coordinator(Mode mode);

    int port() const { return reserved_port; }
    int descriptor() const { return listener ? listener->fd : -1; }  // readable: a watch has come
    void take_watches();                                             // without waiting
    void turn(Mode to);  // Refuses: the watches that it has are reset
    void close_connections();

private:
    void open(int backlog);
    Mode mode;
    Socket reserved;  // bound, not listening: nobody else is given the port
    int reserved_port = 0;
    std::optional<Socket> listener;
    std::vector<Socket> fillers, watches;
};

}  // namespace quillgrade::driven_start
