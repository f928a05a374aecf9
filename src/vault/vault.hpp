// The store of the last good versions: an LMDB environment in a folder of the operators' choice. It holds the
// versions in force, written before they are acknowledged, and the last ones that had stood their trial.
//
// Both are written in one transaction: after kill -9 at any point the store holds the old pair or the new
// one, whole. Each record carries its format and a checksum. What can't be read is set aside under another
// name, never used; a store of a newer format is left alone. The store is first read in a child process,
// since a damaged file can bring down whoever maps it.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "members/book.hpp"
#include "operate/plan.hpp"
#include "version/bundle.hpp"

namespace quillgrade::vault {

struct Snapshot {
    std::vector<version::Bundle> current, settled;
    members::StartTimes start_times;  // of boxes in `current`
    Micros saved_at = 0;              // Unix microseconds, when `current` was written
};

class SnapshotStore {
public:
    struct Opened {
        std::unique_ptr<SnapshotStore> store;  // null: there is no store to write to
        std::optional<Snapshot> snapshot;      // empty: nothing to start from
        std::string problem;                   // what is wrong, for the operator; empty: nothing
    };
    static Opened open(const operate::StoreConfig& store);  // throws nothing

    SnapshotStore(const SnapshotStore&) = delete;
    SnapshotStore& operator=(const SnapshotStore&) = delete;
    ~SnapshotStore();

    // What is wrong, or empty: it is kept. A write that failed has changed nothing.
    std::optional<std::string> write(const version::VersionSet& current, const version::VersionSet& settled,
                                     const members::StartTimes& starts, Micros now);
    // Nothing older is left to start from. False where even that can't be done.
    bool clear();

private:
    struct Inner;
    explicit SnapshotStore(std::unique_ptr<Inner> made);
    std::unique_ptr<Inner> inner;
};

// A record as it stands in the store; decode() throws bytes::Malformed where it is torn or of another format.
std::string encode(const std::vector<const version::Bundle*>& bundles, Micros saved_at,
                   const members::StartTimes& starts);
std::vector<version::Bundle> decode(std::string_view record, Micros& saved_at, members::StartTimes& starts);

}  // namespace quillgrade::vault
