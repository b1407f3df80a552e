#pragma once

#include "apricotladderd/cellservice.h"
#include "apricotladderd/configkeeper.h"
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
 * \brief On the node that holds the lease: compares what engines are with what they should be, and orders what differs.
 *
 * Orders are for engines that have been given one before, and for those of services with a model version or automatic
 * roles; other engines are left as they are.
 */
class FleetService
{
public:
    FleetService(CellService &cell, ConfigKeeper &config, StoreClient &store, PublisherService &publisher, Journal &journal);

    void start();
    void stop();

private:
    /// An object of the store that this service keeps, as last read or written.
    struct Kept
    {
        std::uint64_t version = 0;
        std::string spec;
    };

    void run();
    void takeLease(absl::Time now);
    void keepOrders(const ConfigSet &config, absl::Time now);
    void keepOrder(const Endpoint &endpoint, const Pool &pool, const Service &service, absl::Time now);
    std::optional<ReportedRole> reportedRole(const Endpoint &endpoint) const;
    void sendOrder(const Endpoint &endpoint, const DesiredRole &wanted);
    void balance(const ConfigSet &config, const Service &service, absl::Time now);
    void advanceChange(const ConfigSet &config, const Service &service, absl::Time now);
    void beginChange(const ConfigSet &config, const Service &service, const RoleProposal &proposal);
    PoolUtilization useOf(const ConfigSet &config, const Service &service, PoolRole role) const;
    std::optional<EngineReported> reportOf(const Endpoint &endpoint) const;
    bool inForceEverywhere() const;
    bool writeEndpoint(const std::string &name, const std::string &field, const std::string &value);
    bool keep(const std::string &kind, const std::string &name, const std::string &spec);

    CellService &m_cell;
    ConfigKeeper &m_config;
    StoreClient &m_store;
    PublisherService &m_publisher;
    Journal &m_journal;
    RoleOrderReconciler m_orders;
    std::map<ServiceName, RoleBalancer> m_balancers;
    std::map<ServiceName, RoleChange> m_changes;
    std::map<std::string, Kept> m_kept; ///< by "kind/name"
    bool m_held = false;
    std::unique_ptr<PeriodicTask> m_task;
};

}
