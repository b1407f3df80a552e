#pragma once

#include "apricotladderd/configsync.h"
#include "apricotladderd/enginepoller.h"
#include "apricotladderd/fleetservice.h"
#include "apricotladderd/frontend.h"
#include "apricotladderd/nodecontext.h"
#include "apricotladderd/publisherservice.h"

#include <memory>
#include <string>

namespace Apricot {

/**
 * \class Node
 * \brief All parts of one apricotladderd process, their start and their end.
 */
class Node
{
public:
    Node(NodeSettings settings, DatagramAuthenticator seal);

    /// Starts all parts; returns what is wrong, empty if nothing is.
    std::string start();

    /// Leaves: hands no address of this node out, takes calls until the answers that it gave have expired, and returns
    /// when the last call in progress has ended, at the latest after the time of the settings. Returns whether all ended.
    bool drain();

    void stop();

    /// Whether an operator asked for the drain over HTTP.
    bool drainWanted() const
    {
        return m_drainWanted;
    }

private:
    PeerReply answerQuery(const PeerQuery &query);
    std::string statusJson();
    void housekeeping();

    NodeSettings m_settings;
    Journal m_journal;
    NodeMetrics m_metrics;
    StoreClient m_store;
    ConfigKeeper m_config;
    CellService m_cell;
    SliceHost m_host;
    OwnerLink m_owners;
    RunStore m_runs;
    SharedRetries m_retries;
    FlowThreads m_flows;
    ConfigSync m_sync;
    PublisherService m_publisher;
    EnginePoller m_poller;
    FleetService m_fleet;
    FrontEnd m_frontEnd;
    std::atomic<bool> m_drainWanted{false};
    std::unique_ptr<PeriodicTask> m_housekeeping;
};

}
