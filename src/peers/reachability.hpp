// Who hears whom, as directed facts. Only the listener can know that it does not hear, so only the listener
// says so; what is told is a cut and its end, never that all is well. Bounded: the cuts of 64 pairs at most.
#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "peers/message.hpp"

namespace quillgrade::peers {

class Reachability {
public:
    explicit Reachability(RouterIndex self) : self(self) {}

    // A datagram came from it, past all helpers. True where a cut from it to me ends with this.
    bool record_received(RouterIndex speaker, Micros now);
    // It has sent me something that did not come. True where this makes it a cut.
    bool record_missed(RouterIndex speaker, Micros now);
    // What another listener says; true where it is news.
    bool merge_report(const LinkReport& fact, Generation listener_life, Micros now);
    // A router's new life begins: all it said and all said of it is over. Returns the cuts that end with it.
    std::vector<LinkReport> forget(RouterIndex router);
    // Drops the facts that their listeners have not said again for a minute. Returns the cuts that end with
    // it.
    std::vector<LinkReport> expire(Micros now);

    bool is_down(RouterIndex speaker, RouterIndex listener) const;
    // Facts to pass on, those told least often first, and counts them as told once more.
    std::vector<LinkReport> next_reports(std::size_t most, int times);
    // The pairs that are cut.
    std::vector<LinkReport> down_links() const;
    // At most `most` of them for a digest, others at each call until all had their turn.
    std::vector<LinkReport> next_down_links(std::size_t most);
    // The ends that are known here of cuts that somebody else still holds.
    std::vector<LinkReport> recovered_among(const std::vector<LinkReport>& held) const;
    // Misses, but not enough to say so, and there is room to: it is worth asking again.
    bool needs_another_probe(RouterIndex speaker) const;

private:
    struct Fact {
        LinkReport what;
        Generation life = 0;
        Micros at = 0;
        int told = 0;
    };
    struct Ear {
        int missed = 0;
        Micros first = 0;
    };
    Fact* find(RouterIndex speaker, RouterIndex listener);
    const Fact* find(RouterIndex speaker, RouterIndex listener) const;
    bool say(RouterIndex speaker, bool cut, Micros now);  // false where there is no room for one more fact
    template <class Ended>
    std::vector<LinkReport> drop_facts(Ended ended);
    RouterIndex self;
    std::map<std::pair<RouterIndex, RouterIndex>, Fact> facts;
    std::map<RouterIndex, Ear> ears;
    std::uint32_t statements = 0;
    std::size_t next_in_digest = 0;
};

}  // namespace quillgrade::peers
