#include "coordination/leasekeeper.h"

#include "coordination/seededbug.h"

#include <utility>

namespace Apricot {

LeaseKeeper::LeaseKeeper(NodeId self)
    : m_self(std::move(self))
{
}

std::optional<Lease> LeaseKeeper::wanted(const Lease &stored, absl::Time now) const
{
    const absl::Time storedUntil = absl::FromUnixMillis(stored->untilMs);
    const bool mine = stored->holder == m_self;
    if (mine && now < storedUntil - (length - renewAfter)) {
        return std::nullopt;
    }
    if (!mine && stored->version != 0 && now < storedUntil + safetyMargin) {
        return std::nullopt;
    }
    return Lease(LeaseFields{stored->version, m_self, absl::ToUnixMillis(now + length)});
}

void LeaseKeeper::written(const Lease &lease, std::uint64_t version, absl::Time sentAt)
{
    if (lease->holder == m_self) {
        m_until = sentAt + length - safetyMargin;
        m_version = version;
    }
}

void LeaseKeeper::lost()
{
    m_until = absl::InfinitePast();
}

bool LeaseKeeper::holds(absl::Time now) const
{
    if (hasSeededBug(SeededBug::ActAfterLease)) {
        return m_version != 0;
    }
    return now < m_until;
}

}
