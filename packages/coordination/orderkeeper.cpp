#include "coordination/orderkeeper.h"

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

void OrderKeeper::leaseTaken(absl::Time now)
{
    m_takenAt = now;
    m_sent.clear();
}

OrderStep OrderKeeper::decide(const WantedRole &wanted, const ReportedRole &reported, absl::Time leaseUntil, absl::Time now)
{
    if (wanted->fence == 0) {
        return OrderStep::WriteIntent;
    }
    const bool sameState
        = reported.role == roleName(wanted->role) && reported.model == wanted->model && reported.modelVersion == wanted->modelVersion;
    if (sameState && reported.fence == wanted->fence) {
        m_sent.erase(wanted->endpoint);
        return OrderStep::InForce;
    }
    const bool earlierOrderPossible = now < m_takenAt + sendDeadline;
    const bool leaseExpiresTooSoon = now + sendDeadline > leaseUntil;
    const auto sent = m_sent.find(wanted->endpoint);
    const bool sentRecently = sent != m_sent.end() && now - sent->second < repeatAfter;
    if (earlierOrderPossible || leaseExpiresTooSoon || sentRecently || !mayLoad(now)) {
        return OrderStep::Wait;
    }
    m_sent[wanted->endpoint] = now;
    return OrderStep::Send;
}

bool OrderKeeper::mayLoad(absl::Time now)
{
    if (now - m_lastLoad < absl::Seconds(1 / loadsPerSecond)) {
        return false;
    }
    m_lastLoad = now;
    return true;
}

}
