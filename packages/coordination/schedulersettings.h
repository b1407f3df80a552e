#pragma once

#include "coordination/policy.h"
#include "state/configobjects.h"

#include <absl/time/time.h>

#include <map>
#include <vector>

namespace Apricot {

/// Settings of a slice owner.
struct SchedulerSettings
{
    Pool prefillPool;
    Pool decodePool;
    std::vector<Endpoint> prefillEndpoints;
    std::vector<Endpoint> decodeEndpoints;
    std::vector<Rank> ranks;
    std::map<WorkspaceName, double> weights; ///< workspaces that are not listed have weight 1
    Policy policy;
    absl::Time startedAt = absl::InfinitePast(); ///< when this node became the owner
    bool conservativeStart = false; ///< reservations of an earlier owner may exist that are not known yet
};

/// Timeouts and intervals of the slice owner.
struct SchedulerTimings
{
    /// Interval at which coordinators renew their reservations.
    static constexpr absl::Duration renewalInterval = absl::Milliseconds(500);

    /// A reservation that is not renewed for this long is released.
    static constexpr absl::Duration reservationTimeout = absl::Milliseconds(2000);

    /// Time for which a new owner counts the usage that engines report as taken.
    static constexpr absl::Duration conservativeStartPeriod = absl::Milliseconds(1000);

    /// Engine memory that belongs to no known request is freed after this time.
    static constexpr absl::Duration orphanGracePeriod = absl::Milliseconds(1500);

    /// A prefill engine gets its next request this long before the current one is expected to finish.
    static constexpr absl::Duration prefillLookahead = absl::Milliseconds(25);

    /// Maximum planned time that a finished prefill waits for a slot.
    static constexpr absl::Duration maxSlotWait = absl::Milliseconds(120);

    /// Safety margin added to the predicted time of the first token.
    static constexpr absl::Duration predictionMargin = absl::Milliseconds(60);

    /// The KV transfer of a result must start at least this long before the result expires.
    static constexpr absl::Duration transferMargin = absl::Milliseconds(100);

    /// Maximum time that a request whose first token was already sent waits for new engines.
    static constexpr absl::Duration maxResumeWait = absl::Seconds(10);
};

}
