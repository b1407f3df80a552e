#include "coordination/endpointselector.h"

#include <algorithm>

namespace Apricot {

namespace {

/// Estimated duration of a call before any has been measured.
constexpr absl::Duration initialCallTime = absl::Milliseconds(20);

/// Time of a network round trip to another data centre.
constexpr absl::Duration otherDataCentreRoundTrip = absl::Milliseconds(2);

/// Number of calls between two that are sent to an endpoint only to learn its speed again.
constexpr int minCallsBetweenTrials = 20;

}

PlainDecision EndpointSelector::choose(const PlainDemand &demand, const std::vector<EndpointCandidate> &candidates,
                                       const EngineLoads &loads, absl::Time now)
{
    if (candidates.empty()) {
        return NoEndpoint{};
    }
    const std::vector<EndpointFacts> endpoints = endpointFacts(candidates, demand, loads, now);
    const std::optional<std::size_t> index = chooseEndpoint(m_policy, endpoints, ChoiceSeed{++m_rotation, demand.random});
    if (!index) {
        return expectedWait(now);
    }
    m_callsSinceTrial = endpoints[*index].isOutdated ? 0 : m_callsSinceTrial + 1;
    return PlainPlacement{candidates[*index].entry, endpoints[*index].requests};
}

PlainDecision EndpointSelector::chooseEvenIfFull(const PlainDemand &demand, const std::vector<EndpointCandidate> &candidates,
                                                 const EngineLoads &loads, absl::Time now)
{
    PlainDecision decision = choose(demand, candidates, loads, now);
    if (!std::holds_alternative<EndpointsFull>(decision)) {
        return decision;
    }
    const std::vector<EndpointFacts> endpoints = endpointFacts(candidates, demand, loads, now);
    const std::size_t index = chooseEndpoint(CheapestEndpoint{}, endpoints, ChoiceSeed{m_rotation, demand.random}).value_or(0);
    return PlainPlacement{candidates[index].entry, endpoints[index].requests};
}

EndpointsFull EndpointSelector::expectedWait(absl::Time now) const
{
    const double answersPerSecond = m_answers.perSecond(now);
    const auto ahead = static_cast<double>(1 + m_queue.size());
    return EndpointsFull{answersPerSecond > 0 ? absl::Seconds(ahead / answersPerSecond) : shortestCallTime()};
}

void EndpointSelector::recordAnswer(const PlainPlacement &placement, absl::Duration duration, absl::Time now)
{
    m_answers.add(1, now);
    EndpointEstimate &estimate = m_estimates[placement.engine->id];
    estimate.recordCallTime(duration, placement.requestsAhead, placement.engine->slots, now);
    estimate.recordAccepted(placement.requestsAhead);
}

void EndpointSelector::recordRefusal(const PlainPlacement &placement, absl::Time now)
{
    m_estimates[placement.engine->id].recordRefused(placement.requestsAhead, placement.engine->slots, now);
}

std::vector<EndpointFacts> EndpointSelector::endpointFacts(const std::vector<EndpointCandidate> &candidates, const PlainDemand &demand,
                                                           const EngineLoads &loads, absl::Time now) const
{
    const absl::Duration expected = shortestCallTime();
    std::vector<EndpointFacts> endpoints;
    endpoints.reserve(candidates.size());
    for (const EndpointCandidate &it : candidates) {
        endpoints.push_back(factsOf(it, demand, expected, now));
    }
    if (usesLimits()) {
        extrapolateLoads(candidates, loads, now, &endpoints);
    }
    return endpoints;
}

EndpointFacts EndpointSelector::factsOf(const EndpointCandidate &candidate, const PlainDemand &demand, absl::Duration expected,
                                        absl::Time now) const
{
    EndpointFacts facts;
    facts.slots = std::max<std::int64_t>(1, candidate.entry->slots);
    facts.requests = static_cast<double>(candidate.requests);
    facts.callTime = usesLimits() ? expected : candidate.callTime;
    facts.networkTime = candidate.entry->dataCentre == demand.nearTo ? absl::ZeroDuration() : otherDataCentreRoundTrip;
    facts.penalty = candidate.penalty;
    const auto it = m_estimates.find(candidate.entry->id);
    if (usesLimits() && it != m_estimates.end()) {
        facts.callTime = it->second.callTime().value_or(expected);
        facts.limit = it->second.limit(facts.slots, now);
        facts.isFull = it->second.isFull(now);
        facts.isOutdated = m_callsSinceTrial >= minCallsBetweenTrials && it->second.isOutdated(now);
    }
    return facts;
}

void EndpointSelector::extrapolateLoads(const std::vector<EndpointCandidate> &candidates, const EngineLoads &loads, absl::Time now,
                                        std::vector<EndpointFacts> *endpoints) const
{
    // The other nodes use the same policy on about the same data, so this node's own placements show how the peers' are divided.
    std::vector<RequestFlow> flows;
    const double allSpeed = totalSpeed(*endpoints);
    double totalPlaced = 0;
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        const EndpointFacts &facts = (*endpoints)[i];
        const double placed = speed(facts) / allSpeed + recentlyPlaced(candidates[i].entry->id, now);
        const double callsPerSlot = facts.requests / static_cast<double>(facts.slots);
        flows.push_back(RequestFlow{placed, facts.callTime * std::max(1.0, callsPerSlot), absl::ZeroDuration()});
        totalPlaced += placed;
    }
    absl::Duration meanSojourn;
    for (RequestFlow &it : flows) {
        it.share /= totalPlaced;
        meanSojourn += it.sojourn * it.share;
    }
    for (std::size_t i = 0; i < candidates.size(); ++i) {
        flows[i].meanSojourn = meanSojourn;
        (*endpoints)[i].requests = loads.expectedRequests(candidates[i].entry->id, flows[i], now);
    }
}

double EndpointSelector::recentlyPlaced(const EngineId &engine, absl::Time now) const
{
    const auto it = m_estimates.find(engine);
    return it == m_estimates.end() ? 0 : it->second.recentlyPlaced(now);
}

absl::Duration EndpointSelector::shortestCallTime() const
{
    std::optional<absl::Duration> shortest;
    for (const auto &entry : m_estimates) {
        const std::optional<absl::Duration> callTime = entry.second.callTime();
        if (callTime && (!shortest || *callTime < *shortest)) {
            shortest = callTime;
        }
    }
    return shortest.value_or(initialCallTime);
}

}
