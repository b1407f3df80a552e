#include "coordination/rolebalancer.h"

namespace Apricot {

std::optional<RoleProposal> RoleBalancer::observe(const PoolUse &prefill, const PoolUse &decode, bool changeUnderWay, absl::Time now)
{
    if (changeUnderWay) {
        m_quietUntil = now + settling;
    }
    const std::optional<RoleProposal> need = now < m_quietUntil ? std::nullopt : needOf(prefill, decode);
    if (need != m_need) {
        m_need = need;
        m_since = now;
    }
    if (!need || now - m_since < lasting) {
        return std::nullopt;
    }
    m_need.reset();
    m_quietUntil = now + settling;
    return need;
}

std::optional<RoleProposal> RoleBalancer::needOf(const PoolUse &prefill, const PoolUse &decode)
{
    // The last engine of a role never changes, because a service that lacks one of the roles cannot serve requests.
    if (decode.busy >= shortAbove && prefill.busy <= spareBelow && prefill.engines > 1) {
        return RoleProposal{PoolRole::Prefill, PoolRole::Decode};
    }
    if (prefill.busy >= shortAbove && decode.busy <= spareBelow && decode.engines > 1) {
        return RoleProposal{PoolRole::Decode, PoolRole::Prefill};
    }
    return std::nullopt;
}

}
