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

/// What a node has placed on one engine for one call.
struct EngineReservation
{
    EngineId engine;
    std::int64_t requests = 0;
    std::int64_t prefillTokens = 0; ///< tokens to be prefilled there
    std::optional<EngineRun> run; ///< the run that uses KV memory there, on a decode engine

    friend bool operator==(const EngineReservation &, const EngineReservation &) = default;
};

/// How the requests of a service pass through one engine.
struct RequestFlow
{
    double share = 0; ///< expected fraction of all requests that are placed at this engine
    absl::Duration sojourn; ///< expected time of a request at this engine
    absl::Duration meanSojourn; ///< expected time of a request at any engine

    friend bool operator==(const RequestFlow &, const RequestFlow &) = default;
};

/**
 * \class EngineLoads
 * \brief The loads that this node and its peers have placed on the engines of one service, and which engines peers cannot reach.
 *
 * All of it is soft state: each node reports its own periodically, and the reports of a peer that sends no new ones expire.
 */
class EngineLoads
{
public:
    /// Counts a reservation of this node.
    void add(const EngineReservation &reservation);

    /// Releases a reservation that add() has counted.
    void release(const EngineReservation &reservation);

    /// Records how many tokens a run has generated so far.
    void recordRunProgress(const EngineId &engine, std::uint64_t run, std::int64_t tokens);

    /// Replaces the loads that \a node has placed, and its calls that wait for capacity.
    void setPeerLoads(const NodeId &node, const std::vector<EngineLoad> &loads, const std::vector<WaitingCall> &waiting, absl::Time now);

    /// Replaces the engines that \a node cannot reach.
    void setPeerUnreachableEngines(const NodeId &node, const std::vector<EngineId> &engines, absl::Time now);

    /// Whether enough peers report that they cannot reach \a engine.
    bool isReportedUnreachable(const EngineId &engine, absl::Time now) const;

    /// Returns the loads that this node has placed.
    std::vector<EngineLoad> own() const;

    /// Returns the number of peers whose reports have not expired.
    std::size_t peerCount(absl::Time now) const;

    /// Returns the age of the oldest peer report that has not expired; zero without peers.
    absl::Duration loadsAge(absl::Time now) const;

    /// Returns the calls that wait for capacity at peers. It leaves out peers without a recent report, so that no capacity is
    /// left unused for a node that may have failed.
    std::vector<WaitingCall> peerWaitingCalls(absl::Time now) const;

    /// Returns the load of all nodes on \a engine.
    EngineLoad total(const EngineId &engine, absl::Time now) const;

    /// Returns the expected number of requests of all nodes at \a engine at \a now. The requests that a peer has reported end with time,
    /// and it places others, which \a flow describes.
    double expectedRequests(const EngineId &engine, const RequestFlow &flow, absl::Time now) const;

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
        std::vector<EngineId> unreachableEngines; ///< engines that the peer cannot reach
        absl::Time lastHeard; ///< time of the last report
        absl::Time loadsReported = absl::InfinitePast(); ///< time of the last report of loads
        double requests = 0; ///< total number of requests in that report
        double requestsGrowth = 0; ///< recent change of that number per second
    };

    std::map<EngineId, OwnLoad> m_own;
    std::map<NodeId, PeerLoads> m_peers;
};

}
