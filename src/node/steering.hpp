// Streamed configuration at work: control services, the life of versions, the store, and the one list of
// members. Exists only where the operators' file names a control service. Decides nothing itself: which
// service is asked is Contact's, what becomes of a version the VersionManager's, who is a member the
// MergedEndpoints'.
#pragma once

#include <map>
#include <memory>

#include "discovery/contact.hpp"
#include "launch/launch.hpp"
#include "members/book.hpp"
#include "node/gathered.hpp"
#include "node/service.hpp"
#include "operate/plan.hpp"
#include "vault/vault.hpp"
#include "version/ledger.hpp"

namespace quillgrade::node {

class Steering {
public:
    // `terms`: the times that connections go by, narrowed by what comes into force.
    Steering(event_base* base, const operate::OperatorConfig& plan, const launch::Launch& launch,
             Clock& clock, site::Terms& terms);

    // Once a pass, before the turn: lists in `batch` are made into lists of members, and what comes into
    // force is added to it. One slice of work.
    void pass(Gathered& batch, const version::LookupCounts& counts, Micros now);
    bool busy() const { return ledger.has_work(); }  // another pass is wanted at once
    void move_to(const std::vector<feed::Address>& services);
    void stop();  // no service is asked any more
    const version::VersionManager& versions() const { return ledger; }

private:
    struct Connection {
        std::unique_ptr<Service> service;
        std::map<discovery::Kind, std::string> claimed;  // identities whose resources it was told are held
        std::map<discovery::Kind, bool> begun;           // kinds that it has offered already
    };
    void start_from(const vault::Snapshot& kept);
    void open(int place, bool claim_nothing);
    void hear(int place, Micros now);
    void work(Gathered& batch, const version::LookupCounts& counts, Micros now);
    void take_in(const version::VersionSet& set, Gathered& batch, Micros now);
    std::optional<std::string> keep(const version::Proposal& proposal, Micros now);
    void say();

    operate::ControlConfig control;
    const launch::Launch& launch;
    site::Terms& terms;
    Service::Shared shared;
    members::MergedEndpoints book;
    version::VersionManager ledger;
    std::unique_ptr<vault::SnapshotStore> vault;
    std::optional<operate::StoreConfig> store;
    Micros store_again = 0;  // when a store that has failed is tried again, 0: it has not
    std::optional<discovery::Contact> contact;
    std::map<int, Connection> connections;  // by the service's place
    std::vector<std::string> told_lost;     // by place: what was logged last
    version::StreamId last_stream = 0;
    bool started = false;
    std::shared_ptr<const route::RuleSet> running_rules;
    Timer wake;
};

}  // namespace quillgrade::node
