#include "coordination/rankratelimiter.h"

#include <algorithm>

namespace Apricot {

namespace {

/// Capacity of a bucket, as seconds of its rate.
constexpr double burstSeconds = 0.5;

/// A coordinator may send at least this many requests at once.
constexpr double minBurst = 2;
/// Factor on a coordinator's even part of the limit, because arrivals are not spread evenly over the coordinators.
constexpr double unevennessFactor = 2;

}

void RankRateLimiter::update(const std::vector<RankLimit> &limits, std::size_t nodes, absl::Time now)
{
    for (const RankLimit &limit : limits) {
        Bucket &bucket = m_buckets[limit.rank];
        if (limit.overloaded && !bucket.overloaded) {
            bucket.tokens = minBurst;
            bucket.lastRefill = now;
        }
        bucket.overloaded = limit.overloaded;
        bucket.perSecond = limit.requestsPerSecond * unevennessFactor / static_cast<double>(std::max<std::size_t>(nodes, 1));
        bucket.lastLimitUpdate = now;
    }
}

bool RankRateLimiter::tryAcquire(const RankName &rank, absl::Time now)
{
    const auto it = m_buckets.find(rank);
    if (it == m_buckets.end() || !it->second.overloaded || now - it->second.lastLimitUpdate > limitTimeout) {
        return true;
    }
    Bucket &bucket = it->second;
    const double refill = bucket.perSecond * absl::ToDoubleSeconds(std::max(now - bucket.lastRefill, absl::ZeroDuration()));
    bucket.tokens = std::min(bucket.tokens + refill, std::max(bucket.perSecond * burstSeconds, minBurst));
    bucket.lastRefill = now;
    if (bucket.tokens < 1) {
        return false;
    }
    bucket.tokens -= 1;
    return true;
}

}
