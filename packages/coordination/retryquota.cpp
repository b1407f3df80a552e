#include "coordination/retryquota.h"

#include <algorithm>

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

RetryQuota::Slice &RetryQuota::sliceAt(absl::Time now)
{
    const absl::Duration length = m_limit.window / slices;
    const std::int64_t index = (now - absl::UnixEpoch()) / length;
    Slice &slice = m_slices[static_cast<std::size_t>(index) % m_slices.size()];
    if (slice.index != index) {
        slice = Slice{index, 0, 0};
    }
    return slice;
}

void RetryQuota::recordRequest(absl::Time now)
{
    ++sliceAt(now).requests;
}

bool RetryQuota::allows(std::size_t nodes, absl::Time now)
{
    const std::int64_t index = sliceAt(now).index;
    std::int64_t requests = 0;
    std::int64_t retries = 0;
    for (const Slice &slice : m_slices) {
        if (slice.index >= 0 && slice.index > index - static_cast<std::int64_t>(m_slices.size())) {
            requests += slice.requests;
            retries += slice.retries;
        }
    }
    const double headroom = m_limit.headroom / static_cast<double>(std::max<std::size_t>(1, nodes));
    return static_cast<double>(retries + 1) <= usedFraction * (m_limit.ratio * static_cast<double>(requests) + headroom);
}

bool RetryQuota::trySpend(std::size_t nodes, absl::Time now)
{
    if (!allows(nodes, now)) {
        return false;
    }
    ++sliceAt(now).retries;
    return true;
}

}
