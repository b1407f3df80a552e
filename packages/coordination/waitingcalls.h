#pragma once

#include "coordination/decayingrate.h"
#include "coordination/modeldemand.h"
#include "state/engineentry.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <tuple>
#include <vector>

namespace Apricot {

/// Identifies a call that waits for capacity in a ServicePool.
using WaiterId = std::uint64_t;

/// A call's position in the order in which calls get capacity: by rank, then by the end of its wait.
struct QueueEntry
{
    std::int64_t rank = 0; ///< effective rank; 0 for a rank that is below its floor
    WaiterId waiter = 0; ///< of a call that waits at this node; 0: the call waits at a peer
    WaitingCall call;

    friend bool operator==(const QueueEntry &, const QueueEntry &) = default;
    friend bool operator<(const QueueEntry &left, const QueueEntry &right)
    {
        return std::tie(left.rank, left.call.waitDeadline, left.waiter) < std::tie(right.rank, right.call.waitDeadline, right.waiter);
    }
};

/**
 * \class WaitingCalls
 * \brief The calls of one service that wait for capacity at this node, and the order in which they get it.
 */
class WaitingCalls
{
public:
    void add(WaiterId waiter, ModelDemand demand, absl::Time now);
    void remove(WaiterId waiter);

    bool isEmpty() const
    {
        return m_waiters.empty();
    }

    /// Returns the requirements of \a waiter, which must be waiting.
    const ModelDemand &demand(WaiterId waiter) const
    {
        return m_waiters.at(waiter).demand;
    }

    /// Records that a call, which may have waited, got its placement.
    void recordPlacement(const ModelDemand &demand, absl::Time now);

    /// Whether \a rank has recently got less than its minimum fraction of the placements.
    bool isBelowFloor(std::int64_t rank, absl::Time now) const;

    /// Returns the calls that wait at this node, in the order in which they get capacity.
    std::vector<QueueEntry> ownQueue(double meanOutputTokens, absl::Time now) const;

    /// Returns the calls that wait at this node and those that wait \a atPeers, in the order in which they get capacity.
    std::vector<QueueEntry> cellQueue(const std::vector<WaitingCall> &atPeers, double meanOutputTokens, absl::Time now) const;

    /// Returns the first calls of ownQueue(), for the peers.
    std::vector<WaitingCall> reported(double meanOutputTokens, absl::Time now) const;

    /// Returns the expected wait of a new call of \a demand, from the recent rate of placements.
    absl::Duration expectedWait(const ModelDemand &demand, absl::Time now) const;

private:
    struct Waiter
    {
        ModelDemand demand;
        absl::Time since;
    };

    std::int64_t effectiveRank(std::int64_t rank, absl::Time now) const;

    std::map<WaiterId, Waiter> m_waiters;
    std::map<std::int64_t, DecayingRate> m_placedByRank; ///< recently placed calls by rank
};

}
