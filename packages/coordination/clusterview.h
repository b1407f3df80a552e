#pragma once

#include "state/liveness.h"
#include "state/member.h"

#include <absl/random/bit_gen_ref.h>
#include <absl/time/time.h>

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace Apricot {

/// Returns the key by which messages name \a node; the same on all nodes.
NodeKey nodeKey(const NodeId &node);

/// Intervals, timeouts and sizes of ClusterView.
struct ClusterViewLimits
{
    static constexpr absl::Duration gossipInterval = absl::Milliseconds(200);

    /// A node with at most this many peers sends its gossip to all of them, so that failures are detected fast.
    static constexpr std::size_t maxDirectPeers = 11;

    /// Number of peers to which a node of a larger deployment sends its gossip, and how many of them are in its own data centre.
    static constexpr std::size_t fanout = 3;
    static constexpr std::size_t nearFanout = 2;

    /// A node without a newer heartbeat for this long is suspect, and after the second time dead.
    static constexpr absl::Duration directSuspectAfter = absl::Milliseconds(700);
    static constexpr absl::Duration directDeadAfter = absl::Milliseconds(1300);
    static constexpr absl::Duration relayedSuspectAfter = absl::Seconds(3);
    static constexpr absl::Duration relayedDeadAfter = absl::Seconds(6);

    static constexpr absl::Duration forgetAfter = absl::Seconds(60);

    static constexpr std::size_t maxLivenessPerMessage = 56;
    static constexpr std::size_t maxIntroductionsPerMessage = 24;

    /// How often a node passes on a new record of another node. After that, it passes on one random record with each message.
    static constexpr int introductionsPerRecord = 6;
};

/**
 * \class ClusterView
 * \brief All nodes of a deployment as one node sees them, from gossip with bounded cost.
 *
 * Each node numbers its heartbeats and passes the newest numbers that it knows on to a few random nodes. A node whose number stops
 * rising is suspect, then dead. Clocks are not compared, and a message that was delayed cannot make a dead node seem alive.
 */
class ClusterView
{
public:
    explicit ClusterView(Member self);

    const Member &self() const
    {
        return m_self;
    }

    void setGeneration(std::uint64_t generation);
    void setLeaving();
    void setCallsPerSecond(double callsPerSecond);

    /// Sets whether this node watches the store and gets answers.
    void setReachesStore(bool reachesStore);

    /// Adds nodes that are listed elsewhere. They count as dead until there is a sign of life.
    void addListed(const std::vector<Member> &nodes);

    /// Takes over what a peer has sent. Returns whether the peer should get a reply at once, because it did not seem alive: it has
    /// started or returned. There is at most one reply to each peer between two ticks.
    bool handleGossip(const MembershipGossip &gossip, absl::Time now);

    /// Returns the reply to \a peer. It contains the newest sign of life of the peer itself, which it has to exceed if its clock was
    /// set back before a restart.
    MembershipGossip makeReply(const NodeId &peer, absl::BitGenRef random);

    /// Takes over a sign of life of one node.
    void handleLiveness(const NodeLiveness &liveness, absl::Time now);

    /// Advances this node's heartbeat, and updates the states of the others.
    void tick(absl::Time now);

    /// Returns the message for the next gossip. \a random selects the nodes that it reports.
    MembershipGossip makeGossip(absl::BitGenRef random);

    /// Returns the addresses of the next gossip: all peers, or some random ones of a larger deployment.
    std::vector<std::string> gossipTargets(const std::vector<std::string> &seeds, absl::BitGenRef random) const;

    /// Returns the nodes for which there was a sign of life, this one included, in order of name.
    std::vector<Member> members() const;

    /// Returns the nodes, this one included, that are alive, do not leave, and watch the store with success.
    std::set<NodeId> nodesReachingStore() const;

    /// Whether \a node is known and neither suspect nor dead.
    bool isAlive(const NodeId &node) const;

    /// Returns the calls per second of all nodes that are alive.
    double totalCallsPerSecond() const;

    /// Returns this node's own sign of life.
    const NodeLiveness &ownLiveness() const
    {
        return m_ownLiveness;
    }

private:
    struct Peer
    {
        Member member;
        NodeLiveness liveness;
        absl::Time lastAdvance = absl::InfinitePast(); ///< when the heartbeat number last rose
        int introductionsLeft = ClusterViewLimits::introductionsPerRecord;

        bool wasSeen() const
        {
            return lastAdvance != absl::InfinitePast();
        }
    };

    Peer *addRecord(const Member &record);
    std::size_t reachablePeerCount() const;
    std::vector<const Peer *> peersToReport(absl::BitGenRef random) const;
    void addIntroductions(std::vector<Member> *introductions, absl::BitGenRef random);

    Member m_self;
    NodeLiveness m_ownLiveness;
    std::map<NodeKey, Peer> m_peers;
    std::set<NodeKey> m_repliedTo; ///< peers that have got a reply since the last tick
};

}
