// Control messages between the supervisor of a hollow run and its child processes. Each direction of each
// role has its own variant, so that a message of the wrong role can't be sent. message_lines.hpp has their
// form on the socket pair.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "control.hpp"
#include "feed/event.hpp"

namespace quillgrade::rig::hollow {

using EventNumber = std::uint64_t;

// IPv4 host and port in one number: host << 16 | port.
using PackedAddress = std::uint64_t;
inline PackedAddress pack(const feed::Address& address) {
    return static_cast<PackedAddress>(address.host) << 16 | address.port;
}
inline feed::Address unpack(PackedAddress packed) {
    return {static_cast<std::uint32_t>(packed >> 16), static_cast<std::uint16_t>(packed & 0xffff)};
}
std::string text_of(const feed::Address& address);  // "127.64.0.1:5000"

// Why a router is started: with all others, alone, or after its process was killed.
enum class StartReason { Together, Restart, AfterLoss };

// ---- supervisor to worker

// The first message: what the worker's routers are. Answered by `Bound`.
struct WorkerSetup {
    std::string folder;         // of the shared files
    std::string configuration;  // of a router, as in the file that PROXY_CONFIG names
    int first_router = 0, hollow_routers = 0, total_routers = 0;
    std::vector<int> zones;             // of the worker's routers
    std::uint32_t first_host = 0;       // routers listen at this address and the ones above it
    std::vector<PackedAddress> listen;  // where they listened before; empty: any free port
    std::uint64_t event_capacity = 0;   // numbers the arrival log has room for
    Micros run_start = 0;               // Unix time that arrivals count from
    double bytes_per_s = 0;             // budget of the membership, see peers::MembershipSettings
    bool state_transfer = false;
    bool shared_facts = true;  // routers tell one another of purges and drains
    std::uint64_t seed = 1;
};
// Starts all routers of the worker.
struct StartRouters {
    std::vector<PackedAddress> routers;           // by number
    std::vector<PackedAddress> control_machines;  // in the order in which they are tried
    EventNumber last_event = 0;                   // what the routers' configuration holds already
    StartReason reason = StartReason::Together;
};
// Starts some routers anew, with nothing but their configuration.
struct RestartRouters {
    std::vector<int> routers;
    EventNumber last_event = 0;
};
// Asks for a `WorkerReport`.
struct WorkerReportRequest {};
using ToWorker = std::variant<WorkerSetup, StartRouters, RestartRouters, WorkerReportRequest>;

// ---- worker to supervisor

struct Bound {
    std::vector<PackedAddress> listen;
};
// Routers of this worker that declared `subject` dead since the last report.
struct DeathDeclarations {
    int subject = 0;
    int count = 0;
    Micros first = 0, last = 0;
};
// How long a router needed after its start to know 99% of the live members' exact accounts.
struct StartKnown {
    int router = 0;
    std::int64_t milliseconds = 0;
    StartReason reason = StartReason::Together;
};
// Datagram bytes at a socket, or with a far router; since the start of the process.
struct DatagramBytes {
    std::uint64_t in = 0, out = 0;
};
struct WorkerReport {
    std::vector<DatagramBytes> of_own;  // by place in the worker
    std::vector<DatagramBytes> of_far;  // by number of the far router: received from it, sent to it
    std::vector<DeathDeclarations> deaths;
    std::vector<StartKnown> known;
    std::uint64_t longest_datagram = 0;
    std::vector<std::uint64_t> away;  // times a router found that it had not run for a while, by place
};
using FromWorker = std::variant<Bound, WorkerReport>;

// ---- supervisor to control machine

struct PurgeEvent {
    EventNumber number = 0;
    std::int64_t at_ms = 0;
};
// A change of configuration: a cache's weight.
struct ConfigurationEvent {
    EventNumber number = 0;
    std::uint32_t cache = 0;
    PackedAddress address = 0;
    std::uint32_t weight = 0;  // thousandths
};
struct Publish {
    std::vector<PurgeEvent> purges;
    std::vector<ConfigurationEvent> configurations;
};
struct MachineReportRequest {};
using ToMachine = std::variant<Publish, MachineReportRequest>;

// ---- control machine to supervisor

struct Listening {
    PackedAddress address = 0;
};
// Bytes sent on a connection since it was taken; connections are numbered as they come.
struct ConnectionBytes {
    std::uint64_t connection = 0, sent = 0;
};
struct MachineReport {
    std::uint64_t bytes_sent = 0;
    std::vector<ConnectionBytes> open;
};
using FromMachine = std::variant<Listening, MachineReport>;

// An object's purge is known by its number, also where it came from another router.
inline constexpr std::uint64_t purged_object_base = 0x5100'0000'0000'0000;
inline ObjectId object_of(EventNumber number) { return purged_object_base | number; }
inline EventNumber event_of(ObjectId object) { return object & ~purged_object_base; }

}  // namespace quillgrade::rig::hollow
