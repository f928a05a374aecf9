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
    explicit Reachability(Number self) : self(self) {}

    // A datagram came from it, past all helpers. True where a cut from it to me ends with this.
    bool heard(Number speaker, Micros now);
    // It has sent me something that did not come. True where this makes it a cut.
    bool missed(Number speaker, Micros now);
    // What another listener says; true where it is news.
    bool told(const LinkReport& fact, Life listener_life, Micros now);
    // A router's new life begins: all it said and all said of it is over. Returns the cuts that end with it.
    std::vector<LinkReport> forget(Number router);
    // Drops the facts that their listeners have not said again for a minute. Returns the cuts that end with
    // it.
    std::vector<LinkReport> expire(Micros now);

    bool cut(Number speaker, Number listener) const;
    // Facts to pass on, those told least often first, and counts them as told once more.
    std::vector<LinkReport> to_tell(std::size_t most, int times);
    // The pairs that are cut.
    std::vector<LinkReport> cuts() const;
    // At most `most` of them for a digest, others at each call until all had their turn.
    std::vector<LinkReport> next_cuts(std::size_t most);
    // The ends that are known here of cuts that somebody else still holds.
    std::vector<LinkReport> ended_of(const std::vector<LinkReport>& held) const;
    // Misses, but not enough to say so, and there is room to: it is worth asking again.
    bool doubtful(Number speaker) const;

private:
    struct Fact {
        LinkReport what;
        Life life = 0;
        Micros at = 0;
        int told = 0;
    };
    struct Ear {
        int missed = 0;
        Micros first = 0;
    };
    Fact* find(Number speaker, Number listener);
    const Fact* find(Number speaker, Number listener) const;
    bool say(Number speaker, bool cut, Micros now);  // false where there is no room for one more fact
    template <class Ended>
    std::vector<LinkReport> drop_facts(Ended ended);
    Number self;
    std::map<std::pair<Number, Number>, Fact> facts;
    std::map<Number, Ear> ears;
    std::uint32_t statements = 0;
    std::size_t next_in_digest = 0;
};

}  // namespace quillgrade::peers
