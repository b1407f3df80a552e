#include "coordination/allowancerecord.h"

#include <algorithm>
#include <cmath>

namespace Apricot {

namespace {

/// A node starts a new epoch after this time without own spending in the workspace.
constexpr absl::Duration epochIdleTime = absl::Seconds(5);

/// A record without activity is removed after this time. It must be much longer than the idle time of an epoch: a node that has
/// forgotten the counters of an epoch which continues would charge them again.
constexpr absl::Duration recordIdleTime = absl::Seconds(30);

/// Reports are not reordered by more than this time. A lower epoch after it comes from a restart of a node whose clock was set back.
constexpr absl::Duration maxReordering = absl::Seconds(2);

/// A node that starts to hear its peers takes over their levels for this time.
constexpr absl::Duration adoptionTime = absl::Seconds(3);

/// Upper bound of a peer's counters, so that differences do not overflow.
constexpr std::int64_t maxCounter = std::int64_t{1} << 60;

/// How often a change is reported; the repetition makes up for a lost datagram.
constexpr int reportCount = 2;

/// Time after which a small change, or the repetition of a change, is reported: with the next periodic load report.
constexpr absl::Duration reportWait = absl::Milliseconds(160);

/// A change is urgent if it is above this part of the node's equal share of the burst.
constexpr double urgentPart = 0.1;

}

bool PeerSpending::isOutdated(const WorkspaceSpending &spending, absl::Time now) const
{
    return spending.epoch < m_epoch && now - m_lastReport < maxReordering;
}

std::int64_t PeerSpending::update(const WorkspaceSpending &spending, absl::Time now)
{
    if (spending.epoch != m_epoch) {
        m_epoch = spending.epoch;
        m_charged = 0;
        m_refunded = 0;
    }
    m_lastReport = now;
    const std::int64_t charged = std::max(m_charged, spending.charged);
    const std::int64_t refunded = std::max(m_refunded, spending.refunded);
    const std::int64_t difference = (charged - m_charged) - (refunded - m_refunded);
    m_charged = charged;
    m_refunded = refunded;
    return difference;
}

bool AllowanceRecord::recordCharge(std::int64_t cost, std::uint64_t newEpoch, absl::Time now)
{
    const bool isNew = m_epoch == 0 || now - m_lastOwn >= epochIdleTime;
    if (isNew) {
        m_epoch = newEpoch;
        m_epochStart = now;
        m_charged = 0;
        m_refunded = 0;
    }
    m_charged += cost;
    m_unreported += cost;
    m_lastOwn = now;
    m_lastActivity = now;
    scheduleReport(now);
    return isNew;
}

void AllowanceRecord::recordRefund(std::int64_t cost, absl::Time now)
{
    m_refunded += cost;
    m_unreported += cost;
    m_lastOwn = now;
    m_lastActivity = now;
    scheduleReport(now);
}

void AllowanceRecord::scheduleReport(absl::Time now)
{
    const absl::Time latest = now + reportWait;
    m_reportDue = m_reportsLeft > 0 ? std::min(m_reportDue, latest) : latest;
    m_reportsLeft = reportCount;
}

void AllowanceRecord::repeatReport(absl::Duration window, absl::Time now)
{
    if (now - m_lastOwn < window) {
        m_reportDue = now;
        m_reportsLeft = reportCount;
    }
}

bool AllowanceRecord::isUrgent(const AllowanceSharing &sharing) const
{
    return static_cast<double>(m_unreported) > urgentPart * bucket.limit().burst / static_cast<double>(sharing.sharerCount);
}

double AllowanceRecord::importance(absl::Time now) const
{
    return static_cast<double>(m_unreported) / bucket.limit().rate + absl::ToDoubleSeconds(now - m_reportDue);
}

WorkspaceSpending AllowanceRecord::report(WorkspaceKey workspace, absl::Time now)
{
    m_unreported = 0;
    --m_reportsLeft;
    m_reportDue = now + reportWait;
    const auto level = static_cast<std::int64_t>(std::floor(bucket.level()));
    const std::int64_t epochAgeMs = m_epoch == 0 ? 0 : absl::ToInt64Milliseconds(now - m_epochStart);
    return WorkspaceSpending{workspace, m_epoch, epochAgeMs, m_charged, m_refunded, level};
}

void AllowanceRecord::merge(NodeKey peer, const WorkspaceSpending &spending, const PeerContact &contact, const AllowanceSharing &sharing,
                            absl::Time now)
{
    if (spending.charged < 0 || spending.charged > maxCounter || spending.refunded < 0 || spending.refunded > maxCounter) {
        return;
    }
    m_lastActivity = now;
    PeerSpending &known = m_peers[peer];
    if (known.isOutdated(spending, now)) {
        return;
    }
    const absl::Time epochStart = now - absl::Milliseconds(spending.epochAgeMs);
    const bool isUnknown = spending.epoch != known.epoch() && epochStart < contact.listeningSince();
    const bool wasUnheard = known.lastReport() < contact.contactSince(peer);
    const auto difference = static_cast<double>(known.update(spending, now));
    if (isUnknown) {
        adopt(spending, now - contact.listeningSince() < adoptionTime, sharing);
    } else {
        bucket.chargePeer(difference, wasUnheard, sharing, now);
    }
}

/// Takes over the level of a peer whose spending began before this node heard it, so that it cannot be charged.
void AllowanceRecord::adopt(const WorkspaceSpending &spending, bool isNew, const AllowanceSharing &sharing)
{
    const auto level = static_cast<double>(spending.level);
    // The peer may not have learnt yet what this node has spent.
    const auto ownSpending = static_cast<double>(m_charged - m_refunded);
    const bool mayRaise = isNew && !std::exchange(m_isAdopted, true);
    bucket.adopt(mayRaise ? level - ownSpending : std::min(level, bucket.level()), sharing);
}

bool AllowanceRecord::isIdle(absl::Time now) const
{
    return m_reportsLeft == 0 && now - m_lastActivity >= recordIdleTime;
}

}
