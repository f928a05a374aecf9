// What is written to a cache: a lookup's transmission, or a probe.
#pragma once

#include <memory>
#include <string>
#include <string_view>

#include "control.hpp"

namespace quillgrade::http {

std::string cache_name(CacheId id);  // as the wire writes it

// One request, whole but for its budget: how long the answer is waited for is known only when it is written.
struct Request {
    std::string head;
    std::shared_ptr<const std::string> body;  // null: none
    bool has_budget = false;
    std::string head_text(Micros budget) const;  // all that comes before the body
    std::string text(Micros budget) const;
};

// What goes on as the client sent it.
struct Carried {
    std::string_view have;                    // the tag of a copy that it holds
    std::string_view ticket;                  // by which caches know a repeat
    std::shared_ptr<const std::string> body;  // null: none
};

// Where a rule has made a key, the path still names the object as the client did, and X-Key the key under
// which a copy is kept and looked for.
Request transmission(const LookupInfo& lookup, const AttemptPlan& order, std::string_view traffic,
                     const Carried& carried);
Request probe();

}  // namespace quillgrade::http
