#pragma once

#include "state/immutable.h"
#include "state/name.h"
#include "state/routedworkspace.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/// Whether the work of one request may run more than once.
enum class Repeatability { Idempotent, AtMostOnce };

/// Whether a service responds with one complete body or with a stream of events.
enum class ResponseMode { Whole, Stream };

/// One target service of a route and its weight.
struct WeightedService
{
    ServiceName service;
    std::int64_t weight = 1;

    friend auto operator<=>(const WeightedService &, const WeightedService &) = default;
};

struct RouteFields
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    ResponseMode responseMode = ResponseMode::Whole;
    Repeatability repeatability = Repeatability::AtMostOnce;
    bool resumable = false; ///< a stream may continue on another engine after its last event
    std::int64_t maxAttempts = 1; ///< maximum number of engines that one request is sent to
    absl::Duration timeout; ///< maximum time until the response is complete
    absl::Duration targetLatency; ///< target time to the response, or to the first event of a stream
    absl::Duration maxEventGap; ///< maximum time between two events of a stream
    std::int64_t rank = 0; ///< 0 is the most urgent
    std::vector<WeightedService> services;
    bool anonymous = false; ///< requests need no key, also where the desired state has workspaces

    friend auto operator<=>(const RouteFields &, const RouteFields &) = default;
};

/// Matches calls by host and path, and defines their services, limits and latency targets.
using Route = Immutable<RouteFields>;

struct ModelEngineSpecFields
{
    std::int64_t slots = 1; ///< requests that one engine runs concurrently
    std::int64_t kvCapacityTokens = 0; ///< KV cache capacity of one engine, tokens
    std::int64_t tokensPerEvent = 1; ///< tokens that one event of a stream carries
    absl::Duration handleLifetime; ///< how long an engine keeps the result of a prefill

    friend auto operator<=>(const ModelEngineSpecFields &, const ModelEngineSpecFields &) = default;
};

/// Properties that all engines of a model service have in common.
using ModelEngineSpec = Immutable<ModelEngineSpecFields>;

struct RoutedServiceFields
{
    ServiceName name;
    std::optional<ModelEngineSpec> model; ///< absent for a plain service

    friend auto operator<=>(const RoutedServiceFields &, const RoutedServiceFields &) = default;
};

/// A service that routes can target.
using RoutedService = Immutable<RoutedServiceFields>;

struct CallerLimitsFields
{
    std::int64_t headerBytes = 16384;
    std::int64_t bodyBytes = 4194304;
    absl::Duration headerTimeout = absl::Seconds(3); ///< maximum time to receive the complete request header
    absl::Duration idleTimeout = absl::Seconds(15); ///< maximum idle time of a connection between two requests

    friend auto operator<=>(const CallerLimitsFields &, const CallerLimitsFields &) = default;
};

/// Size and time limits for requests of callers.
using CallerLimits = Immutable<CallerLimitsFields>;

struct DesiredStateFields
{
    std::uint64_t version = 0; ///< 0 if no configuration was received yet
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    CallerLimits limits;
    bool requiresKeys = false; ///< requests need the key of a workspace, unless their route is anonymous
    std::vector<RoutedWorkspace> workspaces;

    friend auto operator<=>(const DesiredStateFields &, const DesiredStateFields &) = default;
};

/// One complete configuration as published by the operator.
using DesiredState = Immutable<DesiredStateFields>;

}
