#pragma once

#include "state/desiredstate.h"
#include "state/routedcall.h"

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>

namespace Apricot {

/// What a call is decided by, from its arrival on.
struct CallFacts
{
    RoutedCall call;
    Route route;
    ServiceName service;
    std::uint64_t desiredVersion = 0;
    absl::Time arrival;
    bool isLate = false; ///< the caller has spent so much of its time already that the target has passed

    /// When the caller must have its final answer.
    absl::Time deadline() const
    {
        return arrival + std::min(route->timeout, call->timeLeft.value_or(absl::InfiniteDuration()));
    }

    friend bool operator==(const CallFacts &, const CallFacts &) = default;
};

}
