#pragma once

#include "coordination/policy.h"
#include "state/configobjects.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace Apricot {

/// All that the owner of a slice takes from the configuration.
struct SchedulerSettings
{
    Pool prefillPool;
    Pool decodePool;
    std::vector<Endpoint> prefillEndpoints;
    std::vector<Endpoint> decodeEndpoints;
    std::vector<Rank> ranks;
    std::map<WorkspaceName, double> weights; ///< workspaces that are not listed weigh 1
    Policy policy;
    absl::Time startedAt = absl::InfinitePast(); ///< when this node became the owner
    bool careful = false; ///< an earlier owner may have left reservations that are not known yet
};

/// Durations that the owner keeps to.
struct SchedulerTimes
{
    /// Coordinators renew what they hold this often.
    static constexpr absl::Duration renewalInterval = absl::Milliseconds(500);

    /// A reservation that nobody renews for this long is given up.
    static constexpr absl::Duration reservationLease = absl::Milliseconds(2000);

    /// A new owner counts what engines report as taken for this long.
    static constexpr absl::Duration carefulStart = absl::Milliseconds(1000);

    /// Memory on an engine that nobody knows is cancelled after this long.
    static constexpr absl::Duration orphanGrace = absl::Milliseconds(1500);

    /// A prefill engine gets its next request when it is this near to its end.
    static constexpr absl::Duration prefillLookahead = absl::Milliseconds(25);

    /// Longest planned wait of a finished prefill for a slot.
    static constexpr absl::Duration slotSlack = absl::Milliseconds(120);

    /// Safety margin of a predicted first token.
    static constexpr absl::Duration predictionMargin = absl::Milliseconds(60);

    /// The take-over of a result has to start this long before the result expires.
    static constexpr absl::Duration takeoverMargin = absl::Milliseconds(100);

    /// A request whose first token was sent waits at most this long for a new place.
    static constexpr absl::Duration resumeLimit = absl::Seconds(10);
};

}
