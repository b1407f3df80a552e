#pragma once

#include "coordination/allowancerecord.h"
#include "coordination/peercontact.h"
#include "state/name.h"
#include "state/routedcall.h"
#include "state/workspacespending.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <variant>
#include <vector>

namespace Apricot {

/// Returns the key by which reports name \a workspace; the same on all nodes.
WorkspaceKey workspaceKey(const WorkspaceName &workspace);

/// Returns what \a call counts against \a allowance.
std::int64_t requestCost(const Allowance &allowance, const RoutedCall &call);

/// A workspace with a limit.
struct LimitedWorkspace
{
    WorkspaceKey workspace = 0;
    AllowanceLimit limit;

    friend bool operator==(const LimitedWorkspace &, const LimitedWorkspace &) = default;
};

/// Whether a request is admitted.
using ChargeResult = std::variant<ChargedCost, OverAllowance>;

/**
 * \class WorkspaceAllowances
 * \brief Decides whether requests are within the allowances of their workspaces, which all nodes share.
 *
 * Each node keeps a copy of each workspace's token bucket. It charges its own requests at once and those of its peers when their
 * reports arrive. The part of silent peers is withheld. Only workspaces with recent activity have a bucket.
 */
class WorkspaceAllowances
{
public:
    /// \a firstEpoch must be higher than all epochs of an earlier process: the start time, in milliseconds since 1970.
    WorkspaceAllowances(std::uint64_t firstEpoch, const AllowanceTolerance &tolerance, absl::Time start);

    /// Replaces the limits. The spending of a workspace that is removed is kept while it is recent.
    void setLimits(const std::vector<LimitedWorkspace> &workspaces, absl::Time now);

    /// Sets the nodes that share the allowances.
    void setPeers(const AllowancePeers &peers, absl::Time now);

    /// Charges a request of \a workspace, or refuses it. A workspace without a limit is charged nothing.
    ChargeResult admit(WorkspaceKey workspace, std::int64_t cost, absl::Time now);

    /// Gives \a charge back: its request was not run and will not be.
    void refund(const ChargedCost &charge, absl::Time now);

    /// Records a message of \a peer that was sent at \a sentAt, a time on this node's clock.
    void recordHeard(NodeKey peer, absl::Time sentAt, absl::Time now);

    /// Charges what \a peer has reported.
    void merge(NodeKey peer, const SpendingReport &report, absl::Time now);

    /// Returns up to \a maxCount changes that are due to be reported to the peers; the most important first.
    SpendingReport report(std::size_t maxCount, absl::Time now);

    /// Whether this node has spent so much that the peers have to know it soon.
    bool hasUrgentChange() const
    {
        return m_hasUrgentChange;
    }

    /// Removes the buckets without recent activity.
    void expire(absl::Time now);

    /// What is left of the allowance of \a workspace, as far as this node knows; nothing if it has no bucket.
    std::optional<double> level(WorkspaceKey workspace, absl::Time now);

    std::size_t recordCount() const
    {
        return m_records.size();
    }

private:
    void advanceTo(absl::Time now);
    void updateSharing(absl::Time now);
    void updateFloor(absl::Time now);
    double initialLevel(const AllowanceLimit &limit, absl::Time now) const;
    AllowanceRecord *recordFor(WorkspaceKey workspace, absl::Time now);

    AllowanceTolerance m_tolerance;
    absl::Time m_start;
    std::uint64_t m_nextEpoch;
    PeerContact m_contact;
    AllowanceSharing m_sharing;
    absl::Time m_nextSilence = absl::InfiniteFuture(); ///< not later than the next time at which a peer becomes silent
    double m_floorShare = 0; ///< lowest share that was in contact recently: an unused allowance is at least this part of its burst
    absl::Time m_floorEnd; ///< when the share last was that low
    absl::flat_hash_map<WorkspaceKey, AllowanceLimit> m_limits;
    absl::flat_hash_map<WorkspaceKey, AllowanceRecord> m_records;
    bool m_hasUrgentChange = false; ///< since the last report
};

}
