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
    const DeadlineKey key{entry.latestStart, m_nextNumber++};
    const RequestId id = entry.work->id;
    const WorkspaceName name = entry.work->workspace;
    if (m_workspaces.size() > maxTrackedWorkspaces) {
        absl::erase_if(m_workspaces, [](const auto &it) { return it.second.waiting.empty(); });
    }
    Workspace &workspace = m_workspaces[name];
    if (workspace.waiting.empty()) {
        // An idle workspace accumulates no credit for the time in which it had no requests.
        workspace.received = std::max(workspace.received, m_clock);
        m_byReceived.emplace(workspace.received, name);
    }
    workspace.waiting.emplace(key, id);
    m_byDeadline.emplace(key, id);
    m_entries.emplace(id, Slot{std::move(entry), key});
}

std::optional<FairQueue::Entry> FairQueue::remove(const RequestId &id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end()) {
        return std::nullopt;
    }
    Slot slot = std::move(it->second);
    m_entries.erase(it);
    m_byDeadline.erase(slot.key);
    const WorkspaceName &name = slot.entry.work->workspace;
    Workspace &workspace = m_workspaces[name];
    workspace.waiting.erase(slot.key);
    if (workspace.waiting.empty()) {
        m_byReceived.erase({workspace.received, name});
    }
    return std::move(slot.entry);
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
        m_byReceived.erase({workspace.received, work->workspace});
    }
    m_clock = std::max(m_clock, m_byReceived.empty() ? workspace.received : std::min(workspace.received, m_byReceived.begin()->first));
    workspace.received += cost / std::max(weight, 0.01);
    if (hasWaiting) {
        m_byReceived.emplace(workspace.received, work->workspace);
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
