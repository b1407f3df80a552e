#pragma once

#include "state/engineentry.h"

#include <absl/time/time.h>

#include <compare>
#include <cstdint>
#include <vector>

namespace Apricot {

/// A call that is refused because there is no capacity.
struct RefusedCall
{
    std::int64_t rank = 0; ///< 0 is the most urgent
    WorkspaceTag workspace = 0;

    friend auto operator<=>(const RefusedCall &, const RefusedCall &) = default;
};

/**
 * \class ReturnSchedule
 * \brief Spreads the returns of refused calls along the capacity that is expected then.
 *
 * A call returns at a random time in a period that outlasts most bursts, but not before its workspace's share of the recent placement
 * rate could have served the refused calls that return before it: more urgent ones, and those of its own workspace.
 */
class ReturnSchedule
{
public:
    /// Returns the Retry-After of \a call and counts its return. \a placedPerSecond is the recent rate of placements on this node, 0 if
    /// none is known; \a timeLeft is the time until the caller's deadline; \a random is a number in [0, 1).
    absl::Duration add(const RefusedCall &call, double placedPerSecond, absl::Duration timeLeft, double random, absl::Time now);

private:
    struct Return
    {
        RefusedCall call;
        absl::Time at;
    };

    absl::Duration expectedBacklog(const RefusedCall &call, double placedPerSecond) const;

    std::vector<Return> m_returns; ///< of calls that have not returned yet
};

}
