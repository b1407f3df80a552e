#pragma once

#include "apricotladderd/cellservice.h"
#include "apricotladderd/journal.h"
#include "apricotladderd/nodemetrics.h"
#include "apricotladderd/storeclient.h"
#include "coordination/leasemanager.h"
#include "state/configset.h"
#include "transport/periodictask.h"

#include <atomic>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class PublisherService
 * \brief Validates the configuration objects as a set, publishes it and writes their status, on the node that holds the lease.
 */
class PublisherService
{
public:
    PublisherService(CellService &cell, StoreClient &store, Journal &journal, NodeMetrics &metrics);

    void start();
    void stop();

    bool holdsLease() const
    {
        return m_holdsLease;
    }

    /// Returns when the lease of this node expires unless it is renewed; a time in the past if this node does not hold it.
    absl::Time leaseExpiry() const
    {
        return absl::FromUnixMicros(m_leaseExpiryMicros);
    }

private:
    void run();
    bool isCandidate() const;
    void acquireOrRenewLease();
    void publishIfChanged();
    void publish(const std::vector<StoredObject> &objects);
    bool writeSnapshot(const std::string &snapshot, const Generation &next);
    void writeStatuses(const std::vector<StoredObject> &objects, const std::map<std::string, std::vector<std::string>> &reasons,
                       const Generation &generation);
    void writePublicationStatus(const Generation &generation, bool valid, const std::vector<std::string> &reasons);

    CellService &m_cell;
    StoreClient &m_store;
    Journal &m_journal;
    NodeMetrics &m_metrics;
    LeaseManager m_lease;
    std::atomic<bool> m_holdsLease{false};
    std::atomic<std::int64_t> m_leaseExpiryMicros{0};
    std::uint64_t m_seenVersion = 0;
    bool m_upToDate = false; ///< the set of m_seenVersion was published or rejected, and its status is written
    bool m_valid = true;
    std::vector<std::string> m_reasons;
    Generation m_publishedGeneration;
    std::string m_lastPublicationStatus;
    std::map<std::string, std::string> m_writtenStatuses; ///< by object, as last written
    std::unique_ptr<PeriodicTask> m_task;
};

}
