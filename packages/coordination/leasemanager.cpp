#include "coordination/leasemanager.h"

#include "coordination/seededbug.h"

#include <utility>

namespace Apricot {

LeaseManager::LeaseManager(NodeId self)
    : m_self(std::move(self))
{
}

std::optional<Lease> LeaseManager::leaseToWrite(const Lease &stored, absl::Time now) const
{
    const absl::Time storedUntil = absl::FromUnixMillis(stored->untilMs);
    const bool isOwn = stored->holder == m_self;
    if (isOwn && now < storedUntil - (leaseDuration - renewAfter)) {
        return std::nullopt;
    }
    if (!isOwn && stored->version != 0 && now < storedUntil + safetyMargin) {
        return std::nullopt;
    }
    return Lease(LeaseFields{stored->version, m_self, absl::ToUnixMillis(now + leaseDuration)});
}

void LeaseManager::recordWritten(const Lease &lease, std::uint64_t version, absl::Time sentAt)
{
    if (lease->holder == m_self) {
        m_heldUntil = sentAt + leaseDuration - safetyMargin;
        m_version = version;
    }
}

void LeaseManager::recordLost()
{
    m_heldUntil = absl::InfinitePast();
}

bool LeaseManager::holds(absl::Time now) const
{
    if (hasSeededBug(SeededBug::ActAfterLease)) {
        return m_version != 0;
    }
    return now < m_heldUntil;
}

}
