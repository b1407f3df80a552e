#pragma once

#include "apricotladderd/entry/engines/enginecatalogue.h"
#include "apricotladderd/entry/entrycontext.h"
#include "apricotladderd/entry/entryloop.h"
#include "apricotladderd/entry/peers/nodedirectory.h"
#include "apricotladderd/entry/peers/peerlink.h"
#include "apricotladderd/entry/storewatch.h"
#include "coordination/storeduty.h"
#include "state/entrysettings.h"
#include "transport/connectionpool.h"
#include "transport/eventloop.h"
#include "transport/httplistener.h"
#include "transport/thread.h"

#include <absl/time/time.h>

#include <atomic>
#include <memory>
#include <string>
#include <vector>

namespace Apricot {

/// The response of the node to a request that is not a routed call.
struct LocalResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::string body;
};

/**
 * \class EntryNode
 * \brief One node between callers and engines, on a platform whose store holds the engines and the desired state.
 *
 * The thread that calls run() watches the store, exchanges heartbeats with the peers and answers discovery; separate threads
 * serve the calls.
 */
class EntryNode
{
public:
    explicit EntryNode(const EntrySettings &settings);
    ~EntryNode();

    EntryNode(const EntryNode &) = delete;
    EntryNode &operator=(const EntryNode &) = delete;

    /// Starts listening; returns an error message, or an empty string on success.
    std::string start();

    /// Runs the node until its shutdown is complete.
    void run();

    /// Writes the queued log lines.
    void flushLog()
    {
        m_context.log.flush();
    }

    /// Starts a graceful shutdown: discovery no longer returns this node, later the listener closes, and calls in progress may end
    /// within the grace period. Any thread may call it.
    void leave();

    /// Applies the settings that may change at run time; logs whether others have changed. Any thread may call it.
    void reload(const EntrySettings &settings);

private:
    using RequestHandler = std::function<LocalResponse(const HttpRequestHead &)>;

    bool serve(const std::string &address, RequestHandler handler);
    void watchDesiredState();
    void updateStoreUse();
    bool needsStore(const StoreDutyFacts &facts);
    void updateConfirmInterval(const StoreDutyFacts &facts);
    /// Returns whether \a object is the desired state, and valid.
    bool handleDesiredState(const StoredObject &object);
    void applyDesiredState(const DesiredState &desired, const char *source);
    void handlePeerVersions(const PeerVersions &peer);
    void refreshFromStore(const PeerVersions &peer);
    void fetchPeerState(const PeerVersions &peer);
    void applyPeerState(const std::string &body, const NodeId &from);
    void beginLeaving();
    void closeWhenDone();
    void endCalls();
    void finish();
    bool isReady() const;
    LocalResponse handleDiscovery(const HttpRequestHead &requestHead);
    LocalResponse handleReadiness(const HttpRequestHead &requestHead) const;
    LocalResponse handlePeerRequest(const HttpRequestHead &requestHead);
    LocalResponse handleMetrics();
    std::size_t callerCount() const;

    EntryContext m_context;
    EventLoop m_controlLoop;
    ConnectionPool m_controlPool;
    std::vector<std::unique_ptr<EntryLoop>> m_loops;
    std::vector<Thread> m_threads;
    std::unique_ptr<PeerLink> m_peerLink;
    std::unique_ptr<NodeDirectory> m_nodeDirectory;
    std::unique_ptr<StoreWatch> m_desiredWatch;
    StoreDuty m_storeDuty;
    std::unique_ptr<EngineCatalogue> m_engines;
    std::atomic<std::size_t> m_noAnswerBytes{0}; ///< the ports of the control loop read no answers of engines
    CallerAccount m_controlCallers; ///< what is held for the clients of the ports of the control loop
    CallerGuard m_controlGuard;
    std::vector<std::unique_ptr<HttpListener>> m_servers;
    absl::Time m_lastPeerSync = absl::InfinitePast(); ///< when a peer was last asked for its state
    absl::Time m_startedAt = absl::InfiniteFuture();
    absl::Time m_behindSince = absl::InfiniteFuture(); ///< since when a peer has had something newer
    PeerVersions m_newestVersions; ///< the newest versions that a peer has told
    std::uint64_t m_discoveryRotation = 0;
    LeavePlan m_leavePlan;
};

}
