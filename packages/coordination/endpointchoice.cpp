#include "coordination/endpointchoice.h"

#include <algorithm>

namespace Apricot {

namespace {

double costMs(const EndpointFacts &endpoint)
{
    const double queuedPerSlot = static_cast<double>(endpoint.requests) / static_cast<double>(std::max<std::int64_t>(1, endpoint.slots));
    const double callMs = absl::ToDoubleMilliseconds(endpoint.callTime);
    return (callMs * (1 + queuedPerSlot) + absl::ToDoubleMilliseconds(endpoint.networkTime)) * endpoint.penalty;
}

}

std::optional<std::size_t> cheapestEndpoint(const std::vector<EndpointFacts> &endpoints, std::size_t rotation)
{
    std::optional<std::size_t> cheapest;
    double lowestMs = 0;
    for (std::size_t i = 0; i < endpoints.size(); ++i) {
        const std::size_t candidate = (rotation + i) % endpoints.size();
        const double ms = costMs(endpoints[candidate]);
        if (!cheapest || ms < lowestMs) {
            cheapest = candidate;
            lowestMs = ms;
        }
    }
    return cheapest;
}

}
