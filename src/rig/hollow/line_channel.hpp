// Lines of text over a stream socket, in both directions. Nothing blocks but `flush_all`.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace quillgrade::rig::hollow {

class LineChannel {
public:
    explicit LineChannel(int socket);  // owns it from now on
    ~LineChannel();
    LineChannel(const LineChannel&) = delete;
    LineChannel& operator=(const LineChannel&) = delete;

    int descriptor() const { return socket; }
    void send(std::string_view line);      // with its line end; sent as far as there is room
    void flush();                          // what had no room before
    void flush_all();                      // waits until all is sent, or the far side has closed
    std::vector<std::string> read();       // whole lines that came, without their ends
    bool closed() const { return ended; }  // by the far side

private:
    int socket;
    bool ended = false;
    std::string unsent, incomplete;
};

}  // namespace quillgrade::rig::hollow
