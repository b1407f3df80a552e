#pragma once

#include "coordination/decayingrate.h"
#include "coordination/endpointchoice.h"
#include "coordination/endpointestimate.h"
#include "coordination/endpointqueue.h"
#include "coordination/engineloads.h"
#include "state/engineentry.h"

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace Apricot {

/// Where a plain call is sent.
struct PlainPlacement
{
    EngineEntry engine;
    double requestsAhead = 0; ///< expected number of unfinished requests there before this one

    friend bool operator==(const PlainPlacement &, const PlainPlacement &) = default;
};

/// No endpoint may be called.
struct NoEndpoint
{
    friend bool operator==(const NoEndpoint &, const NoEndpoint &) = default;
};

/// All endpoints that may be called would probably refuse the call, because they are full.
struct EndpointsFull
{
    absl::Duration expectedWait; ///< until one accepts another call of this node

    friend bool operator==(const EndpointsFull &, const EndpointsFull &) = default;
};

/// The decision about a plain call.
using PlainDecision = std::variant<PlainPlacement, EndpointsFull, NoEndpoint>;

/// An endpoint that may be called, with what is known outside the selector.
struct EndpointCandidate
{
    EngineEntry entry;
    std::int64_t requests = 0; ///< unfinished requests of all nodes, as last reported
    absl::Duration callTime; ///< expected time of a call for CheapestEndpoint, which returns to the lowest one without new answers
    double penalty = 1; ///< factor on the cost, above 1 for an endpoint whose calls fail

    friend bool operator==(const EndpointCandidate &, const EndpointCandidate &) = default;
};

/**
 * \class EndpointSelector
 * \brief Chooses the endpoints of one service's plain calls at one node: learns their speeds and limits, and queues calls that find no
 * room.
 */
class EndpointSelector
{
public:
    void setPolicy(const EndpointPolicy &policy)
    {
        m_policy = policy;
    }

    /// Whether the policy handles refusals itself, with the limits that it learns.
    bool usesLimits() const
    {
        return !std::holds_alternative<CheapestEndpoint>(m_policy);
    }

    /// Decides where a call is sent.
    PlainDecision choose(const PlainDemand &demand, const std::vector<EndpointCandidate> &candidates, const EngineLoads &loads,
                         absl::Time now);

    /// Like choose(), but returns the endpoint with the lowest expected time if all are full.
    PlainDecision chooseEvenIfFull(const PlainDemand &demand, const std::vector<EndpointCandidate> &candidates, const EngineLoads &loads,
                                   absl::Time now);

    /// Returns the decision for a call that finds others waiting.
    EndpointsFull expectedWait(absl::Time now) const;

    /// Removes what was learnt about \a engine.
    void forget(const EngineId &engine)
    {
        m_estimates.erase(engine);
    }

    /// Records that a call is sent to \a engine.
    void recordAttempt(const EngineId &engine, absl::Time now)
    {
        m_estimates[engine].recordAttempt(now);
    }

    /// Records that a call took \a duration at \a engine, without a wait for a slot.
    void recordCallTime(const EngineEntry &engine, absl::Duration duration, absl::Time now)
    {
        m_estimates[engine->id].recordCallTime(duration, 0, engine->slots, now);
    }

    /// Records that \a placement was answered after \a duration.
    void recordAnswer(const PlainPlacement &placement, absl::Duration duration, absl::Time now);

    /// Records that the endpoint of \a placement has refused the call.
    void recordRefusal(const PlainPlacement &placement, absl::Time now);

    EndpointQueue &queue()
    {
        return m_queue;
    }

    const EndpointQueue &queue() const
    {
        return m_queue;
    }

private:
    std::vector<EndpointFacts> endpointFacts(const std::vector<EndpointCandidate> &candidates, const PlainDemand &demand,
                                             const EngineLoads &loads, absl::Time now) const;
    EndpointFacts factsOf(const EndpointCandidate &candidate, const PlainDemand &demand, absl::Duration expected, absl::Time now) const;
    void extrapolateLoads(const std::vector<EndpointCandidate> &candidates, const EngineLoads &loads, absl::Time now,
                          std::vector<EndpointFacts> *endpoints) const;
    double recentlyPlaced(const EngineId &engine, absl::Time now) const;
    absl::Duration shortestCallTime() const;

    /// Time constant of the rate of answers.
    static constexpr absl::Duration answerTimeConstant = absl::Seconds(1);

    EndpointPolicy m_policy = FreeCapacityShare{};
    std::map<EngineId, EndpointEstimate> m_estimates;
    EndpointQueue m_queue;
    DecayingRate m_answers{answerTimeConstant}; ///< recent answers to this node
    std::size_t m_rotation = 0;
    int m_callsSinceTrial = 0; ///< calls since the last one that was sent to an endpoint to learn its speed again
};

}
