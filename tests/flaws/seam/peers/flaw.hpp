// Guards that can be taken out, so that tests show that each is missed. hooks.patch puts the questions into
// copies of the shipped sources; the router's own hold none.
#pragma once

namespace quillgrade::peers {

enum class Flaw {
    None,
    LifeIgnored,      // accounts of different lives are joined as if of one
    PhaseFallsBack,   // a router that has left can be there again
    NoRefutation,     // an accused router does not answer
    PauseUnnoticed,   // a router that was away judges by what fell into the gap
    NoIndirect,       // no helper is asked before a router is accused
    SuspicionAtOnce,  // an accusation is a verdict
    AnySource,        // datagrams are taken from whatever address
    DeadNotProbed,    // nobody looks for a router that was given up
    CutsUnheard,      // which direction is cut is told to nobody
    ConfirmedByOne,   // one accuser counts as several
    NewsForever,      // news is told without end
    NoByteBudget,     // bytes a second are not bounded
    AskedNotBefore,   // after a pause judges without asking
    LifeNotRaised,    // a new life that finds its number taken keeps it
    // Of state transfer.
    PageOverwrites,      // accounts of a page are taken as they are, not joined
    VerdictByPage,       // a page gives up who is alive here
    NewHelperTrusted,    // a helper that has not finished itself completes a range
    NewHelperClaimsAll,  // a helper says that it knows all when it has just started
    TransferUnpaced,     // pages are asked for whatever comes in
    HelperNeverSheds,    // a helper answers all requests
    NoBackoff,           // a request in vain is followed by the next at once
    TransferNeverEnds,   // it asks on for what nobody tells
    UnaskedPagesUsed,    // pages that were not asked for are used
    LatePagesUsed,       // pages are used however late they come
    PauseKeepsComplete,  // a router that was stopped for long takes itself to know all
    PagesWhileOff,       // pages are used while state transfer is off
    Last
};

Flaw& planted();  // as QUILLGRADE_FLAW in the environment says (its number), or as a test sets it
inline bool flawed(Flaw one) { return planted() == one; }

}  // namespace quillgrade::peers
