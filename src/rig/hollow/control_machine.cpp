#include "rig/hollow/control_machine.hpp"

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>

#include <list>
#include <memory>
#include <stdexcept>

#include "bytes/bytes.hpp"
#include "node/loop.hpp"
#include "rig/hollow/line_channel.hpp"
#include "rig/hollow/message_lines.hpp"
#include "rig/local.hpp"

namespace quillgrade::rig::hollow {

namespace {

constexpr Micros heartbeat_every = 1'000'000;
constexpr int listen_backlog = 4096;
constexpr std::size_t question_bytes = 8;  // the number of the last event that the router knows
enum FrameKind { Heartbeat = 0, PartialListing = 2, ObjectPurge = 3 };

std::string frame_of(EventNumber number, FrameKind kind, const std::string& payload) {
    std::string frame;
    bytes::put_number(frame, 4, 9 + payload.size());
    bytes::put_number(frame, 8, number);
    bytes::put_number(frame, 1, kind);
    return frame + payload;
}

std::string frame_of(const PurgeEvent& event) {
    std::string payload;
    bytes::put_number(payload, 8, object_of(event.number));
    bytes::put_number(payload, 8, static_cast<std::uint64_t>(event.at_ms));
    return frame_of(event.number, ObjectPurge, payload);
}

// One cache of the first kind in the second zone, in service, as the routers' configuration has it.
std::string frame_of(const ConfigurationEvent& event) {
    auto address = unpack(event.address);
    std::string record;
    bytes::put_number(record, 4, event.cache);
    bytes::put_number(record, 4, address.host);
    bytes::put_number(record, 2, address.port);
    bytes::put_number(record, 1, 0);  // state: ready
    bytes::put_number(record, 1, 1);  // zone
    bytes::put_number(record, 1, 0);  // kind
    bytes::put_number(record, 2, 0);  // cell
    bytes::put_number(record, 4, event.weight);
    bytes::put_number(record, 8, 0);  // started long ago
    return frame_of(event.number, PartialListing, record);
}

// A router's connection.
struct Connection {
    std::unique_ptr<node::Stream> stream;
    std::string question;
    bool asked = false, closed = false;
    std::uint64_t number = 0, bytes_sent = 0;
};

class ControlMachine {
public:
    explicit ControlMachine(int control_socket);
    void run();

private:
    struct Event {
        EventNumber number;
        std::string frame;
    };
    void listen();
    void accept(int descriptor);
    void heard(Connection& connection, std::string_view bytes);
    void write(Connection& connection, std::string_view bytes);
    void beat();
    void take(const Publish& publish);
    void take(const MachineReportRequest& request);

    node::Owned<event_base> base{event_base_new()};
    LineChannel supervisor;
    node::Owned<event> control;
    node::Owned<evconnlistener> listener;
    node::Timer heartbeat;
    std::list<Connection> connections;
    std::vector<Event> events;  // by number
    std::uint64_t connections_taken = 0, bytes_sent = 0;
};

ControlMachine::ControlMachine(int control_socket)
    : supervisor(control_socket), heartbeat(base.get(), [this] { beat(); }) {
    control.reset(event_new(
        base.get(), control_socket, EV_READ | EV_PERSIST, [](evutil_socket_t, short, void*) {}, nullptr));
    event_add(control.get(), nullptr);
    listen();
    heartbeat.set(heartbeat_every);
}

void ControlMachine::listen() {
    auto address = here(0);
    socklen_t size = sizeof address;
    listener.reset(evconnlistener_new_bind(
        base.get(),
        [](evconnlistener*, evutil_socket_t descriptor, sockaddr*, int, void* self) {
            static_cast<ControlMachine*>(self)->accept(descriptor);
        },
        this, LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC, listen_backlog,
        reinterpret_cast<sockaddr*>(&address), sizeof address));
    if (!listener ||
        getsockname(evconnlistener_get_fd(listener.get()), reinterpret_cast<sockaddr*>(&address), &size) != 0)
        throw std::runtime_error("a control machine can't listen");
    Listening listening{pack({INADDR_LOOPBACK, ntohs(address.sin_port)})};
    supervisor.send(encode_line<FromMachine>(listening));
}

void ControlMachine::run() {
    while (!supervisor.closed()) {
        event_base_loop(base.get(), EVLOOP_ONCE);
        for (auto& line : supervisor.read())
            std::visit([this](const auto& message) { take(message); }, decode_line<ToMachine>(line));
        connections.remove_if([](auto& connection) { return connection.closed; });
    }
}

void ControlMachine::accept(int descriptor) {
    auto& connection = connections.emplace_back();
    connection.number = connections_taken++;
    connection.stream = std::make_unique<node::Stream>(
        base.get(), descriptor,
        node::Stream::Heard{
            .bytes = [this, &connection](std::string_view bytes) { heard(connection, bytes); },
            .opened = [] {},
            .drained = [] {},
            .closed = [&connection] { connection.closed = true; }});
}

void ControlMachine::heard(Connection& connection, std::string_view bytes) {
    if (connection.asked) return;
    connection.question += bytes;
    if (connection.question.size() < question_bytes) return;
    auto last = bytes::Cursor(connection.question).number(question_bytes);
    connection.asked = true;
    std::string missed = frame_of(0, Heartbeat, "");
    for (auto& event : events)
        if (event.number > last) missed += event.frame;
    write(connection, missed);
}

void ControlMachine::write(Connection& connection, std::string_view bytes) {
    connection.stream->write(bytes);
    connection.bytes_sent += bytes.size();
    bytes_sent += bytes.size();
}

void ControlMachine::beat() {
    auto frame = frame_of(0, Heartbeat, "");
    for (auto& connection : connections)
        if (connection.asked && !connection.closed) write(connection, frame);
    heartbeat.set(heartbeat_every);
}

void ControlMachine::take(const Publish& publish) {
    std::string frames;
    auto add = [&](auto& event) {
        events.push_back({event.number, frame_of(event)});
        frames += events.back().frame;
    };
    for (auto& event : publish.purges) add(event);
    for (auto& event : publish.configurations) add(event);
    for (auto& connection : connections)
        if (connection.asked && !connection.closed) write(connection, frames);
}

void ControlMachine::take(const MachineReportRequest& /*request*/) {
    MachineReport report;
    report.bytes_sent = bytes_sent;
    for (auto& connection : connections)
        if (connection.asked) report.open.push_back({connection.number, connection.bytes_sent});
    supervisor.send(encode_line<FromMachine>(report));
    supervisor.flush_all();
}

}  // namespace

int run_control_machine(int control_socket) {
    ControlMachine machine(control_socket);
    machine.run();
    return 0;
}

}  // namespace quillgrade::rig::hollow
