#pragma once

#include "coordination/endpointselector.h"
#include "coordination/engineavailability.h"
#include "coordination/enginehealth.h"
#include "coordination/engineloads.h"
#include "coordination/modeldemand.h"
#include "coordination/unknownload.h"
#include "coordination/waitingcalls.h"
#include "state/desiredstate.h"
#include "state/engineentry.h"

#include <absl/time/time.h>

#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Apricot {

/// The figures behind a placement, for the log.
struct PlacementBasis
{
    double memoryFraction = 0; ///< expected peak memory use of the decode engine, this run included, as a fraction of its memory
    std::int64_t runCount = 0; ///< runs on the decode engine before this one
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
    double requestsAhead = 0; ///< of a plain call: expected number of unfinished requests at its endpoint before it

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
    void setModel(const std::optional<ModelEngineSpec> &model);

    /// Adds or updates an engine. An engine that was restarted under the same id starts without health history.
    void apply(const EngineEntry &entry);
    void remove(const EngineId &engine);

    /// Returns the engine for a call to a plain service that does not wait, and counts one request on it: if all are full, the one with
    /// the lowest expected time. Returns nothing if there is no ready engine outside \a excludedEngines.
    std::optional<EngineEntry> placePlain(const DataCentreName &nearTo, const std::vector<EngineId> &excludedEngines, absl::Time now);

    /// Decides where a plain call is sent, and counts one request there.
    PlainDecision placePlainCall(const PlainDemand &demand, absl::Time now);

    /// Like placePlainCall(), for a call that does not wait yet: it does not overtake those that do.
    PlainDecision placeNewPlainCall(const PlainDemand &demand, absl::Time now);

    /// Returns the number of plain calls that wait at this node.
    std::size_t plainWaiterCount() const
    {
        return m_endpoints.queue().size();
    }

    /// Adds a plain call to those that wait at this node until an endpoint has room. Returns false if too many wait already.
    bool addPlainWaiter(WaiterId waiter, const PlainDemand &demand)
    {
        return m_endpoints.queue().add(waiter, demand);
    }

    void removePlainWaiter(WaiterId waiter)
    {
        m_endpoints.queue().remove(waiter);
    }

    /// Assigns room at endpoints to waiting plain calls, by rank, then by arrival.
    std::vector<Grant> grantPlainCalls(absl::Time now);

    /// Records that \a placement was answered after \a duration.
    void recordPlainAnswer(const PlainPlacement &placement, absl::Duration duration, absl::Time now);

    /// Records that the endpoint of \a placement has refused the call, and releases nothing.
    void recordPlainRefusal(const PlainPlacement &placement, absl::Time now);

    /// Sets how endpoints of plain calls are chosen.
    void setEndpointPolicy(const EndpointPolicy &policy)
    {
        m_endpoints.setPolicy(policy);
    }

    /// Chooses the engines for a model call and reserves capacity on them. Returns nothing if there is no capacity at present.
    std::optional<ModelPlacement> placeModel(const ModelDemand &demand, absl::Time now);

    /// Like placeModel(), for a call that does not wait yet: also returns nothing if other calls wait, here or at a peer.
    std::optional<ModelPlacement> placeNewCall(const ModelDemand &demand, absl::Time now);

    /// Whether a call that is placed on \a engine can also be prefilled there without exceeding the acceptable stream gap.
    bool allowsLocalPrefill(const EngineId &engine, const ModelDemand &demand, absl::Time now) const;

    /// Returns the expected wait for capacity of a new call of \a demand, from the recent rate of placements.
    absl::Duration expectedWait(const ModelDemand &demand, absl::Time now) const;

    /// Returns the number of model calls that wait at this node.
    std::size_t waiterCount() const
    {
        return m_waiting.size();
    }

    /// Records that a call of \a demand is refused because there is no capacity, and returns its Retry-After. \a timeLeft is the time
    /// until the caller's deadline, \a random a number in [0, 1).
    CapacityRefusal recordRefused(const ModelDemand &demand, absl::Duration timeLeft, double random, absl::Time now)
    {
        return m_waiting.recordRefused(demand, timeLeft, random, now);
    }

    /// Adds a call to those that wait for capacity.
    void addWaiter(WaiterId waiter, ModelDemand demand, absl::Time now);
    void removeWaiter(WaiterId waiter);

    /// Assigns free capacity to waiting calls: by rank, and within a rank to the call whose wait ends first. Calls that wait at
    /// peers are part of the same order: the capacity that they will use is left free, so that several nodes do not assign the
    /// same capacity.
    std::vector<Grant> grantCapacity(absl::Time now);

    /// Returns the first calls that wait at this node, in the order in which they get capacity.
    std::vector<WaitingCall> ownWaitingCalls(absl::Time now) const;

    /// Whether \a engine is known under the same start time, which means that it has not restarted, and accepts work.
    bool isReady(const EngineEntry &engine) const;

    /// Whether a call that was placed on \a engine may still be sent to it: it is ready, not ejected because no connection to it
    /// could be established, and has not asked for a back-off.
    bool acceptsCalls(const EngineEntry &engine, absl::Time now) const;

    /// Records what an answer of \a engine has said about the engine. It holds whatever its entry in the store says.
    EngineNoticeResult recordNotice(const EngineEntry &engine, const EngineNotice &notice, absl::Time now);

    /// Whether \a engine has asked this node for a back-off that has not ended.
    bool isBackingOff(const EngineId &engine, absl::Time now) const;

    /// Returns how long it takes until an engine accepts calls again, if all engines that could take a call have asked for a back-off;
    /// nothing if another engine may be called, or there is none.
    std::optional<absl::Duration> backOffOfAllEngines(absl::Time now) const;

    /// Returns since when an answer of \a engine has said that it leaves; nothing if none has.
    std::optional<absl::Time> leavingSince(const EngineEntry &engine) const;

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
    void recordRunProgress(const EngineId &engine, std::uint64_t run, std::int64_t tokens)
    {
        m_loads.recordRunProgress(engine, run, tokens);
    }

    /// Records that a run has ended after \a tokens.
    void recordRunEnded(std::int64_t tokens);

    /// Records the result of an attempt at an engine.
    void recordResult(const EngineId &engine, EngineResult result, absl::Time now);

    /// Records that \a engine has accepted a call.
    void recordAccepted(const EngineId &engine, absl::Time now);

    /// Whether \a engine is known, and not ejected because no connection to it could be established.
    bool isReachable(const EngineId &engine, absl::Time now) const;

    /// Whether \a engine has refused calls repeatedly and accepted none since.
    bool isRefusing(const EngineId &engine) const;

    /// Records that \a units of work took \a duration at an engine.
    void recordCost(const EngineId &engine, double units, absl::Duration duration, absl::Time now);

    /// Records that an attempt at a plain endpoint has failed after \a duration. A fast failure says nothing about the endpoint's speed.
    void recordFailedAttempt(const EngineId &engine, absl::Duration duration, absl::Time now);

    /// Replaces the loads that \a node has placed on the engines of this service, and its calls that wait for capacity there.
    void setPeerLoads(const NodeId &node, const std::vector<EngineLoad> &loads, const std::vector<WaitingCall> &waiting, absl::Time now)
    {
        m_loads.setPeerLoads(node, loads, waiting, now);
        m_waiting.setPeerUsage(node, waiting, now);
    }

    /// Replaces the engines that \a node cannot reach. An engine that at least two peers cannot reach is skipped, unless that
    /// would skip half of the candidates of a stage or more.
    void setPeerUnreachableEngines(const NodeId &node, const std::vector<EngineId> &engines, absl::Time now)
    {
        m_loads.setPeerUnreachableEngines(node, engines, now);
    }

    /// Returns the engines that this node cannot reach at present.
    std::vector<EngineId> unreachableEngines(absl::Time now) const;

    /// Returns the loads that this node has placed.
    std::vector<EngineLoad> ownLoads() const
    {
        return m_loads.own();
    }

    /// Whether a ready engine outside \a excludedEngines exists that has not asked for a back-off.
    bool hasAlternative(const std::vector<EngineId> &excludedEngines, absl::Time now) const;

    /// Whether a ready decode engine outside \a excludedEngines exists that has not asked for a back-off.
    bool hasDecodeAlternative(const std::vector<EngineId> &excludedEngines, absl::Time now) const;

    /// Returns the number of answer tokens in each stream event.
    std::int64_t tokensPerEvent() const
    {
        return m_model ? (*m_model)->tokensPerEvent : 1;
    }

    /// Returns how long an engine keeps the result of a prefill.
    absl::Duration handleLifetime() const
    {
        return m_model ? (*m_model)->handleLifetime : absl::ZeroDuration();
    }

    /// Returns the age of the oldest peer load report in use; zero without peers.
    absl::Duration loadsAge(absl::Time now) const
    {
        return m_loads.loadsAge(now);
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
        UnknownLoad unknownLoad; ///< on a decode engine
    };

    /// An engine with the load that all nodes have placed on it.
    struct Candidate
    {
        const Engine *engine = nullptr;
        EngineLoad load;
        double cost = 0; ///< expected time until the call is served, with penalties, ms
        double memoryFraction = 0; ///< expected peak memory use of a decode engine, the call included, as a fraction of its memory

        const DataCentreName &dataCentre() const
        {
            return engine->entry->dataCentre;
        }
    };

    bool isOffered(const EngineEntry &engine) const;
    bool mayBeTried(const EngineEntry &engine, const std::vector<EngineId> &excludedEngines, absl::Time now) const;
    bool isUsable(const Engine &engine, const std::vector<EngineId> &excludedEngines, absl::Time now) const;
    void removeUnreachable(std::vector<Candidate> &found, absl::Time now) const;
    std::vector<EndpointCandidate> endpointCandidates(const PlainDemand &demand, absl::Time now) const;
    PlainDecision reserveEndpoint(const PlainDecision &decision, absl::Time now);
    std::vector<Candidate> candidates(EngineStage stage, const std::vector<EngineId> &excludedEngines, absl::Time now) const;
    std::vector<Candidate> decodeCandidates(const ModelDemand &demand, absl::Time now) const;
    std::vector<Candidate> prefillCandidates(const ModelDemand &demand, absl::Time now) const;
    double jitter(const EngineEntry &engine, const ModelDemand &demand) const;
    double lowestFailureFraction(EngineStage stage, absl::Time now) const;
    double failurePenalty(const Engine &engine, double lowestFraction, absl::Time now) const;
    absl::Duration expectedCost(EngineStage stage) const;
    double totalMemoryTokens() const;
    double usableMemoryTokens(absl::Time now) const;
    double freeTokens(const EngineId &engine, absl::Time now) const;
    double freeMemoryFraction(absl::Time now) const;
    bool mayUseUrgentReserve(const ModelDemand &demand, absl::Time now) const;
    std::optional<ModelPlacement> choose(const ModelDemand &demand, absl::Time now) const;
    void reserve(ModelPlacement *placement, const ModelDemand &demand);
    std::optional<ModelPlacement> reserveForPeer(const WaitingCall &call, absl::Time now);
    double localPrefillMs(const Candidate &decode, const ModelDemand &demand, absl::Duration expectedTokenTime, absl::Time now) const;
    bool fitsLocalPrefill(const Candidate &decode, const ModelDemand &demand, double prefillMs) const;
    void recordAttempt(const EngineId &engine, absl::Time now);

    std::optional<ModelEngineSpec> m_model;
    std::map<EngineId, Engine> m_engines;
    std::map<EngineId, EngineAvailability> m_availability; ///< by the engines' answers; also of engines that were removed
    EngineLoads m_loads;
    WaitingCalls m_waiting; ///< calls that wait at this node
    std::uint64_t m_lastRunId = 0;
    double m_meanOutputTokens = 0; ///< mean answer length, tokens; 0: not known yet
    std::uint64_t m_plainCalls = 0; ///< calls that placePlain() has placed
    EndpointSelector m_endpoints; ///< for plain calls
};

}
