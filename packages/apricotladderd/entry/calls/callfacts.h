#pragma once

#include "state/desiredstate.h"
#include "state/routedcall.h"
#include "state/routedworkspace.h"

#include <absl/time/time.h>

#include <algorithm>
#include <cstdint>
#include <optional>

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

    std::int64_t rank = 0; ///< of the workspace, or else of the route; 0 is the most urgent
    std::optional<RoutedWorkspace> workspace; ///< absent if the call needs no key
    bool requiresKeys = false; ///< the desired state has workspaces, so the engines must not get keys

    /// Name of the workspace; empty if there is none.
    WorkspaceName workspaceName() const
    {
        return workspace ? (*workspace)->name : WorkspaceName();
    }

    /// When the caller must have its final answer.
    absl::Time deadline() const
    {
        return arrival + std::min(route->timeout, call->timeLeft.value_or(absl::InfiniteDuration()));
    }

    friend bool operator==(const CallFacts &, const CallFacts &) = default;
};

}
