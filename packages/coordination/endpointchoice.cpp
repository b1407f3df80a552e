#include "coordination/endpointchoice.h"

#include "state/overloaded.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace Apricot {

namespace {

/// Fraction of the slots of the cheapest endpoint up to which it is chosen without a random part.
constexpr double lowLoadFraction = 0.5;

/// Expected time, as a multiple of the lowest one, up to which an endpoint takes part in a random choice.
constexpr double maxTimeFactor = 4;

/// Assumed number of unfinished calls, as a multiple of the slots, at which an endpoint that has refused none is full.
constexpr double assumedLimitInSlots = 2;

double slotCount(const EndpointFacts &endpoint)
{
    return static_cast<double>(std::max<std::int64_t>(1, endpoint.slots));
}

double costMs(const EndpointFacts &endpoint)
{
    const double callMs = absl::ToDoubleMilliseconds(endpoint.callTime);
    return (callMs * (1 + endpoint.requests / slotCount(endpoint)) + absl::ToDoubleMilliseconds(endpoint.networkTime)) * endpoint.penalty;
}

bool hasRoom(const EndpointFacts &endpoint)
{
    return !endpoint.isFull && endpoint.requests < endpoint.limit;
}

/// Returns the first endpoint of lowest cost among \a indices, from \a rotation on.
std::size_t cheapest(const std::vector<EndpointFacts> &endpoints, const std::vector<std::size_t> &indices, std::size_t rotation)
{
    std::size_t best = indices[rotation % indices.size()];
    for (std::size_t i = 0; i < indices.size(); ++i) {
        const std::size_t candidate = indices[(rotation + i) % indices.size()];
        if (costMs(endpoints[candidate]) < costMs(endpoints[best])) {
            best = candidate;
        }
    }
    return best;
}

/// Returns an index that is drawn with the probabilities \a weights; \a random is in [0, 1).
std::size_t draw(const std::vector<double> &weights, double random)
{
    double left = random * std::accumulate(weights.begin(), weights.end(), 0.0);
    std::size_t last = 0;
    for (std::size_t i = 0; i < weights.size(); ++i) {
        if (weights[i] <= 0) {
            continue;
        }
        last = i;
        left -= weights[i];
        if (left < 0) {
            break;
        }
    }
    return last;
}

/// Returns the calls per ms that the free places of \a endpoint can take.
double freeCapacity(const EndpointFacts &endpoint)
{
    const double places = std::min(endpoint.limit, assumedLimitInSlots * slotCount(endpoint));
    const double free = std::max(places - endpoint.requests, 0.1);
    return free / (std::max(0.01, absl::ToDoubleMilliseconds(endpoint.callTime)) * endpoint.penalty);
}

std::size_t drawByFreeCapacity(const std::vector<EndpointFacts> &endpoints, const std::vector<std::size_t> &indices, double random)
{
    std::vector<double> weights;
    weights.reserve(indices.size());
    for (const std::size_t it : indices) {
        weights.push_back(freeCapacity(endpoints[it]));
    }
    return indices[draw(weights, random)];
}

std::size_t drawTwo(const std::vector<EndpointFacts> &endpoints, const std::vector<std::size_t> &indices, double random)
{
    std::vector<double> weights;
    weights.reserve(indices.size());
    for (const std::size_t it : indices) {
        weights.push_back(speed(endpoints[it]));
    }
    // The second number is independent enough of the first one for this purpose.
    const double second = std::fmod(random * 8191.0, 1.0);
    const std::size_t a = indices[draw(weights, random)];
    const std::size_t b = indices[draw(weights, second)];
    return costMs(endpoints[b]) < costMs(endpoints[a]) ? b : a;
}

/// Draws one of the endpoints with room, by \a drawOne, unless the cheapest one is lightly loaded.
template<class Draw>
std::optional<std::size_t> chooseWithRoom(const std::vector<EndpointFacts> &endpoints, const ChoiceSeed &seed, Draw &&drawOne)
{
    std::vector<std::size_t> withRoom;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        if (hasRoom(endpoints[i])) {
            withRoom.push_back(i);
        }
    }
    if (withRoom.empty()) {
        return std::nullopt;
    }
    for (const std::size_t it : withRoom) {
        if (endpoints[it].isOutdated && endpoints[it].requests < slotCount(endpoints[it])) {
            return it;
        }
    }
    const std::size_t best = cheapest(endpoints, withRoom, seed.rotation);
    if (endpoints[best].requests < lowLoadFraction * slotCount(endpoints[best])) {
        return best;
    }
    const double maxMs = maxTimeFactor * costMs(endpoints[best]);
    std::erase_if(withRoom, [&](std::size_t it) { return costMs(endpoints[it]) > maxMs; });
    return drawOne(endpoints, withRoom, seed.random);
}

}

double speed(const EndpointFacts &endpoint)
{
    return slotCount(endpoint) / (std::max(0.01, absl::ToDoubleMilliseconds(endpoint.callTime)) * endpoint.penalty);
}

double totalSpeed(const std::vector<EndpointFacts> &endpoints)
{
    return std::accumulate(endpoints.begin(), endpoints.end(), 0.0, [](double sum, const EndpointFacts &it) { return sum + speed(it); });
}

std::optional<std::size_t> chooseEndpoint(const EndpointPolicy &policy, const std::vector<EndpointFacts> &endpoints, const ChoiceSeed &seed)
{
    if (endpoints.empty()) {
        return std::nullopt;
    }
    return std::visit(Overloaded{
                          [&](const CheapestEndpoint &) -> std::optional<std::size_t> {
                              std::vector<std::size_t> all(endpoints.size());
                              std::iota(all.begin(), all.end(), std::size_t{0});
                              return cheapest(endpoints, all, seed.rotation);
                          },
                          [&](const FreeCapacityShare &) { return chooseWithRoom(endpoints, seed, drawByFreeCapacity); },
                          [&](const TwoChoices &) { return chooseWithRoom(endpoints, seed, drawTwo); },
                      },
                      policy);
}

}
