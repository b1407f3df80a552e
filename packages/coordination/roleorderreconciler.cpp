#include "coordination/roleorderreconciler.h"

namespace Apricot {

std::string roleName(PoolRole role)
{
    switch (role) {
    case PoolRole::Prefill:
        return "prefill";
    case PoolRole::Decode:
        return "decode";
    case PoolRole::Plain:
        break;
    }
    return "plain";
}

void RoleOrderReconciler::recordLeaseAcquired(absl::Time now)
{
    m_leaseAcquiredAt = now;
    m_sent.clear();
}

OrderStep RoleOrderReconciler::decide(const DesiredRole &desired, const ReportedRole &reported, absl::Time leaseUntil, absl::Time now)
{
    if (desired->fence == 0) {
        return OrderStep::WriteIntent;
    }
    const bool sameState
        = reported.role == roleName(desired->role) && reported.model == desired->model && reported.modelVersion == desired->modelVersion;
    if (sameState && reported.fence == desired->fence) {
        m_sent.erase(desired->endpoint);
        return OrderStep::UpToDate;
    }
    const bool earlierOrderPossible = now < m_leaseAcquiredAt + sendTimeout;
    const bool leaseExpiresTooSoon = now + sendTimeout > leaseUntil;
    const auto sent = m_sent.find(desired->endpoint);
    const bool sentRecently = sent != m_sent.end() && now - sent->second < resendInterval;
    if (earlierOrderPossible || leaseExpiresTooSoon || sentRecently || !tryAcquireLoad(now)) {
        return OrderStep::Wait;
    }
    m_sent[desired->endpoint] = now;
    return OrderStep::Send;
}

bool RoleOrderReconciler::tryAcquireLoad(absl::Time now)
{
    if (now - m_lastLoad < absl::Seconds(1 / maxLoadsPerSecond)) {
        return false;
    }
    m_lastLoad = now;
    return true;
}

}
