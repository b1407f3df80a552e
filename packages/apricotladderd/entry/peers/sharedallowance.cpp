#include "apricotladderd/entry/peers/sharedallowance.h"

#include "transport/eventloop.h"

#include <absl/time/clock.h>

#include <memory>
#include <utility>

namespace Apricot {

namespace {

/// Maximum number of workspaces in one report: about 600 bytes. The others follow in the next reports.
constexpr std::size_t maxReported = 32;

AllowanceTolerance toleranceOf(const EntrySettings &settings)
{
    return AllowanceTolerance{absl::Seconds(settings->allowanceWindowS), settings->allowanceOverage, settings->allowanceHeadroom};
}

}

AllowanceCharge::AllowanceCharge(SharedAllowance &allowance, const ChargedCost &cost)
    : m_allowance(&allowance)
    , m_cost(cost)
{
}

AllowanceCharge::~AllowanceCharge()
{
    settle();
}

AllowanceCharge::AllowanceCharge(AllowanceCharge &&other) noexcept
    : m_allowance(std::exchange(other.m_allowance, nullptr))
    , m_cost(other.m_cost)
    , m_attempts(other.m_attempts)
{
}

AllowanceCharge &AllowanceCharge::operator=(AllowanceCharge &&other) noexcept
{
    if (this != &other) {
        settle();
        m_allowance = std::exchange(other.m_allowance, nullptr);
        m_cost = other.m_cost;
        m_attempts = other.m_attempts;
    }
    return *this;
}

void AllowanceCharge::settle()
{
    SharedAllowance *allowance = std::exchange(m_allowance, nullptr);
    if (allowance != nullptr && m_attempts <= 0) {
        allowance->refund(m_cost, EventLoop::readSteadyClock());
    }
}

SharedAllowance::SharedAllowance(const EntrySettings &settings)
    : m_tolerance(toleranceOf(settings))
{
    const auto firstEpoch = static_cast<std::uint64_t>(absl::ToUnixMillis(absl::Now()));
    for (Shard &shard : m_shards) {
        const MutexLock lock(shard.mutex);
        shard.allowances = std::make_unique<WorkspaceAllowances>(firstEpoch, m_tolerance, EventLoop::readSteadyClock());
    }
}

void SharedAllowance::setWorkspaces(const std::vector<RoutedWorkspace> &workspaces, absl::Time now)
{
    std::array<std::vector<LimitedWorkspace>, std::tuple_size_v<decltype(m_shards)>> limits;
    bool hasLimit = false;
    for (const RoutedWorkspace &workspace : workspaces) {
        if (workspace->allowance->ratePerSecond > 0) {
            const WorkspaceKey key = workspaceKey(workspace->name);
            limits[key % limits.size()].push_back(LimitedWorkspace{key, makeAllowanceLimit(workspace->allowance, m_tolerance)});
            hasLimit = true;
        }
    }
    const bool wasEnabled = m_isEnabled.load(std::memory_order_relaxed);
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        const MutexLock lock(m_shards[i].mutex);
        if (!wasEnabled) {
            m_shards[i].allowances->setPeers(m_peers, now);
        }
        m_shards[i].allowances->setLimits(limits[i], now);
    }
    m_isEnabled.store(hasLimit, std::memory_order_relaxed);
}

void SharedAllowance::setPeers(const AllowancePeers &peers, absl::Time now)
{
    m_peers = peers;
    if (!isEnabled()) {
        return;
    }
    for (Shard &shard : m_shards) {
        const MutexLock lock(shard.mutex);
        shard.allowances->setPeers(peers, now);
        shard.allowances->expire(now);
    }
}

ChargedCall SharedAllowance::charge(const RoutedWorkspace &workspace, const RoutedCall &call, absl::Time now)
{
    if (workspace->allowance->ratePerSecond <= 0) {
        return AllowanceCharge();
    }
    const WorkspaceKey key = workspaceKey(workspace->name);
    const std::int64_t cost = requestCost(workspace->allowance, call);
    Shard &shard = shardOf(key);
    const MutexLock lock(shard.mutex);
    const ChargeResult result = shard.allowances->admit(key, cost, now);
    if (const auto *over = std::get_if<OverAllowance>(&result)) {
        return AllowanceRefusal{*over, cost};
    }
    if (shard.allowances->hasUrgentChange()) {
        m_hasUrgentChange.store(true, std::memory_order_relaxed);
    }
    return AllowanceCharge(*this, std::get<ChargedCost>(result));
}

void SharedAllowance::refund(const ChargedCost &charge, absl::Time now)
{
    Shard &shard = shardOf(charge.workspace);
    const MutexLock lock(shard.mutex);
    shard.allowances->refund(charge, now);
}

void SharedAllowance::merge(NodeKey peer, const SpendingReport &report, absl::Time sentAt, absl::Time now)
{
    if (!isEnabled()) {
        return;
    }
    std::array<SpendingReport, std::tuple_size_v<decltype(m_shards)>> parts;
    for (const WorkspaceSpending &it : report) {
        parts[it.workspace % parts.size()].push_back(it);
    }
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        const MutexLock lock(m_shards[i].mutex);
        m_shards[i].allowances->recordHeard(peer, sentAt, now);
        m_shards[i].allowances->merge(peer, parts[i], now);
    }
}

SpendingReport SharedAllowance::report(absl::Time now)
{
    SpendingReport report;
    if (!isEnabled()) {
        return report;
    }
    m_hasUrgentChange.store(false, std::memory_order_relaxed);
    bool hasMore = false;
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        Shard &shard = m_shards[(m_firstShard + i) % m_shards.size()];
        const MutexLock lock(shard.mutex);
        const SpendingReport part = shard.allowances->report(maxReported - report.size(), now);
        report.insert(report.end(), part.begin(), part.end());
        hasMore = hasMore || shard.allowances->hasUrgentChange();
    }
    m_firstShard = (m_firstShard + 1) % m_shards.size();
    if (hasMore) {
        m_hasUrgentChange.store(true, std::memory_order_relaxed);
    }
    return report;
}

}
