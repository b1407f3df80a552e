#pragma once

#include "state/member.h"
#include "state/promptreport.h"

#include <cstdint>
#include <vector>

namespace Apricot {

/// Identifies a node in messages that name many nodes: a hash of its name.
using NodeKey = std::uint64_t;

/// The newest sign of life of one node, as nodes pass it on to each other.
struct NodeLiveness
{
    NodeKey node = 0;
    std::uint64_t heartbeat = 0; ///< number of the node's newest heartbeat; it only increases, also across restarts
    std::int64_t callsPerSecond = 0; ///< calls that the node has received recently
    bool serving = false; ///< the node has a configuration
    bool leaving = false;
    bool reachesStore = false; ///< the node watches the store, and the store has answered its last call

    friend auto operator<=>(const NodeLiveness &, const NodeLiveness &) = default;
};

/// What a node tells a few others periodically: its own state, the newest signs of life of others, and nodes that may be unknown.
struct MembershipGossip
{
    Member sender;
    NodeLiveness senderLiveness;
    std::uint64_t enginesRevision = 0; ///< revision of the last change of the engines that the sender knows
    std::vector<NodeLiveness> others;
    std::vector<Member> introductions;
    PromptReport prompts; ///< without broken prompts, which only load reports carry

    friend auto operator<=>(const MembershipGossip &, const MembershipGossip &) = default;
};

}
