#pragma once

#include "coordination/servicepool.h"
#include "state/shardedmap.h"

#include <absl/time/time.h>

#include <functional>
#include <map>
#include <vector>

namespace Apricot {

/**
 * \class EngineBoard
 * \brief The pools of all services, in shards under their own locks, and the catalogue that says which engine is where.
 */
class EngineBoard
{
public:
    using Granted = std::function<void(const Grant &)>;

    /// \a granted is told, without a lock held, of each waiting call that got its room.
    explicit EngineBoard(Granted granted);

    /// Takes in which services there are.
    void setServices(const std::vector<RoutedService> &services);

    /// Takes in one engine; returns whether anything that decisions use has changed.
    bool apply(const EngineEntry &entry, absl::Time now);

    /// Forgets an engine; returns whether it was known.
    bool remove(const EngineId &engine);

    /// All engines that are known.
    std::vector<EngineEntry> entries() const;

    /// Runs \a function with the pool of \a service under its lock.
    template<class Function>
    auto withPool(const ServiceName &service, Function &&function)
    {
        return m_pools.update(service, std::forward<Function>(function));
    }

    /// Releases a share and gives the room to calls that wait.
    void release(const ServiceName &service, const EngineShare &share, absl::Time now);

    /// Gives room to calls that wait for \a service.
    void grantRoom(const ServiceName &service, absl::Time now);

    /// Takes in what \a node has placed on all engines, and which of its calls wait for room there.
    void setPeerLoads(const NodeId &node, const std::vector<EngineLoad> &loads, const std::vector<WaitingCall> &waiting, absl::Time now);

    /// Takes in which engines \a node cannot reach.
    void setPeerDoubts(const NodeId &node, const std::vector<EngineId> &engines, absl::Time now);

    /// Engines that this node cannot reach at present.
    std::vector<EngineId> ownDoubts(absl::Time now) const;

    /// What this node has placed on all engines.
    std::vector<EngineLoad> ownLoads() const;

    /// The first of this node's calls that wait for room, of each service.
    std::vector<WaitingCall> ownWaiting(absl::Time now) const;

private:
    void tellGrants(const std::vector<Grant> &grants) const;

    Granted m_granted;
    ShardedMap<ServiceName, ServicePool, 8> m_pools;
    ShardedMap<EngineId, EngineEntry, 8> m_entries;
};

}
