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

struct Kept {
    std::vector<version::Bundle> current, settled;
    members::Starts starts;  // of boxes in `current`
    Micros saved_at = 0;     // Unix microseconds, when `current` was written
};

class Vault {
public:
    struct Opened {
        std::unique_ptr<Vault> vault;  // null: there is no store to write to
        std::optional<Kept> kept;      // empty: nothing to start from
        std::string said;              // what is wrong, for the operator; empty: nothing
    };
    static Opened open(const operate::Store& store);  // throws nothing

    Vault(const Vault&) = delete;
    Vault& operator=(const Vault&) = delete;
    ~Vault();

    // What is wrong, or empty: it is kept. A write that failed has changed nothing.
    std::optional<std::string> write(const version::Set& current, const version::Set& settled,
                                     const members::Starts& starts, Micros now);
    // Nothing older is left to start from. False where even that can't be done.
    bool clear();

private:
    struct Inner;
    explicit Vault(std::unique_ptr<Inner> made);
    std::unique_ptr<Inner> inner;
};

// A record as it stands in the store; decode() throws bytes::Malformed where it is torn or of another format.
std::string encode(const std::vector<const version::Bundle*>& bundles, Micros saved_at,
                   const members::Starts& starts);
std::vector<version::Bundle> decode(std::string_view record, Micros& saved_at, members::Starts& starts);

}  // namespace quillgrade::vault
