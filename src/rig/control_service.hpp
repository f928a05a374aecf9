// A control service for tests, benchmarks and trying things by hand, on the grpc++ library, so that an
// independent implementation meets our wire. Never linked into the router. Threads are grpc++'s; every call
// here may come from any thread.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "config.pb.h"
#include "discovery.grpc.pb.h"

namespace quillgrade::rig {

namespace wire = envoy::service::discovery::v3;

// A request of the router, of either form.
struct Said {
    int stream;  // from 1, in the order in which they came
    std::string type_url, version, nonce;
    bool turned_down = false;
    std::string reason;
    std::map<std::string, std::string> held;  // initial_resource_versions
    std::string asker;
};

// The resources of one kind: name to packed bytes.
using Resources = std::map<std::string, std::string>;

class ControlService {
public:
    // `port` 0: one that is free. Throws std::runtime_error where it can't listen.
    explicit ControlService(std::string identity, int port = 0);
    ControlService(const ControlService&) = delete;
    ControlService& operator=(const ControlService&) = delete;
    ~ControlService();
    int port() const { return listening; }

    // The resources of a type as a numbered version: to all who have subscribed, and to all who will. The
    // incremental form sends what differs from what a stream was sent before. Gives the nonce.
    std::string publish(const std::string& type_url, std::uint64_t number, const Resources& resources);
    // Sends a response as it stands, whatever it holds; nothing is remembered.
    void send(const wire::DiscoveryResponse& response);
    void send(const wire::DeltaDiscoveryResponse& response);
    void say_nothing(bool quiet);  // subscriptions are not answered meanwhile
    void end_streams();            // with a status

    std::vector<Said> heard() const;
    int streams() const;  // ever opened
    // Waits until `done` holds of what was heard; false after `seconds`.
    bool wait(const std::function<bool(const std::vector<Said>&)>& done, double seconds = 10) const;
    // The answer to a nonce; empty if none came in time.
    std::optional<Said> answer(const std::string& nonce, double seconds = 10) const;

private:
    struct Inner;
    std::unique_ptr<Inner> inner;
    int listening = 0;
};

// Packed resources, for publish().
std::string pack(const google::protobuf::MessageLite& message);
inline constexpr const char* boxes_type = "type.googleapis.com/quillgrade.config.v1.Boxes";
inline constexpr const char* amounts_type = "type.googleapis.com/quillgrade.config.v1.Amounts";

}  // namespace quillgrade::rig
