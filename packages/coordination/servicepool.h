#pragma once

#include "coordination/decayingrate.h"
#include "coordination/enginehealth.h"
#include "coordination/engineloads.h"
#include "state/desiredstate.h"
#include "state/engineentry.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

namespace Apricot {

/// Identifies a call that waits for capacity in a ServicePool.
using WaiterId = std::uint64_t;

/// Requirements of a model call, from which a ServicePool chooses its engines.
struct ModelDemand
{
    DataCentreName nearTo; ///< data centre of the calling node
    std::int64_t promptTokens = 0;
    std::int64_t madeTokens
        = 0; ///< answer tokens of an earlier attempt that this call continues; the decode engine prefills them with the prompt
    std::int64_t hintedTokens = 0; ///< the caller's estimate of the answer length; 0: none
    std::int64_t mostTokens = 0; ///< maximum length of the answer
    std::optional<std::int64_t> expectedTokens; ///< expected length of the answer, if it is already known
    std::int64_t rank = 0; ///< 0 is the most urgent
    absl::Duration target; ///< target latency of the first stream event
    absl::Duration longestPause = absl::InfiniteDuration(); ///< longest acceptable gap between two events of a stream
    absl::Duration patience; ///< how long the call may wait for capacity
    std::vector<EngineId> avoided; ///< engines that have failed this call
    std::uint64_t luck = 0; ///< random; keeps nodes that decide at the same time from all choosing the same engine

    friend bool operator==(const ModelDemand &, const ModelDemand &) = default;
};

/// The figures behind a placement, for the log.
struct PlacementBasis
{
    double memoryPart = 0; ///< expected peak memory use of the decode engine, this run included, as a fraction of its memory
    std::int64_t runs = 0; ///< runs on the decode engine before this one
    absl::Duration loadsAge; ///< age of the oldest peer load report that was used

    friend bool operator==(const PlacementBasis &, const PlacementBasis &) = default;
};

/// Where a model call runs: the decode engine, and the prefill engine unless the decode engine prefills the prompt itself.
struct ModelPlacement
{
    EngineEntry decode;
    std::optional<EngineEntry> prefill;
    std::vector<EngineReservation> reservations; ///< what was reserved for the call
    PlacementBasis basis;

    friend bool operator==(const ModelPlacement &, const ModelPlacement &) = default;
};

/// A waiting call that has received its placement.
struct Grant
{
    WaiterId waiter = 0;
    ModelPlacement placement;

    friend bool operator==(const Grant &, const Grant &) = default;
};

/**
 * \class ServicePool
 * \brief Chooses engines for the calls of one service, from the engine states and loads that one node knows.
 *
 * It also queues the calls for which there is no capacity. Loads are soft state: each node reports its own periodically, and
 * the loads of a peer that stops reporting expire.
 */
class ServicePool
{
public:
    void setModel(const std::optional<ModelServing> &model);

    /// Adds or updates an engine. An engine that was restarted under the same id starts without health history.
    void apply(const EngineEntry &entry);
    void remove(const EngineId &engine);

    /// Returns the engine for a call whose answer is not streamed, and counts one request on it. Returns nothing if there is no
    /// ready engine outside \a avoided.
    std::optional<EngineEntry> placePlain(const DataCentreName &nearTo, const std::vector<EngineId> &avoided, absl::Time now);

    /// Chooses the engines for a model call and reserves capacity on them. Returns nothing if there is no capacity at present.
    std::optional<ModelPlacement> placeModel(const ModelDemand &demand, absl::Time now);

    /// Like placeModel(), for a call that does not wait yet: also returns nothing if other calls wait, here or at a peer.
    std::optional<ModelPlacement> placeArrival(const ModelDemand &demand, absl::Time now);

    /// Whether a call that is placed on \a engine can also be prefilled there without exceeding the acceptable stream gap.
    bool bearsReading(const EngineId &engine, const ModelDemand &demand, absl::Time now) const;

    /// Returns the expected wait for capacity of a new call of \a demand, from the recent rate of placements.
    absl::Duration expectedWait(const ModelDemand &demand, absl::Time now) const;

    /// Adds a call to those that wait for capacity.
    void wait(WaiterId waiter, ModelDemand demand, absl::Time now);
    void stopWaiting(WaiterId waiter);

    /// Assigns free capacity to waiting calls: by rank, and within a rank to the call whose wait ends first. Calls that wait at
    /// peers are part of the same order: the capacity that they will use is left free, so that several nodes do not assign the
    /// same capacity.
    std::vector<Grant> grantRoom(absl::Time now);

    /// Returns the first calls that wait at this node, in the order in which they get capacity.
    std::vector<WaitingCall> ownWaiting(absl::Time now) const;

    /// Whether \a engine is known, has not restarted since, and takes work.
    bool isReady(const EngineEntry &engine) const;

    /// Counts a reservation in addition to those that place...() has counted.
    void add(const EngineReservation &reservation)
    {
        m_loads.add(reservation);
    }

    /// Releases a reservation that place...() or add() has counted.
    void release(const EngineReservation &reservation)
    {
        m_loads.release(reservation);
    }

    /// Records how many tokens a run has generated so far.
    void noteRunMade(const EngineId &engine, std::uint64_t run, std::int64_t tokens)
    {
        m_loads.noteRunMade(engine, run, tokens);
    }

    /// Records that a run has ended after \a tokens.
    void noteRunEnded(std::int64_t tokens);

    /// Records the result of an attempt at an engine.
    void noteResult(const EngineId &engine, EngineResult result, absl::Time now);

    /// Records that \a units of work took \a duration at an engine.
    void noteCost(const EngineId &engine, double units, absl::Duration duration, absl::Time now);

    /// Replaces the loads that \a node has placed on the engines of this service, and its calls that wait for capacity there.
    void setPeerLoads(const NodeId &node, const std::vector<EngineLoad> &loads, const std::vector<WaitingCall> &waiting, absl::Time now)
    {
        m_loads.setPeerLoads(node, loads, waiting, now);
    }

    /// Replaces the engines that \a node cannot reach. An engine that at least two peers cannot reach is skipped, unless that
    /// would skip half of the candidates of a stage or more.
    void setPeerDoubts(const NodeId &node, const std::vector<EngineId> &engines, absl::Time now)
    {
        m_loads.setPeerDoubts(node, engines, now);
    }

    /// Returns the engines that this node cannot reach at present.
    std::vector<EngineId> ownDoubts(absl::Time now) const;

    /// Returns the loads that this node has placed.
    std::vector<EngineLoad> ownLoads() const
    {
        return m_loads.own();
    }

    /// Whether a ready engine outside \a avoided exists.
    bool hasOther(const std::vector<EngineId> &avoided) const;

    /// Returns the number of answer tokens in each stream event.
    std::int64_t tokensPerEvent() const
    {
        return m_model ? (*m_model)->tokensPerEvent : 1;
    }

    /// Returns the age of the oldest peer load report in use; zero without peers.
    absl::Duration loadsAge(absl::Time now) const
    {
        return m_loads.oldestWord(now);
    }

    /// Returns the load of all nodes on \a engine.
    EngineLoad totalLoad(const EngineId &engine, absl::Time now) const
    {
        return m_loads.total(engine, now);
    }

private:
    struct Engine
    {
        EngineEntry entry;
        EngineHealth health;
    };

    struct Waiter
    {
        ModelDemand demand;
        absl::Time since;
    };

    /// A call's position in the order in which calls get capacity: by rank, then by the end of its wait.
    struct Turn
    {
        std::int64_t rank = 0; ///< effective rank; 0 for a rank that is below its floor
        WaiterId waiter = 0; ///< of a call that waits at this node; 0: the call waits at a peer
        WaitingCall call;

        friend bool operator==(const Turn &, const Turn &) = default;
        friend bool operator<(const Turn &left, const Turn &right)
        {
            return std::tie(left.rank, left.call.patienceEnds, left.waiter) < std::tie(right.rank, right.call.patienceEnds, right.waiter);
        }
    };

    /// An engine with the load that all nodes have placed on it.
    struct Candidate
    {
        const Engine *engine = nullptr;
        EngineLoad load;
        double cost = 0; ///< expected time until the call is served, with penalties, ms
        double memoryPart = 0; ///< expected peak memory use of a decode engine, the call included, as a fraction of its memory
    };

    bool isUsable(const Engine &engine, const std::vector<EngineId> &avoided, absl::Time now) const;
    void dropDoubted(std::vector<Candidate> &found, absl::Time now) const;
    std::vector<Candidate> candidates(EngineStage stage, const std::vector<EngineId> &avoided, absl::Time now) const;
    std::vector<Candidate> decodeCandidates(const ModelDemand &demand, absl::Time now) const;
    std::vector<Candidate> prefillCandidates(const ModelDemand &demand, absl::Time now) const;
    double jitter(const EngineEntry &engine, const ModelDemand &demand) const;
    double failurePenalty(const Engine &engine, absl::Time now) const;
    absl::Duration expectedCost(EngineStage stage) const;
    double wholeMemory() const;
    double usableMemory(absl::Time now) const;
    std::int64_t likelyTokens(const ModelDemand &demand) const;
    double freeShare(absl::Time now) const;
    bool isBelowFloor(std::int64_t rank, absl::Time now) const;
    bool mayTakeReserve(const ModelDemand &demand, absl::Time now) const;
    std::optional<ModelPlacement> choose(const ModelDemand &demand, absl::Time now) const;
    void reserve(ModelPlacement *placement, const ModelDemand &demand);
    std::optional<ModelPlacement> roomForPeer(const WaitingCall &call, absl::Time now);
    std::vector<Turn> ownTurns(absl::Time now) const;
    std::vector<Turn> allTurns(absl::Time now) const;
    std::int64_t countedRank(std::int64_t rank, absl::Time now) const;
    double readMsThere(const Candidate &decode, const ModelDemand &demand, absl::Time now) const;
    bool mayReadThere(const Candidate &decode, const ModelDemand &demand, double readMs) const;
    void notePlaced(const ModelDemand &demand, absl::Time now);

    std::optional<ModelServing> m_model;
    std::map<EngineId, Engine> m_engines;
    EngineLoads m_loads;
    std::map<WaiterId, Waiter> m_waiters;
    std::map<std::int64_t, DecayingRate> m_placedByRank; ///< recently placed calls by rank
    std::uint64_t m_lastRun = 0;
    std::size_t m_turn = 0;
    double m_meanTokens = 0; ///< mean answer length, tokens; 0: not known yet
};

}
