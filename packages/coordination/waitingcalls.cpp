#include "coordination/waitingcalls.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Minimum fraction of all placements that every rank gets, however many more urgent calls wait.
constexpr double rankFloorFraction = 0.08;

/// Time constant of the placement rates.
constexpr absl::Duration placementTimeConstant = absl::Seconds(5);

/// Maximum number of waiting calls of each service in a load report: enough for the capacity that becomes free between two
/// reports.
constexpr std::size_t maxReportedWaitingCalls = 4;

}

void WaitingCalls::add(WaiterId waiter, ModelDemand demand, absl::Time now)
{
    m_waiters.insert_or_assign(waiter, Waiter{std::move(demand), now});
}

void WaitingCalls::remove(WaiterId waiter)
{
    m_waiters.erase(waiter);
}

void WaitingCalls::recordPlacement(const ModelDemand &demand, absl::Time now)
{
    const auto [it, isNew] = m_placedByRank.try_emplace(demand.rank, placementTimeConstant);
    it->second.add(1, now);
}

bool WaitingCalls::isBelowFloor(std::int64_t rank, absl::Time now) const
{
    double total = 0;
    double own = 0;
    for (const auto &[placedRank, placed] : m_placedByRank) {
        total += placed.sum(now);
        own += placedRank == rank ? placed.sum(now) : 0;
    }
    return own <= rankFloorFraction * total;
}

std::int64_t WaitingCalls::effectiveRank(std::int64_t rank, absl::Time now) const
{
    return isBelowFloor(rank, now) ? 0 : rank;
}

std::vector<QueueEntry> WaitingCalls::ownQueue(double meanOutputTokens, absl::Time now) const
{
    return cellQueue({}, meanOutputTokens, now);
}

std::vector<QueueEntry> WaitingCalls::cellQueue(const std::vector<WaitingCall> &atPeers, double meanOutputTokens, absl::Time now) const
{
    std::vector<QueueEntry> queue;
    for (const auto &[id, waiter] : m_waiters) {
        const ModelDemand &demand = waiter.demand;
        queue.push_back(QueueEntry{effectiveRank(demand.rank, now), id,
                                   WaitingCall{{},
                                               demand.rank,
                                               waiter.since + demand.maxWait,
                                               demand.promptTokens + demand.generatedTokens,
                                               expectedOutputTokens(demand, meanOutputTokens) - demand.generatedTokens}});
    }
    for (const WaitingCall &it : atPeers) {
        queue.push_back(QueueEntry{effectiveRank(it.rank, now), 0, it});
    }
    std::sort(queue.begin(), queue.end());
    return queue;
}

std::vector<WaitingCall> WaitingCalls::reported(double meanOutputTokens, absl::Time now) const
{
    std::vector<WaitingCall> calls;
    for (const QueueEntry &entry : ownQueue(meanOutputTokens, now)) {
        if (calls.size() == maxReportedWaitingCalls) {
            break;
        }
        calls.push_back(entry.call);
    }
    return calls;
}

absl::Duration WaitingCalls::expectedWait(const ModelDemand &demand, absl::Time now) const
{
    double ahead = 1;
    for (const auto &[id, waiter] : m_waiters) {
        ahead += waiter.demand.rank <= demand.rank && waiter.since + waiter.demand.maxWait <= now + demand.maxWait ? 1 : 0;
    }
    double ratePerSecond = 0;
    for (const auto &[rank, placed] : m_placedByRank) {
        ratePerSecond += placed.perSecond(now);
    }
    return ratePerSecond > 0 ? absl::Seconds(ahead / ratePerSecond) : absl::ZeroDuration();
}

}
