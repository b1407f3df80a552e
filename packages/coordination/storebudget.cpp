#include "coordination/storebudget.h"

#include <algorithm>

namespace Apricot {

namespace {

/// Capacity of a token bucket, as seconds of its rate.
constexpr double burstSeconds = 1.0;

}

void StoreBudget::setNodes(std::size_t nodes)
{
    m_nodes = static_cast<double>(std::max<std::size_t>(nodes, 1));
}

absl::Duration StoreBudget::spendRead(absl::Time now)
{
    return spend(&m_reads, StoreRates::readsPerSecond / m_nodes, now);
}

absl::Duration StoreBudget::spendWrite(absl::Time now)
{
    return spend(&m_writes, StoreRates::writesPerSecond / m_nodes, now);
}

absl::Duration StoreBudget::spend(Bucket *bucket, double perSecond, absl::Time now)
{
    const double maxTokens = std::max(perSecond * burstSeconds, 1.0);
    if (bucket->updated == absl::InfinitePast()) {
        bucket->tokens = maxTokens;
    } else if (now > bucket->updated) {
        bucket->tokens = std::min(bucket->tokens + perSecond * absl::ToDoubleSeconds(now - bucket->updated), maxTokens);
    }
    bucket->updated = std::max(bucket->updated, now);
    if (bucket->tokens < 1) {
        return absl::Seconds((1 - bucket->tokens) / perSecond);
    }
    bucket->tokens -= 1;
    return absl::ZeroDuration();
}

}
