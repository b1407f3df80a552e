#pragma once

#include "protocol/jsonreader.h"

#include <absl/time/time.h>

#include <cstdint>
#include <string>
#include <variant>

namespace Apricot {

/// Adds one more route that stays.
struct AddRoute
{
    friend bool operator==(const AddRoute &, const AddRoute &) = default;
};

/// Removes the recurring route, or adds it again.
struct ToggleRecurringRoute
{
    friend bool operator==(const ToggleRecurringRoute &, const ToggleRecurringRoute &) = default;
};

/// Sends the fraction \a secondWeight / 4 of each route's calls to the second service of its kind: 0 and 4 move the route, others split it.
struct ShiftRoutes
{
    int secondWeight = 0;
    friend bool operator==(const ShiftRoutes &, const ShiftRoutes &) = default;
};

struct ChangeTimeouts
{
    absl::Duration timeout;
    friend bool operator==(const ChangeTimeouts &, const ChangeTimeouts &) = default;
};

struct ChangeIdleTimeout
{
    absl::Duration idleTimeout;
    friend bool operator==(const ChangeIdleTimeout &, const ChangeIdleTimeout &) = default;
};

struct ChangeSizeLimits
{
    std::int64_t headerBytes = 0;
    std::int64_t bodyBytes = 0;
    friend bool operator==(const ChangeSizeLimits &, const ChangeSizeLimits &) = default;
};

/// One change of the desired state.
using DesiredChange = std::variant<AddRoute, ToggleRecurringRoute, ShiftRoutes, ChangeTimeouts, ChangeIdleTimeout, ChangeSizeLimits>;

/// Total of the weights of a route's services.
inline constexpr int totalRouteWeight = 4;

/// Shortest timeout of a route that a change sets.
inline constexpr absl::Duration shortestRouteTimeout = absl::Seconds(6);

/// Lowest limit of a request's body that a change sets, in bytes.
inline constexpr std::int64_t smallestBodyLimit = 2000;

/// The parts of the desired state that changes affect.
struct SoakDesiredState
{
    int changes = 0; ///< number of changes so far, which gives the version
    int addedRoutes = 0;
    bool hasRecurringRoute = false;
    int secondWeight = 0;
    absl::Duration timeout = absl::Seconds(10);
    absl::Duration idleTimeout = absl::Seconds(20);
    std::int64_t headerBytes = 16384;
    std::int64_t bodyBytes = 100000;

    friend bool operator==(const SoakDesiredState &, const SoakDesiredState &) = default;
};

/// Returns the desired state after \a change.
SoakDesiredState withChange(SoakDesiredState state, const DesiredChange &change);

/// Returns the desired state as the operator writes it. \a slots is the number of slots of each model engine.
Json encodeDesiredState(const SoakDesiredState &state, int slots);

/// Returns the path prefix of the added route \a number.
std::string addedRoutePrefix(int number);

/// Path prefix of the route that is removed and added again.
inline constexpr const char *recurringRoutePrefix = "/recurring/";

/// Returns a description of a change for the run's steps file.
std::string describeChange(const DesiredChange &change);

}
