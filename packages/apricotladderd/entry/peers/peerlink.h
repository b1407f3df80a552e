#pragma once

#include "apricotladderd/entry/entrycontext.h"
#include "coordination/activenodes.h"
#include "coordination/clusterview.h"
#include "coordination/decayingrate.h"
#include "coordination/peerclock.h"
#include "coordination/storeduty.h"
#include "protocol/cellmessage.h"
#include "transport/eventloop.h"
#include "transport/udpsocket.h"

#include <absl/random/random.h>
#include <absl/time/time.h>

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace Apricot {

/// The versions of what a peer knows.
struct PeerVersions
{
    NodeId node;
    std::string peerAddress; ///< "IP:port"
    std::uint64_t generation = 0; ///< version of its desired state
    std::uint64_t enginesRevision = 0; ///< revision of the last change of the engines

    friend bool operator==(const PeerVersions &, const PeerVersions &) = default;
};

/**
 * \class PeerLink
 * \brief Exchanges datagrams with the other nodes: gossip on which nodes are alive, and load reports between the active nodes.
 */
class PeerLink
{
public:
    /// Connects the link to the rest of the node.
    struct Hooks
    {
        /// Returns the revision of the last change of the engines that this node knows.
        std::function<std::uint64_t()> enginesRevision;

        /// Called when a peer has told its versions.
        std::function<void(const PeerVersions &peer)> onPeerVersions;

        /// Called after each gossip interval, when the active nodes have been determined anew.
        std::function<void()> onTick;
    };

    PeerLink(EventLoop &loop, EntryContext &context, std::uint64_t incarnation, Hooks hooks);

    /// Starts sending and receiving; returns whether the peer address could be bound.
    bool start();

    /// Adds nodes that the store or a peer has listed.
    void addListedNodes(const std::vector<Member> &nodes);

    /// Replaces the seed addresses, which get gossip even before any node is known.
    void setSeeds(const std::vector<std::string> &seeds);

    void setDesiredVersion(std::uint64_t version);
    void setLeaving();

    /// Tells the others whether this node watches the store and gets answers.
    void setReachesStore(bool reachesStore)
    {
        m_view.setReachesStore(reachesStore);
    }

    /// Returns what decides whether this node has to watch the store.
    StoreDutyFacts storeDutyFacts() const;

    /// Schedules a load report to the active nodes. Changes in quick succession share one report.
    void scheduleLoadReport();

    const Member &self() const
    {
        return m_view.self();
    }

    /// Returns the nodes for which there was a sign of life, this one included.
    std::vector<Member> members() const
    {
        return m_view.members();
    }

    /// Returns the nodes that callers are directed to.
    const std::vector<Member> &activeNodes() const
    {
        return m_activeNodes;
    }

    /// Whether this node has run long enough to know the others.
    bool isSettled() const;

    /// Whether callers are directed to this node.
    bool isActive() const
    {
        return m_isActive;
    }

private:
    void handleTick();
    void sendGossip(MembershipGossip gossip, const std::vector<std::string> &targets);
    void sendLoadReport();
    void receive();
    void handle(const MembershipGossip &gossip);
    void handle(const LoadReport &report);
    void updateRoles(const std::vector<Member> &members);
    void updateActiveNodes(const std::vector<Member> &members);
    void updateAllowancePeers(const std::vector<Member> &members);
    SpendingReport takeSpendingReport(absl::Time now);
    std::vector<std::string> loadReportTargets(absl::Time now);
    /// Remembers a node that is not active and has spent: it needs the reports of this node.
    void recordSpender(const LoadReport &report, absl::Time now);
    void updateRetryShare(const std::vector<Member> &members);
    void recordMembers(const std::vector<Member> &members);

    EventLoop &m_loop;
    EntryContext &m_context;
    Hooks m_hooks;
    ClusterView m_view;
    std::unique_ptr<UdpSocket> m_socket;
    absl::InsecureBitGen m_random;
    std::vector<std::string> m_seeds;
    std::vector<Member> m_activeNodes;
    bool m_isActive = false;
    bool m_hasReportedLoad = false; ///< the last load report was not empty, so the peers must learn when the load has ended
    std::uint64_t m_countedCalls = 0; ///< calls up to the last tick
    DecayingRate m_ownCalls;
    PeakRate m_allCalls; ///< calls of all nodes
    std::map<NodeId, PeerClock> m_peerClocks; ///< of the peers, to order their waiting calls among this node's
    std::map<NodeId, std::string> m_peerAddresses; ///< "IP:port" of each active peer
    std::map<NodeId, MemberState> m_loggedStates;
    absl::Time m_startedAt = absl::InfiniteFuture();
    TimerId m_reportTimer = 0;
    absl::Time m_lastReport = absl::InfinitePast();
    absl::Time m_lastSpendingReport = absl::InfinitePast();
    TimerId m_spendingTimer = 0;
    std::map<NodeId, absl::Time> m_spenders; ///< when a node that is not active last reported spending
};

}
