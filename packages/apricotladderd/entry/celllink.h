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
 * \class CellLink
 * \brief Meets the other nodes: heartbeats with what each has placed on the engines, and the state of a peer that knows more.
 */
class CellLink
{
public:
    /// What this node tells of itself and how it learns from others.
    struct Hooks
    {
        std::function<std::uint64_t()> enginesRevision;

        /// A peer has a newer desired state or newer engines than this node.
        std::function<void(const Member &peer)> behind;
    };

    CellLink(EventLoop &loop, EntryContext &context, std::uint64_t incarnation, Hooks hooks);

    /// Starts to meet peers; returns whether the address could be bound.
    bool start();

    /// Adds the nodes that the store names.
    void setNodes(const std::vector<Member> &nodes);

    /// Replaces the addresses to meet first.
    void setSeeds(const std::vector<std::string> &seeds);

    void setDesiredVersion(std::uint64_t version);
    void setLeaving();

    /// Tells the peers soon what has changed. Changes that follow each other closely are told together.
    void tellSoon();

    const Membership &membership() const
    {
        return m_membership;
    }

    /// Nodes that may be handed out to callers.
    std::vector<Member> servingMembers() const;

private:
    void beat();
    void tellAll();
    void receive();
    void take(const CellHeartbeat &heartbeat);
    void noteMembers();
    std::vector<std::string> targets() const;

    EventLoop &m_loop;
    EntryContext &m_context;
    Hooks m_hooks;
    Membership m_membership;
    std::unique_ptr<UdpSocket> m_socket;
    std::vector<std::string> m_seeds;
    std::vector<Member> m_nodes;
    std::map<NodeId, PeerClock> m_clocks; ///< of the peers, to put their waiting calls in order with ours
    std::map<NodeId, MemberState> m_loggedStates;
    TimerId m_soon = 0;
    absl::Time m_told = absl::InfinitePast();
};

}
