#pragma once

#include "state/desiredstate.h"
#include "state/routedcall.h"

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>

namespace Apricot {

/// The data that all decisions about a call use, fixed when it arrives.
struct CallFacts
{
    RoutedCall call;
    Route route;
    ServiceName service;
    std::uint64_t desiredVersion = 0;
    absl::Time arrival;
    bool isLate = false; ///< the caller has already spent so much of its time that the target latency has passed

    /// When the caller must have its final answer.
    absl::Time deadline() const
    {
        return arrival + std::min(route->timeout, call->timeLeft.value_or(absl::InfiniteDuration()));
    }

    friend bool operator==(const CallFacts &, const CallFacts &) = default;
};

}
