#pragma once

#include "apricotladderd/cellservice.h"
#include "apricotladderd/currentconfig.h"
#include "apricotladderd/journal.h"
#include "apricotladderd/publisherservice.h"
#include "apricotladderd/storeclient.h"
#include "coordination/rolebalancer.h"
#include "coordination/rolechange.h"
#include "coordination/roleorderreconciler.h"
#include "protocol/enginejson.h"
#include "transport/periodictask.h"

#include <map>
#include <memory>
#include <optional>
#include <string>

namespace Apricot {

/**
 * \class FleetService
 * \brief Reconciles the roles and models of engines with the configuration, on the node that holds the lease.
 *
 * It sends role orders only to engines that have received one before, and to those of services with a model version or
 * automatic roles. All other engines stay as they are.
 */
class FleetService
{
public:
    FleetService(CellService &cell, CurrentConfig &config, StoreClient &store, PublisherService &publisher, Journal &journal);

    void start();
    void stop();

private:
    /// An object of the store that this service writes, as last read or written.
    struct CachedObject
    {
        std::uint64_t version = 0;
        std::string spec;
    };

    void run();
    void loadObjects(absl::Time now);
    void reconcileEngines(const ConfigSet &config, absl::Time now);
    void reconcileEngine(const Endpoint &endpoint, const Pool &pool, const Service &service, absl::Time now);
    std::optional<ReportedRole> fetchRole(const Endpoint &endpoint) const;
    void sendRoleOrder(const Endpoint &endpoint, const DesiredRole &desired);
    void balanceRoles(const ConfigSet &config, const Service &service, absl::Time now);
    void advanceChange(const ConfigSet &config, const Service &service, absl::Time now);
    void beginChange(const ConfigSet &config, const Service &service, const RoleProposal &proposal);
    PoolUtilization poolUtilization(const ConfigSet &config, const Service &service, PoolRole role) const;
    std::optional<EngineReported> fetchReport(const Endpoint &endpoint) const;
    bool isActiveOnAllNodes() const;
    bool writeEndpoint(const std::string &name, const std::string &field, const std::string &value);
    bool writeObject(const std::string &kind, const std::string &name, const std::string &spec);

    CellService &m_cell;
    CurrentConfig &m_config;
    StoreClient &m_store;
    PublisherService &m_publisher;
    Journal &m_journal;
    RoleOrderReconciler m_roleOrders;
    std::map<ServiceName, RoleBalancer> m_balancers;
    std::map<ServiceName, RoleChange> m_changes;
    std::map<std::string, CachedObject> m_cachedObjects; ///< by "kind/name"
    bool m_objectsLoaded = false;
    std::unique_ptr<PeriodicTask> m_task;
};

}
