// The snapshot store: an LMDB environment in a directory of the operators' choice. It holds the active
// versions, written before they are acknowledged, and the last settled ones.
//
// Both are written in one transaction: after kill -9 at any point the store holds either the old pair or the
// new one, complete. Each record carries its format number and a checksum. A store that can't be read is
// quarantined: renamed to torn-TIME and not used. A store of a newer format is left as it is. The store is
// first read in a child process, since a damaged file can crash the process that maps it into memory.
//
//   auto opened = SnapshotStore::open(config);
//   if (!opened.problem.empty()) log::warning("{}", opened.problem);
//   if (opened.snapshot) start_from(*opened.snapshot);
//   if (opened.store) auto error = opened.store->write(current, settled, start_times, now);
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
    members::StartTimes start_times;  // of the servers in `current`
    Micros saved_at = 0;              // Unix microseconds, when `current` was written
};

class SnapshotStore {
public:
    struct Opened {
        std::unique_ptr<SnapshotStore> store;  // null: there is no store to write to
        std::optional<Snapshot> snapshot;      // empty: there are no versions to start from
        std::string problem;                   // for the operator; empty: none
    };
    static Opened open(const operate::StoreConfig& config);  // does not throw

    SnapshotStore(const SnapshotStore&) = delete;
    SnapshotStore& operator=(const SnapshotStore&) = delete;
    ~SnapshotStore();

    // Returns the error, or nothing on success. A failed write changes nothing.
    std::optional<std::string> write(const version::VersionSet& current, const version::VersionSet& settled,
                                     const members::StartTimes& start_times, Micros now);
    // Deletes the store, so that no restart begins from an older version. False if that fails.
    bool clear();

private:
    struct Inner;
    explicit SnapshotStore(std::unique_ptr<Inner> state);
    std::unique_ptr<Inner> inner;
};

// A record as it is stored. decode() throws bytes::Malformed if it is damaged or of another format.
std::string encode(const std::vector<const version::Bundle*>& bundles, Micros saved_at,
                   const members::StartTimes& start_times);
std::vector<version::Bundle> decode(std::string_view record, Micros& saved_at,
                                    members::StartTimes& start_times);

}  // namespace quillgrade::vault
