#include "coordination/waitingcalls.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <limits>
#include <set>
#include <tuple>
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

/// Usage is compared in levels of this fraction of the highest usage of a workspace that waits. Within a level the call whose wait ends
/// first is next. With exact comparison, small random differences would put calls that can wait for long before
/// others.
constexpr double usageLevelFraction = 0.5;

/// Returns the call of \a demand that has waited since \a since, as other nodes see it.
WaitingCall waitingCall(const ModelDemand &demand, absl::Time since, double meanOutputTokens)
{
    WaitingCall call;
    call.rank = demand.rank;
    call.waitDeadline = since + demand.maxWait;
    call.promptTokens = demand.promptTokens + demand.generatedTokens;
    call.expectedOutputTokens = expectedOutputTokens(demand, meanOutputTokens) - demand.generatedTokens;
    call.workspace = workspaceTag(demand.workspace);
    return call;
}

/// The next call of a rank and workspace, by which these are ordered.
struct Turn
{
    std::int64_t rank = 0;
    double level = 0; ///< of the usage; within a level, the end of the wait decides
    double usage = 0; ///< recent usage of the workspace, including its calls that have been ordered
    absl::Time waitDeadline;
    WaiterId waiter = 0;
    WorkspaceTag workspace = 0;

    friend bool operator==(const Turn &, const Turn &) = default;
    friend bool operator<(const Turn &left, const Turn &right)
    {
        return std::tie(left.rank, left.level, left.waitDeadline, left.waiter, left.workspace)
            < std::tie(right.rank, right.level, right.waitDeadline, right.waiter, right.workspace);
    }
};

/// The order within a workspace: by rank, then by the end of the wait.
bool isEarlier(const QueueEntry &left, const QueueEntry &right)
{
    return std::tie(left.rank, left.call.waitDeadline, left.waiter) < std::tie(right.rank, right.call.waitDeadline, right.waiter);
}

}

void WaitingCalls::add(WaiterId waiter, ModelDemand demand, absl::Time now)
{
    m_waiters.insert_or_assign(waiter, Waiter{std::move(demand), now});
}

void WaitingCalls::remove(WaiterId waiter)
{
    m_waiters.erase(waiter);
}

void WaitingCalls::recordPlacement(const ModelDemand &demand, double meanOutputTokens, absl::Time now)
{
    const auto [it, isNew] = m_placedByRank.try_emplace(demand.rank, placementTimeConstant);
    it->second.add(1, now);
    m_usage.recordPlaced(waitingCall(demand, now, meanOutputTokens), now);
}

CapacityRefusal WaitingCalls::recordRefused(const ModelDemand &demand, absl::Duration timeLeft, double random, absl::Time now)
{
    const WorkspaceTag workspace = workspaceTag(demand.workspace);
    m_usage.recordRefused(workspace, now);
    const absl::Duration retryAfter = m_returns.add(RefusedCall{demand.rank, workspace}, placedPerSecond(now), timeLeft, random, now);
    return CapacityRefusal{retryAfter, m_usage.isAboveAverage(workspace, now)};
}

double WaitingCalls::placedPerSecond(absl::Time now) const
{
    double sum = 0;
    for (const auto &[rank, placed] : m_placedByRank) {
        sum += placed.perSecond(now);
    }
    return sum;
}

void WaitingCalls::setPeerUsage(const NodeId &node, const std::vector<WaitingCall> &waiting, absl::Time now)
{
    m_usage.setPeerUsage(node, waiting, now);
}

bool WaitingCalls::isRankBelowFloor(std::int64_t rank, absl::Time now) const
{
    double total = 0;
    double own = 0;
    for (const auto &[placedRank, placed] : m_placedByRank) {
        total += placed.sum(now);
        own += placedRank == rank ? placed.sum(now) : 0;
    }
    return own <= rankFloorFraction * total;
}

bool WaitingCalls::isBelowFloor(std::int64_t rank, WorkspaceTag workspace, absl::Time now) const
{
    return isRankBelowFloor(rank, now) || m_usage.isStarved(workspace, now);
}

QueueEntry WaitingCalls::entry(WaiterId waiter, WaitingCall call, absl::Time now) const
{
    const std::int64_t rank = isBelowFloor(call.rank, call.workspace, now) ? 0 : call.rank;
    return QueueEntry{rank, waiter, std::move(call)};
}

std::vector<QueueEntry> WaitingCalls::ownEntries(double meanOutputTokens, absl::Time now) const
{
    std::vector<QueueEntry> entries;
    for (const auto &[id, waiter] : m_waiters) {
        entries.push_back(entry(id, waitingCall(waiter.demand, waiter.since, meanOutputTokens), now));
    }
    return entries;
}

std::vector<QueueEntry> WaitingCalls::ownQueue(double meanOutputTokens, absl::Time now) const
{
    return cellQueue({}, meanOutputTokens, now);
}

std::vector<QueueEntry> WaitingCalls::cellQueue(const std::vector<WaitingCall> &atPeers, double meanOutputTokens, absl::Time now) const
{
    std::vector<QueueEntry> queue = ownEntries(meanOutputTokens, now);
    for (const WaitingCall &it : atPeers) {
        queue.push_back(entry(0, it, now));
    }
    return inOrder(std::move(queue), now);
}

std::vector<QueueEntry> WaitingCalls::inOrder(std::vector<QueueEntry> queue, absl::Time now) const
{
    std::sort(queue.begin(), queue.end(), isEarlier);
    const auto isSameWorkspace = [&](const QueueEntry &it) {
        return it.call.workspace == queue.front().call.workspace;
    };
    if (std::all_of(queue.begin(), queue.end(), isSameWorkspace)) {
        return queue;
    }
    std::map<std::pair<std::int64_t, WorkspaceTag>, std::deque<QueueEntry>> classes; // by rank and workspace
    for (QueueEntry &it : queue) {
        classes[{it.rank, it.call.workspace}].push_back(std::move(it));
    }
    std::set<Turn> turns;
    double highest = 0;
    for (const auto &[key, calls] : classes) {
        highest = std::max(highest, m_usage.total(key.second, now));
    }
    const double levelSize = usageLevelFraction * std::max(highest, 1.0);
    const auto addTurn = [&](const QueueEntry &first, double usage) {
        const double level = usage > 0 ? std::floor(usage / levelSize) : usage;
        turns.insert(Turn{first.rank, level, usage, first.call.waitDeadline, first.waiter, first.call.workspace});
    };
    for (const auto &[key, calls] : classes) {
        // One call of a starved workspace goes before all others.
        addTurn(calls.front(), m_usage.isStarved(key.second, now) ? -1 : m_usage.total(key.second, now));
    }
    std::vector<QueueEntry> ordered;
    while (!turns.empty()) {
        const Turn turn = turns.extract(turns.begin()).value();
        std::deque<QueueEntry> &calls = classes.at({turn.rank, turn.workspace});
        ordered.push_back(std::move(calls.front()));
        calls.pop_front();
        if (!calls.empty()) {
            const double before = turn.usage < 0 ? m_usage.total(turn.workspace, now) : turn.usage;
            addTurn(calls.front(), before + capacityUse(ordered.back().call));
        }
    }
    return ordered;
}

std::vector<WaitingCall> WaitingCalls::reported(double meanOutputTokens, absl::Time now) const
{
    std::vector<WaitingCall> calls;
    for (const QueueEntry &entry : ownQueue(meanOutputTokens, now)) {
        if (calls.size() == maxReportedWaitingCalls) {
            break;
        }
        WaitingCall call = entry.call;
        if (call.workspace != 0) {
            call.workspaceUsage = static_cast<std::int64_t>(m_usage.own(call.workspace, now));
        }
        calls.push_back(std::move(call));
    }
    return calls;
}

double WaitingCalls::callsUntil(const ModelDemand &demand, double meanOutputTokens, absl::Time now) const
{
    const bool isShared = std::any_of(m_waiters.begin(), m_waiters.end(),
                                      [&](const auto &entry) { return entry.second.demand.workspace != demand.workspace; });
    if (!isShared) {
        double ahead = 1;
        for (const auto &[id, waiter] : m_waiters) {
            ahead += waiter.demand.rank <= demand.rank && waiter.since + waiter.demand.maxWait <= now + demand.maxWait ? 1 : 0;
        }
        return ahead;
    }
    constexpr WaiterId newCall = std::numeric_limits<WaiterId>::max();
    std::vector<QueueEntry> queue = ownEntries(meanOutputTokens, now);
    queue.push_back(entry(newCall, waitingCall(demand, now, meanOutputTokens), now));
    queue = inOrder(std::move(queue), now);
    const auto it = std::find_if(queue.begin(), queue.end(), [](const QueueEntry &entry) { return entry.waiter == newCall; });
    return static_cast<double>(it - queue.begin() + 1);
}

absl::Duration WaitingCalls::expectedWait(const ModelDemand &demand, double meanOutputTokens, absl::Time now) const
{
    const double ratePerSecond = placedPerSecond(now);
    return ratePerSecond > 0 ? absl::Seconds(callsUntil(demand, meanOutputTokens, now) / ratePerSecond) : absl::ZeroDuration();
}

}
