#include "coordination/rolebalancer.h"

namespace Apricot {

std::optional<RoleProposal> RoleBalancer::observe(const PoolUtilization &prefill, const PoolUtilization &decode, bool changeUnderWay,
                                                  absl::Time now)
{
    if (changeUnderWay) {
        m_cooldownUntil = now + cooldown;
    }
    const std::optional<RoleProposal> need = now < m_cooldownUntil ? std::nullopt : neededChange(prefill, decode);
    if (need != m_need) {
        m_need = need;
        m_since = now;
    }
    if (!need || now - m_since < minNeedDuration) {
        return std::nullopt;
    }
    m_need.reset();
    m_cooldownUntil = now + cooldown;
    return need;
}

std::optional<RoleProposal> RoleBalancer::neededChange(const PoolUtilization &prefill, const PoolUtilization &decode)
{
    // The last engine of a role never changes, because a service that lacks one of the roles cannot serve requests.
    if (decode.utilization >= shortageThreshold && prefill.utilization <= surplusThreshold && prefill.engines > 1) {
        return RoleProposal{PoolRole::Prefill, PoolRole::Decode};
    }
    if (prefill.utilization >= shortageThreshold && decode.utilization <= surplusThreshold && decode.engines > 1) {
        return RoleProposal{PoolRole::Decode, PoolRole::Prefill};
    }
    return std::nullopt;
}

}
