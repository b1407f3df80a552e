#include "coordination/storeratelimiter.h"

#include <algorithm>

namespace Apricot {

namespace {

/// Capacity of a token bucket, as seconds of its rate.
constexpr double burstSeconds = 1.0;

}

void StoreRateLimiter::setNodeCount(std::size_t nodes)
{
    m_nodeCount = static_cast<double>(std::max<std::size_t>(nodes, 1));
}

absl::Duration StoreRateLimiter::acquireRead(absl::Time now)
{
    return acquire(&m_reads, StoreRateLimits::readsPerSecond / m_nodeCount, now);
}

absl::Duration StoreRateLimiter::acquireWrite(absl::Time now)
{
    return acquire(&m_writes, StoreRateLimits::writesPerSecond / m_nodeCount, now);
}

absl::Duration StoreRateLimiter::acquire(Bucket *bucket, double perSecond, absl::Time now)
{
    const double maxTokens = std::max(perSecond * burstSeconds, 1.0);
    if (bucket->lastRefill == absl::InfinitePast()) {
        bucket->tokens = maxTokens;
    } else if (now > bucket->lastRefill) {
        bucket->tokens = std::min(bucket->tokens + perSecond * absl::ToDoubleSeconds(now - bucket->lastRefill), maxTokens);
    }
    bucket->lastRefill = std::max(bucket->lastRefill, now);
    if (bucket->tokens < 1) {
        return absl::Seconds((1 - bucket->tokens) / perSecond);
    }
    bucket->tokens -= 1;
    return absl::ZeroDuration();
}

}
