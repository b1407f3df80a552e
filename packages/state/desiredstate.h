#pragma once

#include "state/immutable.h"
#include "state/name.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace Apricot {

/// How often one attempt of a caller may run.
enum class Repeatability { Idempotent, AtMostOnce };

/// Whether a service answers with one body or with a stream of events.
enum class AnswerShape { Whole, Stream };

/// One of the services that share a route.
struct ServiceShare
{
    ServiceName service;
    std::int64_t weight = 1;

    friend auto operator<=>(const ServiceShare &, const ServiceShare &) = default;
};

struct RouteFields
{
    std::string name;
    std::string host;
    std::string pathPrefix; ///< begins and ends with a slash
    AnswerShape shape = AnswerShape::Whole;
    Repeatability repeatability = Repeatability::AtMostOnce;
    bool resumable = false; ///< a stream may go on at another engine after its last event
    std::int64_t mostAttempts = 1; ///< engines that one attempt of a caller may be sent to
    absl::Duration timeout; ///< longest time until the final answer
    absl::Duration target; ///< time to the answer, or to the first event
    absl::Duration longestPause; ///< between the events of a stream
    std::int64_t rank = 0; ///< 0 is the most urgent
    std::vector<ServiceShare> shares;

    friend auto operator<=>(const RouteFields &, const RouteFields &) = default;
};

/// Which calls go to which services, and under what terms.
using Route = Immutable<RouteFields>;

struct ModelServingFields
{
    std::int64_t slots = 1; ///< requests that one engine runs at once
    std::int64_t memoryTokens = 0; ///< KV memory of one engine, tokens
    std::int64_t tokensPerEvent = 1; ///< of a stream
    absl::Duration handleLife; ///< how long the result of a prefill is kept

    friend auto operator<=>(const ModelServingFields &, const ModelServingFields &) = default;
};

/// What the engines of a model service share.
using ModelServing = Immutable<ModelServingFields>;

struct RoutedServiceFields
{
    ServiceName name;
    std::optional<ModelServing> model; ///< absent: a plain service

    friend auto operator<=>(const RoutedServiceFields &, const RoutedServiceFields &) = default;
};

/// A service that routes lead to.
using RoutedService = Immutable<RoutedServiceFields>;

struct CallerLimitsFields
{
    std::int64_t headerBytes = 16384;
    std::int64_t bodyBytes = 4194304;
    absl::Duration headerTimeout = absl::Seconds(3); ///< for the whole header of a request
    absl::Duration idleTimeout = absl::Seconds(15); ///< of a connection between requests

    friend auto operator<=>(const CallerLimitsFields &, const CallerLimitsFields &) = default;
};

/// What a caller may send and how long it may take.
using CallerLimits = Immutable<CallerLimitsFields>;

struct DesiredStateFields
{
    std::uint64_t version = 0; ///< 0: none was ever learnt
    std::vector<Route> routes;
    std::vector<RoutedService> services;
    CallerLimits limits;

    friend auto operator<=>(const DesiredStateFields &, const DesiredStateFields &) = default;
};

/// One complete configuration of the operator.
using DesiredState = Immutable<DesiredStateFields>;

}
