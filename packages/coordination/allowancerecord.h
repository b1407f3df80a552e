#pragma once

#include "coordination/allowancebucket.h"
#include "state/liveness.h"
#include "state/workspacespending.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>

namespace Apricot {

/// The charge of one admitted request, which can be refunded.
struct ChargedCost
{
    WorkspaceKey workspace = 0;
    std::uint64_t epoch = 0;
    std::int64_t cost = 0;

    friend bool operator==(const ChargedCost &, const ChargedCost &) = default;
};

/**
 * \class PeerSpending
 * \brief What one node knows of the spending of one peer in one workspace.
 */
class PeerSpending
{
public:
    /// Whether \a spending is older than what is known.
    bool isOutdated(const WorkspaceSpending &spending, absl::Time now) const;

    /// Takes over the counters of a report; returns what the peer has spent since the last one that is known.
    std::int64_t update(const WorkspaceSpending &spending, absl::Time now);

    std::uint64_t epoch() const
    {
        return m_epoch;
    }

    /// When the last report arrived.
    absl::Time lastReport() const
    {
        return m_lastReport;
    }

private:
    std::uint64_t m_epoch = 0;
    std::int64_t m_charged = 0;
    std::int64_t m_refunded = 0;
    absl::Time m_lastReport = absl::InfinitePast();
};

/**
 * \class AllowanceRecord
 * \brief The bucket of one workspace, and the counters of what this node and its peers have spent.
 */
class AllowanceRecord
{
public:
    AllowanceRecord(AllowanceBucket initialBucket, absl::Time now)
        : bucket(initialBucket)
        , m_lastActivity(now)
    {
    }

    /// Records that this node has charged \a cost. \a newEpoch is used if an epoch begins; returns whether one has begun.
    bool recordCharge(std::int64_t cost, std::uint64_t newEpoch, absl::Time now);

    /// Records that \a cost was given back.
    void recordRefund(std::int64_t cost, absl::Time now);

    /// Charges \a spending of \a peer.
    void merge(NodeKey peer, const WorkspaceSpending &spending, const PeerContact &contact, const AllowanceSharing &sharing,
               absl::Time now);

    /// Reports the own spending again if it is recent: a peer may have missed it.
    void repeatReport(absl::Duration window, absl::Time now);

    bool isReportDue(absl::Time now) const
    {
        return m_reportsLeft > 0 && m_reportDue <= now;
    }

    /// Whether the peers must know at once what this node has spent, as it is a large part of what it may spend.
    bool isUrgent(const AllowanceSharing &sharing) const;

    /// How urgent the report is, in seconds: of the rate that was spent, and of waiting time, so that each one is sent at last.
    double importance(absl::Time now) const;

    /// Returns the own spending for a report.
    WorkspaceSpending report(WorkspaceKey workspace, absl::Time now);

    /// Whether nothing has happened for so long that the record is not needed.
    bool isIdle(absl::Time now) const;

    std::uint64_t epoch() const
    {
        return m_epoch;
    }

    AllowanceBucket bucket;

private:
    void scheduleReport(absl::Time now);
    void adopt(const WorkspaceSpending &spending, bool isNew, const AllowanceSharing &sharing);

    bool m_isAdopted = false; ///< a peer's level was taken over
    std::uint64_t m_epoch = 0; ///< of the own spending; 0: none yet
    absl::Time m_epochStart;
    std::int64_t m_charged = 0;
    std::int64_t m_refunded = 0;
    std::int64_t m_unreported = 0; ///< changes that no report has contained
    int m_reportsLeft = 0; ///< how often the own spending still has to be reported
    absl::Time m_reportDue;
    absl::Time m_lastOwn = absl::InfinitePast(); ///< last change of the own spending
    absl::Time m_lastActivity;
    absl::flat_hash_map<NodeKey, PeerSpending> m_peers;
};

}
