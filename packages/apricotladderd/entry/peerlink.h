#pragma once

#include "apricotladderd/entry/entrycontext.h"
#include "coordination/membership.h"
#include "coordination/peerclock.h"
#include "protocol/cellmessage.h"
#include "transport/connectionpool.h"
#include "transport/eventloop.h"
#include "transport/httpexchange.h"
#include "transport/udpsocket.h"

#include <absl/time/time.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/**
 * \class PeerLink
 * \brief Exchanges heartbeats with the other nodes: which nodes are alive, what each has placed on the engines, which peers have newer
 * state.
 */
class PeerLink
{
public:
    /// Connects the heartbeats to the rest of the node.
    struct Hooks
    {
        /// Returns the store revision of the engines that this node knows.
        std::function<std::uint64_t()> enginesRevision;

        /// Called when \a peer has a newer desired state or newer engines than this node.
        std::function<void(const Member &peer)> onPeerNewer;
    };

    PeerLink(EventLoop &loop, EntryContext &context, std::uint64_t incarnation, Hooks hooks);

    /// Starts sending and receiving heartbeats; returns whether the peer address could be bound.
    bool start();

    /// Replaces the nodes that are listed in the store; they get heartbeats too.
    void setNodes(const std::vector<Member> &nodes);

    /// Replaces the seed addresses, which get heartbeats even before any member is known.
    void setSeeds(const std::vector<std::string> &seeds);

    void setDesiredVersion(std::uint64_t version);
    void setLeaving();

    /// Schedules a heartbeat to all peers. Changes in quick succession share one heartbeat.
    void scheduleHeartbeat();

    const Membership &membership() const
    {
        return m_membership;
    }

    /// Nodes that discovery may return to callers.
    std::vector<Member> servingMembers() const;

private:
    void handleTick();
    void sendHeartbeat();
    void receive();
    void handleHeartbeat(const CellHeartbeat &heartbeat);
    void recordMembers();
    std::vector<std::string> heartbeatTargets() const;

    EventLoop &m_loop;
    EntryContext &m_context;
    Hooks m_hooks;
    Membership m_membership;
    std::unique_ptr<UdpSocket> m_socket;
    std::vector<std::string> m_seeds;
    std::vector<Member> m_nodes;
    std::map<NodeId, PeerClock> m_peerClocks; ///< of the peers, to order their waiting calls among this node's
    std::map<NodeId, MemberState> m_loggedStates;
    TimerId m_heartbeatTimer = 0;
    absl::Time m_lastHeartbeat = absl::InfinitePast();
};

}
