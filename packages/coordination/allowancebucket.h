#pragma once

#include "coordination/peercontact.h"
#include "coordination/recentspending.h"
#include "state/routedworkspace.h"

#include <absl/time/time.h>

#include <cstddef>
#include <variant>

namespace Apricot {

/// The tolerance of the rule for allowances: in each window, (rate x window + burst) x (1 + overage) + headroom may be spent.
struct AllowanceTolerance
{
    absl::Duration window = absl::Seconds(8);
    double overage = 0;
    double headroom = 0;

    friend bool operator==(const AllowanceTolerance &, const AllowanceTolerance &) = default;
};

/// The limit of one workspace, with what the nodes may spend above it.
struct AllowanceLimit
{
    double rate = 0; ///< per second
    double burst = 0;
    double tolerance = 0; ///< what all nodes together may spend above the rate and the burst in a window
    double maxCost = 0; ///< a request that costs more is never admitted

    friend bool operator==(const AllowanceLimit &, const AllowanceLimit &) = default;
};

/// Returns the limit and its tolerance. A burst below the smallest one is raised to it.
AllowanceLimit makeAllowanceLimit(const Allowance &allowance, const AllowanceTolerance &tolerance);

/// The request is within the allowance and was charged.
struct Admitted
{
    friend bool operator==(const Admitted &, const Admitted &) = default;
};

/// The request is above the allowance.
struct OverAllowance
{
    absl::Duration retryAfter; ///< after it the request would be admitted
    double level = 0; ///< what was left of the allowance
    absl::Duration oldestContact; ///< the time since the node last heard from the active node that has been silent the longest

    friend bool operator==(const OverAllowance &, const OverAllowance &) = default;
};

/// Whether a cost is within the allowance.
using AllowanceDecision = std::variant<Admitted, OverAllowance>;

/**
 * \class AllowanceBucket
 * \brief The token bucket of one workspace: one node's copy of the bucket that all nodes share.
 *
 * Other nodes learn of spending only after a delay, or not at all while a partition is not noticed yet. Therefore a node may spend
 * only a part of the level within the time that a report takes, and the nodes in contact only a part of it within the time after
 * which a partition is noticed.
 */
class AllowanceBucket
{
public:
    /// \a level is what is left, and \a withheld is what the nodes that are not heard may use.
    AllowanceBucket(const AllowanceLimit &limit, double level, double withheld, const AllowanceSharing &sharing, absl::Time now);

    /// Adds the refill up to \a now.
    void advance(const AllowanceSharing &sharing, absl::Time now);

    /// Charges \a cost if the level allows it. advance() must have been called for \a now.
    AllowanceDecision admit(double cost, const AllowanceSharing &sharing, absl::Time now);

    /// Changes the part of the allowance that the nodes in contact may use. What the others may spend is withheld while they are not
    /// heard. After a short time without them it is given back, as they then report what they have spent; after a longer one, what
    /// they report is charged only as far as it exceeds what was withheld.
    void changeShare(const AllowanceSharing &before, const AllowanceSharing &after, absl::Time now);

    /// Charges what a peer has spent since its last report, or gives back what it has got back. With \a wasUnheard, the peer has spent
    /// it while it was not heard, so what was withheld for it covers it.
    void chargePeer(double cost, bool wasUnheard, const AllowanceSharing &sharing, absl::Time now);

    /// Gives back \a cost that this node has charged.
    void refund(double cost, const AllowanceSharing &sharing, absl::Time now);

    /// Replaces the level by a peer's.
    void adopt(double level, const AllowanceSharing &sharing);

    /// Changes the limit. A level above the new burst is cut to it, and a lower rate starts without debts.
    void setLimit(const AllowanceLimit &limit, const AllowanceSharing &sharing);

    const AllowanceLimit &limit() const
    {
        return m_limit;
    }

    double level() const
    {
        return m_level;
    }

    bool isFull(const AllowanceSharing &sharing) const
    {
        return m_level >= m_limit.burst * sharing.heardShare;
    }

private:
    absl::Duration timeUntil(double missing, const AllowanceSharing &sharing) const;
    double ownPart(const AllowanceSharing &sharing, absl::Time now) const;
    double missingForPace(double cost, const AllowanceSharing &sharing, absl::Time now) const;
    void charge(double cost);
    void settle(double returned, const AllowanceSharing &sharing, absl::Time now);
    void expireSettlement(absl::Time now);
    void giveBack(double cost, const AllowanceSharing &sharing);

    AllowanceLimit m_limit;
    double m_level = 0;
    double m_surplus = 0; ///< refill since the bucket is full; it admits requests that cost more than the burst
    double m_withheld = 0; ///< what the nodes that are not heard may have spent
    absl::Time m_withheldSince = absl::InfinitePast();
    double m_covered = 0; ///< what was withheld for nodes that are heard again, and that they have not reported yet
    double m_uncovered = 0; ///< what such nodes have reported before it was known that all of them are heard again
    absl::Time m_settledAt = absl::InfinitePast(); ///< when the two are given up
    absl::Time m_advancedTo;
    RecentSpending m_own; ///< what this node has spent
    RecentSpending m_all; ///< what this node and its peers have spent
};

}
