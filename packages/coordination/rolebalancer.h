#pragma once

#include "state/configobjects.h"

#include <absl/time/time.h>

#include <cstdint>
#include <optional>

namespace Apricot {

/// How busy the engines of one pool are.
struct PoolUse
{
    std::int64_t engines = 0; ///< that take work
    double busy = 0; ///< part of their slots (or prefill time) in use, 0 to 1
};

/// An engine of one role should take the other one.
struct RoleProposal
{
    PoolRole from = PoolRole::Prefill;
    PoolRole to = PoolRole::Decode;

    friend bool operator==(const RoleProposal &, const RoleProposal &) = default;
};

/**
 * \class RoleBalancer
 * \brief Proposes role changes of one service by measured need.
 *
 * A need has to last before anything is proposed. While a change is under way, and for a while after it, what is seen
 * does not count: it is detected anew afterwards, when the change has had its effect.
 */
class RoleBalancer
{
public:
    /// A pool at or above this is short of engines; one at or below the other can spare one.
    static constexpr double shortAbove = 0.85;
    static constexpr double spareBelow = 0.50;

    /// How long a need has to last, and how long nothing is proposed after a change.
    static constexpr absl::Duration lasting = absl::Seconds(30);
    static constexpr absl::Duration settling = absl::Seconds(60);

    /// Takes in a measurement; returns a proposal if the need has lasted.
    std::optional<RoleProposal> observe(const PoolUse &prefill, const PoolUse &decode, bool changeUnderWay, absl::Time now);

private:
    static std::optional<RoleProposal> needOf(const PoolUse &prefill, const PoolUse &decode);

    std::optional<RoleProposal> m_need;
    absl::Time m_since = absl::InfiniteFuture();
    absl::Time m_quietUntil = absl::InfinitePast();
};

}
