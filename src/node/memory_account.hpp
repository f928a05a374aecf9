// Bytes that the process holds for one use, such as answers on their way to clients, against the limit that
// this use has. Whoever takes bytes in charges them to the account first; a charge is given back when its
// last copy is gone, so that bytes which move from one owner to the next are counted once and at every
// moment.
//
// An account is under pressure from the moment it holds its high watermark until it has come down to the low
// one. Who charges it reads less meanwhile (node/read_admission.hpp). Not for use by several threads.
#pragma once

#include <cstddef>
#include <memory>
#include <string>

namespace quillgrade::node {

class MemoryAccount {
public:
    explicit MemoryAccount(std::size_t limit);
    MemoryAccount(const MemoryAccount&) = delete;
    MemoryAccount& operator=(const MemoryAccount&) = delete;
    ~MemoryAccount() = default;

    std::size_t limit() const { return most; }  // bytes, as are all of these
    std::size_t held() const { return now_held; }
    std::size_t peak() const { return most_held; }  // most that was held so far
    std::size_t available() const { return now_held < most ? most - now_held : 0; }
    bool under_pressure() const { return pressed; }
    std::size_t episodes() const { return times_pressed; }  // how often pressure began

private:
    friend class Charge;
    void add(std::size_t bytes);
    void give_back(std::size_t bytes);

    std::size_t most, now_held = 0, most_held = 0, times_pressed = 0;
    bool pressed = false;
};

// Bytes charged to an account, which has to outlive them. Copies share one charge.
class Charge {
public:
    Charge() = default;  // of nothing, to no account
    explicit Charge(MemoryAccount& account, std::size_t bytes = 0);
    void resize(std::size_t bytes);
    std::size_t bytes() const;

private:
    struct Entry;
    std::shared_ptr<Entry> entry;
};

// Bytes that several owners hold once, and their charge with them.
using SharedBytes = std::shared_ptr<const std::string>;
SharedBytes shared_bytes(std::string bytes, Charge charge);

}  // namespace quillgrade::node
