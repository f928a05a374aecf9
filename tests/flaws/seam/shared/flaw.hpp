// Guards that can be taken out, so that tests show that each is missed. hooks.patch puts the questions into
// copies of the shipped sources; the router's own hold none.
#pragma once

namespace quillgrade::shared {

enum class Flaw {
    None,
    LoanWithoutEnd,      // 1: the borrower goes on after the end of its lease
    LenderKeepsUsing,    // 2: what is lent is not held back by the lender
    NewLifeAtOnce,       // 3: a new life uses and lends what its last one may have promised
    LoanTwice,           // 4: a lease that comes twice counts twice
    AnyGrant,            // 5: what was never asked for, or by an earlier life, is taken as a lease
    NotLookedAgain,      // 6: a right is looked at when the lookup is decided, not when it is sent
    LentAgainAtOnce,     // 7: what was lent is lent on at its end, while its last use still counts
    AmountsBelieved,     // 8: amounts are taken as they are told
    FactsLapseDeaf,      // 9: what others have heard is given up though the own coordinator is silent
    StartIgnored,        // 10: what was told of a server's last process counts for its next
    LoneWitness,         // 11: one witness is enough to pass a server by
    LiarBelieved,        // 12: a witness that complains of most servers is believed
    OldCounts,           // 13: counts of epochs long over are merged
    SeenAlive,           // 14: the whole is divided by those who seem alive
    OthersTermsIgnored,  // 15: routers whose amounts differ lend to each other
    PurgesBackwards,     // 16: an older purge replaces a later one
    Last
};

Flaw& planted();  // as QUILLGRADE_SHARED_FLAW in the environment says (its number), or as a test sets it
inline bool flawed(Flaw one) { return planted() == one; }
// Between the look at a right and its use: stops this process (SIGSTOP) if the file that QUILLGRADE_STOP_AT
// names is there, and removes that.
void may_stop_here();

}  // namespace quillgrade::shared
