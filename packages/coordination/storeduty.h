#pragma once

#include "state/name.h"

#include <absl/time/time.h>

#include <cstddef>
#include <set>
#include <vector>

namespace Apricot {

/// Intervals and sizes of StoreDuty.
struct StoreDutyLimits
{
    /// How long all active nodes must have been without the store before others ask it: a watch that is cut off is renewed sooner.
    static constexpr absl::Duration patience = absl::Milliseconds(300);

    /// Number of nodes that ask the store at the same time.
    static constexpr std::size_t groupSize = 6;

    /// How long a group of nodes asks the store before the next one does. From the third group on, each turn is twice as long as the
    /// one before, up to the maximum: a store that answers none of two groups is likely to be down for all.
    static constexpr absl::Duration firstTurn = absl::Milliseconds(400);
    static constexpr absl::Duration longestTurn = absl::Milliseconds(3200);
};

/// What a node knows about who reaches the store.
struct StoreDutyFacts
{
    NodeId self;
    std::set<NodeId> activeNodes;
    std::set<NodeId> nodesReachingStore; ///< those that watch it with success, this node included
    std::vector<NodeId> aliveNodes; ///< this node included

    friend bool operator==(const StoreDutyFacts &, const StoreDutyFacts &) = default;
};

/**
 * \class StoreDuty
 * \brief Decides whether a node watches the platform's store.
 *
 * The active nodes always do, and the others learn from them. The store may turn away just these, so while none of them reaches it,
 * groups of the other nodes ask it in turn, until it answers one of them. The nodes that it answers watch it until an active node
 * reaches it again. All nodes decide alike from what they hear of each other, so that few of them ask while it is down for all.
 */
class StoreDuty
{
public:
    /// Returns whether the node is to watch the store from \a now on.
    bool update(const StoreDutyFacts &facts, absl::Time now);

    /// Returns whether the node is the one whose watches are short, so that an answer of the store that is lost to all nodes is missed for
    /// a short time only. The others learn from it. It is an active node, if the store serves any.
    static bool isConfirming(const StoreDutyFacts &facts);

private:
    static bool isInTurn(const StoreDutyFacts &facts, absl::Duration waited);

    absl::Time m_lostSince = absl::InfiniteFuture(); ///< since when no active node reaches the store
    absl::Time m_unansweredSince = absl::InfiniteFuture(); ///< since when no node at all reaches it
};

}
