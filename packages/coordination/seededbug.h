#pragma once

namespace Apricot {

/// Faults that tests inject to verify that the invariant checks detect them. Production code never sets one.
enum class SeededBug {
    None,
    SkipReadBack, ///< treat a lost store response as success
    DropAbandonedMark, ///< abandon a run record without marking it as abandoned
    DispatchOnConflict, ///< dispatch although another attempt created the record
    RepeatAfterDispatch, ///< repeat a non-idempotent call after an unknown outcome
    ReleaseTwice, ///< release a reservation twice
    ForgetOrphan, ///< never cancel requests that are no longer renewed
    RenewWithoutOwnerCheck, ///< accept a renewal of a superseded attempt
    ActAfterLease, ///< publish after the lease has expired, without a conditional update
    GenerationGoesBack, ///< accept a lower generation
    WorkToLeavingEngine, ///< assign work to a leaving engine
    OverfillEngine, ///< reserve more pieces than the engine has
    SkipOffsetCheck, ///< forward tokens without checking their offset
};

/// Returns the active fault of this process.
SeededBug seededBug();

/// Activates \a bug. For tests only.
void setSeededBug(SeededBug bug);

inline bool hasSeededBug(SeededBug bug)
{
    return seededBug() == bug;
}

}
