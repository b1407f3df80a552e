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
 * \brief Owns, starts and stops all parts of one apricotladderd process.
 */
class Node
{
public:
    Node(NodeSettings settings, DatagramAuthenticator authenticator);

    /// Starts all parts; returns an error message, or an empty string on success.
    std::string start();

    /// Drains this node: announces that it leaves, so that its address is no longer given to callers; accepts calls until the
    /// addresses given earlier have expired; then refuses calls and waits until the last call in progress has ended and its answer
    /// was sent, at most until drainSeconds of the settings have passed. Returns whether all calls have ended.
    bool drain();

    void stop();

    /// Whether an operator requested the drain over HTTP.
    bool isDrainRequested() const
    {
        return m_drainRequested;
    }

private:
    PeerReply answerQuery(const PeerQuery &query);
    std::string statusJson();
    void housekeeping();

    NodeSettings m_settings;
    Journal m_journal;
    NodeMetrics m_metrics;
    StoreClient m_store;
    CurrentConfig m_config;
    CellService m_cell;
    SliceHost m_host;
    OwnerClient m_ownerClient;
    RunStore m_runStore;
    SharedRetryState m_retries;
    CallThreads m_callThreads;
    ConfigSync m_sync;
    PublisherService m_publisher;
    EnginePoller m_poller;
    FleetService m_fleet;
    FrontEnd m_frontEnd;
    std::atomic<bool> m_drainRequested{false};
    std::unique_ptr<PeriodicTask> m_housekeeping;
};

}
