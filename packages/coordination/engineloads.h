#pragma once

#include "state/engineentry.h"
#include "state/name.h"

#include <absl/container/flat_hash_map.h>
#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace Apricot {

/// A part of what a node has placed on an engine.
struct EngineShare
{
    EngineId engine;
    std::int64_t requests = 0;
    std::int64_t prefillTokens = 0; ///< prompt tokens to be read there
    std::optional<EngineRun> run; ///< what takes memory there

    friend bool operator==(const EngineShare &, const EngineShare &) = default;
};

/**
 * \class EngineLoads
 * \brief What this node and its peers have placed on the engines of one service, and which engines peers cannot reach.
 *
 * All of it is soft: each node repeats its own, and a silent peer's is forgotten.
 */
class EngineLoads
{
public:
    /// Counts a share.
    void add(const EngineShare &share);

    /// Takes back a part of what add() has counted.
    void release(const EngineShare &share);

    /// Takes in how many tokens a run has made up to now.
    void noteRunMade(const EngineId &engine, std::uint64_t run, std::int64_t tokens);

    /// Replaces what \a node has placed, and which of its calls wait for room.
    void setPeerLoads(const NodeId &node, const std::vector<EngineLoad> &loads, const std::vector<WaitingCall> &waiting, absl::Time now);

    /// Replaces which engines \a node cannot reach.
    void setPeerDoubts(const NodeId &node, const std::vector<EngineId> &engines, absl::Time now);

    /// Whether enough peers cannot reach \a engine.
    bool isDoubted(const EngineId &engine, absl::Time now) const;

    /// What this node has placed.
    std::vector<EngineLoad> own() const;

    /// Peers whose word counts.
    std::size_t peerCount(absl::Time now) const;

    /// Age of the oldest word of a peer that counts; zero without peers.
    absl::Duration oldestWord(absl::Time now) const;

    /// Calls of peers that wait for room, as far as their word is fresh: room is not kept for a node that may be gone.
    std::vector<WaitingCall> peerWaiters(absl::Time now) const;

    /// All nodes' load on \a engine.
    EngineLoad total(const EngineId &engine, absl::Time now) const;

private:
    struct OwnLoad
    {
        std::int64_t requests = 0;
        std::int64_t prefillTokens = 0;
        std::map<std::uint64_t, EngineRun> runs;
    };

    struct PeerLoads
    {
        absl::flat_hash_map<EngineId, EngineLoad> loads;
        std::vector<WaitingCall> waiting;
        std::vector<EngineId> doubts; ///< engines that it cannot reach
        absl::Time heard;
    };

    std::map<EngineId, OwnLoad> m_own;
    std::map<NodeId, PeerLoads> m_peers;
};

}
