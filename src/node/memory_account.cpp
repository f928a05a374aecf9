#include "node/memory_account.hpp"

#include <algorithm>
#include <utility>

namespace quillgrade::node {

namespace {

// Of the limit. What lies over the high watermark lets the answers that were begun come to their end.
constexpr double high_watermark = 0.75, low_watermark = 0.5;

std::size_t share_of(std::size_t limit, double share) {
    return static_cast<std::size_t>(static_cast<double>(limit) * share);
}

}  // namespace

MemoryAccount::MemoryAccount(std::size_t limit) : most(limit) {}

void MemoryAccount::add(std::size_t bytes) {
    now_held += bytes;
    most_held = std::max(most_held, now_held);
    if (pressed || now_held < share_of(most, high_watermark)) return;
    pressed = true;
    times_pressed++;
}

void MemoryAccount::give_back(std::size_t bytes) {
    now_held -= bytes;
    if (now_held <= share_of(most, low_watermark)) pressed = false;
}

struct Charge::Entry {
    Entry(MemoryAccount& account, std::size_t bytes) : account(account), bytes(bytes) { account.add(bytes); }
    Entry(const Entry&) = delete;
    Entry& operator=(const Entry&) = delete;
    ~Entry() { account.give_back(bytes); }
    MemoryAccount& account;
    std::size_t bytes;
};

Charge::Charge(MemoryAccount& account, std::size_t bytes) : entry(std::make_shared<Entry>(account, bytes)) {}

void Charge::resize(std::size_t bytes) {
    if (!entry) return;
    if (bytes > entry->bytes)
        entry->account.add(bytes - entry->bytes);
    else
        entry->account.give_back(entry->bytes - bytes);
    entry->bytes = bytes;
}

std::size_t Charge::bytes() const { return entry ? entry->bytes : 0; }

SharedBytes shared_bytes(std::string bytes, Charge charge) {
    struct Charged {
        std::string bytes;
        Charge charge;
    };
    auto both = std::make_shared<const Charged>(Charged{std::move(bytes), std::move(charge)});
    return {both, &both->bytes};
}

}  // namespace quillgrade::node
