#pragma once

#include "coordination/servicepool.h"
#include "state/shardedmap.h"

#include <absl/time/time.h>

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace Apricot {

/**
 * \class ServicePoolMap
 * \brief The pools of all services and the service of each engine, in shards with a lock each.
 */
class ServicePoolMap
{
public:
    using GrantHandler = std::function<void(const Grant &)>;

    /// Calls \a grantHandler for each waiting call that gets its placement, while no lock is held.
    explicit ServicePoolMap(GrantHandler grantHandler);

    /// Adds the services and sets whether each serves a model.
    void setServices(const std::vector<RoutedService> &services);

    /// Adds or updates an engine, and assigns capacity to waiting calls. Returns whether the entry has changed.
    bool apply(const EngineEntry &entry, absl::Time now);

    /// Removes an engine; returns whether it was known.
    bool remove(const EngineId &engine);

    /// Returns all known engines.
    std::vector<EngineEntry> entries() const;

    /// Calls \a function with the pool of \a service while its lock is held, and returns the result.
    template<class Function>
    auto withPool(const ServiceName &service, Function &&function)
    {
        return m_pools.update(service, std::forward<Function>(function));
    }

    /// Releases a reservation and assigns the capacity to waiting calls.
    void release(const ServiceName &service, const EngineReservation &reservation, absl::Time now);

    /// Assigns free capacity to calls that wait for \a service.
    void grantCapacity(const ServiceName &service, absl::Time now);

    /// Replaces the loads that \a node has placed on all engines, and its calls that wait for capacity there.
    void setPeerLoads(const NodeId &node, const std::vector<EngineLoad> &loads, const std::vector<WaitingCall> &waiting, absl::Time now);

    /// Replaces the engines that \a node cannot reach.
    void setPeerUnreachableEngines(const NodeId &node, const std::vector<EngineId> &engines, absl::Time now);

    /// Returns the engines that this node cannot reach at present.
    std::vector<EngineId> unreachableEngines(absl::Time now) const;

    /// Returns the loads that this node has placed on all engines.
    std::vector<EngineLoad> ownLoads() const;

    /// Returns the first calls of each service that wait for capacity at this node.
    std::vector<WaitingCall> ownWaitingCalls(absl::Time now) const;

    /// Returns the number of calls that wait for capacity at this node.
    std::size_t waiterCount() const;

private:
    void deliverGrants(const std::vector<Grant> &grants) const;

    GrantHandler m_grantHandler;
    ShardedMap<ServiceName, ServicePool, 8> m_pools;
    ShardedMap<EngineId, EngineEntry, 8> m_entries;
};

}
