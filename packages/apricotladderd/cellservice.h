#pragma once

#include "apricotladderd/journal.h"
#include "apricotladderd/nodemetrics.h"
#include "apricotladderd/peerpaths.h"
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
 * \brief This node's place in its cell: heartbeats, datagrams and queries between nodes.
 */
class CellService
{
public:
    /// What is done with messages of other nodes. The functions run on the receiving thread.
    struct Handlers
    {
        std::function<void(const OwnerEventsMessage &)> ownerEvents;
        std::function<void(const OwnerActionsMessage &)> ownerActions;
        std::function<void(const Member &)> newerGeneration; ///< a peer has a configuration that this node may lack
        std::function<PeerReply(const PeerQuery &)> query;
    };

    CellService(const NodeSettings &settings, DatagramAuthenticator seal, Journal &journal, NodeMetrics &metrics);
    ~CellService();

    CellService(const CellService &) = delete;
    CellService &operator=(const CellService &) = delete;

    /// Binds the sockets and starts the threads; returns what is wrong, empty if nothing is.
    std::string start(Handlers handlers);
    void stop();

    /// Sends a datagram to a node of the cell.
    void send(const NodeId &to, const PeerMessage &message);

    /// Asks a node over TCP.
    Result<PeerReply> query(const Member &node, const PeerQuery &query, absl::Duration limit);

    std::vector<Member> members() const;
    std::vector<NodeId> owners() const;
    std::optional<Member> find(const NodeId &id) const;
    const NodeId &self() const
    {
        return m_settings->node;
    }

    /// Owner of a slice by the present membership.
    NodeId ownerOf(const ServiceName &service) const;

    void setGeneration(std::uint64_t generation);
    void setLeaving();

    /// VM names that the platform shows as leaving, endpoints included.
    bool isLeavingVm(const std::string &name) const;

private:
    void receiveLoop();
    void heartbeat();
    void pollVmList();
    void handle(const Datagram &datagram);
    std::string answerQuery(const std::string &sealed);

    NodeSettings m_settings;
    DatagramAuthenticator m_seal;
    Journal &m_journal;
    NodeMetrics &m_metrics;
    Handlers m_handlers;
    mutable Mutex m_mutex;
    Membership m_membership ABSL_GUARDED_BY(m_mutex);
    std::vector<std::string> m_leavingVms ABSL_GUARDED_BY(m_mutex);
    PeerPaths m_paths;
    std::unique_ptr<TcpServer> m_tcp;
    std::atomic<bool> m_stopping{false};
    Thread m_receiver;
    std::unique_ptr<PeriodicTask> m_heartbeats;
    std::unique_ptr<PeriodicTask> m_vmPoll;
};

}
