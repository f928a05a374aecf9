// `quillgrade rules check|explain|test`: what a file of rules says, offline. Each prints to standard output
// and gives the exit code: 0 good, 1 faults or examples that fail.
#pragma once

#include <string>

namespace quillgrade::cli {

// `config`: the router's configuration, for its traffic types, zones and kinds.
int rules_check(const std::string& file, const std::string& config, double budget);
// `lookup`: "class=lesson-video part=3 school=st-anne client=10.1.2.3 size=100000 remaining_ms=1500
// time=08:30 retry object=7f3a9c21e0b4d655 group=17"; what is left out is 0, absent or the first traffic
// type.
int rules_explain(const std::string& file, const std::string& config, const std::string& lookup);
// `examples`: a JSON list (comments allowed) of {"lookup": "…", "rule": "name" or null, and any of "class",
// "pool", "limit_ms", "transmissions", "same_key_as": an index of the list, "other_key_than": an index}.
int rules_test(const std::string& file, const std::string& config, const std::string& examples);

}  // namespace quillgrade::cli
