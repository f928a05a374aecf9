// A toy world for one router, to try it by hand: caches that fill what they lack from thin air, an
// origin, a coordinator that has nothing new to tell, and a client. `quillgrade_toy serve` plays the servers
// of example/config.json; `quillgrade_toy ask OBJECT PART` sends one lookup to the router and prints the
// answer.
#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <iostream>
#include <map>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>

#include "bytes/bytes.hpp"

namespace {

using quillgrade::bytes::put_number;

constexpr int router_port = 5050, coordinator_port = 9092;
constexpr std::array cache_ports = {5061, 5062, 5063, 5064};

sockaddr_in here(int port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    return address;
}

int listen_at(int port) {
    int fd = socket(AF_INET, SOCK_STREAM, 0), on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    auto address = here(port);
    if (bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || listen(fd, 16) != 0)
        throw std::runtime_error("can't listen at port " + std::to_string(port));
    return fd;
}

bool send_all(int fd, const std::string& bytes) {
    return write(fd, bytes.data(), bytes.size()) == static_cast<ssize_t>(bytes.size());
}

// One connection to a cache: each object that is asked for a second time with a rank is a hit.
void serve_cache(int fd, int port) {
    std::set<std::string> kept;
    std::string got;
    std::array<char, 4096> piece;
    for (ssize_t length; (length = read(fd, piece.data(), sizeof piece)) > 0;) {
        got.append(piece.data(), static_cast<std::size_t>(length));
        for (std::size_t end; (end = got.find("\r\n\r\n")) != std::string::npos; got.erase(0, end + 4)) {
            std::string head = got.substr(0, end), method, path;
            std::istringstream(head) >> method >> path;
            bool hit = kept.contains(path);
            if (head.find("X-Rank:") != std::string::npos) kept.insert(path);
            std::string body = path.starts_with("/data/") ? "toy bytes of " + path + "\n" : "";
            std::cout << "cache " << port << ": " << path << (hit ? " hit" : "") << std::endl;
            std::this_thread::sleep_for(std::chrono::milliseconds(hit ? 10 : 60));
            if (!send_all(fd, "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                  "\r\nX-Tell: " + (hit ? "HIT" : "MISS") +
                                  "\r\nX-Report: inflight:1;x1:0.1\r\n\r\n" + body))
                break;
        }
    }
    close(fd);
}

// An empty frame each second keeps the router from connecting anew.
void serve_coordinator(int fd) {
    std::string nothing;
    put_number(nothing, 4, 9);
    put_number(nothing, 8, 1);
    put_number(nothing, 1, 0);
    while (send_all(fd, nothing)) std::this_thread::sleep_for(std::chrono::seconds(1));
    close(fd);
}

template <class Serve>
void accept_all(int listener, Serve serve) {
    for (int fd; (fd = accept(listener, nullptr, nullptr)) >= 0;) std::thread(serve, fd).detach();
}

int serve() {
    signal(SIGPIPE, SIG_IGN);
    for (int port : cache_ports)
        std::thread([port, fd = listen_at(port)] {
            accept_all(fd, [port](int connection) { serve_cache(connection, port); });
        }).detach();
    int coordinator = listen_at(coordinator_port);
    std::cout << "the toy world is up" << std::endl;
    accept_all(coordinator, serve_coordinator);
    return 0;
}

void put_text(std::string& out, const std::string& text) {
    put_number(out, 4, text.size());
    out += text;
}

int ask(const std::string& object, const std::string& part) {
    std::array<char, 17> id;
    std::random_device chance;
    std::snprintf(id.data(), sizeof id, "%08x%08x", chance(), chance());
    std::map<std::string, std::string> fields = {{"c", "page"}, {"i", id.data()}, {"d", "3000"},
                                                 {"o", object}, {"part", part},   {"group", "0"},
                                                 {"m", "20"}};
    std::string call;
    put_number(call, 4, 0x80010001);  // strict binary, a call
    put_text(call, "invoke");
    put_number(call, 4, 1);                          // its sequence number
    call += std::string("\x0d\x00\x01\x0b\x0b", 5);  // member 1, a map of texts
    put_number(call, 4, fields.size());
    for (auto& [name, value] : fields) {
        put_text(call, name);
        put_text(call, value);
    }
    call += std::string("\x0b\x00\x02\x00\x00\x00\x00\x00", 8);  // member 2, no body; the end
    std::string frame;
    put_text(frame, call);

    int fd = socket(AF_INET, SOCK_STREAM, 0);
    auto address = here(router_port);
    if (connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || !send_all(fd, frame))
        throw std::runtime_error("no router at 127.0.0.1:" + std::to_string(router_port));
    quillgrade::bytes::Frames frames(300'000);
    std::array<char, 4096> piece;
    for (ssize_t length; (length = read(fd, piece.data(), sizeof piece)) > 0;) {
        std::string_view heard(piece.data(), static_cast<std::size_t>(length));
        auto answer = frames.take(heard);
        if (!answer) continue;
        quillgrade::bytes::Cursor in(answer->content);
        in.piece(4);
        in.piece(in.number(4));  // invoke
        in.piece(4);             // the sequence number
        in.piece(1);
        auto member = in.number(2);
        if (member != 0) {
            std::cout << (member == 1 ? "rejected" : "broken off") << std::endl;
            return 1;
        }
        in.piece(3);
        std::cout << "handled: " << in.piece(in.number(4)) << std::flush;
        return 0;
    }
    throw std::runtime_error("the router closed the connection");
}

}  // namespace

int main(int count, char** words) {
    try {
        std::string what = count > 1 ? words[1] : "";
        if (what == "serve") return serve();
        if (what == "ask" && count == 4) return ask(words[2], words[3]);
        std::cerr << "usage: quillgrade_toy serve | ask OBJECT PART\n";
    } catch (const std::exception& error) {
        std::cerr << "quillgrade_toy: " << error.what() << "\n";
    }
    return 1;
}
