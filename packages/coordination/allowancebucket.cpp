#include "coordination/allowancebucket.h"

#include <algorithm>
#include <limits>

namespace Apricot {

namespace {

/// Parts of the tolerance for spending that is not reported yet, for the time in which a partition is not noticed, and for requests
/// that a node counts in another order than its peers. The rest covers nodes that start (\see WorkspaceAllowances).
constexpr double paceTolerance = 0.3;
constexpr double partitionTolerance = 0.35;
constexpr double orderTolerance = 0.05;

/// What all nodes may spend besides the refill until a partition is noticed, without a check of the pace.
constexpr double uncheckedTolerance = 0.3;

/// Where requests are few and large, the order counts in requests: a level may lack this many of them, up to a part of the tolerance.
constexpr double orderRequests = 1.5;
constexpr double maxOrderTolerance = 0.15;

/// Time in which a peer learns of spending: the interval of the reports, the batch delay and the delay of the link.
constexpr absl::Duration reportDelay = absl::Milliseconds(60);

/// Part of the level that the nodes share equally until they have reported their spending. They share the rest as they have shared the
/// spending just before, so that a workspace whose requests all reach one node can use its allowance there.
constexpr double equalPart = 0.5;

/// Number of parts of a partition that keep the limit together before they have noticed it.
constexpr double maxPartitionParts = 3;

/// What was withheld for a shorter time than this is given back.
constexpr absl::Duration shortSilence = absl::Seconds(1);

/// After a longer silence, a peer reports what it has spent meanwhile within this time.
constexpr absl::Duration settlementTime = absl::Seconds(2);

/// Smallest burst, as the time that the rate needs to refill it: without a burst no request could be admitted.
constexpr absl::Duration minBurstTime = absl::Milliseconds(250);

/// Returns by how much a request of \a cost may exceed the level.
double allowedDebt(const AllowanceLimit &limit, double cost)
{
    return std::clamp(orderRequests * cost, orderTolerance * limit.tolerance, maxOrderTolerance * limit.tolerance);
}

}

AllowanceLimit makeAllowanceLimit(const Allowance &allowance, const AllowanceTolerance &tolerance)
{
    AllowanceLimit limit;
    limit.rate = allowance->ratePerSecond;
    limit.burst = std::max(allowance->burst, limit.rate * absl::ToDoubleSeconds(minBurstTime));
    const double perWindow = limit.rate * absl::ToDoubleSeconds(tolerance.window) + limit.burst;
    limit.tolerance = perWindow * tolerance.overage + tolerance.headroom;
    limit.maxCost = perWindow;
    return limit;
}

AllowanceBucket::AllowanceBucket(const AllowanceLimit &limit, double level, double withheld, const AllowanceSharing &sharing,
                                 absl::Time now)
    : m_limit(limit)
    , m_level(std::min(level, limit.burst * sharing.heardShare))
    , m_surplus(std::clamp(level - m_level, 0.0, limit.maxCost))
    , m_withheld(withheld)
    , m_advancedTo(now)
{
}

void AllowanceBucket::advance(const AllowanceSharing &sharing, absl::Time now)
{
    if (now <= m_advancedTo) {
        return;
    }
    const double capacity = m_limit.burst * sharing.heardShare;
    const double refill = m_limit.rate * absl::ToDoubleSeconds(now - m_advancedTo);
    m_level += refill * sharing.heardShare;
    m_withheld += refill * (1 - sharing.heardShare);
    m_advancedTo = now;
    if (m_level > capacity) {
        m_surplus = std::min(m_surplus + m_level - capacity, m_limit.maxCost);
        m_level = capacity;
    }
}

absl::Duration AllowanceBucket::timeUntil(double missing, const AllowanceSharing &sharing) const
{
    return absl::Seconds(std::max(0.0, missing) / (m_limit.rate * sharing.heardShare));
}

/// Returns the part of the level that this node may spend before the others know of it. The parts of all nodes add up to 1.
double AllowanceBucket::ownPart(const AllowanceSharing &sharing, absl::Time now) const
{
    const double equal = 1 / static_cast<double>(sharing.sharerCount);
    const double own = m_own.sum(PeerContact::silentAfter, now) - m_own.sum(reportDelay, now);
    const double all = m_all.sum(PeerContact::silentAfter, now) - m_all.sum(reportDelay, now);
    return all > 0 ? equalPart * equal + (1 - equalPart) * std::clamp(own / all, 0.0, 1.0) : equal;
}

/// Returns by how much the level is too low for spending \a cost as fast as this. Two requests in a period are always slow enough: those of
/// a small workspace are few, large, and come at random.
double AllowanceBucket::missingForPace(double cost, const AllowanceSharing &sharing, absl::Time now) const
{
    double needed = -std::numeric_limits<double>::infinity();
    const double own = m_own.sum(reportDelay, now);
    if (own > cost) {
        // The level already lacks the own spending.
        needed = (own + cost) / ownPart(sharing, now) - own - m_limit.tolerance * paceTolerance;
    }
    const double all = m_all.sum(PeerContact::silentAfter, now);
    const double refill = m_limit.rate * absl::ToDoubleSeconds(PeerContact::silentAfter);
    if (all > cost && all + cost > refill + m_limit.tolerance * uncheckedTolerance) {
        const double parts = std::min(maxPartitionParts, static_cast<double>(sharing.sharerCount));
        needed = std::max(needed, parts * (all + cost) - all - m_limit.tolerance * partitionTolerance);
    }
    return needed - m_level;
}

AllowanceDecision AllowanceBucket::admit(double cost, const AllowanceSharing &sharing, absl::Time now)
{
    OverAllowance over;
    over.level = m_level;
    if (cost > m_limit.maxCost) {
        over.retryAfter = absl::Seconds(m_limit.maxCost / m_limit.rate);
        return over;
    }
    const double available = m_level + (cost > m_limit.burst * sharing.heardShare ? m_surplus : 0);
    const double missing = cost - allowedDebt(m_limit, cost) - available;
    if (missing > 0) {
        over.retryAfter = timeUntil(missing, sharing);
        return over;
    }
    // A request above the burst is admitted alone, after a pause.
    if (cost <= m_limit.burst * sharing.heardShare) {
        const double missingForPace = this->missingForPace(cost, sharing, now);
        if (missingForPace > 0) {
            // The spending that counts against the pace is forgotten meanwhile.
            over.retryAfter = std::min(timeUntil(missingForPace, sharing), PeerContact::silentAfter);
            return over;
        }
    }
    charge(cost);
    m_own.add(cost, now);
    m_all.add(cost, now);
    return Admitted{};
}

void AllowanceBucket::charge(double cost)
{
    m_level -= cost;
    m_surplus = 0;
}

void AllowanceBucket::changeShare(const AllowanceSharing &before, const AllowanceSharing &after, absl::Time now)
{
    advance(before, now);
    if (after.heardShare < before.heardShare) {
        m_withheldSince = before.heardShare < 1 ? m_withheldSince : now;
        const double part = std::max(0.0, m_level) * (before.heardShare - after.heardShare) / before.heardShare;
        m_level -= part;
        m_withheld += part;
    } else if (after.heardShare > before.heardShare) {
        const double returned = m_withheld * (after.heardShare - before.heardShare) / (1 - before.heardShare);
        m_withheld -= returned;
        if (now - m_withheldSince <= shortSilence) {
            giveBack(returned, after);
        } else {
            settle(returned, after, now);
        }
    }
}

void AllowanceBucket::chargePeer(double cost, bool wasUnheard, const AllowanceSharing &sharing, absl::Time now)
{
    expireSettlement(now);
    const double covered = wasUnheard ? std::clamp(cost, 0.0, m_covered) : 0;
    m_covered -= covered;
    const double charged = cost - covered;
    if (charged > 0) {
        charge(charged);
        m_all.add(charged, now);
        m_uncovered += wasUnheard ? charged : 0;
        m_settledAt = wasUnheard ? now + settlementTime : m_settledAt;
    } else {
        giveBack(-charged, sharing);
    }
}

/// Settles what was withheld for nodes that are heard again with what they have reported, or will report within the settlement time.
void AllowanceBucket::settle(double returned, const AllowanceSharing &sharing, absl::Time now)
{
    expireSettlement(now);
    const double alreadyCharged = std::min(returned, m_uncovered);
    m_uncovered -= alreadyCharged;
    giveBack(alreadyCharged, sharing);
    m_covered += returned - alreadyCharged;
    m_settledAt = now + settlementTime;
}

void AllowanceBucket::expireSettlement(absl::Time now)
{
    if (now > m_settledAt) {
        m_covered = 0;
        m_uncovered = 0;
    }
}

void AllowanceBucket::refund(double cost, const AllowanceSharing &sharing, absl::Time now)
{
    giveBack(cost, sharing);
    m_own.add(-cost, now);
    m_all.add(-cost, now);
}

void AllowanceBucket::giveBack(double cost, const AllowanceSharing &sharing)
{
    m_level = std::max(m_level, std::min(m_level + cost, m_limit.burst * sharing.heardShare));
}

void AllowanceBucket::adopt(double level, const AllowanceSharing &sharing)
{
    m_level = std::min(level, m_limit.burst * sharing.heardShare);
    m_surplus = 0;
}

void AllowanceBucket::setLimit(const AllowanceLimit &limit, const AllowanceSharing &sharing)
{
    if (limit.rate < m_limit.rate) {
        m_level = std::max(m_level, 0.0); // At the lower rate, what was overspent under the old limit would be held back for too long.
    }
    m_limit = limit;
    m_level = std::min(m_level, limit.burst * sharing.heardShare);
    m_surplus = 0;
}

}
