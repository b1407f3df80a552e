#pragma once

#include "state/lease.h"

#include <absl/time/time.h>

#include <optional>

namespace Apricot {

/**
 * \class LeaseManager
 * \brief Decides when to acquire or renew the publisher's lease.
 *
 * A lease runs from a time that was read before its write was sent, not from the reply. A holder that was paused therefore never considers
 * an expired lease as held.
 */
class LeaseManager
{
public:
    static constexpr absl::Duration leaseDuration = absl::Seconds(3);
    static constexpr absl::Duration renewAfter = absl::Seconds(1);

    /// Time by which the holder ends its lease early and other nodes acquire it late, as their clocks may differ.
    static constexpr absl::Duration safetyMargin = absl::Milliseconds(500);

    explicit LeaseManager(NodeId self);

    /// Returns the lease to write, on condition that the store still has its version; nothing if no write is due. \a stored is the
    /// lease as read from the store.
    std::optional<Lease> leaseToWrite(const Lease &stored, absl::Time now) const;

    /// Records that the conditional write of \a lease, sent at \a sentAt, took effect as \a version.
    void recordWritten(const Lease &lease, std::uint64_t version, absl::Time sentAt);

    /// Records that another node holds the lease, or that the store rejected the write.
    void recordLost();

    /// Whether this node holds the lease at \a now.
    bool holds(absl::Time now) const;

    /// Returns when this node stops holding the lease unless it renews it.
    absl::Time heldUntil() const
    {
        return m_heldUntil;
    }

    /// Returns the fencing number of this node's actions as the holder; 0 if this node never held the lease.
    std::uint64_t fence() const
    {
        return m_version;
    }

private:
    NodeId m_self;
    absl::Time m_heldUntil = absl::InfinitePast();
    std::uint64_t m_version = 0;
};

}
