#pragma once

#include "state/configobjects.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace Apricot {

/// Utilization of the engines of one pool.
struct PoolUtilization
{
    std::int64_t engines = 0; ///< number of engines that accept work
    double utilization = 0; ///< fraction of their slots or prefill time in use, 0 to 1
};

/// Proposal that one engine changes its role.
struct RoleProposal
{
    PoolRole from = PoolRole::Prefill;
    PoolRole to = PoolRole::Decode;

    friend bool operator==(const RoleProposal &, const RoleProposal &) = default;
};

/**
 * \class RoleBalancer
 * \brief Proposes role changes for the engines of one service, based on measured utilization.
 *
 * An imbalance must persist before a change is proposed. Measurements during a change and for a settling time after it are
 * ignored, so that the next proposal is based on the effect of the change.
 */
class RoleBalancer
{
public:
    /// A pool at or above this utilization (a fraction) needs more engines.
    static constexpr double shortageThreshold = 0.85;
    /// A pool at or below this utilization (a fraction) can give up an engine.
    static constexpr double surplusThreshold = 0.50;

    /// Time for which an imbalance must persist before a change is proposed.
    static constexpr absl::Duration minNeedDuration = absl::Seconds(30);
    /// Time after a change in which measurements are ignored.
    static constexpr absl::Duration cooldown = absl::Seconds(60);

    /// Processes one measurement. Returns a proposal if the imbalance has persisted long enough.
    std::optional<RoleProposal> observe(const PoolUtilization &prefill, const PoolUtilization &decode, bool changeUnderWay, absl::Time now);

private:
    static std::optional<RoleProposal> neededChange(const PoolUtilization &prefill, const PoolUtilization &decode);

    std::optional<RoleProposal> m_need;
    absl::Time m_since = absl::InfiniteFuture();
    absl::Time m_cooldownUntil = absl::InfinitePast();
};

}
