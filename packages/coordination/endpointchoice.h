#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace Apricot {

/// What a node knows about a plain endpoint when it places a call.
struct EndpointFacts
{
    std::int64_t slots = 1; ///< calls that it runs concurrently
    std::int64_t requests = 0; ///< calls of all nodes that are not finished, as far as known
    absl::Duration callTime; ///< expected duration of a call, without waiting for a slot
    absl::Duration networkTime; ///< additional time of the round trip to the endpoint
    double penalty = 1; ///< factor on the cost, above 1 for an endpoint whose calls fail

    friend bool operator==(const EndpointFacts &, const EndpointFacts &) = default;
};

/// Returns the index of the endpoint with the lowest expected time for a call; nothing if there is none. Among equal ones, it is the
/// first from \a rotation on, which spreads calls over endpoints of equal cost.
std::optional<std::size_t> cheapestEndpoint(const std::vector<EndpointFacts> &endpoints, std::size_t rotation);

}
