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

/// Names a call that waits for room in a ServicePool.
using WaiterId = std::uint64_t;

/// What a model call needs of its engines.
struct ModelDemand
{
    DataCentreName nearTo; ///< data centre of the node that asks
    std::int64_t promptTokens = 0;
    std::int64_t madeTokens = 0; ///< of its answer, if it goes on from there: they are read anew with the prompt, at the decode engine
    std::int64_t hintedTokens = 0; ///< the caller's estimate of the answer; 0: none
    std::int64_t mostTokens = 0; ///< of the answer
    std::optional<std::int64_t> expectedTokens; ///< of the answer, if it was estimated already
    std::int64_t rank = 0; ///< 0 is the most urgent
    absl::Duration target; ///< to the first event
    absl::Duration longestPause = absl::InfiniteDuration(); ///< between the events of a stream
    absl::Duration patience; ///< how long it may wait for room
    std::vector<EngineId> avoided; ///< engines that failed this call
    std::uint64_t luck = 0; ///< a random number: nodes that decide at the same moment do not all choose the same engine

    friend bool operator==(const ModelDemand &, const ModelDemand &) = default;
};

/// What a placement rests on, for the log.
struct PlacementBasis
{
    double memoryPart = 0; ///< of the decode engine's memory that its runs will hold at their peak, with this one
    std::int64_t runs = 0; ///< that it had before this one
    absl::Duration loadsAge; ///< of the oldest word of a peer on what it has placed

    friend bool operator==(const PlacementBasis &, const PlacementBasis &) = default;
};

/// Where a model call runs: the decode engine, and the prefill engine unless the decode engine reads the prompt itself.
struct ModelPlacement
{
    EngineEntry decode;
    std::optional<EngineEntry> prefill;
    std::vector<EngineShare> shares; ///< what was reserved for it
    PlacementBasis basis;

    friend bool operator==(const ModelPlacement &, const ModelPlacement &) = default;
};

/// A waiting call that got its room.
struct Grant
{
    WaiterId waiter = 0;
    ModelPlacement placement;

    friend bool operator==(const Grant &, const Grant &) = default;
};

/**
 * \class ServicePool
 * \brief The engines of one service as one node sees them, what this node and its peers have placed there, and who waits.
 *
 * All loads are soft: each node repeats its own, and a silent peer's are forgotten.
 */
class ServicePool
{
public:
    void setModel(const std::optional<ModelEngineSpec> &model);

    /// Takes in what an engine says of itself.
    void apply(const EngineEntry &entry);
    void remove(const EngineId &engine);

    /// Engine for a call that is answered as a whole; counts one request there. Nothing if all are gone or in \a avoided.
    std::optional<EngineEntry> placePlain(const DataCentreName &nearTo, const std::vector<EngineId> &avoided, absl::Time now);

    /// Engines for a model call; reserves their room. Nothing if there is none at present.
    std::optional<ModelPlacement> placeModel(const ModelDemand &demand, absl::Time now);

    /// The same for a call that has just come: nothing also if others wait, here or at a peer.
    std::optional<ModelPlacement> placeArrival(const ModelDemand &demand, absl::Time now);

    /// Whether the streams beside it bear that a call that is placed at \a engine has its prompt read there.
    bool bearsReading(const EngineId &engine, const ModelDemand &demand, absl::Time now) const;

    /// How long a new call of \a demand would wait for room here, by the pace at which calls got theirs lately.
    absl::Duration expectedWait(const ModelDemand &demand, absl::Time now) const;

    /// Adds a call to those that wait for room.
    void wait(WaiterId waiter, ModelDemand demand, absl::Time now);
    void stopWaiting(WaiterId waiter);

    /// Gives room that has become free to waiting calls: by rank, and inside a rank to the one whose patience ends first.
    /// Calls that wait at peers stand in the same order: what they will take is left to them, so that not all nodes give the
    /// same room away.
    std::vector<Grant> grantRoom(absl::Time now);

    /// The first of the calls that wait here, in the order in which they get room.
    std::vector<WaitingCall> ownWaiting(absl::Time now) const;

    /// Whether \a engine is still there in the same life, and takes work.
    bool isReady(const EngineEntry &engine) const;

    /// Counts a share beyond what place...() has counted.
    void add(const EngineShare &share)
    {
        m_loads.add(share);
    }

    /// Takes back a part of what place...() and add() have counted.
    void release(const EngineShare &share)
    {
        m_loads.release(share);
    }

    /// Takes in how many tokens a run has made up to now.
    void noteRunMade(const EngineId &engine, std::uint64_t run, std::int64_t tokens)
    {
        m_loads.noteRunMade(engine, run, tokens);
    }

    /// Takes in that a run has ended after \a tokens.
    void noteRunEnded(std::int64_t tokens);

    /// Takes in how a try at an engine ended.
    void noteResult(const EngineId &engine, EngineResult result, absl::Time now);

    /// Takes in that \a units of work took \a duration at an engine.
    void noteCost(const EngineId &engine, double units, absl::Duration duration, absl::Time now);

    /// Replaces what \a node has placed on the engines of this service, and which of its calls wait for room there.
    void setPeerLoads(const NodeId &node, const std::vector<EngineLoad> &loads, const std::vector<WaitingCall> &waiting, absl::Time now)
    {
        m_loads.setPeerLoads(node, loads, waiting, now);
    }

    /// Takes in which engines \a node cannot reach. Engines that two nodes or more doubt are passed over, but never half of a stage.
    void setPeerDoubts(const NodeId &node, const std::vector<EngineId> &engines, absl::Time now)
    {
        m_loads.setPeerDoubts(node, engines, now);
    }

    /// Engines that this node cannot reach at present.
    std::vector<EngineId> ownDoubts(absl::Time now) const;

    /// What this node has placed.
    std::vector<EngineLoad> ownLoads() const
    {
        return m_loads.own();
    }

    /// Whether an engine other than those in \a avoided could take a call.
    bool hasOther(const std::vector<EngineId> &avoided) const;

    /// Tokens of an answer for each event of its stream.
    std::int64_t tokensPerEvent() const
    {
        return m_model ? (*m_model)->tokensPerEvent : 1;
    }

    /// Age of the oldest word of a peer on what it has placed.
    absl::Duration loadsAge(absl::Time now) const
    {
        return m_loads.oldestWord(now);
    }

    /// All nodes' load on \a engine.
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

    /// A place in the order in which calls get room: by rank, then by the end of their patience.
    struct Turn
    {
        std::int64_t rank = 0; ///< as it counts here: a rank that is below its floor comes first
        WaiterId waiter = 0; ///< here; 0: the call waits at a peer
        WaitingCall call;

        friend bool operator==(const Turn &, const Turn &) = default;
        friend bool operator<(const Turn &left, const Turn &right)
        {
            return std::tie(left.rank, left.call.waitDeadline, left.waiter) < std::tie(right.rank, right.call.waitDeadline, right.waiter);
        }
    };

    /// An engine with what all nodes have placed on it.
    struct Candidate
    {
        const Engine *engine = nullptr;
        EngineLoad load;
        double cost = 0; ///< milliseconds until the call would be served, with penalties
        double memoryPart = 0; ///< of a decode engine's memory at the peak of its runs, with the call
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

    std::optional<ModelEngineSpec> m_model;
    std::map<EngineId, Engine> m_engines;
    EngineLoads m_loads;
    std::map<WaiterId, Waiter> m_waiters;
    std::map<std::int64_t, DecayingRate> m_placedByRank; ///< calls of each rank that got room lately
    std::uint64_t m_lastRun = 0;
    std::size_t m_turn = 0;
    double m_meanTokens = 0; ///< of an answer; 0: not known yet
};

}
