#pragma once

#include <absl/time/time.h>

#include <cstddef>

namespace Apricot {

/// Rate limits of the platform's store for the whole fleet, in calls per second.
struct StoreRateLimits
{
    static constexpr double writesPerSecond = 300;
    static constexpr double readsPerSecond = 1500;
};

/**
 * \class StoreRateLimiter
 * \brief Limits this node to its part of the store's rates.
 *
 * Each node divides the rates by the number of nodes that it knows, without coordination with the others.
 */
class StoreRateLimiter
{
public:
    /// Sets the number of nodes that share the rates.
    void setNodeCount(std::size_t nodes);

    /// Acquires permission for one call. Returns zero if the call may be sent, otherwise how long to wait before asking again.
    absl::Duration acquireRead(absl::Time now);
    absl::Duration acquireWrite(absl::Time now);

private:
    struct Bucket
    {
        double tokens = 0;
        absl::Time lastRefill = absl::InfinitePast();
    };

    static absl::Duration acquire(Bucket *bucket, double perSecond, absl::Time now);

    double m_nodeCount = 1;
    Bucket m_reads;
    Bucket m_writes;
};

}
