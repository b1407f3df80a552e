#pragma once

#include "state/liveness.h"

#include <absl/container/flat_hash_map.h>
#include <absl/container/flat_hash_set.h>
#include <absl/time/time.h>

#include <cstddef>
#include <vector>

namespace Apricot {

/// The nodes that share the allowances, as one node sees them.
struct AllowancePeers
{
    std::vector<NodeKey> active; ///< the other active nodes
    std::size_t sharerCount = 1; ///< active nodes, this one included; a node that has just started has to assume more than it knows
    double reachableFraction = 1; ///< part of the known nodes that are alive

    friend bool operator==(const AllowancePeers &, const AllowancePeers &) = default;
};

/// The nodes that use an allowance at the same time.
struct AllowanceSharing
{
    double heardShare = 1; ///< part of the allowance that the nodes in contact may use, above 0 and up to 1
    std::size_t sharerCount = 1;

    friend bool operator==(const AllowanceSharing &, const AllowanceSharing &) = default;
};

/**
 * \class PeerContact
 * \brief Tracks which active nodes are silent, and from that the part of each allowance that this node and those it hears may use.
 */
class PeerContact
{
public:
    /// A peer that has not been heard for this long is silent. Active nodes send a report at least every 200 ms. The parts of a
    /// partition spend without knowing of each other until then, so a longer time needs more tolerance; a shorter one would make
    /// a peer silent whenever a datagram is lost.
    static constexpr absl::Duration silentAfter = absl::Milliseconds(300);

    /// Lower bound of that time for a peer that reports more often, as nodes under load do.
    static constexpr absl::Duration minSilentAfter = absl::Milliseconds(150);

    explicit PeerContact(absl::Time start);

    /// Sets the peers. One that becomes active counts as heard, unless this node has just started.
    void setPeers(const AllowancePeers &peers, absl::Time now);

    /// Records a message of \a peer that was sent at \a sentAt. Returns whether the contact has begun with it.
    bool recordHeard(NodeKey peer, absl::Time sentAt, absl::Time now);

    /// Returns since when \a peer is heard without interruption.
    absl::Time contactSince(NodeKey peer) const;

    /// Returns since when any peer is heard, after the start of this node or a long silence of all of them.
    absl::Time listeningSince() const
    {
        return m_listeningSince;
    }

    /// Returns the time after \a now at which the next active peer becomes silent.
    absl::Time nextSilence(absl::Time now) const;

    /// Returns how the allowances are shared at \a now.
    AllowanceSharing sharing(absl::Time now) const;

    /// Time since the active peer that has been silent the longest was heard.
    absl::Duration oldestContact(absl::Time now) const;

private:
    struct Peer
    {
        absl::Duration silentAfter() const;
        bool isHeard(absl::Time now) const
        {
            return now - lastHeard < silentAfter();
        }

        absl::Time lastHeard = absl::InfinitePast();
        absl::Time contactSince = absl::InfinitePast();
        absl::Duration usualGap = PeerContact::silentAfter; ///< between messages; it rises at once and falls slowly
    };

    absl::Time m_start;
    absl::Time m_lastHeard = absl::InfinitePast(); ///< of any peer
    absl::Time m_listeningSince = absl::InfiniteFuture();
    absl::flat_hash_map<NodeKey, Peer> m_peers; ///< those that were heard recently, and the active ones
    absl::flat_hash_set<NodeKey> m_active;
    std::size_t m_sharerCount = 1;
    double m_reachableFraction = 1;
};

}
