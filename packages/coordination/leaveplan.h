#pragma once

#include "state/immutable.h"

#include <absl/time/time.h>

namespace Apricot {

struct LeavePlanFields
{
    absl::Time start = absl::InfiniteFuture(); ///< when the node was asked to stop
    absl::Duration grace; ///< time between that request and the end of the process by force

    friend bool operator==(const LeavePlanFields &, const LeavePlanFields &) = default;
};

/// The schedule of a node's planned stop; of a node that serves on, its start is in the infinite future.
using LeavePlan = Immutable<LeavePlanFields>;

/// Returns when the calls that are still in progress are ended, shortly before the end of the grace period.
absl::Time callEnd(const LeavePlan &plan);

/// Whether a node takes a call that arrives at \a now and may last until \a deadline. A leaving node goes on serving, as callers may have
/// its address for a while, but late in the grace period it takes only calls that will have ended before the node does.
bool takesCall(const LeavePlan &plan, absl::Time deadline, absl::Time now);

}
