#pragma once

#include "coordination/decayingrate.h"
#include "coordination/modeldemand.h"
#include "coordination/returnschedule.h"
#include "coordination/waiterid.h"
#include "coordination/workspaceusage.h"
#include "state/engineentry.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace Apricot {

/// A call in the order in which calls get capacity.
struct QueueEntry
{
    std::int64_t rank = 0; ///< effective rank; 0 for a rank or a workspace that is below its floor
    WaiterId waiter = 0; ///< of a call that waits at this node; 0: the call waits at a peer
    WaitingCall call;

    friend bool operator==(const QueueEntry &, const QueueEntry &) = default;
};

/// What follows from the refusal of a call for which there is no capacity.
struct CapacityRefusal
{
    absl::Duration retryAfter;
    bool isAboveShare = false; ///< the workspace of the call has used more than the average of all

    friend bool operator==(const CapacityRefusal &, const CapacityRefusal &) = default;
};

/**
 * \class WaitingCalls
 * \brief The calls of one service that wait for capacity at this node, and the order in which they get it.
 *
 * The order is by rank. Within a rank, a workspace whose recent usage is clearly lower is next; else the call whose wait ends first.
 * Calls without a workspace count as one workspace.
 */
class WaitingCalls
{
public:
    /// Adds a call that waits for capacity.
    void add(WaiterId waiter, ModelDemand demand, absl::Time now);
    /// Removes a call; does nothing if it does not wait.
    void remove(WaiterId waiter);

    std::size_t size() const
    {
        return m_waiters.size();
    }

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
    void recordPlacement(const ModelDemand &demand, double meanOutputTokens, absl::Time now);

    /// Records that a call of \a demand was refused because there was no capacity, and returns its Retry-After. \a timeLeft is the time
    /// until the caller's deadline, \a random a number in [0, 1).
    CapacityRefusal recordRefused(const ModelDemand &demand, absl::Duration timeLeft, double random, absl::Time now);

    /// Records what \a node reports about the usage of the workspaces of its \a waiting calls.
    void setPeerUsage(const NodeId &node, const std::vector<WaitingCall> &waiting, absl::Time now);

    /// Whether \a rank has recently got less than its minimum fraction of the placements, or \a workspace is starved.
    bool isBelowFloor(std::int64_t rank, WorkspaceTag workspace, absl::Time now) const;

    /// Returns the calls that wait at this node, in the order in which they get capacity.
    std::vector<QueueEntry> ownQueue(double meanOutputTokens, absl::Time now) const;

    /// Returns the calls that wait at this node and those that wait \a atPeers, in the order in which they get capacity.
    std::vector<QueueEntry> cellQueue(const std::vector<WaitingCall> &atPeers, double meanOutputTokens, absl::Time now) const;

    /// Returns the first calls of ownQueue(), for the peers.
    std::vector<WaitingCall> reported(double meanOutputTokens, absl::Time now) const;

    /// Returns the expected wait of a new call of \a demand, from the recent rate of placements.
    absl::Duration expectedWait(const ModelDemand &demand, double meanOutputTokens, absl::Time now) const;

private:
    struct Waiter
    {
        ModelDemand demand;
        absl::Time since;
    };

    bool isRankBelowFloor(std::int64_t rank, absl::Time now) const;
    double placedPerSecond(absl::Time now) const;
    double callsUntil(const ModelDemand &demand, double meanOutputTokens, absl::Time now) const;
    std::vector<QueueEntry> ownEntries(double meanOutputTokens, absl::Time now) const;
    std::vector<QueueEntry> inOrder(std::vector<QueueEntry> queue, absl::Time now) const;
    QueueEntry entry(WaiterId waiter, WaitingCall call, absl::Time now) const;

    std::map<WaiterId, Waiter> m_waiters;
    std::map<std::int64_t, DecayingRate> m_placedByRank; ///< recently placed calls by rank
    WorkspaceUsage m_usage;
    ReturnSchedule m_returns;
};

}
