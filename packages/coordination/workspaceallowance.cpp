#include "coordination/workspaceallowance.h"

#include <xxhash.h>

#include <algorithm>
#include <functional>
#include <utility>

namespace Apricot {

namespace {

/// Upper bound of each number of tokens that a request states, so that sums do not overflow. It is above any limit.
constexpr std::int64_t maxRequestTokens = 1'000'000'000'000;

/// A workspace without a record was not used for this time, provided that all peers were heard.
constexpr absl::Duration unusedTime = absl::Seconds(30);

/// Part of the tolerance that all nodes together may use after they have all started at the same time, and for how long.
constexpr double startTolerance = 0.2;
constexpr absl::Duration startTime = absl::Seconds(3);

}

WorkspaceKey workspaceKey(const WorkspaceName &workspace)
{
    // 40 bits, as for nodes: short in messages, and unlikely to be the same for any two of some thousands of workspaces.
    constexpr WorkspaceKey keyMask = (WorkspaceKey{1} << 40) - 1;
    return XXH3_64bits(workspace.text().data(), workspace.text().size()) & keyMask;
}

std::int64_t requestCost(const Allowance &allowance, const RoutedCall &call)
{
    if (allowance->unit == AllowanceUnit::Requests) {
        return 1;
    }
    const std::int64_t tokens = std::clamp<std::int64_t>(call->promptTokens, 0, maxRequestTokens)
        + std::clamp<std::int64_t>(call->maxOutputTokens, 0, maxRequestTokens);
    return tokens > 0 ? tokens : allowance->defaultTokens;
}

WorkspaceAllowances::WorkspaceAllowances(std::uint64_t firstEpoch, const AllowanceTolerance &tolerance, absl::Time start)
    : m_tolerance(tolerance)
    , m_start(start)
    , m_nextEpoch(firstEpoch)
    , m_contact(start)
    , m_floorEnd(start)
{
}

void WorkspaceAllowances::setLimits(const std::vector<LimitedWorkspace> &workspaces, absl::Time now)
{
    advanceTo(now);
    m_limits.clear();
    for (const LimitedWorkspace &it : workspaces) {
        m_limits.emplace(it.workspace, it.limit);
        const auto found = m_records.find(it.workspace);
        if (found != m_records.end() && found->second.bucket.limit() != it.limit) {
            found->second.bucket.advance(m_sharing, now);
            found->second.bucket.setLimit(it.limit, m_sharing);
        }
    }
}

void WorkspaceAllowances::setPeers(const AllowancePeers &peers, absl::Time now)
{
    advanceTo(now);
    m_contact.setPeers(peers, now);
    updateSharing(now);
}

void WorkspaceAllowances::updateSharing(absl::Time now)
{
    const AllowanceSharing sharing = m_contact.sharing(now);
    m_nextSilence = m_contact.nextSilence(now);
    if (sharing == m_sharing) {
        return;
    }
    for (auto &[key, record] : m_records) {
        record.bucket.changeShare(m_sharing, sharing, now);
    }
    m_sharing = sharing;
    updateFloor(now);
}

/// Applies the silence of peers until \a now, each at its time: the refill before it differs from that after it.
void WorkspaceAllowances::advanceTo(absl::Time now)
{
    while (m_nextSilence <= now) {
        const absl::Time next = m_nextSilence;
        updateFloor(next);
        updateSharing(next);
    }
    updateFloor(now);
}

void WorkspaceAllowances::updateFloor(absl::Time now)
{
    if (m_sharing.heardShare <= m_floorShare || now - m_floorEnd > unusedTime) {
        m_floorShare = m_sharing.heardShare;
        m_floorEnd = now;
    }
}

void WorkspaceAllowances::recordHeard(NodeKey peer, absl::Time sentAt, absl::Time now)
{
    advanceTo(now);
    if (m_contact.recordHeard(peer, sentAt, now)) {
        updateSharing(now);
        for (auto &[key, record] : m_records) {
            record.repeatReport(m_tolerance.window, now); // The peer may have missed what this node has spent.
        }
    }
}

/// Returns the record of \a workspace with its bucket advanced to \a now; nullptr if the workspace has no limit.
AllowanceRecord *WorkspaceAllowances::recordFor(WorkspaceKey workspace, absl::Time now)
{
    const auto limit = m_limits.find(workspace);
    if (limit == m_limits.end()) {
        return nullptr;
    }
    auto it = m_records.find(workspace);
    if (it == m_records.end()) {
        const double withheld = m_floorShare > 0 ? limit->second.burst * (1 - m_sharing.heardShare) : 0;
        const AllowanceBucket bucket(limit->second, initialLevel(limit->second, now), withheld, m_sharing, now);
        it = m_records.try_emplace(workspace, bucket, now).first;
    }
    it->second.bucket.advance(m_sharing, now);
    return &it->second;
}

/// Returns the level of an allowance that nobody has used recently, except those whom this node could not hear.
double WorkspaceAllowances::initialLevel(const AllowanceLimit &limit, absl::Time now) const
{
    if (m_floorShare >= 1) {
        return limit.burst + limit.rate * absl::ToDoubleSeconds(unusedTime);
    }
    const double atStart = now - m_start < startTime ? limit.tolerance * startTolerance / static_cast<double>(m_sharing.sharerCount) : 0;
    const double refill = limit.rate * m_sharing.heardShare * absl::ToDoubleSeconds(now - m_floorEnd);
    return m_floorShare * limit.burst + refill + atStart;
}

ChargeResult WorkspaceAllowances::admit(WorkspaceKey workspace, std::int64_t cost, absl::Time now)
{
    advanceTo(now);
    AllowanceRecord *record = recordFor(workspace, now);
    if (record == nullptr || cost <= 0) {
        return ChargedCost{workspace, 0, 0};
    }
    const AllowanceDecision decision = record->bucket.admit(static_cast<double>(cost), m_sharing, now);
    if (const auto *over = std::get_if<OverAllowance>(&decision)) {
        OverAllowance result = *over;
        result.oldestContact = m_contact.oldestContact(now);
        return result;
    }
    m_nextEpoch += record->recordCharge(cost, m_nextEpoch, now) ? 1 : 0;
    m_hasUrgentChange = m_hasUrgentChange || record->isUrgent(m_sharing);
    return ChargedCost{workspace, record->epoch(), cost};
}

void WorkspaceAllowances::refund(const ChargedCost &charge, absl::Time now)
{
    advanceTo(now);
    const auto it = m_records.find(charge.workspace);
    // An earlier epoch is over, and its spending has been refilled.
    if (charge.cost == 0 || it == m_records.end() || it->second.epoch() != charge.epoch) {
        return;
    }
    AllowanceRecord &record = it->second;
    record.bucket.advance(m_sharing, now);
    record.bucket.refund(static_cast<double>(charge.cost), m_sharing, now);
    record.recordRefund(charge.cost, now);
}

void WorkspaceAllowances::merge(NodeKey peer, const SpendingReport &report, absl::Time now)
{
    advanceTo(now);
    for (const WorkspaceSpending &spending : report) {
        if (AllowanceRecord *record = recordFor(spending.workspace, now)) {
            record->merge(peer, spending, m_contact, m_sharing, now);
        }
    }
}

SpendingReport WorkspaceAllowances::report(std::size_t maxCount, absl::Time now)
{
    advanceTo(now);
    std::vector<std::pair<double, WorkspaceKey>> due;
    for (const auto &[key, record] : m_records) {
        if (record.isReportDue(now) || record.isUrgent(m_sharing)) {
            due.emplace_back(record.importance(now), key);
        }
    }
    const auto end = due.begin() + static_cast<std::ptrdiff_t>(std::min(maxCount, due.size()));
    std::partial_sort(due.begin(), end, due.end(), std::greater<>());
    m_hasUrgentChange = std::any_of(end, due.end(), [&](const auto &it) { return m_records.at(it.second).isUrgent(m_sharing); });
    SpendingReport report;
    for (auto it = due.begin(); it != end; ++it) {
        AllowanceRecord &record = m_records.at(it->second);
        record.bucket.advance(m_sharing, now);
        report.push_back(record.report(it->second, now));
    }
    return report;
}

void WorkspaceAllowances::expire(absl::Time now)
{
    absl::erase_if(m_records, [&](const auto &it) { return it.second.isIdle(now); });
}

std::optional<double> WorkspaceAllowances::level(WorkspaceKey workspace, absl::Time now)
{
    advanceTo(now);
    const auto it = m_records.find(workspace);
    if (it == m_records.end()) {
        return std::nullopt;
    }
    it->second.bucket.advance(m_sharing, now);
    return it->second.bucket.level();
}

}
