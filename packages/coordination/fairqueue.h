#pragma once

#include "state/work.h"

#include <absl/container/flat_hash_map.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace Apricot {

/**
 * \class FairQueue
 * \brief The waiting requests of one rank.
 *
 * Requests of one workspace are ordered by deadline. Between workspaces, the order is also by deadline as long as all
 * requests can be served in time. In an overload, weighted fair queueing serves the workspace that received the least service.
 */
class FairQueue
{
public:
    /// One waiting request.
    struct Entry
    {
        Work work;
        absl::Time latestStart; ///< if it starts later, its first token misses the target
        double weight = 1; ///< weight of the workspace
    };

    /// Order in which requests are considered.
    enum class Order { ByDeadline, FairBetweenWorkspaces };

    void push(Entry entry);

    /// Removes the request. Returns it if it was waiting.
    std::optional<Entry> remove(const RequestId &id);

    /// Calls \a visit on up to \a maxCount waiting requests in the order in which they should start, until it returns true.
    /// Returns whether it returned true. \a visit must not change the queue.
    template<class Visit>
    bool visitCandidates(Order order, std::size_t maxCount, Visit &&visit) const
    {
        if (order == Order::ByDeadline) {
            for (auto it = m_byDeadline.begin(); it != m_byDeadline.end() && maxCount > 0; ++it, --maxCount) {
                if (visit(*find(it->second))) {
                    return true;
                }
            }
            return false;
        }
        for (auto it = m_byNormalizedService.begin(); it != m_byNormalizedService.end() && maxCount > 0; ++it, --maxCount) {
            if (visit(*find(m_workspaces.at(it->second).waiting.begin()->second))) {
                return true;
            }
        }
        return false;
    }

    /// Returns the earliest latest-start time of all waiting requests; InfiniteFuture if none waits.
    absl::Time firstLatestStart() const
    {
        return m_byDeadline.empty() ? absl::InfiniteFuture() : m_byDeadline.begin()->first.first;
    }

    /// Returns the waiting request \a id, or nullptr.
    const Entry *find(const RequestId &id) const;

    /// Charges \a cost, in ms of engine time, to the workspace of a request that starts.
    void charge(const Work &work, double weight, double cost);

    /// Returns the requests whose latest start is at or before \a now. They stay in the queue.
    std::vector<RequestId> overdue(absl::Time now) const;

    std::size_t size() const
    {
        return m_entries.size();
    }

    bool isEmpty() const
    {
        return m_entries.empty();
    }

private:
    using DeadlineKey = std::pair<absl::Time, std::uint64_t>;

    struct Workspace
    {
        double normalizedService = 0; ///< cost charged so far, divided by the weight
        std::map<DeadlineKey, RequestId> waiting;
    };

    struct QueuedEntry
    {
        Entry entry;
        DeadlineKey key;
    };

    absl::flat_hash_map<RequestId, QueuedEntry> m_entries;
    std::map<DeadlineKey, RequestId> m_byDeadline;
    absl::flat_hash_map<WorkspaceName, Workspace> m_workspaces;
    std::set<std::pair<double, WorkspaceName>> m_byNormalizedService; ///< workspaces with waiting requests, ordered by service received
    double m_virtualTime = 0; ///< virtual time: the lowest service received when a workspace was last served
    std::uint64_t m_nextSequence = 0;
};

}
