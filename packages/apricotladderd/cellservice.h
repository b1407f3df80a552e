#pragma once

#include "apricotladderd/journal.h"
#include "apricotladderd/nodemetrics.h"
#include "apricotladderd/peersockets.h"
#include "coordination/membership.h"
#include "protocol/datagramauthenticator.h"
#include "protocol/peermessage.h"
#include "state/mutex.h"
#include "state/nodesettings.h"
#include "transport/periodictask.h"
#include "transport/tcpserver.h"
#include "transport/thread.h"

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class CellService
 * \brief Connects this node with the other nodes of its cell: heartbeats, datagrams and queries over TCP.
 */
class CellService
{
public:
    /// Handlers of messages from other nodes. They run on the thread that receives the message.
    struct Handlers
    {
        std::function<void(const OwnerEventsMessage &)> onOwnerEvents;
        std::function<void(const OwnerActionsMessage &)> onOwnerActions;
        std::function<void(const Member &)> onNewerGeneration; ///< a peer announced a newer configuration generation
        std::function<PeerReply(const PeerQuery &)> onQuery;
    };

    CellService(const NodeSettings &settings, DatagramAuthenticator authenticator, Journal &journal, NodeMetrics &metrics);
    ~CellService();

    CellService(const CellService &) = delete;
    CellService &operator=(const CellService &) = delete;

    /// Binds the sockets and starts the threads; returns an error message, or an empty string on success.
    std::string start(Handlers handlers);
    void stop();

    /// Sends a datagram to a node of the cell; does nothing if the node is unknown.
    void send(const NodeId &to, const PeerMessage &message);

    /// Sends a query to a node over TCP and waits at most \a timeout for the reply; fails with PeerUnreachable if none arrives.
    Result<PeerReply> query(const Member &node, const PeerQuery &query, absl::Duration timeout);

    std::vector<Member> members() const;
    std::vector<NodeId> owners() const;
    std::optional<Member> find(const NodeId &id) const;
    const NodeId &self() const
    {
        return m_settings->node;
    }

    /// Returns the owner of a slice according to the current membership.
    NodeId ownerOf(const ServiceName &service) const;

    void setGeneration(std::uint64_t generation);
    void setLeaving();

    /// Whether the platform's VM list marks a VM, of a node or an endpoint, as leaving.
    bool isLeavingVm(const std::string &name) const;

private:
    void receiveLoop();
    void sendHeartbeats();
    void pollVmList();
    void handleDatagram(const Datagram &datagram);
    std::string answerQuery(const std::string &signedQuery);

    NodeSettings m_settings;
    DatagramAuthenticator m_authenticator;
    Journal &m_journal;
    NodeMetrics &m_metrics;
    Handlers m_handlers;
    mutable Mutex m_mutex;
    Membership m_membership ABSL_GUARDED_BY(m_mutex);
    std::vector<std::string> m_leavingVms ABSL_GUARDED_BY(m_mutex);
    PeerSockets m_peerSockets;
    std::unique_ptr<TcpServer> m_tcp;
    std::atomic<bool> m_stopping{false};
    Thread m_receiveThread;
    std::unique_ptr<PeriodicTask> m_heartbeatTask;
    std::unique_ptr<PeriodicTask> m_vmPollTask;
};

}
