#include "coordination/workspaceusage.h"

#include <algorithm>
#include <xxhash.h>

namespace Apricot {

namespace {

/// Time constant of usage. It is a little longer than a stream holds its memory, so that usage also covers what still runs.
constexpr absl::Duration usageTimeConstant = absl::Seconds(4);

/// Time constant of the counts of placed and refused calls.
constexpr absl::Duration countTimeConstant = absl::Seconds(10);

/// A workspace is starved if the served fraction of its calls is below this multiple of that of all calls. The requirement is a quarter;
/// the difference covers the calls that are refused until this takes effect.
constexpr double starvedFraction = 0.35;

/// Minimum length of a run in output tokens: during the prefill a run holds its memory as well.
constexpr double minRunTokens = 32;

/// Usage and counts below this are forgotten.
constexpr double negligible = 1e-3;

constexpr absl::Duration cleanupInterval = absl::Seconds(1);

double servedFraction(double placed, double refused)
{
    return placed + refused > 0 ? placed / (placed + refused) : 1;
}

}

WorkspaceTag workspaceTag(const WorkspaceName &workspace)
{
    if (workspace.isEmpty()) {
        return 0;
    }
    const auto hash = static_cast<WorkspaceTag>(XXH3_64bits(workspace.text().data(), workspace.text().size()));
    return std::max<WorkspaceTag>(hash, 1);
}

double capacityUse(const WaitingCall &call)
{
    constexpr double thousand = 1000;
    const auto prompt = static_cast<double>(std::max<std::int64_t>(0, call.promptTokens));
    const auto output = static_cast<double>(std::max<std::int64_t>(0, call.expectedOutputTokens));
    return (prompt + output / 2) * std::max(output, minRunTokens) / thousand;
}

WorkspaceUsage::Workspace::Workspace()
    : usage(usageTimeConstant)
    , placed(countTimeConstant)
    , refused(countTimeConstant)
{
}

WorkspaceUsage::Workspace &WorkspaceUsage::workspace(WorkspaceTag tag, absl::Time now)
{
    if (now - m_lastCleanup >= cleanupInterval) {
        m_lastCleanup = now;
        for (auto &[other, it] : m_workspaces) {
            std::erase_if(it.atPeers, [&](const auto &peer) { return peer.second.sum(now) < negligible; });
        }
        std::erase_if(m_workspaces, [&](const auto &entry) {
            const Workspace &it = entry.second;
            const double counts = it.placed.sum(now) + it.refused.sum(now);
            return it.atPeers.empty() && std::max(it.usage.sum(now), counts) < negligible;
        });
    }
    return m_workspaces[tag];
}

void WorkspaceUsage::recordPlaced(const WaitingCall &call, absl::Time now)
{
    Workspace &it = workspace(call.workspace, now);
    it.usage.add(capacityUse(call), now);
    it.placed.add(1, now);
    m_all.usage.add(capacityUse(call), now);
    m_all.placed.add(1, now);
}

void WorkspaceUsage::recordRefused(WorkspaceTag workspace, absl::Time now)
{
    this->workspace(workspace, now).refused.add(1, now);
    m_all.refused.add(1, now);
}

void WorkspaceUsage::setPeerUsage(const NodeId &node, const std::vector<WaitingCall> &waiting, absl::Time now)
{
    for (const WaitingCall &call : waiting) {
        if (call.workspace != 0) {
            DecayingRate usage(usageTimeConstant);
            usage.add(static_cast<double>(std::max<std::int64_t>(0, call.workspaceUsage)), now);
            workspace(call.workspace, now).atPeers.insert_or_assign(node, usage);
        }
    }
}

double WorkspaceUsage::own(WorkspaceTag workspace, absl::Time now) const
{
    const auto it = m_workspaces.find(workspace);
    return it == m_workspaces.end() ? 0 : it->second.usage.sum(now);
}

double WorkspaceUsage::total(WorkspaceTag workspace, absl::Time now) const
{
    const auto it = m_workspaces.find(workspace);
    if (it == m_workspaces.end()) {
        return 0;
    }
    double sum = it->second.usage.sum(now);
    for (const auto &[node, usage] : it->second.atPeers) {
        sum += usage.sum(now);
    }
    return sum;
}

bool WorkspaceUsage::isAboveAverage(WorkspaceTag workspace, absl::Time now) const
{
    return own(workspace, now) * static_cast<double>(m_workspaces.size()) > m_all.usage.sum(now);
}

bool WorkspaceUsage::isStarved(WorkspaceTag workspace, absl::Time now) const
{
    const auto it = m_workspaces.find(workspace);
    if (it == m_workspaces.end()) {
        return false;
    }
    const double all = servedFraction(m_all.placed.sum(now), m_all.refused.sum(now));
    return servedFraction(it->second.placed.sum(now), it->second.refused.sum(now)) < starvedFraction * all;
}

}
