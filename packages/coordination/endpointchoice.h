#pragma once

#include <absl/time/time.h>

#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <variant>
#include <vector>

namespace Apricot {

/// What a node knows about a plain endpoint when it places a call.
struct EndpointFacts
{
    std::int64_t slots = 1; ///< calls that it runs concurrently
    double requests = 0; ///< expected number of calls of all nodes that are not finished
    absl::Duration callTime; ///< expected duration of a call, without waiting for a slot
    absl::Duration networkTime; ///< additional time of the round trip to the endpoint
    double penalty = 1; ///< factor on the cost, above 1 for an endpoint whose calls fail
    double limit = std::numeric_limits<double>::infinity(); ///< number of unfinished calls at which it probably refuses another one
    bool isFull = false; ///< it has just refused a call
    bool isOutdated = false; ///< it has not been used for so long that its speed may have changed

    friend bool operator==(const EndpointFacts &, const EndpointFacts &) = default;
};

/// Always the endpoint with the lowest expected time, from the loads as last reported. A baseline to compare the others with.
struct CheapestEndpoint
{
    friend bool operator==(const CheapestEndpoint &, const CheapestEndpoint &) = default;
};

/// The cheapest endpoint while its requests are below half of its slots. Otherwise a random one of those that are good enough, in
/// proportion to its free capacity, so that nodes with the same old data do not all choose the same endpoint.
struct FreeCapacityShare
{
    friend bool operator==(const FreeCapacityShare &, const FreeCapacityShare &) = default;
};

/// Like FreeCapacityShare, but the cheaper one of two endpoints that are drawn in proportion to their speed.
struct TwoChoices
{
    friend bool operator==(const TwoChoices &, const TwoChoices &) = default;
};

/// How a node chooses the endpoint of a plain call.
using EndpointPolicy = std::variant<CheapestEndpoint, FreeCapacityShare, TwoChoices>;

/// Inputs of one choice that make nodes and successive calls differ.
struct ChoiceSeed
{
    std::size_t rotation = 0; ///< spreads calls over endpoints of equal cost
    double random = 0; ///< in [0, 1)
};

/// Returns the calls per ms that \a endpoint completes if all its slots are in use.
double speed(const EndpointFacts &endpoint);

/// Returns the calls per ms that all \a endpoints complete together if all their slots are in use.
double totalSpeed(const std::vector<EndpointFacts> &endpoints);

/// Returns the index of the endpoint for a call; nothing if there is none, or if \a policy expects each one to refuse the call.
std::optional<std::size_t> chooseEndpoint(const EndpointPolicy &policy, const std::vector<EndpointFacts> &endpoints,
                                          const ChoiceSeed &seed);

}
