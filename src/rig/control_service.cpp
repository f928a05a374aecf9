#include "rig/control_service.hpp"

#include <grpcpp/grpcpp.h>

#include <atomic>
#include <chrono>
#include <set>
#include <stdexcept>

namespace quillgrade::rig {

namespace {

constexpr int longest_message = 256 << 20;

struct Version {
    std::uint64_t number = 0;
    Resources resources;
    std::string nonce;
};

// What one stream was sent, of one type.
struct Sent {
    std::map<std::string, std::string> labels;
};

std::string label_of(const std::string& bytes) { return std::to_string(std::hash<std::string>{}(bytes)); }

}  // namespace

struct ControlService::Inner : wire::AggregatedDiscoveryService::Service {
    struct Open {
        int id = 0;
        std::function<void(const wire::DiscoveryResponse&)> whole;
        std::function<void(const wire::DeltaDiscoveryResponse&)> changes;
        std::map<std::string, Sent> sent;  // by type, once it has subscribed
        grpc::ServerContext* context = nullptr;
    };

    explicit Inner(std::string identity) : identity(std::move(identity)) {}

    grpc::Status StreamAggregatedResources(
        grpc::ServerContext* context,
        grpc::ServerReaderWriter<wire::DiscoveryResponse, wire::DiscoveryRequest>* stream) override {
        Open open;
        open.whole = [stream](auto& response) { stream->Write(response); };
        return serve<wire::DiscoveryRequest>(context, *stream, open, [&](auto& request, Said& said) {
            said.version = request.version_info();
        });
    }

    grpc::Status DeltaAggregatedResources(
        grpc::ServerContext* context,
        grpc::ServerReaderWriter<wire::DeltaDiscoveryResponse, wire::DeltaDiscoveryRequest>* stream)
        override {
        Open open;
        open.changes = [stream](auto& response) { stream->Write(response); };
        return serve<wire::DeltaDiscoveryRequest>(context, *stream, open, [&](auto& request, Said& said) {
            for (auto& [name, label] : request.initial_resource_versions()) said.held[name] = label;
        });
    }

    template <class Request, class Stream, class More>
    grpc::Status serve(grpc::ServerContext* context, Stream& stream, Open& open, More more) {
        open.context = context;
        {
            std::lock_guard hold(lock);
            open.id = ++opened;
            streams.push_back(&open);
            changed.notify_all();
        }
        Request request;
        while (stream.Read(&request)) {
            std::lock_guard hold(lock);
            Said said{open.id,
                      request.type_url(),
                      "",
                      request.response_nonce(),
                      request.has_error_detail(),
                      request.error_detail().message(),
                      {},
                      request.node().id()};
            more(request, said);
            bool subscribes = said.nonce.empty();
            if (subscribes) {
                auto& sent = open.sent[said.type_url];
                sent.labels = said.held;
                auto known = versions.find(said.type_url);
                if (known != versions.end() && !quiet) offer(open, said.type_url, known->second);
            }
            heard.push_back(std::move(said));
            changed.notify_all();
        }
        std::lock_guard hold(lock);
        std::erase(streams, &open);
        changed.notify_all();
        return context->IsCancelled() ? grpc::Status::CANCELLED : grpc::Status::OK;
    }

    void offer(Open& open, const std::string& type, const Version& version) {
        auto& sent = open.sent[type];
        if (open.whole) {
            wire::DiscoveryResponse response;
            response.set_version_info(std::to_string(version.number));
            response.set_type_url(type);
            response.set_nonce(version.nonce);
            response.mutable_control_plane()->set_identifier(identity);
            for (auto& [name, bytes] : version.resources) {
                auto& any = *response.add_resources();
                any.set_type_url(type);
                any.set_value(bytes);
            }
            open.whole(response);
        } else {
            wire::DeltaDiscoveryResponse response;
            response.set_system_version_info(std::to_string(version.number));
            response.set_type_url(type);
            response.set_nonce(version.nonce);
            response.mutable_control_plane()->set_identifier(identity);
            std::map<std::string, std::string> labels;
            for (auto& [name, bytes] : version.resources) {
                auto label = labels[name] = label_of(bytes);
                auto known = sent.labels.find(name);
                if (known != sent.labels.end() && known->second == label) continue;
                auto& resource = *response.add_resources();
                resource.set_name(name);
                resource.set_version(label);
                resource.mutable_resource()->set_type_url(type);
                resource.mutable_resource()->set_value(bytes);
            }
            for (auto& [name, label] : sent.labels)
                if (!labels.contains(name)) response.add_removed_resources(name);
            sent.labels = std::move(labels);
            open.changes(response);
        }
    }

    const std::string identity;
    mutable std::mutex lock;
    mutable std::condition_variable changed;
    std::vector<Open*> streams;
    std::map<std::string, Version> versions;
    std::vector<Said> heard;
    int opened = 0, nonces = 0;
    bool quiet = false;
    std::unique_ptr<grpc::Server> server;
};

ControlService::ControlService(std::string identity, int port)
    : inner(std::make_unique<Inner>(std::move(identity))) {
    grpc::ServerBuilder builder;
    builder.AddListeningPort("127.0.0.1:" + std::to_string(port), grpc::InsecureServerCredentials(),
                             &listening);
    builder.AddChannelArgument(GRPC_ARG_ALLOW_REUSEPORT, 0);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MIN_RECV_PING_INTERVAL_WITHOUT_DATA_MS, 100);
    builder.AddChannelArgument(GRPC_ARG_HTTP2_MAX_PING_STRIKES, 0);
    builder.SetMaxSendMessageSize(longest_message);
    builder.RegisterService(inner.get());
    inner->server = builder.BuildAndStart();
    if (!inner->server || listening == 0) throw std::runtime_error("the control service can't listen");
}

ControlService::~ControlService() {
    inner->server->Shutdown(std::chrono::system_clock::now());
    inner->server->Wait();
}

std::string ControlService::publish(const std::string& type_url, std::uint64_t number,
                                    const Resources& resources) {
    std::lock_guard hold(inner->lock);
    Version version{number, resources, inner->identity + "-" + std::to_string(++inner->nonces)};
    inner->versions[type_url] = version;
    for (auto* open : inner->streams)
        if (open->sent.contains(type_url)) inner->offer(*open, type_url, version);
    return version.nonce;
}

void ControlService::send(const wire::DiscoveryResponse& response) {
    std::lock_guard hold(inner->lock);
    for (auto* open : inner->streams)
        if (open->whole) open->whole(response);
}

void ControlService::send(const wire::DeltaDiscoveryResponse& response) {
    std::lock_guard hold(inner->lock);
    for (auto* open : inner->streams)
        if (open->changes) open->changes(response);
}

void ControlService::say_nothing(bool quiet) {
    std::lock_guard hold(inner->lock);
    inner->quiet = quiet;
}

void ControlService::end_streams() {
    std::lock_guard hold(inner->lock);
    for (auto* open : inner->streams) open->context->TryCancel();
}

std::vector<Said> ControlService::heard() const {
    std::lock_guard hold(inner->lock);
    return inner->heard;
}

int ControlService::streams() const {
    std::lock_guard hold(inner->lock);
    return inner->opened;
}

bool ControlService::wait(const std::function<bool(const std::vector<Said>&)>& done, double seconds) const {
    std::unique_lock hold(inner->lock);
    return inner->changed.wait_for(hold, std::chrono::duration<double>(seconds),
                                   [&] { return done(inner->heard); });
}

std::optional<Said> ControlService::answer(const std::string& nonce, double seconds) const {
    std::optional<Said> found;
    wait(
        [&](auto& heard) {
            for (auto& said : heard)
                if (said.nonce == nonce) found = said;
            return found.has_value();
        },
        seconds);
    return found;
}

std::string pack(const google::protobuf::MessageLite& message) { return message.SerializeAsString(); }

}  // namespace quillgrade::rig
