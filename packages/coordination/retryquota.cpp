#include "coordination/retryquota.h"

namespace Apricot {

namespace {

/// Fraction of the limit that the nodes use. The rest covers nodes that lose their counts in a restart, and nodes that have not
/// yet learnt of new peers.
constexpr double usedFraction = 0.6;

}

RetryQuota::RetryQuota(const RetryLimit &limit)
    : m_limit(limit)
{
}

RetryQuota::Bucket &RetryQuota::bucketAt(absl::Time now)
{
    const absl::Duration length = m_limit.window / bucketCount;
    const std::int64_t index = (now - absl::UnixEpoch()) / length;
    Bucket &bucket = m_buckets[static_cast<std::size_t>(index) % m_buckets.size()];
    if (bucket.index != index) {
        bucket = Bucket{index, 0, 0};
    }
    return bucket;
}

void RetryQuota::recordRequest(absl::Time now)
{
    ++bucketAt(now).requests;
}

bool RetryQuota::allows(double headroomShare, absl::Time now)
{
    const std::int64_t index = bucketAt(now).index;
    std::int64_t requests = 0;
    std::int64_t retries = 0;
    for (const Bucket &bucket : m_buckets) {
        if (bucket.index >= 0 && bucket.index > index - static_cast<std::int64_t>(m_buckets.size())) {
            requests += bucket.requests;
            retries += bucket.retries;
        }
    }
    const double headroom = m_limit.headroom * headroomShare;
    return static_cast<double>(retries + 1) <= usedFraction * (m_limit.ratio * static_cast<double>(requests) + headroom);
}

bool RetryQuota::trySpend(double headroomShare, absl::Time now)
{
    if (!allows(headroomShare, now)) {
        return false;
    }
    ++bucketAt(now).retries;
    return true;
}

}
