#include "version/bundle.hpp"

#include <xxhash.h>

namespace quillgrade::version {

std::uint64_t digest_of(const Items& items) {
    std::uint64_t digest = items.size();
    for (auto& [name, item] : items) {
        digest = XXH3_64bits_withSeed(name.data(), name.size(), digest);
        digest = XXH3_64bits_withSeed(item->bytes.data(), item->bytes.size(), digest);
    }
    return digest;
}

std::string describe(const VersionSet& set) {
    std::string description;
    for (auto& version : set)
        if (version)
            description += (description.empty() ? "" : ", ") +
                           std::string(discovery::name_of(version->bundle.kind)) + " " +
                           version->bundle.version_text + " of '" + version->bundle.identity + "'";
    return description.empty() ? "nothing" : description;
}

ConfiguredLimits configured_limits(const SiteSettings& facts, const site::Terms& terms) {
    return {terms,
            facts.max_attempts,
            facts.hedging,
            facts.max_retry_after,
            {terms.traffic, terms.zones, terms.kinds, facts.traffic, facts.max_attempts},
            route::usual_budget};
}

}  // namespace quillgrade::version
