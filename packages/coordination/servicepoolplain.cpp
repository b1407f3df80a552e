#include "coordination/servicepool.h"

#include <cmath>

// The calls of a ServicePool whose answer is not streamed.

namespace Apricot {

namespace {

/// Step of a sequence whose fractional parts are spread evenly: the golden ratio.
constexpr double randomStep = 0.6180339887;

}

std::vector<EndpointCandidate> ServicePool::endpointCandidates(const PlainDemand &demand, absl::Time now) const
{
    const absl::Duration expected = expectedCost(EngineStage::Plain);
    const double lowestFraction = lowestFailureFraction(EngineStage::Plain, now);
    std::vector<EndpointCandidate> endpoints;
    for (const Candidate &it : candidates(EngineStage::Plain, demand.excludedEngines, now)) {
        endpoints.push_back(EndpointCandidate{it.engine->entry, it.load.requests, it.engine->health.cost(expected, now),
                                              failurePenalty(*it.engine, lowestFraction, now)});
    }
    return endpoints;
}

PlainDecision ServicePool::reserveEndpoint(const PlainDecision &decision, absl::Time now)
{
    if (const auto *placement = std::get_if<PlainPlacement>(&decision)) {
        add(EngineReservation{placement->engine->id, 1, 0, std::nullopt});
        recordAttempt(placement->engine->id, now);
    }
    return decision;
}

PlainDecision ServicePool::placePlainCall(const PlainDemand &demand, absl::Time now)
{
    return reserveEndpoint(m_endpoints.choose(demand, endpointCandidates(demand, now), m_loads, now), now);
}

PlainDecision ServicePool::placeNewPlainCall(const PlainDemand &demand, absl::Time now)
{
    return plainWaiterCount() == 0 ? placePlainCall(demand, now) : m_endpoints.expectedWait(now);
}

std::optional<EngineEntry> ServicePool::placePlain(const DataCentreName &nearTo, const std::vector<EngineId> &excludedEngines,
                                                   absl::Time now)
{
    const PlainDemand demand{nearTo, excludedEngines, 0, std::fmod(static_cast<double>(++m_plainCalls) * randomStep, 1)};
    const PlainDecision decision
        = reserveEndpoint(m_endpoints.chooseEvenIfFull(demand, endpointCandidates(demand, now), m_loads, now), now);
    const auto *placement = std::get_if<PlainPlacement>(&decision);
    return placement ? std::optional(placement->engine) : std::nullopt;
}

std::vector<Grant> ServicePool::grantPlainCalls(absl::Time now)
{
    std::vector<Grant> grants;
    bool isFull = false;
    m_endpoints.queue().grantEach([&](WaiterId waiter, const PlainDemand &demand) {
        if (isFull) {
            return false;
        }
        const PlainDecision decision = placePlainCall(demand, now);
        const auto *placement = std::get_if<PlainPlacement>(&decision);
        // A call that excludes endpoints may wait for other ones than those behind it.
        isFull = placement == nullptr && demand.excludedEngines.empty();
        if (placement != nullptr) {
            const EngineReservation reservation{placement->engine->id, 1, 0, std::nullopt};
            grants.push_back(Grant{waiter, ModelPlacement{placement->engine, std::nullopt, {reservation}, {}, placement->requestsAhead}});
        }
        return placement != nullptr;
    });
    return grants;
}

void ServicePool::recordPlainAnswer(const PlainPlacement &placement, absl::Duration duration, absl::Time now)
{
    recordResult(placement.engine->id, EngineResult::Succeeded, now);
    const auto it = m_engines.find(placement.engine->id);
    if (it != m_engines.end()) {
        it->second.health.recordCost(1, duration, now);
        m_endpoints.recordAnswer(placement, duration, now);
    }
}

void ServicePool::recordPlainRefusal(const PlainPlacement &placement, absl::Time now)
{
    if (!m_endpoints.usesLimits()) {
        recordResult(placement.engine->id, EngineResult::Refused, now);
    } else if (m_engines.contains(placement.engine->id)) {
        m_endpoints.recordRefusal(placement, now);
    }
}

}
