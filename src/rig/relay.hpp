// A TCP relay on 127.0.0.1 that a test puts between two parties to break what passes: cut after so many
// bytes, stand still, close. One thread of its own; every call may come from any thread.
#pragma once

#include <atomic>
#include <cstdint>
#include <thread>

namespace quillgrade::rig {

class Relay {
public:
    explicit Relay(int to_port);
    Relay(const Relay&) = delete;
    Relay& operator=(const Relay&) = delete;
    ~Relay();
    int port() const { return listening; }
    void lead_to(int to_port) { target = to_port; }
    // The connections open now and later ones end after that many more bytes towards the client; -1: never.
    void cut_after(std::int64_t bytes) { left = bytes; }
    void stand_still(bool still) { stopped = still; }   // connections stay open, nothing passes
    void refuse(bool refusing) { refused = refusing; }  // new connections are closed at once
    int connections() const { return taken; }

private:
    void run();
    int listening = 0, listener = -1;
    std::atomic<int> target;
    std::atomic<std::int64_t> left{-1};
    std::atomic<bool> stopped{false}, refused{false}, over{false};
    std::atomic<int> taken{0};
    std::thread thread;
};

}  // namespace quillgrade::rig
