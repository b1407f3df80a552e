#pragma once

#include "apricotladderd/cellservice.h"
#include "apricotladderd/currentconfig.h"
#include "apricotladderd/journal.h"
#include "apricotladderd/nodemetrics.h"
#include "coordination/slicescheduler.h"
#include "state/mutex.h"
#include "state/shardedmap.h"
#include "transport/periodictask.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace Apricot {

/**
 * \class SliceHost
 * \brief Hosts the slices that this node owns.
 *
 * Each slice has a scheduler under its own lock. The host passes the events of coordinators to the scheduler and sends the
 * resulting actions back to the nodes of these coordinators, and cancel requests to the engines.
 */
class SliceHost
{
public:
    /// Handles actions for coordinators on this node.
    using LocalActionHandler = std::function<void(const ServiceName &, const std::vector<Action> &, const std::vector<RankLimit> &)>;

    SliceHost(CellService &cell, CurrentConfig &config, Journal &journal, NodeMetrics &metrics);

    void start(LocalActionHandler onLocalActions);
    void stop();

    /// Handles events that a coordinator on node \a from sent, and sends the resulting actions.
    void handleEvents(const ServiceName &service, const NodeId &from, const std::vector<Event> &events);

    /// Returns the services whose slice this node hosts, sorted.
    std::vector<ServiceName> hostedServices() const;

    /// Returns the counts of one slice; all zero if this node does not host it.
    SliceCounts counts(const ServiceName &service) const;

    /// Replaces the schedulers of all hosted slices after a configuration change.
    void handleConfigChange();

private:
    struct Slice
    {
        mutable Mutex mutex;
        std::unique_ptr<SliceScheduler> scheduler ABSL_GUARDED_BY(mutex);
        absl::flat_hash_map<RequestId, NodeId> coordinators ABSL_GUARDED_BY(mutex);
        std::vector<Endpoint> endpoints ABSL_GUARDED_BY(mutex); ///< of the prefill and decode pools
        absl::Time ownershipLostAt ABSL_GUARDED_BY(mutex) = absl::InfiniteFuture(); ///< time at which another node became the owner
    };

    using ActionsByNode = std::map<NodeId, std::vector<Action>>;

    std::shared_ptr<Slice> findOrCreateSlice(const ServiceName &service);
    std::unique_ptr<SliceScheduler> makeScheduler(const ServiceName &service, std::vector<Endpoint> *endpoints) const;
    void reportLeavingEngines(SliceScheduler &scheduler, const std::vector<Endpoint> &endpoints) const;
    void routeActions(Slice &slice, const Actions &actions, ActionsByNode *actionsByNode) ABSL_EXCLUSIVE_LOCKS_REQUIRED(slice.mutex);
    void sendActions(const ServiceName &service, const ActionsByNode &actionsByNode, const std::vector<RankLimit> &limits);
    void createOwnedSlices();
    void tick();
    void enqueueCancel(const CancelOnEngine &action);
    void sendCancels();

    CellService &m_cell;
    CurrentConfig &m_config;
    Journal &m_journal;
    NodeMetrics &m_metrics;
    LocalActionHandler m_onLocalActions;
    ShardedMap<ServiceName, std::shared_ptr<Slice>> m_slices;
    Mutex m_cancelMutex;
    std::deque<CancelOnEngine> m_pendingCancels ABSL_GUARDED_BY(m_cancelMutex);
    std::unique_ptr<PeriodicTask> m_tickTask;
    std::unique_ptr<PeriodicTask> m_cancelTask;
};

}
