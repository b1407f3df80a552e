#pragma once

#include "state/lease.h"

#include <absl/time/time.h>

#include <optional>

namespace Apricot {

/**
 * \class LeaseKeeper
 * \brief Decides when to take, renew or leave alone the lease of the publisher.
 *
 * A write counts from the moment before it was sent, so a holder that was paused never thinks that it still holds.
 */
class LeaseKeeper
{
public:
    static constexpr absl::Duration length = absl::Seconds(3);
    static constexpr absl::Duration renewAfter = absl::Seconds(1);

    /// Part of the lease that the holder does not use, for clocks that differ.
    static constexpr absl::Duration safetyMargin = absl::Milliseconds(500);

    explicit LeaseKeeper(NodeId self);

    /// Given the lease as read from the store, returns the lease to write under the condition of its version, if any.
    std::optional<Lease> wanted(const Lease &stored, absl::Time now) const;

    /// A conditional write of \a lease that was sent at \a sentAt took effect as \a version.
    void written(const Lease &lease, std::uint64_t version, absl::Time sentAt);

    /// The store says that another node holds the lease, or the write was refused.
    void lost();

    /// Whether this node may act as the holder at \a now.
    bool holds(absl::Time now) const;

    /// When this node stops being the holder unless it renews.
    absl::Time until() const
    {
        return m_until;
    }

    /// Fencing number of what the holder does; 0 if this node never held the lease.
    std::uint64_t fence() const
    {
        return m_version;
    }

private:
    NodeId m_self;
    absl::Time m_until = absl::InfinitePast();
    std::uint64_t m_version = 0;
};

}
