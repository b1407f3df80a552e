#pragma once

namespace Apricot {

/// Deliberate faults for the proof that the checks can fail. Production code never sets one.
enum class SeededBug {
    None,
    SkipReadBack, ///< treat a lost store reply as success
    DropAbandonedMark, ///< give a run record up without marking it
    DispatchOnConflict, ///< dispatch though another attempt created the record
    RepeatAfterDispatch, ///< send a non-idempotent call again after an unknown outcome
    ReleaseTwice, ///< give a reservation back twice
    ForgetOrphan, ///< never cancel what nobody renews
    RenewWithoutOwnerCheck, ///< accept a renewal of an attempt that was superseded
    ActAfterLease, ///< publish after the lease has run out, without the conditional update
    GenerationGoesBack, ///< take a lower generation
    WorkToLeavingEngine, ///< place work on an engine that is leaving
    OverfillEngine, ///< reserve more pieces than the engine has
    SkipOffsetCheck, ///< pass tokens on without looking at their offset
};

/// Returns the fault in force in this process.
SeededBug seededBug();

/// Puts \a bug in force; for tests only.
void setSeededBug(SeededBug bug);

inline bool hasSeededBug(SeededBug bug)
{
    return seededBug() == bug;
}

}
