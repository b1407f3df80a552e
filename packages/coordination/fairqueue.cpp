#include "coordination/fairqueue.h"

#include <algorithm>
#include <utility>

namespace Apricot {

namespace {

/// Above this number of workspaces, those without waiting requests are removed.
constexpr std::size_t maxTrackedWorkspaces = 8192;

}

void FairQueue::push(Entry entry)
{
    const DeadlineKey key{entry.latestStart, m_nextSequence++};
    const RequestId id = entry.work->id;
    const WorkspaceName name = entry.work->workspace;
    if (m_workspaces.size() > maxTrackedWorkspaces) {
        absl::erase_if(m_workspaces, [](const auto &it) { return it.second.waiting.empty(); });
    }
    Workspace &workspace = m_workspaces[name];
    if (workspace.waiting.empty()) {
        // An idle workspace accumulates no credit for the time in which it had no requests.
        workspace.normalizedService = std::max(workspace.normalizedService, m_virtualTime);
        m_byNormalizedService.emplace(workspace.normalizedService, name);
    }
    workspace.waiting.emplace(key, id);
    m_byDeadline.emplace(key, id);
    m_entries.emplace(id, QueuedEntry{std::move(entry), key});
}

std::optional<FairQueue::Entry> FairQueue::remove(const RequestId &id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return std::nullopt;
    }
    QueuedEntry queued = std::move(it->second);
    m_entries.erase(it);
    m_byDeadline.erase(queued.key);
    const WorkspaceName &name = queued.entry.work->workspace;
    Workspace &workspace = m_workspaces[name];
    workspace.waiting.erase(queued.key);
    if (workspace.waiting.empty()) {
        m_byNormalizedService.erase({workspace.normalizedService, name});
    }
    return std::move(queued.entry);
}

const FairQueue::Entry *FairQueue::find(const RequestId &id) const
{
    const auto it = m_entries.find(id);
    return it == m_entries.end() ? nullptr : &it->second.entry;
}

void FairQueue::charge(const Work &work, double weight, double cost)
{
    Workspace &workspace = m_workspaces[work->workspace];
    const bool hasWaiting = !workspace.waiting.empty();
    if (hasWaiting) {
        m_byNormalizedService.erase({workspace.normalizedService, work->workspace});
    }
    m_virtualTime = std::max(m_virtualTime,
                             m_byNormalizedService.empty() ? workspace.normalizedService
                                                           : std::min(workspace.normalizedService, m_byNormalizedService.begin()->first));
    workspace.normalizedService += cost / std::max(weight, 0.01);
    if (hasWaiting) {
        m_byNormalizedService.emplace(workspace.normalizedService, work->workspace);
    }
}

std::vector<RequestId> FairQueue::overdue(absl::Time now) const
{
    std::vector<RequestId> found;
    for (auto it = m_byDeadline.begin(); it != m_byDeadline.end() && it->first.first <= now; ++it) {
        found.push_back(it->second);
    }
    return found;
}

}
